"""Tests of the record of serving tasks over their target beside fillers."""

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _target_watch
from basiljunction.state.workload import _job_spec
import workload_builders as build

_TARGET_MS = 50
_REPORT_GAP_S = 0.5


class _Watched:
    """An executor with a serving task and a filler, which reports."""

    def __init__(self) -> None:
        self.cell: _cell_state.CellState = build.scheduler().cell
        entry = build.executor_entry(
            capacity=_job_spec.Resources(32_000, 128_000, 0)
        )
        self.executor = _executors.ExecutorState(listing=entry)
        self.serving = self._add_run(
            build.step_spec(
                tail_target_ms=_TARGET_MS, runs_until_cancelled=True
            ),
            number=1,
        )
        self.filler = self._add_run(
            build.step_spec(
                size=_job_spec.Resources(4000, 1000, 0), fills=True
            ),
            number=2,
        )
        self.now_s = 0.0

    def _add_run(self, step: _job_spec.StepSpec, number: int) -> _runs.Run:
        run = _runs.Run(
            task=_job_spec.TaskId("00000000000000a1", 0, 0, number),
            number=number,
            executor=self.executor.listing.id,
            step=step,
            phase=_runs.RunPhase.RUNNING,
            phase_since_s=0.0,
        )
        self.executor.add_run(run)
        return run

    def report(self, *tails_ms: float) -> list[_notes.Note]:
        """Returns the notes of reports, one each `_REPORT_GAP_S`."""
        for tail_ms in tails_ms:
            self.now_s += _REPORT_GAP_S
            self.serving.reported_value = tail_ms
            _target_watch.record_stretches(self.cell, self.executor, self.now_s)
        notes, self.cell.notes = self.cell.notes, []
        return notes


def _lengths(notes: list[_notes.Note]) -> list[tuple[str, object]]:
    """Returns the event and the length of each note, in seconds."""
    return [(each.event, each.value_by_field["for_s"]) for each in notes]


class TestStretches:
    """Each second over the target is noted, and the end of it."""

    def test_each_second_is_noted(self) -> None:
        notes = _Watched().report(51, 60, 60, 60, 60, 40)
        assert _lengths(notes) == [
            ("task.over-target", 1.0),
            ("task.over-target", 2.0),
            ("task.within-target", 2.5),
        ]

    def test_a_short_one_is_not_noted(self) -> None:
        assert not _Watched().report(51, 49, 60, 40)

    def test_a_latency_that_is_rounded_to_its_target_may_be_over(self) -> None:
        (note,) = _Watched().report(51, 50, 50)
        assert note.event == "task.over-target"

    def test_it_tells_pace_and_cpu_of_the_fillers(self) -> None:
        watched = _Watched()
        watched.filler.record_pace(20)
        watched.filler.reported_value = 4000
        note, *_ = watched.report(51, 60, 60)
        described = str(note.value_by_field["described"])
        assert described == "2 running 1.50 s 20% 4000/4000"

    def test_it_ends_with_the_last_filler_at_work(self) -> None:
        watched = _Watched()
        watched.report(51, 60, 60)
        watched.filler.record_pace(0)
        assert _lengths(watched.report(60)) == [("task.within-target", 1.5)]

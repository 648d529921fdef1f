"""Tests of detecting tasks that make no progress."""

from typing import Any

import pytest

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_EXECUTORS = ("e0", "e1", "e2", "e3")

_HOUR_S = 3600.0
"""Run time of a task whose first percent is reported after 36 s."""

_MINUTES_S = 240.0
"""Run time of a task whose first percent is reported after 1.2 s or more, and
each further one after 2.4 s."""

_FOUND_S = 4.0
"""Time in which a stall of a short task is found, in seconds: the time without
progress, a report, and a second for tasks that have just progressed."""

_LASTING_FOUND_S = 5.0
"""Time in which a stall of a lasting task is found, in seconds: three without
full speed, a report and a second to start again."""

_SHORT_TERM_S = 2.0
"""Time for which each of many schedulers is at work, in seconds."""

_SHORT_TERMS_S = 40.0
"""Time in which a stall is found beside short terms, in seconds: ten times as
long as beside one scheduler."""

_IDLE_S = 3.0
"""Time for which a job may have nothing running beside room, in seconds."""


def _make_rig(*names: str) -> tuple[cell_rig.CellRig, list[_notes.Note]]:
    """Returns a rig, and the list that its notes are added to."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(name) for name in names or _EXECUTORS)
    )
    rig.run(1)
    notes: list[_notes.Note] = []
    rig.on_note = notes.append
    return rig, notes


def _submit_long_job(
    rig: cell_rig.CellRig, run_time_s: float, **changes: Any
) -> None:
    """Submits a job whose tasks take longer than their estimate."""
    rig.run_time_s = run_time_s
    step = build.step_spec(**({"estimate_s": 40.0} | changes))
    rig.submit(build.accepted_job(step))


def _count_suspicions(notes: list[_notes.Note]) -> int:
    """Returns how often a run was taken for stalled."""
    return sum(
        note.event == "task.stalled"
        or (
            note.event == "task.superseded"
            and note.value_by_field.get("reason") == "stalled"
        )
        for note in notes
    )


class TestSoundLongTasks:
    """Tasks that are slower than their estimates are not stopped for ever."""

    def test_task_of_minutes_is_done_although_its_estimate_is_short(
        self,
    ) -> None:
        # It was stopped some 2 s after each start, for ever.
        rig, _ = _make_rig()
        _submit_long_job(rig, _MINUTES_S)
        rig.run(_MINUTES_S + 10)
        state = rig.scheduler.visible_state("00000000000000a1")
        assert state is _progress.JobState.COMPLETED
        assert len(rig.starts) <= 2

    def test_task_on_the_only_fitting_executor_starts_again_in_time(
        self,
    ) -> None:
        # Each start came more than 3 s after the stop before.
        rig, _ = _make_rig("e0")
        _submit_long_job(rig, _HOUR_S)
        idle_s = longest_idle_s = 0.0
        rig.run(0.5)
        for _ in range(round(60 / cell_rig.STEP_S)):
            rig.run(cell_rig.STEP_S)
            has_run = any(rig.executor_by_id["e0"].run_by_key)
            idle_s = 0.0 if has_run else idle_s + cell_rig.STEP_S
            longest_idle_s = max(longest_idle_s, idle_s)
        assert longest_idle_s < _IDLE_S

    def test_each_wrong_suspicion_makes_the_next_one_later(self) -> None:
        # A task of an hour was started each five seconds.
        rig, notes = _make_rig()
        _submit_long_job(rig, _HOUR_S)
        rig.run(120)
        assert _count_suspicions(notes) <= 3

    def test_task_with_a_true_estimate_is_left_alone(self) -> None:
        # It shows no progress for longer than a short task may.
        rig, notes = _make_rig()
        _submit_long_job(rig, _HOUR_S, estimate_s=_HOUR_S / 2)
        rig.run(120)
        assert _count_suspicions(notes) == 0

    @pytest.mark.parametrize("hours", [1, 10])
    def test_executors_with_long_tasks_take_other_work(
        self, hours: int
    ) -> None:
        # Executors with such tasks got no other task while they ran.
        rig, _ = _make_rig()
        _submit_long_job(
            rig,
            hours * _HOUR_S,
            count=len(_EXECUTORS),
            estimate_s=60.0,
            max_per_executor=1,
            speculative=True,
        )
        rig.run(5)
        rig.run_time_s = 1.0
        for number in range(30):
            job_id = f"{number:016x}"
            rig.submit(build.accepted_job(job_id=job_id))
            rig.run(_IDLE_S)
            assert any(order.task.job == job_id for _, _, order in rig.starts)

    def test_filler_at_full_pace_again_is_not_stalled(self) -> None:
        # It had shown no progress while it was held back.
        rig, notes = _make_rig()
        _submit_long_job(rig, _HOUR_S)
        rig.run(0.5)
        (run,) = (
            run
            for executor in rig.scheduler.cell.executor_by_id.values()
            for run in executor.run_by_key.values()
        )
        run.phase_since_s = run.progress_changed_s = rig.now_s - 10
        run.pace_answered_s = rig.now_s
        rig.run(1.2)
        assert _count_suspicions(notes) == 0


class TestStalledTasks:
    """Tasks of an executor that does no work start elsewhere in time."""

    def test_stall_before_the_first_percent_is_found(self) -> None:
        # The executor reports them at 0 from their start on.
        rig, _ = _make_rig("e0", "e1")
        rig.executor_by_id["e0"].is_hanging = True
        _submit_long_job(rig, 2.0, estimate_s=2.0, count=8)
        rig.run(_FOUND_S + 4)
        state = rig.scheduler.visible_state("00000000000000a1")
        assert state is _progress.JobState.COMPLETED

    def test_stall_after_some_percent_is_found(self) -> None:
        # Its own pace, not the estimate, says how long a percent takes.
        rig, notes = _make_rig()
        _submit_long_job(rig, 20.0, estimate_s=_HOUR_S)
        rig.run(5)
        self._hang_all(rig)
        rig.run(_FOUND_S)
        assert _count_suspicions(notes) == 1

    def test_stall_from_the_start_is_found_after_one_in_the_midst(self) -> None:
        # The wait was longer, though both executors stood still.
        rig, notes = _make_rig("e0", "e1")
        _submit_long_job(rig, 20.0, estimate_s=20.0)
        rig.run(5)
        self._hang_all(rig)
        rig.run(2 * _FOUND_S)
        assert _count_suspicions(notes) == 2

    @pytest.mark.parametrize("lasts", [False, True])
    def test_stall_is_found_though_terms_are_short(
        self, *, lasts: bool
    ) -> None:
        rig, _ = _make_rig("e0", "e1")
        _submit_long_job(rig, 2.0, estimate_s=2.0, runs_until_cancelled=lasts)
        rig.run(0.5)
        [stalled] = [
            each for each in rig.executor_by_id.values() if each.run_by_key
        ]
        stalled.is_hanging = True
        for _ in range(round(_SHORT_TERMS_S / _SHORT_TERM_S)):
            rig.take_over()
            rig.run(_SHORT_TERM_S)
        assert {name for _, name, _ in rig.starts} == {"e0", "e1"}

    @pytest.mark.parametrize("ends_before_take_over", [False, True])
    def test_what_was_slow_before_full_speed_does_not_count(
        self, *, ends_before_take_over: bool
    ) -> None:
        rig, _ = _make_rig("e0", "e1")
        _submit_long_job(rig, 2.0, runs_until_cancelled=True)
        rig.run(1.0)
        for _ in range(5):
            self._hang_all(rig)
            rig.run(1.5)
            if not ends_before_take_over:
                rig.take_over()
                rig.run(0.5)
            for executor in rig.executor_by_id.values():
                executor.is_hanging = False
            rig.run(1.0)
            if ends_before_take_over:
                rig.take_over()
        assert len(rig.starts) == 1

    def test_a_lasting_stall_is_stored_a_few_times(self) -> None:
        rig, _ = _make_rig("e0", "e1")
        _submit_long_job(rig, 2.0, runs_until_cancelled=True)
        rig.run(1.0)
        (job,) = rig.scheduler.cell.job_by_id.values()
        assert job.progress.slow_run_by_position == {}
        self._hang_all(rig)
        stored: set[_progress.SlowRun] = set()
        for _ in range(round(_LASTING_FOUND_S / cell_rig.STEP_S)):
            rig.run(cell_rig.STEP_S)
            stored |= set(job.progress.slow_run_by_position.values())
        assert len(rig.starts) == 2
        assert 1 <= len({each for each in stored if each.run_number == 1}) <= 3

    def test_what_a_run_resumes_with_is_not_its_pace(self) -> None:
        # It seemed to have done half of its work within a second.
        run = _runs.Run(
            task=_job_spec.TaskId("00000000000000a1", 0, 0, 0),
            number=2,
            executor="e0",
            step=build.step_spec(checkpoints=True),
            phase=_runs.RunPhase.RUNNING,
            phase_since_s=1.0,
        )
        run.record_progress(50.0, 2.0)
        assert run.slowest_percent_s == 0
        run.record_progress(51.0, 38.0)
        assert run.slowest_percent_s == 36.0

    def test_long_task_does_not_hide_a_stall_beside_it(self) -> None:
        # It shows no progress either, and may do so for longer.
        rig, notes = _make_rig("e0")
        _submit_long_job(rig, _HOUR_S, estimate_s=_HOUR_S)
        rig.run(1)
        rig.run_time_s = 20.0
        rig.submit(
            build.accepted_job(
                build.step_spec(estimate_s=20.0), job_id="00000000000000a2"
            )
        )
        rig.run(5)
        self._hang_all(rig)
        rig.run(_FOUND_S)
        stalled = [
            note.value_by_field["task"]
            for note in notes
            if note.event == "task.stalled"
        ]
        assert stalled == ["00000000000000a2/0.0.0"]

    def test_progress_in_time_shows_that_the_executor_works(self) -> None:
        # It stops nothing, as a task that stalls alone is no fault of it.
        rig, notes = _make_rig("e0")
        _submit_long_job(rig, _HOUR_S)
        rig.run_time_s = 20.0
        rig.submit(
            build.accepted_job(
                build.step_spec(estimate_s=20.0),
                job_id="00000000000000a2",
            )
        )
        rig.run(15)
        assert _count_suspicions(notes) == 0

    def _hang_all(self, rig: cell_rig.CellRig) -> None:
        """Lets no task on any executor progress any more."""
        for executor in rig.executor_by_id.values():
            executor.is_hanging = True

"""Tests of answers that leave out ends of runs for want of room.

While the store is down, no end is acknowledged, so that a run that is missing
from a full answer may have ended. Answers have room for fewer ends here, so
that fewer tasks fill them.
"""

from collections.abc import Callable

import pytest

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _summary
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_RUN_TIME_S = 0.25
"""Run time of a task, shorter than the time between two renewals while ends
are not stored, in seconds."""

_MEASURED_RUN_TIME_S = 1.5
"""Run time of a task whose speed is measured, in seconds."""

_OUTAGE_S = 4.4
"""Length of an outage of the store in which leases are renewed, in seconds."""

_ENDS_PER_ANSWER = 50
"""Most ends in an answer here."""

_JOB_IDS = ("a1", "a2", "a3", "a4")

_TASK_COUNT = 150
"""Tasks of a job; its ends need more than two answers."""

_SMALL_SIZE = _job_spec.Resources(1500, 1280, 0)
"""Size of a task of which an executor runs some dozens at a time."""

_SMALLEST_SIZE = _job_spec.Resources(300, 300, 0)
"""Size of a task of which it runs as many as three answers list ends."""


@pytest.fixture(autouse=True)
def _limit_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets answers list few ends, and the scheduler know of it."""
    monkeypatch.setattr(_executor, "MAX_ENDS_PER_ANSWER", _ENDS_PER_ANSWER)
    monkeypatch.setattr(cell_rig.CellRig, "ends_per_answer", _ENDS_PER_ANSWER)


def _make_rig(*names: str) -> cell_rig.CellRig:
    """Returns a rig whose executors have room for dozens of small tasks."""
    rig = cell_rig.CellRig(
        *(
            build.executor_entry(
                name, capacity=_job_spec.Resources(64_000, 250_000, 0)
            )
            for name in names
        )
    )
    rig.run_time_s = _RUN_TIME_S
    rig.run(1)
    return rig


def _submit_small_tasks(
    rig: cell_rig.CellRig, size: _job_spec.Resources = _SMALL_SIZE
) -> None:
    """Submits jobs of small tasks and lets the first ones start."""
    for job_id in _JOB_IDS:
        rig.submit(
            build.accepted_job(
                build.step_spec(count=_TASK_COUNT, size=size),
                job_id=job_id,
            )
        )
    rig.run(0.3)


def _pass_outage(rig: cell_rig.CellRig) -> None:
    """Lets the store be down for long enough that ends are left out."""
    rig.store_is_up = False
    rig.run(_OUTAGE_S)
    assert any(
        len(each.ends) > rig.ends_per_answer
        for each in rig.executor_by_id.values()
    )
    rig.store_is_up = True


def _count_repeated_starts(rig: cell_rig.CellRig) -> int:
    """Returns how many starts were not the first one of their task."""
    return len(rig.starts) - len({order.task for _, _, order in rig.starts})


class TestTaskStartedAgainThoughItsEndWasLeftOut:
    """A run missing from an answer counts as ended only if none is omitted."""

    def test_no_task_is_started_again(self) -> None:
        rig = _make_rig("e1", "e2")
        _submit_small_tasks(rig)
        _pass_outage(rig)
        rig.run(10)
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT
        assert _count_repeated_starts(rig) == 0

    def test_no_failed_task_is_started_before_its_end_is_known(self) -> None:
        rig = _make_rig("e1")
        _submit_small_tasks(rig)
        rig.store_is_up = False
        rig.fail_share = 0.3
        rig.run(_OUTAGE_S)
        omitted = rig.executor_by_id["e1"].ends[rig.ends_per_answer :]
        failed = {
            each.task
            for each in omitted
            if each.kind is _executor.RunEndKind.FAILED
        }
        assert failed
        started = [order.task for _, _, order in rig.starts]
        assert all(started.count(each) == 1 for each in failed)

    def test_no_gang_is_started_again(self) -> None:
        rig = _make_rig("e1", "e2")
        rig.gangs_run_together = True
        for number in range(80):
            rig.submit(
                build.accepted_job(
                    build.step_spec(count=3, gang=True, size=_SMALL_SIZE),
                    job_id=f"a{number}",
                )
            )
        rig.run(0.3)
        _pass_outage(rig)
        rig.run(10)
        assert len(rig.done_tasks) == 240
        assert _count_repeated_starts(rig) == 0

    def test_a_run_that_is_to_be_stopped_stays_until_its_end_is_known(
        self,
    ) -> None:
        rig = _make_rig("e1")
        _submit_small_tasks(rig)
        rig.store_is_up = False
        rig.run(_OUTAGE_S - 1)
        executor = rig.scheduler.cell.executor_by_id["e1"]
        for run in list(executor.run_by_key.values()):
            executor.stop_run(run, rig.now_s)
        rig.run(1)
        assert len(rig.executor_by_id["e1"].ends) > rig.ends_per_answer
        rig.store_is_up = True
        rig.run(10)
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT

    def test_an_executor_is_not_avoided_for_runs_that_have_ended(self) -> None:
        rig = _make_rig("e1")
        notes: list[_notes.Note] = []
        rig.on_note = notes.append
        _submit_small_tasks(rig)
        _pass_outage(rig)
        rig.run(10)
        assert not [each for each in notes if each.event == "task.stalled"]

    def test_an_executor_is_not_slow_for_runs_that_have_ended(self) -> None:
        rig = _make_rig("e1", "e2")
        rig.run_time_s = _MEASURED_RUN_TIME_S
        notes: list[_notes.Note] = []
        rig.on_note = notes.append
        _submit_small_tasks(rig)
        _pass_outage(rig)
        rig.run(10)
        assert not [each for each in notes if each.event == "executor.slow"]

    def test_the_summary_counts_the_executors(self) -> None:
        rig = _make_rig("e1", "e2")
        _submit_small_tasks(rig)
        _pass_outage(rig)
        summary = _summary.summarize_cell(rig.scheduler.cell, rig.now_s)
        assert summary.omitting_ends == 2
        rig.run(10)
        summary = _summary.summarize_cell(rig.scheduler.cell, rig.now_s)
        assert summary.omitting_ends == 0

    def test_room_of_a_cancelled_job_is_free_at_once(self) -> None:
        rig = _make_rig("e1")
        _submit_small_tasks(rig)
        rig.store_is_up = False
        rig.run(_OUTAGE_S - 1)
        for job_id in _JOB_IDS:
            rig.cancel(job_id)
        rig.run(1)
        assert len(rig.executor_by_id["e1"].ends) > rig.ends_per_answer
        assert not rig.scheduler.cell.executor_by_id["e1"].run_by_key

    def test_a_lost_start_is_found_once_all_ends_are_listed(self) -> None:
        rig = _make_rig("e1")
        _submit_small_tasks(rig)
        rig.store_is_up = False
        rig.run(1.5)
        rig.loses_next_start = True
        rig.run(_OUTAGE_S - 1.5)
        rig.store_is_up = True
        rig.run(10)
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT


class TestInheritedRunWhoseEndWasLeftOut:
    """A successor waits until an executor has listed all of its ends."""

    @pytest.mark.parametrize(
        "replace", [cell_rig.CellRig.take_over, cell_rig.CellRig.resign]
    )
    @pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.3, 0.6])
    def test_no_task_is_started_again_by_a_successor(
        self, replace: Callable[[cell_rig.CellRig], None], delay_s: float
    ) -> None:
        rig = _make_rig("e1", "e2")
        _submit_small_tasks(rig)
        _pass_outage(rig)
        rig.run(delay_s)
        replace(rig)
        rig.run(20)
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT
        assert _count_repeated_starts(rig) == 0

    def _make_successor_in_outage(self) -> cell_rig.CellRig:
        """Returns a rig whose new scheduler cannot store the ends it reads."""
        rig = _make_rig("e1", "e2")
        _submit_small_tasks(rig, size=_SMALLEST_SIZE)
        _pass_outage(rig)
        rig.resign()
        rig.run(0.1)
        rig.store_is_up = False
        rig.run(0.1)
        for each in rig.scheduler.cell.executor_by_id.values():
            assert each.may_omit_ends
        return rig

    def test_none_is_if_the_store_goes_down_again(self) -> None:
        rig = self._make_successor_in_outage()
        rig.run(8)
        rig.store_is_up = True
        rig.run(20)
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT
        assert _count_repeated_starts(rig) == 0

    def test_a_silent_executor_is_not_waited_for_without_end(self) -> None:
        rig = self._make_successor_in_outage()
        rig.executor_by_id["e1"].is_answering = False
        rig.store_is_up = True
        rig.run(20)
        assert not rig.scheduler.cell.has_inherited_runs
        assert len(rig.done_tasks) == len(_JOB_IDS) * _TASK_COUNT

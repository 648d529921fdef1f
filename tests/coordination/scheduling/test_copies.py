"""Tests of speculative copies of tasks."""

import pytest

from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState


def _make_rig(executors: int = 3) -> cell_rig.CellRig:
    """Returns a rig of executors that has run for one second."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(executors))
    )
    rig.run(1)
    return rig


def _start_task(
    rig: cell_rig.CellRig, *, speculative: bool = True
) -> tuple[_progress.AcceptedJob, cell_rig.SimulatedExecutor]:
    """Returns a job of one task and the executor that runs it."""
    rig.run_time_s = 2.0
    accepted = build.accepted_job(build.step_spec(speculative=speculative))
    rig.submit(accepted)
    rig.run(0.3)
    ((_, executor, _),) = rig.starts
    return accepted, rig.executor_by_id[executor]


class TestCopies:
    """A copy starts elsewhere at once; the first successful run counts."""

    @pytest.mark.parametrize("speculative", [True, False])
    def test_a_silent_executor_is_not_waited_for(
        self, speculative: bool
    ) -> None:
        rig = _make_rig()
        accepted, executor = _start_task(rig, speculative=speculative)
        executor.is_answering = False
        rig.run(4.2)
        expected = _State.COMPLETED if speculative else _State.RUNNING
        assert rig.scheduler.visible_state(accepted.id) is expected

    def test_the_first_copy_counts_if_it_ends_first(self) -> None:
        rig = _make_rig()
        accepted, executor = _start_task(rig)
        executor.is_answering = False
        rig.run_time_s = 20.0
        rig.run(1.8)
        assert len(rig.starts) == 2
        executor.is_answering = True
        rig.run(3)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert all(not e.run_by_key for e in rig.executor_by_id.values())

    def test_nothing_is_started_again_once_a_copy_has_ended(self) -> None:
        rig = _make_rig()
        _, executor = _start_task(rig)
        executor.is_answering = False
        rig.run(5)
        executor.is_answering = True
        rig.run(5)
        assert len(rig.starts) == 2
        assert rig.scheduler.cell.current_run_by_task == {}
        assert all(
            not state.run_by_key
            for state in rig.scheduler.cell.executor_by_id.values()
        )

    def test_a_copy_that_fails_leaves_the_other_at_work(self) -> None:
        rig = _make_rig()
        rig.fail_share = 1.0
        accepted, executor = _start_task(rig)
        rig.fail_share = 0.0
        executor.is_answering = False
        rig.run(1.8)
        executor.is_answering = True
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert len(rig.starts) == 2

    def test_a_cancelled_job_stops_all_copies(self) -> None:
        rig = _make_rig()
        rig.run_time_s = 30.0
        accepted, executor = _start_task(rig)
        executor.is_answering = False
        rig.run(1.8)
        rig.cancel(accepted.id)
        executor.is_answering = True
        rig.run(2)
        assert all(not e.run_by_key for e in rig.executor_by_id.values())

    def test_a_successor_keeps_one_copy(self) -> None:
        rig = _make_rig()
        accepted, executor = _start_task(rig)
        executor.is_answering = False
        rig.run(1.8)
        executor.is_answering = True
        rig.take_over()
        rig.run(6)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert len(rig.starts) == 2

    def test_other_steps_wait_for_the_lease(self) -> None:
        rig = _make_rig()
        _, executor = _start_task(rig, speculative=False)
        executor.is_answering = False
        rig.run(3)
        (run,) = rig.scheduler.cell.executor_by_id[
            executor.entry.id
        ].run_by_key.values()
        assert run.phase is _runs.RunPhase.RUNNING
        assert len(rig.starts) == 1

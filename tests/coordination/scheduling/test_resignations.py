"""Tests what a scheduler that has resigned tells of single executors."""

from collections.abc import Callable
import dataclasses
from typing import Any

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _records
import cell_rig
import workload_builders as build

_LASTING_TASK_BOUND_S = 9.0
"""Time within which a task that lasts runs again where there is room, in
seconds: the rules count from 6 s after its last run, and 3 s without one."""


def _start_lasting_tasks() -> cell_rig.CellRig:
    """Returns a rig whose executors e1 and e2 run four lasting tasks each."""
    rig = cell_rig.CellRig(
        build.executor_entry("e1"), build.executor_entry("e2")
    )
    rig.run(1)
    rig.submit(
        build.accepted_job(
            build.step_spec(count=8, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )
    rig.run(40)
    return rig


def _restart_e1(rig: cell_rig.CellRig) -> None:
    """Restarts e1, so that its lease may be the longest."""
    rig.executor_by_id["e1"].restart()
    rig.run(1)


def _lose_e1_with_a_scheduler(rig: cell_rig.CellRig) -> None:
    """Loses e1, and its scheduler, of which nothing is known."""
    rig.executor_by_id["e1"].is_answering = False
    rig.take_over(
        longest_inherited_run_s=_limits.LeaseTimes().max_run_after_term_s
    )
    rig.run(0.3)


class TestOneLongLease:
    """The wait for one executor is not that for each other one."""

    @pytest.mark.parametrize(
        "lengthen", [_restart_e1, _lose_e1_with_a_scheduler]
    )
    def test_tasks_of_another_executor_start_in_time(
        self, lengthen: Callable[[cell_rig.CellRig], None]
    ) -> None:
        rig = _start_lasting_tasks()
        lengthen(rig)
        executor = rig.executor_by_id["e2"]
        lost_tasks = {task for task, _ in executor.run_by_key}
        assert lost_tasks
        executor.is_answering = False
        lost_s = rig.now_s
        rig.add_executor(build.executor_entry("e3"))
        rig.add_executor(build.executor_entry("e4"))
        rig.resign()
        rig.run(_LASTING_TASK_BOUND_S)
        begun = {order.task for at_s, _, order in rig.starts if at_s > lost_s}
        assert lost_tasks <= begun

    @pytest.mark.parametrize(
        "lengthen", [_restart_e1, _lose_e1_with_a_scheduler]
    )
    def test_it_is_waited_for_itself(
        self, lengthen: Callable[[cell_rig.CellRig], None]
    ) -> None:
        rig = _start_lasting_tasks()
        lengthen(rig)
        rig.executor_by_id["e1"].is_answering = False
        before = rig.scheduler.cell.executor_by_id["e1"].runs_end_by_s()
        rig.resign()
        until_s = rig.scheduler.cell.executor_by_id["e1"].inherited_until_s
        assert until_s is not None
        assert until_s >= before - cell_rig.STEP_S

    def test_it_is_that_of_all_while_the_store_does_not_tell_of_it(
        self,
    ) -> None:
        rig = _start_lasting_tasks()
        state = rig.scheduler.cell.executor_by_id["e1"]
        state.assume_longest_lease(
            rig.now_s, _limits.LeaseTimes().longest_lease_s
        )
        rig.executor_by_id["e1"].is_answering = False
        before = state.runs_end_by_s()
        rig.resign()
        for each in ("e1", "e2"):
            until_s = rig.scheduler.cell.executor_by_id[each].inherited_until_s
            assert until_s is not None
            assert until_s >= before - cell_rig.STEP_S

    @pytest.mark.parametrize(
        "changes", [{"tells_long_runs": False}, {"epoch": 0}]
    )
    def test_it_is_that_of_all_after_a_scheduler_that_does_not_tell(
        self, changes: dict[str, Any]
    ) -> None:
        rig = _start_lasting_tasks()
        _restart_e1(rig)
        record = _job_records.decode_record(
            _job_records.KeyedRecord("silent", rig.store["silent"])
        )
        assert isinstance(record, _records.SilentExecutorsRecord)
        (changed,) = _job_records.encode_record(
            dataclasses.replace(record, **changes)
        )
        rig.store[changed.key] = changed.value
        said_s = rig.scheduler.longest_run_s(build.clock_readings_at(rig.now_s))
        rig.resign()
        until_s = rig.scheduler.cell.executor_by_id["e2"].inherited_until_s
        assert until_s is not None
        assert until_s >= rig.now_s + said_s - cell_rig.STEP_S

    def test_a_restart_that_is_not_stored_yet_is_not_told(self) -> None:
        executor = _executors.ExecutorState(listing=build.executor_entry())
        executor.is_restart_stored = True
        executor.record_restart(1.0, clock_ms=0, lease_s=10.0)
        assert not executor.is_restart_stored

    def test_executors_in_order_have_an_ordinary_one(self) -> None:
        rig = _start_lasting_tasks()
        said_s = rig.scheduler.longest_run_s(build.clock_readings_at(rig.now_s))
        assert said_s <= _limits.LeaseTimes().max_ordinary_run_s


class TestExecutorWithoutRuns:
    """A restart that is not stored yet lengthens no wait for others."""

    def test_tasks_of_another_executor_run_in_time(self) -> None:
        rig = _start_lasting_tasks()
        rig.add_executor(build.executor_entry("e3"))
        rig.run(1)
        rig.store_is_up = False
        rig.executor_by_id["e1"].restart()
        rig.run(0.5)
        rig.lose_executor("e2")
        rig.add_executor(build.executor_entry("e4"))
        rig.store_is_up = True
        rig.resign()
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == 8


class TestRunsUnderLeases:
    """A scheduler tells for how long its leases go on."""

    def test_it_is_the_length_of_a_lease(self) -> None:
        rig = _start_lasting_tasks()
        longest_s = rig.scheduler.longest_run_s(
            build.clock_readings_at(rig.now_s)
        )
        lease_s = _limits.LeaseTimes().lease_s
        assert lease_s < longest_s < lease_s * 1.05


class TestTermWithoutLeases:
    """A scheduler that extended no lease lengthens no wait by resigning."""

    def test_lasting_tasks_run_again_in_time(self) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(name) for name in ("e1", "e2", "e3"))
        )
        rig.run(60)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=3, runs_until_cancelled=True),
                in_queue=build.queue("watch"),
            )
        )
        rig.run(1)
        rig.lose_executor("e1")
        rig.run(1)
        rig.take_over(recovery_s=3.0)
        rig.resign(recovery_s=0.3)
        rig.run(_LASTING_TASK_BOUND_S - 4.3)
        assert rig.count_lasting_runs() == 3


class TestEndsThatAreNotStored:
    """An end counts until the lease of its executor has expired."""

    def test_a_task_that_is_done_starts_on_no_other_executor(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(0.3)
        ((_, executor_id, _),) = rig.starts
        rig.store_is_up = False
        rig.run(cell_rig.RUN_TIME_S)
        assert not rig.scheduler.cell.executor_by_id[executor_id].run_by_key
        rig.executor_by_id[executor_id].is_answering = False
        rig.store_is_up = True
        rig.resign(recovery_s=0.7)
        rig.run(0.1)
        rig.executor_by_id[executor_id].is_answering = True
        # The rig fails if the end is taken note of after another start.
        rig.run(3)
        assert len(rig.starts) == 1

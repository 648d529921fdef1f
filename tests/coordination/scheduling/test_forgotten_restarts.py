"""Tests how long a restart of an executor lengthens later schedulers' waits."""

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
import cell_rig
import workload_builders as build

_LASTING_TASK_BOUND_S = 9.0
"""Time within which a task that lasts runs again where there is room, in
seconds: the rules count from 6 s after its last run, and 3 s without one."""

_LONGEST_LEASE_S = _limits.LeaseTimes().longest_lease_s


def _submit_lasting_tasks(rig: cell_rig.CellRig, count: int) -> None:
    """Submits a job of tasks that last."""
    rig.submit(
        build.accepted_job(
            build.step_spec(count=count, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )


class TestRestartThatLengthensNoLeaseAnyMore:
    """A successor counts with an ordinary lease soon after a restart."""

    def test_tasks_of_the_lost_executor_start_in_time(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        _submit_lasting_tasks(rig, 8)
        rig.run(1)
        executor = rig.executor_by_id["e1"]
        executor.restart()
        rig.run(8)
        lost_tasks = {task for task, _ in executor.run_by_key}
        assert lost_tasks
        executor.is_answering = False
        lost_s = rig.now_s
        rig.add_executor(build.executor_entry("e3"))
        rig.take_over()
        rig.run(_LASTING_TASK_BOUND_S)
        begun = {order.task for at_s, _, order in rig.starts if at_s > lost_s}
        assert lost_tasks <= begun


class TestRestartThatMayLengthenALease:
    """A successor counts with the longest lease while there may be one."""

    @pytest.mark.parametrize("age_s", [1.0, 3.0, 5.0, 6.0, 6.5, 7.0, 8.0, 9.0])
    def test_no_task_runs_twice(self, age_s: float) -> None:
        """The rig asserts it."""
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(60)
        executor = rig.executor_by_id["e1"]
        executor.restart()
        executor.renew_lease(
            _limits.fencing_token(rig.epoch, 0),
            _orders.RenewalOrder("e1", 65_000, 0, 0),
        )
        assert executor.lease_ms == _LONGEST_LEASE_S * 1000
        _submit_lasting_tasks(rig, 1)
        rig.run(age_s)
        assert executor.run_by_key
        executor.is_answering = False
        rig.add_executor(build.executor_entry("e2"))
        rig.take_over()
        rig.run(15)
        assert [name for _, name, _ in rig.starts] == ["e1", "e2"]

    def test_it_is_not_forgotten_while_no_lease_is_granted(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(60)
        rig.store_is_up = False
        rig.run(1)
        rig.executor_by_id["e1"].restart()
        rig.run(10)
        assert not rig.scheduler.cell.is_term_confirmed
        assert rig.scheduler.cell.executor_by_id["e1"].has_restarted

    def test_it_is_not_forgotten_while_a_later_one_is_listed(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(60)
        executor = rig.executor_by_id["e1"]
        executor.restart()
        rig.run(2)
        rig.scheduler.set_executors(
            [build.executor_entry("e1", born_ms=executor.born_ms + 1)],
            build.clock_readings_at(rig.now_s),
        )
        rig.run(10)
        assert rig.scheduler.cell.executor_by_id["e1"].has_restarted

    def test_it_is_not_forgotten_while_earlier_orders_are_not_barred(
        self,
    ) -> None:
        executor = _executors.ExecutorState(listing=build.executor_entry())
        executor.record_restart(1.0, clock_ms=0, lease_s=0.0)
        assert not executor.forget_outlasted_restart(5_000)
        executor.record_fence(100, 0.0)
        assert executor.forget_outlasted_restart(5_000)

"""Tests that what belongs to one incarnation is not applied to another."""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_FULL = _job_spec.Resources(4000, 8000, 0)
_HALF = _job_spec.Resources(2000, 4000, 0)
_JOB_ID = "00000000000000a1"
_OTHER_JOB_ID = "00000000000000a2"
_MAX_STEPS = 40
"""Most steps without an answer to a renewal: longer than executors that don't
answer get starts."""


def _started_jobs(rig: cell_rig.CellRig) -> list[str]:
    """Returns the jobs of all starts that executors have begun, in order."""
    return [order.task.job for _, _, order in rig.starts]


def _step_without_renewal(rig: cell_rig.CellRig, executor_id: str) -> None:
    """Runs a step in which a renewal of an executor gets no answer."""
    rig.executor_by_id[executor_id].fails_next_renewal = True
    rig.step()


def _await_start_without_renewals(rig: cell_rig.CellRig) -> None:
    """Runs until a start has reached an executor, at most for a while.

    All renewals of executor e1 get no answer in this time.
    """
    for _ in range(_MAX_STEPS):
        if rig.starts or rig.delayed_orders:
            return
        _step_without_renewal(rig, "e1")


class TestAcknowledgementThatReachesTheNextIncarnation:
    """Ends that nobody has read are not acknowledged.

    The ends of the next incarnation are numbered from 1 again.
    """

    @pytest.mark.parametrize("checks", [True, False])
    def test_a_task_that_is_done_there_does_not_start_again(
        self, *, checks: bool
    ) -> None:
        rig = cell_rig.CellRig()
        rig.checks_incarnations = checks
        executor = rig.executor_by_id["e1"]
        rig.run(10)
        rig.run_time_s = 0.2
        rig.submit(build.accepted_job(build.step_spec(size=_FULL)))
        rig.submit(
            build.accepted_job(
                build.step_spec(size=_FULL), job_id=_OTHER_JOB_ID
            )
        )
        while not rig.starts:
            rig.step()
        rig.store_is_up = False
        while _JOB_ID not in str(rig.done_s_by_task):
            rig.step()
        executor.restart()
        # The next renewal is sent after the restart.
        executor.fails_next_renewal = False
        rig.lost_share = 1.0
        for _ in range(_MAX_STEPS):
            if _OTHER_JOB_ID not in str(rig.done_tasks):
                rig.step()
        rig.lost_share = 0.0
        rig.store_is_up = True
        rig.run(3.0)
        assert _started_jobs(rig) == [_JOB_ID, _OTHER_JOB_ID]


class TestCapacityOfTheFormerIncarnation:
    """Nothing starts by a listing whose incarnation may be gone."""

    def test_no_start_goes_over_a_smaller_one(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1", born_ms=1))
        rig.run(10)
        rig.restart_executor_resized("e1", _HALF)
        _step_without_renewal(rig, "e1")
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        for _ in range(_MAX_STEPS):
            _step_without_renewal(rig, "e1")


class TestRestartOfAYoungExecutor:
    """A clock that could not have gone on so slowly began anew.

    The rig asserts that no task runs twice at a time.
    """

    def test_its_run_is_not_taken_for_expired(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run_time_s = 30.0
        rig.holds_renewals = True
        rig.run(1.0)
        rig.executor_by_id["e1"].restart()
        rig.submit(build.accepted_job())
        _await_start_without_renewals(rig)
        rig.executor_by_id["e1"].is_answering = False
        rig.add_executor(build.executor_entry("e2"))
        rig.run(12)


class TestLateStartOnAnIncarnationNotKnownYet:
    """A start that a new incarnation carries out late runs on from then.

    Its deadline is on the clock before, so that nothing but the longest lease
    bounds it. The rig asserts that no task runs twice at a time.
    """

    def test_its_task_does_not_start_elsewhere_beside_it(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run_time_s = 60.0
        rig.run(60)
        rig.executor_by_id["e1"].restart()
        rig.submit(build.accepted_job())
        rig.delayed_share = 1.0
        _await_start_without_renewals(rig)
        rig.delayed_share = 0.0
        for late in rig.delayed_orders:
            late.due_s = rig.now_s + 8.0
        rig.executor_by_id["e1"].is_answering = False
        rig.add_executor(build.executor_entry("e2"))
        rig.run(25)


def _take(
    orders: list[_orders.Order], kind: type[_orders.ExecutorOrder]
) -> _orders.ExecutorOrder:
    """Returns the only order of a kind among some orders."""
    (order,) = (each for each in orders if isinstance(each, kind))
    return order


class TestAnswerOfTheFormerIncarnationAfterItsRestartIsKnown:
    """An answer to a renewal that was sent before says nothing of the next.

    Answers on different connections may overtake each other.
    """

    def _learn_of_restart_beside_a_renewal(
        self,
    ) -> tuple[_scheduler.Scheduler, _orders.RenewalOrder, _orders.StartOrder]:
        """Returns a scheduler that a start's answer told of a restart.

        The renewal that it returns was sent before and is answered later.
        """
        scheduler = build.scheduler()
        scheduler.set_executors(
            [build.executor_entry("e1", born_ms=1)],
            build.clock_readings_at(0.0),
        )
        for now_s in (0.1, 0.2):
            for order in self._tick(scheduler, now_s):
                if isinstance(order, _orders.RenewalOrder):
                    self._answer(scheduler, order, now_s)
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.25)
        )
        orders = self._tick(scheduler, 0.3) + self._tick(scheduler, 0.4)
        renewal = _take(orders, _orders.RenewalOrder)
        start = _take(orders, _orders.StartOrder)
        assert isinstance(renewal, _orders.RenewalOrder)
        assert isinstance(start, _orders.StartOrder)
        known = scheduler.cell.executor_by_id["e1"].clock
        now = build.clock_readings_at(0.9)
        scheduler.handle_start_answer(start, _orders.StartResult.STARTED, now)
        scheduler.handle_clock("e1", known, 100, now, sent_s=0.4)
        self._answer(scheduler, renewal, 1.0)
        return scheduler, renewal, start

    def _tick(
        self, scheduler: _scheduler.Scheduler, now_s: float
    ) -> list[_orders.Order]:
        """Runs the timed work, stores its batch and returns its orders."""
        now = build.clock_readings_at(now_s)
        scheduler.run_timed_work(now, confirmed_s=now_s, confirmed_beat=1)
        batch = scheduler.take_batch()
        if batch is not None:
            scheduler.handle_batch_stored(batch, now)
        return scheduler.take_orders()

    def _answer(
        self,
        scheduler: _scheduler.Scheduler,
        order: _orders.RenewalOrder,
        now_s: float,
    ) -> None:
        """Answers a renewal as the first incarnation, which ran nothing."""
        scheduler.handle_renewal_answer(
            order,
            _executor.LeaseRenewalReply(
                clock_ms=60_000 + int(now_s * 1000),
                started_wall_ms=1,
                active_runs=(),
                unacknowledged_ends=(),
            ),
            build.clock_readings_at(now_s),
        )

    def test_the_run_of_the_next_is_not_taken_for_expired(self) -> None:
        scheduler, _, start = self._learn_of_restart_beside_a_renewal()
        scheduler.set_executors(
            [
                build.executor_entry("e1", born_ms=1),
                build.executor_entry("e2", born_ms=1),
            ],
            build.clock_readings_at(1.0),
        )
        # The start's lease on the new clock may last until second 10.8.
        for number in range(11, 100):
            for order in self._tick(scheduler, number / 10):
                assert not isinstance(order, _orders.StartOrder)
                if (
                    isinstance(order, _orders.RenewalOrder)
                    and order.executor == "e2"
                ):
                    self._answer(scheduler, order, number / 10)
        executor = scheduler.cell.executor_by_id["e1"]
        assert list(executor.run_by_key) == [(start.task, start.run)]

    def test_nothing_starts_by_what_it_listed(self) -> None:
        scheduler, _, _ = self._learn_of_restart_beside_a_renewal()
        scheduler.submit_job(
            build.accepted_job(job_id=_OTHER_JOB_ID),
            build.clock_readings_at(1.05),
        )
        orders = self._tick(scheduler, 1.1) + self._tick(scheduler, 1.2)
        assert not [e for e in orders if isinstance(e, _orders.StartOrder)]


class TestCrashBeforeARunBegan:
    """A run that the next incarnation began did not crash the one before."""

    def test_its_task_is_no_suspect(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run_time_s = 30.0
        rig.run(60)
        rig.executor_by_id["e1"].restart()
        rig.submit(build.accepted_job())
        _await_start_without_renewals(rig)
        rig.run(2.0)
        job = rig.scheduler.cell.job_by_id[_JOB_ID]
        assert job.progress.crashes_by_position == {}

"""Tests of executors whose address another executor has taken."""

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.state.workload import _executor
import workload_builders as build

_STEP_S = 0.05
"""Time between two passes of the scheduler, in seconds."""


class _Refusals:
    """A scheduler whose only executor was lost after it had listed its runs.

    Another executor answers at its address.

    Attributes:
        scheduler: The scheduler.
        renewals: The renewals that were refused.
        events: Names of the entries of its log.
    """

    def __init__(self) -> None:
        self.scheduler: _scheduler.Scheduler = build.scheduler()
        self.renewals: list[_orders.RenewalOrder] = []
        self.events: list[str] = []
        self._now_s = 0.0
        self.list_executor("10.0.0.1:1")
        self.answer(60_000)

    def list_executor(self, address: str) -> None:
        """Lists the executor at an address."""
        self.scheduler.set_executors(
            [build.executor_entry("e1", address=address)],
            build.clock_readings_at(self._now_s),
        )

    def answer(self, clock_ms: int) -> None:
        """Lets the executor answer one renewal, with a clock's reading."""
        self.scheduler.handle_renewal_answer(
            self._next_renewal(),
            _executor.LeaseRenewalReply(
                clock_ms=clock_ms,
                started_wall_ms=1,
                active_runs=(),
                unacknowledged_ends=(),
            ),
            build.clock_readings_at(self._now_s),
        )

    def refuse_after_restart(self) -> None:
        """Refuses a renewal that was sent before a restart known since."""
        renewal = self._next_renewal()
        now = build.clock_readings_at(self._now_s)
        known = self.scheduler.cell.executor_by_id["e1"].clock
        self.scheduler.handle_clock("e1", known, 5, now, sent_s=self._now_s)
        self.scheduler.handle_renewal_failure(
            renewal, now, is_other_incarnation=True
        )
        self._step()

    def refuse_for(self, seconds: float) -> None:
        """Refuses all renewals for a time."""
        self.renewals += self._fail_for(seconds, is_other_incarnation=True)

    def lose_for(self, seconds: float) -> None:
        """Leaves all renewals without an answer for a time."""
        self._fail_for(seconds, is_other_incarnation=False)

    def _fail_for(
        self, seconds: float, *, is_other_incarnation: bool
    ) -> list[_orders.RenewalOrder]:
        """Lets all renewals fail for a time; returns them."""
        failed: list[_orders.RenewalOrder] = []
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            for renewal in self._step():
                failed.append(renewal)
                self.scheduler.handle_renewal_failure(
                    renewal,
                    build.clock_readings_at(self._now_s),
                    is_other_incarnation=is_other_incarnation,
                )
        return failed

    def _next_renewal(self) -> _orders.RenewalOrder:
        """Returns the next renewal, once it is due."""
        while True:
            for renewal in self._step():
                return renewal

    def _step(self) -> list[_orders.RenewalOrder]:
        """Runs the scheduler's timed work; returns its renewals."""
        self._now_s += _STEP_S
        now = build.clock_readings_at(self._now_s)
        self.scheduler.run_timed_work(
            now, confirmed_s=self._now_s, confirmed_beat=1
        )
        batch = self.scheduler.take_batch()
        if batch is not None:
            self.scheduler.handle_batch_stored(batch, now)
        self.events += [each.event for each in self.scheduler.take_notes()]
        return [
            each
            for each in self.scheduler.take_orders()
            if isinstance(each, _orders.RenewalOrder)
        ]


class TestGoneExecutor:
    """One refusal tells that an executor is gone."""

    def test_its_end_is_noted_once(self) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        assert refusals.events.count("executor.other-life") == 1

    def test_it_is_asked_ever_less_often(self) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        assert len(refusals.renewals) <= 10

    def test_it_is_asked_again_in_time_however_long_it_is_gone(self) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        count = len(refusals.renewals)
        refusals.refuse_for(_limits.MAX_REFUSED_RETRY_S + 2 * _STEP_S)
        assert len(refusals.renewals) > count

    def test_it_is_asked_again_at_once_after_lost_renewals(self) -> None:
        refusals = _Refusals()
        refusals.lose_for(3.0)
        refusals.refuse_for(2 * _limits.RENEWAL_RETRY_S + 2 * _STEP_S)
        assert len(refusals.renewals) >= 2

    def test_its_next_incarnation_is_taken_to_be_as_old_as_it_may_be(
        self,
    ) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        executor = refusals.scheduler.cell.executor_by_id["e1"]
        passed_s = 10.0 - executor.clock.read_s
        assert executor.clock.clock_ms + passed_s * 1000 >= 9_500

    def test_it_is_asked_at_once_at_another_address(self) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        count = len(refusals.renewals)
        refusals.list_executor("10.0.0.2:1")
        refusals.refuse_for(_STEP_S)
        assert len(refusals.renewals) == count + 1

    def test_it_is_found_when_it_takes_its_address_back(self) -> None:
        refusals = _Refusals()
        refusals.refuse_for(10.0)
        refusals.answer(100)
        executor = refusals.scheduler.cell.executor_by_id["e1"]
        assert executor.is_in_contact(10.0, own_delay_s=0.0)
        refusals.refuse_for(_limits.RENEWAL_RETRY_S + 2 * _STEP_S)
        assert refusals.events.count("executor.other-life") == 2


class TestRefusalFromBeforeARestart:
    """A renewal of the incarnation before was refused."""

    def test_it_does_not_end_the_next_incarnation(self) -> None:
        refusals = _Refusals()
        refusals.refuse_after_restart()
        assert refusals.events.count("executor.other-life") == 1

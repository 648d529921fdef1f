"""Tests that a restart of an executor under its id doubles no run."""

import pytest

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.scheduling import _clock_reading
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _records
import cell_rig
import workload_builders as build

_JOB_ID = "00000000000000a1"


def _run_timed_work(
    scheduler: _scheduler.Scheduler, now_s: float
) -> list[_orders.Order]:
    """Runs the scheduler's timed work, stores its batch, returns its orders."""
    now = build.clock_readings_at(now_s)
    scheduler.run_timed_work(now, confirmed_s=now_s, confirmed_beat=1)
    batch = scheduler.take_batch()
    if batch is not None:
        scheduler.handle_batch_stored(batch, now)
    return scheduler.take_orders()


def _find_starts(
    orders: list[_orders.Order],
) -> list[_orders.StartOrder]:
    """Returns the start orders among some orders."""
    return [each for each in orders if isinstance(each, _orders.StartOrder)]


def _answer_renewals(
    scheduler: _scheduler.Scheduler,
    orders: list[_orders.Order],
    now_s: float,
    *,
    born_ms: int,
    runs: tuple[_executor.ActiveRunReport, ...] = (),
) -> None:
    """Answers the renewals among some orders; all list the same runs."""
    for order in orders:
        if isinstance(order, _orders.RenewalOrder):
            scheduler.handle_renewal_answer(
                order,
                _executor.LeaseRenewalReply(
                    clock_ms=int(now_s * 1000),
                    started_wall_ms=born_ms,
                    active_runs=runs,
                    unacknowledged_ends=(),
                ),
                build.clock_readings_at(now_s),
            )


def _start_scheduler() -> _scheduler.Scheduler:
    """Returns a scheduler with one executor that has answered it."""
    scheduler = build.scheduler()
    scheduler.set_executors(
        [build.executor_entry("e1")], build.clock_readings_at(0.0)
    )
    for now_s in (0.1, 0.2):
        orders = _run_timed_work(scheduler, now_s)
        _answer_renewals(scheduler, orders, now_s, born_ms=1)
    return scheduler


def _settle_without_run(
    scheduler: _scheduler.Scheduler, from_s: float, *, born_ms: int
) -> list[_orders.StartOrder]:
    """Answers renewals without a run, and stops; returns the starts."""
    starts = []
    for number in range(20):
        now_s = from_s + number / 10
        orders = _run_timed_work(scheduler, now_s)
        _answer_renewals(scheduler, orders, now_s, born_ms=born_ms)
        for order in orders:
            if isinstance(order, _orders.StopOrder):
                scheduler.handle_stop_answer(
                    order, True, build.clock_readings_at(now_s)
                )
        starts += _find_starts(orders)
    return starts


class TestStartAnsweredBeforeTheRestartIsKnown:
    """A run that a new incarnation started is not taken for one of the old.

    The answer that shows the restart was written before the run began.
    """

    def _order_start_beside_a_renewal(
        self, scheduler: _scheduler.Scheduler
    ) -> tuple[list[_orders.Order], _orders.StartOrder]:
        """Returns the orders of ticks that renew a lease and start a task."""
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.25)
        )
        orders = _run_timed_work(scheduler, 0.25)
        orders += _run_timed_work(scheduler, 0.3)
        (start,) = _find_starts(orders)
        return orders, start

    def test_its_task_is_not_started_again(self) -> None:
        scheduler = _start_scheduler()
        orders, start = self._order_start_beside_a_renewal(scheduler)
        scheduler.handle_start_answer(
            start, _orders.StartResult.STARTED, build.clock_readings_at(0.31)
        )
        _answer_renewals(scheduler, orders, 0.32, born_ms=2)
        for now_s in (0.4, 0.5, 0.6):
            orders = _run_timed_work(scheduler, now_s)
            assert _find_starts(orders) == []
            _answer_renewals(
                scheduler,
                orders,
                now_s,
                born_ms=2,
                runs=(
                    _executor.ActiveRunReport(
                        _job_spec.TaskId(_JOB_ID, 0, 0, 0), start.run, "", 1, 0
                    ),
                ),
            )
        state = scheduler.visible_state(_JOB_ID)
        assert state is not None
        assert state.value == "running"

    def test_its_room_stays_booked(self) -> None:
        scheduler = _start_scheduler()
        orders, start = self._order_start_beside_a_renewal(scheduler)
        scheduler.handle_start_answer(
            start, _orders.StartResult.STARTED, build.clock_readings_at(0.31)
        )
        _answer_renewals(scheduler, orders, 0.32, born_ms=2)
        executor = scheduler.cell.executor_by_id["e1"]
        assert executor.reserved_resources == build.step_spec().size

    def test_its_task_starts_again_if_the_new_incarnation_does_not_list_it(
        self,
    ) -> None:
        scheduler = _start_scheduler()
        orders, start = self._order_start_beside_a_renewal(scheduler)
        scheduler.handle_start_answer(
            start, _orders.StartResult.STARTED, build.clock_readings_at(0.31)
        )
        _answer_renewals(scheduler, orders, 0.32, born_ms=2)
        starts = _settle_without_run(scheduler, 0.4, born_ms=2)
        assert len(starts) == 1
        assert starts[0].run > start.run

    def test_a_run_that_is_being_stopped_is_stopped_there_too(self) -> None:
        scheduler = _start_scheduler()
        orders, start = self._order_start_beside_a_renewal(scheduler)
        now = build.clock_readings_at(0.31)
        scheduler.handle_start_answer(start, _orders.StartResult.STARTED, now)
        scheduler.cancel_job(_JOB_ID, now)
        stops = [
            each
            for each in _run_timed_work(scheduler, 0.32)
            if isinstance(each, _orders.StopOrder)
        ]
        for stop in stops:
            scheduler.handle_stop_answer(
                stop, True, build.clock_readings_at(0.33)
            )
        _answer_renewals(scheduler, orders, 0.34, born_ms=2)
        assert any(
            isinstance(each, _orders.StopOrder)
            for each in _run_timed_work(scheduler, 0.4)
        )


def _take_renewal(orders: list[_orders.Order]) -> _orders.RenewalOrder:
    """Returns the only renewal among some orders."""
    (renewal,) = (e for e in orders if isinstance(e, _orders.RenewalOrder))
    return renewal


class TestRestartAtAnotherAddress:
    """What the old address answers says nothing of the present incarnation."""

    def _move_executor(
        self, scheduler: _scheduler.Scheduler, now_s: float
    ) -> None:
        """Lists the executor at a new address."""
        scheduler.set_executors(
            [build.executor_entry("e1", address="10.0.0.2:1")],
            build.clock_readings_at(now_s),
        )

    def test_a_refusal_at_the_old_one_does_not_end_a_run_begun_since(
        self,
    ) -> None:
        scheduler = _start_scheduler()
        renewal = _take_renewal(_run_timed_work(scheduler, 0.3))
        self._move_executor(scheduler, 0.31)
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.32)
        )
        _run_timed_work(scheduler, 0.35)
        (start,) = _find_starts(_run_timed_work(scheduler, 0.4))
        scheduler.handle_start_answer(
            start, _orders.StartResult.STARTED, build.clock_readings_at(0.41)
        )
        scheduler.handle_renewal_failure(
            renewal, build.clock_readings_at(0.42), is_other_incarnation=True
        )
        executor = scheduler.cell.executor_by_id["e1"]
        assert list(executor.run_by_key) == [(start.task, start.run)]

    def test_the_stored_roster_has_the_new_one(self) -> None:
        scheduler = _start_scheduler()
        self._move_executor(scheduler, 0.3)
        now = build.clock_readings_at(0.3)
        scheduler.run_timed_work(now, confirmed_s=0.3, confirmed_beat=1)
        batch = scheduler.take_batch()
        assert batch is not None
        (roster,) = (
            each
            for each in batch.records
            if isinstance(each, _records.ExecutorRosterRecord)
        )
        assert [each.address for each in roster.executors] == ["10.0.0.2:1"]


class TestWaitForAReplacedIncarnation:
    """A successor does not wait for an executor whose process is gone.

    It has no runs until it takes tasks again.
    """

    def test_the_stored_roster_leaves_it_out(self) -> None:
        scheduler = _start_scheduler()
        renewal = _take_renewal(_run_timed_work(scheduler, 0.25))
        scheduler.handle_renewal_failure(
            renewal, build.clock_readings_at(0.26), is_other_incarnation=True
        )
        now = build.clock_readings_at(0.3)
        scheduler.run_timed_work(now, confirmed_s=0.3, confirmed_beat=1)
        batch = scheduler.take_batch()
        assert batch is not None
        (roster,) = (
            each
            for each in batch.records
            if isinstance(each, _records.ExecutorRosterRecord)
        )
        assert not roster.executors

    def test_it_is_stored_again_before_a_task_starts(self) -> None:
        scheduler = _start_scheduler()
        renewal = _take_renewal(_run_timed_work(scheduler, 0.25))
        scheduler.handle_renewal_failure(
            renewal, build.clock_readings_at(0.26), is_other_incarnation=True
        )
        orders = _run_timed_work(scheduler, 0.52)
        _answer_renewals(scheduler, orders, 0.52, born_ms=2)
        scheduler.set_executors(
            [build.executor_entry("e1", born_ms=2)],
            build.clock_readings_at(0.52),
        )
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.53)
        )
        now = build.clock_readings_at(0.56)
        scheduler.run_timed_work(now, confirmed_s=0.56, confirmed_beat=1)
        assert not _find_starts(scheduler.take_orders())
        batch = scheduler.take_batch()
        assert batch is not None
        scheduler.handle_batch_stored(batch, now)
        (roster,) = (
            each
            for each in batch.records
            if isinstance(each, _records.ExecutorRosterRecord)
        )
        assert [each.id for each in roster.executors] == ["e1"]
        assert len(_find_starts(_run_timed_work(scheduler, 0.58))) == 1


class TestRunThatIsNeverListed:
    """A run that no listing names does not hold up its task for good.

    After a refusal the next incarnation is not told from the one after it.
    """

    def test_its_task_starts_again(self) -> None:
        scheduler = _start_scheduler()
        renewal = _take_renewal(_run_timed_work(scheduler, 0.25))
        scheduler.handle_renewal_failure(
            renewal, build.clock_readings_at(0.26), is_other_incarnation=True
        )
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.27)
        )
        orders = _run_timed_work(scheduler, 0.52)
        _answer_renewals(scheduler, orders, 0.52, born_ms=0)
        assert not _find_starts(_run_timed_work(scheduler, 0.54))
        orders = _run_timed_work(scheduler, 0.56)
        (start,) = _find_starts(orders)
        scheduler.handle_start_answer(
            start, _orders.StartResult.STARTED, build.clock_readings_at(0.57)
        )
        _answer_renewals(scheduler, orders, 0.58, born_ms=0)
        starts = _settle_without_run(scheduler, 0.6, born_ms=3)
        assert len(starts) == 1
        assert starts[0].run > start.run


def _start_on_restarted_executor() -> cell_rig.CellRig:
    """Returns a rig whose executor e1 restarted and then took a start.

    The deadline of the start is on the clock of the incarnation before. The
    start was not preceded by a check of the incarnation.
    """
    rig = cell_rig.CellRig(build.executor_entry("e1"))
    rig.checks_incarnations = False
    rig.run_time_s = 30.0
    rig.run(60)
    rig.executor_by_id["e1"].restart()
    rig.submit(build.accepted_job())
    while not rig.starts:
        rig.executor_by_id["e1"].fails_next_renewal = True
        rig.step()
    return rig


def _lose_answers_of_restarted_executor() -> cell_rig.CellRig:
    """Returns a rig whose executor e1 restarted; no answer of it arrives.

    A task is to start on it.
    """
    rig = cell_rig.CellRig(build.executor_entry("e1"))
    rig.run_time_s = 30.0
    rig.run(60)
    rig.executor_by_id["e1"].restart()
    rig.submit(build.accepted_job())
    rig.lost_share = 1.0
    rig.run(1.0)
    rig.lost_share = 0.0
    return rig


def _cut_off_beside_another(rig: cell_rig.CellRig) -> None:
    """Cuts executor e1 off and adds e2, on which its tasks can start."""
    rig.executor_by_id["e1"].is_answering = False
    rig.add_executor(build.executor_entry("e2"))


class TestLeaseOfAnIncarnationNotKnownYet:
    """A deadline on the old clock gives a new incarnation a longer lease.

    The rig asserts that no task runs twice at a time.
    """

    @pytest.mark.parametrize("resigns", [False, True])
    def test_its_run_is_not_taken_for_expired(self, *, resigns: bool) -> None:
        rig = _start_on_restarted_executor()
        _cut_off_beside_another(rig)
        if resigns:
            rig.resign()
        rig.run(12)

    @pytest.mark.parametrize("resigns", [False, True])
    def test_a_start_that_would_get_no_answer_is_not_sent(
        self, *, resigns: bool
    ) -> None:
        rig = _lose_answers_of_restarted_executor()
        _cut_off_beside_another(rig)
        if resigns:
            rig.resign()
        rig.run(12)
        assert [executor for _, executor, _ in rig.starts] == ["e2"]

    @pytest.mark.parametrize("resigns", [False, True])
    def test_a_later_scheduler_does_not_take_it_for_expired(
        self, *, resigns: bool
    ) -> None:
        rig = _start_on_restarted_executor()
        rig.run(0.3)
        if resigns:
            rig.resign()
        else:
            rig.take_over()
        rig.run(0.3)
        _cut_off_beside_another(rig)
        rig.run(12)

    def test_the_task_of_one_that_was_not_sent_starts_elsewhere_soon(
        self,
    ) -> None:
        rig = _lose_answers_of_restarted_executor()
        cut_s = rig.now_s
        _cut_off_beside_another(rig)
        rig.run(12)
        ((started_s, _, _),) = rig.starts
        assert started_s < cut_s + rig.scheduler.cell.times.lease_s

    def test_the_task_starts_elsewhere_in_the_end(self) -> None:
        rig = _start_on_restarted_executor()
        _cut_off_beside_another(rig)
        rig.run(12)
        assert [executor for _, executor, _ in rig.starts] == ["e1", "e2"]


class TestCheckOfAYoungIncarnation:
    """A clock that shows more than before may be of another incarnation."""

    def _check(self, *, born_ms: int, clock_ms: int) -> tuple[bool, int]:
        """Returns whether an executor is known, and its known restarts."""
        scheduler = _start_scheduler()
        executor = scheduler.cell.executor_by_id["e1"]
        is_known = scheduler.handle_incarnation_check(
            "e1",
            executor.clock,
            _executor.LeaseRenewalReply(
                clock_ms=clock_ms,
                started_wall_ms=born_ms,
                active_runs=(),
                unacknowledged_ends=(),
            ),
            build.clock_readings_at(0.9),
        )
        return is_known, executor.clock.restarts

    def test_the_one_that_listed_its_runs_is_known(self) -> None:
        assert self._check(born_ms=1, clock_ms=900) == (True, 0)

    def test_one_with_another_start_time_is_not(self) -> None:
        assert self._check(born_ms=2, clock_ms=500) == (False, 1)

    def test_one_whose_clock_went_back_is_not(self) -> None:
        assert self._check(born_ms=1, clock_ms=50) == (False, 1)


class TestLeaseBeyondTheWaitOfTheNextScheduler:
    """A scheduler that has lost its store grants no lease that ends too late.

    The next scheduler waits for a bounded time after the last confirmation.
    """

    @pytest.mark.parametrize("unconfirmed_s", [3.0, 4.0, 4.5, 4.8, 4.9])
    def test_a_restarted_executor_has_none(self, unconfirmed_s: float) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.holds_renewals = True
        rig.run(60)
        rig.store_is_up = False
        rig.run(unconfirmed_s)
        executor = rig.executor_by_id["e1"]
        executor.restart()
        executor.fails_next_renewal = False
        rig.run(1.0)
        lease_ends_s = executor.born_s + executor.lease_ms / 1000
        longest_s = rig.scheduler.cell.times.max_run_after_term_s
        assert lease_ends_s <= rig.term_confirmed_s + longest_s


class TestLongLeaseOfALostScheduler:
    """The next scheduler counts with the longest lease after a restart."""

    def _lose_after_restart(self, age_s: float) -> cell_rig.CellRig:
        """Returns a rig after the loss of e1, which had restarted, and a term.

        Args:
            age_s: Age of the incarnation of e1, in seconds.
        """
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
        rig.run(1)
        rig.executor_by_id["e1"].restart()
        rig.run(age_s)
        assert rig.executor_by_id["e1"].run_by_key
        rig.executor_by_id["e1"].is_answering = False
        rig.take_over()
        rig.run(1)
        return rig

    @pytest.mark.parametrize(("age_s", "is_long"), [(3.0, True), (30.0, False)])
    def test_it_is_waited_for_while_late_orders_may_arrive(
        self, age_s: float, is_long: bool
    ) -> None:
        rig = self._lose_after_restart(age_s)
        lost_s = rig.now_s - 1
        until_s = rig.scheduler.cell.executor_by_id["e1"].inherited_until_s
        assert until_s is not None
        times = _limits.LeaseTimes()
        born_s = rig.executor_by_id["e1"].born_s
        assert until_s > born_s + times.longest_lease_s
        longest_ordinary_s = (
            _lease_grants.UNREPORTED_GRANT_S
            + times.max_run_after_grant_s
            + _limits.LEASE_EXPIRY_MARGIN_S
        )
        longest_s = longest_ordinary_s + cell_rig.STEP_S
        assert (until_s - lost_s > longest_s) == is_long

    def test_the_restart_is_stored_before_a_task_starts(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(1)
        rig.store_is_up = False
        rig.executor_by_id["e1"].restart()
        rig.run(0.5)
        state = rig.scheduler.cell.executor_by_id["e1"]
        assert state.has_restarted
        assert not state.is_roster_stored
        rig.store_is_up = True
        rig.run(0.2)
        assert state.is_roster_stored
        record = _job_records.decode_record(
            _job_records.KeyedRecord("roster", rig.store["roster"])
        )
        assert isinstance(record, _records.ExecutorRosterRecord)
        assert record.executors[0].has_restarted


class TestLateOrdersForTheIncarnationBefore:
    """An order that is carried out late means nothing to the next incarnation.

    The next incarnation was already told of when it is carried out.
    """

    def _restart_before_late_order(
        self, order: _orders.ExecutorOrder
    ) -> cell_rig.CellRig:
        """Returns a rig in which an order reached the next incarnation.

        It was sent before the restart was known, and is carried out after the
        executor has ended a run of its own and was cut off.
        """
        rig = cell_rig.CellRig(build.executor_entry("e1"))
        rig.run(60)
        token = _limits.fencing_token(rig.epoch, 0)
        executor = rig.executor_by_id["e1"]
        executor.restart()
        rig.run(1)
        rig.submit(build.accepted_job())
        rig.run(0.1)
        executor.is_answering = False
        rig.run(1)
        assert executor.ends
        rig.delayed_orders.append(
            cell_rig.DelayedOrder(
                rig.now_s, token, order, executor.born_ms, rig.now_s
            )
        )
        rig.step()
        return rig

    @pytest.fixture
    def late_renewal(self) -> _orders.RenewalOrder:
        """A renewal with the deadline and ends of the incarnation before."""
        return _orders.RenewalOrder("e1", 65_000, 9, 0)

    def test_it_drops_no_ends_that_nobody_has_read(
        self, late_renewal: _orders.RenewalOrder
    ) -> None:
        rig = self._restart_before_late_order(late_renewal)
        assert rig.executor_by_id["e1"].ends

    def test_it_extends_no_lease(
        self, late_renewal: _orders.RenewalOrder
    ) -> None:
        rig = self._restart_before_late_order(late_renewal)
        executor = rig.executor_by_id["e1"]
        state = rig.scheduler.cell.executor_by_id["e1"]
        assert executor.lease_ms <= state.lease_until_ms

    def test_it_starts_no_run(self) -> None:
        rig = self._restart_before_late_order(
            _orders.StartOrder(
                "e1", _job_spec.TaskId(_JOB_ID, 0, 0, 0), 99, "", 65_000, ""
            )
        )
        assert not rig.executor_by_id["e1"].run_by_key


class TestFence:
    """Only orders of a later term end a scheduler's work."""

    @pytest.mark.parametrize("is_restart_known", [False, True])
    def test_a_start_that_is_refused_for_a_restart_known_since_does_not(
        self, *, is_restart_known: bool
    ) -> None:
        scheduler = _start_scheduler()
        scheduler.submit_job(
            build.accepted_job(), build.clock_readings_at(0.25)
        )
        orders = _run_timed_work(scheduler, 0.25)
        orders += _run_timed_work(scheduler, 0.3)
        (start,) = _find_starts(orders)
        if is_restart_known:
            _answer_renewals(scheduler, orders, 0.32, born_ms=2)
        scheduler.handle_start_answer(
            start, _orders.StartResult.FENCED, build.clock_readings_at(0.33)
        )
        assert scheduler.cell.is_fenced is not is_restart_known

    @pytest.mark.parametrize("is_restart_known", [False, True])
    def test_a_renewal_that_is_refused_for_a_restart_known_since_does_not(
        self, *, is_restart_known: bool
    ) -> None:
        scheduler = _start_scheduler()
        now = build.clock_readings_at(0.32)
        renewal = _take_renewal(_run_timed_work(scheduler, 0.3))
        if is_restart_known:
            clock = _clock_reading.ClockReading(0, 10_000, 0.2)
            scheduler.handle_clock("e1", clock, 5, now, sent_s=0.3)
        scheduler.handle_fence(renewal, now)
        assert scheduler.cell.is_fenced is not is_restart_known


class TestConnectionsThatDoNotLast:
    """An executor whose connections end after each answer isn't asked often."""

    def test_it_is_asked_no_more_often_than_its_renewals_are_due(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        rig = cell_rig.CellRig()
        rig.holds_renewals = True
        rig.run(1)
        sent: list[_orders.ExecutorOrder] = []

        def is_connected(
            _executor: object, _token: int, order: _orders.ExecutorOrder
        ) -> bool:
            if (
                isinstance(order, _orders.RenewalOrder)
                and order.is_for_one_incarnation
            ):
                rig.scheduler.handle_unsent_renewal(
                    order, build.clock_readings_at(rig.now_s)
                )
                return False
            sent.append(order)
            return True

        monkeypatch.setattr(rig, "_is_connected", is_connected)
        rig.run(20)
        # The first one after a lack isn't held back.
        assert len(sent) <= 20 / _limits.RENEWAL_WAIT_S + 2

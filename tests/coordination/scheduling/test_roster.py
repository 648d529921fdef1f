"""Tests what the stored roster tells of executors that have restarted."""

import pytest

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _roster
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _records
from basiljunction.state.workload import _run_bound
import workload_builders as build

_TIMES = _limits.LeaseTimes()
_RESTARTED_S = 100.0
_ANSWERED_S = 101.0
_CONFIRMED_S = 100.5
_CLOCK_MS = 400


def _make_cell(executor: _executors.ExecutorState) -> _cell_state.CellState:
    return _cell_state.CellState(
        epoch=3,
        times=_TIMES,
        configuration=build.configuration(),
        executor_by_id={executor.listing.id: executor},
        confirmed_s=_CONFIRMED_S,
        confirmed_beat=7,
    )


def _restart(born_ms: int = 2) -> _executors.ExecutorState:
    """Returns an executor whose restart is known."""
    executor = _executors.ExecutorState(
        listing=build.executor_entry(born_ms=born_ms), last_answer_s=99.0
    )
    executor.generation = 1
    executor.record_restart(
        _RESTARTED_S, clock_ms=0, lease_s=_TIMES.longest_lease_s
    )
    return executor


def _answer(executor: _executors.ExecutorState, born_ms: int = 2) -> None:
    """Lets an executor answer a renewal that bars earlier orders."""
    executor.renewal_generation = executor.generation
    executor.record_fence(_CLOCK_MS, _TIMES.longest_lease_s)
    executor.record_clock(_CLOCK_MS, _ANSWERED_S)
    executor.last_answer_s = _ANSWERED_S
    executor.started_wall_ms = born_ms


def _store(
    roster: _roster.Roster, cell: _cell_state.CellState
) -> _records.ExecutorRosterRecord:
    """Returns the record as it is read back from the store."""
    cell.roster_changed = True
    record = roster.next_record()
    assert record is not None
    (item,) = _job_records.encode_record(record)
    decoded = _job_records.decode_record(item)
    assert isinstance(decoded, _records.ExecutorRosterRecord)
    return decoded


def _tell(
    executor: _executors.ExecutorState,
) -> _executor.ListedExecutor:
    """Returns what the store has of an executor."""
    cell = _make_cell(executor)
    (entry,) = _store(_roster.Roster(cell), cell).executors
    return entry


class TestBoundOfLongLeases:
    """The roster tells until when a restart may lengthen a lease."""

    def test_is_the_longest_lease_after_the_answer_that_bars_earlier_orders(
        self,
    ) -> None:
        executor = _restart()
        _answer(executor)
        longest_s = (
            _TIMES.longest_lease_s * _limits.MAX_CLOCK_SLOWNESS
            + _limits.LEASE_EXPIRY_MARGIN_S
        )
        bound = _tell(executor).long_leases
        assert bound is not None
        assert (bound.epoch, bound.beat) == (3, 7)
        assert bound.after_s == pytest.approx(
            _ANSWERED_S + longest_s - _CONFIRMED_S
        )

    def test_is_not_told_before_earlier_orders_are_barred(self) -> None:
        executor = _restart()
        executor.last_answer_s = _ANSWERED_S
        executor.started_wall_ms = 2
        entry = _tell(executor)
        assert entry.has_restarted
        assert entry.long_leases is None

    def test_is_not_told_while_another_incarnation_is_listed(self) -> None:
        executor = _restart(born_ms=3)
        _answer(executor, born_ms=2)
        assert _tell(executor).long_leases is None


class TestStartBeforeTheStoreTellsTheRestart:
    """A task starts only where a successor would wait long enough."""

    def test_a_record_from_before_the_restart_is_not_enough(self) -> None:
        executor = _executors.ExecutorState(
            listing=build.executor_entry(born_ms=1), last_answer_s=99.0
        )
        cell = _make_cell(executor)
        roster = _roster.Roster(cell)
        before = _store(roster, cell)
        executor.record_restart(_RESTARTED_S, clock_ms=0, lease_s=10.0)
        executor.is_roster_stored = False
        roster.handle_stored(before)
        assert not executor.is_roster_stored

    def test_a_record_without_the_bound_is_not_enough(self) -> None:
        executor = _restart()
        cell = _make_cell(executor)
        roster = _roster.Roster(cell)
        unbounded = _store(roster, cell)
        _answer(executor)
        roster.handle_stored(unbounded)
        assert not executor.is_roster_stored
        roster.handle_stored(_store(roster, cell))
        assert executor.is_roster_stored

    def test_a_record_with_the_bound_of_an_earlier_restart_is_not_enough(
        self,
    ) -> None:
        executor = _restart(born_ms=2)
        _answer(executor, born_ms=2)
        cell = _make_cell(executor)
        roster = _roster.Roster(cell)
        earlier = _store(roster, cell)
        executor.record_restart(102.0, clock_ms=0, lease_s=10.0)
        executor.update_listing(build.executor_entry(born_ms=3), 102.0)
        _answer(executor, born_ms=3)
        roster.handle_stored(earlier)
        assert not executor.is_roster_stored

    def test_a_restart_that_only_the_list_tells_is_stored_first(self) -> None:
        scheduler = build.scheduler()
        scheduler.set_executors(
            [build.executor_entry(born_ms=1)], build.clock_readings_at(1.0)
        )
        (executor,) = scheduler.cell.executor_by_id.values()
        executor.is_roster_stored = True
        scheduler.cell.roster_changed = False
        scheduler.set_executors(
            [build.executor_entry(born_ms=2)], build.clock_readings_at(2.0)
        )
        assert not executor.is_roster_stored
        assert scheduler.cell.roster_changed


class TestLeftOutAfterRestart:
    """An executor leaves the roster only if no late order can reach it."""

    def test_not_while_a_late_renewal_may_lengthen_its_lease(self) -> None:
        executor = _restart()
        assert not executor.run_by_key
        assert not executor.needs_no_wait(_ANSWERED_S)

    def test_it_does_once_the_process_of_all_orders_is_gone(self) -> None:
        executor = _restart()
        executor.record_restart(_RESTARTED_S, clock_ms=0, lease_s=0.0)
        assert executor.needs_no_wait(_RESTARTED_S)


class TestRestore:
    """A successor waits for the told bound, or as for any other executor."""

    @pytest.mark.parametrize(
        ("bound", "until_s"),
        [
            (_run_bound.RunBound(2, 5, 8.0), 58.0),
            (_run_bound.RunBound(2, 5, 3.0), 56.0),
            (_run_bound.RunBound(2, 5, 30.0), 61.0),
            (_run_bound.RunBound(2, 9, 8.0), 61.0),
            (None, 61.0),
        ],
        ids=["told", "over", "longer-than-any", "not-read", "not-told"],
    )
    def test_wait(
        self, bound: _run_bound.RunBound | None, until_s: float
    ) -> None:
        history = _term_history.TermHistory()
        history.record(2, 5, 50.0)
        cell = _make_cell(_restart())
        _roster.Roster(cell).restore(
            _records.ExecutorRosterRecord(
                (build.executor_entry(has_restarted=True, long_leases=bound),)
            ),
            history,
            inherited_until_s=56.0,
            restarted_excess_s=5.0,
        )
        assert cell.executor_by_id["e1"].inherited_until_s == until_s

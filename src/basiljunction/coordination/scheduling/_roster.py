"""The stored roster: executors that may have runs, for the next scheduler.

An order that was meant for the incarnation before carries a deadline on another
clock, so that it grants the present one the longest lease. It is refused once
the present one has answered an order of a later generation: no such lease goes
on for longer than the longest one after that answer. The roster tells until
when, in relation to a record of the term, and no task starts on an executor
after a restart that is known before the store has it. A later scheduler waits
until then, or for as long as for any other executor if that is longer.
"""

import dataclasses

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _silent_executors
from basiljunction.state import _time
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _records
from basiljunction.state.workload import _run_bound


class Roster:
    """Stores which executors may have runs, and restores them.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._next_refresh_s = 0.0

    def restore(
        self,
        record: _records.ExecutorRosterRecord,
        history: _term_history.TermHistory,
        *,
        inherited_until_s: float,
        restarted_excess_s: float,
    ) -> None:
        """Adds the executors that may have runs of an earlier term.

        Args:
            record: The newest record in the store.
            history: Tells when the records that bounds relate to were written.
            inherited_until_s: Time until which they may run by ordinary leases.
            restarted_excess_s: Longest time for which runs may go on beyond it
                where a restart has no bound, in seconds.
        """
        for entry in record.executors:
            state = _executors.ExecutorState(
                listing=entry,
                is_listed=False,
                is_roster_stored=True,
                is_restart_stored=entry.has_restarted,
                inherited_until_s=inherited_until_s,
                is_lease_frozen=True,
            )
            if entry.has_restarted:
                longest_until_s = inherited_until_s + restarted_excess_s
                state.long_leases_end_s = _find_end_s(entry, history)
                if state.long_leases_end_s is not None:
                    longest_until_s = min(
                        longest_until_s,
                        max(inherited_until_s, state.long_leases_end_s),
                    )
                state.inherited_until_s = longest_until_s
            self._cell.executor_by_id[entry.id] = state

    def tick(self, now: _time.Now) -> None:
        """Leaves executors out of the roster while they certainly run nothing.

        No bound of their runs is stored from then on either. Lasting tasks
        avoid executors on which they might be held up for too long.
        """
        cell = self._cell
        for executor in cell.executor_by_id.values():
            executor.holds_up_lasting_tasks = _holds_up_lasting_tasks(
                executor, now.boot_s
            )
            is_vacated = executor.needs_no_wait(now.boot_s)
            if is_vacated == executor.is_vacated:
                continue
            executor.is_vacated = is_vacated
            cell.roster_changed = True
            if executor.silent_bound is not None:
                executor.silent_bound = None
                cell.silent_executors_changed = True
            if not is_vacated:
                executor.is_roster_stored = False
        if now.boot_s >= self._next_refresh_s:
            cell.roster_changed |= self._has_long_lease(now.boot_s)

    def _has_long_lease(self, now_s: float) -> bool:
        """Returns whether the store tells of a lease over the ordinary length.

        Its bound is stored anew for instances that have started since, which
        have not read the renewal to which it relates.
        """
        ordinary_end_s = now_s + self._cell.times.max_ordinary_run_s
        return any(
            executor.has_restarted
            and executor.bars_other_incarnations
            and not executor.is_vacated
            and executor.lease_expired_s() > ordinary_end_s
            for executor in self._cell.executor_by_id.values()
        )

    def next_record(self) -> _records.ExecutorRosterRecord | None:
        """Returns the record to store with the next batch, or None."""
        cell = self._cell
        if not cell.roster_changed:
            return None
        cell.roster_changed = False
        self._next_refresh_s = (
            cell.last_tick_s + _silent_executors.REFRESH_INTERVAL_S
        )
        return _records.ExecutorRosterRecord(
            tuple(
                self._make_entry(each)
                for each in cell.executor_by_id.values()
                if not each.is_vacated
            )
        )

    def _make_entry(
        self, executor: _executors.ExecutorState
    ) -> _executor.ListedExecutor:
        """Returns what the roster says of an executor: its largest listing."""
        long_leases: _run_bound.RunBound | None = None
        if executor.has_restarted and executor.bars_other_incarnations:
            cell = self._cell
            long_leases = _run_bound.RunBound(
                cell.epoch,
                cell.confirmed_beat,
                max(0.0, executor.lease_expired_s() - cell.confirmed_s),
            )
        return dataclasses.replace(
            executor.listing,
            capacity=executor.largest_capacity,
            has_restarted=executor.has_restarted,
            long_leases=long_leases,
        )

    def handle_stored(self, record: _records.ExecutorRosterRecord) -> None:
        """Lets tasks start on the executors of a stored record.

        Not where the executor has restarted since.
        """
        for entry in record.executors:
            executor = self._cell.executor_by_id.get(entry.id)
            if executor is None:
                continue
            covers = _covers(entry, executor)
            executor.is_roster_stored = covers
            executor.is_restart_stored = covers and entry.has_restarted


def _holds_up_lasting_tasks(
    executor: _executors.ExecutorState, now_s: float
) -> bool:
    """Returns whether a lasting task would start elsewhere late after a loss.

    A restarted executor may have the longest lease, and its runs are waited for
    until that has expired.
    """
    if not executor.has_restarted:
        return False
    started_elsewhere_s = (
        executor.lease_expired_s() + _limits.START_AFTER_LEASE_S
    )
    return started_elsewhere_s > now_s + _limits.MAX_LASTING_IDLE_S


def _find_end_s(
    entry: _executor.ListedExecutor, history: _term_history.TermHistory
) -> float | None:
    """Returns by when leases over the ordinary length have ended, if known."""
    bound = entry.long_leases
    if bound is None:
        return None
    written_s = history.written_by_s(bound.epoch, bound.beat)
    return None if written_s is None else written_s + bound.after_s


def _covers(
    entry: _executor.ListedExecutor, executor: _executors.ExecutorState
) -> bool:
    """Returns whether a successor waits long enough by an entry."""
    if not executor.has_restarted:
        return True
    if not entry.has_restarted:
        return False
    if not executor.bars_other_incarnations:
        return True
    return (
        entry.long_leases is not None
        and entry.born_ms == executor.started_wall_ms
    )

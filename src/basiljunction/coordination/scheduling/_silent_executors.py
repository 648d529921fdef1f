"""Tells later schedulers until when runs on silent executors go on.

An executor that is lost holds up a scheduler until its lease has expired. The
store keeps that time, so that a series of schedulers waits for it once. A
scheduler extends no lease before it has stored its first such record, so that
the newest record holds whoever wrote it.
"""

from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.state.workload import _records
from basiljunction.state.workload import _run_bound

CHECK_INTERVAL_S = 0.25
"""Interval between two checks which executors are silent, in seconds."""

REFRESH_INTERVAL_S = 1.0
"""Interval in which bounds that still hold are stored anew, in seconds.

An instance waits from the oldest renewal that it has read on. One that started
since would wait longer than those that have read the renewal of a bound.
"""

FIRST_CHECK_DELAY_S = 0.5
"""Time from the start of a scheduler to its first check, in seconds; executors
that are in order answer within it."""


class SilentExecutors:
    """Keeps the stored bounds of runs on silent executors up to date.

    The lease of an executor is not extended while the store may hold such a
    bound of it.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._is_first_stored = False
        self._has_checked = False
        self._next_check_s = 0.0
        self._next_refresh_s = 0.0
        self._newest: _records.SilentExecutorsRecord | None = None
        self._stored: _records.SilentExecutorsRecord | None = None

    def restore(
        self,
        record: _records.SilentExecutorsRecord,
        history: _term_history.TermHistory,
        *,
        bounded_since_epoch: int,
    ) -> None:
        """Shortens the waits for executors that were silent before this term.

        A record says nothing if a scheduler after it may have extended leases
        without storing one of its own.

        Args:
            record: The newest record in the store.
            history: Tells when the records that the bounds relate to were
                written.
            bounded_since_epoch: First epoch from which on all schedulers before
                this one store a record first; 0 if the last one need not.
        """
        unbounded_epoch = bounded_since_epoch - 1
        if not bounded_since_epoch:
            unbounded_epoch = self._cell.epoch - 1
        if record.epoch < unbounded_epoch:
            return
        self._cell.knows_inherited_executors = record.has_stored_executors
        for executor_id, bound in record.bound_by_executor.items():
            executor = self._cell.executor_by_id.get(executor_id)
            written_s = history.written_by_s(bound.epoch, bound.beat)
            if executor is None or written_s is None:
                continue
            if executor.inherited_until_s is None:
                continue
            executor.silent_bound = bound
            executor.inherited_until_s = min(
                executor.inherited_until_s, written_s + bound.after_s
            )

    def next_record(self) -> _records.SilentExecutorsRecord | None:
        """Returns the record to store with the next batch, or None.

        The first one has a bound of every inherited executor that has not
        answered yet, as this scheduler may be lost before it knows more.
        """
        cell = self._cell
        now_s = cell.last_tick_s
        if self._newest is None:
            self._next_check_s = now_s + FIRST_CHECK_DELAY_S
            for executor in cell.executor_by_id.values():
                if executor.inherited_until_s is not None and (
                    executor.silent_bound is None
                ):
                    executor.silent_bound = self._bound_runs(executor)
            return self._make_record()
        if not cell.is_term_confirmed:
            return None
        if now_s < self._next_check_s:
            # Right after its start, all leases wait for this.
            is_awaited = not self._has_checked and cell.silent_executors_changed
            return self._make_record() if is_awaited else None
        self._has_checked = True
        self._next_check_s = now_s + CHECK_INTERVAL_S
        for executor in cell.executor_by_id.values():
            if executor.silent_bound is None and self._is_silent(executor):
                executor.silent_bound = self._bound_runs(executor)
                cell.silent_executors_changed = True
        if (
            not cell.silent_executors_changed
            and self._newest.has_stored_executors
            == self._has_stored_executors()
            and not self._is_refresh_due(now_s)
        ):
            return None
        return self._make_record()

    def has_stored_bound(self, executor_id: str) -> bool:
        """Returns whether the store has a bound of an executor's runs."""
        return (
            self._stored is not None
            and executor_id in self._stored.bound_by_executor
        )

    def _is_silent(self, executor: _executors.ExecutorState) -> bool:
        """Returns whether an executor may have runs and does not answer."""
        cell = self._cell
        if executor.is_vacated:
            return False
        if executor.last_answer_s is None:
            return executor.inherited_until_s is not None
        return not cell.is_in_contact(executor, cell.last_tick_s)

    def _is_refresh_due(self, now_s: float) -> bool:
        """Returns whether a bound that still holds is to be stored anew."""
        return now_s >= self._next_refresh_s and any(
            executor.silent_bound is not None
            and executor.runs_end_by_s() > now_s
            for executor in self._cell.executor_by_id.values()
        )

    def _has_stored_executors(self) -> bool:
        """Returns whether the store knows the executors of lasting tasks."""
        cell = self._cell
        return cell.knows_inherited_executors or not cell.has_inherited_runs

    def _bound_runs(
        self, executor: _executors.ExecutorState
    ) -> _run_bound.RunBound:
        """Returns the bound of the runs on an executor in this term."""
        cell = self._cell
        return _run_bound.RunBound(
            cell.epoch,
            cell.confirmed_beat,
            max(0.0, executor.runs_end_by_s() - cell.confirmed_s),
        )

    def _make_record(self) -> _records.SilentExecutorsRecord:
        """Returns a record of all silent executors and freezes their leases.

        Their bounds relate to the newest renewal of this term from then on.
        """
        cell = self._cell
        cell.silent_executors_changed = False
        self._next_refresh_s = cell.last_tick_s + REFRESH_INTERVAL_S
        bound_by_executor = {}
        for executor_id, executor in cell.executor_by_id.items():
            if executor.silent_bound is not None:
                if cell.is_term_confirmed:
                    executor.silent_bound = self._bound_runs(executor)
                bound_by_executor[executor_id] = executor.silent_bound
                executor.is_lease_frozen = True
        self._newest = _records.SilentExecutorsRecord(
            cell.epoch,
            bound_by_executor,
            self._has_stored_executors(),
            tells_long_runs=True,
        )
        if bound_by_executor and self._is_first_stored:
            cell.note(
                "executors.silent",
                executors=len(bound_by_executor),
                first=next(iter(bound_by_executor)),
            )
        return self._newest

    def handle_stored(self, record: _records.SilentExecutorsRecord) -> None:
        """Allows leases of executors again that the stored record leaves out.

        Args:
            record: The record, which is now the newest in the store.
        """
        self._is_first_stored = True
        self._stored = record
        for executor_id, executor in self._cell.executor_by_id.items():
            if (
                executor.silent_bound is None
                and executor_id not in record.bound_by_executor
            ):
                executor.is_lease_frozen = False

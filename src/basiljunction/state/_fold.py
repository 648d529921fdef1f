"""Folds log entries into the state that all instances agree on.

The fold is a deterministic function from log records to state. Every instance
applies the same entries in offset order and rejects the same records, so the
order of offsets decides between instances and operators that race.
"""

from basiljunction.state import _fold_clock
from basiljunction.state import _fold_contracts
from basiljunction.state import _fold_intents
from basiljunction.state import _fold_ownership
from basiljunction.state import _fold_snapshots
from basiljunction.state import _fold_tasks
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict


def _reject_undecodable(
    _state: _system.SystemState,
    _record: _records.Record,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason:
    """Rejects a record that could not be decoded."""
    return _outcomes.Reason.UNDECODABLE


_handler_by_type: dict[type, _verdict.FoldHandler] = {
    **_fold_contracts.HANDLER_BY_TYPE,
    **_fold_ownership.HANDLER_BY_TYPE,
    **_fold_tasks.HANDLER_BY_TYPE,
    **_fold_intents.HANDLER_BY_TYPE,
    **_fold_snapshots.HANDLER_BY_TYPE,
    _records.Undecodable: _reject_undecodable,
}
"""Fold rule for each type of record."""


def apply_entry(
    state: _system.SystemState, entry: _records.LogEntry
) -> list[_verdict.Verdict]:
    """Folds one log entry into the state.

    Args:
        state: Changed in place.
        entry: The entry; ignored if it has already been folded.

    Returns:
        One verdict for each record, in order; empty if the entry was ignored.
    """
    if entry.offset < state.next_offset:
        return []
    state.next_offset = entry.offset + 1
    batch = entry.batch
    _fold_clock.advance_clock(state, batch.author, batch.wall_s)
    if state.snapshots.finished_wall_s == 0.0:
        state.snapshots.finished_wall_s = state.wall_s
    origin = _verdict.RecordOrigin(
        author=batch.author, offset=entry.offset, wall_s=batch.wall_s
    )
    return [
        _apply_record(state, origin, batch.first_sequence + index, record)
        for index, record in enumerate(batch.records)
    ]


def _apply_record(
    state: _system.SystemState,
    origin: _verdict.RecordOrigin,
    sequence: int,
    record: _records.Record,
) -> _verdict.Verdict:
    """Folds one record and returns whether it was accepted."""
    rejected = _check_and_store_sequence(state, origin.author, sequence)
    if rejected is None:
        handler = _handler_by_type[type(record)]
        rejected = handler(state, record, origin)
    return _verdict.Verdict(
        record=record,
        author=origin.author,
        sequence=sequence,
        offset=origin.offset,
        wall_s=origin.wall_s,
        rejection_reason=rejected,
    )


def _check_and_store_sequence(
    state: _system.SystemState, author: _records.Author, sequence: int
) -> _outcomes.Reason | None:
    """Stores a record's sequence number, or returns why it is out of date.

    Rejects records of an earlier incarnation of the author and records that
    were already folded, such as those of an append that was retried.
    """
    incarnation, last = state.sequence_by_author.get(author.name, (-1, -1))
    if author.incarnation < incarnation:
        return _outcomes.Reason.STALE_INCARNATION
    if author.incarnation == incarnation and sequence <= last:
        return _outcomes.Reason.DUPLICATE
    state.sequence_by_author[author.name] = (author.incarnation, sequence)
    return None

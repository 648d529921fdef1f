"""Fold rules for snapshots: one is written at a time, chunk by chunk.

A snapshot is a copy of the folded state in the log itself, from which an
instance can start without reading all earlier entries.
"""

import xxhash

from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict

SNAPSHOT_STALLED_S = 60.0
"""Seconds without a new chunk after which another snapshot may be begun."""

_CHECKSUM_MASK = (1 << 63) - 1
"""Clears the top bit, as records hold checksums as signed 64-bit integers."""


def compute_checksum(payload: bytes) -> int:
    """Returns the 63-bit checksum of a chunk or of a whole encoded state."""
    return xxhash.xxh3_64_intdigest(payload) & _CHECKSUM_MASK


def _fold_snapshot_begun(
    state: _system.SystemState,
    record: _records.SnapshotBegun,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Begins a snapshot, unless another one is still being written."""
    snapshots = state.snapshots
    if record.base_offset != snapshots.finished_offset:
        return _outcomes.Reason.STALE_VERSION
    idle_s = state.wall_s - snapshots.open_changed_wall_s
    if snapshots.open_id and idle_s < SNAPSHOT_STALLED_S:
        return _outcomes.Reason.DUPLICATE
    snapshots.open_id = record.snapshot_id
    snapshots.open_offset = origin.offset + 1
    snapshots.open_begun_wall_s = state.wall_s
    snapshots.open_changed_wall_s = state.wall_s
    snapshots.next_index = 0
    return None


def _fold_snapshot_chunk(
    state: _system.SystemState,
    record: _records.SnapshotChunk,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Accepts the next chunk of the snapshot that is being written."""
    snapshots = state.snapshots
    if record.snapshot_id != snapshots.open_id:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if record.index != snapshots.next_index:
        return _outcomes.Reason.DUPLICATE
    if compute_checksum(record.payload) != record.checksum:
        return _outcomes.Reason.UNDECODABLE
    snapshots.next_index += 1
    snapshots.open_changed_wall_s = state.wall_s
    return None


def _fold_snapshot_finished(
    state: _system.SystemState,
    record: _records.SnapshotFinished,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Makes the open snapshot the newest finished one, if it is complete."""
    snapshots = state.snapshots
    if record.snapshot_id != snapshots.open_id:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if record.chunks != snapshots.next_index:
        return _outcomes.Reason.UNDECODABLE
    snapshots.finished_offset = snapshots.open_offset
    snapshots.finished_wall_s = snapshots.open_begun_wall_s
    snapshots.open_id = ""
    return None


HANDLER_BY_TYPE: dict[type, _verdict.FoldHandler] = {
    _records.SnapshotBegun: _fold_snapshot_begun,
    _records.SnapshotChunk: _fold_snapshot_chunk,
    _records.SnapshotFinished: _fold_snapshot_finished,
}
"""Fold rule for each type of snapshot record."""

"""Decides when a snapshot of the state is written to the log, and by whom.

A snapshot holds the state as of the entry that begins it. The instance that
begins it and one stand-by keep the encoded state, so that the stand-by can
continue if the first one stops writing.
"""

from collections.abc import Callable
import math

from basiljunction.coordination import _assignment
from basiljunction.coordination import _events
from basiljunction.state import _fold_snapshots
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict

MAX_SNAPSHOT_AGE_S = 600.0
"""Age in seconds of the newest snapshot at which the next one is begun."""

_DELAY_PER_RANK_S = 5.0
"""Seconds that each rank waits for the previous rank to begin or continue."""

_PAYLOAD_COPIES = 2
"""Number of instances that keep the encoded state: writer and stand-by."""

_APPEND_TIMEOUT_S = 10.0
"""Seconds within which the append of a record must begin."""


class SnapshotWriter:
    """Writes snapshots of the state to the log on behalf of one instance.

    Args:
        instance: Name of this instance.
        every_entries: Number of entries after which a snapshot is begun.
        chunk_bytes: Size of one chunk in bytes.
    """

    def __init__(
        self, *, instance: str, every_entries: int, chunk_bytes: int
    ) -> None:
        self._instance = instance
        self._every_entries = every_entries
        self._chunk_bytes = chunk_bytes
        self._snapshot_id = ""
        self._payload = b""
        self._unsettled_records: set[_records.Record] = set()
        self._due_since_s: float | None = None
        self._last_position = ("", 0)
        self._position_changed_s = float("-inf")

    def process_verdict(
        self,
        state: _system.SystemState,
        verdict: _verdict.Verdict,
        encode: Callable[[_system.SystemState], bytes],
    ) -> None:
        """Processes a verdict directly after its entry was applied.

        If the record begins a snapshot and this instance is its writer or
        stand-by, the state is encoded and kept.
        """
        record = verdict.record
        self._unsettled_records.discard(record)
        if not isinstance(record, _records.SnapshotBegun):
            return
        if not verdict.is_accepted:
            return
        candidates = [verdict.author.name, *self._ranked_members(state)][
            : _PAYLOAD_COPIES + 1
        ]
        if self._instance in list(dict.fromkeys(candidates))[:_PAYLOAD_COPIES]:
            self._snapshot_id = record.snapshot_id
            self._payload = encode(state)

    def forget_dropped_record(self, record: _records.Record) -> None:
        """Stops waiting for a record that certainly was not appended."""
        self._unsettled_records.discard(record)

    def next_append(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[_events.AppendRecords]:
        """Returns the append of the next snapshot record, if one is due.

        Nothing is returned while an earlier record is not settled.
        """
        snapshots = state.snapshots
        if snapshots.open_id != self._snapshot_id:
            self._snapshot_id = ""
            self._payload = b""
        if self._unsettled_records:
            return []
        record = self._next_record(state, now)
        if record is None:
            return []
        self._unsettled_records.add(record)
        not_after_s = now.boot_s + _APPEND_TIMEOUT_S
        return [_events.AppendRecords((record,), not_after_s)]

    def _next_record(
        self, state: _system.SystemState, now: _time.Now
    ) -> _records.Record | None:
        """Returns the next record of the open snapshot or of a new one."""
        if state.snapshots.open_id:
            self._due_since_s = None
            return self._next_chunk_record(state, now.boot_s)
        return self._begin_snapshot(state, now)

    def _begin_snapshot(
        self, state: _system.SystemState, now: _time.Now
    ) -> _records.Record | None:
        """Returns the record that begins a snapshot, if one is due.

        Each instance waits for its rank's delay, so that only one begins it.
        """
        if not self._is_snapshot_due(state, now):
            self._due_since_s = None
            return None
        if self._due_since_s is None:
            self._due_since_s = now.boot_s
        if now.boot_s - self._due_since_s < self._start_delay_s(state):
            return None
        snapshot_id = f"{self._instance}/{state.next_offset}"
        return _records.SnapshotBegun(
            snapshot_id, state.snapshots.finished_offset
        )

    def _is_snapshot_due(
        self, state: _system.SystemState, now: _time.Now
    ) -> bool:
        """Returns whether the newest snapshot is too old, by entries or time.

        Its age matters because the log drops old entries also when idle.
        """
        snapshots = state.snapshots
        entries = state.next_offset - snapshots.finished_offset
        if entries >= self._every_entries:
            return True
        age_s = max(state.wall_s, now.wall_s) - snapshots.finished_wall_s
        return snapshots.finished_wall_s > 0 and age_s >= MAX_SNAPSHOT_AGE_S

    def _next_chunk_record(
        self, state: _system.SystemState, now_s: float
    ) -> _records.Record | None:
        """Returns the next chunk or the finish record of the open snapshot.

        The stand-by continues only after the writer has made no progress for
        a while.
        """
        index = state.snapshots.next_index
        position = (state.snapshots.open_id, index)
        if position != self._last_position:
            self._last_position = position
            self._position_changed_s = now_s
        if self._snapshot_id == "":
            return None
        chunks = math.ceil(len(self._payload) / self._chunk_bytes)
        is_own = self._snapshot_id.startswith(f"{self._instance}/")
        if not is_own and now_s - self._position_changed_s < _DELAY_PER_RANK_S:
            return None
        if index >= chunks:
            whole = _fold_snapshots.compute_checksum(self._payload)
            return _records.SnapshotFinished(self._snapshot_id, chunks, whole)
        begin = index * self._chunk_bytes
        part = self._payload[begin : begin + self._chunk_bytes]
        return _records.SnapshotChunk(
            self._snapshot_id,
            index,
            _fold_snapshots.compute_checksum(part),
            part,
        )

    def _start_delay_s(self, state: _system.SystemState) -> float:
        """Returns the seconds to wait before beginning a due snapshot."""
        ranking = self._ranked_members(state)
        if self._instance not in ranking:
            return len(ranking) * _DELAY_PER_RANK_S
        return ranking.index(self._instance) * _DELAY_PER_RANK_S

    def _ranked_members(self, state: _system.SystemState) -> list[str]:
        """Returns the healthy members in their order for this snapshot."""
        members = [
            member.instance
            for member in state.member_by_instance.values()
            if not member.leaving and not member.suspecting
        ]
        key = f"snapshot/{state.snapshots.finished_offset}"
        return _assignment.rank_instances(key, members)

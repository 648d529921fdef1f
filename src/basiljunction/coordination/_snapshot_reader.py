"""Finds the newest complete snapshot among the entries of the log."""

from collections.abc import Iterable
import dataclasses

from basiljunction.state import _fold_snapshots
from basiljunction.state import _records


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteSnapshot:
    """A snapshot all of whose parts were found with correct checksums.

    Attributes:
        next_offset: Offset of the first entry that the snapshot lacks.
        payload: The encoded state.
    """

    next_offset: int
    payload: bytes


@dataclasses.dataclass(slots=True)
class _PartialSnapshot:
    """A snapshot whose final record has not been read.

    Attributes:
        next_offset: Offset of the first entry that the snapshot lacks.
        chunks: The chunks read so far, in order.
    """

    next_offset: int
    chunks: list[bytes] = dataclasses.field(default_factory=list)


class SnapshotReader:
    """Scans entries for snapshots, without applying them to a state.

    Entries are given in offset order. A snapshot is complete only with its
    begin record, every chunk and its finish record, and only if all checksums
    are correct. If a chunk was appended twice, the first one is used, as in
    the fold (the function from log records to state).
    """

    def __init__(self) -> None:
        self._partial_by_id: dict[str, _PartialSnapshot] = {}
        self._newest: CompleteSnapshot | None = None

    @property
    def newest(self) -> CompleteSnapshot | None:
        """The newest complete snapshot found so far; None if none."""
        return self._newest

    def scan(self, entries: Iterable[_records.LogEntry]) -> None:
        """Scans the next entries for parts of snapshots."""
        for entry in entries:
            for record in entry.batch.records:
                self._process_record(entry.offset, record)

    def _process_record(self, offset: int, record: _records.Record) -> None:
        """Processes a record; ignores all but snapshot records."""
        match record:
            case _records.SnapshotBegun():
                self._partial_by_id.setdefault(
                    record.snapshot_id, _PartialSnapshot(offset + 1)
                )
            case _records.SnapshotChunk():
                self._add_chunk(record)
            case _records.SnapshotFinished():
                self._finish_snapshot(record)

    def _add_chunk(self, record: _records.SnapshotChunk) -> None:
        """Adds a chunk if it is the next one and its checksum is correct."""
        partial = self._partial_by_id.get(record.snapshot_id)
        if partial is None or record.index != len(partial.chunks):
            return
        if _fold_snapshots.compute_checksum(record.payload) == record.checksum:
            partial.chunks.append(record.payload)

    def _finish_snapshot(self, record: _records.SnapshotFinished) -> None:
        """Keeps a snapshot if it is complete, correct and the newest."""
        partial = self._partial_by_id.get(record.snapshot_id)
        if partial is None or len(partial.chunks) != record.chunks:
            return
        payload = b"".join(partial.chunks)
        if _fold_snapshots.compute_checksum(payload) != record.checksum:
            return
        if self._newest is None or (
            self._newest.next_offset < partial.next_offset
        ):
            self._newest = CompleteSnapshot(partial.next_offset, payload)
        del self._partial_by_id[record.snapshot_id]

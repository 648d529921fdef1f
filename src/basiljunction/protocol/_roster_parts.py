"""Divides the roster of executors where one record would be too large.

A roster that fits stays one record, as earlier versions read it. Otherwise the
record names its parts, which are stored before it. The id of an executor tells
its part for good, so that a write that is cut off leaves an entry of each
executor, the one before or the new one.
"""

from collections.abc import Iterable
import zlib

import structlog

from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _records

PART_COUNT = 64
"""Number of parts; never changes, as stored records rely on it.

With entries of 300 bytes, parts of 262,144 bytes hold 55,000 executors.
"""

_log = structlog.get_logger()


class RosterDivider:
    """Encodes the roster of executors, divided where it is large.

    Args:
        max_record_bytes: Largest size of a record, in bytes.
    """

    def __init__(self, max_record_bytes: int) -> None:
        self._max_record_bytes = max_record_bytes
        self._item_by_part: dict[int, _job_records.KeyedRecord] = {}
        self._stored_parts: set[int] = set()
        self._is_divided = False

    def restore(
        self, records: Iterable[_records.Record]
    ) -> list[_records.Record]:
        """Returns the records of earlier schedulers with the parts joined.

        A part that is missing is logged, and the others count.
        """
        joined: list[_records.Record] = []
        rosters: list[_records.ExecutorRosterRecord] = []
        executors_by_part: dict[int, tuple[_executor.ListedExecutor, ...]] = {}
        for record in records:
            if isinstance(record, _records.ExecutorRosterPartRecord):
                executors_by_part[record.part] = record.executors
            elif isinstance(record, _records.ExecutorRosterRecord):
                rosters.append(record)
            else:
                joined.append(record)
        self._stored_parts = set(executors_by_part)
        if not rosters and executors_by_part:
            # An entry too many only lets a scheduler wait for an executor.
            _log.error("journal.roster-missing", parts=len(executors_by_part))
            rosters.append(
                _records.ExecutorRosterRecord((), tuple(executors_by_part))
            )
        for roster in rosters:
            for part in roster.parts:
                if part not in executors_by_part:
                    key = _job_records.roster_part_key(part)
                    _log.error("journal.part-missing", key=key)
            executors = roster.executors + tuple(
                executor
                for part in roster.parts
                for executor in executors_by_part.get(part, ())
            )
            joined.append(_records.ExecutorRosterRecord(executors))
        return joined

    def encode(
        self, record: _records.ExecutorRosterRecord
    ) -> tuple[_job_records.KeyedRecord, ...]:
        """Encodes what of the roster has changed, in order."""
        (whole,) = _job_records.encode_record(record)
        if len(whole.key) + len(whole.value) < self._max_record_bytes:
            stale = sorted(self._stored_parts)
            self._stored_parts.clear()
            self.forget_writes()
            return (whole, *map(_make_deletion, stale))
        executors_by_part: dict[int, list[_executor.ListedExecutor]] = {}
        for executor in record.executors:
            part = zlib.crc32(executor.id.encode()) % PART_COUNT
            executors_by_part.setdefault(part, []).append(executor)
        items: list[_job_records.KeyedRecord] = []
        for part, executors in sorted(executors_by_part.items()):
            (item,) = _job_records.encode_record(
                _records.ExecutorRosterPartRecord(part, tuple(executors))
            )
            if self._item_by_part.get(part) != item:
                self._item_by_part[part] = item
                items.append(item)
        parts = tuple(sorted(executors_by_part))
        stale = sorted(self._stored_parts.difference(parts))
        for part in stale:
            self._item_by_part.pop(part, None)
        if self._is_divided and self._stored_parts == set(parts):
            return tuple(items)
        self._stored_parts = set(parts)
        self._is_divided = True
        (head,) = _job_records.encode_record(
            _records.ExecutorRosterRecord((), parts)
        )
        return (*items, head, *map(_make_deletion, stale))

    def forget_writes(self) -> None:
        """Lets the next roster be stored in full, as one was not stored."""
        self._item_by_part.clear()
        self._is_divided = False


def _make_deletion(part: int) -> _job_records.KeyedRecord:
    """Returns what deletes a part."""
    return _job_records.KeyedRecord(_job_records.roster_part_key(part), b"")

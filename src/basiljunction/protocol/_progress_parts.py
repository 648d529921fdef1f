"""Divides the progress of a large job into several records of bounded size.

Progress that fits stays one record, as earlier versions read it. Other progress
has a record for its state and one for each part: the tasks of consecutive
positions. Only parts that have changed are stored again, the newest counts. The
number of parts stands in their keys, so that those of another division are
told apart. All parts of a division are stored before the record that names it.
"""

from collections.abc import Iterable
import dataclasses
import json
from typing import TypeVar

import structlog

from basiljunction.protocol import _job_records
from basiljunction.state.workload import _position_set
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records

_RECORD_SHARE = 2
"""Part of the largest record from which on progress is divided."""

_PART_SHARE = 8
"""Part of the largest record that a part has when progress is divided, so that
it has room to grow and is quickly stored again."""

_ROW_BYTES = 16
"""Upper bound of the punctuation of the rows of one task, in bytes."""

_RUN_BYTES = 20
"""Upper bound of the size of a run number or a time in a row, in bytes."""

_Value = TypeVar("_Value")

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _DividedProgress:
    """Progress as it was divided last.

    Attributes:
        part_count: Number of parts.
        progress: The progress.
        positions_by_part: Positions of the tasks that have rows, by part.
        head: The record of the state and the division; None if it is to be
            stored again.
    """

    part_count: int
    progress: _progress.JobProgress
    positions_by_part: dict[int, set[_progress.TaskPosition]]
    head: _job_records.KeyedRecord | None = None


class ProgressDivider:
    """Encodes the progress of jobs, divided where it is large.

    Args:
        max_record_bytes: Largest size of a record, in bytes.
    """

    def __init__(self, max_record_bytes: int) -> None:
        self._max_bytes = max_record_bytes // _RECORD_SHARE
        self._usual_bytes = max_record_bytes // _PART_SHARE
        self._divided_by_job: dict[str, _DividedProgress] = {}
        self._stored_parts_by_job: dict[str, set[tuple[int, int]]] = {}

    def restore(
        self, records: Iterable[_records.Record]
    ) -> list[_records.Record]:
        """Returns the records of earlier schedulers with the parts joined.

        A part that is missing is logged, and the others count. If the record
        of the division itself is missing, so do all parts that there are.
        """
        others: list[_records.Record] = []
        parts_by_job: dict[str, list[_records.ProgressPartRecord]] = {}
        for record in records:
            if isinstance(record, _records.ProgressPartRecord):
                parts_by_job.setdefault(record.job_id, []).append(record)
            else:
                others.append(record)
        for job_id, parts in parts_by_job.items():
            self._stored_parts_by_job[job_id] = {
                (each.part_count, each.part) for each in parts
            }
        joined: list[_records.Record] = []
        for record in others:
            if not isinstance(record, _records.ProgressRecord):
                joined.append(record)
                continue
            parts = parts_by_job.pop(record.job_id, [])
            joined.append(
                self._join_progress(record, parts)
                if record.part_count
                else record
            )
        for job_id, parts in parts_by_job.items():
            joined.append(_join_without_head(job_id, parts))
        return joined

    def _join_progress(
        self,
        head: _records.ProgressRecord,
        parts: list[_records.ProgressPartRecord],
    ) -> _records.ProgressRecord:
        """Returns progress with the rows of its parts."""
        progress = head.progress
        missing = set(head.parts)
        for part in parts:
            if part.part_count == head.part_count:
                _add_rows(progress, part.progress)
                missing.discard(part.part)
        for number in sorted(missing):
            # A task that runs until cancelled may run on an executor not named.
            progress.executor_by_position = None
            _log.error(
                "journal.part-missing",
                key=_job_records.part_key(head.job_id, head.part_count, number),
            )
        if parts and not missing:
            # Nothing needs to be stored again but what changes from now on.
            self._divided_by_job[head.job_id] = _DividedProgress(
                head.part_count,
                progress.copy_to_store(),
                _group_positions(progress, head.part_count),
            )
        return _records.ProgressRecord(head.job_id, progress)

    def encode(
        self, record: _records.ProgressRecord
    ) -> tuple[_job_records.KeyedRecord, ...]:
        """Encodes what of a job's progress has changed, in order."""
        job_id = record.job_id
        divided = self._divided_by_job.get(job_id)
        if divided is not None and not record.progress.state.is_final:
            items = self._encode_changes(divided, record)
            if items is not None:
                return items
        (whole,) = _job_records.encode_record(record)
        if len(whole.value) <= self._max_bytes:
            return (whole, *self.forget_parts(job_id))
        return self._divide(record)

    def forget_parts(self, job_id: str) -> tuple[_job_records.KeyedRecord, ...]:
        """Returns what deletes all parts of a job."""
        self._divided_by_job.pop(job_id, None)
        return tuple(
            _job_records.KeyedRecord(
                _job_records.part_key(job_id, part_count, part), b""
            )
            for part_count, part in sorted(
                self._stored_parts_by_job.pop(job_id, ())
            )
        )

    def _divide(
        self, record: _records.ProgressRecord
    ) -> tuple[_job_records.KeyedRecord, ...]:
        """Divides progress anew; deletes the parts of earlier divisions."""
        job_id, progress = record.job_id, record.progress
        earlier = self._stored_parts_by_job.pop(job_id, set())
        part_count = self._find_part_count(
            progress, max((count for count, _ in earlier), default=2)
        )
        positions_by_part = _group_positions(progress, part_count)
        head = _job_records.encode_progress_head(
            record, part_count, positions_by_part
        )
        self._divided_by_job[job_id] = _DividedProgress(
            part_count, progress, positions_by_part, head
        )
        parts = {(part_count, part) for part in positions_by_part}
        self._stored_parts_by_job[job_id] = parts
        stale = [
            (
                count,
                _job_records.KeyedRecord(
                    _job_records.part_key(job_id, count, part), b""
                ),
            )
            for count, part in sorted(earlier - parts)
        ]
        return (
            *(
                _encode_part(record, part_count, part, positions)
                for part, positions in sorted(positions_by_part.items())
            ),
            *(item for count, item in stale if count == part_count),
            head,
            *(item for count, item in stale if count != part_count),
        )

    def _encode_changes(
        self, divided: _DividedProgress, record: _records.ProgressRecord
    ) -> tuple[_job_records.KeyedRecord, ...] | None:
        """Encodes the changed parts; None if one has grown too large."""
        changed_parts: set[int] = set()
        for position in _changed_positions(divided.progress, record.progress):
            part = _part_of(position, divided.part_count)
            divided.positions_by_part.setdefault(part, set()).add(position)
            changed_parts.add(part)
        items = [
            _encode_part(
                record,
                divided.part_count,
                part,
                divided.positions_by_part[part],
            )
            for part in sorted(changed_parts)
        ]
        if any(
            len(item.value) > self._max_bytes
            and len(divided.positions_by_part[part]) > 1
            for part, item in zip(sorted(changed_parts), items, strict=True)
        ):
            return None
        stored = self._stored_parts_by_job[record.job_id]
        stored.update((divided.part_count, part) for part in changed_parts)
        head = _job_records.encode_progress_head(
            record, divided.part_count, divided.positions_by_part
        )
        if head != divided.head:
            divided.head = head
            items.append(head)
        divided.progress = record.progress
        return tuple(items)

    def _find_part_count(
        self, progress: _progress.JobProgress, least: int
    ) -> int:
        """Returns the least power of two at which all parts are small."""
        bytes_by_position = {
            position: _row_bytes(progress, position)
            for position in _row_positions(progress)
        }
        part_count = least
        while part_count < _job_records.MAX_PART_COUNT:
            bytes_by_part: dict[int, int] = {}
            for position, size in bytes_by_position.items():
                part = _part_of(position, part_count)
                bytes_by_part[part] = bytes_by_part.get(part, 0) + size
            if max(bytes_by_part.values()) <= self._usual_bytes:
                break
            part_count *= 2
        return part_count


def _join_without_head(
    job_id: str, parts: list[_records.ProgressPartRecord]
) -> _records.ProgressRecord:
    """Returns the progress that all parts of a job tell."""
    _log.error("journal.head-missing", job=job_id)
    # Not all parts may be there, so that not all executors are known.
    progress = _progress.JobProgress(state=_progress.JobState.RUNNING)
    for part in sorted(parts, key=lambda each: each.part_count):
        _add_rows(progress, part.progress)
    return _records.ProgressRecord(job_id, progress)


def _group_positions(
    progress: _progress.JobProgress, part_count: int
) -> dict[int, set[_progress.TaskPosition]]:
    """Returns the positions of the tasks that have rows, by part."""
    positions_by_part: dict[int, set[_progress.TaskPosition]] = {}
    for position in _row_positions(progress):
        part = _part_of(position, part_count)
        positions_by_part.setdefault(part, set()).add(position)
    return positions_by_part


def _add_rows(
    progress: _progress.JobProgress, part: _progress.JobProgress
) -> None:
    """Adds the rows of a part to progress."""
    progress.completed_positions = progress.completed_positions.union(
        part.completed_positions
    )
    progress.failed_runs_by_position |= part.failed_runs_by_position
    progress.checkpoint_by_position |= part.checkpoint_by_position
    progress.crashes_by_position |= part.crashes_by_position
    progress.slow_run_by_position |= part.slow_run_by_position
    if progress.executor_by_position is not None:
        progress.executor_by_position |= part.executor_by_position or {}


def _part_of(position: _progress.TaskPosition, part_count: int) -> int:
    """Returns the part of a task; never changes, as records rely on it."""
    occurrence, step, index = position
    block = index // (_job_records.MAX_PART_COUNT // part_count)
    return (block + occurrence * 7 + step * 13) % part_count


def _row_positions(
    progress: _progress.JobProgress,
) -> set[_progress.TaskPosition]:
    """Returns the positions of all tasks that have rows."""
    return set(progress.completed_positions).union(
        progress.failed_runs_by_position,
        progress.checkpoint_by_position,
        progress.executor_by_position or (),
        progress.crashes_by_position,
        progress.slow_run_by_position,
    )


def _changed_positions(
    before: _progress.JobProgress, after: _progress.JobProgress
) -> set[_progress.TaskPosition]:
    """Returns the positions of the tasks whose rows differ."""
    changed = set(before.completed_positions) ^ set(after.completed_positions)
    runs_before = before.failed_runs_by_position
    runs_after = after.failed_runs_by_position
    changed.update(
        position
        for position in runs_before.keys() | runs_after.keys()
        if runs_before.get(position) != runs_after.get(position)
    )
    changes = (
        before.checkpoint_by_position.items()
        ^ after.checkpoint_by_position.items(),
        (before.executor_by_position or {}).items()
        ^ (after.executor_by_position or {}).items(),
        before.crashes_by_position.items() ^ after.crashes_by_position.items(),
        before.slow_run_by_position.items()
        ^ after.slow_run_by_position.items(),
    )
    changed.update(position for rows in changes for position, _ in rows)
    return changed


def _row_bytes(
    progress: _progress.JobProgress, position: _progress.TaskPosition
) -> int:
    """Returns an upper bound of the size of a task's rows, in bytes."""
    digits = len(str(position))
    size = digits + _ROW_BYTES
    runs = progress.failed_runs_by_position.get(position)
    if runs:
        size += digits + _ROW_BYTES + _RUN_BYTES * len(runs)
    executor = (progress.executor_by_position or {}).get(position)
    for text in (progress.checkpoint_by_position.get(position), executor):
        if text is not None:
            size += digits + _ROW_BYTES + len(json.dumps(text))
    crashes = progress.crashes_by_position.get(position)
    if crashes is not None:
        size += digits + len(json.dumps(dataclasses.astuple(crashes)))
    if position in progress.slow_run_by_position:
        size += digits + _ROW_BYTES + 2 * _RUN_BYTES
    return size


def _encode_part(
    record: _records.ProgressRecord,
    part_count: int,
    part: int,
    positions: set[_progress.TaskPosition],
) -> _job_records.KeyedRecord:
    """Encodes the rows of some tasks of a job."""
    progress = record.progress
    executors = progress.executor_by_position
    (item,) = _job_records.encode_record(
        _records.ProgressPartRecord(
            record.job_id,
            part_count,
            part,
            _progress.JobProgress(
                completed_positions=_position_set.PositionSet(
                    each
                    for each in positions
                    if each in progress.completed_positions
                ),
                failed_runs_by_position=_select(
                    progress.failed_runs_by_position, positions
                ),
                checkpoint_by_position=_select(
                    progress.checkpoint_by_position, positions
                ),
                executor_by_position=(
                    None if executors is None else _select(executors, positions)
                ),
                crashes_by_position=_select(
                    progress.crashes_by_position, positions
                ),
                slow_run_by_position=_select(
                    progress.slow_run_by_position, positions
                ),
            ),
        )
    )
    return item


def _select(
    value_by_position: dict[_progress.TaskPosition, _Value],
    positions: set[_progress.TaskPosition],
) -> dict[_progress.TaskPosition, _Value]:
    """Returns the values of some positions."""
    return {
        position: value_by_position[position]
        for position in sorted(positions & value_by_position.keys())
    }

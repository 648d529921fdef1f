"""Encodes batches and leaves out records that are too large for the store.

The store refuses an append with such a record each time, and with it all that
is stored after it.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import structlog

from basiljunction.coordination.scheduling import _orders
from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.protocol import _progress_parts
from basiljunction.protocol import _roster_parts
from basiljunction.state import _time
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedBatch:
    """A batch as the store can take it.

    Attributes:
        batch: The batch without what the store would refuse.
        records: Its encoded records.
        failed_job_ids: Ids of the jobs whose progress doesn't fit; the batch
            stores in its place that they have failed.
    """

    batch: _orders.Batch
    records: tuple[_job_records.KeyedRecord, ...]
    failed_job_ids: tuple[str, ...]


class BatchEncoder:
    """Encodes the batches of one term.

    Args:
        max_record_bytes: Largest size of a record, in bytes.
        clock: Returns the current time.
    """

    def __init__(
        self, max_record_bytes: int, clock: Callable[[], _time.Now]
    ) -> None:
        self._max_record_bytes = max_record_bytes
        self._clock = clock
        self._divider = _progress_parts.ProgressDivider(max_record_bytes)
        self._roster_divider = _roster_parts.RosterDivider(max_record_bytes)
        self._logged_keys: set[str] = set()

    def restore_records(
        self, records: Iterable[_records.Record]
    ) -> list[_records.Record]:
        """Returns the records of earlier terms with the parts joined."""
        return self._roster_divider.restore(self._divider.restore(records))

    def encode(self, batch: _orders.Batch) -> EncodedBatch:
        """Encodes a batch.

        A job whose progress doesn't fit fails, as its ends of runs could not
        be stored before the executors forget them. Other records that don't
        fit are left out, so that they don't count as stored.
        """
        kept: list[_records.Record] = []
        encoded: list[_job_records.KeyedRecord] = []
        failed_job_ids: list[str] = []
        dropped_job_ids: set[str] = set()
        has_changed = False
        for record in batch.records:
            storable, items = record, self._encode_record(record)
            if not self._fit(items):
                has_changed = True
                if isinstance(record, _records.ProgressRecord):
                    failed_job_ids.append(record.job_id)
                    storable = self._make_failure(record.job_id)
                    items = self._encode_record(storable)
                else:
                    if isinstance(record, _records.JobRecord):
                        dropped_job_ids.add(record.job.id)
                    elif isinstance(record, _records.ExecutorRosterRecord):
                        self._roster_divider.forget_writes()
                    continue
            kept.append(storable)
            encoded.extend(items)
        if has_changed:
            batch = dataclasses.replace(
                batch,
                records=tuple(kept),
                replies=tuple(
                    each
                    for each in batch.replies
                    if each.job_id not in dropped_job_ids
                ),
            )
        return EncodedBatch(batch, tuple(encoded), tuple(failed_job_ids))

    def _encode_record(
        self, record: _records.Record
    ) -> tuple[_job_records.KeyedRecord, ...]:
        """Encodes a record, of a divided one the changed parts."""
        if isinstance(record, _records.ProgressRecord):
            return self._divider.encode(record)
        if isinstance(record, _records.ExecutorRosterRecord):
            return self._roster_divider.encode(record)
        items = _job_records.encode_record(record)
        if isinstance(record, _records.JobDeletionRecord):
            # Parts without progress would be read as those of a torn one.
            return (*self._divider.forget_parts(record.job_id), *items)
        return items

    def _fit(self, items: tuple[_job_records.KeyedRecord, ...]) -> bool:
        """Returns whether the store takes all items; logs the others."""
        fits = True
        for item in items:
            size = _store.record_bytes(item)
            if size <= self._max_record_bytes:
                continue
            fits = False
            if item.key not in self._logged_keys:
                self._logged_keys.add(item.key)
                _log.error(
                    "journal.record-too-large",
                    key=item.key,
                    bytes=size,
                    limit_bytes=self._max_record_bytes,
                )
        return fits

    def _make_failure(self, job_id: str) -> _records.ProgressRecord:
        """Returns the record by which a job has failed."""
        return _records.ProgressRecord(
            job_id,
            _progress.JobProgress(
                state=_progress.JobState.FAILED,
                finished_wall_s=self._clock().wall_s,
            ),
        )

"""Tests of records that are too large for the store."""

from typing import Any

from basiljunction.coordination.scheduling import _orders
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
from basiljunction.transport.jobs import _batch_encoder
import platform_standin
import workload_builders as build

_LIMIT_BYTES = 3_000  # far above the records of a usual job
_LARGE = "x" * 4_000


class TestLargeFleet:
    """The roster of a large fleet is stored in parts."""

    def test_all_its_executors_are_read_back(self) -> None:
        # A roster of 1,000 executors was left out, so that none had a task.
        roster = _records.ExecutorRosterRecord(
            tuple(
                build.executor_entry("x" * 99 + f"{n:04}") for n in range(1_500)
            )
        )
        encoder = _make_encoder(platform_standin.MAX_RECORD_BYTES)
        encoded = encoder.encode(_orders.Batch((roster,), {}, ()))
        assert encoded.batch.records == (roster,)
        sizes = [len(each.value) for each in encoded.records]
        assert sum(sizes) > platform_standin.MAX_RECORD_BYTES > max(sizes)
        (read,) = _make_encoder(
            platform_standin.MAX_RECORD_BYTES
        ).restore_records(map(_job_records.decode_record, encoded.records))
        assert isinstance(read, _records.ExecutorRosterRecord)
        assert set(read.executors) == set(roster.executors)


def _make_encoder(max_record_bytes: int) -> _batch_encoder.BatchEncoder:
    """Returns the encoder of a term."""
    return _batch_encoder.BatchEncoder(
        max_record_bytes, lambda: build.clock_readings_at(7.0)
    )


def _encode(*records: _records.Record) -> _batch_encoder.EncodedBatch:
    """Returns the encoded batch of some records and the replies of their jobs.

    It is encoded twice, as a record may be tried again.
    """
    encoder = _make_encoder(_LIMIT_BYTES)
    replies = tuple(
        _orders.SubmitReply(each.job.id, _orders.SubmitResult.ACCEPTED)
        for each in records
        if isinstance(each, _records.JobRecord)
    )
    encoder.encode(_orders.Batch(records, {}, replies))
    return encoder.encode(_orders.Batch(records, {}, replies))


class TestTooLarge:
    """A record that doesn't fit is kept from the store, the others aren't."""

    def test_the_others_of_a_batch_are_stored(self, logs: list[Any]) -> None:
        roster = _records.ExecutorRosterRecord((build.executor_entry(_LARGE),))
        small = _records.JobRecord(build.accepted_job())
        encoded = _encode(roster, small)
        assert encoded.batch.records == (small,)
        assert encoded.records == _job_records.encode_record(small)
        (entry,) = logs
        assert entry["event"] == "journal.record-too-large"
        assert entry["key"].startswith("roster")
        assert entry["bytes"] > entry["limit_bytes"] == _LIMIT_BYTES

    def test_a_job_whose_progress_does_not_fit_has_failed(self) -> None:
        record = _records.ProgressRecord(
            "00000000000000a1",
            _progress.JobProgress(checkpoint_by_position={(0, 0, 0): _LARGE}),
        )
        encoded = _encode(record)
        assert encoded.failed_job_ids == (record.job_id,)
        (item,) = [each for each in encoded.records if each.value]
        stored = _job_records.decode_record(item)
        assert isinstance(stored, _records.ProgressRecord)
        assert stored.progress.state is _progress.JobState.FAILED
        assert encoded.batch.records == (stored,)

    def test_a_job_that_does_not_fit_is_not_confirmed(self) -> None:
        large = _records.JobRecord(build.accepted_job(payload=_LARGE))
        small = _records.JobRecord(
            build.accepted_job(job_id="00000000000000a2")
        )
        encoded = _encode(large, small)
        assert encoded.batch.records == (small,)
        (reply,) = encoded.batch.replies
        assert reply.job_id == small.job.id

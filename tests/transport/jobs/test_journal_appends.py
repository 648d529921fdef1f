"""Tests of the journal's appends against a stand-in of the store."""

from collections.abc import Iterator
import time

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.protocol import _instance_settings
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _journal
import platform_standin
import workload_builders as build

NARROW_LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s, in bytes a second."""

JOB_COUNT = 300
"""Jobs in a large batch, which takes 1.4 seconds on a narrow link."""

JOB_BYTES = 2400
"""Size of the payload of a usual job, in bytes."""

LARGE_JOB_BYTES = 250_000
"""Size of a payload that almost fills the largest record, in bytes."""

LARGE_JOB_TASKS = 2400
"""Tasks whose checkpoints don't fit into one record."""

LARGEST_APPEND_BYTES = 128_000
"""Size that an append must not reach, in bytes: 0.2 s on a narrow link."""

APPEND_LIMIT_S = 8.0
"""Longest time that an append of that size may take, in seconds."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform without executors."""
    platform = platform_standin.Platform(executors=0)
    yield platform
    platform.close()


def _jobs(count: int, payload_size: int) -> list[_progress.AcceptedJob]:
    """Returns jobs with a payload of that size."""
    return [
        build.accepted_job(job_id=f"{number:016x}", payload="x" * payload_size)
        for number in range(count)
    ]


def _append_jobs(
    platform: platform_standin.Platform, jobs: list[_progress.AcceptedJob]
) -> None:
    """Appends a batch of jobs, which must be stored in time and once."""
    clock = _clock.SystemClock()
    calls = _http_calls.HttpClient(
        _metrics.Metrics("front-1"), max_connections=100
    )
    stored: list[_orders.Batch] = []
    journal = _journal.Journal(
        calls=calls,
        settings=_instance_settings.StoreSettings(
            platform.address, 800, 2000, 262144, 2097152
        ),
        epoch=2,
        clock=clock.now,
        on_recovered=lambda _records: None,
        on_stored=stored.append,
        on_unstorable=lambda _job_id: None,
    )
    while not journal.is_idle:
        journal.make_due_call(clock.now())
        calls.poll(0.01)
    batch = _orders.Batch(tuple(map(_records.JobRecord, jobs)), {}, ())
    journal.append_batch(batch)
    end_s = time.monotonic() + APPEND_LIMIT_S
    while not stored and time.monotonic() < end_s:
        journal.make_due_call(clock.now())
        calls.poll(0.01)
    calls.close()
    assert stored == [batch]
    keys = [
        record[1 : 1 + record[0]].decode()
        for record in platform.topics["keyed.jobs"].records
    ]
    assert keys == [f"j.{each.id}" for each in jobs]


class TestLargeProgress:
    """The progress of a large job goes on after all instances were lost."""

    def test_a_successor_reads_it_back(
        self, platform: platform_standin.Platform
    ) -> None:
        # The store refused the one record of it, and all others behind it.
        progress = _progress.JobProgress(
            state=_progress.JobState.RUNNING,
            checkpoint_by_position={
                (0, 0, index): "x" * 100 for index in range(LARGE_JOB_TASKS)
            },
        )
        progress_record = _records.ProgressRecord(
            "00000000000000a1", progress.copy_to_store()
        )
        assert _run_term(platform, 2, progress_record) == []
        assert _run_term(platform, 3) == [progress_record]


def _run_term(
    platform: platform_standin.Platform, epoch: int, *records: _records.Record
) -> list[_records.Record]:
    """Returns what a term recovers, after it has stored some records."""
    clock = _clock.SystemClock()
    calls = _http_calls.HttpClient(
        _metrics.Metrics("front-1"), max_connections=100
    )
    recovered: list[_records.Record] = []
    stored: list[_orders.Batch] = []
    journal = _journal.Journal(
        calls=calls,
        settings=_instance_settings.StoreSettings(
            platform.address, 800, 2000, 262144, 2097152
        ),
        epoch=epoch,
        clock=clock.now,
        on_recovered=recovered.extend,
        on_stored=stored.append,
        on_unstorable=lambda _job_id: None,
    )
    end_s = time.monotonic() + APPEND_LIMIT_S
    while not stored and time.monotonic() < end_s:
        journal.make_due_call(clock.now())
        calls.poll(0.01)
        if journal.is_idle and not stored:
            journal.append_batch(_orders.Batch(records, {}, ()))
    calls.close()
    return recovered


class TestAppend:
    """A batch is stored in parts, each once and in order."""

    def test_a_large_batch_is_stored_over_a_narrow_link(
        self, platform: platform_standin.Platform
    ) -> None:
        platform.link_to_store.bytes_per_s = NARROW_LINK_BYTES_PER_S
        _append_jobs(platform, _jobs(JOB_COUNT, JOB_BYTES))
        assert max(platform.append_sizes) < LARGEST_APPEND_BYTES

    def test_a_large_record_is_stored_over_a_narrow_link_that_is_shared(
        self, platform: platform_standin.Platform
    ) -> None:
        """The record takes longer than any call without a body may."""
        platform.link_to_store.bytes_per_s = NARROW_LINK_BYTES_PER_S / 3
        _append_jobs(platform, _jobs(1, LARGE_JOB_BYTES))

    def test_a_part_that_is_repeated_while_it_arrives_is_stored_once(
        self, platform: platform_standin.Platform
    ) -> None:
        """The link is so slow that the first calls time out."""
        platform.link_to_store.bytes_per_s = NARROW_LINK_BYTES_PER_S / 6
        jobs = _jobs(JOB_COUNT // 8, JOB_BYTES)
        _append_jobs(platform, jobs)
        stored_bytes = sum(map(len, platform.topics["keyed.jobs"].records))
        assert sum(platform.append_sizes) > stored_bytes + JOB_BYTES * len(jobs)

"""Tests of the scheduler's journal against a stand-in of the store."""

from collections.abc import Iterator
import time

import pytest
import structlog

from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _job_records
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
"""Jobs in the store: one page, which takes two seconds on a narrow link."""

RECOVERY_LIMIT_S = 8.0
"""Longest time that a recovery of that size may take, in seconds."""

SILENT_RECOVERY_LIMIT_S = 2.0
"""Longest time for it over a wide link with one silent answer, in seconds.

The answer is given up after 1.0 s.
"""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform without executors, whose store holds `JOB_COUNT` jobs."""
    platform = platform_standin.Platform(executors=0)
    for number in range(JOB_COUNT):
        job = build.accepted_job(job_id=f"{number:016x}", payload="x" * 2400)
        for record in _job_records.encode_record(_records.JobRecord(job)):
            name = record.key.encode()
            platform.topics["keyed.jobs"].append_record(
                bytes((len(name),)) + name + record.value
            )
    yield platform
    platform.close()


def recover(
    platform: platform_standin.Platform, limit_s: float
) -> list[_records.Record]:
    """Returns the records that a new journal recovers within a time limit."""
    recovered: list[_records.Record] = []
    clock = _clock.SystemClock()
    calls = _http_calls.HttpClient(
        _metrics.Metrics("front-1"), max_connections=100
    )
    journal = _journal.Journal(
        calls=calls,
        settings=_instance_settings.StoreSettings(
            platform.address, 800, 2000, 262144, 2097152
        ),
        epoch=2,
        clock=clock.now,
        on_recovered=recovered.extend,
        on_stored=lambda _batch: None,
        on_unstorable=lambda _job_id: None,
    )
    end_s = time.monotonic() + limit_s
    while not recovered and time.monotonic() < end_s:
        journal.make_due_call(clock.now())
        calls.poll(0.01)
    calls.close()
    return recovered


class TestRecovery:
    """A new scheduler reads all records of its predecessors."""

    def test_a_narrow_link_delays_recovery_but_does_not_prevent_it(
        self, platform: platform_standin.Platform
    ) -> None:
        platform.store_bytes_per_s = NARROW_LINK_BYTES_PER_S
        recovered = recover(platform, RECOVERY_LIMIT_S)
        assert len(recovered) == JOB_COUNT

    @pytest.mark.parametrize("sent_bytes", [0, 300_000])
    def test_a_store_that_falls_silent_is_noticed_and_read_again(
        self,
        platform: platform_standin.Platform,
        monkeypatch: pytest.MonkeyPatch,
        sent_bytes: int,
    ) -> None:
        log = structlog.testing.CapturingLogger()
        monkeypatch.setattr(_journal, "_log", log)
        platform.silent_after_bytes = [sent_bytes]
        recovered = recover(platform, SILENT_RECOVERY_LIMIT_S)
        assert len(recovered) == JOB_COUNT
        assert len(platform.reads) == 2
        (retry,) = log.calls
        assert retry.args == ("journal.retry",)
        assert f"after {sent_bytes} bytes" in retry.kwargs["fault"]

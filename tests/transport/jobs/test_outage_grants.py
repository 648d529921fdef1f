"""Tests over real sockets of leases in an outage of the store."""

from collections.abc import Iterator
import time
from typing import Any

import pytest

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.platform import _store
import instance_rig
import platform_standin

_JOB_PATH = "/jobs/00000000000000a1"

_RENEWAL_S = 1.7
"""Time in which the lease of an executor is renewed, in seconds: a renewal
takes a second."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one route, /jobs/."""
    platform = platform_standin.Platform(executors=1)
    platform.configure(1, "/jobs/")
    yield platform
    platform.close()


@pytest.fixture
def instances(
    platform: platform_standin.Platform,
) -> Iterator[list[instance_rig.Instance]]:
    """Three instances that are old enough to report an outage."""
    started = instance_rig.start_with_lasting_job(platform, 3, _JOB_PATH)
    yield started
    for each in started:
        each.close()


def _remove_follower(
    instances: list[instance_rig.Instance],
) -> instance_rig.Instance:
    """Ends an instance that does not schedule, and returns it."""
    gone = next(each for each in instances if not each.task.is_scheduling())
    instances.remove(gone)
    gone.close()
    return gone


def _end_open_reads(platform: platform_standin.Platform) -> None:
    """Ends the reads in flight, so that the next ones meet the outage."""
    with platform.lock:
        platform.topics[_store.TERM_TOPIC].append_record(b"\x05other-")


def _assert_grants_end(
    platform: platform_standin.Platform, logs: list[Any]
) -> dict[str, Any]:
    """Asserts that leases are granted no more; returns the log entry."""

    def pauses() -> list[Any]:
        return [each for each in logs if each["event"] == "term.grants-paused"]

    instance_rig.wait_until(pauses)
    time.sleep(0.3)
    lease_ms = platform.executors[0].lease_ms
    time.sleep(1.5)
    assert platform.executors[0].lease_ms == lease_ms
    (paused,) = pauses()
    assert isinstance(paused, dict)
    return paused


class TestOutage:
    """In an outage of the store, leases are renewed while nobody takes over."""

    def test_they_are_while_every_instance_lacks_the_store(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
    ) -> None:
        assert len(instances) == 3
        time.sleep(_lease_grants.MAX_GRANT_S)
        platform.is_down = True
        time.sleep(_lease_grants.UNREPORTED_GRANT_S + 1.0)
        lease_ms = platform.executors[0].lease_ms
        time.sleep(_RENEWAL_S)
        assert platform.executors[0].lease_ms > lease_ms

    # An instance whose read outlasted the grants was named beside this one.
    def test_they_are_not_for_long_if_an_instance_does_not_answer(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
        logs: list[Any],
    ) -> None:
        """It may reach the store and take over."""
        gone = _remove_follower(instances)
        time.sleep(_lease_grants.MAX_GRANT_S)
        platform.is_down = True
        _end_open_reads(platform)
        paused = _assert_grants_end(platform, logs)
        assert paused["first"] == [gone.name]

    def test_they_are_not_whenever_the_reads_in_flight_end(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
        logs: list[Any],
    ) -> None:
        """An instance that still reads has no outage to report yet."""
        gone = _remove_follower(instances)
        live = next(e for e in instances if not e.task.is_scheduling())
        time.sleep(_lease_grants.MAX_GRANT_S)
        platform.is_down = True
        paused = _assert_grants_end(platform, logs)
        assert gone.name in paused["first"]
        assert set(paused["first"]) <= {gone.name, live.name}
        assert paused["without_report"] == len(paused["first"])

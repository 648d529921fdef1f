"""Tests of an instance beside odd records of terms in the store."""

from collections.abc import Iterator

import pytest

from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _leadership
import instance_rig
import platform_standin

HUGE_EPOCH = int("9" * 400)
"""Epoch that no floating-point number can hold."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with two executors and a queue."""
    platform = platform_standin.Platform(2)
    platform.configure(1, "/queue/")
    yield platform
    platform.close()


def test_a_term_with_a_huge_epoch_keeps_no_instance_from_scheduling(
    platform: platform_standin.Platform,
) -> None:
    """Another writer may leave such a term, which nobody renews."""
    key = _store.TERM_KEY.encode()
    term = _leadership.Term(HUGE_EPOCH, "b", 1, "127.0.0.1:1")
    with platform.lock:
        platform.topics[_store.TERM_TOPIC].append_record(
            bytes((len(key),)) + key + _job_records.encode_term(term)
        )
    instance = instance_rig.Instance(platform)
    try:
        path = f"/queue/{1:016x}"
        instance_rig.submit_until_accepted(instance, path)
        instance_rig.wait_until(
            lambda: instance.call("GET", path) == (200, '{"State":"completed"}')
        )
    finally:
        instance.close()

"""Tests of an instance beside odd records of terms in the store."""

from collections.abc import Iterator

import pytest

from basiljunction.coordination.leadership import _epoch_range
from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _leadership
import instance_rig
import platform_standin

HUGE_EPOCH = int("9" * 400)
"""Epoch that no floating-point number can hold."""

_USED_EPOCH = 57
"""Epoch of a term that was used."""


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


def _put_term(platform: platform_standin.Platform, epoch: int) -> None:
    """Stores a term that nobody renews."""
    key = _store.TERM_KEY.encode()
    term = _leadership.Term(epoch, "b", 1, "127.0.0.1:1")
    with platform.lock:
        platform.topics[_store.TERM_TOPIC].append_record(
            bytes((len(key),)) + key + _job_records.encode_term(term)
        )


def _complete_job(platform: platform_standin.Platform) -> int:
    """Completes a job; returns the epoch of the term in which it was."""
    instance = instance_rig.Instance(platform)
    try:
        path = f"/queue/{1:016x}"
        instance_rig.submit_until_accepted(instance, path)
        instance_rig.wait_until(
            lambda: instance.call("GET", path) == (200, '{"State":"completed"}')
        )
        with platform.lock:
            topic = platform.topics[_store.TERM_TOPIC]
            newest = topic.newest_by_key[_store.TERM_KEY][1]
        return _job_records.decode_term(newest).epoch
    finally:
        instance.close()


def test_the_next_epoch_is_above_a_used_one_that_is_hidden(
    platform: platform_standin.Platform,
) -> None:
    """The store returns only the newest record of a key at first."""
    _put_term(platform, _USED_EPOCH)
    _put_term(platform, _epoch_range.max_epoch_at(1) + 1)
    assert _complete_job(platform) > _USED_EPOCH


def test_the_highest_epoch_in_range_keeps_no_instance_from_scheduling(
    platform: platform_standin.Platform,
) -> None:
    """The term after it is in range too, as its record comes later."""
    _put_term(platform, _epoch_range.max_epoch_at(0))
    assert _complete_job(platform) == _epoch_range.max_epoch_at(0) + 1

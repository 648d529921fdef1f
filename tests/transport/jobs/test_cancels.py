"""Tests over real sockets that a cancel is answered in time."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import http.client
import time

import pytest

from basiljunction.protocol import _job_records
from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _daemon
import instance_rig
import platform_standin
import workload_builders as build

_CANCELLED_ID = "00000000000000c1"
_CANCELLED_PATH = f"/jobs/{_CANCELLED_ID}"
_LIMIT_S = 1.0  # well below the time for which a submission waits
_SETTLE_S = 0.3  # time until the submissions of a test wait


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one route, /jobs/."""
    platform = platform_standin.Platform(executors=1)
    platform.configure(1, "/jobs/")
    yield platform
    platform.silent_append_topics.clear()
    platform.close()


@pytest.fixture
def leader(
    platform: platform_standin.Platform,
) -> Iterator[instance_rig.Instance]:
    """A scheduler behind a relay, which has cancelled one job."""
    instance = instance_rig.Instance(platform, "front-1", has_relay=True)
    instance_rig.submit_until_accepted(instance, _CANCELLED_PATH)
    assert instance.call("DELETE", _CANCELLED_PATH)[0] == 200
    yield instance
    instance.close()


@pytest.fixture
def entry(
    platform: platform_standin.Platform,
    leader: instance_rig.Instance,
) -> Iterator[instance_rig.Instance]:
    """An instance that forwards calls to the scheduler."""
    instance = instance_rig.Instance(platform, "front-2")
    instance_rig.wait_until(
        lambda: instance.call("GET", _CANCELLED_PATH)[0] == 200
    )
    yield instance
    instance.close()


@contextlib.contextmanager
def _waiting_submits(
    instance: instance_rig.Instance,
    platform: platform_standin.Platform,
    count: int,
) -> Iterator[None]:
    """Has submissions wait for a store that does not answer appends."""
    platform.silent_append_topics.add("keyed.jobs")
    with futures.ThreadPoolExecutor(count) as pool:
        for number in range(count):
            pool.submit(
                instance.call,
                "POST",
                f"/jobs/{number:016x}",
                instance_rig.SHORT_JOB,
            )
        time.sleep(_SETTLE_S)
        yield
        platform.silent_append_topics.clear()


def _cancel(instance: instance_rig.Instance) -> tuple[int, bool]:
    """Cancels the job again; returns the status and whether it was in time."""
    started_s = time.monotonic()
    status, _ = instance.call("DELETE", _CANCELLED_PATH)
    return status, time.monotonic() - started_s < _LIMIT_S


def _call_peer(port: int, call: _client_calls.ClientCall) -> str:
    """Makes a forwarded call and returns its outcome."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    try:
        connection.request("POST", "/calls", _peer_calls.encode_call(call))
        body = connection.getresponse().read()
        return _peer_calls.decode_reply(body).outcome.value
    finally:
        connection.close()


class TestCancels:
    """Calls that wait do not delay a cancel that can be answered."""

    def test_submits_that_wait_leave_a_thread_to_cancels(
        self,
        platform: platform_standin.Platform,
        leader: instance_rig.Instance,
    ) -> None:
        with _waiting_submits(leader, platform, _daemon.FRONT_THREADS + 4):
            assert _cancel(leader) == (200, True)

    def test_submits_that_wait_leave_a_connection_to_cancels(
        self,
        platform: platform_standin.Platform,
        entry: instance_rig.Instance,
    ) -> None:
        with _waiting_submits(entry, platform, 10):
            assert _cancel(entry) == (200, True)

    def test_forwarded_submits_leave_a_thread_to_cancels(
        self,
        platform: platform_standin.Platform,
        leader: instance_rig.Instance,
    ) -> None:
        platform.silent_append_topics.add("keyed.jobs")
        count = _daemon.PEER_THREADS + 4
        with futures.ThreadPoolExecutor(count) as pool:
            for number in range(count):
                job = build.accepted_job(job_id=f"{number:016x}")
                call = _client_calls.ClientCall(
                    _client_calls.CallKind.SUBMIT,
                    "q0",
                    job.id,
                    _job_records.encode_job(job),
                )
                pool.submit(_call_peer, leader.peer_port, call)
            time.sleep(_SETTLE_S)
            started_s = time.monotonic()
            call = _client_calls.ClientCall(
                _client_calls.CallKind.CANCEL, "q0", _CANCELLED_ID
            )
            assert _call_peer(leader.peer_port, call) == "found"
            assert time.monotonic() - started_s < _LIMIT_S
            platform.silent_append_topics.clear()

    def _open_and_silence_connections(
        self, leader: instance_rig.Instance, entry: instance_rig.Instance
    ) -> None:
        """Opens connections from the entry to the leader that fall silent."""
        with futures.ThreadPoolExecutor(8) as pool:
            paths = [f"/jobs/{number:016x}" for number in range(8)]
            submits = [
                pool.submit(entry.call, "POST", path, instance_rig.SHORT_JOB)
                for path in paths
            ]
        assert [each.result()[0] for each in submits] == [200] * 8
        assert leader.relay is not None
        assert leader.relay.silence_open_connections() > 1

    def test_silent_connections_do_not_use_up_the_time_of_a_cancel(
        self, leader: instance_rig.Instance, entry: instance_rig.Instance
    ) -> None:
        self._open_and_silence_connections(leader, entry)
        assert _cancel(entry) == (200, True)

    def test_silent_connections_do_not_use_up_the_time_of_a_submit(
        self, leader: instance_rig.Instance, entry: instance_rig.Instance
    ) -> None:
        self._open_and_silence_connections(leader, entry)
        assert (
            entry.call(
                "POST", "/jobs/00000000000000d1", instance_rig.SHORT_JOB
            )[0]
            == 200
        )

"""Tests of clients that don't keep to the limits of the protocol.

They start a process with the memory and the descriptors of a small machine, and
check that it stays within them, lives on and answers an ordinary request.
"""

from collections.abc import Iterator
import contextlib
import pathlib
import time

import psutil
import pytest

import instance_process
import misbehaving_clients
import platform_standin

pytestmark = pytest.mark.crowds

MEMORY_MB = 160
"""Memory of the machine in the settings, in MB: the least of the users'
machines."""

DESCRIPTORS = 700
"""Descriptors of that machine: few, so that a small crowd reaches its share."""

UNREAD_MEMORY_MB = 100
"""Memory in the settings of the test of unread bytes, in MB: little more than
an idle process needs, so that a small crowd would exceed it."""

UNREAD_DESCRIPTORS = 4100
"""Descriptors of the users' smallest machine."""

_BYTES_PER_MB = 1_000_000

_READY_TIMEOUT_S = 30.0

_CASES = [
    ("front", misbehaving_clients.endless_trailers),
    ("front", misbehaving_clients.endless_trailer_line),
    ("front", misbehaving_clients.endless_chunk_size),
    ("front", misbehaving_clients.endless_extension),
    ("front", misbehaving_clients.endless_chunks),
    ("front", misbehaving_clients.endless_header),
    ("front", misbehaving_clients.endless_blank_lines),
    ("front", misbehaving_clients.unfinished_large_body),
    ("front", misbehaving_clients.unfinished_body_of_known_length),
    ("peer", misbehaving_clients.endless_chunk_size),
    ("peer", misbehaving_clients.unfinished_large_body),
    ("readiness", misbehaving_clients.endless_chunk_size),
    ("metrics", misbehaving_clients.endless_chunk_size),
]

_JOB = {
    "Spec": "x",
    "Steps": [{"Count": 1, "Cpu": 500, "MemMb": 100, "EstDurationMs": 300}],
}


@contextlib.contextmanager
def _run_instance(
    folder: pathlib.Path, *, memory_mb: int, descriptors: int
) -> Iterator[instance_process.InstanceProcess]:
    """Runs an instance on a small machine that serves and schedules."""
    platform = platform_standin.Platform()
    platform.configure(1, "/jobs/")
    instance = instance_process.InstanceProcess(
        folder,
        platform,
        0,
        more_settings=(
            f"Limits.MemoryMb={memory_mb}\nLimits.MaxFds={descriptors}\n"
        ),
    )
    try:
        _wait_until_served(instance)
        yield instance
    finally:
        instance.kill()
        platform.close()


def _wait_until_served(instance: instance_process.InstanceProcess) -> None:
    """Waits until the instance has accepted an ordinary job."""
    end_s = time.monotonic() + _READY_TIMEOUT_S
    while instance.call("POST", "/jobs/00000000000000b1", dict(_JOB))[0] != 200:
        assert instance.process.poll() is None, "the process has ended"
        assert time.monotonic() < end_s, "no ordinary request is answered"
        time.sleep(0.1)


def _play_crowd(
    instance: instance_process.InstanceProcess,
    server: str,
    script: misbehaving_clients.Script,
    connections: int,
) -> misbehaving_clients.Peak:
    """Returns the most that an instance used beside a crowd; it lives on."""
    ports = {
        "front": instance.front_port,
        "peer": instance.peer_port,
        "readiness": instance.readiness_port,
        "metrics": instance.metrics_port,
    }
    peak = misbehaving_clients.play(
        psutil.Process(instance.process.pid),
        ports[server],
        script,
        ports=frozenset(ports.values()),
        connections=connections,
    )
    assert instance.process.poll() is None, "the process has ended"
    return peak


class TestCrowdOfClients:
    """A process outlives a crowd within the memory of its machine."""

    @pytest.mark.parametrize(("server", "script"), _CASES)
    def test_the_process_stays_within_its_machine(
        self,
        tmp_path: pathlib.Path,
        server: str,
        script: misbehaving_clients.Script,
    ) -> None:
        with _run_instance(
            tmp_path, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
        ) as instance:
            peak = _play_crowd(
                instance, server, script, misbehaving_clients.CONNECTIONS
            )
            assert peak.memory_bytes < MEMORY_MB * _BYTES_PER_MB
            assert peak.descriptors < DESCRIPTORS
            _wait_until_served(instance)

    def test_unread_bytes_stay_within_its_machine(
        self, tmp_path: pathlib.Path
    ) -> None:
        with _run_instance(
            tmp_path, memory_mb=UNREAD_MEMORY_MB, descriptors=UNREAD_DESCRIPTORS
        ) as instance:
            peak = _play_crowd(
                instance,
                "front",
                misbehaving_clients.slow_chunks_before_trailers,
                misbehaving_clients.LARGE_CROWD_CONNECTIONS,
            )
            assert peak.memory_bytes < UNREAD_MEMORY_MB * _BYTES_PER_MB
            assert peak.descriptors < UNREAD_DESCRIPTORS
            _wait_until_served(instance)

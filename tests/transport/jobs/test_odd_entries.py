"""Tests of an instance beside odd entries in the list of executors."""

from collections.abc import Iterator
import json
import time
from typing import Any

import pytest
import structlog

from basiljunction.transport import _task
from basiljunction.transport.jobs import _http_calls
import instance_rig
import platform_standin

HUGE_INTEGER = int("9" * 400)
"""Integer that no floating-point number can hold."""


def _entry(**fields: object) -> bytes:
    """Returns the entry of an executor with other values in some fields."""
    return json.dumps(
        {
            "Service": "coder",
            "Address": "127.0.0.1:1",
            "Zone": "zone-a",
            "State": "ready",
            "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0},
            "Labels": ["a", "r1"],
            "born": 1,
            **fields,
        }
    ).encode()


def _write(platform: platform_standin.Platform, key: str, value: bytes) -> None:
    """Writes an entry into the list of executors as another writer does."""
    name = key.encode()
    with platform.lock:
        platform.topics["keyed.servers"].append_record(
            bytes((len(name),)) + name + value
        )


@pytest.fixture
def errors(monkeypatch: pytest.MonkeyPatch) -> list[Any]:
    """Errors that the instance's loop logs."""
    log = structlog.testing.CapturingLogger()
    monkeypatch.setattr(_task, "_log", log)
    monkeypatch.setattr(_http_calls, "_log", log)
    return log.calls


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with two executors and a queue."""
    platform = platform_standin.Platform(2)
    platform.configure(1, "/queue/")
    yield platform
    platform.close()


def _run_job(instance: instance_rig.Instance, number: int) -> None:
    """Submits a job and waits until it is completed."""
    path = f"/queue/{number:016x}"
    instance_rig.submit_until_accepted(instance, path)
    instance_rig.wait_until(
        lambda: instance.call("GET", path) == (200, '{"State":"completed"}')
    )


def _run_beside(
    platform: platform_standin.Platform, key: str, value: bytes
) -> None:
    """Runs a job beside an entry that is there before, and one beside a new."""
    _write(platform, key, value)
    instance = instance_rig.Instance(platform)
    try:
        _run_job(instance, 1)
        _write(platform, key, value)
        _run_job(instance, 2)
    finally:
        instance.close()


class TestOddEntries:
    """An odd entry doesn't keep the instance from the other executors."""

    @pytest.mark.parametrize("key", ["i-\u00e9", "i-\u03b1", "i-\0"])
    def test_jobs_run_beside_an_id_that_no_header_can_carry(
        self,
        platform: platform_standin.Platform,
        errors: list[Any],
        key: str,
    ) -> None:
        _run_beside(platform, key, _entry())
        assert errors == []

    @pytest.mark.parametrize(
        "value",
        [
            b"[" * 100_000 + b"]" * 100_000,
            _entry()[:-1]
            + b',"x":'
            + b'{"a":' * 100_000
            + b"1"
            + b"}" * 100_001,
            b"{}",
            b"[]",
            b'"x"',
            b"\xff\x00",
            _entry(Address="127.0.0.1:99999"),
            _entry(Address="127.0.0.1:0"),
            _entry(Zone="\ud800"),
            _entry(Labels=["\0"]),
            _entry(Service=""),
            _entry(born=HUGE_INTEGER),
            _entry(Capacity={"Cpu": HUGE_INTEGER, "MemMb": 1}),
            _entry(Capacity={"Cpu": 1 << 53, "MemMb": 1 << 53, "Gpu": 1 << 53}),
            _entry(State="draining", RemainingMs=-float(1 << 53)),
        ],
        ids=lambda value: value[:70].decode("latin-1"),
    )
    def test_jobs_run_beside_an_odd_value(
        self,
        platform: platform_standin.Platform,
        errors: list[Any],
        value: bytes,
    ) -> None:
        _run_beside(platform, "i-odd", value)
        assert errors == []

    def test_an_odd_value_under_the_id_of_an_executor_ends_no_run(
        self, platform: platform_standin.Platform, errors: list[Any]
    ) -> None:
        path = f"/queue/{1:016x}"
        instance = instance_rig.Instance(platform)
        try:
            instance_rig.submit_until_accepted(
                instance, path, instance_rig.LASTING_JOB
            )
            instance_rig.wait_until(lambda: len(platform.starts) == 1)
            for executor in platform.executors:
                executor.sends_heartbeats = False
                _write(platform, executor.id, b"[" * 100_000)
            time.sleep(1.0)
            for executor in platform.executors:
                executor.sends_heartbeats = True
            _run_job(instance, 2)
            assert instance.call("GET", path)[1] == '{"State":"running"}'
        finally:
            instance.close()
        assert len(platform.starts) == 2
        assert errors == []

    def test_jobs_run_beside_labels_that_fill_the_largest_record(
        self, platform: platform_standin.Platform, errors: list[Any]
    ) -> None:
        value = _entry(Labels=["x" * (platform_standin.MAX_RECORD_BYTES - 300)])
        assert len(value) < platform_standin.MAX_RECORD_BYTES
        _run_beside(platform, "i-odd", value)
        assert errors == []


class TestLargeJobs:
    """A job whose record the store does not take holds no other job up."""

    def test_it_is_refused_and_the_next_one_runs(
        self, platform: platform_standin.Platform, errors: list[Any]
    ) -> None:
        step = {"Count": 1, "Cpu": 100, "MemMb": 100, "Image": "x" * 261_900}
        body = json.dumps({"Spec": "x", "Steps": [step]})
        instance = instance_rig.Instance(platform)
        try:
            _run_job(instance, 1)
            status, _ = instance.call("POST", f"/queue/{2:016x}", body)
            assert status == 400
            _run_job(instance, 3)
        finally:
            instance.close()
        assert errors == []

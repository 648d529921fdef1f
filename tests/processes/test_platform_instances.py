"""Tests of real instance processes that use a stand-in of the platform."""

from collections.abc import Iterator
from concurrent import futures
import pathlib
import signal
import time
from typing import Any

import pytest

import instance_process
import platform_standin

pytestmark = pytest.mark.processes

_WAIT_TIMEOUT_S = 20.0
_STOP_S = 2.0  # before SIGKILL; an instance listens until then at least
_LATE_S = 2.1  # before SIGKILL; just before an instance stops to listen
_LOST_S = 2.4  # before SIGKILL; too late for an instance that leaves to claim
_SERVED_S = 3.0  # before SIGKILL; the last scheduler still holds its term
_LATE_ATTEMPTS = 5  # to send late requests before instances stop to listen


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """Starts a stand-in of the platform with one route, /jobs/."""
    standin = platform_standin.Platform()
    standin.configure(1, "/jobs/")
    yield standin
    standin.close()


@pytest.fixture
def instances(
    tmp_path: pathlib.Path, platform: platform_standin.Platform
) -> Iterator[list[instance_process.InstanceProcess]]:
    """Starts three instances and kills them after the test."""
    started = [
        instance_process.InstanceProcess(tmp_path, platform, n)
        for n in range(3)
    ]
    yield started
    for each in started:
        each.kill()


def _wait_until(check: Any) -> None:
    """Polls `check` until it is true; fails after _WAIT_TIMEOUT_S."""
    deadline_s = time.monotonic() + _WAIT_TIMEOUT_S
    while not check():
        assert time.monotonic() < deadline_s, "condition not met in time"
        time.sleep(0.1)


def _make_job_body(**changes: Any) -> dict[str, Any]:
    """Returns a job of two dependent steps with two tasks each."""
    step = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstDurationMs": 300}
    return {"Spec": "x", "Steps": [step, step | {"After": [0]}]} | changes


def _make_lasting_job_body() -> dict[str, Any]:
    """Returns a job of two tasks that run until the job is cancelled."""
    step = {
        "Count": 2,
        "Cpu": 500,
        "MemMb": 100,
        "EstDurationMs": 300,
        "LongRunning": True,
    }
    return {"Spec": "lasts", "Steps": [step]}


class TestInstances:
    """Callers are served through leader changes and store outages."""

    def test_a_job_survives_its_scheduler(
        self,
        instances: list[instance_process.InstanceProcess],
        platform: platform_standin.Platform,
    ) -> None:
        _wait_until(lambda: all(each.is_ready() for each in instances))
        _wait_until(lambda: any(each.is_leader() for each in instances))
        leader = next(each for each in instances if each.is_leader())
        others = [each for each in instances if each is not leader]
        path = "/jobs/00000000000000a1"
        _wait_until(
            lambda: others[0].call("POST", path, _make_job_body())[0] == 200
        )
        leader.process.kill()
        _wait_until(
            lambda: others[1].call("GET", path)[1].get("State") == "completed"
        )
        assert len(platform.starts) == len(set(platform.starts)) == 4
        text = "".join(each.read_metrics() for each in others)
        for line in (
            'basiljunction_calls_total{kind="submit",outcome="accepted"} 1.0',
            'basiljunction_cell_decisions_total{event="job.finished"} 1.0',
            'basiljunction_outgoing_calls_total{operation="store.append",',
            "basiljunction_configuration_version 1.0",
        ):
            assert line in text
        assert others[0].call("GET", "/jobs/") == (200, {"Waiting": 0})

    def test_sigterm_hands_over_and_ends_with_0(
        self,
        instances: list[instance_process.InstanceProcess],
        platform: platform_standin.Platform,
    ) -> None:
        _wait_until(lambda: any(each.is_leader() for each in instances))
        leader = next(each for each in instances if each.is_leader())
        others = [each for each in instances if each is not leader]
        path = "/jobs/00000000000000a2"
        _wait_until(
            lambda: (
                leader.call("POST", path, _make_job_body(Spec="lasts"))[0]
                == 200
            )
        )
        leader.process.send_signal(signal.SIGTERM)
        _wait_until(lambda: any(each.is_leader() for each in others))
        assert leader.call("GET", path)[0] == 200
        assert leader.process.wait(timeout=instance_process.GRACE_S) == 0
        assert others[0].call("DELETE", path)[0] == 200
        _wait_until(lambda: not any(e.running for e in platform.executors))

    def test_requests_are_served_while_all_instances_leave(
        self, instances: list[instance_process.InstanceProcess]
    ) -> None:
        _wait_until(lambda: all(each.is_ready() for each in instances))
        _wait_until(lambda: any(each.is_leader() for each in instances))
        killed_s = time.monotonic() + instance_process.GRACE_S
        for each in instances:
            each.process.send_signal(signal.SIGTERM)
        number = 0
        while time.monotonic() < killed_s - _SERVED_S:
            number += 1
            entry = instances[number % len(instances)]
            path = f"/jobs/{number:016x}"
            assert entry.request("POST", path, _make_job_body())[0] == 200
            time.sleep(0.1)
        assert number >= len(instances)
        for each in instances:
            assert each.process.wait(killed_s - time.monotonic()) == 0

    def test_requests_are_refused_in_time_when_all_instances_leave(
        self, instances: list[instance_process.InstanceProcess]
    ) -> None:
        """The scheduler is lost when none may claim any more; all wait in vain.

        If this process itself is held up and connects only once the instances
        may have stopped to listen, it tries again with new ones.
        """
        for _ in range(_LATE_ATTEMPTS):
            if self._leave_with_late_requests(instances):
                return
            for each in instances:
                each.start()
        pytest.fail("this process was held up each time")

    def _leave_with_late_requests(
        self, instances: list[instance_process.InstanceProcess]
    ) -> bool:
        """Has all instances leave, and sends each of them a late request.

        The one that schedules is killed before, when too little time is left
        to the others for a term of their own.

        Returns:
            Whether all answered; else, a connection was refused at a time at
            which the instance need not listen any more.
        """
        _wait_until(lambda: all(each.is_ready() for each in instances))
        _wait_until(lambda: any(each.is_leader() for each in instances))
        listens_until_s = time.monotonic() + instance_process.GRACE_S - _STOP_S
        for each in instances:
            each.process.send_signal(signal.SIGTERM)
        killed_s = time.monotonic() + instance_process.GRACE_S
        time.sleep(instance_process.GRACE_S - _LOST_S)
        lost = [each for each in instances if each.is_leader()]
        for each in lost:
            each.kill()
        others = [each for each in instances if each not in lost]
        time.sleep(max(0.0, killed_s - _LATE_S - time.monotonic()))

        def is_answered(instance: instance_process.InstanceProcess) -> bool:
            path = "/jobs/00000000000000a9"
            try:
                status, _ = instance.request("POST", path, _make_job_body())
            except ConnectionRefusedError:
                assert time.monotonic() > listens_until_s
                return False
            assert status == 503
            return True

        with futures.ThreadPoolExecutor(len(others)) as pool:
            answered = list(pool.map(is_answered, others))
        assert len(lost) == 1
        for each in others:
            assert each.process.wait(killed_s - time.monotonic()) == 0
        return all(answered)

    def test_calls_are_answered_clearly(
        self,
        instances: list[instance_process.InstanceProcess],
        platform: platform_standin.Platform,
    ) -> None:
        _wait_until(lambda: any(each.is_leader() for each in instances))
        entry = instances[0]
        _wait_until(lambda: entry.call("GET", "/jobs/")[0] == 200)
        assert entry.call("GET", "/jobs/00000000000000ff")[0] == 410
        assert entry.call("DELETE", "/jobs/00000000000000ff")[0] == 410
        assert entry.call("GET", "/other/")[0] == 404
        assert entry.call("GET", "/jobs/not-an-id")[0] == 404
        assert (
            entry.call("PUT", "/jobs/00000000000000a1", _make_job_body())[0]
            == 405
        )
        status, body = entry.call("POST", "/jobs/00000000000000a1", {})
        assert (status, "Steps" in body["Reason"]) == (400, True)
        too_large = _make_job_body(Steps=[{"Count": 1, "Cpu": 999_999}])
        assert entry.call("POST", "/jobs/00000000000000a1", too_large)[0] == (
            422
        )
        platform.configure(2, "/other/")
        _wait_until(lambda: entry.call("GET", "/other/")[0] == 200)
        assert entry.call("GET", "/jobs/")[0] == 404

    def test_sighup_moves_instances_to_another_store(
        self,
        instances: list[instance_process.InstanceProcess],
        platform: platform_standin.Platform,
    ) -> None:
        _wait_until(lambda: any(each.is_leader() for each in instances))
        _wait_until(lambda: instances[0].call("GET", "/jobs/")[0] == 200)
        moved = platform_standin.Platform()
        try:
            moved.configure(2, "/moved/")
            for each in instances:
                each.write_settings(moved)
                each.process.send_signal(signal.SIGHUP)
            path = "/moved/00000000000000a6"
            _wait_until(
                lambda: (
                    instances[1].call("POST", path, _make_job_body())[0] == 200
                )
            )
            _wait_until(lambda: len(moved.starts) == 4)
            assert platform.starts == []
            assert all(each.process.poll() is None for each in instances)
        finally:
            moved.close()

    def test_a_store_outage_refuses_new_jobs_and_keeps_what_runs(
        self,
        instances: list[instance_process.InstanceProcess],
        platform: platform_standin.Platform,
    ) -> None:
        _wait_until(lambda: any(each.is_leader() for each in instances))
        entry = instances[0]
        path = "/jobs/00000000000000a3"
        _wait_until(
            lambda: entry.call("POST", path, _make_lasting_job_body())[0] == 200
        )
        _wait_until(lambda: len(platform.starts) == 2)
        platform.is_down = True
        time.sleep(3)
        status, _ = entry.call(
            "POST", "/jobs/00000000000000a4", _make_job_body()
        )
        assert status in (503, 504)
        assert entry.call("GET", path)[1] == {"State": "running"}
        platform.is_down = False
        _wait_until(
            lambda: (
                entry.call("POST", "/jobs/00000000000000a5", _make_job_body())[
                    0
                ]
                == 200
            )
        )
        assert len([t for t in platform.starts if "a3" in t]) == 2

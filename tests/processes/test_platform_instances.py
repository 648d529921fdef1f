"""Tests of real instances beside a stand-in of the platform."""

from collections.abc import Iterator
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import pytest

from basiljunction.demo import _ports
import platform_standin

pytestmark = pytest.mark.processes

_PATIENCE_S = 20.0
_GRACE_S = 4.0

_SETTINGS = """\
NodeName={name}
Zone=zone-a
Ip=127.0.0.1
InternalPorts={peer},{peer}
ListenAddrs.Front=127.0.0.1:{front}
ListenAddrs.Ready=127.0.0.1:{ready}
platform.Address={store}
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.RecordBytes=262144
platform.RequestBytes=2097152
Bounds.GraceS={grace}
Bounds.MaxHoldMs=10000
Bounds.status_s=120
Bounds.GangTimeoutMs=3000
Bounds.StopTimeoutMs=900
Bounds.HarmMs=4000
HeartbeatMs=500
"""


class _Instance:
    """One instance as a process of its own."""

    def __init__(
        self, folder: pathlib.Path, platform: platform_standin.Platform, n: int
    ) -> None:
        self.name = f"front-{n}"
        ports = _ports.reserve_free_ports(4)
        self.peer, self.front, self.ready, self.metrics = ports
        self.settings = folder / f"{self.name}.conf"
        self.write_settings(platform)
        self.log = (folder / f"{self.name}.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "basiljunction", "platform"],
            env=os.environ
            | {
                "BASILJUNCTION_CONFIG": str(self.settings),
                "BASILJUNCTION_METRICS_PORT": str(self.metrics),
            },
            stdout=self.log,
            stderr=self.log,
        )

    def write_settings(self, platform: platform_standin.Platform) -> None:
        """Writes the settings file, with the store of a platform."""
        self.settings.write_text(
            _SETTINGS.format(
                name=self.name,
                peer=self.peer,
                front=self.front,
                ready=self.ready,
                store=platform.address,
                grace=_GRACE_S,
            )
        )

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Makes a caller's call; status 0 where nobody answers."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front, timeout=5
        )
        try:
            text = None if body is None else json.dumps(body)
            connection.request(
                method, path, text, headers={"Host": "jobs.example"}
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except OSError:
            return 0, {}
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Returns whether readiness is reported."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.ready, timeout=2
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def read_metrics(self) -> str:
        """Returns the metrics as they are served."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.metrics, timeout=5
        )
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def leads(self) -> bool:
        """Returns whether its newest term is its own and not ended."""
        text = pathlib.Path(self.log.name).read_text(encoding="utf-8")
        return text.count("term.begun") > text.count("term.ended")

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    standin = platform_standin.Platform()
    standin.configure(1, "/jobs/")
    yield standin
    standin.close()


@pytest.fixture
def instances(
    tmp_path: pathlib.Path, platform: platform_standin.Platform
) -> Iterator[list[_Instance]]:
    started = [_Instance(tmp_path, platform, n) for n in range(3)]
    yield started
    for each in started:
        each.end()


def _until(check: Any) -> None:
    end_s = time.monotonic() + _PATIENCE_S
    while not check():
        assert time.monotonic() < end_s, "not within patience"
        time.sleep(0.1)


def _job(**changes: Any) -> dict[str, Any]:
    step = {"Count": 2, "Cpu": 500, "MemMb": 100, "EstDurationMs": 300}
    return {"Spec": "x", "Steps": [step, step | {"After": [0]}]} | changes


class TestInstances:
    """Callers are served while instances and the store come and go."""

    def test_a_job_survives_its_scheduler(
        self, instances: list[_Instance], platform: platform_standin.Platform
    ) -> None:
        _until(lambda: all(each.is_ready() for each in instances))
        _until(lambda: any(each.leads() for each in instances))
        leader = next(each for each in instances if each.leads())
        others = [each for each in instances if each is not leader]
        path = "/jobs/00000000000000a1"
        _until(lambda: others[0].call("POST", path, _job())[0] == 200)
        leader.process.kill()
        _until(
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
        self, instances: list[_Instance], platform: platform_standin.Platform
    ) -> None:
        _until(lambda: any(each.leads() for each in instances))
        leader = next(each for each in instances if each.leads())
        others = [each for each in instances if each is not leader]
        path = "/jobs/00000000000000a2"
        _until(lambda: leader.call("POST", path, _job(Spec="lasts"))[0] == 200)
        leader.process.send_signal(signal.SIGTERM)
        _until(lambda: any(each.leads() for each in others))
        assert leader.call("GET", path)[0] == 200
        assert leader.process.wait(timeout=_GRACE_S) == 0
        assert others[0].call("DELETE", path)[0] == 200
        _until(lambda: not any(e.running for e in platform.executors))

    def test_calls_are_answered_clearly(
        self, instances: list[_Instance], platform: platform_standin.Platform
    ) -> None:
        _until(lambda: any(each.leads() for each in instances))
        entry = instances[0]
        _until(lambda: entry.call("GET", "/jobs/")[0] == 200)
        assert entry.call("GET", "/jobs/00000000000000ff")[0] == 410
        assert entry.call("DELETE", "/jobs/00000000000000ff")[0] == 410
        assert entry.call("GET", "/other/")[0] == 404
        assert entry.call("GET", "/jobs/not-an-id")[0] == 404
        assert entry.call("PUT", "/jobs/00000000000000a1", _job())[0] == 405
        status, body = entry.call("POST", "/jobs/00000000000000a1", {})
        assert (status, "Steps" in body["Reason"]) == (400, True)
        too_large = _job(Steps=[{"Count": 1, "Cpu": 999_999}])
        assert entry.call("POST", "/jobs/00000000000000a1", too_large)[0] == (
            422
        )
        platform.configure(2, "/other/")
        _until(lambda: entry.call("GET", "/other/")[0] == 200)
        assert entry.call("GET", "/jobs/")[0] == 404

    def test_sighup_moves_instances_to_another_store(
        self, instances: list[_Instance], platform: platform_standin.Platform
    ) -> None:
        _until(lambda: any(each.leads() for each in instances))
        _until(lambda: instances[0].call("GET", "/jobs/")[0] == 200)
        moved = platform_standin.Platform()
        try:
            moved.configure(2, "/moved/")
            for each in instances:
                each.write_settings(moved)
                each.process.send_signal(signal.SIGHUP)
            path = "/moved/00000000000000a6"
            _until(lambda: instances[1].call("POST", path, _job())[0] == 200)
            _until(lambda: len(moved.starts) == 4)
            assert platform.starts == []
            assert all(each.process.poll() is None for each in instances)
        finally:
            moved.close()

    def test_a_store_outage_refuses_new_jobs_and_keeps_what_runs(
        self, instances: list[_Instance], platform: platform_standin.Platform
    ) -> None:
        _until(lambda: any(each.leads() for each in instances))
        entry = instances[0]
        path = "/jobs/00000000000000a3"
        _until(lambda: entry.call("POST", path, _job(Spec="lasts"))[0] == 200)
        _until(lambda: len(platform.starts) == 2)
        platform.is_down = True
        time.sleep(3)
        status, _ = entry.call("POST", "/jobs/00000000000000a4", _job())
        assert status in (503, 504)
        assert entry.call("GET", path)[1] == {"State": "running"}
        platform.is_down = False
        _until(
            lambda: (
                entry.call("POST", "/jobs/00000000000000a5", _job())[0] == 200
            )
        )
        assert len([t for t in platform.starts if "a3" in t]) == 2

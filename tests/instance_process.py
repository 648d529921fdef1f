"""Instances of the job scheduler as real processes on loopback."""

from collections.abc import Sequence
import http.client
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from basiljunction.demo import _ports
import platform_standin

GRACE_S = 4.0
"""Time from SIGTERM to SIGKILL in the settings, in seconds."""

_SETTINGS_TEMPLATE = """\
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


class InstanceProcess:
    """An instance that runs as a separate process.

    Args:
        folder: Folder of its settings file and its log.
        platform: The platform that it uses.
        number: Number of the instance, which names it.
        grace_s: Time from SIGTERM to SIGKILL in its settings, in seconds.
        program: Arguments of the interpreter that runs it.
        more_settings: Further lines of its settings file.

    Attributes:
        name: Name of the instance.
        front_port: Port on which it serves clients.
        log_path: Path of its log, to which restarts append.
        process: Its newest process.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        platform: platform_standin.Platform,
        number: int,
        *,
        grace_s: float = GRACE_S,
        program: Sequence[str] = ("-m", "basiljunction", "platform"),
        more_settings: str = "",
    ) -> None:
        self.name = f"front-{number}"
        ports = _ports.reserve_free_ports(4)
        (
            self.peer_port,
            self.front_port,
            self.readiness_port,
            self.metrics_port,
        ) = ports
        self._grace_s = grace_s
        self._program = program
        self._more_settings = more_settings
        self.settings_path = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        self.write_settings(platform)
        self.start()

    def start(self) -> None:
        """Starts a process of the instance; an earlier one has ended."""
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(  # noqa: S603 - this project's own code
                [sys.executable, *self._program],
                env=os.environ
                | {
                    "BASILJUNCTION_CONFIG": str(self.settings_path),
                    "BASILJUNCTION_METRICS_PORT": str(self.metrics_port),
                },
                stdout=log_file,
                stderr=log_file,
            )

    def write_settings(self, platform: platform_standin.Platform) -> None:
        """Writes the settings file, which names the store of `platform`."""
        self.settings_path.write_text(
            _SETTINGS_TEMPLATE.format(
                name=self.name,
                peer=self.peer_port,
                front=self.front_port,
                ready=self.readiness_port,
                store=platform.address,
                grace=self._grace_s,
            )
            + self._more_settings
        )

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Makes a caller's request; returns status 0 if there is no answer."""
        try:
            return self.request(method, path, body)
        except OSError:
            return 0, {}

    def request(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Makes a caller's request.

        Raises:
            ConnectionRefusedError: Nobody listens.
            OSError: There is no answer for another reason.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front_port, timeout=5
        )
        try:
            text = None if body is None else json.dumps(body)
            connection.request(
                method, path, text, headers={"Host": "jobs.example"}
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Returns whether the readiness endpoint answers 200."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.readiness_port, timeout=2
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def read_metrics(self) -> str:
        """Returns the text that the metrics endpoint serves."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.metrics_port, timeout=5
        )
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def is_leader(self) -> bool:
        """Returns whether it logged the begin of a term but not the end."""
        text = self.log_path.read_text(encoding="utf-8")
        return text.count("term.begun") > text.count("term.ended")

    def kill(self) -> None:
        """Kills the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

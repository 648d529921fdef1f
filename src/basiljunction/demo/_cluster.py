"""Runs one deployment as plain processes on loopback, for demo and tests.

This module writes the settings files and the processes' log files; the
serving processes write no files.
"""

import dataclasses
import json
import pathlib
import signal
import time
from typing import Any

from basiljunction.demo import _deployments
from basiljunction.demo import _entry_instance
from basiljunction.demo import _evidence
from basiljunction.demo import _http
from basiljunction.demo import _journals
from basiljunction.demo import _machines
from basiljunction.demo import _platform_rows
from basiljunction.demo import _ports
from basiljunction.demo import _processes

INSTANCE_LIST_LAG_S = 1.0
"""Delay until a change of the platform's instance list is visible, in
seconds."""

MAX_LOG_APPENDS_PER_S = 300
"""Append rate limit of the log stand-in, in appends per second."""

READY_TIMEOUT_S = 60.0
"""Longest time until all instances are ready, in seconds."""

READY_POLL_S = 0.1
"""Interval between readiness checks, in seconds."""

PORT_IN_USE_MESSAGE = "cannot listen"
"""Text that an instance logs if it could not open its port."""


class InstancesNotReadyError(RuntimeError):
    """Raised when entry instances are not ready in time."""

    def __init__(self, instances: list[str]) -> None:
        """Creates the error.

        Args:
            instances: Names of the instances that are not ready.
        """
        super().__init__(
            f"entry instances not ready in time: {', '.join(instances)}"
        )


class Cluster:
    """Runs the stand-in services and entry instances of one deployment.

    Attributes:
        deployment: Sizes and workload of the deployment.
        instance_by_name: Entry instances by name.
        instance_ends: Entry instances that were stopped or killed.
        pauses: Periods in which an entry instance was paused.
        log_outages: Start and end of log faults, in wall-clock seconds.

    Args:
        deployment: Sizes and workload of the deployment.
        folder: Folder for settings and log files.
        seed: Seed of the stand-in services.
        settings: Overrides of the entry instances' settings.
        log_options: Command line options of the log stand-in, in place of
            the default.
    """

    def __init__(
        self,
        deployment: _deployments.Deployment,
        folder: pathlib.Path,
        *,
        seed: int,
        settings: dict[str, Any] | None = None,
        log_options: tuple[str, ...] = (),
    ) -> None:
        self.deployment = deployment
        self.instance_by_name: dict[str, _entry_instance.EntryInstance] = {}
        self.instance_ends: list[_evidence.InstanceEnd] = []
        self.pauses: list[_evidence.InstancePause] = []
        self.log_outages: list[tuple[float, float]] = []
        self._folder = folder
        self._seed = seed
        self._settings = settings or {}
        self._log_options = log_options
        self._processes = _processes.ProcessManager(folder)
        self._machines: dict[str, _evidence.Machine] = {}
        self._zone_address: dict[str, str] = {}
        self._log_url = ""
        self._platform_url = ""

    def start_all(self) -> None:
        """Starts the stand-in services, then the entry instances.

        Raises:
            ProcessFailedError: A stand-in did not start.
        """
        self._start_stand_ins()
        self._publish_instance_list()
        for number in range(self.deployment.entry_instances):
            zone = self.deployment.zone_of(number)
            http_port, peer_port = _ports.reserve_free_ports(2)
            instance = _entry_instance.EntryInstance(
                f"{zone}-{number}", zone, http_port, peer_port
            )
            self.instance_by_name[instance.name] = instance
        for instance in self.instance_by_name.values():
            self.start_instance(instance)
        self._publish_instance_list()

    def start_instance(self, instance: _entry_instance.EntryInstance) -> None:
        """Writes an entry instance's settings and starts its process."""
        instance.is_leaving = False
        path = self._folder / f"{instance.name}.json"
        path.write_text(
            json.dumps(self._instance_settings(instance), indent=2),
            encoding="utf-8",
        )
        self._processes.start(instance.name, "serve", "--settings", str(path))
        instance.has_ended = False

    def wait_until_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Waits until every running instance is ready.

        An instance whose port was taken before it could listen is restarted on
        other ports.

        Raises:
            InstancesNotReadyError: An instance was not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        waiting = [
            each
            for each in self.instance_by_name.values()
            if not each.has_ended
        ]
        while waiting:
            if time.monotonic() > deadline_s:
                raise InstancesNotReadyError([each.name for each in waiting])
            waiting = [each for each in waiting if not self.is_ready(each)]
            for instance in waiting:
                self._restart_on_other_ports(instance)
            time.sleep(READY_POLL_S)

    def _restart_on_other_ports(
        self, instance: _entry_instance.EntryInstance
    ) -> None:
        """Restarts an instance that exited because its port was in use."""
        if self._processes.is_running(instance.name):
            return
        if PORT_IN_USE_MESSAGE not in self._processes.read_log(instance.name):
            return
        http_port, peer_port = _ports.reserve_free_ports(2)
        instance.http_port = http_port
        instance.peer_port = peer_port
        self.start_instance(instance)
        self._publish_instance_list()

    def is_ready(self, instance: _entry_instance.EntryInstance) -> bool:
        """Returns whether the readiness check of an instance succeeds."""
        answer = _http.call(f"{instance.url}/readyz", timeout_s=1.0)
        return answer.is_success

    def restart_instance(self, instance: _entry_instance.EntryInstance) -> None:
        """Starts an ended instance again and waits until it is ready.

        Raises:
            InstancesNotReadyError: An instance was not ready in time.
        """
        self.start_instance(instance)
        self._publish_instance_list()
        self.wait_until_ready()

    def is_running(self, instance: _entry_instance.EntryInstance) -> bool:
        """Returns whether the process of an instance is running."""
        return self._processes.is_running(instance.name)

    def instance_pid(self, instance: _entry_instance.EntryInstance) -> int:
        """Returns the process ID of an instance."""
        return self._processes.pid(instance.name)

    def machine_url(self, name: str) -> str:
        """Returns the base URL of a worker or an executor."""
        zone = name.split("-", maxsplit=1)[0]
        return f"{self._zone_address[zone]}/{name}"

    def kill_instance(self, instance: _entry_instance.EntryInstance) -> None:
        """Kills an instance with SIGKILL and records its end."""
        wall_s = time.time()
        self._processes.send_signal(instance.name, signal.SIGKILL)
        exit_code = self._processes.wait_for_exit(instance.name, 5.0)
        self._record_instance_end(
            instance, graceful=False, wall_s=wall_s, code=exit_code
        )

    def begin_graceful_shutdown(
        self, instance: _entry_instance.EntryInstance
    ) -> float:
        """Lists an instance as leaving and sends it SIGTERM.

        Returns:
            When the graceful shutdown began, in wall-clock seconds.
        """
        wall_s = time.time()
        instance.is_leaving = True
        self._publish_instance_list()
        self._processes.send_signal(instance.name, signal.SIGTERM)
        return wall_s

    def wait_for_exit(
        self,
        instance: _entry_instance.EntryInstance,
        shutdown_began_wall_s: float,
        timeout_s: float,
    ) -> None:
        """Waits for a leaving instance to exit and records its exit code.

        Args:
            instance: The instance that was sent SIGTERM.
            shutdown_began_wall_s: When its shutdown began, in wall-clock
                seconds.
            timeout_s: Longest time to wait for the exit.
        """
        code = self._processes.wait_for_exit(instance.name, timeout_s)
        self._record_instance_end(
            instance, graceful=True, wall_s=shutdown_began_wall_s, code=code
        )

    def pause_instance(
        self, instance: _entry_instance.EntryInstance, for_s: float
    ) -> None:
        """Suspends the process of an instance for some seconds."""
        begin_s = time.time()
        self._processes.send_signal(instance.name, signal.SIGSTOP)
        time.sleep(for_s)
        self._processes.send_signal(instance.name, signal.SIGCONT)
        self.pauses.append(
            _evidence.InstancePause(instance.name, begin_s, time.time())
        )

    def inject_log_fault(
        self, kind: str, for_s: float, value: float = 0.0
    ) -> None:
        """Makes the log stand-in fail for some seconds.

        Args:
            kind: Kind of fault; ``down`` and ``slow`` are recorded as outages.
            for_s: How long the fault lasts.
            value: Strength of the fault, if its kind has one.
        """
        if kind in {"down", "slow"}:
            begin_s = time.time()
            self.log_outages.append((begin_s, begin_s + for_s))
        _inject_fault(self._log_url, kind, for_s, value)

    def inject_instance_list_fault(self, kind: str, for_s: float) -> None:
        """Makes the platform's instance list fail for some seconds."""
        _inject_fault(self._platform_url, kind, for_s, 0.0)

    def inject_machine_fault(
        self, name: str, kind: str, for_s: float, value: float = 0.0
    ) -> None:
        """Makes a worker or an executor fail for some seconds.

        Args:
            name: Name of the worker or executor.
            kind: Kind of fault.
            for_s: How long the fault lasts.
            value: Strength of the fault, if its kind has one.
        """
        _inject_fault(self.machine_url(name), kind, for_s, value)

    def mark_machine_leaving(self, worker: str) -> None:
        """Lists a worker and its executor as leaving on the platform."""
        shown_s = time.time() + INSTANCE_LIST_LAG_S
        self._machines[worker] = dataclasses.replace(
            self._machines[worker], leaving_wall_s=shown_s
        )
        self._publish_instance_list()

    @property
    def worker_names(self) -> list[str]:
        """Names of all workers."""
        return list(self._machines)

    @property
    def machines(self) -> tuple[_evidence.Machine, ...]:
        """All workers, each with the executor on it."""
        return tuple(self._machines.values())

    def any_instance(self) -> _entry_instance.EntryInstance:
        """Returns an entry instance that is neither ended nor leaving.

        Prefers a ready one.
        """
        running = [
            each
            for each in self.instance_by_name.values()
            if not each.has_ended and not each.is_leaving
        ]
        return next((e for e in running if self.is_ready(e)), running[0])

    def call(
        self,
        instance: _entry_instance.EntryInstance,
        path: str,
        *,
        token: str,
        method: str = "GET",
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 10.0,
    ) -> _http.HttpAnswer:
        """Sends a JSON request with a bearer token to an entry instance."""
        return _http.call_json(
            instance.url + path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {token}", **(headers or {})},
            timeout_s=timeout_s,
        )

    def read_journals(self) -> _journals.Journals:
        """Returns the journals of all workers and executors."""
        raw_by_name: dict[str, list[dict[str, Any]]] = {}
        for address in self._zone_address.values():
            answer = _http.call(f"{address}/journal", timeout_s=30.0)
            raw_by_name.update(answer.json()["events_by_name"])
        return _journals.parse_journals(raw_by_name)

    def count_log_appends(self) -> int:
        """Returns the number of appends that the log stand-in accepted."""
        answer = _http.call(f"{self._log_url}/journal", timeout_s=30.0)
        return sum(
            each["event"] == "append" for each in answer.json()["events"]
        )

    def kill_all(self) -> None:
        """Kills every process of the deployment."""
        self._processes.kill_all()

    def _start_stand_ins(self) -> None:
        """Starts the log, the platform and one worker process per zone."""
        options = self._log_options or (
            "--appends-per-s",
            str(MAX_LOG_APPENDS_PER_S),
        )
        self._start_stand_in("log", "log", *options)
        self._start_stand_in(
            "platform", "platform", "--lag-s", str(INSTANCE_LIST_LAG_S)
        )
        names_by_zone: dict[str, list[str]] = {
            zone: [] for zone in self.deployment.zones
        }
        for number in range(self.deployment.workers):
            zone = self.deployment.zone_of(number)
            names_by_zone[zone].append(f"{zone}-worker-{number}")
        for zone, names in names_by_zone.items():
            self._start_zone(zone, names)
        self._log_url = self._wait_for_stand_in_address("log")
        self._platform_url = self._wait_for_stand_in_address("platform")
        for zone, names in names_by_zone.items():
            self._zone_address[zone] = self._wait_for_stand_in_address(
                f"zone-{zone}"
            )
            for name in names:
                self._machines[name] = _machines.make_machine(
                    self.deployment, name, zone
                )

    def _start_zone(self, zone: str, names: list[str]) -> None:
        """Starts the process that simulates all workers of a zone."""
        deployment = self.deployment
        services = [
            f"--service-ms={flow.class_name}={flow.service_ms}"
            for flow in deployment.flows
        ]
        self._start_stand_in(
            f"zone-{zone}",
            "worker",
            "--names",
            ",".join(names),
            "--with-executors",
            "--millicores",
            str(deployment.millicores),
            "--memory-mib",
            str(deployment.memory_mib),
            "--delay-ms",
            str(deployment.zone_delay_s * 1000),
            *services,
        )

    def _start_stand_in(self, name: str, kind: str, *options: str) -> None:
        """Starts one stand-in service, with a seed if it takes one."""
        seed = (
            () if kind in {"log", "platform"} else ("--seed", str(self._seed))
        )
        self._processes.start(
            name, "standin", kind, *options, *seed, announces=True
        )

    def _wait_for_stand_in_address(self, name: str) -> str:
        """Returns the address that a stand-in prints once it listens."""
        return str(self._processes.wait_until_listening(name)["address"])

    def _instance_settings(
        self, instance: _entry_instance.EntryInstance
    ) -> dict[str, Any]:
        """Returns the settings document of an entry instance."""
        settings = _entry_instance.make_instance_settings(
            instance,
            peers=self.instance_by_name.values(),
            region=self.deployment.region,
            group=self.deployment.group,
        )
        return {
            **settings,
            "log_url": self._log_url,
            "platform_url": self._platform_url,
            **self._settings,
        }

    def _publish_instance_list(self) -> None:
        """Sends the platform stand-in its list of instances and machines."""
        rows = [
            _platform_rows.make_entry_instance_row(
                each.name, each.zone, each.url, leaving=each.is_leaving
            )
            for each in self.instance_by_name.values()
        ]
        for machine in self.machines:
            zone_address = self._zone_address[machine.zone]
            rows.append(_platform_rows.make_worker_row(machine, zone_address))
            rows.append(_platform_rows.make_executor_row(machine, zone_address))
        url = f"{self._platform_url}/set"
        _http.call_json(url, method="POST", body={"instances": rows})

    def _record_instance_end(
        self,
        instance: _entry_instance.EntryInstance,
        *,
        graceful: bool,
        wall_s: float,
        code: int | None,
    ) -> None:
        """Marks an instance as ended and records how it ended."""
        instance.has_ended = True
        self.instance_ends.append(
            _evidence.InstanceEnd(
                instance=instance.name,
                graceful=graceful,
                wall_s=wall_s,
                exited_wall_s=time.time(),
                exit_code=code,
            )
        )


def _inject_fault(address: str, kind: str, for_s: float, value: float) -> None:
    """Requests that the stand-in at an address simulates a fault."""
    body = {"kind": kind, "for_s": for_s, "value": value}
    _http.call_json(f"{address}/fault", method="POST", body=body)

"""Clients of a soak, which keep using connections until they are closed."""

import dataclasses
import enum
import http.client
import json
import random
import select
import socket
import threading
import time
from typing import Any

from basiljunction.platform import _clients
import platform_standin
from soak import checks as soak_checks
from soak import instances as soak_instances

DEADLINE_MS = 3000
"""Time that a client says it waits for an answer, in milliseconds."""

TIMEOUT_S = 5.0
"""Time after which a client gives up, in seconds."""

QUERY_INTERVAL_S = 0.1
"""Time between two rounds of queries for all jobs, in seconds."""

MAX_ATTEMPTS = 6
"""Most attempts to submit a job."""

RESET_WAIT_MS = 30
"""Time within which a reset follows the end of a stream on loopback, in
milliseconds."""

TASK_CPU = 500
"""Processor of each task, in thousandths of a core."""

LASTING_TASKS = 2
"""Number of tasks of a lasting job."""

LONG_WORK_S = 8.0
"""Run time of each task of a long job, in seconds; longer than the time after
which the run on an executor that is cut off is taken for expired."""

_LONG_MARK = "1000"
"""Digits 4 to 7 of the id of a long job, by which all clients know it; those
of others are zeros."""

_STEP = {"Cpu": TASK_CPU, "MemMb": 100, "EstDurationMs": 300}


class Ending(enum.Enum):
    """How a request ended."""

    ANSWERED = "answered"
    UNREAD = "not read by the process"
    CUT = "connection closed without a complete answer"
    SILENT = "no answer in time"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How a request ended; status 0 and no body without an answer."""

    ending: Ending
    status: int = 0
    body: dict[str, Any] = dataclasses.field(default_factory=dict)


class Connection:
    """A client's connection to one process of an instance."""

    def __init__(self, instance: soak_instances.SoakInstance) -> None:
        self.life = instance.life
        self._http = http.client.HTTPConnection(
            "127.0.0.1", instance.front_port, timeout=TIMEOUT_S
        )
        self._http.connect()
        # Outlives the connection, which http.client closes with the stream.
        self._watch = self._http.sock.dup()
        self._http.auto_open = 0

    @property
    def is_closed_by_peer(self) -> bool:
        """Whether the process has closed the idle connection, or said so."""
        if self._http.sock is None:
            return True
        poll = select.poll()
        poll.register(self._watch, select.POLLIN)
        return bool(poll.poll(0))

    def request(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> Answer:
        """Makes a request; the connection is of use after an answer only."""
        text = None if body is None else json.dumps(body)
        try:
            self._http.request(
                method,
                path,
                text,
                headers={
                    "Host": "jobs.example",
                    _clients.DEADLINE_HEADER: str(DEADLINE_MS),
                },
            )
            response = self._http.getresponse()
            content = response.read()
            return Answer(
                Ending.ANSWERED, response.status, json.loads(content or b"{}")
            )
        except TimeoutError:
            return Answer(Ending.SILENT)
        except (http.client.RemoteDisconnected, http.client.IncompleteRead):
            return Answer(Ending.UNREAD if self._was_reset() else Ending.CUT)
        except OSError:
            return Answer(Ending.UNREAD)

    def _was_reset(self) -> bool:
        """Returns whether the peer closed before it had read all.

        The kernel then answers the bytes with a reset; the bytes that the
        process has read, it doesn't.
        """
        poll = select.poll()
        poll.register(self._watch, select.POLLERR)
        return bool(poll.poll(RESET_WAIT_MS)) or bool(
            self._watch.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )

    def close(self) -> None:
        """Closes the connection."""
        self._http.close()
        self._watch.close()


class Client:
    """A client that submits jobs and asks for their state.

    Args:
        number: Number of the client.
        seed: Seed of what it asks for.
        instances: Instances that it may call.
        checks: Receives what it sees.
        long_share: Share of the jobs whose tasks run long.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        instances: list[soak_instances.SoakInstance],
        checks: soak_checks.Checks,
        long_share: float = 0.0,
    ) -> None:
        self._long_share = long_share
        self._rng = random.Random(f"client/{seed}/{number}")
        self._number = number
        self._instances = instances
        self._checks = checks
        self._job_count = 0
        self._connection_by_name: dict[str, Connection] = {}

    def run(self, interval_s: float, stop_event: threading.Event) -> None:
        """Makes requests until it is told to stop.

        Args:
            interval_s: Mean time between two requests, in seconds.
            stop_event: Tells it to stop.
        """
        while not stop_event.wait(interval_s * self._rng.uniform(0.5, 1.5)):
            accepted = self._checks.list_accepted_jobs(lasts=False)
            if accepted and self._rng.random() < 0.5:
                self.query(self._rng.choice(accepted))
            elif accepted and self._rng.random() < 0.1:
                self._submit_once(self._rng.choice(accepted), lasts=False)
            else:
                self.submit(lasts=False)

    def run_queries(self, stop_event: threading.Event) -> None:
        """Asks for all jobs that are not settled until it is told to stop."""
        while not stop_event.wait(QUERY_INTERVAL_S):
            for job in self._checks.list_unsettled_jobs():
                if stop_event.is_set():
                    return
                self.query(job)

    def submit(self, *, lasts: bool) -> None:
        """Submits a new job, repeated until it is accepted or given up."""
        self._job_count += 1
        is_long = not lasts and self._rng.random() < self._long_share
        mark = _LONG_MARK if is_long else "0000"
        job = f"{self._number:04x}{mark}{self._job_count:08x}"
        self._checks.add_job(
            job,
            LASTING_TASKS if lasts else 2 if is_long else 4,
            lasts=lasts,
            work_s=LONG_WORK_S if is_long else 0.0,
        )
        for _ in range(MAX_ATTEMPTS):
            if 200 <= self._submit_once(job, lasts=lasts) < 300:
                return
            time.sleep(0.1)

    def _submit_once(self, job: str, *, lasts: bool) -> int:
        """Submits a job and returns the status."""
        body = _make_body(lasts=lasts, is_long=job[4:8] == _LONG_MARK)
        answer = self._call("POST", f"/jobs/{job}", body)
        if answer is None:
            return 0
        self._checks.note_attempt(job, answer.status, time.monotonic())
        return answer.status

    def query(self, job: str) -> None:
        """Asks for the state of a job."""
        answer = self._call("GET", f"/jobs/{job}", None)
        if answer is not None and answer.ending is Ending.ANSWERED:
            self._checks.note_state(
                job,
                answer.status,
                str(answer.body.get("State", "")),
                time.monotonic(),
            )

    def _call(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> Answer | None:
        """Calls an instance; returns None if no connection could be made."""
        instance = self._rng.choice(self._instances)
        connection = self._connection_by_name.pop(instance.name, None)
        if connection is not None and connection.is_closed_by_peer:
            connection.close()
            connection = None
        if connection is None:
            if not instance.is_in_rotation:
                return None
            try:
                connection = Connection(instance)
            except OSError:
                return None
        sent_s = time.monotonic()
        answer = connection.request(method, path, body)
        if answer.ending is Ending.ANSWERED:
            self._connection_by_name[instance.name] = connection
            return answer
        self._judge(
            answer, connection.life, f"{method} {path} {instance.name}", sent_s
        )
        connection.close()
        return answer

    def _judge(
        self,
        answer: Answer,
        life: soak_instances.Life,
        what: str,
        sent_s: float,
    ) -> None:
        """Reports a request that a living process read and did not answer."""
        if life.is_killed or life.was_paused_in_grace:
            return
        was_paused = life.is_paused or life.paused_until_s >= sent_s
        if answer.ending is Ending.CUT or (
            answer.ending is Ending.SILENT and not was_paused
        ):
            self._checks.note_cut(
                f"{what} sent at {sent_s:.3f}: {answer.ending.value};"
                f" SIGTERM at {life.terminated_s}",
                time.monotonic(),
            )

    def close(self) -> None:
        """Closes all connections."""
        for connection in self._connection_by_name.values():
            connection.close()


def _make_body(*, lasts: bool, is_long: bool) -> dict[str, Any]:
    """Returns a job that lasts, a long one, or one of two short steps."""
    if lasts:
        step = _STEP | {"Count": LASTING_TASKS, "LongRunning": True}
        return {"Spec": "lasts", "Steps": [step]}
    if is_long:
        estimate_ms = int(LONG_WORK_S * 1000)
        step = _STEP | {"Count": 2, "EstDurationMs": estimate_ms}
        spec = f"{platform_standin.LONG_RUN_PREFIX}{LONG_WORK_S}"
        return {"Spec": spec, "Steps": [step]}
    step = _STEP | {"Count": 2}
    return {"Spec": "x", "Steps": [step, step | {"After": [0]}]}

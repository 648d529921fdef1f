"""Stand-in for an executor that runs latency-critical requests."""

import hashlib
import random
import threading
import time
from typing import Any

from werkzeug import wrappers

from basiljunction.standin import _interference
from basiljunction.standin import _server

SLOT_COUNT = 8
"""Requests that one executor runs at the same time."""

MAX_CONNECTIONS = 64
"""Connections that one executor accepts."""

DEFAULT_SERVICE_TIME_S = 0.02
"""Median service time of classes without one of their own, in seconds."""

SERVICE_TIME_SIGMA = 0.4
"""Sigma of the log-normal distribution of service times."""

DEFAULT_ANSWER_DELAY_S = 1.0
"""Delay of answers under the fault ``late`` without a value, in seconds."""

HANG_FAULT_POLL_S = 0.05
"""Interval for checking whether the fault ``hang`` is over, in seconds."""

ANSWER_PADDING_BYTES = 2048
"""Size of the padding in each successful answer, in bytes."""


class ExecutorStandIn(_server.StandIn):
    """Simulates an executor: a request occupies a slot for its service time.

    Args:
        name: First path segment of its URLs.
        interference: Slowdown by the batch tasks on the same worker.
        seed: Random seed of the service times.
        service_s: Median service time of all other classes, in seconds.
        service_s_by_class: Median service time by class, in seconds.
        delay_s: One-way network delay to simulate, in seconds.
    """

    def __init__(
        self,
        name: str,
        *,
        interference: _interference.SimulatedInterference,
        seed: int,
        service_s: float = DEFAULT_SERVICE_TIME_S,
        service_s_by_class: dict[str, float] | None = None,
        delay_s: float = 0.0,
    ) -> None:
        super().__init__(name)
        self._interference = interference
        self._seed = seed
        self._service_s = service_s
        self._service_s_by_class = service_s_by_class or {}
        self._delay_s = delay_s
        self._lock = threading.Lock()
        self._slots_in_use = 0
        self._connections: set[str] = set()

    def note_connection(self, connection: str) -> None:
        """Adds a connection that sent a request to this executor."""
        with self._lock:
            self._connections.add(connection)

    def forget_connection(self, connection: str) -> None:
        """Removes a closed connection."""
        with self._lock:
            self._connections.discard(connection)

    def handle(self, request: wrappers.Request, path: str) -> wrappers.Response:
        """Simulates a ``POST /run`` request.

        A refused request gets status 503 and the header ``X-Not-Run``.
        """
        if path != "/run" or request.method != "POST":
            return _server.json_response({"reason": "no such call"}, status=404)
        body = request.get_data()
        time.sleep(self._delay_s)
        request_info: dict[str, Any] = {
            "request_id": request.headers.get("X-Request-Id", ""),
            "customer": request.headers.get("X-Customer", ""),
            "class_name": request.headers.get("X-Class", ""),
            "idempotency_key": request.headers.get("Idempotency-Key", ""),
            "digest": hashlib.sha256(body).hexdigest(),
        }
        reason = self._admit_request(request_info)
        if reason:
            return _server.json_response(
                {"reason": reason}, status=503, X_Not_Run="1"
            )
        try:
            self._simulate_service_time(request_info)
        finally:
            self._release_slot(request_info)
        return self._make_answer(request_info)

    def _admit_request(self, request_info: dict[str, Any]) -> str:
        """Takes a slot for a request, or returns why it is refused."""
        with self._lock:
            reason = self._refusal_reason()
            self._slots_in_use += 0 if reason else 1
            self.journal.add(
                "refused" if reason else "begin",
                reason=reason,
                slots_in_use=self._slots_in_use,
                connections_in_use=len(self._connections),
                **request_info,
            )
        return reason

    def _refusal_reason(self) -> str:
        """Returns why no request can start now, or an empty text."""
        if self.faults.is_on("refuse"):
            return "told"
        if self._slots_in_use >= SLOT_COUNT:
            return "slots"
        if len(self._connections) > MAX_CONNECTIONS:
            return "connections"
        return ""

    def _simulate_service_time(self, request_info: dict[str, Any]) -> None:
        """Sleeps for a request's service time, drawn from its body's digest."""
        class_name = request_info["class_name"]
        median_s = self._service_s_by_class.get(class_name, self._service_s)
        rng = random.Random(f"{self._seed}:{request_info['digest']}")
        factor = rng.lognormvariate(0.0, SERVICE_TIME_SIGMA)
        factor *= self.faults.active_value("slow") or 1.0
        time.sleep(
            median_s * factor * self._interference.slowdown_factor(class_name)
        )
        while self.faults.is_on("hang"):
            time.sleep(HANG_FAULT_POLL_S)

    def _release_slot(self, request_info: dict[str, Any]) -> None:
        """Frees the slot of a request and records the request's end."""
        with self._lock:
            self._slots_in_use -= 1
            self.journal.add(
                "end",
                reason="",
                slots_in_use=self._slots_in_use,
                connections_in_use=len(self._connections),
                **request_info,
            )

    def _make_answer(self, request_info: dict[str, Any]) -> wrappers.Response:
        """Returns the answer to a request that ran, with active faults."""
        time.sleep(self._delay_s)
        if self.faults.is_on("late"):
            time.sleep(
                self.faults.active_value("late") or DEFAULT_ANSWER_DELAY_S
            )
        request_id = request_info["request_id"]
        if self.faults.is_on("fail"):
            return _server.json_response(
                {**request_info, "reason": "told"},
                status=500,
                X_Request_Id=request_id,
            )
        answer = _server.json_response(
            {**request_info, "filler": "x" * ANSWER_PADDING_BYTES},
            X_Request_Id=request_id,
        )
        if self.faults.is_on("cut"):
            return _server.truncate_response(answer)
        return answer

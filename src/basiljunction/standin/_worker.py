"""Stand-in for a worker that runs batch tasks under leases."""

import math
import random
import threading
import time
from typing import Any

from werkzeug import wrappers

from basiljunction.standin import _attempt
from basiljunction.standin import _interference
from basiljunction.standin import _server

ADVANCE_INTERVAL_S = 0.05
"""Interval between calls of ``WorkerStandIn.advance_time``, in seconds."""

HANG_FAULT_POLL_S = 0.05
"""Interval for checking whether the fault ``hang`` is over, in seconds."""


class WorkerStandIn(_server.StandIn):
    """Simulates a worker: attempts of tasks progress with the clock.

    Args:
        name: First path segment of its URLs.
        interference: Slowdown model, shared with the executor on this worker.
        seed: Random seed of the true resource use and run times of tasks.
        millicores: CPU capacity, in thousandths of a core.
        memory_mib: Memory capacity, in MiB.
        accelerators: Number of accelerators.
        usage_lag_s: Age of the usage that ``GET tasks`` returns, in seconds.
        run_time_spread: Largest factor between declared and true run time.
        use_range: Smallest and largest fraction of the declared CPU and memory
            that a task uses.
    """

    def __init__(
        self,
        name: str,
        *,
        interference: _interference.SimulatedInterference,
        seed: int,
        millicores: int = 32_000,
        memory_mib: int = 128_000,
        accelerators: int = 0,
        usage_lag_s: float = 1.0,
        run_time_spread: float = 2.0,
        use_range: tuple[float, float] = (0.5, 1.0),
    ) -> None:
        super().__init__(name)
        self._interference = interference
        self._seed = seed
        self._capacity = (millicores, memory_mib, accelerators)
        self._usage_lag_s = usage_lag_s
        self._run_time_spread = run_time_spread
        self._use_range = use_range
        self._lock = threading.Lock()
        self._attempt_by_key: dict[tuple[str, int], _attempt.Attempt] = {}
        self._usage_snapshots: list[tuple[float, list[dict[str, Any]]]] = []

    def handle(self, request: wrappers.Request, path: str) -> wrappers.Response:
        """Answers a call of the worker interface, subject to active faults."""
        while self.faults.is_on("hang"):
            time.sleep(HANG_FAULT_POLL_S)
        if self.faults.is_on("refuse"):
            return _server.json_response({"reason": "told"}, status=503)
        if path == "/tasks" and request.method == "GET":
            return _server.json_response(self._delayed_usage())
        body = request.get_json(force=True)
        with self._lock:
            response = self._dispatch_call(path, body, time.time())
        if self.faults.is_on("lose_answers"):
            return _server.drop_connection()
        return response

    def advance_time(self) -> None:
        """Advances all attempts to now and records a usage snapshot.

        Must be called every ``ADVANCE_INTERVAL_S`` seconds.
        """
        with self._lock:
            now_s = time.time()
            self._advance_attempts(now_s)
            tasks = [
                each.to_task_json() for each in self._attempt_by_key.values()
            ]
            self._usage_snapshots.append((now_s, tasks))
            while self._usage_snapshots[1:] and self._usage_snapshots[1][0] <= (
                now_s - self._usage_lag_s
            ):
                del self._usage_snapshots[0]

    def _dispatch_call(
        self, path: str, body: dict[str, Any], now_s: float
    ) -> wrappers.Response:
        """Advances the attempts to now and executes the call for a path."""
        self._advance_attempts(now_s)
        if path == "/tasks/start":
            return self._handle_start(body, now_s)
        if path == "/tasks/renew":
            return self._handle_renew(body, now_s)
        task_id, number = str(body["task_id"]), int(body["attempt"])
        attempt = self._attempt_by_key.get((task_id, number))
        if attempt is None:
            attempt = _make_unknown_attempt(task_id, number)
        if path == "/tasks/throttle":
            attempt.speed_fraction = min(1.0, max(0.0, float(body["fraction"])))
            self._journal_attempt("throttle", attempt, now_s)
        elif path == "/tasks/checkpoint":
            self._save_checkpoint(attempt, now_s)
        elif path == "/tasks/stop":
            self._stop_attempt(attempt, now_s)
        else:
            return _server.json_response({"reason": "no such call"}, status=404)
        return _server.json_response(attempt.to_task_json())

    def _handle_start(
        self, body: dict[str, Any], now_s: float
    ) -> wrappers.Response:
        """Starts an attempt, renews its lease if it runs, or answers 409."""
        key = (str(body["task_id"]), int(body["attempt"]))
        known = self._attempt_by_key.get(key)
        if known is not None and known.state == "running":
            known.lease_until_s = now_s + float(body["lease_s"])
            return _server.json_response({"state": "running"})
        attempt = self._create_attempt(body, now_s)
        reason = "ended before" if known else self._refusal_reason(attempt)
        if reason:
            self._journal_attempt("refused", attempt, now_s, reason=reason)
            return _server.json_response({"reason": reason}, status=409)
        self._attempt_by_key[key] = attempt
        self._interference.add_task(attempt.class_name)
        self._journal_attempt("start", attempt, now_s)
        if self.faults.is_on("fail_everything"):
            self._end_attempt(attempt, "failed", now_s, detail="told")
        return _server.json_response({"state": "running"})

    def _refusal_reason(self, attempt: _attempt.Attempt) -> str:
        """Returns why an attempt can't start, or an empty text."""
        same_task = [
            each
            for each in self._attempt_by_key.values()
            if each.task_id == attempt.task_id
        ]
        if any(each.attempt > attempt.attempt for each in same_task):
            return "newer attempt"
        if any(each.state == "running" for each in same_task):
            return "runs here"
        in_use = self._resources_in_use()
        requested = (
            attempt.millicores_used,
            attempt.memory_mib_used,
            attempt.accelerators,
        )
        comparisons = zip(in_use, requested, self._capacity, strict=True)
        if any(used + more > most for used, more, most in comparisons):
            return "no room"
        return ""

    def _create_attempt(
        self, body: dict[str, Any], now_s: float
    ) -> _attempt.Attempt:
        """Creates an attempt whose true use and run time are drawn by seed."""
        rng = random.Random(f"{self._seed}:{body['task_id']}")
        spread = math.log(self._run_time_spread)
        declared_s = float(body["run_time_s"])
        return _attempt.Attempt(
            task_id=str(body["task_id"]),
            attempt=int(body["attempt"]),
            customer=str(body.get("customer", "")),
            class_name=str(body.get("class_name", "")),
            millicores=int(body["millicores"]),
            memory_mib=int(body["memory_mib"]),
            accelerators=int(body["accelerators"]),
            use_fraction=rng.uniform(*self._use_range),
            true_run_time_s=declared_s * math.exp(rng.uniform(-spread, spread)),
            progress_s=float(body.get("progress_s") or 0.0),
            lease_until_s=now_s + float(body["lease_s"]),
            progress_as_of_s=now_s,
            resumed_from=str(body.get("checkpoint") or ""),
            checkpoint=str(body.get("checkpoint") or ""),
            checkpointed_progress_s=float(body.get("progress_s") or 0.0),
        )

    def _handle_renew(
        self, body: dict[str, Any], now_s: float
    ) -> wrappers.Response:
        """Renews the leases of running attempts and answers their states."""
        tasks = []
        for renewal in body["tasks"]:
            task_id, number = str(renewal["task_id"]), int(renewal["attempt"])
            attempt = self._attempt_by_key.get((task_id, number))
            if attempt is None:
                attempt = _make_unknown_attempt(task_id, number)
            if attempt.state == "running":
                attempt.lease_until_s = now_s + float(body["lease_s"])
            tasks.append(attempt.to_task_json())
        return _server.json_response({"tasks": tasks})

    def _save_checkpoint(self, attempt: _attempt.Attempt, now_s: float) -> None:
        """Saves the progress of a running attempt as a checkpoint."""
        if attempt.state != "running":
            return
        progress_ms = round(attempt.progress_s * 1000)
        attempt.checkpoint = (
            f"{attempt.task_id}@{attempt.attempt}+{progress_ms}"
        )
        attempt.checkpointed_progress_s = attempt.progress_s
        self._journal_attempt("checkpoint", attempt, now_s)

    def _stop_attempt(self, attempt: _attempt.Attempt, now_s: float) -> None:
        """Stops an attempt; prevents an unknown one from starting later."""
        if attempt.state == "running":
            self._end_attempt(attempt, "stopped", now_s)
        if attempt.state == "unknown":
            attempt.state = "stopped"
            self._attempt_by_key[attempt.task_id, attempt.attempt] = attempt

    def _advance_attempts(self, now_s: float) -> None:
        """Advances running attempts to a time and ends those that are done."""
        for attempt in self._attempt_by_key.values():
            if attempt.state != "running":
                continue
            attempt.slowdown = self._interference.slowdown_factor(
                attempt.class_name
            )
            ended_s = attempt.advance_to(now_s)
            if ended_s is not None:
                self._end_attempt(attempt, attempt.state, ended_s)

    def _end_attempt(
        self,
        attempt: _attempt.Attempt,
        state: str,
        ended_s: float,
        detail: str = "",
    ) -> None:
        """Sets the final state of a running attempt and records its end."""
        attempt.state = state
        attempt.detail = detail
        self._interference.remove_task(attempt.class_name)
        self._journal_attempt("end", attempt, ended_s)

    def _resources_in_use(self) -> tuple[int, int, int]:
        """Returns millicores, memory in MiB and accelerators in use."""
        running = [
            e for e in self._attempt_by_key.values() if e.state == "running"
        ]
        return (
            sum(each.millicores_used for each in running),
            sum(each.memory_mib_used for each in running),
            sum(each.accelerators for each in running),
        )

    def _journal_attempt(
        self,
        event: str,
        attempt: _attempt.Attempt,
        now_s: float,
        reason: str = "",
    ) -> None:
        """Records an event of an attempt in the journal."""
        millicores, memory_mib, accelerators = self._resources_in_use()
        self.journal.add(
            event,
            wall_s=now_s,
            task_id=attempt.task_id,
            attempt=attempt.attempt,
            customer=attempt.customer,
            class_name=attempt.class_name,
            state=attempt.state,
            reason=reason,
            resumed_from=attempt.resumed_from,
            checkpoint=attempt.checkpoint,
            progress_s=attempt.progress_s,
            millicores=attempt.millicores,
            memory_mib=attempt.memory_mib,
            accelerators=attempt.accelerators,
            millicores_in_use=millicores,
            memory_mib_in_use=memory_mib,
            accelerators_in_use=accelerators,
        )

    def _delayed_usage(self) -> dict[str, Any]:
        """Returns the usage snapshot of ``usage_lag_s`` ago, with its time."""
        with self._lock:
            if not self._usage_snapshots:
                return {"as_of": time.time(), "tasks": []}
            as_of_s, tasks = self._usage_snapshots[0]
        return {"as_of": as_of_s, "tasks": tasks}


def _make_unknown_attempt(task_id: str, number: int) -> _attempt.Attempt:
    """Returns a placeholder for an attempt that the worker doesn't know."""
    return _attempt.Attempt(
        task_id=task_id,
        attempt=number,
        customer="",
        class_name="",
        millicores=0,
        memory_mib=0,
        accelerators=0,
        use_fraction=0.0,
        true_run_time_s=0.0,
        progress_s=0.0,
        lease_until_s=0.0,
        progress_as_of_s=0.0,
        state="unknown",
    )

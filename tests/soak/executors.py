"""Executors of a soak, which leave, crash, are reborn and report to checks."""

import dataclasses
import time
from typing import Any

import platform_standin
from soak import checks as soak_checks
from soak import clients as soak_clients

CAPACITY_CPU = 4000
"""Processor capacity of an executor, in thousandths of a core."""

SHRINK_GRACE_S = 3.0 + platform_standin.HEARTBEAT_INTERVAL_S
"""Time from which a smaller capacity counts for starts, in seconds: the users'
bound for machines out of contact and one heartbeat."""

MAX_LEASE_MS = 10_000
"""Longest lease that an executor grants, in milliseconds."""

ENTRY_EXPIRY_S = 3 * platform_standin.HEARTBEAT_INTERVAL_S
"""Time after which the entry of a silent executor is removed, in seconds."""


@dataclasses.dataclass(slots=True)
class _End:
    """A good end that the scheduler may still take note of.

    Attributes:
        task: The task.
        ended_s: Steady time of its end.
        is_lapsed: Whether the lease has lapsed since, so that it no longer
            counts as noted.
    """

    task: str
    ended_s: float
    is_lapsed: bool = False


class SoakExecutor(platform_standin.Executor):
    """An executor that reports its runs to the checks.

    Args:
        platform: The platform.
        number: Number that makes its id.
        checks: Receives starts and ends.

    Attributes:
        leaves_s: Steady time at which it exits; None if it has not announced
            its leave.
        is_gone: Whether its process has ended.
        capacity_cpu: Its present processor capacity, in thousandths of a core.
    """

    def __init__(
        self,
        platform: platform_standin.Platform,
        number: int,
        checks: soak_checks.Checks,
    ) -> None:
        super().__init__(platform, number)
        self.born_ms = time.time_ns() // 1_000_000
        self.leaves_s: float | None = None
        self.is_gone = False
        self.capacity_cpu = CAPACITY_CPU
        self._earlier_capacities: list[tuple[float, int]] = []
        self._checks = checks
        self._life = f"{self.id}@{self.born_ms}"
        self._good_end_by_number: dict[int, _End] = {}
        self._highest_ended_run_by_task: dict[str, int] = {}

    def describe(self) -> dict[str, Any]:
        entry = super().describe()
        entry["Capacity"] |= {"Cpu": self.capacity_cpu}
        if self.leaves_s is None:
            return entry
        left_ms = int(max(0.0, self.leaves_s - time.monotonic()) * 1000)
        return entry | {
            "State": "draining",
            "RemainingMs": left_ms,
        }

    def resize(self, capacity_cpu: int) -> None:
        """Changes its processor capacity; what runs goes on."""
        self._earlier_capacities.append((time.monotonic(), self.capacity_cpu))
        self.capacity_cpu = capacity_cpu

    def _counted_capacity_cpu(self, now_s: float) -> int:
        """Returns the largest capacity that a start may still rely on."""
        return max(
            self.capacity_cpu,
            *(
                cpu
                for until_s, cpu in self._earlier_capacities
                if now_s < until_s + SHRINK_GRACE_S
            ),
            0,
        )

    def free_cpu(self, task_cpu: int) -> int:
        """Returns its free processor; `task_cpu` is that of each task."""
        return self.capacity_cpu - task_cpu * len(self.running)

    def end_due_runs(self) -> None:
        if self.clock_ms() > self.lease_ms:
            for end in self._good_end_by_number.values():
                end.is_lapsed = True
        super().end_due_runs()

    def end_run(self, task: str, run: int, end_kind: str) -> None:
        if (task, run) not in self.running:
            return
        super().end_run(task, run, end_kind)
        now_s = time.monotonic()
        self._highest_ended_run_by_task[task] = run
        self._checks.note_end(task, self._life, run, end_kind, now_s)
        if end_kind == "done":
            self._good_end_by_number[self.end_count] = _End(task, now_s)

    def vanish(self) -> None:
        """Ends its process and all runs; nothing is reported any more."""
        with self.platform.lock:
            self.is_gone = True
            now_s = time.monotonic()
            for task, run in self.running:
                self._checks.note_end(task, self._life, run, "gone", now_s)
            self.running.clear()
        self.httpd.shutdown()
        self.httpd.server_close()

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        with self.platform.lock:
            if self.is_gone:
                raise ConnectionAbortedError(self.id)
            # A run elsewhere whose lease has lapsed has ended by now.
            for executor in self.platform.executors:
                executor.end_due_runs()
            if body.get("FencingToken", 0) < self.highest_token:
                return super().answer(path, body)
            body = self._shorten_lease(body)
            if path == "/run-start" and self._is_superseded(body):
                _, answer = super().answer("", body)
                return 409, answer | {"Reason": "old"}
            running = set(self.running)
            status, answer = super().answer(path, body)
            if path == "/hold":
                self._note_taken_ends(body["LastSeen"])
            for task, run in set(self.running) - running:
                now_s = time.monotonic()
                self._checks.note_start(task, self._life, run, now_s)
                self._checks.note_room(
                    task,
                    self._life,
                    used_cpu=soak_clients.TASK_CPU * len(self.running),
                    capacity_cpu=self._counted_capacity_cpu(now_s),
                    now_s=now_s,
                )
            return status, answer

    def _shorten_lease(self, body: dict[str, Any]) -> dict[str, Any]:
        """Returns the body with a lease that the executor grants."""
        if "DeadlineMs" not in body:
            return body
        latest_ms = self.clock_ms() + MAX_LEASE_MS
        return body | {"DeadlineMs": min(body["DeadlineMs"], latest_ms)}

    def _is_superseded(self, body: dict[str, Any]) -> bool:
        """Returns whether this or a later run has been here and ended."""
        highest_run = self._highest_ended_run_by_task.get(body["Task"], 0)
        return int(body["Run"]) <= highest_run

    def _note_taken_ends(self, last_seen: int) -> None:
        """Tells the checks which good ends have been taken note of."""
        for number in [n for n in self._good_end_by_number if n <= last_seen]:
            end = self._good_end_by_number.pop(number)
            if not end.is_lapsed:
                self._checks.note_taken_end(
                    end.task, end.ended_s, time.monotonic()
                )


class Fleet:
    """The executors of a soak.

    Args:
        platform: The platform.
        checks: Receives starts and ends.
        count: Number of executors at the start.
    """

    def __init__(
        self,
        platform: platform_standin.Platform,
        checks: soak_checks.Checks,
        count: int,
    ) -> None:
        self._platform = platform
        self._checks = checks
        self._next_number = 0
        for _ in range(count):
            self.join()

    def join(self) -> None:
        """Adds a new executor."""
        number, self._next_number = self._next_number, self._next_number + 1
        self._add(number)

    def _add(self, number: int) -> None:
        executor = SoakExecutor(self._platform, number, self._checks)
        with self._platform.lock:
            self._platform.executors.append(executor)
            self._publish(executor)

    def _publish(self, executor: SoakExecutor) -> None:
        """Writes the entry of an executor before its next heartbeat."""
        self._platform.put("keyed.servers", executor.id, executor.describe())

    def list_ready(self) -> list[SoakExecutor]:
        """Returns the executors that take tasks, in order of arrival."""
        with self._platform.lock:
            return [
                each
                for each in self._platform.executors
                if isinstance(each, SoakExecutor) and each.leaves_s is None
            ]

    def announce_leave(self, executor: SoakExecutor, leaves_s: float) -> None:
        """Marks an executor as draining until a steady time."""
        with self._platform.lock:
            executor.leaves_s = leaves_s
            self._publish(executor)

    def resize(self, executor: SoakExecutor, capacity_cpu: int) -> None:
        """Changes an executor's processor capacity, if it still runs."""
        with self._platform.lock:
            if executor in self._platform.executors:
                executor.resize(capacity_cpu)
                self._publish(executor)

    def leave(self, executor: SoakExecutor) -> None:
        """Ends an executor that announced its leave, and removes its entry."""
        if self.crash(executor):
            self._platform.remove("keyed.servers", executor.id)

    def crash(self, executor: SoakExecutor) -> bool:
        """Ends an executor without a word; its entry stays.

        Returns:
            Whether it still ran.
        """
        with self._platform.lock:
            if executor not in self._platform.executors:
                return False
            self._platform.executors.remove(executor)
        executor.vanish()
        return True

    def expire_entry(self, executor: SoakExecutor) -> None:
        """Removes the entry of a silent executor unless it was reborn."""
        with self._platform.lock:
            if executor.id not in {e.id for e in self._platform.executors}:
                self._platform.remove("keyed.servers", executor.id)

    def rebirth(self, executor: SoakExecutor) -> None:
        """Starts a crashed executor anew under its id."""
        self._add(int(executor.id.removeprefix("i-")))

    def end_due_runs(self) -> None:
        """Ends all runs that are finished or whose lease has expired."""
        with self._platform.lock:
            for executor in self._platform.executors:
                executor.end_due_runs()

    def has_room(self, task_cpu: int) -> bool:
        """Returns whether an executor has room for two tasks of this size."""
        return any(
            each.free_cpu(task_cpu) >= 2 * task_cpu
            for each in self.list_ready()
        )

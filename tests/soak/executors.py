"""Executors of a soak, which leave, crash, are reborn and report to checks."""

import dataclasses
import random
import time
from typing import Any

import cutting_proxy
import platform_standin
from soak import checks as soak_checks
from soak import clients as soak_clients
from soak import late_orders as soak_late_orders

CAPACITY_CPU = 4000
"""Processor capacity of an executor, in thousandths of a core."""

SHRINK_GRACE_S = 3.0 + platform_standin.HEARTBEAT_INTERVAL_S
"""Time from which a smaller capacity counts for starts, in seconds: the users'
bound for machines out of contact and one heartbeat."""

MAX_LEASE_MS = 10_000
"""Longest lease that an executor grants, in milliseconds."""

SLOWEST_CLOCK_RATE = 0.98
"""Rate of the slowest clock of an executor, against the true time."""


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

    Its calls pass through a proxy that can lose connections.

    Args:
        platform: The platform.
        number: Number that makes its id.
        checks: Receives starts and ends.
        source: Draws the rate of its clock and its late orders.
        proxy: Proxy of the incarnation before, whose address it takes over;
            None for an address of its own.
        age_s: Time for which it has run, in seconds.

    Attributes:
        proxy: Its proxy.
        late_orders: Orders that it carries out later.
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
        source: random.Random,
        *,
        proxy: cutting_proxy.CuttingProxy | None = None,
        age_s: float = 0.0,
    ) -> None:
        super().__init__(platform, number)
        self.born_s -= age_s
        self.born_ms = time.time_ns() // 1_000_000 - int(age_s * 1000)
        self._clock_rate = source.uniform(SLOWEST_CLOCK_RATE, 1.0)
        self.late_orders = soak_late_orders.LateOrders(
            random.Random(source.random())
        )
        self.leaves_s: float | None = None
        self.is_gone = False
        self.capacity_cpu = CAPACITY_CPU
        self._earlier_capacities: list[tuple[float, int]] = []
        self.proxy = proxy or cutting_proxy.CuttingProxy(self.port)
        self._checks = checks
        self._life = f"{self.id}@{self.born_ms}"
        self._good_end_by_number: dict[int, _End] = {}
        self._highest_barred_run_by_task: dict[str, int] = {}

    @property
    def port(self) -> int:
        """The port behind its proxy."""
        return int(self.httpd.server_address[1])

    def clock_ms(self) -> int:
        return int(super().clock_ms() * self._clock_rate)

    def cut_at_next_start(self, duration_s: float) -> None:
        """Loses the answer to the next start, then refuses connections.

        Args:
            duration_s: How long it refuses them, in seconds.
        """
        self.proxy.cut_at_next("/run-start", duration_s)

    def refuse_connections(self) -> None:
        """Refuses new connections for good."""
        self.proxy.close()

    def describe(self) -> dict[str, Any]:
        entry = super().describe() | {"Address": f"127.0.0.1:{self.proxy.port}"}
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
        self._bar(task, run)
        self._checks.note_end(task, self._life, run, end_kind, now_s)
        if end_kind == "done":
            self._good_end_by_number[self.end_count] = _End(task, now_s)

    def _bar(self, task: str, run: int) -> None:
        """Bars the runs of a task up to a number from starting."""
        self._highest_barred_run_by_task[task] = max(
            run, self._highest_barred_run_by_task.get(task, 0)
        )

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

    def receive(self, path: str, body: dict[str, Any]) -> None:
        with self.platform.lock:
            if self.is_gone:
                raise ConnectionAbortedError(self.id)
            order = self.late_orders.hold_back(path, body)
        if order is not None:
            time.sleep(order.silence_s)
            raise ConnectionAbortedError(self.id)

    def carry_out_late_orders(self) -> None:
        """Carries out the orders that are due by now."""
        for order in self.late_orders.take_due(time.monotonic()):
            status, answer = self.answer(order.path, order.body)
            self._checks.note_step(
                f"late {order.path} {order.body.get('Task', '')}"
                f" {order.body.get('Run', '')} {self._life}: {status}"
                f" {answer.get('Reason', '')}, {self.clock_ms()} of"
                f" {self.lease_ms} ms",
                time.monotonic(),
            )

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        with self.platform.lock:
            if self.is_gone:
                raise ConnectionAbortedError(self.id)
            # A run elsewhere whose lease has lapsed has ended by now.
            for executor in self.platform.executors:
                executor.end_due_runs()
            if body.get("FencingToken", 0) < self.highest_token:
                return super().answer(path, body)
            if path == "/run-start" and self._is_too_late(body):
                _, answer = super().answer("", body | {"DeadlineMs": 0})
                return 409, answer | {"Reason": "late"}
            body = self._shorten_lease(body)
            if path == "/run-start" and self._is_superseded(body):
                _, answer = super().answer("", body)
                return 409, answer | {"Reason": "old"}
            if path == "/run-stop":
                self._bar(body["Task"], int(body["Run"]))
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

    def _is_too_late(self, body: dict[str, Any]) -> bool:
        """Returns whether the lease that a start carries is over."""
        is_there = (body["Task"], body["Run"]) in self.running
        return not is_there and body["DeadlineMs"] <= self.clock_ms()

    def _is_superseded(self, body: dict[str, Any]) -> bool:
        """Returns whether this or a later run was stopped or ended here."""
        highest_run = self._highest_barred_run_by_task.get(body["Task"], 0)
        return int(body["Run"]) <= highest_run

    def _note_taken_ends(self, last_seen: int) -> None:
        """Tells the checks which good ends have been taken note of."""
        for number in [n for n in self._good_end_by_number if n <= last_seen]:
            end = self._good_end_by_number.pop(number)
            if not end.is_lapsed:
                self._checks.note_taken_end(
                    end.task, end.ended_s, time.monotonic()
                )

"""The executors of a soak, which join, leave, crash and restart."""

import random

import cutting_proxy
import platform_standin
from soak import checks as soak_checks
from soak import executors as soak_executors

LONGEST_AGE_S = 600.0
"""Longest time for which executors have run when a soak begins, in seconds."""

ENTRY_EXPIRY_S = 3 * platform_standin.HEARTBEAT_INTERVAL_S
"""Time after which the entry of a silent executor is removed, in seconds."""


class Fleet:
    """The executors of a soak.

    Args:
        platform: The platform.
        checks: Receives starts and ends.
        count: Number of executors at the start.
        seed: Seed of their clocks, ages and late orders.
    """

    def __init__(
        self,
        platform: platform_standin.Platform,
        checks: soak_checks.Checks,
        count: int,
        seed: int,
    ) -> None:
        self._source = random.Random(f"fleet/{seed}")
        self._platform = platform
        self._checks = checks
        self._next_number = 0
        for _ in range(count):
            self._publish(
                self._add(
                    self._take_number(),
                    age_s=self._source.uniform(0.0, LONGEST_AGE_S),
                )
            )

    def join(self) -> None:
        """Adds a new executor."""
        self._publish(self._add(self._take_number()))

    def _take_number(self) -> int:
        """Returns a number that no executor has had."""
        number, self._next_number = self._next_number, self._next_number + 1
        return number

    def _add(
        self,
        number: int,
        proxy: cutting_proxy.CuttingProxy | None = None,
        age_s: float = 0.0,
    ) -> soak_executors.SoakExecutor:
        """Starts an executor, whose entry comes with its next heartbeat."""
        executor = soak_executors.SoakExecutor(
            self._platform,
            number,
            self._checks,
            self._source,
            proxy=proxy,
            age_s=age_s,
        )
        with self._platform.lock:
            self._platform.executors.append(executor)
        return executor

    def _publish(self, executor: soak_executors.SoakExecutor) -> None:
        """Writes the entry of an executor before its next heartbeat."""
        with self._platform.lock:
            if executor.sends_heartbeats:
                self._platform.put(
                    "keyed.servers", executor.id, executor.describe()
                )

    def list_ready(self) -> list[soak_executors.SoakExecutor]:
        """Returns the executors that take tasks, in order of arrival."""
        with self._platform.lock:
            return [
                each
                for each in self._platform.executors
                if isinstance(each, soak_executors.SoakExecutor)
                and each.leaves_s is None
            ]

    def announce_leave(
        self, executor: soak_executors.SoakExecutor, leaves_s: float
    ) -> None:
        """Marks an executor as draining until a steady time."""
        with self._platform.lock:
            executor.leaves_s = leaves_s
            self._publish(executor)

    def resize(
        self, executor: soak_executors.SoakExecutor, capacity_cpu: int
    ) -> None:
        """Changes an executor's processor capacity, if it still runs."""
        with self._platform.lock:
            if executor in self._platform.executors:
                executor.resize(capacity_cpu)
                self._publish(executor)

    def leave(self, executor: soak_executors.SoakExecutor) -> None:
        """Ends an executor that announced its leave, and removes its entry."""
        if self.crash(executor):
            self._platform.remove("keyed.servers", executor.id)

    def crash(self, executor: soak_executors.SoakExecutor) -> bool:
        """Ends an executor without a word; its entry stays.

        Returns:
            Whether it still ran.
        """
        if not self._end(executor):
            return False
        executor.refuse_connections()
        return True

    def _end(self, executor: soak_executors.SoakExecutor) -> bool:
        """Ends an executor's process; returns whether it still ran."""
        with self._platform.lock:
            if executor not in self._platform.executors:
                return False
            self._platform.executors.remove(executor)
        executor.vanish()
        return True

    def crash_for_restart(
        self, executor: soak_executors.SoakExecutor, *, is_silent: bool
    ) -> bool:
        """Ends an executor whose next incarnation takes over its address.

        Args:
            executor: The executor.
            is_silent: Whether callers see nothing of it, as after a loss of
                power; else connections are closed and refused.

        Returns:
            Whether it still ran.
        """
        executor.proxy.part(is_silent=is_silent)
        return self._end(executor)

    def expire_entry(self, executor: soak_executors.SoakExecutor) -> None:
        """Removes the entry of a silent executor unless it was reborn."""
        with self._platform.lock:
            if executor.id not in {
                each.id
                for each in self._platform.executors
                if each.sends_heartbeats
            }:
                self._platform.remove("keyed.servers", executor.id)

    def rebirth(self, executor: soak_executors.SoakExecutor) -> None:
        """Starts a crashed executor anew under its id, at a new address."""
        self._publish(self._add(int(executor.id.removeprefix("i-"))))

    def restart(
        self, executor: soak_executors.SoakExecutor, capacity_cpu: int
    ) -> soak_executors.SoakExecutor:
        """Starts the next incarnation of an executor at its address.

        Args:
            executor: The incarnation before, which has ended.
            capacity_cpu: Processor capacity of the new one.

        Returns:
            The new incarnation.
        """
        born = self._add(
            int(executor.id.removeprefix("i-")), proxy=executor.proxy
        )
        born.capacity_cpu = capacity_cpu
        born.proxy.join(born.port)
        return born

    def cut_off(
        self,
        executor: soak_executors.SoakExecutor,
        *,
        is_silent: bool,
        from_store: bool,
    ) -> None:
        """Cuts an executor off from all callers; what runs there goes on.

        Args:
            executor: The executor.
            is_silent: Whether callers get no answer; else they are refused.
            from_store: Whether its heartbeats don't reach the store, either.
        """
        executor.proxy.part(is_silent=is_silent)
        executor.sends_heartbeats = not from_store

    def mend(self, executor: soak_executors.SoakExecutor) -> None:
        """Ends a cut, if the executor still runs."""
        with self._platform.lock:
            if executor not in self._platform.executors:
                return
        executor.proxy.join(executor.port)
        executor.sends_heartbeats = True

    def has_late_orders(self) -> bool:
        """Returns whether an order is still to be carried out late."""
        with self._platform.lock:
            return any(
                each.late_orders.count
                for each in self._platform.executors
                if isinstance(each, soak_executors.SoakExecutor)
            )

    def advance(self) -> None:
        """Carries out late orders and ends all runs that are over."""
        with self._platform.lock:
            for executor in self._platform.executors:
                if isinstance(executor, soak_executors.SoakExecutor):
                    executor.carry_out_late_orders()
                executor.end_due_runs()

    def close(self) -> None:
        """Refuses new connections to all executors."""
        with self._platform.lock:
            for executor in self._platform.executors:
                if isinstance(executor, soak_executors.SoakExecutor):
                    executor.refuse_connections()

    def has_room(self, task_cpu: int) -> bool:
        """Returns whether an executor has room for two tasks of this size."""
        return any(
            each.free_cpu(task_cpu) >= 2 * task_cpu
            for each in self.list_ready()
        )

"""Slot accounting for the executors that this instance owns."""

import dataclasses

from basiljunction.coordination import _views

UNKNOWN_CALL_HOLD_S = 0.5
"""How long after its deadline a call with an unknown outcome still counts as
running, in seconds."""


@dataclasses.dataclass(slots=True)
class _ExecutorUsage:
    """The slots in use on one executor.

    Attributes:
        view: Newest view of the executor; None if it is gone or owned by
            another instance.
        call_ids: Calls in flight.
        unknown_until_boot_s: For each call with an unknown outcome, the time
            until which it counts as running.
    """

    view: _views.ExecutorView | None
    call_ids: set[int] = dataclasses.field(default_factory=set)
    unknown_until_boot_s: list[float] = dataclasses.field(default_factory=list)

    def count_used(self, boot_s: float) -> int:
        """Returns the number of slots in use; drops expired unknown calls."""
        if self.unknown_until_boot_s:
            self.unknown_until_boot_s = [
                each for each in self.unknown_until_boot_s if each > boot_s
            ]
        return len(self.call_ids) + len(self.unknown_until_boot_s)


class ExecutorSlots:
    """Counts used and free slots; each call takes a slot before it is sent."""

    def __init__(self) -> None:
        """Initializes the accounting without any executor."""
        self._usage_by_executor: dict[str, _ExecutorUsage] = {}

    def update_view(self, view: _views.FleetView, boot_s: float) -> None:
        """Applies a new fleet view; calls in flight stay counted.

        Args:
            view: The view.
            boot_s: Current time.
        """
        for counted in self._usage_by_executor.values():
            counted.view = None
        for name, executor in view.executor_by_id.items():
            if executor.owner != view.instance:
                continue
            counted = self._usage_by_executor.setdefault(
                name, _ExecutorUsage(None)
            )
            counted.view = executor
        for name, counted in list(self._usage_by_executor.items()):
            if counted.view is None and not counted.count_used(boot_s):
                del self._usage_by_executor[name]

    def owned_executors(self) -> list[_views.ExecutorView]:
        """Returns the views of the executors that this instance owns."""
        return [
            counted.view
            for counted in self._usage_by_executor.values()
            if counted.view is not None
        ]

    def free_slots(self, executor: str, boot_s: float) -> int:
        """Returns the number of an executor's slots that can be taken now."""
        counted = self._usage_by_executor.get(executor)
        if counted is None or counted.view is None:
            return 0
        view = counted.view
        if view.leaving or boot_s < view.usable_from_boot_s:
            return 0
        if boot_s < view.busy_until_boot_s:
            return 0
        return max(0, view.slots - counted.count_used(boot_s))

    def used_slots(self, executor: str, boot_s: float) -> int:
        """Returns the number of an executor's slots in use."""
        counted = self._usage_by_executor.get(executor)
        return 0 if counted is None else counted.count_used(boot_s)

    def slots_in_use_on_leaving(self, boot_s: float) -> dict[str, int]:
        """Returns the slots in use on owned, leaving executors, by executor."""
        return {
            name: counted.count_used(boot_s)
            for name, counted in self._usage_by_executor.items()
            if counted.view is not None and counted.view.leaving
        }

    def take_slot(self, executor: str, call_id: int, boot_s: float) -> bool:
        """Takes a slot for a call; returns False if none is free."""
        if self.free_slots(executor, boot_s) < 1:
            return False
        self._usage_by_executor[executor].call_ids.add(call_id)
        return True

    def release_slot(self, executor: str, call_id: int) -> None:
        """Releases the slot of a call that certainly no longer runs."""
        counted = self._usage_by_executor.get(executor)
        if counted is not None:
            counted.call_ids.discard(call_id)

    def hold_slot_after_deadline(
        self, executor: str, call_id: int, deadline_boot_s: float
    ) -> None:
        """Keeps the slot of a call with an unknown outcome taken for a while.

        Args:
            executor: Id of the executor.
            call_id: Id of the call.
            deadline_boot_s: Deadline of the call.
        """
        counted = self._usage_by_executor.get(executor)
        if counted is None or call_id not in counted.call_ids:
            return
        counted.call_ids.discard(call_id)
        counted.unknown_until_boot_s.append(
            deadline_boot_s + UNKNOWN_CALL_HOLD_S
        )

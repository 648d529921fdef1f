"""Queue of pending tasks, grouped so that placement tries only a few.

Tasks with the same demand form a group. If the first of a group does not fit,
the others are not tried.
"""

import collections
from collections.abc import Iterator
import dataclasses
import heapq
import itertools

from basiljunction.state import _job

_NO_DEMAND = _job.ResourceDemand(0, 0)


@dataclasses.dataclass(slots=True)
class PlacementUnit:
    """A task, or all tasks of a gang, that are placed together.

    Attributes:
        key: Task id, or the key of the gang.
        task_ids: Ids of its tasks.
        demands: Declared demand of each task.
        customer: Customer that submitted it.
        class_name: Class of work.
        priority: Priority; higher ones are placed first.
        deadline_wall_s: Deadline in Unix seconds.
        preference_rank: Position of this instance in the order of preference for the
            unit; 0 is the most preferred.
        ready_boot_s: When it became ready to run, on the monotonic clock.
        eligible_boot_s: When this instance may claim it, on the monotonic
            clock; preferred instances may do so earlier.
        avoided_workers: Ids of workers that it is not placed on again.
        group: Key of the group. Units of a group have the same demand and
            avoided workers, so if one does not fit, none does.
        total: Declared demand of all its tasks together.
    """

    key: str
    task_ids: tuple[str, ...]
    demands: tuple[_job.ResourceDemand, ...]
    customer: str
    class_name: str
    priority: int
    deadline_wall_s: float
    preference_rank: int
    ready_boot_s: float
    eligible_boot_s: float
    avoided_workers: frozenset[str] = frozenset()
    group: tuple[str, ...] = ()
    total: _job.ResourceDemand = _NO_DEMAND

    def __post_init__(self) -> None:
        """Computes the group and the total demand."""
        self.group = self._build_group()
        self.total = _job.ResourceDemand(
            millicores=sum(each.millicores for each in self.demands),
            memory_mib=sum(each.memory_mib for each in self.demands),
            accelerators=sum(each.accelerators for each in self.demands),
        )

    def _build_group(self) -> tuple[str, ...]:
        """Returns the group key; each gang is a group of its own."""
        if len(self.task_ids) > 1:
            return (self.customer, self.class_name, self.key)
        demand = self.demands[0]
        shape = f"{demand.millicores}/{demand.memory_mib}"
        accelerators = str(demand.accelerators)
        avoided = sorted(self.avoided_workers)
        return (self.customer, self.class_name, shape, accelerators, *avoided)

    @property
    def sort_key(self) -> tuple[float, float, float]:
        """Sort key within a customer: priority, rank, then deadline."""
        return (-self.priority, self.preference_rank, self.deadline_wall_s)


_UnitHeap = list[tuple[tuple[float, float, float], int, PlacementUnit]]


class PendingQueue:
    """Pending units; eligible ones are sorted by customer and group.

    A unit that was replaced or removed stays in the heaps and is skipped when
    it comes up.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._unit_by_key: dict[str, PlacementUnit] = {}
        self._waiting_heap: list[tuple[float, int, PlacementUnit]] = []
        self._heap_by_group_by_customer: dict[
            str, dict[tuple[str, ...], _UnitHeap]
        ] = {}
        self._tie_breaker = itertools.count()
        self._released_count_by_customer: collections.Counter[str] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        """Returns the number of units."""
        return len(self._unit_by_key)

    def get(self, key: str) -> PlacementUnit | None:
        """Returns the unit with a key, or None."""
        return self._unit_by_key.get(key)

    def add(self, unit: PlacementUnit) -> None:
        """Adds a unit, or replaces the one with the same key.

        It becomes eligible at its `eligible_boot_s`.
        """
        self._unit_by_key[unit.key] = unit
        entry = (unit.eligible_boot_s, next(self._tie_breaker), unit)
        heapq.heappush(self._waiting_heap, entry)

    def discard(self, key: str) -> None:
        """Removes the unit with a key, if any."""
        self._unit_by_key.pop(key, None)

    def release_eligible(self, now_boot_s: float) -> int:
        """Moves units that are now eligible to the heaps of their groups.

        Returns the number of units moved.
        """
        moved_count = 0
        while self._waiting_heap and self._waiting_heap[0][0] <= now_boot_s:
            _, _, unit = heapq.heappop(self._waiting_heap)
            if self._unit_by_key.get(unit.key) is not unit:
                continue
            groups = self._heap_by_group_by_customer.setdefault(
                unit.customer, {}
            )
            heap = groups.setdefault(unit.group, [])
            heapq.heappush(heap, (unit.sort_key, next(self._tie_breaker), unit))
            self._released_count_by_customer[unit.customer] += 1
            moved_count += 1
        return moved_count

    def released_count(self, customer: str) -> int:
        """Returns the number of a customer's units that became eligible."""
        return self._released_count_by_customer[customer]

    def customers(self) -> list[str]:
        """Returns the customers with eligible units.

        Some may have none left, as removed units are dropped only later.
        """
        return list(self._heap_by_group_by_customer)

    def first_units(self, customer: str) -> list[PlacementUnit]:
        """Returns the first eligible unit of each of a customer's groups."""
        groups = self._heap_by_group_by_customer.get(customer)
        if groups is None:
            return []
        units = []
        for group in list(groups):
            unit = self._first_valid(groups[group])
            if unit is None:
                del groups[group]
            else:
                units.append(unit)
        if not groups:
            del self._heap_by_group_by_customer[customer]
        units.sort(key=lambda unit: unit.sort_key)
        return units

    def _first_valid(self, heap: _UnitHeap) -> PlacementUnit | None:
        """Returns the first unit still queued, dropping others before it."""
        while heap:
            unit = heap[0][2]
            if self._unit_by_key.get(unit.key) is unit:
                return unit
            heapq.heappop(heap)
        return None

    def units(self) -> Iterator[PlacementUnit]:
        """Iterates over all units, eligible or not."""
        return iter(self._unit_by_key.values())

"""Waiting tasks of one step of a job, in one occurrence."""

from collections.abc import Iterator
import dataclasses

from basiljunction.state.workload import _index_ranges


@dataclasses.dataclass(slots=True)
class WaitingTasks:
    """The tasks of one step that wait to start, within one occurrence.

    Tasks that have never run are kept as ranges, so that the memory is in
    proportion to the tasks that have, not to the size of the step.

    Attributes:
        occurrence: Number of the occurrence, that is, of one execution of the
            job's steps.
        step: Number of the step.
        fresh: Indexes of the tasks that wait since the step was opened.
        opened_s: Time at which the step was opened, on the steady clock.
        urgent_from_s: Time from which starts of fresh tasks go before those of
            short tasks.
        returned_s_by_index: Earliest start of each task that waits again, on
            the steady clock, by its index in the step.
        is_refused: Whether the approval policy has refused all executors that
            had room for the tasks, so that other steps go on.
    """

    occurrence: int
    step: int
    fresh: _index_ranges.IndexRanges = dataclasses.field(
        default_factory=_index_ranges.IndexRanges
    )
    opened_s: float = 0.0
    urgent_from_s: float = float("inf")
    returned_s_by_index: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    is_refused: bool = False

    def __len__(self) -> int:
        """Returns the number of waiting tasks."""
        return len(self.fresh) + len(self.returned_s_by_index)

    def __contains__(self, index: int) -> bool:
        """Returns whether a task waits."""
        return index in self.returned_s_by_index or index in self.fresh

    def ready_s(self, index: int) -> float | None:
        """Returns the earliest start of a waiting task; None if it is none."""
        returned_s = self.returned_s_by_index.get(index)
        if returned_s is not None:
            return returned_s
        return self.opened_s if index in self.fresh else None

    def latest_ready_s(self) -> float:
        """Returns the latest of the earliest starts."""
        opened_s = self.opened_s if self.fresh else float("-inf")
        return max(opened_s, *self.returned_s_by_index.values(), opened_s)

    def first(self) -> tuple[int, float]:
        """Returns the index and the earliest start of the first task.

        Raises:
            StopIteration: No task waits.
        """
        return next(self.items())

    def items(self) -> Iterator[tuple[int, float]]:
        """Yields the index and the earliest start of each task, fresh first.

        Tasks may be removed meanwhile.
        """
        index = self.fresh.next_from(0)
        while index is not None:
            yield index, self.opened_s
            index = self.fresh.next_from(index + 1)
        yield from list(self.returned_s_by_index.items())

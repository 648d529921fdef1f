"""Steps of a job that are ready to be opened, in order.

A step is ready when its occurrence is due and all steps that it depends on are
done. Each change is applied when it happens, so that nothing walks over all
occurrences and steps, and consecutive occurrences take the memory of one.
"""

from collections.abc import Iterable
import dataclasses
import heapq

from basiljunction.state.workload import _index_ranges
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _position_set

MAX_OPEN_STEPS_PER_KIND = 40
"""Most steps of one kind of a job with tasks that wait for their first start:
as many as a placement pass starts tasks."""


class ReadySteps:
    """The steps of a job that are ready and have not been taken yet.

    Steps of one kind differ only in what they depend on, so that any of them
    fits where another does.

    Args:
        spec: The job's specification.
        completed: Positions of its tasks that are done, which changes.
    """

    def __init__(
        self, spec: _job_spec.JobSpec, completed: _position_set.PositionSet
    ) -> None:
        self._spec = spec
        self._completed = completed
        self._kind_by_step = _number_kinds(spec.steps)
        self._successors_by_step: dict[int, list[int]] = {}
        for number, step in enumerate(spec.steps):
            for each in set(step.after):
                self._successors_by_step.setdefault(each, []).append(number)
        self._due_count = 0
        self._ready_by_step: dict[int, _index_ranges.IndexRanges] = {}
        # The least ready occurrence of each step, and its number.
        self._heap_by_kind: dict[int, list[tuple[int, int]]] = {}

    @property
    def kinds(self) -> Iterable[int]:
        """Kinds of which steps are ready."""
        return tuple(self._heap_by_kind)

    def kind_of(self, step: int) -> int:
        """Returns the kind of a step."""
        return self._kind_by_step[step]

    def add_due(self, due_count: int) -> bool:
        """Adds the steps of occurrences that have become due.

        Args:
            due_count: Number of occurrences that are due.

        Returns:
            Whether there were any such occurrences.
        """
        if due_count <= self._due_count:
            return False
        due = _index_ranges.IndexRanges([(self._due_count, due_count)])
        self._due_count = due_count
        for number, step in enumerate(self._spec.steps):
            ready = due
            for each in step.after:
                ready = ready.intersection(self._done_occurrences(each))
            if ready:
                self._add(number, ready.minus(self._done_occurrences(number)))
        return True

    def record_step_done(self, occurrence: int, step: int) -> bool:
        """Adds the steps that depended on one that is done now.

        Returns:
            Whether any step became ready.
        """
        if occurrence >= self._due_count:
            return False
        added = False
        for successor in self._successors_by_step.get(step, ()):
            if self.is_done(occurrence, successor):
                continue
            after = self._spec.steps[successor].after
            if all(self.is_done(occurrence, each) for each in after):
                single = [(occurrence, occurrence + 1)]
                self._add(successor, _index_ranges.IndexRanges(single))
                added = True
        return added

    def is_done(self, occurrence: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        done = self._completed.indexes(occurrence, step)
        return len(done) >= self._spec.steps[step].count

    def take(self, kind: int) -> tuple[int, int] | None:
        """Removes the first ready step of a kind, by occurrence and number.

        Returns:
            Its occurrence and number; None if no step of the kind is ready.
        """
        heap = self._heap_by_kind.get(kind)
        while heap:
            occurrence, step = heapq.heappop(heap)
            ready = self._ready_by_step.get(step)
            is_ready = ready is not None and ready.discard(occurrence)
            if ready:
                heapq.heappush(heap, (ready.first(), step))
            else:
                self._ready_by_step.pop(step, None)
            if not heap:
                del self._heap_by_kind[kind]
            if is_ready:
                return occurrence, step
        return None

    def _done_occurrences(self, step: int) -> _index_ranges.IndexRanges:
        """Returns the occurrences in which all tasks of a step are done."""
        count = self._spec.steps[step].count
        return self._completed.occurrences_with(step, count)

    def _add(self, step: int, occurrences: _index_ranges.IndexRanges) -> None:
        """Adds ready occurrences of a step."""
        if not occurrences:
            return
        ready = self._ready_by_step.get(step)
        if ready is None or occurrences.first() < ready.first():
            heap = self._heap_by_kind.setdefault(self._kind_by_step[step], [])
            heapq.heappush(heap, (occurrences.first(), step))
        self._ready_by_step[step] = (
            occurrences if ready is None else ready.union(occurrences)
        )


def _number_kinds(steps: tuple[_job_spec.StepSpec, ...]) -> tuple[int, ...]:
    """Returns a number for each step, the same for steps of one kind."""
    number_by_kind: dict[_job_spec.StepSpec, int] = {}
    return tuple(
        number_by_kind.setdefault(
            dataclasses.replace(step, after=()), len(number_by_kind)
        )
        for step in steps
    )

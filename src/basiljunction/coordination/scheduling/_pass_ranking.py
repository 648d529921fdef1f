"""Ranks the executors of a service once for many steps.

Most steps rank executors alike: by their health, their serving tasks and the
CPU that is left on them. Keeping one such ranking during a placement pass saves
a search of all executors for each step.
"""

import bisect
from collections.abc import Sequence

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _job_spec

SEARCH_BATCH = 64
"""Executors that are searched together once the first one has no room."""

_Entry = tuple[tuple[float, ...], int, _executors.ExecutorState]
"""Rank of an executor, its position among all, and the executor."""


def ranks_by_common_order(step: _job_spec.StepSpec) -> bool:
    """Returns whether the order of executors for a step depends on no step.

    Serving tasks, fillers and tasks with data on a rack have their own orders.
    """
    return not (step.is_serving or step.fills or step.data_rack)


class PassRanking:
    """The executors of a service in the order common to most steps.

    The order for an executor with fillers depends on the size of the step, so
    that these executors are compared one by one.

    Args:
        executors: The executors.
        uses_gpus: Whether the steps request accelerators.
        sharing: Decides where fillers may be placed.
    """

    def __init__(
        self,
        executors: Sequence[_executors.ExecutorState],
        sharing: _sharing.FillerController,
        *,
        uses_gpus: bool,
    ) -> None:
        self._uses_gpus = uses_gpus
        self._sharing = sharing
        self._entry_by_id: dict[str, _Entry] = {}
        self._ordered: list[_Entry] = []
        self._with_fillers: list[_Entry] = []
        for position, executor in enumerate(executors):
            entry = (self._rank(executor), position, executor)
            self._entry_by_id[executor.listing.id] = entry
            if executor.filler_count:
                self._with_fillers.append(entry)
            else:
                self._ordered.append(entry)
        self._ordered.sort()

    def update_executor(self, executor: _executors.ExecutorState) -> None:
        """Ranks an executor anew after a task was started on it."""
        entry = self._entry_by_id.get(executor.listing.id)
        if entry is None:
            return
        if entry in self._with_fillers:
            self._with_fillers.remove(entry)
        else:
            del self._ordered[bisect.bisect_left(self._ordered, entry)]
        entry = (self._rank(executor), entry[1], executor)
        self._entry_by_id[executor.listing.id] = entry
        if executor.filler_count:
            self._with_fillers.append(entry)
        else:
            bisect.insort(self._ordered, entry)

    def find_best_executor(
        self, step: _job_spec.StepSpec, task: _job_spec.TaskId
    ) -> _executors.ExecutorState | None:
        """Returns the best executor on which a task can start, or None.

        Args:
            step: Step of the task; `ranks_by_common_order` holds for it.
            task: The task.
        """
        candidates = [
            each
            for each in self._with_fillers
            if self._can_start(step, task, each)
        ]
        first = self._find_first(step, task)
        if first is not None:
            candidates.append(first)
        if len(candidates) == 1:
            return candidates[0][2]
        best = min(
            candidates,
            key=lambda each: (
                _placement.placement_cost(step, each[2], self._sharing),
                each[1],
            ),
            default=None,
        )
        return best[2] if best else None

    def _find_first(
        self, step: _job_spec.StepSpec, task: _job_spec.TaskId
    ) -> _Entry | None:
        """Returns the first ordered executor on which a task can start.

        That is mostly the very first one, so the others are searched together.
        """
        if not self._ordered or self._can_start(step, task, self._ordered[0]):
            return next(iter(self._ordered), None)
        for begin in range(1, len(self._ordered), SEARCH_BATCH):
            batch = self._ordered[begin : begin + SEARCH_BATCH]
            fitting = _placement.find_startable_executors(
                step, task, [each[2] for each in batch], self._sharing
            )
            if fitting:
                return self._entry_by_id[fitting[0].listing.id]
        return None

    def _can_start(
        self, step: _job_spec.StepSpec, task: _job_spec.TaskId, entry: _Entry
    ) -> bool:
        """Returns whether a task can start on an executor."""
        return bool(
            _placement.find_startable_executors(
                step, task, (entry[2],), self._sharing
            )
        )

    def _rank(self, executor: _executors.ExecutorState) -> tuple[float, ...]:
        """Returns the part of the placement cost that depends on no step."""
        return (
            executor.consecutive_failures + executor.is_suspect,
            executor.listing.capacity.gpus > 0 and not self._uses_gpus,
            executor.serving_count == 0,
            -executor.unused_millicores,
        )


class SharedStepRanking(_placement.ExecutorRanking):
    """The ranking of executors for one step, taken from that of the pass.

    Whoever starts a task updates the ranking of the pass.

    Args:
        step: The step.
        task: Any task of the step.
        pass_ranking: Ranking of all executors of the service.
    """

    def __init__(
        self,
        step: _job_spec.StepSpec,
        task: _job_spec.TaskId,
        pass_ranking: PassRanking,
    ) -> None:
        self._step = step
        self._task = task
        self._pass_ranking = pass_ranking

    def best_executor(self) -> _executors.ExecutorState | None:
        """Returns the best executor, or None if no further task fits."""
        return self._pass_ranking.find_best_executor(self._step, self._task)

    def update_best_executor(self) -> None:
        """Does nothing, as the start has updated the ranking of the pass."""

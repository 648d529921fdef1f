"""Chooses executors for waiting tasks.

Load pattern: serving tasks reserve most of the CPU and use half of it. Fillers
use the rest, and some raise the tail latencies of the serving tasks beside
them. Serving tasks are packed by image onto few executors. A filler goes first
to serving tasks with which it does not interfere, so that executors without
serving tasks are left to the fillers that interfere with most of them.
Executors with accelerators are left to tasks that request accelerators while
other executors have capacity.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
import heapq

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _job_spec


def is_eligible(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether an executor could run a task of the step when empty.

    Checks the required label and the total capacity.
    """
    if not _has_required_label(step, executor):
        return False
    return executor.listing.capacity.covers(step.size)


def may_become_eligible(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether an executor could run a task when empty and largest."""
    if not _has_required_label(step, executor):
        return False
    return executor.largest_capacity.covers(step.size)


def _has_required_label(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether an executor has the label that a step requires."""
    return (
        not step.required_label
        or step.required_label in executor.listing.labels
    )


def has_capacity(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether an executor's free capacity fits a task of the step."""
    if not executor.free_capacity.covers(step.reserved_resources):
        return False
    if not step.fills:
        return True
    return executor.unused_millicores >= step.size.cpu_millicores


def count_fitting_tasks(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> int:
    """Returns how many tasks of a step fit into the free capacity, 1 or more.

    The executor is known to have room for one.
    """
    free, size = executor.free_capacity, step.reserved_resources
    counts = [
        available // requested
        for available, requested in (
            (free.cpu_millicores, size.cpu_millicores),
            (free.memory_mb, size.memory_mb),
            (free.gpus, size.gpus),
        )
        if requested
    ]
    if step.fills and step.size.cpu_millicores:
        counts.append(
            int(executor.unused_millicores) // step.size.cpu_millicores
        )
    if step.max_per_executor:
        counts.append(step.max_per_executor)
    return max(1, min(counts, default=1))


class StepRanking:
    """The executors on which tasks of one step can start now, best first.

    Ranking them once for all waiting tasks of a step saves a search of all
    executors for each task.

    Args:
        step: The step.
        task: Any task of the step.
        executors: The executors to rank.
        sharing: Decides where fillers may be placed.
        pace_percent: Percent of full speed at which the task is to run.
    """

    def __init__(
        self,
        step: _job_spec.StepSpec,
        task: _job_spec.TaskId,
        executors: Iterable[_executors.ExecutorState],
        sharing: _sharing.FillerController,
        pace_percent: int = _sharing.FULL_PACE_PERCENT,
    ) -> None:
        self._step = step
        self._task = task
        self._sharing = sharing
        self._heap = [
            (_placement_cost(step, each, sharing), position, each)
            for position, each in enumerate(
                startable_executors(
                    step, task, executors, sharing, pace_percent
                )
            )
        ]
        heapq.heapify(self._heap)

    def best_executor(self) -> _executors.ExecutorState | None:
        """Returns the best executor, or None if no further task fits."""
        return self._heap[0][2] if self._heap else None

    def update_best_executor(self) -> None:
        """Ranks the best executor anew after a task was started on it."""
        _, position, executor = self._heap[0]
        if startable_executors(
            self._step, self._task, (executor,), self._sharing
        ):
            cost = _placement_cost(self._step, executor, self._sharing)
            heapq.heapreplace(self._heap, (cost, position, executor))
        else:
            heapq.heappop(self._heap)


def rank_executors(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executors: Iterable[_executors.ExecutorState],
    sharing: _sharing.FillerController,
    pace_percent: int = _sharing.FULL_PACE_PERCENT,
) -> list[_executors.ExecutorState]:
    """Returns the executors on which a task can start now, best first."""
    fitting = startable_executors(step, task, executors, sharing, pace_percent)
    return sorted(
        fitting, key=lambda each: _placement_cost(step, each, sharing)
    )


def startable_executors(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executors: Iterable[_executors.ExecutorState],
    sharing: _sharing.FillerController,
    pace_percent: int = _sharing.FULL_PACE_PERCENT,
) -> list[_executors.ExecutorState]:
    """Returns the executors on which a task can start now, unsorted.

    A filler that may run at a reduced pace shares the processor time of other
    fillers, as theirs is not reserved.

    This is the scheduler's most frequent loop, so what holds for all executors
    is read once, the check that rejects most of them comes first, and it is
    `Resources.covers` without the calls.
    """
    needed = step.reserved_resources
    cpu_millicores = needed.cpu_millicores
    memory_mb = needed.memory_mb
    gpus = needed.gpus
    unused_millicores = (
        step.size.cpu_millicores
        if step.fills and pace_percent == _sharing.FULL_PACE_PERCENT
        else None
    )
    return [
        each
        for each in executors
        if (free := each.free_capacity).cpu_millicores >= cpu_millicores
        and free.memory_mb >= memory_mb
        and free.gpus >= gpus
        and (
            unused_millicores is None
            or each.unused_millicores >= unused_millicores
        )
        and is_eligible(step, each)
        and is_below_executor_limit(step, task, each)
        and (not step.fills or sharing.allows_filler(step, each, pace_percent))
    ]


def without_executors(
    executors: list[_executors.ExecutorState], avoided_ids: Set[str]
) -> list[_executors.ExecutorState]:
    """Returns the executors that a task does not avoid, or all if none.

    Attempts are limited, and the executor may be the cause of the failure.
    """
    others = [each for each in executors if each.listing.id not in avoided_ids]
    return others or executors


def choose_gang(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    count: int,
    executors: Sequence[_executors.ExecutorState],
    sharing: _sharing.FillerController,
) -> list[_executors.ExecutorState] | None:
    """Returns an executor for each gang member, or None if not all fit.

    Members that run slower across racks are placed on one rack if any has the
    capacity.
    """
    groups: list[Sequence[_executors.ExecutorState]] = [executors]
    if step.same_rack:
        racks = sorted({label for e in executors for label in e.listing.labels})
        by_rack = [
            [e for e in executors if label in e.listing.labels]
            for label in racks
        ]
        groups = [*by_rack, executors]
    for group in groups:
        chosen = _place_gang(step, task, count, group, sharing)
        if chosen is not None:
            return chosen
    return None


def _place_gang(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    count: int,
    executors: Sequence[_executors.ExecutorState],
    sharing: _sharing.FillerController,
) -> list[_executors.ExecutorState] | None:
    """Places all gang members on the given executors, or returns None."""
    chosen: list[_executors.ExecutorState] = []
    fitting = [
        each
        for each in executors
        if is_eligible(step, each) and has_capacity(step, each)
    ]
    for executor in sorted(
        fitting, key=lambda each: _placement_cost(step, each, sharing)
    ):
        if step.fills and not sharing.allows_filler(step, executor):
            continue
        fitting_count = _count_fitting_tasks(step, executor)
        if step.max_per_executor:
            used = executor.count_runs_of_step(task)
            fitting_count = min(fitting_count, step.max_per_executor - used)
        chosen += [executor] * max(0, min(fitting_count, count - len(chosen)))
        if len(chosen) == count:
            return chosen
    return None


def _count_fitting_tasks(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> int:
    """Returns how many tasks of the step fit into the free capacity."""
    free = executor.free_capacity
    requested = step.reserved_resources
    limits = [
        available // needed
        for available, needed in (
            (free.cpu_millicores, requested.cpu_millicores),
            (free.memory_mb, requested.memory_mb),
            (free.gpus, requested.gpus),
            (
                executor.unused_millicores,
                step.size.cpu_millicores if step.fills else 0,
            ),
        )
        if needed > 0
    ]
    return min(limits, default=0)


def is_below_executor_limit(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executor: _executors.ExecutorState,
) -> bool:
    """Returns whether one more task keeps the limit per executor."""
    if not step.max_per_executor:
        return True
    return executor.count_runs_of_step(task) < step.max_per_executor


def _placement_cost(
    step: _job_spec.StepSpec,
    executor: _executors.ExecutorState,
    sharing: _sharing.FillerController,
) -> tuple[float, ...]:
    """Returns the sort key of an executor for a step; lowest is best."""
    is_far_from_data = (
        bool(step.data_rack) and step.data_rack not in executor.listing.labels
    )
    wastes_gpus = executor.listing.capacity.gpus > 0 and not step.size.gpus
    health_penalty = executor.failures.in_a_row + executor.is_suspect
    if step.runs_until_cancelled:
        health_penalty += executor.holds_up_lasting_tasks
    left_millicores = executor.unused_millicores - step.size.cpu_millicores
    if step.is_serving:
        return (
            health_penalty,
            wastes_gpus,
            not sharing.fits_beside_fillers(step, executor),
            executor.serving_count == 0,
            _count_other_serving_images(step, executor),
            left_millicores,
        )
    if step.fills:
        return (
            health_penalty,
            is_far_from_data,
            wastes_gpus,
            round(sharing.expected_headroom_drop(step, executor), 1),
            executor.serving_count == 0,
            -left_millicores,
        )
    displaces_fillers = left_millicores < 0 and executor.filler_count > 0
    return (
        health_penalty,
        is_far_from_data,
        wastes_gpus,
        displaces_fillers,
        executor.serving_count == 0,
        -left_millicores,
    )


def _count_other_serving_images(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> int:
    """Returns the number of an executor's serving runs of other images."""
    return sum(
        run.step.is_serving and run.step.image != step.image
        for run in executor.run_by_key.values()
    )

"""Chooses executors for waiting tasks.

Load pattern: serving tasks book most of the processors and use half of them;
fillers use the rest, and some raise the tails of what serves beside them.
Serving tasks are packed by image onto few executors. A filler goes beside
serving tasks that it does not harm first, so that executors without serving
tasks are left to the fillers that harm most of them. Executors with
accelerators are left to tasks that ask for them while there is room elsewhere.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _job_spec


def is_eligible(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether an executor could ever run a task of the step."""
    entry = executor.entry
    if step.required_label and step.required_label not in entry.labels:
        return False
    return entry.capacity.holds(step.size)


def has_room(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> bool:
    """Returns whether a task of the step fits beside what is booked."""
    if not executor.free.holds(step.booked):
        return False
    if not step.fills:
        return True
    return executor.unused_millicores >= step.size.cpu_millicores


def choose(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executors: Iterable[_executors.ExecutorState],
    sharing: _sharing.Sharing,
) -> _executors.ExecutorState | None:
    """Returns the best executor for a task now, or None."""
    fitting = _fitting(step, task, executors, sharing)
    if not fitting:
        return None
    return min(fitting, key=lambda each: _cost(step, each, sharing))


def ranked(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executors: Iterable[_executors.ExecutorState],
    sharing: _sharing.Sharing,
) -> list[_executors.ExecutorState]:
    """Returns the executors that a task could start on now, best first."""
    fitting = _fitting(step, task, executors, sharing)
    return sorted(fitting, key=lambda each: _cost(step, each, sharing))


def _fitting(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executors: Iterable[_executors.ExecutorState],
    sharing: _sharing.Sharing,
) -> list[_executors.ExecutorState]:
    return [
        each
        for each in executors
        if is_eligible(step, each)
        and has_room(step, each)
        and _is_spread(step, task, each)
        and (not step.fills or sharing.allows(step, each))
    ]


def choose_gang(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    count: int,
    executors: Sequence[_executors.ExecutorState],
    sharing: _sharing.Sharing,
) -> list[_executors.ExecutorState] | None:
    """Returns an executor for each member, or None if they do not all fit.

    Members that work faster on one rack are put on one if it has the room.
    """
    groups: list[Sequence[_executors.ExecutorState]] = [executors]
    if step.same_rack:
        racks = sorted({label for e in executors for label in e.entry.labels})
        by_rack = [
            [e for e in executors if label in e.entry.labels] for label in racks
        ]
        groups = [*by_rack, executors]
    for group in groups:
        chosen = _fill_gang(step, task, count, group, sharing)
        if chosen is not None:
            return chosen
    return None


def _fill_gang(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    count: int,
    executors: Sequence[_executors.ExecutorState],
    sharing: _sharing.Sharing,
) -> list[_executors.ExecutorState] | None:
    chosen: list[_executors.ExecutorState] = []
    fitting = [
        each
        for each in executors
        if is_eligible(step, each) and has_room(step, each)
    ]
    for executor in sorted(
        fitting, key=lambda each: _cost(step, each, sharing)
    ):
        if step.fills and not sharing.allows(step, executor):
            continue
        here = _copies_that_fit(step, executor)
        if step.max_per_executor:
            used = executor.count_of_step(task)
            here = min(here, step.max_per_executor - used)
        chosen += [executor] * max(0, min(here, count - len(chosen)))
        if len(chosen) == count:
            return chosen
    return None


def _copies_that_fit(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> int:
    free = executor.free
    wanted = step.booked
    limits = [
        have // need
        for have, need in (
            (free.cpu_millicores, wanted.cpu_millicores),
            (free.memory_mb, wanted.memory_mb),
            (free.gpus, wanted.gpus),
            (
                executor.unused_millicores,
                step.size.cpu_millicores if step.fills else 0,
            ),
        )
        if need > 0
    ]
    return min(limits, default=0)


def _is_spread(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executor: _executors.ExecutorState,
) -> bool:
    if not step.max_per_executor:
        return True
    return executor.count_of_step(task) < step.max_per_executor


def _cost(
    step: _job_spec.StepSpec,
    executor: _executors.ExecutorState,
    sharing: _sharing.Sharing,
) -> tuple[float, ...]:
    """Returns the sort key of an executor for a step; lowest is best."""
    far = bool(step.data_rack) and step.data_rack not in executor.entry.labels
    idles_gpus = executor.entry.capacity.gpus > 0 and not step.size.gpus
    doubts = executor.failures_in_row + executor.is_suspect
    left = executor.unused_millicores - step.size.cpu_millicores
    if step.serves:
        return (
            doubts,
            idles_gpus,
            not sharing.suits(step, executor),
            executor.serving_count == 0,
            _other_images(step, executor),
            left,
        )
    if step.fills:
        return (
            doubts,
            far,
            idles_gpus,
            round(sharing.drop(step, executor), 1),
            executor.serving_count == 0,
            -left,
        )
    crowded = left < 0 and executor.filler_count > 0
    return (
        doubts,
        far,
        idles_gpus,
        crowded,
        executor.serving_count == 0,
        -left,
    )


def _other_images(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> int:
    """Returns how many serving runs of other images are here."""
    return sum(
        run.step.serves and run.step.image != step.image
        for run in executor.run_by_key.values()
    )

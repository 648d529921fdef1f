"""Preemption of long-lasting tasks by short tasks.

A lasting task runs until its job is cancelled; a short task ends by itself.

Load pattern: lasting tasks reserve nearly all CPU for a minute each, and short
urgent tasks of the same priority arrive in bursts. A short job earns several
times as much credit for a core-second. Capacity that short tasks used lately is
kept free for them for some seconds. If there is none, a lasting task is
preempted; it starts again as soon as capacity is free.
"""

from collections.abc import Iterable
import dataclasses
import math

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _job_spec

DEMAND_HALF_LIFE_S = 3.0
"""Half-life of the remembered demand of short tasks, in seconds; bursts recur
within that time."""

MAX_LASTING_WAIT_S = 1.5
"""Longest time that a task that runs until cancelled waits for capacity that is
kept for short tasks, in seconds; half of the time after which it counts as
lost."""

PREEMPTION_DELAY_S = 0.15
"""Time that a short task waits before it preempts one that runs until
cancelled, in seconds; most short tasks get free capacity within it."""

MAX_HOPELESS_WAIT_S = 5.0
"""Time that a short task waits before it preempts one that runs until cancelled
if its job is far beyond its latency objective, in seconds: others have the room
first, but lasting tasks never end by themselves."""


@dataclasses.dataclass(slots=True)
class ShortTaskDemand:
    """Decaying maximum of the CPU demand of one service's short tasks.

    Attributes:
        millicores: Remembered demand in millicores.
        updated_s: Time of the last update, in seconds.
    """

    millicores: float = 0.0
    updated_s: float = 0.0

    def update_demand(self, millicores: int, now_s: float) -> None:
        """Raises the demand to the present value, or lets it decay.

        Args:
            millicores: Present demand of the short tasks.
            now_s: Current time in seconds.
        """
        half_lives = (now_s - self.updated_s) / DEMAND_HALF_LIFE_S
        decayed = self.millicores * 0.5 ** max(0.0, half_lives)
        self.millicores = max(decayed, float(millicores))
        self.updated_s = now_s


def is_short_step(step: _job_spec.StepSpec) -> bool:
    """Returns whether a step's tasks reserve CPU and end by themselves."""
    return not step.fills and not step.runs_until_cancelled


def sum_short_and_vacating(
    executors: Iterable[_executors.ExecutorState],
) -> tuple[int, int]:
    """Returns the CPU of short runs and of lasting runs that are stopping.

    Short runs that are being stopped are left out, and so is what is over the
    capacity of an executor. Both are in millicores.
    """
    short_millicores = 0
    vacating_millicores = 0
    for executor in executors:
        short_millicores += executor.short_millicores
        vacating_millicores += max(
            0,
            executor.vacating_millicores
            + min(0, executor.free_capacity.cpu_millicores),
        )
    return short_millicores, vacating_millicores


def may_start_lasting_task(
    step: _job_spec.StepSpec,
    waited_s: float,
    *,
    free_millicores: int,
    kept_millicores: float,
) -> bool:
    """Returns whether a task that runs until cancelled may start now.

    Args:
        step: Step of the task.
        waited_s: Time for which the task has waited, in seconds.
        free_millicores: Unreserved CPU of the service's executors.
        kept_millicores: Part of it that is kept free for short tasks.
    """
    if waited_s >= MAX_LASTING_WAIT_S:
        return True
    left_millicores = free_millicores - step.size.cpu_millicores
    return left_millicores >= kept_millicores


def choose_runs_to_preempt(
    step: _job_spec.StepSpec,
    executors: Iterable[_executors.ExecutorState],
) -> list[_runs.Run]:
    """Returns the lasting runs to preempt for a short task; empty if none.

    A lasting run is of a task that runs until cancelled. They are those of one
    executor with the least CPU in all whose stop frees enough capacity for the
    task. Steps that limit how many of their tasks may be unavailable are not
    preempted.
    """
    best: list[_runs.Run] = []
    best_millicores = math.inf
    for executor in executors:
        chosen = _runs_that_make_room(step, executor)
        millicores = sum(each.step.size.cpu_millicores for each in chosen)
        if chosen and millicores < best_millicores:
            best, best_millicores = chosen, millicores
    return best


def _runs_that_make_room(
    step: _job_spec.StepSpec, executor: _executors.ExecutorState
) -> list[_runs.Run]:
    """Returns lasting runs whose stop makes room on an executor, or none.

    They are few, as each stop takes a task away from its users: the largest
    ones, and of those that make enough room as the last one the smallest.
    """
    needed = step.reserved_resources
    free = executor.free_capacity
    if not executor.listing.capacity.covers(needed):
        return []
    candidates = sorted(
        (run for run in executor.run_by_key.values() if _is_preemptible(run)),
        key=lambda each: each.step.size.cpu_millicores,
    )
    chosen: list[_runs.Run] = []
    while candidates:
        for run in candidates:
            if (free + run.step.reserved_resources).covers(needed):
                return [*chosen, run]
        largest = candidates.pop()
        chosen.append(largest)
        free += largest.step.reserved_resources
    return []


def _is_preemptible(run: _runs.Run) -> bool:
    """Returns whether a run lasts and may be stopped for a short task."""
    return (
        run.step.runs_until_cancelled
        and not run.step.may_be_away
        and run.phase is _runs.RunPhase.RUNNING
    )

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


def choose_run_to_preempt(
    step: _job_spec.StepSpec,
    executors: Iterable[_executors.ExecutorState],
) -> _runs.Run | None:
    """Returns the smallest lasting run to preempt for a short task, or None.

    A lasting run is of a task that runs until cancelled. Stopping it must free
    enough capacity for the task. Steps that limit how many of their tasks may
    be unavailable are not preempted.
    """
    best: _runs.Run | None = None
    for executor in executors:
        free = executor.free_capacity
        for run in executor.run_by_key.values():
            if not run.step.runs_until_cancelled or run.step.may_be_away:
                continue
            if run.phase is not _runs.RunPhase.RUNNING:
                continue
            if not (free + run.step.reserved_resources).covers(
                step.reserved_resources
            ):
                continue
            size = run.step.size.cpu_millicores
            if best is None or size < best.step.size.cpu_millicores:
                best = run
    return best

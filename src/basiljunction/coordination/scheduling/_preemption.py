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

HOPELESS_PREEMPTION_DELAY_S = 5.0
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A run that may be preempted.

    Attributes:
        run: The run.
        freed: What its stop frees.
    """

    run: _runs.Run
    freed: _job_spec.Resources


class PreemptionSearch:
    """Finds lasting runs of one service to preempt, in one placement pass.

    In a cell of hundreds of executors that are full, many tasks ask in each
    pass. What holds for the whole pass is derived once.
    """

    def __init__(self) -> None:
        self._candidates_by_executor: dict[str, list[_Candidate]] = {}
        self._sizes_without_room: list[_job_spec.Resources] = []

    def choose_runs(
        self,
        step: _job_spec.StepSpec,
        executors: Iterable[_executors.ExecutorState],
    ) -> list[_runs.Run]:
        """Returns the lasting runs to preempt for a short task, if any.

        A lasting run is of a task that runs until cancelled. They are those of
        one executor with the least CPU in all whose stop frees enough capacity
        for the task. Steps that limit how many of their tasks may be
        unavailable are not preempted.

        Args:
            step: Step of the task.
            executors: Executors of the service that the search is for.
        """
        needed = step.reserved_resources
        if any(needed.covers(size) for size in self._sizes_without_room):
            return []
        best: list[_runs.Run] = []
        best_millicores = math.inf
        for executor in executors:
            # Most executors of a full cell are ruled out by these.
            if _reachable_millicores(executor) < needed.cpu_millicores:
                continue
            free_millicores = executor.free_capacity.cpu_millicores
            if needed.cpu_millicores - free_millicores >= best_millicores:
                continue
            chosen = self._runs_that_make_room(needed, executor)
            millicores = sum(each.step.size.cpu_millicores for each in chosen)
            if chosen and millicores < best_millicores:
                best, best_millicores = chosen, millicores
        if not best:
            self._sizes_without_room.append(needed)
        return best

    def _runs_that_make_room(
        self,
        needed: _job_spec.Resources,
        executor: _executors.ExecutorState,
    ) -> list[_runs.Run]:
        """Returns lasting runs whose stop makes room on an executor, or none.

        They are few, as each stop takes a task away from its users: the largest
        ones, and of those that make enough room as the last one the smallest.
        """
        free = executor.free_capacity
        # This loop is run for hundreds of executors, so it adds plain numbers.
        cpu_millicores = needed.cpu_millicores - free.cpu_millicores
        memory_mb = needed.memory_mb - free.memory_mb
        gpus = needed.gpus - free.gpus
        candidates = [
            each
            for each in self._candidates(executor)
            if each.run.phase is _runs.RunPhase.RUNNING
        ]
        chosen: list[_runs.Run] = []
        while candidates:
            for candidate in candidates:
                freed = candidate.freed
                if (
                    freed.cpu_millicores >= cpu_millicores
                    and freed.memory_mb >= memory_mb
                    and freed.gpus >= gpus
                ):
                    return [*chosen, candidate.run]
            if executor.is_overbooked:
                # More would stop than the task needs, and the capacity may
                # grow back.
                return []
            largest = candidates.pop()
            chosen.append(largest.run)
            cpu_millicores -= largest.freed.cpu_millicores
            memory_mb -= largest.freed.memory_mb
            gpus -= largest.freed.gpus
        return []

    def _candidates(
        self, executor: _executors.ExecutorState
    ) -> list[_Candidate]:
        """Returns an executor's runs that may be preempted, smallest first."""
        candidates = self._candidates_by_executor.get(executor.listing.id)
        if candidates is None:
            candidates = sorted(
                (
                    _Candidate(run, run.step.reserved_resources)
                    for run in executor.run_by_key.values()
                    if _is_preemptible(run)
                ),
                key=lambda each: each.freed.cpu_millicores,
            )
            self._candidates_by_executor[executor.listing.id] = candidates
        return candidates


def _reachable_millicores(executor: _executors.ExecutorState) -> int:
    """Returns the CPU that is free once the lasting runs that go on stop."""
    return (
        executor.listing.capacity.cpu_millicores
        - executor.short_millicores
        - executor.vacating_millicores
    )


def _is_preemptible(run: _runs.Run) -> bool:
    """Returns whether a run lasts and may be stopped for a short task."""
    return (
        run.step.runs_until_cancelled
        and not run.step.may_be_away
        and run.phase is _runs.RunPhase.RUNNING
    )

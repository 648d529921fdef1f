"""Chooses executors for tasks that start apart from other unproven runs."""

from collections.abc import Iterable

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec

MAX_WAIT_S = 5.0
"""Longest time for which an executor is kept free for an isolated start, in
seconds: two renewals, after which its unproven runs are proven or gone."""

MAX_ISOLATED_FRACTION = 0.25
"""Largest fraction of a service's executors that are kept from other tasks at
the same time, so that many suspects leave room for the rest."""


class IsolatedStarts:
    """Keeps executors free for isolated starts and chooses among them.

    While an executor is isolated for a task, no other is placed on it. Runs on
    it that have passed their probation go on.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._executors_by_service: dict[
            str, list[_executors.ExecutorState]
        ] = {}
        self._kept_by_task: dict[
            _job_spec.TaskId, list[_executors.ExecutorState]
        ] = {}
        self._isolated_count_by_service: dict[str, int] = {}

    def begin_pass(self, now: _time.Now) -> None:
        """Ends waits that are over and counts the isolated executors.

        Those that accept no tasks are not kept from any.
        """
        self._kept_by_task.clear()
        self._isolated_count_by_service.clear()
        for executor in self._cell.executor_by_id.values():
            if executor.isolated_for is None:
                continue
            if not self._cell.is_task_unfinished(executor.isolated_for):
                executor.isolation_ends_s = now.boot_s
            executor.end_overdue_isolation(now.boot_s)
            if executor.isolated_for is None:
                continue
            if not self._cell.is_usable(executor, now.boot_s):
                continue
            service = executor.listing.service
            count = self._isolated_count_by_service.get(service, 0)
            self._isolated_count_by_service[service] = count + 1
            self._kept_by_task.setdefault(executor.isolated_for, []).append(
                executor
            )

    def set_executors(
        self,
        executors_by_service: dict[str, list[_executors.ExecutorState]],
    ) -> None:
        """Sets the executors of the pass, from which isolated ones are taken.

        Args:
            executors_by_service: Executors that accept new tasks and are not
                isolated.
        """
        self._executors_by_service = executors_by_service

    def choose_executor(
        self,
        step: _job_spec.StepSpec,
        task: _job_spec.TaskId,
        executors: list[_executors.ExecutorState],
        now_s: float,
        *,
        pace_percent: int = _sharing.FULL_PACE_PERCENT,
    ) -> _executors.ExecutorState | None:
        """Returns an executor for an isolated start, or keeps one free for it.

        Args:
            step: The step of the task.
            task: The task.
            executors: Executors that accept it, without isolated ones.
            now_s: The time.
            pace_percent: Percent of full speed at which it is to run.

        Returns:
            The executor; None if none that fits is without unproven runs.
        """
        kept = self._kept_by_task.get(task, [])
        if not kept and not self._may_isolate(executors):
            return None
        sharing = self._cell.sharing
        executors = [e for e in executors if e.isolated_for is None]
        executors = self._without_isolated_crashes(task, executors)
        quiet = _without_unproven_runs([*kept, *executors])
        ranked = _placement.rank_executors(
            step, task, quiet, sharing, pace_percent
        )
        if ranked:
            self._isolate((ranked[0],), task, kept, now_s)
            return ranked[0]
        if not kept:
            fitting = _placement.startable_executors(
                step, task, executors, sharing, pace_percent
            )
            if fitting:
                least = min(fitting, key=lambda e: len(e.unproven_run_by_key))
                self._isolate((least,), task, kept, now_s)
        return None

    def choose_gang(
        self,
        step: _job_spec.StepSpec,
        first: _job_spec.TaskId,
        executors: list[_executors.ExecutorState],
        now_s: float,
    ) -> list[_executors.ExecutorState] | None:
        """Returns an executor for each member of a gang, or keeps some free.

        Args:
            step: The step of the gang.
            first: The first member.
            executors: Executors that accept it, without isolated ones.
            now_s: The time.

        Returns:
            The executors; None if those without unproven runs don't fit all.
        """
        kept = self._kept_by_task.get(first, [])
        if not kept and not self._may_isolate(executors):
            return None
        sharing = self._cell.sharing
        executors = [e for e in executors if e.isolated_for is None]
        quiet = _without_unproven_runs([*kept, *executors])
        chosen = _placement.choose_gang(step, first, step.count, quiet, sharing)
        if chosen is not None:
            self._isolate(chosen, first, kept, now_s)
        elif not kept:
            later = _placement.choose_gang(
                step, first, step.count, executors, sharing
            )
            self._isolate(later or (), first, kept, now_s)
        return chosen

    def _without_isolated_crashes(
        self,
        task: _job_spec.TaskId,
        executors: list[_executors.ExecutorState],
    ) -> list[_executors.ExecutorState]:
        """Returns executors that are new evidence, or all if there is none."""
        job = self._cell.find_job(task)
        if job is None:
            return executors
        place = _cell_state.place_in_job(task)
        crashes = job.progress.crashes_by_position.get(place)
        if crashes is None:
            return executors
        crashed_ids = crashes.isolated_executor_ids
        others = [e for e in executors if e.listing.id not in crashed_ids]
        return others or executors

    def _may_isolate(self, executors: list[_executors.ExecutorState]) -> bool:
        """Returns whether one more executor may be isolated."""
        if not executors:
            return False
        service = executors[0].listing.service
        count = self._isolated_count_by_service.get(service, 0)
        total = count + len(self._executors_by_service.get(service, ()))
        return count < max(1.0, total * MAX_ISOLATED_FRACTION)

    def _isolate(
        self,
        chosen: Iterable[_executors.ExecutorState],
        task: _job_spec.TaskId,
        kept: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> None:
        """Isolates executors for a task; others that it kept become free."""
        for executor in kept:
            executor.isolated_for = None
        for executor in chosen:
            if executor.isolated_for == task:
                continue
            executor.isolated_for = task
            executor.isolation_ends_s = now_s + MAX_WAIT_S
            service = executor.listing.service
            others = self._executors_by_service.get(service, [])
            if executor in others:
                others.remove(executor)
                count = self._isolated_count_by_service.get(service, 0)
                self._isolated_count_by_service[service] = count + 1


def _without_unproven_runs(
    executors: Iterable[_executors.ExecutorState],
) -> list[_executors.ExecutorState]:
    """Returns the executors without a run that a crash may be put down to."""
    return [each for each in executors if not each.unproven_run_by_key]

"""Chooses failing executors for tasks that can start on no other."""

from collections.abc import Iterable
from collections.abc import Sequence

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _job_spec

MIN_WAIT_S = 1.0
"""Wait after which a task may start on a failing executor, in seconds: a third
of the time in which a task must start if capacity is free."""


class LastResorts:
    """The executors that are avoided for failures, for tasks without another.

    Tasks that fail by their own fault may bring all executors of a service to
    be avoided at once. A sound task is not held up by that: one task at a time
    of a job that has nothing running may start on them, and each task that runs
    until cancelled.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._executors_by_service: dict[
            str, list[_executors.ExecutorState]
        ] = {}

    def begin_pass(self, now_s: float) -> None:
        """Finds the failing executors on which tasks may start now."""
        self._executors_by_service.clear()
        for executor in self._cell.executor_by_id.values():
            if executor.isolated_for is None and is_last_resort(
                self._cell, executor, now_s
            ):
                self._executors_by_service.setdefault(
                    executor.listing.service, []
                ).append(executor)

    @property
    def services(self) -> Iterable[str]:
        """Services with such executors."""
        return self._executors_by_service.keys()

    def executors_of(self, service: str) -> list[_executors.ExecutorState]:
        """Returns the failing executors of a service."""
        return self._executors_by_service.get(service, [])

    def choose_executor(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        waited_s: float,
        now_s: float,
    ) -> _executors.ExecutorState | None:
        """Returns a failing executor for a task that fits on no other.

        It is none on which the task has failed itself.

        Args:
            job: The job.
            task: The task.
            waited_s: How long it has waited, in seconds.
            now_s: The time.

        Returns:
            The executor with the fewest failures in a row; None if none fits,
            or if the task has to wait for another.
        """
        step = job.spec.steps[task.step]
        if not may_start(job, step, waited_s):
            return None
        place = _cell_state.place_in_job(task)
        tried_ids = job.executor_ids_to_avoid(
            place
        ) | job.failed_executor_ids_by_place.get(place, set())
        executors = [
            each
            for each in self._approved_executors(job, task, now_s)
            if each.listing.id not in tried_ids
        ]
        ranking = _placement.StepRanking(
            step, task, executors, self._cell.sharing
        )
        return ranking.best_executor()

    def choose_gang(
        self,
        job: _jobs.Job,
        first: _job_spec.TaskId,
        waited_s: float,
        others: Sequence[_executors.ExecutorState],
        now_s: float,
    ) -> list[_executors.ExecutorState] | None:
        """Returns an executor for each member of a gang, some of them failing.

        Args:
            job: The job.
            first: The first member.
            waited_s: How long the last member has waited, in seconds.
            others: Executors that are not avoided.
            now_s: The time.

        Returns:
            The executors; None if they don't fit all, or if the gang has to
            wait for others.
        """
        step = job.spec.steps[first.step]
        avoided_ids = job.executor_ids_gang_avoids(
            (first.occurrence, first.step)
        )
        failing = [
            each
            for each in self._approved_executors(job, first, now_s)
            if each.listing.id not in avoided_ids
        ]
        if not failing or not may_start(job, step, waited_s):
            return None
        return _placement.choose_gang(
            step, first, step.count, [*others, *failing], self._cell.sharing
        )

    def _approved_executors(
        self, job: _jobs.Job, task: _job_spec.TaskId, now_s: float
    ) -> list[_executors.ExecutorState]:
        """Returns the failing executors that are approved for a task."""
        executors = self.executors_of(job.queue.service)
        if job.queue.approval is None:
            return executors
        key = (job.id, task.occurrence, task.step)
        return self._cell.approvals.approved_executors(key, executors, now_s)


def is_last_resort(
    cell: _cell_state.CellState,
    executor: _executors.ExecutorState,
    now_s: float,
) -> bool:
    """Returns whether nothing but failures keeps tasks off an executor."""
    return executor.failures.is_avoided(now_s) and executor.accepts_starts(
        now_s, own_delay_s=cell.own_delay_s()
    )


def may_still_start(
    cell: _cell_state.CellState,
    executor: _executors.ExecutorState,
    run: _runs.Run,
    now_s: float,
) -> bool:
    """Returns whether a run that was held may be sent to its executor."""
    if executor.is_overbooked:
        return False
    if run.is_last_resort and is_last_resort(cell, executor, now_s):
        return True
    return cell.is_usable(executor, now_s)


def may_start(
    job: _jobs.Job, step: _job_spec.StepSpec, waited_s: float
) -> bool:
    """Returns whether a task may start on a failing executor."""
    if waited_s < MIN_WAIT_S:
        return False
    return step.runs_until_cancelled or not job.running_places

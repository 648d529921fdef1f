"""Keeps the queue of tasks and gangs that are ready to be claimed."""

import xxhash

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _pending_queue
from basiljunction.state import _job
from basiljunction.state import _system

FIRST_RETRY_WAIT_S = 2.0
"""Wait after a task's first failure, in seconds; doubles with each failure."""

MAX_RETRY_WAIT_S = 300.0
"""Longest wait after a failure before the spread is applied, in seconds."""

_Phase = _job.TaskPhase


def retry_wait_s(failures: int, key: str) -> float:
    """Returns the wait before a failed task may be claimed again, in seconds.

    Args:
        failures: How often it has failed.
        key: Varies the wait by up to a quarter, so that tasks that failed
            together are spread; every instance gets the same result.
    """
    if failures == 0:
        return 0.0
    wait_s = min(MAX_RETRY_WAIT_S, FIRST_RETRY_WAIT_S * 2.0 ** (failures - 1))
    hash_fraction = xxhash.xxh32_intdigest(key.encode()) / 2**32
    return float(wait_s * (0.75 + hash_fraction / 2))


def preference_rank(instances: list[str], instance: str, key: str) -> int:
    """Returns how many instances are preferred to this one for a key.

    Instances are ordered by a hash of their name and the key, so that all
    instances agree and the preferences for different keys are spread.
    """
    own_hash = xxhash.xxh32_intdigest(f"{instance}|{key}".encode())
    return sum(
        xxhash.xxh32_intdigest(f"{other}|{key}".encode()) > own_hash
        for other in instances
        if other != instance
    )


class ReadyUnitIndex:
    """Queue of units that are ready to be claimed, now or after a wait.

    A unit is a single task, or the tasks of a gang that are claimed together.

    Args:
        context: Shared tables.

    Attributes:
        queue: The queue.
    """

    def __init__(self, context: _batch_context.BatchContext) -> None:
        self._context = context
        self.queue = _pending_queue.PendingQueue()
        self._instances: list[str] = []
        self._dependents_by_task: dict[str, list[str]] = {}

    def rebuild(self) -> None:
        """Rebuilds the queue from the whole state."""
        self.queue = _pending_queue.PendingQueue()
        self._dependents_by_task = {}
        self.update_instances()
        for job_id in self._context.state.job_by_id:
            self.add_job(job_id)

    def update_instances(self) -> None:
        """Updates the instances that may claim, those that are not leaving."""
        members = self._context.state.member_by_instance.values()
        self._instances = [
            member.instance for member in members if not member.leaving
        ]

    def add_job(self, job_id: str) -> None:
        """Indexes a job's dependencies and queues its tasks that are ready."""
        entry = self._context.state.job_by_id[job_id]
        if entry.open_tasks == 0:
            return
        for spec in entry.job.tasks:
            task_id = _job.task_id(job_id, spec.name)
            for name in spec.after:
                prerequisite_id = _job.task_id(job_id, name)
                dependents = self._dependents_by_task.setdefault(
                    prerequisite_id, []
                )
                dependents.append(task_id)
        for spec in entry.job.tasks:
            self.refresh_unit(_job.task_id(job_id, spec.name))

    def remove_job(self, job_id: str) -> None:
        """Removes a job whose tasks have all ended."""
        entry = self._context.state.job_by_id.get(job_id)
        if entry is None:
            return
        for spec in entry.job.tasks:
            task_id = _job.task_id(job_id, spec.name)
            self._dependents_by_task.pop(task_id, None)
            self.queue.discard(task_id)
            self.queue.discard(_batch_model.gang_key(job_id, spec))

    def refresh_dependents(self, task_id: str) -> None:
        """Queues the tasks that only waited for a task which has completed."""
        for dependent_id in self._dependents_by_task.pop(task_id, ()):
            self.refresh_unit(dependent_id)

    def refresh_unit(self, task_id: str, wait_s: float = 0.0) -> None:
        """Queues the unit of a task if it is ready, or else removes it.

        Args:
            task_id: The task.
            wait_s: Least wait before it may be claimed, in seconds.
        """
        state = self._context.state
        task = state.task_by_id.get(task_id)
        if task is None:
            self.queue.discard(task_id)
            return
        gang_key = _batch_model.gang_key(task.job_id, task.spec)
        key = gang_key or task_id
        unfinished_tasks = (
            self._unfinished_gang_tasks(task) if gang_key else {task_id: task}
        )
        claimable_tasks = {
            each: entry
            for each, entry in unfinished_tasks.items()
            if not gang_key or entry.phase is _Phase.PENDING
        }
        is_partly_claimed = len(claimable_tasks) < len(unfinished_tasks)
        is_ready = bool(claimable_tasks) and all(
            self._is_task_ready(each) for each in claimable_tasks.values()
        )
        if not is_ready:
            self.queue.discard(key)
            return
        unit = self._build_unit(key, claimable_tasks, wait_s)
        if unit is None:
            return
        if is_partly_claimed:
            # The gang's claimed tasks hold capacity while they wait, so the
            # rest may be claimed one by one at once.
            unit.ready_boot_s -= self._context.policy.gang_split_after_s
        self.queue.add(unit)

    def _unfinished_gang_tasks(
        self, task: _system.TaskStatus
    ) -> dict[str, _system.TaskStatus]:
        """Returns the tasks of a gang that have not ended, by task id.

        The result is empty once the gang has started: while its other tasks
        run, there is nothing to place.
        """
        state = self._context.state
        entry = state.job_by_id[task.job_id]
        job = entry.job
        if task.spec.gang in entry.started_gangs:
            return {}
        found = {}
        for spec in job.tasks:
            if spec.gang != task.spec.gang:
                continue
            task_id = _job.task_id(task.job_id, spec.name)
            other = state.task_by_id[task_id]
            if other.phase not in (_Phase.COMPLETED, _Phase.ENDED):
                found[task_id] = other
        return found

    def _is_task_ready(self, task: _system.TaskStatus) -> bool:
        """Returns whether a task is pending and its prerequisites completed."""
        if task.phase is not _Phase.PENDING:
            return False
        tasks = self._context.state.task_by_id
        return all(
            tasks[_job.task_id(task.job_id, name)].phase is _Phase.COMPLETED
            for name in task.spec.after
        )

    def _build_unit(
        self, key: str, tasks: dict[str, _system.TaskStatus], wait_s: float
    ) -> _pending_queue.PlacementUnit | None:
        """Returns a queue unit, or None if the contract dropped the class."""
        context = self._context
        first = next(iter(tasks.values()))
        job = context.state.job_by_id[first.job_id].job
        work_class = context.find_work_class(job)
        if work_class is None:
            return None
        failures = max(len(task.failed_machines) for task in tasks.values())
        wait_s = max(wait_s, retry_wait_s(failures, key))
        rank = preference_rank(self._instances, context.instance, key)
        rank = min(rank, context.policy.max_preference_rank)
        ready_s = context.now.boot_s + wait_s
        return _pending_queue.PlacementUnit(
            key=key,
            task_ids=tuple(tasks),
            demands=tuple(task.spec.demand for task in tasks.values()),
            customer=job.customer,
            class_name=job.class_name,
            priority=work_class.priority,
            deadline_wall_s=job.submitted_wall_s + work_class.deadline_s,
            preference_rank=rank,
            ready_boot_s=ready_s,
            eligible_boot_s=ready_s + rank * context.policy.rank_delay_s,
            avoided_workers=frozenset(
                machine
                for task in tasks.values()
                for machine in task.failed_machines
            ),
        )

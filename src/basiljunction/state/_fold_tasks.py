"""Fold rules for jobs and tasks: one claim per attempt, within the quota."""

from collections.abc import Callable
from typing import Any

from basiljunction.state import _fold_jobs
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict

MAX_FAILED_MACHINES = 16
"""Maximum number of recent failures, as worker ids, kept per task."""

ENDED_JOB_RETENTION_S = 86_400.0
"""Seconds for which a job is kept after its last task ended."""

MAX_ENDED_JOBS = 20_000
"""Maximum number of ended jobs kept; above it, the oldest are deleted."""

_Reason = _outcomes.Reason

_AttemptEndRecord = (
    _records.TaskEvicted
    | _records.TaskReleased
    | _records.TaskFailed
    | _records.TaskCompleted
)
"""A record that ends a claimed attempt of a task."""

_AttemptEndHandler = Callable[
    [_system.SystemState, _system.TaskStatus, Any, _verdict.RecordOrigin], None
]
"""Applies the end of an attempt, which has already been validated."""


def _fold_job_submitted(
    state: _system.SystemState,
    record: _records.JobSubmitted,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Adds a job and its tasks, unless the job can never run."""
    job = record.job
    if job.job_id in state.job_by_id:
        return _Reason.DUPLICATE
    rejected = _fold_jobs.find_job_rejection(state, job)
    if rejected is not None:
        return rejected
    _delete_oldest_ended_jobs(state)
    state.job_by_id[job.job_id] = _system.JobStatus(
        job=job, open_tasks=len(job.tasks), changed_wall_s=origin.wall_s
    )
    for spec in job.tasks:
        entry = _system.TaskStatus(
            spec=spec, job_id=job.job_id, changed_wall_s=origin.wall_s
        )
        state.task_by_id[_job.task_id(job.job_id, spec.name)] = entry
    return None


def _fold_job_cancelled(
    state: _system.SystemState,
    record: _records.JobCancelled,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Marks a job as cancelled and ends its pending tasks.

    Claimed tasks end when their attempt ends.
    """
    job = state.job_by_id.get(record.job_id)
    if job is None or job.job.customer != record.customer:
        return _Reason.UNKNOWN_SUBJECT
    if job.cancelled or job.open_tasks == 0:
        return _Reason.ALREADY_ENDED
    job.cancelled = True
    job.changed_wall_s = origin.wall_s
    for spec in job.job.tasks:
        task = state.task_by_id[_job.task_id(record.job_id, spec.name)]
        if task.phase is _job.TaskPhase.PENDING:
            _end_task(state, task, _Reason.CANCELLED, origin)
    return None


def _fold_task_claimed(
    state: _system.SystemState,
    record: _records.TaskClaimed,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Marks a task as claimed for a worker and adds it to the usage."""
    task = state.task_by_id.get(record.task_id)
    if task is None:
        return _Reason.UNKNOWN_SUBJECT
    rejected = (
        _check_attempt(task, record.attempt)
        or _check_machine_owner(state, record, origin)
        or _check_dependencies(state, task)
    )
    if rejected is not None:
        return rejected
    customer = state.job_by_id[task.job_id].job.customer
    if not _fits_quota(state, customer, task.spec.demand):
        return _Reason.QUOTA_EXCEEDED
    _adjust_usage(state, customer, task.spec.demand, sign=1)
    task.phase = _job.TaskPhase.CLAIMED
    task.attempt = record.attempt
    task.machine = record.machine
    task.changed_wall_s = origin.wall_s
    _update_started_gangs(state, task)
    return None


def _check_attempt(
    task: _system.TaskStatus, attempt: int
) -> _outcomes.Reason | None:
    """Returns why an attempt of a task cannot be claimed, or None if it can."""
    if task.phase in (_job.TaskPhase.COMPLETED, _job.TaskPhase.ENDED):
        return _Reason.ALREADY_ENDED
    if task.phase is _job.TaskPhase.CLAIMED or attempt != task.attempt + 1:
        return _Reason.STALE_ATTEMPT
    return None


def _check_machine_owner(
    state: _system.SystemState,
    record: _records.TaskClaimed,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Returns why the author may not claim tasks for a machine, or None."""
    machine = state.machine_by_id.get(record.machine)
    if machine is None:
        return _Reason.UNKNOWN_SUBJECT
    if machine.epoch != record.epoch:
        return _Reason.STALE_EPOCH
    author = origin.author
    owner = (machine.owner, machine.owner_incarnation)
    if owner != (author.name, author.incarnation):
        return _Reason.NOT_OWNER
    return None


def _check_dependencies(
    state: _system.SystemState, task: _system.TaskStatus
) -> _outcomes.Reason | None:
    """Returns a reason if a task still has to wait for other tasks, or None."""
    for name in task.spec.after:
        earlier = state.task_by_id[_job.task_id(task.job_id, name)]
        if earlier.phase is not _job.TaskPhase.COMPLETED:
            return _Reason.DEPENDENCY_OPEN
    gangs = state.job_by_id[task.job_id].started_gangs
    if task.spec.gang in gangs:
        # The other tasks of its gang run without it and must stop first.
        return _Reason.DEPENDENCY_OPEN
    return None


def _update_started_gangs(
    state: _system.SystemState, task: _system.TaskStatus
) -> None:
    """Updates whether the gang of a task counts as started.

    A gang starts when none of its tasks is pending, and stops when none is
    claimed.
    """
    gang = task.spec.gang
    if not gang:
        return
    job = state.job_by_id[task.job_id]
    phases = {
        state.task_by_id[_job.task_id(task.job_id, spec.name)].phase
        for spec in job.job.tasks
        if spec.gang == gang
    }
    if _job.TaskPhase.CLAIMED not in phases:
        job.started_gangs.discard(gang)
    elif _job.TaskPhase.PENDING not in phases:
        job.started_gangs.add(gang)


def _fold_task_evicted(
    state: _system.SystemState,
    task: _system.TaskStatus,
    record: _records.TaskEvicted,
    origin: _verdict.RecordOrigin,
) -> None:
    """Stores the checkpoint of an evicted task and makes it pending again.

    Clears earlier failures if the checkpoint holds more progress than before.
    """
    if record.progress_s > task.progress_s:
        task.failed_machines.clear()
    task.checkpoint = record.checkpoint
    task.progress_s = record.progress_s
    _return_to_pending(state, task, origin)


def _fold_task_released(
    state: _system.SystemState,
    task: _system.TaskStatus,
    _record: _records.TaskReleased,
    origin: _verdict.RecordOrigin,
) -> None:
    """Makes a task pending again whose attempt certainly does not run."""
    _return_to_pending(state, task, origin)


def _fold_task_failed(
    state: _system.SystemState,
    task: _system.TaskStatus,
    record: _records.TaskFailed,
    origin: _verdict.RecordOrigin,
) -> None:
    """Records a failure and makes the task pending, or ends it as poison."""
    task.failed_machines.append(record.machine)
    del task.failed_machines[:-MAX_FAILED_MACHINES]
    _return_to_pending(state, task, origin)
    if task.phase is _job.TaskPhase.PENDING and _is_poison(state, task):
        _end_task(state, task, _Reason.POISON, origin)


def _fold_task_completed(
    state: _system.SystemState,
    task: _system.TaskStatus,
    _record: _records.TaskCompleted,
    origin: _verdict.RecordOrigin,
) -> None:
    """Marks a task as completed and subtracts it from the usage."""
    job = state.job_by_id[task.job_id]
    _adjust_usage(state, job.job.customer, task.spec.demand, sign=-1)
    task.phase = _job.TaskPhase.COMPLETED
    _update_started_gangs(state, task)
    _decrement_open_tasks(state, job, origin)
    task.changed_wall_s = origin.wall_s


def _fold_task_ended(
    state: _system.SystemState,
    record: _records.TaskEnded,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Ends a task that will not complete, with the recorded reason."""
    task = state.task_by_id.get(record.task_id)
    if task is None:
        return _Reason.UNKNOWN_SUBJECT
    if task.phase in (_job.TaskPhase.COMPLETED, _job.TaskPhase.ENDED):
        return _Reason.ALREADY_ENDED
    if task.attempt != record.attempt:
        return _Reason.STALE_ATTEMPT
    if task.phase is _job.TaskPhase.CLAIMED:
        if not _is_worker_owner(state, task, origin):
            return _Reason.NOT_OWNER
        customer = state.job_by_id[task.job_id].job.customer
        _adjust_usage(state, customer, task.spec.demand, sign=-1)
    _end_task(state, task, record.reason, origin)
    return None


def _build_attempt_end_handler(
    handler: _AttemptEndHandler,
) -> _verdict.FoldHandler:
    """Returns a fold rule that accepts the end of a claimed attempt.

    The rule rejects records for other attempts, and records whose author does
    not own the attempt's worker.
    """

    def fold(
        state: _system.SystemState,
        record: _AttemptEndRecord,
        origin: _verdict.RecordOrigin,
    ) -> _outcomes.Reason | None:
        """Checks the attempt and the author, then applies the handler."""
        task = _find_claimed_task(state, record.task_id, record.attempt)
        if task is None:
            return _Reason.STALE_ATTEMPT
        if not _is_worker_owner(state, task, origin):
            return _Reason.NOT_OWNER
        handler(state, task, record, origin)
        return None

    return fold


def _find_claimed_task(
    state: _system.SystemState, task_id: str, attempt: int
) -> _system.TaskStatus | None:
    """Returns the task if this attempt of it is claimed, else None."""
    task = state.task_by_id.get(task_id)
    if task is None or task.phase is not _job.TaskPhase.CLAIMED:
        return None
    return task if task.attempt == attempt else None


def _return_to_pending(
    state: _system.SystemState,
    task: _system.TaskStatus,
    origin: _verdict.RecordOrigin,
) -> None:
    """Makes a claimed task pending, or ends it if its job was cancelled."""
    job = state.job_by_id[task.job_id]
    _adjust_usage(state, job.job.customer, task.spec.demand, sign=-1)
    task.machine = ""
    task.changed_wall_s = origin.wall_s
    task.phase = _job.TaskPhase.PENDING
    if job.cancelled:
        _end_task(state, task, _Reason.CANCELLED, origin)
    _update_started_gangs(state, task)


def _end_task(
    state: _system.SystemState,
    task: _system.TaskStatus,
    reason: str,
    origin: _verdict.RecordOrigin,
) -> None:
    """Ends a task without completion, and the tasks that depend on it."""
    job = state.job_by_id[task.job_id]
    task.phase = _job.TaskPhase.ENDED
    _update_started_gangs(state, task)
    task.machine = ""
    task.reason = str(reason)
    task.changed_wall_s = origin.wall_s
    _decrement_open_tasks(state, job, origin)
    _end_dependents(state, task, job, origin)


def _end_dependents(
    state: _system.SystemState,
    failed: _system.TaskStatus,
    job: _system.JobStatus,
    origin: _verdict.RecordOrigin,
) -> None:
    """Ends the pending tasks that depend on a failed one."""
    for spec in job.job.tasks:
        if failed.spec.name not in spec.after:
            continue
        task = state.task_by_id[_job.task_id(failed.job_id, spec.name)]
        if task.phase is _job.TaskPhase.PENDING:
            _end_task(state, task, _Reason.DEPENDENCY_FAILED, origin)


def _decrement_open_tasks(
    state: _system.SystemState,
    job: _system.JobStatus,
    origin: _verdict.RecordOrigin,
) -> None:
    """Counts one open task less in a job; notes the time when none is left."""
    job.open_tasks -= 1
    job.changed_wall_s = origin.wall_s
    if job.open_tasks == 0:
        state.ended_wall_s_by_job[job.job.job_id] = state.wall_s


def _delete_oldest_ended_jobs(state: _system.SystemState) -> None:
    """Deletes ended jobs that are too old or too many, oldest first.

    Insertion order is age.
    """
    ended = state.ended_wall_s_by_job
    while ended:
        job_id = next(iter(ended))
        is_old = ended[job_id] <= state.wall_s - ENDED_JOB_RETENTION_S
        if not is_old and len(ended) <= MAX_ENDED_JOBS:
            return
        del ended[job_id]
        job = state.job_by_id.pop(job_id)
        for spec in job.job.tasks:
            del state.task_by_id[_job.task_id(job_id, spec.name)]


def _is_poison(state: _system.SystemState, task: _system.TaskStatus) -> bool:
    """Returns whether a task failed on as many workers as its class allows.

    Standing tasks are never poison. Nor are tasks whose class is no longer in
    the contract.
    """
    job = state.job_by_id[task.job_id].job
    contract = state.contract_by_customer[job.customer].contract
    work_class = contract.class_by_name.get(job.class_name)
    if work_class is None or work_class.standing:
        return False
    return len(set(task.failed_machines)) >= work_class.max_attempts


def _is_worker_owner(
    state: _system.SystemState,
    task: _system.TaskStatus,
    origin: _verdict.RecordOrigin,
) -> bool:
    """Returns whether the author owns the worker of a claimed attempt.

    Returns True if the worker is no longer registered. The records of an
    earlier owner are not accepted, as it may be wrong about an attempt whose
    lease its successor has renewed.
    """
    machine = state.machine_by_id.get(task.machine)
    if machine is None:
        return True
    author = origin.author
    owner = (machine.owner, machine.owner_incarnation)
    return owner == (author.name, author.incarnation)


def _fits_quota(
    state: _system.SystemState, customer: str, demand: _job.ResourceDemand
) -> bool:
    """Returns whether a customer's quota has capacity for one more task."""
    quota = state.contract_by_customer[customer].contract.quota
    usage = state.usage_by_customer.setdefault(
        customer, _system.CustomerUsage()
    )
    return (
        usage.millicores + demand.millicores <= quota.millicores
        and usage.memory_mib + demand.memory_mib <= quota.memory_mib
        and usage.accelerators + demand.accelerators <= quota.accelerators
        and usage.tasks + 1 <= quota.tasks
    )


def _adjust_usage(
    state: _system.SystemState,
    customer: str,
    demand: _job.ResourceDemand,
    *,
    sign: int,
) -> None:
    """Adds a task's demand to a customer's usage, or subtracts it.

    Args:
        state: Changed in place.
        customer: The customer whose task it is.
        demand: Declared demand of the task.
        sign: 1 to add, -1 to subtract.
    """
    usage = state.usage_by_customer.setdefault(
        customer, _system.CustomerUsage()
    )
    usage.millicores += sign * demand.millicores
    usage.memory_mib += sign * demand.memory_mib
    usage.accelerators += sign * demand.accelerators
    usage.tasks += sign


HANDLER_BY_TYPE: dict[type, _verdict.FoldHandler] = {
    _records.JobSubmitted: _fold_job_submitted,
    _records.JobCancelled: _fold_job_cancelled,
    _records.TaskClaimed: _fold_task_claimed,
    _records.TaskEvicted: _build_attempt_end_handler(_fold_task_evicted),
    _records.TaskReleased: _build_attempt_end_handler(_fold_task_released),
    _records.TaskFailed: _build_attempt_end_handler(_fold_task_failed),
    _records.TaskCompleted: _build_attempt_end_handler(_fold_task_completed),
    _records.TaskEnded: _fold_task_ended,
}
"""Fold rule for each type of job and task record."""

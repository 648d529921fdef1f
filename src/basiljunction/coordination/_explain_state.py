"""Explains the phase of a task or job and what it waits for.

Everything here is derived from the replicated state, so any instance gives the
same answer.
"""

import dataclasses

from basiljunction.coordination import _batch_index
from basiljunction.state import _contract
from basiljunction.state import _fold_jobs
from basiljunction.state import _hours
from basiljunction.state import _job
from basiljunction.state import _system

MAX_TASKS_SHOWN = 20
"""Maximum number of open tasks of a job that are described one by one."""

_Phase = _job.TaskPhase


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One statement about the current condition of a task or job.

    Attributes:
        subject: Task or job id.
        decision: Kind of finding in kebab case, such as ``waits-for``.
        detail: Human-readable text of the finding.
    """

    subject: str
    decision: str
    detail: str


def explain_from_state(
    state: _system.SystemState, subject: str, wall_s: float
) -> list[Finding]:
    """Returns findings on a task or job from the replicated state alone.

    Args:
        state: State computed from the log.
        subject: Task or job id.
        wall_s: Current Unix time in seconds.
    """
    if subject in state.task_by_id:
        return _describe_task(state, subject, wall_s)
    if subject in state.job_by_id:
        return _describe_job(state, subject, wall_s)
    detail = "no such task or job is known, or it ended more than a day ago"
    return [Finding(subject, "unknown", detail)]


def _describe_job(
    state: _system.SystemState, job_id: str, wall_s: float
) -> list[Finding]:
    """Returns the task counts of a job and findings on its open tasks."""
    job_entry = state.job_by_id[job_id]
    task_ids = [_job.task_id(job_id, spec.name) for spec in job_entry.job.tasks]
    count_by_phase = dict.fromkeys(_Phase, 0)
    for task_id in task_ids:
        count_by_phase[state.task_by_id[task_id].phase] += 1
    counts = ", ".join(
        f"{count} {phase}" for phase, count in count_by_phase.items() if count
    )
    cancelled = "; cancelled" if job_entry.cancelled else ""
    owner = f"{job_entry.job.customer}/{job_entry.job.class_name}"
    findings = [Finding(job_id, "job", f"{owner}: {counts}{cancelled}")]
    open_task_ids = [
        task_id
        for task_id in task_ids
        if state.task_by_id[task_id].phase in (_Phase.PENDING, _Phase.CLAIMED)
    ]
    for task_id in open_task_ids[:MAX_TASKS_SHOWN]:
        findings.extend(_describe_task(state, task_id, wall_s))
    more = len(open_task_ids) - MAX_TASKS_SHOWN
    if more > 0:
        findings.append(Finding(job_id, "job", f"and {more} more open tasks"))
    return findings


def _describe_task(
    state: _system.SystemState, task_id: str, wall_s: float
) -> list[Finding]:
    """Returns the phase of a task and what it waits for."""
    task = state.task_by_id[task_id]
    job = state.job_by_id[task.job_id].job
    contract = state.contract_by_customer[job.customer].contract
    since = _hours.format_local_time(contract.hours, task.changed_wall_s)
    findings = [Finding(task_id, str(task.phase), _task_details(task, since))]
    if task.phase is _Phase.PENDING:
        findings.extend(
            Finding(task_id, "waits-for", wait)
            for wait in _wait_reasons(state, task, contract, wall_s)
        )
    if task.phase is _Phase.CLAIMED:
        machine = state.machine_by_id.get(task.machine)
        owner = machine.owner if machine else ""
        detail = f"{task.machine} is owned by {owner or 'no instance now'}"
        findings.append(Finding(task_id, "owner", detail))
    return findings


def _task_details(task: _system.TaskStatus, since: str) -> str:
    """Returns attempt, worker, checkpoint and failures of a task as text."""
    parts = [f"since {since}", f"attempt {task.attempt}"]
    if task.machine:
        parts.append(f"on {task.machine}")
    if task.progress_s:
        parts.append(f"{task.progress_s:.0f} s saved in {task.checkpoint}")
    if task.failed_machines:
        parts.append("failed on " + ", ".join(task.failed_machines))
    if task.reason:
        parts.append(f"reason {task.reason}")
    return "; ".join(parts)


def _wait_reasons(
    state: _system.SystemState,
    task: _system.TaskStatus,
    contract: _contract.Contract,
    wall_s: float,
) -> list[str]:
    """Returns all conditions that keep a pending task from starting."""
    job = state.job_by_id[task.job_id].job
    waits = _dependency_waits(state, task)
    work_class = contract.class_by_name.get(job.class_name)
    if work_class is None:
        return [*waits, f"the contract no longer has class {job.class_name}"]
    gang = _pending_gang_tasks(state, task, job)
    waits.extend(_quota_waits(state, contract, [each.spec for each in gang]))
    if not work_class.outside_hours:
        waits.extend(_hours_waits(contract, wall_s))
    waits.extend(_capacity_waits(state, task))
    retry_s = task.changed_wall_s - wall_s
    retry_s += _batch_index.retry_wait_s(
        len(task.failed_machines),
        _job.task_id(task.job_id, task.spec.name),
    )
    if task.failed_machines and retry_s > 0:
        waits.append(f"retry in {retry_s:.0f} s")
    if len(gang) > 1:
        waits.append(f"room for all {len(gang)} tasks of gang {task.spec.gang}")
    return waits or [
        "a worker's owner to claim it; no other condition is unmet"
    ]


def _pending_gang_tasks(
    state: _system.SystemState, task: _system.TaskStatus, job: _job.Job
) -> list[_system.TaskStatus]:
    """Returns the pending tasks of a task's gang, or the task itself.

    The tasks of a gang start together or not at all.
    """
    if not task.spec.gang:
        return [task]
    entries = [
        state.task_by_id[_job.task_id(task.job_id, spec.name)]
        for spec in job.tasks
        if spec.gang == task.spec.gang
    ]
    return [each for each in entries if each.phase is _Phase.PENDING]


def _dependency_waits(
    state: _system.SystemState, task: _system.TaskStatus
) -> list[str]:
    """Returns the tasks that must complete first and their phases."""
    waits = []
    for name in task.spec.after:
        task_id = _job.task_id(task.job_id, name)
        earlier = state.task_by_id[task_id]
        if earlier.phase is not _Phase.COMPLETED:
            waits.append(f"{task_id}, which is {earlier.phase}")
    return waits


def _quota_waits(
    state: _system.SystemState,
    contract: _contract.Contract,
    specs: list[_job.TaskSpec],
) -> list[str]:
    """Returns the quotas that starting these tasks would exceed."""
    usage = state.usage_by_customer.get(
        contract.customer, _system.CustomerUsage()
    )
    quota = contract.quota
    waits = []
    cores = sum(spec.demand.millicores for spec in specs)
    if usage.millicores + cores > quota.millicores:
        used, limit = usage.millicores / 1000, quota.millicores / 1000
        waits.append(f"quota cores {used:g} of {limit:g} used")
    memory = sum(spec.demand.memory_mib for spec in specs)
    if usage.memory_mib + memory > quota.memory_mib:
        waits.append(
            f"quota memory {usage.memory_mib} of {quota.memory_mib} MiB used"
        )
    accelerators = sum(spec.demand.accelerators for spec in specs)
    if usage.accelerators + accelerators > quota.accelerators:
        waits.append(
            f"quota accelerators {usage.accelerators} of "
            f"{quota.accelerators} used"
        )
    if usage.tasks + len(specs) > quota.tasks:
        waits.append(f"quota tasks {usage.tasks} of {quota.tasks} used")
    return waits


def _hours_waits(contract: _contract.Contract, wall_s: float) -> list[str]:
    """Returns why office hours keep a task from starting, if they do."""
    window = _hours.current_or_next_window(contract.hours, wall_s)
    if window is None:
        return ["office hours, which never open"]
    opens_s, closes_s = window
    if opens_s > wall_s:
        return [
            f"next window {_hours.format_local_time(contract.hours, opens_s)}"
        ]
    left_s = closes_s - wall_s
    if left_s < 900:
        return [f"enough time: office hours close in {left_s:.0f} s"]
    return []


def _capacity_waits(
    state: _system.SystemState, task: _system.TaskStatus
) -> list[str]:
    """Returns which free worker capacity a task lacks, if any."""
    demand = task.spec.demand
    if not _fold_jobs.fits_some_worker(state, demand):
        return ["a worker that is large enough; none is registered"]
    claimed_by_machine = _claimed_by_machine(state)
    owned_fits = 0
    unowned_fits = 0
    for machine_id, machine in state.machine_by_id.items():
        registered = machine.registered
        claimed = claimed_by_machine.get(machine_id, (0, 0, 0))
        fits = (
            demand.millicores + claimed[0] <= registered.millicores
            and demand.memory_mib + claimed[1] <= registered.memory_mib
            and demand.accelerators + claimed[2] <= registered.accelerators
        )
        owned_fits += fits and bool(machine.owner)
        unowned_fits += fits and not machine.owner
    waits = []
    if not owned_fits:
        waits.append("room: no owned worker has enough free capacity")
    if unowned_fits and not owned_fits:
        waits.append(
            f"an owner for {unowned_fits} workers with enough free capacity"
        )
    return waits


def _claimed_by_machine(
    state: _system.SystemState,
) -> dict[str, tuple[int, int, int]]:
    """Returns millicores, MiB and accelerators of claimed tasks by worker."""
    used: dict[str, tuple[int, int, int]] = {}
    for task in state.task_by_id.values():
        if task.phase is not _Phase.CLAIMED:
            continue
        cores, memory, accelerators = used.get(task.machine, (0, 0, 0))
        demand = task.spec.demand
        used[task.machine] = (
            cores + demand.millicores,
            memory + demand.memory_mib,
            accelerators + demand.accelerators,
        )
    return used

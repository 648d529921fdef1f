"""Validates a submitted job against its contract and the workers."""

import graphlib

from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _limits
from basiljunction.state import _outcomes
from basiljunction.state import _system

MAX_TASKS_PER_JOB = 10_000
"""Maximum number of tasks in one job."""

_Reason = _outcomes.Reason


def find_job_rejection(
    state: _system.SystemState, job: _job.Job
) -> _outcomes.Reason | None:
    """Returns why a job can never run as submitted, or None if it can."""
    in_force = state.contract_by_customer.get(job.customer)
    if in_force is None:
        return _Reason.NO_CONTRACT
    work_class = in_force.contract.class_by_name.get(job.class_name)
    if work_class is None or work_class.kind is not _contract.WorkKind.BATCH:
        return _Reason.UNKNOWN_CLASS
    if not _is_well_formed(job):
        return _Reason.INVALID_JOB
    if _limits.find_quota_violations(in_force.contract, job):
        return _Reason.NEVER_FITS
    demands = {spec.demand for spec in job.tasks}
    if not all(fits_some_worker(state, demand) for demand in demands):
        return _Reason.NEVER_FITS
    return None


def fits_some_worker(
    state: _system.SystemState, demand: _job.ResourceDemand
) -> bool:
    """Returns whether an empty worker has the capacity for a demand.

    Returns True while no machine is registered, as the capacity is unknown.
    """
    if not state.machine_by_id:
        return True
    return any(
        machine.registered.worker_address
        and demand.millicores <= machine.registered.millicores
        and demand.memory_mib <= machine.registered.memory_mib
        and demand.accelerators <= machine.registered.accelerators
        for machine in state.machine_by_id.values()
    )


def _is_well_formed(job: _job.Job) -> bool:
    """Returns whether a job's tasks are valid.

    Names must be unique, sizes valid, and dependencies known, free of cycles
    and outside the task's own gang.
    """
    names = {spec.name for spec in job.tasks}
    if (
        not names
        or len(names) != len(job.tasks)
        or len(names) > MAX_TASKS_PER_JOB
    ):
        return False
    if not all(
        _has_valid_sizes(spec) and names.issuperset(spec.after)
        for spec in job.tasks
    ):
        return False
    graph = {spec.name: spec.after for spec in job.tasks}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError:
        return False
    return not any(_depends_on_own_gang(job, spec) for spec in job.tasks)


def _has_valid_sizes(spec: _job.TaskSpec) -> bool:
    """Returns whether demand and run time are valid and demand is not zero."""
    demand = spec.demand
    sizes = (demand.millicores, demand.memory_mib, demand.accelerators)
    return min(sizes) >= 0 and max(sizes) > 0 and spec.run_time_s >= 0


def _depends_on_own_gang(job: _job.Job, spec: _job.TaskSpec) -> bool:
    """Returns whether a task depends on a task of its own gang.

    Such a task could never start, as a gang's tasks start together.
    """
    if not spec.gang:
        return False
    gang = {other.name for other in job.tasks if other.gang == spec.gang}
    return not gang.isdisjoint(spec.after)

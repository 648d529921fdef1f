"""Builds HTTP API answers from the folded state, which it never changes."""

import collections

from basiljunction.protocol import _api_models
from basiljunction.protocol import _contract_document
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _limits
from basiljunction.state import _system


def contract_document(
    contract: _contract.Contract,
) -> _contract_document.ContractDocument:
    """Returns an accepted contract as a document, for publication."""
    return _contract_document.document_from_contract(contract)


def contract_answer(
    in_force: _system.ContractInForce,
    *,
    with_limits: bool = False,
    with_history: bool = False,
) -> _api_models.ContractAnswer:
    """Returns the API answer that describes a contract in force.

    Args:
        in_force: The contract, who published it, and its earlier versions.
        with_limits: Whether to list the limits that follow from it.
        with_history: Whether to list all versions, oldest first.
    """
    current = in_force.contract
    history = [*in_force.earlier, current] if with_history else []
    return _api_models.ContractAnswer(
        customer=current.customer,
        version=current.version,
        operator=in_force.operator,
        publish_id=in_force.publish_id,
        accepted_wall_s=in_force.accepted_wall_s,
        document=contract_document(current),
        limits=limit_answers(current) if with_limits else (),
        history=tuple(
            _api_models.VersionAnswer(
                version=each.version, document=contract_document(each)
            )
            for each in history
        ),
    )


def limit_answers(
    current: _contract.Contract,
) -> tuple[_api_models.LimitAnswer, ...]:
    """Returns every limit derived from a contract, as API answers."""
    return tuple(
        _api_models.LimitAnswer(
            name=limit.name,
            class_name=limit.class_name,
            value=limit.value,
            unit=limit.unit,
            derivation=limit.derivation,
        )
        for limit in _limits.derive_limits(current)
    )


def summarize_job(
    state: _system.SystemState, entry: _system.JobStatus
) -> _api_models.JobSummary:
    """Returns a job's identity and its task counts by phase."""
    job = entry.job
    phases = collections.Counter(
        str(state.task_by_id[_job.task_id(job.job_id, spec.name)].phase)
        for spec in job.tasks
    )
    return _api_models.JobSummary(
        job_id=job.job_id,
        customer=job.customer,
        class_name=job.class_name,
        submitted_wall_s=job.submitted_wall_s,
        cancelled=entry.cancelled,
        open_tasks=entry.open_tasks,
        tasks_by_phase=dict(phases),
    )


def job_answer(
    state: _system.SystemState, entry: _system.JobStatus
) -> _api_models.JobAnswer:
    """Returns the API answer for one job, with the state of each task."""
    summary = summarize_job(state, entry)
    return _api_models.JobAnswer(
        **summary.model_dump(),
        tasks=tuple(
            _task_answer(state, entry.job.job_id, spec)
            for spec in entry.job.tasks
        ),
    )


def _task_answer(
    state: _system.SystemState, job_id: str, spec: _job.TaskSpec
) -> _api_models.TaskAnswer:
    """Returns the API answer for one task: its phase and progress."""
    task_id = _job.task_id(job_id, spec.name)
    task = state.task_by_id[task_id]
    return _api_models.TaskAnswer(
        task_id=task_id,
        name=spec.name,
        phase=task.phase,
        attempt=task.attempt,
        machine=task.machine,
        checkpoint=task.checkpoint,
        progress_s=task.progress_s,
        reason=task.reason,
    )


def job_list_answer(
    state: _system.SystemState, *, customer: str, only_open: bool, limit: int
) -> _api_models.JobListAnswer:
    """Returns a customer's jobs, newest first.

    Args:
        state: The folded state.
        customer: Name of the customer.
        only_open: Whether to leave out jobs without unfinished tasks.
        limit: Largest number of jobs in the answer.
    """
    found = [
        entry
        for entry in state.job_by_id.values()
        if entry.job.customer == customer
        and (entry.open_tasks > 0 or not only_open)
    ]
    found.sort(key=lambda entry: entry.job.submitted_wall_s, reverse=True)
    return _api_models.JobListAnswer(
        jobs=tuple(summarize_job(state, entry) for entry in found[:limit]),
        truncated=len(found) > limit,
    )


def member_answers(
    state: _system.SystemState,
) -> tuple[_api_models.MemberAnswer, ...]:
    """Returns the entry instances that have joined, sorted by name."""
    return tuple(
        _api_models.MemberAnswer(
            instance=member.instance,
            incarnation=member.incarnation,
            zone=member.zone,
            group=member.group,
            http_address=member.http_address,
            leaving=member.leaving,
        )
        for _, member in sorted(state.member_by_instance.items())
    )

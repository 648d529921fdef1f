"""Explains a task from the data that only the owning instance has.

The instance that owns workers knows their attempts, reports and its own queue,
none of which is part of the replicated state.
"""

import collections

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_index
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _batch_workers
from basiljunction.coordination import _explain_state
from basiljunction.state import _job

Finding = _explain_state.Finding


def explain_task_at_owner(
    context: _batch_context.BatchContext,
    index: _batch_index.ReadyUnitIndex,
    task_id: str,
) -> list[Finding]:
    """Returns findings on one task from this instance's own data.

    They cover the task's attempt here, its position in this instance's queue,
    and the workers that fit it but do not accept new tasks.

    Args:
        context: This instance's workers and attempts.
        index: This instance's queue of tasks that are ready to run.
        task_id: Id of the task.
    """
    attempt = context.attempt_by_task.get(task_id)
    if attempt is not None:
        return [_describe_attempt(attempt)]
    task = context.state.task_by_id.get(task_id)
    if task is None or task.phase is not _job.TaskPhase.PENDING:
        return []
    findings = []
    if context.is_draining:
        findings.append(
            Finding(task_id, "waits-for", "this instance is leaving")
        )
    elif not context.holds_lease:
        detail = "this instance's lease, which it does not hold now"
        findings.append(Finding(task_id, "waits-for", detail))
    findings.extend(_describe_queue_position(context, index, task_id))
    findings.extend(
        Finding(task_id, "waits-for", wait)
        for wait in _unavailable_worker_waits(context, task.spec.demand)
    )
    return findings


def _describe_attempt(attempt: _batch_model.Attempt) -> Finding:
    """Returns a finding on a running attempt and its latest report."""
    parts = [
        f"attempt {attempt.ref.attempt} is {attempt.phase} on "
        f"{attempt.machine}",
        f"reserves {attempt.reserved.millicores / 1000:g} cores and "
        f"{attempt.reserved.memory_mib} MiB",
    ]
    if attempt.latest_report is not None:
        parts.append(
            f"last reported {attempt.latest_report.state} with "
            f"{attempt.latest_report.progress_s:.0f} s done, "
            f"slowed down {attempt.latest_report.slowdown:.2f} times"
        )
    if attempt.speed_fraction < 1.0:
        parts.append(f"throttled to {attempt.speed_fraction:g}")
    if attempt.end_goal is not _batch_model.EndGoal.NONE:
        parts.append(
            f"is being ended ({attempt.end_goal}): {attempt.end_reason}"
        )
    return Finding(attempt.ref.task_id, "attempt", "; ".join(parts))


def _describe_queue_position(
    context: _batch_context.BatchContext,
    index: _batch_index.ReadyUnitIndex,
    task_id: str,
) -> list[Finding]:
    """Returns a finding on a task's place in the queue; none if not queued."""
    task = context.state.task_by_id[task_id]
    key = _batch_model.gang_key(task.job_id, task.spec) or task_id
    unit = index.queue.get(key)
    if unit is None:
        return []
    wait_s = unit.eligible_boot_s - context.now.boot_s
    if wait_s > 0:
        detail = f"this instance's turn to start it, in {wait_s:.1f} s"
        return [Finding(task_id, "waits-for", detail)]
    detail = (
        f"ready in a queue of {len(index.queue)}; this instance is choice "
        f"{unit.preference_rank + 1} for it"
    )
    return [Finding(task_id, "queued", detail)]


def _unavailable_worker_waits(
    context: _batch_context.BatchContext, demand: _job.ResourceDemand
) -> list[str]:
    """Returns why workers that fit a demand accept no tasks, with counts."""
    count_by_reason: collections.Counter[str] = collections.Counter()
    for worker in context.worker_by_machine.values():
        why = _batch_workers.reason_not_accepting(context, worker)
        if why and worker.fits(demand):
            count_by_reason[why] += 1
    return [
        f"{count} of this instance's workers that fit: {why}"
        for why, count in sorted(count_by_reason.items())
    ]

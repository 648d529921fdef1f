"""Builds the start request of an attempt and the record of its end."""

import dataclasses

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _leases
from basiljunction.state import _records

MAX_DETAIL_CHARS = 200
"""Longest detail of a failure record, in characters."""


def build_start_request(
    context: _batch_context.BatchContext, attempt: _batch_model.Attempt
) -> _batch_events.StartTask:
    """Returns the request that starts an attempt from its task's checkpoint."""
    entry = context.state.task_by_id[attempt.ref.task_id]
    return _batch_events.StartTask(
        ref=attempt.ref,
        demand=attempt.reserved,
        run_time_s=attempt.spec.run_time_s,
        checkpoint=entry.checkpoint,
        progress_s=entry.progress_s,
        payload=attempt.spec.payload,
        lease_s=_leases.lease_length_s(len(context.attempt_by_task)),
        customer=attempt.customer,
        class_name=attempt.class_name,
    )


def store_report(
    attempt: _batch_model.Attempt, report: _batch_events.TaskReport
) -> None:
    """Stores a worker's latest report on an attempt.

    A report without a checkpoint keeps the checkpoint of the previous one.
    """
    is_running = report.state is _batch_events.WorkerTaskState.RUNNING
    if report.checkpoint and not is_running:
        attempt.checkpointed_s = max(attempt.checkpointed_s, report.progress_s)
    previous = attempt.latest_report
    if previous is not None and not report.checkpoint:
        report = dataclasses.replace(report, checkpoint=previous.checkpoint)
    attempt.latest_report = report


def build_release_record(attempt: _batch_model.Attempt) -> _records.Record:
    """Returns the record that gives up a claim without saved work."""
    return _records.TaskReleased(attempt.ref.task_id, attempt.ref.attempt)


def build_failure_record(
    attempt: _batch_model.Attempt, detail: str
) -> _records.Record:
    """Returns the record of an attempt that failed on its worker."""
    return _records.TaskFailed(
        task_id=attempt.ref.task_id,
        attempt=attempt.ref.attempt,
        machine=attempt.machine,
        detail=detail[:MAX_DETAIL_CHARS],
    )


def build_eviction_record(
    context: _batch_context.BatchContext, attempt: _batch_model.Attempt
) -> _records.Record:
    """Returns the record of a stopped attempt, with its latest checkpoint.

    Without a checkpoint of its own it carries the one that it started from.
    """
    entry = context.state.task_by_id[attempt.ref.task_id]
    checkpoint, progress_s = entry.checkpoint, entry.progress_s
    report = attempt.latest_report
    if report is not None and report.checkpoint:
        checkpoint = report.checkpoint
        progress_s = max(progress_s, attempt.checkpointed_s)
    return _records.TaskEvicted(
        task_id=attempt.ref.task_id,
        attempt=attempt.ref.attempt,
        checkpoint=checkpoint,
        progress_s=progress_s,
    )

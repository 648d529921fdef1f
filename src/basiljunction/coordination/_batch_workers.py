"""Lists the workers that accept new tasks and creates attempts for them."""

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.state import _job


def workers_accepting_tasks(
    context: _batch_context.BatchContext,
) -> list[_batch_model.Worker]:
    """Returns the owned workers that accept new tasks and are not held."""
    now_s = context.now.boot_s
    return [
        worker
        for worker in context.worker_by_machine.values()
        if worker.accepts_new_tasks(now_s) and not worker.held_for
    ]


def reason_not_accepting(
    context: _batch_context.BatchContext, worker: _batch_model.Worker
) -> str:
    """Returns why a worker does not accept new tasks.

    The text is for display only. It is empty if the worker accepts tasks.
    """
    now_s = context.now.boot_s
    if worker.is_leaving:
        return "leaving"
    if worker.usable_from_boot_s > now_s:
        return "an earlier owner may still act on it"
    if worker.no_new_tasks_until_boot_s > now_s:
        return worker.no_new_tasks_reason
    if worker.consecutive_failed_calls:
        return "no answer to renewals"
    return f"held for {worker.held_for}" if worker.held_for else ""


def build_attempt(
    context: _batch_context.BatchContext,
    task_id: str,
    machine: str,
    reservation: _job.ResourceDemand,
    *,
    is_claimed: bool = False,
) -> _batch_model.Attempt:
    """Returns a new attempt object for a task.

    Args:
        context: State and tables shared by the parts of the batch core.
        task_id: The task.
        machine: Worker that the attempt is placed on.
        reservation: Resources to reserve for it on the worker.
        is_claimed: Whether the state already holds the claim of this attempt.
            If not, the attempt gets the next number.
    """
    task = context.state.task_by_id[task_id]
    job = context.state.job_by_id[task.job_id].job
    work_class = context.find_work_class(job)
    attempt_number = task.attempt if is_claimed else task.attempt + 1
    return _batch_model.Attempt(
        ref=_batch_events.TaskRef(task_id, attempt_number),
        machine=machine,
        job_id=task.job_id,
        customer=job.customer,
        class_name=job.class_name,
        spec=task.spec,
        reserved=reservation,
        is_standing=work_class is not None and work_class.standing,
        phase=_batch_model.Phase.CLAIMING,
        claimed_boot_s=context.now.boot_s,
        checkpointed_s=task.progress_s,
    )


def largest_capacity(workers: list[_batch_model.Worker]) -> _job.ResourceDemand:
    """Returns the maximum of cores and of memory over some workers.

    The two maxima may come from different workers.
    """
    capacities = [worker.capacity for worker in workers]
    return _job.ResourceDemand(
        millicores=max((each.millicores for each in capacities), default=0),
        memory_mib=max((each.memory_mib for each in capacities), default=0),
    )

"""Chooses the steps for which the approval policy is asked next."""

import dataclasses

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _waiting_tasks
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec


@dataclasses.dataclass(frozen=True, slots=True)
class _Want:
    """A step with waiting tasks that may need approvals.

    Attributes:
        job: Its job.
        waiting_tasks: Its waiting tasks.
        executors: The executors of its service.
    """

    job: _jobs.Job
    waiting_tasks: _waiting_tasks.WaitingTasks
    executors: list[_executors.ExecutorState]


class ApprovalRequests:
    """Collects the steps that need approvals during a pass, and asks for some.

    The jobs of a priority take turns, so that one with many steps does not
    delay those of others. Jobs that have had the same turn go in order of rank.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._wants: list[_Want] = []
        self._last_request_by_job: dict[str, int] = {}
        self._request_count = 0

    def add(
        self,
        job: _jobs.Job,
        waiting_tasks: _waiting_tasks.WaitingTasks,
        executors: list[_executors.ExecutorState],
    ) -> None:
        """Adds a step whose tasks wait; the steps come in order of rank."""
        self._wants.append(_Want(job, waiting_tasks, executors))

    def send_due(self, now: _time.Now) -> None:
        """Orders the requests that are due, and forgets the collected steps."""
        wants, self._wants = self._wants, []
        approvals = self._cell.approvals
        if not wants or not approvals.may_request(now.boot_s):
            return
        turn_by_job = {
            each.job.id: self._last_request_by_job.get(each.job.id, 0)
            for each in wants
        }
        # Jobs that have nothing to ask for any more drop out.
        self._last_request_by_job = turn_by_job
        wants.sort(
            key=lambda each: (each.job.queue.priority, turn_by_job[each.job.id])
        )
        asked_job_ids: set[str] = set()
        for want in wants:
            if not approvals.may_request(now.boot_s):
                return
            if want.job.id not in asked_job_ids and self._request(want, now):
                asked_job_ids.add(want.job.id)

    def _request(self, want: _Want, now: _time.Now) -> bool:
        """Orders a request for a step; returns whether one is due."""
        cell, job, waiting_tasks = self._cell, want.job, want.waiting_tasks
        terms = job.queue.approval
        if terms is None or not waiting_tasks:
            return False
        index, _ = waiting_tasks.first()
        key = (job.id, waiting_tasks.occurrence, waiting_tasks.step)
        step = job.spec.steps[waiting_tasks.step]
        candidates = _placement.rank_executors(
            step, _job_spec.TaskId(*key, index), want.executors, cell.sharing
        )
        order = cell.approvals.next_request(
            key,
            terms,
            candidates,
            _count_needed_executors(step, len(waiting_tasks), candidates),
            now.boot_s,
        )
        if order is None:
            if candidates and all(
                cell.approvals.is_refused(key, each) for each in candidates
            ):
                job.pass_over_refused_step(waiting_tasks)
            return False
        cell.orders.append(order)
        self._request_count += 1
        self._last_request_by_job[job.id] = self._request_count
        cell.note(
            "approval.asked",
            job=job.id,
            occurrence=waiting_tasks.occurrence,
            step=waiting_tasks.step,
            executors=len(order.executors),
            request=order.number,
            in_flight=cell.approvals.calls_in_flight,
            timeout_s=round(order.timeout_s, 3),
        )
        return True


def _count_needed_executors(
    step: _job_spec.StepSpec,
    task_count: int,
    candidates: list[_executors.ExecutorState],
) -> int:
    """Returns how many of the executors have room for a number of tasks.

    Tasks that run slower across racks need a choice of executors of one rack.

    Args:
        step: The step of the tasks.
        task_count: Number of the tasks.
        candidates: Executors with room for one at least, best first.
    """
    if step.same_rack:
        return len(candidates)
    room = 0
    for count, executor in enumerate(candidates, start=1):
        room += _placement.count_fitting_tasks(step, executor)
        if room >= task_count:
            return count
    return len(candidates)

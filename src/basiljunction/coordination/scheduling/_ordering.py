"""Order in which waiting tasks are placed.

Load pattern: the offered work exceeds the capacity. Jobs that can still meet
their latency objective come first, then late ones, then those that earn no
credit any more. Within each group the job with the least remaining work comes
first, as credit grows less than in proportion to a job's work. The longer a job
waits, the smaller it counts, so that large jobs don't starve.
"""

from collections.abc import Iterable
import enum

from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _remaining_work

LATE_FACTOR = 3.0
"""Multiple of its latency objective after which a job earns no credit, as the
definition of the credit states."""

MIN_OBJECTIVE_S = 0.1
"""Lower bound of the objective by which a job's waiting time is divided, in
seconds."""


class ObjectiveStatus(enum.IntEnum):
    """Whether a job can still meet its latency objective; lower goes first.

    IN_TIME jobs can meet it, LATE jobs still earn credit, HOPELESS jobs earn
    none.
    """

    IN_TIME = 0
    LATE = 1
    HOPELESS = 2


def remaining_work(job: _jobs.Job) -> _remaining_work.RemainingWork:
    """Returns the work of the tasks that are not done.

    It is computed anew once further tasks are done: each pass ranks all jobs
    that wait.
    """
    done_count = len(job.progress.completed_positions)
    known = job.remaining_work
    if known is not None and known.done_count == done_count:
        return known
    work = _remaining_work.RemainingWork(
        done_count=done_count,
        critical_path_s=remaining_critical_path_s(job),
        core_seconds=remaining_core_seconds(job),
    )
    job.remaining_work = work
    return work


def remaining_critical_path_s(job: _jobs.Job) -> float:
    """Returns the estimated time left on the critical path, in seconds.

    The critical path is the longest chain of unfinished steps; a step counts
    in full until all its tasks are done.
    """
    spec = job.spec
    end_by_step: list[float] = []
    for number, step in enumerate(spec.steps):
        done = job.done_count(0, number) >= step.count
        step_s = 0.0 if done else step.estimate_s
        begin_s = max((end_by_step[each] for each in step.after), default=0.0)
        end_by_step.append(begin_s + step_s)
    return max(end_by_step, default=0.0)


def objective_status(job: _jobs.Job, now_s: float) -> ObjectiveStatus:
    """Returns whether the job can meet its objective, by its own estimates."""
    if job.has_lasting_step:
        return ObjectiveStatus.IN_TIME
    end_s = now_s - job.arrived_s + remaining_work(job).critical_path_s
    if end_s <= job.objective_s:
        return ObjectiveStatus.IN_TIME
    if end_s <= job.objective_s * LATE_FACTOR:
        return ObjectiveStatus.LATE
    return ObjectiveStatus.HOPELESS


def remaining_core_seconds(job: _jobs.Job) -> float:
    """Returns the estimated core-seconds of the tasks that are not done."""
    core_seconds = 0.0
    for number, step in enumerate(job.spec.steps):
        done = job.done_count(0, number)
        cores = step.size.cpu_millicores / 1000
        core_seconds += max(0, step.count - done) * step.estimate_s * cores
    return core_seconds


def placement_sort_key(job: _jobs.Job, now_s: float) -> tuple[float, ...]:
    """Returns the sort key of a job's waiting tasks; lowest is placed first.

    Jobs that run until cancelled come after the others of their priority: they
    would occupy the free capacity for long, and lose little by a short wait.
    Their urgent starts are placed before all others, whatever their key.
    """
    waited_s = now_s - job.arrived_s
    patience_s = max(job.objective_s, MIN_OBJECTIVE_S)
    return (
        job.queue.priority,
        job.has_lasting_step,
        objective_status(job, now_s),
        remaining_work(job).core_seconds / (1.0 + waited_s / patience_s),
    )


def jobs_with_urgent_starts(
    jobs: Iterable[_jobs.Job], now_s: float
) -> list[_jobs.Job]:
    """Returns the jobs with urgent starts, the longest urgent first."""
    urgent_from_s_and_job = [
        (_earliest_urgent_start_s(job), job)
        for job in jobs
        if job.has_lasting_step
    ]
    urgent_from_s_and_job.sort(key=lambda pair: pair[0])
    return [
        job
        for urgent_from_s, job in urgent_from_s_and_job
        if urgent_from_s <= now_s
    ]


def _earliest_urgent_start_s(job: _jobs.Job) -> float:
    """Returns when the first start of a job's waiting tasks is urgent."""
    earliest_s = float("inf")
    for key, waiting_tasks in job.waiting_tasks_by_step.items():
        if waiting_tasks.fresh:
            earliest_s = min(earliest_s, waiting_tasks.urgent_from_s)
        for index in waiting_tasks.returned_s_by_index:
            urgent_from_s = job.urgent_from_s_by_place.get((*key, index))
            if urgent_from_s is not None:
                earliest_s = min(earliest_s, urgent_from_s)
    return earliest_s

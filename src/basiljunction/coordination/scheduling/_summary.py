"""Summary of a cell's state for logs and metrics."""

import dataclasses

from basiljunction.coordination.scheduling import _cell_state


@dataclasses.dataclass(frozen=True, slots=True)
class CellSummary:
    """Numbers of jobs, tasks and executors in a cell.

    Attributes:
        jobs: Number of jobs that are not finished.
        waiting_tasks: Number of tasks that are ready to start and have no run,
            without those of steps that are not opened yet.
        skipped_steps: Number of steps with such tasks that the last placement
            pass left to later ones.
        jobs_bytes: Estimated memory of all jobs, in bytes.
        max_jobs_bytes: Memory beyond which jobs are refused, in bytes.
        approval_calls: Number of requests to the approval policy in flight.
        runs: Number of runs on listed executors.
        executors: Number of listed executors.
        usable: Number of executors on which tasks may be placed now.
        awaited: Number of executors, listed or not, that may have runs of an
            earlier term and hold up the tasks of inherited jobs.
        omitting_ends: Number of executors, listed or not, whose newest answer
            had no room for all ends of runs.
        serving: Number of executors that run serving tasks.
        serving_runs: Number of runs of serving tasks.
        filler_runs: Number of runs of fillers.
        over_target: Number of runs whose last reported tail latency was above
            its target.
        paced: Number of runs that are slowed down.
        booked_share: Fraction of the listed executors' CPU that is reserved.
        filler_share: Fraction of their CPU that fillers request.
    """

    jobs: int
    waiting_tasks: int
    skipped_steps: int
    jobs_bytes: int
    max_jobs_bytes: float
    approval_calls: int
    runs: int
    executors: int
    usable: int
    awaited: int
    omitting_ends: int
    serving: int
    serving_runs: int
    filler_runs: int
    over_target: int
    paced: int
    booked_share: float
    filler_share: float


def summarize_cell(cell: _cell_state.CellState, now_s: float) -> CellSummary:
    """Returns the summary of a cell's present state."""
    listed = [e for e in cell.executor_by_id.values() if e.is_listed]
    runs = [run for e in listed for run in e.run_by_key.values()]
    capacity = sum(e.listing.capacity.cpu_millicores for e in listed) or 1
    booked = sum(e.reserved_resources.cpu_millicores for e in listed)
    filling = sum(e.filler_millicores for e in listed)
    return CellSummary(
        jobs=sum(j.is_active for j in cell.job_by_id.values()),
        waiting_tasks=sum(
            len(bag)
            for job in cell.job_by_id.values()
            for bag in job.waiting_tasks_by_step.values()
        ),
        skipped_steps=cell.skipped_step_count,
        jobs_bytes=cell.job_memory.used_bytes,
        max_jobs_bytes=cell.job_memory.limit_bytes,
        approval_calls=cell.approvals.calls_in_flight,
        runs=len(runs),
        executors=len(listed),
        usable=sum(cell.is_usable(e, now_s) for e in listed),
        awaited=sum(
            e.inherited_until_s is not None
            for e in cell.executor_by_id.values()
        ),
        omitting_ends=sum(
            e.may_omit_ends for e in cell.executor_by_id.values()
        ),
        serving=sum(e.serving_count > 0 for e in listed),
        serving_runs=sum(run.step.is_serving for run in runs),
        filler_runs=sum(run.step.fills for run in runs),
        over_target=sum(run.reports_over_target for run in runs),
        paced=sum(run.pace_percent < 100 for run in runs),
        booked_share=round(booked / capacity, 3),
        filler_share=round(filling / capacity, 3),
    )

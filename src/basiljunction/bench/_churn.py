"""Measures task starts per second and the cost of placement decisions.

One batch core runs at the size that the product is designed for.
"""

import random

from basiljunction.bench import _batch_bed
from basiljunction.bench import _batch_worker
from basiljunction.bench import _report
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _placement
from basiljunction.state import _contract
from basiljunction.state import _job

WORKER_COUNT = 790
"""Number of workers of the one batch core."""

RUNNING_TASK_COUNT = 15_000
"""Number of tasks that run when the measurement starts."""

PENDING_TASK_COUNT = 6_100
"""Number of tasks submitted in addition to the running ones."""

CUSTOMER_COUNT = 94
"""Number of customers with a contract."""

STEP_S = 0.05
"""Simulated time of one step, in seconds."""

STEP_COUNT = 400
"""Number of measured steps of a run."""

TASK_RUN_TIME_S = RUNNING_TASK_COUNT / 630
"""Run time of each task, in seconds.

With this run time, the running tasks are replaced at 630 starts per second.
"""

MIN_STARTS_PER_S = 63.0
"""Rate at which the used share of a core is reported, in starts per second."""

TARGET_STARTS_PER_S = 630.0
"""Rate at which new tasks are submitted during a run, per second."""

_CLASS_NAMES = ("coding", "rollup", "plan")
"""Batch classes that each customer's contract lists."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares start rates and decision times of two placement policies.

    First-fit placement is the baseline of interference-aware placement.
    """
    rows: list[_report.Row] = []
    cases: tuple[tuple[str, _placement.PlacementPolicy | None], ...] = (
        ("first-fit", _placement.FirstFit()),
        ("interference-aware", None),
    )
    for case, placement in cases:
        figures = [
            _measure_placement(placement, seed + index) for index in range(runs)
        ]
        for metric, unit in _UNIT_BY_METRIC.items():
            values = tuple(each[metric] for each in figures)
            rows.append(
                _report.Row(
                    case=case,
                    metric=metric,
                    unit=unit,
                    values=values,
                    baseline=case == "first-fit",
                )
            )
    return _report.Report(name="churn", seed=seed, rows=tuple(rows))


_UNIT_BY_METRIC = {
    "task starts per core-second": "1/s",
    "decision time p99": "ms",
    "decision time max": "ms",
    "core used at 63 starts a second": "%",
    "tasks completed a second of the run": "1/s",
    "running": "tasks",
    "pending": "tasks",
}
"""Unit of each reported metric, by metric name."""


def _make_contract(customer: str) -> _contract.Contract:
    """Returns a contract with limits too high to take effect."""
    classes = {
        name: _contract.WorkClass(
            name=name,
            kind=_contract.WorkKind.BATCH,
            idempotent=True,
            deadline_s=86_400.0,
            outside_hours=True,
        )
        for name in _CLASS_NAMES
    }
    return _contract.Contract(
        customer=customer,
        version=1,
        hours=_contract.OfficeHours("Pacific/Auckland", ()),
        class_by_name=classes,
        quota=_contract.Quota(10**9, 10**9, 10**6, 10**6),
        request_rate_per_s=1.0,
        request_burst=1,
        concurrency=1,
        credential_hashes=(),
    )


def _draw_jobs(
    random_: random.Random, prefix: str, count: int
) -> list[_job.Job]:
    """Returns random jobs of one task each, with ids from a prefix."""
    jobs = []
    for index in range(count):
        cores = random_.choice((1, 1, 2, 2, 2, 4))
        demand = _job.ResourceDemand(cores * 1000, cores * 3000)
        spec = _job.TaskSpec("task", demand, TASK_RUN_TIME_S)
        jobs.append(
            _job.Job(
                job_id=f"{prefix}-{index}",
                customer=f"team-{random_.randrange(CUSTOMER_COUNT)}",
                class_name=random_.choice(_CLASS_NAMES),
                tasks=(spec,),
                submitted_wall_s=1_000_000.0 + index * 0.01,
            )
        )
    return jobs


def _measure_placement(
    placement: _placement.PlacementPolicy | None, seed: int
) -> dict[str, float]:
    """Runs one placement policy at full size; returns values by metric."""
    random_ = random.Random(seed)
    bed = _make_filled_bed(placement, random_)
    running = len(bed.core.context.attempt_by_task)
    bed.event_times_s.clear()
    bed.started_attempts = 0
    bed.completed_tasks = 0
    bed.total_fold_s = 0.0
    wanted = int(TARGET_STARTS_PER_S * STEP_S)
    for step in range(STEP_COUNT):
        bed.submit_jobs(_draw_jobs(random_, f"new-{step}", wanted))
        bed.advance_time(STEP_S)
    spent_s = sum(bed.event_times_s) + bed.total_fold_s
    handled = sorted(bed.event_times_s)
    starts_per_s = bed.started_attempts / spent_s
    return {
        "task starts per core-second": starts_per_s,
        "decision time p99": handled[int(len(handled) * 0.99)] * 1000,
        "decision time max": handled[-1] * 1000,
        "core used at 63 starts a second": (
            100 * MIN_STARTS_PER_S / starts_per_s
        ),
        "tasks completed a second of the run": (
            bed.completed_tasks / (STEP_COUNT * STEP_S)
        ),
        "running": running,
        "pending": len(bed.core.index.queue),
    }


def _make_filled_bed(
    placement: _placement.PlacementPolicy | None, random_: random.Random
) -> _batch_bed.BatchTestBed:
    """Returns a test bed with all running and pending tasks in place.

    Every second pending task asks for a whole worker, so that it stays pending.
    """
    policy = _batch_model.BatchPolicy(max_calls_in_flight=10**6)
    bed = _batch_bed.BatchTestBed(policy=policy, placement=placement)
    for index in range(CUSTOMER_COUNT):
        bed.publish_contract(_make_contract(f"team-{index}"))
    for index in range(WORKER_COUNT):
        worker = _batch_worker.SimulatedWorker(
            f"worker-{index}", capacity=_job.ResourceDemand(38_000, 125_000)
        )
        bed.add_worker(worker)
    bed.submit_jobs(_draw_jobs(random_, "run", RUNNING_TASK_COUNT))
    while len(bed.core.context.attempt_by_task) < RUNNING_TASK_COUNT:
        bed.advance_time(STEP_S)
    blocked = _job.ResourceDemand(38_000, 125_000)
    pending = _draw_jobs(random_, "wait", PENDING_TASK_COUNT)
    bed.submit_jobs(
        [
            _with_demand(job, blocked if index % 2 else None)
            for index, job in enumerate(pending)
        ]
    )
    for _ in range(20):
        bed.advance_time(STEP_S)
    _stagger_task_ends(bed, random_)
    return bed


def _with_demand(job: _job.Job, demand: _job.ResourceDemand | None) -> _job.Job:
    """Returns a copy of a job with another demand; None leaves it as is."""
    if demand is None:
        return job
    spec = _job.TaskSpec("task", demand, TASK_RUN_TIME_S)
    return _job.Job(
        job_id=job.job_id,
        customer=job.customer,
        class_name=job.class_name,
        tasks=(spec,),
        submitted_wall_s=job.submitted_wall_s,
    )


def _stagger_task_ends(
    bed: _batch_bed.BatchTestBed, random_: random.Random
) -> None:
    """Spreads the ends of the running tasks evenly over time."""
    for worker in bed.worker_by_machine.values():
        for task in worker.running_tasks():
            left_s = random_.uniform(0.0, 1.5 * TASK_RUN_TIME_S)
            task.behavior.run_time_s = task.progress_s + left_s

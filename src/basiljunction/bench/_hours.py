"""Measures work finished within office hours with inaccurate run times.

The declared run times of the tasks differ from the actual ones by up to a
factor of five. Rules for starting and stopping work before the hours close
are compared.
"""

import datetime as dt
import random
import zoneinfo

from basiljunction.bench import _batch_bed
from basiljunction.bench import _batch_worker
from basiljunction.bench import _report
from basiljunction.coordination import _batch_model
from basiljunction.state import _contract
from basiljunction.state import _job

TIME_ZONE = "Pacific/Auckland"
"""Time zone of the office hours."""

DAY_COUNT = 2
"""Number of simulated days."""

STEP_S = 5.0
"""Simulated time of one step, in seconds."""

TASK_COUNT = 240
"""Number of tasks submitted during the first day's hours."""

DECLARED_RUN_TIME_S = 1800.0
"""Declared run time of each task, in seconds."""

MIN_RUN_TIME_FACTOR = 0.2
"""Smallest ratio of the actual to the declared run time."""

MAX_RUN_TIME_FACTOR = 5.0
"""Largest ratio of the actual to the declared run time."""

_OPENING_MINUTE = 8 * 60
"""Minute of the day at which the office hours open."""

_CLOSING_MINUTE = 18 * 60
"""Minute of the day at which the office hours close."""

_UNIT_BY_METRIC = {
    "tasks that ended in hours on the first day": "share",
    "tasks that ended without an eviction": "share",
    "evictions": "evictions",
    "work lost": "core-hours",
    "ran outside the hours": "core-s",
}
"""Unit of each reported metric, by metric name."""

_POLICY_BY_CASE = {
    # Starts any pending task until the hours close, and stops running tasks
    # then without a checkpoint.
    "start-anything": _batch_model.BatchPolicy(
        checkpoint_lead_s=0.0, min_useful_run_time_s=0.0
    ),
    # Starts only tasks that are expected to end before closing, by their
    # declared run time.
    "only-what-ends": _batch_model.BatchPolicy(
        min_useful_run_time_s=float("inf")
    ),
    "finish-or-checkpoint": _batch_model.BatchPolicy(),
}
"""Settings of the batch core, by the name of the compared rule."""

_PRODUCT_CASE = "finish-or-checkpoint"
"""Case that runs the product's default settings; not a baseline."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares rules for starting and stopping work before closing time."""
    rows = []
    for case, policy in _POLICY_BY_CASE.items():
        figures = [
            _measure_policy(policy, seed + index) for index in range(runs)
        ]
        for metric, unit in _UNIT_BY_METRIC.items():
            values = tuple(each[metric] for each in figures)
            rows.append(
                _report.Row(
                    case, metric, unit, values, baseline=case != _PRODUCT_CASE
                )
            )
    return _report.Report(name="hours", seed=seed, rows=tuple(rows))


def _make_office_hours_contract() -> _contract.Contract:
    """Returns a contract that allows work on weekdays, except holidays."""
    days = tuple(
        _contract.WeekdayHours(day, _OPENING_MINUTE, _CLOSING_MINUTE)
        for day in range(5)
    )
    coding = _contract.WorkClass(
        name="coding",
        kind=_contract.WorkKind.BATCH,
        idempotent=True,
        deadline_s=86_400.0,
    )
    return _contract.Contract(
        customer="kowhai",
        version=1,
        hours=_contract.OfficeHours(TIME_ZONE, days, holiday_country="NZ"),
        class_by_name={"coding": coding},
        quota=_contract.Quota(10**9, 10**9, 10**6, 10**6),
        request_rate_per_s=1.0,
        request_burst=1,
        concurrency=1,
        credential_hashes=(),
    )


def _measure_policy(
    policy: _batch_model.BatchPolicy, seed: int
) -> dict[str, float]:
    """Simulates all days under one policy; returns values by metric."""
    random_ = random.Random(seed)
    zone = zoneinfo.ZoneInfo(TIME_ZONE)
    opens = dt.datetime(2026, 12, 3, 8, 0, tzinfo=zone).timestamp()
    closes = opens + (_CLOSING_MINUTE - _OPENING_MINUTE) * 60
    bed = _batch_bed.BatchTestBed(wall_s=opens, policy=policy)
    bed.publish_contract(_make_office_hours_contract())
    behavior_by_task: dict[str, _batch_worker.TaskBehavior] = {}
    for index in range(4):
        worker = _batch_worker.SimulatedWorker(
            f"worker-{index}",
            capacity=_job.ResourceDemand(32_000, 125_000),
            behavior_by_task=behavior_by_task,
        )
        bed.add_worker(worker)
    outside_core_s = 0.0
    ended_first_day = 0
    submitted = 0
    for step in range(int(DAY_COUNT * 86_400 / STEP_S)):
        wall_s = bed.now.wall_s
        if wall_s < closes and submitted < TASK_COUNT:
            wanted = int(TASK_COUNT * (wall_s - opens + 60) / (closes - opens))
            jobs = [
                _draw_job(random_, behavior_by_task, submitted + index, wall_s)
                for index in range(min(wanted, TASK_COUNT) - submitted)
            ]
            submitted += len(jobs)
            if jobs:
                bed.submit_jobs(jobs)
        bed.advance_time(STEP_S)
        is_open = _is_within_hours(opens, bed.now.wall_s)
        if not is_open:
            cores = sum(
                worker.used_cores() for worker in bed.worker_by_machine.values()
            )
            outside_core_s += cores * STEP_S
        if step == int((closes - opens) / STEP_S):
            ended_first_day = bed.completed_tasks
    attempts = [task.attempt for task in bed.state.task_by_id.values()]
    whole = sum(number == 1 for number in attempts)
    lost = sum(worker.lost_core_s for worker in bed.worker_by_machine.values())
    return {
        "tasks that ended in hours on the first day": ended_first_day
        / TASK_COUNT,
        "tasks that ended without an eviction": whole / TASK_COUNT,
        "evictions": float(bed.evicted_attempts),
        "work lost": lost / 3600,
        "ran outside the hours": outside_core_s,
    }


def _is_within_hours(opens_s: float, wall_s: float) -> bool:
    """Returns whether a time is within the daily office hours.

    Args:
        opens_s: Wall-clock time of any opening, in seconds.
        wall_s: Wall-clock time to check, in seconds.
    """
    second = (wall_s - opens_s) % 86_400
    return second < (_CLOSING_MINUTE - _OPENING_MINUTE) * 60


def _draw_job(
    random_: random.Random,
    behavior_by_task: dict[str, _batch_worker.TaskBehavior],
    index: int,
    wall_s: float,
) -> _job.Job:
    # The factor is uniform on a logarithmic scale, so that a task is as likely
    # to be five times shorter as five times longer than declared.
    """Returns a job of one task and stores the task's actual run time."""
    spread = (MAX_RUN_TIME_FACTOR / MIN_RUN_TIME_FACTOR) ** random_.random()
    behavior_by_task[f"job-{index}/task"] = _batch_worker.TaskBehavior(
        run_time_s=DECLARED_RUN_TIME_S * MIN_RUN_TIME_FACTOR * spread
    )
    demand = _job.ResourceDemand(4000, 8000)
    return _job.Job(
        job_id=f"job-{index}",
        customer="kowhai",
        class_name="coding",
        tasks=(_job.TaskSpec("task", demand, DECLARED_RUN_TIME_S),),
        submitted_wall_s=wall_s,
    )

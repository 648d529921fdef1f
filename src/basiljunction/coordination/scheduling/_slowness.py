"""Detects executors on which tasks progress far more slowly than elsewhere.

Load pattern: one executor in ten works at a fifth of its speed for some
seconds, still answers, and delays every job that has a task on it. Estimates
are too imprecise to detect it: a whole step may take twice as long as
estimated. So a task's rate of progress is compared with tasks of the same step
on other executors, and several tasks of an executor have to be slow.
"""

from collections.abc import Mapping
import statistics

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _runs

MEASUREMENT_DELAY_S = 0.6
"""Time after the start of a run in which its rate is not measured, in seconds:
the task may be restoring its state."""

MIN_MEASUREMENT_S = 0.6
"""Shortest time over which a rate of progress is measured, in seconds; a task
of ten seconds progresses by six percent in it."""

PROGRESS_STEP_PERCENT = 1.0
"""Least progress that an executor reports, in percent; less shows as none."""

MIN_COMPARED_TASKS = 2
"""Least number of tasks to compare, on the executor and on others: a single
task may be slowed down by other tasks beside it."""

SLOW_RATE_FRACTION = 0.35
"""Fraction of the rate on other executors below which an executor counts as
slow; a full executor works at two thirds of its speed, a slow one at a
quarter."""

SLOW_AVOID_S = 3.0
"""Time for which no task is placed on a slow executor, in seconds."""

SLOW_SUSPECT_S = 2 * SLOW_AVOID_S
"""Time for which a slow executor ranks last in placement, in seconds, unless a
task there shows normal speed before."""

MIN_MOVE_GAIN_S = 1.0
"""Least time that moving a task to another executor has to save, in seconds: a
stop takes up to 0.9 s."""

FULL_PERCENT = 100.0
"""Progress of a completed task, and the pace of a run that is not slowed down,
in percent."""


def start_rate_measurement(run: _runs.Run, now_s: float) -> None:
    """Starts measuring a run's rate once it is `MEASUREMENT_DELAY_S` old."""
    if (
        run.speed_measured_from_s is None
        and now_s - run.phase_since_s >= MEASUREMENT_DELAY_S
    ):
        run.speed_measured_from_s = now_s
        run.speed_measured_from_percent = run.progress_percent


def record_completed_rate(
    executor: _executors.ExecutorState,
    run: _runs.Run,
    job: _jobs.Job,
    now_s: float,
) -> None:
    """Records the rate of a run that completed a whole task.

    Runs that resumed from a checkpoint don't count. Clears the suspicion
    against the executor if the rate is normal.
    """
    elapsed_s = now_s - run.phase_since_s
    if (
        not run.started_without_checkpoint
        or elapsed_s <= 0
        or not _has_comparable_rate(run)
    ):
        return
    rate = FULL_PERCENT / elapsed_s
    place = (run.task.occurrence, run.task.step, run.task.index)
    job.rate_by_place[place] = (run.executor, rate)
    rate_elsewhere = _median_rate_elsewhere(run, job, 1)
    if rate_elsewhere > 0 and rate >= SLOW_RATE_FRACTION * rate_elsewhere:
        executor.is_suspect = False


def find_runs_to_move(
    executor: _executors.ExecutorState,
    job_by_id: Mapping[str, _jobs.Job],
    now_s: float,
) -> list[_runs.Run]:
    """Returns the runs to move to other executors if the executor is slow.

    Args:
        executor: Executor that has just reported; no task is placed on it for
            some seconds if it is slow.
        job_by_id: All jobs; their recorded rates are updated.
        now_s: Current time in seconds.
    """
    if now_s > executor.avoid_until_s + SLOW_SUSPECT_S - SLOW_AVOID_S:
        executor.is_suspect = False
    compared: list[tuple[_runs.Run, float, float]] = []
    for run in executor.run_by_key.values():
        job = job_by_id.get(run.task.job)
        rate = _measured_rate(run, now_s)
        if job is None or rate is None:
            continue
        place = (run.task.occurrence, run.task.step, run.task.index)
        job.rate_by_place[place] = (run.executor, rate)
        rate_elsewhere = _median_rate_elsewhere(
            run, job, _required_task_count(executor)
        )
        if rate_elsewhere > 0:
            highest_rate = max(rate, _unseen_rate(run, now_s))
            compared.append((run, highest_rate, rate_elsewhere))
    if len(compared) < _required_task_count(executor):
        return []
    shares = [rate / elsewhere for _, rate, elsewhere in compared]
    executor.is_suspect = statistics.median(shares) < SLOW_RATE_FRACTION
    if not executor.is_suspect:
        return []
    executor.avoid_until_s = max(executor.avoid_until_s, now_s + SLOW_AVOID_S)
    return [
        run
        for run, rate, elsewhere in compared
        if _gains_by_move(run, rate, elsewhere)
    ]


def _required_task_count(executor: _executors.ExecutorState) -> int:
    """Returns how many tasks are needed to judge an executor's speed.

    One is enough for an executor that was found slow before, since most of its
    tasks have been moved.
    """
    return 1 if executor.is_suspect else MIN_COMPARED_TASKS


def _has_comparable_rate(run: _runs.Run) -> bool:
    """Returns whether a run's rate can be compared with other executors.

    It must depend on the executor alone: not on a gang or a reduced pace.
    """
    return (
        not run.step.runs_until_cancelled
        and not run.step.gang
        and run.pace_percent == FULL_PERCENT
    )


def _measured_rate(run: _runs.Run, now_s: float) -> float | None:
    """Returns a run's progress in percent per second; None if not measured."""
    if run.phase is not _runs.RunPhase.RUNNING or not _has_comparable_rate(run):
        return None
    if run.speed_measured_from_s is None:
        return None
    elapsed_s = now_s - run.speed_measured_from_s
    if elapsed_s < MIN_MEASUREMENT_S:
        return None
    return (
        max(0.0, run.progress_percent - run.speed_measured_from_percent)
        / elapsed_s
    )


def _unseen_rate(run: _runs.Run, now_s: float) -> float:
    """Returns the rate up to which a measured run may still show no progress.

    Long tasks take seconds for a step of their progress, also where tasks of
    their step that began before have shown several.
    """
    measured_from_s = run.speed_measured_from_s
    if measured_from_s is None:
        return 0.0
    return PROGRESS_STEP_PERCENT / (now_s - measured_from_s)


def _median_rate_elsewhere(
    run: _runs.Run, job: _jobs.Job, min_rates: int
) -> float:
    """Returns the median rate of the run's step on other executors.

    Args:
        run: Run of the step.
        job: Job of the run.
        min_rates: Least number of rates that are needed.

    Returns:
        Percent per second; 0 if fewer rates are known.
    """
    step = (run.task.occurrence, run.task.step)
    rates = [
        rate
        for place, (executor, rate) in job.rate_by_place.items()
        if place[:2] == step and executor != run.executor
    ]
    return statistics.median(rates) if len(rates) >= min_rates else 0.0


def _gains_by_move(run: _runs.Run, rate: float, rate_elsewhere: float) -> bool:
    """Returns whether a move saves at least `MIN_MOVE_GAIN_S`, by the rates."""
    percent_left = FULL_PERCENT - run.progress_percent
    percent_elsewhere = percent_left if run.step.checkpoints else FULL_PERCENT
    return (
        percent_left / rate
        > percent_elsewhere / rate_elsewhere + MIN_MOVE_GAIN_S
    )

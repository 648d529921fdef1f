"""Executors on which tasks progress far more slowly than elsewhere.

Load pattern: one executor in ten works at a fifth of its speed for some
seconds, answers all the same, and holds up every job that has a task there.
Estimates say little: a whole step may take twice as long as estimated. So a
task is compared with tasks of the same step on other executors, and several
tasks of an executor have to agree.
"""

from collections.abc import Mapping
import statistics

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _runs

SETTLING_S = 0.6
"""Time after the start that is not measured: a task may restore its state."""

WINDOW_S = 0.6
"""Shortest time between the reports that a rate is taken from; a task of ten
seconds progresses by six percent in it."""

MIN_TASKS = 2
"""Tasks that have to agree, here and elsewhere: a single one may be held up by
its neighbours."""

SLOW_SHARE = 0.35
"""Share of the rate elsewhere below which an executor counts as slow; a full
executor works at two thirds of its speed, and a slow one at a quarter."""

AVOID_S = 3.0
"""How long nothing is placed on a slow executor, before it is tried again."""

SUSPECT_S = 2 * AVOID_S
"""How long an executor that was slow gets work last, if none shows its rate."""

MOVE_GAIN_S = 1.0
"""Time that starting again elsewhere has to gain: a stop takes up to 0.9 s."""

FULL_PERCENT = 100.0
"""Progress at the end of a task, and the pace of a run let alone."""


def note_progress(run: _runs.Run, now_s: float) -> None:
    """Begins to measure a run once it has settled."""
    if run.measured_from_s is None and now_s - run.since_s >= SETTLING_S:
        run.measured_from_s = now_s
        run.measured_from_percent = run.percent


def note_done(
    executor: _executors.ExecutorState,
    run: _runs.Run,
    job: _jobs.Job,
    now_s: float,
) -> None:
    """Takes the rate of a run that worked from its beginning to its end."""
    past_s = now_s - run.since_s
    if not run.started_fresh or past_s <= 0 or not _is_comparable(run):
        return
    rate = FULL_PERCENT / past_s
    place = (run.task.occurrence, run.task.step, run.task.index)
    job.rate_by_place[place] = (run.executor, rate)
    elsewhere = _rate_elsewhere(run, job, 1)
    if elsewhere > 0 and rate >= SLOW_SHARE * elsewhere:
        executor.is_suspect = False


def slow_runs(
    executor: _executors.ExecutorState,
    job_by_id: Mapping[str, _jobs.Job],
    now_s: float,
) -> list[_runs.Run]:
    """Returns the runs to start elsewhere, if the executor is slow.

    Args:
        executor: It has just reported; it is avoided for a while if slow.
        job_by_id: The jobs; their known rates are updated.
        now_s: The time.
    """
    if now_s > executor.avoid_until_s + SUSPECT_S - AVOID_S:
        executor.is_suspect = False
    compared: list[tuple[_runs.Run, float, float]] = []
    for run in executor.run_by_key.values():
        job = job_by_id.get(run.task.job)
        rate = _rate(run, now_s)
        if job is None or rate is None:
            continue
        place = (run.task.occurrence, run.task.step, run.task.index)
        job.rate_by_place[place] = (run.executor, rate)
        elsewhere = _rate_elsewhere(run, job, _tasks_that_agree(executor))
        if elsewhere > 0:
            compared.append((run, rate, elsewhere))
    if len(compared) < _tasks_that_agree(executor):
        return []
    shares = [rate / elsewhere for _, rate, elsewhere in compared]
    executor.is_suspect = statistics.median(shares) < SLOW_SHARE
    if not executor.is_suspect:
        return []
    executor.avoid_until_s = max(executor.avoid_until_s, now_s + AVOID_S)
    return [
        run
        for run, rate, elsewhere in compared
        if _gains_elsewhere(run, rate, elsewhere)
    ]


def _tasks_that_agree(executor: _executors.ExecutorState) -> int:
    """Returns how many tasks tell; one is enough where more were slow before.

    Most work has left an executor that was found slow.
    """
    return 1 if executor.is_suspect else MIN_TASKS


def _is_comparable(run: _runs.Run) -> bool:
    return (
        not run.step.runs_until_cancelled
        and not run.step.gang
        and run.pace_percent == FULL_PERCENT
    )


def _rate(run: _runs.Run, now_s: float) -> float | None:
    """Returns percent per second, if it can be told."""
    if run.phase is not _runs.Phase.RUNNING or not _is_comparable(run):
        return None
    if run.measured_from_s is None:
        return None
    past_s = now_s - run.measured_from_s
    if past_s < WINDOW_S:
        return None
    return max(0.0, run.percent - run.measured_from_percent) / past_s


def _rate_elsewhere(run: _runs.Run, job: _jobs.Job, least: int) -> float:
    """Returns the rate of the step on other executors; 0 if not known."""
    step = (run.task.occurrence, run.task.step)
    rates = [
        rate
        for place, (executor, rate) in job.rate_by_place.items()
        if place[:2] == step and executor != run.executor
    ]
    return statistics.median(rates) if len(rates) >= least else 0.0


def _gains_elsewhere(run: _runs.Run, rate: float, elsewhere: float) -> bool:
    if rate <= 0:
        return True
    left = FULL_PERCENT - run.percent
    again = left if run.step.checkpoints else FULL_PERCENT
    return left / rate > again / elsewhere + MOVE_GAIN_S

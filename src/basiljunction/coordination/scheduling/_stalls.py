"""Detects executors whose tasks make no progress.

Load pattern: an executor answers, renews its lease and lists its tasks, but
they do no work, even if it reports processor time in use for them. Its short
tasks show no progress over several reports. The stalled tasks are stopped and
start on other executors from their checkpoints.

Progress is reported in whole percent, so that a sound task of an hour shows
none for 36 s. How long a task may show none follows from the pace of its run,
of its step on other executors, or from its estimate. All of them may be far
off: each time that a task is taken for stalled, its next run may take longer.

A task that runs until cancelled is at full speed or stalled. How long it was
not is stored with the progress of its job, so that the next scheduler goes on
measuring; executors do not tell it.
"""

from collections.abc import Mapping
import statistics

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _progress

SHORT_TASK_STALL_S = 1.6
"""Least time without progress after which a short task counts as stalled, in
seconds; reports are at most a second apart, and a task of ten seconds
progresses by one percent each 0.1 s."""

SLOWER_FACTOR = 3.0
"""Factor by which a percent may take longer than expected: estimates are off by
half, and a full executor works at two thirds of its speed."""

STALL_BACKOFF_FACTOR = 4.0
"""Factor by which a task may show no progress for longer than before, each time
that a run of it counted as stalled; a wrong suspicion then costs a third of the
time in which the next run is left alone."""

LASTING_TASK_STALL_S = 3.0
"""Time below full speed after which a task that runs until cancelled counts as
stalled, in seconds; such tasks reach full speed 0.3 s after their start."""

SLOW_NOTE_S = 1.0
"""Time below full speed of a task that runs until cancelled after which it is
stored, and again after as much more, in seconds; that is longer than any takes
to reach full speed, and makes three records until it counts as stalled."""

STALL_AVOID_S = 2.8
"""Time for which no task is placed on an executor once a task there counts as
stalled, in seconds; a job whose task only that executor may run has to have it
started again within 3 s."""

FULL_PERCENT = 100
"""Reported percentage of a task that runs until cancelled at full speed, and
the pace of a run that is not slowed down."""


def restart_stalled_tasks(
    cell: _cell_state.CellState,
    executor: _executors.ExecutorState,
    now: _time.Now,
) -> None:
    """Restarts tasks without progress on other executors.

    The executor gets no new tasks for a while. Speculative tasks keep their old
    run beside the new one, which says nothing more of the executor; other runs
    are stopped.

    Args:
        cell: The scheduler's state.
        executor: The executor that has just reported.
        now: The time.
    """
    for run in executor.run_by_key.values():
        if _is_expected_at_full_speed(run):
            _store_slow_time(cell, run, now.boot_s)
    for run in find_stalled_runs(executor, cell.job_by_id, now.boot_s):
        if run.is_superseded:
            continue
        executor.avoid_until_s = max(
            executor.avoid_until_s, now.boot_s + STALL_AVOID_S
        )
        job = cell.job_by_id.get(run.task.job)
        if job is not None:
            key = _stall_key(run)
            job.stalls_by_place[key] = job.stalls_by_place.get(key, 0) + 1
        if cell.supersede_run(run, "stalled", now):
            continue
        cell.note(
            "task.stalled",
            task=str(run.task),
            run=run.number,
            executor=executor.listing.id,
            percent=run.progress_percent,
        )
        executor.stop_run(run, now.boot_s)


def find_stalled_runs(
    executor: _executors.ExecutorState,
    job_by_id: Mapping[str, _jobs.Job],
    now_s: float,
) -> list[_runs.Run]:
    """Returns the runs of an executor that make no progress.

    Short tasks are returned only if none of those that have run for
    `SHORT_TASK_STALL_S` has progressed within that time: one that does shows
    that the executor works.
    """
    silences = [
        (run, now_s - run.progress_awaited_since_s())
        for run in executor.run_by_key.values()
        if not run.step.runs_until_cancelled
        and run.phase is _runs.RunPhase.RUNNING
        and run.pace_percent == FULL_PERCENT
        and not run.step.gang
        and now_s - run.phase_since_s > SHORT_TASK_STALL_S
    ]
    stalled: list[_runs.Run] = []
    if all(silent_s > SHORT_TASK_STALL_S for _, silent_s in silences):
        stalled = [
            run
            for run, silent_s in silences
            if silent_s > _longest_silence_s(run, job_by_id.get(run.task.job))
        ]
    lasting = [
        run
        for run in executor.run_by_key.values()
        if _is_expected_at_full_speed(run)
        and _slow_time_s(run, now_s) > LASTING_TASK_STALL_S
    ]
    return stalled + lasting


def _is_expected_at_full_speed(run: _runs.Run) -> bool:
    """Returns whether a run stalls as long as it is below full speed."""
    return (
        run.step.runs_until_cancelled
        and not run.step.may_be_away
        and run.phase is _runs.RunPhase.RUNNING
    )


def _slow_time_s(run: _runs.Run, now_s: float) -> float:
    """Returns for how long a lasting run has been below full speed, in s."""
    if run.progress_percent >= FULL_PERCENT:
        return 0.0
    own_s = now_s - max(run.phase_since_s, run.progress_changed_s)
    return (run.slow_before_s or 0.0) + own_s


def _store_slow_time(
    cell: _cell_state.CellState, run: _runs.Run, now_s: float
) -> None:
    """Stores for how long a lasting run has been below full speed.

    Nothing is left of it once the run is at full speed.
    """
    job = cell.job_by_id.get(run.task.job)
    if job is None or run.is_superseded:
        return
    place = _cell_state.place_in_job(run.task)
    slow_run_by_position = job.progress.slow_run_by_position
    stored = slow_run_by_position.get(place)
    stored_s = 0.0
    if stored is not None and stored.run_number == run.number:
        stored_s = stored.slow_s
    if run.slow_before_s is None:
        run.slow_before_s = stored_s
    if run.progress_percent >= FULL_PERCENT:
        run.slow_before_s = 0.0
        if stored is not None:
            del slow_run_by_position[place]
            cell.mark_progress_dirty(job)
        return
    slow_s = _slow_time_s(run, now_s)
    if slow_s - stored_s >= SLOW_NOTE_S:
        slow_run_by_position[place] = _progress.SlowRun(
            run.number, round(slow_s, 3)
        )
        cell.mark_progress_dirty(job)


def _longest_silence_s(run: _runs.Run, job: _jobs.Job | None) -> float:
    """Returns for how long a short task may show no progress, in seconds."""
    percent_s = run.slowest_percent_s or run.step.estimate_s / FULL_PERCENT
    longer = 0
    if job is not None:
        longer = job.stalls_by_place.get(_stall_key(run), 0)
    if job is not None and run.slowest_percent_s == 0:
        rates = _rates_elsewhere(run, job)
        median = statistics.median(rates) if rates else 0.0
        if median > 0:
            percent_s = 1 / median
        elif rates:
            # Executors seldom stall together, so its step may be a slow one.
            longer += 1
    return (
        max(SHORT_TASK_STALL_S, SLOWER_FACTOR * percent_s)
        * STALL_BACKOFF_FACTOR**longer
    )


def _stall_key(run: _runs.Run) -> tuple[_progress.TaskPosition, bool]:
    """Returns the key under which stalls of a run's task are counted.

    A run that stalled after it had progressed says nothing of how long a sound
    one takes to show its first percent.
    """
    return _cell_state.place_in_job(run.task), run.slowest_percent_s > 0


def _rates_elsewhere(run: _runs.Run, job: _jobs.Job) -> list[float]:
    """Returns the rates of its step on other executors, in percent a second."""
    step = (run.task.occurrence, run.task.step)
    return [
        rate
        for place, (executor, rate) in job.rate_by_place.items()
        if place[:2] == step and executor != run.executor
    ]

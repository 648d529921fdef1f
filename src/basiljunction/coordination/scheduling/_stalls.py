"""Detects executors whose tasks make no progress.

Load pattern: an executor answers, renews its lease and lists its tasks, but
they do no work. Its short tasks show no progress over several reports. The
stalled tasks are stopped and start on other executors from their checkpoints.
"""

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs

SHORT_TASK_STALL_S = 1.6
"""Time without progress after which a short task counts as stalled, in seconds;
reports are at most a second apart, and a task of ten seconds progresses by one
percent each 0.1 s."""

LASTING_TASK_STALL_S = 3.0
"""Time below full speed after which a task that runs until cancelled counts as
stalled, in seconds; such tasks reach full speed 0.3 s after their start."""

STALL_AVOID_S = 3.0
"""Time for which no task is placed on an executor with stalled tasks, in
seconds."""

FULL_PERCENT = 100
"""Reported percentage of a task that runs until cancelled at full speed, and
the pace of a run that is not slowed down."""


def find_stalled_runs(
    executor: _executors.ExecutorState, now_s: float
) -> list[_runs.Run]:
    """Returns the runs of an executor that make no progress.

    Short tasks are returned only if all those that have run for
    `SHORT_TASK_STALL_S` are stalled: one that progresses shows that the
    executor works.
    """
    short = [
        run
        for run in executor.run_by_key.values()
        if not run.step.runs_until_cancelled
        and run.phase is _runs.RunPhase.RUNNING
        and run.pace_percent == FULL_PERCENT
        and not run.step.gang
    ]
    old = [
        run for run in short if now_s - run.phase_since_s > SHORT_TASK_STALL_S
    ]
    stalled = [
        run
        for run in old
        if now_s - run.progress_changed_s > SHORT_TASK_STALL_S
    ]
    lasting = [
        run
        for run in executor.run_by_key.values()
        if run.step.runs_until_cancelled
        and not run.step.may_be_away
        and run.phase is _runs.RunPhase.RUNNING
        and run.progress_percent < FULL_PERCENT
        and now_s - max(run.phase_since_s, run.progress_changed_s)
        > LASTING_TASK_STALL_S
    ]
    if len(stalled) < len(old):
        stalled = []
    return stalled + lasting

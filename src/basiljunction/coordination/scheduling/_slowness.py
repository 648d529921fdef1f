"""Executors on which tasks progress far more slowly than elsewhere.

Load pattern: one executor in ten works at a fifth of its speed for some
seconds, answers all the same, and holds up every job that has a task there. Its
tasks are compared with what the fleet usually does of an estimated second of
work; single estimates may be off by half, so several tasks have to agree.
"""

import statistics

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs

SETTLING_S = 0.6
"""Time after the start that is not measured: a task may restore its state."""

WINDOW_S = 0.6
"""Shortest time between the reports that a speed is taken from; a task of ten
seconds progresses by six percent in it."""

MIN_TASKS = 2
"""Tasks that have to agree; a single one may be longer than estimated."""

SLOW_SHARE = 0.35
"""Share of the usual speed below which an executor counts as slow. Estimates
are off by half and full executors work at two thirds of their speed."""

AVOID_S = 3.0
"""How long nothing is placed on a slow executor, before it is tried again."""

LEARNING_RATE = 0.05
"""Share of a change of the usual speed that one executor's report corrects."""

MOVE_GAIN_S = 1.0
"""Time that starting again elsewhere has to gain: a stop takes up to 0.9 s."""

FULL_PERCENT = 100
"""Progress at the end of a task, and the pace of a run let alone."""


class UsualSpeed:
    """Estimated seconds of work that tasks usually do in one second."""

    def __init__(self) -> None:
        self.value = 1.0

    def learn(self, speed: float) -> None:
        """Takes the speed of one executor."""
        self.value += LEARNING_RATE * (speed - self.value)


def note_progress(run: _runs.Run, now_s: float) -> None:
    """Begins to measure a run once it has settled."""
    if run.measured_from_s is None and now_s - run.since_s >= SETTLING_S:
        run.measured_from_s = now_s
        run.measured_from_percent = run.percent


def _speed(run: _runs.Run, now_s: float) -> float | None:
    """Returns estimated seconds of work per second, if it can be told."""
    if run.step.runs_until_cancelled or run.step.gang:
        return None
    if run.phase is not _runs.Phase.RUNNING or run.step.estimate_s <= 0:
        return None
    if run.pace_percent != FULL_PERCENT or run.measured_from_s is None:
        return None
    past_s = now_s - run.measured_from_s
    if past_s < WINDOW_S:
        return None
    done = (run.percent - run.measured_from_percent) / FULL_PERCENT
    return max(0.0, done) * run.step.estimate_s / past_s


def slow_runs(
    executor: _executors.ExecutorState, usual: UsualSpeed, now_s: float
) -> list[_runs.Run]:
    """Returns the runs to start elsewhere, if the executor is slow.

    Args:
        executor: It has just reported.
        usual: What the fleet usually does; learns from this executor.
        now_s: The time.
    """
    speed_by_key = {
        key: speed
        for key, run in executor.run_by_key.items()
        if (speed := _speed(run, now_s)) is not None
    }
    if len(speed_by_key) < MIN_TASKS:
        return []
    middle = statistics.median(speed_by_key.values())
    if middle >= SLOW_SHARE * usual.value:
        usual.learn(middle)
        return []
    executor.avoid_until_s = max(executor.avoid_until_s, now_s + AVOID_S)
    return [
        executor.run_by_key[key]
        for key, speed in speed_by_key.items()
        if _gains_elsewhere(executor.run_by_key[key], speed, usual)
    ]


def _gains_elsewhere(run: _runs.Run, speed: float, usual: UsualSpeed) -> bool:
    if speed <= 0:
        return True
    left_s = run.step.estimate_s * (1 - run.percent / FULL_PERCENT)
    again_s = left_s if run.step.checkpoints else run.step.estimate_s
    return left_s / speed > again_s / usual.value + MOVE_GAIN_S

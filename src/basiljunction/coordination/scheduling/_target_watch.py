"""Records how long serving tasks exceed their latency target beside fillers.

The reported tail latency counts, as that is what users of the executors see. A
note each second tells what was done about the fillers until then.
"""

import math

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs

MIN_NOTED_S = 1.0
"""Shortest time over the target that is noted, in seconds: by then an ordinary
report has been followed by a first measure. Longer times are noted each such
time."""

MAX_DESCRIBED_FILLERS = 8
"""Most fillers that a note describes, so that it stays one line."""


def record_stretches(
    cell: _cell_state.CellState,
    executor: _executors.ExecutorState,
    now_s: float,
) -> None:
    """Notes serving tasks that stay over their target beside fillers.

    Args:
        cell: The scheduler's state, which receives the notes.
        executor: An executor that has just reported.
        now_s: Current time in seconds.
    """
    fillers = [run for run in executor.run_by_key.values() if _is_at_work(run)]
    for run in executor.run_by_key.values():
        if not run.step.is_serving:
            continue
        if fillers and run.reports_over_target:
            _continue_stretch(cell, run, fillers, now_s)
        elif run.strained_since_s is not None:
            _end_stretch(cell, run, now_s)


def _is_at_work(run: _runs.Run) -> bool:
    """Returns whether a run is a filler that may use CPU."""
    return (
        run.step.fills
        and run.phase is not _runs.RunPhase.ORDERED
        and run.pace_percent > 0
    )


def _continue_stretch(
    cell: _cell_state.CellState,
    run: _runs.Run,
    fillers: list[_runs.Run],
    now_s: float,
) -> None:
    """Begins the time over the target, or notes how long it lasts."""
    if run.strained_since_s is None:
        run.strained_since_s = now_s
        run.strain_noted_s = 0.0
    over_s = now_s - run.strained_since_s
    if over_s < run.strain_noted_s + MIN_NOTED_S:
        return
    run.strain_noted_s = math.floor(over_s / MIN_NOTED_S) * MIN_NOTED_S
    since_s = run.over_target_since_s
    cell.note(
        "task.over-target",
        task=str(run.task),
        run=run.number,
        executor=run.executor,
        for_s=round(over_s, 3),
        counted_s=0.0 if since_s is None else round(now_s - since_s, 3),
        reported_ms=run.reported_value,
        target_ms=run.step.tail_target_ms,
        headroom=round(run.headroom, 2),
        fillers=len(fillers),
        described=_describe_fillers(fillers, now_s),
    )


def _describe_fillers(fillers: list[_runs.Run], now_s: float) -> str:
    """Returns run, phase, pace and CPU of fillers, and the age of the phase.

    The pace is in percent, the CPU in millicores as reported.
    """
    return "; ".join(
        f"{each.number} {each.phase.value} {now_s - each.phase_since_s:.2f} s"
        f" {each.pace_percent}%{'?' if each.is_pace_order_in_flight else ''}"
        f" {each.reported_value:.0f}/{each.step.size.cpu_millicores}"
        for each in fillers[:MAX_DESCRIBED_FILLERS]
    )


def _end_stretch(
    cell: _cell_state.CellState, run: _runs.Run, now_s: float
) -> None:
    """Notes the end of a time over the target, unless it was short."""
    since_s = run.strained_since_s
    run.strained_since_s = None
    if since_s is None or now_s - since_s < MIN_NOTED_S:
        return
    cell.note(
        "task.within-target",
        task=str(run.task),
        run=run.number,
        executor=run.executor,
        for_s=round(now_s - since_s, 3),
        reported_ms=run.reported_value,
        target_ms=run.step.tail_target_ms,
    )

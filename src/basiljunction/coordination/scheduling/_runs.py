"""Runs of tasks on executors."""

import dataclasses
import enum

from basiljunction.state.workload import _job_spec


class Phase(enum.Enum):
    """Where a run stands."""

    ORDERED = "ordered"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task; its room stays booked until it is settled.

    Attributes:
        task: The task.
        number: Number of the run.
        executor: Id of the executor.
        step: What is run.
        phase: Where the run stands.
        since_s: When the phase began.
        checkpoint: Newest checkpoint.
        is_superseded: Whether another copy was started beside it.
        started_fresh: Whether it is known to work from the beginning.
        percent: Progress as last listed.
        progress_s: When the progress changed last.
        measured_from_s: Since when its speed is measured; None before that.
        measured_from_percent: Progress at that time.
        figure: Tail in ms or millicores in use, as last listed.
        last_figure: The figure that was taken into account last.
        figure_s: When that was.
        headroom: Target over tail in the last interval; 0 if not known.
        headroom_alone: Estimated headroom without fillers; 0 if not known.
        over_since_s: Since when the tail is over its target; None if it is
            not.
        pace_percent: Share of its speed at which it may work.
        pace_in_flight: Whether an order that changes the pace is in flight.
        paced_s: When the pace was changed last.
        next_stop_s: When the stop order goes out again.
        stop_answered_s: When a stop order was answered; None if none was.
    """

    task: _job_spec.TaskId
    number: int
    executor: str
    step: _job_spec.StepSpec
    phase: Phase
    since_s: float
    checkpoint: str = ""
    is_superseded: bool = False
    started_fresh: bool = False
    percent: float = 0.0
    progress_s: float = 0.0
    measured_from_s: float | None = None
    measured_from_percent: float = 0.0
    figure: float = 0.0
    last_figure: float = 0.0
    figure_s: float = 0.0
    headroom: float = 0.0
    headroom_alone: float = 0.0
    over_since_s: float | None = None
    pace_percent: int = 100
    pace_in_flight: bool = False
    paced_s: float = 0.0
    next_stop_s: float = 0.0
    stop_answered_s: float | None = None

    def stop(self, now_s: float) -> None:
        """Begins to stop the run."""
        if self.phase is Phase.STOPPING:
            return
        self.phase = Phase.STOPPING
        self.since_s = now_s
        self.next_stop_s = now_s
        self.stop_answered_s = None

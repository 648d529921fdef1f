"""Runs: attempts to execute a task on an executor."""

import dataclasses
import enum

from basiljunction.state.workload import _job_spec


class Phase(enum.Enum):
    """Phase of a run, from its start order to its removal.

    Attributes:
        ORDERED: The start order was sent and has not been answered.
        UNSETTLED: The start order got no clear answer; the run may exist.
        RUNNING: The executor confirmed or listed the run.
        STOPPING: The run is to be stopped.
    """

    ORDERED = "ordered"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task on one executor.

    Its capacity stays booked until the run has certainly ended. Times are
    seconds on the scheduler's steady clock.

    Attributes:
        task: The task.
        number: Number of the run; later runs have higher numbers.
        executor: Id of the executor.
        step: Specification of the task's step.
        phase: Phase of the run.
        since_s: When the phase began.
        checkpoint: Newest checkpoint, from which a later run can resume.
        is_superseded: Whether its task was requeued to run a second time
            beside it.
        started_fresh: Whether it is known to have started without a
            checkpoint.
        percent: Progress as last reported.
        progress_s: When the progress last changed.
        measured_from_s: Start of the speed measurement; None before that.
        measured_from_percent: Progress at the start of the measurement.
        figure: Last reported tail latency in ms (serving tasks) or millicores
            in use (other tasks).
        last_figure: The figure that was last used to estimate headroom.
        figure_s: When `last_figure` was used.
        headroom: Target over tail latency in the last report interval; 0 if
            not known.
        headroom_alone: Estimated headroom without fillers; 0 if not known.
        over_since_s: When the tail latency rose over its target; None if it
            is within the target.
        pace_percent: Percent of full speed at which the run may work.
        pace_in_flight: Whether a pace order waits for its answer.
        paced_s: When a pace order was last answered or failed.
        next_stop_order_s: When the next stop order is due.
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
    next_stop_order_s: float = 0.0
    stop_answered_s: float | None = None

    def stop(self, now_s: float) -> None:
        """Marks the run as stopping, with a stop order due at once."""
        if self.phase is Phase.STOPPING:
            return
        self.phase = Phase.STOPPING
        self.since_s = now_s
        self.next_stop_order_s = now_s
        self.stop_answered_s = None

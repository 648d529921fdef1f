"""Runs: attempts to execute a task on an executor."""

import dataclasses
import enum

from basiljunction.coordination.scheduling import _limits
from basiljunction.state.workload import _job_spec

FULL_PACE_PERCENT = 100
"""Pace, in percent of full speed, at which each run starts."""


class RunPhase(enum.Enum):
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
        phase_since_s: When the phase began.
        turn_s: Time since which its task could start; earlier starts of it that
            were refused or lost don't count.
        generation: Generation of orders to its executor when it was ordered.
        checkpoint: Newest checkpoint, from which a later run can resume.
        was_confirmed: Whether the executor has confirmed or listed it.
        was_listed: Whether the executor has listed it. A confirmed run that it
            has not may be one of its next incarnation.
        is_preempted: Whether it was stopped in favor of a short task.
        is_superseded: Whether its task was requeued to run a second time
            beside it.
        is_start_held: Whether its start order was not sent yet: it waits for a
            batch to be stored, or for a check of the executor.
        is_proven: Whether it was listed long enough after its start that a
            crash of its executor is not put down to it.
        is_isolated: Whether it was started apart from other unproven runs.
        is_attempt: Whether its task was a suspect of a crash as it was started,
            so that its executor is on record until it is proven.
        is_last_resort: Whether its executor was avoided for failures as it was
            ordered.
        started_without_checkpoint: Whether it is known to have started without
            a checkpoint.
        progress_percent: Progress as last reported.
        progress_changed_s: When the progress last changed.
        slow_before_s: Time, in seconds, for which a run that lasts until
            cancelled was below full speed under earlier schedulers, unless it
            has reached it since; None before that was looked up.
        slowest_percent_s: Longest time that one percent of its work took; 0
            before it has shown any.
        speed_measured_from_s: Start of the speed measurement; None before that.
        speed_measured_from_percent: Progress at the start of the measurement.
        reported_value: Last reported tail latency in ms (serving tasks) or
            millicores in use (other tasks).
        last_used_value: The figure that was last used to estimate headroom.
        last_value_used_s: When `last_used_value` was used.
        headroom: Target over tail latency in the last report interval; 0 if
            not known.
        headroom_alone: Estimated headroom without fillers; 0 if not known.
        over_target_since_s: When the tail latency rose over its target; None if
            it is within the target.
        strained_since_s: When its reported tail latency rose over its target
            beside fillers at work; None if it is not so.
        strain_noted_s: How much of that time has been noted, in seconds.
        pace_percent: Percent of full speed at which the run may work, or does
            work as far as its pace is not known.
        is_pace_known: Whether the pace is that of its start or of an order; of
            an adopted filler an earlier scheduler may have changed it.
        late_pace_until_s: Time until which an order of its pace that got no
            answer may still be carried out; its pace is not certain until the
            next one after that is answered.
        is_slowing_due: Whether it is to be slowed down as soon as it runs.
        is_pace_order_in_flight: Whether a pace order waits for its answer.
        pace_answered_s: When a pace order was last answered or failed.
        next_stop_order_s: When the next stop order is due.
        stop_answered_s: When a stop order was answered; None if none was.
    """

    task: _job_spec.TaskId
    number: int
    executor: str
    step: _job_spec.StepSpec
    phase: RunPhase
    phase_since_s: float
    turn_s: float = float("inf")
    generation: int = 0
    checkpoint: str = ""
    was_confirmed: bool = False
    was_listed: bool = False
    is_preempted: bool = False
    is_superseded: bool = False
    is_start_held: bool = False
    is_proven: bool = False
    is_isolated: bool = False
    is_attempt: bool = False
    is_last_resort: bool = False
    started_without_checkpoint: bool = False
    progress_percent: float = 0.0
    progress_changed_s: float = 0.0
    slow_before_s: float | None = None
    slowest_percent_s: float = 0.0
    speed_measured_from_s: float | None = None
    speed_measured_from_percent: float = 0.0
    reported_value: float = 0.0
    last_used_value: float = 0.0
    last_value_used_s: float = 0.0
    headroom: float = 0.0
    headroom_alone: float = 0.0
    over_target_since_s: float | None = None
    strained_since_s: float | None = None
    strain_noted_s: float = 0.0
    pace_percent: int = FULL_PACE_PERCENT
    is_pace_known: bool = True
    late_pace_until_s: float | None = None
    is_slowing_due: bool = False
    is_pace_order_in_flight: bool = False
    pace_answered_s: float = 0.0
    next_stop_order_s: float = 0.0
    stop_answered_s: float | None = None

    def mark_running(self, now_s: float) -> None:
        """Marks the run as running, as its executor confirmed."""
        self.phase = RunPhase.RUNNING
        self.phase_since_s = now_s
        self.was_confirmed = True

    def progress_awaited_since_s(self) -> float:
        """Returns since when the run may have changed its progress."""
        return max(
            self.phase_since_s, self.progress_changed_s, self.pace_answered_s
        )

    def record_progress(self, percent: float, now_s: float) -> None:
        """Records the reported progress, and how long each percent took."""
        if percent == self.progress_percent:
            return
        # A run that resumes starts with what the one before has done.
        is_own_work = (
            self.started_without_checkpoint or self.progress_percent > 0
        )
        if self.phase is RunPhase.RUNNING and is_own_work:
            passed_s = now_s - self.progress_awaited_since_s()
            gained = max(1.0, percent - self.progress_percent)
            self.slowest_percent_s = max(
                self.slowest_percent_s, passed_s / gained
            )
        self.progress_percent = percent
        self.progress_changed_s = now_s

    def record_reported_value(self, value: float) -> None:
        """Records the reported value, which also tells a pace not known.

        It may show that a late order has made the run faster.
        """
        self.reported_value = value
        requested = self.step.size.cpu_millicores
        if requested <= 0:
            return
        percent = min(
            FULL_PACE_PERCENT, int(FULL_PACE_PERCENT * value / requested)
        )
        if not self.is_pace_known:
            self.pace_percent = percent
        elif self.late_pace_until_s is not None:
            self.pace_percent = max(self.pace_percent, percent)

    @property
    def reports_over_target(self) -> bool:
        """Whether its reported tail latency may be over its target.

        It is reported in whole milliseconds, so that one at the target may be
        over it.
        """
        return (
            self.step.is_serving
            and self.reported_value >= self.step.tail_target_ms
        )

    def record_pace(self, percent: int) -> None:
        """Records the pace that an answered order set.

        The rate of progress is measured anew where the pace has changed.
        """
        if percent != self.pace_percent:
            self.speed_measured_from_s = None
        self.pace_percent = percent
        self.is_pace_known = True
        self.is_slowing_due = False

    def record_pace_answer(
        self, percent: int, now_s: float, *, is_answered: bool
    ) -> None:
        """Records whether a pace order was answered.

        One that was not may have been carried out, or may be later.
        """
        self.is_pace_order_in_flight = False
        self.pace_answered_s = now_s
        if not is_answered:
            self.late_pace_until_s = now_s + _limits.MAX_ORDER_DELAY_S
            return
        self.record_pace(percent)
        if self.late_pace_until_s is not None and (
            now_s >= self.late_pace_until_s
        ):
            self.late_pace_until_s = None

    def needs_slowing(self, percent: int) -> bool:
        """Returns whether an order has to keep the run within a pace.

        What a run has used lately does not bound a pace that is not known.
        """
        if self.is_pace_order_in_flight:
            return False
        is_certain = self.is_pace_known and self.late_pace_until_s is None
        return self.pace_percent > percent or not is_certain

    def mark_unsettled(self, now_s: float) -> None:
        """Marks the run as one that may exist or not."""
        self.phase = RunPhase.UNSETTLED
        self.phase_since_s = now_s

    def expect_next_listing(self, now_s: float) -> None:
        """Leaves it to a later listing whether the run exists.

        Only one that the executor makes from now on counts; if the run is
        being stopped, only one after another stop order.
        """
        if self.phase is RunPhase.STOPPING:
            self.next_stop_order_s = now_s
            self.stop_answered_s = None
        else:
            self.mark_unsettled(now_s)

    def mark_stopping(self, now_s: float) -> None:
        """Marks the run as stopping, with a stop order due at once."""
        if self.phase is RunPhase.STOPPING:
            return
        self.phase = RunPhase.STOPPING
        self.phase_since_s = now_s
        self.next_stop_order_s = now_s
        self.stop_answered_s = None

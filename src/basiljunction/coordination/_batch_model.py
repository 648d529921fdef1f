"""Settings of the batch core and its tables of claimed attempts and workers."""

import dataclasses
import enum

from basiljunction.coordination import _batch_events
from basiljunction.state import _job
from basiljunction.state import _records


@dataclasses.dataclass(frozen=True, slots=True)
class BatchPolicy:
    """Settings of the batch core; times in seconds.

    Attributes:
        previous_owner_guard_s: How long a previous owner may still call a
            worker after this instance read the change of owner.
        call_send_window_s: How long after its decision a call may still be
            sent.
        call_retry_s: Wait before a failed call is tried again.
        rank_delay_s: Extra wait before claiming, for each instance that is
            preferred to this one for the task.
        max_preference_rank: Upper bound of the number of preferred instances
            that delay a claim.
        max_calls_in_flight: Most calls to workers in flight.
        max_claims_per_round: Most tasks claimed in one placement round.
        checkpoint_lead_s: How long before office hours close checkpoints
            start.
        min_useful_run_time_s: Least run time before office hours close that
            makes a start worthwhile.
        finish_margin_s: Spare time before office hours close for tasks that
            have to finish by then.
        evicted_reclaim_wait_s: Wait before an evicted task may be claimed
            again.
        gang_split_after_s: How long a gang waits for one owner with capacity
            for all its tasks; after that its tasks are claimed one by one, as
            no single owner may have that capacity.
        gang_fill_timeout_s: How long claimed tasks of a gang wait until the
            others are claimed; after that they are released.
        hold_worker_after_s: Wait after which a worker is kept free for a task.
    """

    previous_owner_guard_s: float = 1.6
    call_send_window_s: float = 3.0
    call_retry_s: float = 1.0
    rank_delay_s: float = 1.0
    max_preference_rank: int = 4
    max_calls_in_flight: int = 64
    max_claims_per_round: int = 48
    checkpoint_lead_s: float = 60.0
    min_useful_run_time_s: float = 300.0
    finish_margin_s: float = 30.0
    evicted_reclaim_wait_s: float = 5.0
    gang_split_after_s: float = 10.0
    gang_fill_timeout_s: float = 15.0
    hold_worker_after_s: float = 60.0


NO_DEMAND = _job.ResourceDemand(0, 0)
"""Demand for no cores and no memory."""


class Phase(enum.StrEnum):
    """Phase of a claimed attempt, as its owner tracks it.

    Attributes:
        CLAIMING: The claim was appended but not yet read back.
        ACCEPTED: The claim holds; the attempt waits for the rest of its gang.
        STARTING: The worker is called to start it.
        ASKING: The worker is asked for its state, which is unknown here.
        RUNNING: The worker runs it.
        CHECKPOINTING: The worker is called to save a checkpoint.
        STOPPING: The worker is called to stop it.
        RECORDING: The record of its end was appended but not yet read back.
    """

    CLAIMING = "claiming"
    ACCEPTED = "accepted"
    STARTING = "starting"
    ASKING = "asking"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    RECORDING = "recording"


class EndGoal(enum.StrEnum):
    """Kind of end that the owner wants for a claimed attempt.

    Attributes:
        NONE: None; it may go on.
        EVICT: Checkpoint it, stop it and claim its task again later.
        CANCEL: Stop it, as its job was cancelled.
        RELEASE: Give up the claim of an attempt that did not run.
        LOST: Record it as failed, as its worker does not know it.
    """

    NONE = "none"
    EVICT = "evict"
    CANCEL = "cancel"
    RELEASE = "release"
    LOST = "lost"


def gang_key(job_id: str, spec: _job.TaskSpec) -> str:
    """Returns the key of a task's gang, or an empty string without gang.

    A gang is a set of tasks of one job that start together. The key is unique
    among all jobs.
    """
    return f"{job_id}#{spec.gang}" if spec.gang else ""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One claimed attempt at a task, on a worker of this instance.

    Attributes:
        ref: Task id and attempt number.
        machine: Id of its worker.
        job_id: Id of its job.
        customer: Customer who submitted the job.
        class_name: Name of the job's class of work.
        spec: The task as it was submitted.
        reserved: Capacity counted for it on the worker.
        is_standing: Whether it is a standing task, which runs without an end.
        phase: Its current phase.
        end_goal: Kind of end that is wanted for it.
        end_reason: Readable reason for the goal.
        is_adopted: Whether a previous owner claimed it.
        may_have_started: Whether a start may have reached the worker.
        call_tries: Starts sent, or refused checkpoints once it is being ended.
        next_step_boot_s: When its next call or append is due, on the boot
            clock.
        is_call_in_flight: Whether a call about it is in flight.
        lease_expires_boot_s: When its lease has certainly expired, on the boot
            clock.
        claimed_boot_s: When it was claimed or adopted, on the boot clock.
        hard_stop_wall_s: Wall time from which it is stopped even without a
            checkpoint.
        latest_report: The worker's latest report, if any.
        checkpointed_s: Seconds of work that the latest known checkpoint holds.
        speed_fraction: Fraction of full speed that it is throttled to.
        end_record: Record of its end, if it has ended.
        refusal: Why the worker refused to start it, or empty.
        peak_usage: Highest measured usage.
    """

    ref: _batch_events.TaskRef
    machine: str
    job_id: str
    customer: str
    class_name: str
    spec: _job.TaskSpec
    reserved: _job.ResourceDemand
    is_standing: bool
    phase: Phase
    end_goal: EndGoal = EndGoal.NONE
    end_reason: str = ""
    is_adopted: bool = False
    may_have_started: bool = False
    call_tries: int = 0
    next_step_boot_s: float = 0.0
    is_call_in_flight: bool = False
    lease_expires_boot_s: float = 0.0
    claimed_boot_s: float = 0.0
    hard_stop_wall_s: float = float("inf")
    latest_report: _batch_events.TaskReport | None = None
    checkpointed_s: float = 0.0
    speed_fraction: float = 1.0
    end_record: _records.Record | None = None
    refusal: str = ""
    peak_usage: _job.ResourceDemand = NO_DEMAND

    @property
    def gang_key(self) -> str:
        """Key of its gang, or an empty string."""
        return gang_key(self.job_id, self.spec)

    @property
    def class_key(self) -> str:
        """Customer and class, the key of learned run times and usage."""
        return f"{self.customer}/{self.class_name}"

    @property
    def unsaved_core_s(self) -> float:
        """Core-seconds that a stop without a checkpoint would lose."""
        done_s = self.latest_report.progress_s if self.latest_report else 0.0
        cores = self.spec.demand.millicores / 1000
        return max(0.0, done_s - self.checkpointed_s) * cores


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """One worker that this instance owns, and its free capacity.

    Attributes:
        machine: Id of the worker.
        address: Its base URL.
        zone: Availability zone.
        rack: Rack within the zone.
        epoch: Epoch of the ownership, which grows with each change of owner.
        capacity: Capacity for batch tasks.
        usable_from_boot_s: No calls before this boot time, as a previous owner
            may still call it.
        free_millicores: Thousandths of a core not counted for any attempt.
        free_memory_mib: Memory not counted for any attempt, in MiB.
        free_accelerators: Accelerators not counted for any attempt.
        count_by_class: Number of its attempts by customer and class.
        attempt_by_task: Its attempts by task id.
        is_leaving: Whether the platform announced that it leaves.
        no_new_tasks_until_boot_s: No new tasks before this boot time.
        no_new_tasks_reason: Readable reason why it takes no new tasks.
        renew_due_boot_s: Boot time of the next lease renewal.
        is_renewing: Whether a renewal or a list request is in flight.
        is_renewing_all: Whether the renewal in flight covers all its attempts.
        consecutive_failed_calls: Number of calls to it in a row that failed.
        held_for: Task or gang that it is kept free for, or empty.
        attempts_changed_boot_s: Boot time of the last change of its attempts.
        undisturbed_ratio_by_service: 99th percentile of the undisturbed
            latency over the deadline, for each class of urgent work that was
            measured on it.
    """

    machine: str
    address: str
    zone: str
    rack: str
    epoch: int
    capacity: _job.ResourceDemand
    usable_from_boot_s: float
    free_millicores: int
    free_memory_mib: int
    free_accelerators: int
    count_by_class: dict[str, int] = dataclasses.field(default_factory=dict)
    attempt_by_task: dict[str, Attempt] = dataclasses.field(
        default_factory=dict
    )
    is_leaving: bool = False
    no_new_tasks_until_boot_s: float = 0.0
    no_new_tasks_reason: str = ""
    renew_due_boot_s: float = 0.0
    is_renewing: bool = False
    is_renewing_all: bool = False
    consecutive_failed_calls: int = 0
    held_for: str = ""
    attempts_changed_boot_s: float = 0.0
    undisturbed_ratio_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def fits(self, demand: _job.ResourceDemand) -> bool:
        """Returns whether the free capacity covers a demand."""
        return (
            demand.millicores <= self.free_millicores
            and demand.memory_mib <= self.free_memory_mib
            and demand.accelerators <= self.free_accelerators
        )

    def speed_weight_by_class(self) -> dict[str, float]:
        """Returns the sum of speed fractions of its attempts, by class.

        A throttled attempt counts less than one.
        """
        weights: dict[str, float] = {}
        for attempt in self.attempt_by_task.values():
            key = attempt.class_key
            weights[key] = weights.get(key, 0.0) + attempt.speed_fraction
        return weights

    def accepts_new_tasks(self, now_boot_s: float) -> bool:
        """Returns whether the worker accepts new tasks at a boot time."""
        return not (
            self.is_leaving
            or self.consecutive_failed_calls
            or self.usable_from_boot_s > now_boot_s
            or self.no_new_tasks_until_boot_s > now_boot_s
        )

    def add_attempt(self, attempt: Attempt, now_boot_s: float) -> None:
        """Adds an attempt and reserves capacity for it."""
        self.attempt_by_task[attempt.ref.task_id] = attempt
        key = attempt.class_key
        self.count_by_class[key] = self.count_by_class.get(key, 0) + 1
        self._adjust_free_capacity(attempt.reserved, -1)
        self.attempts_changed_boot_s = now_boot_s

    def remove_attempt(self, attempt: Attempt, now_boot_s: float) -> None:
        """Removes an attempt and frees its capacity."""
        del self.attempt_by_task[attempt.ref.task_id]
        key = attempt.class_key
        self.count_by_class[key] -= 1
        if self.count_by_class[key] == 0:
            del self.count_by_class[key]
        self._adjust_free_capacity(attempt.reserved, 1)
        self.attempts_changed_boot_s = now_boot_s

    def update_reservation(
        self, attempt: Attempt, reserved: _job.ResourceDemand
    ) -> None:
        """Replaces the capacity that is reserved for an attempt."""
        self._adjust_free_capacity(attempt.reserved, 1)
        attempt.reserved = reserved
        self._adjust_free_capacity(reserved, -1)

    def _adjust_free_capacity(
        self, demand: _job.ResourceDemand, sign: int
    ) -> None:
        """Adds a demand to the free capacity, or subtracts it if sign is -1."""
        self.free_millicores += sign * demand.millicores
        self.free_memory_mib += sign * demand.memory_mib
        self.free_accelerators += sign * demand.accelerators

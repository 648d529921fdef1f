"""Orders to executors and the approval policy, and batches to store."""

import dataclasses
import enum

from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to an executor to start a run of a task.

    Attributes:
        executor: Id of the executor.
        task: The task.
        run: Number of the run.
        payload: The payload of the job, passed on unchanged.
        lease_until_ms: End of the lease on the executor's clock, in ms.
        checkpoint: Checkpoint to resume from; empty to start from the
            beginning.
        approval: Proof that the policy approved the executor; empty if the
            queue has no policy.
    """

    executor: str
    task: _job_spec.TaskId
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str
    approval: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to an executor to stop a run.

    A run whose start order may still arrive is refused from then on.

    Attributes:
        executor: Id of the executor.
        task: The task.
        run: Number of the run.
    """

    executor: str
    task: _job_spec.TaskId
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to an executor to throttle a run.

    Attributes:
        executor: Id of the executor.
        task: The task.
        run: Number of the run.
        percent: Percent of full speed, 0 to 100.
    """

    executor: str
    task: _job_spec.TaskId
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalOrder:
    """Order to renew an executor's lease and to list its runs and ends.

    Attributes:
        executor: Id of the executor.
        lease_until_ms: End of the lease on the executor's clock, in ms; None
            to leave it unchanged.
        acknowledged: Highest number of a run end that is stored; the executor
            may forget the ends up to it.
        wait_ms: How long the executor may hold back its answer until a run
            ends, in ms.
        is_for_one_incarnation: Whether it has a time or a number of the known
            incarnation's own, so that no other one may receive it. Another
            one would extend its lease too far, or forget ends unread.
    """

    executor: str
    lease_until_ms: int | None
    acknowledged: int
    wait_ms: int
    is_for_one_incarnation: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ApprovalOrder:
    """Request to the approval policy: which executors may run a step.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        executors: Ids of the executors to be decided on.
        number: Number of the request within the term.
        timeout_s: Time after which it is given up, in seconds.
    """

    job: str
    occurrence: int
    step: int
    executors: tuple[str, ...]
    number: int = 0
    timeout_s: float = 0.0


ExecutorOrder = StartOrder | StopOrder | PaceOrder | RenewalOrder
"""Any order to an executor."""

Order = ExecutorOrder | ApprovalOrder
"""Any order to an executor, or a request to the approval policy."""


class StartResult(enum.Enum):
    """Result of a start order.

    Attributes:
        STARTED: The executor started the run.
        NO_ROOM: The executor lacks the capacity.
        TOO_LATE: The order arrived after the end of its lease.
        FENCED: The executor has seen a later term.
        SUPERSEDED: The executor refused the run number as outdated.
        UNHEALTHY: The executor is unhealthy, or no connection to it could be
            opened.
        NOT_SENT: The order was not sent, as its executor has restarted or the
            run is to be stopped.
        MALFORMED: The executor could not parse the order.
        OTHER_LIFE: Another incarnation of the executor refused the order, which
            names the one that it is for.
        NOT_APPROVED: The executor refused the proof of approval.
        UNKNOWN: No clear answer; the run may exist.
    """

    STARTED = "started"
    NO_ROOM = "no-room"
    TOO_LATE = "too-late"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    UNHEALTHY = "unhealthy"
    NOT_SENT = "not-sent"
    MALFORMED = "malformed"
    OTHER_LIFE = "other-life"
    NOT_APPROVED = "not-approved"
    UNKNOWN = "unknown"

    @property
    def will_never_run(self) -> bool:
        """Whether the run was certainly not started and never will be."""
        return self in (
            StartResult.NO_ROOM,
            StartResult.TOO_LATE,
            StartResult.FENCED,
            StartResult.UNHEALTHY,
            StartResult.NOT_SENT,
            StartResult.MALFORMED,
            StartResult.OTHER_LIFE,
            StartResult.NOT_APPROVED,
        )


class SubmitResult(enum.Enum):
    """Result of the submission of a job.

    Attributes:
        ACCEPTED: The job is accepted and stored.
        NEVER_FITS: A step fits no executor of the cell.
        OVERLOADED: The queue accepts no more jobs for now.
    """

    ACCEPTED = "accepted"
    NEVER_FITS = "never-fits"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitReply:
    """Answer to a submission, sent once the job is stored.

    Attributes:
        job_id: Id of the job.
        result: Result of the submission.
    """

    job_id: str
    result: SubmitResult


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """Answer to a cancellation, sent once the final state is stored.

    Attributes:
        job_id: Id of the job.
        state: State of the job after the cancellation.
    """

    job_id: str
    state: _progress.JobState


Reply = SubmitReply | CancelReply
"""Any answer to a caller that waits for the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Highest run end of an executor that the scheduler has processed.

    Once it is stored, the executor may forget its ends up to this number.

    Attributes:
        started_wall_ms: Start time of the executor's incarnation (one run of
            its process), which identifies it; ends are numbered per
            incarnation.
        number: Number of the highest end.
    """

    started_wall_ms: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that are stored in one atomic write, and what depends on it.

    Attributes:
        records: The records to store.
        acknowledge_by_executor: Highest run end that the records cover, by id
            of the executor.
        replies: Answers to send once the records are stored.
        starts: Start orders to send once the records are stored.
    """

    records: tuple[_records.Record, ...]
    acknowledge_by_executor: dict[str, Acknowledgement]
    replies: tuple[Reply, ...]
    starts: tuple[StartOrder, ...] = ()

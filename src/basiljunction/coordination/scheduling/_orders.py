"""What the scheduler asks its surroundings to do."""

import dataclasses
import enum

from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run.

    Attributes:
        executor: Id of the executor.
        task: The task.
        run: Number of the run.
        payload: The job's text.
        lease_until_ms: End of the lease on the executor's clock.
        checkpoint: Where to resume; empty for the beginning.
        approval: Proves that the policy approved the executor; empty if the
            queue has none.
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
    """Stop a run, or bar one that may still arrive.

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
    """Let a run work at a share of its speed.

    Attributes:
        executor: Id of the executor.
        task: The task.
        run: Number of the run.
        percent: Share, 0 to 100.
    """

    executor: str
    task: _job_spec.TaskId
    run: int
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renew an executor's lease and ask what runs and what ended.

    Attributes:
        executor: Id of the executor.
        lease_until_ms: End of the lease on its clock; None to leave it.
        acknowledged: Ends up to this number are stored.
        wait_ms: How long the executor may wait for an end.
    """

    executor: str
    lease_until_ms: int | None
    acknowledged: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ApprovalOrder:
    """Ask the policy which executors may run a step.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence.
        step: Number of the step.
        executors: Ids of the executors that are asked about.
    """

    job: str
    occurrence: int
    step: int
    executors: tuple[str, ...]


ExecutorOrder = StartOrder | StopOrder | PaceOrder | HoldOrder

Order = ExecutorOrder | ApprovalOrder


class StartResult(enum.Enum):
    """What became of a start order."""

    STARTED = "started"
    NO_ROOM = "no-room"
    TOO_LATE = "too-late"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    OTHER_LIFE = "other-life"
    NOT_APPROVED = "not-approved"
    UNKNOWN = "unknown"

    @property
    def has_not_run(self) -> bool:
        """Whether the run certainly was not started and never will be."""
        return self in (
            StartResult.NO_ROOM,
            StartResult.TOO_LATE,
            StartResult.FENCED,
            StartResult.UNHEALTHY,
            StartResult.MALFORMED,
            StartResult.NOT_APPROVED,
        )


class SubmitResult(enum.Enum):
    """What became of a submission."""

    ACCEPTED = "accepted"
    NEVER_FITS = "never-fits"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitReply:
    """Answers a submission once it is settled.

    Attributes:
        job_id: The job.
        result: What became of it.
    """

    job_id: str
    result: SubmitResult


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """Answers a cancellation once it is stored.

    Attributes:
        job_id: The job.
        state: State after the cancellation.
    """

    job_id: str
    state: _progress.JobState


Reply = SubmitReply | CancelReply


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Ends of one life of an executor that may be forgotten there.

    Attributes:
        born_ms: The life.
        number: The highest end.
    """

    born_ms: int
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records that are written together, all or nothing.

    Attributes:
        records: The records.
        acknowledge_by_executor: Highest end that the records cover.
        replies: Answers that may be given once the records are stored.
    """

    records: tuple[_records.Record, ...]
    acknowledge_by_executor: dict[str, Acknowledgement]
    replies: tuple[Reply, ...]

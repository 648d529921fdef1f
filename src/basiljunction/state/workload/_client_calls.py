"""Calls of clients to the scheduler, and the replies."""

import dataclasses
import enum

from basiljunction.state.workload import _progress


class CallKind(enum.Enum):
    """Operation that a client or another instance requests.

    SUBMIT and CANCEL act on a job, STATE returns a job's state, WAITING the
    number of a queue's waiting jobs, LEADER the scheduler's address and OUTAGE
    whether the instance lacks the store.
    """

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    WAITING = "waiting"
    LEADER = "leader"
    OUTAGE = "outage"

    @property
    def is_of_instance(self) -> bool:
        """Whether the call is about the instance that receives it."""
        return self in (CallKind.LEADER, CallKind.OUTAGE)

    @property
    def changes_state(self) -> bool:
        """Whether the call submits or cancels a job, rather than reads."""
        return self in (CallKind.SUBMIT, CallKind.CANCEL)


class CallOutcome(enum.Enum):
    """Result of a client's call.

    Attributes:
        ACCEPTED: The submitted job is accepted and stored.
        FOUND: The reply holds the job's state or the number of waiting jobs.
        NO_SUCH_JOB: No job with this id is known.
        NEVER_FITS: A step of the job fits no executor.
        MALFORMED: The submitted job cannot be decoded.
        OVERLOADED: The queue accepts no more jobs for now.
        UNAVAILABLE: No scheduler could answer in time; the call had no effect.
        UNKNOWN: No answer in time; the call may have had an effect.
        NOT_LEADER: The instance is not the scheduler.
    """

    ACCEPTED = "accepted"
    FOUND = "found"
    NO_SUCH_JOB = "no-such-job"
    NEVER_FITS = "never-fits"
    MALFORMED = "malformed"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"
    NOT_LEADER = "not-leader"

    @property
    def means_no_effect(self) -> bool:
        """Whether the call certainly had no effect and never will have one."""
        return self in _NO_EFFECT_OUTCOMES


# Outcomes of calls that certainly had no effect.
_NO_EFFECT_OUTCOMES = frozenset(
    {
        CallOutcome.NEVER_FITS,
        CallOutcome.MALFORMED,
        CallOutcome.OVERLOADED,
        CallOutcome.UNAVAILABLE,
        CallOutcome.NOT_LEADER,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class ClientCall:
    """Validated and decoded call of a client.

    Attributes:
        kind: Requested operation.
        queue: Name of the queue.
        job_id: Id of the job; empty for a call about the queue.
        encoded_job: The encoded job of a submission.
        configuration_version: Version of the configuration that routed the
            call.
        epoch: Epoch of the term of the scheduler that asks for an outage.
    """

    kind: CallKind
    queue: str
    job_id: str = ""
    encoded_job: bytes = b""
    configuration_version: int = 0
    epoch: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientReply:
    """Reply to a client's call.

    Attributes:
        outcome: Result of the call.
        job_state: State of the job, for calls that read or cancel one.
        waiting_job_count: Number of the queue's jobs that have not started a
            task.
        leader_address: Address of the newest known scheduler; empty if none
            is known.
        leader_epoch: Epoch of that scheduler's term.
        term_stage: Stage of the term that the answering instance holds without
            answering calls; empty if it holds none.
        lacks_store: Whether the instance reports that it cannot reach the
            store, so that the scheduler that asked may grant leases.
    """

    outcome: CallOutcome
    job_state: _progress.JobState | None = None
    waiting_job_count: int = 0
    leader_address: str = ""
    leader_epoch: int = 0
    term_stage: str = ""
    lacks_store: bool = False

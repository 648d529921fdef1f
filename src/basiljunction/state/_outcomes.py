"""Outcomes of a request: completed, certainly not run, or unknown."""

import dataclasses
import enum


class Step(enum.StrEnum):
    """Step of the urgent, batch or control path at which something happened.

    The fault matrix in docs/fault-matrix.md has a row for each step.
    """

    ACCEPT = "accept"
    ADMIT = "admit"
    INTENT_APPEND = "intent-append"
    INTENT_READ_BACK = "intent-read-back"
    FORWARD = "forward"
    OWNER_ADMIT = "owner-admit"
    CONNECT = "connect"
    SEND = "send"
    WAIT = "wait"
    RECEIVE = "receive"
    RETURN = "return"
    ANSWER = "answer"
    SUBMIT_APPEND = "submit-append"
    SUBMIT_READ_BACK = "submit-read-back"
    CLAIM_APPEND = "claim-append"
    CLAIM_READ_BACK = "claim-read-back"
    START = "start"
    RENEW = "renew"
    USAGE_REPORT = "usage-report"
    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    EVICT_RECORD = "evict-record"
    STOP = "stop"
    RESUME = "resume"
    COMPLETE_RECORD = "complete-record"
    CANCEL = "cancel"
    PUBLISH_APPEND = "publish-append"
    PUBLISH_READ_BACK = "publish-read-back"
    APPLY = "apply"
    SNAPSHOT_WRITE = "snapshot-write"
    SNAPSHOT_READ = "snapshot-read"
    JOIN = "join"
    VOUCH = "vouch"
    SUSPECT = "suspect"
    TAKE_OVER = "take-over"
    HAND_OVER = "hand-over"
    DRAIN = "drain"
    EXIT = "exit"


class Reason(enum.StrEnum):
    """Reason why a request, record or task was refused, failed or unknown."""

    NO_CONTRACT = "no-contract"
    UNKNOWN_CLASS = "unknown-class"
    OUTSIDE_HOURS = "outside-hours"
    RATE_EXCEEDED = "rate-exceeded"
    CONCURRENCY_EXCEEDED = "concurrency-exceeded"
    QUOTA_EXCEEDED = "quota-exceeded"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_PASSED = "deadline-passed"
    NO_EXECUTOR = "no-executor"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NOT_READY = "not-ready"
    LEASE_LAPSED = "lease-lapsed"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    REFUSED_BY_PEER = "refused-by-peer"
    INCOMPLETE_ANSWER = "incomplete-answer"
    TIMEOUT = "timeout"
    LOG_UNAVAILABLE = "log-unavailable"
    KEY_IN_USE = "key-in-use"
    KEY_TOO_OLD = "key-too-old"
    KEY_REQUIRED = "key-required"
    STALE_VERSION = "stale-version"
    STALE_EPOCH = "stale-epoch"
    STALE_ATTEMPT = "stale-attempt"
    STALE_INCARNATION = "stale-incarnation"
    DUPLICATE = "duplicate"
    UNDECODABLE = "undecodable"
    NOT_OWNER = "not-owner"
    UNKNOWN_SUBJECT = "unknown-subject"
    ALREADY_ENDED = "already-ended"
    NOT_ENOUGH_SUSPECTS = "not-enough-suspects"
    NEVER_FITS = "never-fits"
    POISON = "poison"
    CANCELLED = "cancelled"
    WORKER_FAILED = "worker-failed"
    DEPENDENCY_FAILED = "dependency-failed"
    DEPENDENCY_OPEN = "dependency-open"
    INVALID_JOB = "invalid-job"


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Outcome of a request whose complete answer arrived from the executor.

    Attributes:
        status: HTTP status of the executor's answer.
        body: Complete body of the answer.
        content_type: Media type of the body.
        peer: Name of the executor that answered.
    """

    status: int
    body: bytes
    content_type: str
    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Outcome of a request that certainly was not run by any executor.

    Attributes:
        step: Step at which it was refused.
        peer: The peer that refused it, or the address for which it was refused.
        reason: Why it was refused.
        retry_after_s: Seconds after which a retry may succeed; None if no
            retry can succeed.
        detail: Human-readable explanation.
    """

    step: Step
    peer: str
    reason: Reason
    retry_after_s: float | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """Outcome of a request of which it is unknown whether it was run.

    Attributes:
        step: Step after which its progress is unknown.
        peer: The peer that may have run it.
        reason: Why its progress is unknown.
        detail: Human-readable explanation.
    """

    step: Step
    peer: str
    reason: Reason
    detail: str = ""


Outcome = Completed | NotRun | Unknown
"""Outcome of a request to a service."""

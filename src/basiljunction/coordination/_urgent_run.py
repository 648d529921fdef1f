"""State of one hop at its owner, and the outcomes that the owner returns."""

import dataclasses
import enum

from basiljunction.coordination import _admission
from basiljunction.coordination import _urgent_request
from basiljunction.state import _contract
from basiljunction.state import _outcomes


class HopPhase(enum.Enum):
    """Phase of a hop (one attempt of a request at one owner) at its owner.

    Attributes:
        INTENT: Waiting until its intent record is read back from the log.
        QUEUED: Waiting for an executor slot.
        CALLING: A call to an executor is in flight.
    """

    INTENT = "intent"
    QUEUED = "queued"
    CALLING = "calling"


@dataclasses.dataclass(slots=True)
class HopRun:
    """State that an owner keeps of a hop, from admission to outcome.

    A hop is one attempt of a request at one owner of executors.

    Attributes:
        hop: The hop.
        work_class: Its class in the contract.
        weight: The customer's weight in fair queueing.
        phase: Current phase.
        called_executors: Executors that were called for it.
        call_count: Number of calls made for it.
        call_id: Id of the newest call.
        has_intent: Whether its intent was read back from the log as accepted.
        unknown_outcome: Newest outcome of a call that may have run; None if
            there is none.
    """

    hop: _urgent_request.Hop
    work_class: _contract.WorkClass
    weight: float
    phase: HopPhase
    called_executors: set[str] = dataclasses.field(default_factory=set)
    call_count: int = 0
    call_id: int = 0
    has_intent: bool = False
    unknown_outcome: _outcomes.Unknown | None = None

    @property
    def class_key(self) -> tuple[str, str]:
        """Customer and class name; the key of budgets and service times."""
        return (self.hop.customer, self.hop.class_name)

    def record_call(self, call: _urgent_request.CallExecutor) -> None:
        """Records a call that is being made and enters the calling phase."""
        self.phase = HopPhase.CALLING
        self.call_id = call.call_id
        self.call_count += 1
        self.called_executors.add(call.executor)


def build_hop_ended(
    owner: str, hop: _urgent_request.Hop, outcome: _outcomes.Outcome
) -> _urgent_request.HopEnded:
    """Returns the event that a hop ended with an outcome."""
    return _urgent_request.HopEnded(owner, hop.key, outcome)


def build_admission_refusal(
    owner: str,
    reason: _outcomes.Reason,
    retry_after_s: float | None,
    detail: str,
) -> _outcomes.NotRun:
    """Returns a NotRun outcome of an owner that does not admit a hop.

    Args:
        owner: The owner.
        reason: Reason of the refusal.
        retry_after_s: Seconds until a retry makes sense; None for never.
        detail: Explanation for the caller.
    """
    return _outcomes.NotRun(
        _outcomes.Step.OWNER_ADMIT, owner, reason, retry_after_s, detail
    )


def build_key_refusal(
    owner: str, reason: _outcomes.Reason, known_end: str
) -> _outcomes.NotRun:
    """Returns a NotRun outcome for a refused idempotency key.

    Args:
        owner: The owner.
        reason: Reason of the refusal.
        known_end: How an earlier request with the key ended, if known.
    """
    retry_after_s = None
    detail = ""
    if reason is _outcomes.Reason.KEY_IN_USE:
        detail = known_end
    elif reason is not _outcomes.Reason.KEY_TOO_OLD:
        retry_after_s = 1.0
    return _outcomes.NotRun(
        _outcomes.Step.INTENT_APPEND, owner, reason, retry_after_s, detail
    )


def build_deadline_refusal(
    owner: str, wait_s: float, detail: str
) -> _outcomes.NotRun:
    """Returns a NotRun outcome for a queued hop that can't meet its deadline.

    Args:
        owner: The owner.
        wait_s: Expected wait for a slot, after which a retry makes sense.
        detail: Explanation for the caller.
    """
    return _outcomes.NotRun(
        _outcomes.Step.WAIT,
        owner,
        _outcomes.Reason.DEADLINE_UNREACHABLE,
        max(_admission.MIN_RETRY_AFTER_S, wait_s),
        detail,
    )


def build_intent_timeout(owner: str) -> _outcomes.NotRun:
    """Returns a NotRun outcome for an intent that was not read back in time."""
    return _outcomes.NotRun(
        _outcomes.Step.INTENT_READ_BACK,
        owner,
        _outcomes.Reason.LOG_UNAVAILABLE,
        1.0,
        "the intent was not read back from the log in time",
    )

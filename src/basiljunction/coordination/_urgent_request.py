"""Requests, events and actions of the urgent (latency-critical) path.

A hop is one attempt of a request at one owner of executors.
"""

import dataclasses

from basiljunction.coordination import _messages
from basiljunction.state import _outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentRequest:
    """A latency-critical request as received from a caller.

    Attributes:
        request_id: Id, unique among the requests in flight.
        customer: The authenticated customer.
        class_name: Work class in the customer's contract.
        body: Request body, passed on unchanged.
        content_type: Media type of the body.
        deadline_s: Seconds within which the caller wants the answer; None for
            the deadline of the class.
        idempotency_key: Identifies the request over retries; empty for none.
    """

    request_id: str
    customer: str
    class_name: str
    body: bytes
    content_type: str
    deadline_s: float | None = None
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a caller's request was received.

    Attributes:
        request: The request.
    """

    request: UrgentRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """Event: a call to an executor ended.

    Attributes:
        call_id: Id of the call.
        outcome: Its outcome.
        elapsed_s: Duration of the call.
    """

    call_id: int
    outcome: _outcomes.Outcome
    elapsed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallExecutor:
    """Action: call an executor and report the end as ``CallEnded``.

    Attributes:
        call_id: Id of the call.
        executor: Id of the executor.
        address: Base URL of the executor.
        connections: Maximum number of connections to the executor.
        hop: The request to send.
        deadline_boot_s: Time at which the call is aborted.
    """

    call_id: int
    executor: str
    address: str
    connections: int
    hop: "Hop"
    deadline_boot_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Action: send a request's outcome to its caller.

    Attributes:
        request_id: Id of the request.
        customer: Customer of the request.
        class_name: Work class of the request.
        outcome: The outcome.
        elapsed_s: Time from arrival to answer.
    """

    request_id: str
    customer: str
    class_name: str
    outcome: _outcomes.Outcome
    elapsed_s: float


def build_reply(
    request: UrgentRequest, outcome: _outcomes.Outcome, elapsed_s: float
) -> Reply:
    """Returns the action that answers a request with an outcome."""
    return Reply(
        request.request_id,
        request.customer,
        request.class_name,
        outcome,
        elapsed_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HopKey:
    """Identifies a hop: one attempt of a request at one owner.

    Attributes:
        sender: Entry instance, which holds the caller's connection.
        request_id: Id of the request.
        attempt: Attempt number; increases with each attempt of the sender.
    """

    sender: str
    request_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """One attempt of a request at one owner of executors.

    Attributes:
        key: Identifies the hop.
        customer: Customer of the request.
        class_name: Work class in the customer's contract.
        contract_version: Version of the contract at the entry instance.
        deadline_boot_s: Time by which the hop has to end, on this instance's
            clock.
        idempotency_key: Identifies the request over retries; empty for none.
        body: Request body.
        content_type: Media type of the body.
    """

    key: HopKey
    customer: str
    class_name: str
    contract_version: int
    deadline_boot_s: float
    idempotency_key: str
    body: bytes
    content_type: str


@dataclasses.dataclass(frozen=True, slots=True)
class HopRequested:
    """Decision of the half that answers callers: send a hop to an owner.

    Attributes:
        owner: Instance that owns the executors.
        hop: The hop to run.
    """

    owner: str
    hop: Hop


@dataclasses.dataclass(frozen=True, slots=True)
class HopEnded:
    """The outcome of a hop, from its owner to the entry half.

    Attributes:
        owner: Instance that ran or refused the hop.
        key: Identifies the hop.
        outcome: Its outcome.
    """

    owner: str
    key: HopKey
    outcome: _outcomes.Outcome


def hop_to_message(hop: Hop, now_boot_s: float) -> _messages.ForwardRequest:
    """Returns the peer message that carries a hop to its owner."""
    return _messages.ForwardRequest(
        request_id=hop.key.request_id,
        sender=hop.key.sender,
        customer=hop.customer,
        class_name=hop.class_name,
        contract_version=hop.contract_version,
        remaining_s=hop.deadline_boot_s - now_boot_s,
        idempotency_key=hop.idempotency_key,
        body=hop.body,
        content_type=hop.content_type,
        attempt=hop.key.attempt,
    )


def hop_from_message(
    message: _messages.ForwardRequest, now_boot_s: float
) -> Hop:
    """Returns the hop that a peer message carries.

    The message has the remaining time, not the deadline, since the clocks of
    two instances differ.
    """
    return Hop(
        key=HopKey(message.sender, message.request_id, message.attempt),
        customer=message.customer,
        class_name=message.class_name,
        contract_version=message.contract_version,
        deadline_boot_s=now_boot_s + message.remaining_s,
        idempotency_key=message.idempotency_key,
        body=message.body,
        content_type=message.content_type,
    )

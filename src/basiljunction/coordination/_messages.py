"""Messages that instances send to each other."""

import dataclasses

from basiljunction.state import _outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of a connection; it names the sender.

    Attributes:
        sender: Sending instance.
        peer_address: Address where the sender listens, ``ip:port``.
    """

    sender: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Requests a voucher from an instance and answers its newest heartbeat.

    Attributes:
        sender: Sending instance.
        incarnation: Incarnation of the sender.
        sent_boot_s: Time of sending on the sender's boot clock; the answer
            echoes it.
        next_offset: Offset of the next log entry that the sender will fold.
        echoed_boot_s: ``sent_boot_s`` of the receiver's newest heartbeat; -1
            if this answers none.
        echoed_incarnation: Incarnation of the receiver in that heartbeat.
        granted: Whether the sender vouches for the receiver.
    """

    sender: str
    incarnation: int
    sent_boot_s: float
    next_offset: int
    echoed_boot_s: float = -1.0
    echoed_incarnation: int = 0
    granted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Voucher:
    """Answers a heartbeat; if granted, it counts for its sender's lease.

    An instance holds the lease on its machines while a majority of its electors
    vouch for it. A voucher lasts ``voucher_s`` from the sending of the
    heartbeat.

    Attributes:
        sender: Answering instance.
        incarnation: Incarnation of the sender.
        echoed_boot_s: ``sent_boot_s`` of the heartbeat.
        echoed_incarnation: Incarnation of the heartbeat.
        granted: Whether the sender vouches for the heartbeat's sender.
        next_offset: The ``next_offset`` of the heartbeat.
    """

    sender: str
    incarnation: int
    echoed_boot_s: float
    echoed_incarnation: int
    granted: bool
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """An urgent request forwarded to the owner of an executor.

    Attributes:
        request_id: Matches the reply.
        sender: Entry instance that received it from the caller.
        customer: Customer that the request belongs to.
        class_name: Class of work in the contract.
        contract_version: Version of the contract that the sender admitted
            it under.
        remaining_s: Time left to the deadline at sending, in seconds.
        idempotency_key: The caller's key, or empty.
        body: The caller's body.
        content_type: Media type of the body.
        attempt: Number of the attempt; it grows with each one of the sender.
    """

    request_id: str
    sender: str
    customer: str
    class_name: str
    contract_version: int
    remaining_s: float
    idempotency_key: str
    body: bytes
    content_type: str
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReply:
    """The outcome of a forwarded request.

    Attributes:
        request_id: Id of the request.
        sender: Owner that completed or refused the request.
        outcome: How the request ended.
        attempt: Number of the attempt that this answers.
    """

    request_id: str
    sender: str
    outcome: _outcomes.Outcome
    attempt: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLoad:
    """Reports the load of an owner to its peers, repeatedly.

    Attributes:
        sender: The reporting owner.
        free_slots: Number of free slots on its executors.
        queued: Number of requests waiting at the owner.
        expected_wait_s: Expected wait of a new request, in seconds.
    """

    sender: str
    free_slots: int
    queued: int
    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDemand:
    """Requests a share of a customer's limits from the customer's home.

    The home is the instance that lends out the limits of a customer.

    Attributes:
        sender: Requesting instance.
        customer: Customer whose limits are requested.
        rate_per_s: Requests per second that the sender expects.
        concurrency: Requests in flight that the sender expects.
        sent_boot_s: Time of sending on the sender's boot clock; the grant
            echoes it.
    """

    sender: str
    customer: str
    rate_per_s: float
    concurrency: int
    sent_boot_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitGrant:
    """Lends a share of a customer's limits for a limited time.

    Attributes:
        sender: The customer's home.
        customer: Customer whose limits are lent.
        rate_per_s: Requests per second, in addition to the even share.
        concurrency: Requests in flight, in addition to the even share.
        echoed_boot_s: ``sent_boot_s`` of the demand.
    """

    sender: str
    customer: str
    rate_per_s: float
    concurrency: int
    echoed_boot_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesPushed:
    """Sends log entries that a peer requested, encoded as in the log.

    Attributes:
        sender: Sending instance.
        first_offset: Offset of the first entry.
        payloads: Encoded entries in offset order, without gaps.
    """

    sender: str
    first_offset: int
    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesWanted:
    """Requests log entries from a peer, starting at an offset."""

    sender: str
    from_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateWanted:
    """Requests one chunk of the whole folded state from a peer."""

    sender: str
    chunk_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateChunk:
    """One chunk of the sender's encoded folded state.

    Attributes:
        sender: Sending instance.
        next_offset: Offset of the next log entry to fold into this state.
        index: Position of the chunk, from 0.
        count: Number of chunks.
        payload: Bytes of the chunk.
    """

    sender: str
    next_offset: int
    index: int
    count: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainWanted:
    """Requests a peer's stored decisions about a task, job or request."""

    query_id: str
    sender: str
    subject: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainReply:
    """Returns stored decisions about a subject as JSON lines, oldest first."""

    query_id: str
    sender: str
    lines: tuple[str, ...]


PeerMessage = (
    Hello
    | Heartbeat
    | Voucher
    | ForwardRequest
    | ForwardReply
    | OwnerLoad
    | LimitDemand
    | LimitGrant
    | EntriesPushed
    | EntriesWanted
    | StateWanted
    | StateChunk
    | ExplainWanted
    | ExplainReply
)
"""Any message between two instances."""

"""Messages to and from the state task, its interfaces, and its errors."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
from typing import Any
from typing import Protocol
from typing import runtime_checkable

from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _log_buffer
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict


class MessageReceiver(Protocol):
    """A task, or a stand-in for one, that receives messages."""

    def tell(self, message: object) -> None:
        """Puts one message into the recipient's mailbox."""
        ...


class DecisionCore(Protocol):
    """Decision logic that turns events into actions, without any I/O."""

    def handle(
        self, state: _system.SystemState, event: object, now: _time.Now
    ) -> list[Any]:
        """Handles one event and returns the actions to execute.

        Args:
            state: The folded state; read only.
            event: What happened.
            now: Current time.
        """
        ...


@runtime_checkable
class ExplainingCore(Protocol):
    """A core that can explain the status of a task or job."""

    def explain(
        self, state: _system.SystemState, subject: str, now: _time.Now
    ) -> tuple[_explain_ring.ExplainLine, ...]:
        """Returns lines on the status of a subject and what it waits for."""
        ...


class WorkerCaller(Protocol):
    """Makes calls to workers."""

    def submit_call(self, call: Any) -> None:  # noqa: ANN401 - the batch core's own action type
        """Starts a call; its result is sent to the state task as a message."""
        ...


class AppendError(RuntimeError):
    """Base of the errors for records that were not read back from the log.

    Attributes:
        step: Step of the append that failed.
        peer: Always ``log``.
        reason: Reason of the failure.
    """

    def __init__(
        self, step: _outcomes.Step, reason: _outcomes.Reason, detail: str
    ) -> None:
        super().__init__(f"{step}: {reason}: {detail}")
        self.step = step
        self.peer = "log"
        self.reason = reason


class AppendDroppedError(AppendError):
    """The records are certainly not in the log and never will be."""


class AppendUnsettledError(AppendError):
    """Whether the records are, or will be, in the log is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequested:
    """Request to append records and to reply with their verdicts.

    Attributes:
        records: Records, appended in this order in one entry.
        reply: Receives one verdict for each record once they are read back,
            or an ``AppendError``.
        not_after_boot_s: Boot-clock time, in seconds. The records are dropped
            if the first attempt has not begun by then; if it has, the reply
            fails as unsettled at that time.
        error_step: Step that errors name.
    """

    records: tuple[_records.Record, ...]
    reply: "futures.Future[tuple[_verdict.Verdict, ...]]"
    not_after_boot_s: float = float("inf")
    error_step: _outcomes.Step = _outcomes.Step.PUBLISH_APPEND


@dataclasses.dataclass(frozen=True, slots=True)
class QueryRequested:
    """Request to run a read-only function on the folded state.

    Attributes:
        query: Function of the state and the current time.
        reply: Receives the function's result or its exception.
    """

    query: Callable[[_system.SystemState, _time.Now], Any]
    reply: "futures.Future[Any]"


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRequested:
    """Request for the recorded decisions about a subject.

    Attributes:
        subject: ID of a task, job or request.
        reply: Receives the decisions of all instances.
    """

    subject: str
    reply: "futures.Future[tuple[_explain_ring.ExplainLine, ...]]"


@dataclasses.dataclass(frozen=True, slots=True)
class TicketAppendStarted:
    """Message of the appender: it is about to append a ticket's records.

    Sent before the first attempt only.

    Attributes:
        number: Number of the ticket.
        author: Author under which the records are appended.
        first_sequence: Sequence number of the first record.
    """

    number: int
    author: _records.Author
    first_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TicketDropped:
    """Message that a ticket's records were certainly not appended.

    Attributes:
        number: Number of the ticket.
        detail: Reason.
    """

    number: int
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketAppendRequested:
    """Request to the appender to append a ticket's records.

    A ticket is a group of records that is appended as a whole.
    """

    ticket: _log_buffer.AppendTicket


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsReadBack:
    """Message to the appender: the author's records up to here are read back.

    Attributes:
        author: Author of the records.
        sequence: Sequence number of the last of them.
    """

    author: _records.Author
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """Request to the log reader to continue reading at an offset."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddressesChanged:
    """Message to the peer links with the new addresses of the peers.

    Attributes:
        address_by_instance: ``ip:port`` of each other member.
    """

    address_by_instance: dict[str, str]


def run_query(
    request: QueryRequested, state: _system.SystemState, now: _time.Now
) -> None:
    """Runs a query on the state; its result or exception becomes the reply."""
    try:
        request.reply.set_result(request.query(state, now))
    except Exception as error:  # noqa: BLE001 - becomes the reply
        request.reply.set_exception(error)

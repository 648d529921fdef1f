"""The backend that passes the HTTP server's work to tasks as messages."""

from collections.abc import Callable
from concurrent import futures
from typing import TypeVar

from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _urgent_request
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict
from basiljunction.transport import _backend
from basiljunction.transport import _state_messages
from basiljunction.transport import _urgent_task

T = TypeVar("T")


class TaskBackend(_backend.Backend):
    """Sends each call as one message with a future for the reply.

    Args:
        state: The state task.
        urgent: The urgent task.
    """

    def __init__(
        self,
        *,
        state: _state_messages.MessageReceiver,
        urgent: _state_messages.MessageReceiver,
    ) -> None:
        self._state = state
        self._urgent = urgent

    def run_request(
        self, request: _urgent_request.UrgentRequest
    ) -> "futures.Future[_outcomes.Outcome]":
        """Runs one latency-critical request; the future gets its outcome."""
        reply: futures.Future[_outcomes.Outcome] = futures.Future()
        self._urgent.tell(_urgent_task.UrgentRequestSubmitted(request, reply))
        return reply

    def append_records(
        self, records: tuple[_records.Record, ...], *, not_after_boot_s: float
    ) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
        """Appends records to the log; the future gets their verdicts."""
        reply: futures.Future[tuple[_verdict.Verdict, ...]] = futures.Future()
        self._state.tell(
            _state_messages.AppendRequested(records, reply, not_after_boot_s)
        )
        return reply

    def query_state(
        self, read: Callable[[_system.SystemState, _time.Now], T]
    ) -> "futures.Future[T]":
        """Runs a read-only function on the folded state."""
        reply: futures.Future[T] = futures.Future()
        self._state.tell(_state_messages.QueryRequested(read, reply))
        return reply

    def explain_subject(
        self, subject: str
    ) -> "futures.Future[tuple[_explain_ring.ExplainLine, ...]]":
        """Requests the decisions about a subject, oldest first."""
        reply: futures.Future[tuple[_explain_ring.ExplainLine, ...]]
        reply = futures.Future()
        self._state.tell(_state_messages.ExplainRequested(subject, reply))
        return reply

"""Backend over an in-memory state, with faults that can be switched on."""

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
from basiljunction.transport import _task
import builders

T = TypeVar("T")


def completed_future(value: T) -> "futures.Future[T]":
    """Returns a future that is completed with a value."""
    future: futures.Future[T] = futures.Future()
    future.set_result(value)
    return future


def failed_future(
    error: Exception,
) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
    """Returns a future that has failed with an error."""
    future: futures.Future[tuple[_verdict.Verdict, ...]] = futures.Future()
    future.set_exception(error)
    return future


class FakeBackend(_backend.Backend):
    """Answers calls of the API at once from an in-memory log.

    Attributes:
        log: Log and folded state.
        outcome: Outcome of every request.
        requests: Received requests, in order.
        drop_appends: Whether appends fail with certainty of no effect.
        lose_answers: Whether appends take effect but their answers are lost.
        is_full: Whether every call fails because a mailbox is full.
        lines_by_subject: Explained decisions by subject.
        on_append: Called after each append that took effect.
    """

    def __init__(self) -> None:
        """Creates a backend with an empty log."""
        self.log = builders.LogBuilder()
        self.outcome: _outcomes.Outcome = _outcomes.Completed(
            200, b"done", "text/plain", "executor-1"
        )
        self.requests: list[_urgent_request.UrgentRequest] = []
        self.drop_appends = False
        self.lose_answers = False
        self.is_full = False
        self.lines_by_subject: dict[
            str, tuple[_explain_ring.ExplainLine, ...]
        ] = {}
        self.on_append: Callable[[], None] = lambda: None

    def run_request(
        self, request: _urgent_request.UrgentRequest
    ) -> "futures.Future[_outcomes.Outcome]":
        """Records the request and returns the preset outcome."""
        self._raise_if_full()
        self.requests.append(request)
        return completed_future(self.outcome)

    def append_records(
        self, records: tuple[_records.Record, ...], *, not_after_boot_s: float
    ) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
        """Appends and folds the records, subject to the switched-on faults."""
        self._raise_if_full()
        if self.drop_appends:
            return failed_future(
                _state_messages.AppendDroppedError(
                    _outcomes.Step.PUBLISH_APPEND,
                    _outcomes.Reason.LOG_UNAVAILABLE,
                    "fake",
                )
            )
        verdicts = tuple(self.log.append(record) for record in records)
        self.on_append()
        if self.lose_answers:
            return failed_future(
                _state_messages.AppendUnsettledError(
                    _outcomes.Step.PUBLISH_READ_BACK,
                    _outcomes.Reason.TIMEOUT,
                    "fake",
                )
            )
        return completed_future(verdicts)

    def query_state(
        self, read: Callable[[_system.SystemState, _time.Now], T]
    ) -> "futures.Future[T]":
        """Returns the result of a read function on the folded state."""
        self._raise_if_full()
        return completed_future(read(self.log.state, _time.Now(0.0, 0.0)))

    def explain_subject(
        self, subject: str
    ) -> "futures.Future[tuple[_explain_ring.ExplainLine, ...]]":
        """Returns the preset decisions on a subject."""
        self._raise_if_full()
        return completed_future(self.lines_by_subject.get(subject, ()))

    def _raise_if_full(self) -> None:
        """Raises MailboxFullError if the backend is set to be full."""
        if self.is_full:
            raise _task.MailboxFullError("fake", 0)

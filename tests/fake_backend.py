"""A backend over a state in memory, with faults that are switched on."""

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


def done(value: T) -> "futures.Future[T]":
    """Returns a future that has its result."""
    future: futures.Future[T] = futures.Future()
    future.set_result(value)
    return future


def failed(error: Exception) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
    """Returns a future that has failed."""
    future: futures.Future[tuple[_verdict.Verdict, ...]] = futures.Future()
    future.set_exception(error)
    return future


class FakeBackend(_backend.Backend):
    """Folds at once what it is given.

    Attributes:
        log: The log and the folded state.
        outcome: Outcome of every request.
        requests: Requests that came in.
        drop_appends: Appends certainly have no effect.
        lose_answers: Appends take effect, but their answers are lost.
        is_full: Every mailbox is full.
        lines_by_subject: Decisions by subject.
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
        """Answers with the set outcome."""
        self._check_room()
        self.requests.append(request)
        return done(self.outcome)

    def append_records(
        self, records: tuple[_records.Record, ...], *, not_after_boot_s: float
    ) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
        """Folds the records."""
        self._check_room()
        if self.drop_appends:
            return failed(
                _state_messages.AppendDroppedError(
                    _outcomes.Step.PUBLISH_APPEND,
                    _outcomes.Reason.LOG_UNAVAILABLE,
                    "fake",
                )
            )
        verdicts = tuple(self.log.append(record) for record in records)
        self.on_append()
        if self.lose_answers:
            return failed(
                _state_messages.AppendUnsettledError(
                    _outcomes.Step.PUBLISH_READ_BACK,
                    _outcomes.Reason.TIMEOUT,
                    "fake",
                )
            )
        return done(verdicts)

    def query_state(
        self, read: Callable[[_system.SystemState, _time.Now], T]
    ) -> "futures.Future[T]":
        """Reads the state."""
        self._check_room()
        return done(read(self.log.state, _time.Now(0.0, 0.0)))

    def explain_subject(
        self, subject: str
    ) -> "futures.Future[tuple[_explain_ring.ExplainLine, ...]]":
        """Answers with the set lines."""
        self._check_room()
        return done(self.lines_by_subject.get(subject, ()))

    def _check_room(self) -> None:
        if self.is_full:
            raise _task.MailboxFullError("fake", 0)

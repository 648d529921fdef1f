"""Interface between the HTTP server and the tasks that do its work."""

import abc
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

T = TypeVar("T")
"""Type of the result of a query."""


class Backend(abc.ABC):
    """Passes work from the HTTP server to the state and urgent tasks.

    Each method returns at once; the future receives the result.
    """

    @abc.abstractmethod
    def run_request(
        self, request: _urgent_request.UrgentRequest
    ) -> "futures.Future[_outcomes.Outcome]":
        """Runs one latency-critical request; the future gets its outcome.

        Raises:
            MailboxFullError: The request was not accepted and does not run.
        """

    @abc.abstractmethod
    def append_records(
        self, records: tuple[_records.Record, ...], *, not_after_boot_s: float
    ) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
        """Appends records to the log; the future gets their verdicts.

        The verdicts are there once the records are read back. The future raises
        ``AppendDroppedError`` or ``AppendUnsettledError`` otherwise.

        Args:
            records: Records, appended in this order in one entry.
            not_after_boot_s: Boot-clock time, in seconds, after which the
                append is not attempted any more.

        Raises:
            MailboxFullError: The records were not accepted.
        """

    @abc.abstractmethod
    def query_state(
        self, read: Callable[[_system.SystemState, _time.Now], T]
    ) -> "futures.Future[T]":
        """Runs a read-only function on the folded state.

        Raises:
            MailboxFullError: The query was not accepted.
        """

    @abc.abstractmethod
    def explain_subject(
        self, subject: str
    ) -> "futures.Future[tuple[_explain_ring.ExplainLine, ...]]":
        """Requests the decisions about a subject, oldest first.

        Raises:
            MailboxFullError: The query was not accepted.
        """

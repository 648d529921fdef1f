"""The calls to one executor that wait for a connection or are in flight."""

import collections
from collections.abc import Callable
import dataclasses

from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _check_round
from basiljunction.transport.jobs import _http_calls

RENEWAL_CONNECTIONS = 1
"""Connections to an executor that its lease renewals take."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedCall:
    """A call that only the known incarnation of an executor may receive.

    Attributes:
        executor: Id of the executor.
        address: ``ip:port`` of the executor.
        token: Fencing token of the checks that precede the call.
        call: The call. Its timeout includes the checks.
        on_reply: Called once with the reply; for a call that was not sent, with
            the refusal of a check, or with a reply without a status.
        on_held: Called as the call waits for a connection.
        on_sent: Called just before it is sent on a connection.
        confirm: Returns whether the call is still to be sent; called just
            before each attempt.
    """

    executor: str
    address: str
    token: int
    call: _http_call.HttpCall
    on_reply: _http_calls.ReplyCallback
    on_held: Callable[[], None] = lambda: None
    on_sent: Callable[[], None] = lambda: None
    confirm: Callable[[], bool] = lambda: True


@dataclasses.dataclass(frozen=True, slots=True)
class Attempts:
    """What is left for a call.

    Attributes:
        ends_s: When its timeout ends, in seconds on the steady clock.
        checks_left: How many more checks may precede it.
    """

    ends_s: float
    checks_left: int

    def after_check(self) -> "Attempts":
        """Returns what is left with one more check."""
        return Attempts(self.ends_s, self.checks_left - 1)


@dataclasses.dataclass(slots=True)
class CallLine:
    """The calls to one executor.

    Attributes:
        waiting: Calls that found no connection, and what is left for each.
        in_flight_count: Number of calls that the client has, without checks.
        check_count: Number of checks that the client has.
        check_round: Those whose answer the calls wait for; None if none is.
    """

    waiting: collections.deque[tuple[CheckedCall, Attempts]] = (
        dataclasses.field(default_factory=collections.deque)
    )
    in_flight_count: int = 0
    check_count: int = 0
    check_round: _check_round.CheckRound | None = None

    @property
    def may_check(self) -> bool:
        """Whether a connection may be opened for the calls that wait.

        Beyond the limit of the client, a new connection would close one that
        is known, and the calls that it was opened for would lack it again.
        """
        busy_count = (
            self.in_flight_count + self.check_count + RENEWAL_CONNECTIONS
        )
        return (
            bool(self.waiting)
            and busy_count < _http_calls.MAX_CONNECTIONS_PER_HOST
        )

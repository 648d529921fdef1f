"""Calls whose answer waits until the store has confirmed the term.

What a scheduler does not know may be known to a successor: it may have been
stopped for any length of time before the call arrived. Nobody claims the next
term soon after the store has confirmed this one; later, if the store takes a
record of the term that was sent after the call arrived, there was no successor
by then.
"""

import structlog

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _call_router

MAX_HELD_QUERIES = 12
"""Most queries held while the store does not confirm the term.

Each occupies a thread of a server; queries of known jobs need threads too.
"""

STORE_ANSWER_S = 0.5
"""Time in which a store that works tells of a successor, in seconds.

It takes one or two round trips. Without an answer the store is down, and
queries are answered from memory.
"""

_log = structlog.get_logger()


class HeldCalls:
    """The held calls of one term, in the order of their arrival."""

    def __init__(self) -> None:
        self._confirmed_s = float("-inf")
        self._ticked_s = float("inf")
        self._woken_s = float("-inf")
        self._denied: list[_call_router.PendingCall] = []
        self._queries_after_stop: list[_call_router.PendingCall] = []

    def hold_after_stop(
        self, pending: _call_router.PendingCall, now_s: float
    ) -> bool:
        """Holds a query if a successor may have taken over in a stop.

        Args:
            pending: The query.
            now_s: Current time in seconds.

        Returns:
            Whether the query is held.
        """
        if not self._may_have_successor(now_s):
            return False
        pending.waits_for = "confirmation"
        self._queries_after_stop.append(pending)
        return True

    def _may_have_successor(self, now_s: float) -> bool:
        """Returns whether a stop may have outlasted the lease on the term."""
        if now_s - self._ticked_s > _election.TERM_EXPIRY_S:
            self._woken_s = now_s
        return (
            self._confirmed_s <= self._woken_s
            and now_s < self._woken_s + STORE_ANSWER_S
        )

    def deny(
        self,
        pending: _call_router.PendingCall,
        outcome: _client_calls.CallOutcome,
        now_s: float,
    ) -> None:
        """Answers a call if no successor may know better, or holds it.

        Args:
            pending: The call.
            outcome: Answer that another scheduler may know better.
            now_s: Current time in seconds.
        """
        if (
            self._confirmed_s > pending.added_boot_s
            or now_s < self._confirmed_s + _lease_grants.UNREPORTED_GRANT_S
        ):
            pending.set_reply(_client_calls.ClientReply(outcome))
            return
        is_confirmed = now_s - self._confirmed_s <= _election.TERM_EXPIRY_S
        if (
            pending.call.kind is _client_calls.CallKind.STATE
            and not is_confirmed
            and self._count_queries() >= MAX_HELD_QUERIES
        ):
            _log.info(
                "call.refused", error="too many queries wait for the store"
            )
            pending.set_reply(
                _client_calls.ClientReply(_client_calls.CallOutcome.UNAVAILABLE)
            )
            return
        pending.waits_for = "confirmation"
        self._denied.append(pending)

    def take_due(
        self, confirmed_s: float, now_s: float
    ) -> list[_call_router.PendingCall]:
        """Removes and returns the calls that wait no longer.

        Args:
            confirmed_s: Time at which the newest record of the term that the
                store confirmed was sent, in seconds.
            now_s: Current time in seconds.
        """
        self._confirmed_s = confirmed_s
        may_have_successor = self._may_have_successor(now_s)
        self._ticked_s = now_s
        waiting = [
            each for each in self._denied if not each.reply_future.done()
        ]
        self._denied = [
            each for each in waiting if each.added_boot_s >= confirmed_s
        ]
        due = [each for each in waiting if each.added_boot_s < confirmed_s]
        if not may_have_successor:
            due += self._queries_after_stop
            self._queries_after_stop = []
        return [each for each in due if not each.reply_future.done()]

    def release(self) -> None:
        """Makes all calls due for the router to try elsewhere."""
        for pending in (*self._denied, *self._queries_after_stop):
            pending.next_try_boot_s = 0.0
        self._denied.clear()
        self._queries_after_stop.clear()

    def _count_queries(self) -> int:
        """Returns how many queries of unknown jobs wait."""
        return sum(
            each.call.kind is _client_calls.CallKind.STATE
            and not each.reply_future.done()
            for each in self._denied
        )

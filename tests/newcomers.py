"""What an instance knows that has been there for a short time only."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _term_history
from basiljunction.state.workload import _leadership

TermReading = tuple[int, int, float]
"""Epoch and beat of a record of a term, and when it was read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Newcomer:
    """An instance that has just been added or whose process has just started.

    Attributes:
        since_s: Virtual time since which it reads the terms.
        is_added: Whether it has been added then; else its process has started
            again, and the store had its registration for long.
    """

    since_s: float
    is_added: bool

    def make_grants(
        self, readings: Sequence[TermReading], reported_until_s: float
    ) -> _lease_grants.GrantHistory:
        """Returns what it knows of the leases that others granted.

        Args:
            readings: When an instance that has been there for long read the
                records of the terms, in this order; the store has nothing else
                but the registration.
            reported_until_s: Virtual time until which all instances have
                reported an outage.
        """
        grants = _lease_grants.GrantHistory(self.since_s)
        if self.is_added:
            earlier = [each for each in readings if each[2] <= self.since_s]
            grants.record_registration(len(earlier), self.since_s)
            for offset, (epoch, beat, _) in enumerate(
                readings[len(earlier) :], len(earlier) + 1
            ):
                grants.record_term(
                    _leadership.Term(epoch, "front-1", 1, "", beat), offset
                )
        else:
            grants.registered_s = float("-inf")
        reported_s = reported_until_s - _lease_grants.REPORT_VALIDITY_S
        grants.record_report(max(self.since_s, reported_s))
        return grants

    def make_history(
        self, readings: Iterable[TermReading]
    ) -> _term_history.TermHistory:
        """Returns when it read the records of the terms.

        With its first read it finds the newest record only.

        Args:
            readings: When an instance that has been there for long read them,
                in this order.
        """
        history = _term_history.TermHistory()
        newest: TermReading | None = None
        for epoch, beat, read_s in readings:
            if read_s <= self.since_s:
                newest = (epoch, beat, self.since_s)
                continue
            if newest is not None:
                history.record(*newest)
                newest = None
            history.record(epoch, beat, read_s)
        if newest is not None:
            history.record(*newest)
        return history

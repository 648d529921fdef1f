"""Who schedules a cell: one instance's view of the terms in the store.

Every term is one conditional write, which succeeds only where the store's
topic ends where this instance has read to. So at most one instance begins a
term after another, and a scheduler that was replaced fails its next renewal.
Silence counts only while the store answers this instance: an outage of the
store says nothing about the scheduler.
"""

import dataclasses
import enum
import random

from basiljunction.state.workload import _leadership

BEAT_S = 0.6
"""Time between renewals of a term, in seconds."""

SILENCE_S = 1.8
"""Silence after which the term is open: three renewals are missing."""

JITTER_S = 0.4
"""Spread of the candidates, so that most of them see another's claim."""

RETRY_S = 0.2
"""Wait after a failed claim or renewal, in seconds."""


class Role(enum.Enum):
    """What this instance is to the cell."""

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A conditional write of a term.

    Attributes:
        term: The term as it would stand in the store.
        at_offset: End of the topic at which the write holds.
    """

    term: _leadership.Term
    at_offset: int


class Election:
    """One instance's part in choosing the scheduler of a cell.

    Args:
        instance: Name of this instance.
        incarnation: Tells this life of the process from others.
        address: Where other instances reach it.
        rng: For the spread of candidates.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        address: str,
        rng: random.Random,
    ) -> None:
        self.role = Role.FOLLOWER
        self.term: _leadership.Term | None = None
        self.confirmed_s = float("-inf")
        self.is_leaving = False
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._rng = rng
        self._end_offset: int | None = None
        self._heard_s: float | None = None
        self._next_write_s = 0.0
        self._in_flight: Claim | None = None
        self._last_written: _leadership.Term | None = None
        self._sent_s = 0.0

    @property
    def is_leader(self) -> bool:
        """Whether this instance holds the newest term that it knows of."""
        return self.role is Role.LEADER

    def store_moved(self, incarnation: int) -> None:
        """Begins anew where the store is now; an own term there is claimed.

        Args:
            incarnation: Tells what this instance writes from now on from what
                it wrote before.
        """
        self.role = Role.FOLLOWER
        self.term = None
        self.confirmed_s = float("-inf")
        self._incarnation = incarnation
        self._end_offset = None
        self._heard_s = None
        self._in_flight = None
        self._last_written = None
        self._next_write_s = 0.0

    def leave(self) -> None:
        """Gives the term up with the next write, and claims none any more."""
        self.is_leaving = True
        self._next_write_s = 0.0

    def read(
        self,
        term: _leadership.Term | None,
        end_offset: int,
        now_s: float,
    ) -> None:
        """Takes what the store holds.

        Args:
            term: The newest term; None if there is nothing newer than before.
            end_offset: Where the topic ends.
            now_s: The time.
        """
        if self._end_offset is not None and end_offset < self._end_offset:
            return
        self._end_offset = end_offset
        if self._heard_s is None:
            self._heard_s = now_s
        if term is None:
            return
        self._heard_s = now_s
        self._adopt(term, now_s)

    def _adopt(self, term: _leadership.Term, now_s: float) -> None:
        if self.term is not None and term.epoch < self.term.epoch:
            return
        is_mine = term.is_of(self._instance, self._incarnation)
        self.term = term
        if is_mine and not term.is_resigned:
            # The write may have been confirmed by reading it back only.
            self.role = Role.LEADER
            if term == self._last_written:
                self.confirmed_s = max(self.confirmed_s, self._sent_s)
        else:
            self.role = Role.FOLLOWER
            self._next_write_s = now_s + self._rng.uniform(0, JITTER_S / 2)

    def heard_of(self, epoch: int) -> None:
        """Takes note of a later term that another instance knows of.

        The store may turn this instance away while it serves the others.
        """
        if self.term is not None and epoch > self.term.epoch:
            self.role = Role.FOLLOWER

    def leader_refused(self, epoch: int, now_s: float) -> None:
        """Takes note that nobody listens where the scheduler of a term was.

        Its machine answered, so its process is gone; its term need not be
        waited out. A wrong guess loses against the next renewal.
        """
        if self.term is None or epoch != self.term.epoch or self.is_leader:
            return
        if self._heard_s is None or self.term.instance == self._instance:
            return
        self._heard_s = min(self._heard_s, now_s - SILENCE_S - RETRY_S)

    def read_failed(self) -> None:
        """The store did not answer: silence is counted anew after this."""
        self._heard_s = None

    def next_write(self, now_s: float) -> Claim | None:
        """Returns the write that is due, or None."""
        if self._in_flight is not None or self._end_offset is None:
            return None
        if now_s < self._next_write_s:
            return None
        if self.role is Role.LEADER:
            return self._renewal(now_s)
        if self.is_leaving or not self._is_open(now_s):
            return None
        epoch = 1 if self.term is None else self.term.epoch + 1
        self.role = Role.CLAIMING
        return self._write(
            _leadership.Term(
                epoch, self._instance, self._incarnation, self._address
            ),
            now_s,
        )

    def _renewal(self, now_s: float) -> Claim:
        assert self.term is not None  # noqa: S101 - a leader has a term
        return self._write(
            dataclasses.replace(
                self.term,
                beat=self.term.beat + 1,
                is_resigned=self.is_leaving,
            ),
            now_s,
        )

    def _write(self, term: _leadership.Term, now_s: float) -> Claim:
        assert self._end_offset is not None  # noqa: S101 - checked by callers
        self._in_flight = Claim(term, self._end_offset)
        self._last_written = term
        self._sent_s = now_s
        return self._in_flight

    def _is_open(self, now_s: float) -> bool:
        if self.term is None or self.term.is_resigned:
            return self._heard_s is not None
        if self.term.instance == self._instance:
            # An earlier life of this instance held it, and is gone.
            return self._heard_s is not None
        if self._heard_s is None:
            return False
        return now_s - self._heard_s > SILENCE_S

    def written(self, end_offset: int, now_s: float) -> None:
        """The write in flight succeeded.

        Args:
            end_offset: Where the topic ends after it.
            now_s: The time.
        """
        claim, self._in_flight = self._in_flight, None
        if claim is None:
            return
        self._end_offset = max(end_offset, self._end_offset or 0)
        if self.term is not None and self.term.epoch > claim.term.epoch:
            return
        self.term = claim.term
        self._heard_s = now_s
        self.confirmed_s = max(self.confirmed_s, self._sent_s)
        self._next_write_s = self._sent_s + BEAT_S
        self.role = Role.FOLLOWER if claim.term.is_resigned else Role.LEADER

    def refused(self, now_s: float) -> None:
        """The topic ended elsewhere: another write came first.

        What was written shows with the next read.
        """
        self._in_flight = None
        self._next_write_s = now_s + RETRY_S
        if self.role is Role.CLAIMING:
            self.role = Role.FOLLOWER

    def write_failed(self, now_s: float) -> None:
        """The write got no answer; it may take effect later."""
        self._in_flight = None
        self._next_write_s = now_s + RETRY_S + self._rng.uniform(0, JITTER_S)
        if self.role is Role.CLAIMING:
            self.role = Role.FOLLOWER

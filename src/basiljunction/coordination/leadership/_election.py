"""Leader election of a cell, as one instance sees it.

A term is the period in which one instance schedules the cell. A term is begun,
renewed and resigned by a conditional write to a topic in the store, which
succeeds only if the topic still ends at the offset that this instance has
read. So at most one instance begins the term that follows another, and a
scheduler that was replaced fails its next renewal. Missing renewals count only
while the store answers this instance: an outage of the store says nothing
about the scheduler.

An instance delays its claims the longer, the less it has of what the best
provided instance has, so that one that can carry the scheduler's traffic
comes first. It also delays them if it would wait for earlier leases longer than
need be. The delay decides only who claims first; the conditional write alone
ensures that there is one scheduler.
"""

from collections.abc import Mapping
import dataclasses
import random

from basiljunction.coordination.leadership import _hand_over
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _ranking
from basiljunction.coordination.leadership import _term_history
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision

RENEWAL_INTERVAL_S = 0.6
"""Interval between renewals of a term, in seconds."""

TERM_EXPIRY_S = 1.8
"""Time without a renewal after which other instances may claim the next term,
in seconds; three renewals are missing by then."""

MAX_READ_GAP_S = 2 * RENEWAL_INTERVAL_S
"""Longest time between two successful reads, with a failed one between them,
that does not begin the wait for a renewal anew, in seconds; an outage of that
length costs the scheduler two renewals at most."""

MAX_CLAIM_JITTER_S = 0.4
"""Upper bound of the random delay before a claim, in seconds; most candidates
then read another's claim before they write their own."""

MAX_PROVISION_DELAY_S = 0.8
"""Upper bound of the delay of a claim for lack of provision, in seconds.

It is longer than a claim of a better provided instance takes, with its jitter,
to be read by all, and shorter than calls wait for a scheduler.
"""

SETTLING_TIME_S = 0.4
"""Additional delay of claims in a cell without any term, in seconds.

Instances that start together register their provision and read that of the
others within this time.
"""

ABSTENTION_S = MAX_PROVISION_DELAY_S + MAX_CLAIM_JITTER_S
"""Time for which an instance that gave up a term leaves the next one to others,
in seconds.

Even the least provided one claims within it. Calls wait longer than that for a
scheduler, so that a sole instance still answers them.
"""

WRITE_RETRY_S = 0.2
"""Delay before a failed claim or renewal is repeated, in seconds."""


class Election:
    """State machine by which one instance takes part in a leader election.

    The caller reports reads and writes of the store as events and sends the
    writes that `next_term_write` returns.

    Args:
        instance: Name of this instance.
        incarnation: Identifies this run of the process.
        address: ``ip:port`` at which other instances reach this one.
        rng: Source of the random delays before claims.
        provision: Link and processor of this instance.
        grants: What this instance knows of leases of other schedulers; None if
            it grants none.

    Attributes:
        role: Role of this instance.
        term: Newest known term; None if none is known.
        last_confirmed_s: Sending time of the newest write of this instance that
            the store confirmed; -inf if there is none.
        last_confirmed_beat: Number of the renewal that made this write.
        history: When the records of recent terms were read.
        is_resigning: Whether this instance resigns and claims no further term.
        hand_over: Whether this instance leaves, and who requests its term.
        relative_provision: Provision of this instance as a fraction of that of
            the best provided one; 0 until its own registration was read.
        predecessor: Newest record of the term that the newest claim of this
            instance follows; None if there was none.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        address: str,
        rng: random.Random,
        provision: _provision.Provision = _provision.UNKNOWN,
        grants: _lease_grants.GrantHistory | None = None,
    ) -> None:
        self.history = _term_history.TermHistory()
        self.is_resigning = False
        self.hand_over = _hand_over.HandOver(
            instance, incarnation, ABSTENTION_S, WRITE_RETRY_S
        )
        self._instance = instance
        self._address = address
        self._rng = rng
        self._provision = provision
        self._grants = grants
        self.relative_provision = 0.0 if provision.is_known else 1.0
        self._longest_run_s = 0.0
        self._write_sent_s = 0.0
        self._claimed_s = 0.0
        self._start_reading(incarnation)

    def _start_reading(self, incarnation: int) -> None:
        """Sets what is known of a store of which nothing was read."""
        self.role = _leadership.ElectionRole.FOLLOWER
        self.term: _leadership.Term | None = None
        self.last_confirmed_s = float("-inf")
        self.last_confirmed_beat = 0
        self.predecessor: _leadership.Term | None = None
        self._incarnation = incarnation
        self._end_offset: int | None = None
        self._renewal_seen_s: float | None = None
        self._read_s: float | None = None
        self._failed_since_s: float | None = None
        self._next_write_s = 0.0
        self._write_in_flight: _leadership.TermWrite | None = None
        self._last_written_term: _leadership.Term | None = None
        self._sent_records: tuple[tuple[_leadership.Term, float], ...] = ()
        self._given_up_epoch = 0
        self._answered_epoch = 0

    @property
    def is_leader(self) -> bool:
        """Whether this instance holds the newest term that it knows of."""
        return self.role is _leadership.ElectionRole.LEADER

    @property
    def claim_delay_s(self) -> float:
        """Delay of a claim after the term became open, in seconds.

        Without a registration, an instance waits longest instead of for ever,
        as the store may lose the registration and still take a claim. One that
        would wait for leases that others know to have ended lets these claim
        first.
        """
        delay_s = max(
            (1 - self.relative_provision) * MAX_PROVISION_DELAY_S,
            min(self._excess_wait_s(), MAX_PROVISION_DELAY_S),
        )
        if self.term is None and self._provision.is_known:
            delay_s += SETTLING_TIME_S
        return delay_s

    def has_scheduler_ended(self, term: _leadership.Term) -> bool:
        """Returns whether a term was held by an earlier run of this instance.

        Its process, or its session at another store, ended before this run
        read the term.
        """
        return (
            term.instance == self._instance
            and term.incarnation != self._incarnation
        )

    def _find_last_grant(self) -> _lease_grants.LastGrant | None:
        """Returns by when others had granted their last lease, if known."""
        term = self.term
        if self._grants is None or term is None:
            return None
        written_s = self.history.written_by_s(term.epoch, term.beat)
        if written_s is None:
            return None
        return self._grants.find_last_grant(
            term,
            written_s,
            has_ended=self.has_scheduler_ended(term)
            or (term.is_resigned and term.longest_run_s > 0),
        )

    def _excess_wait_s(self) -> float:
        """Returns the needless wait for leases of others, in seconds."""
        last_grant = self._find_last_grant()
        if last_grant is None or self.term is None:
            return 0.0
        written_s = self.history.written_by_s(self.term.epoch, self.term.beat)
        if written_s is None:
            return 0.0
        return last_grant.by_s - written_s - self.term.unreported_grant_s

    def _earlier_grant_s(self, now_s: float) -> float:
        """Returns for how long from now others may grant leases, in seconds."""
        last_grant = self._find_last_grant()
        if last_grant is None:
            return _lease_grants.MAX_GRANT_S
        return min(max(0.0, last_grant.by_s - now_s), _lease_grants.MAX_GRANT_S)

    def reset_after_store_move(self, incarnation: int) -> None:
        """Resets the election after the store has moved to another address.

        The topic is read from its start. A term of this instance found there
        belongs to an earlier incarnation, so the next term is claimed.

        Args:
            incarnation: New incarnation, which distinguishes later writes of
                this instance from earlier ones.
        """
        self.history.clear()
        self.hand_over.reset(incarnation)
        self._start_reading(incarnation)
        self.update_provisions({})

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the store confirmed the own term recently.

        Until then nobody can tell the own term from an expired one, and a
        resignation would not be stored either.
        """
        return now_s - self.last_confirmed_s <= TERM_EXPIRY_S

    def record_answering(self) -> None:
        """Records that the scheduler of the own term answers calls."""
        if self.is_leader and self.term is not None:
            self._answered_epoch = self.term.epoch

    def give_up(self) -> None:
        """Resigns the own term, so that another instance claims the next.

        This instance may claim again `ABSTENTION_S` after its resignation.
        """
        if not self.is_leader or self.term is None:
            return
        if self._given_up_epoch != self.term.epoch:
            self._given_up_epoch = self.term.epoch
            self._next_write_s = 0.0

    def _leaves_claim_to_others(self, now_s: float) -> bool:
        """Returns whether the newest term is one that was just given up."""
        return (
            self.term is not None
            and self.term.epoch == self._given_up_epoch
            and self._renewal_seen_s is not None
            and now_s - self._renewal_seen_s < ABSTENTION_S
        )

    def leave(self, resign_by_s: float) -> None:
        """Offers the own term, now or later, until it has to be resigned."""
        self.hand_over.resign_by_s = resign_by_s
        self._next_write_s = 0.0

    def must_resign(self, now_s: float) -> bool:
        """Returns whether this instance leaves and has to resign now."""
        if not self.is_leader or self.term is None or self.is_resigning:
            return False
        return self.hand_over.must_resign(
            self.term.epoch, now_s, is_writing=bool(self._write_in_flight)
        )

    def next_request(self, now_s: float) -> _leadership.TermRequest | None:
        """Returns the request to send now, or None."""
        if self._write_in_flight or now_s < self._next_write_s:
            return None
        if self._end_offset is None or self._failed_since_s is not None:
            return None
        return self.hand_over.make_request(
            self.term, self._end_offset, self.claim_delay_s, now_s
        )

    def resign(self, longest_run_s: float = 0.0) -> None:
        """Resigns the term with the next write and stops claiming terms.

        Args:
            longest_run_s: Longest time for which a run may go on, now that the
                scheduler has stopped, in seconds; 0 if that is not known.
        """
        self.is_resigning = True
        self._longest_run_s = longest_run_s
        self._next_write_s = 0.0

    def update_provisions(
        self, provision_by_member: Mapping[str, _provision.Provision]
    ) -> None:
        """Ranks this instance among the registered ones.

        Args:
            provision_by_member: Registered provision of each instance, as read
                from the store.
        """
        if not self._provision.is_known:
            return
        if provision_by_member.get(self._instance) != self._provision:
            self.relative_provision = 0.0
            return
        self.relative_provision = _ranking.compute_relative_provision(
            self._provision, provision_by_member.values()
        )

    def apply_read(
        self,
        term: _leadership.Term | None,
        end_offset: int,
        now_s: float,
    ) -> None:
        """Updates the known term and end offset from a read of the store.

        Args:
            term: Newest term in the topic; None if the read returned no new
                term.
            end_offset: Offset up to which the topic has been read.
            now_s: Current time in seconds.
        """
        if self._end_offset is not None and end_offset < self._end_offset:
            return
        self._end_offset = end_offset
        self._end_read_gap(now_s)
        self._read_s = now_s
        if self._renewal_seen_s is None:
            self._renewal_seen_s = now_s
        if term is not None:
            if self.term is not None and self.term.is_hidden:
                # This may be the hidden term, whose epoch is not known.
                self.term = None
                self.history.clear()
            self._renewal_seen_s = now_s
            self.history.record(term.epoch, term.beat, now_s)
            self._adopt_term(term, now_s)
        if self.is_resigning or self.hand_over.may_follow_at_once(self.term):
            # Nobody schedules; a write that lost is repeated at once.
            self._next_write_s = now_s

    def _adopt_term(self, term: _leadership.Term, now_s: float) -> None:
        """Makes a read term the known one, unless its epoch is older."""
        if self.term is not None and term.epoch < self.term.epoch:
            return
        is_own = term.is_held_by(self._instance, self._incarnation)
        self.term = term
        self.hand_over.record_term(term, now_s)
        if is_own and not term.is_resigned:
            # A write without an answer is confirmed by reading it back.
            self.role = _leadership.ElectionRole.LEADER
            for record, sent_s in self._sent_records:
                if record == term:
                    self._confirm(term, sent_s)
        else:
            self.role = _leadership.ElectionRole.FOLLOWER
            self._next_write_s = now_s + self._rng.uniform(
                0, MAX_CLAIM_JITTER_S / 2
            )

    def step_down_if_newer(self, epoch: int) -> None:
        """Steps down if an instance served by the store knows a later term."""
        if self.term is not None and epoch > self.term.epoch:
            self.role = _leadership.ElectionRole.FOLLOWER

    def expire_unreachable_leader(self, epoch: int, now_s: float) -> None:
        """Expires a term whose scheduler's address refused a connection.

        The machine answered, so the process has ended and there is no need to
        wait for the term to expire. If this is wrong, the scheduler's next
        renewal makes the claim fail.

        Args:
            epoch: Epoch of the term whose scheduler was called.
            now_s: Current time in seconds.
        """
        if self.term is None or epoch != self.term.epoch or self.is_leader:
            return
        if self._renewal_seen_s is None or self.term.instance == self._instance:
            return
        if self._failed_since_s is not None:
            return
        self._renewal_seen_s = min(self._renewal_seen_s, now_s - TERM_EXPIRY_S)

    def record_read_failure(self) -> None:
        """Stops the wait for the term's expiry until the next read.

        While reads fail, missing renewals say nothing about the leader.
        """
        if self._failed_since_s is None:
            self._failed_since_s = self._read_s

    def _end_read_gap(self, now_s: float) -> None:
        """Goes on with the wait for the term's expiry after failed reads.

        The time without a successful read does not count. If it was long, the
        wait begins anew, as the leader may have missed several renewals.
        """
        failed_since_s, self._failed_since_s = self._failed_since_s, None
        if failed_since_s is None or self._renewal_seen_s is None:
            return
        gap_s = now_s - failed_since_s
        self._renewal_seen_s = (
            self._renewal_seen_s + gap_s if gap_s <= MAX_READ_GAP_S else now_s
        )

    def next_term_write(self, now_s: float) -> _leadership.TermWrite | None:
        """Returns the claim, renewal or resignation to send now, or None.

        The returned write counts as in flight until its result is reported.
        """
        if self._write_in_flight is not None or self._end_offset is None:
            return None
        if now_s < self._next_write_s:
            return None
        if self.role is _leadership.ElectionRole.LEADER:
            return self._renew_or_resign(now_s)
        if not self._may_claim(now_s):
            return None
        if self._leaves_claim_to_others(now_s):
            return None
        epoch = 1 if self.term is None else self.term.epoch + 1
        self.role = _leadership.ElectionRole.CLAIMING
        self.predecessor = self.term
        self._claimed_s = now_s
        if self._grants is not None:
            self._grants.record_claim(now_s)
        return self._begin_write(
            _leadership.Term(
                epoch,
                self._instance,
                self._incarnation,
                self._address,
                given_up_terms=(
                    0 if self.term is None else self.term.given_up_terms
                ),
                unreported_grant_s=max(
                    _lease_grants.UNREPORTED_GRANT_S,
                    0.0 if self.term is None else self.term.unreported_grant_s,
                ),
                bounded_since_epoch=(
                    epoch
                    if self.term is None
                    else self.term.bounded_since_epoch or epoch
                ),
                earlier_grant_s=self._earlier_grant_s(now_s),
                is_offered=self.hand_over.is_leaving,
            ),
            now_s,
        )

    def _renew_or_resign(self, now_s: float) -> _leadership.TermWrite:
        """Returns the write that renews the own term, or resigns it."""
        assert self.term is not None  # noqa: S101 - a leader has a term
        is_given_up = self.term.epoch == self._given_up_epoch
        given_up_terms = self.term.given_up_terms
        if self.term.epoch == self._answered_epoch:
            given_up_terms = 0
        elif is_given_up:
            given_up_terms += 1
        unreported_grant_s = self.term.unreported_grant_s
        if now_s >= self._claimed_s + _lease_grants.MAX_GRANT_S:
            # The term before grants no more leases.
            unreported_grant_s = _lease_grants.UNREPORTED_GRANT_S
        beat = self.term.beat + 1
        held_s = now_s - self._claimed_s
        last = self._last_written_term
        if last and (last.epoch, last.beat) == (self.term.epoch, beat):
            # A repeated write has an equal record, with one sending time.
            held_s = last.held_s
        return self._begin_write(
            dataclasses.replace(
                self.term,
                beat=beat,
                is_resigned=self.is_resigning or is_given_up,
                longest_run_s=self._longest_run_s,
                given_up_terms=given_up_terms,
                unreported_grant_s=unreported_grant_s,
                held_s=held_s,
                is_offered=self.hand_over.is_leaving,
            ),
            now_s,
        )

    def _begin_write(
        self, term: _leadership.Term, now_s: float
    ) -> _leadership.TermWrite:
        """Records a write of the term as in flight and returns it."""
        assert self._end_offset is not None  # noqa: S101 - checked by callers
        self._write_in_flight = _leadership.TermWrite(term, self._end_offset)
        last = self._last_written_term
        if last is None or (term.epoch, term.beat) != (last.epoch, last.beat):
            self._sent_records = ()
        # Any of repeated writes may have been stored, by then at the earliest.
        if all(record != term for record, _ in self._sent_records):
            self._sent_records += ((term, now_s),)
        self._last_written_term = term
        self._write_sent_s = now_s
        return self._write_in_flight

    def _confirm(self, term: _leadership.Term, sent_s: float) -> None:
        """Records that a write of the own term, sent then, was stored."""
        if sent_s < self.last_confirmed_s:
            return
        self.last_confirmed_s = sent_s
        self.last_confirmed_beat = term.beat

    def _may_claim(self, now_s: float) -> bool:
        """Returns whether this instance may claim the next term."""
        open_since_s = self._term_open_since_s()
        if open_since_s is None or self.is_resigning:
            return False
        delay_s = self.hand_over.claim_delay_s(
            self.term, self.claim_delay_s, open_since_s, now_s
        )
        return delay_s is not None and now_s >= open_since_s + delay_s

    def _term_open_since_s(self) -> float | None:
        """Returns the time from which the next term may be claimed by anyone.

        None if the store was not read since the last failure.
        """
        if self._renewal_seen_s is None or self._failed_since_s is not None:
            return None
        if self.term is None or self.term.is_resigned:
            return self._renewal_seen_s
        if self.term.instance == self._instance:
            # The term belongs to an earlier incarnation, which has ended.
            return self._renewal_seen_s
        return self._renewal_seen_s + TERM_EXPIRY_S

    def record_write_success(self, end_offset: int, now_s: float) -> None:
        """Records that the write in flight succeeded.

        Args:
            end_offset: End offset of the topic after the write.
            now_s: Current time in seconds.
        """
        claim, self._write_in_flight = self._write_in_flight, None
        if claim is None:
            return
        self._end_offset = max(end_offset, self._end_offset or 0)
        if self.term is not None and self.term.epoch > claim.term.epoch:
            return
        self.term = claim.term
        self._renewal_seen_s = now_s
        self.history.record(claim.term.epoch, claim.term.beat, now_s)
        self._confirm(claim.term, self._write_sent_s)
        self._next_write_s = self._write_sent_s + RENEWAL_INTERVAL_S
        self.role = (
            _leadership.ElectionRole.FOLLOWER
            if claim.term.is_resigned
            else _leadership.ElectionRole.LEADER
        )

    def record_write_conflict(self, now_s: float) -> None:
        """Records that the write in flight lost against another write.

        The topic did not end at the expected offset; the next read returns the
        other write.
        """
        self._write_in_flight = None
        self._next_write_s = now_s + WRITE_RETRY_S
        if self.role is _leadership.ElectionRole.CLAIMING:
            self.role = _leadership.ElectionRole.FOLLOWER
            if self._grants is not None:
                self._grants.record_refused_claim()

    def record_write_failure(self, now_s: float) -> None:
        """Records that the write got no answer; it may still take effect."""
        self._write_in_flight = None
        self._next_write_s = (
            now_s + WRITE_RETRY_S + self._rng.uniform(0, MAX_CLAIM_JITTER_S)
        )
        if self.role is _leadership.ElectionRole.CLAIMING:
            self.role = _leadership.ElectionRole.FOLLOWER

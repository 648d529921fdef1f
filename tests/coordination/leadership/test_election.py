"""Tests of the election of the scheduler that holds a cell's term."""

from collections.abc import Callable
import dataclasses
import random

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _ranking
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _term_keeper
import election_rig

_WEAK_DELAY_S = 0.95 * _election.MAX_PROVISION_DELAY_S
"""Delay of `election_rig.WEAK` beside `election_rig.STRONG`, in seconds."""


def _make_election(
    instance: str,
    incarnation: int = 1,
    provision: _provision.Provision = _provision.UNKNOWN,
) -> _election.Election:
    """Returns an election of an instance that has read nothing yet."""
    return _election.Election(
        instance=instance,
        incarnation=incarnation,
        address=f"{instance}:1",
        rng=random.Random(1),
        provision=provision,
    )


def _make_leader(instance: str = "a") -> _election.Election:
    """Returns an election that won the first term at time 0."""
    election = _make_election(instance)
    election.apply_read(None, 0, 0.0)
    claim = election.next_term_write(0.0)
    assert claim is not None
    election.record_write_success(1, 0.01)
    return election


def _make_term(instance: str, epoch: int, beat: int = 0) -> _leadership.Term:
    """Returns the record of a term that an instance wrote."""
    return _leadership.Term(epoch, instance, 1, f"{instance}:1", beat)


class TestMovedStore:
    """State read at the old store address is discarded after a move."""

    def test_an_empty_store_is_claimed_where_it_ends(self) -> None:
        election = _make_leader()
        election.reset_after_store_move(incarnation=2)
        assert not election.is_leader
        election.apply_read(None, 0, 5.0)
        claim = election.next_term_write(5.0)
        assert claim is not None
        assert (claim.expected_end_offset, claim.term.epoch) == (0, 1)

    def test_the_own_term_in_the_same_store_is_followed_by_another(
        self,
    ) -> None:
        election = _make_leader()
        election.reset_after_store_move(incarnation=2)
        election.apply_read(_make_term("a", 1), 1, 5.0)
        assert not election.is_leader
        claim = election.next_term_write(5.0 + _election.MAX_CLAIM_JITTER_S)
        assert claim is not None
        assert claim.term.epoch == 2

    def test_the_answer_of_the_old_store_is_ignored(self) -> None:
        election = _make_election("a")
        election.apply_read(None, 0, 0.0)
        assert election.next_term_write(0.0) is not None
        election.reset_after_store_move(incarnation=2)
        election.record_write_success(1, 0.1)
        assert not election.is_leader
        assert election.term is None


class TestClaim:
    """An instance claims a term only if no other instance holds one."""

    def test_nothing_is_written_before_the_store_was_read(self) -> None:
        assert _make_election("a").next_term_write(100.0) is None

    def test_an_open_cell_is_claimed_where_the_topic_ends(self) -> None:
        election = _make_election("a")
        election.apply_read(None, 7, 0.0)
        claim = election.next_term_write(0.0)
        assert claim is not None
        assert (claim.expected_end_offset, claim.term.epoch) == (7, 1)

    def test_a_claim_that_came_second_leaves_a_follower(self) -> None:
        election = _make_election("a")
        election.apply_read(None, 0, 0.0)
        assert election.next_term_write(0.0) is not None
        election.record_write_conflict(0.01)
        election.apply_read(_make_term("b", 1), 1, 0.02)
        assert not election.is_leader
        assert election.next_term_write(1.0) is None

    def test_a_silent_term_is_open_after_three_renewals(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.apply_read(None, 5, _election.TERM_EXPIRY_S - 0.1)
        assert election.next_term_write(_election.TERM_EXPIRY_S - 0.1) is None
        claim = election.next_term_write(_election.TERM_EXPIRY_S + 0.5)
        assert claim is not None
        assert claim.term.epoch == 4

    def test_a_term_is_open_once_nobody_listens_for_its_scheduler(
        self,
    ) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.expire_unreachable_leader(3, 0.4)
        claim = election.next_term_write(0.4 + _election.MAX_CLAIM_JITTER_S)
        assert claim is not None
        assert (claim.expected_end_offset, claim.term.epoch) == (5, 4)

    def test_a_renewal_outweighs_a_refused_connection(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.expire_unreachable_leader(3, 0.4)
        election.apply_read(_make_term("b", 3, beat=1), 6, 0.45)
        assert election.next_term_write(1.0) is None

    def test_a_refusal_of_an_earlier_scheduler_says_nothing(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.expire_unreachable_leader(2, 0.4)
        assert election.next_term_write(1.0) is None

    def test_a_refusal_says_nothing_while_the_store_is_silent(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.record_read_failure()
        election.expire_unreachable_leader(3, 0.4)
        assert election.next_term_write(1.0) is None

    def test_nor_once_the_store_is_read_again(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.record_read_failure()
        election.expire_unreachable_leader(3, 0.4)
        election.apply_read(None, 5, 0.6)
        assert election.next_term_write(_election.TERM_EXPIRY_S) is None

    def test_silence_counts_anew_after_an_outage_of_the_store(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.record_read_failure()
        election.apply_read(None, 5, 10.0)
        assert election.next_term_write(10.0) is None
        assert election.next_term_write(11.0) is None
        assert election.next_term_write(12.0) is not None

    def test_single_failed_reads_do_not_put_a_claim_off_for_ever(self) -> None:
        election = _make_election("a")
        now_s = 0.0
        election.apply_read(_make_term("b", 3), 5, now_s)
        while election.next_term_write(now_s) is None:
            assert now_s < 3 * _election.TERM_EXPIRY_S
            election.apply_read(None, 5, now_s + 1.0)
            election.record_read_failure()
            assert election.next_term_write(now_s + 1.5) is None
            now_s += 1.7
            election.apply_read(None, 5, now_s)

    def test_a_gap_in_the_reads_does_not_count_as_silence(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.apply_read(None, 5, 0.5)
        election.record_read_failure()
        election.apply_read(None, 5, 0.5 + _election.MAX_READ_GAP_S)
        open_s = _election.TERM_EXPIRY_S + _election.MAX_READ_GAP_S
        assert election.next_term_write(open_s - 0.1) is None
        assert election.next_term_write(open_s + 0.1) is not None

    def test_a_resigned_term_is_claimed_at_once(self) -> None:
        election = _make_election("a")
        resigned = _leadership.Term(3, "b", 1, "b:1", 9, is_resigned=True)
        election.apply_read(resigned, 5, 0.0)
        assert (
            election.next_term_write(_election.MAX_CLAIM_JITTER_S) is not None
        )

    def test_a_restarted_instance_claims_its_own_term_at_once(self) -> None:
        election = _make_election("a", incarnation=2)
        election.apply_read(_make_term("a", 3), 5, 0.0)
        assert not election.is_leader
        claim = election.next_term_write(_election.MAX_CLAIM_JITTER_S)
        assert claim is not None
        assert claim.term.epoch == 4

    def test_one_that_follows_a_resignation_tells_of_earlier_leases_alone(
        self,
    ) -> None:
        """Else the next scheduler would count with leases of nobody."""
        election = _election.Election(
            instance="a",
            incarnation=1,
            address="a:1",
            rng=random.Random(1),
            grants=_lease_grants.GrantHistory(0.0),
        )
        resigned = _leadership.Term(
            3, "b", 1, "b:1", 9, True, longest_run_s=5.1, held_s=9.0
        )
        election.apply_read(resigned, 5, 10.0)
        claim = election.next_term_write(11.0)
        assert claim is not None
        assert claim.term.earlier_grant_s == 0.0

    def test_only_an_earlier_run_of_the_same_instance_has_ended(self) -> None:
        election = _make_election("a", incarnation=2)
        assert election.has_scheduler_ended(_make_term("a", 3))
        assert not election.has_scheduler_ended(_make_term("b", 3))
        own = dataclasses.replace(_make_term("a", 3), incarnation=2)
        assert not election.has_scheduler_ended(own)


def _open_by_expiry(election: _election.Election) -> None:
    """Makes the term open at 10 s for lack of renewals."""
    election.apply_read(_make_term("c", 3), 5, 10.0 - _election.TERM_EXPIRY_S)


def _open_by_resignation(election: _election.Election) -> None:
    """Makes the term open at 10 s by a resignation."""
    election.apply_read(
        _leadership.Term(3, "c", 1, "c:1", 9, is_resigned=True), 5, 10.0
    )


def _open_by_refused_connection(election: _election.Election) -> None:
    """Makes the term open at 10 s by a refused connection."""
    election.apply_read(_make_term("c", 3), 5, 9.0)
    election.expire_unreachable_leader(3, 10.0)


def _open_by_restart(election: _election.Election) -> None:
    """Makes the term open at 10 s as that of an earlier incarnation."""
    election.apply_read(_make_term("a", 3), 5, 10.0)


_OPENINGS = (
    _open_by_expiry,
    _open_by_resignation,
    _open_by_refused_connection,
    _open_by_restart,
)


class TestProvision:
    """An instance claims later if others are better provided."""

    def _make_ranked_election(
        self, own: _provision.Provision, other: _provision.Provision
    ) -> _election.Election:
        """Returns an election that has read both registrations."""
        election = _make_election("a", incarnation=2, provision=own)
        election.update_provisions({"a": own, "b": other})
        return election

    def _first_claim_s(
        self, election: _election.Election, since_s: float
    ) -> float:
        """Returns the delay of the first claim after a time, in seconds."""
        for step in range(1000):
            if election.next_term_write(since_s + step / 100) is not None:
                return step / 100
        raise TimeoutError("no claim")

    @pytest.mark.parametrize("open_term", _OPENINGS)
    def test_a_weak_instance_leaves_time_for_a_strong_one(
        self, open_term: Callable[[_election.Election], None]
    ) -> None:
        election = self._make_ranked_election(
            election_rig.WEAK, election_rig.STRONG
        )
        open_term(election)
        delay_s = self._first_claim_s(election, 10.0)
        assert delay_s == pytest.approx(_WEAK_DELAY_S, abs=0.02)

    @pytest.mark.parametrize("open_term", _OPENINGS)
    @pytest.mark.parametrize(
        ("own", "other"),
        [
            (election_rig.STRONG, election_rig.WEAK),
            (election_rig.WEAK, election_rig.WEAK),
            (election_rig.WEAK, _provision.UNKNOWN),
            (_provision.UNKNOWN, election_rig.STRONG),
            (_provision.UNKNOWN, _provision.UNKNOWN),
        ],
    )
    def test_an_instance_that_none_surpasses_claims_without_delay(
        self,
        own: _provision.Provision,
        other: _provision.Provision,
        open_term: Callable[[_election.Election], None],
    ) -> None:
        election = self._make_ranked_election(own, other)
        open_term(election)
        assert election.claim_delay_s == 0.0
        delay_s = self._first_claim_s(election, 10.0)
        assert delay_s <= _election.MAX_CLAIM_JITTER_S / 2 + 0.01

    @pytest.mark.parametrize(
        "registered", [{}, {"b": election_rig.WEAK}], ids=["none", "other"]
    )
    def test_a_lost_registration_delays_a_claim_but_does_not_prevent_it(
        self, registered: dict[str, _provision.Provision]
    ) -> None:
        election = _make_election("a", provision=election_rig.STRONG)
        election.update_provisions(registered)
        election.apply_read(None, 0, 10.0)
        delay_s = self._first_claim_s(election, 10.0)
        assert delay_s == pytest.approx(
            _election.MAX_PROVISION_DELAY_S + _election.SETTLING_TIME_S,
            abs=0.02,
        )

    def test_a_first_term_waits_until_the_others_have_registered(self) -> None:
        election = _make_election("a", provision=election_rig.WEAK)
        election.update_provisions({"a": election_rig.WEAK})
        election.apply_read(None, 0, 10.0)
        settled_s = 10.0 + _election.SETTLING_TIME_S
        assert election.next_term_write(settled_s - 0.01) is None
        assert election.next_term_write(settled_s + 0.01) is not None

    def test_a_move_of_the_store_requires_another_registration(self) -> None:
        election = _make_election("a", provision=election_rig.WEAK)
        election.update_provisions({"a": election_rig.WEAK})
        election.reset_after_store_move(incarnation=2)
        assert election.relative_provision == 0.0

    def test_a_strong_instance_schedules_after_each_change_of_terms(
        self,
    ) -> None:
        for seed in range(50):
            self._simulate_changes(random.Random(seed))

    def _simulate_changes(self, rng: random.Random) -> None:
        """Ends terms in drawn ways until no strong instance is left."""
        strong = {f"strong-{number}" for number in range(8)}
        provision_by_instance = dict.fromkeys(
            sorted(strong), election_rig.STRONG
        ) | {f"weak-{number}": election_rig.WEAK for number in range(32)}
        rig = election_rig.ElectionRig(provision_by_instance, rng)
        leader = rig.run_until_term(1, limit_s=2.0)
        assert leader in strong
        rig.run_for(1.0)
        others = sorted(strong - {leader})
        rig.kill(rng.sample(others, rng.randint(3, 7)))
        for epoch in range(2, 10):
            has_strong = bool((strong & rig.alive) - {leader})
            change = rng.choice(("expiry", "resignation", "refusal"))
            if change == "resignation":
                rig.resign(leader)
                rig.run_for(1.0)
            rig.kill({leader})
            if change == "refusal":
                rig.refuse_connections(epoch - 1)
            leader = rig.run_until_term(epoch, limit_s=4.0)
            assert (leader in strong) == has_strong, (epoch, change)
            if not has_strong:
                return
            rig.run_for(1.0)


class TestRanking:
    """The scarcer of both resources decides how well provided one is."""

    @pytest.mark.parametrize(
        ("own", "others", "expected"),
        [
            ((10.0, 0.5), [], 1.0),
            ((100.0, 2.0), [(10.0, 2.0)], 1.0),
            ((10.0, 2.0), [(100.0, 2.0)], 0.1),
            ((100.0, 0.5), [(100.0, 2.0)], 0.25),
            ((10.0, 2.0), [(100.0, 0.5)], 0.4),
            ((100.0, 0.5), [(10.0, 2.0)], 1.0),
            ((None, 0.5), [(100.0, 2.0)], 0.25),
            ((10.0, None), [(100.0, 2.0), (None, None)], 0.1),
            ((10.0, None), [(None, 2.0)], 1.0),
        ],
    )
    def test_the_scarcer_resource_decides(
        self,
        own: tuple[float | None, float | None],
        others: list[tuple[float | None, float | None]],
        expected: float,
    ) -> None:
        members = [_provision.Provision(*each) for each in others]
        relative = _ranking.compute_relative_provision(
            _provision.Provision(*own), members
        )
        assert relative == pytest.approx(expected)

    def test_at_least_one_member_claims_without_delay(self) -> None:
        rng = random.Random(1)
        values = (None, 5.0, 10.0, 100.0)
        for _ in range(200):
            members = [
                _provision.Provision(rng.choice(values), rng.choice(values))
                for _ in range(rng.randint(1, 6))
            ]
            assert 1.0 in [
                _ranking.compute_relative_provision(each, members)
                for each in members
            ]


class TestGivingUp:
    """A leader that does not get anywhere lets another instance try."""

    def _give_up(self) -> _election.Election:
        """Returns an election that gave up its term at time 4."""
        election = _make_leader()
        election.give_up()
        resignation = election.next_term_write(4.0)
        assert resignation is not None
        assert resignation.term.is_resigned
        election.record_write_success(2, 4.01)
        return election

    def test_a_given_up_term_is_left_to_others_at_first(self) -> None:
        election = self._give_up()
        assert not election.is_leader
        after_s = 4.0 + _election.ABSTENTION_S - 0.1
        assert election.next_term_write(after_s) is None

    def test_a_given_up_term_is_claimed_again_if_nobody_else_does(self) -> None:
        election = self._give_up()
        claim = election.next_term_write(4.1 + _election.ABSTENTION_S)
        assert claim is not None
        assert claim.term.epoch == 2

    def test_waiting_calls_outlast_the_abstention_of_a_sole_instance(
        self,
    ) -> None:
        """Time for the longest write is left when the term is claimed."""
        election = self._give_up()
        left_s = _term_keeper.WRITE_TIMEOUT_S
        latest_s = 4.01 + _call_router.MAX_CALL_WAIT_S - left_s
        claim = election.next_term_write(latest_s)
        assert claim is not None

    def test_a_resignation_that_was_not_stored_is_repeated(self) -> None:
        election = _make_leader()
        election.give_up()
        assert election.next_term_write(4.0) is not None
        election.record_write_failure(4.1)
        repeated = election.next_term_write(5.0)
        assert repeated is not None
        assert repeated.term.is_resigned

    def test_the_terms_given_up_in_a_row_are_counted(self) -> None:
        given_up = self._give_up().term
        assert given_up is not None
        other = _make_election("b")
        other.apply_read(given_up, 2, 4.1)
        claim = other.next_term_write(4.1 + _election.MAX_CLAIM_JITTER_S)
        assert claim is not None
        assert claim.term.given_up_terms == 1

    def test_a_term_that_answers_calls_ends_the_count(self) -> None:
        given_up = self._give_up().term
        assert given_up is not None
        other = _make_election("b")
        other.apply_read(given_up, 2, 4.1)
        assert other.next_term_write(4.5) is not None
        other.record_write_success(3, 4.6)
        other.record_answering()
        renewal = other.next_term_write(6.0)
        assert renewal is not None
        assert renewal.term.given_up_terms == 0
        assert not renewal.term.is_resigned

    def test_a_fenced_term_that_answered_calls_is_not_counted(self) -> None:
        election = _make_leader()
        election.record_answering()
        election.give_up()
        resignation = election.next_term_write(4.0)
        assert resignation is not None
        assert resignation.term.is_resigned
        assert resignation.term.given_up_terms == 0


class TestTerm:
    """A leader renews its term and stops once a later term exists."""

    def test_a_leader_renews_in_time(self) -> None:
        election = _make_leader()
        assert (
            election.next_term_write(_election.RENEWAL_INTERVAL_S - 0.1) is None
        )
        claim = election.next_term_write(_election.RENEWAL_INTERVAL_S + 0.01)
        assert claim is not None
        assert (claim.term.beat, claim.expected_end_offset) == (1, 1)

    def test_a_renewal_confirms_from_when_it_was_sent(self) -> None:
        election = _make_leader()
        assert election.next_term_write(5.0) is not None
        election.record_write_success(2, 7.0)
        assert election.last_confirmed_s == 5.0

    def test_a_lost_answer_is_made_good_by_reading(self) -> None:
        election = _make_leader()
        claim = election.next_term_write(1.0)
        assert claim is not None
        election.record_write_failure(2.0)
        election.apply_read(claim.term, 2, 2.1)
        assert election.is_leader
        assert election.last_confirmed_s == 1.0

    def test_a_repeated_renewal_confirms_from_when_it_was_first_sent(
        self,
    ) -> None:
        """The first one may be the one that a successor has read."""
        election = _make_leader()
        claim = election.next_term_write(1.0)
        assert claim is not None
        election.record_write_failure(2.0)
        assert election.next_term_write(3.0) == claim
        election.record_write_conflict(3.1)
        election.apply_read(claim.term, 2, 3.2)
        assert election.last_confirmed_s == 1.0
        assert election.last_confirmed_beat == claim.term.beat

    def test_a_later_term_ends_the_own_one(self) -> None:
        election = _make_leader()
        election.apply_read(_make_term("b", 2), 2, 3.0)
        assert not election.is_leader

    def test_a_later_term_heard_of_from_a_peer_ends_the_own_one(self) -> None:
        election = _make_leader()
        election.step_down_if_newer(2)
        assert not election.is_leader

    def test_an_older_term_that_is_read_late_changes_nothing(self) -> None:
        election = _make_leader()
        election.apply_read(_make_term("b", 5), 2, 1.0)
        election.apply_read(_make_term("c", 4), 3, 1.1)
        assert election.term is not None
        assert election.term.instance == "b"

    def test_leaving_resigns_and_claims_no_more(self) -> None:
        election = _make_leader()
        election.resign()
        claim = election.next_term_write(0.1)
        assert claim is not None
        assert claim.term.is_resigned
        election.record_write_success(2, 0.2)
        assert not election.is_leader
        assert election.next_term_write(50.0) is None


class TestOneLeader:
    """At most one instance leads after any order of writes and losses."""

    def test_conditional_writes_leave_one_leader_in_office(self) -> None:
        for seed in range(200):
            self._simulate(random.Random(seed))

    def _simulate(self, rng: random.Random) -> None:
        """Runs three elections on one log with random write and read losses."""
        log: list[_leadership.Term] = []
        elections = [_make_election(name) for name in "abc"]
        read_offset_by_name = dict.fromkeys("abc", 0)
        now_s = 0.0
        for _ in range(300):
            now_s += rng.uniform(0.0, 0.4)
            index = rng.randrange(3)
            election, name = elections[index], "abc"[index]
            if rng.random() < 0.2:
                election.record_read_failure()
            else:
                newest = (
                    log[-1] if len(log) > read_offset_by_name[name] else None
                )
                read_offset_by_name[name] = len(log)
                election.apply_read(newest, len(log), now_s)
            claim = election.next_term_write(now_s)
            if claim is None:
                continue
            applied = claim.expected_end_offset == len(log)
            if applied:
                log.append(claim.term)
            if rng.random() < 0.2:
                election.record_write_failure(now_s)
            elif applied:
                election.record_write_success(len(log), now_s)
            else:
                election.record_write_conflict(now_s)
        epochs = [term.epoch for term in log]
        assert epochs == sorted(epochs)
        holder_by_epoch: dict[int, str] = {}
        for term in log:
            holder = holder_by_epoch.setdefault(term.epoch, term.instance)
            assert holder == term.instance


class TestResignation:
    """A resignation tells how long runs may still go on."""

    def test_the_next_scheduler_knows_how_long_earlier_runs_go_on(self) -> None:
        election = _make_leader()
        election.resign(5.1)
        resignation = election.next_term_write(1.0)
        assert resignation is not None
        other = _make_election("b")
        other.apply_read(resignation.term, 2, 1.1)
        assert other.next_term_write(1.5) is not None
        assert other.predecessor == resignation.term
        assert other.predecessor.longest_run_s == 5.1

    def test_a_term_that_was_not_resigned_tells_nothing(self) -> None:
        election = _make_leader()
        renewal = election.next_term_write(1.0)
        assert renewal is not None
        assert renewal.term.longest_run_s == 0.0

    def test_a_move_of_the_store_forgets_the_predecessor(self) -> None:
        election = _make_election("b")
        election.apply_read(_make_term("a", 1), 1, 0.0)
        assert election.next_term_write(5.0) is not None
        election.reset_after_store_move(incarnation=2)
        assert election.predecessor is None

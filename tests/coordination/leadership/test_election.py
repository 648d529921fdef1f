"""Tests of the election of the scheduler that holds a cell's term."""

import random

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership


def _make_election(instance: str, incarnation: int = 1) -> _election.Election:
    """Returns an election of an instance that has read nothing yet."""
    return _election.Election(
        instance=instance,
        incarnation=incarnation,
        address=f"{instance}:1",
        rng=random.Random(1),
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

    def test_silence_counts_anew_after_an_outage_of_the_store(self) -> None:
        election = _make_election("a")
        election.apply_read(_make_term("b", 3), 5, 0.0)
        election.record_read_failure()
        election.apply_read(None, 5, 10.0)
        assert election.next_term_write(10.0) is None
        assert election.next_term_write(11.0) is None
        assert election.next_term_write(12.0) is not None

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

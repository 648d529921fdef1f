"""Tests of the time until which a scheduler grants leases."""

import dataclasses
import random

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.state.workload import _leadership

_NEVER = float("-inf")


def _term(**changes: float) -> _leadership.Term:
    """Returns the last record of a term whose scheduler asks for reports."""
    grant_s = changes.get("unreported_grant_s", 1.5)
    return _leadership.Term(3, "front-1", 1, "", unreported_grant_s=grant_s)


def _history(
    *, started_s: float = 0.0, registered_s: float | None = 1.0
) -> _lease_grants.GrantHistory:
    """Returns the history of an instance."""
    history = _lease_grants.GrantHistory(started_s)
    history.registered_s = registered_s
    return history


class TestGrantsEnd:
    """A scheduler goes on in an outage while all others report it."""

    @pytest.mark.parametrize(
        ("reported_until_s", "end_s"),
        [(_NEVER, 101.5), (101.0, 101.5), (103.0, 103.0), (120.0, 105.0)],
    )
    def test_reports_extend_it_up_to_a_limit(
        self, reported_until_s: float, end_s: float
    ) -> None:
        assert _lease_grants.grants_end_s(100.0, reported_until_s) == end_s


class TestOutageReports:
    """The reports of all members hold as long as the oldest."""

    def test_a_member_that_never_reported_is_missing(self) -> None:
        reports = _lease_grants.OutageReports()
        reports.record("a", 10.0)
        assert reports.valid_until_s(["a", "b"]) == _NEVER
        assert reports.find_missing(["a", "b"], 11.0) == ["b"]

    def test_they_count_from_the_question(self) -> None:
        reports = _lease_grants.OutageReports()
        reports.record("a", 10.0)
        reports.record("b", 11.0)
        reports.record("a", 9.0)
        until_s = 10.0 + _lease_grants.REPORT_VALIDITY_S
        assert reports.valid_until_s(["a", "b"]) == until_s
        assert reports.find_missing(["a", "b"], until_s) == ["a"]

    def test_a_sole_instance_needs_none(self) -> None:
        reports = _lease_grants.OutageReports()
        assert reports.valid_until_s([]) == float("inf")


class TestGrantHistory:
    """An instance knows by when others granted their last lease."""

    def test_without_a_report_it_is_soon_after_the_last_record(self) -> None:
        history = _history()
        assert history.find_last_grant(_term(), 100.0).by_s == 101.5

    def test_a_report_lets_it_be_later(self) -> None:
        history = _history()
        history.record_report(101.0)
        until_s = 101.0 + _lease_grants.REPORT_VALIDITY_S
        assert history.find_last_grant(_term(), 100.0).by_s == until_s
        history.record_report(104.0)
        assert history.find_last_grant(_term(), 100.0).by_s == 105.0

    def test_a_process_before_this_one_may_have_reported(self) -> None:
        history = _history(started_s=101.0, registered_s=None)
        assert history.find_last_grant(_term(), 100.0).by_s == 105.0
        history.registered_s = 0.0
        until_s = 101.0 + _lease_grants.REPORT_VALIDITY_S
        assert history.find_last_grant(_term(), 100.0).by_s == until_s

    def test_an_instance_that_was_unknown_was_not_asked(self) -> None:
        history = _history(registered_s=99.0)
        assert history.find_last_grant(_term(), 100.0).by_s == 104.0
        history.registered_s = 95.0
        assert history.find_last_grant(_term(), 100.0).by_s == 101.5

    def test_a_record_before_a_new_registration_knows_nothing_of_it(
        self,
    ) -> None:
        history = _history(registered_s=None)
        history.record_registration(1, 0.0)
        term = dataclasses.replace(_term(), held_s=20.0)
        history.record_term(term, 2)
        assert history.find_last_grant(term, 100.0).by_s == 101.5
        history.record_registration(3, 99.0)
        assert history.find_last_grant(term, 100.0).by_s == 104.0

    def test_a_claim_that_may_take_effect_keeps_it_from_reporting(self) -> None:
        history = _history(started_s=0.0)
        assert not history.may_report(4.9)
        assert history.may_report(5.0)
        history.record_claim(6.0)
        assert not history.may_report(10.9)
        history.record_claim(7.0)
        history.record_refused_claim()
        assert not history.may_report(10.9)
        assert history.may_report(11.0)

    @pytest.mark.parametrize(
        ("held_s", "granted_s"), [(20.0, 0.0), (5.0, 0.0), (3.0, 2.0), (0, 5.0)]
    )
    def test_one_that_has_ended_grants_none(
        self, held_s: float, granted_s: float
    ) -> None:
        """Those before it may, for some time after its claim."""
        history = _history(started_s=100.0, registered_s=None)
        term = dataclasses.replace(_term(), held_s=held_s)
        last_grant = history.find_last_grant(term, 100.0, has_ended=True)
        assert last_grant.by_s == 100.0 + granted_s

    @pytest.mark.parametrize(
        ("started_s", "registered_s", "limit"),
        [
            (0.0, 1.0, _lease_grants.GrantLimit.TERM),
            (100.5, 1.0, _lease_grants.GrantLimit.REPORT),
            (0.0, 98.0, _lease_grants.GrantLimit.REGISTRATION),
            (0.0, 101.0, _lease_grants.GrantLimit.LONGEST),
            (0.0, None, _lease_grants.GrantLimit.LONGEST),
        ],
    )
    def test_it_tells_what_the_time_follows_from(
        self,
        started_s: float,
        registered_s: float | None,
        limit: _lease_grants.GrantLimit,
    ) -> None:
        history = _history(started_s=started_s, registered_s=registered_s)
        assert history.find_last_grant(_term(), 100.0).limit is limit

    def test_a_scheduler_of_an_earlier_build_asks_nobody(self) -> None:
        term = _term(unreported_grant_s=5.0)
        assert _history().find_last_grant(term, 100.0).by_s == 105.0
        assert _leadership.Term(3, "a", 1, "").unreported_grant_s == 5.0

    def test_a_term_right_after_one_of_an_earlier_build_tells_it(self) -> None:
        """The scheduler of the earlier build may still grant leases."""
        election = _election.Election(
            instance="b",
            incarnation=1,
            address="b:1",
            rng=random.Random(1),
        )
        election.apply_read(_leadership.Term(3, "a", 1, "a:1"), 1, 100.0)
        claim = election.next_term_write(102.0)
        assert claim is not None
        last_grant_s = _history().find_last_grant(claim.term, 102.0).by_s
        assert last_grant_s >= 100.0 + _lease_grants.MAX_GRANT_S

    def test_a_term_that_has_outlasted_the_earlier_build_does_not(
        self,
    ) -> None:
        """Else each later scheduler would wait for longer than need be."""
        election = _election.Election(
            instance="b",
            incarnation=1,
            address="b:1",
            rng=random.Random(1),
        )
        election.apply_read(_leadership.Term(3, "a", 1, "a:1"), 1, 100.0)
        assert election.next_term_write(102.0) is not None
        election.record_write_success(2, 102.0)
        renewal = election.next_term_write(102.0 + _lease_grants.MAX_GRANT_S)
        assert renewal is not None
        last_grant_s = _history().find_last_grant(renewal.term, 107.0).by_s
        assert last_grant_s == 107.0 + _lease_grants.UNREPORTED_GRANT_S

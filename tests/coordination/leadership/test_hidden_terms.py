"""Tests of an election whose newest term is hidden by another record."""

import random

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.state.workload import _leadership

_MAX_EPOCH = 1000
"""Highest epoch that the hidden term may have."""

_HIDDEN_S = 1.0
"""Time at which the record that hides the term is read, in seconds."""

_RENEWED_S = 2.0
"""Time at which the next renewal of the term is read, in seconds."""


@pytest.fixture
def election() -> _election.Election:
    """An election of an instance that knew an earlier term."""
    election = _election.Election(
        instance="a", incarnation=1, address="a:1", rng=random.Random(1)
    )
    election.apply_read(_leadership.Term(5, "b", 1, "b:1"), 1, 0.0)
    election.apply_read(_leadership.hidden_term(_MAX_EPOCH), 9, _HIDDEN_S)
    return election


class TestHiddenTerm:
    """It may be held, and by any epoch up to the highest possible one."""

    def test_its_renewal_is_waited_for(
        self, election: _election.Election
    ) -> None:
        expired_s = _HIDDEN_S + _election.TERM_EXPIRY_S
        assert election.next_term_write(expired_s - 0.01) is None
        claim = election.next_term_write(expired_s)
        assert claim is not None
        assert claim.term.epoch == _MAX_EPOCH + 1
        assert claim.term.unreported_grant_s == _lease_grants.MAX_GRANT_S
        assert claim.term.earlier_grant_s == _lease_grants.MAX_GRANT_S
        assert claim.term.bounded_since_epoch == claim.term.epoch

    def test_its_renewal_makes_it_known(
        self, election: _election.Election
    ) -> None:
        renewed = _leadership.Term(7, "c", 1, "c:1", beat=3, is_resigned=True)
        election.apply_read(renewed, 10, _RENEWED_S)
        assert election.term == renewed
        assert election.history.written_by_s(renewed.epoch, 3) == _RENEWED_S
        claim = election.next_term_write(
            _RENEWED_S + _election.MAX_CLAIM_JITTER_S
        )
        assert claim is not None
        assert claim.term.epoch == renewed.epoch + 1

    def test_an_earlier_read_does_not_hide_it_again(
        self, election: _election.Election
    ) -> None:
        renewed = _leadership.Term(7, "c", 1, "c:1", beat=3)
        election.apply_read(renewed, 10, _RENEWED_S)
        election.apply_read(_leadership.hidden_term(_MAX_EPOCH), 9, _RENEWED_S)
        assert election.term == renewed

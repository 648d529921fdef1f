"""Tests of what an instance knows of a hand-over."""

import pytest

from basiljunction.coordination.leadership import _hand_over
from basiljunction.protocol import _errors
from basiljunction.protocol import _term_requests
from basiljunction.state.workload import _leadership

PATIENCE_S = 1.2
"""Time within which an instance that stays requests a term, in seconds."""

OFFERED = _leadership.Term(3, "a", 1, "a:1", is_offered=True)
"""Term of a scheduler that leaves."""

REQUEST = _leadership.TermRequest(3, "b", 1, 7)
"""Request of that term by instance "b"."""


def _make_hand_over() -> _hand_over.HandOver:
    """Returns the hand-over of "b", which has read the offered term at 10 s."""
    hand_over = _hand_over.HandOver("b", 1, PATIENCE_S, 0.2)
    hand_over.record_term(OFFERED, 10.0)
    return hand_over


def test_an_instance_that_leaves_requests_nothing() -> None:
    hand_over = _make_hand_over()
    assert hand_over.make_request(OFFERED, 7, 0.0, 10.0) == REQUEST
    hand_over.resign_by_s = 99.0
    assert hand_over.make_request(OFFERED, 7, 0.0, 20.0) is None


def test_a_requested_term_is_requested_by_nobody_else() -> None:
    hand_over = _make_hand_over()
    hand_over.record_request(_leadership.TermRequest(3, "c", 1, 6))
    assert hand_over.make_request(OFFERED, 7, 0.0, 10.0) is None


def test_an_instance_that_leaves_lets_who_requested_the_term_claim() -> None:
    hand_over = _make_hand_over()
    hand_over.resign_by_s = 99.0
    assert hand_over.claim_delay_s(OFFERED, 0.0, 20.0, 20.0) == 0.0
    hand_over.record_request(_leadership.TermRequest(3, "c", 1, 6))
    assert hand_over.claim_delay_s(OFFERED, 0.0, 20.0, 20.0) == PATIENCE_S


def test_an_instance_that_leaves_lets_those_who_stay_claim_first() -> None:
    hand_over = _make_hand_over()
    hand_over.resign_by_s = 99.0
    later = _leadership.Term(4, "a", 1, "a:1")
    assert hand_over.claim_delay_s(later, 0.0, 20.0, 20.0) == PATIENCE_S


def test_an_instance_that_leaves_waits_since_the_term_was_offered() -> None:
    hand_over = _make_hand_over()
    hand_over.resign_by_s = 99.0
    assert hand_over.claim_delay_s(OFFERED, 0.0, 11.0, 11.0) == pytest.approx(
        PATIENCE_S - 1.0
    )


def test_an_instance_claims_the_term_that_it_requested_at_once() -> None:
    hand_over = _make_hand_over()
    hand_over.record_request(REQUEST)
    assert hand_over.claim_delay_s(OFFERED, 0.8, 20.0, 20.0) == 0.0


def test_no_term_is_claimed_that_ends_before_its_first_renewal() -> None:
    hand_over = _make_hand_over()
    hand_over.resign_by_s = 20.5
    assert hand_over.claim_delay_s(OFFERED, 0.0, 20.0, 20.0) is None


def test_a_resignation_waits_for_a_renewal_in_flight() -> None:
    hand_over = _make_hand_over()
    hand_over.resign_by_s = 20.0
    hand_over.record_request(REQUEST)
    assert hand_over.must_resign(3, 11.0, is_writing=False)
    assert not hand_over.must_resign(3, 11.0, is_writing=True)
    assert hand_over.must_resign(3, 20.0, is_writing=True)


def test_a_request_is_read_as_it_was_written() -> None:
    encoded = _term_requests.encode_request(REQUEST)
    assert _term_requests.decode_request(encoded) == REQUEST


@pytest.mark.parametrize("data", [b"", b"{}", b'{"epoch":3,"instance":"b"'])
def test_a_torn_request_is_none(data: bytes) -> None:
    with pytest.raises(_errors.DecodeError):
        _term_requests.decode_request(data)

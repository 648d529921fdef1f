"""Exhaustive search of two elections whose instances leave, within bounds."""

import pytest

import election_model
import leaving_model

DEPTH = 7
"""Maximum events of one sequence: a term, both leave, a request."""

GAP_DEPTH = 6
"""Maximum events of one sequence after which the store answers at once."""


def test_no_two_hold_one_term() -> None:
    states, fault = election_model.search_from(
        leaving_model.make_initial_state(),
        DEPTH,
        leaving_model.successors,
        election_model.find_violation,
    )
    assert fault == ""
    assert states > 10_000


@pytest.mark.parametrize("leaving", ["", "a", "ab"])
def test_there_is_always_a_term(leaving: str) -> None:
    states, fault = election_model.search_from(
        leaving_model.make_scheduled_state(leaving),
        GAP_DEPTH,
        leaving_model.successors,
        leaving_model.find_gap,
    )
    assert fault == ""
    assert states > 1_000

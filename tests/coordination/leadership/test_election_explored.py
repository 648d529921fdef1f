"""Exhaustive search of two elections against one store, within bounds."""

import election_model

DEPTH = 10
"""Maximum events of one sequence: two terms with reads, writes and a loss."""


class TestElectionExplored:
    """No two instances hold the same term despite loss and delay."""

    def test_no_course_breaks_it(self) -> None:
        states, fault = election_model.search_states(
            DEPTH, election_model.is_read_current
        )
        assert fault == ""
        assert states > 10_000

    def test_without_the_condition_two_hold_one_term(self) -> None:
        _, fault = election_model.search_states(
            DEPTH, election_model.accepts_every_write
        )
        assert "were written for two" in fault

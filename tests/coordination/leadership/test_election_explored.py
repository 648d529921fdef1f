"""Every course of two elections beside the store, within bounds."""

import election_model

DEPTH = 10
"""Events of one course: two terms with their reads and writes, and a loss."""


class TestElectionExplored:
    """No two instances hold one term, whatever is lost or late."""

    def test_no_course_breaks_it(self) -> None:
        states, fault = election_model.explore(DEPTH, election_model.holds)
        assert fault == ""
        assert states > 10_000

    def test_without_the_condition_two_hold_one_term(self) -> None:
        _, fault = election_model.explore(DEPTH, election_model.always)
        assert "were written for two" in fault

"""Exhaustive search of two elections against one store, within bounds."""

import pytest

from basiljunction.state.workload import _provision
import election_model
import election_rig

DEPTH = 10
"""Maximum events of one sequence: two terms with reads, writes and a loss."""

RANKED_DEPTH = 9
"""Maximum events of one sequence with registrations of provision."""

TAKEOVER_DEPTH = 8
"""Maximum events of one sequence after which one instance is left."""

STRONG_AND_WEAK = (election_rig.STRONG, election_rig.WEAK)
"""Provisions of two instances of which one is better provided."""


class TestElectionExplored:
    """No two instances hold the same term despite loss and delay."""

    def test_no_course_breaks_it(self) -> None:
        states, fault = election_model.search_states(
            DEPTH, election_model.is_read_current
        )
        assert fault == ""
        assert states > 10_000

    def test_no_course_breaks_it_if_one_is_better_provided(self) -> None:
        states, fault = election_model.search_states(
            RANKED_DEPTH, election_model.is_read_current, *STRONG_AND_WEAK
        )
        assert fault == ""
        assert states > 10_000

    @pytest.mark.parametrize(
        "provisions",
        [STRONG_AND_WEAK, (_provision.UNKNOWN, _provision.UNKNOWN)],
        ids=["strong-and-weak", "unknown"],
    )
    def test_whoever_is_left_takes_over(
        self, provisions: tuple[_provision.Provision, ...]
    ) -> None:
        states, fault = election_model.search_states(
            TAKEOVER_DEPTH,
            election_model.is_read_current,
            *provisions,
            find_fault=election_model.find_idle_survivor,
        )
        assert fault == ""
        assert states > 1_000

    @pytest.mark.parametrize(
        "provisions",
        [(), STRONG_AND_WEAK],
        ids=["unknown", "strong-and-weak"],
    )
    def test_without_the_condition_two_hold_one_term(
        self, provisions: tuple[_provision.Provision, ...]
    ) -> None:
        _, fault = election_model.search_states(
            DEPTH, election_model.accepts_every_write, *provisions
        )
        assert "were written for two" in fault

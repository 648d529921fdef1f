"""Random faults of instances that grant leases, in virtual time.

A failing seed prints its faults.
"""

import pytest

from basiljunction.coordination.leadership import _lease_grants
import grants_faults

_SEEDS_PER_TEST = 30

_TEST_COUNT = 10

_UNCONDITIONAL_SEED_COUNT = 60


class TestLeaseAfterLastAssumedGrant:
    """A scheduler grants a lease that one of a later term does not wait for."""

    @pytest.mark.parametrize("holds_terms", [False, True])
    @pytest.mark.parametrize("part", range(_TEST_COUNT))
    def test_no_lease_is_granted_later_than_assumed(
        self, part: int, holds_terms: bool
    ) -> None:
        first = part * _SEEDS_PER_TEST + 1
        outcomes = [
            grants_faults.play(seed, holds_terms=holds_terms)
            for seed in range(first, first + _SEEDS_PER_TEST)
        ]
        late = [each.describe() for each in outcomes if each.fault]
        if late:
            pytest.fail("\n".join(late), pytrace=False)
        # Otherwise the faults would test nothing.
        assert sum(each.term_count for each in outcomes) > _SEEDS_PER_TEST
        assert max(each.longest_unconfirmed_s for each in outcomes) > (
            _lease_grants.UNREPORTED_GRANT_S + 1.0
        )


class TestReportOfForgottenTerm:
    """A scheduler restarts and reports to the one that it had replaced."""

    @pytest.mark.parametrize("seed", [121])
    def test_no_lease_is_granted_later_than_assumed(self, seed: int) -> None:
        assert grants_faults.play(seed).fault == ""


class TestModelThatCannotFail:
    """The model finds what a store without conditional writes would do."""

    def test_leases_are_granted_too_late_without_the_condition(self) -> None:
        assert any(
            grants_faults.play(seed, keeps_condition=False).fault
            for seed in range(1, _UNCONDITIONAL_SEED_COUNT + 1)
        )

"""Tests of the disruptions that a seed draws."""

from soak import plan as soak_plan


class TestCuts:
    """Cuts come in some seeds and leave the other steps of a seed alone."""

    def test_some_seeds_have_them_and_others_not(self) -> None:
        has_cuts = {
            any(
                step.kind is soak_plan.Kind.CUT
                for step in soak_plan.make_plan(seed, 25.0).steps
            )
            for seed in range(1, 11)
        }
        assert has_cuts == {False, True}

    def test_a_seed_draws_the_same_ones_each_time(self) -> None:
        first, second = (soak_plan.make_plan(9, 25.0) for _ in range(2))
        assert first == second

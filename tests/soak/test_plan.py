"""Tests of the disruptions that a seed draws."""

from soak import plan as soak_plan
from soak import steps as soak_steps


class TestCuts:
    """Cuts come in some seeds and leave the other steps of a seed alone."""

    def test_some_seeds_have_them_and_others_not(self) -> None:
        has_cuts = {
            any(
                step.kind is soak_steps.Kind.CUT
                for step in soak_plan.make_plan(seed, 25.0).steps
            )
            for seed in range(1, 11)
        }
        assert has_cuts == {False, True}

    def test_a_seed_draws_the_same_ones_each_time(self) -> None:
        first, second = (soak_plan.make_plan(9, 25.0) for _ in range(2))
        assert first == second


class TestStorms:
    """Restarts, cuts and take-overs fall together within seconds."""

    def test_a_plain_seed_that_does_not_keep_its_steps(self) -> None:
        for seed in range(1, 31):
            plan = soak_plan.make_plan(seed, 25.0, is_plain=True)
            assert plan.long_share == 0.0
            assert not {step.kind for step in plan.steps} & {
                soak_steps.Kind.RESTART_EXECUTOR,
                soak_steps.Kind.LATE_ORDERS,
                soak_steps.Kind.HANGUP,
                soak_steps.Kind.CONFIGURE,
            }

    def test_no_seed_has_restart_cut_and_take_over_within_ten_seconds(
        self,
    ) -> None:
        seeds = [seed for seed in range(1, 31) if _has_overlap(seed)]
        assert len(seeds) >= 10


def _has_overlap(seed: int) -> bool:
    """Returns whether a seed cuts a restarted executor at a take-over."""
    steps = soak_plan.make_plan(seed, 25.0).steps
    take_overs = (
        soak_steps.Kind.KILL_SCHEDULER,
        soak_steps.Kind.PAUSE_SCHEDULER,
    )
    return any(
        0.0 < other.at_s - step.at_s < 10.0
        for step in steps
        if step.cut is not None
        for other in steps
        if other.kind in take_overs
    )

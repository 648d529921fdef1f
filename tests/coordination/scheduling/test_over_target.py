"""Serving tasks are not over their target for long by fillers beside them.

`scripts/random_tails.py` plays many seeds.
"""

import pytest

import tail_rig

MAX_OVER_TARGET_S = 4.0
"""Longest time for which a serving task may be over its target by fillers that
go on, in seconds: the least of the users' sites."""

_PLAYED_S = 40.0

# The first ones that were over the bound.
_KEPT_SEEDS = (115, 174, 284, 320, 366, 386, 2899)
_KEPT_DISTURBED_SEEDS = (140, 154, 260)


class TestServingTaskBesideFillers:
    """The fillers are gone or paused before the bound, whatever they are."""

    @pytest.mark.parametrize("seed", [*range(1, 31), *_KEPT_SEEDS])
    def test_fillers_end_a_time_over_the_target_in_time(
        self, seed: int
    ) -> None:
        rig = tail_rig.TailRig(seed)
        rig.play(_PLAYED_S)
        assert rig.longest.seconds < MAX_OVER_TARGET_S, rig.longest

    @pytest.mark.parametrize("seed", [*range(1, 21), *_KEPT_DISTURBED_SEEDS])
    def test_they_do_so_after_disturbances(self, seed: int) -> None:
        rig = tail_rig.TailRig(seed)
        rig.play(_PLAYED_S, is_disturbed=True)
        assert rig.longest.seconds < MAX_OVER_TARGET_S, rig.longest

    def test_the_rig_shows_times_over_the_target(self) -> None:
        """Without any the tests above would check nothing."""
        rig = tail_rig.TailRig(1)
        rig.play(_PLAYED_S)
        assert rig.longest.seconds > 0.0

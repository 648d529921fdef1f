"""Tests of terms while instances leave one after the other, in virtual time."""

import random

import pytest

from basiljunction.coordination.leadership import _election
import election_rig

MAX_GAP_S = 0.5
"""Longest time without a scheduler by planned work, in seconds."""

HOLD_S = 4.0
"""Time for which an instance that leaves may hold a term, in seconds."""

DOWN_S = 0.8
"""Time from then until it starts again, in seconds."""

READ_DELAY_S = 0.03
"""Longest time until a record is read, as `docs/design/time-budgets.md` takes
for granted, in seconds."""

PAUSE_S = 0.4
"""Time between two instances or groups that leave, in seconds."""


def _start(instances: int, seed: int) -> election_rig.ElectionRig:
    """Returns a rig in which one of the instances schedules."""
    names = [f"i{number:03}" for number in range(instances)]
    rig = election_rig.ElectionRig(
        dict.fromkeys(names, election_rig.STRONG),
        random.Random(seed),
        READ_DELAY_S,
    )
    rig.run_until_term(1, limit_s=2.0)
    rig.run_for(1.0)
    return rig


def _roll(
    rig: election_rig.ElectionRig,
    names: list[str],
    group: int,
    pause_s: float = PAUSE_S,
) -> None:
    """Lets instances leave, a group of them at a time."""
    for first in range(0, len(names), group):
        for name in names[first : first + group]:
            rig.restart(name, hold_s=HOLD_S, down_s=DOWN_S)
        rig.run_for(pause_s)


@pytest.mark.parametrize("seed", range(20))
class TestNobodyClaimsWhileAllLeave:
    """There is a scheduler at each moment of a rolling restart."""

    @pytest.mark.parametrize(
        ("instances", "leaving", "group", "pause_s"),
        [
            (3, 1, 1, PAUSE_S),
            (3, 2, 2, PAUSE_S),
            (8, 8, 1, PAUSE_S),
            (8, 8, 2, PAUSE_S),
            (8, 8, 4, 3 * PAUSE_S),
            (2, 2, 1, 3 * PAUSE_S),
        ],
    )
    def test_there_is_a_scheduler(
        self,
        seed: int,
        instances: int,
        leaving: int,
        group: int,
        pause_s: float,
    ) -> None:
        rig = _start(instances, seed)
        _roll(rig, sorted(rig.alive)[-leaving:], group, pause_s)
        rig.run_for(HOLD_S + 5.0)
        assert rig.longest_gap_s < MAX_GAP_S
        assert len(rig.find_schedulers()) == 1

    def test_a_scheduler_of_all_that_leave_at_once_holds_its_term(
        self, seed: int
    ) -> None:
        rig = _start(8, seed)
        _roll(rig, sorted(rig.alive), 8)
        rig.run_for(HOLD_S - PAUSE_S - election_rig.TICK_INTERVAL_S)
        assert rig.longest_gap_s == pytest.approx(0.0, abs=MAX_GAP_S)
        rig.run_for(5.0)
        assert len(rig.find_schedulers()) == 1

    def test_one_that_leaves_follows_a_scheduler_that_is_lost(
        self, seed: int
    ) -> None:
        rig = _start(8, seed)
        _roll(rig, sorted(rig.alive), 2)
        [leader] = rig.find_schedulers()
        rig.kill({leader})
        assert rig.term is not None
        rig.run_until_term(
            rig.term.epoch + 1, limit_s=_election.TERM_EXPIRY_S + MAX_GAP_S
        )


@pytest.mark.parametrize("seed", range(3))
def test_there_is_a_scheduler_while_a_hundred_leave(seed: int) -> None:
    rig = _start(100, seed)
    _roll(rig, sorted(rig.alive), 2)
    rig.run_for(HOLD_S + 5.0)
    assert rig.longest_gap_s < MAX_GAP_S
    assert len(rig.find_schedulers()) == 1


@pytest.mark.parametrize("seed", range(20))
def test_an_instance_that_leaves_has_no_term_after_its_time(seed: int) -> None:
    rig = _start(1, seed)
    _roll(rig, sorted(rig.alive), 1)
    rig.run_for(HOLD_S - PAUSE_S + 2 * election_rig.TICK_INTERVAL_S)
    assert rig.term is not None
    assert rig.term.is_resigned

"""Plays random sequences of faults in which executors restart under their id.

The rig checks the rules of runs at each start. A failing seed prints its last
steps; `scripts/random_sequences.py` plays many seeds.
"""

import dataclasses

import pytest

import restart_sequences
import sequence_actions

_SEED_COUNT = 40

_WIDE_SEED_COUNT = 20

_WIDE = restart_sequences.Mix(
    longest_delay_s=12.0,
    has_refusals=True,
    has_overlaps=True,
    late_confirmed_share=0.2,
)

_CALM_SEED_COUNT = 20

_WITH_CALM = restart_sequences.Mix(has_series=True, has_calm_spells=True)

_SHORT_ANSWERS_SEED_COUNT = 20

_SHORT_ANSWERS = restart_sequences.Mix(ends_per_answer=2)

_OVERLAPPING = restart_sequences.Mix(has_overlaps=True)
_PLAIN = restart_sequences.Mix(has_varied_jobs=False)
_PLAIN_WITHOUT_RESTARTS = restart_sequences.Mix(
    has_varied_jobs=False, has_restarts=False
)


_WITH_AND_WITHOUT_CHECKS = pytest.mark.parametrize("checks", [True, False])


def _play(
    seed: int,
    mix: restart_sequences.Mix | None = None,
    *,
    checks: bool = False,
) -> restart_sequences.Outcome:
    """Plays a seed's sequence and asserts that it breaks no rule.

    Args:
        seed: The seed.
        mix: What the sequence is drawn from.
        checks: Whether orders reach only the incarnation that the scheduler
            knows.
    """
    mix = dataclasses.replace(
        mix or restart_sequences.Mix(), checks_incarnations=checks
    )
    sequence = restart_sequences.draw_sequence(seed, mix)
    outcome = restart_sequences.play(sequence)
    if outcome.fault:
        pytest.fail(outcome.describe(), pytrace=False)
    return outcome


def _count_take_overs(sequences: list[restart_sequences.Sequence]) -> int:
    """Returns how often a scheduler takes over."""
    return sum(
        isinstance(action, sequence_actions.TakeOver)
        for sequence in sequences
        for step in sequence.steps
        for action in step.actions
    )


class TestRuleBrokenByFaultsInSequence:
    """Faults that do no harm one by one break no rule together either."""

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", range(1, _SEED_COUNT + 1))
    def test_no_rule_is_broken(self, seed: int, *, checks: bool) -> None:
        _play(seed, checks=checks)

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", range(1, _WIDE_SEED_COUNT + 1))
    def test_none_is_with_refusals_overlaps_and_late_answers(
        self, seed: int, *, checks: bool
    ) -> None:
        _play(seed, _WIDE, checks=checks)


class TestRuleBrokenByOmittedEnds:
    """Answers that leave out most ends of runs break no rule beside faults."""

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", range(1, _SHORT_ANSWERS_SEED_COUNT + 1))
    def test_no_rule_is_broken(self, seed: int, *, checks: bool) -> None:
        _play(seed, _SHORT_ANSWERS, checks=checks)


class TestWaitAfterFaults:
    """Once all faults have ceased, nothing waits beyond its bound."""

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", range(1, _CALM_SEED_COUNT + 1))
    def test_no_bound_is_broken(self, seed: int, *, checks: bool) -> None:
        _play(seed, _WITH_CALM, checks=checks)


class TestSecondRunBesideLeaseOfOldClock:
    """A deadline on the old clock reaches a restarted executor.

    Its lease is longer than the next scheduler assumes.
    """

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", [304, 723])
    def test_no_task_runs_twice(self, seed: int, *, checks: bool) -> None:
        _play(seed, _PLAIN, checks=checks)

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", [702, 936, 1290, 1336])
    def test_no_task_of_varied_jobs_runs_twice(
        self, seed: int, *, checks: bool
    ) -> None:
        _play(seed, checks=checks)

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", [47, 51, 568])
    def test_none_runs_twice_beside_an_earlier_scheduler(
        self, seed: int, *, checks: bool
    ) -> None:
        _play(seed, _OVERLAPPING, checks=checks)

    @_WITH_AND_WITHOUT_CHECKS
    @pytest.mark.parametrize("seed", [419, 593])
    def test_none_runs_twice_with_all_faults(
        self, seed: int, *, checks: bool
    ) -> None:
        _play(seed, _WIDE, checks=checks)


class TestStartBesideDoneEndOfLapsedLease:
    """A start is ordered in the tick that brings the end of an earlier run.

    The rules allow it where the lease lapsed before the end was acknowledged.
    """

    @pytest.mark.parametrize("seed", [341, 451, 559, 620])
    def test_it_counts_as_no_fault_without_restarts(self, seed: int) -> None:
        _play(seed, _PLAIN_WITHOUT_RESTARTS)

    @pytest.mark.parametrize("seed", [1, 582])
    def test_it_counts_as_no_fault_with_restarts(self, seed: int) -> None:
        _play(seed, _PLAIN)


class TestCopyBesideEndInHeldAnswer:
    """A copy may start in the tick that brings the end of another copy.

    The rig has to know of the end when it checks the start.
    """

    def test_it_counts_as_no_fault(self) -> None:
        _play(803)


class TestSequenceThatPlaysNothing:
    """A sequence without starts or with no fault drawn would check nothing."""

    def test_each_kind_of_action_is_drawn(self) -> None:
        kinds = {
            type(action).__name__
            for seed in range(1, _WIDE_SEED_COUNT + 1)
            for step in restart_sequences.draw_sequence(seed, _WIDE).steps
            for action in step.actions
        }
        assert kinds == {
            "Submit",
            "Cancel",
            "Restart",
            "CutOff",
            "Return",
            "TakeOver",
            "Resign",
            "SetStore",
            "SetRefusal",
        }

    def test_calm_and_series_of_schedulers_are_drawn(self) -> None:
        sequences = [
            restart_sequences.draw_sequence(seed, _WITH_CALM)
            for seed in range(1, _CALM_SEED_COUNT + 1)
        ]
        calm_count = sum(
            action == sequence_actions.SetNoise()
            for sequence in sequences
            for step in sequence.steps
            for action in step.actions
        )
        assert calm_count > _CALM_SEED_COUNT / 2
        plain = dataclasses.replace(_WITH_CALM, has_series=False)
        assert _count_take_overs(sequences) > 1.5 * _count_take_overs(
            [
                restart_sequences.draw_sequence(each.seed, plain)
                for each in sequences
            ]
        )

    def test_tasks_start(self) -> None:
        assert _play(2).start_count > 20

    def test_a_seed_gives_the_same_sequence_again(self) -> None:
        first = restart_sequences.draw_sequence(7)
        assert first == restart_sequences.draw_sequence(7)


class TestFailureWithoutItsSteps:
    """A seed that fails shows what was done, up to the failure."""

    def test_the_last_step_and_the_faults_are_shown(self) -> None:
        sequence = restart_sequences.draw_sequence(2)
        text = restart_sequences.Outcome(
            sequence, "t: runs twice, also on ['e0']", 39.0, 10
        ).describe()
        assert "runs twice" in text
        assert "seed 2" in text
        assert str(sequence.steps[-1].actions[-1:])[1:-2] in text

    def test_the_kind_names_no_task(self) -> None:
        outcome = restart_sequences.Outcome(
            restart_sequences.draw_sequence(2),
            "0a/0.0.1: runs twice, also on ['e0']\nassert not",
            39.0,
            10,
        )
        assert outcome.kind == "runs twice"

"""Plays planned work and losses in random order beside lasting tasks.

No lasting task may be without a run for longer than allowed at any time of a
sequence. `scripts/random_waits.py` plays many seeds, and what is left out
here.
"""

import pytest

import restart_sequences
import sequence_actions
import wait_actions
import wait_sequences

_SEED_COUNT = 40

_LEFT_OUT = frozenset(
    {
        # Runs of an executor count with its longest lease for some seconds
        # after its restart under its id.
        wait_sequences.Incident.RESTARTED_LOSS,
        wait_sequences.Incident.RESTART,
    }
)
"""Incidents that break the bound by faults that are listed in KNOWN-RED.txt."""

_MIX = wait_sequences.WaitMix(
    incidents=wait_sequences.ALL_INCIDENTS - _LEFT_OUT,
    # A scheduler that ends before its first step lengthens the next wait.
    shortest_term_s=0.1,
    # An instance that the scheduler before did not know does, too.
    youngest_s=0.3,
)


class TestTaskWithoutRunDuringSequence:
    """Planned work and losses one after another keep to the bound."""

    @pytest.mark.parametrize("seed", range(1, _SEED_COUNT + 1))
    def test_no_lasting_task_waits_beyond_its_bound(self, seed: int) -> None:
        sequence = wait_sequences.draw_sequence(seed, _MIX)
        outcome = restart_sequences.play(sequence)
        if outcome.fault:
            pytest.fail(outcome.describe(), pytrace=False)
        assert outcome.start_count > _MIX.lasting_count


class TestSequenceThatPlaysNothing:
    """A kind of incident that is never drawn would check nothing."""

    def test_each_kind_of_action_is_drawn(self) -> None:
        kinds = {
            type(action)
            for seed in range(1, _SEED_COUNT + 1)
            for step in wait_sequences.draw_sequence(seed).steps
            for action in step.actions
        }
        assert kinds == {
            sequence_actions.Restart,
            sequence_actions.Submit,
            sequence_actions.TakeOver,
            wait_actions.Add,
            wait_actions.HandOver,
            wait_actions.Leave,
            wait_actions.Lose,
            wait_actions.TakeOverByNewcomer,
        }

    def test_terms_of_less_than_a_second_are_drawn(self) -> None:
        mix = wait_sequences.WaitMix(
            incidents=frozenset({wait_sequences.Incident.SHORT_TERM}), count=1
        )
        sequence = wait_sequences.draw_sequence(1, mix)
        first, second = (
            (at_s, action)
            for at_s, action in _find_times(sequence)
            if isinstance(
                action, wait_actions.HandOver | sequence_actions.TakeOver
            )
        )
        assert 0.0 < second[0] - first[0] - first[1].duration_s < 1.0

    def test_executors_end_with_runs_on_them(self) -> None:
        ended_count = 0
        for seed in range(1, 6):
            sequence = wait_sequences.draw_sequence(seed, _MIX)
            rig = restart_sequences.make_rig(sequence)
            for step in sequence.steps:
                rig.run(step.pause_s)
                for action in step.actions:
                    if isinstance(action, wait_actions.Lose):
                        lost = rig.executor_by_id[action.executor]
                        ended_count += len(lost.run_by_key)
                    action.apply(rig)
        assert ended_count > 0

    def test_a_seed_gives_the_same_sequence_again(self) -> None:
        assert wait_sequences.draw_sequence(7) == wait_sequences.draw_sequence(
            7
        )


class TestSequenceThatIsNotMinimal:
    """A sequence that breaks a bound is shown without what it doesn't need."""

    def test_actions_that_do_not_matter_are_left_out(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        needed = [
            (3.0, wait_actions.Lose("e0")),
            (5.0, wait_actions.HandOver(0.2)),
        ]

        def play(
            sequence: restart_sequences.Sequence,
        ) -> restart_sequences.Outcome:
            """Finds a fault if what is needed happens at its time."""
            is_broken = set(needed) <= set(_find_times(sequence))
            return restart_sequences.Outcome(
                sequence, "t: waits" if is_broken else "", 20.0, 0
            )

        monkeypatch.setattr(restart_sequences, "play", play)
        sequence = restart_sequences.Sequence(
            1,
            3,
            0.5,
            restart_sequences.Faults(),
            wait_sequences.make_steps(
                [
                    (0.0, sequence_actions.Submit(1, 6, lasts=True)),
                    (1.0, sequence_actions.TakeOver(0.5)),
                    needed[0],
                    (4.0, wait_actions.Add("e3")),
                    needed[1],
                    (7.0, wait_actions.HandOver(0.6)),
                ],
                20.0,
            ),
        )
        assert _find_times(wait_sequences.shorten(sequence)) == needed


def _find_times(
    sequence: restart_sequences.Sequence,
) -> list[tuple[float, sequence_actions.Action]]:
    """Returns each action and when it happens, in seconds."""
    now_s = 0.0
    timed = []
    for step in sequence.steps:
        now_s += step.pause_s
        for action in step.actions:
            timed.append((round(now_s, 3), action))
            now_s += action.duration_s
    return timed

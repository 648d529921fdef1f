"""Sequences of planned work and losses, with time to wait between them.

Each consists of lasting tasks and of incidents: some actions close together
that stand for one thing that happens to the service. Between two incidents
some time passes, so that waits end, or the next incident meets them.
"""

from collections.abc import Callable
import dataclasses
import enum
import random

import cell_rig
import restart_sequences
import sequence_actions
import wait_actions

_SEED_FACTOR = 6007
"""Factor of the drawing's seed, so that the rig draws other numbers."""

_EXECUTOR_COUNT = 5
_FIRST_INCIDENT_S = 3.0
_PAUSES_S = (0.4, 1.5, 3.0, 6.0, 10.0, 10.0)
"""Times from one incident to the next, in seconds; in the longest a task whose
run was lost counts as lost."""

_END_S = 10.0
"""Time after the last incident, in seconds, in which all bounds pass."""

_HEAL_TIMES_S = (0.5, 2.0, 5.0)
"""Times from the loss of an executor until another is added, in seconds."""

_RECOVERY_TIMES_S = (0.0, 0.3, 1.0, 2.0, 3.0)
"""Times from the end of a scheduler to the first step of the next, in seconds;
the election takes up to 3.2 s."""

_HAND_OVER_TIMES_S = (0.0, 0.1, 0.3, 0.6)
"""The same for a scheduler that resigns."""

_GAPS_S = (0.1, 0.4, 0.8, 1.5, 3.0)
_SHORT_TERMS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.95)
_NOTICES_S = (0.1, 0.3, 1.0, 2.0, 6.0)
_AGES_S = (0.0, 0.3, 1.0, 2.0, 4.0, 6.0)
_INCARNATION_TIMES_S = (0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0, 10.0, 20.0)
_OFFSETS_S = (-1.5, -1.0, -0.6, -0.3, -0.1, 0.0, 0.1, 0.3, 0.6, 1.0)
"""Times from the end of an executor to that of its scheduler, in seconds."""


class Incident(enum.Enum):
    """Something that happens to the service.

    Attributes:
        HAND_OVER: A scheduler resigns.
        ROLLING: Schedulers resign in series.
        LEAVING: An executor exits as announced, beside the end of a scheduler.
        LOSS: An executor is lost beside the end of a scheduler.
        RESTARTED_LOSS: It had restarted under its id before.
        SHORT_TERM: A scheduler is lost within the first second of its term.
        NEWCOMER: An executor and its scheduler are lost, and an instance takes
            over that has not been there for long.
        RESTART: An executor restarts under its id and stays.
    """

    HAND_OVER = "hand-over"
    ROLLING = "rolling"
    LEAVING = "leaving"
    LOSS = "loss"
    RESTARTED_LOSS = "restarted-loss"
    SHORT_TERM = "short-term"
    NEWCOMER = "newcomer"
    RESTART = "restart"


ALL_INCIDENTS = frozenset(Incident)

_ENDS_OF_SCHEDULERS = (
    wait_actions.HandOver,
    wait_actions.TakeOverByNewcomer,
    sequence_actions.TakeOver,
)

_Timed = tuple[float, sequence_actions.Action]
"""An action and its time from the beginning of the sequence, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitMix:
    """What sequences are drawn from.

    Attributes:
        incidents: What may happen.
        count: Number of incidents.
        lasting_count: Number of lasting tasks.
        shortest_term_s: Shortest time for which a scheduler is at work, in
            seconds; with 0.0 it may end before its first step.
        youngest_s: Shortest time since which an instance that takes over has
            been there, in seconds; with 0.0 the scheduler before may not have
            known it.
    """

    incidents: frozenset[Incident] = ALL_INCIDENTS
    count: int = 6
    lasting_count: int = 8
    shortest_term_s: float = 0.0
    youngest_s: float = 0.0


class _Drawing:
    """Draws a sequence and follows which executors are there.

    Args:
        seed: Seed of the sequence.
        mix: What it is drawn from.
    """

    def __init__(self, seed: int, mix: WaitMix) -> None:
        self._seed = seed
        self._mix = mix
        self._rng = random.Random(seed * _SEED_FACTOR)
        self._there_from_s_by_name = dict.fromkeys(
            restart_sequences.executor_ids(_EXECUTOR_COUNT), 0.0
        )
        self._name_count = _EXECUTOR_COUNT
        self._job_count = 0
        self._timed: list[_Timed] = []
        self._now_s = 0.0
        self._at_work_s = 0.0

    def draw(self) -> restart_sequences.Sequence:
        """Returns the sequence."""
        rng = self._rng
        for count in (self._mix.lasting_count // 2,) * 2:
            self._submit(count, lasts=True)
        self._now_s += _FIRST_INCIDENT_S
        incidents = sorted(self._mix.incidents, key=lambda each: each.value)
        for _ in range(self._mix.count):
            if rng.random() < 0.3:
                self._submit(rng.choice([1, 2, 4]), lasts=False)
            self._draw_by_incident()[rng.choice(incidents)]()
            self._now_s += rng.choice(_PAUSES_S)
        self._now_s += _END_S
        faults = restart_sequences.Faults(
            delayed_share=0.0,
            holds_renewals=rng.random() < 0.7,
        )
        return restart_sequences.Sequence(
            self._seed,
            _EXECUTOR_COUNT,
            rng.choice([0.5, 2.0]),
            faults,
            make_steps(self._timed, self._now_s),
        )

    def _draw_by_incident(self) -> dict[Incident, Callable[[], None]]:
        """Returns what draws each kind of incident."""
        return {
            Incident.HAND_OVER: self._draw_hand_over,
            Incident.ROLLING: self._draw_rolling,
            Incident.LEAVING: self._draw_leaving,
            Incident.LOSS: self._draw_loss,
            Incident.RESTARTED_LOSS: self._draw_restarted_loss,
            Incident.SHORT_TERM: self._draw_short_term,
            Incident.NEWCOMER: self._draw_newcomer,
            Incident.RESTART: self._draw_restart,
        }

    def _add(self, at_s: float, action: sequence_actions.Action) -> None:
        """Adds an action; the time goes on to it if need be."""
        if isinstance(action, _ENDS_OF_SCHEDULERS):
            at_s = max(at_s, self._at_work_s + self._mix.shortest_term_s)
            self._at_work_s = at_s + action.duration_s
        self._timed.append((at_s, action))
        self._now_s = max(self._now_s, at_s)

    def _submit(self, count: int, *, lasts: bool) -> None:
        self._job_count += 1
        self._add(
            self._now_s,
            sequence_actions.Submit(self._job_count, count, lasts=lasts),
        )

    def _hand_over(self) -> wait_actions.HandOver:
        return wait_actions.HandOver(self._rng.choice(_HAND_OVER_TIMES_S))

    def _take_over(self) -> sequence_actions.TakeOver:
        return sequence_actions.TakeOver(self._rng.choice(_RECOVERY_TIMES_S))

    def _end_scheduler(self) -> sequence_actions.Action:
        """Returns a planned end of a scheduler or its loss."""
        rng = self._rng
        return self._hand_over() if rng.random() < 0.4 else self._take_over()

    def _remove_executor(self, gone_s: float) -> str:
        """Returns one that is gone at a time, and adds another after it."""
        name = self._choose_executor()
        del self._there_from_s_by_name[name]
        added = f"e{self._name_count}"
        self._name_count += 1
        back_s = gone_s + self._rng.choice(_HEAL_TIMES_S)
        self._there_from_s_by_name[added] = back_s
        self._timed.append((back_s, wait_actions.Add(added)))
        return name

    def _choose_executor(self) -> str:
        """Returns one that is there now."""
        return self._rng.choice(
            [
                name
                for name, from_s in self._there_from_s_by_name.items()
                if from_s <= self._now_s
            ]
        )

    def _draw_hand_over(self) -> None:
        self._add(self._now_s, self._hand_over())

    def _draw_rolling(self) -> None:
        for _ in range(self._rng.choice([2, 3, 5])):
            self._add(self._now_s, self._hand_over())
            self._now_s += self._rng.choice(_GAPS_S)

    def _draw_leaving(self) -> None:
        notice_s = self._rng.choice(_NOTICES_S)
        exit_s = self._now_s + notice_s
        name = self._remove_executor(exit_s)
        self._add(self._now_s, wait_actions.Leave(name, notice_s))
        at_s = max(self._now_s, exit_s + self._rng.choice(_OFFSETS_S))
        self._add(at_s, self._end_scheduler())
        self._now_s = max(self._now_s, exit_s)

    def _draw_loss(self) -> None:
        lost_s = self._now_s + 1.5
        name = self._remove_executor(lost_s)
        self._add(lost_s, wait_actions.Lose(name))
        self._add(lost_s + self._rng.choice(_OFFSETS_S), self._end_scheduler())

    def _draw_restarted_loss(self) -> None:
        lost_s = self._now_s + self._rng.choice(_INCARNATION_TIMES_S)
        name = self._remove_executor(lost_s)
        self._add(self._now_s, sequence_actions.Restart(name))
        at_s = max(self._now_s, lost_s + self._rng.choice(_OFFSETS_S))
        self._add(lost_s, wait_actions.Lose(name))
        self._add(at_s, self._end_scheduler())

    def _draw_short_term(self) -> None:
        rng = self._rng
        first = self._end_scheduler()
        self._add(self._now_s, first)
        term_s = first.duration_s + rng.choice(_SHORT_TERMS_S)
        if rng.random() < 0.6:
            lost_s = self._now_s + term_s + rng.choice(_OFFSETS_S)
            lost_s = max(self._now_s, lost_s)
            self._add(lost_s, wait_actions.Lose(self._remove_executor(lost_s)))
        self._add(self._now_s + term_s, self._take_over())

    def _draw_newcomer(self) -> None:
        rng = self._rng
        lost_s = self._now_s + 1.5
        name = self._remove_executor(lost_s)
        self._add(lost_s, wait_actions.Lose(name))
        self._add(
            lost_s + rng.choice(_OFFSETS_S),
            wait_actions.TakeOverByNewcomer(
                rng.choice([e for e in _AGES_S if e >= self._mix.youngest_s]),
                rng.random() < 0.5,
                rng.choice(_RECOVERY_TIMES_S),
            ),
        )

    def _draw_restart(self) -> None:
        self._add(
            self._now_s,
            sequence_actions.Restart(self._choose_executor()),
        )


def make_steps(
    timed: list[_Timed], duration_s: float
) -> tuple[restart_sequences.Step, ...]:
    """Returns the steps that play some actions at their times.

    An action that falls into another one comes right after it.

    Args:
        timed: The actions.
        duration_s: Time from the first step to the end, in seconds.
    """
    steps = []
    now_s = 0.0
    for at_s, action in sorted(timed, key=lambda each: each[0]):
        pause_s = round(max(0.0, at_s - now_s) / cell_rig.STEP_S)
        steps.append(
            restart_sequences.Step(pause_s * cell_rig.STEP_S, (action,))
        )
        now_s = max(now_s, at_s) + action.duration_s
    left_s = round(max(0.0, duration_s - now_s) / cell_rig.STEP_S)
    steps.append(restart_sequences.Step(left_s * cell_rig.STEP_S))
    return tuple(steps)


def draw_sequence(
    seed: int, mix: WaitMix | None = None
) -> restart_sequences.Sequence:
    """Draws a sequence by its seed."""
    return _Drawing(seed, mix or WaitMix()).draw()


def shorten(
    sequence: restart_sequences.Sequence,
) -> restart_sequences.Sequence:
    """Returns a sequence that fails alike with as few actions as possible.

    Args:
        sequence: A sequence that breaks a rule, with all its steps.
    """
    kind = restart_sequences.play(sequence).kind
    index = 0
    while index < len(sequence.steps):
        shorter = _without_action(sequence, index)
        if shorter and _breaks(shorter, kind):
            sequence = shorter
        else:
            index += 1
    return sequence


def _breaks(sequence: restart_sequences.Sequence, kind: str) -> bool:
    """Returns whether a sequence breaks a rule in a certain way."""
    try:
        return restart_sequences.play(sequence).kind == kind
    except KeyError:
        # It needs an executor that is no longer added.
        return False


def _without_action(
    sequence: restart_sequences.Sequence, index: int
) -> restart_sequences.Sequence | None:
    """Returns a sequence without a step's action, at the same times as before.

    Returns None if that step has none.
    """
    steps = list(sequence.steps)
    actions = steps[index].actions
    if not actions:
        return None
    left_s = sum(each.duration_s for each in actions)
    if index + 1 < len(steps):
        follower = steps.pop(index + 1)
        steps[index] = restart_sequences.Step(
            steps[index].pause_s + left_s + follower.pause_s, follower.actions
        )
    else:
        steps[index] = restart_sequences.Step(steps[index].pause_s + left_s)
    return dataclasses.replace(sequence, steps=tuple(steps))

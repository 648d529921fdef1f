"""Random sequences of faults on a rig, with restarts under an executor's id.

A sequence is drawn as a whole before it is played, so that one that fails can
be printed.
"""

import dataclasses
import random
from unittest import mock

from basiljunction.state.workload import _executor
import cell_rig
import sequence_actions
import sequence_watch
import workload_builders as build

_SEED_FACTOR = 7919
"""Factor of the drawing's seed, so that the rig draws other numbers."""

_FIRST_RUN_S = 1.0
"""Virtual time before the first step, in seconds."""

_PAUSES_S = (0.05, 0.1, 0.2, 0.5, 1.0)
_CUT_LENGTHS_S = (0.3, 1.0, 3.0, 6.0, 11.0)
_RECOVERY_TIMES_S = (0.0, 0.3, 1.0)
_OVERLAPS_S = (0.0, 0.5, 2.0, 5.0)
_REFUSAL_LENGTHS_S = (0.3, 1.0, 3.0)
_STORE_PAUSES_S = (0.3, 1.0)
_SERIES_LENGTHS = (2, 4, 7)
_SERIES_GAPS_S = (0.4, 0.8, 1.2)
_MAX_JOBS = 40

_CALM_S = (
    cell_rig.LONGEST_DELAY_S
    + sequence_watch.GRACE_S
    + sequence_watch.LOST_S
    + sequence_watch.CALM_BEFORE_S
)
"""Length of a calm spell, in seconds: the last late order and then all bounds
fit into it."""

_PRINTED_STEPS = 14
"""Number of the last steps that describe a sequence that failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A pause and what happens after it.

    Attributes:
        pause_s: Length of the pause, in seconds.
        actions: What happens after it, in this order.
    """

    pause_s: float
    actions: tuple[sequence_actions.Action, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Faults of a rig during a sequence.

    Attributes:
        delayed_share: Share of the orders that are delayed and not answered.
        longest_delay_s: Longest time by which an order is late, in seconds.
        late_orders_outlive: Whether a late order may reach a later incarnation
            of its executor.
        lost_share: Share of the orders whose answer is lost.
        fail_share: Share of the runs that fail.
        holds_renewals: Whether executors hold back answers to renewals.
        late_confirmed_share: Share of the batches whose storing is confirmed
            late or never.
        refused_starts_extend_lease: Whether a start that is outdated or finds
            no room extends the lease.
        checks_incarnations: Whether orders reach only the incarnation that the
            scheduler knows.
        ends_per_answer: Most ends of runs in an answer to a renewal.
    """

    delayed_share: float = 0.1
    longest_delay_s: float = cell_rig.LONGEST_DELAY_S
    late_orders_outlive: bool = False
    lost_share: float = 0.0
    fail_share: float = 0.0
    holds_renewals: bool = False
    late_confirmed_share: float = 0.0
    refused_starts_extend_lease: bool = False
    checks_incarnations: bool = True
    ends_per_answer: int = cell_rig.ENDS_PER_ANSWER


@dataclasses.dataclass(frozen=True, slots=True)
class Sequence:
    """A sequence to play.

    Attributes:
        seed: Seed of the rig's random source.
        executor_count: Number of executors.
        run_time_s: Run time of a task, in seconds.
        faults: Faults of the rig.
        steps: The steps.
    """

    seed: int
    executor_count: int
    run_time_s: float
    faults: Faults
    steps: tuple[Step, ...]

    def describe(self, last: int = _PRINTED_STEPS) -> str:
        """Returns the sequence's values and its last steps with actions."""
        lines = []
        at_s = _FIRST_RUN_S
        for step in self.steps:
            at_s += step.pause_s
            for action in step.actions:
                lines.append(f"  at {at_s:.2f} s: {action}")
                at_s += action.duration_s
        head = (
            f"seed {self.seed}, {self.executor_count} executors,"
            f" tasks of {self.run_time_s} s, {self.faults}"
        )
        return "\n".join([head, *lines[-last:]])


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a played sequence broke.

    Attributes:
        sequence: The sequence up to the step that broke a rule, or all of it.
        fault: Message of the rule's check; empty if no rule was broken.
        at_s: Virtual time of the end, in seconds.
        start_count: Number of runs that were started.
    """

    sequence: Sequence
    fault: str
    at_s: float
    start_count: int

    @property
    def kind(self) -> str:
        """The fault without the names of tasks and executors."""
        first_line = self.fault.partition("\n")[0]
        return first_line.partition(": ")[2].partition(",")[0] or first_line

    def describe(self) -> str:
        """Returns the fault and the last steps before it."""
        return f"{self.fault}\nat {self.at_s:.2f} s, {self.sequence.describe()}"


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """What sequences are drawn from.

    Attributes:
        duration_s: Virtual time of a sequence, in seconds.
        has_restarts: Whether executors restart.
        has_varied_jobs: Whether there are gangs, copies, dependent steps, runs
            that fail and cancels.
        delayed_share: Share of the orders that are delayed and not answered.
        longest_delay_s: Longest time by which an order is late, in seconds.
        late_orders_outlive: Whether a late order may reach a later incarnation
            of its executor.
        has_refusals: Whether executors refuse starts for lack of capacity;
            these and outdated starts extend their lease.
        has_overlaps: Whether a scheduler goes on beside the one that has taken
            over, for up to 5 s.
        late_confirmed_share: Share of the batches whose storing is confirmed
            late or never.
        checks_incarnations: Whether orders reach only the incarnation that the
            scheduler knows.
        has_series: Whether schedulers end in series, each after 0.4 to 1.2 s.
        has_calm_spells: Whether all faults cease from time to time.
        ends_per_answer: Most ends of runs in an answer to a renewal.
    """

    duration_s: float = 40.0
    has_restarts: bool = True
    has_varied_jobs: bool = True
    delayed_share: float = 0.1
    longest_delay_s: float = cell_rig.LONGEST_DELAY_S
    late_orders_outlive: bool = False
    has_refusals: bool = False
    has_overlaps: bool = False
    late_confirmed_share: float = 0.0
    checks_incarnations: bool = True
    has_series: bool = False
    has_calm_spells: bool = False
    ends_per_answer: int = cell_rig.ENDS_PER_ANSWER


class _Drawing:
    """Draws a sequence and follows who is cut off and until when.

    Args:
        seed: Seed of the sequence.
        mix: What it is drawn from.
    """

    def __init__(self, seed: int, mix: Mix) -> None:
        self._seed = seed
        self._mix = mix
        self._rng = random.Random(seed * _SEED_FACTOR)
        self._now_s = 0.0
        self._names: list[str] = []
        self._returns: list[tuple[float, sequence_actions.Action]] = []
        self._cut_off: set[str] = set()
        self._refusing: set[str] = set()
        self._is_store_up = True
        self._job_count = 0
        self._noise = sequence_actions.SetNoise()
        self._calm_until_s = 0.0

    def draw(self) -> Sequence:
        """Returns the sequence."""
        rng = self._rng
        count = rng.choice([2, 3, 5])
        self._names = executor_ids(count)
        run_time_s = rng.choice([0.5, 2.0, 6.0])
        faults = Faults(
            delayed_share=self._mix.delayed_share,
            longest_delay_s=self._mix.longest_delay_s,
            late_orders_outlive=self._mix.late_orders_outlive,
            late_confirmed_share=self._mix.late_confirmed_share,
            lost_share=rng.choice([0.0, 0.05, 0.2]),
            holds_renewals=rng.random() < 0.5,
            refused_starts_extend_lease=self._mix.has_refusals,
            checks_incarnations=self._mix.checks_incarnations,
            ends_per_answer=self._mix.ends_per_answer,
        )
        if self._mix.has_varied_jobs:
            fail_share = rng.choice([0.0, 0.1])
            faults = dataclasses.replace(faults, fail_share=fail_share)
        self._noise = sequence_actions.SetNoise(
            faults.delayed_share,
            faults.lost_share,
            faults.late_confirmed_share,
        )
        self._pass_time(_FIRST_RUN_S)
        steps = []
        while self._now_s < self._mix.duration_s:
            steps.append(self._draw_step())
        return Sequence(self._seed, count, run_time_s, faults, tuple(steps))

    def _pass_time(self, seconds: float) -> None:
        """Advances the time as the rig does, with the same rounding."""
        for _ in range(round(seconds / cell_rig.STEP_S)):
            self._now_s += cell_rig.STEP_S

    def _draw_step(self) -> Step:
        """Draws a pause and what happens after it."""
        pause_s = self._rng.choice(_PAUSES_S)
        self._pass_time(pause_s)
        actions = self._take_due_returns()
        share = self._rng.random()
        name = self._rng.choice(self._names)
        for limit, draw_action in (
            (0.25, self._draw_submit),
            (0.33, self._draw_restart),
            (0.43, self._draw_cut),
            (0.48, self._draw_take_over),
            (0.50, self._draw_resign),
            (0.52, self._draw_store_pause),
            (0.60, self._draw_cancel),
            (0.66, self._draw_refusal),
        ):
            if share < limit and not self._is_allowed(draw_action):
                break
            drawn = draw_action(name) if share < limit else None
            if drawn is not None:
                actions.append(drawn)
                break
        if self._mix.has_series and 0.66 <= share < 0.69:
            self._plan_series()
        if self._mix.has_calm_spells and 0.69 <= share < 0.73:
            actions += self._begin_calm_spell()
        return Step(pause_s, tuple(actions))

    def _is_allowed(self, draw_action: object) -> bool:
        """Returns whether an action may happen now; no fault does in calm."""
        return self._now_s >= self._calm_until_s or draw_action in (
            self._draw_submit,
            self._draw_cancel,
        )

    def _plan_series(self) -> None:
        """Plans a series of schedulers that each end soon."""
        if self._now_s < self._calm_until_s:
            return
        at_s = self._now_s
        for _ in range(self._rng.choice(_SERIES_LENGTHS)):
            self._returns.append((at_s, sequence_actions.TakeOver()))
            at_s += self._rng.choice(_SERIES_GAPS_S)

    def _begin_calm_spell(self) -> list[sequence_actions.Action]:
        """Returns what ends all faults; the shares return with the spell."""
        if self._now_s < self._calm_until_s:
            return []
        self._calm_until_s = self._now_s + _CALM_S
        self._returns = [(self._now_s, action) for _, action in self._returns]
        ends = self._take_due_returns()
        self._returns.append((self._calm_until_s, self._noise))
        return [*ends, sequence_actions.SetNoise()]

    def _take_due_returns(self) -> list[sequence_actions.Action]:
        """Returns what is over by now of the cuts and pauses."""
        due = [action for at_s, action in self._returns if at_s <= self._now_s]
        self._returns = [e for e in self._returns if e[0] > self._now_s]
        for action in due:
            if isinstance(action, sequence_actions.Return):
                self._cut_off.discard(action.executor)
            elif isinstance(action, sequence_actions.SetRefusal):
                self._refusing.discard(action.executor)
            elif isinstance(action, sequence_actions.SetStore):
                self._is_store_up = True
        return due

    def _draw_submit(self, name: str) -> sequence_actions.Action | None:
        if self._job_count >= _MAX_JOBS:
            return None
        self._job_count += 1
        rng = self._rng
        submit = sequence_actions.Submit(
            self._job_count, rng.choice([1, 2, 4]), rng.random() < 0.2
        )
        if not self._mix.has_varied_jobs or submit.lasts:
            return submit
        return dataclasses.replace(
            submit,
            **rng.choice(
                [{}, {}, {"gang": True}, {"speculative": True}],
            ),
            dependent_count=rng.choice([0, 0, 1, 2]),
        )

    def _draw_restart(self, name: str) -> sequence_actions.Action | None:
        return (
            sequence_actions.Restart(name) if self._mix.has_restarts else None
        )

    def _draw_cut(self, name: str) -> sequence_actions.Action | None:
        if name in self._cut_off:
            return None
        self._cut_off.add(name)
        ends_s = self._now_s + self._rng.choice(_CUT_LENGTHS_S)
        self._returns.append((ends_s, sequence_actions.Return(name)))
        return sequence_actions.CutOff(name)

    def _draw_take_over(self, name: str) -> sequence_actions.Action:
        recovery_s = self._rng.choice(_RECOVERY_TIMES_S)
        self._pass_time(recovery_s)
        if not self._mix.has_overlaps:
            return sequence_actions.TakeOver(recovery_s)
        overlap_s = self._rng.choice(_OVERLAPS_S)
        return sequence_actions.TakeOver(recovery_s, overlap_s)

    def _draw_resign(self, name: str) -> sequence_actions.Action:
        return sequence_actions.Resign()

    def _draw_store_pause(self, name: str) -> sequence_actions.Action | None:
        if not self._is_store_up:
            return None
        self._is_store_up = False
        ends_s = self._now_s + self._rng.choice(_STORE_PAUSES_S)
        self._returns.append((ends_s, sequence_actions.SetStore(is_up=True)))
        return sequence_actions.SetStore(is_up=False)

    def _draw_cancel(self, name: str) -> sequence_actions.Action | None:
        if not self._mix.has_varied_jobs or not self._job_count:
            return None
        return sequence_actions.Cancel(self._rng.randint(1, self._job_count))

    def _draw_refusal(self, name: str) -> sequence_actions.Action | None:
        if not self._mix.has_refusals or name in self._refusing:
            return None
        self._refusing.add(name)
        ends_s = self._now_s + self._rng.choice(_REFUSAL_LENGTHS_S)
        end = sequence_actions.SetRefusal(name, refuses=False)
        self._returns.append((ends_s, end))
        return sequence_actions.SetRefusal(name, refuses=True)


def executor_ids(count: int) -> list[str]:
    """Returns the ids of a number of executors."""
    return [f"e{number}" for number in range(count)]


def draw_sequence(seed: int, mix: Mix | None = None) -> Sequence:
    """Draws a sequence by its seed."""
    return _Drawing(seed, mix or Mix()).draw()


def make_rig(sequence: Sequence) -> cell_rig.CellRig:
    """Returns the rig of a sequence, at its beginning."""
    faults = sequence.faults
    rig = cell_rig.CellRig(
        *(
            build.executor_entry(each)
            for each in executor_ids(sequence.executor_count)
        ),
        seed=sequence.seed,
        fail_share=faults.fail_share,
    )
    rig.gangs_run_together = True
    rig.run_time_s = sequence.run_time_s
    rig.delayed_share = faults.delayed_share
    rig.longest_delay_s = faults.longest_delay_s
    rig.late_orders_outlive = faults.late_orders_outlive
    rig.late_confirmed_share = faults.late_confirmed_share
    rig.lost_share = faults.lost_share
    rig.holds_renewals = faults.holds_renewals
    rig.checks_incarnations = faults.checks_incarnations
    rig.refused_starts_extend_lease = faults.refused_starts_extend_lease
    rig.ends_per_answer = faults.ends_per_answer
    return rig


def play(sequence: Sequence) -> Outcome:
    """Plays a sequence until its end or until it breaks a rule."""
    with mock.patch.object(
        _executor, "MAX_ENDS_PER_ANSWER", sequence.faults.ends_per_answer
    ):
        return _play(sequence)


def _play(sequence: Sequence) -> Outcome:
    """Plays a sequence whose answers have room for as many ends as it says."""
    rig = make_rig(sequence)
    rig.run(_FIRST_RUN_S)
    watch = sequence_watch.CalmWatch(rig)
    played: list[Step] = []
    fault = ""
    try:
        for step in sequence.steps:
            played.append(Step(step.pause_s))
            for _ in range(round(step.pause_s / cell_rig.STEP_S)):
                rig.step()
                watch.check()
            played[-1] = step
            for action in step.actions:
                action.apply(rig)
                if isinstance(action, sequence_actions.Cancel):
                    watch.note_cancel(action.job_id)
    except AssertionError as error:
        fault = str(error)
    return Outcome(
        dataclasses.replace(sequence, steps=tuple(played)),
        fault,
        rig.now_s,
        len(rig.starts),
    )

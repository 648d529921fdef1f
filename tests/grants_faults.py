"""Random faults of instances that grant leases, drawn by a seed."""

from collections.abc import Callable
import dataclasses
import random

import grants_model
import grants_network

_PAUSES_S = (0.1, 0.5, 1.5, 4.0)
"""Times between two faults, in seconds."""

_LENGTHS_S = (0.4, 1.0, 2.0, 3.5, 6.0, 12.0)
"""Lengths of cuts, outages and pauses, in seconds; an instance that does not
answer for the longest one is removed."""

_LONGEST_OUTAGE_S = 6.0
"""Longest time for which all instances lack the store, in seconds; longer than
leases are granted without it."""

_RESTART_TIMES_S = (0.1, 0.3, 1.0, 3.0)
"""Times without a process until the next one starts, in seconds."""

_STARTED_SHARES = (0.0, 0.6, 1.0)
"""Shares of the other instances that are there from the start."""

_LONGEST_START_DELAY_S = 0.5
"""Longest time between the starts of these, in seconds."""

_DISTURBED_SHARE = 0.4
"""Share of the terms whose scheduler soon has another fault."""

_LONGEST_UNDISTURBED_S = 1.0
"""Longest time until that, in seconds."""

_SETTLED_S = 4.0
"""Time until the instances have registered and one schedules, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a sequence of faults led to.

    Attributes:
        seed: Its seed.
        fault: Which lease was granted too late; empty if none was.
        events: The faults up to the end, each with its time.
        term_count: Number of terms that were begun.
        longest_unconfirmed_s: Longest time after the last confirmation of a
            term at which a lease was granted, in seconds.
    """

    seed: int
    fault: str
    events: tuple[str, ...]
    term_count: int
    longest_unconfirmed_s: float

    def describe(self) -> str:
        """Returns the fault and what happened before it."""
        return "\n  ".join((f"seed {self.seed}: {self.fault}", *self.events))


class _Faults:
    """Draws faults and lets them happen.

    Args:
        seed: Seed of the sequence.
        keeps_condition: Whether the store applies the conditions of writes.
        holds_terms: Whether instances that leave may hold a term for a time.
    """

    def __init__(
        self, seed: int, *, keeps_condition: bool, holds_terms: bool
    ) -> None:
        rng = random.Random(seed)
        self._holds_terms = holds_terms
        self._rng = rng
        self.model = grants_model.GrantsModel(rng, rng.choice([2, 3, 3, 4, 5]))
        self.events: list[str] = []
        network = self.model.network
        network.keeps_condition = keeps_condition
        network.late_share = rng.choice([0.0, 0.0, 0.05, 0.2])
        network.refuses = rng.random() < 0.5
        self._network = network
        self.model.on_term = self._disturb_term

    def run(self, duration_s: float) -> None:
        """Runs a sequence of faults."""
        started_share = self._rng.choice(_STARTED_SHARES)
        first, *others = self.model.instances
        self._network.schedule(0.0, first.start)
        for each in others:
            # The others register when they are drawn to restart.
            if self._rng.random() < started_share:
                delay_s = self._rng.uniform(0.0, _LONGEST_START_DELAY_S)
                self._network.schedule(delay_s, each.start)
        at_s = _SETTLED_S
        while at_s < duration_s:
            self._network.run_until(at_s)
            self._draw_fault()
            at_s += self._rng.choice(_PAUSES_S)

    def _disturb_term(self, name: str) -> None:
        """Lets a fault soon happen to an instance that begins to schedule."""
        if self._rng.random() >= _DISTURBED_SHARE:
            return
        [instance] = [e for e in self.model.instances if e.name == name]
        draw = self._rng.choice(
            [self._cut_from_store, self._restart, self._resign]
        )
        length_s = self._rng.choice(_LENGTHS_S)
        self._network.schedule(
            self._rng.uniform(0.1, _LONGEST_UNDISTURBED_S),
            lambda: self._note(draw(instance, length_s)),
        )

    def _note(self, what: str) -> None:
        """Adds a fault to the events."""
        self.events.append(f"at {self._network.now_s:.3f} s: {what}")

    def _draw_fault(self) -> None:
        """Lets a drawn fault happen to a drawn instance.

        Half of them happen to schedulers, which are rare among the instances.
        """
        instances = self.model.instances
        scheduling = [each for each in instances if each.is_scheduling]
        if scheduling and self._rng.random() < 0.5:
            instances = scheduling
        instance = self._rng.choice(instances)
        length_s = self._rng.choice(_LENGTHS_S)
        draw: Callable[[grants_model.Instance, float], str] = self._rng.choice(
            [
                self._cut_from_store,
                self._cut_all_from_store,
                self._cut_all_from_store,
                self._cut_beside_first_start,
                self._stop_store,
                self._cut_from_peer,
                self._restart,
                self._restart,
                self._resign,
                self._pause,
            ]
        )
        self._note(draw(instance, length_s))

    def _cut_from_store(
        self, instance: grants_model.Instance, length_s: float
    ) -> str:
        """Cuts one direction or both between an instance and the store."""
        ends = (instance.name, grants_network.STORE)
        pairs = self._rng.choice(
            [{ends}, {ends[::-1]}, {ends, ends[::-1]}, {ends, ends[::-1]}]
        )
        return self._cut(pairs, length_s)

    def _cut_all_from_store(
        self, instance: grants_model.Instance, length_s: float
    ) -> str:
        """Cuts all instances from the store, each for a time of its own.

        Schedulers are often cut off for longest, so that another takes over.
        """
        cuts = []
        for each in self.model.instances:
            length_s = self._rng.uniform(0.5, _LONGEST_OUTAGE_S)
            if each.is_scheduling:
                length_s += _LONGEST_OUTAGE_S / 2
            ends = (each.name, grants_network.STORE)
            cuts.append(self._cut({ends, ends[::-1]}, round(length_s, 3)))
        return "; ".join(cuts)

    def _cut_beside_first_start(
        self, instance: grants_model.Instance, length_s: float
    ) -> str:
        """Cuts an instance from the store and starts all that are down."""
        ends = (instance.name, grants_network.STORE)
        what = self._cut({ends, ends[::-1]}, _LONGEST_OUTAGE_S)
        for each in self.model.instances:
            if not each.is_up:
                delay_s = self._rng.uniform(0.0, _LONGEST_START_DELAY_S)
                self._network.schedule(delay_s, each.start)
                what = f"{what}; start {each.name}"
        return what

    def _cut_from_peer(
        self, instance: grants_model.Instance, length_s: float
    ) -> str:
        """Cuts the way from an instance to one other, or to it from all."""
        others = [e.name for e in self.model.instances if e is not instance]
        if self._rng.random() < 0.5:
            pairs = {(instance.name, self._rng.choice(others))}
        else:
            pairs = {(each, instance.name) for each in others}
        return self._cut(pairs, length_s)

    def _cut(self, pairs: set[tuple[str, str]], length_s: float) -> str:
        """Cuts ways that are not cut yet for some time."""
        pairs -= self._network.cuts
        self._network.cuts |= pairs

        def mend() -> None:
            self._network.cuts -= pairs

        self._network.schedule(length_s, mend)
        return f"cut {sorted(pairs)} for {length_s} s"

    def _stop_store(
        self, instance: grants_model.Instance, length_s: float
    ) -> str:
        """Stops the store for some time, unless it is stopped."""
        if not self._network.is_store_up:
            return "nothing"
        self._network.is_store_up = False

        def start() -> None:
            self._network.is_store_up = True

        self._network.schedule(length_s, start)
        return f"store down for {length_s} s"

    def _restart(self, instance: grants_model.Instance, length_s: float) -> str:
        """Kills an instance and starts it again."""
        instance.kill()
        restart_s = self._rng.choice(_RESTART_TIMES_S)
        self._network.schedule(restart_s, instance.start)
        return f"kill {instance.name}, start after {restart_s} s"

    def _resign(self, instance: grants_model.Instance, length_s: float) -> str:
        """Lets an instance leave, hold a term or not, end and start again."""
        if not instance.is_up:
            return "nothing"
        hold_s = length_s if self._holds_terms else 0.0
        instance.leave(hold_s)
        end_s = hold_s + self._rng.uniform(0.1, 1.0)
        restart_s = self._rng.choice(_RESTART_TIMES_S)
        self._network.schedule(end_s, instance.kill)
        self._network.schedule(end_s + restart_s, instance.start)
        return (
            f"{instance.name} leaves within {hold_s:.3f} s,"
            f" ends after {end_s:.3f} s,"
            f" starts {restart_s} s later"
        )

    def _pause(self, instance: grants_model.Instance, length_s: float) -> str:
        """Lets an instance stand still."""
        instance.pause(length_s)
        return f"pause {instance.name} for {length_s} s"


def play(
    seed: int,
    *,
    duration_s: float = grants_model.DURATION_S,
    keeps_condition: bool = True,
    holds_terms: bool = False,
) -> Outcome:
    """Plays the faults of a seed until the end or a lease granted too late.

    Args:
        seed: Seed of the faults.
        duration_s: Virtual time, in seconds.
        keeps_condition: Whether the store checks the conditions of writes.
        holds_terms: Whether instances that leave may hold a term for a time.
    """
    faults = _Faults(
        seed, keeps_condition=keeps_condition, holds_terms=holds_terms
    )
    fault = ""
    try:
        faults.run(duration_s)
    except grants_model.GrantError as error:
        fault = str(error)
    return Outcome(
        seed,
        fault,
        tuple(faults.events),
        len(faults.model.assumptions),
        faults.model.longest_unconfirmed_s,
    )

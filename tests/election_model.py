"""Bounded model checker for leader election between two instances.

The store holds the newest term and the length of its topic. A write is stored
and acknowledged, stored without an acknowledgement, or delayed until its
condition may no longer hold. Instances read, write and restart in any order.
"""

from collections.abc import Callable
from collections.abc import Iterator
import copy
import dataclasses
import random

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership

STEP_S = 0.7
"""Seconds per step; three steps exceed the silence that allows a new term."""

MAX_STEPS = 3
"""Most time steps in one sequence of events."""

MAX_RESTARTS = 1
"""Most instance restarts in one sequence of events."""

MAX_DELAYED_WRITES = 1
"""Most writes that are delayed at the same time."""

MAX_GIVEN_UP_TERMS = 1
"""Most terms that are given up in one sequence of events."""

Condition = Callable[[_election.TermWrite, int], bool]
"""Decides from a write and the end offset whether the store accepts it."""


def is_read_current(claim: _election.TermWrite, end_offset: int) -> bool:
    """Returns whether nothing was written since the claim's read.

    This is the condition that the real store applies.
    """
    return claim.expected_end_offset == end_offset


class _NoJitter(random.Random):
    """Always draws the lowest value, so that candidacies collide.

    Without jitter both instances try at the same time, the worst case.
    """

    def uniform(self, a: float, b: float) -> float:
        return a


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedWrite:
    """A write of a term that has not reached the store yet."""

    claim: _election.TermWrite


@dataclasses.dataclass(slots=True)
class ModelState:
    """One state of the search: the store, both instances, pending writes.

    Attributes:
        steps: Time that has passed, in steps of `STEP_S`.
        end_offset: Number of writes that the topic holds.
        term: Newest term; None before the first.
        holders_by_epoch: Instance and incarnation in each epoch's writes.
        elections: Election logic of each instance.
        delayed_writes: Writes that have not reached the store yet.
        restarts: Instance restarts so far.
        given_up_terms: Terms given up so far.
        events: Events that led to this state, for the failure message.
    """

    steps: int = 0
    end_offset: int = 0
    term: _leadership.Term | None = None
    holders_by_epoch: dict[int, frozenset[tuple[str, int]]] = dataclasses.field(
        default_factory=dict
    )
    elections: list[_election.Election] = dataclasses.field(
        default_factory=list
    )
    delayed_writes: tuple[DelayedWrite, ...] = ()
    restarts: int = 0
    given_up_terms: int = 0
    events: tuple[str, ...] = ()

    @property
    def now_s(self) -> float:
        """Time that has passed, in seconds."""
        return self.steps * STEP_S

    def deduplication_key(self) -> tuple[object, ...]:
        """Returns the values by which two states are compared.

        The events and the random source are left out.
        """
        return (
            self.steps,
            self.end_offset,
            self.term,
            self.delayed_writes,
            self.restarts,
            self.given_up_terms,
            tuple(
                tuple(
                    value
                    for name, value in sorted(vars(each).items())
                    if name != "_rng"
                )
                for each in self.elections
            ),
        )

    def copy_with_event(self, event: str) -> "ModelState":
        """Returns an independent copy with the event added to its events."""
        other = copy.copy(self)
        other.holders_by_epoch = dict(self.holders_by_epoch)
        other.elections = [copy.copy(each) for each in self.elections]
        other.events = (*self.events, event)
        return other

    def apply_write(
        self, claim: _election.TermWrite, condition: Condition
    ) -> bool:
        """Stores a claim if the condition holds; returns whether it did."""
        if not condition(claim, self.end_offset):
            return False
        self.end_offset += 1
        self.term = claim.term
        holder = (claim.term.instance, claim.term.incarnation)
        known = self.holders_by_epoch.get(claim.term.epoch, frozenset())
        self.holders_by_epoch[claim.term.epoch] = known | {holder}
        return True


def accepts_every_write(claim: _election.TermWrite, end_offset: int) -> bool:
    """Accepts every write, as a store without conditional writes does."""
    return claim.expected_end_offset <= end_offset


def make_initial_state() -> ModelState:
    """Returns the state of two instances and an empty store."""
    return ModelState(
        elections=[_make_election("a", 1), _make_election("b", 1)]
    )


def _make_election(instance: str, incarnation: int) -> _election.Election:
    """Returns the election logic of a newly started instance."""
    return _election.Election(
        instance=instance,
        incarnation=incarnation,
        address=f"{instance}:1",
        rng=_NoJitter(),
    )


def successors(state: ModelState, condition: Condition) -> Iterator[ModelState]:
    """Yields every state that one event can lead to."""
    if state.steps < MAX_STEPS:
        later = state.copy_with_event("time")
        later.steps += 1
        yield later
    for number, delayed_write in enumerate(state.delayed_writes):
        arrived = state.copy_with_event("delayed write arrives")
        arrived.delayed_writes = (
            state.delayed_writes[:number] + state.delayed_writes[number + 1 :]
        )
        arrived.apply_write(delayed_write.claim, condition)
        yield arrived
    for index, election in enumerate(state.elections):
        name = "ab"[index]
        read = state.copy_with_event(f"{name} reads")
        read.elections[index].apply_read(
            state.term, state.end_offset, state.now_s
        )
        yield read
        if state.restarts < MAX_RESTARTS:
            restarted = state.copy_with_event(f"{name} restarts")
            restarted.elections[index] = _make_election(name, 2)
            restarted.restarts += 1
            yield restarted
        yield from _give_up_successors(state, index)
        if copy.copy(election).next_term_write(state.now_s) is not None:
            yield from _write_successors(state, index, condition)


def _give_up_successors(state: ModelState, index: int) -> Iterator[ModelState]:
    """Yields the state after the first instance has given up its term.

    The instances are alike, so the second one need not do it as well.
    """
    if (
        index == 0
        and state.given_up_terms < MAX_GIVEN_UP_TERMS
        and state.elections[index].is_leader
    ):
        given_up = state.copy_with_event("a gives up")
        given_up.given_up_terms += 1
        given_up.elections[index].give_up()
        yield given_up


def _write_successors(
    state: ModelState, index: int, condition: Condition
) -> Iterator[ModelState]:
    """Yields the states after a write: stored, unacknowledged, delayed."""
    name = "ab"[index]
    answered = state.copy_with_event(f"{name} writes")
    election = answered.elections[index]
    claim = election.next_term_write(state.now_s)
    assert claim is not None
    if answered.apply_write(claim, condition):
        election.record_write_success(answered.end_offset, state.now_s)
    else:
        election.record_write_conflict(state.now_s)
    yield answered
    unacknowledged = state.copy_with_event(f"{name} writes, answer lost")
    unacknowledged.elections[index].next_term_write(state.now_s)
    unacknowledged.apply_write(claim, condition)
    unacknowledged.elections[index].record_write_failure(state.now_s)
    yield unacknowledged
    if len(state.delayed_writes) < MAX_DELAYED_WRITES:
        delayed = state.copy_with_event(f"{name} writes with a delay")
        delayed.elections[index].next_term_write(state.now_s)
        delayed.elections[index].record_write_failure(state.now_s)
        delayed.delayed_writes = (*state.delayed_writes, DelayedWrite(claim))
        yield delayed


def find_violation(state: ModelState) -> str:
    """Returns which safety rule a state violates; empty if none."""
    shared = [
        epoch for epoch, each in state.holders_by_epoch.items() if len(each) > 1
    ]
    if shared:
        return f"epochs {shared} were written for two"
    leaders = [each for each in state.elections if each.is_leader]
    epochs = [each.term.epoch for each in leaders if each.term is not None]
    if len(set(epochs)) < len(epochs):
        return f"two lead in epoch {epochs[0]}"
    for each in leaders:
        term = each.term
        if term is None or term.epoch not in state.holders_by_epoch:
            return "one leads in an epoch that was never stored"
    return ""


def search_states(depth: int, condition: Condition) -> tuple[int, str]:
    """Searches all states that a number of events can lead to.

    Args:
        depth: Number of events.
        condition: Decides whether the store accepts a write.

    Returns:
        Number of states, and the first violation with the events that led to
        it; empty if there is none.
    """
    level = [make_initial_state()]
    seen = {level[0].deduplication_key()}
    for _ in range(depth):
        following: list[ModelState] = []
        for state in level:
            for found in successors(state, condition):
                key = found.deduplication_key()
                if key in seen:
                    continue
                seen.add(key)
                violation = find_violation(found)
                if violation:
                    return len(seen), f"{violation}: {', '.join(found.events)}"
                following.append(found)
        level = following
    return len(seen), ""

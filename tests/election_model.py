"""Bounded model checker for leader election between two instances.

The store holds the newest term and the length of its topic. A write is stored
and acknowledged, stored without an acknowledgement, or delayed until its
condition may no longer hold. Instances read, write and restart in any order.

The provision of the instances may differ. Then each registers its own at any
time or never, and the other one reads it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import copy
import dataclasses
import operator
import random
from typing import TypeVar

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision

STEP_S = 0.7
"""Seconds per step; three steps exceed the silence that allows a new term."""

MAX_STEPS = 3
"""Most time steps in one sequence of events."""

MAX_RANKED_STEPS = 5
"""Most time steps if the provision of the instances differs; the weaker one
claims its first term after one or two, and an expired one after four more."""

MAX_TAKEOVER_S = (
    _election.TERM_EXPIRY_S
    + _election.MAX_PROVISION_DELAY_S
    + _election.SETTLING_TIME_S
    + _election.MAX_CLAIM_JITTER_S
    + 2 * STEP_S
)
"""Longest time until an instance that reaches the store alone holds the term,
in seconds; reads and writes happen at steps only."""

MAX_RESTARTS = 1
"""Most instance restarts in one sequence of events."""

MAX_DELAYED_WRITES = 1
"""Most writes that are delayed at the same time."""

MAX_GIVEN_UP_TERMS = 1
"""Most terms that are given up in one sequence of events."""

Condition = Callable[[_leadership.TermWrite, int], bool]
"""Decides from a write and the end offset whether the store accepts it."""


def is_read_current(claim: _leadership.TermWrite, end_offset: int) -> bool:
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

    claim: _leadership.TermWrite


_compare_term = operator.attrgetter(
    *(
        each.name
        for each in dataclasses.fields(_leadership.Term)
        if each.name != "held_s"
    )
)


def _drop_held_time(value: object) -> object:
    """Returns a value, without the time held if it is a term or its write."""
    if isinstance(value, _leadership.Term):
        return _compare_term(value)
    if isinstance(value, _leadership.TermWrite):
        return value.expected_end_offset, _compare_term(value.term)
    if isinstance(value, tuple):
        return tuple(_drop_held_time(each) for each in value)
    return value


@dataclasses.dataclass(slots=True)
class ModelState:
    """One state of the search: the store, both instances, pending writes.

    Attributes:
        steps: Time that has passed, in steps of `STEP_S`.
        end_offset: Number of writes that the topic holds.
        term: Newest term; None before the first.
        holders_by_epoch: Instance and incarnation in each epoch's writes.
        elections: Election logic of each instance.
        provisions: Provision of each instance.
        registered: Indexes of the instances whose provision is stored.
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
    provisions: tuple[_provision.Provision, ...] = ()
    registered: frozenset[int] = frozenset()
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

        The events and the random source are left out, and so is for how long
        a term was held: an election does not look at it, and it is the same in
        all writes of one renewal.
        """
        return (
            self.steps,
            self.end_offset,
            _drop_held_time(self.term),
            self.registered,
            tuple(_drop_held_time(each.claim) for each in self.delayed_writes),
            self.restarts,
            self.given_up_terms,
            tuple(
                tuple(
                    _drop_held_time(value)
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

    def apply_read(self, index: int) -> None:
        """Lets an instance read the registrations and the newest term."""
        election = self.elections[index]
        election.update_provisions(
            {"ab"[each]: self.provisions[each] for each in self.registered}
        )
        election.apply_read(self.term, self.end_offset, self.now_s)

    def apply_write(
        self, claim: _leadership.TermWrite, condition: Condition
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


State = TypeVar("State", bound=ModelState)


def accepts_every_write(claim: _leadership.TermWrite, end_offset: int) -> bool:
    """Accepts every write, as a store without conditional writes does."""
    return claim.expected_end_offset <= end_offset


def make_initial_state(*provisions: _provision.Provision) -> ModelState:
    """Returns the state of two instances and an empty store.

    Args:
        provisions: Provision of each instance; unknown by default.
    """
    provisions = provisions or (_provision.UNKNOWN, _provision.UNKNOWN)
    return ModelState(
        elections=[
            _make_election("a", 1, provisions[0]),
            _make_election("b", 1, provisions[1]),
        ],
        provisions=provisions,
    )


def _make_election(
    instance: str, incarnation: int, provision: _provision.Provision
) -> _election.Election:
    """Returns the election logic of a newly started instance."""
    return _election.Election(
        instance=instance,
        incarnation=incarnation,
        address=f"{instance}:1",
        rng=_NoJitter(),
        provision=provision,
    )


def successors(state: ModelState, condition: Condition) -> Iterator[ModelState]:
    """Yields every state that one event can lead to."""
    is_ranked = any(each.is_known for each in state.provisions)
    if state.steps < (MAX_RANKED_STEPS if is_ranked else MAX_STEPS):
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
        read.apply_read(index)
        yield read
        if state.provisions[index].is_known and index not in state.registered:
            registered = state.copy_with_event(f"{name} registers")
            registered.registered |= {index}
            registered.end_offset += 1
            yield registered
        if state.restarts < MAX_RESTARTS:
            restarted = state.copy_with_event(f"{name} restarts")
            restarted.elections[index] = _make_election(
                name, 2, state.provisions[index]
            )
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


def find_idle_survivor(state: ModelState) -> str:
    """Returns which instance, left alone, does not take over; empty if none.

    The other one is gone, and the store answers each read and write of the
    survivor from now on. The survivor registers nothing more. Delayed writes
    that have not arrived are lost.
    """
    for index, name in enumerate("ab"):
        left = state.copy_with_event(f"only {name} is left")
        election = left.elections[index]
        end_s = left.now_s + MAX_TAKEOVER_S
        left.apply_read(index)
        while not election.is_leader:
            if left.now_s > end_s:
                return f"{name} does not take over"
            election.apply_read(None, left.end_offset, left.now_s)
            claim = election.next_term_write(left.now_s)
            if claim is None:
                left.steps += 1
            elif left.apply_write(claim, is_read_current):
                election.record_write_success(left.end_offset, left.now_s)
            else:
                election.record_write_conflict(left.now_s)
    return ""


def search_states(
    depth: int,
    condition: Condition,
    *provisions: _provision.Provision,
    find_fault: Callable[[ModelState], str] = find_violation,
) -> tuple[int, str]:
    """Searches all states that a number of events can lead to.

    Args:
        depth: Number of events.
        condition: Decides whether the store accepts a write.
        provisions: Provision of each instance; unknown by default.
        find_fault: Returns what is wrong with a state; empty if nothing.

    Returns:
        Number of states, and the first violation with the events that led to
        it; empty if there is none.
    """
    return search_from(
        make_initial_state(*provisions),
        depth,
        lambda state: successors(state, condition),
        find_fault,
    )


def search_from(
    initial: State,
    depth: int,
    find_successors: Callable[[State], Iterable[State]],
    find_fault: Callable[[State], str],
) -> tuple[int, str]:
    """Searches as `search_states` does, from a given state on."""
    level = [initial]
    seen = {initial.deduplication_key()}
    for _ in range(depth):
        following: list[State] = []
        for state in level:
            for found in find_successors(state):
                key = found.deduplication_key()
                if key in seen:
                    continue
                seen.add(key)
                violation = find_fault(found)
                if violation:
                    return len(seen), f"{violation}: {', '.join(found.events)}"
                following.append(found)
        level = following
    return len(seen), ""

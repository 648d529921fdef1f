"""Every course that two elections and the store can take, within bounds.

The store holds one term and the length of its topic. A write is stored and
answered, stored without an answer, or arrives later, where its condition may
hold no more. Instances read, write, and begin a new life in any order.
"""

from collections.abc import Callable
from collections.abc import Iterator
import copy
import dataclasses
import random

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership

STEP_S = 0.7
"""Time of one step; three of them exceed the silence that opens a term."""

MAX_STEPS = 3
MAX_LIVES = 1
MAX_LATE = 1

Condition = Callable[[_election.TermWrite, int], bool]


def holds(claim: _election.TermWrite, end_offset: int) -> bool:
    """The store's condition: nothing was written since the claim's read."""
    return claim.expected_end_offset == end_offset


class _NoSpread(random.Random):
    """Leaves the spread of candidates out, which is the worst case."""

    def uniform(self, a: float, b: float) -> float:
        return a


@dataclasses.dataclass(frozen=True, slots=True)
class Late:
    """A write that has not arrived yet."""

    claim: _election.TermWrite


@dataclasses.dataclass(slots=True)
class World:
    """One state.

    Attributes:
        steps: Time that has passed, in steps.
        end_offset: Length of the topic.
        term: Newest term; None before the first.
        holders: Instance and life that each epoch was written for.
        elections: The instances.
        late: Writes that have not arrived yet.
        lives: New lives so far.
        path: What happened, for people.
    """

    steps: int = 0
    end_offset: int = 0
    term: _leadership.Term | None = None
    holders: dict[int, frozenset[tuple[str, int]]] = dataclasses.field(
        default_factory=dict
    )
    elections: list[_election.Election] = dataclasses.field(
        default_factory=list
    )
    late: tuple[Late, ...] = ()
    lives: int = 0
    path: tuple[str, ...] = ()

    @property
    def now_s(self) -> float:
        """The time."""
        return self.steps * STEP_S

    def key(self) -> tuple[object, ...]:
        """What tells states apart."""
        return (
            self.steps,
            self.end_offset,
            self.term,
            self.late,
            self.lives,
            tuple(
                tuple(
                    value
                    for name, value in sorted(vars(each).items())
                    if name != "_rng"
                )
                for each in self.elections
            ),
        )

    def branch(self, event: str) -> "World":
        """Returns a copy that takes another course."""
        other = copy.copy(self)
        other.holders = dict(self.holders)
        other.elections = [copy.copy(each) for each in self.elections]
        other.path = (*self.path, event)
        return other

    def store(self, claim: _election.TermWrite, condition: Condition) -> bool:
        """Stores a claim if the condition holds."""
        if not condition(claim, self.end_offset):
            return False
        self.end_offset += 1
        self.term = claim.term
        holder = (claim.term.instance, claim.term.incarnation)
        known = self.holders.get(claim.term.epoch, frozenset())
        self.holders[claim.term.epoch] = known | {holder}
        return True


def always(claim: _election.TermWrite, end_offset: int) -> bool:
    """A store without conditions."""
    return claim.expected_end_offset <= end_offset


def begin() -> World:
    """Returns two instances beside an empty store."""
    return World(elections=[_new("a", 1), _new("b", 1)])


def _new(instance: str, incarnation: int) -> _election.Election:
    return _election.Election(
        instance=instance,
        incarnation=incarnation,
        address=f"{instance}:1",
        rng=_NoSpread(),
    )


def successors(world: World, condition: Condition) -> Iterator[World]:
    """Returns every state that may come next."""
    if world.steps < MAX_STEPS:
        later = world.branch("time")
        later.steps += 1
        yield later
    for number, late in enumerate(world.late):
        arrived = world.branch("late write arrives")
        arrived.late = world.late[:number] + world.late[number + 1 :]
        arrived.store(late.claim, condition)
        yield arrived
    for index, election in enumerate(world.elections):
        name = "ab"[index]
        read = world.branch(f"{name} reads")
        read.elections[index].apply_read(
            world.term, world.end_offset, world.now_s
        )
        yield read
        if world.lives < MAX_LIVES:
            reborn = world.branch(f"{name} begins a new life")
            reborn.elections[index] = _new(name, 2)
            reborn.lives += 1
            yield reborn
        if copy.copy(election).next_term_write(world.now_s) is not None:
            yield from _writes(world, index, condition)


def _writes(world: World, index: int, condition: Condition) -> Iterator[World]:
    name = "ab"[index]
    answered = world.branch(f"{name} writes")
    election = answered.elections[index]
    claim = election.next_term_write(world.now_s)
    assert claim is not None
    if answered.store(claim, condition):
        election.record_write_success(answered.end_offset, world.now_s)
    else:
        election.record_write_conflict(world.now_s)
    yield answered
    silent = world.branch(f"{name} writes, answer lost")
    silent.elections[index].next_term_write(world.now_s)
    silent.store(claim, condition)
    silent.elections[index].record_write_failure(world.now_s)
    yield silent
    if len(world.late) < MAX_LATE:
        delayed = world.branch(f"{name} writes late")
        delayed.elections[index].next_term_write(world.now_s)
        delayed.elections[index].record_write_failure(world.now_s)
        delayed.late = (*world.late, Late(claim))
        yield delayed


def fault(world: World) -> str:
    """Returns what is wrong in a state; empty if nothing is."""
    shared = [epoch for epoch, each in world.holders.items() if len(each) > 1]
    if shared:
        return f"epochs {shared} were written for two"
    leaders = [each for each in world.elections if each.is_leader]
    epochs = [each.term.epoch for each in leaders if each.term is not None]
    if len(set(epochs)) < len(epochs):
        return f"two lead in epoch {epochs[0]}"
    for each in leaders:
        term = each.term
        if term is None or term.epoch not in world.holders:
            return "one leads in an epoch that was never stored"
    return ""


def explore(depth: int, condition: Condition) -> tuple[int, str]:
    """Searches all courses of some events.

    Args:
        depth: Number of events.
        condition: When the store takes a write.

    Returns:
        Number of states, and the first fault with its course; empty if none.
    """
    level = [begin()]
    seen = {level[0].key()}
    for _ in range(depth):
        following: list[World] = []
        for world in level:
            for found in successors(world, condition):
                key = found.key()
                if key in seen:
                    continue
                seen.add(key)
                wrong = fault(found)
                if wrong:
                    return len(seen), f"{wrong}: {', '.join(found.path)}"
                following.append(found)
        level = following
    return len(seen), ""

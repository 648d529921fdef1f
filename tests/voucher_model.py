"""An exhaustive search of the rules of vouching, suspecting and taking over.

One owner and its peers. Messages and appends are lost and delayed at will,
the owner and the peers see the log late, and time passes in ticks. Ages are
kept relative to now and capped, so the search covers every state that can be
reached at any depth. A state is wrong if the owner may act although a new
owner may act as well.
"""

from collections.abc import Iterator
import dataclasses
import functools
from typing import NamedTuple

from basiljunction.coordination import _vouchers
from basiljunction.state import _fold_ownership
from basiljunction.state import _system

V = 2
"""Ticks that a voucher lasts; an age of V is an expired one."""

OWNER = "owner/1"


@dataclasses.dataclass(frozen=True)
class Rules:
    """The rules as they are; a test changes one to see it caught."""

    guard_ticks: int = V
    suspects_fewer: int = 0
    suspect_goes_on_vouching: bool = False
    voucher_age_from_answer: bool = False
    read_age_from_answer: bool = False
    vouches_before_withdrawal_read: bool = False
    vouches_while_fate_unknown: bool = False
    restarted_vouches_without_join: bool = False
    only_old_electors_while_unsettled: bool = False
    only_new_electors_while_unsettled: bool = False
    counts_suspicions_of_all: bool = False


@dataclasses.dataclass(frozen=True)
class Setup:
    """What can happen in one search."""

    peers: int
    restarts: bool = False
    reads: bool = False
    grows: bool = False
    shrinks: bool = False
    withdraws: bool = True
    slow_heartbeats: bool = True


VOUCHING, UNSETTLED, SUSPECTED, WITHDRAWING = range(4)
"""Where a peer stands: what it last appended, and whether that landed."""


class Peer(NamedTuple):
    """One peer, and the one message between it and the owner.

    Attributes:
        phase: Its suspicion of the owner.
        silent: Whether it vouches no more.
        heartbeat: Age of a heartbeat on its way, or -1.
        voucher: Age of a voucher's heartbeat on its way, or -1.
        asked: Age of the newest vouched heartbeat at the owner, up to V.
        suspected: Whether the log holds its suspicion.
        old: A process before it ended with an append on its way.
    """

    phase: int = VOUCHING
    silent: bool = False
    heartbeat: int = -1
    voucher: int = -1
    asked: int = V
    suspected: bool = False
    restarted: bool = False
    old: bool = False


class State(NamedTuple):
    """One state of the search.

    Attributes:
        peers: The peers; with growth, the last one is the newcomer.
        deposed: Age of the take-over in the log up to the guard, or -1.
        head: Age of the owner's newest read of the head, up to V.
        reading: Age of a read on its way that showed no take-over, or -1.
        stopped: The owner read that it was deposed.
        electors: Change of the electors: 0 not asked for, 1 on its way, 2 in
            the log, 3 read back by the owner.
    """

    peers: tuple[Peer, ...]
    deposed: int = -1
    head: int = V
    reading: int = -1
    stopped: bool = False
    electors: int = 0


@functools.cache
def _lease(asked: tuple[int, ...]) -> float:
    """Ticks for which vouchers of these ages let the owner act on."""
    seats = [f"peer-{index}/1" for index in range(len(asked))]
    return _vouchers.voucher_lease_until_boot_s(
        {
            seat: -float(age)
            for seat, age in zip(seats, asked, strict=True)
            if age < V
        },
        own_seat=OWNER,
        electors=(OWNER, *seats),
        voucher_s=V,
    )


@functools.cache
def _deposable(electors: int, suspecting: tuple[int, ...], fewer: int) -> bool:
    """Whether a take-over fits the fold."""
    seats = [f"peer-{index}/1" for index in range(electors - 1)]
    extra = [f"peer-{index}/1" for index in suspecting]
    if fewer:
        missing = [seat for seat in seats if seat not in extra]
        extra += missing[:fewer]
    member = _system.Member("owner", 1, "", "", "", "")
    member.electors = (OWNER, *seats)
    member.suspecting = tuple(extra)
    return _fold_ownership.is_deposable(member)


class Search:
    """Visits every reachable state."""

    def __init__(self, setup: Setup, rules: Rules) -> None:
        self._setup = setup
        self._rules = rules
        self.visited = 0

    def find_wrong_state(self) -> State | None:
        """Returns the first state in which two owners may act."""
        first = State(
            peers=(Peer(),) * self._setup.peers,
            electors=0,
        )
        seen = {first}
        frontier = [first]
        while frontier:
            following = []
            for state in frontier:
                if self._two_act(state):
                    self.visited = len(seen)
                    return state
                if state.stopped:
                    continue
                for step in self._steps(state):
                    reached = self._canonical(step)
                    if reached not in seen:
                        seen.add(reached)
                        following.append(reached)
            frontier = following
        self.visited = len(seen)
        return None

    def _canonical(self, state: State) -> State:
        fixed = 1 if self._setup.grows or self._setup.shrinks else 0
        alike = sorted(state.peers[: len(state.peers) - fixed])
        peers = (*alike, *state.peers[len(state.peers) - fixed :])
        return state._replace(peers=peers)

    def _two_act(self, state: State) -> bool:
        if state.deposed < self._rules.guard_ticks or state.stopped:
            return False
        return state.head < V or self._vouched(state)

    def _vouched(self, state: State) -> bool:
        asked = tuple(peer.asked for peer in state.peers)
        # Whether the set in force leaves out the last peer.
        before, after = self._setup.grows, self._setup.shrinks
        unsettled = state.electors in (1, 2)
        withouts = {after} if state.electors == 3 else {before}
        if unsettled:
            withouts = {before, after}
        if unsettled and self._rules.only_old_electors_while_unsettled:
            withouts = {before}
        if unsettled and self._rules.only_new_electors_while_unsettled:
            withouts = {after}
        return all(
            _lease(asked[:-1] if without else asked) > 0 for without in withouts
        )

    def _may_depose(self, state: State) -> bool:
        count = len(state.peers) + 1
        landed = state.electors >= 2
        if self._setup.shrinks if landed else self._setup.grows:
            count -= 1
        suspecting = tuple(
            index for index, peer in enumerate(state.peers) if peer.suspected
        )
        if self._rules.counts_suspicions_of_all:
            count = len(state.peers) + 1
        return _deposable(count, suspecting, self._rules.suspects_fewer)

    def _steps(self, state: State) -> Iterator[State]:
        yield self._tick(state)
        if state.deposed < 0 and self._may_depose(state):
            yield state._replace(deposed=0)
        if state.deposed >= 0 and not state.stopped:
            yield state._replace(stopped=True)
        if self._setup.reads:
            yield from self._reads(state)
        changes = self._setup.grows or self._setup.shrinks
        if changes and state.electors < 3 and state.deposed < 0:
            yield state._replace(electors=state.electors + 1)
        for index, peer in enumerate(state.peers):
            for changed in self._peer_steps(state, peer):
                peers = list(state.peers)
                peers[index] = changed
                yield state._replace(peers=tuple(peers))

    def _tick(self, state: State) -> State:
        def older(age: int) -> int:
            return -1 if age < 0 or age + 1 >= V else age + 1

        peers = tuple(
            peer._replace(
                heartbeat=older(peer.heartbeat),
                voucher=older(peer.voucher),
                asked=min(V, peer.asked + 1),
            )
            for peer in state.peers
        )
        guard = max(self._rules.guard_ticks, 0)
        deposed = min(guard, state.deposed + 1) if state.deposed >= 0 else -1
        return state._replace(
            peers=peers,
            deposed=deposed,
            head=min(V, state.head + 1),
            reading=older(state.reading),
        )

    def _reads(self, state: State) -> Iterator[State]:
        if state.stopped:
            return
        if state.reading < 0 and state.deposed < 0:
            yield state._replace(reading=0)
        if state.reading >= 0:
            age = 0 if self._rules.read_age_from_answer else state.reading
            yield state._replace(reading=-1, head=min(state.head, age))

    def _peer_steps(self, state: State, peer: Peer) -> Iterator[Peer]:
        change = peer._replace
        if not self._setup.slow_heartbeats:
            if peer.voucher < 0 and self._grants(peer):
                yield change(voucher=0)
        elif peer.heartbeat < 0:
            yield change(heartbeat=0)
        if peer.heartbeat >= 0 and self._grants(peer):
            yield change(heartbeat=-1, voucher=peer.heartbeat)
        if peer.voucher >= 0:
            age = 0 if self._rules.voucher_age_from_answer else peer.voucher
            yield change(voucher=-1, asked=min(peer.asked, age))
        yield from self._suspicion_steps(peer, deposed=state.deposed >= 0)
        if self._setup.restarts and not peer.restarted:
            on_its_way = peer.phase == UNSETTLED
            yield change(
                phase=SUSPECTED if peer.suspected else VOUCHING,
                silent=peer.suspected,
                restarted=True,
                old=on_its_way,
            )
        if peer.old:
            # The append of the ended process lands before the join does.
            yield change(
                old=False, suspected=True, silent=True, phase=SUSPECTED
            )
            yield change(old=False)

    def _grants(self, peer: Peer) -> bool:
        rules = self._rules
        if peer.restarted and rules.restarted_vouches_without_join:
            return True
        if peer.old:
            return False
        if rules.suspect_goes_on_vouching:
            return True
        return not peer.silent

    def _suspicion_steps(self, peer: Peer, *, deposed: bool) -> Iterator[Peer]:
        change = peer._replace
        rules = self._rules
        if peer.phase == VOUCHING and not peer.old:
            silent = not rules.vouches_while_fate_unknown
            yield change(phase=UNSETTLED, silent=silent)
        if peer.phase == UNSETTLED and deposed:
            return
        if peer.phase == UNSETTLED:
            yield change(
                phase=SUSPECTED,
                suspected=True,
                silent=not rules.vouches_while_fate_unknown,
            )
            yield change(phase=VOUCHING, silent=False)
        if peer.phase == SUSPECTED and self._setup.withdraws:
            silent = not rules.vouches_before_withdrawal_read
            yield change(phase=WITHDRAWING, silent=silent)
        if peer.phase == WITHDRAWING and not deposed:
            yield change(phase=VOUCHING, suspected=False, silent=False)
            yield change(phase=SUSPECTED, silent=True)

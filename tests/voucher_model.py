"""Exhaustive model checker for vouchers, suspicions and take-overs.

The model has one owner and its peers. A peer vouches for the owner by granting
it a short lease (a voucher), and suspects it by a record in the log; enough
suspicions allow a take-over. Any message or append may be lost or delayed, the
owner and the peers read the log late, and time passes in ticks. Ages are
relative to now and capped, so the search covers every state that can be
reached at any depth. A state is wrong if the deposed owner still holds a lease
after a new owner may act.
"""

from collections.abc import Iterator
import dataclasses
import functools
from typing import NamedTuple

from basiljunction.coordination import _vouchers
from basiljunction.state import _fold_ownership
from basiljunction.state import _system

VOUCHER_TICKS = 2
"""Validity of a voucher in ticks; an age of V means expired."""

OWNER = "owner/1"
"""Seat of the owner: instance and incarnation."""


@dataclasses.dataclass(frozen=True)
class ProtocolRules:
    """Rules of the protocol, by default as implemented.

    A test changes one rule and expects the search to find a wrong state.

    Attributes:
        guard_ticks: Ticks between a take-over and the new owner's first act.
        suspects_fewer: Suspicions that a take-over may lack.
        suspect_goes_on_vouching: Peers vouch although they suspect the owner.
        voucher_age_from_answer: The age of a voucher counts from its arrival,
            not from the heartbeat that it answers.
        read_age_from_answer: The age of a read counts from its answer, not
            from its request.
        vouches_before_withdrawal_read: Peers vouch before they have read the
            withdrawal of their suspicion back from the log.
        vouches_while_fate_unknown: Peers vouch while the append of their
            suspicion may or may not have succeeded.
        restarted_vouches_without_join: Restarted peers vouch before their new
            join is in the log.
        only_old_electors_while_unsettled: Only the old electors count while a
            change of electors is pending.
        only_new_electors_while_unsettled: Only the new electors count while a
            change of electors is pending.
        counts_suspicions_of_all: A take-over counts all peers as electors.
    """

    guard_ticks: int = VOUCHER_TICKS
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
class SearchSetup:
    """Events that one search includes.

    Attributes:
        peers: Number of peers.
        restarts: Each peer may restart once.
        reads: The owner may also extend its lease by reading the log.
        adds_elector: The last peer may become an elector.
        removes_elector: The last peer may cease to be an elector.
        withdraws: Peers may withdraw suspicions.
        slow_heartbeats: Heartbeats may be delayed on the way to a peer.
    """

    peers: int
    restarts: bool = False
    reads: bool = False
    adds_elector: bool = False
    removes_elector: bool = False
    withdraws: bool = True
    slow_heartbeats: bool = True


VOUCHING, UNSETTLED, SUSPECTED, WITHDRAWING = range(4)
"""Phases of a peer's suspicion of the owner.

The peer has no suspicion in the log; its suspicion is being appended; its
suspicion is in the log; the withdrawal of its suspicion is being appended.
"""


class Peer(NamedTuple):
    """State of one peer and of its messages to and from the owner.

    Attributes:
        phase: Phase of its suspicion of the owner.
        is_silent: Whether it has stopped vouching.
        heartbeat_age: Age of a heartbeat in transit, or -1.
        voucher_age: Age of the heartbeat that a voucher in transit
            answers, or -1.
        vouched_age: Age of the newest heartbeat that a voucher at the owner
            answers, at most V.
        is_suspicion_logged: Whether its suspicion is in the log.
        restarted: Whether it has restarted.
        has_pending_append: Whether its earlier process ended with an
            append in transit.
    """

    phase: int = VOUCHING
    is_silent: bool = False
    heartbeat_age: int = -1
    voucher_age: int = -1
    vouched_age: int = VOUCHER_TICKS
    is_suspicion_logged: bool = False
    restarted: bool = False
    has_pending_append: bool = False


class State(NamedTuple):
    """One state of the search.

    Attributes:
        peers: The peers; the last one joins or leaves the electors.
        deposed_age: Age of the take-over in the log, at most the guard time;
            -1 if there is none.
        head_age: Age of the owner's newest read of the log's head, at
            most V.
        reading_age: Age of a read in transit that showed no take-over, or -1.
        stopped: Whether the owner has read that it was deposed.
        electors: Progress of a change of electors: 0 not requested, 1 in
            transit, 2 in the log, 3 read back by the owner.
    """

    peers: tuple[Peer, ...]
    deposed_age: int = -1
    head_age: int = VOUCHER_TICKS
    reading_age: int = -1
    stopped: bool = False
    electors: int = 0


@functools.cache
def _voucher_lease_ticks(vouched_ages: tuple[int, ...]) -> float:
    """Returns the ticks left of a lease from vouchers of these ages."""
    seats = [f"peer-{index}/1" for index in range(len(vouched_ages))]
    return _vouchers.voucher_lease_until_boot_s(
        {
            seat: -float(age)
            for seat, age in zip(seats, vouched_ages, strict=True)
            if age < VOUCHER_TICKS
        },
        own_seat=OWNER,
        electors=(OWNER, *seats),
        voucher_s=VOUCHER_TICKS,
    )


@functools.cache
def _can_be_deposed(
    elector_count: int,
    suspecting_indexes: tuple[int, ...],
    missing_suspicions: int,
) -> bool:
    """Returns whether the fold of the log accepts a take-over.

    Args:
        elector_count: Number of electors, the owner included.
        suspecting_indexes: Peers whose suspicion is in the log.
        missing_suspicions: Suspicions that the take-over may lack.
    """
    seats = [f"peer-{index}/1" for index in range(elector_count - 1)]
    extra = [f"peer-{index}/1" for index in suspecting_indexes]
    if missing_suspicions:
        missing = [seat for seat in seats if seat not in extra]
        extra += missing[:missing_suspicions]
    member = _system.Member("owner", 1, "", "", "", "")
    member.electors = (OWNER, *seats)
    member.suspecting = tuple(extra)
    return _fold_ownership.is_deposable(member)


class StateSearch:
    """Breadth-first search of every reachable state.

    Attributes:
        visited: Number of states that the search visited.
    """

    def __init__(self, setup: SearchSetup, rules: ProtocolRules) -> None:
        """Creates a search that has visited no state."""
        self._setup = setup
        self._rules = rules
        self.visited = 0

    def find_wrong_state(self) -> State | None:
        """Returns a state in which two owners may act, or None."""
        first = State(
            peers=(Peer(),) * self._setup.peers,
            electors=0,
        )
        seen = {first}
        frontier = [first]
        while frontier:
            following = []
            for state in frontier:
                if self._has_two_active_owners(state):
                    self.visited = len(seen)
                    return state
                if state.stopped:
                    continue
                for step in self._successors(state):
                    reached = self._canonicalize(step)
                    if reached not in seen:
                        seen.add(reached)
                        following.append(reached)
            frontier = following
        self.visited = len(seen)
        return None

    def _canonicalize(self, state: State) -> State:
        """Sorts interchangeable peers so that equivalent states are equal."""
        fixed = (
            1 if self._setup.adds_elector or self._setup.removes_elector else 0
        )
        interchangeable = sorted(state.peers[: len(state.peers) - fixed])
        peers = (*interchangeable, *state.peers[len(state.peers) - fixed :])
        return state._replace(peers=peers)

    def _has_two_active_owners(self, state: State) -> bool:
        """Returns whether the old owner holds a lease after the guard time."""
        if state.deposed_age < self._rules.guard_ticks or state.stopped:
            return False
        return state.head_age < VOUCHER_TICKS or self._has_voucher_lease(state)

    def _has_voucher_lease(self, state: State) -> bool:
        """Returns whether all sets of electors in force vouch for the owner."""
        vouched_ages = tuple(peer.vouched_age for peer in state.peers)
        # Whether the set of electors in force excludes the last peer.
        before, after = self._setup.adds_elector, self._setup.removes_elector
        unsettled = state.electors in (1, 2)
        exclusions = {after} if state.electors == 3 else {before}
        if unsettled:
            exclusions = {before, after}
        if unsettled and self._rules.only_old_electors_while_unsettled:
            exclusions = {before}
        if unsettled and self._rules.only_new_electors_while_unsettled:
            exclusions = {after}
        return all(
            _voucher_lease_ticks(
                vouched_ages[:-1] if excludes_last else vouched_ages
            )
            > 0
            for excludes_last in exclusions
        )

    def _is_take_over_possible(self, state: State) -> bool:
        """Returns whether the suspicions in the log allow a take-over."""
        count = len(state.peers) + 1
        landed = state.electors >= 2
        if self._setup.removes_elector if landed else self._setup.adds_elector:
            count -= 1
        suspecting = tuple(
            index
            for index, peer in enumerate(state.peers)
            if peer.is_suspicion_logged
        )
        if self._rules.counts_suspicions_of_all:
            count = len(state.peers) + 1
        return _can_be_deposed(count, suspecting, self._rules.suspects_fewer)

    def _successors(self, state: State) -> Iterator[State]:
        """Yields every state that one event can lead to."""
        yield self._advance_tick(state)
        if state.deposed_age < 0 and self._is_take_over_possible(state):
            yield state._replace(deposed_age=0)
        if state.deposed_age >= 0 and not state.stopped:
            yield state._replace(stopped=True)
        if self._setup.reads:
            yield from self._read_successors(state)
        changes = self._setup.adds_elector or self._setup.removes_elector
        if changes and state.electors < 3 and state.deposed_age < 0:
            yield state._replace(electors=state.electors + 1)
        for index, peer in enumerate(state.peers):
            for changed in self._peer_successors(state, peer):
                peers = list(state.peers)
                peers[index] = changed
                yield state._replace(peers=tuple(peers))

    def _advance_tick(self, state: State) -> State:
        """Returns the state one tick later; messages of age V are lost."""

        def older(age: int) -> int:
            return -1 if age < 0 or age + 1 >= VOUCHER_TICKS else age + 1

        peers = tuple(
            peer._replace(
                heartbeat_age=older(peer.heartbeat_age),
                voucher_age=older(peer.voucher_age),
                vouched_age=min(VOUCHER_TICKS, peer.vouched_age + 1),
            )
            for peer in state.peers
        )
        guard = max(self._rules.guard_ticks, 0)
        deposed_age = (
            min(guard, state.deposed_age + 1) if state.deposed_age >= 0 else -1
        )
        return state._replace(
            peers=peers,
            deposed_age=deposed_age,
            head_age=min(VOUCHER_TICKS, state.head_age + 1),
            reading_age=older(state.reading_age),
        )

    def _read_successors(self, state: State) -> Iterator[State]:
        """Yields the states after the owner starts or completes a read."""
        if state.stopped:
            return
        if state.reading_age < 0 and state.deposed_age < 0:
            yield state._replace(reading_age=0)
        if state.reading_age >= 0:
            age = 0 if self._rules.read_age_from_answer else state.reading_age
            yield state._replace(
                reading_age=-1, head_age=min(state.head_age, age)
            )

    def _peer_successors(self, state: State, peer: Peer) -> Iterator[Peer]:
        """Yields a peer after each event that concerns it."""
        change = peer._replace
        if not self._setup.slow_heartbeats:
            if peer.voucher_age < 0 and self._grants_voucher(peer):
                yield change(voucher_age=0)
        elif peer.heartbeat_age < 0:
            yield change(heartbeat_age=0)
        if peer.heartbeat_age >= 0 and self._grants_voucher(peer):
            yield change(heartbeat_age=-1, voucher_age=peer.heartbeat_age)
        if peer.voucher_age >= 0:
            age = 0 if self._rules.voucher_age_from_answer else peer.voucher_age
            yield change(voucher_age=-1, vouched_age=min(peer.vouched_age, age))
        yield from self._suspicion_successors(
            peer, is_deposed=state.deposed_age >= 0
        )
        if self._setup.restarts and not peer.restarted:
            on_its_way = peer.phase == UNSETTLED
            yield change(
                phase=SUSPECTED if peer.is_suspicion_logged else VOUCHING,
                is_silent=peer.is_suspicion_logged,
                restarted=True,
                has_pending_append=on_its_way,
            )
        if peer.has_pending_append:
            # The append of the ended process reaches the log before the join.
            yield change(
                has_pending_append=False,
                is_suspicion_logged=True,
                is_silent=True,
                phase=SUSPECTED,
            )
            yield change(has_pending_append=False)

    def _grants_voucher(self, peer: Peer) -> bool:
        """Returns whether a peer answers a heartbeat with a voucher."""
        rules = self._rules
        if peer.restarted and rules.restarted_vouches_without_join:
            return True
        if peer.has_pending_append:
            return False
        if rules.suspect_goes_on_vouching:
            return True
        return not peer.is_silent

    def _suspicion_successors(
        self, peer: Peer, *, is_deposed: bool
    ) -> Iterator[Peer]:
        change = peer._replace
        rules = self._rules
        if peer.phase == VOUCHING and not peer.has_pending_append:
            is_silent = not rules.vouches_while_fate_unknown
            yield change(phase=UNSETTLED, is_silent=is_silent)
        if peer.phase == UNSETTLED and is_deposed:
            return
        if peer.phase == UNSETTLED:
            yield change(
                phase=SUSPECTED,
                is_suspicion_logged=True,
                is_silent=not rules.vouches_while_fate_unknown,
            )
            yield change(phase=VOUCHING, is_silent=False)
        if peer.phase == SUSPECTED and self._setup.withdraws:
            is_silent = not rules.vouches_before_withdrawal_read
            yield change(phase=WITHDRAWING, is_silent=is_silent)
        if peer.phase == WITHDRAWING and not is_deposed:
            yield change(
                phase=VOUCHING, is_suspicion_logged=False, is_silent=False
            )
            yield change(phase=SUSPECTED, is_silent=True)

"""Decides when this instance joins, changes its electors and leaves.

The electors of a member are the seats whose vouchers extend its lease.
"""

import enum
import random

from basiljunction.coordination import _events
from basiljunction.coordination import _takeover
from basiljunction.coordination import _timing
from basiljunction.state import _fold_ownership
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time

_INCARNATION_RANDOM_BITS = 31
"""Random low bits of an incarnation; they tell apart processes of one name."""

_APPEND_TIMEOUT_S = 2.0
"""Time within which a record has to be sent, or is dropped, in seconds."""


class MembershipPhase(enum.Enum):
    """Stage of this instance between its start and its exit.

    Attributes:
        LOADING: The state is not yet folded to a known head of the log.
        JOINING: Its record to join is not yet accepted.
        MEMBER: It is a member of its group.
        DRAINING: It hands over its machines before it leaves.
        LEFT: It has left, and the process is to exit.
    """

    LOADING = "loading"
    JOINING = "joining"
    MEMBER = "member"
    DRAINING = "draining"
    LEFT = "left"


def next_incarnation(known: int, rng: random.Random) -> int:
    """Returns a new incarnation above a known one.

    Its random low bits make it differ from that of another process which
    starts under the same name.
    """
    count = (known >> _INCARNATION_RANDOM_BITS) + 1
    return (count << _INCARNATION_RANDOM_BITS) | rng.getrandbits(
        _INCARNATION_RANDOM_BITS
    )


def choose_electors(
    state: _system.SystemState, group: str, own_seat: str
) -> tuple[str, ...]:
    """Returns the seats whose vouchers should count for a member's lease.

    Leaving members are excluded while enough others remain.
    """
    members = _fold_ownership.group_members(state, group)
    staying = [
        member
        for member in members
        if not member.leaving
        or _fold_ownership.format_member_seat(member) == own_seat
    ]
    if len(staying) < _fold_ownership.MIN_VOUCHING_ELECTORS:
        staying = members
    return tuple(
        _fold_ownership.format_member_seat(member) for member in staying
    )


class Membership:
    """Tracks this instance's phase and appends its membership records.

    Args:
        identity: Name, group and addresses of this instance.
        rng: Source of the random bits of incarnations.
    """

    def __init__(
        self, identity: _timing.InstanceIdentity, rng: random.Random
    ) -> None:
        self._identity = identity
        self._rng = rng
        self.phase = MembershipPhase.LOADING
        self.incarnation = 0
        self._pending: set[_records.Record] = set()
        self._is_drain_requested = False

    @property
    def seat(self) -> str:
        """This instance's seat: its name and incarnation as one string."""
        return _fold_ownership.format_seat(
            self._identity.instance, self.incarnation
        )

    @property
    def local_member(self) -> _takeover.LocalMember:
        """Name, incarnation and group of this instance."""
        return _takeover.LocalMember(
            self._identity.instance, self.incarnation, self._identity.group
        )

    @property
    def pending_electors(self) -> tuple[tuple[str, ...], ...]:
        """Elector sets in records that were sent but not yet read back."""
        return tuple(
            record.electors
            for record in self._pending
            if isinstance(record, _records.ElectorsChanged)
        )

    def find_member(self, state: _system.SystemState) -> _system.Member | None:
        """Returns this incarnation's entry among the members; None without."""
        member = state.member_by_instance.get(self._identity.instance)
        if member is None or member.incarnation != self.incarnation:
            return None
        return member

    def request_drain(self) -> None:
        """Requests that this instance hands over its machines and leaves."""
        self._is_drain_requested = True

    @property
    def is_drain_requested(self) -> bool:
        """Whether this instance was requested to leave."""
        return self._is_drain_requested

    @property
    def has_pending_departure(self) -> bool:
        """Whether a record that this instance has left is being appended.

        From then on it holds no lease and vouches for no peer.
        """
        return any(
            isinstance(record, _records.InstanceLeft)
            for record in self._pending
        )

    def record_settled(self, record: _records.Record) -> None:
        """Handles that a record of this instance was read back from the log."""
        self._pending.discard(record)

    def record_drop(self, record: _records.Record) -> None:
        """Handles that a record was certainly not appended to the log."""
        self._pending.discard(record)

    def advance_phase(self, state: _system.SystemState) -> list[object]:
        """Changes the phase to match the folded state; returns the actions.

        Call it only once the state is folded to a known head of the log.
        """
        member = self.find_member(state)
        known = state.incarnation_by_instance.get(self._identity.instance, 0)
        match self.phase:
            case MembershipPhase.LOADING | MembershipPhase.JOINING if (
                self._is_drain_requested
            ):
                return self._exit("requested to leave before it joined")
            case MembershipPhase.LOADING:
                return self.start_incarnation(state)
            case MembershipPhase.JOINING if known > self.incarnation:
                return self.start_incarnation(state)
            case MembershipPhase.JOINING if member is not None:
                self.phase = MembershipPhase.MEMBER
            case MembershipPhase.MEMBER | MembershipPhase.DRAINING if (
                member is None
            ):
                return self._handle_removal(state)
            case MembershipPhase.MEMBER if self._is_drain_requested:
                self.phase = MembershipPhase.DRAINING
        return []

    def due_records(
        self,
        state: _system.SystemState,
        now: _time.Now,
        *,
        owned_machine_count: int,
        in_contact: bool,
    ) -> list[_events.AppendRecords]:
        """Returns the membership record to append now, if any.

        Args:
            state: The folded state.
            now: The current time.
            owned_machine_count: Number of machines that this instance
                owns.
            in_contact: Half of its group answers its heartbeats, or the wait
                for that is over.
        """
        may_join = in_contact or self._has_earlier_process(state)
        if self.phase is MembershipPhase.JOINING and not may_join:
            return []
        record = self._next_record(state, owned_machine_count)
        if record is None or record in self._pending:
            return []
        self._pending.add(record)
        not_after_s = now.boot_s + _APPEND_TIMEOUT_S
        return [_events.AppendRecords((record,), not_after_s)]

    def _next_record(
        self, state: _system.SystemState, owned_machine_count: int
    ) -> _records.Record | None:
        """Returns the record to append in this phase; None if none."""
        name = self._identity.instance
        member = self.find_member(state)
        if self.phase is MembershipPhase.JOINING:
            return self._join_record(state)
        if member is None:
            return None
        if self.phase is MembershipPhase.DRAINING and not member.leaving:
            return _records.InstanceLeaving(name, self.incarnation)
        if self.phase is MembershipPhase.DRAINING and owned_machine_count == 0:
            return _records.InstanceLeft(name, self.incarnation)
        electors = choose_electors(state, member.group, self.seat)
        if electors != member.electors and not self.pending_electors:
            return _records.ElectorsChanged(name, self.incarnation, electors)
        return None

    def _has_earlier_process(self, state: _system.SystemState) -> bool:
        """Returns whether a process on this address is still a member."""
        earlier = state.member_by_instance.get(self._identity.instance)
        if earlier is None:
            return False
        return earlier.peer_address == self._identity.peer_address

    def _join_record(
        self, state: _system.SystemState
    ) -> _records.Record | None:
        """Returns the record to join; None while the name is taken."""
        identity = self._identity
        earlier = state.member_by_instance.get(identity.instance)
        if earlier is not None and not _fold_ownership.may_replace_incarnation(
            earlier, identity.peer_address
        ):
            return None
        return _records.InstanceJoined(
            instance=identity.instance,
            incarnation=self.incarnation,
            zone=identity.zone,
            group=identity.group,
            peer_address=identity.peer_address,
            http_address=identity.http_address,
        )

    def start_incarnation(self, state: _system.SystemState) -> list[object]:
        """Starts a new incarnation, which still has to join."""
        known = state.incarnation_by_instance.get(self._identity.instance, 0)
        self.incarnation = next_incarnation(known, self._rng)
        self._pending.clear()
        self.phase = MembershipPhase.JOINING
        return [_events.StartIncarnation(self.incarnation)]

    def _handle_removal(self, state: _system.SystemState) -> list[object]:
        """Exits or starts a new incarnation after this member was removed."""
        name = self._identity.instance
        if self._is_drain_requested:
            return self._exit("left the group as requested")
        if state.incarnation_by_instance.get(name, 0) > self.incarnation:
            return self._exit(f"another process joined as {name}")
        return self.start_incarnation(state)

    def _exit(self, detail: str) -> list[object]:
        """Enters the last phase and returns the action to exit."""
        self.phase = MembershipPhase.LEFT
        return [_events.ExitProcess(detail)]

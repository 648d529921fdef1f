"""Decides which machines to register, to claim and to hand over.

A machine is a worker with its executor; it belongs to at most one instance,
its owner. The module also tracks how long a new owner has to wait before it
uses a machine.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses

from basiljunction.coordination import _assignment
from basiljunction.coordination import _events
from basiljunction.coordination import _fleet_view
from basiljunction.coordination import _takeover
from basiljunction.coordination import _timing
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict

_APPEND_TIMEOUT_S = 2.0
"""Time within which a record has to be sent, or is dropped, in seconds."""

_CLAIM_RANK_DELAY_S = 1.5
"""Delay of a claim of an unowned machine per rank, in seconds.

Instances are ranked for each machine, so that usually only one claims it.
"""

_MAX_HAND_OVERS = 4
"""Number of machines that an owner which stays hands over at a time."""


class MachineRules:
    """Decides which machines this member registers, claims and hands over.

    Args:
        local_member: This member.
        timing: Lease, heartbeat and guard durations.
    """

    def __init__(
        self, local_member: _takeover.LocalMember, timing: _timing.LeaseTiming
    ) -> None:
        self._local_member = local_member
        self._timing = timing
        self._waits_by_machine: dict[str, _fleet_view.OwnershipWaits] = {}
        self._unowned_since_s: dict[tuple[str, int], float] = {}
        self._pending: set[_records.Record] = set()
        self._successor_by_machine: dict[str, str] = {}
        self._shown_serial_by_machine: dict[str, int] = {}
        self._leaving_report = _events.ClosedExecutors(0, {})

    @property
    def waits_by_machine(self) -> dict[str, _fleet_view.OwnershipWaits]:
        """Waits of this owner on the machines that it took over, by machine."""
        return self._waits_by_machine

    @property
    def machines_to_hand_over(self) -> Collection[str]:
        """Names of the machines that this owner is about to hand over."""
        return self._successor_by_machine.keys()

    @property
    def is_view_outdated(self) -> bool:
        """Whether the machines to hand over differ from the newest view."""
        shown = self._shown_serial_by_machine.keys()
        return shown != self._successor_by_machine.keys()

    def record_published_view(self, serial: int) -> None:
        """Records the serial of a view that shows the machines to hand over."""
        self._shown_serial_by_machine = {
            name: self._shown_serial_by_machine.get(name, serial)
            for name in self._successor_by_machine
        }

    def record_leaving_executors(self, event: _events.ClosedExecutors) -> None:
        """Records which executors get no new requests, and what runs there."""
        self._leaving_report = event

    def record_verdict(
        self,
        state: _system.SystemState,
        verdict: _verdict.Verdict,
        now: _time.Now,
    ) -> None:
        """Handles the verdict on a record of this or another instance.

        An accepted assignment ends a hand-over and starts the waits of the new
        owner.
        """
        self._pending.discard(verdict.record)
        if not isinstance(verdict.record, _records.MachineAssigned):
            return
        if not verdict.is_accepted:
            return
        record = verdict.record
        self._waits_by_machine.pop(record.machine, None)
        self._successor_by_machine.pop(record.machine, None)
        if (record.owner, record.owner_incarnation) != (
            self._local_member.instance,
            self._local_member.incarnation,
        ):
            return
        machine = state.machine_by_id.get(record.machine)
        if machine is not None:
            self._waits_by_machine[record.machine] = (
                self._waits_after_assignment(state, machine, now)
            )

    def record_drop(self, record: _records.Record) -> None:
        """Handles that a record was certainly not appended to the log."""
        self._pending.discard(record)

    def due_records(
        self,
        state: _system.SystemState,
        now: _time.Now,
        *,
        may_claim: bool,
        is_alive: Callable[[str], bool],
        holds_lease: bool,
    ) -> list[_events.AppendRecords]:
        """Returns the claims and hand-overs of machines to append now.

        Args:
            state: The folded state.
            now: The current time.
            may_claim: This instance may claim unowned machines.
            is_alive: Returns whether an instance sent a heartbeat lately.
            holds_lease: Whether this instance holds the lease on its machines.
        """
        candidates = _assignment.owner_candidates(
            state, self._local_member.group
        )
        records: list[_records.Record] = []
        if may_claim:
            records += self._due_claims(state, candidates, now.boot_s)
        if holds_lease:
            alive = {each for each in candidates if is_alive(each)}
            self._choose_hand_overs(state, candidates, alive, now.boot_s)
            records += self._due_hand_overs(state)
        return self._append_new(records, now)

    def due_registrations(
        self,
        state: _system.SystemState,
        listed: Iterable[_records.MachineRegistered],
        now: _time.Now,
    ) -> list[_events.AppendRecords]:
        """Returns records of listed machines that are new or have changed.

        Each machine is registered by its preferred owner only.
        """
        candidates = _assignment.owner_candidates(
            state, self._local_member.group
        )
        records: list[_records.Record] = []
        for machine in listed:
            known = state.machine_by_id.get(machine.machine)
            changed = _changed_registration(machine, known)
            registering_instance = _assignment.preferred_owner(
                machine.machine, candidates
            )
            if (
                changed is not None
                and registering_instance == self._local_member.instance
            ):
                records.append(changed)
        return self._append_new(records, now)

    def _append_new(
        self, records: list[_records.Record], now: _time.Now
    ) -> list[_events.AppendRecords]:
        """Returns an action to append those records that are not pending."""
        new = tuple(each for each in records if each not in self._pending)
        if not new:
            return []
        self._pending.update(new)
        not_after_s = now.boot_s + _APPEND_TIMEOUT_S
        return [_events.AppendRecords(new, not_after_s)]

    def _due_claims(
        self,
        state: _system.SystemState,
        candidates: list[str],
        now_s: float,
    ) -> list[_records.Record]:
        """Returns claims of unowned machines whose delay is over."""
        claims: list[_records.Record] = []
        keys = set()
        for machine in _assignment.unowned_machines(
            state, self._local_member.group
        ):
            name = machine.registered.machine
            key = (name, machine.epoch)
            keys.add(key)
            since_s = self._unowned_since_s.setdefault(key, now_s)
            ranking = _assignment.rank_instances(name, candidates)
            if self._local_member.instance not in ranking:
                continue
            rank = ranking.index(self._local_member.instance)
            if now_s - since_s >= rank * _CLAIM_RANK_DELAY_S:
                claims.append(
                    self._assignment_record(
                        machine, self._local_member.instance, state
                    )
                )
        for key in self._unowned_since_s.keys() - keys:
            del self._unowned_since_s[key]
        return claims

    def _choose_hand_overs(
        self,
        state: _system.SystemState,
        candidates: list[str],
        alive: set[str],
        now_s: float,
    ) -> None:
        """Chooses which machines to hand over, and the new owner of each.

        A leaving owner hands over all its machines, any other only those that
        rendezvous hashing assigns to another instance.
        """
        leaving = self._local_member.instance not in candidates
        successors = sorted(alive) if leaving else candidates
        limit = len(state.machine_by_id) if leaving else _MAX_HAND_OVERS
        successor_by_machine: dict[str, str] = {}
        for machine in self._owned_machines(state):
            name = machine.registered.machine
            successor = _assignment.preferred_owner(name, successors)
            if (
                successor not in alive
                or successor == self._local_member.instance
            ):
                continue
            if len(successor_by_machine) < limit and self._may_hand_over(
                name, now_s
            ):
                successor_by_machine[name] = successor
        self._successor_by_machine = successor_by_machine

    def _may_hand_over(self, name: str, now_s: float) -> bool:
        """Returns whether the waits on a machine are over."""
        waits = self._waits_by_machine.get(name, _fleet_view.OwnershipWaits())
        return now_s >= max(waits.usable_from_boot_s, waits.busy_until_boot_s)

    def _due_hand_overs(
        self, state: _system.SystemState
    ) -> list[_records.Record]:
        """Returns hand-over records of chosen machines that are drained."""
        records: list[_records.Record] = []
        for machine in self._owned_machines(state):
            name = machine.registered.machine
            successor = self._successor_by_machine.get(name, "")
            if successor and self._is_drained(machine):
                records.append(
                    self._assignment_record(machine, successor, state)
                )
        return records

    def _owned_machines(
        self, state: _system.SystemState
    ) -> list[_system.Machine]:
        """Returns the machines that this incarnation owns."""
        return _assignment.owned_machines(
            state, self._local_member.instance, self._local_member.incarnation
        )

    def _is_drained(self, machine: _system.Machine) -> bool:
        """Returns whether a machine gets no new requests and runs none."""
        executor = machine.registered.executor
        if not executor:
            return True
        name = machine.registered.machine
        serial = self._shown_serial_by_machine.get(name)
        if serial is None or self._leaving_report.view_serial < serial:
            return False
        return self._leaving_report.in_flight_by_executor.get(executor) == 0

    def _assignment_record(
        self,
        machine: _system.Machine,
        owner: str,
        state: _system.SystemState,
    ) -> _records.MachineAssigned:
        """Returns a record that assigns a machine to an owner."""
        return _records.MachineAssigned(
            machine=machine.registered.machine,
            owner=owner,
            owner_incarnation=state.member_by_instance[owner].incarnation,
            base_epoch=machine.epoch,
        )

    def _waits_after_assignment(
        self,
        state: _system.SystemState,
        machine: _system.Machine,
        now: _time.Now,
    ) -> _fleet_view.OwnershipWaits:
        """Returns the waits that start when this instance gets a machine."""
        usable_from_s = now.boot_s
        if machine.guarded:
            usable_from_s += self._timing.guard_s
        busy_until_s = usable_from_s
        if machine.in_flight:
            busy_until_s += _fleet_view.longest_deadline_s(state)
        return _fleet_view.OwnershipWaits(usable_from_s, busy_until_s)


def _changed_registration(
    listed: _records.MachineRegistered, known: _system.Machine | None
) -> _records.MachineRegistered | None:
    """Returns the registration to append for a machine; None if unchanged."""
    if known is None:
        return listed
    registered = known.registered
    same = dataclasses.replace(
        listed, revision=registered.revision, group=registered.group
    )
    if same == registered:
        return None
    return dataclasses.replace(same, revision=registered.revision + 1)

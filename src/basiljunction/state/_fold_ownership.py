"""Fold rules for group membership and for the single owner of each machine.

An instance owns machines only while enough electors (instances of its group)
vouch for it: each answers heartbeats with vouchers, which let the owner act for
a limited time. An elector that stops vouching records a suspicion. Enough
suspicions allow a take-over, which removes the instance and frees its machines.
"""

from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict

MIN_VOUCHING_ELECTORS = 3
"""Minimum number of electors for which vouchers count.

A member with fewer electors acts on log reads alone; see docs/design.
"""


def format_seat(instance: str, incarnation: int) -> str:
    """Returns a string that identifies one incarnation as an elector."""
    return f"{instance}/{incarnation}"


def format_member_seat(member: _system.Member) -> str:
    """Returns the string that identifies a member as an elector."""
    return format_seat(member.instance, member.incarnation)


def group_members(
    state: _system.SystemState, group: str
) -> list[_system.Member]:
    """Returns the members of a group, ordered by instance name."""
    members = state.member_by_instance.values()
    return sorted(
        (member for member in members if member.group == group),
        key=lambda member: member.instance,
    )


def min_suspecting_electors(electors: int) -> int:
    """Returns how many electors must suspect an owner to depose it.

    With that many, the remaining electors are no majority. Returns 1 if there
    are fewer than ``MIN_VOUCHING_ELECTORS``.
    """
    if electors < MIN_VOUCHING_ELECTORS:
        return 1
    majority = electors // 2 + 1
    return electors - majority + 1


def is_deposable(member: _system.Member) -> bool:
    """Returns whether enough electors suspect a member to replace it.

    A member with fewer than ``MIN_VOUCHING_ELECTORS`` electors acts on reads of
    the log alone, so one suspicion in the log is enough.
    """
    if len(member.electors) < MIN_VOUCHING_ELECTORS:
        return bool(member.suspecting)
    counted = set(member.suspecting).intersection(member.electors)
    return len(counted) >= min_suspecting_electors(len(member.electors))


def may_replace_incarnation(earlier: _system.Member, peer_address: str) -> bool:
    """Returns whether a new incarnation may join in place of an earlier one.

    Only one process can listen on an address, so a join from the same address
    shows that the earlier process has ended. Otherwise the earlier one may
    still hold vouchers, and its group has to depose it first.

    Args:
        earlier: The member that is an earlier incarnation of the instance.
        peer_address: Address at which the new incarnation listens for peers.
    """
    if earlier.peer_address == peer_address:
        return True
    return len(earlier.electors) < MIN_VOUCHING_ELECTORS


def _fold_instance_joined(
    state: _system.SystemState,
    record: _records.InstanceJoined,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Adds a member, in place of its instance's earlier incarnation if any."""
    if origin.author.incarnation != record.incarnation:
        return _outcomes.Reason.STALE_INCARNATION
    known = state.incarnation_by_instance.get(record.instance, -1)
    if record.incarnation <= known:
        return _outcomes.Reason.STALE_INCARNATION
    earlier = state.member_by_instance.get(record.instance)
    if earlier is not None:
        if not may_replace_incarnation(earlier, record.peer_address):
            return _outcomes.Reason.NOT_ENOUGH_SUSPECTS
        _remove_member(state, earlier)
    if state.address_by_instance.get(record.instance) == record.peer_address:
        _transfer_seat(state, record.instance, known, record.incarnation)
    state.address_by_instance[record.instance] = record.peer_address
    member = _system.Member(
        instance=record.instance,
        incarnation=record.incarnation,
        zone=record.zone,
        group=record.group,
        peer_address=record.peer_address,
        http_address=record.http_address,
    )
    state.incarnation_by_instance[record.instance] = record.incarnation
    state.member_by_instance[record.instance] = member
    members = group_members(state, record.group)
    member.electors = tuple(format_member_seat(each) for each in members)
    return None


def _transfer_seat(
    state: _system.SystemState,
    instance: str,
    earlier_incarnation: int,
    incarnation: int,
) -> None:
    """Replaces an ended incarnation by its successor as elector.

    The earlier one may have been deposed meanwhile; it does not vouch any
    more. The successor neither vouches for nor suspects any member until the
    vouchers of the earlier one have expired.
    """
    old_seat = format_seat(instance, earlier_incarnation)
    new_seat = format_seat(instance, incarnation)
    for member in state.member_by_instance.values():
        member.electors = tuple(
            new_seat if each == old_seat else each for each in member.electors
        )
        if old_seat in member.suspecting:
            _remove_suspicion(member, old_seat)
            _add_suspicion(member, new_seat)


def _fold_electors_changed(
    state: _system.SystemState,
    record: _records.ElectorsChanged,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Sets a member's electors, which must be current members of its group."""
    member = _find_current_member(state, record.instance, record.incarnation)
    if member is None or not _is_author(member, origin.author):
        return _outcomes.Reason.STALE_INCARNATION
    seats = {
        format_member_seat(each) for each in group_members(state, member.group)
    }
    if format_member_seat(member) not in record.electors:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if not seats.issuperset(record.electors):
        return _outcomes.Reason.UNKNOWN_SUBJECT
    member.electors = record.electors
    return None


def _fold_instance_leaving(
    state: _system.SystemState,
    record: _records.InstanceLeaving,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Marks a member as leaving, so that it is assigned no more machines."""
    member = _find_current_member(state, record.instance, record.incarnation)
    if member is None:
        return _outcomes.Reason.STALE_INCARNATION
    member.leaving = True
    return None


def _fold_instance_left(
    state: _system.SystemState,
    record: _records.InstanceLeft,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Removes a drained member and adds its suspicion against all others."""
    member = _find_current_member(state, record.instance, record.incarnation)
    if member is None or not _is_author(member, origin.author):
        return _outcomes.Reason.STALE_INCARNATION
    _remove_member(state, member)
    # It stopped vouching before it appended this record.
    for other in state.member_by_instance.values():
        _add_suspicion(other, format_member_seat(member))
    return None


def _fold_suspected(
    state: _system.SystemState,
    record: _records.Suspected,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Adds the author's suspicion against a member of its group."""
    suspect = _find_current_member(
        state, record.suspect, record.suspect_incarnation
    )
    if suspect is None:
        return _outcomes.Reason.STALE_INCARNATION
    if not _may_suspect(state, origin.author, suspect):
        return _outcomes.Reason.UNKNOWN_SUBJECT
    _add_suspicion(
        suspect, format_seat(origin.author.name, origin.author.incarnation)
    )
    return None


def _fold_suspicion_withdrawn(
    state: _system.SystemState,
    record: _records.SuspicionWithdrawn,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Removes the author's suspicion against a member."""
    suspect = _find_current_member(
        state, record.suspect, record.suspect_incarnation
    )
    if suspect is None:
        return _outcomes.Reason.STALE_INCARNATION
    _remove_suspicion(
        suspect, format_seat(origin.author.name, origin.author.incarnation)
    )
    return None


def _fold_taken_over(
    state: _system.SystemState,
    record: _records.TakenOver,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Removes a member that enough electors suspect."""
    deposed = _find_current_member(
        state, record.deposed, record.deposed_incarnation
    )
    if deposed is None:
        return _outcomes.Reason.STALE_INCARNATION
    if not is_deposable(deposed):
        return _outcomes.Reason.NOT_ENOUGH_SUSPECTS
    _remove_member(state, deposed)
    return None


def _fold_machine_registered(
    state: _system.SystemState,
    record: _records.MachineRegistered,
    _origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Adds a machine, or updates it if the revision is the next one."""
    known = state.machine_by_id.get(record.machine)
    if known is None:
        state.machine_by_id[record.machine] = _system.Machine(record)
        return None
    if record.revision != known.registered.revision + 1:
        return _outcomes.Reason.STALE_VERSION
    known.registered = record
    return None


def _fold_machine_retired(
    state: _system.SystemState,
    record: _records.MachineRetired,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Deletes a machine, if its owner recorded this."""
    machine = state.machine_by_id.get(record.machine)
    if machine is None:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if not _is_owner(machine, origin.author):
        return _outcomes.Reason.NOT_OWNER
    del state.machine_by_id[record.machine]
    return None


def _fold_machine_assigned(
    state: _system.SystemState,
    record: _records.MachineAssigned,
    origin: _verdict.RecordOrigin,
) -> _outcomes.Reason | None:
    """Sets the owner of a machine and raises the machine's epoch."""
    machine = state.machine_by_id.get(record.machine)
    if machine is None:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if machine.epoch != record.base_epoch:
        return _outcomes.Reason.STALE_EPOCH
    owner = _find_current_member(state, record.owner, record.owner_incarnation)
    if owner is None or owner.leaving:
        return _outcomes.Reason.STALE_INCARNATION
    if owner.group != machine.registered.group:
        return _outcomes.Reason.UNKNOWN_SUBJECT
    if not _may_assign(machine, owner, origin.author):
        return _outcomes.Reason.NOT_OWNER
    if machine.owner:
        machine.guarded = False
        machine.in_flight = record.in_flight
    machine.owner = owner.instance
    machine.owner_incarnation = owner.incarnation
    machine.epoch += 1
    machine.assigned_offset = origin.offset
    return None


def _may_assign(
    machine: _system.Machine, owner: _system.Member, author: _records.Author
) -> bool:
    """Returns whether an author may assign a machine to an owner.

    The current owner may assign its machine to any member; a machine without
    an owner may only be claimed by its new owner itself.
    """
    if machine.owner:
        return _is_owner(machine, author)
    return _is_author(owner, author)


def _add_suspicion(member: _system.Member, elector: str) -> None:
    """Adds an elector to those that suspect a member, in sorted order."""
    member.suspecting = tuple(sorted({*member.suspecting, elector}))


def _remove_suspicion(member: _system.Member, elector: str) -> None:
    """Removes an elector from those that suspect a member."""
    member.suspecting = tuple(
        each for each in member.suspecting if each != elector
    )


def _find_current_member(
    state: _system.SystemState, instance: str, incarnation: int
) -> _system.Member | None:
    """Returns the member, or None if this incarnation is not a member."""
    member = state.member_by_instance.get(instance)
    if member is None or member.incarnation != incarnation:
        return None
    return member


def _may_suspect(
    state: _system.SystemState,
    author: _records.Author,
    suspect: _system.Member,
) -> bool:
    """Returns whether an author is another member of the suspect's group."""
    member = _find_current_member(state, author.name, author.incarnation)
    if member is None or member is suspect:
        return False
    return member.group == suspect.group


def _is_author(member: _system.Member, author: _records.Author) -> bool:
    """Returns whether a member is the incarnation that wrote a record."""
    return (member.instance, member.incarnation) == (
        author.name,
        author.incarnation,
    )


def _is_owner(machine: _system.Machine, author: _records.Author) -> bool:
    """Returns whether an author is the incarnation that owns a machine."""
    return (
        machine.owner == author.name
        and machine.owner_incarnation == author.incarnation
    )


def _machines_owned_by(
    state: _system.SystemState, member: _system.Member
) -> list[_system.Machine]:
    """Returns the machines that a member owns."""
    author = _records.Author(member.instance, member.incarnation)
    machines = state.machine_by_id.values()
    return [machine for machine in machines if _is_owner(machine, author)]


def _remove_member(state: _system.SystemState, member: _system.Member) -> None:
    """Removes a member and leaves its machines without an owner.

    The machines are guarded, as the member may still act on them for the guard
    time. Its own suspicions stay, as it cannot withdraw them any more.
    """
    for machine in _machines_owned_by(state, member):
        machine.owner = ""
        machine.owner_incarnation = 0
        machine.epoch += 1
        machine.guarded = True
        machine.in_flight = True
    del state.member_by_instance[member.instance]


HANDLER_BY_TYPE: dict[type, _verdict.FoldHandler] = {
    _records.InstanceJoined: _fold_instance_joined,
    _records.InstanceLeaving: _fold_instance_leaving,
    _records.InstanceLeft: _fold_instance_left,
    _records.ElectorsChanged: _fold_electors_changed,
    _records.Suspected: _fold_suspected,
    _records.SuspicionWithdrawn: _fold_suspicion_withdrawn,
    _records.TakenOver: _fold_taken_over,
    _records.MachineRegistered: _fold_machine_registered,
    _records.MachineRetired: _fold_machine_retired,
    _records.MachineAssigned: _fold_machine_assigned,
}
"""Fold rule for each type of membership and machine record."""

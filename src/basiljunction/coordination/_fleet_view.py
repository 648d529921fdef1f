"""Builds the fleet view for the urgent path from the folded state."""

from collections.abc import Collection
import dataclasses

from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _records
from basiljunction.state import _system

VIEW_CHANGING_RECORDS = (
    _records.ContractPublished,
    _records.InstanceJoined,
    _records.InstanceLeaving,
    _records.InstanceLeft,
    _records.TakenOver,
    _records.MachineRegistered,
    _records.MachineRetired,
    _records.MachineAssigned,
)
"""Types of records after which a new view is published."""


@dataclasses.dataclass(frozen=True, slots=True)
class OwnershipWaits:
    """Times that the new owner of a machine has to wait for.

    Attributes:
        usable_from_boot_s: End of the guard, after which the lease of the
            earlier owner has certainly expired, on the boot clock.
        busy_until_boot_s: Until then requests of the earlier owner may still
            run, on the boot clock.
    """

    usable_from_boot_s: float = 0.0
    busy_until_boot_s: float = 0.0


def build_view(
    state: _system.SystemState,
    *,
    base: _views.FleetView,
    group: str,
    waits_by_machine: dict[str, OwnershipWaits],
    not_accepting: Collection[str],
) -> _views.FleetView:
    """Returns a fleet view built from the folded state.

    Args:
        state: The folded state.
        base: View with the instance, its incarnation and its flags set.
        group: Group whose executors are shown.
        waits_by_machine: Waits of the machines that this instance owns.
        not_accepting: Names of machines and executors that get no new
            requests.
    """
    return dataclasses.replace(
        base,
        next_offset=state.next_offset,
        contract_by_customer={
            customer: in_force.contract
            for customer, in_force in state.contract_by_customer.items()
        },
        executor_by_id={
            machine.registered.executor: _executor_view(
                machine, waits_by_machine, not_accepting
            )
            for machine in state.machine_by_id.values()
            if machine.registered.executor and machine.registered.group == group
        },
        peer_by_instance={
            member.instance: _peer_view(member)
            for member in state.member_by_instance.values()
            if member.instance != base.instance
        },
    )


def longest_deadline_s(state: _system.SystemState) -> float:
    """Returns the longest deadline of urgent work, in seconds.

    It covers the contracts in force and the earlier ones that are kept.
    """
    longest_s = 0.0
    for in_force in state.contract_by_customer.values():
        for contract in (in_force.contract, *in_force.earlier):
            for work_class in contract.class_by_name.values():
                if work_class.kind is _contract.WorkKind.LATENCY_CRITICAL:
                    longest_s = max(longest_s, work_class.deadline_s)
    return longest_s


def _executor_view(
    machine: _system.Machine,
    waits_by_machine: dict[str, OwnershipWaits],
    not_accepting: Collection[str],
) -> _views.ExecutorView:
    """Returns the view of the executor of a machine."""
    registered = machine.registered
    waits = waits_by_machine.get(registered.machine, OwnershipWaits())
    return _views.ExecutorView(
        executor=registered.executor,
        machine=registered.machine,
        address=registered.executor_address,
        zone=registered.zone,
        slots=registered.slots,
        connections=registered.connections,
        owner=machine.owner,
        epoch=machine.epoch,
        usable_from_boot_s=waits.usable_from_boot_s,
        busy_until_boot_s=waits.busy_until_boot_s,
        leaving=registered.machine in not_accepting
        or registered.executor in not_accepting,
    )


def _peer_view(member: _system.Member) -> _views.PeerView:
    """Returns the view of another member."""
    return _views.PeerView(
        instance=member.instance,
        incarnation=member.incarnation,
        zone=member.zone,
        group=member.group,
        peer_address=member.peer_address,
        leaving=member.leaving,
    )

"""Converts the platform's list of workers and executors to machines.

A worker and the executor on it form one machine.
"""

from collections.abc import Iterable

from basiljunction.coordination import _events
from basiljunction.state import _records
from basiljunction.state import _system


def group_machines(
    listed: Iterable[_events.LiveMachine],
    state: _system.SystemState,
    *,
    own_group: str,
) -> list[_records.MachineRegistered]:
    """Returns registrations of the listed machines of this instance's group.

    A zone belongs to the group of the entry instances in it; a zone without
    entry instances belongs to the first group by name.
    """
    group_by_zone = {
        member.zone: member.group
        for member in state.member_by_instance.values()
    }
    groups = sorted(set(group_by_zone.values()))
    fallback = groups[0] if groups else own_group
    listings = tuple(listed)
    executor_by_worker = {
        each.worker: each for each in listings if each.role == "executor"
    }
    return [
        _registration(worker, executor_by_worker.get(worker.name), own_group)
        for worker in listings
        if worker.role == "worker"
        and group_by_zone.get(worker.zone, fallback) == own_group
    ]


def leaving_machine_names(
    listed: Iterable[_events.LiveMachine],
) -> frozenset[str]:
    """Returns the names of the workers and executors listed as leaving."""
    return frozenset(
        each.name for each in listed if each.leaving and each.role != "entry"
    )


def _registration(
    worker: _events.LiveMachine,
    executor: _events.LiveMachine | None,
    group: str,
) -> _records.MachineRegistered:
    """Returns the registration of a worker and its executor as a machine."""
    return _records.MachineRegistered(
        machine=worker.name,
        revision=1,
        group=group,
        zone=worker.zone,
        rack=worker.rack,
        worker_address=worker.address,
        executor=executor.name if executor else "",
        executor_address=executor.address if executor else "",
        slots=executor.slots if executor else 0,
        connections=executor.connections if executor else 0,
        millicores=worker.millicores,
        memory_mib=worker.memory_mib,
        accelerators=worker.accelerators,
    )

"""Rows of the platform's instance list."""

from typing import Any

from basiljunction.demo import _evidence


def make_entry_instance_row(
    name: str, zone: str, address: str, *, leaving: bool
) -> dict[str, Any]:
    """Returns the row of an entry instance in the platform's list."""
    return {
        "name": name,
        "role": "entry",
        "zone": zone,
        "rack": "",
        "address": address,
        "leaving": leaving,
        "worker": "",
        "slots": 0,
        "connections": 0,
        "millicores": 0,
        "memory_mib": 0,
        "accelerators": 0,
    }


def make_worker_row(
    machine: _evidence.Machine, zone_address: str
) -> dict[str, Any]:
    """Returns the row of a worker in the platform's instance list."""
    return {
        **_make_machine_row(machine, machine.worker, zone_address),
        "role": "worker",
        "millicores": machine.millicores,
        "memory_mib": machine.memory_mib,
        "accelerators": machine.accelerators,
    }


def make_executor_row(
    machine: _evidence.Machine, zone_address: str
) -> dict[str, Any]:
    """Returns the row of a worker's executor in the platform's list."""
    return {
        **_make_machine_row(machine, machine.executor, zone_address),
        "role": "executor",
        "slots": machine.slots,
        "connections": machine.connections,
    }


def _make_machine_row(
    machine: _evidence.Machine, name: str, zone_address: str
) -> dict[str, Any]:
    """Returns the fields that rows of workers and executors share."""
    return {
        "name": name,
        "zone": machine.zone,
        "rack": machine.rack,
        "address": f"{zone_address}/{name}",
        "leaving": machine.leaving_wall_s is not None,
        "worker": machine.worker,
        "slots": 0,
        "connections": 0,
        "millicores": 0,
        "memory_mib": 0,
        "accelerators": 0,
    }

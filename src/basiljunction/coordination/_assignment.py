"""Assigns machines to instances by rendezvous hashing.

Each instance gets a hash score per machine; the highest score is preferred.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

from basiljunction.state import _system


def _rendezvous_score(key: str, instance: str) -> int:
    """Returns the hash score of an instance for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{instance}".encode())


def rank_instances(key: str, instances: Iterable[str]) -> list[str]:
    """Returns instances ordered by their score for a key, best first.

    When instances join or leave, the first one changes for few keys.
    """
    return sorted(
        instances,
        key=lambda instance: _rendezvous_score(key, instance),
        reverse=True,
    )


def preferred_owner(machine: str, instances: Sequence[str]) -> str:
    """Returns the instance that should own a machine.

    The result is empty if there are no instances.
    """
    if not instances:
        return ""
    return max(
        instances,
        key=lambda instance: _rendezvous_score(machine, instance),
    )


def owner_candidates(state: _system.SystemState, group: str) -> list[str]:
    """Returns the members of a group that are not leaving, sorted by name."""
    return sorted(
        member.instance
        for member in state.member_by_instance.values()
        if member.group == group and not member.leaving
    )


def unowned_machines(
    state: _system.SystemState, group: str
) -> list[_system.Machine]:
    """Returns the machines of a group that have no owner."""
    return [
        machine
        for machine in state.machine_by_id.values()
        if not machine.owner and machine.registered.group == group
    ]


def owned_machines(
    state: _system.SystemState, instance: str, incarnation: int
) -> list[_system.Machine]:
    """Returns the machines that an incarnation of an instance owns."""
    return [
        machine
        for machine in state.machine_by_id.values()
        if machine.owner == instance
        and machine.owner_incarnation == incarnation
    ]

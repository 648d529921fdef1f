"""Chooses the owner to which an urgent request is forwarded.

An owner is an instance that owns executors.
"""

from collections.abc import Set
import dataclasses
import random

import xxhash

from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _messages
from basiljunction.coordination import _views

REPORT_TIMEOUT_S = 0.5
"""Time without a load report after which an owner is avoided, in seconds.

It is still chosen if no owner reported within this time."""
UNREACHABLE_AVOID_S = 0.5
"""How long an owner is avoided after a failure to send, in seconds."""
HOP_PENALTY = 0.05
"""Load added to a remote owner, as a fraction of its slots.

It favours local executors, which need no forwarding."""


@dataclasses.dataclass(slots=True)
class _OwnerLoadState:
    """Capacity and load of an owner, as far as this instance knows.

    Attributes:
        slots: Slots of the executors that accept new requests.
        in_flight: Requests that this instance sent and that have not ended.
        reported_load: Used slots and queued requests in the newest report.
        reported_boot_s: When the newest report arrived, on the boot clock.
        unreachable_until_boot_s: The owner is avoided until then.
    """

    slots: int = 0
    in_flight: int = 0
    reported_load: float = 0.0
    reported_boot_s: float = float("-inf")
    unreachable_until_boot_s: float = float("-inf")


class OwnerRouter:
    """Tracks the load of executor owners and chooses one for a request.

    Args:
        instance: Name of this instance.
        chooser: Policy that chooses among candidates by load.
        source: Source of randomness for the policy.
    """

    def __init__(
        self,
        *,
        instance: str,
        chooser: _executor_choice.Chooser,
        source: random.Random,
    ) -> None:
        self._instance = instance
        self._chooser = chooser
        self._source = source
        self._owner_by_instance: dict[str, _OwnerLoadState] = {}

    def update_owners(self, view: _views.FleetView) -> None:
        """Updates the owners and their slots from a new fleet view."""
        slots_by_owner: dict[str, int] = {}
        for executor in view.executor_by_id.values():
            if executor.leaving or not self._is_usable(executor.owner, view):
                continue
            slots = slots_by_owner.get(executor.owner, 0) + executor.slots
            slots_by_owner[executor.owner] = slots
        for name in self._owner_by_instance.keys() - slots_by_owner.keys():
            self._owner_by_instance[name].slots = 0
            if not self._owner_by_instance[name].in_flight:
                del self._owner_by_instance[name]
        for name, slots in slots_by_owner.items():
            owner = self._owner_by_instance.setdefault(name, _OwnerLoadState())
            owner.slots = slots

    def record_load_report(
        self, report: _messages.OwnerLoad, boot_s: float
    ) -> None:
        """Records the load that an owner reported."""
        owner = self._owner_by_instance.get(report.sender)
        if owner is None:
            return
        used = max(0, owner.slots - report.free_slots)
        owner.reported_load = float(used + report.queued)
        owner.reported_boot_s = boot_s

    def record_send_failure(self, instance: str, boot_s: float) -> None:
        """Records that a request could not be sent to an owner."""
        owner = self._owner_by_instance.get(instance)
        if owner is not None:
            owner.unreachable_until_boot_s = boot_s + UNREACHABLE_AVOID_S

    def count_request_sent(self, instance: str) -> None:
        """Counts a request that was sent to an owner as in flight."""
        self._owner_by_instance[instance].in_flight += 1

    def count_request_ended(self, instance: str) -> None:
        """Removes an ended request from the owner's requests in flight."""
        owner = self._owner_by_instance.get(instance)
        if owner is not None:
            owner.in_flight = max(0, owner.in_flight - 1)

    def choose_owner(
        self, *, excluded: Set[str], affinity: str, boot_s: float
    ) -> str | None:
        """Returns the owner to send a request to; None if none is left.

        Args:
            excluded: Owners that were tried already.
            affinity: Requests with the same non-empty key go to the same
                owner while the set of owners stays the same.
            boot_s: Current time on the boot clock.
        """
        names = [
            name
            for name, owner in self._owner_by_instance.items()
            if owner.slots and name not in excluded
        ]
        if not names:
            return None
        heard = [
            name for name in names if self._has_recent_report(name, boot_s)
        ]
        names = heard or names
        if affinity:
            return max(names, key=lambda name: _affinity_score(affinity, name))
        candidates = [self._candidate(name) for name in names]
        return self._chooser.choose(candidates, self._source).name

    def _candidate(self, name: str) -> _executor_choice.Candidate:
        """Returns an owner with its load, as input for the chooser."""
        owner = self._owner_by_instance[name]
        load = max(float(owner.in_flight), owner.reported_load)
        if name != self._instance:
            load += HOP_PENALTY * owner.slots
        return _executor_choice.Candidate(name, owner.slots, load)

    def _has_recent_report(self, name: str, boot_s: float) -> bool:
        """Returns whether an owner is reachable and reported lately."""
        if name == self._instance:
            return True
        owner = self._owner_by_instance[name]
        if boot_s < owner.unreachable_until_boot_s:
            return False
        return boot_s - owner.reported_boot_s < REPORT_TIMEOUT_S

    def _is_usable(self, owner: str, view: _views.FleetView) -> bool:
        """Returns whether an owner is this instance or a peer that stays."""
        if owner == self._instance:
            return True
        peer = view.peer_by_instance.get(owner)
        return peer is not None and not peer.leaving


def _affinity_score(affinity: str, name: str) -> int:
    """Returns the rendezvous hash score of an owner for an affinity key."""
    return xxhash.xxh3_64_intdigest(f"{affinity}\n{name}".encode())

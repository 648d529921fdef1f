"""Read-only views of the folded state, sent between tasks as messages."""

import dataclasses

from basiljunction.state import _contract


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorView:
    """One executor, its capacity and its owner.

    Attributes:
        executor: Id of the executor.
        machine: The worker it runs on.
        address: Base URL.
        zone: Availability zone.
        slots: Number of requests it runs at once.
        connections: Number of connections it accepts at once.
        owner: Owning instance, or empty.
        epoch: Number that grows with each change of the owner.
        usable_from_boot_s: When the owner may start to use it, on its boot
            clock; later than now only while the guard after a take-over runs.
        busy_until_boot_s: Until then requests of the earlier owner may still
            run on it, so all its slots count as busy.
        leaving: Whether it accepts no new requests.
    """

    executor: str
    machine: str
    address: str
    zone: str
    slots: int
    connections: int
    owner: str
    epoch: int
    usable_from_boot_s: float = 0.0
    busy_until_boot_s: float = 0.0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """Another entry instance, of this or another group.

    Attributes:
        instance: Name of the instance.
        incarnation: Its incarnation.
        zone: Its availability zone.
        group: Its group.
        peer_address: Address for messages between instances, ``ip:port``.
        leaving: Whether it is leaving.
    """

    instance: str
    incarnation: int
    zone: str
    group: str
    peer_address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The part of the folded state that the urgent path needs.

    Attributes:
        instance: This instance.
        incarnation: Its incarnation.
        serial: Number of the view; grows by one with each view of this
            instance.
        next_offset: Offset of the next log entry that it will fold.
        ready: Whether its state is folded up to a known head of the log.
        leaving: Whether this instance is draining.
        contract_by_customer: Contract in force of each customer.
        executor_by_id: Executors of its group, by id.
        peer_by_instance: The other members, of all groups.
    """

    instance: str
    incarnation: int
    serial: int = 0
    next_offset: int = 0
    ready: bool = False
    leaving: bool = False
    contract_by_customer: dict[str, _contract.Contract] = dataclasses.field(
        default_factory=dict
    )
    executor_by_id: dict[str, ExecutorView] = dataclasses.field(
        default_factory=dict
    )
    peer_by_instance: dict[str, PeerView] = dataclasses.field(
        default_factory=dict
    )

"""Durations of leases and heartbeats, and the identity of an instance."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Lease, heartbeat and guard durations, the same on every instance.

    Attributes:
        voucher_s: How long a voucher lasts, from the sending of the heartbeat
            that it answers.
        heartbeat_s: Time between two heartbeats to a group member.
        suspect_after_s: Time without a heartbeat after which a peer is
            suspected.
        guard_drift: Largest relative difference in rate of two clocks.
    """

    voucher_s: float = 1.5
    heartbeat_s: float = 0.3
    suspect_after_s: float = 1.0
    guard_drift: float = 0.05

    @property
    def guard_s(self) -> float:
        """Wait after which an earlier owner's lease has certainly expired."""
        return self.voucher_s * (1.0 + self.guard_drift)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Name, zone, group and addresses of this instance, from its settings.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        group: Group whose machines it may own.
        peer_address: Address for messages between instances, ``ip:port``.
        http_address: Address of its HTTP server.
    """

    instance: str
    zone: str
    group: str
    peer_address: str
    http_address: str

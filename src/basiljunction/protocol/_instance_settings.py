"""What an instance of the job scheduler is told when it starts."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """The platform's store.

    Attributes:
        address: ``ip:port``.
        writes_per_s: Writes that all instances together may make.
        reads_per_s: Reads that all instances together may make.
        record_bytes: Largest record.
        request_bytes: Largest sum of the records of one append.
    """

    address: str
    writes_per_s: float
    reads_per_s: float
    record_bytes: int
    request_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the deployment, in seconds.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL.
        longest_lease_s: Longest lease that an executor grants.
        status_s: How long a finished job has to stay visible.
        gang_timeout_s: How long members of a gang wait for the others.
        stop_timeout_s: Longest time that an executor takes to stop a run.
        harm_s: How long a serving task may be over its target.
    """

    grace_s: float
    longest_lease_s: float
    status_s: float
    gang_timeout_s: float
    stop_timeout_s: float
    harm_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one instance.

    Attributes:
        name: Name of the instance.
        zone: Its availability zone.
        front_listen: ``ip:port`` for callers.
        ready_listen: ``ip:port`` for readiness checks.
        peer_listen: ``ip:port`` for other instances.
        store: The platform's store.
        bounds: Bounds of the deployment.
        heartbeat_s: Time between two reports of an executor, in seconds.
        policy_address: ``ip:port`` of the policy that approves executors;
            empty if there is none.
    """

    name: str
    zone: str
    front_listen: str
    ready_listen: str
    peer_listen: str
    store: StoreSettings
    bounds: Bounds
    heartbeat_s: float
    policy_address: str = ""

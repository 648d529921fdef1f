"""Settings of one instance of the job scheduler, as read at start-up."""

from collections.abc import Mapping
import dataclasses

from basiljunction.state.workload import _provision


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address and limits of the platform's store.

    Attributes:
        address: ``ip:port`` of the store.
        writes_per_s: Writes a second of all instances together.
        reads_per_s: Reads a second of all instances together.
        max_record_bytes: Largest size of a record, in bytes.
        max_append_bytes: Largest total size of the records of one append, in
            bytes.
    """

    address: str
    writes_per_s: float
    reads_per_s: float
    max_record_bytes: int
    max_append_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentTimeLimits:
    """Time limits of the deployment, in seconds.

    Attributes:
        grace_s: Time from SIGTERM to SIGKILL.
        longest_lease_s: Longest lease that an executor grants.
        finished_job_visible_s: How long the state of a finished job can be
            queried.
        gang_timeout_s: How long members of a gang wait for the other members.
        stop_timeout_s: Longest time that an executor needs to stop a run.
        max_over_target_s: How long a serving task may exceed its latency
            target.
    """

    grace_s: float
    longest_lease_s: float
    finished_job_visible_s: float
    gang_timeout_s: float
    stop_timeout_s: float
    max_over_target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BoundOutOfRange:
    """A bound that can be read and that no sum of waits is compared with.

    Attributes:
        setting: Name of the setting.
        value: Its value as given.
        expected: The values that it may have.
    """

    setting: str
    value: str
    expected: str


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Settings of one instance of the job scheduler.

    Attributes:
        name: Name of the instance.
        zone: Availability zone that it runs in.
        front_listen: ``ip:port`` on which it serves clients.
        ready_listen: ``ip:port`` on which it serves readiness checks.
        peer_listen: ``ip:port`` on which it serves other instances.
        store: Address and limits of the platform's store.
        bounds: Time limits of the deployment.
        heartbeat_s: Interval between two reports of an executor, in seconds.
        policy_address: ``ip:port`` of the policy service that approves
            executors; empty for none.
        provision: Link and processor of this instance, as far as known.
        max_open_files: File descriptors of this process; None if the system's
            own limit holds.
        max_memory_bytes: Memory of this process; None if no limit is known.
        bound_s_by_name: Bounds of the deployment's rules, in seconds, as far
            as they are set; the sums of our waits are compared with them.
        bounds_out_of_range: Bounds that are zero or absurdly long.
    """

    name: str
    zone: str
    front_listen: str
    ready_listen: str
    peer_listen: str
    store: StoreSettings
    bounds: DeploymentTimeLimits
    heartbeat_s: float
    policy_address: str = ""
    provision: _provision.Provision = _provision.UNKNOWN
    max_open_files: int | None = None
    max_memory_bytes: int | None = None
    bound_s_by_name: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    bounds_out_of_range: tuple[BoundOutOfRange, ...] = ()

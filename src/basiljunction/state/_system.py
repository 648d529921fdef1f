"""Defines the agreed state that every instance folds from the log."""

import dataclasses

from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _records


@dataclasses.dataclass(slots=True)
class ContractInForce:
    """The contract in force for one customer, and its earlier versions.

    Attributes:
        contract: The contract in force.
        offset: Log offset of the record that put it in force.
        publish_id: The operator's id of that publication.
        operator: The operator that published it.
        accepted_wall_s: Wall time of the record's author at publication.
        earlier: Replaced versions, oldest first; limited in number.
        earlier_publish_ids: Their publish ids, in the same order.
    """

    contract: _contract.Contract
    offset: int
    publish_id: str
    operator: str
    accepted_wall_s: float
    earlier: list[_contract.Contract] = dataclasses.field(default_factory=list)
    earlier_publish_ids: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Member:
    """An entry instance that has joined its group and has not been removed.

    Electors are members whose vouchers (answers to heartbeats) let this member
    act as owner for a limited time. Each is written ``instance/incarnation``.

    Attributes:
        instance: Its name.
        incarnation: Number of this start of the instance; rises each time.
        zone: Its availability zone.
        group: The group whose machines it may own.
        peer_address: Where it listens for other instances, ``ip:port``.
        http_address: Where it listens for callers.
        leaving: Whether it drains and is assigned no more machines.
        electors: Electors whose vouchers count; set only by the member itself.
        suspecting: Electors that stopped vouching for it; sorted, so that
            equal states are encoded alike.
    """

    instance: str
    incarnation: int
    zone: str
    group: str
    peer_address: str
    http_address: str
    leaving: bool = False
    electors: tuple[str, ...] = ()
    suspecting: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Machine:
    """A registered worker with its executor, and the instance that owns both.

    Attributes:
        registered: Its newest registration: addresses and capacity.
        owner: Owning instance, or empty.
        owner_incarnation: Incarnation of the owner.
        epoch: Rises with every change of owner; claims and assignments that
            name an earlier epoch are rejected.
        assigned_offset: Log offset of the record that set the owner; -1 if
            there was none.
        guarded: Whether the previous owner may still act for the guard time.
        in_flight: Whether requests of the previous owner may still run on
            the executor.
    """

    registered: _records.MachineRegistered
    owner: str = ""
    owner_incarnation: int = 0
    epoch: int = 0
    assigned_offset: int = -1
    guarded: bool = False
    in_flight: bool = False


@dataclasses.dataclass(slots=True)
class TaskStatus:
    """The agreed state of one task and of its newest attempt.

    Attributes:
        spec: The task as submitted.
        job_id: Its job.
        phase: Pending, claimed, completed or ended.
        attempt: Number of the newest claimed attempt; 0 before the first.
        machine: Worker of the claimed attempt, or empty.
        checkpoint: Reference of the newest checkpoint, or empty.
        progress_s: Seconds of work that the checkpoint holds.
        failed_machines: Workers on which an attempt failed; limited in number.
        reason: Why it ended without completing, or empty.
        changed_wall_s: Wall time of the newest record that changed it.
    """

    spec: _job.TaskSpec
    job_id: str
    phase: _job.TaskPhase = _job.TaskPhase.PENDING
    attempt: int = 0
    machine: str = ""
    checkpoint: str = ""
    progress_s: float = 0.0
    failed_machines: list[str] = dataclasses.field(default_factory=list)
    reason: str = ""
    changed_wall_s: float = 0.0


@dataclasses.dataclass(slots=True)
class JobStatus:
    """The agreed state of one job.

    Attributes:
        job: The job as submitted.
        open_tasks: Number of tasks neither completed nor ended.
        cancelled: Whether the caller cancelled it.
        changed_wall_s: Wall time of the newest record that changed it.
        started_gangs: Gangs of which all open tasks were claimed at once, and
            of which some are still claimed.
    """

    job: _job.Job
    open_tasks: int
    cancelled: bool = False
    changed_wall_s: float = 0.0
    started_gangs: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class CustomerUsage:
    """Declared demand of one customer's claimed tasks, counted for the quota.

    Attributes:
        millicores: Thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
        tasks: Number of claimed tasks.
    """

    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    tasks: int = 0


@dataclasses.dataclass(slots=True)
class RequestIntent:
    """A recorded intent, which reserves an idempotency key for one request.

    Attributes:
        request_id: The non-idempotent request that holds the key.
        author: The instance that recorded the intent.
        expires_wall_s: Wall time at which the intent expires.
    """

    request_id: str
    author: str
    expires_wall_s: float


@dataclasses.dataclass(slots=True)
class SnapshotProgress:
    """Progress of snapshots: the newest finished one and the open one.

    A snapshot is a copy of this state in the log. The open one is being
    written. Times are on the fold's clock.

    Attributes:
        finished_offset: Log offset that the newest finished snapshot covers
            (exclusive); 0 for none.
        finished_wall_s: When that snapshot was begun; before the first, when
            the first entry was folded.
        open_id: Id of the open snapshot, or empty.
        open_offset: Log offset that the open snapshot covers (exclusive).
        open_begun_wall_s: When the open snapshot was begun.
        open_changed_wall_s: When its newest record was folded.
        next_index: Index of its next chunk.
    """

    finished_offset: int = 0
    finished_wall_s: float = 0.0
    open_id: str = ""
    open_offset: int = 0
    open_begun_wall_s: float = 0.0
    open_changed_wall_s: float = 0.0
    next_index: int = 0


@dataclasses.dataclass(slots=True)
class SystemState:
    """The whole state on which instances agree, as of ``next_offset``.

    Attributes:
        next_offset: Log offset of the next entry to fold.
        wall_s: The fold's own clock; see ``_fold_clock``.
        wall_s_by_author: Highest wall time of each author's batches.
        sequence_by_author: Incarnation and highest folded sequence for each
            author name, so that an entry appended twice changes nothing.
        contract_by_customer: Contracts in force.
        member_by_instance: Current members of all groups.
        incarnation_by_instance: Newest incarnation of each instance, member
            or not.
        address_by_instance: Where the newest incarnation of each instance,
            member or not, listens for peers.
        machine_by_id: Registered machines.
        job_by_id: Open jobs, and ended ones until they are deleted.
        task_by_id: Tasks of these jobs.
        usage_by_customer: Declared demand of each customer's claimed tasks.
        intent_by_key: Intents by customer and idempotency key, oldest first.
        ended_wall_s_by_job: When each job without open tasks ended, in the
            order in which they ended; the oldest are deleted.
        snapshots: Progress of the snapshots of this state.
    """

    next_offset: int = 0
    wall_s: float = 0.0
    wall_s_by_author: dict[str, float] = dataclasses.field(default_factory=dict)
    sequence_by_author: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    contract_by_customer: dict[str, ContractInForce] = dataclasses.field(
        default_factory=dict
    )
    member_by_instance: dict[str, Member] = dataclasses.field(
        default_factory=dict
    )
    incarnation_by_instance: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    address_by_instance: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    machine_by_id: dict[str, Machine] = dataclasses.field(default_factory=dict)
    job_by_id: dict[str, JobStatus] = dataclasses.field(default_factory=dict)
    task_by_id: dict[str, TaskStatus] = dataclasses.field(default_factory=dict)
    usage_by_customer: dict[str, CustomerUsage] = dataclasses.field(
        default_factory=dict
    )
    intent_by_key: dict[str, RequestIntent] = dataclasses.field(
        default_factory=dict
    )
    ended_wall_s_by_job: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    snapshots: SnapshotProgress = dataclasses.field(
        default_factory=SnapshotProgress
    )

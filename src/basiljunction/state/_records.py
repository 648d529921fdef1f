"""Defines the records of the platform's log, one frozen class per kind.

Each record is a proposal: the fold accepts or rejects it, see ``_fold``.
"""

import dataclasses

from basiljunction.state import _contract
from basiljunction.state import _job


@dataclasses.dataclass(frozen=True, slots=True)
class ContractPublished:
    """An operator publishes the first contract of a customer or an amendment.

    Accepted only if the contract in force has version ``base_version`` and
    ``contract.version`` is one more.

    Attributes:
        contract: The new contract.
        base_version: Version of the contract it replaces; 0 for none.
        operator: Name of the operator.
        publish_id: The operator's id of this publication; a publication
            whose id was already accepted is rejected as a duplicate.
    """

    contract: _contract.Contract
    base_version: int
    operator: str
    publish_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceJoined:
    """An entry instance joins its group with a new incarnation.

    Attributes:
        instance: The instance's name.
        incarnation: Number of this start of the instance; rises each time.
        zone: Availability zone.
        group: The group whose machines the instance may own.
        peer_address: Where it listens for other instances, ``ip:port``.
        http_address: Where it listens for callers.
    """

    instance: str
    incarnation: int
    zone: str
    group: str
    peer_address: str
    http_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLeaving:
    """An entry instance starts to drain and is assigned no more machines.

    Attributes:
        instance: The instance that drains.
        incarnation: Its incarnation.
    """

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLeft:
    """A drained entry instance leaves its group and gives up every machine.

    Attributes:
        instance: The instance that leaves, which is also the author.
        incarnation: Its incarnation.
    """

    instance: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ElectorsChanged:
    """A member sets the electors whose vouchers let it act from now on.

    Accepted only from the member itself, and only if the electors are current
    members of its group and include itself.

    Attributes:
        instance: The member.
        incarnation: Its incarnation.
        electors: Each as ``instance/incarnation``.
    """

    instance: str
    incarnation: int
    electors: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """The author has stopped vouching for an instance that may have failed.

    Attributes:
        suspect: The suspected instance, in the author's group.
        suspect_incarnation: Its incarnation.
    """

    suspect: str
    suspect_incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SuspicionWithdrawn:
    """The author withdraws its suspicion of an instance and may vouch again.

    Attributes:
        suspect: The instance that was suspected.
        suspect_incarnation: Its incarnation.
    """

    suspect: str
    suspect_incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TakenOver:
    """A take-over: a suspected instance loses membership and its machines.

    Accepted only if enough electors suspect the instance. Members of its group
    may then claim its machines.

    Attributes:
        deposed: The instance that is removed.
        deposed_incarnation: Its incarnation.
    """

    deposed: str
    deposed_incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class MachineRegistered:
    """A machine (a worker and the executor on it) is added or changed.

    Attributes:
        machine: The worker's id.
        revision: 1 at first; each change adds one.
        group: Group of entry instances that may own it.
        zone: Availability zone.
        rack: Rack within the zone.
        worker_address: Base URL of the worker, or empty.
        executor: Id of the executor on it, or empty.
        executor_address: Base URL of the executor, or empty.
        slots: Maximum requests that the executor runs at once.
        connections: Maximum connections that the executor accepts at once.
        millicores: Capacity for batch tasks, in thousandths of a core.
        memory_mib: Memory for batch tasks in MiB.
        accelerators: Whole accelerators.
    """

    machine: str
    revision: int
    group: str
    zone: str
    rack: str
    worker_address: str
    executor: str
    executor_address: str
    slots: int
    connections: int
    millicores: int
    memory_mib: int
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class MachineRetired:
    """A machine is removed for good; accepted only from its owner.

    Attributes:
        machine: The machine's id.
    """

    machine: str


@dataclasses.dataclass(frozen=True, slots=True)
class MachineAssigned:
    """A machine gets an owner, by a claim or by a hand-over from its owner.

    Accepted only if the machine's epoch is ``base_epoch`` and the author owns
    the machine, or the machine has no owner and the author claims it for
    itself.

    Attributes:
        machine: The machine.
        owner: Its new owner.
        owner_incarnation: Incarnation of the new owner.
        base_epoch: The machine's epoch, known to the author, that the record
            applies to; each change of owner raises the epoch.
        in_flight: Whether requests of the author may still run on the
            machine's executor.
    """

    machine: str
    owner: str
    owner_incarnation: int
    base_epoch: int
    in_flight: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A caller submits a job.

    Attributes:
        job: The job with its tasks.
    """

    job: _job.Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """A caller cancels a job; its running tasks are stopped.

    Attributes:
        job_id: The job.
        customer: The caller's customer, which must own the job.
    """

    job_id: str
    customer: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskClaimed:
    """The owner of a worker claims a task for it, which starts an attempt.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt, from 1; one above the last.
        machine: The worker that runs the attempt.
        epoch: The worker's epoch known to the author; a stale one is
            rejected.
    """

    task_id: str
    attempt: int
    machine: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEvicted:
    """A claimed attempt was stopped with a checkpoint; the task is pending.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt.
        checkpoint: Reference of the checkpoint to resume from.
        progress_s: Seconds of work that the checkpoint holds.
    """

    task_id: str
    attempt: int
    checkpoint: str
    progress_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReleased:
    """A claimed attempt certainly does not run; the task is pending.

    The task keeps its last checkpoint, and no failure is counted.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt.
    """

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """A claimed attempt failed, or its lease has certainly expired.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt.
        machine: The worker on which it failed.
        detail: Description of the failure.
    """

    task_id: str
    attempt: int
    machine: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCompleted:
    """A claimed attempt finished the task's work.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt.
        run_time_s: Measured run time in seconds.
    """

    task_id: str
    attempt: int
    run_time_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnded:
    """A task ends without completing.

    Attributes:
        task_id: The task.
        attempt: Number of its newest attempt; 0 if it was never claimed.
        reason: Code of the reason, a value of ``_outcomes.Reason``.
        detail: Description of the cause.
    """

    task_id: str
    attempt: int
    reason: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class IntentRecorded:
    """Reserves an idempotency key before a non-idempotent request is sent.

    Rejected while another intent holds the key, so that the request is not run
    twice.

    Attributes:
        customer: The caller's customer.
        key: The caller's idempotency key.
        request_id: Identifies the request.
        expires_wall_s: Wall time at which the intent expires.
    """

    customer: str
    key: str
    request_id: str
    expires_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IntentReleased:
    """Frees an idempotency key whose request certainly reached no executor.

    Accepted only from the instance that recorded the intent.

    Attributes:
        customer: The caller's customer.
        key: The caller's idempotency key.
        request_id: The request of the recorded intent.
    """

    customer: str
    key: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotBegun:
    """An instance begins a snapshot of the state as of just after this entry.

    Accepted only if the newest finished snapshot covers ``base_offset`` and no
    other snapshot is being written, or that one has stalled.

    Attributes:
        snapshot_id: Identifies the snapshot.
        base_offset: Offset up to which the newest finished snapshot covers
            the log; 0 if there is none.
    """

    snapshot_id: str
    base_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One chunk of a snapshot; any instance may append the next one.

    Attributes:
        snapshot_id: The snapshot.
        index: Position of the chunk, from 0 without gaps.
        checksum: Checksum of the payload.
        payload: Part of the encoded state.
    """

    snapshot_id: str
    index: int
    checksum: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotFinished:
    """All chunks of a snapshot are in the log.

    Attributes:
        snapshot_id: The snapshot.
        chunks: Number of its chunks.
        checksum: Checksum of all payloads together.
    """

    snapshot_id: str
    chunks: int
    checksum: int


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """Stands for a record that could not be decoded; always rejected.

    Every instance rejects it in the same way, so their states stay equal.

    Attributes:
        detail: Description of the decoding error.
    """

    detail: str


Record = (
    ContractPublished
    | InstanceJoined
    | InstanceLeaving
    | InstanceLeft
    | Suspected
    | SuspicionWithdrawn
    | TakenOver
    | MachineRegistered
    | MachineRetired
    | MachineAssigned
    | JobSubmitted
    | JobCancelled
    | TaskClaimed
    | TaskEvicted
    | TaskReleased
    | TaskFailed
    | TaskCompleted
    | TaskEnded
    | IntentRecorded
    | IntentReleased
    | SnapshotBegun
    | SnapshotChunk
    | SnapshotFinished
    | Undecodable
    | ElectorsChanged
)
"""Any record of the log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Author:
    """One incarnation of an entry instance or of an operator's client.

    Attributes:
        name: Instance or client name.
        incarnation: Number of this start of the process; rises each time.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBatch:
    """Records of one author that are appended to the log together.

    Attributes:
        author: The incarnation that appended them.
        first_sequence: The author's sequence number of the first record; each
            further record adds one.
        wall_s: The author's wall time at the first try to append.
        records: The records in order.
    """

    author: Author
    first_sequence: int
    wall_s: float
    records: tuple[Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A batch of records at its offset in the log.

    Attributes:
        offset: Position in the log, from 0.
        batch: The records with their author.
    """

    offset: int
    batch: RecordBatch

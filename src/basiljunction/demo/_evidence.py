"""Evidence of one run: stand-ins' journals and clients' observations.

Nothing here comes from the system's own counters, so the invariants are
checked independently of the system under test.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """A worker and the executor on it, as listed by the platform.

    Attributes:
        worker: Name of the worker.
        executor: Name of the executor.
        zone: Availability zone.
        rack: Rack within the zone.
        slots: Most requests that the executor runs concurrently.
        connections: Most connections that the executor accepts.
        millicores: Cores, in thousandths.
        memory_mib: Memory in MiB.
        accelerators: Number of whole accelerators.
        leaving_wall_s: When the platform's list first showed it as leaving,
            in wall-clock seconds, or None.
    """

    worker: str
    executor: str
    zone: str
    rack: str
    slots: int
    connections: int
    millicores: int
    memory_mib: int
    accelerators: int
    leaving_wall_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorEvent:
    """One event in an executor's journal.

    Attributes:
        wall_s: When it took effect, in wall-clock seconds.
        executor: Name of the executor.
        event: ``begin``, ``end`` or ``refused``.
        reason: Why the request was refused, or empty.
        slots_in_use: Slots in use after the event.
        connections_in_use: Connections in use after the event.
        customer: Customer of the request, as sent to the executor.
        idempotency_key: Key of a non-idempotent request, or empty.
        digest: SHA-256 of the request's body.
    """

    wall_s: float
    executor: str
    event: str
    reason: str
    slots_in_use: int
    connections_in_use: int
    customer: str
    idempotency_key: str
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEvent:
    """One event in a worker's journal.

    Attributes:
        wall_s: When it took effect, in wall-clock seconds.
        worker: Name of the worker.
        event: ``start``, ``end``, ``refused``, ``checkpoint``, ``throttle``.
        reason: Why a start was refused, or empty.
        task_id: ID of the task.
        attempt: Number of the attempt.
        customer: Customer of the task, as sent to the worker.
        class_name: Batch class of the task, as sent to the worker.
        state: State of the attempt after the event.
        resumed_from: Checkpoint that the attempt started from, or empty.
        checkpoint: Newest checkpoint of the attempt.
        millicores: Cores of the task, in thousandths.
        memory_mib: Memory of the task, in MiB.
        accelerators: Accelerators of the task.
        millicores_in_use: Cores in use at the worker after the event.
        memory_mib_in_use: Memory in use at the worker after the event.
        accelerators_in_use: Accelerators in use at the worker after the event.
    """

    wall_s: float
    worker: str
    event: str
    reason: str
    task_id: str
    attempt: int
    customer: str
    class_name: str
    state: str
    resumed_from: str
    checkpoint: str
    millicores: int
    memory_mib: int
    accelerators: int
    millicores_in_use: int
    memory_mib_in_use: int
    accelerators_in_use: int


class RequestOutcome(enum.StrEnum):
    """What the caller learned about one attempt of a request.

    Attributes:
        COMPLETED: A complete answer came.
        NOT_RUN: The answer says that the request did not run.
        UNKNOWN: The answer says that the request may have run.
        CUT: The connection ended or timed out without an answer.
    """

    COMPLETED = "completed"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    CUT = "cut"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAttempt:
    """One attempt of a request, as its caller observed it.

    Attributes:
        customer: Customer of the caller.
        class_name: Latency-critical class of the request.
        instance: Entry instance that the balancer chose.
        idempotent: Whether the class is idempotent.
        deadline_s: Longest time until the answer, in seconds.
        sent_wall_s: When it was sent, in wall-clock seconds.
        done_wall_s: When the answer came or the connection ended.
        digest: SHA-256 of the body sent.
        outcome: What the caller learned; ``CUT`` if no answer came.
        status: HTTP status, or 0 without an answer.
        is_intact: Whether digest and customer in the answer match the request.
        step: Processing step named by an answer that is not a success.
        peer: Peer named by an answer that is not a success.
        reason: Reason named by an answer that is not a success.
    """

    customer: str
    class_name: str
    instance: str
    idempotent: bool
    deadline_s: float
    sent_wall_s: float
    done_wall_s: float
    digest: str
    outcome: RequestOutcome
    status: int
    is_intact: bool
    step: str
    peer: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ContractVersion:
    """A contract version that an instance accepted or had in force.

    Attributes:
        instance: Instance that accepted it or reported it in force.
        customer: Customer of the contract.
        version: Version number.
        wall_s: When it was accepted, or when the instance was queried.
    """

    instance: str
    customer: str
    version: int
    wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FinalJobStatus:
    """Status of an accepted job at the end of the run.

    Watches have been cancelled by then.

    Attributes:
        job_id: ID of the job.
        customer: Customer that submitted it.
        is_known: Whether the system still knows the job.
        unfinished_task_count: Tasks that neither completed nor ended.
        ended_without_reason_count: Tasks that ended without a reason.
    """

    job_id: str
    customer: str
    is_known: bool
    unfinished_task_count: int
    ended_without_reason_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceEnd:
    """Records that an entry instance was shut down or killed.

    Attributes:
        instance: Name of the instance.
        graceful: Whether it was sent SIGTERM; otherwise it was killed.
        wall_s: When the signal was sent, in wall-clock seconds.
        exited_wall_s: When its process had exited; a replacement of the same
            name may serve from then on.
        exit_code: Exit code, or None if it did not exit in time.
    """

    instance: str
    graceful: bool
    wall_s: float
    exited_wall_s: float
    exit_code: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class InstancePause:
    """A period in which the process of an entry instance was suspended.

    Attributes:
        instance: Name of the instance.
        begin_wall_s: When it was suspended, in wall-clock seconds.
        end_wall_s: When it continued.
    """

    instance: str
    begin_wall_s: float
    end_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The most resources that a customer's tasks may use at once.

    Attributes:
        millicores: Cores, in thousandths.
        memory_mib: Memory in MiB.
        accelerators: Number of whole accelerators.
        tasks: Number of running tasks.
    """

    millicores: int
    memory_mib: int
    accelerators: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """All evidence of one run of one deployment.

    Attributes:
        machines: Workers and executors.
        executor_events: Events of all executors, by time.
        worker_events: Events of all workers, by time.
        answers: Every attempt of every request.
        accepted_versions: Contract versions that instances accepted.
        observed_versions: Contract versions that instances had in force, by
            time.
        jobs: Status of accepted jobs at the end of the run.
        ends: Entry instances shut down or killed during the run.
        pauses: Periods in which entry instances were suspended.
        quota_by_customer: Resource limits of the contracts.
        log_outages: Start and end of log outages, in wall-clock seconds.
    """

    machines: tuple[Machine, ...] = ()
    executor_events: tuple[ExecutorEvent, ...] = ()
    worker_events: tuple[WorkerEvent, ...] = ()
    answers: tuple[RequestAttempt, ...] = ()
    accepted_versions: tuple[ContractVersion, ...] = ()
    observed_versions: tuple[ContractVersion, ...] = ()
    jobs: tuple[FinalJobStatus, ...] = ()
    ends: tuple[InstanceEnd, ...] = ()
    pauses: tuple[InstancePause, ...] = ()
    quota_by_customer: dict[str, Quota] = dataclasses.field(
        default_factory=dict
    )
    log_outages: tuple[tuple[float, float], ...] = ()

"""Calls of the batch core to workers, and the events with their results."""

import dataclasses
import enum

from basiljunction.state import _job
from basiljunction.state import _outcomes


class WorkerTaskState(enum.StrEnum):
    """State of one attempt as its worker reports it.

    Attributes:
        RUNNING: It runs.
        COMPLETED: It finished its work.
        FAILED: It ended with an error.
        STOPPED: It was stopped by a call.
        LAPSED: The worker ended it because its lease expired.
        UNKNOWN: The worker has no attempt of this number.
    """

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRef:
    """Identifies one attempt at one task.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt, which grows with each claim.
    """

    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """A worker's report on one attempt.

    The measured usage lags behind.

    Attributes:
        ref: The attempt.
        state: Its state on the worker.
        checkpoint: Reference of its latest checkpoint, or empty.
        progress_s: Seconds of work that the checkpoint holds, or for a running
            task the seconds of work done.
        millicores_used: Measured thousandths of a core.
        memory_mib_used: Measured memory in MiB.
        slowdown: Measured run time over undisturbed run time; 1 if undisturbed.
        detail: Readable explanation of the state.
    """

    ref: TaskRef
    state: WorkerTaskState
    checkpoint: str = ""
    progress_s: float = 0.0
    millicores_used: int = 0
    memory_mib_used: int = 0
    slowdown: float = 1.0
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Request to start an attempt; no effect if it runs already.

    Attributes:
        ref: The attempt.
        demand: Capacity that it may use.
        run_time_s: Declared run time in seconds.
        checkpoint: Reference of the checkpoint to resume from, or empty.
        progress_s: Seconds of work that the checkpoint holds.
        payload: What the task has to run, as submitted.
        lease_s: Length of its lease in seconds.
        customer: Customer who submitted the job.
        class_name: Name of the job's class of work.
    """

    ref: TaskRef
    demand: _job.ResourceDemand
    run_time_s: float
    checkpoint: str
    progress_s: float
    payload: str
    lease_s: float
    customer: str
    class_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class RenewLeases:
    """Request to renew the leases of attempts on one worker and report them.

    Attributes:
        refs: The attempts.
        lease_s: Length of the new leases in seconds.
    """

    refs: tuple[TaskRef, ...]
    lease_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Request to run an attempt at a fraction of its full speed.

    Attributes:
        ref: The attempt.
        fraction: Fraction of full speed; 1 ends the throttling.
    """

    ref: TaskRef
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Request to save a checkpoint of a running attempt.

    Attributes:
        ref: The attempt.
    """

    ref: TaskRef


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Request to stop an attempt; the worker then refuses a late start of it.

    Attributes:
        ref: The attempt.
    """

    ref: TaskRef


@dataclasses.dataclass(frozen=True, slots=True)
class ListTasks:
    """Request to report all attempts on a worker without renewing leases."""


WorkerRequest = (
    StartTask
    | RenewLeases
    | ThrottleTask
    | CheckpointTask
    | StopTask
    | ListTasks
)
"""Any request to a worker."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallWorker:
    """Action: send a request to a worker.

    The result comes back as a ``WorkerAnswered``, a ``WorkerNotCalled`` or a
    ``WorkerCallLost``.

    Attributes:
        machine: Id of the worker.
        address: Its base URL.
        request: The request.
        not_after_boot_s: Boot time after which the call must not be sent. If
            that time passes while it is being sent, the result is
            ``WorkerCallLost``.
    """

    machine: str
    address: str
    request: WorkerRequest
    not_after_boot_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """Event: a worker's complete answer to a request.

    Attributes:
        machine: Id of the worker.
        request: The request.
        reports: Reports on attempts.
        refusal: Why the worker refused the request, or empty if it carried it
            out.
    """

    machine: str
    request: WorkerRequest
    reports: tuple[TaskReport, ...] = ()
    refusal: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerNotCalled:
    """Event: a request that certainly did not reach the worker.

    Attributes:
        machine: Id of the worker.
        request: The request.
        outcome: Reason why it was not sent.
    """

    machine: str
    request: WorkerRequest
    outcome: _outcomes.NotRun


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCallLost:
    """Event: a request without a complete answer, which may have taken effect.

    Only the worker knows whether it did.

    Attributes:
        machine: Id of the worker.
        request: The request.
        outcome: Reason why the result is unknown.
    """

    machine: str
    request: WorkerRequest
    outcome: _outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLatencyMeasured:
    """Event: measured latency of urgent work on one machine.

    Attributes:
        machine: Id of the worker on the executor's machine.
        customer: Customer who sent the requests.
        class_name: Class of the requests.
        latency_ratio: Measured 99th percentile of latency over the deadline of
            the class.
        slowdown: Measured time over the time on an undisturbed machine.
    """

    machine: str
    customer: str
    class_name: str
    latency_ratio: float
    slowdown: float

"""Defines batch jobs and their tasks as callers submit them."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class ResourceDemand:
    """Resources that one task needs on a worker.

    Attributes:
        millicores: Thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
    """

    millicores: int
    memory_mib: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task of a job, as the caller declared it.

    Attributes:
        name: Name, unique within the job.
        demand: Declared resources; may be far from the actual use.
        run_time_s: Declared run time; may be far from the actual one.
        after: Names of the tasks that must complete first.
        gang: Name of the task's gang, or empty. All tasks of a job with the
            same gang start together.
        payload: Opaque input, passed to the worker.
    """

    name: str
    demand: ResourceDemand
    run_time_s: float
    after: tuple[str, ...] = ()
    gang: str = ""
    payload: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A batch job: tasks of one customer that are submitted together.

    Attributes:
        job_id: Unique among all jobs; the caller's idempotency key.
        customer: The customer that submitted it.
        class_name: Class of work in the customer's contract.
        tasks: The job's tasks.
        submitted_wall_s: Wall time of submission, in seconds since the Unix
            epoch.
    """

    job_id: str
    customer: str
    class_name: str
    tasks: tuple[TaskSpec, ...]
    submitted_wall_s: float


class TaskPhase(enum.StrEnum):
    """Phase in the life cycle of a task.

    PENDING waits for a worker, CLAIMED is assigned to one, COMPLETED finished
    its work, and ENDED stopped without finishing (failed, cancelled or never
    startable).
    """

    PENDING = "pending"
    CLAIMED = "claimed"
    COMPLETED = "completed"
    ENDED = "ended"


def task_id(job_id: str, task_name: str) -> str:
    """Returns the id of a task, unique among the tasks of all jobs."""
    return f"{job_id}/{task_name}"

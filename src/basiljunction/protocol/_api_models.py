"""Pydantic models of the answers of the HTTP API."""

import pydantic

from basiljunction.protocol import _contract_document


class _Answer(pydantic.BaseModel):
    """Base of all answers; unknown fields are ignored when parsing."""

    model_config = pydantic.ConfigDict(frozen=True)


class LimitAnswer(_Answer):
    """One limit that is enforced, and how it follows from the contract."""

    name: str = pydantic.Field(description="Name of the limited quantity.")
    class_name: str = pydantic.Field(
        description="Class that it applies to; empty for all classes."
    )
    value: float | str = pydantic.Field(description="Value of the limit.")
    unit: str = pydantic.Field(description="Unit of the value.")
    derivation: str = pydantic.Field(
        description="How the value was derived from the contract."
    )


class VersionAnswer(_Answer):
    """One version of a customer's contract.

    Attributes:
        version: Version number, from 1.
        document: The contract as it was published.
    """

    version: int
    document: _contract_document.ContractDocument


class ContractAnswer(_Answer):
    """A customer's contract in force.

    Attributes:
        customer: Name of the customer.
        document: The contract as it was published.
    """

    customer: str
    version: int = pydantic.Field(description="Version in force.")
    operator: str = pydantic.Field(description="Operator who published it.")
    publish_id: str = pydantic.Field(
        description="Id of the publish call, unique to this version."
    )
    accepted_wall_s: float = pydantic.Field(
        description="Unix time of its append to the log, in seconds."
    )
    document: _contract_document.ContractDocument
    limits: tuple[LimitAnswer, ...] = pydantic.Field(
        default=(),
        description="With include=limits: limits that follow from it.",
    )
    history: tuple[VersionAnswer, ...] = pydantic.Field(
        default=(),
        description="With include=history: all versions, oldest first.",
    )


class PublishAnswer(_Answer):
    """Confirms that a contract version was accepted, exactly once."""

    customer: str
    version: int = pydantic.Field(
        description="Version number that the contract received."
    )
    publish_id: str = pydantic.Field(
        description="Id with which to repeat the call if an answer is lost."
    )
    repeated: bool = pydantic.Field(
        description="Whether an earlier call with this id was already accepted."
    )


class TaskAnswer(_Answer):
    """State of one task of a job.

    Attributes:
        task_id: Id of the task, unique over all jobs.
        name: Name of the task within its job.
    """

    task_id: str
    name: str
    phase: str = pydantic.Field(
        description="pending, claimed, completed or ended."
    )
    attempt: int = pydantic.Field(
        description="Number of the newest claimed attempt."
    )
    machine: str = pydantic.Field(
        description="Worker that runs it; empty unless claimed."
    )
    checkpoint: str = pydantic.Field(
        description="Newest checkpoint; empty for none."
    )
    progress_s: float = pydantic.Field(
        description="Seconds of work saved in the checkpoint."
    )
    reason: str = pydantic.Field(
        description="Why the task ended; empty if it has not."
    )


class JobSummary(_Answer):
    """State of a job, without its tasks.

    Attributes:
        job_id: Id of the job: customer, a dot, and the job's name.
        customer: Customer that submitted the job.
        class_name: Batch class of the customer's contract.
        cancelled: Whether the job was cancelled.
        tasks_by_phase: Number of tasks by phase.
    """

    job_id: str
    customer: str
    class_name: str
    submitted_wall_s: float = pydantic.Field(
        description="Unix time of submission, in seconds."
    )
    cancelled: bool
    open_tasks: int = pydantic.Field(
        description="Tasks neither completed nor ended."
    )
    tasks_by_phase: dict[str, int]


class JobAnswer(JobSummary):
    """State of a job, with its tasks.

    Attributes:
        tasks: The job's tasks, in the order of submission.
    """

    tasks: tuple[TaskAnswer, ...]


class JobListAnswer(_Answer):
    """Jobs of a customer, newest first.

    Attributes:
        jobs: The jobs, without their tasks.
    """

    jobs: tuple[JobSummary, ...]
    truncated: bool = pydantic.Field(
        description="Whether more jobs exist than the limit allows."
    )


class SubmitAnswer(_Answer):
    """Confirms that a job was accepted, exactly once.

    Attributes:
        job_id: Id of the job, for later calls.
    """

    job_id: str
    repeated: bool = pydantic.Field(
        description="Whether the same job was already accepted."
    )


class MemberAnswer(_Answer):
    """An entry instance that has joined the group of instances.

    Attributes:
        instance: Name of the instance.
        incarnation: Number of this run of its process.
        zone: Availability zone.
        group: Group of instances that share the same machines.
        http_address: IP number and port for callers.
        leaving: Whether the instance is shutting down.
    """

    instance: str
    incarnation: int
    zone: str
    group: str
    http_address: str
    leaving: bool


class StatusAnswer(_Answer):
    """Status of one entry instance, as that instance sees it.

    Attributes:
        instance: Name of the instance.
        incarnation: Number of this run of its process.
        zone: Availability zone.
        group: Group of instances that share the same machines.
        leaving: Whether the instance is shutting down.
        members: Entry instances that have joined.
        running_tasks: Claimed tasks of all instances.
        pending_tasks: Tasks of all instances that wait for a machine.
    """

    instance: str
    incarnation: int
    zone: str
    group: str
    ready: bool = pydantic.Field(
        description="Whether it accepts new requests and jobs."
    )
    leaving: bool
    next_offset: int = pydantic.Field(
        description="Offset of the next log entry that it reads."
    )
    version_by_customer: dict[str, int] = pydantic.Field(
        description="Contract versions in force on this instance."
    )
    members: tuple[MemberAnswer, ...]
    owned_machines: int = pydantic.Field(
        description="Machines that this instance owns."
    )
    running_tasks: int
    pending_tasks: int


class ExplainLineAnswer(_Answer):
    """One logged decision about a task, job or request.

    Attributes:
        decision: Name of the decision.
    """

    wall_s: float = pydantic.Field(
        description="Unix time of the decision, in seconds."
    )
    instance: str = pydantic.Field(description="Instance that decided.")
    decision: str
    detail: str = pydantic.Field(
        description="State on which the decision was based."
    )


class ExplainAnswer(_Answer):
    """All decisions about a task, job or request, oldest first.

    Attributes:
        subject: Id of the task, job or request.
        lines: The decisions.
    """

    subject: str
    lines: tuple[ExplainLineAnswer, ...]


class HealthAnswer(_Answer):
    """Result of a health or readiness check.

    Attributes:
        status: ``alive`` for a health check, else the readiness state.
    """

    status: str

"""Job documents: models, parsing, conversion to jobs, and job ids."""

import graphlib

import pydantic

from basiljunction.protocol import _jsonc
from basiljunction.protocol import _model
from basiljunction.state import _job

MAX_TASKS_PER_JOB = 2000
"""Largest number of tasks of a job."""
MAX_PAYLOAD_CHARS = 16_384
"""Longest payload of a task, in characters."""
MAX_RUN_TIME_S = 30 * 86_400.0
"""Longest expected run time of a task, in seconds: 30 days."""
MAX_DEMAND_COUNT = 10_000_000
"""Upper bound of a task's millicores and of its memory in MiB."""

ID_SEPARATOR = "."
"""Separates the customer from the rest of an id; no name contains it."""


class DemandDocument(_model.StrictModel):
    """Resources that one task needs on a worker."""

    millicores: int = pydantic.Field(
        gt=0, le=MAX_DEMAND_COUNT, description="Thousandths of a core."
    )
    memory_mib: int = pydantic.Field(
        gt=0, le=MAX_DEMAND_COUNT, description="Memory in MiB."
    )
    accelerators: int = pydantic.Field(
        default=0, ge=0, le=1024, description="Whole accelerators."
    )


class TaskDocument(_model.StrictModel):
    """One task of a batch job.

    Attributes:
        demand: Resources that the task needs on a worker.
    """

    name: _model.Name = pydantic.Field(description="Name within the job.")
    demand: DemandDocument
    run_time_s: float = pydantic.Field(
        gt=0, le=MAX_RUN_TIME_S, description="Expected run time in seconds."
    )
    after: tuple[_model.Name, ...] = pydantic.Field(
        default=(),
        description="Names of tasks that must complete before this one starts.",
    )
    gang: str = pydantic.Field(
        default="",
        pattern="^[a-z0-9-]{0,63}$",
        description="Gang whose tasks start together; empty for none.",
    )
    payload: str = pydantic.Field(
        default="",
        max_length=MAX_PAYLOAD_CHARS,
        description="Input of the task, passed to it unchanged.",
    )


class JobDocument(_model.StrictModel):
    """A batch job as its caller submits it."""

    name: _model.Name = pydantic.Field(
        description="Name of the job; submitting it twice creates it once."
    )
    class_name: _model.Name = pydantic.Field(
        description="Batch class of the customer's contract."
    )
    tasks: tuple[TaskDocument, ...] = pydantic.Field(
        min_length=1,
        max_length=MAX_TASKS_PER_JOB,
        description="Tasks of the job.",
    )

    @pydantic.field_validator("tasks")
    @classmethod
    def _check_tasks(
        cls, tasks: tuple[TaskDocument, ...]
    ) -> tuple[TaskDocument, ...]:
        """Rejects duplicate names, unknown names, and dependency cycles."""
        _check_task_names(tasks)
        _check_no_cycle(tasks)
        _check_gang_dependencies(tasks)
        return tasks


def _check_task_names(tasks: tuple[TaskDocument, ...]) -> None:
    """Checks that names are unique and that ``after`` names tasks of the job.

    Raises:
        ValueError: States the index of the task and the name.
    """
    names: set[str] = set()
    for index, task in enumerate(tasks):
        if task.name in names:
            raise ValueError(
                f"unique names; tasks.{index}.name {task.name!r} occurs twice"
            )
        names.add(task.name)
    for index, task in enumerate(tasks):
        for name in task.after:
            if name not in names:
                raise ValueError(
                    f"names of tasks; tasks.{index}.after names {name!r},"
                    " which the job does not have"
                )


def _check_no_cycle(tasks: tuple[TaskDocument, ...]) -> None:
    """Checks that the dependencies of tasks have no cycle.

    Raises:
        ValueError: States the tasks of the cycle.
    """
    graph = {task.name: task.after for task in tasks}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = " -> ".join(error.args[1])
        raise ValueError(f"no cycle in after; found {cycle}") from None


def _check_gang_dependencies(tasks: tuple[TaskDocument, ...]) -> None:
    """Checks that no task depends on another one of its own gang.

    The tasks of a gang start together, so that such a task could never start.

    Raises:
        ValueError: States the index of the task and the dependency.
    """
    gang_by_name = {task.name: task.gang for task in tasks}
    for index, task in enumerate(tasks):
        for name in task.after:
            if task.gang and gang_by_name[name] == task.gang:
                raise ValueError(
                    f"no dependency within a gang; tasks.{index}.after names"
                    f" {name!r} of the same gang"
                )


def load_job_document(text: str, *, source: str) -> JobDocument:
    """Parses and validates a job file, which is JSON with comments.

    Args:
        text: Content of the file.
        source: Name of the file in errors.

    Raises:
        DocumentError: States line, field, value found and values allowed.
    """
    return _jsonc.load_jsonc_model(JobDocument, text, source=source)


def make_job_id(customer: str, name: str) -> str:
    """Returns the id of a job, made from customer and job name.

    As the id starts with the customer, customers cannot use each other's ids.
    """
    return f"{customer}{ID_SEPARATOR}{name}"


def customer_of_id(subject: str) -> str:
    """Returns the customer that the id of a task, job or request starts with.

    Returns:
        Name of the customer; empty if the id holds no separator.
    """
    customer, separator, _ = subject.partition(ID_SEPARATOR)
    return customer if separator else ""


def to_job(
    document: JobDocument, *, customer: str, submitted_wall_s: float
) -> _job.Job:
    """Converts a job document to a job.

    Args:
        document: The document.
        customer: Customer that submits the job.
        submitted_wall_s: Unix time of submission, in seconds.
    """
    return _job.Job(
        job_id=make_job_id(customer, document.name),
        customer=customer,
        class_name=document.class_name,
        tasks=tuple(_to_task_spec(task) for task in document.tasks),
        submitted_wall_s=submitted_wall_s,
    )


def _to_task_spec(document: TaskDocument) -> _job.TaskSpec:
    """Converts the document of one task."""
    return _job.TaskSpec(
        name=document.name,
        demand=_job.ResourceDemand(**document.demand.model_dump()),
        run_time_s=document.run_time_s,
        after=document.after,
        gang=document.gang,
        payload=document.payload,
    )

"""Parses submitted jobs and the configuration, and encodes answers."""

import dataclasses
import re
from typing import Annotated

import pydantic
import pydantic_core

from basiljunction.protocol import _errors
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec

DEADLINE_HEADER = "Deadline-Remaining"
"""Request header: milliseconds that the caller still waits for the answer."""

MAX_PAYLOAD_BYTES = 4000
"""Largest ``Spec`` text of a job, in bytes of UTF-8."""

_JOB_ID_PATTERN = re.compile("[0-9a-f]{16}")
"""Pattern of a job id: 16 lower-case hex digits."""

_NonNegativeInt = Annotated[int, pydantic.Field(ge=0, le=1 << 53)]
"""A JSON integer from 0 to 2**53."""


class _Step(pydantic.BaseModel):
    """One step of a submitted job, with the platform's field names.

    Attributes:
        Count: Number of tasks.
        Cpu: CPU request of a task, in millicores.
        MemMb: Memory request of a task, in MB.
        Gpu: Accelerators that a task requests.
        EstDurationMs: Estimated duration of a task, in milliseconds.
        After: Numbers of earlier steps that must be done first.
        Checkpointing: Whether the tasks save their progress.
        Gang: Whether the tasks work only if all of them run.
        TightlyCoupled: Whether the tasks run slower across racks.
        Requirements: Label that the executor must have; empty for none.
        Affinity: Rack that holds the data; empty for none.
        AntiAffinity: Most tasks of the step on one executor; 0 for no limit.
        Speculative: Whether copies of a task may run in parallel.
        LongRunning: Whether the tasks run until the job is cancelled.
        Image: Image that the tasks run; tasks of one image behave alike.
        TargetMs: Tail latency target of a serving task, in milliseconds; 0
            if the tasks don't serve requests.
        Fills: Whether the tasks are fillers, which use only the CPU that
            other tasks leave unused.
        MayMiss: Most tasks that planned work may make unavailable at a time.
    """

    model_config = pydantic.ConfigDict(strict=True)

    Count: Annotated[int, pydantic.Field(ge=1, le=_job_spec.MAX_TASKS_PER_JOB)]
    Cpu: _NonNegativeInt = 0
    MemMb: _NonNegativeInt = 0
    Gpu: _NonNegativeInt = 0
    EstDurationMs: _NonNegativeInt = 0
    After: list[_NonNegativeInt] = []
    Checkpointing: bool = False
    Gang: bool = False
    TightlyCoupled: bool = False
    Requirements: str = ""
    Affinity: str = ""
    AntiAffinity: _NonNegativeInt = 0
    Speculative: bool = False
    LongRunning: bool = False
    Image: str = ""
    TargetMs: _NonNegativeInt = 0
    Fills: bool = False
    MayMiss: _NonNegativeInt = 0


class _Job(pydantic.BaseModel):
    """A submitted job, with the platform's field names.

    Attributes:
        Spec: Text that is passed to the executor with each start.
        Steps: The steps, in the order of their numbers.
        RepeatCount: Occurrences of a scheduled job; 0 for a single run.
        StartAtMs: Due time of the first occurrence, in milliseconds since
            the Unix epoch.
        IntervalMs: Milliseconds between two occurrences.
    """

    model_config = pydantic.ConfigDict(strict=True)

    Spec: str = ""
    Steps: Annotated[list[_Step], pydantic.Field(min_length=1, max_length=1000)]
    RepeatCount: Annotated[int, pydantic.Field(ge=0, le=10_000)] = 0
    StartAtMs: _NonNegativeInt = 0
    IntervalMs: _NonNegativeInt = 0

    @pydantic.model_validator(mode="after")
    def _validate_spec_and_order(self) -> "_Job":
        """Rejects an oversized ``Spec`` and ``After`` with later steps."""
        if len(self.Spec.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"Spec may have at most {MAX_PAYLOAD_BYTES} bytes")
        for step_number, step in enumerate(self.Steps):
            if any(each >= step_number for each in step.After):
                raise ValueError(
                    f"step {step_number}: After may name only earlier steps"
                )
        return self


def parse_job(body: bytes) -> _job_spec.JobSpec:
    """Parses the JSON body of a job submission.

    Raises:
        DecodeError: The body is not a valid job; names the first bad field.
    """
    try:
        job = _Job.model_validate_json(body)
    except pydantic.ValidationError as error:
        first_error = error.errors(include_url=False, include_input=False)[0]
        field_path = ".".join(str(part) for part in first_error["loc"])
        raise _errors.DecodeError(
            "job", f"{field_path}: {first_error['msg']}"
        ) from error
    return _job_spec.JobSpec(
        payload=job.Spec,
        steps=tuple(_convert_step(each) for each in job.Steps),
        repeat_count=job.RepeatCount,
        first_due_wall_s=job.StartAtMs / 1000,
        interval_s=job.IntervalMs / 1000,
    )


def _convert_step(step: _Step) -> _job_spec.StepSpec:
    """Converts a submitted step to the scheduler's type."""
    return _job_spec.StepSpec(
        count=step.Count,
        size=_job_spec.Resources(step.Cpu, step.MemMb, step.Gpu),
        estimate_s=step.EstDurationMs / 1000,
        after=tuple(step.After),
        checkpoints=step.Checkpointing,
        gang=step.Gang,
        same_rack=step.TightlyCoupled,
        required_label=step.Requirements,
        data_rack=step.Affinity,
        max_per_executor=step.AntiAffinity,
        speculative=step.Speculative,
        runs_until_cancelled=step.LongRunning,
        image=step.Image,
        tail_target_ms=step.TargetMs,
        fills=step.Fills,
        may_be_away=step.MayMiss,
    )


def is_job_id(text: str) -> bool:
    """Returns whether a text has the form of a job id: 16 hex digits."""
    return _JOB_ID_PATTERN.fullmatch(text) is not None


class _Advice(pydantic.BaseModel):
    """Approval settings of a queue, with the platform's field names.

    An external policy approves the executors of such a queue.

    Attributes:
        ValidityMs: Milliseconds for which an approval may be used.
        DecisionMs: Milliseconds that the policy takes for a request.
        PerWorkerMs: Further milliseconds for each executor named in it.
    """

    ValidityMs: float
    DecisionMs: Annotated[float, pydantic.Field(ge=0)] = 0
    PerWorkerMs: Annotated[float, pydantic.Field(ge=0)] = 0


class _Route(pydantic.BaseModel):
    """Configuration of one queue of jobs, with the platform's field names.

    Attributes:
        Name: Name of the queue.
        Host: Host name that callers send.
        PathPrefix: URL path prefix that selects the queue.
        Service: Service whose executors run the tasks.
        TimeoutMs: Longest duration of a call, in milliseconds.
        TargetLatencyMs: Constant part of the latency objective of a job, in
            milliseconds.
        Priority: 0 is the highest priority.
        MaxAttempts: Failed runs of one task after which the job fails.
        Stretch: Variable part of the objective, as a multiple of the job's
            longest chain of steps.
        Advice: Set if an external policy approves the executors.
    """

    Name: str
    Host: str
    PathPrefix: str
    Service: str
    TimeoutMs: float = 3000
    TargetLatencyMs: float = 0
    Priority: int = 0
    MaxAttempts: int = 1
    Stretch: float = 1.0
    Advice: _Advice | None = None


class _Service(pydantic.BaseModel):
    """Configuration of a set of executors, with the platform's field names.

    Attributes:
        Name: Name of the service.
        MaxConnections: Connections that one executor accepts.
        AdmissionCheck: Whether the executors reject tasks that don't fit.
    """

    Name: str
    MaxConnections: int = 64
    AdmissionCheck: bool = False


class _Limits(pydantic.BaseModel):
    """Limits on client requests, with the platform's field names.

    Attributes:
        MaxBodyBytes: Largest request body, in bytes.
    """

    MaxBodyBytes: int = 262144


class _Configuration(pydantic.BaseModel):
    """A complete configuration record, with the platform's field names.

    Attributes:
        Version: Increases with each change.
        Routes: The queues.
        Services: The sets of executors.
        Limits: Limits on client requests.
    """

    Version: int
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = _Limits()


def parse_configuration(value: bytes) -> _configuration.Configuration:
    """Parses the JSON value of a configuration record.

    Raises:
        DecodeError: The value is not a valid configuration.
    """
    try:
        document = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise _errors.DecodeError("configuration", str(error)) from error
    return _configuration.Configuration(
        version=document.Version,
        queues=_configuration.sort_queues_by_prefix(
            [_convert_queue(each) for each in document.Routes]
        ),
        service_by_name={
            each.Name: _configuration.Service(
                each.Name, each.AdmissionCheck, each.MaxConnections
            )
            for each in document.Services
        },
        max_body_bytes=document.Limits.MaxBodyBytes,
    )


def _convert_queue(route: _Route) -> _configuration.Queue:
    """Converts a configured queue to the scheduler's type."""
    return _configuration.Queue(
        name=route.Name,
        host=route.Host.lower(),
        path_prefix=route.PathPrefix,
        service=route.Service,
        priority=route.Priority,
        max_attempts=max(1, route.MaxAttempts),
        stretch=route.Stretch,
        target_latency_s=route.TargetLatencyMs / 1000,
        timeout_s=route.TimeoutMs / 1000,
        approval=_convert_approval(route.Advice),
    )


def _convert_approval(
    advice: _Advice | None,
) -> _configuration.ApprovalPolicy | None:
    """Converts a queue's approval settings; None if it needs no approval."""
    if advice is None:
        return None
    return _configuration.ApprovalPolicy(
        validity_s=advice.ValidityMs / 1000,
        decision_s=advice.DecisionMs / 1000,
        per_executor_s=advice.PerWorkerMs / 1000,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HttpAnswer:
    """An HTTP answer to a client.

    Attributes:
        status: HTTP status code.
        body: JSON body.
        retry_after_s: Seconds after which the client should retry; 0 for no
            such advice.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


# HTTP status code by outcome of a client's call.
_STATUS_BY_OUTCOME = {
    _client_calls.CallOutcome.ACCEPTED: 200,
    _client_calls.CallOutcome.FOUND: 200,
    _client_calls.CallOutcome.NO_SUCH_JOB: 410,
    _client_calls.CallOutcome.NEVER_FITS: 422,
    _client_calls.CallOutcome.MALFORMED: 400,
    _client_calls.CallOutcome.OVERLOADED: 429,
    _client_calls.CallOutcome.UNAVAILABLE: 503,
    _client_calls.CallOutcome.UNKNOWN: 504,
    _client_calls.CallOutcome.NOT_LEADER: 503,
}


def encode_answer(
    call: _client_calls.ClientCall,
    reply: _client_calls.ClientReply,
    *,
    retry_after_s: float,
) -> HttpAnswer:
    """Encodes the scheduler's reply to a client's call as an HTTP answer.

    Args:
        call: The client's call.
        reply: The scheduler's reply.
        retry_after_s: Retry delay to advise if the scheduler is overloaded
            or unavailable.
    """
    status = _STATUS_BY_OUTCOME[reply.outcome]
    if status >= 400:
        wait_s = retry_after_s if status in (429, 503) else 0.0
        return encode_refusal(status, reply.outcome.value, retry_after_s=wait_s)
    body: dict[str, object] = {}
    if call.kind is _client_calls.CallKind.WAITING:
        body["Waiting"] = reply.waiting_job_count
    elif reply.job_state is not None:
        body["State"] = reply.job_state.value
    return HttpAnswer(status, pydantic_core.to_json(body))


def encode_refusal(
    status: int, reason: str, *, retry_after_s: float = 0.0
) -> HttpAnswer:
    """Returns an error answer with a status and a reason."""
    body = pydantic_core.to_json({"Reason": reason})
    return HttpAnswer(status, body, retry_after_s)

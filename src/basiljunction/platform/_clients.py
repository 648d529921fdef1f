"""What callers send, and how they are answered."""

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

MAX_PAYLOAD_BYTES = 4000

_JOB_ID = re.compile("[0-9a-f]{16}")

_Whole = Annotated[int, pydantic.Field(ge=0, le=1 << 53)]


class _Step(pydantic.BaseModel):
    """A step as submitted; names of the platform."""

    model_config = pydantic.ConfigDict(strict=True)

    Count: Annotated[int, pydantic.Field(ge=1, le=_job_spec.MAX_NAMED_TASKS)]
    Cpu: _Whole = 0
    MemMb: _Whole = 0
    Gpu: _Whole = 0
    EstDurationMs: _Whole = 0
    After: list[_Whole] = []
    Checkpointing: bool = False
    Gang: bool = False
    TightlyCoupled: bool = False
    Requirements: str = ""
    Affinity: str = ""
    AntiAffinity: _Whole = 0
    Speculative: bool = False
    LongRunning: bool = False
    Image: str = ""
    TargetMs: _Whole = 0
    Fills: bool = False
    MayMiss: _Whole = 0


class _Job(pydantic.BaseModel):
    """A job as submitted; names of the platform."""

    model_config = pydantic.ConfigDict(strict=True)

    Spec: str = ""
    Steps: Annotated[list[_Step], pydantic.Field(min_length=1, max_length=1000)]
    RepeatCount: Annotated[int, pydantic.Field(ge=0, le=10_000)] = 0
    StartAtMs: _Whole = 0
    IntervalMs: _Whole = 0

    @pydantic.model_validator(mode="after")
    def _check(self) -> "_Job":
        if len(self.Spec.encode()) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"Spec of at most {MAX_PAYLOAD_BYTES} bytes")
        for number, step in enumerate(self.Steps):
            if any(each >= number for each in step.After):
                raise ValueError(f"step {number}: After names earlier steps")
        return self


def parse_job(body: bytes) -> _job_spec.JobSpec:
    """Returns the job in a body.

    Raises:
        DecodeError: The body holds no valid job.
    """
    try:
        job = _Job.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        raise _errors.DecodeError("job", f"{where}: {first['msg']}") from error
    return _job_spec.JobSpec(
        payload=job.Spec,
        steps=tuple(_step(each) for each in job.Steps),
        repeat_count=job.RepeatCount,
        first_due_wall_s=job.StartAtMs / 1000,
        interval_s=job.IntervalMs / 1000,
    )


def _step(step: _Step) -> _job_spec.StepSpec:
    return _job_spec.StepSpec(
        count=step.Count,
        size=_job_spec.Room(step.Cpu, step.MemMb, step.Gpu),
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
    """Returns whether a text is an id of a job."""
    return _JOB_ID.fullmatch(text) is not None


class _Advice(pydantic.BaseModel):
    """What is known of the policy of a queue; names of the platform."""

    ValidityMs: float


class _Route(pydantic.BaseModel):
    """A queue as configured; names of the platform."""

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
    """A service as configured; names of the platform."""

    Name: str
    MaxConnections: int = 64
    AdmissionCheck: bool = False


class _Limits(pydantic.BaseModel):
    """Limits towards clients; names of the platform."""

    MaxBodyBytes: int = 262144


class _Configuration(pydantic.BaseModel):
    """The newest configuration in full; names of the platform."""

    Version: int
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = _Limits()


def parse_configuration(value: bytes) -> _configuration.Configuration:
    """Returns the configuration in a record.

    Raises:
        DecodeError: The record holds no configuration.
    """
    try:
        found = _Configuration.model_validate_json(value)
    except pydantic.ValidationError as error:
        raise _errors.DecodeError("configuration", str(error)) from error
    return _configuration.Configuration(
        version=found.Version,
        queues=_configuration.ordered_queues(
            [_queue(each) for each in found.Routes]
        ),
        service_by_name={
            each.Name: _configuration.Service(
                each.Name, each.AdmissionCheck, each.MaxConnections
            )
            for each in found.Services
        },
        max_body_bytes=found.Limits.MaxBodyBytes,
    )


def _queue(route: _Route) -> _configuration.Queue:
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
        approval=_approval(route.Advice),
    )


def _approval(advice: _Advice | None) -> _configuration.Approval | None:
    if advice is None:
        return None
    return _configuration.Approval(advice.ValidityMs / 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        body: JSON body.
        retry_after_s: When to come back, in seconds; 0 to leave it open.
    """

    status: int
    body: bytes
    retry_after_s: float = 0.0


_STATUS_BY_OUTCOME = {
    _client_calls.Outcome.ACCEPTED: 200,
    _client_calls.Outcome.FOUND: 200,
    _client_calls.Outcome.NO_SUCH_JOB: 410,
    _client_calls.Outcome.NEVER_FITS: 422,
    _client_calls.Outcome.MALFORMED: 400,
    _client_calls.Outcome.OVERLOADED: 429,
    _client_calls.Outcome.UNAVAILABLE: 503,
    _client_calls.Outcome.UNKNOWN: 504,
    _client_calls.Outcome.NOT_LEADER: 503,
}


def answer(
    call: _client_calls.ClientCall,
    reply: _client_calls.ClientReply,
    *,
    retry_after_s: float,
) -> Answer:
    """Returns how a caller is answered."""
    status = _STATUS_BY_OUTCOME[reply.outcome]
    if status >= 400:
        wait_s = retry_after_s if status in (429, 503) else 0.0
        return refusal(status, reply.outcome.value, retry_after_s=wait_s)
    body: dict[str, object] = {}
    if call.kind is _client_calls.CallKind.WAITING:
        body["Waiting"] = reply.waiting
    elif reply.state is not None:
        body["State"] = reply.state.value
    return Answer(status, pydantic_core.to_json(body))


def refusal(status: int, reason: str, *, retry_after_s: float = 0.0) -> Answer:
    """Returns an answer that is no success, with its reason."""
    body = pydantic_core.to_json({"Reason": reason})
    return Answer(status, body, retry_after_s)

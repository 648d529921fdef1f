"""Problem details (RFC 9457): the body of every unsuccessful answer."""

import http
import math
from typing import Any

import pydantic

from basiljunction.protocol import _jsonc
from basiljunction.state import _outcomes

MEDIA_TYPE = "application/problem+json"
"""Media type of problem details."""
MIN_RETRY_AFTER_HEADER_S = 1
"""Smallest value of the ``Retry-After`` header, in seconds."""
TYPE_PREFIX = "urn:basiljunction:reason:"
"""URN prefix of the ``type`` field, before the reason."""

_Reason = _outcomes.Reason
_Status = http.HTTPStatus

_STATUS_BY_NOT_RUN_REASON = {
    _Reason.NO_CONTRACT: _Status.FORBIDDEN,
    _Reason.UNKNOWN_CLASS: _Status.NOT_FOUND,
    _Reason.OUTSIDE_HOURS: _Status.FORBIDDEN,
    _Reason.RATE_EXCEEDED: _Status.TOO_MANY_REQUESTS,
    _Reason.CONCURRENCY_EXCEEDED: _Status.TOO_MANY_REQUESTS,
    _Reason.QUOTA_EXCEEDED: _Status.TOO_MANY_REQUESTS,
    _Reason.KEY_REQUIRED: _Status.BAD_REQUEST,
    _Reason.KEY_IN_USE: _Status.CONFLICT,
    _Reason.KEY_TOO_OLD: _Status.GONE,
    _Reason.UNKNOWN_SUBJECT: _Status.NOT_FOUND,
    _Reason.ALREADY_ENDED: _Status.CONFLICT,
    _Reason.DUPLICATE: _Status.CONFLICT,
    _Reason.STALE_VERSION: _Status.CONFLICT,
    _Reason.INVALID_JOB: _Status.UNPROCESSABLE_ENTITY,
    _Reason.NEVER_FITS: _Status.UNPROCESSABLE_ENTITY,
    _Reason.UNDECODABLE: _Status.UNPROCESSABLE_ENTITY,
}
"""HTTP statuses of refusals; any other reason is the system's own: 503."""

_TIMEOUT_REASONS = frozenset({_Reason.TIMEOUT, _Reason.DEADLINE_PASSED})
"""Reasons for which an unknown outcome is a gateway timeout."""


class FieldProblem(pydantic.BaseModel):
    """One invalid field of a document."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    line: int = pydantic.Field(description="Line, from 1; 0 if unknown.")
    field: str = pydantic.Field(description="Dotted path of the field.")
    found: str = pydantic.Field(
        description="Value that the document has there."
    )
    allowed: str = pydantic.Field(description="Values that are allowed there.")


class FieldChange(pydantic.BaseModel):
    """A field whose value differs between two documents."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    field: str = pydantic.Field(description="Dotted path of the field.")
    before: Any = pydantic.Field(description="Value in the first document.")
    after: Any = pydantic.Field(description="Value in the second document.")


class ProblemDetails(pydantic.BaseModel):
    """Why a call failed, and whether it may have had an effect."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    type: str = pydantic.Field(description="URN of the reason.")
    title: str = pydantic.Field(description="The HTTP status in words.")
    status: int = pydantic.Field(description="The HTTP status.")
    detail: str = pydantic.Field(description="Explanation as a sentence.")
    outcome: str = pydantic.Field(
        description="not-run: no effect; unknown: it may have had an effect."
    )
    step: str = pydantic.Field(description="Step at which the call failed.")
    peer: str = pydantic.Field(description="Peer at which the call failed.")
    reason: str = pydantic.Field(description="Reason, in kebab case.")
    request_id: str = pydantic.Field(
        description="Id of the request, for explain and logs."
    )
    retry_after_s: float | None = pydantic.Field(
        default=None, description="Seconds after which to retry."
    )
    problems: tuple[FieldProblem, ...] = pydantic.Field(
        default=(), description="For a malformed document, its errors."
    )
    current_version: int | None = pydantic.Field(
        default=None, description="For a conflict, the version in force."
    )
    publish_id: str | None = pydantic.Field(
        default=None,
        description="For a publish, the id with which to retry it.",
    )
    changes: tuple[FieldChange, ...] = pydantic.Field(
        default=(),
        description="On conflict, changes from the version in force to yours.",
    )


def http_status_of(
    outcome: _outcomes.NotRun | _outcomes.Unknown,
) -> http.HTTPStatus:
    """Returns the HTTP status of an unsuccessful outcome.

    A refusal without a status of its own is the system's fault: 503. An
    unknown outcome is 504 after a timeout, else 502.
    """
    if isinstance(outcome, _outcomes.NotRun):
        return _STATUS_BY_NOT_RUN_REASON.get(
            outcome.reason, _Status.SERVICE_UNAVAILABLE
        )
    if outcome.reason in _TIMEOUT_REASONS:
        return _Status.GATEWAY_TIMEOUT
    return _Status.BAD_GATEWAY


def problem_from_outcome(
    outcome: _outcomes.NotRun | _outcomes.Unknown, *, request_id: str
) -> ProblemDetails:
    """Returns the problem details of an unsuccessful outcome.

    Args:
        outcome: Outcome of the call.
        request_id: Id of the call in logs and explanations.
    """
    status = http_status_of(outcome)
    is_not_run = isinstance(outcome, _outcomes.NotRun)
    return ProblemDetails(
        type=f"{TYPE_PREFIX}{outcome.reason}",
        title=status.phrase,
        status=status,
        detail=outcome.detail,
        outcome="not-run" if is_not_run else "unknown",
        step=outcome.step,
        peer=outcome.peer,
        reason=outcome.reason,
        request_id=request_id,
        retry_after_s=getattr(outcome, "retry_after_s", None),
    )


def retry_after_header(retry_after_s: float) -> str:
    """Returns the ``Retry-After`` value: whole seconds, rounded up."""
    return str(max(MIN_RETRY_AFTER_HEADER_S, math.ceil(retry_after_s)))


def to_field_problems(
    error: _jsonc.DocumentError,
) -> tuple[FieldProblem, ...]:
    """Converts the errors of a document to fields of the answer."""
    return tuple(
        FieldProblem(
            line=problem.line,
            field=problem.field,
            found=problem.found,
            allowed=problem.allowed,
        )
        for problem in error.problems
    )

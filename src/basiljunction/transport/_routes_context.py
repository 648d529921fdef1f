"""The request context, errors and responses that all route handlers use."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import http
import json
from typing import TypeVar

from cheroot import errors
import pydantic
import werkzeug
from werkzeug import exceptions

from basiljunction.coordination import _views
from basiljunction.protocol import _credentials
from basiljunction.protocol import _jsonc
from basiljunction.protocol import _problem
from basiljunction.protocol import _settings
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict
from basiljunction.transport import _backend
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

JSON_MEDIA_TYPE = "application/json"
"""Content type of successful answers."""

QUERY_WAIT_S = 5.0
"""Longest wait for a query of the folded state, in seconds."""

APPEND_WAIT_S = 10.0
"""Longest wait until a record is read back from the log, in seconds."""

ANSWER_MARGIN_S = 1.0
"""Seconds past a deadline that a task has to report the outcome itself."""

RETRY_AFTER_S = 1.0
"""Default of ``retry_after_s`` in answers to calls that did not run."""

_CONNECTION_CLOSING_STATUSES = frozenset(
    {
        http.HTTPStatus.BAD_REQUEST,
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    }
)
"""Statuses after which the connection is closed.

The body may not have been read to its end, so that its rest would be
parsed as the next request.
"""

REQUEST_ID_HEADER = "Basiljunction-Request-Id"
"""Response header with the request ID."""

OUTCOME_HEADER = "Basiljunction-Outcome"
"""Response header with the outcome: completed, not-run or unknown."""

_ModelT = TypeVar("_ModelT", bound=pydantic.BaseModel)
_T = TypeVar("_T")


class ApiError(Exception):
    """Ends a call with an error answer.

    Attributes:
        problem: Problem details that are sent to the client.
    """

    def __init__(self, problem: _problem.ProblemDetails) -> None:
        """Creates the error.

        Args:
            problem: Problem details that are sent to the client.
        """
        super().__init__(problem.detail)
        self.problem = problem


@dataclasses.dataclass(frozen=True, slots=True)
class ServerDependencies:
    """Objects that the route handlers use.

    Attributes:
        backend: Passes work to the state task and the urgent task.
        clock: Source of the current time.
        metrics: Records metric values.
        settings: Settings of this instance.
    """

    backend: _backend.Backend
    clock: _clock.Clock
    metrics: _metrics.Metrics
    settings: _settings.Settings


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """One HTTP request, with what its handler needs to answer it.

    Attributes:
        request: The HTTP request.
        request_id: Identifies the request in answers and logs.
        principal: The authenticated caller; None on open routes.
        view: Newest view of the folded state.
        services: Backend, clock, metrics and settings.
    """

    request: werkzeug.Request
    request_id: str
    principal: _credentials.Principal | None
    view: _views.FleetView
    services: ServerDependencies

    @property
    def instance(self) -> str:
        """Name of the entry instance that answers."""
        return self.services.settings.instance

    def require_principal(self) -> _credentials.Principal:
        """Returns the authenticated principal.

        Raises:
            ApiError: The request has no credential.
        """
        if self.principal is None:
            raise self.invalid_call_error(
                http.HTTPStatus.UNAUTHORIZED, "a credential is required"
            )
        return self.principal

    def resolve_customer(self, customer_name: str | None = None) -> str:
        """Returns the customer that the request is about.

        Args:
            customer_name: Customer in the path; without it, the ``customer``
                parameter of the query counts, then the caller itself.

        Raises:
            ApiError: The caller may not access that customer, or an operator
                named none.
        """
        caller = self.require_principal()
        requested = customer_name or self.request.args.get("customer", "")
        if not requested and not caller.is_operator:
            return caller.name
        if not requested:
            raise self.bad_request_error("customer: required in the query")
        if not caller.may_access_customer(requested):
            raise self.not_found_error(requested)
        return requested

    def read_body(self) -> bytes:
        """Returns the whole request body.

        Raises:
            ApiError: It is too long, truncated or malformed, or came too
                slowly.
        """
        limit = self.services.settings.limits.body_bytes
        self.request.max_content_length = limit
        try:
            return self.request.get_data(cache=False)
        except (exceptions.RequestEntityTooLarge, errors.MaxSizeExceeded):
            raise self._body_too_large_error(limit) from None
        except exceptions.ClientDisconnected as error:
            raise self._body_read_error(error.__context__, limit) from None
        except (OSError, ValueError) as error:
            raise self._body_read_error(error, limit) from None

    def _body_too_large_error(self, limit: int) -> ApiError:
        """Returns the 413 error with the limit, in bytes."""
        status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return self.invalid_call_error(
            status, f"the body must have at most {limit} bytes"
        )

    def _body_read_error(
        self, cause: BaseException | None, limit: int
    ) -> ApiError:
        """Returns the error for a body that could not be read.

        Args:
            cause: Exception of the failed read; None if unknown.
            limit: Largest body, in bytes.
        """
        if isinstance(cause, TimeoutError):
            status = http.HTTPStatus.REQUEST_TIMEOUT
            return self.invalid_call_error(
                status, "the body did not arrive in time"
            )
        # Cheroot raises a plain OSError for a chunk that is too long.
        if type(cause) is OSError:
            return self._body_too_large_error(limit)
        return self.bad_request_error("the body was truncated or malformed")

    def parse_document(self, kind: type[_ModelT]) -> _ModelT:
        """Returns the body as a document of the given model.

        Raises:
            ApiError: It is malformed; lists the problem of each field.
        """
        try:
            return _jsonc.load_json_model(kind, self.read_body(), source="body")
        except _jsonc.DocumentError as error:
            status = http.HTTPStatus.UNPROCESSABLE_ENTITY
            refused = self.invalid_call_error(
                status, str(error).splitlines()[0]
            )
            problem = refused.problem.model_copy(
                update={"problems": _problem.to_field_problems(error)}
            )
            raise ApiError(problem) from error

    def query_state(
        self, query: Callable[[_system.SystemState, _time.Now], _T]
    ) -> _T:
        """Runs a read-only query on the folded state and returns its result.

        Raises:
            ApiError: The state task did not answer in time.
        """
        try:
            future = self.services.backend.query_state(query)
            return future.result(timeout=QUERY_WAIT_S)
        except (_task.MailboxFullError, futures.TimeoutError):
            raise self.not_run_error(
                _outcomes.Reason.OVERLOADED,
                "the state task did not answer in time",
            ) from None

    def append_record(
        self,
        record: _records.Record,
        *,
        append_step: _outcomes.Step,
        read_back_step: _outcomes.Step,
    ) -> _verdict.Verdict:
        """Appends a record to the log and returns its verdict once read back.

        Args:
            record: The record.
            append_step: Step that the error names if nothing was appended.
            read_back_step: Step that the error names if the record was not
                read back.

        Raises:
            ApiError: It was not appended, or whether it was is unknown.
        """
        not_after_s = self.services.clock.now().boot_s + APPEND_WAIT_S
        try:
            future = self.services.backend.append_records(
                (record,), not_after_boot_s=not_after_s
            )
            (verdict,) = future.result(timeout=APPEND_WAIT_S + ANSWER_MARGIN_S)
        except (_task.MailboxFullError, _state_messages.AppendDroppedError):
            raise self.not_run_error(
                _outcomes.Reason.LOG_UNAVAILABLE,
                "the record was not appended to the log",
                step=append_step,
            ) from None
        except (futures.TimeoutError, _state_messages.AppendUnsettledError):
            unknown = _outcomes.Unknown(
                read_back_step,
                self.services.settings.log_url,
                _outcomes.Reason.TIMEOUT,
                "the record was not read back in time; it may yet be appended",
            )
            raise self.outcome_error(unknown) from None
        return verdict

    def outcome_error(
        self, outcome: _outcomes.NotRun | _outcomes.Unknown
    ) -> ApiError:
        """Returns the error for an outcome other than completed."""
        return ApiError(
            _problem.problem_from_outcome(outcome, request_id=self.request_id)
        )

    def not_run_error(
        self,
        reason: _outcomes.Reason,
        detail: str,
        *,
        step: _outcomes.Step = _outcomes.Step.ACCEPT,
        retry_after_s: float | None = RETRY_AFTER_S,
    ) -> ApiError:
        """Returns the error for a call that certainly had no effect."""
        return self.outcome_error(
            _outcomes.NotRun(step, self.instance, reason, retry_after_s, detail)
        )

    def invalid_call_error(
        self, status: http.HTTPStatus, detail: str
    ) -> ApiError:
        """Returns the error for a call that the client has to change.

        Args:
            status: HTTP status; its name becomes the reason.
            detail: Explanation for the client.
        """
        reason = status.name.lower().replace("_", "-")
        return ApiError(
            _problem.ProblemDetails(
                type=f"{_problem.TYPE_PREFIX}{reason}",
                title=status.phrase,
                status=status,
                detail=detail,
                outcome="not-run",
                step=_outcomes.Step.ACCEPT,
                peer=self.instance,
                reason=reason,
                request_id=self.request_id,
            )
        )

    def bad_request_error(self, detail: str) -> ApiError:
        """Returns the 400 error for a wrong header, query or path."""
        return self.invalid_call_error(http.HTTPStatus.BAD_REQUEST, detail)

    def not_found_error(self, subject: str) -> ApiError:
        """Returns the error for a subject that is unknown or not accessible."""
        return self.not_run_error(
            _outcomes.Reason.UNKNOWN_SUBJECT,
            f"not found: {subject}",
            retry_after_s=None,
        )


def json_response(
    model: pydantic.BaseModel,
    *,
    status: http.HTTPStatus = http.HTTPStatus.OK,
    headers: Iterable[tuple[str, str]] = (),
) -> werkzeug.Response:
    """Returns a JSON response with a model as its body."""
    return werkzeug.Response(
        model.model_dump_json(),
        status=status,
        headers=[("Content-Type", JSON_MEDIA_TYPE), *headers],
    )


def problem_response(problem: _problem.ProblemDetails) -> werkzeug.Response:
    """Returns an error response with problem details as its body.

    Sets Retry-After, WWW-Authenticate and Connection where they apply.
    """
    headers = [
        ("Content-Type", _problem.MEDIA_TYPE),
        (REQUEST_ID_HEADER, problem.request_id),
        (OUTCOME_HEADER, problem.outcome),
    ]
    if problem.retry_after_s is not None:
        wait = _problem.retry_after_header(problem.retry_after_s)
        headers.append(("Retry-After", wait))
    if problem.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    if problem.status in _CONNECTION_CLOSING_STATUSES:
        headers.append(("Connection", "close"))
    body = json.dumps(
        problem.model_dump(mode="json", exclude_defaults=True)
        | {"retry_after_s": problem.retry_after_s}
    )
    return werkzeug.Response(body, status=problem.status, headers=headers)

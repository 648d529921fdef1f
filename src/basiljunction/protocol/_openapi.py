"""Generates the OpenAPI description of the HTTP API from its models."""

import dataclasses
import http
import json
from typing import Any

import openapi_pydantic
from openapi_pydantic import util
import pydantic

import basiljunction
from basiljunction.protocol import _api_models
from basiljunction.protocol import _contract_document
from basiljunction.protocol import _job_document
from basiljunction.protocol import _problem

_JSON = "application/json"
"""Media type of documents and answers."""
_OCTETS = "application/octet-stream"
"""Media type of bodies that are passed on unchanged."""
_TEXT = "text/plain"
"""Media type of metrics."""

_SECURITY_SCHEME = "bearer"
"""Name of the security scheme in the OpenAPI description."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parameter:
    """A header or query parameter of an operation.

    Attributes:
        name: Name of the parameter.
        location: Where it is sent: ``header`` or ``query``.
        description: Its meaning, for the reference.
        required: Whether a call without it is rejected.
    """

    name: str
    location: str
    description: str
    required: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of the API: a method on a path.

    Attributes:
        method: HTTP method.
        path: Path with parameters in braces.
        summary: One line for the reference.
        access: Who may call it.
        answer_model: Model of a successful answer; None for bytes or text.
        body_model: Model of the request's body; None for none or for bytes.
        has_raw_body: Whether the body is passed on unchanged, as bytes.
        parameters: Header and query parameters.
        success_status: HTTP status of a successful answer.
        problem_statuses: HTTP statuses of errors besides 401 and 503, which
            any operation with access control may return.
    """

    method: str
    path: str
    summary: str
    access: str
    answer_model: type[pydantic.BaseModel] | None
    body_model: type[pydantic.BaseModel] | None = None
    has_raw_body: bool = False
    parameters: tuple[Parameter, ...] = ()
    success_status: int = 200
    problem_statuses: tuple[int, ...] = ()


_CUSTOMER_PARAMETER = Parameter(
    "customer", "query", "For operators: customer whose work is listed."
)
"""Query parameter that selects the customer for an operator."""

OPERATIONS = (
    Operation(
        "POST",
        "/v1/services/{class_name}",
        "Run one latency-critical request; answers with the executor's status"
        " and body.",
        "caller",
        answer_model=None,
        has_raw_body=True,
        parameters=(
            Parameter(
                "X-Deadline-S",
                "header",
                "Seconds to the answer; default: the deadline of the class.",
            ),
            Parameter(
                "Idempotency-Key",
                "header",
                "Identifies the request across retries; required for"
                " non-idempotent classes.",
            ),
        ),
        problem_statuses=(400, 403, 404, 408, 409, 410, 413, 429, 502, 504),
    ),
    Operation(
        "GET",
        "/v1/contracts/{customer}",
        "Show the contract in force.",
        "caller or operator",
        answer_model=_api_models.ContractAnswer,
        parameters=(
            Parameter(
                "include",
                "query",
                "limits, history, or both separated by a comma.",
            ),
        ),
        problem_statuses=(404,),
    ),
    Operation(
        "PUT",
        "/v1/contracts/{customer}",
        "Publish a new version, which replaces the one it is based on.",
        "operator",
        answer_model=_api_models.PublishAnswer,
        body_model=_contract_document.ContractDocument,
        parameters=(
            Parameter(
                "If-Match",
                "header",
                "Version that this one is based on, 0 for the first; or the"
                " query base_version.",
            ),
            Parameter(
                "base_version",
                "query",
                "The same version, if If-Match is missing.",
            ),
            Parameter(
                "Idempotency-Key",
                "header",
                "Publish id; a retry with the same id is accepted only once, so"
                " that a lost answer can be retried.",
            ),
        ),
        problem_statuses=(400, 403, 409, 413, 422, 504),
    ),
    Operation(
        "POST",
        "/v1/jobs",
        "Submit a batch job; the same job under the same name is accepted"
        " once.",
        "caller",
        answer_model=_api_models.SubmitAnswer,
        body_model=_job_document.JobDocument,
        success_status=201,
        problem_statuses=(400, 403, 404, 409, 413, 422, 504),
    ),
    Operation(
        "GET",
        "/v1/jobs",
        "List jobs, newest first.",
        "caller or operator",
        answer_model=_api_models.JobListAnswer,
        parameters=(
            _CUSTOMER_PARAMETER,
            Parameter("state", "query", "open lists unfinished jobs only."),
            Parameter("limit", "query", "Largest number of jobs; default 100."),
        ),
        problem_statuses=(400, 404),
    ),
    Operation(
        "GET",
        "/v1/jobs/{job_id}",
        "Show a job and its tasks.",
        "caller or operator",
        answer_model=_api_models.JobAnswer,
        problem_statuses=(404,),
    ),
    Operation(
        "DELETE",
        "/v1/jobs/{job_id}",
        "Cancel a job; cancelling it again changes nothing.",
        "caller or operator",
        answer_model=_api_models.JobAnswer,
        problem_statuses=(404, 504),
    ),
    Operation(
        "GET",
        "/v1/explain/{subject}",
        "List the decisions about a task, job or request.",
        "caller or operator",
        answer_model=_api_models.ExplainAnswer,
        problem_statuses=(400, 404),
    ),
    Operation(
        "GET",
        "/v1/status",
        "Show the status of this instance.",
        "caller or operator",
        answer_model=_api_models.StatusAnswer,
    ),
    Operation(
        "GET",
        "/healthz",
        "Answers 200 while the process is alive.",
        "anybody",
        answer_model=_api_models.HealthAnswer,
    ),
    Operation(
        "GET",
        "/readyz",
        "Answers 200 only while the instance accepts new work.",
        "anybody",
        answer_model=_api_models.HealthAnswer,
    ),
    Operation(
        "GET",
        "/metrics",
        "Metrics in the text format of Prometheus.",
        "operator",
        answer_model=None,
    ),
)
"""All operations of the HTTP API, in the order of the reference."""


def generate_openapi_json() -> str:
    """Returns the OpenAPI description of the API as JSON text."""
    paths: dict[str, dict[str, Any]] = {}
    for operation in OPERATIONS:
        item = paths.setdefault(operation.path, {})
        item[operation.method.lower()] = _operation_object(operation)
    api = openapi_pydantic.OpenAPI.model_validate(
        {
            "openapi": "3.1.1",
            "info": {
                "title": "basiljunction",
                "version": basiljunction.__version__,
                "description": "For callers and operators.",
            },
            "paths": paths,
            "components": {
                "securitySchemes": {
                    _SECURITY_SCHEME: {"type": "http", "scheme": "bearer"}
                }
            },
        }
    )
    filled = util.construct_open_api_with_schema_class(api)
    body = filled.model_dump(mode="json", by_alias=True, exclude_unset=True)
    return json.dumps(body, indent=2, sort_keys=True) + "\n"


def _operation_object(operation: Operation) -> dict[str, Any]:
    """Returns the OpenAPI object of an operation."""
    result: dict[str, Any] = {
        "summary": operation.summary,
        "description": f"For: {operation.access}.",
        "parameters": _parameter_objects(operation),
        "responses": _response_objects(operation),
    }
    if operation.access != "anybody":
        result["security"] = [{_SECURITY_SCHEME: []}]
    if operation.body_model is not None:
        result["requestBody"] = _request_body_object(
            _JSON, _schema_reference(operation.body_model)
        )
    elif operation.has_raw_body:
        result["requestBody"] = _request_body_object(_OCTETS, {})
    return result


def _request_body_object(media_type: str, schema: Any) -> dict[str, Any]:  # noqa: ANN401 - a schema or a model's reference
    """Returns the OpenAPI object of a required request body."""
    return {
        "required": True,
        "content": {media_type: {"schema": schema}},
    }


def _schema_reference(model: type[pydantic.BaseModel]) -> Any:  # noqa: ANN401 - the library's reference to a model
    """Returns a placeholder that the library replaces by a schema."""
    return util.PydanticSchema.model_validate({"schema_class": model})


def _parameter_objects(operation: Operation) -> list[dict[str, Any]]:
    """Returns the OpenAPI objects of path, header and query parameters."""
    in_path = [
        {
            "name": part[1:-1],
            "in": "path",
            "required": True,
            "schema": {"type": "string"},
        }
        for part in operation.path.split("/")
        if part.startswith("{")
    ]
    others = [
        {
            "name": parameter.name,
            "in": parameter.location,
            "required": parameter.required,
            "description": parameter.description,
            "schema": {"type": "string"},
        }
        for parameter in operation.parameters
    ]
    return in_path + others


def _response_objects(operation: Operation) -> dict[str, Any]:
    """Returns the OpenAPI objects of all responses, by HTTP status."""
    responses = {
        str(operation.success_status): _success_response_object(operation)
    }
    if operation.access == "anybody":
        return responses
    for status in sorted({*operation.problem_statuses, 401, 503}):
        responses[str(status)] = {
            "description": http.HTTPStatus(status).phrase,
            "content": {
                _problem.MEDIA_TYPE: {
                    "schema": _schema_reference(_problem.ProblemDetails)
                }
            },
        }
    return responses


def _success_response_object(operation: Operation) -> dict[str, Any]:
    """Returns the OpenAPI object of the successful response."""
    if operation.answer_model is not None:
        content = {_JSON: {"schema": _schema_reference(operation.answer_model)}}
    elif operation.has_raw_body:
        content = {_OCTETS: {"schema": {}}}
    else:
        content = {_TEXT: {"schema": {"type": "string"}}}
    phrase = http.HTTPStatus(operation.success_status).phrase
    return {"description": phrase, "content": content}

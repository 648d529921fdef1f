"""The WSGI application: route table, authentication and error answers."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import http
from typing import Any
import uuid

import structlog
import werkzeug
from werkzeug import exceptions
from werkzeug import routing

from basiljunction.coordination import _views
from basiljunction.protocol import _credentials
from basiljunction.protocol import _job_document
from basiljunction.protocol import _problem
from basiljunction.transport import _routes_context
from basiljunction.transport import _routes_contracts
from basiljunction.transport import _routes_jobs
from basiljunction.transport import _routes_services
from basiljunction.transport import _routes_status

_log = structlog.get_logger()

_UNMATCHED_ROUTE_LABEL = "unmatched"
"""Metric label of requests that match no route."""


class Access(enum.Enum):
    """Principals that may use a route.

    Attributes:
        OPEN: Anyone, without a credential.
        AUTHENTICATED: Customers and operators.
        CALLER: Customers only.
        OPERATOR: Operators only.
    """

    OPEN = enum.auto()
    AUTHENTICATED = enum.auto()
    CALLER = enum.auto()
    OPERATOR = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One HTTP route.

    Attributes:
        method: HTTP method.
        rule: Path pattern, in werkzeug's syntax.
        handler: Function that answers the request; gets the request context
            and the path's variables as arguments.
        access: Principals that may use the route.
    """

    method: str
    rule: str
    handler: Callable[..., werkzeug.Response]
    access: Access = Access.AUTHENTICATED


ROUTES = (
    Route(
        "POST",
        "/v1/services/<class_name>",
        _routes_services.serve_request,
        Access.CALLER,
    ),
    Route("GET", "/v1/contracts/<customer>", _routes_contracts.show_contract),
    Route(
        "PUT",
        "/v1/contracts/<customer>",
        _routes_contracts.publish_contract,
        Access.OPERATOR,
    ),
    Route("POST", "/v1/jobs", _routes_jobs.submit_job, Access.CALLER),
    Route("GET", "/v1/jobs", _routes_jobs.list_jobs),
    Route("GET", "/v1/jobs/<job_id>", _routes_jobs.show_job),
    Route("DELETE", "/v1/jobs/<job_id>", _routes_jobs.cancel_job),
    Route("GET", "/v1/explain/<path:subject>", _routes_status.explain_subject),
    Route("GET", "/v1/status", _routes_status.show_status),
    Route("GET", "/healthz", _routes_status.report_liveness, Access.OPEN),
    Route("GET", "/readyz", _routes_status.report_readiness, Access.OPEN),
    Route("GET", "/metrics", _routes_status.export_metrics, Access.OPERATOR),
)
"""All routes of the HTTP API."""


@dataclasses.dataclass(frozen=True, slots=True)
class _IndexedView:
    """A fleet view with the credential index built from it.

    Both are replaced in one assignment.
    """

    view: _views.FleetView
    credentials: _credentials.CredentialIndex


class HttpApi:
    """The WSGI application that answers the HTTP API of an entry instance.

    Args:
        services: Backend, clock, metrics and settings for the handlers.
    """

    def __init__(self, services: _routes_context.ServerDependencies) -> None:
        self._services = services
        self._map = routing.Map(
            [
                routing.Rule(route.rule, endpoint=route, methods=[route.method])
                for route in ROUTES
            ],
            merge_slashes=False,
        )
        self._indexed_view = self._index_credentials(
            _views.FleetView(services.settings.instance, 0)
        )

    def update_view(self, view: _views.FleetView) -> None:
        """Replaces the view of the folded state; safe from any thread.

        The credential index is rebuilt only if a contract changed.
        """
        current = self._indexed_view
        if view.contract_by_customer == current.view.contract_by_customer:
            self._indexed_view = _IndexedView(view, current.credentials)
        else:
            self._indexed_view = self._index_credentials(view)
        self._set_gauges(view)

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers one HTTP request, as WSGI prescribes.

        While the instance is leaving, each answer closes its connection.
        """
        request = werkzeug.Request(environ)
        response = self._answer_request(request)
        if self._indexed_view.view.leaving:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _index_credentials(self, view: _views.FleetView) -> _IndexedView:
        """Returns the view with an index of its contracts' credentials."""
        operators = self._services.settings.operators
        credentials = _credentials.CredentialIndex(
            operators, view.contract_by_customer
        )
        return _IndexedView(view, credentials)

    def _set_gauges(self, view: _views.FleetView) -> None:
        """Sets the readiness and contract version metrics from a view."""
        metrics = self._services.metrics
        metrics.set("ready", float(view.ready and not view.leaving))
        for customer, contract in view.contract_by_customer.items():
            metrics.set("contract_version", contract.version, customer=customer)

    def _answer_request(self, request: werkzeug.Request) -> werkzeug.Response:
        """Routes and authenticates a request and returns its response.

        Errors become problem details; each response is counted by route.
        """
        context = self._make_context(request)
        rule = _UNMATCHED_ROUTE_LABEL
        try:
            route, arguments = self._match_route(context)
            rule = route.rule
            context = self._authenticate(context, route.access)
            response = route.handler(context, **arguments)
        except _routes_context.ApiError as error:
            response = _routes_context.problem_response(error.problem)
        except Exception:  # noqa: BLE001 - no request may end the server
            _log.exception("http.failed", request_id=context.request_id)
            response = _routes_context.problem_response(
                _internal_error_problem(context)
            )
        self._services.metrics.count(
            "http_responses", route=rule, status=str(response.status_code)
        )
        return response

    def _make_context(
        self, request: werkzeug.Request
    ) -> _routes_context.RequestContext:
        """Returns the context of a request that is not authenticated yet."""
        return _routes_context.RequestContext(
            request=request,
            request_id=uuid.uuid4().hex,
            principal=None,
            view=self._indexed_view.view,
            services=self._services,
        )

    def _match_route(
        self, context: _routes_context.RequestContext
    ) -> tuple[Route, dict[str, Any]]:
        """Returns the route of a request and the variables in its path.

        Raises:
            ApiError: No route has this path, or none allows this method.
        """
        adapter = self._map.bind_to_environ(context.request.environ)
        try:
            route, arguments = adapter.match()
        except exceptions.MethodNotAllowed:
            status = http.HTTPStatus.METHOD_NOT_ALLOWED
            raise context.invalid_call_error(
                status, context.request.method
            ) from None
        except (exceptions.HTTPException, ValueError):
            status = http.HTTPStatus.NOT_FOUND
            raise context.invalid_call_error(
                status, context.request.path
            ) from None
        return route, dict(arguments)

    def _authenticate(
        self, context: _routes_context.RequestContext, access: Access
    ) -> _routes_context.RequestContext:
        """Returns the context with the principal that the bearer token names.

        The request ID gets the principal's name as a prefix.

        Raises:
            ApiError: The token is missing or unknown, or its principal may not
                use the route.
        """
        if access is Access.OPEN:
            return context
        header = context.request.headers.get("Authorization")
        token = _credentials.parse_bearer_token(header)
        found = None
        if token is not None:
            found = self._indexed_view.credentials.find_principal(token)
        if found is None:
            status = http.HTTPStatus.UNAUTHORIZED
            raise context.invalid_call_error(
                status, "a known bearer token is required"
            )
        if not _is_allowed(found, access):
            status = http.HTTPStatus.FORBIDDEN
            raise context.invalid_call_error(
                status, f"only {access.name.lower()}s may use this route"
            )
        request_id = _job_document.make_job_id(found.name, context.request_id)
        return dataclasses.replace(
            context, principal=found, request_id=request_id
        )


def _is_allowed(principal: _credentials.Principal, access: Access) -> bool:
    """Returns whether a principal may use routes of an access level."""
    match access:
        case Access.OPERATOR:
            return principal.is_operator
        case Access.CALLER:
            return not principal.is_operator
    return True


def _internal_error_problem(
    context: _routes_context.RequestContext,
) -> _problem.ProblemDetails:
    """Returns the 500 problem details of a request that raised an exception.

    The outcome is unknown, as the handler may have had effects before.
    """
    status = http.HTTPStatus.INTERNAL_SERVER_ERROR
    refused = context.invalid_call_error(
        status, "internal server error; see the server's log"
    )
    return refused.problem.model_copy(update={"outcome": "unknown"})

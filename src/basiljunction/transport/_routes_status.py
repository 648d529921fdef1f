"""Route handlers for status, explanations, health and metrics."""

from concurrent import futures
import http

import werkzeug

from basiljunction.protocol import _api_models
from basiljunction.protocol import _api_views
from basiljunction.protocol import _job_document
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.transport import _routes_context
from basiljunction.transport import _task

METRICS_MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the text format of Prometheus."""

MAX_SUBJECT_CHARS = 256
"""Longest subject of an explanation, in characters."""


def show_status(context: _routes_context.RequestContext) -> werkzeug.Response:
    """Answers with the state of the cluster as this instance has folded it.

    Contract versions are limited to customers that the caller may access.
    """
    caller = context.require_principal()
    view = context.view
    versions = {
        customer: contract.version
        for customer, contract in view.contract_by_customer.items()
        if caller.may_access_customer(customer)
    }
    settings = context.services.settings

    def read_status(
        state: _system.SystemState, _now: _time.Now
    ) -> _api_models.StatusAnswer:
        return _api_models.StatusAnswer(
            instance=view.instance,
            incarnation=view.incarnation,
            zone=settings.zone,
            group=settings.group,
            ready=view.ready and not view.leaving,
            leaving=view.leaving,
            next_offset=view.next_offset,
            version_by_customer=versions,
            members=_api_views.member_answers(state),
            owned_machines=_count_owned_machines(state, view.instance),
            running_tasks=_count_tasks_in_phase(state, _job.TaskPhase.CLAIMED),
            pending_tasks=_count_tasks_in_phase(state, _job.TaskPhase.PENDING),
        )

    return _routes_context.json_response(context.query_state(read_status))


def _count_owned_machines(state: _system.SystemState, instance: str) -> int:
    """Returns the number of machines that an instance owns."""
    machines = state.machine_by_id.values()
    return sum(machine.owner == instance for machine in machines)


def _count_tasks_in_phase(
    state: _system.SystemState, phase: _job.TaskPhase
) -> int:
    """Returns the number of tasks in a phase."""
    return sum(task.phase is phase for task in state.task_by_id.values())


def explain_subject(
    context: _routes_context.RequestContext, subject: str
) -> werkzeug.Response:
    """Answers with the recorded decisions about a task, job or request.

    Subjects that are unknown or another customer's get 404.
    """
    if len(subject) > MAX_SUBJECT_CHARS:
        raise context.bad_request_error(
            f"subject: at most {MAX_SUBJECT_CHARS} characters"
        )
    customer = _job_document.customer_of_id(subject)
    if not context.require_principal().may_access_customer(customer):
        raise context.not_found_error(subject)
    try:
        future = context.services.backend.explain_subject(subject)
        lines = future.result(timeout=_routes_context.QUERY_WAIT_S)
    except (_task.MailboxFullError, futures.TimeoutError):
        raise context.not_run_error(
            _outcomes.Reason.OVERLOADED, "the state task did not answer in time"
        ) from None
    if not lines:
        raise context.not_found_error(f"decision about {subject}")
    answer = _api_models.ExplainAnswer(
        subject=subject,
        lines=tuple(
            _api_models.ExplainLineAnswer(
                wall_s=line.wall_s,
                instance=line.instance,
                decision=line.decision,
                detail=line.detail,
            )
            for line in lines
        ),
    )
    return _routes_context.json_response(answer)


def report_liveness(
    _context: _routes_context.RequestContext,
) -> werkzeug.Response:
    """Answers 200 as long as the process handles requests."""
    return _routes_context.json_response(
        _api_models.HealthAnswer(status="alive")
    )


def report_readiness(
    context: _routes_context.RequestContext,
) -> werkzeug.Response:
    """Answers 200 while this instance accepts new work, 503 otherwise."""
    if context.view.leaving:
        name, code = "leaving", http.HTTPStatus.SERVICE_UNAVAILABLE
    elif not context.view.ready:
        name, code = "not-ready", http.HTTPStatus.SERVICE_UNAVAILABLE
    else:
        name, code = "ready", http.HTTPStatus.OK
    return _routes_context.json_response(
        _api_models.HealthAnswer(status=name), status=code
    )


def export_metrics(
    context: _routes_context.RequestContext,
) -> werkzeug.Response:
    """Answers with all metrics in the text format of Prometheus."""
    return werkzeug.Response(
        context.services.metrics.render_prometheus_text(),
        content_type=METRICS_MEDIA_TYPE,
    )

"""Route handler for latency-critical requests."""

from concurrent import futures
import math

import structlog
import werkzeug

from basiljunction.coordination import _urgent_request
from basiljunction.state import _contract
from basiljunction.state import _outcomes
from basiljunction.transport import _routes_context
from basiljunction.transport import _task

DEADLINE_HEADER = "X-Deadline-S"
"""Request header with the seconds in which an answer is needed."""

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
"""Request header whose value marks repeats of the same request."""

MAX_IDEMPOTENCY_KEY_CHARS = 128
"""Longest idempotency key, in characters."""

MAX_DEADLINE_S = 600.0
"""Longest deadline of a request, in seconds."""

UNKNOWN_CLASS_LABEL = "unknown"
"""Metric label for work classes that the contract does not have.

Using the names from requests would make the number of series unbounded.
"""

_DEFAULT_CONTENT_TYPE = "application/octet-stream"
"""Content type of bodies that name none."""

_log = structlog.get_logger()


def serve_request(
    context: _routes_context.RequestContext, class_name: str
) -> werkzeug.Response:
    """Runs one latency-critical request and answers with its outcome.

    Records the duration and outcome in metrics and the log.
    """
    started_s = context.services.clock.now().boot_s
    customer = context.resolve_customer()
    request = _urgent_request.UrgentRequest(
        request_id=context.request_id,
        customer=customer,
        class_name=class_name,
        body=context.read_body(),
        content_type=context.request.content_type or _DEFAULT_CONTENT_TYPE,
        deadline_s=_parse_deadline_s(context),
        idempotency_key=_parse_idempotency_key(context),
    )
    work_class = _find_work_class(context, customer, class_name)
    outcome = _run_request(context, request, work_class)
    elapsed_s = context.services.clock.now().boot_s - started_s
    label = UNKNOWN_CLASS_LABEL if work_class is None else work_class.name
    _record_outcome(context, customer, label, outcome, elapsed_s)
    if isinstance(outcome, _outcomes.Completed):
        return _completed_response(context, outcome)
    raise context.outcome_error(outcome)


def _run_request(
    context: _routes_context.RequestContext,
    request: _urgent_request.UrgentRequest,
    work_class: _contract.WorkClass | None,
) -> _outcomes.Outcome:
    """Hands a request to the urgent task and waits for its outcome.

    Waits until the deadline of the request, else of its work class. Returns
    ``NotRun`` if the task's mailbox is full and ``Unknown`` on a timeout.
    """
    wait_s = request.deadline_s
    if wait_s is None:
        wait_s = MAX_DEADLINE_S if work_class is None else work_class.deadline_s
    try:
        future = context.services.backend.run_request(request)
    except _task.MailboxFullError:
        return _outcomes.NotRun(
            _outcomes.Step.ACCEPT,
            context.instance,
            _outcomes.Reason.OVERLOADED,
            _routes_context.RETRY_AFTER_S,
            "the mailbox of the urgent task is full",
        )
    try:
        return future.result(timeout=wait_s + _routes_context.ANSWER_MARGIN_S)
    except futures.TimeoutError:
        return _outcomes.Unknown(
            _outcomes.Step.ANSWER,
            context.instance,
            _outcomes.Reason.TIMEOUT,
            "the request had no outcome by its deadline",
        )


def _find_work_class(
    context: _routes_context.RequestContext, customer: str, class_name: str
) -> _contract.WorkClass | None:
    """Returns the work class of that name in the contract in force, or None."""
    contract = context.view.contract_by_customer.get(customer)
    return None if contract is None else contract.class_by_name.get(class_name)


def _parse_deadline_s(context: _routes_context.RequestContext) -> float | None:
    """Returns the seconds from the deadline header; None without one.

    Raises:
        ApiError: It is not a number, or out of range.
    """
    text = context.request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        deadline_s = float(text)
    except ValueError:
        deadline_s = math.nan
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        raise context.bad_request_error(
            f"{DEADLINE_HEADER}: seconds above 0 and at most {MAX_DEADLINE_S:g}"
        )
    return deadline_s


def _parse_idempotency_key(context: _routes_context.RequestContext) -> str:
    """Returns the idempotency key of the request; empty without one.

    Raises:
        ApiError: It is too long or not printable ASCII.
    """
    key = context.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not (
        key.isascii() and key.isprintable()
    ):
        raise context.bad_request_error(
            f"{IDEMPOTENCY_KEY_HEADER}: at most {MAX_IDEMPOTENCY_KEY_CHARS}"
            " printable ASCII characters"
        )
    return key


def _record_outcome(
    context: _routes_context.RequestContext,
    customer: str,
    class_name: str,
    outcome: _outcomes.Outcome,
    elapsed_s: float,
) -> None:
    """Records the outcome and duration of a request in metrics and the log."""
    step, reason, tag = "", "", "completed"
    if not isinstance(outcome, _outcomes.Completed):
        step, reason = str(outcome.step), str(outcome.reason)
        is_not_run = isinstance(outcome, _outcomes.NotRun)
        tag = "not-run" if is_not_run else "unknown"
    metrics = context.services.metrics
    metrics.observe(
        "request_duration",
        elapsed_s,
        customer=customer,
        class_name=class_name,
        outcome=tag,
    )
    metrics.count(
        "requests",
        customer=customer,
        class_name=class_name,
        outcome=tag,
        step=step,
        reason=reason,
    )
    # Completed requests are in the histograms. An info line for each would
    # make all threads contend for the lock of the log stream.
    log = _log.debug if tag == "completed" else _log.info
    log(
        f"request.{tag}",
        request_id=context.request_id,
        customer=customer,
        class_name=class_name,
        step=step,
        reason=reason,
        peer=outcome.peer,
        elapsed_s=round(elapsed_s, 6),
    )


def _completed_response(
    context: _routes_context.RequestContext, outcome: _outcomes.Completed
) -> werkzeug.Response:
    """Returns the executor's answer as the HTTP response."""
    return werkzeug.Response(
        outcome.body,
        status=outcome.status,
        headers=[
            ("Content-Type", outcome.content_type or _DEFAULT_CONTENT_TYPE),
            (_routes_context.REQUEST_ID_HEADER, context.request_id),
            (_routes_context.OUTCOME_HEADER, "completed"),
        ],
    )

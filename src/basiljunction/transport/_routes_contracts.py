"""Route handlers that show and publish contracts."""

import uuid

import werkzeug

from basiljunction.protocol import _api_models
from basiljunction.protocol import _api_views
from basiljunction.protocol import _contract_document
from basiljunction.protocol import _diff
from basiljunction.protocol import _problem
from basiljunction.state import _contract
from basiljunction.state import _fold_contracts
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.transport import _routes_context

BASE_VERSION_HEADER = "If-Match"
"""Request header with the version that a publication is based on."""

PUBLISH_ID_HEADER = "Idempotency-Key"
"""Request header whose value makes repeats of a publication harmless."""

MAX_PUBLISH_ID_CHARS = 64
"""Longest publish ID, in characters."""


def show_contract(
    context: _routes_context.RequestContext, customer: str
) -> werkzeug.Response:
    """Answers with the contract in force, or 404 without one.

    The ``include`` query parameter adds ``limits``, ``history`` or both.
    """
    customer = context.resolve_customer(customer)
    include = set(context.request.args.get("include", "").split(","))

    def read_contract(
        state: _system.SystemState, _now: _time.Now
    ) -> _api_models.ContractAnswer | None:
        in_force = state.contract_by_customer.get(customer)
        if in_force is None:
            return None
        return _api_views.contract_answer(
            in_force,
            with_limits="limits" in include,
            with_history="history" in include,
        )

    answer = context.query_state(read_contract)
    if answer is None:
        raise context.not_found_error(f"contract of {customer}")
    return _routes_context.json_response(
        answer, headers=[("ETag", f'"{answer.version}"')]
    )


def publish_contract(
    context: _routes_context.RequestContext, customer: str
) -> werkzeug.Response:
    """Publishes a contract version that follows the named base version.

    Answers 200 also if the same publish ID was accepted before; a base
    version that is no longer in force is rejected.
    """
    base_version = _parse_base_version(context)
    publish_id = _parse_publish_id(context)
    document = context.parse_document(_contract_document.ContractDocument)
    if document.customer != customer:
        raise context.bad_request_error(
            f"customer: {document.customer!r} in the body, {customer!r} in"
            " the path"
        )
    contract = _contract_document.to_contract(
        document, version=base_version + 1
    )
    record = _records.ContractPublished(
        contract=contract,
        base_version=base_version,
        operator=context.require_principal().name,
        publish_id=publish_id,
    )
    started_s = context.services.clock.now().boot_s
    try:
        answer = _publish_once(context, record)
    except _routes_context.ApiError as error:
        _observe_publish_duration(context, started_s, error.problem.outcome)
        problem = error.problem.model_copy(update={"publish_id": publish_id})
        raise _routes_context.ApiError(problem) from error
    _observe_publish_duration(context, started_s, "accepted")
    return _routes_context.json_response(
        answer, headers=[("ETag", f'"{answer.version}"')]
    )


def _publish_once(
    context: _routes_context.RequestContext, record: _records.ContractPublished
) -> _api_models.PublishAnswer:
    """Appends the record, unless its publish ID was accepted before.

    Raises:
        ApiError: The append failed, or another version is in force.
    """
    accepted = _find_earlier_answer(context, record)
    if accepted is not None:
        return accepted
    verdict = context.append_record(
        record,
        append_step=_outcomes.Step.PUBLISH_APPEND,
        read_back_step=_outcomes.Step.PUBLISH_READ_BACK,
    )
    if verdict.is_accepted:
        return _make_answer(record, record.contract.version, repeated=False)
    accepted = _find_earlier_answer(context, record)
    if accepted is not None:
        return accepted
    raise _stale_version_error(context, record)


def _find_earlier_answer(
    context: _routes_context.RequestContext, record: _records.ContractPublished
) -> _api_models.PublishAnswer | None:
    """Returns the answer to an accepted record with this publish ID, if any."""
    version = context.query_state(
        lambda state, _now: _fold_contracts.find_accepted_version(
            state, record.contract.customer, record.publish_id
        )
    )
    if version is None:
        return None
    return _make_answer(record, version, repeated=True)


def _make_answer(
    record: _records.ContractPublished, version: int, *, repeated: bool
) -> _api_models.PublishAnswer:
    """Returns the answer that a version was accepted, now or before."""
    return _api_models.PublishAnswer(
        customer=record.contract.customer,
        version=version,
        publish_id=record.publish_id,
        repeated=repeated,
    )


def _stale_version_error(
    context: _routes_context.RequestContext, record: _records.ContractPublished
) -> _routes_context.ApiError:
    """Returns the error for a record whose base version is not in force.

    It names the version in force, its operator, and the differences.
    """
    winner = context.query_state(
        lambda state, _now: state.contract_by_customer.get(
            record.contract.customer
        )
    )
    version = 0 if winner is None else winner.contract.version
    operator = "" if winner is None else winner.operator
    error = context.not_run_error(
        _outcomes.Reason.STALE_VERSION,
        f"based on version {record.base_version}, but version {version} is in"
        f" force, published by {operator or 'no operator'}",
        step=_outcomes.Step.PUBLISH_READ_BACK,
        retry_after_s=None,
    )
    changes = _list_field_changes(winner, record.contract)
    problem = error.problem.model_copy(
        update={"current_version": version, "changes": changes}
    )
    return _routes_context.ApiError(problem)


def _list_field_changes(
    winner: _system.ContractInForce | None, proposed: _contract.Contract
) -> tuple[_problem.FieldChange, ...]:
    """Returns the differences between the contract in force and a new one."""
    before = {}
    if winner is not None:
        before = _contract_document.contract_to_dict(winner.contract)
    after = _contract_document.contract_to_dict(proposed)
    return tuple(
        _problem.FieldChange(
            field=change.field, before=change.before, after=change.after
        )
        for change in _diff.diff_documents(before, after)
    )


def _parse_base_version(context: _routes_context.RequestContext) -> int:
    """Returns the base version from the If-Match header or the query.

    Raises:
        ApiError: It is missing or not a decimal number.
    """
    text = context.request.headers.get(BASE_VERSION_HEADER)
    if text is None:
        text = context.request.args.get("base_version", "")
    text = text.strip().strip('"')
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        raise context.bad_request_error(
            f"{BASE_VERSION_HEADER} or base_version: must be the version that"
            " this one is based on; 0 for the first"
        )
    return int(text)


def _parse_publish_id(context: _routes_context.RequestContext) -> str:
    """Returns the publish ID from the request, or a new random one.

    Raises:
        ApiError: It is empty, too long or not printable ASCII.
    """
    publish_id = context.request.headers.get(PUBLISH_ID_HEADER)
    if publish_id is None:
        return uuid.uuid4().hex
    is_plain = publish_id.isascii() and publish_id.isprintable()
    if not (is_plain and 0 < len(publish_id) <= MAX_PUBLISH_ID_CHARS):
        raise context.bad_request_error(
            f"{PUBLISH_ID_HEADER}: 1 to {MAX_PUBLISH_ID_CHARS} printable"
            " ASCII characters"
        )
    return publish_id


def _observe_publish_duration(
    context: _routes_context.RequestContext, started_s: float, verdict: str
) -> None:
    """Records the seconds that a publication took, by verdict."""
    elapsed_s = context.services.clock.now().boot_s - started_s
    context.services.metrics.observe(
        "publish_duration", elapsed_s, verdict=verdict
    )

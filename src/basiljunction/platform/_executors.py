"""Builds calls to executors and the policy, and parses their answers."""

from typing import Annotated
from typing import Any
from typing import NamedTuple

import pydantic
import pydantic_core

from basiljunction.coordination.scheduling import _orders
from basiljunction.platform import _reported_values
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec

_JSON_HEADERS = ("Content-Type: application/json",)
"""HTTP header lines of calls with a JSON body."""

# Metric label of a call to an executor, by URL path.
_OPERATION_BY_PATH = {
    "/run-start": "executor.start",
    "/run-stop": "executor.stop",
    "/pace": "executor.pace",
    "/hold": "executor.renew",
}

_INSTANCE_HEADER = "Expect-Instance"
"""Header with the executor id; any other executor rejects the call."""

_OTHER_INCARNATION_STATUS = 421
"""HTTP status of an executor that is not the expected incarnation."""

# Result of a start order by the reason that comes with status 409.
_START_RESULT_BY_REASON = {
    "fence": _orders.StartResult.FENCED,
    "old": _orders.StartResult.SUPERSEDED,
    "late": _orders.StartResult.TOO_LATE,
    "room": _orders.StartResult.NO_ROOM,
    "ticket": _orders.StartResult.NOT_APPROVED,
}

# Result of a start order by HTTP status other than 409.
_START_RESULT_BY_STATUS = {
    200: _orders.StartResult.STARTED,
    400: _orders.StartResult.MALFORMED,
    _OTHER_INCARNATION_STATUS: _orders.StartResult.OTHER_LIFE,
    429: _orders.StartResult.UNHEALTHY,
    503: _orders.StartResult.UNHEALTHY,
}


def _drop_later_columns(row: object) -> object:
    """Returns a row of a list of runs without columns that are not known."""
    return row[:_RUN_COLUMNS] if isinstance(row, list) else row


_RUN_COLUMNS = 5
"""Columns that are known of a row in a list of runs."""


class _ActiveRunRow(NamedTuple):
    """One row of an executor's list of active runs.

    Attributes:
        task: Task id in its wire format.
        run_number: Number of the run.
        checkpoint: Newest checkpoint; empty if there is none.
        progress_percent: Progress in percent.
        reported_value: Tail latency or CPU in use; 0 if it is not reported.
    """

    task: _reported_values.Text
    run_number: _reported_values.Count
    checkpoint: _reported_values.Text
    progress_percent: _reported_values.Measure
    reported_value: _reported_values.Measure = 0.0


class _EndedRunRow(NamedTuple):
    """One row of an executor's list of ended runs.

    Attributes:
        list_position: Position in the list, from 1.
        task: Task id in its wire format.
        run_number: Number of the run.
        kind: Way in which the run ended.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    list_position: _reported_values.Count
    task: _reported_values.Text
    run_number: _reported_values.Count
    kind: _reported_values.Text
    checkpoint: _reported_values.Text = ""


class _RenewalReply(pydantic.BaseModel):
    """An executor's answer to a renewal, with the platform's field names.

    Attributes:
        ClockMs: Reading of its clock, in milliseconds.
        born: Start of its incarnation, in milliseconds since the Unix epoch;
            0 if unknown.
        Running: Its active runs.
        Ended: Its ended runs that are not acknowledged.
    """

    ClockMs: _reported_values.Count
    born: _reported_values.Count = 0
    Running: Annotated[
        list[
            Annotated[
                _ActiveRunRow, pydantic.BeforeValidator(_drop_later_columns)
            ]
        ],
        pydantic.FailFast(),
    ]
    Ended: Annotated[
        list[
            Annotated[
                _EndedRunRow, pydantic.BeforeValidator(_drop_later_columns)
            ]
        ],
        pydantic.FailFast(),
    ]


class _ClockReply(pydantic.BaseModel):
    """What any answer of an executor tells, with the platform's field names.

    Attributes:
        ClockMs: Reading of its clock, in milliseconds.
    """

    ClockMs: _reported_values.Count


def format_task_id(task: _job_spec.TaskId) -> str:
    """Returns a task id in its wire format: job.occurrence.step.index."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task_id(name: str) -> _job_spec.TaskId:
    """Parses a task id in its wire format: job.occurrence.step.index.

    Raises:
        ValueError: The text is not a task id.
    """
    job, occurrence, step, index = name.split(".")
    task = _job_spec.TaskId(job, int(occurrence), int(step), int(index))
    for number in (task.occurrence, task.step, task.index):
        if not 0 <= number <= _reported_values.MAX_COUNT:
            raise ValueError(f"task id {name} has a number out of range")
    return task


def make_start_call(
    address: str, token: int, order: _orders.StartOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Builds the HTTP call that starts a run of a task on an executor.

    The token fences off orders of earlier leaders, and those that were meant
    for an earlier incarnation.
    """
    body: dict[str, Any] = {
        "Task": format_task_id(order.task),
        "Run": order.run,
        "Spec": order.payload,
        "DeadlineMs": order.lease_until_ms,
        "FencingToken": token,
    }
    if order.checkpoint:
        body["Checkpoint"] = order.checkpoint
    if order.approval:
        body["Ticket"] = order.approval
    return _make_post_call(
        address, "/run-start", order.executor, body, timeout_s
    )


def parse_start_result(reply: _http_call.HttpReply) -> _orders.StartResult:
    """Returns the result of a start order from the executor's answer."""
    if reply.status == 409:
        reason = reply.parse_json_object().get("Reason")
        return _START_RESULT_BY_REASON.get(
            str(reason), _orders.StartResult.UNKNOWN
        )
    return _START_RESULT_BY_STATUS.get(
        reply.status, _orders.StartResult.UNKNOWN
    )


def parse_clock_ms(reply: _http_call.HttpReply) -> int | None:
    """Returns the reading of the executor's clock in an answer, in ms.

    Returns None if there is no such answer or it tells none, or if another
    executor has refused the order.
    """
    if not reply.has_complete_reply or is_other_incarnation(reply):
        return None
    try:
        return _ClockReply.model_validate_json(reply.body).ClockMs
    except ValueError:
        return None


def make_stop_call(
    address: str, token: int, order: _orders.StopOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Builds the HTTP call that stops a run of a task.

    The executor also rejects a start of this run that arrives later. The token
    fences off earlier orders.
    """
    body = {
        "Task": format_task_id(order.task),
        "Run": order.run,
        "FencingToken": token,
    }
    return _make_post_call(
        address, "/run-stop", order.executor, body, timeout_s
    )


def make_pace_call(
    address: str, token: int, order: _orders.PaceOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Builds the HTTP call that throttles a run to a percentage of its speed.

    The token fences off earlier orders.
    """
    body = {
        "Task": format_task_id(order.task),
        "Run": order.run,
        "Percent": order.percent,
        "FencingToken": token,
    }
    return _make_post_call(address, "/pace", order.executor, body, timeout_s)


def make_renewal_call(
    address: str,
    token: int,
    order: _orders.RenewalOrder,
    *,
    timeout_s: float,
    silence_limit_s: float | None = None,
) -> _http_call.HttpCall:
    """Builds the HTTP call that renews an executor's lease.

    It also requests the list of active and ended runs. It isn't repeatable: a
    copy could reach the next incarnation, which must not take the order's
    deadline and acknowledgement for its own.

    Args:
        address: ``ip:port`` of the executor.
        token: Fencing token; it fences off earlier orders.
        order: The order.
        timeout_s: Timeout of the call, in seconds.
        silence_limit_s: Longest time without a byte of the answer, in
            seconds; None for no limit. It includes the wait of the order.
    """
    body = {
        "FencingToken": token,
        "LastSeen": order.acknowledged,
        "WaitMs": order.wait_ms,
    }
    if order.lease_until_ms is not None:
        body["DeadlineMs"] = order.lease_until_ms
    return _make_post_call(
        address,
        "/hold",
        order.executor,
        body,
        timeout_s,
        silence_limit_s=silence_limit_s,
    )


def make_approval_call(
    address: str, order: _orders.ApprovalOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Builds the HTTP call that asks the policy to approve executors.

    The approval is for the tasks of one step.
    """
    body = {
        "Step": f"{order.job}.{order.occurrence}.{order.step}",
        "Workers": list(order.executors),
    }
    return _http_call.HttpCall(
        "POST",
        f"http://{address}/advise",
        pydantic_core.to_json(body),
        _JSON_HEADERS,
        timeout_s,
        operation="policy.approve",
    )


def parse_approvals(reply: _http_call.HttpReply) -> dict[str, str]:
    """Parses the policy's answer: approval token by approved executor.

    Raises:
        DecodeError: The answer is malformed.
    """
    try:
        rows = reply.parse_json_object()["Good"]
        return {str(executor): str(proof) for executor, proof in rows}
    except (KeyError, TypeError, ValueError) as error:
        raise _errors.DecodeError("approvals", repr(error)) from error


def is_fenced(reply: _http_call.HttpReply) -> bool:
    """Returns whether the executor has seen an order of a later term."""
    return parse_start_result(reply) is _orders.StartResult.FENCED


def is_other_incarnation(reply: _http_call.HttpReply) -> bool:
    """Returns whether another incarnation of the executor answered."""
    return reply.status == _OTHER_INCARNATION_STATUS


def parse_renewal_reply(
    reply: _http_call.HttpReply,
) -> _executor.LeaseRenewalReply:
    """Parses an executor's answer to a lease renewal: its clock and runs.

    Raises:
        DecodeError: The answer is malformed.
    """
    try:
        answer = _RenewalReply.model_validate_json(reply.body)
        return _executor.LeaseRenewalReply(
            clock_ms=answer.ClockMs,
            started_wall_ms=answer.born,
            active_runs=tuple(map(_convert_active_run, answer.Running)),
            unacknowledged_ends=tuple(map(_convert_ended_run, answer.Ended)),
        )
    except ValueError as error:
        raise _errors.DecodeError("list of runs", str(error)) from error


def encode_renewal_reply(reply: _executor.LeaseRenewalReply) -> bytes:
    """Encodes an answer to a lease renewal, as a simulated executor does."""
    return pydantic_core.to_json(
        {
            "ClockMs": reply.clock_ms,
            "born": reply.started_wall_ms,
            "Running": [
                (
                    format_task_id(run.task),
                    run.run_number,
                    run.checkpoint,
                    run.progress_percent,
                    run.reported_value,
                )
                for run in reply.active_runs
            ],
            "Ended": [
                (
                    end.list_position,
                    format_task_id(end.task),
                    end.run_number,
                    end.kind.value,
                    end.checkpoint,
                )
                for end in reply.unacknowledged_ends
            ],
        }
    )


def _convert_active_run(row: _ActiveRunRow) -> _executor.ActiveRunReport:
    """Converts a row of an executor's list of active runs."""
    return _executor.ActiveRunReport(parse_task_id(row.task), *row[1:])


def _convert_ended_run(row: _EndedRunRow) -> _executor.EndedRunReport:
    """Converts a row of an executor's list of ended runs."""
    return _executor.EndedRunReport(
        list_position=row.list_position,
        task=parse_task_id(row.task),
        run_number=row.run_number,
        kind=_executor.RunEndKind(row.kind),
        checkpoint=row.checkpoint,
    )


def _make_post_call(
    address: str,
    path: str,
    executor: str,
    body: dict[str, Any],
    timeout_s: float,
    *,
    silence_limit_s: float | None = None,
) -> _http_call.HttpCall:
    """Builds a POST that only the named executor at the address may accept."""
    return _http_call.HttpCall(
        "POST",
        f"http://{address}{path}",
        pydantic_core.to_json(body),
        (*_JSON_HEADERS, f"{_INSTANCE_HEADER}: {executor}"),
        timeout_s,
        silence_limit_s,
        operation=_OPERATION_BY_PATH[path],
    )

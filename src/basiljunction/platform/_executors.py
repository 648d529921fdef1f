"""Calls to executors, and what they and the platform's list tell of them."""

from typing import Any

import pydantic
import pydantic_core

from basiljunction.coordination.scheduling import _orders
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec

_JSON_HEADERS = ("Content-Type: application/json",)

_OPERATION_BY_PATH = {
    "/run-start": "executor.start",
    "/run-stop": "executor.stop",
    "/pace": "executor.pace",
    "/hold": "executor.renew",
}

_INSTANCE_HEADER = "Expect-Instance"

_OTHER_LIFE = 421

_START_RESULT_BY_REASON = {
    "fence": _orders.StartResult.FENCED,
    "old": _orders.StartResult.SUPERSEDED,
    "late": _orders.StartResult.TOO_LATE,
    "room": _orders.StartResult.NO_ROOM,
    "ticket": _orders.StartResult.NOT_APPROVED,
}

_START_RESULT_BY_STATUS = {
    200: _orders.StartResult.STARTED,
    400: _orders.StartResult.MALFORMED,
    _OTHER_LIFE: _orders.StartResult.OTHER_LIFE,
    429: _orders.StartResult.UNHEALTHY,
    503: _orders.StartResult.UNHEALTHY,
}


def task_name(task: _job_spec.TaskId) -> str:
    """Returns a task's name on the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(name: str) -> _job_spec.TaskId:
    """Returns the task of a name.

    Raises:
        ValueError: It names no task.
    """
    job, occurrence, step, index = name.split(".")
    return _job_spec.TaskId(job, int(occurrence), int(step), int(index))


def start(
    address: str, epoch: int, order: _orders.StartOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Returns the call that starts a run."""
    body: dict[str, Any] = {
        "Task": task_name(order.task),
        "Run": order.run,
        "Spec": order.payload,
        "DeadlineMs": order.lease_until_ms,
        "FencingToken": epoch,
    }
    if order.checkpoint:
        body["Checkpoint"] = order.checkpoint
    if order.approval:
        body["Ticket"] = order.approval
    return _post(address, "/run-start", order.executor, body, timeout_s)


def start_result(reply: _http_call.HttpReply) -> _orders.StartResult:
    """Returns what became of a start."""
    if reply.status == 409:
        reason = reply.json_object().get("Reason")
        return _START_RESULT_BY_REASON.get(
            str(reason), _orders.StartResult.UNKNOWN
        )
    return _START_RESULT_BY_STATUS.get(
        reply.status, _orders.StartResult.UNKNOWN
    )


def stop(
    address: str, epoch: int, order: _orders.StopOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Returns the call that stops or bars a run."""
    body = {
        "Task": task_name(order.task),
        "Run": order.run,
        "FencingToken": epoch,
    }
    return _post(address, "/run-stop", order.executor, body, timeout_s)


def pace(
    address: str, epoch: int, order: _orders.PaceOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Returns the call that lets a run work at a share of its speed."""
    body = {
        "Task": task_name(order.task),
        "Run": order.run,
        "Percent": order.percent,
        "FencingToken": epoch,
    }
    return _post(address, "/pace", order.executor, body, timeout_s)


def hold(
    address: str, epoch: int, order: _orders.HoldOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Returns the call that renews a lease and asks for runs and ends."""
    body = {
        "FencingToken": epoch,
        "LastSeen": order.acknowledged,
        "WaitMs": order.wait_ms,
    }
    if order.lease_until_ms is not None:
        body["DeadlineMs"] = order.lease_until_ms
    return _post(address, "/hold", order.executor, body, timeout_s)


def approval(
    address: str, order: _orders.ApprovalOrder, *, timeout_s: float
) -> _http_call.HttpCall:
    """Returns the call that asks the policy about executors for a step."""
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


def approved(reply: _http_call.HttpReply) -> dict[str, str]:
    """Returns the proof of each approved executor.

    Raises:
        DecodeError: The answer is malformed.
    """
    try:
        rows = reply.json_object()["Good"]
        return {str(executor): str(proof) for executor, proof in rows}
    except (KeyError, TypeError, ValueError) as error:
        raise _errors.DecodeError("approvals", repr(error)) from error


def is_other_life(reply: _http_call.HttpReply) -> bool:
    """Returns whether another life of the executor answered."""
    return reply.status == _OTHER_LIFE


def hold_report(reply: _http_call.HttpReply) -> _executor.HoldReport:
    """Returns what an executor lists.

    Raises:
        DecodeError: The answer is malformed.
    """
    answer = reply.json_object()
    try:
        return _executor.HoldReport(
            clock_ms=int(answer["ClockMs"]),
            born_ms=int(answer.get("born", 0)),
            running=tuple(_running(row) for row in answer["Running"]),
            ended=tuple(_end(row) for row in answer["Ended"]),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise _errors.DecodeError("list of runs", repr(error)) from error


def _running(row: list[Any]) -> _executor.RunningReport:
    return _executor.RunningReport(
        task=parse_task(row[0]),
        run=int(row[1]),
        checkpoint=str(row[2]),
        percent=float(row[3]),
        figure=float(row[4]) if len(row) > 4 else 0.0,
    )


def _end(row: list[Any]) -> _executor.EndReport:
    return _executor.EndReport(
        number=int(row[0]),
        task=parse_task(row[1]),
        run=int(row[2]),
        kind=_executor.EndKind(row[3]),
        checkpoint=str(row[4]) if len(row) > 4 else "",
    )


class _Capacity(pydantic.BaseModel):
    """What an executor has; names of the platform."""

    model_config = pydantic.ConfigDict(strict=True)

    Cpu: int = pydantic.Field(ge=0)
    MemMb: int = pydantic.Field(ge=0)
    Gpu: int = pydantic.Field(default=0, ge=0)


class _Entry(pydantic.BaseModel):
    """An executor's report about itself; names of the platform."""

    model_config = pydantic.ConfigDict(strict=True)

    Service: str
    Address: str = pydantic.Field(pattern=r"^[0-9.]+:[0-9]+$")
    Zone: str
    State: str = pydantic.Field(pattern="^(ready|draining)$")
    Capacity: _Capacity
    Labels: list[str] = []
    born: int = pydantic.Field(default=0, ge=0)


def entry(record: _job_records.KeyedRecord) -> _executor.ExecutorEntry:
    """Returns the executor of a record.

    Raises:
        DecodeError: The record names no executor to use.
    """
    try:
        report = _Entry.model_validate_json(record.value)
    except ValueError as error:
        raise _errors.DecodeError("executor entry", str(error)) from error
    return _executor.ExecutorEntry(
        id=record.key,
        service=report.Service,
        address=report.Address,
        zone=report.Zone,
        is_draining=report.State == "draining",
        capacity=_job_spec.Room(
            report.Capacity.Cpu, report.Capacity.MemMb, report.Capacity.Gpu
        ),
        labels=tuple(report.Labels),
        born_ms=report.born,
    )


def _post(
    address: str,
    path: str,
    executor: str,
    body: dict[str, Any],
    timeout_s: float,
) -> _http_call.HttpCall:
    return _http_call.HttpCall(
        "POST",
        f"http://{address}{path}",
        pydantic_core.to_json(body),
        (*_JSON_HEADERS, f"{_INSTANCE_HEADER}: {executor}"),
        timeout_s,
        operation=_OPERATION_BY_PATH[path],
    )

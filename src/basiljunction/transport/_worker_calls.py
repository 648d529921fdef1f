"""HTTP calls to workers, made on a thread pool."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import io
import json
import threading
from typing import Any
from typing import Protocol

import pycurl
import pydantic

from basiljunction.coordination import _batch_events
from basiljunction.state import _outcomes
from basiljunction.transport import _clock
from basiljunction.transport import _send_guard

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to a worker, in seconds."""

CALL_TIMEOUT_S = 4.0
"""Longest time for a whole call, in seconds."""

MAX_ANSWER_BYTES = 4 * 1024 * 1024
"""Largest response body that is accepted."""

_NOT_SENT_ERRORS = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    )
)
"""libcurl errors that mean that the last sending of the request failed before
its first byte."""

_REPEATABLE_REQUESTS = (_batch_events.RenewLeases, _batch_events.ListTasks)
"""Requests whose newest answer is complete, however often they were sent."""

_STEP_BY_REQUEST: dict[type, _outcomes.Step] = {
    _batch_events.StartTask: _outcomes.Step.START,
    _batch_events.RenewLeases: _outcomes.Step.RENEW,
    _batch_events.ThrottleTask: _outcomes.Step.THROTTLE,
    _batch_events.CheckpointTask: _outcomes.Step.CHECKPOINT,
    _batch_events.StopTask: _outcomes.Step.STOP,
    _batch_events.ListTasks: _outcomes.Step.USAGE_REPORT,
}
"""Processing step to name in outcomes, by request type."""

_PATH_BY_REQUEST: dict[type, str] = {
    _batch_events.StartTask: "/tasks/start",
    _batch_events.RenewLeases: "/tasks/renew",
    _batch_events.ThrottleTask: "/tasks/throttle",
    _batch_events.CheckpointTask: "/tasks/checkpoint",
    _batch_events.StopTask: "/tasks/stop",
    _batch_events.ListTasks: "/tasks",
}
"""URL path at the worker, by request type."""

WorkerEvent = (
    _batch_events.WorkerAnswered
    | _batch_events.WorkerNotCalled
    | _batch_events.WorkerCallLost
)
"""Result of a call: answered, certainly not sent, or outcome unknown."""


class ResultReceiver(Protocol):
    """Interface to receive the results of calls, such as the state task."""

    def tell(self, message: object) -> None:
        """Receives the result of one call."""
        ...


class _TaskAnswer(pydantic.BaseModel):
    """State of one task attempt as reported by a worker.

    Attributes:
        task_id: The task.
        attempt: Number of the attempt to run it.
        state: State of the attempt at the worker.
        checkpoint: Reference of its latest checkpoint; empty if none.
        progress_s: Work in the checkpoint or, for a running task, work done,
            in seconds.
        millicores_used: Measured processor usage.
        memory_mib_used: Measured memory usage.
        slowdown: Measured time over undisturbed time; 1 if undisturbed.
        detail: Explanation of the state, for operators.
    """

    task_id: str
    attempt: int
    state: _batch_events.WorkerTaskState
    checkpoint: str = ""
    progress_s: float = 0.0
    millicores_used: int = 0
    memory_mib_used: int = 0
    slowdown: float = 1.0
    detail: str = ""

    def to_report(self) -> _batch_events.TaskReport:
        """Converts this to the report class of the decision core."""
        fields = self.model_dump(exclude={"task_id", "attempt"})
        ref = _batch_events.TaskRef(self.task_id, self.attempt)
        return _batch_events.TaskReport(ref=ref, **fields)


class _TasksAnswer(pydantic.BaseModel):
    """A worker's answer to a lease renewal or a list request.

    Attributes:
        tasks: The reported attempts.
    """

    tasks: list[_TaskAnswer]


def encode_request_body(request: _batch_events.WorkerRequest) -> dict[str, Any]:
    """Converts a request to its JSON object; a list request's is empty."""
    body = dataclasses.asdict(request)
    match request:
        case _batch_events.RenewLeases():
            return {"lease_s": body["lease_s"], "tasks": body["refs"]}
        case _batch_events.StartTask():
            return {**body.pop("ref"), **body.pop("demand"), **body}
        case _batch_events.ListTasks():
            return {}
        case _:
            return {**body.pop("ref"), **body}


def interpret_answer(
    machine: str,
    request: _batch_events.WorkerRequest,
    status: int,
    body: bytes,
) -> WorkerEvent:
    """Converts a worker's HTTP response to the result of the call.

    Status 409 means that the worker refused the request.

    Raises:
        ValueError: The status is unexpected or the body is malformed.
    """
    if status == 409:
        refused = str(json.loads(body).get("reason") or "refused")
        return _batch_events.WorkerAnswered(machine, request, (), refused)
    if status != 200:
        raise ValueError(f"unexpected HTTP status {status}")
    if isinstance(request, _batch_events.StartTask):
        return _batch_events.WorkerAnswered(machine, request)
    if isinstance(request, _batch_events.RenewLeases | _batch_events.ListTasks):
        answers = _TasksAnswer.model_validate_json(body).tasks
    else:
        answers = [_TaskAnswer.model_validate_json(body)]
    reports = tuple(answer.to_report() for answer in answers)
    return _batch_events.WorkerAnswered(machine, request, reports)


class WorkerClient:
    """Makes the HTTP calls to workers and reports their results.

    Args:
        pool: Threads that run the calls.
        clock: Source of the current time.
        recipient: Receives one result for each submitted call.
        call_timeout_s: Longest time for a whole call, in seconds.
    """

    def __init__(
        self,
        *,
        pool: futures.Executor,
        clock: _clock.Clock,
        recipient: ResultReceiver,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._recipient = recipient
        self._call_timeout_s = call_timeout_s
        self._local = threading.local()

    def submit_call(self, call: _batch_events.CallWorker) -> None:
        """Runs a call on a pool thread; the recipient gets its result."""
        self._pool.submit(self._call_and_report, call)

    def _call_and_report(self, call: _batch_events.CallWorker) -> None:
        """Runs a call and sends its result to the recipient."""
        self._recipient.tell(self.call(call))

    def call(self, call: _batch_events.CallWorker) -> WorkerEvent:
        """Runs a call on the current thread and returns its result.

        A call whose send deadline has passed is not sent.
        """
        if self._is_past_send_deadline(call):
            return _not_called_event(call, _outcomes.Reason.LEASE_LAPSED, "")
        answer = io.BytesIO()
        curl = self._thread_handle()
        self._configure_handle(curl, call, answer)
        guard = _send_guard.SendGuard(
            is_repeatable=isinstance(call.request, _REPEATABLE_REQUESTS)
        )
        guard.watch(curl)
        begun_boot_s = self._clock.now().boot_s
        try:
            curl.perform()
        except pycurl.error as error:
            return self._event_of_error(call, guard, *error.args)
        sent_boot_s = begun_boot_s + curl.getinfo(pycurl.PRETRANSFER_TIME)
        if sent_boot_s > call.not_after_boot_s:
            return _call_lost_event(
                call,
                _outcomes.Reason.LEASE_LAPSED,
                "the request was sent after its deadline",
            )
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        try:
            return interpret_answer(
                call.machine, call.request, status, answer.getvalue()
            )
        except ValueError as error:
            return _call_lost_event(
                call, _outcomes.Reason.INCOMPLETE_ANSWER, str(error)[:200]
            )

    def _is_past_send_deadline(self, call: _batch_events.CallWorker) -> bool:
        """Returns whether a call must not be sent any more."""
        return self._clock.now().boot_s > call.not_after_boot_s

    def _thread_handle(self) -> pycurl.Curl:
        """Returns the current thread's curl handle with default options."""
        curl: pycurl.Curl | None = getattr(self._local, "curl", None)
        if curl is None:
            curl = pycurl.Curl()
            self._local.curl = curl
        curl.reset()
        return curl

    def _configure_handle(
        self,
        curl: pycurl.Curl,
        call: _batch_events.CallWorker,
        answer: io.BytesIO,
    ) -> None:
        """Sets a handle's URL, body, timeouts and callbacks for a call."""
        path = _PATH_BY_REQUEST[type(call.request)]
        curl.setopt(pycurl.URL, call.address.rstrip("/") + path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
        curl.setopt(pycurl.TIMEOUT_MS, int(self._call_timeout_s * 1000))
        curl.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
        curl.setopt(
            pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"]
        )
        if not isinstance(call.request, _batch_events.ListTasks):
            body = json.dumps(encode_request_body(call.request))
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.WRITEFUNCTION, answer.write)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._make_abort_callback(call))

    def _make_abort_callback(
        self, call: _batch_events.CallWorker
    ) -> Callable[[int, int, int, int], int]:
        """Returns a progress callback that aborts an unsent call when late.

        A worker does nothing for a request whose body was not sent.
        """

        def progress(_dt: int, _dn: int, _ut: int, sent: int) -> int:
            return 1 if sent == 0 and self._is_past_send_deadline(call) else 0

        return progress

    def _event_of_error(
        self,
        call: _batch_events.CallWorker,
        guard: _send_guard.SendGuard,
        code: int,
        detail: str,
    ) -> WorkerEvent:
        """Returns the result of a call that libcurl ended with an error."""
        if guard.was_second_refused:
            detail = "connection lost before a byte of the response"
        if not guard.may_have_sent and code in _NOT_SENT_ERRORS:
            reason = _outcomes.Reason.CONNECT_FAILED
            return _not_called_event(call, reason, detail)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return _call_lost_event(call, _outcomes.Reason.TIMEOUT, detail)
        return _call_lost_event(call, _outcomes.Reason.CONNECTION_LOST, detail)


def _step_of(call: _batch_events.CallWorker) -> _outcomes.Step:
    """Returns the processing step of a call's request type."""
    return _STEP_BY_REQUEST[type(call.request)]


def _not_called_event(
    call: _batch_events.CallWorker, reason: _outcomes.Reason, detail: str
) -> WorkerEvent:
    """Returns the result of a call that was certainly not sent."""
    outcome = _outcomes.NotRun(
        step=_step_of(call), peer=call.address, reason=reason, detail=detail
    )
    return _batch_events.WorkerNotCalled(call.machine, call.request, outcome)


def _call_lost_event(
    call: _batch_events.CallWorker, reason: _outcomes.Reason, detail: str
) -> WorkerEvent:
    """Returns the result of a call whose effect is unknown."""
    outcome = _outcomes.Unknown(
        step=_step_of(call), peer=call.address, reason=reason, detail=detail
    )
    return _batch_events.WorkerCallLost(call.machine, call.request, outcome)

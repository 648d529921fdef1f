"""WSGI applications for clients, peer instances and readiness checks."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import contextlib
import math
import threading
import time
from typing import Any

import structlog
import werkzeug
from werkzeug import exceptions

from basiljunction.platform import _clients
from basiljunction.protocol import _errors
from basiljunction.protocol import _job_records
from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _progress
from basiljunction.transport import _metrics
from basiljunction.transport import _task
from basiljunction.transport.jobs import _answer_limit
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _cell_task

RETRY_AFTER_S = 1.0
"""`Retry-After` value of a refused call, in seconds.

A take-over by another instance lasts about two seconds; the retries of
different clients spread over that time.
"""

DEADLINE_MARGIN_S = 0.1
"""Part of a client's deadline reserved for sending the response, in seconds."""

TASK_ANSWER_MARGIN_S = 0.5
"""Extra wait, in seconds, for the cell task to answer a call that timed out.

The cell task answers an expired call itself; this leaves it time to do so.
"""

LIMIT_CHECK_INTERVAL_S = 0.1
"""Interval at which a request that waits for the cell task checks whether the
instance leaves, in seconds."""

_Outcome = _client_calls.CallOutcome
_Reply = _client_calls.ClientReply

_UNLIMITED_KINDS = frozenset(
    {
        _client_calls.CallKind.CANCEL,
        _client_calls.CallKind.LEADER,
        _client_calls.CallKind.OUTAGE,
    }
)
"""Kinds of call that may occupy every thread of a server."""

_log = structlog.get_logger()

StartResponse = Callable[..., Any]
"""The `start_response` callable of a WSGI server."""


class CallSlots:
    """Limits how many threads of a server calls may occupy while they wait.

    Cancels and questions of other instances may use every thread: submissions
    that wait for the store or for a scheduler must not delay them.

    Args:
        count: Most other calls that wait at the same time.
    """

    def __init__(self, count: int) -> None:
        self._free = threading.Semaphore(count)

    def acquire(self, kind: _client_calls.CallKind) -> bool:
        """Returns whether a call may wait; `release` has to follow then."""
        return kind in _UNLIMITED_KINDS or self._free.acquire(blocking=False)

    def release(self, kind: _client_calls.CallKind) -> None:
        """Records that a call no longer waits."""
        if kind not in _UNLIMITED_KINDS:
            self._free.release()


def call_cell_task(
    task: _cell_task.CellTask,
    call: _client_calls.ClientCall,
    *,
    slots: CallSlots,
    limit: _answer_limit.AnswerLimit,
    timeout_s: float,
    is_forwarded: bool,
) -> _client_calls.ClientReply:
    """Sends a client call to the cell task and waits for the reply.

    Args:
        task: The task that answers the call.
        call: The client call.
        slots: Limit of the server that received the call.
        limit: Time by which the instance answers every call.
        timeout_s: Time in which the task has to answer, in seconds.
        is_forwarded: Whether a peer instance forwarded the call.

    Returns:
        The reply; unavailable if too many calls wait, the task's mailbox is
        full or no time is left (not the leader, if a peer forwarded the call),
        and unknown if the task does not answer in time.
    """
    if limit.left_s() <= 0:
        # A peer that is told so tries another scheduler and refuses nobody.
        return _Reply(
            _Outcome.NOT_LEADER if is_forwarded else _Outcome.UNAVAILABLE
        )
    if not slots.acquire(call.kind):
        _log.warning("call.refused", error="too many calls wait")
        return _Reply(_Outcome.UNAVAILABLE)
    try:
        return _wait_for_cell_task(
            task,
            call,
            limit=limit,
            timeout_s=timeout_s,
            is_forwarded=is_forwarded,
        )
    finally:
        slots.release(call.kind)


def _wait_for_cell_task(
    task: _cell_task.CellTask,
    call: _client_calls.ClientCall,
    *,
    limit: _answer_limit.AnswerLimit,
    timeout_s: float,
    is_forwarded: bool,
) -> _client_calls.ClientReply:
    """Sends a call that holds a slot to the cell task; returns the reply."""
    reply_future: futures.Future[_client_calls.ClientReply] = futures.Future()
    try:
        task.tell(
            _cell_task.CallReceived(call, reply_future, timeout_s, is_forwarded)
        )
    except _task.MailboxFullError as error:
        _log.warning("call.refused", error=str(error))
        return _Reply(_Outcome.UNAVAILABLE)
    end_s = time.monotonic() + timeout_s + TASK_ANSWER_MARGIN_S
    while (left_s := min(end_s - time.monotonic(), limit.left_s())) > 0:
        with contextlib.suppress(futures.TimeoutError):
            return reply_future.result(min(left_s, LIMIT_CHECK_INTERVAL_S))
    _log.warning(
        "call.unanswered",
        kind=call.kind.value,
        job=call.job_id,
        leaving=limit.left_s() <= 0,
    )
    return _Reply(_Outcome.UNKNOWN)


class ReadyApp:
    """WSGI application that reports readiness: status 200 if ready, else 503.

    Args:
        is_ready: Returns whether this instance accepts new connections.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Responds with the readiness of this instance."""
        status = 200 if self._is_ready() else 503
        return werkzeug.Response(status=status)(environ, start_response)


class PeerApp:
    """WSGI application that answers calls forwarded by peer instances.

    Args:
        task: The cell task that answers the calls.
        slots: Limit of the calls that wait.
        limit: Time by which the instance answers every call; None for an
            instance that does not leave.
    """

    def __init__(
        self,
        task: _cell_task.CellTask,
        slots: CallSlots,
        limit: _answer_limit.AnswerLimit | None = None,
    ) -> None:
        self._limit = limit or _answer_limit.AnswerLimit()
        self._task = task
        self._slots = slots

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Responds to one forwarded call; status 400 if it is malformed."""
        request = werkzeug.Request(environ)
        try:
            call = _peer_calls.decode_call(request.get_data(cache=False))
        except _errors.DecodeError as error:
            _log.warning("peer.malformed", error=str(error))
            response = werkzeug.Response(status=400)
            return response(environ, start_response)
        reply = call_cell_task(
            self._task,
            call,
            slots=self._slots,
            limit=self._limit,
            timeout_s=_call_router.PEER_TIMEOUT_S,
            is_forwarded=True,
        )
        body = _peer_calls.encode_reply(
            reply, reply.leader_address, reply.leader_epoch
        )
        response = werkzeug.Response(body, content_type=_peer_calls.MEDIA_TYPE)
        return response(environ, start_response)


class FrontApp:
    """WSGI application that serves the HTTP interface for clients.

    Args:
        task: The cell task that answers the calls.
        is_leaving: Returns whether the instance is shutting down, in which
            case every response closes its connection.
        metrics: Receives the count and duration of the calls.
        slots: Limit of the calls that wait.
        limit: Time by which the instance answers every call; None for an
            instance that does not leave.
    """

    def __init__(
        self,
        task: _cell_task.CellTask,
        is_leaving: Callable[[], bool],
        metrics: _metrics.Metrics,
        slots: CallSlots,
        limit: _answer_limit.AnswerLimit | None = None,
    ) -> None:
        self._limit = limit or _answer_limit.AnswerLimit()
        self._slots = slots
        self._metrics = metrics
        self._task = task
        self._is_leaving = is_leaving

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Responds to one client request with a JSON body."""
        request = werkzeug.Request(environ)
        answer = self._route_request(request)
        response = werkzeug.Response(
            answer.body,
            status=answer.status,
            content_type="application/json",
        )
        if answer.retry_after_s:
            wait_s = max(1, math.ceil(answer.retry_after_s))
            response.headers["Retry-After"] = str(wait_s)
        if self._is_leaving() or answer.status in (400, 413):
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _route_request(self, request: werkzeug.Request) -> _clients.HttpAnswer:
        """Determines queue and kind of call of a request and answers it."""
        configuration = self._task.configuration
        if configuration is None:
            return _clients.encode_refusal(
                503, "no-configuration", retry_after_s=RETRY_AFTER_S
            )
        host = request.host.partition(":")[0].lower()
        queue = configuration.find_queue_by_path(host, request.path)
        if queue is None:
            return _clients.encode_refusal(404, "no-such-queue")
        job_id = request.path.removeprefix(queue.path_prefix)
        if job_id == "" and request.method == "GET":
            kind = _client_calls.CallKind.WAITING
        elif not _clients.is_job_id(job_id):
            return _clients.encode_refusal(404, "no-such-job-id")
        else:
            kind_for_method = _KIND_BY_METHOD.get(request.method)
            if kind_for_method is None:
                return _clients.encode_refusal(405, "method")
            kind = kind_for_method
        return self._answer_call(request, configuration, queue, kind, job_id)

    def _answer_call(
        self,
        request: werkzeug.Request,
        configuration: _configuration.Configuration,
        queue: _configuration.Queue,
        kind: _client_calls.CallKind,
        job_id: str,
    ) -> _clients.HttpAnswer:
        """Has the cell task answer a call, and records its outcome."""
        job = b""
        if kind is _client_calls.CallKind.SUBMIT:
            request.max_content_length = configuration.max_body_bytes
            try:
                job = self._encode_submitted_job(request, queue, job_id)
            except exceptions.RequestEntityTooLarge:
                return _clients.encode_refusal(413, "body-too-large")
            except _errors.DecodeError as error:
                return _clients.encode_refusal(400, str(error))
        call = _client_calls.ClientCall(
            kind=kind,
            queue=queue.name,
            job_id=job_id,
            encoded_job=job,
            configuration_version=configuration.version,
        )
        started_s = time.monotonic()
        reply = call_cell_task(
            self._task,
            call,
            slots=self._slots,
            limit=self._limit,
            timeout_s=_caller_timeout_s(request, queue),
            is_forwarded=False,
        )
        took_s = time.monotonic() - started_s
        outcome = reply.outcome.value
        self._metrics.count("calls", kind=kind.value, outcome=outcome)
        self._metrics.observe(
            "call_duration", took_s, kind=kind.value, outcome=outcome
        )
        if kind.changes_state or reply.outcome is not _Outcome.FOUND:
            _log.info(
                "call.answered",
                kind=kind.value,
                job=job_id,
                queue=queue.name,
                outcome=reply.outcome.value,
                took_ms=round(took_s * 1000, 1),
            )
        return _clients.encode_answer(call, reply, retry_after_s=RETRY_AFTER_S)

    def _encode_submitted_job(
        self,
        request: werkzeug.Request,
        queue: _configuration.Queue,
        job_id: str,
    ) -> bytes:
        """Returns the submitted job, encoded as accepted now.

        Raises:
            DecodeError: The request body is not a valid job.
            RequestEntityTooLarge: The request body is too large.
        """
        spec = _clients.parse_job(request.get_data(cache=False))
        return _job_records.encode_job(
            _progress.AcceptedJob(
                id=job_id,
                queue=queue,
                spec=spec,
                accepted_wall_s=time.time(),
            )
        )


_KIND_BY_METHOD = {
    "POST": _client_calls.CallKind.SUBMIT,
    "GET": _client_calls.CallKind.STATE,
    "DELETE": _client_calls.CallKind.CANCEL,
}
"""Kind of client call by the HTTP method of a request for a job."""


def _caller_timeout_s(
    request: werkzeug.Request, queue: _configuration.Queue
) -> float:
    """Returns the time left to answer a request, in seconds.

    The deadline header of the request applies if it is shorter than the
    timeout of the queue. The time to send the response is deducted.
    """
    text = request.headers.get(_clients.DEADLINE_HEADER, "")
    try:
        left_s = float(text) / 1000
    except ValueError:
        left_s = queue.timeout_s
    if not 0 <= left_s < queue.timeout_s:
        left_s = queue.timeout_s
    return max(0.0, left_s - DEADLINE_MARGIN_S)

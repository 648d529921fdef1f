"""The WSGI applications: for callers, for peers, and for readiness checks."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import math
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
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _cell_task

RETRY_AFTER_S = 1.0
"""When a caller may come back: a take-over lasts some two seconds, and callers
spread over it."""

DEADLINE_MARGIN_S = 0.1
"""Kept of a caller's time for the answer to reach it."""

ANSWER_MARGIN_S = 0.5
"""Time past its limit in which the task still answers a call by itself."""

_Outcome = _client_calls.Outcome
_Reply = _client_calls.ClientReply

_log = structlog.get_logger()

StartResponse = Callable[..., Any]


def ask(
    task: _cell_task.CellTask,
    call: _client_calls.ClientCall,
    *,
    timeout_s: float,
    is_forwarded: bool,
) -> _client_calls.ClientReply:
    """Returns the task's answer to a call."""
    reply: futures.Future[_client_calls.ClientReply] = futures.Future()
    try:
        task.tell(_cell_task.CallAsked(call, reply, timeout_s, is_forwarded))
    except _task.MailboxFullError as error:
        _log.warning("call.refused", error=str(error))
        return _Reply(_Outcome.UNAVAILABLE)
    try:
        return reply.result(timeout=timeout_s + ANSWER_MARGIN_S)
    except futures.TimeoutError:
        _log.warning("call.unanswered", kind=call.kind.value, job=call.job_id)
        return _Reply(_Outcome.UNKNOWN)


class ReadyApp:
    """Answers whether this instance takes new connections.

    Args:
        is_ready: Tells it.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        status = 200 if self._is_ready() else 503
        return werkzeug.Response(status=status)(environ, start_response)


class PeerApp:
    """Answers the calls that other instances pass on.

    Args:
        task: Answers them.
    """

    def __init__(self, task: _cell_task.CellTask) -> None:
        self._task = task

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        request = werkzeug.Request(environ)
        try:
            call = _peer_calls.decode_call(request.get_data(cache=False))
        except _errors.DecodeError as error:
            _log.warning("peer.malformed", error=str(error))
            response = werkzeug.Response(status=400)
            return response(environ, start_response)
        reply = ask(
            self._task,
            call,
            timeout_s=_call_router.PEER_TIMEOUT_S,
            is_forwarded=True,
        )
        body = _peer_calls.encode_reply(
            reply, reply.leader_address, reply.leader_epoch
        )
        response = werkzeug.Response(body, content_type=_peer_calls.MEDIA_TYPE)
        return response(environ, start_response)


class FrontApp:
    """Answers callers.

    Args:
        task: Answers their calls.
        is_leaving: Tells whether connections are to be closed.
        metrics: Counts the calls.
    """

    def __init__(
        self,
        task: _cell_task.CellTask,
        is_leaving: Callable[[], bool],
        metrics: _metrics.Metrics,
    ) -> None:
        self._metrics = metrics
        self._task = task
        self._is_leaving = is_leaving

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        request = werkzeug.Request(environ)
        answer = self._answer(request)
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

    def _answer(self, request: werkzeug.Request) -> _clients.Answer:
        configuration = self._task.configuration
        if configuration is None:
            return _clients.refusal(
                503, "no-configuration", retry_after_s=RETRY_AFTER_S
            )
        host = request.host.partition(":")[0].lower()
        queue = configuration.queue_for(host, request.path)
        if queue is None:
            return _clients.refusal(404, "no-such-queue")
        rest = request.path.removeprefix(queue.path_prefix)
        if rest == "" and request.method == "GET":
            kind = _client_calls.CallKind.WAITING
        elif not _clients.is_job_id(rest):
            return _clients.refusal(404, "no-such-job-id")
        else:
            found = _KIND_BY_METHOD.get(request.method)
            if found is None:
                return _clients.refusal(405, "method")
            kind = found
        return self._answer_call(request, configuration, queue, kind, rest)

    def _answer_call(
        self,
        request: werkzeug.Request,
        configuration: _configuration.Configuration,
        queue: _configuration.Queue,
        kind: _client_calls.CallKind,
        job_id: str,
    ) -> _clients.Answer:
        job = b""
        if kind is _client_calls.CallKind.SUBMIT:
            request.max_content_length = configuration.max_body_bytes
            try:
                job = self._encoded_job(request, queue, job_id)
            except exceptions.RequestEntityTooLarge:
                return _clients.refusal(413, "body-too-large")
            except _errors.DecodeError as error:
                return _clients.refusal(400, str(error))
        call = _client_calls.ClientCall(
            kind=kind,
            queue=queue.name,
            job_id=job_id,
            job=job,
            configuration_version=configuration.version,
        )
        begun_s = time.monotonic()
        reply = ask(
            self._task,
            call,
            timeout_s=_time_left_s(request, queue),
            is_forwarded=False,
        )
        took_s = time.monotonic() - begun_s
        outcome = reply.outcome.value
        self._metrics.count("calls", kind=kind.value, outcome=outcome)
        self._metrics.observe(
            "call_duration", took_s, kind=kind.value, outcome=outcome
        )
        if kind.has_effect or reply.outcome is not _Outcome.FOUND:
            _log.info(
                "call.answered",
                kind=kind.value,
                job=job_id,
                queue=queue.name,
                outcome=reply.outcome.value,
                took_ms=round(took_s * 1000, 1),
            )
        return _clients.answer(call, reply, retry_after_s=RETRY_AFTER_S)

    def _encoded_job(
        self,
        request: werkzeug.Request,
        queue: _configuration.Queue,
        job_id: str,
    ) -> bytes:
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


def _time_left_s(
    request: werkzeug.Request, queue: _configuration.Queue
) -> float:
    """Returns how long the caller waits, by its header or the queue."""
    text = request.headers.get(_clients.DEADLINE_HEADER, "")
    try:
        left_s = float(text) / 1000
    except ValueError:
        left_s = queue.timeout_s
    if not 0 <= left_s < queue.timeout_s:
        left_s = queue.timeout_s
    return max(0.0, left_s - DEADLINE_MARGIN_S)

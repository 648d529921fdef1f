"""HTTP calls to executors, and the outcome that follows from a failed call.

A request has certainly not run only if libcurl was not allowed to start
sending it, or if the executor refused it. In all other failures the outcome is
unknown.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import threading

import pycurl

from basiljunction.coordination import _urgent_request
from basiljunction.state import _outcomes
from basiljunction.transport import _clock

CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to an executor, in seconds."""

MAX_IDLE_S = 20.0
"""Time after which an idle connection is closed, in seconds."""

MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""Largest response body that is accepted."""

MIN_TIMEOUT_MS = 1
"""Shortest timeout set on libcurl, for which 0 means no timeout."""


class _Exchange:
    """State of one HTTP request to an executor; its methods are curl callbacks.

    Args:
        call: The request, its executor and its deadline.
        clock: Source of the current time.
        get_lease_expiry: Returns the boot time, in seconds, at which this
            instance's lease expires; work may only start before it.
    """

    def __init__(
        self,
        call: _urgent_request.CallExecutor,
        clock: _clock.Clock,
        get_lease_expiry: Callable[[], float],
    ) -> None:
        self._call = call
        self._clock = clock
        self._get_lease_expiry = get_lease_expiry
        self._lease_at_send_boot_s = 0.0
        self._progress_calls = 0
        self.may_have_sent = False
        self.has_lease_expired = False
        self.was_resend_attempted = False
        self.not_sent_reason: _outcomes.Reason | None = None
        self.body = bytearray()
        self.header_by_name: dict[str, str] = {}

    def check_before_send(self, *_addresses: object) -> int:
        """Checks the lease and the deadline just before the first byte is sent.

        libcurl calls this again if a reused connection turns out to be dead
        after data was written to it; a second send is never allowed.
        """
        if self.may_have_sent:
            self.was_resend_attempted = True
            return int(pycurl.PREREQFUNC_ABORT)
        now_s = self._clock.now().boot_s
        self._lease_at_send_boot_s = self._get_lease_expiry()
        if now_s >= self._lease_at_send_boot_s:
            self.not_sent_reason = _outcomes.Reason.LEASE_LAPSED
            return int(pycurl.PREREQFUNC_ABORT)
        if now_s >= self._call.deadline_boot_s:
            self.not_sent_reason = _outcomes.Reason.DEADLINE_PASSED
            return int(pycurl.PREREQFUNC_ABORT)
        self.may_have_sent = True
        return int(pycurl.PREREQFUNC_OK)

    def check_lease_while_sending(
        self, _total: int, _received: int, _to_send: int, sent: int
    ) -> int:
        """Returns non-zero, which aborts, if the lease expires during the send.

        The expiry that was read before the send counts: a lease that was
        renewed after a pause does not cover the time of the pause.
        """
        if not self.may_have_sent or self._progress_calls < 0:
            return 0
        if self._clock.now().boot_s >= self._lease_at_send_boot_s:
            self.has_lease_expired = True
            return 1
        self._progress_calls += 1
        if self._progress_calls >= 2 and sent >= len(self._call.hop.body):
            self._progress_calls = -1
        return 0

    def add_header_line(self, line: bytes) -> None:
        """Adds a response header line; a status line clears earlier headers."""
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.header_by_name.clear()
            return
        name, separator, value = text.partition(":")
        if separator:
            self.header_by_name[name.strip().lower()] = value.strip()

    def add_body_part(self, part: bytes) -> int | None:
        """Adds a part of the response body.

        Returns:
            0 if the body would be too large, which aborts the transfer;
            otherwise None.
        """
        if len(self.body) + len(part) > MAX_ANSWER_BYTES:
            return 0
        self.body += part
        return None


@dataclasses.dataclass(slots=True)
class _HandlePool:
    """The curl handles of one executor; each has at most one connection.

    Attributes:
        open_handles: Number of handles, in use or idle.
        idle_handles: Unused handles, and the boot time of their last use.
    """

    open_handles: int = 0
    idle_handles: list[tuple[pycurl.Curl, float]] = dataclasses.field(
        default_factory=list
    )


class ExecutorClient:
    """Sends requests to executors over pooled connections; thread-safe.

    Args:
        clock: Source of the current time.
        get_lease_expiry: Returns the boot time, in seconds, at which this
            instance's lease expires; work may only start before it.
    """

    def __init__(
        self, *, clock: _clock.Clock, get_lease_expiry: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._get_lease_expiry = get_lease_expiry
        self._lock = threading.Lock()
        self._pool_by_executor: dict[str, _HandlePool] = {}

    def call_executor(
        self, call: _urgent_request.CallExecutor
    ) -> _outcomes.Outcome:
        """Sends one request to its executor and returns the outcome.

        Blocks until the whole answer has arrived or the call has failed.
        """
        if self._clock.now().boot_s >= call.deadline_boot_s:
            return _not_sent_outcome(call, _outcomes.Reason.DEADLINE_PASSED)
        handle = self._acquire_handle(call)
        if handle is None:
            return _not_sent_outcome(call, _outcomes.Reason.OVERLOADED)
        exchange = _Exchange(call, self._clock, self._get_lease_expiry)
        failed = self._perform(handle, exchange, call)
        if failed is not None:
            self._close_handle(call.executor, handle)
            return _outcome_of_error(call, exchange, failed)
        status = int(handle.getinfo(pycurl.RESPONSE_CODE))
        self._release_handle(call.executor, handle)
        return _outcome_of_answer(call, exchange, status)

    def close_idle_connections(self, executors: Collection[str]) -> None:
        """Closes idle connections that are old or not needed any more.

        Args:
            executors: Executors that this instance owns; all idle
                connections to others are closed.
        """
        now_s = self._clock.now().boot_s
        with self._lock:
            for executor, pool in list(self._pool_by_executor.items()):
                oldest_s = now_s - MAX_IDLE_S
                if executor not in executors:
                    oldest_s = float("inf")
                _close_idle_handles(pool, oldest_s)
                if not pool.open_handles:
                    del self._pool_by_executor[executor]

    def _perform(
        self,
        handle: pycurl.Curl,
        exchange: _Exchange,
        call: _urgent_request.CallExecutor,
    ) -> pycurl.error | None:
        """Performs the call; returns the error that ended it, if any."""
        remaining_s = call.deadline_boot_s - self._clock.now().boot_s
        try:
            _configure_handle(handle, exchange, call, remaining_s)
            handle.perform()
        except pycurl.error as error:
            return error
        except ValueError as error:
            # A header that cannot be encoded; nothing has been sent.
            return pycurl.error(0, str(error))
        return None

    def _acquire_handle(
        self, call: _urgent_request.CallExecutor
    ) -> pycurl.Curl | None:
        """Returns an idle or new handle; None at the connection limit."""
        with self._lock:
            pool = self._pool_by_executor.setdefault(
                call.executor, _HandlePool()
            )
            if pool.idle_handles:
                return pool.idle_handles.pop()[0]
            if pool.open_handles >= call.connections:
                return None
            pool.open_handles += 1
        return pycurl.Curl()

    def _release_handle(self, executor: str, handle: pycurl.Curl) -> None:
        """Puts a handle back into its executor's pool."""
        now_s = self._clock.now().boot_s
        with self._lock:
            pool = self._pool_by_executor[executor]
            pool.idle_handles.append((handle, now_s))

    def _close_handle(self, executor: str, handle: pycurl.Curl) -> None:
        """Closes a handle and its connection; the pool may open another."""
        handle.close()
        with self._lock:
            self._pool_by_executor[executor].open_handles -= 1


def _close_idle_handles(pool: _HandlePool, oldest_s: float) -> None:
    """Closes the handles that are idle since ``oldest_s`` or longer."""
    kept = []
    for handle, idle_since_s in pool.idle_handles:
        if idle_since_s > oldest_s:
            kept.append((handle, idle_since_s))
            continue
        handle.close()
        pool.open_handles -= 1
    pool.idle_handles = kept


def _configure_handle(
    handle: pycurl.Curl,
    exchange: _Exchange,
    call: _urgent_request.CallExecutor,
    remaining_s: float,
) -> None:
    """Sets a handle's URL, headers, timeouts and callbacks for a call."""
    hop = call.hop
    handle.reset()
    headers = [
        f"X-Request-Id: {hop.key.request_id}",
        f"X-Customer: {hop.customer}",
        f"X-Class: {hop.class_name}",
        f"X-Deadline-S: {max(0.0, remaining_s):.3f}",
        f"Content-Type: {hop.content_type}",
        "Expect:",
    ]
    if hop.idempotency_key:
        headers.append(f"Idempotency-Key: {hop.idempotency_key}")
        # A reused connection may have died unnoticed, which would leave the
        # outcome of the request unknown.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
    handle.setopt(pycurl.URL, f"{call.address}/run")
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.MAXCONNECTS, 1)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.POSTFIELDS, hop.body)
    handle.setopt(pycurl.POSTFIELDSIZE, len(hop.body))
    handle.setopt(pycurl.HTTPHEADER, headers)
    timeout_ms = max(MIN_TIMEOUT_MS, int(remaining_s * 1000))
    handle.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    connect_ms = min(timeout_ms, int(CONNECT_TIMEOUT_S * 1000))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, connect_ms)
    handle.setopt(pycurl.NOPROGRESS, 0)
    handle.setopt(pycurl.PREREQFUNCTION, exchange.check_before_send)
    handle.setopt(pycurl.XFERINFOFUNCTION, exchange.check_lease_while_sending)
    handle.setopt(pycurl.HEADERFUNCTION, exchange.add_header_line)
    handle.setopt(pycurl.WRITEFUNCTION, exchange.add_body_part)


def _not_sent_outcome(
    call: _urgent_request.CallExecutor, reason: _outcomes.Reason
) -> _outcomes.NotRun:
    """Returns the outcome of a call that failed before connecting."""
    return _outcomes.NotRun(_outcomes.Step.CONNECT, call.executor, reason, 1.0)


def _outcome_of_error(
    call: _urgent_request.CallExecutor,
    exchange: _Exchange,
    error: pycurl.error,
) -> _outcomes.Outcome:
    """Returns the outcome of a call that libcurl ended with an error."""
    code, detail = _code_and_detail(error)
    if exchange.not_sent_reason is not None:
        return _outcomes.NotRun(
            _outcomes.Step.SEND, call.executor, exchange.not_sent_reason, 1.0
        )
    if not exchange.may_have_sent:
        return _outcomes.NotRun(
            _outcomes.Step.CONNECT,
            call.executor,
            _outcomes.Reason.CONNECT_FAILED,
            1.0,
            detail,
        )
    step, reason = _classify_lost_call(exchange, code)
    return _outcomes.Unknown(step, call.executor, reason, detail)


def _code_and_detail(error: pycurl.error) -> tuple[int, str]:
    """Returns the libcurl error code and message."""
    code, detail = (*error.args, "", "")[:2]
    return int(code), str(detail)


def _classify_lost_call(
    exchange: _Exchange, code: int
) -> tuple[_outcomes.Step, _outcomes.Reason]:
    """Returns the step and reason of a call with an unknown outcome."""
    if exchange.has_lease_expired:
        return _outcomes.Step.SEND, _outcomes.Reason.LEASE_LAPSED
    if exchange.was_resend_attempted or code == pycurl.E_SEND_ERROR:
        return _outcomes.Step.SEND, _outcomes.Reason.CONNECTION_LOST
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return _outcomes.Step.WAIT, _outcomes.Reason.TIMEOUT
    if code in {pycurl.E_PARTIAL_FILE, pycurl.E_WRITE_ERROR}:
        return _outcomes.Step.RECEIVE, _outcomes.Reason.INCOMPLETE_ANSWER
    return _outcomes.Step.RECEIVE, _outcomes.Reason.CONNECTION_LOST


def _outcome_of_answer(
    call: _urgent_request.CallExecutor, exchange: _Exchange, status: int
) -> _outcomes.Outcome:
    """Returns the outcome that follows from a whole HTTP response."""
    header_by_name = exchange.header_by_name
    answered = header_by_name.get("x-request-id")
    is_refusal = status == 503 and header_by_name.get("x-not-run") == "1"
    is_own = answered == call.hop.key.request_id
    if is_refusal and (is_own or answered is None):
        return _outcomes.NotRun(
            _outcomes.Step.SEND,
            call.executor,
            _outcomes.Reason.REFUSED_BY_PEER,
            1.0,
            "the executor refused the request",
        )
    length = header_by_name.get("content-length")
    if not is_own or length != str(len(exchange.body)):
        return _outcomes.Unknown(
            _outcomes.Step.RECEIVE,
            call.executor,
            _outcomes.Reason.INCOMPLETE_ANSWER,
            f"answer to {answered!r} with Content-Length {length!r}",
        )
    return _outcomes.Completed(
        status=status,
        body=bytes(exchange.body),
        content_type=header_by_name.get("content-type", ""),
        peer=call.executor,
    )

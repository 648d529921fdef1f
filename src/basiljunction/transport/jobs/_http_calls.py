"""Concurrent HTTP calls on one thread, using libcurl's socket interface."""

import abc
from collections.abc import Callable
import dataclasses
import io
import selectors
import socket
import time

import pycurl
import structlog

from basiljunction.protocol import _http_call
from basiljunction.transport import _metrics

CONNECT_TIMEOUT_S = 0.6
"""Longest time to connect, in seconds.

This is several times the delay between zones.
"""

MAX_TRANSFER_S = 30.0
"""Longest time for a transfer of which bytes keep arriving, in seconds.

The largest answer of the store takes a tenth of it over the narrowest link, so
there is room for other traffic on it.
"""

MAX_CONNECTIONS_PER_HOST = 8
"""Most connections to one address: one lease renewal and overlapping orders."""

ReplyCallback = Callable[[_http_call.HttpReply], None]
"""Called once with the reply to an HTTP call, or with its failure."""

Connection = tuple[str, int, int]
"""An open connection: the server's address and port, and the own port."""


class ConnectionGuard(abc.ABC):
    """Decides on which connection a call may be sent.

    Attributes:
        may_open: Whether a connection may be opened for the call.
    """

    may_open: bool = True

    @abc.abstractmethod
    def admits(self, connection: Connection) -> bool:
        """Returns whether the call may be sent on a connection."""


_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)
"""libcurl errors that mean that the last sending of the request failed before
its first byte."""

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _CallInFlight:
    """An HTTP call in flight.

    Attributes:
        on_reply: Called with the reply.
        response_body: Receives the bytes of the response.
        call: The call.
        guard: Decides on which connection it may be sent; None if any will do.
        started_s: Monotonic time at which the call started, in seconds.
        last_byte_s: Monotonic time at which the newest byte arrived, or at
            which the call started, in seconds; kept only with a limit.
        silence_limit_s: Longest time without a byte of the response, in
            seconds; None for no limit.
        may_have_been_received: Whether the request was sent on a connection.
        was_second_sending_refused: Whether libcurl wanted to send the request
            a second time and was not allowed to.
        was_connection_refused: Whether libcurl wanted to open or to use a
            connection and was not allowed to.
    """

    on_reply: ReplyCallback
    response_body: io.BytesIO
    call: _http_call.HttpCall
    guard: ConnectionGuard | None
    started_s: float
    last_byte_s: float
    silence_limit_s: float | None = None
    may_have_been_received: bool = False
    was_second_sending_refused: bool = False
    was_connection_refused: bool = False

    def refuse_to_connect(self, *_address: object) -> int:
        """Lets the call fail, as no open connection is free for it."""
        self.was_connection_refused = True
        return int(pycurl.SOCKET_BAD)

    def check_before_sending(
        self, server_ip: str, _own_ip: str, server_port: int, own_port: int
    ) -> int:
        """Refuses a connection that the call may not be sent on.

        Also refuses to send the request a second time unless it is repeatable.
        libcurl calls this each time just before it sends the request. It does
        so again, on a new connection, if a reused one is lost before a byte of
        the response; the server may have received the first request.
        """
        if self.guard is not None and not self.guard.admits(
            (server_ip, server_port, own_port)
        ):
            self.was_connection_refused = True
            return int(pycurl.PREREQFUNC_ABORT)
        if self.may_have_been_received and not self.call.is_repeatable:
            self.was_second_sending_refused = True
            return int(pycurl.PREREQFUNC_ABORT)
        self.may_have_been_received = True
        return int(pycurl.PREREQFUNC_OK)

    def receive_header(self, _line: bytes) -> None:
        """Notes that a line of the header has arrived."""
        self.last_byte_s = time.monotonic()

    def receive_body(self, data: bytes) -> None:
        """Keeps a piece of the body and notes that it has arrived."""
        self.last_byte_s = time.monotonic()
        self.response_body.write(data)

    def describe_silence(self, now_s: float) -> str:
        """Returns the error text of a call that is given up for silence."""
        return (
            f"no byte for {now_s - self.last_byte_s:.2f} s after"
            f" {self.response_body.tell()} bytes of the body in"
            f" {self.last_byte_s - self.started_s:.2f} s"
        )


class HttpClient:
    """HTTP client that makes concurrent calls and passes replies to callbacks.

    All methods but `wake` must be called on the same thread.

    Args:
        metrics: Receives the count and the duration of the calls.
        max_connections: Most connections open at the same time, idle ones
            included; further calls wait for one.

    Attributes:
        max_connections: The limit.
    """

    def __init__(
        self, metrics: _metrics.Metrics, *, max_connections: int
    ) -> None:
        self.max_connections = max_connections
        self._metrics = metrics
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(
            pycurl.M_MAX_HOST_CONNECTIONS, MAX_CONNECTIONS_PER_HOST
        )
        # Without the first, libcurl keeps four idle connections for each call
        # in flight and closes those to executors that are not called just now.
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_connections)
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, max_connections)
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        # The selector's own look-up takes several times as long.
        self._watched_fds: set[int] = set()
        self._call_by_handle: dict[pycurl.Curl, _CallInFlight] = {}
        # Calls with a limit on silence, and the earliest time at which one of
        # them can exceed it.
        self._watched_by_handle: dict[pycurl.Curl, _CallInFlight] = {}
        self._next_silence_check_s = float("inf")
        self._idle_handles: list[pycurl.Curl] = []
        # Calls that cannot be put into a request, and why.
        self._unsendable: list[tuple[_CallInFlight, str]] = []
        self._timer_ms = -1

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: ReplyCallback,
        guard: ConnectionGuard | None = None,
    ) -> None:
        """Starts a call; `poll` later passes the reply to `on_reply`.

        One that libcurl does not take, as for a character in a header that
        cannot be sent, fails like one that is not sent. The caller's loop must
        not end for it, as other calls may follow.

        Args:
            call: The call.
            on_reply: Called once with the reply.
            guard: Decides on which connection it may be sent; None if any will
                do.
        """
        handle = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        body = io.BytesIO()
        now_s = time.monotonic()
        in_flight = _CallInFlight(
            on_reply, body, call, guard, now_s, now_s, call.silence_limit_s
        )
        try:
            _configure_handle(handle, call)
        except (ValueError, pycurl.error) as error:
            handle.reset()
            self._idle_handles.append(handle)
            self._unsendable.append((in_flight, f"cannot be sent: {error}"))
            return
        handle.setopt(pycurl.PREREQFUNCTION, in_flight.check_before_sending)
        if guard is not None and not guard.may_open:
            handle.setopt(
                pycurl.OPENSOCKETFUNCTION, in_flight.refuse_to_connect
            )
        self._call_by_handle[handle] = in_flight
        if call.silence_limit_s is None:
            handle.setopt(pycurl.WRITEFUNCTION, body.write)
        else:
            handle.setopt(pycurl.HEADERFUNCTION, in_flight.receive_header)
            handle.setopt(pycurl.WRITEFUNCTION, in_flight.receive_body)
            self._watched_by_handle[handle] = in_flight
            self._next_silence_check_s = min(
                self._next_silence_check_s, now_s + call.silence_limit_s
            )
        self._multi.add_handle(handle)

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns the bytes received for a call in flight; 0 for any other."""
        for each in self._call_by_handle.values():
            if each.call is call:
                return each.response_body.tell()
        return 0

    def wake(self) -> None:
        """Ends a waiting `poll` early; safe to call from any thread."""
        try:
            self._wake_sender.send(b"\0")
        except BlockingIOError:
            return  # The buffer is full, so wake-ups are pending already.

    def poll(self, wait_s: float) -> None:
        """Waits for socket events and completes the calls that have ended.

        Calls whose limit on silence is exceeded end, too.

        Args:
            wait_s: Longest wait, in seconds.
        """
        timer_s = 0.0 if self._unsendable else wait_s
        if self._timer_ms >= 0:
            timer_s = min(timer_s, self._timer_ms / 1000)
        silence_left_s = self._next_silence_check_s - time.monotonic()
        events = self._selector.select(max(0.0, min(timer_s, silence_left_s)))
        is_timer_due = not events
        for key, mask in events:
            if key.fileobj is self._wake_receiver:
                self._drain_wake_ups()
                continue
            action = 0
            if mask & selectors.EVENT_READ:
                action |= pycurl.CSELECT_IN
            if mask & selectors.EVENT_WRITE:
                action |= pycurl.CSELECT_OUT
            self._multi.socket_action(key.fd, action)
        if is_timer_due or self._timer_ms == 0:
            self._timer_ms = -1
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._complete_finished_calls()
        self._fail_unsendable_calls()
        # After the sockets were read: what arrived while the process was busy
        # ends the silence.
        if time.monotonic() >= self._next_silence_check_s:
            self._give_up_silent_calls()

    def close(self) -> None:
        """Drops all calls without a reply and closes all connections."""
        for handle in list(self._call_by_handle):
            self._multi.remove_handle(handle)
        self._call_by_handle.clear()
        self._watched_by_handle.clear()
        self._unsendable.clear()
        self._multi.close()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _drain_wake_ups(self) -> None:
        """Discards all pending wake-up bytes."""
        try:
            while self._wake_receiver.recv(4096):
                pass
        except BlockingIOError:
            return  # The buffer is empty.

    def _watch_socket(
        self, poll_event: int, fd: int, _multi: pycurl.CurlMulti, _data: object
    ) -> None:
        """Registers or removes a socket as libcurl asks (socket callback)."""
        if poll_event == pycurl.POLL_REMOVE:
            if fd in self._watched_fds:
                self._watched_fds.discard(fd)
                self._selector.unregister(fd)
            return
        mask = 0
        if poll_event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if poll_event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        if fd in self._watched_fds:
            self._selector.modify(fd, mask)
        else:
            self._watched_fds.add(fd)
            self._selector.register(fd, mask)

    def _set_timer(self, timer_ms: int) -> None:
        """Stores libcurl's next timeout in ms, -1 for none (timer callback)."""
        self._timer_ms = timer_ms

    def _complete_finished_calls(self) -> None:
        """Passes on the replies of all calls that libcurl has finished."""
        while True:
            remaining, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                status = int(handle.getinfo(pycurl.RESPONSE_CODE))
                self._complete_call(handle, status=status)
            for handle, code, text in failed:
                self._complete_call(handle, fault=text or str(code), code=code)
            if not remaining:
                return

    def _fail_unsendable_calls(self) -> None:
        """Fails the calls that could not be put into a request."""
        unsendable, self._unsendable = self._unsendable, []
        for call, fault in unsendable:
            self._metrics.count(
                "outgoing_calls", operation=call.call.operation, status="none"
            )
            reply = _http_call.HttpReply(
                status=0, error_text=fault, may_have_been_sent=False
            )
            _pass_reply(call, reply)

    def _give_up_silent_calls(self) -> None:
        """Fails the calls whose limit on silence is exceeded."""
        now_s = time.monotonic()
        silent = []
        self._next_silence_check_s = float("inf")
        for handle, call in self._watched_by_handle.items():
            assert call.silence_limit_s is not None  # noqa: S101 - watched
            limit_s = call.last_byte_s + call.silence_limit_s
            if now_s >= limit_s:
                silent.append((handle, call.describe_silence(now_s)))
            else:
                self._next_silence_check_s = min(
                    self._next_silence_check_s, limit_s
                )
        for handle, fault in silent:
            self._complete_call(
                handle, fault=fault, code=pycurl.E_OPERATION_TIMEDOUT
            )

    def _complete_call(
        self,
        handle: pycurl.Curl,
        *,
        status: int = 0,
        fault: str = "",
        code: int = 0,
    ) -> None:
        """Records the metrics of a call and passes on its reply."""
        call = self._call_by_handle.pop(handle)
        self._watched_by_handle.pop(handle, None)
        took_s = time.monotonic() - call.started_s
        lacked_connection = (
            call.was_connection_refused and not call.may_have_been_received
        )
        if not lacked_connection:
            self._metrics.count(
                "outgoing_calls",
                operation=call.call.operation,
                status=str(status) if status else "none",
            )
            self._metrics.observe(
                "outgoing_call_duration", took_s, operation=call.call.operation
            )
        self._multi.remove_handle(handle)
        handle.reset()
        self._idle_handles.append(handle)
        if lacked_connection:
            fault = "no connection that may be used was free"
        elif call.was_second_sending_refused or call.was_connection_refused:
            fault = "connection lost before a byte of the response"
        reply = _http_call.HttpReply(
            status=status,
            body=call.response_body.getvalue(),
            error_text=fault,
            may_have_been_sent=(
                call.may_have_been_received
                or not (lacked_connection or code in _NOT_SENT_ERRORS)
            ),
            lacked_connection=lacked_connection,
        )
        _pass_reply(call, reply)


def _pass_reply(call: _CallInFlight, reply: _http_call.HttpReply) -> None:
    """Passes a reply to the callback of its call.

    An exception of the callback is logged, so that other calls that have ended
    get their replies and the caller's loop goes on.
    """
    try:
        call.on_reply(reply)
    except Exception as error:  # noqa: BLE001 - must not end the task
        _log.exception(
            "call.reply-error",
            operation=call.call.operation,
            status=reply.status,
            error=repr(error),
        )


def _configure_handle(handle: pycurl.Curl, call: _http_call.HttpCall) -> None:
    """Sets the URL, timeouts, headers and body of a call on a handle."""
    handle.setopt(pycurl.URL, call.url)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout_s * 1000)))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    handle.setopt(pycurl.FRESH_CONNECT, int(call.needs_new_connection))
    handle.setopt(pycurl.HTTPHEADER, ["Expect:", *call.headers])
    if call.body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, call.body)
    elif call.method != "GET":
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)

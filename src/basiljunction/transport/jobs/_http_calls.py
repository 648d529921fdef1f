"""Many HTTP calls at once on one thread, through libcurl's socket interface."""

from collections.abc import Callable
import dataclasses
import io
import selectors
import socket
import time

import pycurl

from basiljunction.protocol import _http_call
from basiljunction.transport import _metrics

CONNECT_TIMEOUT_S = 0.6
"""Longest time to connect; several times the delay between zones."""

MAX_CONNECTIONS_PER_HOST = 8
"""Connections to one address; a renewal, and orders that overlap."""

MAX_IDLE_CONNECTIONS = 400
"""Connections kept open; within the descriptors of the smallest instance."""

Done = Callable[[_http_call.HttpReply], None]

_NEVER_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)
"""Faults after which the call certainly did not leave."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """A call in flight.

    Attributes:
        done: Takes the reply.
        body: Takes the bytes of the answer.
        operation: What the call does.
        begun_s: When it began.
    """

    done: Done
    body: io.BytesIO
    operation: str
    begun_s: float


class HttpCalls:
    """Makes calls and hands each reply to its callback.

    It belongs to one thread; only `wake` may be called from others.

    Args:
        metrics: Takes the count and the duration of the calls.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(
            pycurl.M_MAX_HOST_CONNECTIONS, MAX_CONNECTIONS_PER_HOST
        )
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._pending_by_handle: dict[pycurl.Curl, _Pending] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._timer_ms = -1

    def send(self, call: _http_call.HttpCall, done: Done) -> None:
        """Begins a call; the reply comes during a later `poll`."""
        handle = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        body = io.BytesIO()
        _set_up(handle, call)
        handle.setopt(pycurl.WRITEFUNCTION, body.write)
        self._pending_by_handle[handle] = _Pending(
            done, body, call.operation, time.monotonic()
        )
        self._multi.add_handle(handle)

    def wake(self) -> None:
        """Ends a `poll` that waits; safe for any thread."""
        try:
            self._wake_sender.send(b"\0")
        except BlockingIOError:
            return  # A wake-up is waiting already.

    def poll(self, wait_s: float) -> None:
        """Waits for sockets and handles what came."""
        timer_s = wait_s
        if self._timer_ms >= 0:
            timer_s = min(wait_s, self._timer_ms / 1000)
        events = self._selector.select(timer_s)
        is_timer_due = not events
        for key, mask in events:
            if key.fileobj is self._wake_receiver:
                self._drain_wakes()
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
        self._finish()

    def close(self) -> None:
        """Drops all calls and connections."""
        for handle in list(self._pending_by_handle):
            self._multi.remove_handle(handle)
        self._pending_by_handle.clear()
        self._multi.close()
        self._selector.close()
        self._wake_receiver.close()
        self._wake_sender.close()

    def _drain_wakes(self) -> None:
        try:
            while self._wake_receiver.recv(4096):
                pass
        except BlockingIOError:
            return  # All wake-ups are taken.

    def _watch(
        self, what: int, fd: int, _multi: pycurl.CurlMulti, _data: object
    ) -> None:
        if what == pycurl.POLL_REMOVE:
            if fd in self._selector.get_map():
                self._selector.unregister(fd)
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        if fd in self._selector.get_map():
            self._selector.modify(fd, mask)
        else:
            self._selector.register(fd, mask)

    def _set_timer(self, timer_ms: int) -> None:
        self._timer_ms = timer_ms

    def _finish(self) -> None:
        while True:
            left, succeeded, failed = self._multi.info_read()
            for handle in succeeded:
                status = int(handle.getinfo(pycurl.RESPONSE_CODE))
                self._reply(handle, status=status)
            for handle, code, text in failed:
                self._reply(handle, fault=text or str(code), code=code)
            if not left:
                return

    def _reply(
        self,
        handle: pycurl.Curl,
        *,
        status: int = 0,
        fault: str = "",
        code: int = 0,
    ) -> None:
        pending = self._pending_by_handle.pop(handle)
        took_s = time.monotonic() - pending.begun_s
        self._metrics.count(
            "outgoing_calls",
            operation=pending.operation,
            status=str(status) if status else "none",
        )
        self._metrics.observe(
            "outgoing_call_duration", took_s, operation=pending.operation
        )
        self._multi.remove_handle(handle)
        handle.reset()
        self._idle_handles.append(handle)
        pending.done(
            _http_call.HttpReply(
                status=status,
                body=pending.body.getvalue(),
                fault=fault,
                was_sent=code not in _NEVER_SENT,
            )
        )


def _set_up(handle: pycurl.Curl, call: _http_call.HttpCall) -> None:
    handle.setopt(pycurl.URL, call.url)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout_s * 1000)))
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    handle.setopt(pycurl.HTTPHEADER, ["Expect:", *call.headers])
    if call.body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, call.body)
    elif call.method != "GET":
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)

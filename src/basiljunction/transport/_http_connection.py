"""An HTTP server with a deadline for each phase of a request.

The timeout of cheroot restarts with each byte, so that a client which
sends a byte now and then would occupy a thread forever. The classes here
replace cheroot's sockets, requests and connections with ones whose header,
body and answer each have a deadline as a whole.
"""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import logging
import math
import queue
import socket
import time
from typing import Any

from cheroot import makefile
from cheroot import server
from cheroot import wsgi
import structlog

from basiljunction.transport import _http_threads
from basiljunction.transport import _http_waiting
from basiljunction.transport import _request_bodies

_log = structlog.get_logger()

ARRIVED_READ_S = 0.05
"""Time to read a request that has arrived when the server no longer waits for
requests, in seconds.

The system hands over buffered bytes in far less.
"""

_TIMED_OUT = "timed out"
"""Error text by which cheroot recognizes a timeout."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimeouts:
    """Longest duration of each phase of a request, in seconds.

    Attributes:
        header_s: From the start of the header until it is complete.
        body_s: From the end of the header until the body is complete.
        write_s: Until the client has received the whole answer.
    """

    header_s: float
    body_s: float
    write_s: float


class _PhaseDeadline:
    """The time by which the current phase of a request must end.

    Args:
        timeout_s: Duration of the first phase, in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self.restart(timeout_s)

    def restart(self, timeout_s: float, end_s: float = math.inf) -> None:
        """Starts a new phase.

        Args:
            timeout_s: Longest duration of the phase, in seconds.
            end_s: Time of the monotonic clock at which it ends at the latest,
                in seconds.
        """
        self._at_s = min(time.monotonic() + timeout_s, end_s)

    @property
    def has_passed(self) -> bool:
        """Whether the phase has ended."""
        return time.monotonic() >= self._at_s

    def remaining_s(self) -> float:
        """Returns the seconds until the deadline.

        Raises:
            TimeoutError: The deadline has passed.
        """
        left_s = self._at_s - time.monotonic()
        if left_s <= 0:
            raise TimeoutError(_TIMED_OUT)
        return left_s


class _DeadlineSocketIO(socket.SocketIO):
    """A raw socket stream whose reads and writes end at the deadline."""

    def __init__(self, sock: Any, mode: Any, deadline: _PhaseDeadline) -> None:  # noqa: ANN401 - a plain or a TLS socket
        super().__init__(sock, mode)
        self._timed_socket = sock
        self._deadline = deadline

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401 - any writable buffer
        """Reads available bytes; waits for them until the deadline at most."""
        self._timed_socket.settimeout(self._deadline.remaining_s())
        return super().readinto(buffer)

    def write(self, data: Any) -> int | None:  # noqa: ANN401 - any buffer
        """Writes bytes; waits for the client until the deadline at most."""
        self._timed_socket.settimeout(self._deadline.remaining_s())
        return super().write(data)


class _DeadlineReader(makefile.StreamReader):
    """Cheroot's buffered reader over a stream with a deadline."""

    def __init__(self, raw: _DeadlineSocketIO, size: int) -> None:
        super(makefile.StreamReader, self).__init__(raw, size)
        self.bytes_read = 0


class _DeadlineWriter(makefile.StreamWriter):
    """Cheroot's buffered writer over a stream with a deadline."""

    def __init__(self, raw: _DeadlineSocketIO, size: int) -> None:
        super(makefile.StreamWriter, self).__init__(raw, size)
        self.bytes_written = 0


def _is_body_length_unambiguous(headers: Mapping[bytes, bytes]) -> bool:
    """Returns whether the headers state the length of the body only once.

    Content-Length must be a number, and Transfer-Encoding must be absent then.
    """
    length = headers.get(b"Content-Length")
    if length is None:
        return True
    return length.isdigit() and b"Transfer-Encoding" not in headers


class _DeadlineRequest(server.HTTPRequest):
    """A request that restarts the deadline at each of its phases.

    Args:
        http_server: The server.
        conn: The connection.
    """

    def __init__(self, http_server: "DeadlineServer", conn: Any) -> None:  # noqa: ANN401 - cheroot has no type for it
        super().__init__(http_server, conn)
        self.body: _request_bodies.RequestBody | None = None
        self._closes_connection = False

    def parse_request(self) -> None:
        """Reads the headers, unless the request has waited for its body."""
        if self.body is None:
            super().parse_request()

    def respond(self) -> None:
        """Runs the application once the body is complete.

        Answers 400 to a request whose headers leave the body's length unclear.
        """
        if self.body is not None:
            self.close_connection = self._closes_connection
            self._respond_with_body(self.body)
            return
        if not _is_body_length_unambiguous(self.inheaders):
            self.simple_response(
                "400 Bad Request", "ambiguous length of the body"
            )
            return
        self.conn.deadline.restart(
            self.server.timeouts.body_s, self.server.reading_end_s()
        )
        body = self._make_body()
        if body is None:
            super().respond()
            return
        self.body = body
        self._respond_with_body(body)

    def _make_body(self) -> _request_bodies.RequestBody | None:
        """Returns the body to receive; None if there is none, or too much."""
        limits = (self.server.max_request_body_size, self.server.body_budget)
        if self.chunked_read:
            return _request_bodies.ChunkedBody(
                self.conn.rfile,
                self.conn.socket,
                *limits,
                self.server.max_request_header_size,
            )
        length = int(self.inheaders.get(b"Content-Length", 0))
        if not 0 < length <= self.server.max_request_body_size:
            return None
        return _request_bodies.SizedBody(
            self.conn.rfile, self.conn.socket, length, self.server.body_budget
        )

    def _respond_with_body(self, body: _request_bodies.RequestBody) -> None:
        """Runs the application, or lets the connection wait for the rest.

        Raises:
            TimeoutError: The deadline of the body has passed.
        """
        try:
            self.conn.deadline.remaining_s()
            is_complete = body.receive(self.server.may_hold)
        except _request_bodies.BodyError as error:
            body.close()
            _log.debug("http.body-refused", error=str(error))
            self.simple_response(error.status, error.detail)
            return
        except OSError:
            body.close()
            raise
        if not is_complete:
            self._closes_connection = self.close_connection
            self.close_connection = False
            self.conn.waiting_request = self
            return
        stream = self.conn.rfile
        self.conn.rfile = body.open()
        if self.chunked_read:
            # The application reads what has been received, without its chunks.
            self.chunked_read = False
            del self.inheaders[b"Transfer-Encoding"]
            self.inheaders[b"Content-Length"] = str(body.size).encode()
        try:
            super().respond()
        finally:
            self.conn.rfile = stream
            body.close()

    def send_headers(self) -> None:
        """Sends the response headers and starts the write deadline.

        Marks the connection to be closed if the headers say so.
        """
        if any(
            name.lower() == b"connection" and value.lower() == b"close"
            for name, value in self.outheaders
        ):
            self.close_connection = True
        self.conn.deadline.restart(
            self.server.timeouts.write_s, self.server.stop_end_s
        )
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Sends an answer that cheroot generates, such as 408, and closes."""
        self.conn.deadline.restart(
            self.server.timeouts.write_s, self.server.stop_end_s
        )
        self.close_connection = True
        super().simple_response(status, msg)


class _DeadlineConnection(server.HTTPConnection):
    """A connection whose requests have deadlines."""

    RequestHandlerClass: Any = _DeadlineRequest

    def __init__(
        self,
        http_server: "DeadlineServer",
        sock: Any,  # noqa: ANN401 - a plain or a TLS socket
        make_file: Callable[..., Any] = makefile.MakeFile,
    ) -> None:
        super().__init__(http_server, sock, make_file)
        self.deadline = _PhaseDeadline(http_server.timeouts.write_s)
        self.waiting_request: _DeadlineRequest | None = None
        read = _DeadlineSocketIO(sock, "rb", self.deadline)
        write = _DeadlineSocketIO(sock, "wb", self.deadline)
        self.rfile = _DeadlineReader(read, self.rbufsize)
        self.wfile = _DeadlineWriter(write, self.wbufsize)

    @property
    def waiting_body(self) -> _request_bodies.RequestBody | None:
        """Body of the request of which the rest has not arrived, if any."""
        request = self.waiting_request
        return None if request is None else request.body

    def communicate(self) -> bool:
        """Handles the next request, or goes on with the one that has waited.

        Returns:
            Whether to keep the connection.
        """
        waiting, self.waiting_request = self.waiting_request, None
        if waiting is None:
            self.RequestHandlerClass = _DeadlineRequest
            self.deadline.restart(
                self.server.timeouts.header_s, self.server.reading_end_s()
            )
        else:
            self.RequestHandlerClass = lambda *_: waiting
        is_kept: bool = super().communicate()  # type: ignore[no-untyped-call]  # cheroot has no type for it
        return is_kept

    def close(self) -> None:
        """Closes the connection and gives the memory of its body back."""
        waiting, self.waiting_request = self.waiting_request, None
        if waiting is not None and waiting.body is not None:
            waiting.body.close()
        super().close()


class DeadlineServer(wsgi.Server):
    """A WSGI server with a deadline for each phase of a request.

    Its stop answers the requests on all connections made before.

    Args:
        args: Positional arguments of cheroot's server.
        timeouts: Duration of each phase.
        bodies_bytes: Most bytes of the bodies of all requests together.
        receive_buffer_bytes: Bytes that the system keeps of a connection until
            they are read, at most.
        kwargs: Keyword arguments of cheroot's server.

    Attributes:
        timeouts: Duration of each phase.
        body_budget: Memory that the bodies of all requests share.
        stop_end_s: Time of the monotonic clock at which a stop closes the
            connections that are still open, in seconds.
    """

    ConnectionClass = _DeadlineConnection
    requests: _http_threads.BoundedThreadPool
    _connections: _http_waiting.WaitingConnections

    def __init__(
        self,
        *args: Any,  # noqa: ANN401 - passed to cheroot
        timeouts: RequestTimeouts,
        bodies_bytes: int,
        receive_buffer_bytes: int,
        **kwargs: Any,  # noqa: ANN401 - passed to cheroot
    ) -> None:
        super().__init__(*args, **kwargs)
        self.timeouts = timeouts
        self.body_budget = _request_bodies.BodyBudget(bodies_bytes)
        self._receive_buffer_bytes = receive_buffer_bytes
        self.stop_end_s = math.inf
        self.requests = _http_threads.BoundedThreadPool(
            self,
            min=kwargs["numthreads"],
            max=kwargs["max"],
            accepted_queue_size=kwargs["accepted_queue_size"],
            accepted_queue_timeout=kwargs["accepted_queue_timeout"],
        )
        # Cheroot reads this attribute when it fails to send a 503; without it,
        # the thread that sends 503 answers would end.
        self.server = self

    def reading_end_s(self) -> float:
        """Returns when a request has to be read, on the monotonic clock.

        It is infinite until the server stops. What has arrived is read even
        after that.
        """
        return max(
            self.requests.reading_end_s, time.monotonic() + ARRIVED_READ_S
        )

    def may_hold(self, size: int) -> bool:
        """Returns whether a connection may wait for a body without a thread.

        So many connections may wait as may be idle, with as many bytes as fit
        into the bodies of requests on all threads. Threads wait for others, as
        they do during a stop.

        Args:
            size: Bytes of the body that have been received.
        """
        if not self.can_add_keepalive_connection:
            return False
        held = self._connections.received_bytes() + size
        limit: int = self.requests.max * self.max_request_body_size
        return held <= limit

    def put_conn(self, conn: Any) -> None:  # noqa: ANN401 - cheroot has no type for it
        """Lets a connection wait; completes its request during a stop."""
        while conn.waiting_request is not None and not self.ready:
            if not conn.communicate():
                conn.close()
                return
        super().put_conn(conn)

    def process_conn(self, conn: Any) -> None:  # noqa: ANN401 - cheroot has no type for it
        """Passes a connection to a thread; answers 503 if too many wait.

        During a stop, the thread that sends 503 answers has ended.
        """
        if self.ready:
            super().process_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            refusal = _DeadlineRequest(self, conn)
            with contextlib.suppress(OSError):
                refusal.simple_response("503 Service Unavailable")
                # A close would reset the connection, as its request is unread,
                # and the client might not see the answer.
                conn.socket.shutdown(socket.SHUT_WR)
            conn.linger = True
            conn.close()

    def prepare(self) -> None:
        """Binds the listening socket and starts the threads.

        Connections take over the size of its receive buffer.
        """
        super().prepare()
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes
            )
        except OSError as error:
            _log.warning("http.receive-buffer-kept", error=str(error))
        self._connections.close()
        self._connections = _http_waiting.WaitingConnections(self)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Logs a message from cheroot.

        Messages below ERROR, such as clients' errors, are logged as debug.
        """
        if level < logging.ERROR:
            _log.debug("http.connection", detail=msg)
            return
        _log.error("http.error", detail=msg, exc_info=traceback)

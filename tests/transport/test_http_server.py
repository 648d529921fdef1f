"""Tests of the HTTP server over real sockets on loopback."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import select
import socket
import threading
import time
from typing import Any

import pytest
import werkzeug

from basiljunction.protocol import _address
from basiljunction.protocol import _http_limits
from basiljunction.transport import _http_server
import border

_LIMITS = _http_limits.Limits(
    body_bytes=1000,
    header_bytes=2000,
    header_timeout_s=0.3,
    body_timeout_s=0.3,
    write_timeout_s=0.3,
    http_threads=2,
    waiting_connections=1,
    drain_s=10.0,
)
_TRICKLE_INTERVAL_S = 0.05  # between two bytes of a slow client
_TRICKLE_BYTES = 400  # most bytes that a slow client sends
_MAX_WAIT_S = 10.0  # timeout of each wait in these tests
_STOP_LIMIT_S = 2.0  # far less than the timeouts that a stop must not wait for
_CLOSING_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


@contextlib.contextmanager
def _running_server(
    application: Application, **changes: Any
) -> Iterator[tuple[_http_server.HttpServer, tuple[str, int]]]:
    """Runs a server with the limits changed; yields it and its address."""
    server = _http_server.HttpServer(
        listen="127.0.0.1:0",
        application=application,
        limits=_LIMITS.model_copy(update=changes),
    )
    address = _address.split_host_and_port(server.bind())
    with futures.ThreadPoolExecutor(1) as pool:
        server_future = server.start(pool)
        try:
            yield server, address
        finally:
            server.stop()
            server_future.result(timeout=_MAX_WAIT_S)


@pytest.fixture
def address() -> Iterator[tuple[str, int]]:
    """Serves the API over the fake backend and provides its address."""
    with _running_server(border.Border().api) as (_, server_address):
        yield server_address


def _connect(address: tuple[str, int]) -> socket.socket:
    return socket.create_connection(address, timeout=_MAX_WAIT_S)


def _read_all(client: socket.socket) -> bytes:
    """Reads until the server closes or resets the connection."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while chunk := client.recv(65_536):
            data += chunk
    return data


def _send_slowly(client: socket.socket, head: bytes) -> bytes:
    """Sends one byte per interval until the server answers or closes."""
    client.sendall(head)
    client.settimeout(_TRICKLE_INTERVAL_S)
    for _ in range(_TRICKLE_BYTES):
        try:
            return client.recv(65_536)
        except TimeoutError:
            client.sendall(b"x")
    pytest.fail("the server went on reading")


class TestSlowClients:
    """A client that exceeds a timeout is cut off, even if it keeps sending."""

    def test_trickled_header_times_out(self, address: tuple[str, int]) -> None:
        with _connect(address) as client:
            assert b"408" in _send_slowly(
                client, b"GET /healthz HTTP/1.1\r\nX: "
            )

    def test_trickled_body_times_out(self, address: tuple[str, int]) -> None:
        head = (
            "POST /v1/services/check HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {border.CALLER_TOKEN}\r\n"
            "Content-Length: 900\r\n\r\n"
        )
        with _connect(address) as client:
            assert b"408" in _send_slowly(client, head.encode())

    def test_reader_that_stops_is_cut_off(self) -> None:
        closed = threading.Event()
        response = werkzeug.Response(b"x" * (64 << 20))
        response.call_on_close(closed.set)
        with (
            _running_server(response) as (_, server_address),
            _connect(server_address) as client,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert closed.wait(_MAX_WAIT_S)

    def test_silent_connections_leave_the_threads(self) -> None:
        api = border.Border().api
        with (
            _running_server(api, waiting_connections=8) as (_, server_address),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(_LIMITS.http_threads):
                stack.enter_context(_connect(server_address))
            client = stack.enter_context(_connect(server_address))
            client.sendall(
                b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            )
            assert b"200 OK" in _read_all(client)

    def test_bodies_that_do_not_end_leave_a_thread_to_others(self) -> None:
        with (
            _running_server(
                border.Border().api,
                waiting_connections=8,
                body_timeout_s=_MAX_WAIT_S,
            ) as (_, server_address),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(_LIMITS.http_threads):
                slow = stack.enter_context(_connect(server_address))
                slow.sendall(
                    b"POST /v1/services/check HTTP/1.1\r\nHost: a\r\n"
                    b"Authorization: Bearer caller-token\r\n"
                    b"Content-Length: 900\r\n\r\nx"
                )
            client = stack.enter_context(_connect(server_address))
            client.settimeout(_STOP_LIMIT_S)
            client.sendall(
                b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            )
            assert b"200 OK" in _read_all(client)


class TestSizes:
    """Malformed or oversized requests are refused; the server keeps serving."""

    @pytest.mark.parametrize(
        ("request_bytes", "status"),
        [
            (b"GET /healthz HTTP/1.1\r\nX: " + b"x" * 3000, b"413"),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: 1001\r\n\r\n",
                b"413",
            ),
            (
                b"POST /v1/services/check HTTP/1.1\r\nHost: a\r\n"
                b"Authorization: Bearer caller-token\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n",
                b"413",
            ),
            (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", b"400"),
            (
                b"POST /v1/jobs HTTP/1.1\r\nHost: a\r\n"
                b"Content-Length: -5\r\n\r\n",
                b"400",
            ),
        ],
    )
    def test_refused(
        self, address: tuple[str, int], request_bytes: bytes, status: bytes
    ) -> None:
        with _connect(address) as client:
            client.sendall(request_bytes)
            assert status in _read_all(client).split(b"\r\n")[0]
        with _connect(address) as client:
            client.sendall(
                b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            )
            assert b"200 OK" in _read_all(client)


class TestConnectionLimit:
    """Connections beyond the threads and the waiting limit get 503 at once."""

    def test_one_more_than_fits(self) -> None:
        entered, release = threading.Semaphore(0), threading.Event()

        def wait(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            entered.release()
            release.wait(_MAX_WAIT_S)
            return werkzeug.Response("done")(environ, start_response)

        with (
            _running_server(wait, header_timeout_s=_MAX_WAIT_S) as (
                _,
                server_address,
            ),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(_LIMITS.http_threads):
                client = stack.enter_context(_connect(server_address))
                client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert entered.acquire(timeout=_MAX_WAIT_S)
            for _ in range(_LIMITS.waiting_connections):
                stack.enter_context(_connect(server_address))
            extra = stack.enter_context(_connect(server_address))
            extra.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            refused = extra.recv(65_536)
            release.set()
        assert b"503" in refused.split(b"\r\n")[0]


class TestStop:
    """A stop lets requests in progress complete with their whole answer."""

    def test_request_in_progress_is_answered(self) -> None:
        entered, release = threading.Event(), threading.Event()

        def wait(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            entered.set()
            release.wait(_MAX_WAIT_S)
            return werkzeug.Response("whole")(environ, start_response)

        with (
            _running_server(wait) as (server, server_address),
            _connect(server_address) as client,
            futures.ThreadPoolExecutor(1) as pool,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert entered.wait(_MAX_WAIT_S)
            stopped = pool.submit(server.stop)
            release.set()
            stopped.result(timeout=_MAX_WAIT_S)
            assert _read_all(client).endswith(b"whole")

    def test_connection_not_accepted_yet_is_answered(self) -> None:
        server = _http_server.HttpServer(
            listen="127.0.0.1:0",
            application=werkzeug.Response("whole"),
            limits=_LIMITS,
        )
        address = _address.split_host_and_port(server.bind())
        with _connect(address) as client:
            client.sendall(_CLOSING_REQUEST)
            server.stop()
            assert _read_all(client).endswith(b"whole")

    def test_request_on_an_idle_connection_is_answered(self) -> None:
        with (
            # The only thread returns the first connection before it serves
            # the second one.
            _running_server(
                werkzeug.Response("whole"),
                http_threads=1,
                waiting_connections=8,
            ) as (server, address),
            _connect(address) as client,
            _connect(address) as later_client,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert client.recv(1) == b"H"
            later_client.sendall(_CLOSING_REQUEST)
            assert _read_all(later_client).endswith(b"whole")
            client.sendall(_CLOSING_REQUEST)
            server.stop()
            assert _read_all(client).count(b"whole") == 2

    def test_an_answer_that_takes_longer_than_reading_is_delivered(
        self,
    ) -> None:
        entered = threading.Event()

        def answer_late(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            entered.set()
            time.sleep(0.5)
            return werkzeug.Response("whole")(environ, start_response)

        with (
            _running_server(answer_late, drain_s=0.1) as (server, address),
            _connect(address) as client,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert entered.wait(_MAX_WAIT_S)
            server.stop(time.monotonic() + _MAX_WAIT_S)
            assert _read_all(client).endswith(b"whole")

    def test_a_client_that_does_not_read_does_not_hold_up_the_stop(
        self,
    ) -> None:
        response = werkzeug.Response(b"x" * (64 << 20))
        with (
            _running_server(response, write_timeout_s=30, drain_s=0.1) as (
                server,
                address,
            ),
            _connect(address) as client,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert client.recv(1) == b"H"
            started_s = time.monotonic()
            server.stop(started_s + 0.5)
            assert time.monotonic() - started_s < _STOP_LIMIT_S

    def test_silent_connections_do_not_hold_up_the_stop(self) -> None:
        with (
            _running_server(
                werkzeug.Response("whole"),
                header_timeout_s=30,
                waiting_connections=16,
                drain_s=0.1,
            ) as (server, address),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(12):
                stack.enter_context(_connect(address))
            client = stack.enter_context(_connect(address))
            client.sendall(_CLOSING_REQUEST)
            time.sleep(0.2)
            started_s = time.monotonic()
            server.stop(started_s + _MAX_WAIT_S)
            assert time.monotonic() - started_s < _STOP_LIMIT_S
            assert _read_all(client).endswith(b"whole")

    def test_connections_that_find_no_place_at_the_stop_are_refused(
        self,
    ) -> None:
        release = threading.Event()

        def wait(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            release.wait(_MAX_WAIT_S)
            return werkzeug.Response("whole")(environ, start_response)

        server = _http_server.HttpServer(
            listen="127.0.0.1:0", application=wait, limits=_LIMITS
        )
        address = _address.split_host_and_port(server.bind())
        places = _LIMITS.http_threads + _LIMITS.waiting_connections
        with contextlib.ExitStack() as stack:
            clients = [
                stack.enter_context(_connect(address))
                for _ in range(places + 2)
            ]
            for client in clients:
                client.sendall(_CLOSING_REQUEST)
            pool = stack.enter_context(futures.ThreadPoolExecutor(1))
            stopped = pool.submit(server.stop)
            # Which clients find a place depends on when the threads run.
            refused: set[socket.socket] = set()
            while len(refused) < len(clients) - places:
                readable, _, _ = select.select(clients, [], [], _MAX_WAIT_S)
                assert readable
                refused |= set(readable)
            release.set()
            stopped.result(timeout=_MAX_WAIT_S)
            answers = [_read_all(each) for each in clients]
        statuses = [each.split(b" ")[1] for each in answers]
        assert set(statuses) == {b"200", b"503"}
        assert statuses.count(b"503") >= len(clients) - places

"""Tests of the HTTP server over real sockets on loopback."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import socket
import threading
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
_TRICKLE_S = 0.05
_TRICKLE_BYTES = 400
_PATIENCE_S = 10.0

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


@contextlib.contextmanager
def _served(
    application: Application, **changes: Any
) -> Iterator[tuple[_http_server.HttpServer, tuple[str, int]]]:
    server = _http_server.HttpServer(
        listen="127.0.0.1:0",
        application=application,
        limits=_LIMITS.model_copy(update=changes),
    )
    address = _address.split_host_and_port(server.bind())
    with futures.ThreadPoolExecutor(1) as pool:
        served = server.start(pool)
        try:
            yield server, address
        finally:
            server.stop()
            served.result(timeout=_PATIENCE_S)


@pytest.fixture
def address() -> Iterator[tuple[str, int]]:
    """Serves the API over the fake backend."""
    with _served(border.Border().api) as (_, where):
        yield where


def _connect(address: tuple[str, int]) -> socket.socket:
    return socket.create_connection(address, timeout=_PATIENCE_S)


def _read_all(client: socket.socket) -> bytes:
    data = b""
    with contextlib.suppress(ConnectionError):
        while chunk := client.recv(65_536):
            data += chunk
    return data


def _trickle(client: socket.socket, head: bytes) -> bytes:
    """Sends a byte now and then until the server answers or closes."""
    client.sendall(head)
    client.settimeout(_TRICKLE_S)
    for _ in range(_TRICKLE_BYTES):
        try:
            return client.recv(65_536)
        except TimeoutError:
            client.sendall(b"x")
    pytest.fail("the server went on reading")


class TestSlowClients:
    """A client that is slow over all is cut off, however steady it sends."""

    def test_trickled_header_times_out(self, address: tuple[str, int]) -> None:
        with _connect(address) as client:
            assert b"408" in _trickle(client, b"GET /healthz HTTP/1.1\r\nX: ")

    def test_trickled_body_times_out(self, address: tuple[str, int]) -> None:
        head = (
            "POST /v1/services/check HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {border.CALLER_TOKEN}\r\n"
            "Content-Length: 900\r\n\r\n"
        )
        with _connect(address) as client:
            assert b"408" in _trickle(client, head.encode())

    def test_reader_that_stops_is_cut_off(self) -> None:
        closed = threading.Event()
        response = werkzeug.Response(b"x" * (64 << 20))
        response.call_on_close(closed.set)
        with _served(response) as (_, where), _connect(where) as client:
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert closed.wait(_PATIENCE_S)

    def test_silent_connections_leave_the_threads(self) -> None:
        api = border.Border().api
        with (
            _served(api, waiting_connections=8) as (_, where),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(_LIMITS.http_threads):
                stack.enter_context(_connect(where))
            client = stack.enter_context(_connect(where))
            client.sendall(
                b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            )
            assert b"200 OK" in _read_all(client)


class TestSizes:
    """Headers and bodies above their limits are refused."""

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
    """Connections beyond threads and waiting places get 503 at once."""

    def test_one_more_than_fits(self) -> None:
        entered, release = threading.Semaphore(0), threading.Event()

        def wait(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            entered.release()
            release.wait(_PATIENCE_S)
            return werkzeug.Response("done")(environ, start_response)

        with (
            _served(wait, header_timeout_s=_PATIENCE_S) as (_, where),
            contextlib.ExitStack() as stack,
        ):
            for _ in range(_LIMITS.http_threads):
                client = stack.enter_context(_connect(where))
                client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                assert entered.acquire(timeout=_PATIENCE_S)
            for _ in range(_LIMITS.waiting_connections):
                stack.enter_context(_connect(where))
            extra = stack.enter_context(_connect(where))
            extra.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            refused = extra.recv(65_536)
            release.set()
        assert b"503" in refused.split(b"\r\n")[0]


class TestStop:
    """A stop lets requests in progress end with their whole answer."""

    def test_request_in_progress_is_answered(self) -> None:
        entered, release = threading.Event(), threading.Event()

        def wait(
            environ: dict[str, Any], start_response: Callable[..., Any]
        ) -> Iterable[bytes]:
            entered.set()
            release.wait(_PATIENCE_S)
            return werkzeug.Response("whole")(environ, start_response)

        with (
            _served(wait) as (server, where),
            _connect(where) as client,
            futures.ThreadPoolExecutor(1) as pool,
        ):
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert entered.wait(_PATIENCE_S)
            stopped = pool.submit(server.stop)
            release.set()
            stopped.result(timeout=_PATIENCE_S)
            assert _read_all(client).endswith(b"whole")

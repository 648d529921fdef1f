"""Tests of request bodies in chunks, over real sockets."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import socket
import time

import pytest
import werkzeug

from basiljunction.protocol import _address
from basiljunction.protocol import _http_limits
from basiljunction.transport import _http_server
from basiljunction.transport import _request_bodies

_WAIT_S = 10.0
"""Timeout of each wait, in seconds."""

_PAUSE_S = 0.05
"""Time between two parts of a body, in seconds."""

_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_NEXT = b"GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

_LIMITS = _http_limits.Limits(
    body_bytes=100,
    bodies_bytes=150,
    header_bytes=1000,
    http_threads=2,
    body_timeout_s=0.5,
    drain_s=_WAIT_S,
)


@werkzeug.Request.application
def _echo(request: werkzeug.Request) -> werkzeug.Response:
    """Answers with the path and the body."""
    return werkzeug.Response(
        request.path.encode() + b" " + request.get_data() + b"."
    )


@werkzeug.Request.application
def _refuse(request: werkzeug.Request) -> werkzeug.Response:
    """Answers without reading the body."""
    del request
    return werkzeug.Response("no such route", status=404)


@contextlib.contextmanager
def _serve(
    application: _http_server.Application = _echo, **changes: float
) -> Iterator[tuple[str, int]]:
    """Runs a server with the limits changed and yields its address."""
    server = _http_server.HttpServer(
        listen="127.0.0.1:0",
        application=application,
        limits=_LIMITS.model_copy(update=changes),
    )
    address = _address.split_host_and_port(server.bind())
    with futures.ThreadPoolExecutor(1) as pool:
        serving = server.start(pool)
        try:
            yield address
        finally:
            server.stop()
            serving.result(timeout=_WAIT_S)


def _exchange(address: tuple[str, int], *parts: bytes) -> bytes:
    """Sends parts with pauses and returns all until the server closes."""
    with socket.create_connection(address, timeout=_WAIT_S) as client:
        answer = b""
        with contextlib.suppress(ConnectionError):
            for part in parts:
                client.sendall(part)
                time.sleep(_PAUSE_S)
            while received := client.recv(65_536):
                answer += received
        return answer


class TestChunkedBody:
    """The application gets the body; nothing of it becomes a request."""

    @pytest.mark.parametrize(
        "body",
        [
            b"3\r\nabc\r\n0\r\n\r\n",
            b"1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n",
            b"03 \r\nabc\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n",
        ],
    )
    def test_it_is_followed_by_the_next_request(self, body: bytes) -> None:
        with _serve() as address:
            answer = _exchange(address, _HEAD + body + _NEXT)
        assert b"/ abc." in answer
        assert b"/next ." in answer
        assert answer.count(b"HTTP/1.1 200") == 2

    def test_one_that_the_application_does_not_read_is_no_request(self) -> None:
        body = b"3\r\nabc\r\n0\r\nX-A: b\r\n\r\n"
        with _serve(_refuse) as address:
            answer = _exchange(address, _HEAD + body + _NEXT)
        assert answer.count(b"HTTP/1.1 404") == 2
        assert answer.count(b"HTTP/1.1") == 2

    def test_it_may_arrive_byte_by_byte(self) -> None:
        body = b"3\r\nabc\r\n0\r\nX: b\r\n\r\n"
        parts = [body[at : at + 1] for at in range(len(body))]
        with _serve(body_timeout_s=_WAIT_S) as address:
            answer = _exchange(address, _HEAD, *parts, _NEXT)
        assert answer.count(b"HTTP/1.1 200") == 2

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"x\r\n", b"400"),
            (b"-1\r\n", b"400"),
            (b"\r\n", b"400"),
            (b"3\nabc\r\n", b"400"),
            (b"1\r\nabc\r\n", b"400"),
            (b"65\r\n", b"413"),
            (b"3;" + b"x" * 1100 + b"\r\n", b"413"),
            (b"0" * 1100, b"413"),
            (b"0\r\n" + b"X-A: b\r\n" * 200, b"413"),
            (b"0\r\nX-A: " + b"b" * 1100, b"413"),
        ],
    )
    def test_a_malformed_or_long_one_ends_the_connection(
        self, body: bytes, status: bytes
    ) -> None:
        with _serve() as address:
            answer = _exchange(address, _HEAD + body + _NEXT)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert answer.count(b"HTTP/1.1") == 1

    def test_too_many_chunks_end_the_connection(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_request_bodies, "MAX_CHUNKS", 10)
        with _serve() as address:
            answer = _exchange(address, _HEAD + b"1\r\nx\r\n" * 11)
        assert answer.startswith(b"HTTP/1.1 413")


class TestSizedBody:
    """A body that ends early is not taken for a whole one."""

    def test_the_application_is_told_the_length_that_was_announced(
        self,
    ) -> None:
        seen: list[str] = []

        @werkzeug.Request.application
        def note_length(request: werkzeug.Request) -> werkzeug.Response:
            seen.append(request.headers["Content-Length"])
            return werkzeug.Response("noted")

        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\n"
        with (
            _serve(note_length) as address,
            socket.create_connection(address, timeout=_WAIT_S) as client,
        ):
            client.sendall(head + b"abc")
            client.shutdown(socket.SHUT_WR)
            client.recv(65_536)
        assert seen == ["6"]


class TestBudget:
    """Bodies share the memory that is for them."""

    def test_a_body_that_finds_no_memory_gets_503_and_others_go_on(
        self,
    ) -> None:
        large = b"5a\r\n" + b"x" * 0x5A
        with _serve() as address:
            with socket.create_connection(address, timeout=_WAIT_S) as first:
                first.sendall(_HEAD + large)
                time.sleep(_PAUSE_S)
                second = _exchange(address, _HEAD + large)
                assert second.startswith(b"HTTP/1.1 503")
                first.sendall(b"\r\n0\r\n\r\n")
                assert b"200" in first.recv(65_536)
            # The first body has given its memory back.
            third = _exchange(address, _HEAD + large + b"\r\n0\r\n\r\n", _NEXT)
        assert third.count(b"HTTP/1.1 200") == 2

    def test_a_connection_that_ends_gives_its_memory_back(self) -> None:
        large = b"5a\r\n" + b"x" * 0x5A
        with _serve() as address:
            for _ in range(3):
                with socket.create_connection(address) as lost:
                    lost.sendall(_HEAD + large)
                    time.sleep(_PAUSE_S)
                time.sleep(_PAUSE_S)
            whole = _exchange(address, _HEAD + large + b"\r\n0\r\n\r\n", _NEXT)
        assert whole.count(b"HTTP/1.1 200") == 2

    def test_a_body_that_is_late_gives_its_memory_back(self) -> None:
        large = b"5a\r\n" + b"x" * 0x5A
        with _serve() as address:
            late = _exchange(address, _HEAD + large)
            assert late.startswith(b"HTTP/1.1 408")
            whole = _exchange(address, _HEAD + large + b"\r\n0\r\n\r\n", _NEXT)
        assert whole.count(b"HTTP/1.1 200") == 2

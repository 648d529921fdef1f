"""Tests of requests whose body arrives in parts, over real sockets."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import http.client
import socket
import time

import pytest
import werkzeug

from basiljunction.protocol import _address
from basiljunction.protocol import _http_limits
from basiljunction.transport import _http_server

_WAIT_S = 10.0
"""Timeout of each wait, in seconds."""

_PAUSE_S = 0.1
"""Time between two parts of a body, in seconds; each part is read alone."""

_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n"


@werkzeug.Request.application
def _echo(request: werkzeug.Request) -> werkzeug.Response:
    """Answers with the body."""
    return werkzeug.Response(b"got " + request.get_data())


@contextlib.contextmanager
def _serve(
    **changes: float,
) -> Iterator[tuple[_http_server.HttpServer, socket.socket]]:
    """Runs a server; yields it and a connection to it."""
    limits = {"body_bytes": 100, "http_threads": 2, "drain_s": _WAIT_S}
    server = _http_server.HttpServer(
        listen="127.0.0.1:0",
        application=_echo,
        limits=_http_limits.Limits.model_validate(limits | changes),
    )
    address = _address.split_host_and_port(server.bind())
    with futures.ThreadPoolExecutor(1) as pool:
        serving = server.start(pool)
        try:
            with socket.create_connection(address, timeout=_WAIT_S) as client:
                yield server, client
        finally:
            server.stop()
            serving.result(timeout=_WAIT_S)


def _send_in_parts(client: socket.socket, *parts: bytes) -> None:
    """Sends parts with a pause after each."""
    for part in parts:
        client.sendall(part)
        time.sleep(_PAUSE_S)


def _read_answer(client: socket.socket) -> bytes:
    """Returns the body of the next answer."""
    answer = http.client.HTTPResponse(client)
    answer.begin()
    assert answer.status == 200
    return answer.read()


class TestWaitingBodies:
    """A request is answered once its body is complete or late."""

    @pytest.mark.parametrize("idle_connections", [0, 8])
    def test_parts_are_joined(self, idle_connections: int) -> None:
        """A thread waits for them where no connection may."""
        with _serve(idle_connections=idle_connections) as (_, client):
            _send_in_parts(client, _HEAD + b"\r\n", b"ab", b"cd", b"ef")
            assert _read_answer(client) == b"got abcdef"

    def test_the_connection_is_kept_for_the_next_request(self) -> None:
        with _serve() as (_, client):
            for _ in range(2):
                _send_in_parts(client, _HEAD + b"\r\nabc", b"def")
                assert _read_answer(client) == b"got abcdef"

    def test_it_is_closed_if_the_client_asks_for_it(self) -> None:
        with _serve() as (_, client):
            _send_in_parts(client, _HEAD + b"Connection: close\r\n\r\n", b"ab")
            client.sendall(b"cdef")
            assert _read_answer(client) == b"got abcdef"
            assert client.recv(1) == b""

    def test_one_that_does_not_end_is_refused(self) -> None:
        with _serve(body_timeout_s=0.2) as (_, client):
            client.sendall(_HEAD + b"\r\nabc")
            assert b"408" in client.recv(65_536)

    def test_a_stop_waits_for_the_rest(self) -> None:
        with _serve() as (server, client):
            _send_in_parts(client, _HEAD + b"\r\nabc")
            with futures.ThreadPoolExecutor(1) as pool:
                stop = pool.submit(server.stop)
                _send_in_parts(client, b"", b"def")
                assert _read_answer(client) == b"got abcdef"
                stop.result(timeout=_WAIT_S)

"""Tests of how the soak's clients tell read requests from unread ones."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import socket
import time

import pytest

from soak import clients as soak_clients
from soak import instances as soak_instances

_SELECT_LIMIT = 1024
"""Number of the lowest file descriptor that select() refuses."""


class _FakeInstance(soak_instances.SoakInstance):
    """An instance without a process, on a port of the test."""

    def __init__(self, port: int) -> None:
        self.life = soak_instances.Life()
        self._port = port

    @property
    def front_port(self) -> int:
        return self._port


def _read_and_close(peer: socket.socket) -> None:
    """Closes the connection after it has read the request."""
    peer.recv(65_536)


def _answer_in_part(peer: socket.socket) -> None:
    """Closes the connection in the body of the answer."""
    peer.recv(65_536)
    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")


def _close_unread(peer: socket.socket) -> None:
    """Closes the connection with the request unread."""
    time.sleep(0.1)


def _answer(peer: socket.socket) -> None:
    """Answers the request."""
    peer.recv(65_536)
    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")


@pytest.mark.parametrize(
    ("behaviour", "ending"),
    [
        (_read_and_close, soak_clients.Ending.CUT),
        (_answer_in_part, soak_clients.Ending.CUT),
        (_close_unread, soak_clients.Ending.UNREAD),
        (_answer, soak_clients.Ending.ANSWERED),
    ],
)
def test_a_request_ends_as_the_process_treated_it(
    behaviour: Callable[[socket.socket], None], ending: soak_clients.Ending
) -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        futures.ThreadPoolExecutor(1) as pool,
    ):

        def serve() -> None:
            peer, _ = listener.accept()
            with peer:
                behaviour(peer)

        served = pool.submit(serve)
        instance = _FakeInstance(listener.getsockname()[1])
        connection = soak_clients.Connection(instance)
        answer = connection.request("GET", "/jobs/00000000000000a1", None)
        served.result()
        connection.close()
    assert answer.ending is ending


def test_a_connection_beyond_the_limit_of_select_is_not_an_error() -> None:
    """Each executor and connection of a soak has file descriptors."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        contextlib.ExitStack() as others,
    ):
        for _ in range(_SELECT_LIMIT):
            others.enter_context(listener.dup())
        instance = _FakeInstance(listener.getsockname()[1])
        connection = soak_clients.Connection(instance)
        peer, _ = listener.accept()
        assert not connection.is_closed_by_peer
        peer.close()
        assert connection.is_closed_by_peer
        connection.close()

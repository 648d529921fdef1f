"""Tests of the HTTP client of the cell task, over real sockets."""

from collections.abc import Iterator
import contextlib
import selectors
import socket
import threading
import time

import pytest

from basiljunction.protocol import _http_call
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _http_calls
import resetting_server

SILENCE_LIMIT_S = 0.3
"""Limit on silence of the calls in these tests, in seconds."""

PIECE_INTERVAL_S = 0.05
"""Time between two pieces of an answer, in seconds."""

NOTICE_MARGIN_S = 0.15
"""Time for a busy machine beyond the limit on silence, in seconds."""


class Server:
    """Answers one request with a header and pieces of a body, then is silent.

    Args:
        pieces: Pieces of the body, sent one after the other.
        missing_bytes: Bytes that the header announces beyond the pieces.
    """

    def __init__(self, pieces: list[bytes], missing_bytes: int) -> None:
        self._pieces = pieces
        self._length = sum(map(len, pieces)) + missing_bytes
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    @property
    def url(self) -> str:
        """URL to call."""
        return f"http://127.0.0.1:{self._listener.getsockname()[1]}/"

    def _serve(self) -> None:
        """Accepts one connection and answers its request."""
        connection, _ = self._listener.accept()
        # A client that gives up resets the connection.
        with connection, contextlib.suppress(ConnectionError):
            connection.recv(4096)
            if self._pieces:
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {self._length}"
                connection.sendall(head.encode() + b"\r\n\r\n")
            for piece in self._pieces:
                time.sleep(PIECE_INTERVAL_S)
                connection.sendall(piece)
            self._stop_event.wait()

    def close(self) -> None:
        """Ends the connection."""
        self._stop_event.set()
        self._thread.join()
        self._listener.close()


@pytest.fixture
def calls() -> Iterator[_http_calls.HttpClient]:
    """The client under test."""
    client = _http_calls.HttpClient(
        _metrics.Metrics("front-1"), max_connections=100
    )
    yield client
    client.close()


def call_server(
    calls: _http_calls.HttpClient,
    server: Server,
    *,
    timeout_s: float = 10.0,
    silence_limit_s: float | None = SILENCE_LIMIT_S,
    poll_s: float = 1.0,
) -> tuple[_http_call.HttpReply, float]:
    """Returns the reply of a server and the time it took, in seconds."""
    replies: list[_http_call.HttpReply] = []
    call = _http_call.HttpCall(
        "GET",
        server.url,
        timeout_s=timeout_s,
        silence_limit_s=silence_limit_s,
    )
    started_s = time.monotonic()
    calls.send(call, replies.append)
    while not replies and time.monotonic() - started_s < timeout_s + 1.0:
        calls.poll(poll_s)
    took_s = time.monotonic() - started_s
    server.close()
    return replies[0], took_s


class TestSilence:
    """A limit on silence ends calls of which no byte arrives, and no others."""

    def test_a_call_goes_on_for_longer_than_the_limit_while_bytes_arrive(
        self, calls: _http_calls.HttpClient
    ) -> None:
        server = Server([b"x" * 100] * 20, missing_bytes=0)
        reply, took_s = call_server(calls, server)
        assert reply.body == b"x" * 2000
        assert took_s > 2 * SILENCE_LIMIT_S

    def test_silence_before_the_answer_is_noticed_within_the_limit(
        self, calls: _http_calls.HttpClient
    ) -> None:
        reply, took_s = call_server(calls, Server([], missing_bytes=0))
        assert reply.status == 0
        assert reply.may_have_been_sent
        assert "after 0 bytes" in reply.error_text
        assert SILENCE_LIMIT_S <= took_s < SILENCE_LIMIT_S + NOTICE_MARGIN_S

    def test_silence_within_the_answer_is_noticed_within_the_limit(
        self, calls: _http_calls.HttpClient
    ) -> None:
        server = Server([b"x" * 100] * 10, missing_bytes=1)
        reply, took_s = call_server(calls, server)
        silent_s = took_s - 10 * PIECE_INTERVAL_S
        assert reply.status == 0
        assert "after 1000 bytes" in reply.error_text
        assert SILENCE_LIMIT_S <= silent_s < SILENCE_LIMIT_S + NOTICE_MARGIN_S

    def test_an_answer_that_arrived_while_the_process_was_busy_counts(
        self, calls: _http_calls.HttpClient
    ) -> None:
        server = Server([b"x" * 100], missing_bytes=0)
        replies: list[_http_call.HttpReply] = []
        calls.send(
            _http_call.HttpCall(
                "GET",
                server.url,
                timeout_s=10.0,
                silence_limit_s=SILENCE_LIMIT_S,
            ),
            replies.append,
        )
        for _ in range(10):
            calls.poll(0.01)
        time.sleep(SILENCE_LIMIT_S + NOTICE_MARGIN_S)
        while not replies:
            calls.poll(0.01)
        server.close()
        assert replies[0].body == b"x" * 100

    def test_the_limit_on_the_whole_call_holds_while_bytes_arrive(
        self, calls: _http_calls.HttpClient
    ) -> None:
        server = Server([b"x"] * 20, missing_bytes=0)
        reply, took_s = call_server(calls, server, timeout_s=0.5)
        assert reply.status == 0
        assert took_s < 0.5 + NOTICE_MARGIN_S

    def test_a_call_without_a_limit_on_silence_waits_for_its_timeout(
        self, calls: _http_calls.HttpClient
    ) -> None:
        reply, took_s = call_server(
            calls,
            Server([], missing_bytes=0),
            timeout_s=0.6,
            silence_limit_s=None,
        )
        assert reply.status == 0
        assert 0.6 <= took_s < 0.6 + NOTICE_MARGIN_S

    def test_a_silent_call_does_not_end_a_later_one(
        self, calls: _http_calls.HttpClient
    ) -> None:
        call_server(calls, Server([], missing_bytes=0))
        server = Server([b"x" * 100] * 10, missing_bytes=0)
        reply, _ = call_server(calls, server)
        assert reply.body == b"x" * 1000


class _ManyServers(threading.Thread):
    """Servers on many ports that answer each request on kept connections.

    Args:
        count: Number of servers.

    Attributes:
        ports: Their ports.
        accepted: Number of connections accepted so far.
    """

    def __init__(self, count: int) -> None:
        super().__init__()
        self.accepted = 0
        self._is_stopped = False
        self._selector = selectors.DefaultSelector()
        self._sockets = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(count)
        ]
        self.ports = [each.getsockname()[1] for each in self._sockets]
        for listener in self._sockets:
            self._selector.register(listener, selectors.EVENT_READ, True)

    def run(self) -> None:
        """Serves until stopped."""
        while not self._is_stopped:
            for key, _ in self._selector.select(0.02):
                assert isinstance(key.fileobj, socket.socket)
                if key.data:
                    connection, _ = key.fileobj.accept()
                    self.accepted += 1
                    self._sockets.append(connection)
                    self._selector.register(
                        connection, selectors.EVENT_READ, False
                    )
                elif key.fileobj.recv(4096):
                    key.fileobj.sendall(
                        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    )
                else:
                    self._selector.unregister(key.fileobj)

    def stop(self) -> None:
        """Stops the thread and closes all sockets."""
        self._is_stopped = True
        self.join()
        for each in self._sockets:
            each.close()


class TestConnections:
    """Connections are kept up to the limit, whatever is called meanwhile."""

    def _call_all(
        self, calls: _http_calls.HttpClient, ports: list[int]
    ) -> list[_http_call.HttpReply]:
        """Calls all ports at once and returns the replies."""
        replies: list[_http_call.HttpReply] = []
        for port in ports:
            calls.send(
                _http_call.HttpCall(
                    "GET", f"http://127.0.0.1:{port}/", timeout_s=20.0
                ),
                replies.append,
            )
        limit_s = time.monotonic() + 20.0
        while len(replies) < len(ports) and time.monotonic() < limit_s:
            calls.poll(0.05)
        return replies

    @pytest.mark.parametrize(
        ("limit", "expected_connections"), [(450, 450), (30, None)]
    )
    def test_a_second_round_of_calls_uses_the_connections_of_the_first(
        self, limit: int, expected_connections: int | None
    ) -> None:
        """A pool smaller than the fleet connects anew for every renewal."""
        servers = _ManyServers(450)
        servers.start()
        calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=limit
        )
        try:
            for _ in range(2):
                replies = self._call_all(calls, servers.ports)
                assert [each.status for each in replies] == [200] * 450
        finally:
            calls.close()
            servers.stop()
        if expected_connections is not None:
            assert servers.accepted == expected_connections


class TestFailingCallbacks:
    """An error in the callback of one call affects no other call."""

    def test_calls_that_are_given_up_together_all_get_their_reply(
        self, calls: _http_calls.HttpClient
    ) -> None:
        """Else their callers wait for the 30 s of a whole transfer."""
        servers = [Server([], missing_bytes=0) for _ in range(3)]
        replies: list[_http_call.HttpReply] = []

        def fail_once(reply: _http_call.HttpReply) -> None:
            replies.append(reply)
            if len(replies) == 1:
                raise ValueError("unexpected reply")

        for server in servers:
            calls.send(
                _http_call.HttpCall(
                    "GET",
                    server.url,
                    timeout_s=10.0,
                    silence_limit_s=SILENCE_LIMIT_S,
                ),
                fail_once,
            )
        # Let the limit of all calls pass before the client looks at it.
        calls.poll(0.05)
        time.sleep(SILENCE_LIMIT_S)
        limit_s = time.monotonic() + 2 * SILENCE_LIMIT_S
        while len(replies) < len(servers) and time.monotonic() < limit_s:
            with contextlib.suppress(ValueError):
                calls.poll(0.05)
        for server in servers:
            server.close()
        assert len(replies) == len(servers)


class TestUnsendableCalls:
    """A call that cannot be put into a request fails; it raises nothing."""

    @pytest.mark.parametrize(
        ("url", "header"),
        [
            ("http://127.0.0.1:1/", "Expect-Instance: i-\u00e9"),
            ("http://127.0.0.1:1/", "Expect-Instance: i-\0"),
            ("http://127.0.0.1:1/", "Expect-Instance: i-\udcff"),
            ("http://\u00e9:1/", "A: b"),
            ("http://127.0.0.1:1\0/", "A: b"),
            ("http://127.0.0.1:99999/", "A: b"),
            ("http://...:1/", "A: b"),
        ],
    )
    def test_the_calls_behind_it_are_sent(self, url: str, header: str) -> None:
        server = resetting_server.ResettingServer(later_status=200)
        calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=4
        )
        refused: list[_http_call.HttpReply] = []
        answered: list[_http_call.HttpReply] = []
        calls.send(
            _http_call.HttpCall("GET", url, b"", (header,)), refused.append
        )
        assert refused == []
        calls.send(_http_call.HttpCall("GET", server.url), answered.append)
        deadline_s = time.monotonic() + 4.0
        while not (refused and answered) and time.monotonic() < deadline_s:
            calls.poll(0.05)
        calls.close()
        server.close()
        assert [each.status for each in refused] == [0]
        assert refused[0].error_text
        assert not refused[0].may_have_been_sent
        assert [each.status for each in answered] == [200]

    def test_its_reply_does_not_wait_for_an_event(self) -> None:
        calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=4
        )
        replies: list[_http_call.HttpReply] = []
        calls.send(
            _http_call.HttpCall("GET", "http://\u00e9:1/"), replies.append
        )
        begin_s = time.monotonic()
        calls.poll(SILENCE_LIMIT_S)
        took_s = time.monotonic() - begin_s
        calls.close()
        assert len(replies) == 1
        assert took_s < SILENCE_LIMIT_S


class TestRepeatedRequests:
    """A request that was read is not sent again behind the caller's back.

    The answer to the copy says nothing of the request.
    """

    @pytest.mark.parametrize("later_status", [None, 409, 503])
    def test_a_request_that_may_have_been_read_is_not_reported_as_unsent(
        self, calls: _http_calls.HttpClient, later_status: int | None
    ) -> None:
        server = resetting_server.ResettingServer(later_status)
        replies: list[_http_call.HttpReply] = []
        for body in (b"first", b"second"):
            calls.send(
                _http_call.HttpCall(
                    "POST", server.url, body=body, timeout_s=2.0
                ),
                replies.append,
            )
            expected = len(replies) + 1
            deadline_s = time.monotonic() + 4.0
            while len(replies) < expected and time.monotonic() < deadline_s:
                calls.poll(0.05)
        server.close()
        assert server.received_bodies == [b"first", b"second"]
        assert [each.status for each in replies] == [200, 0]
        assert replies[-1].may_have_been_sent
        assert not any(each.lacked_connection for each in replies)


class _Guard(_http_calls.ConnectionGuard):
    """Admits the connections that it is told, and opens none.

    Attributes:
        admitted: What it answers.
        asked: The connections that it was asked for.
    """

    may_open = False

    def __init__(self, *, admitted: bool) -> None:
        self.admitted = admitted
        self.asked: list[_http_calls.Connection] = []

    def admits(self, connection: _http_calls.Connection) -> bool:
        self.asked.append(connection)
        return self.admitted


class TestGuardedConnections:
    """A call that may use no connection is not sent, and says so."""

    def _call(
        self,
        calls: _http_calls.HttpClient,
        url: str,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> _http_call.HttpReply:
        """Returns the reply to a call."""
        replies: list[_http_call.HttpReply] = []
        calls.send(
            _http_call.HttpCall("POST", url, body=b"x", timeout_s=2.0),
            replies.append,
            guard,
        )
        deadline_s = time.monotonic() + 4.0
        while not replies and time.monotonic() < deadline_s:
            calls.poll(0.05)
        return replies[0]

    @pytest.fixture
    def url(self) -> Iterator[str]:
        """URL of a server that keeps connections open."""
        servers = _ManyServers(1)
        servers.start()
        yield f"http://127.0.0.1:{servers.ports[0]}/"
        servers.stop()

    def test_it_opens_none(
        self, calls: _http_calls.HttpClient, url: str
    ) -> None:
        guard = _Guard(admitted=True)
        reply = self._call(calls, url, guard)
        assert reply.lacked_connection
        assert not reply.may_have_been_sent
        assert guard.asked == []

    def test_it_is_sent_on_an_open_one_that_is_admitted(
        self, calls: _http_calls.HttpClient, url: str
    ) -> None:
        assert self._call(calls, url).status == 200
        guard = _Guard(admitted=True)
        reply = self._call(calls, url, guard)
        assert reply.status == 200
        assert not reply.lacked_connection
        assert [port for _, port, _ in guard.asked] == [
            int(url.rpartition(":")[2].strip("/"))
        ]

    def test_it_is_not_sent_on_another(
        self, calls: _http_calls.HttpClient, url: str
    ) -> None:
        assert self._call(calls, url).status == 200
        reply = self._call(calls, url, _Guard(admitted=False))
        assert reply.lacked_connection
        assert not reply.may_have_been_sent

    def test_one_that_is_lost_after_sending_may_have_been_read(
        self, calls: _http_calls.HttpClient
    ) -> None:
        server = resetting_server.ResettingServer(200)
        assert self._call(calls, server.url).status == 200
        reply = self._call(calls, server.url, _Guard(admitted=True))
        server.close()
        assert reply.status == 0
        assert reply.may_have_been_sent
        assert not reply.lacked_connection

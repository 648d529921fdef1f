"""Stand-ins of executors whose answers share one narrow link of a scheduler."""

import contextlib
import json
import selectors
import socket
import threading
import time
from typing import BinaryIO

import platform_standin


class LinkedExecutors:
    """Executors that answer at once, over a link that queues the answers.

    No byte of an answer arrives before the link has carried the earlier ones,
    also those that nobody waits for any more.

    Args:
        count: Number of executors.
        answer_bytes: Size of the body of an answer, in bytes.

    Attributes:
        link: The link that the answers share.
        uplink: The link that the bodies of the requests share.
        silent: Numbers of the executors that don't answer.
        silent_to_starts: Numbers of those that don't answer starts.
    """

    def __init__(self, count: int, answer_bytes: int) -> None:
        self.link = platform_standin.Link()
        self.uplink = platform_standin.Link()
        self.silent: set[int] = set()
        self.silent_to_starts: set[int] = set()
        self._answer_bytes = answer_bytes
        self._born_s = time.monotonic()
        self._is_closed = False
        self._connections: list[socket.socket] = []
        self._listeners = [
            socket.create_server(("127.0.0.1", 0)) for _ in range(count)
        ]
        self._thread = threading.Thread(target=self._accept_connections)
        self._thread.start()

    @property
    def addresses(self) -> list[str]:
        """Addresses of the executors, in the order of their numbers."""
        return [
            f"127.0.0.1:{each.getsockname()[1]}" for each in self._listeners
        ]

    def _accept_connections(self) -> None:
        """Serves each connection on a thread of its own."""
        with selectors.DefaultSelector() as selector:
            for number, listener in enumerate(self._listeners):
                selector.register(listener, selectors.EVENT_READ, number)
            while not self._is_closed:
                for key, _ in selector.select(platform_standin.POLL_INTERVAL_S):
                    connection, _ = self._listeners[key.data].accept()
                    self._connections.append(connection)
                    threading.Thread(
                        target=self._serve,
                        args=(connection, key.data),
                        daemon=True,
                    ).start()

    def _serve(self, connection: socket.socket, number: int) -> None:
        """Answers the requests of one connection until it is closed."""
        # A client that gives up resets the connection.
        with (
            connection,
            contextlib.suppress(OSError, ValueError),
            connection.makefile("rb") as requests,
        ):
            while path := self._read_request(requests):
                if number in self.silent:
                    continue
                if path == "/run-start" and number in self.silent_to_starts:
                    continue
                self.link.carry(self._answer_bytes)
                clock_ms = int((time.monotonic() - self._born_s) * 1000)
                answer = {"ClockMs": clock_ms, "Running": [], "Ended": []}
                body = json.dumps(answer).ljust(self._answer_bytes).encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}"
                connection.sendall(head.encode() + b"\r\n\r\n" + body)

    def _read_request(self, requests: BinaryIO) -> str:
        """Reads one request over the link.

        Returns:
            Its path; empty if the request is not whole.
        """
        left = 0
        _, _, target = requests.readline().decode("latin-1").partition(" ")
        path = target.partition(" ")[0]
        while line := requests.readline().strip():
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                left = int(value)
        is_whole = left > 0
        while left > 0:
            piece = requests.read(min(left, platform_standin.RECEIVE_BYTES))
            if not piece:
                return ""
            self.uplink.carry(len(piece))
            left -= len(piece)
        return path if is_whole else ""

    def close(self) -> None:
        """Closes all connections."""
        self._is_closed = True
        self._thread.join()
        for each in (*self._listeners, *self._connections):
            each.close()

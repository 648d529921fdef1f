"""Crowds of clients that don't keep to the limits of the protocol.

A crowd is bounded in its connections, its bytes and its time, and talks to one
process on loopback.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import pathlib
import selectors
import socket
import time

import psutil

CONNECTIONS = 96
"""Connections of a small crowd."""

LARGE_CROWD_CONNECTIONS = 480
"""Connections of a crowd that leaves bytes unread."""

BYTES_PER_CONNECTION = 4 << 20
"""Most bytes that a client sends."""

CROWD_S = 6.0
"""Time for which a crowd keeps its connections, in seconds."""

_SAMPLE_INTERVAL_S = 0.05

_POST = (
    b"POST /jobs/0000000000000%03x HTTP/1.1\r\nHost: jobs.example\r\n"
    b"Content-Type: application/json\r\n"
)
_CHUNKED = _POST + b"Transfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Peak:
    """The most that a process used while a crowd was there.

    Attributes:
        memory_bytes: Its resident memory and the bytes that it has received
            and not read, together.
        descriptors: Its open file descriptors.
    """

    memory_bytes: int = 0
    descriptors: int = 0

    def max_with(self, other: "Peak") -> "Peak":
        """Returns the larger one of each figure."""
        return Peak(
            max(self.memory_bytes, other.memory_bytes),
            max(self.descriptors, other.descriptors),
        )


def unread_bytes(ports: frozenset[int]) -> int:
    """Returns what has arrived on connections to ports and was not read."""
    total = 0
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    for fields in (line.split() for line in lines):
        port = int(fields[1].rpartition(":")[2], 16)
        is_listening = fields[3] == "0A"
        if port in ports and not is_listening:
            total += int(fields[4].rpartition(":")[2], 16)
    return total


def measure(process: psutil.Process, ports: frozenset[int]) -> Peak:
    """Returns what a process that serves on ports uses now."""
    return Peak(
        process.memory_info().rss + unread_bytes(ports), process.num_fds()
    )


def _repeat(head: bytes, part: bytes) -> Iterator[bytes]:
    """Yields a head, and a part again and again."""
    yield head
    block = part * max(1, 65_536 // len(part))
    while True:
        yield block


def endless_trailers(number: int) -> Iterator[bytes]:
    """Yields a job in one chunk, and trailers without end."""
    return _repeat(
        _CHUNKED % number + b"2\r\n{}\r\n0\r\n", b"X-A: " + b"b" * 91 + b"\r\n"
    )


def endless_trailer_line(number: int) -> Iterator[bytes]:
    """Yields a job in one chunk, and a trailer without end."""
    return _repeat(_CHUNKED % number + b"2\r\n{}\r\n0\r\nX-A: ", b"b")


def endless_chunk_size(number: int) -> Iterator[bytes]:
    """Yields a chunk whose size has no end."""
    return _repeat(_CHUNKED % number, b"0")


def endless_extension(number: int) -> Iterator[bytes]:
    """Yields a chunk with an extension without end."""
    return _repeat(_CHUNKED % number + b"2;a=", b"b")


def endless_chunks(number: int) -> Iterator[bytes]:
    """Yields a body of small chunks without end."""
    return _repeat(_CHUNKED % number, b"1\r\nx\r\n")


def endless_header(number: int) -> Iterator[bytes]:
    """Yields a header field without end."""
    return _repeat(_POST % number + b"X-A: ", b"b")


def endless_blank_lines(number: int) -> Iterator[bytes]:
    """Yields blank lines without end in place of a request."""
    del number
    return _repeat(b"", b"\r\n")


def unfinished_large_body(number: int) -> Iterator[bytes]:
    """Yields a large chunk but for its last byte, which does not come."""
    size = (1 << 20) - 64
    yield _CHUNKED % number + b"%x\r\n" % size
    yield b"x" * (size - 1)


def unfinished_body_of_known_length(number: int) -> Iterator[bytes]:
    """Yields a body of a known length but for its last byte."""
    size = 1 << 20
    yield _POST % number + b"Content-Length: %d\r\n\r\n" % size
    yield b"x" * (size - 1)


def slow_chunks_before_trailers(number: int) -> Iterator[bytes]:
    """Yields bodies without end on some connections, trailers on the others.

    The former send a byte now and then, so that a thread that waits for them
    serves no others.
    """
    if number % 4 == 0:
        yield _CHUNKED % number
        while True:
            yield b"1\r\nx\r\n"
            yield b""
    yield from endless_trailers(number)


Script = Callable[[int], Iterator[bytes]]
"""What a client sends, piece by piece, by its number; an empty piece is a
pause."""


class _Client:
    """A connection that sends a script and never reads."""

    def __init__(self, port: int, number: int, script: Script) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(("127.0.0.1", port))
        self._script = script(number)
        self._unsent = b""
        self._sent = 0
        self.paused_until_s = 0.0
        self.is_done = False

    def send(self) -> None:
        """Sends until the connection takes no more, or the script pauses."""
        try:
            while not self.is_done:
                if not self._unsent:
                    piece = next(self._script, None)
                    if piece is None or self._sent > BYTES_PER_CONNECTION:
                        self.is_done = True
                        return
                    if not piece:
                        self.paused_until_s = time.monotonic() + 0.5
                        return
                    self._unsent = piece
                count = self.sock.send(self._unsent)
                self._sent += count
                self._unsent = self._unsent[count:]
        except BlockingIOError:
            return
        except OSError:
            self.is_done = True


def play(
    process: psutil.Process,
    port: int,
    script: Script,
    *,
    ports: frozenset[int],
    connections: int = CONNECTIONS,
) -> Peak:
    """Lets a crowd send a script to a process.

    Args:
        process: The process.
        port: Port on which it serves the crowd.
        script: What each client sends.
        ports: All of its ports.
        connections: Number of clients.

    Returns:
        The most that the process used meanwhile.

    Raises:
        psutil.NoSuchProcess: The process has ended.
    """
    clients = [_Client(port, each, script) for each in range(connections)]
    peak = Peak()
    end_s = time.monotonic() + CROWD_S
    next_sample_s = 0.0
    try:
        while (now_s := time.monotonic()) < end_s:
            if now_s >= next_sample_s:
                peak = peak.max_with(measure(process, ports))
                next_sample_s = now_s + _SAMPLE_INTERVAL_S
            for client in _writable(clients, now_s):
                client.send()
    finally:
        for client in clients:
            with contextlib.suppress(OSError):
                client.sock.close()
    return peak


def _writable(clients: list[_Client], now_s: float) -> list[_Client]:
    """Returns the clients that can go on sending, after a short wait."""
    with selectors.DefaultSelector() as selector:
        for client in clients:
            if not client.is_done and client.paused_until_s <= now_s:
                selector.register(client.sock, selectors.EVENT_WRITE, client)
        if not selector.get_map():
            time.sleep(_SAMPLE_INTERVAL_S)
            return []
        return [key.data for key, _ in selector.select(_SAMPLE_INTERVAL_S)]

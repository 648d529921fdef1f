"""Bodies of requests, received as they arrive.

A body is received whole before the application runs, so that what a client
sends next is never taken for a part of it, nor a part of it for a request.
"""

import abc
from collections.abc import Callable
import io
import select
import threading
from typing import Any

MAX_CHUNKS = 16_384
"""Most chunks of a body: each costs processor time, whatever its size. The text
of a large job in chunks of a single byte has fewer."""

MAX_BARE_FRAMING_BYTES = 12
"""Most bytes around a chunk without an extension: eight digits of its size and
two line ends."""

_LINE_END = b"\r\n"


class BodyError(Exception):
    """A body that is not received any further.

    Args:
        status: Status line of the answer.
        detail: What is wrong with it.
    """

    def __init__(self, status: str, detail: str) -> None:
        super().__init__(f"{status}: {detail}")
        self.status = status
        self.detail = detail


class BodyBudget:
    """Memory that the bodies of all requests of a server share; thread-safe.

    Args:
        byte_count: Most bytes that they may hold together.
    """

    def __init__(self, byte_count: int) -> None:
        self._free = byte_count
        self._lock = threading.Lock()

    def acquire(self, byte_count: int) -> bool:
        """Returns whether so many bytes were free; they are taken then."""
        with self._lock:
            if byte_count > self._free:
                return False
            self._free -= byte_count
            return True

    def release(self, byte_count: int) -> None:
        """Gives bytes back."""
        with self._lock:
            self._free += byte_count


class RequestBody(abc.ABC):
    """The body of a request, received as it arrives.

    Args:
        stream: Buffered stream of the connection.
        sock: Its socket.
        max_bytes: Most bytes that the body may have.
        budget: Memory that it shares with other bodies.
    """

    def __init__(
        self,
        stream: Any,  # noqa: ANN401 - cheroot has no type for it
        sock: Any,  # noqa: ANN401 - a plain or a TLS socket
        max_bytes: int,
        budget: BodyBudget,
    ) -> None:
        self._stream = stream
        self._socket = sock
        self._max_bytes = max_bytes
        self._budget = budget
        self._received = bytearray()

    @property
    def size(self) -> int:
        """Bytes that have been received."""
        return len(self._received)

    def receive(self, may_hold: Callable[[int], bool]) -> bool:
        """Receives more of the body.

        Args:
            may_hold: Returns whether so many bytes may be held without a
                thread; otherwise this one waits for the rest.

        Returns:
            Whether the body is complete, or the client sends no more of it.

        Raises:
            BodyError: The body is malformed, too large, or finds no memory.
        """
        while not self._is_complete():
            if not self._has_arrived() and may_hold(self.size):
                return False
            if not self._receive_part():
                break
        return True

    def open(self) -> io.BytesIO:
        """Returns the received bytes as a stream."""
        return io.BytesIO(self._received)

    def close(self) -> None:
        """Gives the memory of the body back."""
        self._budget.release(self.size)
        self._received = bytearray()

    @abc.abstractmethod
    def _is_complete(self) -> bool:
        """Returns whether the whole body has been received."""

    @abc.abstractmethod
    def _receive_part(self) -> bool:
        """Receives what has arrived; returns whether the client goes on.

        Raises:
            BodyError: The body is malformed, too large, or finds no memory.
        """

    def _append(self, part: bytes) -> None:
        """Appends to what has been received.

        Raises:
            BodyError: The body is too large, or there is no memory for it.
        """
        if self.size + len(part) > self._max_bytes:
            raise BodyError(
                "413 Request Entity Too Large",
                f"the body has more than {self._max_bytes} bytes",
            )
        if not self._budget.acquire(len(part)):
            raise BodyError(
                "503 Service Unavailable",
                "the bodies of other requests use all memory",
            )
        self._received += part

    def _has_arrived(self) -> bool:
        """Returns whether more can be read at once."""
        if self._stream.has_data():
            return True
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))


class SizedBody(RequestBody):
    """A body whose length the header tells.

    Args:
        stream: Buffered stream of the connection.
        sock: Its socket.
        length: Length of the body, in bytes.
        budget: Memory that it shares with other bodies.
    """

    def __init__(
        self,
        stream: Any,  # noqa: ANN401 - cheroot has no type for it
        sock: Any,  # noqa: ANN401 - a plain or a TLS socket
        length: int,
        budget: BodyBudget,
    ) -> None:
        super().__init__(stream, sock, length, budget)
        self._length = length

    def _is_complete(self) -> bool:
        return self.size >= self._length

    def _receive_part(self) -> bool:
        part = self._stream.read1(self._length - self.size)
        self._append(part)
        return bool(part)


class ChunkedBody(RequestBody):
    """A body in chunks; extensions and trailers are dropped.

    Args:
        stream: Buffered stream of the connection.
        sock: Its socket.
        max_bytes: Most bytes that the body may have.
        budget: Memory that it shares with other bodies.
        max_header_bytes: Most bytes that its trailers, or the extensions of
            its chunks, may have.
    """

    def __init__(
        self,
        stream: Any,  # noqa: ANN401 - cheroot has no type for it
        sock: Any,  # noqa: ANN401 - a plain or a TLS socket
        max_bytes: int,
        budget: BodyBudget,
        max_header_bytes: int,
    ) -> None:
        super().__init__(stream, sock, max_bytes, budget)
        self._max_header_bytes = max_header_bytes
        self._framing_bytes = 0
        self._chunk_count = 0
        self._line = bytearray()
        self._chunk_left = 0
        self._is_line_end_due = False
        self._is_in_trailers = False
        self._has_ended = False

    def _is_complete(self) -> bool:
        return self._has_ended

    def _receive_part(self) -> bool:
        # What follows the body belongs to the next request and is left.
        arrived = self._stream.peek(1)
        if not arrived:
            raise BodyError("400 Bad Request", "the body ends within a chunk")
        position = 0
        while position < len(arrived) and not self._has_ended:
            if self._chunk_left:
                part = arrived[position : position + self._chunk_left]
                self._append(part)
                self._chunk_left -= len(part)
                position += len(part)
            else:
                position = self._take_line(arrived, position)
        self._stream.read(position)
        return True

    def _take_line(self, arrived: bytes, position: int) -> int:
        """Takes a line, or a part of it; returns the position after it.

        Raises:
            BodyError: The line is malformed, or there are too many.
        """
        end = arrived.find(b"\n", position)
        after = len(arrived) if end < 0 else end + 1
        self._line += arrived[position:after]
        self._framing_bytes += after - position
        bare_bytes = MAX_BARE_FRAMING_BYTES * self._chunk_count
        if self._framing_bytes - bare_bytes > self._max_header_bytes:
            raise BodyError(
                "413 Request Entity Too Large",
                "the extensions and trailers have more than"
                f" {self._max_header_bytes} bytes",
            )
        if end >= 0:
            line = bytes(self._line)
            self._line.clear()
            self._handle_line(line)
        return after

    def _handle_line(self, line: bytes) -> None:
        """Goes on after a whole line of the framing.

        Raises:
            BodyError: The line is malformed.
        """
        if not line.endswith(_LINE_END):
            raise BodyError("400 Bad Request", "a line ends without CRLF")
        text = line.removesuffix(_LINE_END)
        if self._is_in_trailers:
            self._has_ended = not text
        elif self._is_line_end_due:
            if text:
                raise BodyError(
                    "400 Bad Request", "a chunk is longer than its size"
                )
            self._is_line_end_due = False
        else:
            self._begin_chunk(text)

    def _begin_chunk(self, line: bytes) -> None:
        """Begins a chunk, or the trailers after the last one.

        Raises:
            BodyError: The size of the chunk is malformed or too large.
        """
        self._chunk_count += 1
        if self._chunk_count > MAX_CHUNKS:
            raise BodyError(
                "413 Request Entity Too Large",
                f"the body has more than {MAX_CHUNKS} chunks",
            )
        digits = line.partition(b";")[0].strip(b" \t")
        if not digits or digits.strip(b"0123456789abcdefABCDEF"):
            raise BodyError("400 Bad Request", "the size of a chunk is no hex")
        self._chunk_left = int(digits, 16)
        if self.size + self._chunk_left > self._max_bytes:
            raise BodyError(
                "413 Request Entity Too Large",
                f"the body has more than {self._max_bytes} bytes",
            )
        self._is_in_trailers = not self._chunk_left
        self._is_line_end_due = not self._is_in_trailers

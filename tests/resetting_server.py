"""An HTTP server that loses its first connection after reading a request."""

import contextlib
import re
import socket
import struct
import threading

_LINGER_NONE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a connection resets it."""


class ResettingServer:
    """Answers the first request of a connection and resets it at the second.

    It has read the whole second request by then, so that it may act on it.

    Args:
        later_status: Status of the answers on later connections; None if
            these are refused.
        headers: Lines of the header of each answer, besides its length.
        first_body: Body of the answer to the first request.
        later_body: Body of the answers on later connections.
        answers_first: Whether it answers the first request; else it resets the
            connection at that one.

    Attributes:
        url: URL to call, with a final slash.
        received_bodies: Body of each request, in order of arrival.
    """

    def __init__(
        self,
        later_status: int | None,
        *,
        headers: tuple[str, ...] = (),
        first_body: bytes = b"{}",
        later_body: bytes = b"{}",
        answers_first: bool = True,
    ) -> None:
        self.received_bodies: list[bytes] = []
        self._later_status = later_status
        self._headers = headers
        self._first_body = first_body
        self._later_body = later_body
        self._answers_first = answers_first
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}/"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        """Serves the first connection, then the later ones."""
        # The test closes the listener once its calls have ended.
        with contextlib.suppress(OSError):
            connection, _ = self._listener.accept()
            if self._answers_first:
                self._answer(connection, 200, self._first_body)
            self._receive(connection)
            if self._later_status is None:
                self._listener.close()
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
            )
            connection.close()
            while self._later_status is not None:
                connection, _ = self._listener.accept()
                with connection:
                    self._answer(
                        connection, self._later_status, self._later_body
                    )

    def _receive(self, connection: socket.socket) -> bool:
        """Receives a whole request, if one comes."""
        received = b""
        while not _is_complete(received):
            part = connection.recv(4096)
            if not part:
                return False
            received += part
        self.received_bodies.append(received.partition(b"\r\n\r\n")[2])
        return True

    def _answer(
        self, connection: socket.socket, status: int, body: bytes
    ) -> None:
        """Receives a request and answers it, if one comes."""
        if not self._receive(connection):
            return
        lines = (
            f"HTTP/1.1 {status} Status",
            f"Content-Length: {len(body)}",
            *self._headers,
        )
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def close(self) -> None:
        """Accepts no further connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()


def _is_complete(received: bytes) -> bool:
    """Returns whether the bytes hold a request with its whole body."""
    head, separator, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    needed = int(length[1]) if length else 0
    return bool(separator) and len(body) >= needed

"""A TCP relay whose open connections can fall silent."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65_536
"""Most bytes that are passed on at once."""


class Relay:
    """Passes connections on to a port on loopback.

    Args:
        target_port: Port that receives the connections.

    Attributes:
        port: Port on which the relay listens.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._silent: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self) -> int:
        """Drops all later bytes of the connections that are open now.

        Returns:
            The number of these connections.
        """
        with self._lock:
            self._silent |= self._open
            return len(self._silent) // 2

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self._listener.close()
        with self._lock:
            for each in self._open:
                with contextlib.suppress(OSError):
                    each.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        """Connects each new connection to the target."""
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                far = socket.create_connection(("127.0.0.1", self._target_port))
                with self._lock:
                    self._open |= {near, far}
                for source, target in ((near, far), (far, near)):
                    threading.Thread(
                        target=self._pass_on, args=(source, target), daemon=True
                    ).start()

    def _pass_on(self, source: socket.socket, target: socket.socket) -> None:
        """Passes bytes on in one direction until the source closes."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if source not in self._silent:
                    target.sendall(data)
        with self._lock:
            self._open -= {source}
        with contextlib.suppress(OSError):
            target.shutdown(socket.SHUT_RDWR)

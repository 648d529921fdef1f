"""Connections of an HTTP server that hold no thread while they wait."""

import time
from typing import Any

from cheroot import connections


class WaitingConnections(connections.ConnectionManager):
    """Connections that wait for a request or for the rest of a body.

    Its stop answers the connections made before. A connection that the kernel
    has completed and the server has not accepted is reset when the listening
    socket closes: its client has sent a request and cannot know whether it ran.
    """

    # Cheroot's type stubs leave these out.
    _selector: Any
    _from_server_socket: Any

    def put(self, conn: Any) -> None:  # noqa: ANN401 - cheroot has no type for it
        """Waits for a connection; takes it back if the server has stopped."""
        super().put(conn)
        if conn.waiting_body is None or self.server.ready:
            return
        if self._take(conn.socket.fileno()):
            self.server.put_conn(conn)

    def received_bytes(self) -> int:
        """Returns how much of incomplete bodies is held, in bytes."""
        bodies = [
            connection.waiting_body
            for _, connection in self._selector.connections
            if connection is not self.server
        ]
        return sum(body.size for body in bodies if body is not None)

    def stop(self) -> None:
        """Ends the loop, serves what has arrived and stops to listen."""
        super().stop()
        for descriptor, connection in self._with_body():
            self._serve_arrived(descriptor, connection)
        listener = self.server.socket
        for _ in range(self.server.request_queue_size):
            arrived = list(self._selector.select(timeout=0))
            if not arrived:
                break
            for descriptor, connection in arrived:
                self._serve_arrived(descriptor, connection)
        self.server.socket = None
        listener.close()

    def _with_body(self) -> list[tuple[int, Any]]:
        """Returns the connections that wait for the rest of a body."""
        return [
            (descriptor, connection)
            for descriptor, connection in list(self._selector.connections)
            if connection is not self.server
            and connection.waiting_body is not None
        ]

    def _expire(self, threshold: float) -> None:
        """Serves bodies that are late; closes connections that are idle."""
        for descriptor, connection in self._with_body():
            if connection.deadline.has_passed:
                self._serve_arrived(descriptor, connection)
            else:
                connection.last_used = time.time()
        super()._expire(threshold)  # type: ignore[misc]  # left out of the stubs

    def _take(self, descriptor: int) -> bool:
        """Waits for a connection no longer; returns whether it did until now.

        The stop and the thread that puts a connection back may both take it.
        """
        try:
            self._selector.unregister(descriptor)
        except (KeyError, ValueError):
            return False
        return True

    def _serve_arrived(self, descriptor: int, connection: Any) -> None:  # noqa: ANN401 - cheroot has no type for it
        """Passes a connection with a request, or a new one, to a thread."""
        if connection is not self.server:
            if self._take(descriptor):
                self.server.process_conn(connection)
            return
        accepted = self._from_server_socket(self.server.socket)
        if accepted is not None:
            self.server.process_conn(accepted)

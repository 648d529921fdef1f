"""The HTTP server for customers and operators."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import math
from typing import Any

from basiljunction.protocol import _address
from basiljunction.protocol import _http_limits
from basiljunction.transport import _http_connection

LISTEN_BACKLOG = 512
"""Connections that the kernel queues until the server accepts them."""

IDLE_TIMEOUT_S = 60
"""Seconds after which an idle connection is closed."""

QUEUE_TIMEOUT_S = 0
"""Seconds that a new connection waits while the queue is full.

0 refuses it at once: waiting would block all other connections.
"""

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]
"""A WSGI application."""


class HttpServer:
    """Serves a WSGI application on its own threads.

    Args:
        listen: ``ip:port``; port 0 selects a free port.
        application: The WSGI application.
        limits: Limits on threads, connections, sizes and times.
    """

    def __init__(
        self,
        *,
        listen: str,
        application: Application,
        limits: _http_limits.Limits,
    ) -> None:
        self._server = _http_connection.DeadlineServer(
            _address.split_host_and_port(listen),
            application,
            numthreads=limits.http_threads,
            max=limits.http_threads,
            server_name="basiljunction",
            request_queue_size=LISTEN_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=limits.drain_s,
            accepted_queue_size=limits.waiting_connections,
            accepted_queue_timeout=QUEUE_TIMEOUT_S,
            timeouts=_http_connection.RequestTimeouts(
                header_s=limits.header_timeout_s,
                body_s=limits.body_timeout_s,
                write_s=limits.write_timeout_s,
            ),
            bodies_bytes=limits.bodies_bytes,
            receive_buffer_bytes=limits.receive_buffer_bytes,
        )
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._server.keep_alive_conn_limit = limits.idle_connections

    def bind(self) -> str:
        """Starts to listen and returns the address with the actual port.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def start(self, pool: futures.Executor) -> "futures.Future[None]":
        """Accepts connections on a thread of the pool until stopped."""
        return pool.submit(self._server.serve)

    def stop(self, end_s: float = math.inf) -> None:
        """Stops accepting connections and lets requests in progress finish.

        Args:
            end_s: Time of the monotonic clock at which connections that are
                still open are closed, in seconds; none if infinite.
        """
        self._server.stop_end_s = end_s
        self._server.stop()

"""Serves stand-ins over HTTP, each below its own base path."""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import errno
import json
from typing import TYPE_CHECKING
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi
from werkzeug import exceptions
from werkzeug import wrappers

from basiljunction.standin import _journal

if TYPE_CHECKING:
    from _typeshed import wsgi as wsgi_types

MAX_IDLE_CONNECTIONS = 4096
"""Idle keep-alive connections that the server holds open."""

CONNECTION_TIMEOUT_S = 120
"""Seconds after which the server closes an idle connection."""

LISTEN_BACKLOG = 256
"""Connections that may wait to be accepted."""


def json_response(
    body: dict[str, Any], *, status: int = 200, **headers: str
) -> wrappers.Response:
    """Returns an HTTP response with a JSON body.

    Args:
        body: The JSON object.
        status: HTTP status code.
        **headers: Further headers; underscores become hyphens.
    """
    response = wrappers.Response(
        json.dumps(body), status=status, mimetype="application/json"
    )
    for name, value in headers.items():
        response.headers[name.replace("_", "-")] = value
    return response


def drop_connection() -> wrappers.Response:
    """Fails a request without an answer, to simulate a lost connection.

    Raises:
        ConnectionResetError: Always; the server then closes the connection.
    """
    raise ConnectionResetError(
        errno.ECONNRESET, "connection dropped by a simulated fault"
    )


def truncate_response(response: wrappers.Response) -> wrappers.Response:
    """Returns a response that breaks off after half of its body."""
    body = response.get_data()

    def first_half() -> Iterable[bytes]:
        """Yields half of the body, then fails as a lost connection does."""
        yield body[: len(body) // 2]
        raise ConnectionResetError(
            errno.ECONNRESET, "answer truncated by a simulated fault"
        )

    truncated = wrappers.Response(first_half(), status=response.status_code)
    truncated.headers.extend(response.headers)
    truncated.headers["Content-Length"] = str(len(body))
    return truncated


class StandIn(abc.ABC):
    """Base class of stand-ins; each simulates one external system.

    Args:
        name: First path segment of its URLs; empty to serve the root.

    Attributes:
        name: First path segment of its URLs; empty for the root.
        journal: Events that the stand-in recorded.
        faults: Simulated faults that are switched on.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.journal = _journal.EventJournal()
        self.faults = _journal.FaultSwitches()

    @abc.abstractmethod
    def handle(self, request: wrappers.Request, path: str) -> wrappers.Response:
        """Returns the response to a request.

        Args:
            request: The request.
            path: URL path below the base path.
        """

    def note_connection(self, connection: str) -> None:  # noqa: B027 - optional
        """Called with the connection id of each request to this stand-in.

        Does nothing by default.
        """

    def forget_connection(self, connection: str) -> None:  # noqa: B027 - optional
        """Called with the id of each closed connection of the server.

        The connection may never have been used for this stand-in. Does nothing
        by default.
        """


class StandInServer:
    """HTTP server of one or more stand-ins, on one loopback port.

    Args:
        stand_ins: The stand-ins.
        port: Port to listen on; 0 for any free port.
        threads: Number of requests that are handled concurrently.
    """

    def __init__(
        self, stand_ins: Iterable[StandIn], *, port: int = 0, threads: int = 64
    ) -> None:
        self._stand_in_by_name = {each.name: each for each in stand_ins}
        self._server = wsgi.Server(
            ("127.0.0.1", port),
            self._wsgi_application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=CONNECTION_TIMEOUT_S,
            shutdown_timeout=1,
        )
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.ConnectionClass = _make_connection_class(
            self._report_closed_connection
        )
        self._server.prepare()

    @property
    def address(self) -> str:
        """Base URL of the server."""
        host, port = self._server.bind_addr
        return f"http://{host}:{port}"

    def serve(self) -> None:
        """Serves requests until the server is stopped."""
        self._server.serve()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()

    def _wsgi_application(
        self,
        environ: "wsgi_types.WSGIEnvironment",
        start_response: "wsgi_types.StartResponse",
    ) -> Iterable[bytes]:
        """Handles one request as a WSGI application."""
        request = wrappers.Request(environ)
        response = self._respond(request)
        return response(environ, start_response)

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        """Returns the response of a stand-in, its journal or fault switches."""
        stand_in, path = self._find_stand_in(request.path)
        if stand_in is None:
            return self._respond_for_all(request)
        if path == "/journal":
            return json_response({"events": stand_in.journal.events()})
        try:
            if path == "/fault":
                return _switch_fault([stand_in], request)
            stand_in.note_connection(_connection_id(request))
            return stand_in.handle(request, path)
        except (KeyError, TypeError, ValueError) as error:
            return json_response({"reason": repr(error)}, status=400)
        except exceptions.HTTPException as error:
            reason = error.description or ""
            return json_response({"reason": reason}, status=error.code or 500)

    def _respond_for_all(self, request: wrappers.Request) -> wrappers.Response:
        """Answers a journal or fault request that concerns all stand-ins."""
        if request.path == "/journal":
            journals = {
                name: each.journal.events()
                for name, each in self._stand_in_by_name.items()
            }
            return json_response({"events_by_name": journals})
        if request.path == "/fault":
            return _switch_fault(list(self._stand_in_by_name.values()), request)
        return json_response({"reason": "no such stand-in"}, status=404)

    def _find_stand_in(self, path: str) -> tuple[StandIn | None, str]:
        """Returns the stand-in for a URL path and the path below its base."""
        if "" in self._stand_in_by_name:
            return self._stand_in_by_name[""], path
        _, name, *rest = path.split("/", 2)
        return self._stand_in_by_name.get(name), "/" + "/".join(rest)

    def _report_closed_connection(self, connection: str) -> None:
        """Informs all stand-ins that a connection was closed."""
        for stand_in in self._stand_in_by_name.values():
            stand_in.forget_connection(connection)


def _switch_fault(
    stand_ins: list[StandIn], request: wrappers.Request
) -> wrappers.Response:
    """Switches the fault named in a request on or off for some stand-ins."""
    body = request.get_json(force=True)
    kind = str(body["kind"])
    for_s = float(body["for_s"])
    value = float(body.get("value") or 0.0)
    for stand_in in stand_ins:
        stand_in.faults.switch_on(kind, for_s=for_s, value=value)
        stand_in.journal.add("fault", kind=kind, for_s=for_s, value=value)
    return json_response({"kind": kind, "for_s": for_s, "value": value})


def _connection_id(request: wrappers.Request) -> str:
    """Returns the client's ``ip:port``, which identifies the connection."""
    return f"{request.remote_addr}:{request.environ['REMOTE_PORT']}"


def _make_connection_class(on_close: Callable[[str], None]) -> type:
    """Returns a connection class that reports the id of each closed one."""

    class Connection(cheroot_server.HTTPConnection):
        """Connection that reports when it is closed."""

        def close(self) -> None:
            """Reports the connection's id, then closes it."""
            on_close(f"{self.remote_addr}:{self.remote_port}")
            super().close()

    return Connection

"""Connections to executors, and which incarnation has answered on each."""

import collections
from collections.abc import Callable

from basiljunction.transport.jobs import _http_calls


class CheckedConnections:
    """Connections on which an incarnation of an executor has named itself.

    Args:
        limit: Most connections that are remembered. Closed ones are not told
            from open ones; a call that misses one that was dropped needs
            another check.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._incarnation_by_connection: collections.OrderedDict[
            _http_calls.Connection, tuple[str, int]
        ] = collections.OrderedDict()

    def record(
        self,
        executor_id: str,
        connection: _http_calls.Connection,
        restarts: int,
    ) -> None:
        """Records whose answer came on a connection.

        Args:
            executor_id: Id of the executor.
            connection: The connection.
            restarts: Number of restarts of the executor that are known with
                this answer.
        """
        self._incarnation_by_connection[connection] = (executor_id, restarts)
        self._incarnation_by_connection.move_to_end(connection)
        if len(self._incarnation_by_connection) > self._limit:
            self._incarnation_by_connection.popitem(last=False)

    def forget(self, connection: _http_calls.Connection) -> None:
        """Forgets a connection, or an earlier one between the same ports.

        The executor that answered on that one may be another one.
        """
        self._incarnation_by_connection.pop(connection, None)

    def is_known(
        self,
        executor_id: str,
        connection: _http_calls.Connection,
        restarts: int,
    ) -> bool:
        """Returns whether the incarnation after some restarts answered on it.

        A connection that is asked for is dropped later than others.
        """
        known = self._incarnation_by_connection.get(connection)
        if known != (executor_id, restarts):
            return False
        self._incarnation_by_connection.move_to_end(connection)
        return True


class IncarnationGuard(_http_calls.ConnectionGuard):
    """Admits connections to one incarnation of an executor, or opens one.

    Args:
        connections: Connections to known incarnations.
        executor: Id of the executor.
        restarts: Number of restarts of the executor after which the incarnation
            began; None to admit any, and to open a connection if need be.
        on_admitted: Called when a connection is admitted.

    Attributes:
        executor: Id of the executor.
        connection: The connection that was admitted last; None before.
    """

    def __init__(
        self,
        connections: CheckedConnections,
        executor: str,
        restarts: int | None = None,
        on_admitted: Callable[[], None] = lambda: None,
    ) -> None:
        self.executor = executor
        self.connection: _http_calls.Connection | None = None
        self.may_open = restarts is None
        self._connections = connections
        self._restarts = restarts
        self._on_admitted = on_admitted

    def admits(self, connection: _http_calls.Connection) -> bool:
        """Returns whether the call may be sent on a connection.

        One that may be new is not known until an answer has come on it.
        """
        if self._restarts is None:
            self._connections.forget(connection)
        elif not self._connections.is_known(
            self.executor, connection, self._restarts
        ):
            return False
        self.connection = connection
        self._on_admitted()
        return True

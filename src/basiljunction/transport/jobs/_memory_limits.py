"""Divides the memory of an instance among what callers send."""

import dataclasses

from basiljunction.transport.jobs import _connection_limits

CALLERS_PART = 4
"""Part of the memory, one in so many, that is for what callers send; the rest
is for the process itself and its state."""

JOBS_PART = 3
"""Part of the memory, one in so many, that is for accepted jobs."""

RECEIVE_BUFFER_BYTES = 16_384
"""Receive buffer of a connection, in bytes: the largest header fits into it."""

BYTES_PER_CONNECTION = 2 * RECEIVE_BUFFER_BYTES + 24_576
"""Memory of a connection of a server, in bytes: the receive buffer, which Linux
doubles, and the buffers and objects of the connection in the process."""

COPIES_OF_BODY = 3
"""Times that a body is in memory while it is decoded: as it was received, as
the application's stream and as the application has read it."""

MAX_BODY_BYTES = 1 << 20
"""Largest body of a request, in bytes; the operator's own limit is lower."""

UNKNOWN_MEMORY_BYTES = 1 << 30
"""Memory of a process whose settings name none, in bytes."""

SERVERS = 2
"""Servers that share the memory: for clients and for peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLimits:
    """What one of the servers may use.

    Attributes:
        connections: Connections that wait for a thread, and as many idle ones.
        bodies_bytes: Bytes of the bodies of all its requests together.
        body_bytes: Bytes of one body.
    """

    connections: int
    bodies_bytes: int
    body_bytes: int


def max_jobs_bytes(max_memory_bytes: int | None) -> int:
    """Returns what all accepted jobs together may use, in bytes.

    Args:
        max_memory_bytes: Memory of the process; None if it is not known.
    """
    return (max_memory_bytes or UNKNOWN_MEMORY_BYTES) // JOBS_PART


def divide_memory(
    max_memory_bytes: int | None,
    connections: _connection_limits.ConnectionLimits,
) -> ServerLimits:
    """Returns what each of the servers for calls may use.

    Half of the memory for callers is for connections, half for bodies.

    Args:
        max_memory_bytes: Memory of the process; None if it is not known.
        connections: Connections for which its file descriptors suffice.
    """
    memory_bytes = max_memory_bytes or UNKNOWN_MEMORY_BYTES
    half = memory_bytes // (2 * CALLERS_PART)
    bodies_bytes = max(1, half // (SERVERS * COPIES_OF_BODY))
    fitting = half // (
        BYTES_PER_CONNECTION * _connection_limits.SHARES_OF_SERVERS
    )
    return ServerLimits(
        connections=max(1, min(connections.server, fitting)),
        bodies_bytes=bodies_bytes,
        body_bytes=min(MAX_BODY_BYTES, bodies_bytes),
    )

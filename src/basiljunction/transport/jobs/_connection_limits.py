"""Divides the file descriptors of an instance among its connections."""

import dataclasses
import resource

FILE_DESCRIPTORS_FOR_FILES = 200
"""File descriptors that are not available for sockets: the platform reserves
them for files."""

DESCRIPTORS_OF_TASKS = 200
"""File descriptors of listening sockets, selectors, wake-up pipes, the servers
for checks and the requests that are being answered."""

SHARES_OF_SERVERS = 4
"""Parts of the servers' connections: waiting and idle ones of clients and of
peers."""

MAX_SERVER_CONNECTIONS = 65_536
"""Most waiting or idle connections that a server can be set to."""

DEFAULT_DESCRIPTORS = 1024
"""File descriptors of a process if the system sets no limit."""


def find_process_limit() -> int:
    """Returns the file descriptors that the system grants this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return DEFAULT_DESCRIPTORS
    return soft_limit


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Most connections of an instance, by what they are for.

    Attributes:
        outgoing: Connections to executors, peers and the store.
        server: Connections to one of the servers for calls that wait for a
            thread, and as many idle ones.
    """

    outgoing: int
    server: int


def divide_descriptors(max_open_files: int | None) -> ConnectionLimits:
    """Returns the connections for which the file descriptors suffice.

    Half of the descriptors are for outgoing connections, without which nothing
    is scheduled. The other half is for the servers.

    Args:
        max_open_files: File descriptors of the process; None for the limit
            that the system sets.
    """
    limit = find_process_limit() if max_open_files is None else max_open_files
    available = limit - FILE_DESCRIPTORS_FOR_FILES - DESCRIPTORS_OF_TASKS
    return ConnectionLimits(
        outgoing=max(1, available // 2),
        server=min(
            MAX_SERVER_CONNECTIONS,
            max(1, available // (2 * SHARES_OF_SERVERS)),
        ),
    )

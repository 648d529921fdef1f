"""Divides the file descriptors of an instance among its connections."""

import resource

FILE_DESCRIPTORS_FOR_FILES = 200
"""File descriptors that are not available for sockets: the platform reserves
them for files."""

DESCRIPTORS_OF_TASKS = 32
"""File descriptors of listening sockets, selectors and wake-up pipes."""

DEFAULT_DESCRIPTORS = 1024
"""File descriptors of a process if the system sets no limit."""


def find_process_limit() -> int:
    """Returns the file descriptors that the system grants this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        return DEFAULT_DESCRIPTORS
    return soft_limit


def divide_descriptors(
    max_open_files: int | None, *, server_connections: int
) -> int:
    """Returns the most connections to executors, peers and the store.

    The servers' connections are taken off first. They rarely reach their limit
    and new ones are refused beyond it, so at least half of the descriptors is
    left to the outgoing connections, without which nothing is scheduled.

    Args:
        max_open_files: File descriptors of the process; None for the limit
            that the system sets.
        server_connections: Most connections that the servers accept.
    """
    limit = find_process_limit() if max_open_files is None else max_open_files
    available = limit - FILE_DESCRIPTORS_FOR_FILES - DESCRIPTORS_OF_TASKS
    return max(1, available - server_connections, available // 2)

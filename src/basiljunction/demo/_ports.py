"""Reserves free loopback ports for processes that start soon.

A chosen port stays unbound until its process listens. Until this process
ends, a lock on a file named after the port prevents other processes from
choosing it.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

HOST = "127.0.0.1"
"""Loopback address on which a port is tested before it is reserved."""

FIRST_PORT = 12_000
"""Lowest port that may be reserved."""

LAST_PORT = 32_000
"""First port above the range of ports that may be reserved.

The range lies below the ephemeral ports: an outgoing connection could take one
of those between its choice and the start of the process.
"""

_LOCK_FOLDER = (
    pathlib.Path(tempfile.gettempdir()) / f"basiljunction-{os.getuid()}"
)
"""Folder of the lock files, one folder per user."""

_lock_fd_by_port: dict[int, int] = {}
"""Descriptors of the lock files of ports that this process has reserved."""


class NoFreePortError(RuntimeError):
    """Raised when not enough free ports are found."""


def reserve_free_ports(
    count: int, source: random.Random | None = None
) -> list[int]:
    """Returns ports that are unbound and not reserved by other processes.

    Args:
        count: Number of ports.
        source: Source of randomness; a fresh one by default, so that
            concurrent runs rarely try the same ports.

    Raises:
        NoFreePortError: Fewer free ports were found.
    """
    chosen: list[int] = []
    source = source or random.SystemRandom()
    candidates = source.sample(range(FIRST_PORT, LAST_PORT), 100 + 10 * count)
    for port in candidates:
        if len(chosen) == count:
            return chosen
        if _is_free(port) and _try_lock(port):
            chosen.append(port)
    raise NoFreePortError(f"found only {len(chosen)} of {count} free ports")


def _is_free(port: int) -> bool:
    """Returns whether a port can be bound on loopback."""
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _try_lock(port: int) -> bool:
    """Reserves a port for this process until it ends.

    Returns:
        False if this or another process has already reserved it.
    """
    if port in _lock_fd_by_port:
        return False
    _LOCK_FOLDER.mkdir(mode=0o700, exist_ok=True)
    lock = os.open(_LOCK_FOLDER / f"port-{port}", os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _lock_fd_by_port[port] = lock
    return True

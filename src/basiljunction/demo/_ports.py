"""Free ports of the loopback address, for processes that start soon.

A chosen port stays unused until its process listens. A lock on a file that is
named after it keeps it from others that choose ports, until this process ends.
"""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

HOST = "127.0.0.1"

FIRST_PORT = 12_000
LAST_PORT = 32_000
"""Below the ports that the system gives to outgoing connections: one of those
could take a port between its choice and the start of the process."""


_LOCKS = pathlib.Path(tempfile.gettempdir()) / f"basiljunction-{os.getuid()}"

_lock_by_port: dict[int, int] = {}
"""Open files whose locks keep ports that this process has chosen."""


class NoPortError(RuntimeError):
    """No free port was found."""


def free_ports(count: int, source: random.Random | None = None) -> list[int]:
    """Returns ports that nobody listens on or has chosen.

    Args:
        count: How many.
        source: Source of randomness; a fresh one by default, so that runs side
            by side rarely choose the same.

    Raises:
        NoPortError: There are not as many.
    """
    chosen: list[int] = []
    source = source or random.SystemRandom()
    candidates = source.sample(range(FIRST_PORT, LAST_PORT), 100 + 10 * count)
    for port in candidates:
        if len(chosen) == count:
            return chosen
        if _is_free(port) and _keep(port):
            chosen.append(port)
    raise NoPortError(f"found {len(chosen)} of {count} free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _keep(port: int) -> bool:
    """Returns whether the port is kept for this process from now on."""
    if port in _lock_by_port:
        return False
    _LOCKS.mkdir(mode=0o700, exist_ok=True)
    lock = os.open(_LOCKS / f"port-{port}", os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _lock_by_port[port] = lock
    return True

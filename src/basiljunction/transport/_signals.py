"""Signals that the main thread of a process waits for."""

from collections.abc import Iterator
import contextlib
import signal
import socket

MAX_READ_SIGNALS = 64
"""Most signals that are received at once; the others wait in the socket."""


class SignalInbox:
    """Signals that have arrived and were not received yet.

    The interpreter writes the number of a signal into a socket at the moment
    the signal arrives. A handler in Python runs later: never, if the signal
    arrives just before the main thread waits for a lock. If it interrupts the
    main thread while that holds a lock, it can't take this lock.
    """

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._sender.setblocking(False)

    @contextlib.contextmanager
    def watch(self, *signals: signal.Signals) -> Iterator[None]:
        """Receives signals inside the context, and ignores them after it.

        Only for the main thread.
        """
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for each in signals:
            signal.signal(each, _leave_to_inbox)
        try:
            yield
        finally:
            signal.set_wakeup_fd(-1)

    def put(self, number: signal.Signals) -> None:
        """Adds a signal as if it had arrived; thread-safe."""
        with contextlib.suppress(BlockingIOError):  # Many signals wait then.
            self._sender.send(bytes((number,)))

    def receive(self) -> frozenset[int]:
        """Waits for signals and returns the numbers of those that arrived."""
        return frozenset(self._receiver.recv(MAX_READ_SIGNALS))


def _leave_to_inbox(*_: object) -> None:
    """Handles a signal whose number the interpreter has written already."""

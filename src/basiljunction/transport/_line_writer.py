"""Non-blocking output of log lines."""

import io
import os
import threading

MAX_PENDING_BYTES = 256 * 1024
"""Limit of buffered text, about one second of the busiest logging."""


class NonBlockingLineWriter(io.TextIOBase):
    """A text stream that never blocks and drops lines if the reader is slow.

    The file descriptor is made non-blocking. Dropped lines are counted, and a
    line with the count is written once the buffer has space again.

    Args:
        fd: File descriptor to write to.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._lock = threading.Lock()
        self._pending = bytearray()
        self._dropped_lines = 0
        os.set_blocking(fd, False)

    def writable(self) -> bool:
        """Returns True: the stream accepts writes."""
        return True

    def isatty(self) -> bool:
        """Returns False, so that no terminal formatting is used."""
        return False

    def write(self, text: str) -> int:
        """Buffers and sends whole lines; drops them if the buffer is full."""
        with self._lock:
            self._write_pending()
            if len(self._pending) > MAX_PENDING_BYTES:
                self._dropped_lines += text.count("\n") or 1
                return len(text)
            if self._dropped_lines:
                note = (
                    '{"event": "log.dropped", "lines": '
                    f"{self._dropped_lines}}}\n"
                )
                self._pending += note.encode()
                self._dropped_lines = 0
            self._pending += text.encode("utf-8", "replace")
            self._write_pending()
        return len(text)

    def flush(self) -> None:
        """Writes as much buffered text as possible without blocking."""
        with self._lock:
            self._write_pending()

    def _write_pending(self) -> None:
        """Writes buffered text until the descriptor would block."""
        while self._pending:
            try:
                sent = os.write(self._fd, self._pending)
            except BlockingIOError:
                return  # The rest is sent with a later line.
            except OSError:
                # The reader has closed its end; no line can be delivered.
                self._pending.clear()
                return
            del self._pending[:sent]

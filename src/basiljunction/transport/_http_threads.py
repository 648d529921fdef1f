"""Threads of an HTTP server whose stop takes no longer than a given time."""

import contextlib
import math
import queue
import socket
import time
from typing import Any

from cheroot.workers import threadpool
import structlog

POLL_INTERVAL_S = 0.01
"""Interval at which a stop checks which threads have ended, in seconds."""

CUT_WAIT_S = 0.1
"""Longest wait for a thread to notice that its connection was closed, in
seconds."""

_log = structlog.get_logger()


class BoundedThreadPool(threadpool.ThreadPool):
    """Cheroot's threads, with a stop that ends in time.

    Cheroot's own stop waits without bound for a thread that handles a request,
    or that takes one silent connection after another.

    Args:
        args: Positional arguments of cheroot's pool, the server first.
        kwargs: Keyword arguments of cheroot's pool.

    Attributes:
        reading_end_s: Time of the monotonic clock until which requests are
            read, in seconds; infinite before the stop.
    """

    # Cheroot's type stubs leave these out.
    _threads: list[threadpool.WorkerThread]
    _queue: "queue.Queue[Any]"

    def __init__(self, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401 - passed to cheroot
        super().__init__(*args, **kwargs)
        self.reading_end_s = math.inf

    def stop(self, timeout: float | None = None) -> None:
        """Ends the threads once they have answered the requests in progress.

        Args:
            timeout: Time for requests to be read, in seconds; None sets none.
                From then on the threads read only what has arrived. At the
                server's `stop_end_s`, the connections are closed.
        """
        started_s = time.monotonic()
        end_s = self.server.stop_end_s
        read_s = math.inf if timeout is None else timeout
        self.reading_end_s = min(started_s + read_s, end_s)
        threads = list(self._threads)
        busy_at_stop = _count_busy(threads)
        busy_at_reading_end: int | None = None
        cut = 0
        unasked = len(threads)
        while threads := [each for each in threads if each.is_alive()]:
            unasked -= self._ask_to_end(unasked)
            now_s = time.monotonic()
            if now_s >= self.reading_end_s:
                if busy_at_reading_end is None:
                    busy_at_reading_end = self._note_reading_end(threads)
                self._shut_connections(threads, socket.SHUT_RD)
            if now_s >= end_s:
                cut = max(cut, _count_busy(threads))
                self._shut_connections(threads, socket.SHUT_RDWR)
            if now_s >= end_s + CUT_WAIT_S:
                break
            time.sleep(POLL_INTERVAL_S)
        self._threads.clear()
        _log.info(
            "http.stopped",
            listen=self._describe_address(),
            took_s=round(time.monotonic() - started_s, 3),
            busy_at_stop=busy_at_stop,
            busy_at_reading_end=busy_at_reading_end or 0,
            cut=cut,
        )

    def _note_reading_end(self, threads: list[threadpool.WorkerThread]) -> int:
        """Logs and returns how many threads are busy as reading ends."""
        busy = _count_busy(threads)
        if busy:
            _log.info(
                "http.stop-waits",
                listen=self._describe_address(),
                busy=busy,
                queued=self._queue.qsize(),
            )
        return busy

    def _ask_to_end(self, count: int) -> int:
        """Asks threads to end; returns how many have been asked.

        None are asked while the queue is full, so that the stop is not held up.
        """
        for asked in range(count):
            try:
                self._queue.put_nowait(
                    threadpool._SHUTDOWNREQUEST  # type: ignore[attr-defined]  # noqa: SLF001 - threads know no other sign
                )
            except queue.Full:
                return asked
        return count

    @staticmethod
    def _shut_connections(
        threads: list[threadpool.WorkerThread], how: int
    ) -> None:
        """Shuts down the connections that threads handle, in one direction."""
        for thread in threads:
            connection = thread.conn
            if connection is not None:
                with contextlib.suppress(OSError):
                    connection.socket.shutdown(how)

    def _describe_address(self) -> str:
        """Returns the address on which the server listened."""
        return ":".join(str(each) for each in self.server.bind_addr[:2])


def _count_busy(threads: list[threadpool.WorkerThread]) -> int:
    """Returns how many threads handle a connection."""
    return sum(each.is_alive() and each.conn is not None for each in threads)

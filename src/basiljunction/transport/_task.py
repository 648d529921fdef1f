"""Tasks: loops that own their state and sockets and communicate by messages."""

import abc
from collections.abc import Callable
from concurrent import futures
import dataclasses
import queue

import structlog

from basiljunction.state import _time
from basiljunction.transport import _clock

_log = structlog.get_logger()


class MailboxFullError(RuntimeError):
    """A task's mailbox is full; the message was not accepted."""

    def __init__(self, name: str, capacity: int) -> None:
        """Creates the error.

        Args:
            name: Name of the task.
            capacity: Most messages that its mailbox holds.
        """
        super().__init__(f"mailbox of task {name} is full ({capacity})")


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """Message that ends a task's loop once earlier messages are handled."""


class Task(abc.ABC):
    """A loop that handles one message at a time and runs timed work.

    Args:
        name: Name for logs and errors.
        clock: Source of the current time.
        capacity: Most messages that the mailbox holds.
        tick_s: Longest time between two calls of ``tick``, in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: _clock.Clock,
        capacity: int = 10_000,
        tick_s: float = 0.05,
    ) -> None:
        self.name = name
        self._clock = clock
        self._capacity = capacity
        self._tick_s = tick_s
        self._mailbox: queue.SimpleQueue[object] = queue.SimpleQueue()

    def tell(self, message: object) -> None:
        """Puts a message into the mailbox; safe from any thread.

        Raises:
            MailboxFullError: The mailbox is full.
        """
        if self._mailbox.qsize() >= self._capacity:
            raise MailboxFullError(self.name, self._capacity)
        self._mailbox.put(message)

    def start(self, pool: futures.Executor) -> "futures.Future[None]":
        """Runs the task on a thread of the pool until it is stopped."""
        return pool.submit(self._run_loop)

    def stop(self) -> None:
        """Ends the loop after the messages that are already in the mailbox."""
        self._mailbox.put(StopRequested())

    def handle_pending_messages(self) -> bool:
        """Handles the waiting messages on the caller's thread, then ticks once.

        For a task that was not started and is driven step by step.

        Returns:
            Whether any message was waiting.
        """
        waiting = self._mailbox.qsize()
        for _ in range(waiting):
            self._run_logging_errors(self.handle, self._mailbox.get_nowait())
        self._run_logging_errors(self._run_tick, None)
        return waiting > 0

    @abc.abstractmethod
    def handle(self, message: object, now: _time.Now) -> None:
        """Handles one message from the mailbox."""

    @abc.abstractmethod
    def tick(self, now: _time.Now) -> None:
        """Runs the work whose time has come, such as timeouts and retries."""

    def tick_interval_s(self) -> float:
        """Returns the longest time until the next tick, in seconds.

        Subclasses override it to tick sooner when work is due sooner.
        """
        return self._tick_s

    def observe_tick_lag(self, lag_s: float) -> None:  # noqa: B027 - optional
        """Does nothing; subclasses may record how late a tick runs."""

    def _run_loop(self) -> None:
        """Handles messages and ticks until a stop message arrives."""
        next_tick_s = self._clock.now().boot_s
        while True:
            wait_s = max(0.0, next_tick_s - self._clock.now().boot_s)
            message = self._receive(wait_s)
            if isinstance(message, StopRequested):
                return
            if message is not None:
                self._run_logging_errors(self.handle, message)
                due_s = self._clock.now().boot_s + self.tick_interval_s()
                next_tick_s = min(next_tick_s, due_s)
            now = self._clock.now()
            if now.boot_s >= next_tick_s:
                self.observe_tick_lag(now.boot_s - next_tick_s)
                self._run_logging_errors(self._run_tick, None)
                next_tick_s = self._clock.now().boot_s + self.tick_interval_s()

    def _receive(self, wait_s: float) -> object | None:
        """Returns the next message; None if none arrives within the wait."""
        try:
            if wait_s > 0:
                return self._mailbox.get(timeout=wait_s)
            return self._mailbox.get_nowait()
        except queue.Empty:
            return None

    def _run_tick(self, _message: object, now: _time.Now) -> None:
        """Calls ``tick``; has the signature of a message handler."""
        self.tick(now)

    def _run_logging_errors(
        self, action: Callable[[object, _time.Now], None], message: object
    ) -> None:
        """Calls a handler and logs its exceptions, so that the loop goes on."""
        try:
            action(message, self._clock.now())
        except Exception:  # noqa: BLE001 - a bad message must not end the task
            _log.exception(
                "task.error", task=self.name, message=type(message).__name__
            )

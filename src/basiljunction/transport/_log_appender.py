"""The task that appends record batches to the log, one at a time."""

import random

from basiljunction.coordination import _events
from basiljunction.coordination import _log_buffer
from basiljunction.protocol import _codec
from basiljunction.state import _records
from basiljunction.state import _time
from basiljunction.transport import _backoff
from basiljunction.transport import _clock
from basiljunction.transport import _log_client
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

_INITIAL_RETRY_WAIT_S = 0.05
"""Wait after the first failed append, in seconds."""

_MAX_RETRY_WAIT_S = 2.0
"""Longest wait between two attempts, in seconds."""

_IDLE_TICK_S = 0.5
"""Time between two ticks while the buffer is empty, in seconds."""


class LogAppender(_task.Task):
    """Batches tickets, appends them to the log, and retries failed appends.

    A retry sends the same bytes. If both appends took effect, the records of
    the second are rejected because their sequence numbers are used.

    Args:
        client: Connection to the log, used by this task alone.
        instance: Name of this instance, the author of the records.
        buffer: Decides which tickets form the next batch.
        state: Receives ``TicketBegun`` and ``TicketDropped``.
        clock: Source of the current time.
        rng: Random source of the retry jitter.
        flush_s: Time between two checks for a due append, in seconds.
        appends_per_s: Highest rate of append attempts, retries included.
    """

    def __init__(
        self,
        *,
        client: _log_client.Log,
        instance: str,
        buffer: _log_buffer.AppendBuffer,
        state: _state_messages.MessageReceiver,
        clock: _clock.Clock,
        rng: random.Random,
        flush_s: float,
        appends_per_s: float,
    ) -> None:
        super().__init__(name="log-appender", clock=clock, tick_s=flush_s)
        self._client = client
        self._instance = instance
        self._buffer = buffer
        self._state = state
        self._min_append_interval_s = 1.0 / appends_per_s
        self._backoff = _backoff.Backoff(
            rng=rng, initial_s=_INITIAL_RETRY_WAIT_S, max_s=_MAX_RETRY_WAIT_S
        )
        self._next_append_boot_s = float("-inf")
        self._payload = b""

    def tick_interval_s(self) -> float:
        """Returns the seconds to the next tick; longer while idle."""
        if self._buffer.is_idle:
            return _IDLE_TICK_S
        return super().tick_interval_s()

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles an offered ticket, a settled record or a new incarnation.

        An incarnation is one joining of this instance to its group. Queued
        tickets of the previous one are dropped.
        """
        match message:
            case _state_messages.TicketAppendRequested(ticket):
                if not self._buffer.add_ticket(ticket):
                    self._report_dropped(
                        [ticket], "the append buffer is full or not started"
                    )
            case _state_messages.RecordsReadBack(author, sequence):
                if self._buffer.settle_up_to(author, sequence):
                    self._reset_retry(now.boot_s)
            case _events.StartIncarnation(incarnation):
                author = _records.Author(self._instance, incarnation)
                dropped = self._buffer.start_incarnation(author)
                self._report_dropped(
                    dropped, "the instance starts a new incarnation"
                )
                self._reset_retry(now.boot_s)

    def tick(self, now: _time.Now) -> None:
        """Drops late tickets, and attempts one append if one is due."""
        late = self._buffer.drop_expired_tickets(now.boot_s)
        self._report_dropped(late, "the log did not accept the records in time")
        if now.boot_s < self._next_append_boot_s:
            return
        if self._buffer.in_flight is None:
            formed = self._buffer.form_batch(now.wall_s)
            if formed is None:
                return
            self._announce_batch(formed)
        self._append_in_flight(now)

    def _announce_batch(self, formed: _log_buffer.FormedBatch) -> None:
        """Encodes a batch and reports its sequence numbers to the state."""
        self._payload = _codec.encode_batch(formed.batch)
        for number, sequence in formed.sequence_by_ticket.items():
            self._state.tell(
                _state_messages.TicketAppendStarted(
                    number, formed.batch.author, sequence
                )
            )

    def _append_in_flight(self, now: _time.Now) -> None:
        """Tries to append the batch in flight; plans a retry on failure."""
        formed = self._buffer.in_flight
        if formed is None:
            return
        self._next_append_boot_s = now.boot_s + self._min_append_interval_s
        try:
            self._client.append(self._payload)
        except _log_client.LogCallError as error:
            wait_s = max(self._backoff.next_wait_s(), error.retry_after_s)
            wait_s = max(self._min_append_interval_s, wait_s)
            self._next_append_boot_s = self._clock.now().boot_s + wait_s
            return
        self._buffer.settle_up_to(formed.batch.author, formed.last_sequence)
        self._backoff.reset()

    def _reset_retry(self, now_s: float) -> None:
        """Ends the retry wait once the batch in flight is settled."""
        self._backoff.reset()
        self._next_append_boot_s = min(
            self._next_append_boot_s, now_s + self._min_append_interval_s
        )

    def _report_dropped(
        self, tickets: list[_log_buffer.AppendTicket], detail: str
    ) -> None:
        """Reports dropped tickets to the state task."""
        for ticket in tickets:
            self._state.tell(
                _state_messages.TicketDropped(ticket.number, detail)
            )

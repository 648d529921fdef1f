"""The task that reads the log and forwards its entries to the state task."""

import random

from basiljunction.coordination import _events
from basiljunction.protocol import _codec
from basiljunction.protocol import _errors
from basiljunction.state import _records
from basiljunction.state import _time
from basiljunction.transport import _backoff
from basiljunction.transport import _clock
from basiljunction.transport import _log_client
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

_LONG_POLL_WAIT_S = 0.4
"""Wait of one long poll, in seconds. It is much shorter than the validity of a
voucher (a peer's permission for this instance to work for a short time), so
that reads are recent enough."""

_MAX_ENTRIES_PER_READ = 500
"""Highest number of entries that one read returns."""

_READ_PAUSE_S = 0.02
"""Pause after a read, in seconds, so that the next returns several entries."""

_INITIAL_RETRY_WAIT_S = 0.05
"""Wait after the first failed read, in seconds."""

_MAX_RETRY_WAIT_S = 2.0
"""Longest wait between two attempts, in seconds."""


class LogReader(_task.Task):
    """Long-polls the log and sends its entries to the state task.

    Args:
        client: Connection to the log, used by this task alone.
        state: Receives ``EntriesRead``, ``LogReadFailed`` and
            ``LogTruncated``.
        clock: Source of the current time.
        rng: Random source of the retry jitter.
        from_offset: Offset of the first entry to read.
    """

    def __init__(
        self,
        *,
        client: _log_client.Log,
        state: _state_messages.MessageReceiver,
        clock: _clock.Clock,
        rng: random.Random,
        from_offset: int = 0,
    ) -> None:
        super().__init__(name="log-reader", clock=clock, tick_s=_READ_PAUSE_S)
        self._client = client
        self._state = state
        self._next_offset = from_offset
        self._backoff = _backoff.Backoff(
            rng=rng, initial_s=_INITIAL_RETRY_WAIT_S, max_s=_MAX_RETRY_WAIT_S
        )
        self._next_read_boot_s = float("-inf")

    def handle(self, message: object, now: _time.Now) -> None:
        """Continues reading at the offset of a ``ReadFrom`` message."""
        del now
        if isinstance(message, _state_messages.ReadRequested):
            self._next_offset = message.offset

    def tick(self, now: _time.Now) -> None:
        """Reads the log once, unless a retry is not due yet."""
        if now.boot_s < self._next_read_boot_s:
            return
        try:
            page = self._client.read(
                self._next_offset,
                limit=_MAX_ENTRIES_PER_READ,
                wait_s=_LONG_POLL_WAIT_S,
            )
        except _log_client.LogTruncatedError as error:
            self._on_truncated(error)
        except _log_client.LogCallError as error:
            self._on_failed(error)
        else:
            self._on_page(page, now.boot_s)

    def _on_page(
        self, page: _log_client.LogPage, requested_boot_s: float
    ) -> None:
        self._backoff.reset()
        self._next_offset = page.first_offset + len(page.payloads)
        self._state.tell(
            _events.EntriesRead(
                entries=decode_entries(page.first_offset, page.payloads),
                payloads=page.payloads,
                requested_boot_s=requested_boot_s,
                head_offset=page.head_offset,
            )
        )

    def _on_truncated(self, error: _log_client.LogTruncatedError) -> None:
        self._state.tell(
            _events.LogTruncated(error.first_offset, error.head_offset)
        )
        self._next_offset = error.first_offset

    def _on_failed(self, error: _log_client.LogCallError) -> None:
        wait_s = max(self._backoff.next_wait_s(), error.retry_after_s)
        self._next_read_boot_s = self._clock.now().boot_s + wait_s
        self._state.tell(_events.LogReadFailed(error.detail))


def decode_entries(
    first_offset: int, payloads: tuple[bytes, ...]
) -> tuple[_records.LogEntry, ...]:
    """Decodes log entries; a malformed one becomes an undecodable batch."""
    return tuple(
        _records.LogEntry(first_offset + index, _decode_batch(payload))
        for index, payload in enumerate(payloads)
    )


def _decode_batch(payload: bytes) -> _records.RecordBatch:
    try:
        return _codec.decode_batch(payload)
    except _errors.DecodeError as error:
        return _codec.make_undecodable_batch(error.detail)

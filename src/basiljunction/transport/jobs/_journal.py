"""The scheduler's journal in the store: recovery and fenced appends."""

from collections.abc import Callable
import enum

import structlog

from basiljunction.coordination.scheduling import _orders
from basiljunction.platform import _store
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _records
from basiljunction.transport.jobs import _batch_encoder
from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _read_progress

READ_SILENCE_LIMIT_S = 1.0
"""Longest time without a byte of a read's answer, in seconds.

It is far above the store's usual 10 ms. The time for the whole page, up to
1 MB, depends on the link.
"""

RETRY_DELAY_S = 0.1
"""Delay after a failed call, in seconds.

It keeps the retries within the request rate that the store accepts.
"""

MAX_APPEND_S = 1.0
"""Time in seconds after which an append shows that the store is impaired."""

MAX_CHUNK_BYTES = 65_536
"""Size above which a batch is stored with several appends, in bytes.

An append of that size takes 0.1 s over a link of 5 Mbit/s, so that a lost
answer or a link that other calls share costs little to send again.
"""

_log = structlog.get_logger()


class JournalStage(enum.Enum):
    """Stage of a journal within its term.

    Attributes:
        FENCING: Sends an empty append that blocks writes of earlier terms.
        READING: Reads the records that earlier terms stored.
        OPEN: Accepts batches to append.
        LOST: A later term has fenced this one; nothing can be appended.
    """

    FENCING = "fencing"
    READING = "reading"
    OPEN = "open"
    LOST = "lost"


class Journal:
    """Reads earlier records from the store and appends those of one term.

    Each append carries the epoch of the term, by which the store refuses
    writes of earlier terms (fencing), and a sequence number, by which it
    recognizes repeated appends.

    Args:
        calls: HTTP client for the calls to the store.
        settings: Settings of the store.
        epoch: Epoch of the term.
        clock: Returns the current time.
        on_recovered: Called once with all records stored by earlier terms.
        on_stored: Called with each batch after it is stored, without records
            that are too large for the store.
        on_unstorable: Called with the id of a job whose progress is too large
            for the store, before a batch is stored by which it has failed.

    Attributes:
        stage: Stage within the term.
        epoch: Epoch of the term.
        progress: Progress of the read of earlier records.
        last_failure: Step and error of the newest failed call; empty if none
            failed.
        is_closed: Whether the term has ended, so that no further calls start.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        settings: _instance_settings.StoreSettings,
        epoch: int,
        clock: Callable[[], _time.Now],
        on_recovered: Callable[[list[_records.Record]], None],
        on_stored: Callable[[_orders.Batch], None],
        on_unstorable: Callable[[str], None],
    ) -> None:
        self.stage = JournalStage.FENCING
        self.epoch = epoch
        self.progress = _read_progress.ReadProgress(calls)
        self.last_failure = ""
        self.is_closed = False
        self._calls = calls
        self._settings = settings
        self._clock = clock
        self._on_recovered = on_recovered
        self._on_stored = on_stored
        self._on_unstorable = on_unstorable
        self._encoder = _batch_encoder.BatchEncoder(
            settings.max_record_bytes, clock
        )
        self._recovered_records: list[_records.Record] = []
        self._after_key: str | None = None
        self._is_calling = False
        self._next_call_boot_s = 0.0
        self._sequence = 0
        self._append_timeout = _call_pace.AdaptiveTimeout()
        self._call_sent_boot_s = 0.0
        self._call_timeout_s = 0.0
        self._batch: _orders.Batch | None = None
        self._unstored_chunks: list[tuple[_job_records.KeyedRecord, ...]] = []
        self._append_started_boot_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the journal can append a batch now."""
        return self.stage is JournalStage.OPEN and self._batch is None

    def is_append_overdue(self, now: _time.Now) -> bool:
        """Returns whether the append in progress exceeds `MAX_APPEND_S`."""
        return self.append_wait_s(now) > MAX_APPEND_S

    def append_wait_s(self, now: _time.Now) -> float:
        """Returns the age of the append in progress in seconds, 0 for none."""
        return (
            0.0
            if self._batch is None
            else now.boot_s - self._append_started_boot_s
        )

    def append_batch(self, batch: _orders.Batch) -> None:
        """Starts to store a batch; only allowed while the journal is idle."""
        encoded = self._encoder.encode(batch)
        for job_id in encoded.failed_job_ids:
            self._on_unstorable(job_id)
        if not encoded.records:
            self._on_stored(encoded.batch)
            return
        self._batch = encoded.batch
        self._append_started_boot_s = self._clock().boot_s
        self._unstored_chunks = self._split_into_chunks(encoded.records)
        self.make_due_call(self._clock())

    def make_due_call(self, now: _time.Now) -> None:
        """Makes the next call to the store if one is due and none in flight."""
        if self.is_closed or self._is_calling:
            return
        if now.boot_s < self._next_call_boot_s:
            return
        if self.stage is JournalStage.FENCING:
            self._send_append((), self._handle_fence_reply)
        elif self.stage is JournalStage.READING:
            call = _store.make_newest_call(
                self._settings.address,
                _store.JOB_TOPIC,
                0,
                after=self._after_key,
                timeout_s=_http_calls.MAX_TRANSFER_S,
                silence_limit_s=READ_SILENCE_LIMIT_S,
            )
            self._is_calling = True
            self.progress.begin_page(call)
            self._calls.send(call, self._handle_read_reply)
        elif self.stage is JournalStage.OPEN and self._unstored_chunks:
            self._send_append(
                self._unstored_chunks[0], self._handle_append_reply
            )

    def _split_into_chunks(
        self, records: tuple[_job_records.KeyedRecord, ...]
    ) -> list[tuple[_job_records.KeyedRecord, ...]]:
        """Splits records, in order, into chunks of one append each.

        A record that is larger than a chunk gets one of its own.
        """
        chunks: list[tuple[_job_records.KeyedRecord, ...]] = []
        chunk: list[_job_records.KeyedRecord] = []
        size = 0
        limit = min(MAX_CHUNK_BYTES, self._settings.max_append_bytes // 2)
        for record in records:
            length = len(record.key) + len(record.value)
            if chunk and size + length > limit:
                chunks.append(tuple(chunk))
                chunk, size = [], 0
            chunk.append(record)
            size += length
        return [*chunks, tuple(chunk)]

    def _send_append(
        self,
        records: tuple[_job_records.KeyedRecord, ...],
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends a fenced append of the records with the current sequence."""
        self._is_calling = True
        self._call_sent_boot_s = self._clock().boot_s
        self._call_timeout_s = self._append_timeout.timeout_for_body_s(
            sum(len(each.key) + len(each.value) for each in records)
        )
        call = _store.make_append_call(
            self._settings.address,
            _store.JOB_TOPIC,
            0,
            records,
            fence=_store.AppendFence(self.epoch, self._sequence),
            timeout_s=self._call_timeout_s,
        )
        self._calls.send(call, on_reply)

    def _record_answer_time(self, reply: _http_call.HttpReply) -> bool:
        """Updates the timeout from a reply; returns whether it timed out."""
        took_s = self._clock().boot_s - self._call_sent_boot_s
        if reply.has_complete_reply:
            self._append_timeout.record_answer(took_s)
            return False
        if took_s < self._call_timeout_s:
            return False  # Refused or reset: no sample of the answer time.
        self._append_timeout.record_timeout()
        return True

    def _handle_fence_reply(self, reply: _http_call.HttpReply) -> None:
        """Continues with reading once earlier terms are fenced."""
        self._is_calling = False
        timed_out = self._record_answer_time(reply)
        if reply.is_success:
            self.stage = JournalStage.READING
            self.make_due_call(self._clock())
            return
        self._handle_failed_reply(reply, "fence", timed_out=timed_out)

    def _handle_read_reply(self, reply: _http_call.HttpReply) -> None:
        """Collects a page of stored records; opens the journal at the end."""
        self._is_calling = False
        if not reply.is_success:
            self.progress.fail_page(reply)
            self._handle_failed_reply(reply, "read")
            return
        try:
            page = _store.parse_newest_page(reply)
        except _errors.DecodeError as error:
            _log.warning("journal.torn-page", error=str(error))
            self.progress.fail_page(reply)
            self.last_failure = f"read: {error}"
            self._next_call_boot_s = self._clock().boot_s + RETRY_DELAY_S
            return
        self.progress.add_page(reply, len(page.records))
        for record in page.records:
            if not record.value:
                continue
            try:
                self._recovered_records.append(
                    _job_records.decode_record(record)
                )
            except _errors.DecodeError as error:
                _log.error("journal.skipped", error=str(error))
        self._after_key = page.continue_after_key
        if page.continue_after_key is not None:
            self.make_due_call(self._clock())
            return
        self.stage = JournalStage.OPEN
        found, self._recovered_records = self._recovered_records, []
        self._on_recovered(self._encoder.restore_records(found))

    def _handle_append_reply(self, reply: _http_call.HttpReply) -> None:
        """Continues with the next chunk, or reports the batch as stored."""
        self._is_calling = False
        timed_out = self._record_answer_time(reply)
        if not reply.is_success:
            self._handle_failed_reply(reply, "append", timed_out=timed_out)
            return
        self._sequence += 1
        del self._unstored_chunks[0]
        if self._unstored_chunks:
            self.make_due_call(self._clock())
            return
        batch, self._batch = self._batch, None
        if batch is not None:
            self._on_stored(batch)

    def _handle_failed_reply(
        self, reply: _http_call.HttpReply, step: str, *, timed_out: bool = False
    ) -> None:
        """Schedules a retry of a failed call, or marks the journal as lost.

        Retries are safe because the store recognizes a repeated append by its
        sequence number.
        """
        self.last_failure = f"{step}: {reply.error_text or reply.status}"
        if _store.is_fenced(reply):
            self.stage = JournalStage.LOST
            _log.warning("journal.fenced", epoch=self.epoch, step=step)
            return
        expected = _store.parse_expected_sequence(reply)
        if expected is not None:
            _log.info(
                "journal.sequence", expected=expected, used=self._sequence
            )
            self._sequence = expected
            self.make_due_call(self._clock())
            return
        # After a timeout the wait has already been long enough.
        wait_s = 0.0 if timed_out else RETRY_DELAY_S
        self._next_call_boot_s = self._clock().boot_s + wait_s
        _log.warning(
            "journal.retry",
            step=step,
            status=reply.status,
            fault=reply.error_text,
            body=reply.body[:200].decode("latin-1"),
        )

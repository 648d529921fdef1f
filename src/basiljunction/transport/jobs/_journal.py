"""The scheduler's records in the store: recovery and fenced appends."""

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
from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _http_calls

READ_TIMEOUT_S = 1.0
"""Longest time for a read; far above the store's usual 10 ms."""

RETRY_S = 0.1
"""Wait after a failed call; it keeps the retries within the store's rate."""

STUCK_S = 1.0
"""An append that takes longer shows that the store is in trouble."""

_log = structlog.get_logger()


class Stage(enum.Enum):
    """Where the journal stands."""

    FENCING = "fencing"
    READING = "reading"
    OPEN = "open"
    LOST = "lost"


class Journal:
    """The records of one term.

    Args:
        calls: Makes the calls.
        settings: The store.
        epoch: Epoch of the term.
        clock: Returns the time.
        recovered: Told of what predecessors stored, once it is read.
        stored: Told of each batch that is stored.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpCalls,
        settings: _instance_settings.StoreSettings,
        epoch: int,
        clock: Callable[[], _time.Now],
        recovered: Callable[[list[_records.Record]], None],
        stored: Callable[[_orders.Batch], None],
    ) -> None:
        self.stage = Stage.FENCING
        self.epoch = epoch
        self._calls = calls
        self._settings = settings
        self._clock = clock
        self._recovered = recovered
        self._stored = stored
        self._found: list[_records.Record] = []
        self._after: str | None = None
        self._is_calling = False
        self._next_s = 0.0
        self._sequence = 0
        self._pace = _call_pace.CallPace()
        self._sent_s = 0.0
        self._batch: _orders.Batch | None = None
        self._chunks: list[tuple[_job_records.KeyedRecord, ...]] = []
        self._begun_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether the next batch may be appended."""
        return self.stage is Stage.OPEN and self._batch is None

    def is_stuck(self, now: _time.Now) -> bool:
        """Returns whether an append has waited too long."""
        return self.waited_s(now) > STUCK_S

    def waited_s(self, now: _time.Now) -> float:
        """Returns how long the append in progress has waited, in seconds."""
        return 0.0 if self._batch is None else now.boot_s - self._begun_s

    def append(self, batch: _orders.Batch) -> None:
        """Stores a batch; only while the journal is idle."""
        records = [
            keyed
            for record in batch.records
            for keyed in _job_records.encode(record)
        ]
        if not records:
            self._stored(batch)
            return
        self._batch = batch
        self._begun_s = self._clock().boot_s
        self._chunks = self._split(records)
        self.step(self._clock())

    def step(self, now: _time.Now) -> None:
        """Makes the next call if it is time."""
        if self._is_calling or now.boot_s < self._next_s:
            return
        if self.stage is Stage.FENCING:
            self._send_append((), self._fenced)
        elif self.stage is Stage.READING:
            call = _store.newest(
                self._settings.address,
                _store.JOB_TOPIC,
                0,
                after=self._after,
                timeout_s=READ_TIMEOUT_S,
            )
            self._is_calling = True
            self._calls.send(call, self._read)
        elif self.stage is Stage.OPEN and self._chunks:
            self._send_append(self._chunks[0], self._appended)

    def _split(
        self, records: list[_job_records.KeyedRecord]
    ) -> list[tuple[_job_records.KeyedRecord, ...]]:
        """Returns the records in order, in parts that one append takes."""
        chunks: list[tuple[_job_records.KeyedRecord, ...]] = []
        chunk: list[_job_records.KeyedRecord] = []
        size = 0
        limit = self._settings.request_bytes // 2
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
        done: _http_calls.Done,
    ) -> None:
        self._is_calling = True
        self._sent_s = self._clock().boot_s
        call = _store.append(
            self._settings.address,
            _store.JOB_TOPIC,
            0,
            records,
            fence=_store.Fence(self.epoch, self._sequence),
            timeout_s=self._pace.timeout_s,
        )
        self._calls.send(call, done)

    def _note_pace(self, reply: _http_call.HttpReply) -> bool:
        """Learns from a reply; returns whether none came in time."""
        took_s = self._clock().boot_s - self._sent_s
        if reply.is_answered:
            self._pace.answered(took_s)
            return False
        if took_s < self._pace.timeout_s:
            return False  # Refused or reset, which says nothing of the time.
        self._pace.lost()
        return True

    def _fenced(self, reply: _http_call.HttpReply) -> None:
        self._is_calling = False
        is_lost = self._note_pace(reply)
        if reply.ok:
            self.stage = Stage.READING
            self.step(self._clock())
            return
        self._note_failure(reply, "fence", is_lost=is_lost)

    def _read(self, reply: _http_call.HttpReply) -> None:
        self._is_calling = False
        if not reply.ok:
            self._note_failure(reply, "read")
            return
        try:
            page = _store.newest_page(reply)
        except _errors.DecodeError as error:
            _log.warning("journal.torn-page", error=str(error))
            self._next_s = self._clock().boot_s + RETRY_S
            return
        for record in page.records:
            if not record.value:
                continue
            try:
                self._found.append(_job_records.decode(record))
            except _errors.DecodeError as error:
                _log.error("journal.skipped", error=str(error))
        self._after = page.next_key
        if page.next_key is not None:
            self.step(self._clock())
            return
        self.stage = Stage.OPEN
        found, self._found = self._found, []
        self._recovered(found)

    def _appended(self, reply: _http_call.HttpReply) -> None:
        self._is_calling = False
        is_lost = self._note_pace(reply)
        if not reply.ok:
            self._note_failure(reply, "append", is_lost=is_lost)
            return
        self._sequence += 1
        del self._chunks[0]
        if self._chunks:
            self.step(self._clock())
            return
        batch, self._batch = self._batch, None
        if batch is not None:
            self._stored(batch)

    def _note_failure(
        self, reply: _http_call.HttpReply, step: str, *, is_lost: bool = False
    ) -> None:
        """Has the call repeated; the store tells repeats by their number."""
        if _store.is_fenced(reply):
            self.stage = Stage.LOST
            _log.warning("journal.fenced", epoch=self.epoch, step=step)
            return
        expected = _store.expected_sequence(reply)
        if expected is not None:
            _log.info(
                "journal.sequence", expected=expected, used=self._sequence
            )
            self._sequence = expected
            self.step(self._clock())
            return
        # A lost answer has been waited for already.
        wait_s = 0.0 if is_lost else RETRY_S
        self._next_s = self._clock().boot_s + wait_s
        _log.warning(
            "journal.retry",
            step=step,
            status=reply.status,
            fault=reply.fault,
            body=reply.body[:200].decode("latin-1"),
        )

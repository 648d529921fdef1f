"""Buffers records and forms the batches that are appended to the log.

One batch is in flight at a time. Its bytes stay the same over all tries, and
it is settled either by the log's answer or by being read back. The records of
one ticket are appended in one batch, so that they are adjacent in the log.
"""

import collections
import dataclasses

from basiljunction.state import _records


@dataclasses.dataclass(frozen=True, slots=True)
class AppendTicket:
    """A request to append some records together.

    Attributes:
        number: Identifies the ticket in messages between the process's tasks.
        records: The records in order.
        not_after_boot_s: Boot time after which the ticket is dropped if its
            first append has not begun.
    """

    number: int
    records: tuple[_records.Record, ...]
    not_after_boot_s: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class FormedBatch:
    """A batch formed from tickets, ready to be appended.

    Attributes:
        batch: The batch to append.
        sequence_by_ticket: Sequence number of the first record of each ticket,
            by ticket number.
    """

    batch: _records.RecordBatch
    sequence_by_ticket: dict[int, int]

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last record in the batch."""
        return self.batch.first_sequence + len(self.batch.records) - 1


class AppendBuffer:
    """Queues tickets, within a limit, and holds the one batch in flight.

    Args:
        max_batch_records: Maximum number of records in one batch; a single
            ticket may exceed it.
        max_buffered_records: Maximum number of queued records.
    """

    def __init__(
        self, *, max_batch_records: int, max_buffered_records: int
    ) -> None:
        self._max_batch_records = max_batch_records
        self._max_buffered_records = max_buffered_records
        self._waiting: collections.deque[AppendTicket] = collections.deque()
        self._buffered_records = 0
        self._author: _records.Author | None = None
        self._next_sequence = 0
        self._in_flight: FormedBatch | None = None

    @property
    def in_flight(self) -> FormedBatch | None:
        """The batch that is not known to be in the log yet; None if none."""
        return self._in_flight

    @property
    def queued_record_count(self) -> int:
        """Number of queued records, without those in flight."""
        return self._buffered_records

    @property
    def is_idle(self) -> bool:
        """Whether no ticket is queued and no batch is in flight."""
        return self._in_flight is None and not self._waiting

    def start_incarnation(self, author: _records.Author) -> list[AppendTicket]:
        """Switches to a new incarnation and restarts the sequence numbers.

        Returns:
            The queued tickets, which are dropped because they were decided
            under the earlier incarnation.
        """
        dropped = list(self._waiting)
        self._waiting.clear()
        self._buffered_records = 0
        self._author = author
        self._next_sequence = 0
        self._in_flight = None
        return dropped

    def add_ticket(self, ticket: AppendTicket) -> bool:
        """Queues a ticket.

        Returns:
            Whether it was queued; False if the buffer is full or no
            incarnation was started.
        """
        wanted = self._buffered_records + len(ticket.records)
        if self._author is None or wanted > self._max_buffered_records:
            return False
        self._waiting.append(ticket)
        self._buffered_records = wanted
        return True

    def drop_expired_tickets(self, now_s: float) -> list[AppendTicket]:
        """Removes and returns the queued tickets that are past their limit."""
        late = [each for each in self._waiting if each.not_after_boot_s < now_s]
        if late:
            self._waiting = collections.deque(
                each for each in self._waiting if each.not_after_boot_s >= now_s
            )
            self._buffered_records -= sum(len(each.records) for each in late)
        return late

    def form_batch(self, wall_s: float) -> FormedBatch | None:
        """Forms the next batch from queued tickets and marks it as in flight.

        Returns:
            The batch; None if one is in flight or no ticket is queued.
        """
        if self._in_flight is not None or not self._waiting:
            return None
        assert self._author is not None  # noqa: S101 - add() refuses until then
        first = self._next_sequence
        records: list[_records.Record] = []
        sequence_by_ticket: dict[int, int] = {}
        while self._waiting and self._fits_in_batch(records, self._waiting[0]):
            ticket = self._waiting.popleft()
            sequence_by_ticket[ticket.number] = first + len(records)
            records.extend(ticket.records)
        self._buffered_records -= len(records)
        self._next_sequence = first + len(records)
        batch = _records.RecordBatch(
            self._author, first, wall_s, tuple(records)
        )
        self._in_flight = FormedBatch(batch, sequence_by_ticket)
        return self._in_flight

    def settle_up_to(self, author: _records.Author, sequence: int) -> bool:
        """Records that the log holds an author's records up to a sequence.

        Returns:
            Whether this settles the batch in flight.
        """
        if self._in_flight is None or author != self._in_flight.batch.author:
            return False
        if sequence < self._in_flight.last_sequence:
            return False
        self._in_flight = None
        return True

    def _fits_in_batch(
        self, records: list[_records.Record], ticket: AppendTicket
    ) -> bool:
        """Returns whether a ticket fits into a batch; an empty one fits any."""
        if not records:
            return True
        return len(records) + len(ticket.records) <= self._max_batch_records

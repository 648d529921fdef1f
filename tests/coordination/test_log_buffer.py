"""Tests of forming appends to the log and settling them."""

from basiljunction.coordination import _log_buffer
from basiljunction.state import _records

AUTHOR = _records.Author("a", 1)


def _make_ticket(
    number: int, records: int = 1, not_after_boot_s: float = float("inf")
) -> _log_buffer.AppendTicket:
    """Returns a ticket of some equal records."""
    record = _records.InstanceLeaving(f"i{number}", 1)
    return _log_buffer.AppendTicket(
        number, (record,) * records, not_after_boot_s
    )


def _make_buffer(
    *tickets: _log_buffer.AppendTicket,
) -> _log_buffer.AppendBuffer:
    """Returns a buffer with tickets, of at most four records a batch."""
    buffer = _log_buffer.AppendBuffer(
        max_batch_records=4, max_buffered_records=8
    )
    buffer.start_incarnation(AUTHOR)
    for ticket in tickets:
        assert buffer.add_ticket(ticket)
    return buffer


class TestBatching:
    """An append holds whole tickets in order."""

    def test_one_in_flight(self) -> None:
        buffer = _make_buffer(
            _make_ticket(0), _make_ticket(1, 2), _make_ticket(2, 2)
        )
        formed = buffer.form_batch(1.0)
        assert formed is not None
        assert formed.sequence_by_ticket == {0: 0, 1: 1}
        assert buffer.form_batch(1.0) is None
        assert buffer.settle_up_to(AUTHOR, formed.last_sequence)
        following = buffer.form_batch(1.0)
        assert following is not None
        assert following.sequence_by_ticket == {2: 3}

    def test_larger_ticket_goes_alone(self) -> None:
        formed = _make_buffer(_make_ticket(0, 6)).form_batch(1.0)
        assert formed is not None
        assert len(formed.batch.records) == 6

    def test_bounded(self) -> None:
        buffer = _make_buffer(_make_ticket(0, 5))
        assert not buffer.add_ticket(_make_ticket(1, 4))
        assert buffer.add_ticket(_make_ticket(2, 3))


class TestSettling:
    """Only the last sequence number of its author settles an append."""

    def test_others_do_not(self) -> None:
        buffer = _make_buffer(_make_ticket(0, 2))
        buffer.form_batch(1.0)
        assert not buffer.settle_up_to(AUTHOR, 0)
        assert not buffer.settle_up_to(_records.Author("b", 1), 9)
        assert not buffer.settle_up_to(_records.Author("a", 2), 9)
        assert buffer.settle_up_to(AUTHOR, 1)


class TestDropping:
    """A ticket whose first append was sent is never dropped as late."""

    def test_late_ones(self) -> None:
        buffer = _make_buffer(
            _make_ticket(0, 4, 10.0), _make_ticket(1, 1, 10.0), _make_ticket(2)
        )
        buffer.form_batch(1.0)
        assert [each.number for each in buffer.drop_expired_tickets(10.1)] == [
            1
        ]
        assert buffer.in_flight is not None
        assert buffer.queued_record_count == 1

    def test_new_incarnation_drops_what_waits(self) -> None:
        buffer = _make_buffer(_make_ticket(0))
        dropped = buffer.start_incarnation(_records.Author("a", 2))
        assert [each.number for each in dropped] == [0]
        assert buffer.form_batch(1.0) is None

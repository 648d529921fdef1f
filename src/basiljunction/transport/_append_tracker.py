"""Tracks records from the append request to their verdicts in the log."""

from concurrent import futures
import dataclasses

from basiljunction.coordination import _log_buffer
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _verdict
from basiljunction.transport import _state_messages

VerdictsReply = futures.Future[tuple[_verdict.Verdict, ...]]
"""Resolves to the verdicts on a ticket's records, in record order."""

_DROP_NOTICE_S = 0.5
"""Grace after a ticket's deadline, in seconds, in which the appender can report
that it dropped the ticket."""


@dataclasses.dataclass(slots=True)
class _PendingTicket:
    """A ticket that still lacks the verdict on at least one record.

    Attributes:
        ticket: The records and the time until which to append them.
        reply: Resolved with the verdicts; None if a decision core requested
            the append.
        step: Processing step that is named in errors.
        has_begun: Whether the appender has announced the first append attempt.
        verdicts: Verdicts received so far, in record order.
    """

    ticket: _log_buffer.AppendTicket
    reply: VerdictsReply | None
    step: _outcomes.Step
    has_begun: bool = False
    verdicts: list[_verdict.Verdict] = dataclasses.field(default_factory=list)


class AppendTracker:
    """Matches the verdicts read back from the log to open append tickets.

    A ticket is one group of records that was offered to the log appender. It
    stays open until all its verdicts have arrived, or it was dropped.
    """

    def __init__(self) -> None:
        self._next_number = 0
        self._pending_by_number: dict[int, _PendingTicket] = {}
        self._number_by_key: dict[tuple[_records.Author, int], int] = {}

    def open_ticket(
        self,
        records: tuple[_records.Record, ...],
        *,
        not_after_boot_s: float,
        reply: VerdictsReply | None,
        step: _outcomes.Step,
    ) -> _log_buffer.AppendTicket:
        """Creates a ticket for the appender and tracks it until it is settled.

        Args:
            records: Records to append, in order.
            not_after_boot_s: Boot time after which no append may begin.
            reply: Resolved with the verdicts; None for a decision core.
            step: Processing step to name in errors.
        """
        number = self._next_number
        self._next_number += 1
        ticket = _log_buffer.AppendTicket(number, records, not_after_boot_s)
        self._pending_by_number[number] = _PendingTicket(ticket, reply, step)
        return ticket

    def record_sequences(
        self, message: _state_messages.TicketAppendStarted
    ) -> None:
        """Records the sequence numbers under which a ticket is appended."""
        pending = self._pending_by_number.get(message.number)
        if pending is None:
            return
        pending.has_begun = True
        for index in range(len(pending.ticket.records)):
            key = (message.author, message.first_sequence + index)
            self._number_by_key[key] = message.number

    def close_dropped_ticket(
        self, message: _state_messages.TicketDropped
    ) -> tuple[_records.Record, ...]:
        """Stops tracking a dropped ticket and fails its reply, if it has one.

        Returns:
            The ticket's records if a decision core requested the append,
            so that the core can be notified; otherwise none.
        """
        pending = self._pending_by_number.pop(message.number, None)
        if pending is None:
            return ()
        if pending.reply is None:
            return pending.ticket.records
        error = _state_messages.AppendDroppedError(
            pending.step,
            _outcomes.Reason.LOG_UNAVAILABLE,
            message.detail,
        )
        _set_error(pending.reply, error)
        return ()

    def add_verdict(self, verdict: _verdict.Verdict) -> None:
        """Adds the verdict on a record that this instance appended.

        The reply resolves with the last verdict of its ticket.
        """
        key = (verdict.author, verdict.sequence)
        number = self._number_by_key.pop(key, None)
        if number is None:
            return
        pending = self._pending_by_number.get(number)
        if pending is None:
            return
        pending.verdicts.append(verdict)
        if len(pending.verdicts) < len(pending.ticket.records):
            return
        del self._pending_by_number[number]
        if pending.reply is not None and not pending.reply.done():
            pending.reply.set_result(tuple(pending.verdicts))

    def fail_overdue_tickets(self, now_s: float) -> None:
        """Fails the replies of tickets whose deadline has passed.

        The appender drops a late ticket before its first attempt and reports
        that. A ticket that has begun, or for which no report arrived, may
        still be in the log, so its reply fails as unsettled.
        """
        for pending in list(self._pending_by_number.values()):
            if pending.reply is None:
                continue
            wait_s = 0.0 if pending.has_begun else _DROP_NOTICE_S
            if now_s > pending.ticket.not_after_boot_s + wait_s:
                self._fail_unsettled(
                    pending,
                    "records were not read back in time",
                )

    def fail_begun_tickets(self, detail: str) -> None:
        """Fails tickets whose begun append can no longer be read back."""
        for pending in list(self._pending_by_number.values()):
            if pending.has_begun:
                self._fail_unsettled(pending, detail)

    def _fail_unsettled(self, pending: _PendingTicket, detail: str) -> None:
        """Drops a ticket whose records may or may not be in the log."""
        del self._pending_by_number[pending.ticket.number]
        if pending.reply is not None:
            error = _state_messages.AppendUnsettledError(
                pending.step, _outcomes.Reason.TIMEOUT, detail
            )
            _set_error(pending.reply, error)


def _set_error(reply: VerdictsReply, error: Exception) -> None:
    """Fails a reply that is not resolved yet."""
    if not reply.done():
        reply.set_exception(error)

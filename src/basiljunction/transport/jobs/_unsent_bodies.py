"""Estimates how many bytes of calls still have to be sent over a link."""

import dataclasses

from basiljunction.transport.jobs import _call_pace


@dataclasses.dataclass(frozen=True, slots=True)
class _Body:
    """The body of a call that may not have been sent yet.

    Attributes:
        byte_count: Its size in bytes.
        sent_by_s: Time by which a slow link has sent it, in seconds on the
            steady clock.
    """

    byte_count: int
    sent_by_s: float


class UnsentBodies:
    """The bodies of calls that one link may still have to send.

    An answer that is missing doesn't show that a body is still being sent: the
    answer or the call may be lost. A body counts until its call ends, until a
    slow link would have sent it, or until a call is answered that began later
    and has a body at least as large: calls share a link fairly, so that the
    earlier body was sent before.
    """

    def __init__(self) -> None:
        self._body_by_number: dict[int, _Body] = {}
        self._expected_bytes = 0
        self._unsent_bytes = 0
        self._next_number = 0

    def expect(self, byte_count: int) -> None:
        """Counts a body whose call is about to begin, beside others."""
        self._expected_bytes += byte_count

    def seconds_left(self, now_s: float) -> float:
        """Returns how long a slow link takes for all bodies, in seconds."""
        while self._body_by_number:
            number, oldest = next(iter(self._body_by_number.items()))
            if oldest.sent_by_s > now_s:
                # The later ones are sent after it.
                break
            self._drop(number)
        unsent_bytes = self._expected_bytes + self._unsent_bytes
        return unsent_bytes / _call_pace.SLOW_LINK_BYTES_PER_S

    def begin(self, byte_count: int, now_s: float) -> int:
        """Notes that the call of an expected body begins.

        Returns:
            The number of the call.
        """
        number = self._next_number
        self._next_number += 1
        self._body_by_number[number] = _Body(
            byte_count, now_s + self.seconds_left(now_s)
        )
        self._expected_bytes -= byte_count
        self._unsent_bytes += byte_count
        return number

    def end(self, number: int, byte_count: int, *, is_answered: bool) -> None:
        """Notes that a call has ended.

        Args:
            number: The number of the call.
            byte_count: The size of its body in bytes.
            is_answered: Whether a complete answer arrived.
        """
        self._drop(number)
        if not is_answered:
            return
        sent = []
        for each, body in self._body_by_number.items():
            if each > number:
                break
            if body.byte_count <= byte_count:
                sent.append(each)
        for each in sent:
            self._drop(each)

    def _drop(self, number: int) -> None:
        """Counts the body of a call no longer, if it still does."""
        body = self._body_by_number.pop(number, None)
        if body is not None:
            self._unsent_bytes -= body.byte_count

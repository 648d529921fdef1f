"""The checks that ask once who answers at an executor's address."""

import dataclasses

MAX_CHECKS_AT_ONCE = 3
"""Most checks of an executor that are in flight for one question.

If half of all answers are lost, one in eight questions gets none.
"""


@dataclasses.dataclass(slots=True)
class CheckRound:
    """Checks of one executor, of which the first answer counts.

    A check changes nothing, so that another one may be sent while the answer
    to the first may be lost. All are given up at the same time.

    Attributes:
        ends_s: When they are given up, in seconds on the steady clock.
        newest_sent_s: When the newest one was sent, on the same clock.
        sent_count: Number of checks that were sent.
        in_flight_count: Number of those without an answer that may get one.
    """

    ends_s: float
    newest_sent_s: float = 0.0
    sent_count: int = 0
    in_flight_count: int = 0

    def begin_check(self, now_s: float) -> None:
        """Notes that a check is sent now."""
        self.newest_sent_s = now_s
        self.sent_count += 1
        self.in_flight_count += 1

    def is_repeat_due(self, now_s: float, answer_time_s: float) -> bool:
        """Returns whether another check is to be sent beside the others.

        Args:
            now_s: The time, in seconds on the steady clock.
            answer_time_s: Time within which an answer is expected, in seconds.
        """
        return (
            self.sent_count < MAX_CHECKS_AT_ONCE
            and now_s >= self.newest_sent_s + answer_time_s
            and now_s + answer_time_s <= self.ends_s
        )

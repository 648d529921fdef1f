"""Counts failed runs on an executor and decides how long it is avoided."""

import dataclasses

from basiljunction.coordination.scheduling import _limits


@dataclasses.dataclass(slots=True)
class FailureRecord:
    """The failed runs of an executor since one went well.

    Attributes:
        in_a_row: Number of failed runs since the last successful one, or the
            last one that lasted.
        avoid_until_s: Time before which tasks start on other executors for
            them, in seconds.
    """

    in_a_row: int = 0
    avoid_until_s: float = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Counts a failed run and avoids the executor after several in a row.

        The time for which it is avoided doubles with each further failure.
        """
        self.in_a_row += 1
        if self.in_a_row < FAILURES_BEFORE_AVOIDED:
            return
        doublings = self.in_a_row - FAILURES_BEFORE_AVOIDED
        wait_s = _limits.UNHEALTHY_AVOID_S * 2 ** min(doublings, 3)
        self.avoid_until_s = now_s + min(wait_s, _limits.MAX_UNHEALTHY_AVOID_S)

    def reset(self) -> None:
        """Resets the count; a time that has begun goes on."""
        self.in_a_row = 0

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether tasks start on other executors."""
        return now_s < self.avoid_until_s


FAILURES_BEFORE_AVOIDED = 3
"""Consecutive failed runs after which an executor is avoided; the probability
of that many by chance is below one in a hundred thousand."""

"""The time by which a leaving instance has answered every request."""

import math
import time


class AnswerLimit:
    """A time after which no request waits any longer; thread-safe.

    There is none until the instance leaves.
    """

    def __init__(self) -> None:
        self._end_s = math.inf

    def set_end(self, end_s: float) -> None:
        """Sets the time, in seconds of the monotonic clock."""
        self._end_s = end_s

    def left_s(self) -> float:
        """Returns the seconds left, which are negative once it has passed."""
        return self._end_s - time.monotonic()

"""Adaptive timeout after which a call to the store is repeated.

The store usually answers within about ten milliseconds, but for some seconds
it may lose half of its answers or be sixty times as slow. Repeating a numbered
append is harmless. A short timeout therefore lets a lost answer cost a few
usual answer times instead of a whole second, and its adaptation keeps a slow
store from being called over and over.
"""

MIN_TIMEOUT_S = 0.12
"""Initial and shortest timeout, in seconds: ten usual answer times."""

MAX_TIMEOUT_S = 1.0
"""Longest timeout, in seconds; a store that takes longer is impaired."""

ANSWER_TIME_FACTOR = 4.0
"""Timeout as a multiple of the mean answer time."""

SLOW_LINK_BYTES_PER_S = 250_000
"""Rate at which a body is expected to be sent at least, in bytes a second.

It is two fifths of a link of 5 Mbit/s, which other calls share.
"""

ANSWER_TIME_SMOOTHING = 0.3
"""Weight of the newest answer in the moving mean of answer times, 0 to 1."""


class AdaptiveTimeout:
    """Derives the timeout of each attempt from recent answer times.

    It is a multiple of an exponential moving mean of the answer times, within
    `MIN_TIMEOUT_S` and `MAX_TIMEOUT_S`, and doubles with each timeout.
    """

    def __init__(self) -> None:
        self._mean_answer_s = 0.0
        self._consecutive_timeouts = 0

    @property
    def timeout_s(self) -> float:
        """Timeout of the next attempt in seconds; doubles with each timeout."""
        base_s = max(MIN_TIMEOUT_S, ANSWER_TIME_FACTOR * self._mean_answer_s)
        return min(MAX_TIMEOUT_S, base_s * 2.0**self._consecutive_timeouts)

    def timeout_for_body_s(self, byte_count: int) -> float:
        """Returns the timeout of the next attempt with a body of that size.

        A call that is given up while its body is being sent has to send all of
        it again.
        """
        return self.timeout_s + byte_count / SLOW_LINK_BYTES_PER_S

    def record_answer(self, took_s: float) -> None:
        """Records an answer that took `took_s` seconds; ends the doubling."""
        self._mean_answer_s += ANSWER_TIME_SMOOTHING * (
            took_s - self._mean_answer_s
        )
        self._consecutive_timeouts = 0

    def record_timeout(self) -> None:
        """Records that an attempt timed out, which doubles the next timeout."""
        self._consecutive_timeouts += 1

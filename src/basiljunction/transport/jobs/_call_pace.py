"""How long a call waits for its answer before it is repeated.

Load pattern: the store answers within some ten milliseconds, but for some
seconds it loses half of its answers, or is sixty times as slow. A repeat of a
numbered append is harmless, so a lost answer costs a few usual answers' time
and not a whole second, while a slow store is not called over and over.
"""

FIRST_TIMEOUT_S = 0.12
"""Timeout at first: ten usual answers of the store."""

LONGEST_TIMEOUT_S = 1.0
"""Longest timeout; a store that takes longer is in trouble."""

USUAL_FACTOR = 4.0
"""Timeout as a multiple of the time that answers usually take."""

LEARNING_RATE = 0.3
"""Share of a change of the usual time that one answer corrects."""


class CallPace:
    """Learns how long answers take, and gives each try its timeout."""

    def __init__(self) -> None:
        self._usual_s = 0.0
        self._lost_in_row = 0

    @property
    def timeout_s(self) -> float:
        """Time that the next try waits; it doubles with each lost answer."""
        first_s = max(FIRST_TIMEOUT_S, USUAL_FACTOR * self._usual_s)
        return min(LONGEST_TIMEOUT_S, first_s * 2.0**self._lost_in_row)

    def answered(self, took_s: float) -> None:
        """Takes note of an answer."""
        self._usual_s += LEARNING_RATE * (took_s - self._usual_s)
        self._lost_in_row = 0

    def lost(self) -> None:
        """Takes note that no answer came in time."""
        self._lost_in_row += 1

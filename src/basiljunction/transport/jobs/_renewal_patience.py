"""Patience of lease renewals with executors whose answers are late.

A single executor that is silent has failed or has lost its connection, and is
to be noticed soon. If a good share of all executors is late at once, the cause
is the scheduler's own link or processor. Giving up on answers that are on their
way would then fill the link with answers that nobody reads.
"""

import math

MIN_MARGIN_S = 0.8
"""Shortest silence beyond the wait that a renewal asks for after which the
renewal is given up, in seconds."""

MAX_MARGIN_S = 2.5
"""Longest such silence, in seconds.

A lease of 5 s then leaves more than a second for a renewal on a new connection.
"""

LATENESS_FACTOR = 2.0
"""Margin as a multiple of the lateness that a good share of executors has."""

LATE_SHARE = 0.4
"""Share of the executors that must be late at once, 0 to 1; above the share of
one of three zones, which may fail as a whole."""

MIN_LATE_EXECUTORS = 4
"""Fewest executors that must be late at once; fewer may fail together."""

OUTCOME_MEMORY_S = 5.0
"""Time after which an executor's outcome no longer counts, in seconds; longer
than any renewal takes."""

REVIEW_INTERVAL_S = 0.1
"""Time between two looks at the outcomes of all executors, in seconds."""


class RenewalPatience:
    """Derives how long renewals wait for late answers from recent outcomes.

    It counts the newest outcome of each executor, answered or not.
    """

    def __init__(self) -> None:
        self._outcome_by_executor: dict[str, tuple[float, float]] = {}
        self._margin_s = MIN_MARGIN_S
        self._next_review_s = 0.0

    def record_answer(
        self, executor: str, lateness_s: float, now_s: float
    ) -> None:
        """Records an executor's answer to a renewal.

        Args:
            executor: Id of the executor.
            lateness_s: Time that the renewal took beyond the wait that it
                asked for, in seconds; negative if it ended earlier.
            now_s: The time, in seconds.
        """
        self._outcome_by_executor[executor] = (now_s, lateness_s)

    def record_failure(
        self, executor: str, lateness_s: float, now_s: float
    ) -> None:
        """Records that a renewal ended without an answer.

        How late the answer would have been is not known, so it counts as very
        late. A failure before any patience was over, such as a refused
        connection, does not count.

        Args:
            executor: Id of the executor.
            lateness_s: Time that the renewal took beyond the wait that it
                asked for, in seconds.
            now_s: The time, in seconds.
        """
        if lateness_s >= MIN_MARGIN_S:
            self._outcome_by_executor[executor] = (now_s, MAX_MARGIN_S)

    def margin_s(self, now_s: float) -> float:
        """Returns the silence to accept beyond the wait, in seconds."""
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + REVIEW_INTERVAL_S
            self._margin_s = self._review_outcomes(now_s)
        return self._margin_s

    def _review_outcomes(self, now_s: float) -> float:
        """Forgets old outcomes and returns the margin that the others need."""
        self._outcome_by_executor = {
            executor: outcome
            for executor, outcome in self._outcome_by_executor.items()
            if now_s - outcome[0] < OUTCOME_MEMORY_S
        }
        latenesses_s = sorted(
            (
                lateness_s
                for _, lateness_s in self._outcome_by_executor.values()
            ),
            reverse=True,
        )
        late_count = max(
            MIN_LATE_EXECUTORS, math.ceil(LATE_SHARE * len(latenesses_s))
        )
        if len(latenesses_s) < late_count:
            return MIN_MARGIN_S
        shared_lateness_s = latenesses_s[late_count - 1]
        return min(
            MAX_MARGIN_S,
            max(MIN_MARGIN_S, LATENESS_FACTOR * shared_lateness_s),
        )

"""Exponential backoff with jitter between retries."""

import random

import tenacity


class Backoff:
    """Computes the wait before each retry: exponential, capped, with jitter.

    Args:
        rng: Random source of the jitter.
        initial_s: Wait after the first failure, in seconds, before jitter.
        max_s: Longest wait, in seconds.
    """

    def __init__(
        self, *, rng: random.Random, initial_s: float, max_s: float
    ) -> None:
        self._rng = rng
        self._wait = tenacity.wait_exponential(multiplier=initial_s, max=max_s)
        self._state = tenacity.RetryCallState(tenacity.Retrying(), None, (), {})
        self.reset()

    def reset(self) -> None:
        """Restarts with the initial wait; to be called after a success."""
        self._state.attempt_number = 0

    def next_wait_s(self) -> float:
        """Counts a failure and returns the seconds to wait before the retry."""
        self._state.attempt_number += 1
        return self._wait(self._state) * self._rng.uniform(0.5, 1.0)

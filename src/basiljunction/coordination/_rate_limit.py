"""Token bucket that limits a request rate."""


class TokenBucket:
    """Limits requests to a steady rate with bursts.

    The bucket starts full. Each request takes one token.

    Args:
        rate_per_s: Tokens added per second.
        burst: Maximum number of tokens.
        boot_s: Current boot time in seconds.
    """

    def __init__(
        self, *, rate_per_s: float, burst: float, boot_s: float
    ) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_boot_s = boot_s

    @property
    def rate_per_s(self) -> float:
        """Tokens added per second."""
        return self._rate_per_s

    def change_limits(
        self, *, rate_per_s: float, burst: float, boot_s: float
    ) -> None:
        """Sets rate and burst; tokens above the new burst are discarded."""
        self._refill(boot_s)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_take_token(self, boot_s: float) -> bool:
        """Takes one token if there is one; returns whether it was taken."""
        self._refill(boot_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def seconds_until_token(self, boot_s: float) -> float | None:
        """Returns the seconds until a token is available.

        The result is None if the rate or the burst is too small for a token
        ever to become available.
        """
        self._refill(boot_s)
        if self._tokens >= 1.0:
            return 0.0
        if self._rate_per_s <= 0 or self._burst < 1.0:
            return None
        return (1.0 - self._tokens) / self._rate_per_s

    def _refill(self, boot_s: float) -> None:
        """Adds the tokens for the time since the previous refill."""
        passed_s = max(0.0, boot_s - self._refilled_boot_s)
        self._tokens = min(
            self._burst, self._tokens + passed_s * self._rate_per_s
        )
        self._refilled_boot_s = max(boot_s, self._refilled_boot_s)

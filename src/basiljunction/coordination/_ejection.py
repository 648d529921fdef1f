"""Ejects executors that fail or are far slower than the others.

An ejected executor receives no requests for a delay that grows with each
ejection (outlier detection).
"""

import dataclasses
import random

FAILURES_TO_EJECT = 3
"""Consecutive failures after which an executor is ejected."""
SLOWDOWN_TO_EJECT = 10.0
"""Learned slowdown factor from which an executor is ejected."""
BASE_EJECTION_S = 1.0
"""Duration of the first ejection in seconds; it doubles with each one."""
MAX_EJECTION_S = 60.0
"""Longest duration of an ejection in seconds, before jitter."""
MAX_JITTER_FRACTION = 0.2
"""Largest random fraction by which an ejection is lengthened."""
MAX_EJECTED_FRACTION = 0.34
"""Largest fraction of the executors that is ejected at once."""
RESET_EJECTIONS_AFTER_S = 120.0
"""Healthy time in seconds after which the ejection count is reset."""


@dataclasses.dataclass(slots=True)
class _ExecutorHealth:
    """Failures and ejections of one executor.

    Attributes:
        consecutive_failures: Failed calls since the last completed one.
        recent_ejections: Ejections since the executor was last healthy for
            long; the exponent of the next ejection's duration.
        ejected_until_boot_s: Boot time at which the last ejection ends.
        is_probing: Whether no call has completed since the last ejection.
        healthy_since_boot_s: Boot time of the call that ended the probing.
    """

    consecutive_failures: int = 0
    recent_ejections: int = 0
    ejected_until_boot_s: float = 0.0
    is_probing: bool = False
    healthy_since_boot_s: float = 0.0


class ExecutorEjector:
    """Tracks which executors are ejected, for exponentially growing delays.

    After its delay an executor gets one request at a time until one
    completes. At most ``MAX_EJECTED_FRACTION`` of the executors is ejected at
    once: if most fail, the cause is likely elsewhere, and ejecting more would
    only increase the load on the rest.

    Args:
        source: Random source of the jitter.
    """

    def __init__(self, source: random.Random) -> None:
        self._jitter_source = source
        self._health_by_executor: dict[str, _ExecutorHealth] = {}

    def is_ejected(self, executor: str, boot_s: float) -> bool:
        """Returns whether an executor is ejected and must get no requests."""
        health = self._health_by_executor.get(executor)
        return health is not None and health.ejected_until_boot_s > boot_s

    def is_probing(self, executor: str) -> bool:
        """Returns whether no request has completed since the last ejection.

        Such an executor gets one request at a time.
        """
        health = self._health_by_executor.get(executor)
        return health is not None and health.is_probing

    def record_completed_call(
        self, executor: str, slowdown: float, fleet: list[str], boot_s: float
    ) -> bool:
        """Records a completed call; returns whether it leads to an ejection.

        Args:
            executor: The executor that ran the call.
            slowdown: The executor's learned slowdown.
            fleet: All executors of this owner.
            boot_s: Current boot time in seconds.
        """
        health = self._health_by_executor.setdefault(
            executor, _ExecutorHealth()
        )
        health.consecutive_failures = 0
        if slowdown >= SLOWDOWN_TO_EJECT:
            return self._eject_unless_too_many(health, fleet, boot_s)
        if health.is_probing:
            health.is_probing = False
            health.healthy_since_boot_s = boot_s
        if boot_s - health.healthy_since_boot_s >= RESET_EJECTIONS_AFTER_S:
            health.recent_ejections = 0
        return False

    def record_failed_call(
        self, executor: str, fleet: list[str], boot_s: float
    ) -> bool:
        """Records a failed call; returns whether it leads to an ejection.

        While the executor is probing, a single failure ejects it again.
        """
        health = self._health_by_executor.setdefault(
            executor, _ExecutorHealth()
        )
        health.consecutive_failures += 1
        if (
            health.consecutive_failures < FAILURES_TO_EJECT
            and not health.is_probing
        ):
            return False
        return self._eject_unless_too_many(health, fleet, boot_s)

    def retain_executors(self, executors: set[str]) -> None:
        """Deletes the health of all executors except the given ones."""
        for executor in self._health_by_executor.keys() - executors:
            del self._health_by_executor[executor]

    def _eject_unless_too_many(
        self, health: _ExecutorHealth, fleet: list[str], boot_s: float
    ) -> bool:
        """Ejects an executor unless too many would be ejected.

        Returns:
            Whether it was ejected; False also if it already is.
        """
        if health.ejected_until_boot_s > boot_s:
            return False
        ejected = sum(self.is_ejected(each, boot_s) for each in fleet)
        if ejected + 1 > max(1, int(len(fleet) * MAX_EJECTED_FRACTION)):
            return False
        if len(fleet) == 1:
            return False
        delay_s = min(
            MAX_EJECTION_S, BASE_EJECTION_S * 2.0**health.recent_ejections
        )
        delay_s *= 1.0 + MAX_JITTER_FRACTION * self._jitter_source.random()
        health.ejected_until_boot_s = boot_s + delay_s
        health.recent_ejections = min(health.recent_ejections + 1, 10)
        health.consecutive_failures = 0
        health.is_probing = True
        return True

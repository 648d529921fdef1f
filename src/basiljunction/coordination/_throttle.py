"""Decides when to throttle, evict or relax batch work on a worker.

Thresholds come in pairs, low and high, for hysteresis.
"""

import dataclasses
import enum

HIGH_CORES_FRACTION = 0.97
"""Fraction of a worker's processors in use above which pressure is high."""

LOW_CORES_FRACTION = 0.85
"""Fraction of a worker's processors in use below which pressure is low."""

HIGH_MEMORY_FRACTION = 0.97
"""Fraction of a worker's memory in use above which pressure is high."""

HIGH_LATENCY_RATIO = 0.8
"""Ratio of the urgent 99th percentile latency to the deadline above which
pressure is high."""

LOW_LATENCY_RATIO = 0.5
"""Ratio of the urgent 99th percentile latency to the deadline below which
pressure is low."""

HIGH_SLOWDOWN = 1.6
"""Slowdown of urgent work above which pressure is high."""

LOW_SLOWDOWN = 1.2
"""Slowdown of urgent work below which pressure is low."""

EFFECT_DELAY_S = 6.0
"""Time to wait for the effect of a step before the next one, in seconds, since
usage figures lag."""

RELAX_AFTER_S = 30.0
"""Time for which pressure has to stay low before throttling ends, in
seconds."""

THROTTLED_FRACTION = 0.4
"""Fraction of its processor share that throttled batch work keeps."""


class ThrottleAction(enum.StrEnum):
    """Action on the batch work of one worker.

    Attributes:
        NOTHING: No change.
        THROTTLE: Limit its processor use.
        EVICT: Stop some of it.
        RELAX: End throttling.
    """

    NOTHING = "nothing"
    THROTTLE = "throttle"
    EVICT = "evict"
    RELAX = "relax"


class PressureLevel(enum.StrEnum):
    """Pressure on a worker, by its resource use or its urgent latency."""

    LOW = "low"
    MIDDLE = "middle"
    HIGH = "high"


@dataclasses.dataclass(slots=True)
class PressureState:
    """Pressure and throttling state of one worker over time.

    Attributes:
        is_throttled: Whether the worker's batch work is throttled.
        last_step_boot_s: Time of the last step.
        low_since_boot_s: Time since which pressure is low; None if it is not.
    """

    is_throttled: bool = False
    last_step_boot_s: float = float("-inf")
    low_since_boot_s: float | None = None

    def choose_action(
        self, level: PressureLevel, now_boot_s: float
    ) -> ThrottleAction:
        """Returns the action for the current pressure and updates the state."""
        if level is not PressureLevel.LOW:
            self.low_since_boot_s = None
        elif self.low_since_boot_s is None:
            self.low_since_boot_s = now_boot_s
        if level is PressureLevel.HIGH:
            return self._throttle_or_evict(now_boot_s)
        if self.is_throttled and self._has_stayed_low(now_boot_s):
            self.is_throttled = False
            self.last_step_boot_s = now_boot_s
            return ThrottleAction.RELAX
        return ThrottleAction.NOTHING

    def _throttle_or_evict(self, now_boot_s: float) -> ThrottleAction:
        """Throttles first; evicts if pressure stays high after that."""
        if not self.is_throttled:
            self.is_throttled = True
            self.last_step_boot_s = now_boot_s
            return ThrottleAction.THROTTLE
        if now_boot_s - self.last_step_boot_s < EFFECT_DELAY_S:
            return ThrottleAction.NOTHING
        self.last_step_boot_s = now_boot_s
        return ThrottleAction.EVICT

    def _has_stayed_low(self, now_boot_s: float) -> bool:
        """Whether pressure has been low for long enough to relax."""
        if self.low_since_boot_s is None:
            return False
        return now_boot_s - self.low_since_boot_s >= RELAX_AFTER_S


def classify_cores(used: float) -> PressureLevel:
    """Returns the pressure level for the fraction of processors in use."""
    return _classify(used, LOW_CORES_FRACTION, HIGH_CORES_FRACTION)


def classify_service_latency(
    latency_ratio: float, slowdown: float
) -> PressureLevel:
    """Returns the pressure level for the latency of urgent work.

    A slowdown alone does not count as pressure while latency is far below the
    deadline.

    Args:
        latency_ratio: 99th percentile latency relative to the deadline.
        slowdown: Median service time relative to the undisturbed one.
    """
    by_latency = _classify(latency_ratio, LOW_LATENCY_RATIO, HIGH_LATENCY_RATIO)
    if by_latency is PressureLevel.LOW:
        return PressureLevel.LOW
    by_slowdown = _classify(slowdown, LOW_SLOWDOWN, HIGH_SLOWDOWN)
    is_high = PressureLevel.HIGH in (by_latency, by_slowdown)
    return PressureLevel.HIGH if is_high else PressureLevel.MIDDLE


def highest_level(*levels: PressureLevel) -> PressureLevel:
    """Returns the highest of the given pressure levels; LOW if none given."""
    for level in (PressureLevel.HIGH, PressureLevel.MIDDLE):
        if level in levels:
            return level
    return PressureLevel.LOW


def _classify(value: float, low: float, high: float) -> PressureLevel:
    """Returns the level of a value, given the low and high thresholds."""
    if value > high:
        return PressureLevel.HIGH
    return PressureLevel.LOW if value < low else PressureLevel.MIDDLE

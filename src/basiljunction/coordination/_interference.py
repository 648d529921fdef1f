"""Learns how much tasks of one class slow down tasks of another."""

from collections.abc import Mapping
import math

LEARNING_RATE = 0.3
"""Share of the estimation error that one measurement corrects."""

HALF_LIFE_S = 3600.0
"""Half-life of a learned slowdown without new measurements, in seconds."""

DECAY_INTERVAL_S = 60.0
"""Minimum time between two decay steps, in seconds."""

USAGE_SETTLING_S = 10.0
"""Time after a change of the tasks on a worker in which measurements are not
used, in seconds: reported usage lags behind."""

MAX_SLOWDOWN = 20.0
"""Upper bound that a measured slowdown is clamped to, as a factor."""

MIN_LOG_SLOWDOWN = 1e-4
"""Learned log slowdowns and errors below this are treated as zero."""


class InterferenceModel:
    """Estimates the slowdown of each class by tasks of each other class.

    The log slowdown of a task is modelled as a sum of one part for each task
    on the same worker. The error of a measurement is distributed over the
    parts.

    Attributes:
        log_slowdown_by_other_by_victim: Estimated log slowdown by one task, by
            the class that is slowed down and then by the class that causes it.
    """

    def __init__(self) -> None:
        """Creates a model without measurements."""
        self.log_slowdown_by_other_by_victim: dict[str, dict[str, float]] = {}
        self._decayed_boot_s: float | None = None

    def log_slowdown(self, victim: str, other: str) -> float:
        """Returns the log slowdown that one task of another class causes."""
        parts = self.log_slowdown_by_other_by_victim.get(victim)
        return parts.get(other, 0.0) if parts else 0.0

    def expected_log_slowdown(
        self, victim: str, others: Mapping[str, float]
    ) -> float:
        """Returns the expected log slowdown of a class beside other tasks.

        Args:
            victim: Class that is slowed down.
            others: Number of tasks of each class on the same worker.
        """
        parts = self.log_slowdown_by_other_by_victim.get(victim)
        if not parts:
            return 0.0
        total = 0.0
        for other, count in others.items():
            part = parts.get(other)
            if part is not None:
                total += count * part
        return total

    def record_slowdown(
        self, victim: str, others: Mapping[str, float], slowdown: float
    ) -> None:
        """Updates the estimates from one measured slowdown.

        Args:
            victim: Class whose slowdown was measured.
            others: Number of tasks of each class on the same worker.
            slowdown: Ratio of measured to undisturbed time.
        """
        weight = sum(count * count for count in others.values())
        if weight == 0:
            return
        measured = math.log(min(MAX_SLOWDOWN, max(1.0, slowdown)))
        error = measured - self.expected_log_slowdown(victim, others)
        if abs(error) < MIN_LOG_SLOWDOWN:
            return
        parts = self.log_slowdown_by_other_by_victim.setdefault(victim, {})
        for other, count in others.items():
            part = (
                parts.get(other, 0.0) + LEARNING_RATE * error * count / weight
            )
            parts[other] = max(0.0, part)

    def decay(self, now_boot_s: float) -> None:
        """Decays all estimates exponentially by the time since the last call.

        Estimates that become negligible are removed. Does nothing within
        `DECAY_INTERVAL_S` of the last step.
        """
        if self._decayed_boot_s is None:
            self._decayed_boot_s = now_boot_s
        age_s = now_boot_s - self._decayed_boot_s
        if age_s < DECAY_INTERVAL_S:
            return
        self._decayed_boot_s = now_boot_s
        factor = math.exp2(-age_s / HALF_LIFE_S)
        for victim, parts in self.log_slowdown_by_other_by_victim.items():
            self.log_slowdown_by_other_by_victim[victim] = {
                other: part * factor
                for other, part in parts.items()
                if part * factor >= MIN_LOG_SLOWDOWN
            }

"""Estimates of service times by work class, and of each executor's slowdown."""

import dataclasses
import math

INITIAL_SERVICE_S = 0.05
"""Assumed service time of a class without samples, in seconds."""

EWMA_WEIGHT = 0.05
"""Weight of a new sample in the moving averages of service times."""

SLOWDOWN_WEIGHT = 0.1
"""Weight of a new sample in the moving average of slowdowns."""

SLOWDOWN_HALF_LIFE_S = 10.0
"""Half-life, in seconds, with which the slowdown of an executor without
requests decays to normal (1.0)."""

MIN_SLOWDOWN = 0.2
"""Lower bound of one call's slowdown sample."""

MAX_SLOWDOWN = 50.0
"""Upper bound of one call's slowdown sample."""

MIN_SAMPLES = 10
"""Number of samples from which an estimate is used."""

UPPER_ESTIMATE_DEVIATIONS = 2.0
"""Mean absolute deviations above the mean that form the upper estimate of a
service time."""


@dataclasses.dataclass(slots=True)
class _ServiceTime:
    """Moving averages of the service time of one class.

    Attributes:
        mean_s: Mean service time.
        deviation_s: Mean absolute deviation.
        samples: Number of samples so far.
    """

    mean_s: float = INITIAL_SERVICE_S
    deviation_s: float = INITIAL_SERVICE_S / 2
    samples: int = 0

    def add_sample(self, elapsed_s: float) -> None:
        """Adds a service time; early samples weigh more."""
        weight = max(EWMA_WEIGHT, 1.0 / (self.samples + 1))
        error_s = elapsed_s - self.mean_s
        self.mean_s += weight * error_s
        self.deviation_s += weight * (abs(error_s) - self.deviation_s)
        self.samples += 1


@dataclasses.dataclass(slots=True)
class _Slowdown:
    """Slowdown of one executor, as of the newest sample.

    Attributes:
        factor: Service time relative to the class average; 1.0 is normal.
        learned_boot_s: Time of the newest sample.
    """

    factor: float = 1.0
    learned_boot_s: float = 0.0

    def decayed_factor(self, boot_s: float) -> float:
        """Returns the slowdown at a time, decayed towards 1.0."""
        age_s = max(0.0, boot_s - self.learned_boot_s)
        left = math.exp2(-age_s / SLOWDOWN_HALF_LIFE_S)
        return 1.0 + (self.factor - 1.0) * left


class ServiceTimeEstimator:
    """Estimates service times by work class and slowdowns by executor."""

    def __init__(self) -> None:
        """Initializes without samples."""
        self._time_by_class: dict[tuple[str, str], _ServiceTime] = {}
        self._slowdown_by_executor: dict[str, _Slowdown] = {}

    def record_call(
        self,
        *,
        class_key: tuple[str, str],
        executor: str,
        elapsed_s: float,
        boot_s: float,
    ) -> None:
        """Updates the estimates with a completed call.

        Args:
            class_key: Customer and class name.
            executor: Executor that ran the call.
            elapsed_s: Duration of the call.
            boot_s: Time at which it ended.
        """
        known = self._time_by_class.setdefault(class_key, _ServiceTime())
        if known.samples >= MIN_SAMPLES and known.mean_s > 0:
            self._update_slowdown(executor, elapsed_s / known.mean_s, boot_s)
        known.add_sample(elapsed_s)

    def mean_service_s(self, class_key: tuple[str, str]) -> float:
        """Returns the mean service time of a customer's class, in seconds."""
        known = self._time_by_class.get(class_key)
        return INITIAL_SERVICE_S if known is None else known.mean_s

    def upper_service_s(self, class_key: tuple[str, str]) -> float:
        """Returns a service time that most calls of a class do not exceed."""
        known = self._time_by_class.get(class_key)
        if known is None:
            return INITIAL_SERVICE_S
        return known.mean_s + UPPER_ESTIMATE_DEVIATIONS * known.deviation_s

    def has_enough_samples(self, class_key: tuple[str, str]) -> bool:
        """Whether a class has enough samples to refuse requests by them."""
        known = self._time_by_class.get(class_key)
        return known is not None and known.samples >= MIN_SAMPLES

    def slowdown(self, executor: str, boot_s: float) -> float:
        """Returns an executor's service time relative to the class average."""
        known = self._slowdown_by_executor.get(executor)
        return 1.0 if known is None else known.decayed_factor(boot_s)

    def retain_known(
        self, class_keys: set[tuple[str, str]], executors: set[str]
    ) -> None:
        """Drops all classes and executors but the given ones."""
        for class_key in self._time_by_class.keys() - class_keys:
            del self._time_by_class[class_key]
        for executor in self._slowdown_by_executor.keys() - executors:
            del self._slowdown_by_executor[executor]

    def _update_slowdown(
        self, executor: str, ratio: float, boot_s: float
    ) -> None:
        """Updates an executor's slowdown with one call.

        Args:
            executor: Id of the executor.
            ratio: Duration of the call relative to the mean of its class.
            boot_s: Time at which the call ended.
        """
        known = self._slowdown_by_executor.setdefault(executor, _Slowdown())
        before = known.decayed_factor(boot_s)
        bounded = min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN)
        known.factor = before + SLOWDOWN_WEIGHT * (bounded - before)
        known.learned_boot_s = boot_s

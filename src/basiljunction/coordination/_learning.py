"""Learns the ratio of measured to declared usage and run time of classes."""

import collections
import dataclasses
import math

from basiljunction.state import _job

MAX_SAMPLES = 64
"""Number of newest samples kept for each quantity."""

MIN_SAMPLES = 12
"""Samples needed before less than the declared amount is used."""

SIZE_QUANTILE = 0.95
"""Quantile of the usage ratio that determines a reservation."""

RUN_TIME_QUANTILE = 0.8
"""Quantile of the run time ratio that determines the expected run time."""

SIZE_MARGIN = 1.15
"""Factor by which a reservation exceeds the learned quantile, up to the
declared amount."""

MIN_RESERVED_SHARE = 0.25
"""Minimum reservation for a task, as a share of the declared amount."""

MAX_RATIO = 32.0
"""Upper bound that samples are clamped to, measured over declared."""


class Quantiles:
    """Computes quantiles over a sliding window of samples of one quantity."""

    def __init__(self) -> None:
        """Creates an empty window."""
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._sorted: list[float] | None = None

    def add(self, sample: float) -> None:
        """Adds a sample; a full window drops its oldest."""
        self._samples.append(min(MAX_RATIO, max(0.0, sample)))
        self._sorted = None

    def __len__(self) -> int:
        """Returns the number of samples kept."""
        return len(self._samples)

    def quantile(self, share: float) -> float:
        """Returns the smallest sample that a share of samples do not exceed.

        Raises:
            IndexError: The window is empty.
        """
        if self._sorted is None:
            self._sorted = sorted(self._samples)
        rank = math.ceil(share * len(self._sorted)) - 1
        return self._sorted[max(0, rank)]


@dataclasses.dataclass(slots=True)
class ClassUsage:
    """Ratios of measured to declared values for one customer and class.

    Attributes:
        cores: Peak core usage over declared cores.
        memory: Peak memory usage over declared memory.
        run_time: Run time of completed tasks over the declared one.
    """

    cores: Quantiles = dataclasses.field(default_factory=Quantiles)
    memory: Quantiles = dataclasses.field(default_factory=Quantiles)
    run_time: Quantiles = dataclasses.field(default_factory=Quantiles)


class UsageEstimator:
    """Estimates reservations and run times by customer and class."""

    def __init__(self) -> None:
        """Creates an estimator without samples."""
        self._usage_by_class: dict[str, ClassUsage] = {}
        self._reservation_by_demand_by_class: dict[
            str, dict[_job.ResourceDemand, _job.ResourceDemand]
        ] = {}

    def record_usage(
        self,
        class_key: str,
        declared: _job.ResourceDemand,
        peak: _job.ResourceDemand,
    ) -> None:
        """Records the measured peak usage of one attempt."""
        usage = self._usage_by_class.setdefault(class_key, ClassUsage())
        self._reservation_by_demand_by_class.pop(class_key, None)
        if declared.millicores:
            usage.cores.add(peak.millicores / declared.millicores)
        if declared.memory_mib:
            usage.memory.add(peak.memory_mib / declared.memory_mib)

    def record_run_time(
        self, class_key: str, declared_s: float, measured_s: float
    ) -> None:
        """Records the run time of one completed task."""
        if declared_s <= 0:
            return
        usage = self._usage_by_class.setdefault(class_key, ClassUsage())
        usage.run_time.add(measured_s / declared_s)

    def reservation(
        self, class_key: str, declared: _job.ResourceDemand
    ) -> _job.ResourceDemand:
        """Returns the resources to reserve for a task.

        Cores may be reserved below the declared amount once there are enough
        samples, as a shortage of cores only slows tasks down. Memory and
        accelerators may not.
        """
        usage = self._usage_by_class.get(class_key)
        if usage is None:
            return declared
        reservation_by_demand = self._reservation_by_demand_by_class.setdefault(
            class_key, {}
        )
        reservation = reservation_by_demand.get(declared)
        if reservation is None:
            reservation = _reservation(usage, declared)
            reservation_by_demand[declared] = reservation
        return reservation

    def expected_run_time_s(self, class_key: str, declared_s: float) -> float:
        """Returns the run time that most tasks of a class do not exceed.

        It is the declared run time, in seconds, scaled by the learned ratio.
        """
        usage = self._usage_by_class.get(class_key)
        if usage is None or not len(usage.run_time):
            return declared_s
        ratio = usage.run_time.quantile(RUN_TIME_QUANTILE)
        if len(usage.run_time) < MIN_SAMPLES:
            ratio = max(1.0, ratio)
        return declared_s * ratio


def _reservation(
    usage: ClassUsage, declared: _job.ResourceDemand
) -> _job.ResourceDemand:
    """Returns the resources to reserve, given the usage of the class."""
    return _job.ResourceDemand(
        millicores=_reserved_amount(
            declared.millicores, usage.cores, may_shrink=True
        ),
        memory_mib=_reserved_amount(
            declared.memory_mib, usage.memory, may_shrink=False
        ),
        accelerators=declared.accelerators,
    )


def _reserved_amount(
    declared: int, samples: Quantiles, *, may_shrink: bool
) -> int:
    """Returns the amount of one resource to reserve.

    Args:
        declared: Amount that the task declares.
        samples: Ratios of measured to declared usage.
        may_shrink: Whether the result may be below the declared amount.
    """
    if not len(samples):
        return declared
    measured_ratio = samples.quantile(SIZE_QUANTILE)
    ratio = max(measured_ratio, min(1.0, measured_ratio * SIZE_MARGIN))
    if not may_shrink or len(samples) < MIN_SAMPLES:
        ratio = max(1.0, ratio)
    return math.ceil(declared * max(MIN_RESERVED_SHARE, ratio))

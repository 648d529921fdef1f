"""Learns how much headroom fillers take from the tasks of a serving image.

The headroom of a serving task is its tail latency target divided by its tail
latency: 1 means that the latency equals the target, 2 that it is half of it. In
a queue the tail latency grows as 1 / (1 - load), so the headroom falls linearly
with the CPU that fillers request. The headroom loss per tenth of an executor's
CPU is estimated for each filler image by recursive least squares with a prior:
fillers that always run together share their effect, and a pair of images that
never ran together keeps the prior.
"""

from collections.abc import Mapping

from basiljunction.state.workload import _records

PRIOR_HEADROOM_LOSS = 0.5
"""Assumed headroom (latency target over tail latency) that a filler takes from
a serving task per tenth of an executor's CPU, for a pair of images that never
ran together: at the usual headroom of 2.5 two such fillers fit beside a serving
task, three do not."""

PRIOR_VARIANCE = 0.4
"""Prior variance of the headroom lost per tenth of an executor's CPU; losses of
0 to 2 are usual."""

NOISE_VARIANCE = 0.1
"""Variance of the headroom (latency target over tail latency) in one report,
from load and measurement."""

DRIFT_VARIANCE = 2e-4
"""Variance added to each headroom loss per tenth with each report, so that old
reports lose weight."""

RESTORED_VARIANCE = 0.1
"""Variance of a headroom loss per tenth of an executor that an earlier
scheduler learned."""

MAX_HEADROOM_LOSS = 5.0
"""Upper bound of the headroom lost per tenth of an executor's CPU; at this
value a pair never shares an executor, so larger values make no difference."""

MIN_UPDATE_INTERVAL_S = 0.02
"""Least time between two reports from which the headroom losses of one serving
image are learned, in seconds. An update takes time in proportion to the square
of the filler images, and in a large cell hundreds of reports about one image
arrive in a second."""

BASE_LEARNING_RATE = 0.05
"""Fraction of the error of the usual headroom without fillers that one report
corrects."""


class HeadroomModel:
    """Model of the headroom of one serving image beside fillers.

    The headroom is the latency target divided by the tail latency; fillers are
    tasks that use spare processor time.

    Args:
        initial_headroom: Headroom assumed before the first report.

    Attributes:
        base_headroom: Usual headroom without fillers.
    """

    def __init__(self, initial_headroom: float) -> None:
        self.base_headroom = initial_headroom
        self._loss_by_filler: dict[str, float] = {}
        self._index_by_filler: dict[str, int] = {}
        self._covariance: list[list[float]] = []
        self._next_update_s = float("-inf")

    def export_learned(self) -> _records.LearnedHeadroom:
        """Returns the learned values to store for the next scheduler."""
        return _records.LearnedHeadroom(
            round(self.base_headroom, 3),
            {
                filler: round(loss, 3)
                for filler, loss in self._loss_by_filler.items()
            },
        )

    def restore_learned(self, learned: _records.LearnedHeadroom) -> None:
        """Restores values that an earlier scheduler stored.

        Their variance is set to `RESTORED_VARIANCE`.
        """
        self.base_headroom = learned.base
        for filler, loss in learned.part_by_filler.items():
            self._add_filler(filler)
            self._loss_by_filler[filler] = loss
            index = self._index_by_filler[filler]
            self._covariance[index][index] = RESTORED_VARIANCE

    def headroom_loss_per_tenth(self, filler: str) -> float:
        """Returns the headroom lost per tenth of an executor.

        Args:
            filler: Image of the filler.
        """
        loss = self._loss_by_filler.get(filler, PRIOR_HEADROOM_LOSS)
        if loss <= 0.0:
            return 0.0
        return loss if loss < MAX_HEADROOM_LOSS else MAX_HEADROOM_LOSS

    def expected_headroom_drop(self, exposure: Mapping[str, float]) -> float:
        """Returns the headroom that fillers take together.

        Args:
            exposure: CPU that the fillers request, in tenths of the executor,
                by filler image.
        """
        return sum(
            tenths * self.headroom_loss_per_tenth(filler)
            for filler, tenths in exposure.items()
        )

    def learn_base_headroom(self, headroom: float) -> None:
        """Updates the usual headroom from a report without fillers."""
        self.base_headroom += BASE_LEARNING_RATE * (
            headroom - self.base_headroom
        )

    def learn_headroom_drop(
        self, exposure: Mapping[str, float], drop: float, now_s: float
    ) -> None:
        """Updates the headroom losses by a step of recursive least squares.

        Does nothing less than `MIN_UPDATE_INTERVAL_S` after the last update.

        Args:
            exposure: CPU that the fillers beside the task requested, in tenths
                of the executor, by filler image.
            drop: Measured headroom that the fillers took together.
            now_s: Time of the report, in seconds.
        """
        if now_s < self._next_update_s:
            return
        self._next_update_s = now_s + MIN_UPDATE_INTERVAL_S
        for filler in exposure:
            self._add_filler(filler)
        inputs = [
            (self._index_by_filler[filler], tenths)
            for filler, tenths in exposure.items()
        ]
        gains = [0.0] * len(self._covariance)
        # The covariance is symmetric, so its rows serve as its columns.
        for index, tenths in inputs:
            gains = [
                gain + value * tenths
                for gain, value in zip(
                    gains, self._covariance[index], strict=True
                )
            ]
        scale = NOISE_VARIANCE + sum(
            gains[index] * tenths for index, tenths in inputs
        )
        error = drop - sum(
            tenths * self._loss_by_filler[filler]
            for filler, tenths in exposure.items()
        )
        for filler, index in self._index_by_filler.items():
            self._loss_by_filler[filler] += gains[index] / scale * error
        self._update_covariance(gains, scale)

    def _add_filler(self, filler: str) -> None:
        """Adds a filler image with its prior to the model, if it is new."""
        if filler in self._index_by_filler:
            return
        size = len(self._covariance)
        self._index_by_filler[filler] = size
        self._loss_by_filler[filler] = PRIOR_HEADROOM_LOSS
        for row in self._covariance:
            row.append(0.0)
        self._covariance.append([0.0] * size + [PRIOR_VARIANCE])

    def _update_covariance(self, gains: list[float], scale: float) -> None:
        """Updates the covariance after a report and adds the drift."""
        for index, row in enumerate(self._covariance):
            factor = gains[index] / scale
            if factor:
                row[:] = [
                    value - factor * gain
                    for value, gain in zip(row, gains, strict=True)
                ]
            if row[index] < PRIOR_VARIANCE:
                row[index] += DRIFT_VARIANCE

"""Compares placement policies on both deployments' mixes of batch tasks."""

from collections.abc import Callable

from basiljunction.bench import _batch_mix
from basiljunction.bench import _report
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _interference
from basiljunction.coordination import _placement
from basiljunction.state import _job

DURATION_S = 2400.0
"""Simulated time of one run, in seconds."""


class LogSlowdownPolicy(_placement.PlacementPolicy):
    """First version of the interference-aware policy, kept as a baseline.

    It minimises the sum of the expected logarithms of slowdown factors and has
    no limit on the slowdown of latency-critical work.
    """

    def __init__(self) -> None:
        """Creates the policy with an empty interference model."""
        self._model = _interference.InterferenceModel()

    def attach(self, learned: _interference.InterferenceModel) -> None:
        """Uses the interference model that the batch core updates."""
        self._model = learned

    def score(
        self,
        worker: _batch_model.Worker,
        class_key: str,
        demand: _job.ResourceDemand,
    ) -> float:
        """Returns the cost of placing a task on a worker.

        The cost is the sum of the expected log slowdowns of the task, of the
        worker's batch tasks and of its services, plus 0.15 times the packing
        cost.
        """
        model = self._model
        cost = model.expected_log_slowdown(class_key, worker.count_by_class)
        for other, count in worker.count_by_class.items():
            cost += count * model.log_slowdown(other, class_key)
        for service in worker.undisturbed_ratio_by_service:
            log_slowdown = model.log_slowdown(service, class_key)
            cost += _placement.SERVICE_HARM_WEIGHT * log_slowdown
        return cost + 0.15 * _placement.packing_cost(worker, demand)


_UNIT_BY_METRIC = {
    "batch throughput": "core-hours",
    "tasks completed": "tasks",
    "service p99 slowdown": "times",
    "evictions": "evictions",
    "work lost": "core-hours",
    "peak share of processors used": "share",
}
"""Unit of each reported metric; rows follow this order."""


_POLICY_CASES: tuple[
    tuple[str, Callable[[], _placement.PlacementPolicy | None]], ...
] = (
    ("first-fit", _placement.FirstFit),
    ("best-fit", _placement.BestFit),
    ("dominant-packing", _placement.DominantPacking),
    ("first-version", LogSlowdownPolicy),
    ("interference-aware", lambda: None),
)
"""Name and factory of each policy; ``None`` selects the core's own policy."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares the placement policies on each mix.

    Every policy except the interference-aware one is a baseline.
    """
    rows = []
    for mix in _batch_mix.MIXES:
        for case, make_policy in _POLICY_CASES:
            outcomes = [
                _batch_mix.simulate_mix(
                    mix, make_policy(), seed=seed + index, duration_s=DURATION_S
                )
                for index in range(runs)
            ]
            rows.extend(_rows(f"{mix.customer} {case}", outcomes))
    return _report.Report(name="placement", seed=seed, rows=tuple(rows))


def _rows(case: str, outcomes: list[_batch_mix.MixResult]) -> list[_report.Row]:
    """Returns one row for each metric, with one value per run."""
    figures = [
        {
            "batch throughput": outcome.completed_core_hours,
            "tasks completed": float(outcome.completed_tasks),
            "service p99 slowdown": outcome.service_p99_slowdown,
            "evictions": float(outcome.eviction_count),
            "work lost": outcome.lost_core_hours,
            "peak share of processors used": outcome.peak_core_share,
        }
        for outcome in outcomes
    ]
    return [
        _report.Row(
            case=case,
            metric=metric,
            unit=unit,
            values=tuple(each[metric] for each in figures),
            baseline="interference-aware" not in case,
        )
        for metric, unit in _UNIT_BY_METRIC.items()
    ]

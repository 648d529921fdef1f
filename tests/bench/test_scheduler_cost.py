"""Tests of the measurement of the scheduler's processor time."""

import pytest

from basiljunction.bench import _scheduler_cost


class TestRun:
    """The costs by kind of event add up to the whole cost of a start."""

    def test_each_size_has_every_layer(self) -> None:
        report = _scheduler_cost.run(runs=1, seed=1, executor_counts=(4, 8))
        for case in ("4 executors", "8 executors"):
            rows = [row for row in report.rows if row.case == case]
            value_by_metric = {row.metric: row.median for row in rows}
            costs = [
                row for row in rows if row.unit == _scheduler_cost.COST_UNIT
            ]
            layers = {row.metric.partition(":")[0] for row in costs}
            assert layers == {"decoding", "journal", "orders", "state"}
            assert sum(row.median for row in costs) == pytest.approx(
                1000 * value_by_metric["processor time for a start"]
            )
            assert value_by_metric["starts"] > 0
            assert value_by_metric["open runs at the end"] > 0

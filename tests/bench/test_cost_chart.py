"""Tests of the chart of costs."""

import pathlib

import pytest

from basiljunction.bench import _cost_chart
from basiljunction.bench import _report

_REPORT = _report.Report(
    "scheduler-cost",
    1,
    (
        _report.Row("30 executors", "starts", "1/s", (9.0,)),
        _report.Row("30 executors", "state: pass", "us/start", (3.0,)),
        _report.Row("60 executors", "state: pass", "us/start", (4.0,)),
        _report.Row("60 executors", "orders: stop", "us/start", (1.0,)),
    ),
)


class TestWriteCostChart:
    """The chart shows the rows of one unit, a bar for each case."""

    def test_rows_of_other_units_are_left_out(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "chart.svg"
        _cost_chart.write_cost_chart(_REPORT, "us/start", path)
        text = path.read_text(encoding="utf-8")
        for expected in ("30 executors", "60 executors", "orders: stop"):
            assert expected in text
        assert ">starts<" not in text

    def test_a_missing_folder_raises(self, tmp_path: pathlib.Path) -> None:
        with pytest.raises(FileNotFoundError):
            _cost_chart.write_cost_chart(
                _REPORT, "us/start", tmp_path / "none" / "chart.svg"
            )

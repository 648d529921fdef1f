"""Tests of the ``bench`` command."""

import json
import pathlib

from click import testing
import pytest

from basiljunction.cli import _bench


class TestSchedulerCost:
    """The sizes of the cells and a chart can be asked for."""

    def test_report_and_chart(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "chart.svg"
        result = testing.CliRunner().invoke(
            _bench.bench,
            [
                "scheduler-cost",
                "--executors=4,8",
                "--runs=1",
                "--json",
                f"--plot={path}",
            ],
        )
        assert result.exit_code == 0
        rows = json.loads(result.stdout)["rows"]
        assert {row["case"] for row in rows} == {"4 executors", "8 executors"}
        assert path.read_bytes().startswith(b"<?xml")

    def test_a_chart_that_cannot_be_written(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "none" / "chart.svg"
        result = testing.CliRunner().invoke(
            _bench.bench,
            [
                "scheduler-cost",
                "--executors=4",
                "--runs=1",
                f"--plot={path}",
            ],
        )
        assert result.exit_code == 1
        assert f"--plot: {path}: No such file" in result.stderr
        assert "state: pass" in result.stdout


class TestErrors:
    """A malformed option is named with its value and range."""

    @pytest.mark.parametrize("value", ["x", "0", "10001", "30,,60", "-5", ""])
    def test_number_of_executors_out_of_range(self, value: str) -> None:
        result = testing.CliRunner().invoke(
            _bench.bench, ["scheduler-cost", f"--executors={value}"]
        )
        assert result.exit_code == 2
        assert "is not a number of executors from 1 to 10000" in result.stderr

    def test_option_of_another_benchmark(self) -> None:
        result = testing.CliRunner().invoke(
            _bench.bench, ["fold", "--executors=30"]
        )
        assert result.exit_code == 2
        assert "apply to scheduler-cost, not to fold" in result.stderr

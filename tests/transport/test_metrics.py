"""Tests of the metrics and of the table of their names."""

import ast
from collections.abc import Iterator
import dataclasses
import pathlib
import time

import pytest

import basiljunction
from basiljunction.transport import _metric_names
from basiljunction.transport import _metrics

_KIND_BY_METHOD = {
    "count": _metric_names.MetricKind.COUNTER,
    "observe": _metric_names.MetricKind.HISTOGRAM,
    "set": _metric_names.MetricKind.GAUGE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _MetricCall:
    """A call in the source that records a value of a metric."""

    name: str
    kind: _metric_names.MetricKind
    labels: frozenset[str]


def _find_metric_calls(path: pathlib.Path) -> Iterator[_MetricCall]:
    """Yields the calls in a module whose receiver's name ends in `metrics`."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not (
            isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
        ):
            continue
        kind = _KIND_BY_METHOD.get(node.func.attr)
        target = ast.unparse(node.func.value)
        if kind is None or not target.endswith("metrics"):
            continue
        if not (node.args and isinstance(node.args[0], ast.Constant)):
            continue
        labels = frozenset(word.arg for word in node.keywords if word.arg)
        yield _MetricCall(str(node.args[0].value), kind, labels - {"value"})


class TestMetrics:
    """Values are exposed in Prometheus format; unknown names are dropped."""

    def test_histogram_by_customer_and_class(self) -> None:
        metrics = _metrics.Metrics("dunedin-1")
        for value in (0.003, 2.2, 70.0):
            metrics.observe(
                "request_duration",
                value,
                customer="kowhai",
                class_name="check",
                outcome="completed",
            )
        lines = metrics.render_prometheus_text().decode().splitlines()
        name = "basiljunction_request_duration_seconds_bucket"
        counts = {
            line.split('le="')[1].split('"')[0]: float(line.split()[-1])
            for line in lines
            if line.startswith(name) and 'customer="kowhai"' in line
        }
        assert counts["0.005"] == 1
        assert counts["2.4"] == 2
        assert counts["60.0"] == 2
        assert counts["+Inf"] == 3

    def test_two_instances_do_not_share_values(self) -> None:
        first, second = _metrics.Metrics("a"), _metrics.Metrics("b")
        first.set("ready", 1)
        assert b"basiljunction_ready" not in second.render_prometheus_text()

    def test_unknown_name_kind_or_label_is_dropped(self) -> None:
        metrics = _metrics.Metrics()
        metrics.count("no_such_metric")
        metrics.count("ready")
        metrics.set("ready", 1, customer="kowhai")
        exposition = metrics.render_prometheus_text()
        assert b"no_such_metric" not in exposition
        assert b"basiljunction_ready" not in exposition

    def test_a_missing_label_is_an_empty_value(self) -> None:
        metrics = _metrics.Metrics()
        metrics.count("calls", kind="submit")
        lines = metrics.render_prometheus_text().decode().splitlines()
        assert (
            'basiljunction_calls_total{kind="submit",outcome=""} 1.0' in lines
        )

    def test_further_series_beyond_the_limit_share_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(_metrics, "MAX_SERIES", 2)
        metrics = _metrics.Metrics()
        for kind in ("a", "b", "c", "d", "a"):
            metrics.count("calls", kind=kind, outcome="accepted")
        lines = metrics.render_prometheus_text().decode().splitlines()
        value_by_kind = {
            line.split('kind="')[1].split('"')[0]: float(line.split()[-1])
            for line in lines
            if line.startswith("basiljunction_calls_total")
        }
        assert value_by_kind == {"a": 2, "b": 1, "overflow": 2}

    def test_only_values_that_were_recorded_are_exported(self) -> None:
        metrics = _metrics.Metrics("dunedin-1")
        metrics.observe("cell_pass_duration", 0.01)
        text = metrics.render_prometheus_text().decode()
        assert 'target_info{service_instance_id="dunedin-1"} 1.0' in text
        assert "basiljunction_cell_pass_duration_seconds_count 1.0" in text
        assert "_created" not in text
        assert text.count("# TYPE") == 2

    def test_a_scheduler_can_record_thousands_of_values_a_second(
        self,
    ) -> None:
        """At 30 us each they took as long as the decisions that they count."""
        metrics = _metrics.Metrics()
        started_s = time.process_time()
        for _ in range(20_000):
            metrics.observe(
                "outgoing_call_duration", 0.02, operation="executor.renew"
            )
        assert time.process_time() - started_s < 20_000 * 15e-6


class TestTable:
    """Every metric recorded in the code is declared with kind and labels."""

    def test_names_kinds_and_labels_are_known(self) -> None:
        root = pathlib.Path(basiljunction.__file__).parent
        checked_calls = 0
        for path in root.rglob("*.py"):
            for call in _find_metric_calls(path):
                row = _metric_names.METRIC_BY_NAME[call.name]
                assert row.kind == call.kind, (path.name, call)
                assert call.labels <= set(row.labels), (path.name, call)
                checked_calls += 1
        assert checked_calls

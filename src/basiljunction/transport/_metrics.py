"""Metrics that are recorded by OpenTelemetry and exported to Prometheus."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from opentelemetry import metrics as otel_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view as sdk_view
import prometheus_client
import structlog

from basiljunction.transport import _metric_names

_log = structlog.get_logger()

_PREFIX = "basiljunction"

_BUCKET_BOUNDARIES_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    2.4,
    5.0,
    10.0,
    30.0,
    60.0,
)
"""Histogram bucket boundaries in seconds; 2.4 s is the limit for a start."""

_COUNT_BUCKET_BOUNDARIES = (
    1,
    2,
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1000,
    2000,
    5000,
)
"""Histogram bucket boundaries of metrics without a unit."""

MAX_SERIES = 20_000
"""Label combinations of a metric; further ones share an overflow series."""


class Metrics:
    """Records the metrics of one process; thread-safe.

    A value with an undefined name, kind or label is dropped and logged: a
    fault in a metric must not stop the work that it measures.

    Args:
        instance: Name of the instance, exported as a resource attribute.
    """

    def __init__(self, instance: str = "") -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            prefix=_PREFIX,
            scope_info_enabled=False,
            registry=self._registry,
            cardinality_limits=_cardinality_limits(),
        )
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource({"service.instance.id": instance}),
            views=[_make_histogram_view(row) for row in _histograms()],
        )
        meter = self._provider.get_meter(_PREFIX)
        self._record_by_name = {
            row.name: _make_recorder(meter, row)
            for row in _metric_names.METRICS
        }
        self._unknown_names: set[str] = set()

    def count(self, name: str, value: float = 1, **labels: str) -> None:
        """Adds a value to a counter."""
        self._record(name, _metric_names.MetricKind.COUNTER, value, labels)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram; times are in seconds."""
        self._record(name, _metric_names.MetricKind.HISTOGRAM, value, labels)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge to a value."""
        self._record(name, _metric_names.MetricKind.GAUGE, value, labels)

    def render_prometheus_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shuts down the metrics provider."""
        self._provider.shutdown()

    def _record(
        self,
        name: str,
        kind: _metric_names.MetricKind,
        value: float,
        labels: dict[str, str],
    ) -> None:
        """Records a value if its name, kind and labels are defined."""
        row = _metric_names.METRIC_BY_NAME.get(name)
        if (
            row is None
            or row.kind is not kind
            or labels.keys() - set(row.labels)
        ):
            self._log_unknown_metric(name, kind, labels)
            return
        self._record_by_name[name](value, labels)

    def _log_unknown_metric(
        self, name: str, kind: _metric_names.MetricKind, labels: dict[str, str]
    ) -> None:
        """Logs a value with an undefined name, kind or label, once per name."""
        if name in self._unknown_names:
            return
        self._unknown_names.add(name)
        _log.error(
            "metric.unknown", metric=name, kind=str(kind), labels=sorted(labels)
        )


def _cardinality_limits() -> dict[Any, int]:
    """Returns the limit of label combinations by instrument type."""
    kinds: Iterable[Any] = (
        sdk_metrics.Counter,
        sdk_metrics.Histogram,
    )
    return dict.fromkeys(kinds, MAX_SERIES)


def _histograms() -> list[_metric_names.Metric]:
    """Returns the definitions of all histograms."""
    return [
        row
        for row in _metric_names.METRICS
        if row.kind is _metric_names.MetricKind.HISTOGRAM
    ]


def _make_histogram_view(row: _metric_names.Metric) -> sdk_view.View:
    """Returns the view that sets a histogram's bucket boundaries."""
    boundaries = (
        _BUCKET_BOUNDARIES_S if row.unit == "s" else _COUNT_BUCKET_BOUNDARIES
    )
    return sdk_view.View(
        instrument_name=row.name,
        aggregation=sdk_view.ExplicitBucketHistogramAggregation(boundaries),
    )


def _make_recorder(
    meter: otel_metrics.Meter, row: _metric_names.Metric
) -> Callable[[float, dict[str, str]], None]:
    """Creates a metric's instrument and returns its recording function."""
    match row.kind:
        case _metric_names.MetricKind.COUNTER:
            return meter.create_counter(row.name, row.unit, row.help).add
        case _metric_names.MetricKind.HISTOGRAM:
            histogram = meter.create_histogram(row.name, row.unit, row.help)
            return histogram.record
        case _metric_names.MetricKind.GAUGE:
            return meter.create_gauge(row.name, row.unit, row.help).set

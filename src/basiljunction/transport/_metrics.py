"""Metrics in the Prometheus text format."""

from collections.abc import Callable
import threading

import prometheus_client
import structlog

from basiljunction.transport import _metric_names

_log = structlog.get_logger()

_METRIC_NAME_PREFIX = "basiljunction"
"""Prefix of exported metric names."""

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

_OVERFLOW_LABEL_VALUE = "overflow"
"""Value of every label of the series that further combinations share."""

_UNIT_NAME_BY_UNIT = {"s": "seconds"}
"""Unit in exported names, by unit in the table of metrics."""

_Recorder = Callable[[float], None]
"""Records one value of one series."""

_SeriesKey = tuple[str, _metric_names.MetricKind, tuple[tuple[str, str], ...]]
"""Name and kind of a metric, and the labels of one series of it."""

_Instrument = (
    prometheus_client.Counter
    | prometheus_client.Gauge
    | prometheus_client.Histogram
)


class Metrics:
    """Records the metrics of one process; thread-safe.

    The recorder of each series is looked up once and kept, since a scheduler
    records some thousands of values a second.

    A value with an undefined name, kind or label is dropped and logged: a
    fault in a metric must not stop the work that it measures.

    Args:
        instance: Name of the instance, exported as a label of `target_info`.
    """

    def __init__(self, instance: str = "") -> None:
        # The exported series are part of the interface; `_created` is not.
        prometheus_client.disable_created_metrics()  # type: ignore[no-untyped-call]
        self._registry = prometheus_client.CollectorRegistry()
        target = prometheus_client.Info(
            "target", "Target metadata", registry=self._registry
        )
        target.info({"service_instance_id": instance})
        # Made with their first value: a gauge without one must not show 0.
        self._instrument_by_name: dict[str, _Instrument] = {}
        self._recorder_by_series: dict[_SeriesKey, _Recorder] = {}
        self._series_count_by_name: dict[str, int] = {}
        self._lock = threading.Lock()
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
        """Drops all values."""
        for instrument in self._instrument_by_name.values():
            instrument.clear()

    def _record(
        self,
        name: str,
        kind: _metric_names.MetricKind,
        value: float,
        labels: dict[str, str],
    ) -> None:
        """Records a value if its name, kind and labels are defined."""
        key = (name, kind, tuple(labels.items()))
        recorder = self._recorder_by_series.get(key)
        if recorder is None:
            recorder = self._find_recorder(key, labels)
        if recorder is not None:
            recorder(value)

    def _find_recorder(
        self, key: _SeriesKey, labels: dict[str, str]
    ) -> _Recorder | None:
        """Returns the recorder of a series and keeps it, or None if undefined.

        Series beyond the limit share one and are looked up each time.
        """
        name, kind, _ = key
        row = _metric_names.METRIC_BY_NAME.get(name)
        if (
            row is None
            or row.kind is not kind
            or labels.keys() - set(row.labels)
        ):
            self._log_unknown_metric(name, kind, labels)
            return None
        with self._lock:
            instrument = self._instrument_by_name.get(name)
            if instrument is None:
                instrument = _make_instrument(row, self._registry)
                self._instrument_by_name[name] = instrument
            known_series = self._series_count_by_name.get(name, 0)
            if known_series >= MAX_SERIES:
                overflow = dict.fromkeys(row.labels, _OVERFLOW_LABEL_VALUE)
                return _make_recorder(row, instrument, overflow)
            self._series_count_by_name[name] = known_series + 1
            recorder = _make_recorder(row, instrument, labels)
            self._recorder_by_series[key] = recorder
        return recorder

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


def _make_instrument(
    metric: _metric_names.Metric, registry: prometheus_client.CollectorRegistry
) -> _Instrument:
    """Creates the instrument of a metric and registers it."""
    name = f"{_METRIC_NAME_PREFIX}_{metric.name}"
    unit = _UNIT_NAME_BY_UNIT.get(metric.unit, metric.unit)
    labels = metric.labels
    match metric.kind:
        case _metric_names.MetricKind.COUNTER:
            return prometheus_client.Counter(
                name, metric.help, labels, unit=unit, registry=registry
            )
        case _metric_names.MetricKind.GAUGE:
            return prometheus_client.Gauge(
                name, metric.help, labels, unit=unit, registry=registry
            )
        case _metric_names.MetricKind.HISTOGRAM:
            return prometheus_client.Histogram(
                name,
                metric.help,
                labels,
                unit=unit,
                registry=registry,
                buckets=(
                    _BUCKET_BOUNDARIES_S
                    if metric.unit == "s"
                    else _COUNT_BUCKET_BOUNDARIES
                ),
            )


def _make_recorder(
    metric: _metric_names.Metric,
    instrument: _Instrument,
    labels: dict[str, str],
) -> _Recorder:
    """Returns the function that records a value of one series.

    A label that is not given is exported as an empty value, which Prometheus
    takes for a label that is not there.
    """
    series = (
        instrument.labels(*(labels.get(each, "") for each in metric.labels))
        if metric.labels
        else instrument
    )
    if isinstance(series, prometheus_client.Counter):
        return series.inc
    if isinstance(series, prometheus_client.Gauge):
        return series.set
    return series.observe

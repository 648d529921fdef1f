"""Definitions of all metrics: name, kind, unit, labels and help text."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Type of a metric, which decides how its values are aggregated."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """Definition of one metric.

    Attributes:
        name: Name without the ``basiljunction_`` prefix, unit and ``_total``
            that the exporter adds.
        kind: Counter, gauge or histogram.
        unit: Unit, such as ``s``; empty for a number without a unit.
        help: Description that is exported with the metric.
        labels: Names of the labels that it may have.
    """

    name: str
    kind: Kind
    unit: str
    help: str
    labels: tuple[str, ...] = ()


_CLASS_LABELS = ("customer", "class_name")
"""Labels of metrics that are kept per customer and work class."""

TABLE = (
    Metric(
        "request_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from receiving a whole request to its answer, by outcome",
        (*_CLASS_LABELS, "outcome"),
    ),
    Metric(
        "requests",
        Kind.COUNTER,
        "",
        "Requests for services, by outcome, step and reason",
        (*_CLASS_LABELS, "outcome", "step", "reason"),
    ),
    Metric(
        "http_responses",
        Kind.COUNTER,
        "",
        "Responses of the HTTP server",
        ("route", "status"),
    ),
    Metric(
        "publish_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a publish request until its verdict is read from the log",
        ("verdict",),
    ),
    Metric(
        "jobs_submitted",
        Kind.COUNTER,
        "",
        "Jobs by verdict of their submission",
        (*_CLASS_LABELS, "verdict"),
    ),
    Metric(
        "contract_version",
        Kind.GAUGE,
        "",
        "Version of the contract in force on this instance",
        ("customer",),
    ),
    Metric(
        "task_events",
        Kind.COUNTER,
        "",
        "Task events recorded by this instance: claimed, evicted,"
        " released, failed, completed, ended",
        (*_CLASS_LABELS, "event"),
    ),
    Metric(
        "task_run_time",
        Kind.HISTOGRAM,
        "s",
        "Run time of completed tasks",
        _CLASS_LABELS,
    ),
    Metric(
        "records_rejected",
        Kind.COUNTER,
        "",
        "Records of this instance that were rejected when read from the log",
        ("record", "reason"),
    ),
    Metric(
        "takeovers",
        Kind.COUNTER,
        "",
        "Take-overs of another instance that this instance recorded",
    ),
    Metric(
        "log_round_trip",
        Kind.HISTOGRAM,
        "s",
        "Time from the first attempt of an append until it is read back",
    ),
    Metric(
        "requests_in_flight",
        Kind.GAUGE,
        "",
        "Requests and forwarded attempts in progress on this instance",
    ),
    Metric(
        "lease_left",
        Kind.GAUGE,
        "s",
        "Time until this instance's lease expires; 0 if it holds none",
    ),
    Metric(
        "urgent_queued",
        Kind.GAUGE,
        "",
        "Requests waiting for a slot on this instance's executors",
    ),
    Metric(
        "executor_calls",
        Kind.COUNTER,
        "",
        "Calls to executors, by outcome and reason",
        ("executor", "outcome", "reason"),
    ),
    Metric(
        "executor_call_duration",
        Kind.HISTOGRAM,
        "s",
        "Duration of a call to an executor, by class and outcome",
        (*_CLASS_LABELS, "outcome"),
    ),
    Metric(
        "calls",
        Kind.COUNTER,
        "",
        "Client calls to the platform, by kind and outcome",
        ("kind", "outcome"),
    ),
    Metric(
        "call_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a client's call to its answer, on the platform",
        ("kind", "outcome"),
    ),
    Metric(
        "outgoing_calls",
        Kind.COUNTER,
        "",
        "Calls to the store, executors and instances, by operation and status",
        ("operation", "status"),
    ),
    Metric(
        "outgoing_call_duration",
        Kind.HISTOGRAM,
        "s",
        "Duration of a call; a read or renewal includes its requested wait",
        ("operation",),
    ),
    Metric(
        "cell_decisions",
        Kind.COUNTER,
        "",
        "Scheduler decisions, by log event name",
        ("event",),
    ),
    Metric(
        "task_ends", Kind.COUNTER, "", "Ended runs, by kind of end", ("how",)
    ),
    Metric(
        "task_start_wait",
        Kind.HISTOGRAM,
        "s",
        "Time from when a task could start until its start order",
    ),
    Metric(
        "job_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a job's acceptance to its final state",
        ("state",),
    ),
    Metric(
        "cell_pass_duration",
        Kind.HISTOGRAM,
        "s",
        "Duration of one scheduling pass",
    ),
    Metric(
        "cell_term",
        Kind.GAUGE,
        "",
        "Epoch of this instance's term as scheduling leader; 0 if it is none",
    ),
    Metric("cell_jobs", Kind.GAUGE, "", "Jobs that are not in a final state"),
    Metric("cell_tasks_waiting", Kind.GAUGE, "", "Tasks that could start now"),
    Metric("cell_runs", Kind.GAUGE, "", "Runs by kind of task", ("kind",)),
    Metric("cell_executors", Kind.GAUGE, "", "Executors by state", ("state",)),
    Metric(
        "cell_over_target",
        Kind.GAUGE,
        "",
        "Serving tasks whose tail latency is over its target",
    ),
    Metric(
        "cell_fillers_paced",
        Kind.GAUGE,
        "",
        "Filler tasks that are slowed down",
    ),
    Metric(
        "cell_booked_share",
        Kind.GAUGE,
        "",
        "Reserved share of the listed executors' processors",
    ),
    Metric(
        "configuration_version",
        Kind.GAUGE,
        "",
        "Version of the platform's configuration in force",
    ),
    Metric("ready", Kind.GAUGE, "", "1 while this instance accepts new work"),
)
"""All metrics; a value under any other name is dropped and logged."""

BY_NAME = {metric.name: metric for metric in TABLE}
"""Maps a metric's name to its definition."""

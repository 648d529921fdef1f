"""Definitions of all metrics: name, kind, unit, labels and help text."""

import dataclasses
import enum


class MetricKind(enum.StrEnum):
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
    kind: MetricKind
    unit: str
    help: str
    labels: tuple[str, ...] = ()


_CLASS_LABELS = ("customer", "class_name")
"""Labels of metrics that are kept per customer and work class."""

METRICS = (
    Metric(
        "request_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Time from receiving a whole request to its answer, by outcome",
        (*_CLASS_LABELS, "outcome"),
    ),
    Metric(
        "requests",
        MetricKind.COUNTER,
        "",
        "Requests for services, by outcome, step and reason",
        (*_CLASS_LABELS, "outcome", "step", "reason"),
    ),
    Metric(
        "http_responses",
        MetricKind.COUNTER,
        "",
        "Responses of the HTTP server",
        ("route", "status"),
    ),
    Metric(
        "publish_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Time from a publish request until its verdict is read from the log",
        ("verdict",),
    ),
    Metric(
        "jobs_submitted",
        MetricKind.COUNTER,
        "",
        "Jobs by verdict of their submission",
        (*_CLASS_LABELS, "verdict"),
    ),
    Metric(
        "contract_version",
        MetricKind.GAUGE,
        "",
        "Version of the contract in force on this instance",
        ("customer",),
    ),
    Metric(
        "task_events",
        MetricKind.COUNTER,
        "",
        "Task events recorded by this instance: claimed, evicted,"
        " released, failed, completed, ended",
        (*_CLASS_LABELS, "event"),
    ),
    Metric(
        "task_run_time",
        MetricKind.HISTOGRAM,
        "s",
        "Run time of completed tasks",
        _CLASS_LABELS,
    ),
    Metric(
        "records_rejected",
        MetricKind.COUNTER,
        "",
        "Records of this instance that were rejected when read from the log",
        ("record", "reason"),
    ),
    Metric(
        "takeovers",
        MetricKind.COUNTER,
        "",
        "Take-overs of another instance that this instance recorded",
    ),
    Metric(
        "log_round_trip",
        MetricKind.HISTOGRAM,
        "s",
        "Time from the first attempt of an append until it is read back",
    ),
    Metric(
        "requests_in_flight",
        MetricKind.GAUGE,
        "",
        "Requests and forwarded attempts in progress on this instance",
    ),
    Metric(
        "lease_left",
        MetricKind.GAUGE,
        "s",
        "Time until this instance's lease expires; 0 if it holds none",
    ),
    Metric(
        "urgent_queued",
        MetricKind.GAUGE,
        "",
        "Requests waiting for a slot on this instance's executors",
    ),
    Metric(
        "executor_calls",
        MetricKind.COUNTER,
        "",
        "Calls to executors, by outcome and reason",
        ("executor", "outcome", "reason"),
    ),
    Metric(
        "executor_call_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Duration of a call to an executor, by class and outcome",
        (*_CLASS_LABELS, "outcome"),
    ),
    Metric(
        "calls",
        MetricKind.COUNTER,
        "",
        "Client calls to the platform, by kind and outcome",
        ("kind", "outcome"),
    ),
    Metric(
        "call_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Time from a client's call to its answer, on the platform",
        ("kind", "outcome"),
    ),
    Metric(
        "outgoing_calls",
        MetricKind.COUNTER,
        "",
        "Calls to the store, executors and instances, by operation and status",
        ("operation", "status"),
    ),
    Metric(
        "outgoing_call_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Duration of a call; a read or renewal includes its requested wait",
        ("operation",),
    ),
    Metric(
        "cell_decisions",
        MetricKind.COUNTER,
        "",
        "Scheduler decisions, by log event name",
        ("event",),
    ),
    Metric(
        "task_ends",
        MetricKind.COUNTER,
        "",
        "Ended runs, by kind of end",
        ("how",),
    ),
    Metric(
        "task_start_wait",
        MetricKind.HISTOGRAM,
        "s",
        "Time from when a task could start until its start order",
    ),
    Metric(
        "job_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Time from a job's acceptance to its final state",
        ("state",),
    ),
    Metric(
        "cell_pass_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Duration of one scheduling pass",
    ),
    Metric(
        "cell_term",
        MetricKind.GAUGE,
        "",
        "Epoch of this instance's term as scheduling leader; 0 if it is none",
    ),
    Metric(
        "cell_term_stage",
        MetricKind.GAUGE,
        "",
        "1 for the stage of the term that this instance holds, else 0",
        ("stage",),
    ),
    Metric(
        "cell_term_unanswered",
        MetricKind.GAUGE,
        "s",
        "Time for which the held term has not answered calls; 0 if it does",
    ),
    Metric(
        "cell_term_idle",
        MetricKind.GAUGE,
        "s",
        "Time for which a term that answers no calls has not advanced",
    ),
    Metric(
        "cell_recovery_pages",
        MetricKind.GAUGE,
        "",
        "Pages that the newest term held here has read to recover",
    ),
    Metric(
        "cell_recovery_records",
        MetricKind.GAUGE,
        "",
        "Records that the newest term held here has read to recover",
    ),
    Metric(
        "cell_recovery_bytes",
        MetricKind.GAUGE,
        "",
        "Bytes that the newest term held here has read to recover",
    ),
    Metric(
        "cell_tick_lag",
        MetricKind.HISTOGRAM,
        "s",
        "Time by which a pass of the cell task's loop was late",
    ),
    Metric(
        "oldest_call_wait",
        MetricKind.GAUGE,
        "s",
        "Age of the oldest client call that waits for an answer, by kind",
        ("kind",),
    ),
    Metric(
        "cell_jobs", MetricKind.GAUGE, "", "Jobs that are not in a final state"
    ),
    Metric(
        "cell_tasks_waiting", MetricKind.GAUGE, "", "Tasks that could start now"
    ),
    Metric(
        "cell_steps_skipped",
        MetricKind.GAUGE,
        "",
        "Waiting steps that the last placement pass left to later ones",
    ),
    Metric(
        "cell_approval_calls",
        MetricKind.GAUGE,
        "",
        "Requests to the approval policy that wait for an answer",
    ),
    Metric(
        "cell_job_memory",
        MetricKind.GAUGE,
        "By",
        "Estimated memory of all jobs, and the limit at which more are refused",
        ("kind",),
    ),
    Metric(
        "cell_runs", MetricKind.GAUGE, "", "Runs by kind of task", ("kind",)
    ),
    Metric(
        "cell_executors", MetricKind.GAUGE, "", "Executors by state", ("state",)
    ),
    Metric(
        "cell_over_target",
        MetricKind.GAUGE,
        "",
        "Serving tasks whose tail latency is over its target",
    ),
    Metric(
        "cell_over_target_duration",
        MetricKind.HISTOGRAM,
        "s",
        "Times of 1 s and more for which the reported tail latency of a serving"
        " task was over its target beside fillers at work",
    ),
    Metric(
        "cell_fillers_paced",
        MetricKind.GAUGE,
        "",
        "Filler tasks that are slowed down",
    ),
    Metric(
        "cell_booked_share",
        MetricKind.GAUGE,
        "",
        "Reserved share of the listed executors' processors",
    ),
    Metric(
        "configuration_version",
        MetricKind.GAUGE,
        "",
        "Version of the platform's configuration in force",
    ),
    Metric(
        "ready", MetricKind.GAUGE, "", "1 while this instance accepts new work"
    ),
)
"""All metrics; a value under any other name is dropped and logged."""

METRIC_BY_NAME = {metric.name: metric for metric in METRICS}
"""Maps a metric's name to its definition."""

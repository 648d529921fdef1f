"""The table of metrics: name, kind, unit, labels and help of each."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """How the values of a metric add up."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One row of the table.

    Attributes:
        name: Name without the ``basiljunction_`` prefix, unit and ``_total``
            that the exporter adds.
        kind: How its values add up.
        unit: Unit, or empty for a bare count.
        help: What it says.
        labels: Names of its labels.
    """

    name: str
    kind: Kind
    unit: str
    help: str
    labels: tuple[str, ...] = ()


_CLASS = ("customer", "class_name")

TABLE = (
    Metric(
        "request_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a whole request to its answer, by tagged outcome",
        (*_CLASS, "outcome"),
    ),
    Metric(
        "requests",
        Kind.COUNTER,
        "",
        "Requests for services, by tagged outcome, step and reason",
        (*_CLASS, "outcome", "step", "reason"),
    ),
    Metric(
        "http_responses",
        Kind.COUNTER,
        "",
        "Answers of the HTTP server",
        ("route", "status"),
    ),
    Metric(
        "publish_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a publish request to its verdict read back",
        ("verdict",),
    ),
    Metric(
        "jobs_submitted",
        Kind.COUNTER,
        "",
        "Jobs by verdict of their submission",
        (*_CLASS, "verdict"),
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
        "What this instance's records did to tasks: claimed, evicted,"
        " released, failed, completed, ended",
        (*_CLASS, "event"),
    ),
    Metric(
        "task_run_time",
        Kind.HISTOGRAM,
        "s",
        "Run time of completed tasks",
        _CLASS,
    ),
    Metric(
        "records_rejected",
        Kind.COUNTER,
        "",
        "Records of this instance that did not fit when they were read back",
        ("record", "reason"),
    ),
    Metric(
        "takeovers",
        Kind.COUNTER,
        "",
        "Take-overs that this instance's record brought about",
    ),
    Metric(
        "log_round_trip",
        Kind.HISTOGRAM,
        "s",
        "Time from the first try of an append until it was read back",
    ),
    Metric(
        "requests_in_flight",
        Kind.GAUGE,
        "",
        "Requests and forwarded tries without an outcome on this instance",
    ),
    Metric(
        "lease_left",
        Kind.GAUGE,
        "s",
        "Time for which this instance may still start work; 0 if it may not",
    ),
    Metric(
        "urgent_queued",
        Kind.GAUGE,
        "",
        "Requests that wait for a slot of this instance's executors",
    ),
    Metric(
        "executor_calls",
        Kind.COUNTER,
        "",
        "Calls to executors, by tagged outcome and reason",
        ("executor", "outcome", "reason"),
    ),
    Metric(
        "executor_call_duration",
        Kind.HISTOGRAM,
        "s",
        "Time of a call to an executor, by class and tagged outcome",
        (*_CLASS, "outcome"),
    ),
    Metric(
        "calls",
        Kind.COUNTER,
        "",
        "Callers' calls on the platform, by kind and outcome",
        ("kind", "outcome"),
    ),
    Metric(
        "call_duration",
        Kind.HISTOGRAM,
        "s",
        "Time from a caller's call to its answer, on the platform",
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
        "Time of a call; a read or renewal includes the wait it asks for",
        ("operation",),
    ),
    Metric(
        "cell_decisions",
        Kind.COUNTER,
        "",
        "Decisions of the scheduler, by the event that the log names",
        ("event",),
    ),
    Metric("task_ends", Kind.COUNTER, "", "Runs that ended, by how", ("how",)),
    Metric(
        "task_start_wait",
        Kind.HISTOGRAM,
        "s",
        "Time from a task's turn to its start order",
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
        "Time of one look of the scheduler at what is due",
    ),
    Metric(
        "cell_term",
        Kind.GAUGE,
        "",
        "Epoch of the term that this instance schedules in; 0 for none",
    ),
    Metric("cell_jobs", Kind.GAUGE, "", "Jobs that are not final"),
    Metric("cell_tasks_waiting", Kind.GAUGE, "", "Tasks that could start now"),
    Metric("cell_runs", Kind.GAUGE, "", "Runs by kind of task", ("kind",)),
    Metric("cell_executors", Kind.GAUGE, "", "Executors by state", ("state",)),
    Metric(
        "cell_over_target",
        Kind.GAUGE,
        "",
        "Serving tasks whose tail is over its target",
    ),
    Metric(
        "cell_fillers_paced", Kind.GAUGE, "", "Fillers that are slowed down"
    ),
    Metric(
        "cell_booked_share",
        Kind.GAUGE,
        "",
        "Booked share of the processors of the listed executors",
    ),
    Metric(
        "configuration_version",
        Kind.GAUGE,
        "",
        "Version of the platform's configuration in force",
    ),
    Metric("ready", Kind.GAUGE, "", "1 while this instance takes new work"),
)
"""Every metric; a value under another name is refused."""

BY_NAME = {metric.name: metric for metric in TABLE}

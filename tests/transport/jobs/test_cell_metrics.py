"""Tests of the metrics of a scheduling cell and of the app serving them."""

import pytest
from werkzeug import test

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _summary
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_metrics
from basiljunction.transport.jobs import _metrics_app
import cell_rig
import workload_builders as build


def _exposition_text(metrics: _metrics.Metrics) -> str:
    """Returns the metrics in the Prometheus text format."""
    return metrics.render_prometheus_text().decode()


def _run_job_of_two_tasks() -> tuple[
    _metrics.Metrics, _cell_metrics.CellMetrics
]:
    """Runs one job of two tasks on a cell rig and counts its decisions."""
    rig = cell_rig.CellRig()
    metrics = _metrics.Metrics()
    cell = _cell_metrics.CellMetrics(metrics)
    rig.on_note = cell.count_decision
    rig.run(1)
    rig.submit(build.accepted_job(build.step_spec(count=2)))
    rig.run(0.2)
    summary = _summary.summarize_cell(rig.scheduler.cell, rig.now_s)
    cell.set_summary(rig.epoch, summary)
    rig.run(3)
    return metrics, cell


class TestCellMetrics:
    """Each decision is counted under its log event name."""

    @pytest.mark.parametrize(
        "line",
        [
            'basiljunction_cell_decisions_total{event="job.queued"} 1.0',
            'basiljunction_cell_decisions_total{event="task.started"} 2.0',
            'basiljunction_task_ends_total{how="done"} 2.0',
            "basiljunction_task_start_wait_seconds_count 2.0",
            'basiljunction_job_duration_seconds_count{state="completed"} 1.0',
            'basiljunction_cell_runs{kind="other"} 2.0',
            'basiljunction_cell_executors{state="usable"} 1.0',
            "basiljunction_cell_term 1.0",
        ],
    )
    def test_a_job_shows(self, line: str) -> None:
        metrics, _ = _run_job_of_two_tasks()
        assert line in _exposition_text(metrics).splitlines()

    def test_an_instance_that_schedules_no_more_shows_no_term(self) -> None:
        metrics, cell = _run_job_of_two_tasks()
        cell.clear_term()
        assert (
            "basiljunction_cell_term 0.0"
            in _exposition_text(metrics).splitlines()
        )

    def test_an_event_without_a_metric_of_its_own_is_counted(self) -> None:
        metrics = _metrics.Metrics()
        _cell_metrics.CellMetrics(metrics).count_decision(
            _notes.Note("any", {})
        )
        assert 'cell_decisions_total{event="any"} 1.0' in _exposition_text(
            metrics
        )


class TestMetricsApp:
    """The metrics are served as text at /metrics only, to GET and HEAD."""

    @pytest.mark.parametrize(
        ("method", "path", "status"),
        [
            ("GET", "/metrics", 200),
            ("HEAD", "/metrics", 200),
            ("POST", "/metrics", 405),
            ("GET", "/", 404),
        ],
    )
    def test_other_calls_are_refused(
        self, method: str, path: str, status: int
    ) -> None:
        app = _metrics_app.MetricsApp(_metrics.Metrics())
        answer = test.Client(app).open(path, method=method)
        assert answer.status_code == status

    def test_the_text_is_what_was_counted(self) -> None:
        metrics = _metrics.Metrics()
        metrics.count("calls", kind="submit", outcome="accepted")
        client = test.Client(_metrics_app.MetricsApp(metrics))
        text = client.get("/metrics").text
        assert 'basiljunction_calls_total{kind="submit",' in text

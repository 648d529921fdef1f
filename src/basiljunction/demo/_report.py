"""Renders the report of a run as text and charts."""

import dataclasses
import pathlib

import pygal
from pygal import style

from basiljunction.demo import _evidence
from basiljunction.demo import _figures
from basiljunction.demo import _invariants

MAX_SHOWN_VIOLATIONS = 5
"""Maximum number of violations listed for each invariant."""

CHART_WIDTH_PX = 1000
"""Width of the charts, in pixels."""

CHART_HEIGHT_PX = 520
"""Height of the charts, in pixels."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The figures and invariant results of one run.

    Attributes:
        title: Title of the run.
        notes: Lines about the deployments and the evidence.
        requests: Figures of the requests, by customer and class.
        tasks: Figures of the batch tasks, by customer and class.
        results: Results of all invariants, by customer.
    """

    title: str
    notes: tuple[str, ...]
    requests: tuple[_figures.RequestFigures, ...]
    tasks: tuple[_figures.TaskFigures, ...]
    results: dict[str, tuple[_invariants.InvariantResult, ...]]

    @property
    def all_invariants_held(self) -> bool:
        """Whether no invariant was violated."""
        return not any(
            result.violations
            for results in self.results.values()
            for result in results
        )

    def to_text(self) -> str:
        """Returns the report as plain text."""
        lines = [
            self.title,
            *self.notes,
            "",
            *self._request_lines(),
            "",
            *self._task_lines(),
            "",
            *self._invariant_lines(),
            "",
            "every invariant held"
            if self.all_invariants_held
            else "INVARIANTS VIOLATED",
        ]
        return "\n".join(lines) + "\n"

    def write_files(self, folder: pathlib.Path) -> None:
        """Writes the text and the charts into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "report.txt").write_text(self.to_text(), encoding="utf-8")
        charts = {
            "latency.svg": self._latency_chart(),
            "outcomes.svg": self._outcome_chart(),
            "tasks.svg": self._task_chart(),
        }
        for name, chart in charts.items():
            (folder / name).write_bytes(chart.render())

    def _request_lines(self) -> list[str]:
        """Returns the table of request figures."""
        lines = [
            "requests (latency at the caller, network delay included)",
            f"  {'customer':11} {'class':22} {'completed':>9} {'not run':>8} "
            f"{'unknown':>8} {'cut':>5} {'late':>5} {'p50 ms':>8} "
            f"{'p99 ms':>8} {'max ms':>8}",
        ]
        for each in self.requests:
            counts = each.count_by_outcome
            lines.append(
                f"  {each.customer:11} {each.class_name:22} "
                f"{counts[_evidence.RequestOutcome.COMPLETED]:9} "
                f"{counts[_evidence.RequestOutcome.NOT_RUN]:8} "
                f"{counts[_evidence.RequestOutcome.UNKNOWN]:8} "
                f"{counts[_evidence.RequestOutcome.CUT]:5} {each.late_count:5} "
                f"{each.p50_ms:8.1f} {each.p99_ms:8.1f} {each.max_ms:8.1f}"
            )
        return lines

    def _task_lines(self) -> list[str]:
        """Returns the table of task figures."""
        lines = [
            "batch tasks (from the workers' journals)",
            f"  {'customer':11} {'class':24} {'started':>8} {'completed':>9} "
            f"{'evicted':>8} {'stopped':>8} {'lapsed':>7} {'failed':>7} "
            f"{'running':>8}",
        ]
        lines.extend(
            f"  {each.customer:11} {each.class_name:24} {each.started:8} "
            f"{each.completed:9} {each.evicted:8} {each.stopped:8} "
            f"{each.lapsed:7} {each.failed:7} {each.running:8}"
            for each in self.tasks
        )
        return lines

    def _invariant_lines(self) -> list[str]:
        """Returns the violation counts and the first violations of each."""
        lines = ["invariants (violations counted from journals and callers)"]
        for customer, results in self.results.items():
            lines.append(f"  {customer}")
            for result in results:
                invariant = result.invariant
                lines.append(
                    f"    {invariant.number:2} {invariant.title:56} "
                    f"{len(result.violations):6}"
                )
                shown = result.violations[:MAX_SHOWN_VIOLATIONS]
                lines.extend(f"         {each}" for each in shown)
        return lines

    def _latency_chart(self) -> pygal.Bar:
        """Returns a histogram of the latency of completed requests."""
        chart = pygal.Bar(**_chart_options("Latency of completed requests"))
        chart.x_title = "up to ms"
        chart.y_title = "requests"
        bounds = [str(each) for each in _figures.LATENCY_BUCKET_BOUNDS_MS]
        chart.x_labels = [*bounds, "more"]
        for each in self.requests:
            name = (
                f"{each.customer} {each.class_name}: p50 {each.p50_ms:.0f}, "
                f"p99 {each.p99_ms:.0f}, max {each.max_ms:.0f} ms"
            )
            chart.add(name, list(each.buckets))
        return chart

    def _outcome_chart(self) -> pygal.StackedBar:
        """Returns a chart of request outcomes by class."""
        chart = pygal.StackedBar(**_chart_options("Outcomes at the callers"))
        chart.y_title = "requests"
        chart.x_labels = [
            f"{each.customer} {each.class_name}" for each in self.requests
        ]
        for outcome in _evidence.RequestOutcome:
            counts = [each.count_by_outcome[outcome] for each in self.requests]
            chart.add(f"{outcome}: {sum(counts)}", counts)
        return chart

    def _task_chart(self) -> pygal.StackedBar:
        """Returns a chart of task attempts by class and how they ended."""
        chart = pygal.StackedBar(**_chart_options("Attempts of batch tasks"))
        chart.y_title = "attempts"
        chart.x_labels = [
            f"{each.customer} {each.class_name}" for each in self.tasks
        ]
        for name in ("completed", "evicted", "stopped", "lapsed", "failed"):
            counts = [getattr(each, name) for each in self.tasks]
            chart.add(f"{name}: {sum(counts)}", counts)
        return chart


def _chart_options(title: str) -> dict[str, object]:
    """Returns the pygal options that all charts share."""
    return {
        "title": title,
        "width": CHART_WIDTH_PX,
        "height": CHART_HEIGHT_PX,
        "style": style.CleanStyle,
        "legend_at_bottom": True,
        "legend_at_bottom_columns": 1,
        "truncate_legend": -1,
        "truncate_label": -1,
        "x_label_rotation": 20,
        "js": [],
    }

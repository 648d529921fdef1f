"""Turns decisions and accounts of a cell into metrics."""

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _summary
from basiljunction.transport import _metrics


class CellMetrics:
    """Counts what the scheduler of this instance decides.

    Args:
        metrics: Takes the values.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def noted(self, note: _notes.Note) -> None:
        """Counts one decision."""
        self._metrics.count("cell_decisions", event=note.event)
        fields = note.value_by_field
        if note.event == "task.started":
            self._metrics.observe("task_start_wait", float(fields["waited_s"]))
        elif note.event == "task.ended":
            self._metrics.count("task_ends", how=str(fields["how"]))
        elif note.event == "job.finished":
            state = str(fields["state"])
            self._metrics.observe(
                "job_duration", float(fields["age_s"]), state=state
            )

    def passed(self, seconds: float) -> None:
        """Takes the time of one look at what is due."""
        self._metrics.observe("cell_pass_duration", seconds)

    def summarized(self, epoch: int, summary: _summary.Summary) -> None:
        """Takes an account of the cell."""
        metrics = self._metrics
        metrics.set("cell_term", epoch)
        metrics.set("cell_jobs", summary.jobs)
        metrics.set("cell_tasks_waiting", summary.waiting_tasks)
        metrics.set("cell_runs", summary.serving_runs, kind="serving")
        metrics.set("cell_runs", summary.filler_runs, kind="filler")
        others = summary.runs - summary.serving_runs - summary.filler_runs
        metrics.set("cell_runs", others, kind="other")
        metrics.set("cell_executors", summary.executors, state="listed")
        metrics.set("cell_executors", summary.usable, state="usable")
        metrics.set("cell_executors", summary.serving, state="serving")
        metrics.set("cell_over_target", summary.over_target)
        metrics.set("cell_fillers_paced", summary.paced)
        metrics.set("cell_booked_share", summary.booked_share)

    def closed(self) -> None:
        """Takes note that this instance schedules no more."""
        self._metrics.set("cell_term", 0)

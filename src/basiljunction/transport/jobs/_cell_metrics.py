"""Exports decisions and summaries of a cell's scheduler as metrics."""

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _summary
from basiljunction.transport import _metrics


class CellMetrics:
    """Records the metrics of this instance's scheduler and its cell.

    A cell is a group of executors and jobs with one scheduler at a time.

    Args:
        metrics: Registry that receives the values.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def count_decision(self, note: _notes.Note) -> None:
        """Counts a scheduling decision by its event name.

        Also records the wait of a started task, the outcome of an ended task,
        the time of a serving task over its target and the duration of a
        finished job.
        """
        self._metrics.count("cell_decisions", event=note.event)
        fields = note.value_by_field
        if note.event == "task.started":
            self._metrics.observe("task_start_wait", float(fields["waited_s"]))
        elif note.event == "task.ended":
            self._metrics.count("task_ends", how=str(fields["how"]))
        elif note.event == "task.within-target":
            self._metrics.observe(
                "cell_over_target_duration", float(fields["for_s"])
            )
        elif note.event == "job.finished":
            state = str(fields["state"])
            self._metrics.observe(
                "job_duration", float(fields["age_s"]), state=state
            )

    def observe_pass_duration(self, seconds: float) -> None:
        """Records the duration of one scheduling pass, in seconds."""
        self._metrics.observe("cell_pass_duration", seconds)

    def set_summary(self, epoch: int, summary: _summary.CellSummary) -> None:
        """Sets the gauges of the cell from a summary of its state.

        Args:
            epoch: Epoch of the current scheduling term.
            summary: Counts of jobs, tasks, runs and executors.
        """
        metrics = self._metrics
        metrics.set("cell_term", epoch)
        metrics.set("cell_jobs", summary.jobs)
        metrics.set("cell_tasks_waiting", summary.waiting_tasks)
        metrics.set("cell_steps_skipped", summary.skipped_steps)
        metrics.set("cell_approval_calls", summary.approval_calls)
        metrics.set("cell_job_memory", summary.jobs_bytes, kind="used")
        metrics.set("cell_job_memory", summary.max_jobs_bytes, kind="limit")
        metrics.set("cell_runs", summary.serving_runs, kind="serving")
        metrics.set("cell_runs", summary.filler_runs, kind="filler")
        other_runs = summary.runs - summary.serving_runs - summary.filler_runs
        metrics.set("cell_runs", other_runs, kind="other")
        metrics.set("cell_executors", summary.executors, state="listed")
        metrics.set("cell_executors", summary.usable, state="usable")
        metrics.set("cell_executors", summary.awaited, state="awaited")
        metrics.set(
            "cell_executors", summary.omitting_ends, state="omitting-ends"
        )
        metrics.set("cell_executors", summary.serving, state="serving")
        metrics.set("cell_over_target", summary.over_target)
        metrics.set("cell_fillers_paced", summary.paced)
        metrics.set("cell_booked_share", summary.booked_share)

    def clear_term(self) -> None:
        """Sets the term metric to 0, which means no scheduling term is held."""
        self._metrics.set("cell_term", 0)

"""Metrics of an instance's own log records, by customer and class.

Every instance folds (applies to its state) the records of all instances. Each
counts only its own, so that the sum over the instances counts each record
once.
"""

from collections.abc import Callable

from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _verdict
from basiljunction.transport import _metrics

_EVENT_BY_TYPE: dict[type, str] = {
    _records.TaskClaimed: "claimed",
    _records.TaskEvicted: "evicted",
    _records.TaskReleased: "released",
    _records.TaskFailed: "failed",
    _records.TaskCompleted: "completed",
    _records.TaskEnded: "ended",
}

VerdictObserver = Callable[
    [_system.SystemState, tuple[_verdict.Verdict, ...], float], None
]
"""Receives the state after a fold, the verdicts on this instance's own
records, and the wall-clock time in Unix seconds."""


class OwnVerdictMetrics:
    """Records metrics about the verdicts on this instance's own records.

    Args:
        metrics: Receives the values.
    """

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._metrics = metrics

    def record_verdicts(
        self,
        state: _system.SystemState,
        own_verdicts: tuple[_verdict.Verdict, ...],
        wall_s: float,
    ) -> None:
        """Counts the verdicts, and measures the log's round-trip time.

        Args:
            state: The state after the records were folded.
            own_verdicts: Verdicts on this instance's records, in log order.
            wall_s: Current time, in Unix seconds.
        """
        for verdict in own_verdicts:
            self._record_verdict(state, verdict)
        if own_verdicts:
            lag_s = max(0.0, wall_s - own_verdicts[-1].wall_s)
            self._metrics.observe("log_round_trip", lag_s)

    def _record_verdict(
        self, state: _system.SystemState, verdict: _verdict.Verdict
    ) -> None:
        """Counts one verdict: a rejection, a take-over or a task event."""
        if not verdict.is_accepted:
            self._metrics.count(
                "records_rejected",
                record=type(verdict.record).__name__,
                reason=str(verdict.rejection_reason),
            )
            return
        record = verdict.record
        if isinstance(record, _records.TakenOver):
            self._metrics.count("takeovers")
        event = _EVENT_BY_TYPE.get(type(record))
        task = state.task_by_id.get(getattr(record, "task_id", ""))
        if event is None or task is None:
            return
        job = state.job_by_id[task.job_id].job
        self._record_task_event(job, record, event)

    def _record_task_event(
        self, job: _job.Job, record: _records.Record, event: str
    ) -> None:
        """Counts a task event, and observes a completed task's run time."""
        self._metrics.count(
            "task_events",
            customer=job.customer,
            class_name=job.class_name,
            event=event,
        )
        if isinstance(record, _records.TaskCompleted):
            self._metrics.observe(
                "task_run_time",
                record.run_time_s,
                customer=job.customer,
                class_name=job.class_name,
            )

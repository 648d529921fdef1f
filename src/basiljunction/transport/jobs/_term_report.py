"""Reports to log and metrics how far the held term and waiting calls are."""

from collections.abc import Mapping

import structlog

from basiljunction.coordination.leadership import _term_progress
from basiljunction.transport import _metrics

REPORT_INTERVAL_S = 1.0
"""Time between two reports, in seconds."""

_log = structlog.get_logger()


class TermReport:
    """Writes a report at most once per `REPORT_INTERVAL_S`.

    Args:
        metrics: Registry that receives the values.
        watch: Measures how long the term has not answered calls or advanced.
    """

    def __init__(
        self, metrics: _metrics.Metrics, watch: _term_progress.ProgressWatch
    ) -> None:
        self._metrics = metrics
        self._watch = watch
        self._next_report_s = 0.0
        self._longest_lag_s = 0.0

    def observe_tick_lag(self, lag_s: float) -> None:
        """Records how late a tick of the cell task ran, in seconds."""
        self._metrics.observe("cell_tick_lag", lag_s)
        self._longest_lag_s = max(self._longest_lag_s, lag_s)

    def is_due(self, now_s: float) -> bool:
        """Returns whether the next report is due."""
        return now_s >= self._next_report_s

    def write(
        self,
        epoch: int,
        progress: _term_progress.TermProgress | None,
        now_s: float,
        *,
        confirmed_s: float,
        oldest_wait_s_by_kind: Mapping[str, float],
    ) -> None:
        """Sets the metrics, and logs a held term that answers no calls.

        Args:
            epoch: Epoch of the held term.
            progress: Progress of the term; None if this instance holds none.
            now_s: Current time in seconds.
            confirmed_s: Time at which the store last confirmed the term.
            oldest_wait_s_by_kind: Age in seconds of the oldest waiting call of
                each kind.
        """
        self._next_report_s = now_s + REPORT_INTERVAL_S
        longest_lag_s, self._longest_lag_s = self._longest_lag_s, 0.0
        self._set_metrics(progress, now_s, oldest_wait_s_by_kind)
        if (
            progress is None
            or progress.stage is _term_progress.TermStage.ANSWERING
        ):
            return
        _log.info(
            "term.not-answering",
            epoch=epoch,
            stage=progress.stage.value,
            unanswered_s=round(self._watch.unanswered_s(now_s), 3),
            idle_s=round(self._watch.idle_s(now_s), 3),
            pages=progress.pages,
            records=progress.records,
            bytes=progress.bytes_read,
            last_failure=progress.last_failure,
            unconfirmed_s=round(now_s - confirmed_s, 3),
            longest_lag_s=round(longest_lag_s, 3),
            oldest_wait_s=round(
                max(oldest_wait_s_by_kind.values(), default=0.0), 3
            ),
        )

    def _set_metrics(
        self,
        progress: _term_progress.TermProgress | None,
        now_s: float,
        oldest_wait_s_by_kind: Mapping[str, float],
    ) -> None:
        """Sets the gauges of the term and of the waiting calls."""
        metrics = self._metrics
        for stage in _term_progress.TermStage:
            is_current = progress is not None and progress.stage is stage
            metrics.set("cell_term_stage", int(is_current), stage=stage.value)
        metrics.set("cell_term_unanswered", self._watch.unanswered_s(now_s))
        metrics.set("cell_term_idle", self._watch.idle_s(now_s))
        for kind, wait_s in oldest_wait_s_by_kind.items():
            metrics.set("oldest_call_wait", wait_s, kind=kind)
        if (
            progress is not None
            and progress.stage is not _term_progress.TermStage.ANSWERING
        ):
            metrics.set("cell_recovery_pages", progress.pages)
            metrics.set("cell_recovery_records", progress.records)
            metrics.set("cell_recovery_bytes", progress.bytes_read)

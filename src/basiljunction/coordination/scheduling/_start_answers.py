"""Applies what became of a start order to its run."""

from basiljunction.coordination.scheduling import _begun_tasks
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time


class StartAnswers:
    """Applies the answers to start orders, and that there was none.

    Args:
        cell: The scheduler's state.
        crashes: Recorder of crashes, for which some starts are attempts.
    """

    def __init__(
        self, cell: _cell_state.CellState, crashes: _crashes.CrashRecorder
    ) -> None:
        self._cell = cell
        self._crashes = crashes

    def apply(
        self,
        executor: _executors.ExecutorState,
        run: _runs.Run,
        result: _orders.StartResult,
        now: _time.Now,
    ) -> None:
        """Updates a run after its start order was answered or got no answer.

        Args:
            executor: The executor of the run.
            run: The run.
            result: What became of the order.
            now: The time.
        """
        cell = self._cell
        if result is _orders.StartResult.NOT_APPROVED:
            key = (run.task.job, run.task.occurrence, run.task.step)
            cell.approvals.expire_rejected_approval(key, run.executor)
            cell.release_run(
                executor, run, now, delay_s=_limits.RENEWAL_RETRY_S
            )
            return
        if result.will_never_run:
            self._keep_away(executor, run, result, now)
            self._crashes.withdraw_attempt(run)
            cell.release_run(
                executor, run, now, delay_s=_limits.RENEWAL_DELAY_S
            )
            return
        if run.phase is not _runs.RunPhase.ORDERED:
            return
        if result is _orders.StartResult.STARTED:
            run.mark_running(now.boot_s)
            _begun_tasks.record_begin(cell, run)
            cell.orders += cell.sharing.slow_started_fillers(executor)
        else:
            run.mark_unsettled(now.boot_s)

    def _keep_away(
        self,
        executor: _executors.ExecutorState,
        run: _runs.Run,
        result: _orders.StartResult,
        now: _time.Now,
    ) -> None:
        """Keeps all tasks off an executor for a while, or only the one.

        Otherwise it may be chosen for the task again and again.
        """
        avoid_s = _AVOIDANCE_S_BY_RESULT.get(result)
        if avoid_s is not None:
            executor.avoid_until_s = now.boot_s + avoid_s
            self._cell.note(
                "executor.avoided",
                executor=run.executor,
                reason=result.value,
                for_s=avoid_s,
            )
            return
        job = self._cell.find_job(run.task)
        if job is not None:
            job.record_lost_start(
                _cell_state.place_in_job(run.task), run.executor
            )


_AVOIDANCE_S_BY_RESULT = {
    _orders.StartResult.UNHEALTHY: _limits.UNHEALTHY_AVOID_S,
    _orders.StartResult.OTHER_LIFE: _limits.UNHEALTHY_AVOID_S,
    _orders.StartResult.NO_ROOM: _limits.RENEWAL_RETRY_S,
}
"""Seconds without placement on an executor after it refused a start order."""

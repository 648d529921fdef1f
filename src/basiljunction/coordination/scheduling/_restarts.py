"""Restarts of executors: how they are noticed, and what ends with them.

An executor that restarts may keep its id. It knows nothing of before, and its
clock and the numbers of its ends begin anew.
"""

from collections.abc import Callable

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _clock_reading
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _executor


class RestartHandler:
    """Resets executors whose process has ended, and releases its runs.

    Args:
        cell: The scheduler's state.
        crashes: Records what crashed executors ran.
    """

    def __init__(
        self, cell: _cell_state.CellState, crashes: _crashes.CrashRecorder
    ) -> None:
        self._cell = cell
        self._crashes = crashes

    def handle_clock(
        self,
        executor_id: str,
        known: _clock_reading.ClockReading,
        clock_ms: int,
        now: _time.Now,
        *,
        sent_s: float,
    ) -> None:
        """Notices a restart by the clock in the answer to an order.

        Args:
            executor_id: Id of the executor.
            known: Reading of its clock that was known when the order was sent.
            clock_ms: Reading in the answer, in milliseconds.
            now: The time.
            sent_s: When the order was sent, in seconds.
        """
        executor = self._cell.executor_by_id.get(executor_id)
        if executor is None or executor.clock.restarts != known.restarts:
            return
        # Answers may overtake each other, but not what was known before.
        if clock_ms < known.clock_ms:
            self.end_incarnation(executor, now, clock_ms=clock_ms)
            return
        passed_ms = (sent_s - known.read_s) * 1000 / _limits.MAX_CLOCK_SLOWNESS
        least_ms = known.clock_ms + passed_ms - _limits.CLOCK_READING_MARGIN_MS
        if clock_ms < least_ms:
            # A young incarnation may have been followed by another. That is not
            # certain enough to release its runs.
            executor.assume_longest_lease(
                now.boot_s, self._cell.times.longest_lease_s
            )

    def handle_incarnation_check(
        self,
        executor_id: str,
        known: _clock_reading.ClockReading,
        report: _executor.LeaseRenewalReply,
        now: _time.Now,
    ) -> bool:
        """Notices a restart by what an executor says of itself.

        Args:
            executor_id: Id of the executor.
            known: Reading of its clock that was known when it was asked.
            report: The answer.
            now: The time.

        Returns:
            Whether it is the incarnation that has listed its runs last.
        """
        # A start time that is missing tells nothing, its clock does.
        self.handle_clock(
            executor_id, known, report.clock_ms, now, sent_s=known.read_s
        )
        executor = self._cell.executor_by_id.get(executor_id)
        if executor is None or not executor.has_listed_runs:
            return False
        if executor.is_same_incarnation(report):
            return True
        if executor.clock.restarts == known.restarts:
            self.end_incarnation(
                executor, now, clock_ms=report.clock_ms, cause="checked"
            )
        return False

    def handle_refusal(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Resets an executor whose address another one has taken.

        The process to which all orders went is gone, and with it each order
        that it had not carried out, so nothing of it goes on. Further refusals
        tell nothing new until it has answered, so they are asked for ever less
        often.

        Args:
            executor: The executor, whose newest renewal was refused. One to an
                outdated address, or from before a restart that is known, says
                nothing of its present incarnation.
            now: The time.
        """
        if (
            executor.renewal_address != executor.listing.address
            or executor.renewal_restarts != executor.clock.restarts
        ):
            return
        if not _is_known_to_be_gone(executor):
            # A later reading below it would be taken for another restart.
            self._reset_incarnation(
                executor,
                now,
                cause="refused",
                clock_ms=0,
                lease_s=0.0,
                ends_run=lambda _: True,
            )
        refused_for_s = now.boot_s - executor.clock.read_s
        executor.next_renewal_s = now.boot_s + min(
            max(refused_for_s, _limits.RENEWAL_RETRY_S),
            _limits.MAX_REFUSED_RETRY_S,
        )

    def end_incarnation(
        self,
        executor: _executors.ExecutorState,
        now: _time.Now,
        *,
        clock_ms: int,
        cause: str = "answered",
    ) -> None:
        """Resets an executor that has restarted and accepts orders.

        The runs that the old incarnation had listed are released. The new one
        may have begun the others, or still begin them. A deadline on the clock
        before is far ahead of the new one, so that orders on their way may have
        given it a lease of full length.

        Args:
            executor: The executor.
            now: The time.
            clock_ms: Reading of its clock.
            cause: How the restart became known, for the log.
        """
        self._reset_incarnation(
            executor,
            now,
            cause=cause,
            clock_ms=clock_ms,
            lease_s=self._cell.times.longest_lease_s,
            ends_run=_was_listed_before_restart,
        )
        for run in list(executor.run_by_key.values()):
            if run.phase in (_runs.RunPhase.ORDERED, _runs.RunPhase.UNSETTLED):
                executor.stop_run(run, now.boot_s)
            else:
                run.expect_next_listing(now.boot_s)

    def _reset_incarnation(
        self,
        executor: _executors.ExecutorState,
        now: _time.Now,
        *,
        cause: str,
        clock_ms: int,
        lease_s: float,
        ends_run: Callable[[_runs.Run], bool],
    ) -> None:
        """Resets an executor whose process has ended, and releases its runs.

        Args:
            executor: The executor.
            now: The time.
            cause: How the end became known, for the log.
            clock_ms: Lowest reading that its clock can have by now.
            lease_s: Longest lease that it can have by now, in seconds.
            ends_run: Tells whether a run has ended with the process.
        """
        self._cell.note(
            "executor.other-life",
            executor=executor.listing.id,
            cause=cause,
            clock_ms=clock_ms,
            known_clock_ms=executor.clock.clock_ms,
            runs=len(executor.run_by_key),
        )
        crash = self._crashes.find_crash(executor)
        executor.record_restart(now.boot_s, clock_ms=clock_ms, lease_s=lease_s)
        self._cell.begin_order_generation(executor)
        # A successor has to know of the restart before a task starts there.
        executor.is_roster_stored = False
        self._cell.roster_changed = True
        for run in list(executor.run_by_key.values()):
            self._cell.note(
                "task.life-ended",
                task=str(run.task),
                run=run.number,
                executor=executor.listing.id,
                phase=run.phase.value,
                phase_s=round(now.boot_s - run.phase_since_s, 3),
            )
            if ends_run(run):
                self._cell.release_run(executor, run, now)
        self._crashes.record_crash(executor, crash, now)


def _was_listed_before_restart(run: _runs.Run) -> bool:
    """Returns whether a run was certainly one of the incarnation before."""
    return run.was_listed and run.phase not in (
        _runs.RunPhase.ORDERED,
        _runs.RunPhase.UNSETTLED,
    )


def _is_known_to_be_gone(executor: _executors.ExecutorState) -> bool:
    """Returns whether a refusal was the last that was heard of an executor."""
    return (
        executor.clock.restarts > 0
        and not executor.has_listed_runs
        and not executor.run_by_key
        and executor.lease_until_ms <= executor.clock.clock_ms
    )

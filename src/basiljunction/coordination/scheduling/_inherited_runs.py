"""Waits for runs of earlier terms on executors that have not listed them."""

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.state import _time
from basiljunction.state.workload import _progress

NOTE_INTERVAL_S = 1.0
"""Interval between log entries about executors that are waited for, in
seconds."""


class InheritedRunWaits:
    """Ends the wait for an executor once earlier runs on it have ended.

    Tasks of inherited jobs start only when no executor is waited for on which
    they may run.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._next_note_s: float | None = None

    def tick(self, now: _time.Now) -> None:
        """Ends the waits that are over, and logs the others at intervals."""
        cell = self._cell
        if not cell.has_inherited_runs:
            return
        awaited = [
            each
            for each in cell.executor_by_id.values()
            if each.inherited_until_s is not None
        ]
        still_awaited = [
            each for each in awaited if not self._end_if_over(each, now)
        ]
        cell.has_inherited_runs = bool(still_awaited)
        if still_awaited:
            self._note_waits(still_awaited, now)
        else:
            cell.needs_placing = True

    def _end_if_over(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> bool:
        """Ends the wait for an executor if it is over; returns whether.

        One that answers and omits ends is waited for as long as its lease is
        renewed, as a good end of an earlier run counts until the lease lapses.
        """
        if (
            executor.inherited_until_s is None
            or now.boot_s <= executor.runs_end_by_s()
        ):
            return False
        executor.inherited_until_s = None
        self._cell.note(
            "executor.wait-expired",
            executor=executor.listing.id,
            listed=executor.is_listed,
        )
        return True

    def _note_waits(
        self, executors: list[_executors.ExecutorState], now: _time.Now
    ) -> None:
        """Logs for which executors tasks wait, and for how long at most."""
        if self._next_note_s is None:
            # Most executors answer within the first second.
            self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        if now.boot_s < self._next_note_s:
            return
        self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        last = max(executors, key=_awaited_until_s)
        self._cell.note(
            "recovery.waiting",
            executors=len(executors),
            unlisted=sum(not each.is_listed for each in executors),
            last_executor=last.listing.id,
            longest_s=round(_awaited_until_s(last) - now.boot_s, 3),
        )


def may_run_unlisted(
    cell: _cell_state.CellState,
    job: _jobs.Job,
    place: _progress.TaskPosition,
) -> bool:
    """Returns whether a task may run on an executor that has not told so.

    A run of an earlier term is then on an executor that did not list its runs
    in this one. Where the executor of the last run is known, only that one
    counts.
    """
    if not (job.is_inherited and cell.has_inherited_runs):
        return False
    step = job.spec.steps[place[1]]
    if step.speculative:
        return True
    if place in job.adopted_places:
        return False
    executor_by_position = job.progress.executor_by_position
    if (
        not step.runs_until_cancelled
        or not cell.knows_inherited_executors
        or executor_by_position is None
    ):
        return True
    executor = cell.executor_by_id.get(executor_by_position.get(place, ""))
    return executor is not None and executor.inherited_until_s is not None


def _awaited_until_s(executor: _executors.ExecutorState) -> float:
    """Returns when the wait for an executor ends if it falls silent now."""
    return executor.runs_end_by_s()

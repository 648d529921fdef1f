"""Resolves runs that an executor's answer to a lease renewal leaves out."""

from collections.abc import Container

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time


def settle_unlisted_runs(
    cell: _cell_state.CellState,
    executor: _executors.ExecutorState,
    listed_keys: Container[_executors.RunKey],
    sent_s: float,
    now: _time.Now,
) -> None:
    """Resolves runs that are missing from an executor's answer.

    An answer only counts for a run if its renewal was sent after the run's
    last change. If it may omit ends, a missing run of an unfinished task may
    have ended in any way, and is left as it is.

    Args:
        cell: The scheduler's state.
        executor: The executor that answered.
        listed_keys: Tasks and run numbers that the answer lists as running.
        sent_s: When the renewal was sent.
        now: The time.
    """
    for key, run in list(executor.run_by_key.items()):
        if key in listed_keys:
            continue
        if executor.may_omit_ends and cell.is_task_unfinished(run.task):
            continue
        may_not_exist = run.phase is _runs.RunPhase.UNSETTLED or (
            run.phase is _runs.RunPhase.RUNNING and not run.was_listed
        )
        if may_not_exist and sent_s > run.phase_since_s:
            cell.note(
                "task.unsettled",
                task=str(run.task),
                run=run.number,
                executor=executor.listing.id,
            )
            job = cell.find_job(run.task)
            if job is not None:
                job.record_unlisted_start(
                    _cell_state.place_in_job(run.task), run.executor
                )
            executor.stop_run(run, now.boot_s)
        elif (
            run.phase is _runs.RunPhase.STOPPING
            and run.stop_answered_s is not None
            and sent_s > run.stop_answered_s
        ):
            cell.note(
                "task.released",
                task=str(run.task),
                run=run.number,
                executor=executor.listing.id,
                listed=run.was_listed,
            )
            cell.release_run(executor, run, now)
        elif (
            run.phase is _runs.RunPhase.RUNNING
            and sent_s > run.phase_since_s
            and not cell.is_task_unfinished(run.task)
        ):
            # A gang reports one end for all of its members.
            cell.release_run(executor, run, now)

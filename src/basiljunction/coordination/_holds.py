"""Holds workers for tasks that have waited long for free resources.

A held worker accepts no other task until the waiting one fits.
"""

from collections.abc import Iterable

from basiljunction.coordination import _batch_model
from basiljunction.state import _job

MIN_WORKERS_PER_HOLD = 8
"""At most one worker in this many may be held."""


def choose_worker_to_hold(
    workers: Iterable[_batch_model.Worker], reservation: _job.ResourceDemand
) -> _batch_model.Worker | None:
    """Returns the worker that is closest to fitting a task, or None.

    Workers that are held already or too small are left out.

    Args:
        workers: Workers that accept new tasks.
        reservation: Resources to reserve for the task.
    """
    candidates = [
        worker
        for worker in workers
        if not worker.held_for and _fits_capacity(worker, reservation)
    ]
    return min(
        candidates,
        key=lambda worker: _missing_share(worker, reservation),
        default=None,
    )


def may_hold_another_worker(workers: Iterable[_batch_model.Worker]) -> bool:
    """Returns whether few enough of an instance's workers are held."""
    held = [bool(worker.held_for) for worker in workers]
    return sum(held) * MIN_WORKERS_PER_HOLD < len(held)


def _fits_capacity(
    worker: _batch_model.Worker, reservation: _job.ResourceDemand
) -> bool:
    """Returns whether a reservation fits the empty worker."""
    capacity = worker.capacity
    return (
        reservation.millicores <= capacity.millicores
        and reservation.memory_mib <= capacity.memory_mib
        and reservation.accelerators <= capacity.accelerators
    )


def _missing_share(
    worker: _batch_model.Worker, reservation: _job.ResourceDemand
) -> float:
    """Returns the largest share of the worker that has to become free."""
    capacity = worker.capacity
    return max(
        (reservation.millicores - worker.free_millicores)
        / max(1, capacity.millicores),
        (reservation.memory_mib - worker.free_memory_mib)
        / max(1, capacity.memory_mib),
        (reservation.accelerators - worker.free_accelerators)
        / max(1, capacity.accelerators),
    )

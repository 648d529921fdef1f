"""Finds workers for all tasks of a unit together."""

from collections.abc import Sequence

from basiljunction.coordination import _batch_model
from basiljunction.coordination import _placement
from basiljunction.state import _job


class UnplaceableDemands:
    """Records the smallest demands that currently fit no worker.

    A demand at least as large as a recorded one need not be tried.

    Attributes:
        version: Incremented when a demand that did not fit may fit now.
    """

    def __init__(self) -> None:
        """Creates an empty record."""
        self.version = 0
        self._demands: list[_job.ResourceDemand] = []
        self._has_unrecorded_failures = False

    def is_unplaceable(self, demands: Sequence[_job.ResourceDemand]) -> bool:
        """Returns whether any of the demands certainly fits no worker."""
        return any(
            _is_at_least(demand, known)
            for known in self._demands
            for demand in demands
        )

    def add(
        self, demands: Sequence[_job.ResourceDemand], *, is_sure: bool
    ) -> None:
        """Records that some demands could not be placed together.

        Only a single demand is recorded as unplaceable; a failed gang proves
        nothing about its tasks alone.

        Args:
            demands: Demands that were to be placed together.
            is_sure: Whether every worker that accepts tasks was tried.
        """
        if len(demands) != 1 or not is_sure:
            self._has_unrecorded_failures = True
            return
        kept = [
            known
            for known in self._demands
            if not _is_at_least(known, demands[0])
        ]
        self._demands = [*kept, demands[0]]

    def on_capacity_freed(self, worker: _batch_model.Worker) -> None:
        """Removes the demands that now fit a worker.

        Called when it has more free resources or accepts tasks again.
        """
        kept = [each for each in self._demands if not worker.fits(each)]
        if len(kept) < len(self._demands) or self._has_unrecorded_failures:
            self.version += 1
        self._demands = kept
        self._has_unrecorded_failures = False


def _is_at_least(
    demand: _job.ResourceDemand, other: _job.ResourceDemand
) -> bool:
    """Returns whether a demand is no smaller than another in any resource."""
    return (
        demand.millicores >= other.millicores
        and demand.memory_mib >= other.memory_mib
        and demand.accelerators >= other.accelerators
    )


class _TentativeReservations:
    """Reserves resources on workers while the rest of a gang is placed."""

    def __init__(self) -> None:
        self._reservations: list[
            tuple[_batch_model.Worker, _job.ResourceDemand]
        ] = []

    def reserve(
        self, worker: _batch_model.Worker, demand: _job.ResourceDemand
    ) -> None:
        """Subtracts a demand from a worker's free resources."""
        worker.free_millicores -= demand.millicores
        worker.free_memory_mib -= demand.memory_mib
        worker.free_accelerators -= demand.accelerators
        self._reservations.append((worker, demand))

    def release_all(self) -> None:
        """Gives all reserved resources back to their workers."""
        for worker, demand in self._reservations:
            worker.free_millicores += demand.millicores
            worker.free_memory_mib += demand.memory_mib
            worker.free_accelerators += demand.accelerators


def choose_workers(
    workers: Sequence[_batch_model.Worker],
    policy: _placement.PlacementPolicy,
    class_key: str,
    demands: Sequence[_job.ResourceDemand],
    avoided: Sequence[Sequence[str]],
    *,
    start: int,
) -> list[_batch_model.Worker] | None:
    """Returns a worker for each demand, or None if they do not all fit.

    Demands with the most cores are placed first. Nothing stays reserved.

    Args:
        workers: Workers that accept new tasks.
        policy: Policy that scores a placement.
        class_key: Customer and class of the tasks.
        demands: Resources to reserve for each task.
        avoided: For each task the ids of workers not to use.
        start: Index of the worker at which each search starts.
    """
    tentative = _TentativeReservations()
    order = sorted(
        range(len(demands)),
        key=lambda index: demands[index].millicores,
        reverse=True,
    )
    chosen: dict[int, _batch_model.Worker] = {}
    for index in order:
        worker = _placement.choose_worker(
            workers,
            policy,
            class_key,
            demands[index],
            start=start,
            avoid=avoided[index],
        )
        if worker is None:
            break
        tentative.reserve(worker, demands[index])
        chosen[index] = worker
    tentative.release_all()
    if len(chosen) < len(demands):
        return None
    return [chosen[index] for index in range(len(demands))]

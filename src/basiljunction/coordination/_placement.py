"""Placement policies, which score the workers for a task."""

import abc
from collections.abc import Iterable
from collections.abc import Sequence
import math

from basiljunction.coordination import _batch_model
from basiljunction.coordination import _interference
from basiljunction.state import _job

SERVICE_HARM_WEIGHT = 4.0
"""Weight of a slowdown of latency-critical work relative to batch work."""

MAX_SERVICE_DEADLINE_RATIO = 0.65
"""Maximum ratio of expected 99th percentile latency to deadline that a
placement may cause for latency-critical work."""

MAX_SERVICE_SLOWDOWN = 1.5
"""Maximum expected slowdown, as a factor, that a placement may cause for
latency-critical work. It is below the slowdown at which batch work is
throttled."""

MAX_SCORED_WORKERS = 24
"""Maximum number of fitting workers that are scored for one task."""


class PlacementPolicy(abc.ABC):
    """Assigns a cost to the placement of a task on a worker that fits it."""

    @abc.abstractmethod
    def score(
        self,
        worker: _batch_model.Worker,
        class_key: str,
        demand: _job.ResourceDemand,
    ) -> float:
        """Returns the cost of a placement; the lowest cost is chosen.

        Args:
            worker: Worker with enough free resources.
            class_key: Customer and class of the task.
            demand: Resources to reserve for the task.

        Returns:
            A cost without unit; infinite rules the worker out.
        """


class FirstFit(PlacementPolicy):
    """Chooses the first worker that fits, in search order."""

    def score(
        self,
        worker: _batch_model.Worker,  # noqa: ARG002 - the cost is constant
        class_key: str,  # noqa: ARG002 - likewise
        demand: _job.ResourceDemand,  # noqa: ARG002 - likewise
    ) -> float:
        """Returns the same cost for every worker."""
        return 0.0


class BestFit(PlacementPolicy):
    """Chooses the worker with the fewest free cores after placement."""

    def score(
        self,
        worker: _batch_model.Worker,
        class_key: str,  # noqa: ARG002 - only sizes count
        demand: _job.ResourceDemand,
    ) -> float:
        """Returns the millicores that stay free on the worker."""
        return worker.free_millicores - demand.millicores


class DominantPacking(PlacementPolicy):
    """Chooses the worker that is filled most fully and most evenly."""

    def score(
        self,
        worker: _batch_model.Worker,
        class_key: str,  # noqa: ARG002 - only sizes count
        demand: _job.ResourceDemand,
    ) -> float:
        """Returns the packing cost; see `packing_cost`."""
        return packing_cost(worker, demand)


class InterferenceAware(PlacementPolicy):
    """Chooses the worker with the least expected interference.

    Tight packing decides between workers with similar interference.

    Args:
        interference: Learned slowdowns for pairs of classes.
        packing_weight: Weight of the packing cost relative to the
            expected harm.
    """

    def __init__(
        self,
        interference: _interference.InterferenceModel,
        packing_weight: float = 0.15,
    ) -> None:
        self._interference = interference
        self._packing_weight = packing_weight

    def score(
        self,
        worker: _batch_model.Worker,
        class_key: str,
        demand: _job.ResourceDemand,
    ) -> float:
        """Returns the expected harm plus the weighted packing cost."""
        harm = self.expected_harm(worker, class_key)
        packing = packing_cost(worker, demand)
        return harm + self._packing_weight * packing

    def expected_harm(
        self, worker: _batch_model.Worker, class_key: str
    ) -> float:
        """Returns the log slowdown that a task would cause and suffer.

        Harm to latency-critical work weighs more, and is infinite if such work
        would come near its deadline or be slowed down too much.
        """
        learned = self._interference
        harm = learned.expected_log_slowdown(class_key, worker.count_by_class)
        for other, count in worker.count_by_class.items():
            harm += count * learned.log_slowdown(other, class_key)
        for service, base_ratio in worker.undisturbed_ratio_by_service.items():
            part = learned.log_slowdown(service, class_key)
            if part <= 0:
                continue
            before = learned.expected_log_slowdown(
                service, worker.count_by_class
            )
            after = math.exp(before + part)
            if (
                base_ratio * after > MAX_SERVICE_DEADLINE_RATIO
                or after > MAX_SERVICE_SLOWDOWN
            ):
                return math.inf
            harm += SERVICE_HARM_WEIGHT * (after - math.exp(before))
        return harm


def packing_cost(
    worker: _batch_model.Worker, demand: _job.ResourceDemand
) -> float:
    """Returns a cost for capacity that a placement leaves free.

    The cost is the mean of the free shares of cores and memory plus their
    difference, as an uneven rest is hard to use. Tasks without accelerators
    pay extra on workers that have them.
    """
    capacity = worker.capacity
    cores = worker.free_millicores - demand.millicores
    cores_left = cores / max(1, capacity.millicores)
    memory = worker.free_memory_mib - demand.memory_mib
    memory_left = memory / max(1, capacity.memory_mib)
    cost = (cores_left + memory_left) / 2 + abs(cores_left - memory_left)
    if capacity.accelerators and not demand.accelerators:
        # Keeps accelerators available to the tasks that need them.
        cost += worker.free_accelerators / capacity.accelerators
    return cost


def choose_worker(
    workers: Sequence[_batch_model.Worker],
    policy: PlacementPolicy,
    class_key: str,
    demand: _job.ResourceDemand,
    *,
    start: int = 0,
    avoid: Iterable[str] = (),
) -> _batch_model.Worker | None:
    """Returns the cheapest of the first workers that fit, or None.

    At most `MAX_SCORED_WORKERS` are scored.

    Args:
        workers: Workers that accept new tasks.
        policy: Policy that scores a placement.
        class_key: Customer and class of the task.
        demand: Resources to reserve for it.
        start: Index at which the search starts. It differs by task, so that
            not all searches start at the same worker.
        avoid: Ids of workers not to use.
    """
    best_worker = None
    best_cost = float("inf")
    scored_count = 0
    avoided = frozenset(avoid)
    count = len(workers)
    for index in range(count):
        worker = workers[(start + index) % count]
        if not worker.fits(demand) or worker.machine in avoided:
            continue
        cost = policy.score(worker, class_key, demand)
        if cost < best_cost:
            best_worker, best_cost = worker, cost
        scored_count += 1
        if scored_count == MAX_SCORED_WORKERS:
            break
    return best_worker

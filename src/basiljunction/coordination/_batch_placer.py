"""Claims pending batch tasks for the workers that this instance owns.

A claim is a log record that assigns an attempt of a task to a worker.
"""

import dataclasses
import heapq

import xxhash

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_index
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _batch_workers
from basiljunction.coordination import _fair_share
from basiljunction.coordination import _holds
from basiljunction.coordination import _packing
from basiljunction.coordination import _pending_queue
from basiljunction.coordination import _placement
from basiljunction.coordination import _windows
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system

MIN_ROUND_INTERVAL_S = 0.02
"""Minimum time between two placement rounds, in seconds."""

BLOCKED_RETRY_INTERVAL_S = 1.0
"""Time after which a customer whose units did not fit is tried again although
nothing else changed, in seconds: office hours may have opened or closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class _BlockedState:
    """The inputs under which no unit of a customer could be claimed.

    The customer is skipped in placement rounds until one of them changes.

    Attributes:
        capacity_version: Version of the record of unplaceable demands.
        ready_count: Units of the customer that became eligible so far.
        usage: Millicores, MiB of memory, accelerators and tasks claimed.
        retry_interval: Number of the current retry interval.
    """

    capacity_version: int
    ready_count: int
    usage: tuple[int, int, int, int]
    retry_interval: int


class Placer:
    """Chooses which units to claim next, and a worker for each task.

    Customers take turns by weighted dominant share. A unit is one task or all
    tasks of a gang, which are claimed together.

    Args:
        context: State and tables shared by the parts of the batch core.
        index: Queue of pending units.
        placement: Policy that scores the workers for a task.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        index: _batch_index.ReadyUnitIndex,
        placement: _placement.PlacementPolicy,
    ) -> None:
        self._context = context
        self._index = index
        self._placement = placement
        self._next_round_boot_s = 0.0
        self._workers: list[_batch_model.Worker] = []
        self._largest_capacity = _job.ResourceDemand(0, 0)
        self._held_worker_by_key: dict[str, _batch_model.Worker] = {}
        self._fallback_placement = _placement.BestFit()
        self._unplaceable = _packing.UnplaceableDemands()
        self._blocked_state_by_customer: dict[str, _BlockedState] = {}

    def run_placement_round(self) -> None:
        """Runs one placement round unless the last one was too recent.

        Claims units in order of weighted dominant share until nothing fits or
        the claim limit of a round is reached.
        """
        context = self._context
        if not context.holds_lease or context.is_draining:
            return
        if context.now.boot_s < self._next_round_boot_s:
            return
        self._next_round_boot_s = context.now.boot_s + MIN_ROUND_INTERVAL_S
        self._index.queue.release_eligible(context.now.boot_s)
        customers = self._index.queue.customers()
        if not customers:
            return
        self._refresh_workers()
        claims_left = context.policy.max_claims_per_round
        heap = [
            (self._weighted_share(each), each)
            for each in customers
            if self._blocked_state_by_customer.get(each)
            != self._blocked_state(each)
        ]
        heapq.heapify(heap)
        while heap and claims_left > 0:
            _, customer = heapq.heappop(heap)
            claimed = self._claim_first_fitting(customer)
            if claimed:
                claims_left -= claimed
                heapq.heappush(heap, (self._weighted_share(customer), customer))
            else:
                blocked = self._blocked_state(customer)
                self._blocked_state_by_customer[customer] = blocked

    def _refresh_workers(self) -> None:
        """Updates the list of usable workers and the unplaceable demands.

        Demands that fit a worker with newly freed capacity are tried again.
        """
        context = self._context
        self._release_stale_holds()
        workers = _batch_workers.workers_accepting_tasks(context)
        if workers != self._workers:
            before = {worker.machine for worker in self._workers}
            now = {worker.machine for worker in workers}
            context.freed_machines |= now - before
            self._workers = workers
            self._largest_capacity = _batch_workers.largest_capacity(workers)
        for machine in context.freed_machines:
            worker = context.worker_by_machine.get(machine)
            if worker is not None:
                self._unplaceable.on_capacity_freed(worker)
        context.freed_machines.clear()

    def _blocked_state(self, customer: str) -> _BlockedState:
        """Returns the current inputs that decide whether units may fit."""
        usage = self._claimed_usage(customer)
        return _BlockedState(
            capacity_version=self._unplaceable.version,
            ready_count=self._index.queue.released_count(customer),
            usage=(
                usage.millicores,
                usage.memory_mib,
                usage.accelerators,
                usage.tasks,
            ),
            retry_interval=int(
                self._context.now.boot_s / BLOCKED_RETRY_INTERVAL_S
            ),
        )

    def _fits_quota(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Returns whether claiming a unit keeps its customer within quota."""
        quota = self._context.contract_in_force(unit.customer).quota
        usage = self._claimed_usage(unit.customer)
        wanted = unit.total
        return (
            usage.millicores + wanted.millicores <= quota.millicores
            and usage.memory_mib + wanted.memory_mib <= quota.memory_mib
            and usage.accelerators + wanted.accelerators <= quota.accelerators
            and usage.tasks + len(unit.demands) <= quota.tasks
        )

    def _claim_first_fitting(self, customer: str) -> int:
        """Claims a customer's first unit that fits.

        Returns the number of tasks claimed, or 0.
        """
        for unit in self._candidates(customer):
            if not self._is_admissible(unit):
                continue
            if self._claim_unit(unit):
                return len(unit.task_ids)
            if len(unit.task_ids) > 1 and self._may_split_gang(unit):
                claimed = self._claim_gang_partially(unit)
                if claimed:
                    return claimed
        return 0

    def _candidates(self, customer: str) -> list[_pending_queue.PlacementUnit]:
        """Returns the units to try: held ones, then the first of each group.

        A held worker accepts no other unit, so the unit that it is held for
        must not wait behind the first one of its group.
        """
        queue = self._index.queue
        waiting = [queue.get(key) for key in self._held_worker_by_key]
        held = [
            unit
            for unit in waiting
            if unit is not None and unit.customer == customer
        ]
        return held + queue.first_units(customer)

    def _may_split_gang(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Returns whether a gang has waited `gang_split_after_s` or longer."""
        waited_s = self._context.now.boot_s - unit.ready_boot_s
        return waited_s >= self._context.policy.gang_split_after_s

    def _claim_gang_partially(self, unit: _pending_queue.PlacementUnit) -> int:
        """Claims the tasks of a gang that fit here, one by one.

        Other instances may claim the rest on the workers that they own. No
        task of the gang starts until all are claimed.

        Returns:
            The number of tasks claimed.
        """
        self._index.queue.discard(unit.key)
        claimed = 0
        for task_id, demand in zip(unit.task_ids, unit.demands, strict=True):
            single = dataclasses.replace(
                unit, key=task_id, task_ids=(task_id,), demands=(demand,)
            )
            claimed += self._claim_unit(single)
        if not claimed:
            self._index.queue.add(unit)
        return claimed

    def _is_admissible(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Returns whether quota and office hours allow claiming a unit."""
        if not self._fits_quota(unit):
            return False
        return self._fits_office_hours(unit)

    def _fits_office_hours(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Returns whether a unit can run usefully before its hours close."""
        context = self._context
        contract = context.contract_in_force(unit.customer)
        work_class = contract.class_by_name.get(unit.class_name)
        if work_class is None:
            return False
        window = context.windows.open_or_next_window(
            contract, work_class, context.now.wall_s
        )
        if window is _windows.ALWAYS_OPEN:
            return True
        if not window[0] <= context.now.wall_s < window[1]:
            return False
        if work_class.standing:
            return True
        policy = context.policy
        return _windows.is_worth_starting(
            window,
            wall_s=context.now.wall_s,
            run_time_s=self._run_time_left_s(unit),
            finish_margin_s=policy.finish_margin_s,
            checkpoint_lead_s=policy.checkpoint_lead_s,
            min_useful_s=policy.min_useful_run_time_s,
        )

    def _run_time_left_s(self, unit: _pending_queue.PlacementUnit) -> float:
        """Returns the longest expected remaining run time of its tasks."""
        class_key = f"{unit.customer}/{unit.class_name}"
        longest_s = 0.0
        for task_id in unit.task_ids:
            task = self._context.state.task_by_id[task_id]
            expected_s = self._context.learning.expected_run_time_s(
                class_key, task.spec.run_time_s
            )
            longest_s = max(longest_s, expected_s - task.progress_s)
        return longest_s

    def _claim_unit(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Claims all tasks of a unit if every one of them can be placed.

        Returns whether they were claimed. A unit that fits no worker may get
        a worker held for it.
        """
        context = self._context
        class_key = f"{unit.customer}/{unit.class_name}"
        reservations = [
            self._reservation(class_key, demand) for demand in unit.demands
        ]
        held = self._held_worker_by_key.get(unit.key)
        if held is None and self._unplaceable.is_unplaceable(reservations):
            self._hold_if_starving(unit, reservations)
            return False
        tasks = [context.state.task_by_id[each] for each in unit.task_ids]
        # Another worker may never come, so a starving unit may return to
        # those on which it failed.
        is_starving = self._is_starving(unit)
        avoided: list[list[str]] = [
            [] if is_starving else task.failed_machines for task in tasks
        ]
        candidates = self._workers if held is None else [held]
        workers = None
        for placement in self._placement_policies(unit):
            workers = workers or _packing.choose_workers(
                candidates,
                placement,
                class_key,
                reservations,
                avoided,
                start=xxhash.xxh32_intdigest(unit.key.encode()),
            )
        if workers is None:
            if held is None:
                self._unplaceable.add(reservations, is_sure=not any(avoided))
            return False
        self._index.queue.discard(unit.key)
        if held is not None:
            self._release_hold(unit.key)
        for task_id, reservation, worker in zip(
            unit.task_ids, reservations, workers, strict=True
        ):
            self._claim_task(unit, task_id, reservation, worker)
        return True

    def _placement_policies(
        self, unit: _pending_queue.PlacementUnit
    ) -> tuple[_placement.PlacementPolicy, ...]:
        """Returns the policies to try in order.

        A starving unit is also tried with best fit, which ignores learned
        interference: outdated estimates could otherwise keep it off every
        worker long after the load has gone. If latency-critical work does
        suffer, the task is throttled or evicted again.
        """
        if not self._is_starving(unit):
            return (self._placement,)
        return (self._placement, self._fallback_placement)

    def _is_starving(self, unit: _pending_queue.PlacementUnit) -> bool:
        """Returns whether a unit has waited beyond the starvation limit.

        The limit grows with the rank, so that preferred instances act first.
        """
        patience_s = self._context.policy.hold_worker_after_s * (
            unit.preference_rank + 1
        )
        waited_s = self._context.now.boot_s - unit.ready_boot_s
        return waited_s >= patience_s

    def _hold_if_starving(
        self,
        unit: _pending_queue.PlacementUnit,
        reservations: list[_job.ResourceDemand],
    ) -> None:
        """Holds a worker for a single task that smaller ones keep overtaking.

        A held worker accepts no other task until it has capacity for this one.
        """
        context = self._context
        patience_s = context.policy.hold_worker_after_s * (
            unit.preference_rank + 1
        )
        waited_s = context.now.boot_s - unit.ready_boot_s
        all_workers = context.worker_by_machine.values()
        is_queued = self._index.queue.get(unit.key) is unit
        if waited_s < patience_s or len(reservations) > 1 or not is_queued:
            return
        if not _holds.may_hold_another_worker(all_workers):
            return
        worker = _holds.choose_worker_to_hold(self._workers, reservations[0])
        if worker is None:
            return
        worker.held_for = unit.key
        self._held_worker_by_key[unit.key] = worker
        self._workers = [each for each in self._workers if each is not worker]
        context.explain(
            unit.key,
            "hold",
            f"{worker.machine} is held for it after it waited {waited_s:.0f} s",
        )

    def _release_hold(self, key: str) -> None:
        """Lets the worker held for a unit accept other tasks again."""
        worker = self._held_worker_by_key.pop(key)
        worker.held_for = ""
        self._context.freed_machines.add(worker.machine)

    def _release_stale_holds(self) -> None:
        """Releases holds whose unit is gone or whose worker is unusable.

        A worker is unusable once it accepts no new tasks or is not owned.
        """
        now_s = self._context.now.boot_s
        for key, worker in list(self._held_worker_by_key.items()):
            known = self._context.worker_by_machine.get(worker.machine)
            is_needed = self._index.queue.get(key) is not None
            if (
                known is not worker
                or not is_needed
                or not worker.accepts_new_tasks(now_s)
            ):
                self._release_hold(key)

    def _reservation(
        self, class_key: str, declared: _job.ResourceDemand
    ) -> _job.ResourceDemand:
        """Returns the resources to reserve for a task.

        The learned amount may exceed the largest worker. It is then capped,
        so that the task gets a worker to itself.
        """
        reservation = self._context.learning.reservation(class_key, declared)
        largest_capacity = self._largest_capacity
        if (
            reservation.millicores <= largest_capacity.millicores
            and reservation.memory_mib <= largest_capacity.memory_mib
        ):
            return reservation
        cores = max(declared.millicores, largest_capacity.millicores)
        memory = max(declared.memory_mib, largest_capacity.memory_mib)
        return _job.ResourceDemand(
            millicores=min(reservation.millicores, cores),
            memory_mib=min(reservation.memory_mib, memory),
            accelerators=reservation.accelerators,
        )

    def _claim_task(
        self,
        unit: _pending_queue.PlacementUnit,
        task_id: str,
        reservation: _job.ResourceDemand,
        worker: _batch_model.Worker,
    ) -> None:
        """Creates an attempt on a worker and appends its claim record."""
        context = self._context
        attempt = _batch_workers.build_attempt(
            context, task_id, worker.machine, reservation
        )
        context.add_attempt(attempt)
        context.adjust_unconfirmed_claims(attempt, 1)
        context.append_record(
            _records.TaskClaimed(
                task_id=task_id,
                attempt=attempt.ref.attempt,
                machine=worker.machine,
                epoch=worker.epoch,
            )
        )
        waited_s = context.now.boot_s - unit.ready_boot_s
        context.explain(
            task_id,
            "claim",
            f"attempt {attempt.ref.attempt} on {worker.machine}, reserved "
            f"{reservation.millicores / 1000:g} cores and "
            f"{reservation.memory_mib} MiB, claimed {waited_s:.1f} s after it "
            f"became ready",
        )

    def _weighted_share(self, customer: str) -> float:
        """Returns a customer's dominant share divided by its weight."""
        weight = self._context.contract_in_force(customer).weight
        usage = self._claimed_usage(customer)
        return _fair_share.dominant_share(
            usage, self._context.total_capacity, weight
        )

    def _claimed_usage(self, customer: str) -> _system.CustomerUsage:
        """Returns a customer's claimed usage.

        Claims that are appended but not yet committed count too.
        """
        context = self._context
        known = context.state.usage_by_customer.get(customer)
        claiming = context.unconfirmed_usage_by_customer.get(customer)
        usage = _system.CustomerUsage()
        for part in (known, claiming):
            if part is None:
                continue
            usage.millicores += part.millicores
            usage.memory_mib += part.memory_mib
            usage.accelerators += part.accelerators
            usage.tasks += part.tasks
        return usage

"""Claims ready tasks for this instance's workers."""

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

ROUND_S = 0.02
"""Least time between two placement rounds, in seconds."""

LOOK_AGAIN_S = 1.0
"""Customers whose work did not fit are looked at again so often, as hours
open and close, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Blocked:
    """What has to change before a customer's work may fit."""

    room_version: int
    woken: int
    usage: tuple[int, int, int, int]
    look: int


class Placer:
    """Chooses what to claim next, and for which worker.

    Args:
        context: Shared tables.
        index: Ready units.
        placement: Chooses between workers.
    """

    def __init__(
        self,
        context: _batch_context.Context,
        index: _batch_index.Index,
        placement: _placement.Policy,
    ) -> None:
        self._context = context
        self._index = index
        self._placement = placement
        self._next_round_boot_s = 0.0
        self._workers: list[_batch_model.Worker] = []
        self._largest = _job.Demand(0, 0)
        self._held: dict[str, _batch_model.Worker] = {}
        self._last_resort = _placement.BestFit()
        self._no_room = _packing.NoRoom()
        self._blocked_by_customer: dict[str, _Blocked] = {}

    def run(self) -> None:
        """Claims what fits now."""
        context = self._context
        if not context.may_act or context.draining:
            return
        if context.now.boot_s < self._next_round_boot_s:
            return
        self._next_round_boot_s = context.now.boot_s + ROUND_S
        self._index.queue.wake(context.now.boot_s)
        customers = self._index.queue.customers()
        if not customers:
            return
        self._see_room()
        left = context.policy.max_claims
        heap = [
            (self._share(each), each)
            for each in customers
            if self._blocked_by_customer.get(each) != self._blocked(each)
        ]
        heapq.heapify(heap)
        while heap and left > 0:
            _, customer = heapq.heappop(heap)
            claimed = self._claim_for(customer)
            if claimed:
                left -= claimed
                heapq.heappush(heap, (self._share(customer), customer))
            else:
                blocked = self._blocked(customer)
                self._blocked_by_customer[customer] = blocked

    def _see_room(self) -> None:
        """Takes note of workers that opened or have more room."""
        context = self._context
        self._check_holds()
        workers = _batch_workers.open_workers(context)
        if workers != self._workers:
            before = {worker.machine for worker in self._workers}
            now = {worker.machine for worker in workers}
            context.freed |= now - before
            self._workers = workers
            self._largest = _batch_workers.largest(workers)
        for machine in context.freed:
            worker = context.worker_by_machine.get(machine)
            if worker is not None:
                self._no_room.freed(worker)
        context.freed.clear()

    def _blocked(self, customer: str) -> _Blocked:
        usage = self._usage(customer)
        return _Blocked(
            room_version=self._no_room.version,
            woken=self._index.queue.woken(customer),
            usage=(
                usage.millicores,
                usage.memory_mib,
                usage.accelerators,
                usage.tasks,
            ),
            look=int(self._context.now.boot_s / LOOK_AGAIN_S),
        )

    def _fits_quota(self, unit: _pending_queue.Unit) -> bool:
        quota = self._context.contract(unit.customer).quota
        usage = self._usage(unit.customer)
        wanted = unit.total
        return (
            usage.millicores + wanted.millicores <= quota.millicores
            and usage.memory_mib + wanted.memory_mib <= quota.memory_mib
            and usage.accelerators + wanted.accelerators <= quota.accelerators
            and usage.tasks + len(unit.demands) <= quota.tasks
        )

    def _claim_for(self, customer: str) -> int:
        """Claims a customer's first unit that fits; returns its tasks."""
        for unit in self._candidates(customer):
            if not self._may_start(unit):
                continue
            if self._claim(unit):
                return len(unit.task_ids)
            if len(unit.task_ids) > 1 and self._is_impatient(unit):
                claimed = self._claim_some(unit)
                if claimed:
                    return claimed
        return 0

    def _candidates(self, customer: str) -> list[_pending_queue.Unit]:
        """Returns units with a worker held for them, then the first ones.

        A held worker takes nothing else, so its unit must not wait behind the
        first one of its group.
        """
        queue = self._index.queue
        waiting = [queue.get(key) for key in self._held]
        held = [
            unit
            for unit in waiting
            if unit is not None and unit.customer == customer
        ]
        return held + queue.first_units(customer)

    def _is_impatient(self, unit: _pending_queue.Unit) -> bool:
        waited_s = self._context.now.boot_s - unit.ready_boot_s
        return waited_s >= self._context.policy.gang_patience_s

    def _claim_some(self, unit: _pending_queue.Unit) -> int:
        """Claims those tasks of a gang that fit here, one by one.

        Other owners may claim the rest; until all are claimed none starts.
        """
        self._index.queue.discard(unit.key)
        claimed = 0
        for task_id, demand in zip(unit.task_ids, unit.demands, strict=True):
            single = dataclasses.replace(
                unit, key=task_id, task_ids=(task_id,), demands=(demand,)
            )
            claimed += self._claim(single)
        if not claimed:
            self._index.queue.add(unit)
        return claimed

    def _may_start(self, unit: _pending_queue.Unit) -> bool:
        if not self._fits_quota(unit):
            return False
        return self._is_worth_starting(unit)

    def _is_worth_starting(self, unit: _pending_queue.Unit) -> bool:
        context = self._context
        contract = context.contract(unit.customer)
        work_class = contract.class_by_name.get(unit.class_name)
        if work_class is None:
            return False
        window = context.windows.window(
            contract, work_class, context.now.wall_s
        )
        if window is _windows.ALWAYS:
            return True
        if not window[0] <= context.now.wall_s < window[1]:
            return False
        if work_class.standing:
            return True
        policy = context.policy
        return _windows.may_start(
            window,
            wall_s=context.now.wall_s,
            run_time_s=self._run_time_left_s(unit),
            finish_margin_s=policy.finish_margin_s,
            checkpoint_lead_s=policy.checkpoint_lead_s,
            min_useful_s=policy.min_useful_s,
        )

    def _run_time_left_s(self, unit: _pending_queue.Unit) -> float:
        class_key = f"{unit.customer}/{unit.class_name}"
        longest_s = 0.0
        for task_id in unit.task_ids:
            task = self._context.state.task_by_id[task_id]
            expected_s = self._context.learning.run_time_s(
                class_key, task.spec.run_time_s
            )
            longest_s = max(longest_s, expected_s - task.progress_s)
        return longest_s

    def _claim(self, unit: _pending_queue.Unit) -> bool:
        context = self._context
        class_key = f"{unit.customer}/{unit.class_name}"
        rooms = [self._room(class_key, demand) for demand in unit.demands]
        held = self._held.get(unit.key)
        if held is None and self._no_room.holds(rooms):
            self._hold_if_starving(unit, rooms)
            return False
        tasks = [context.state.task_by_id[each] for each in unit.task_ids]
        avoided = [task.failed_machines for task in tasks]
        candidates = self._workers if held is None else [held]
        workers = None
        for placement in self._placements(unit):
            workers = workers or _packing.place_all(
                candidates,
                placement,
                class_key,
                rooms,
                avoided,
                start=xxhash.xxh32_intdigest(unit.key.encode()),
            )
        if workers is None:
            if held is None:
                self._no_room.add(rooms, is_sure=not any(avoided))
            return False
        self._index.queue.discard(unit.key)
        if held is not None:
            self._free_hold(unit.key)
        for task_id, room, worker in zip(
            unit.task_ids, rooms, workers, strict=True
        ):
            self._claim_task(unit, task_id, room, worker)
        return True

    def _placements(
        self, unit: _pending_queue.Unit
    ) -> tuple[_placement.Policy, ...]:
        """Returns the policies to try, the second only for what starves.

        What was learned of interference may keep a task from every worker
        long after the load has gone. Such a task is tried now and then; relief
        takes it off again if urgent work does suffer.
        """
        if not self._is_starving(unit):
            return (self._placement,)
        return (self._placement, self._last_resort)

    def _is_starving(self, unit: _pending_queue.Unit) -> bool:
        patience_s = self._context.policy.starvation_s * (unit.rank + 1)
        waited_s = self._context.now.boot_s - unit.ready_boot_s
        return waited_s >= patience_s

    def _hold_if_starving(
        self, unit: _pending_queue.Unit, rooms: list[_job.Demand]
    ) -> None:
        """Keeps a worker free for one task that smaller ones pass by."""
        context = self._context
        patience_s = context.policy.starvation_s * (unit.rank + 1)
        waited_s = context.now.boot_s - unit.ready_boot_s
        all_workers = context.worker_by_machine.values()
        is_queued = self._index.queue.get(unit.key) is unit
        if waited_s < patience_s or len(rooms) > 1 or not is_queued:
            return
        if not _holds.may_hold(all_workers):
            return
        worker = _holds.choose(self._workers, rooms[0])
        if worker is None:
            return
        worker.held_for = unit.key
        self._held[unit.key] = worker
        self._workers = [each for each in self._workers if each is not worker]
        context.explain(
            unit.key,
            "hold",
            f"{worker.machine} is kept free for it after {waited_s:.0f} s",
        )

    def _free_hold(self, key: str) -> None:
        worker = self._held.pop(key)
        worker.held_for = ""
        self._context.freed.add(worker.machine)

    def _check_holds(self) -> None:
        """Frees workers whose task is gone, or that take no new work."""
        now_s = self._context.now.boot_s
        for key, worker in list(self._held.items()):
            known = self._context.worker_by_machine.get(worker.machine)
            is_needed = self._index.queue.get(key) is not None
            if (
                known is not worker
                or not is_needed
                or not worker.is_open(now_s)
            ):
                self._free_hold(key)

    def _room(self, class_key: str, declared: _job.Demand) -> _job.Demand:
        """Returns the room to count for a task.

        What was learned may exceed every worker; such a task gets one alone.
        """
        room = self._context.learning.room(class_key, declared)
        largest = self._largest
        if (
            room.millicores <= largest.millicores
            and room.memory_mib <= largest.memory_mib
        ):
            return room
        cores = max(declared.millicores, largest.millicores)
        memory = max(declared.memory_mib, largest.memory_mib)
        return _job.Demand(
            millicores=min(room.millicores, cores),
            memory_mib=min(room.memory_mib, memory),
            accelerators=room.accelerators,
        )

    def _claim_task(
        self,
        unit: _pending_queue.Unit,
        task_id: str,
        room: _job.Demand,
        worker: _batch_model.Worker,
    ) -> None:
        context = self._context
        attempt = _batch_workers.new_attempt(
            context, task_id, worker.machine, room
        )
        context.add_attempt(attempt)
        context.count_claiming(attempt, 1)
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
            f"attempt {attempt.ref.attempt} on {worker.machine}, counted "
            f"{room.millicores / 1000:g} cores and {room.memory_mib} MiB, "
            f"ready for {waited_s:.1f} s",
        )

    def _share(self, customer: str) -> float:
        weight = self._context.contract(customer).weight
        usage = self._usage(customer)
        return _fair_share.dominant_share(usage, self._context.total, weight)

    def _usage(self, customer: str) -> _system.Usage:
        """Returns what is claimed, with claims that are on their way."""
        context = self._context
        known = context.state.usage_by_customer.get(customer)
        claiming = context.claiming_by_customer.get(customer)
        usage = _system.Usage()
        for part in (known, claiming):
            if part is None:
                continue
            usage.millicores += part.millicores
            usage.memory_mib += part.memory_mib
            usage.accelerators += part.accelerators
            usage.tasks += part.tasks
        return usage

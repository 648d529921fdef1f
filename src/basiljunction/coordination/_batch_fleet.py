"""Tracks the workers that this instance owns and adopts their tasks."""

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _batch_workers
from basiljunction.coordination import _events
from basiljunction.coordination import _fair_share
from basiljunction.state import _job
from basiljunction.state import _system

_Goal = _batch_model.EndGoal


class OwnedWorkers:
    """Keeps the table of owned workers in step with the replicated state.

    When this instance gains a worker, it adopts the tasks that an earlier
    owner claimed on it.

    Args:
        context: State and tables shared by the parts of the batch core.
        attempts: Adopts and ends attempts.

    Attributes:
        adopted_attempts: Attempts adopted since the caller last cleared the list.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._leaving_machines: frozenset[str] = frozenset()
        self._evicted_machines: set[str] = set()
        self.adopted_attempts: list[_batch_model.Attempt] = []

    def update_from_state(self) -> None:
        """Updates the table of owned workers from the state.

        Adds gained workers and adopts their claimed tasks, updates changed
        ones and drops those that this instance no longer owns.
        """
        context = self._context
        context.total_capacity = _fair_share.total_capacity(context.state)
        gained = set()
        for machine_id, machine in context.state.machine_by_id.items():
            worker = context.worker_by_machine.get(machine_id)
            if not self._is_owned(machine):
                continue
            if worker is not None and worker.epoch == machine.epoch:
                self._update_worker(worker, machine)
                continue
            if worker is not None:
                self._drop_worker(worker)
            self._add_worker(machine_id, machine)
            gained.add(machine_id)
        for worker in list(context.worker_by_machine.values()):
            known = context.state.machine_by_id.get(worker.machine)
            if known is None or not self._is_owned(known):
                self._drop_worker(worker)
        if gained:
            self._adopt_claimed_tasks(gained)

    def mark_leaving_workers(
        self, machines: tuple[_events.LiveMachine, ...]
    ) -> None:
        """Marks the workers that the platform lists as leaving."""
        self._leaving_machines = frozenset(
            each.name
            for each in machines
            if each.role == "worker" and each.leaving
        )
        self._evicted_machines &= self._leaving_machines
        for worker in self._context.worker_by_machine.values():
            worker.is_leaving = worker.machine in self._leaving_machines

    def evict_from_leaving_workers(self) -> None:
        """Evicts all attempts on workers that have started to leave.

        Each such worker is handled once, and only while the lease is held.
        """
        for machine in self._leaving_machines - self._evicted_machines:
            worker = self._context.worker_by_machine.get(machine)
            if worker is None or not self._context.holds_lease:
                continue
            self._evicted_machines.add(machine)
            for attempt in list(worker.attempt_by_task.values()):
                self._attempts.begin_ending(
                    attempt, _Goal.EVICT, "its worker is leaving"
                )

    def _is_owned(self, machine: _system.Machine) -> bool:
        """Returns whether this incarnation owns a machine with a worker."""
        owner = (machine.owner, machine.owner_incarnation)
        own = (self._context.instance, self._context.incarnation)
        return owner == own and bool(machine.registered.worker_address)

    def _add_worker(self, machine_id: str, machine: _system.Machine) -> None:
        """Adds a worker to the table.

        If an earlier owner may still act on it, it is usable only after the
        guard time.
        """
        context = self._context
        registered = machine.registered
        guard_s = (
            context.policy.previous_owner_guard_s if machine.guarded else 0.0
        )
        context.worker_by_machine[machine_id] = _batch_model.Worker(
            machine=machine_id,
            address=registered.worker_address,
            zone=registered.zone,
            rack=registered.rack,
            epoch=machine.epoch,
            capacity=_job.ResourceDemand(
                registered.millicores,
                registered.memory_mib,
                registered.accelerators,
            ),
            usable_from_boot_s=context.now.boot_s + guard_s,
            free_millicores=registered.millicores,
            free_memory_mib=registered.memory_mib,
            free_accelerators=registered.accelerators,
            is_leaving=machine_id in self._leaving_machines,
        )
        self._evicted_machines.discard(machine_id)
        context.freed_machines.add(machine_id)

    def _update_worker(
        self, worker: _batch_model.Worker, machine: _system.Machine
    ) -> None:
        """Updates a worker's address and capacity from its registration."""
        registered = machine.registered
        worker.address = registered.worker_address
        capacity = _job.ResourceDemand(
            registered.millicores,
            registered.memory_mib,
            registered.accelerators,
        )
        if capacity == worker.capacity:
            return
        old = worker.capacity
        worker.free_millicores += capacity.millicores - old.millicores
        worker.free_memory_mib += capacity.memory_mib - old.memory_mib
        worker.free_accelerators += capacity.accelerators - old.accelerators
        worker.capacity = capacity
        self._context.freed_machines.add(worker.machine)

    def _drop_worker(self, worker: _batch_model.Worker) -> None:
        """Removes a worker that is no longer owned, without ending attempts.

        Its new owner decides about the tasks on it.
        """
        for attempt in list(worker.attempt_by_task.values()):
            self._context.remove_attempt(attempt)
        del self._context.worker_by_machine[worker.machine]
        self._context.health.delete_worker(worker.machine)

    def _adopt_claimed_tasks(self, machines: set[str]) -> None:
        """Adopts the tasks that earlier owners claimed on some machines."""
        context = self._context
        for task_id, task in context.state.task_by_id.items():
            if task.phase is not _job.TaskPhase.CLAIMED:
                continue
            if task.machine not in machines:
                continue
            attempt = _batch_workers.build_attempt(
                context,
                task_id,
                task.machine,
                task.spec.demand,
                is_claimed=True,
            )
            attempt.phase = _batch_model.Phase.ASKING
            context.add_attempt(attempt)
            self._attempts.adopt(attempt)
            self.adopted_attempts.append(attempt)
            if context.state.job_by_id[task.job_id].cancelled:
                self._attempts.begin_ending(attempt, _Goal.CANCEL, "cancelled")

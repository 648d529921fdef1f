"""State and pending actions that the parts of the batch core share."""

import heapq
import itertools

from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _events
from basiljunction.coordination import _interference
from basiljunction.coordination import _learning
from basiljunction.coordination import _windows
from basiljunction.coordination import _worker_health
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time

Action = _events.AppendRecords | _events.Explain | _batch_events.CallWorker
"""What the batch core may ask its caller to do."""


class BatchContext:
    """Tables of this instance's workers and attempts, and pending actions.

    Args:
        instance: Name of this instance.
        incarnation: Number of this run of the instance's process.
        policy: Settings of the batch core.

    Attributes:
        state: The folded state.
        now: Time of the event that is being handled.
        lease_expires_boot_s: Boot time at which this instance's own lease
            expires; without a lease it must not call workers.
        is_draining: Whether this instance is leaving and claims no more tasks.
        calls_in_flight: Number of calls to workers in flight.
        freed_machines: Ids of workers that gained free capacity since the last
            placement round.
        total_capacity: Total capacity of all registered workers.
        worker_by_machine: The workers that this instance owns.
        attempt_by_task: The attempts on them.
        tasks_by_gang: Ids of the attempted tasks of each gang.
        unconfirmed_usage_by_customer: Demand of claims not yet read back.
        learning: Learned run times and usage of classes.
        interference: Learned slowdown of classes by each other.
        health: Workers on which tasks keep failing.
        windows: Office hours of classes of work.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        policy: _batch_model.BatchPolicy,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.policy = policy
        self.state = _system.SystemState()
        self.now = _time.Now(0.0, 0.0)
        self.lease_expires_boot_s = float("-inf")
        self.is_draining = False
        self.calls_in_flight = 0
        self.freed_machines: set[str] = set()
        self.total_capacity = _job.ResourceDemand(0, 0)
        self.worker_by_machine: dict[str, _batch_model.Worker] = {}
        self.attempt_by_task: dict[str, _batch_model.Attempt] = {}
        self.tasks_by_gang: dict[str, set[str]] = {}
        self.unconfirmed_usage_by_customer: dict[
            str, _system.CustomerUsage
        ] = {}
        self.learning = _learning.UsageEstimator()
        self.interference = _interference.InterferenceModel()
        self.health = _worker_health.WorkerFailureTracker()
        self.windows = _windows.OfficeHoursCache()
        self._pending_actions: list[Action] = []
        self._pending_records: list[_records.Record] = []
        self._timers: list[tuple[float, int, str]] = []
        self._timer_sequence = itertools.count()

    @property
    def holds_lease(self) -> bool:
        """Whether this instance holds its lease now."""
        return self.now.boot_s < self.lease_expires_boot_s

    def contract_in_force(self, customer: str) -> _contract.Contract:
        """Returns the contract in force of a customer who has jobs."""
        return self.state.contract_by_customer[customer].contract

    def find_work_class(self, job: _job.Job) -> _contract.WorkClass | None:
        """Returns a job's class of work, or None if the contract dropped it."""
        contract = self.contract_in_force(job.customer)
        return contract.class_by_name.get(job.class_name)

    def append_record(self, record: _records.Record) -> None:
        """Adds a record to the single append of the current event."""
        self._pending_records.append(record)

    def explain(self, subject: str, decision: str, detail: str = "") -> None:
        """Adds an explanation of a decision about a task, job or worker."""
        self._pending_actions.append(_events.Explain(subject, decision, detail))

    def call_worker(
        self,
        worker: _batch_model.Worker,
        request: _batch_events.WorkerRequest,
    ) -> float | None:
        """Calls a worker if the lease and the limit of calls allow it.

        Returns:
            Boot time until which the call may be sent; None if it may not be
            made now.
        """
        is_usable = worker.usable_from_boot_s <= self.now.boot_s
        is_at_call_limit = (
            self.calls_in_flight >= self.policy.max_calls_in_flight
        )
        if not self.holds_lease or not is_usable or is_at_call_limit:
            return None
        not_after_s = min(
            self.lease_expires_boot_s,
            self.now.boot_s + self.policy.call_send_window_s,
        )
        self.calls_in_flight += 1
        self._pending_actions.append(
            _batch_events.CallWorker(
                machine=worker.machine,
                address=worker.address,
                request=request,
                not_after_boot_s=not_after_s,
            )
        )
        return not_after_s

    def schedule_step(
        self, attempt: _batch_model.Attempt, delay_s: float = 0.0
    ) -> None:
        """Schedules the next step of an attempt after a delay in seconds."""
        attempt.next_step_boot_s = self.now.boot_s + delay_s
        timer = (
            attempt.next_step_boot_s,
            next(self._timer_sequence),
            attempt.ref.task_id,
        )
        heapq.heappush(self._timers, timer)

    def pop_due_attempts(self) -> list[_batch_model.Attempt]:
        """Removes due timers and returns their attempts, each once.

        Attempts with a call in flight are left out.
        """
        due: dict[str, _batch_model.Attempt] = {}
        while self._timers and self._timers[0][0] <= self.now.boot_s:
            _, _, task_id = heapq.heappop(self._timers)
            attempt = self.attempt_by_task.get(task_id)
            if attempt is None or attempt.is_call_in_flight:
                continue
            if attempt.next_step_boot_s <= self.now.boot_s:
                due[task_id] = attempt
        return list(due.values())

    def add_attempt(self, attempt: _batch_model.Attempt) -> None:
        """Adds an attempt to the tables and to its worker."""
        task_id = attempt.ref.task_id
        self.attempt_by_task[task_id] = attempt
        worker = self.worker_by_machine[attempt.machine]
        worker.add_attempt(attempt, self.now.boot_s)
        if attempt.gang_key:
            tasks = self.tasks_by_gang.setdefault(attempt.gang_key, set())
            tasks.add(task_id)

    def remove_attempt(self, attempt: _batch_model.Attempt) -> None:
        """Removes an attempt from the tables and frees its capacity."""
        task_id = attempt.ref.task_id
        if attempt.phase is _batch_model.Phase.CLAIMING:
            self.adjust_unconfirmed_claims(attempt, -1)
        del self.attempt_by_task[task_id]
        worker = self.worker_by_machine.get(attempt.machine)
        if worker is not None and task_id in worker.attempt_by_task:
            worker.remove_attempt(attempt, self.now.boot_s)
        tasks = self.tasks_by_gang.get(attempt.gang_key)
        if tasks is not None:
            tasks.discard(task_id)
            if not tasks:
                del self.tasks_by_gang[attempt.gang_key]
        self.freed_machines.add(attempt.machine)

    def attempts_of_gang(self, gang_key: str) -> list[_batch_model.Attempt]:
        """Returns this instance's attempts of a gang, sorted by task id."""
        tasks = self.tasks_by_gang.get(gang_key, set())
        return [self.attempt_by_task[task_id] for task_id in sorted(tasks)]

    def adjust_unconfirmed_claims(
        self, attempt: _batch_model.Attempt, sign: int
    ) -> None:
        """Adds an attempt's demand to the customer's claims not yet read back.

        Args:
            attempt: The attempt.
            sign: 1 to add, -1 to subtract.
        """
        usage = self.unconfirmed_usage_by_customer.setdefault(
            attempt.customer, _system.CustomerUsage()
        )
        demand = attempt.spec.demand
        usage.millicores += sign * demand.millicores
        usage.memory_mib += sign * demand.memory_mib
        usage.accelerators += sign * demand.accelerators
        usage.tasks += sign

    def pop_actions(self) -> list[Action]:
        """Returns and clears the pending actions of the current event.

        The records go first, in one append.
        """
        actions = self._pending_actions
        if self._pending_records:
            records = tuple(self._pending_records)
            actions.insert(0, _events.AppendRecords(records))
        self._pending_actions = []
        self._pending_records = []
        return actions

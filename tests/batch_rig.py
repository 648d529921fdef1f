"""Batch cores with fake workers and an in-memory log, driven in steps."""

import collections

from basiljunction.coordination import _batch_core
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _events
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _verdict
import builders
import fake_worker
import fakes

LEASE_S = 1.5
"""Duration of an instance's lease from each renewal, in seconds."""


def batch_class(name: str, **changes: object) -> _contract.WorkClass:
    """Returns a batch class that may also run outside office hours."""
    base: dict[str, object] = {
        "kind": _contract.WorkKind.BATCH,
        "deadline_s": 3600.0,
        "outside_hours": True,
    }
    return builders.work_class(name, **{**base, **changes})


class Rig:
    """Instances that each have a batch core and own some fake workers.

    Attributes:
        clock: Fake clock that all cores and workers share.
        log: In-memory log; its folded state is the one that all cores read.
        policy: Policy passed to each core; None stands for the default.
        core_by_instance: Cores of the instances that are running.
        worker_by_name: Fake workers.
        is_log_down: Whether appends stay queued until the log is up again.
        instances_without_renewal: Instances whose lease is not renewed.
        decisions: Explained decisions of all cores, in order.
    """

    def __init__(
        self,
        *,
        instances: tuple[str, ...] = ("dunedin-1",),
        workers: int = 2,
        contract: _contract.Contract | None = None,
        wall_s: float = 1000.0,
        policy: _batch_model.BatchPolicy | None = None,
    ) -> None:
        """Creates the instances and workers and runs them for 0.1 s.

        Args:
            instances: Names of the instances.
            workers: Number of workers, assigned to the instances in turn.
            contract: Published contract; None stands for the default.
            wall_s: First reading of the wall clock.
            policy: Policy of the batch cores; None stands for the default.
        """
        self.clock = fakes.FakeClock(wall_s=wall_s)
        self.log = builders.LogBuilder()
        self.policy = policy
        self.core_by_instance: dict[str, _batch_core.BatchCore] = {}
        self.worker_by_name: dict[str, fake_worker.FakeWorker] = {}
        self.is_log_down = False
        self.instances_without_renewal: set[str] = set()
        self.decisions: list[_events.Explain] = []
        self._pending_appends: collections.deque[
            tuple[str, tuple[_records.Record, ...]]
        ] = collections.deque()
        contract = contract or builders.contract()
        self.submit_record(builders.contract_published(contract=contract))
        for name in instances:
            self.submit_record(builders.instance_joined(name), author=name)
        for index in range(workers):
            self.add_worker(
                f"worker-{index}", instances[index % len(instances)]
            )
        for name in instances:
            self.add_core(name)
        self.run(0.1)

    def add_worker(self, name: str, owner: str) -> None:
        """Registers a worker and assigns it to an owner."""
        self.worker_by_name[name] = fake_worker.FakeWorker(name)
        self.submit_record(builders.machine_registered(name))
        self.submit_record(
            _records.MachineAssigned(name, owner, 1, 0), author=owner
        )

    def add_core(self, instance: str) -> None:
        """Starts the batch core of an instance."""
        self.core_by_instance[instance] = _batch_core.BatchCore(
            instance=instance, incarnation=1, policy=self.policy
        )

    def kill(self, instance: str) -> None:
        """Ends an instance abruptly and drops its queued appends."""
        del self.core_by_instance[instance]
        appends_of_others = [
            each for each in self._pending_appends if each[0] != instance
        ]
        self._pending_appends = collections.deque(appends_of_others)

    def take_over(self, suspected: str, successor: str) -> None:
        """Assigns the machines of a suspected instance to a successor."""
        for name in sorted(self.core_by_instance):
            self.submit_record(_records.Suspected(suspected, 1), author=name)
        self.submit_record(_records.TakenOver(suspected, 1), author=successor)
        machines = self.log.state.machine_by_id
        for name in sorted(machines):
            if machines[name].owner:
                continue
            record = _records.MachineAssigned(
                name, successor, 1, machines[name].epoch
            )
            self.submit_record(record, author=successor)

    def submit_record(
        self, record: _records.Record, author: str = builders.OPERATOR_AUTHOR
    ) -> _verdict.Verdict:
        """Appends a record at once and passes its verdict to every core."""
        now = self.clock.now()
        verdict = self.log.append(record, author=author, wall_s=now.wall_s)
        event = _events.Folded((verdict,))
        for instance in list(self.core_by_instance):
            self.handle_event(instance, event)
        return verdict

    def submit(self, job: _job.Job) -> _verdict.Verdict:
        """Appends the submission of a job and returns its verdict."""
        return self.submit_record(_records.JobSubmitted(job))

    def handle_event(self, instance: str, event: object) -> None:
        """Passes an event to an instance's core and executes its actions.

        Does nothing if the instance is not running.
        """
        core = self.core_by_instance.get(instance)
        if core is None:
            return
        now = self.clock.now()
        for action in core.handle(self.log.state, event, now):
            self._carry_out(instance, action)

    def _carry_out(self, instance: str, action: object) -> None:
        """Executes an action that an instance's core requested."""
        match action:
            case _events.AppendRecords():
                self._pending_appends.append((instance, action.records))
            case _events.Explain():
                self.decisions.append(action)
            case _batch_events.CallWorker():
                worker = self.worker_by_name[action.machine]
                result = worker.handle_call(action, self.clock.now().boot_s)
                self.handle_event(instance, result)

    def run(self, seconds: float, step_s: float = 0.25) -> None:
        """Advances the clock in steps of about ``step_s`` seconds.

        Each step flushes appends, renews leases, sends a tick to each core and
        checks the invariants.
        """
        steps = max(1, round(seconds / step_s))
        for _ in range(steps):
            now = self.clock.advance(seconds / steps)
            self._append_pending_records()
            for instance in list(self.core_by_instance):
                if instance not in self.instances_without_renewal:
                    lease_end_s = now.boot_s + LEASE_S
                    self.handle_event(
                        instance, _events.LeaseChanged(lease_end_s)
                    )
                self.handle_event(instance, _events.Tick())
            self._append_pending_records()
            self.check_invariants()

    def _append_pending_records(self) -> None:
        """Appends the queued records in order, unless the log is down."""
        while self._pending_appends and not self.is_log_down:
            author, records = self._pending_appends.popleft()
            for record in records:
                self.submit_record(record, author=author)

    def check_invariants(self) -> None:
        """Asserts that no task runs twice and no worker is over capacity."""
        now_s = self.clock.now().boot_s
        running_count_by_task: collections.Counter[str] = collections.Counter()
        for worker in self.worker_by_name.values():
            for ref in worker.list_running(now_s):
                running_count_by_task[ref.task_id] += 1
            assert worker.peak_millicores <= worker.millicores
            assert worker.peak_memory_mib <= worker.memory_mib
        tasks_running_twice = [
            task
            for task, running_count in running_count_by_task.items()
            if running_count > 1
        ]
        assert not tasks_running_twice, tasks_running_twice

    def task_phase(self, task_id: str) -> _job.TaskPhase:
        """Returns the phase of a task in the folded state."""
        return self.log.state.task_by_id[task_id].phase

    def list_starts(self, task_id: str) -> list[tuple[int, str]]:
        """Returns the attempt number and checkpoint of each start of a task."""
        return sorted(
            (ref.attempt, checkpoint)
            for worker in self.worker_by_name.values()
            for ref, checkpoint in worker.starts
            if ref.task_id == task_id
        )

    def find_worker_running(self, task_id: str) -> fake_worker.FakeWorker:
        """Returns the worker on which a task runs.

        Raises:
            LookupError: The task runs on no worker.
        """
        now_s = self.clock.now().boot_s
        for worker in self.worker_by_name.values():
            if any(
                ref.task_id == task_id for ref in worker.list_running(now_s)
            ):
                return worker
        raise LookupError(task_id)

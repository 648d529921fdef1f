"""Runs a batch core against simulated workers under a simulated clock."""

import collections
from collections.abc import Sequence
import time

from basiljunction.bench import _batch_worker
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_core
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _events
from basiljunction.coordination import _placement
from basiljunction.state import _contract
from basiljunction.state import _fold
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time

INSTANCE_NAME = "entry-1"
"""Name of the one entry instance, which runs the batch core."""

OPERATOR_NAME = "operator"
"""Author of the log records that publish contracts and submit jobs."""


class BatchTestBed:
    """Runs one batch core in memory, without a log, network or real time.

    Folds log records into the state, passes events to the core, and executes
    the actions that the core returns: appends go into the state, calls to the
    simulated workers.

    Args:
        wall_s: Wall-clock time at the start, in seconds.
        policy: Settings of the core; None for the defaults.
        placement: Policy that chooses between workers; None for the core's
            default.

    Attributes:
        core: The batch core under test.
        state: The state folded from all records so far.
        now: The simulated time.
        worker_by_machine: The simulated workers, by machine name.
        event_times_s: Processor time of each event handled, in seconds.
        total_fold_s: Processor time of all folding, in seconds.
        started_attempts: Number of attempts started.
        evicted_attempts: Number of attempts evicted.
        completed_tasks: Number of tasks completed.
    """

    def __init__(
        self,
        *,
        wall_s: float = 1_000_000.0,
        policy: _batch_model.BatchPolicy | None = None,
        placement: _placement.PlacementPolicy | None = None,
    ) -> None:
        self.core = _batch_core.BatchCore(
            instance=INSTANCE_NAME,
            incarnation=1,
            policy=policy,
            placement=placement,
        )
        self.state = _system.SystemState()
        self.now = _time.Now(boot_s=1000.0, wall_s=wall_s)
        self.worker_by_machine: dict[str, _batch_worker.SimulatedWorker] = {}
        self.event_times_s: list[float] = []
        self.total_fold_s = 0.0
        self.started_attempts = 0
        self.evicted_attempts = 0
        self.completed_tasks = 0
        self._sequence_by_author: collections.Counter[str] = (
            collections.Counter()
        )
        self._pending_appends: list[tuple[_records.Record, ...]] = []
        self.fold_records(
            INSTANCE_NAME,
            [
                _records.InstanceJoined(
                    INSTANCE_NAME, 1, "zone-1", "group-1", "127.0.0.1:1", ""
                )
            ],
        )

    def fold_records(
        self, author: str, records: Sequence[_records.Record]
    ) -> None:
        """Applies records to the state as one log entry.

        The verdicts of the fold, which accepts or rejects each record, go to
        the core.
        """
        sequence = self._sequence_by_author[author]
        self._sequence_by_author[author] += len(records)
        batch = _records.RecordBatch(
            author=_records.Author(author, 1),
            first_sequence=sequence,
            wall_s=self.now.wall_s,
            records=tuple(records),
        )
        entry = _records.LogEntry(self.state.next_offset, batch)
        start_s = time.thread_time()
        verdicts = tuple(_fold.apply_entry(self.state, entry))
        self.total_fold_s += time.thread_time() - start_s
        self.handle_event(_events.Folded(verdicts))

    def publish_contract(self, contract: _contract.Contract) -> None:
        """Adds the first contract of a customer to the state."""
        record = _records.ContractPublished(contract, 0, "ana", "publish-1")
        self.fold_records(OPERATOR_NAME, [record])

    def add_worker(
        self,
        worker: _batch_worker.SimulatedWorker,
        *,
        zone: str = "zone-1",
        rack: str = "rack-1",
    ) -> None:
        """Registers a worker and assigns it to the core's instance."""
        name = worker.name
        self.worker_by_machine[name] = worker
        registered = _records.MachineRegistered(
            machine=name,
            revision=1,
            group="group-1",
            zone=zone,
            rack=rack,
            worker_address=f"http://{name}",
            executor=f"{name}-executor",
            executor_address=f"http://{name}/executor",
            slots=8,
            connections=64,
            millicores=worker.capacity.millicores,
            memory_mib=worker.capacity.memory_mib,
            accelerators=worker.capacity.accelerators,
        )
        assigned = _records.MachineAssigned(name, INSTANCE_NAME, 1, 0)
        self.fold_records(INSTANCE_NAME, [registered, assigned])

    def submit_jobs(self, jobs: Sequence[_job.Job]) -> None:
        """Adds jobs to the state, submitted in one log entry."""
        self.fold_records(
            OPERATOR_NAME, [_records.JobSubmitted(job) for job in jobs]
        )

    def handle_event(self, event: object) -> None:
        """Passes one event to the core and executes the returned actions."""
        start_s = time.thread_time()
        actions = self.core.handle(self.state, event, self.now)
        self.event_times_s.append(time.thread_time() - start_s)
        self._execute_actions(actions)

    def _execute_actions(self, actions: list[_batch_context.Action]) -> None:
        """Queues appends and sends calls to workers; ignores other actions."""
        for action in actions:
            match action:
                case _events.AppendRecords():
                    self._pending_appends.append(action.records)
                case _batch_events.CallWorker():
                    worker = self.worker_by_machine[action.machine]
                    request = action.request
                    answer = worker.answer_request(request, self.now.boot_s)
                    if isinstance(request, _batch_events.StartTask):
                        self.started_attempts += not answer.refusal
                    self.handle_event(answer)
                case _:
                    continue

    def fold_pending_appends(self) -> None:
        """Applies the records that the core appended until none is pending."""
        while self._pending_appends:
            appends, self._pending_appends = self._pending_appends, []
            records = [record for part in appends for record in part]
            for record in records:
                self.evicted_attempts += isinstance(
                    record, _records.TaskEvicted
                )
                self.completed_tasks += isinstance(
                    record, _records.TaskCompleted
                )
            self.fold_records(INSTANCE_NAME, records)

    def advance_time(self, seconds: float) -> None:
        """Advances the clock, renews the lease and sends the core a tick."""
        self.now = _time.Now(
            boot_s=self.now.boot_s + seconds,
            wall_s=self.now.wall_s + seconds,
        )
        lease_until_s = self.now.boot_s + seconds + 1.5
        self.handle_event(_events.LeaseChanged(lease_until_s))
        self.handle_event(_events.Tick())
        self.fold_pending_appends()

"""Updates the batch core's tables from records read back from the log."""

import xxhash

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_fleet
from basiljunction.coordination import _batch_hours
from basiljunction.coordination import _batch_index
from basiljunction.coordination import _batch_model
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _verdict

RECLAIM_WAIT_S = 1.0
"""Wait before a rejected or released task may be claimed again, in seconds."""

_FLEET_RECORDS = (
    _records.InstanceJoined,
    _records.InstanceLeaving,
    _records.InstanceLeft,
    _records.TakenOver,
    _records.MachineRegistered,
    _records.MachineRetired,
    _records.MachineAssigned,
)
"""Records that may change the instances or the owners of machines."""

AttemptEndRecord = (
    _records.TaskEvicted
    | _records.TaskReleased
    | _records.TaskFailed
    | _records.TaskCompleted
    | _records.TaskEnded
)
"""Records that end an attempt or a task."""

_Goal = _batch_model.EndGoal


class VerdictHandler:
    """Updates the batch core's tables from the verdicts on folded records.

    A verdict tells whether the fold, which derives the state from the log,
    accepted a record.

    Args:
        context: Shared tables.
        attempts: Drives this instance's attempts.
        index: Queue of units that are ready to be claimed.
        hours: Watches when office hours close.
        fleet: Tracks this instance's workers.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
        index: _batch_index.ReadyUnitIndex,
        hours: _batch_hours.OfficeHoursEnforcer,
        fleet: _batch_fleet.OwnedWorkers,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._index = index
        self._hours = hours
        self._fleet = fleet

    def handle_verdicts(self, verdicts: tuple[_verdict.Verdict, ...]) -> None:
        """Handles the verdicts on newly folded records, in log order."""
        is_fleet_changed = False
        for verdict in verdicts:
            if isinstance(verdict.record, _FLEET_RECORDS):
                is_fleet_changed = is_fleet_changed or verdict.is_accepted
            else:
                self._handle_verdict(verdict)
        if is_fleet_changed:
            self._index.update_instances()
            self._fleet.update_from_state()
            self.watch_adopted_hours()

    def reconcile_attempts(self) -> None:
        """Removes or advances attempts according to a newly loaded state.

        The verdicts between the old state and the new one were not seen.
        """
        for attempt in list(self._context.attempt_by_task.values()):
            task = self._context.state.task_by_id.get(attempt.ref.task_id)
            number = task.attempt if task is not None else -1
            is_claimed = (
                task is not None
                and task.phase is _job.TaskPhase.CLAIMED
                and number == attempt.ref.attempt
                and task.machine == attempt.machine
            )
            if attempt.phase is not _batch_model.Phase.CLAIMING:
                if not is_claimed:
                    self._context.remove_attempt(attempt)
            elif is_claimed:
                self._hours.schedule_closing_check(attempt)
                self._attempts.handle_accepted_claim(attempt)
            elif number != attempt.ref.attempt - 1:
                self._attempts.handle_rejected_claim(
                    attempt, "the task changed in the state meanwhile"
                )

    def watch_adopted_hours(self) -> None:
        """Starts to watch the office hours of newly adopted attempts."""
        for attempt in self._fleet.adopted_attempts:
            self._hours.schedule_closing_check(attempt)
        self._fleet.adopted_attempts.clear()

    def handle_dropped_records(
        self, records: tuple[_records.Record, ...]
    ) -> None:
        """Handles records of this instance that were certainly not appended."""
        for record in records:
            match record:
                case _records.TaskClaimed():
                    self._handle_failed_claim(
                        record, "the claim was not appended"
                    )
                case (
                    _records.TaskEvicted()
                    | _records.TaskReleased()
                    | _records.TaskFailed()
                    | _records.TaskCompleted()
                ):
                    attempt = self._find_attempt(record.task_id, record.attempt)
                    if attempt is not None:
                        self._attempts.retry_dropped_record(attempt)
                case _:
                    continue

    def _handle_verdict(self, verdict: _verdict.Verdict) -> None:
        """Passes a verdict on a job, task or contract record to its handler."""
        record = verdict.record
        match record:
            case _records.TaskClaimed():
                self._handle_claim(record, verdict)
            case (
                _records.TaskEvicted()
                | _records.TaskReleased()
                | _records.TaskFailed()
                | _records.TaskCompleted()
                | _records.TaskEnded()
            ):
                self._handle_attempt_end(record, verdict)
            case _records.JobSubmitted() if verdict.is_accepted:
                self._index.add_job(record.job.job_id)
            case _records.JobCancelled() if verdict.is_accepted:
                self._handle_job_cancelled(record.job_id)
            case _records.ContractPublished() if verdict.is_accepted:
                self._handle_contract_published(record.contract.customer)
            case _:
                return

    def _is_from_this_instance(self, verdict: _verdict.Verdict) -> bool:
        """Returns whether this run of this instance wrote the record."""
        author = verdict.author
        own = (self._context.instance, self._context.incarnation)
        return (author.name, author.incarnation) == own

    def _find_attempt(
        self, task_id: str, attempt_number: int
    ) -> _batch_model.Attempt | None:
        """Returns this instance's attempt of that number at a task, or None."""
        attempt = self._context.attempt_by_task.get(task_id)
        if attempt is None or attempt.ref.attempt != attempt_number:
            return None
        return attempt

    def _handle_claim(
        self, record: _records.TaskClaimed, verdict: _verdict.Verdict
    ) -> None:
        """Handles a claim that was read back, of any instance."""
        if not self._is_from_this_instance(verdict):
            if verdict.is_accepted:
                self._index.refresh_unit(record.task_id)
                task = self._context.state.task_by_id[record.task_id]
                gang_key = _batch_model.gang_key(task.job_id, task.spec)
                self._attempts.start_claimed_gang(gang_key)
            return
        if not verdict.is_accepted:
            self._handle_failed_claim(record, str(verdict.rejection_reason))
            return
        attempt = self._find_attempt(record.task_id, record.attempt)
        if attempt is None or attempt.phase is not _batch_model.Phase.CLAIMING:
            return
        self._hours.schedule_closing_check(attempt)
        self._attempts.handle_accepted_claim(attempt)
        if attempt.gang_key:
            self._index.refresh_unit(record.task_id)

    def _handle_failed_claim(
        self, record: _records.TaskClaimed, why: str
    ) -> None:
        """Removes the attempt of a failed claim and queues its task again."""
        attempt = self._find_attempt(record.task_id, record.attempt)
        if attempt is None or attempt.phase is not _batch_model.Phase.CLAIMING:
            return
        self._attempts.handle_rejected_claim(attempt, why)
        self._index.refresh_unit(record.task_id, RECLAIM_WAIT_S)

    def _handle_attempt_end(
        self, record: AttemptEndRecord, verdict: _verdict.Verdict
    ) -> None:
        """Handles a record that ends an attempt or a task."""
        task_id = record.task_id
        attempt = self._find_attempt(task_id, record.attempt)
        if not verdict.is_accepted:
            self._remove_if_stale(task_id, attempt)
            return
        if attempt is not None:
            self._context.explain(task_id, *_explain_record(record))
            self._context.remove_attempt(attempt)
        self._evict_rest_of_gang(record)
        self._index.refresh_unit(task_id, self._reclaim_wait_s(record))
        task = self._context.state.task_by_id.get(task_id)
        if task is None:
            return
        if task.phase is _job.TaskPhase.COMPLETED:
            self._index.refresh_dependents(task_id)
        job = self._context.state.job_by_id[task.job_id]
        if job.open_tasks == 0:
            self._index.remove_job(task.job_id)

    def _reclaim_wait_s(self, record: AttemptEndRecord) -> float:
        """Returns the wait in seconds before the task may be claimed again."""
        if isinstance(record, _records.TaskEvicted):
            return self._context.policy.evicted_reclaim_wait_s
        if isinstance(record, _records.TaskReleased):
            return RECLAIM_WAIT_S + self._gang_spread_s(record)
        return 0.0

    def _gang_spread_s(self, record: _records.TaskReleased) -> float:
        """Returns a wait in seconds that differs between gangs; 0 without one.

        Gangs that each hold a part of what the others lack release it in step.
        One of them has to claim again before the others do. Every instance
        gets the same result.
        """
        task = self._context.state.task_by_id.get(record.task_id)
        if task is None:
            return 0.0
        gang_key = _batch_model.gang_key(task.job_id, task.spec)
        if not gang_key:
            return 0.0
        key = f"{gang_key}|{record.attempt}".encode()
        hash_fraction = xxhash.xxh32_intdigest(key) / 2**32
        return float(self._context.policy.gang_fill_timeout_s * hash_fraction)

    def _remove_if_stale(
        self, task_id: str, attempt: _batch_model.Attempt | None
    ) -> None:
        """Removes an attempt that the state no longer shows as claimed."""
        if attempt is None:
            return
        task = self._context.state.task_by_id.get(task_id)
        is_claimed = (
            task is not None
            and task.phase is _job.TaskPhase.CLAIMED
            and task.attempt == attempt.ref.attempt
        )
        if not is_claimed and attempt.phase is not (
            _batch_model.Phase.CLAIMING
        ):
            self._context.remove_attempt(attempt)

    def _evict_rest_of_gang(self, record: AttemptEndRecord) -> None:
        """Evicts the other attempts of a gang after one of them ended.

        The tasks of a gang need each other, so all of them have to restart.
        Attempts that have not started yet only keep waiting for the gang.
        """
        task = self._context.state.task_by_id.get(record.task_id)
        if task is None or isinstance(record, _records.TaskCompleted):
            return
        gang_key = _batch_model.gang_key(task.job_id, task.spec)
        waiting_phases = (
            _batch_model.Phase.CLAIMING,
            _batch_model.Phase.ACCEPTED,
        )
        for other in self._context.attempts_of_gang(gang_key):
            if other.phase not in waiting_phases:
                why = "another task of its gang ended"
                self._attempts.begin_ending(other, _Goal.EVICT, why)

    def _handle_job_cancelled(self, job_id: str) -> None:
        """Ends the attempts of a cancelled job and updates its queued tasks."""
        job = self._context.state.job_by_id[job_id]
        self._context.explain(job_id, "cancel", "the caller cancelled the job")
        for spec in job.job.tasks:
            attempt = self._context.attempt_by_task.get(
                _job.task_id(job_id, spec.name)
            )
            if attempt is not None:
                self._attempts.begin_ending(
                    attempt, _Goal.CANCEL, "its job was cancelled"
                )
        if job.open_tasks == 0:
            self._index.remove_job(job_id)
            return
        for spec in job.job.tasks:
            self._index.refresh_unit(_job.task_id(job_id, spec.name))

    def _handle_contract_published(self, customer: str) -> None:
        """Rechecks office hours and, if classes changed, the queued tasks."""
        context = self._context
        self._hours.reschedule_customer(customer)
        in_force = context.state.contract_by_customer[customer]
        earlier = in_force.earlier[-1] if in_force.earlier else None
        classes = in_force.contract.class_by_name
        if earlier is not None and earlier.class_by_name == classes:
            return
        for job_id, entry in context.state.job_by_id.items():
            if entry.job.customer != customer or entry.open_tasks == 0:
                continue
            for spec in entry.job.tasks:
                self._index.refresh_unit(_job.task_id(job_id, spec.name))


def _explain_record(record: AttemptEndRecord) -> tuple[str, str]:
    """Returns the decision and the detail that explain a record."""
    match record:
        case _records.TaskEvicted():
            saved = record.checkpoint or "no checkpoint"
            return (
                "evicted",
                f"attempt {record.attempt}; {record.progress_s:.0f} s of work "
                f"saved in {saved}",
            )
        case _records.TaskReleased():
            return ("released", f"attempt {record.attempt} did not run")
        case _records.TaskFailed():
            return (
                "failed",
                f"attempt {record.attempt} on {record.machine}: "
                f"{record.detail}",
            )
        case _records.TaskCompleted():
            return (
                "completed",
                f"attempt {record.attempt} after {record.run_time_s:.0f} s",
            )
        case _records.TaskEnded():
            return ("ended", f"{record.reason}: {record.detail}")

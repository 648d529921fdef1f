"""The scheduler of one cell: (state, event, now) -> orders and records."""

from collections.abc import Iterable
from collections.abc import Mapping

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _placer
from basiljunction.coordination.scheduling import _renewals
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


class Scheduler:
    """Owns the jobs, the room and the orders of one cell.

    Every method is an event. Orders and batches of records collect inside and
    are taken with `take_orders` and `take_batch`.

    Args:
        epoch: Epoch of this scheduler's term.
        times: Lengths of leases.
        configuration: Newest configuration.
    """

    def __init__(
        self,
        *,
        epoch: int,
        times: _limits.LeaseTimes,
        configuration: _configuration.Configuration,
    ) -> None:
        self.cell = _cell_state.CellState(
            epoch=epoch, times=times, configuration=configuration
        )
        self._placer = _placer.Placer(self.cell)
        self._renewals = _renewals.Renewals(self.cell)

    # Recovery.

    def restore(
        self, records: Iterable[_records.Record], now: _time.Now
    ) -> None:
        """Takes over what a predecessor stored.

        Nothing of an inherited job starts before each executor that may run
        a part of it has listed its runs, or has certainly let them lapse.
        """
        cell = self.cell
        accepted_by_id: dict[str, _progress.AcceptedJob] = {}
        progress_by_id: dict[str, _progress.Progress] = {}
        for record in records:
            if isinstance(record, _records.JobRecord):
                accepted_by_id[record.job.id] = record.job
            elif isinstance(record, _records.ProgressRecord):
                progress_by_id[record.job_id] = record.progress
            elif isinstance(record, _records.RosterRecord):
                for entry in record.entries:
                    self._inherit_executor(entry, now)
            elif isinstance(record, _records.LearnedRecord):
                cell.sharing.restore(record)
        for job_id, accepted in accepted_by_id.items():
            cell.job_by_id[job_id] = _jobs.restored(
                accepted,
                progress_by_id.get(job_id, _progress.Progress()),
                now_s=now.boot_s,
                wall_s=now.wall_s,
            )
        cell.has_inherited = bool(cell.executor_by_id)
        self.set_configuration(cell.configuration)

    def _inherit_executor(
        self, entry: _executor.ExecutorEntry, now: _time.Now
    ) -> None:
        state = _executors.ExecutorState(
            entry=entry, is_listed=False, roster_stored=True
        )
        state.inherited_until_s = now.boot_s + self.cell.times.longest_s
        self.cell.executor_by_id[entry.id] = state

    # Configuration and discovery.

    def set_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        """Takes a newer configuration; dropped queues keep their jobs."""
        self.cell.configuration = configuration
        for job in self.cell.job_by_id.values():
            newest = configuration.queue_named(job.queue.name)
            if newest is not None:
                job.queue = newest
        self.cell.needs_placing = True

    def set_executors(
        self, entries: Iterable[_executor.ExecutorEntry], now: _time.Now
    ) -> None:
        """Takes the platform's newest list of executors."""
        cell = self.cell
        entry_by_id = {each.id: each for each in entries}
        for executor_id, state in list(cell.executor_by_id.items()):
            entry = entry_by_id.get(executor_id)
            state.is_listed = entry is not None
            if entry is not None:
                state.entry = entry
            elif state.is_empty(now.boot_s):
                del cell.executor_by_id[executor_id]
                cell.roster_changed = True
        for executor_id, entry in entry_by_id.items():
            if executor_id not in cell.executor_by_id:
                cell.executor_by_id[executor_id] = _executors.ExecutorState(
                    entry=entry, next_hold_s=now.boot_s
                )
                cell.roster_changed = True
        cell.needs_placing = True

    # Jobs.

    def submit(
        self, accepted: _progress.AcceptedJob, now: _time.Now
    ) -> _orders.SubmitResult | None:
        """Takes a job; None means that the answer follows its storing."""
        cell = self.cell
        known = cell.job_by_id.get(accepted.id)
        if known is not None:
            if known.is_stored:
                return _orders.SubmitResult.ACCEPTED
            cell.replies.append(
                _orders.SubmitReply(accepted.id, _orders.SubmitResult.ACCEPTED)
            )
            return None
        if not self._placer.could_ever_fit(accepted):
            return _orders.SubmitResult.NEVER_FITS
        cell.job_by_id[accepted.id] = _jobs.Job(
            accepted=accepted,
            queue=accepted.queue,
            progress=_progress.Progress(),
            arrived_s=now.boot_s,
        )
        cell.note(
            "job.queued",
            job=accepted.id,
            queue=accepted.queue.name,
            tasks=sum(step.count for step in accepted.spec.steps),
            chain_s=round(accepted.spec.longest_chain_s(), 3),
        )
        cell.records.append(_records.JobRecord(accepted))
        cell.replies.append(
            _orders.SubmitReply(accepted.id, _orders.SubmitResult.ACCEPTED)
        )
        return None

    def cancel(self, job_id: str, now: _time.Now) -> _progress.JobState | None:
        """Cancels a job.

        Returns:
            The state of a job that is final already; None if the answer
            follows the storing.

        Raises:
            KeyError: The job is not known.
        """
        job = self.cell.job_by_id[job_id]
        state = job.progress.state
        if state.is_final and job_id not in self.cell.unstored_final:
            return state
        if not state.is_final:
            self.cell.finish(job, _progress.JobState.CANCELLED, now)
        self.cell.replies.append(
            _orders.CancelReply(job_id, job.progress.state)
        )
        return None

    def state_of(self, job_id: str) -> _progress.JobState | None:
        """Returns the state that may be shown; None if it is not known.

        A state that is not stored yet is not shown: a successor would not
        know of it.
        """
        job = self.cell.job_by_id.get(job_id)
        if job is None or not job.is_stored:
            return None
        if job_id in self.cell.unstored_final:
            return _progress.JobState.RUNNING
        state = job.progress.state
        if state is _progress.JobState.PENDING and job.has_begun:
            return _progress.JobState.RUNNING
        return state

    def waiting_in(self, queue_name: str) -> int:
        """Returns how many accepted jobs of a queue have started no task."""
        return sum(
            job.queue.name == queue_name and job.is_active and not job.has_begun
            for job in self.cell.job_by_id.values()
        )

    # Answers of executors.

    def start_answered(
        self,
        order: _orders.StartOrder,
        result: _orders.StartResult,
        now: _time.Now,
    ) -> None:
        """Takes the answer to a start order, or the lack of one."""
        state, run = self.cell.run_of(order.executor, order.task, order.run)
        if state is None or run is None:
            return
        if result is _orders.StartResult.FENCED:
            self.cell.is_fenced = True
        if result is _orders.StartResult.NOT_APPROVED:
            key = (order.task.job, order.task.occurrence, order.task.step)
            self.cell.approvals.rejected(key, order.executor)
            self.cell.release(state, run, now, delay_s=_limits.HOLD_RETRY_S)
            return
        if result.has_not_run:
            avoid_s = _AVOID_S_BY_RESULT.get(result, 0.0)
            if avoid_s:
                state.avoid_until_s = now.boot_s + avoid_s
                self.cell.note(
                    "executor.avoided",
                    executor=order.executor,
                    reason=result.value,
                    for_s=avoid_s,
                )
            self.cell.release(state, run, now, delay_s=_limits.HOLD_GAP_S)
            return
        if run.phase is not _runs.Phase.ORDERED:
            return
        run.since_s = now.boot_s
        if result is _orders.StartResult.STARTED:
            run.phase = _runs.Phase.RUNNING
        else:
            run.phase = _runs.Phase.UNSETTLED

    def stop_answered(
        self, order: _orders.StopOrder, is_answered: bool, now: _time.Now
    ) -> None:
        """Takes the answer to a stop order, or the lack of one."""
        _, run = self.cell.run_of(order.executor, order.task, order.run)
        if run is None:
            return
        if is_answered:
            run.stop_answered_s = now.boot_s
        run.next_stop_s = now.boot_s + _limits.STOP_RETRY_S

    def pace_answered(
        self, order: _orders.PaceOrder, is_answered: bool, now: _time.Now
    ) -> None:
        """Takes the answer to a change of pace, or the lack of one."""
        _, run = self.cell.run_of(order.executor, order.task, order.run)
        if run is not None:
            run.pace_in_flight = False
            if is_answered:
                run.pace_percent = order.percent
            run.paced_s = now.boot_s

    def approval_answered(
        self,
        order: _orders.ApprovalOrder,
        proof_by_executor: Mapping[str, str],
        now: _time.Now,
    ) -> None:
        """Takes the executors that the policy approves for a step."""
        cell = self.cell
        job = cell.job_by_id.get(order.job)
        if job is None or job.queue.approval is None:
            return
        cell.approvals.answered(
            order,
            proof_by_executor,
            {key: each.born_ms for key, each in cell.executor_by_id.items()},
            validity_s=job.queue.approval.validity_s,
            now_s=now.boot_s,
        )
        cell.note(
            "approval.answered",
            job=order.job,
            occurrence=order.occurrence,
            step=order.step,
            asked=len(order.executors),
            approved=len(proof_by_executor),
        )
        cell.needs_placing = True

    def approval_failed(
        self, order: _orders.ApprovalOrder, now: _time.Now
    ) -> None:
        """Takes the lack of the policy's answer."""
        self.cell.approvals.failed(order, now.boot_s)

    def hold_answered(
        self,
        order: _orders.HoldOrder,
        report: _executor.HoldReport,
        now: _time.Now,
    ) -> None:
        """Takes an executor's lists of runs and ends."""
        self._renewals.answered(order, report, now)

    def hold_failed(
        self, order: _orders.HoldOrder, now: _time.Now, *, is_other_life: bool
    ) -> None:
        """Takes the lack of an answer to a renewal."""
        self._renewals.failed(order, now, is_other_life=is_other_life)

    # Time and output.

    def tick(self, now: _time.Now, *, confirmed_s: float) -> None:
        """Does what is due.

        Args:
            now: The time.
            confirmed_s: When the store last confirmed this scheduler's term.
        """
        cell = self.cell
        cell.may_lead = now.boot_s - confirmed_s < cell.times.unconfirmed_s
        self._renewals.tick(now)
        self._forget_finished(now)
        if now.boot_s >= cell.next_learned_s:
            cell.next_learned_s = now.boot_s + LEARNED_INTERVAL_S
            cell.records.append(cell.sharing.learned())
        self._placer.place(now)

    def _forget_finished(self, now: _time.Now) -> None:
        cell = self.cell
        if now.boot_s < cell.next_forget_s:
            return
        cell.next_forget_s = now.boot_s + FORGET_INTERVAL_S
        for job_id, job in list(cell.job_by_id.items()):
            progress = job.progress
            age_s = now.wall_s - progress.finished_wall_s
            if progress.state.is_final and age_s > FORGET_FACTOR * (
                cell.times.status_s
            ):
                del cell.job_by_id[job_id]
                cell.records.append(_records.ForgottenRecord(job_id))

    def take_orders(self) -> list[_orders.Order]:
        """Returns the orders that collected and clears them."""
        orders = self.cell.orders
        self.cell.orders = []
        return orders

    def take_notes(self) -> list[_notes.Note]:
        """Returns the decisions that collected and clears them."""
        notes = self.cell.notes
        self.cell.notes = []
        return notes

    def take_batch(self) -> _orders.Batch | None:
        """Returns what has to be stored next, or None."""
        return self.cell.take_batch()

    def batch_stored(self, batch: _orders.Batch, now: _time.Now) -> None:
        """Takes note that a batch is stored."""
        cell = self.cell
        for record in batch.records:
            self._record_stored(record)
        for executor_id, covered in batch.acknowledge_by_executor.items():
            state = cell.executor_by_id.get(executor_id)
            if state is not None and state.born_ms == covered.born_ms:
                state.acknowledged = max(state.acknowledged, covered.number)
                state.next_hold_s = now.boot_s
        cell.needs_placing = True

    def _record_stored(self, record: _records.Record) -> None:
        cell = self.cell
        if isinstance(record, _records.JobRecord):
            job = cell.job_by_id.get(record.job.id)
            if job is not None:
                job.is_stored = True
        elif isinstance(record, _records.ProgressRecord):
            if record.job_id not in cell.dirty_jobs:
                cell.unstored_final.discard(record.job_id)
        elif isinstance(record, _records.RosterRecord):
            for entry in record.entries:
                state = cell.executor_by_id.get(entry.id)
                if state is not None:
                    state.roster_stored = True


_AVOID_S_BY_RESULT = {
    _orders.StartResult.UNHEALTHY: _limits.UNHEALTHY_S,
    _orders.StartResult.NO_ROOM: _limits.HOLD_RETRY_S,
}

FORGET_INTERVAL_S = 5.0
"""How often finished jobs are looked through."""

LEARNED_INTERVAL_S = 2.0
"""How often what was learned is stored; a successor misses two seconds."""

FORGET_FACTOR = 2.0
"""Multiple of the time that a state has to stay visible; covers clock steps."""

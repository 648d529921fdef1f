"""The deterministic scheduler of one cell, without I/O.

From events and the current time it makes orders to executors and records.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _term_history
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _clock_reading
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _evacuation
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _inherited_runs
from basiljunction.coordination.scheduling import _job_memory
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _last_resorts
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _placer
from basiljunction.coordination.scheduling import _renewals
from basiljunction.coordination.scheduling import _restarts
from basiljunction.coordination.scheduling import _restored_jobs
from basiljunction.coordination.scheduling import _roster
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _silent_executors
from basiljunction.coordination.scheduling import _start_answers
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


class Scheduler:
    """Schedules the tasks of one cell onto its executors.

    A cell is a group of executors and jobs with one scheduler. Methods handle
    events; the resulting orders, log notes and record batches accumulate until
    the caller collects them with `take_orders`, `take_notes` and `take_batch`.

    Args:
        epoch: Epoch of this scheduler's term, the fencing token of its orders.
        times: Durations of leases and of job retention.
        configuration: Newest configuration of the queues.
        max_jobs_bytes: Memory for all jobs together, in bytes.
    """

    def __init__(
        self,
        *,
        epoch: int,
        times: _limits.LeaseTimes,
        configuration: _configuration.Configuration,
        max_jobs_bytes: float = float("inf"),
    ) -> None:
        self.cell = _cell_state.CellState(
            epoch=epoch,
            times=times,
            configuration=configuration,
            job_memory=_job_memory.JobMemory(max_jobs_bytes),
        )
        self._placer = _placer.Placer(self.cell)
        self._crashes = _crashes.CrashRecorder(self.cell)
        self._restarts = _restarts.RestartHandler(self.cell, self._crashes)
        self._renewals = _renewals.LeaseRenewals(
            self.cell, self._crashes, self._restarts
        )
        self._start_answers = _start_answers.StartAnswers(
            self.cell, self._crashes
        )
        self._inherited_waits = _inherited_runs.InheritedRunWaits(self.cell)
        self._roster = _roster.Roster(self.cell)
        self._silent_executors = _silent_executors.SilentExecutors(self.cell)
        self._evacuation = _evacuation.Evacuation(self.cell)

    # Recovery.

    def restore_from_records(
        self,
        records: Iterable[_records.Record],
        now: _time.Now,
        *,
        earlier_terms_ended_s: float,
        history: _term_history.TermHistory,
        longest_inherited_run_s: float | None = None,
        knows_longest_leases: bool = False,
        bounded_since_epoch: int = 0,
    ) -> None:
        """Rebuilds jobs and executors from the records of earlier terms.

        No task of an inherited job starts until each executor that may run one
        has listed its runs, or until its lease has certainly expired.

        Args:
            records: The stored records.
            now: The time.
            earlier_terms_ended_s: Time after which no earlier term was
                confirmed, on the steady clock.
            history: When this instance read the records of recent terms.
            longest_inherited_run_s: Longest time for which runs of earlier
                terms may go on after that, in seconds; None if the scheduler
                before may have gone on without a confirmation.
            knows_longest_leases: Whether that counts leases after a restart.
            bounded_since_epoch: First epoch from which on all schedulers stored
                bounds of silent executors before leases; 0 if the last did not.
        """
        cell = self.cell
        if longest_inherited_run_s is None:
            longest_inherited_run_s = cell.times.max_run_after_term_s
        inherited_until_s = (
            earlier_terms_ended_s
            + longest_inherited_run_s
            + _limits.LEASE_EXPIRY_MARGIN_S
        )
        stored = tuple(records)
        self._restore_jobs(stored, now)
        cell.run_numbers.restore(stored)
        restarted_excess_s = (
            0.0 if knows_longest_leases else cell.times.max_restarted_excess_s
        )
        silent = self._restore_executors(
            stored, history, inherited_until_s, restarted_excess_s
        )
        if (
            silent is not None
            and knows_longest_leases
            and silent.epoch == cell.epoch - 1
            and silent.tells_long_runs
            and longest_inherited_run_s < cell.times.max_run_after_term_s
        ):
            self._shorten_waits_for_ordinary_leases(
                silent, earlier_terms_ended_s
            )
        if silent is not None:
            self._silent_executors.restore(
                silent, history, bounded_since_epoch=bounded_since_epoch
            )
        cell.has_inherited_runs = bool(cell.executor_by_id)
        self._crashes.restore()
        self.set_configuration(cell.configuration)

    def _shorten_waits_for_ordinary_leases(
        self,
        silent: _records.SilentExecutorsRecord,
        earlier_terms_ended_s: float,
    ) -> None:
        """Counts with an ordinary lease where no longer one is stored.

        Args:
            silent: The newest record, of a scheduler that has resigned and
                told of each executor with a longer one.
            earlier_terms_ended_s: Time after which no earlier term was
                confirmed, on the steady clock.
        """
        until_s = (
            earlier_terms_ended_s
            + self.cell.times.max_ordinary_run_s
            + _limits.LEASE_EXPIRY_MARGIN_S
        )
        for executor_id, executor in self.cell.executor_by_id.items():
            if (
                executor.inherited_until_s is None
                or executor_id in silent.bound_by_executor
            ):
                continue
            runs_end_s = until_s
            if executor.listing.has_restarted:
                if executor.long_leases_end_s is None:
                    continue
                runs_end_s = max(until_s, executor.long_leases_end_s)
            executor.inherited_until_s = min(
                executor.inherited_until_s, runs_end_s
            )

    def _restore_jobs(
        self, records: Iterable[_records.Record], now: _time.Now
    ) -> None:
        """Rebuilds the jobs from their records and those of their progress."""
        cell = self.cell
        accepted_by_id: dict[str, _progress.AcceptedJob] = {}
        progress_by_id: dict[str, _progress.JobProgress] = {}
        for record in records:
            if isinstance(record, _records.JobRecord):
                accepted_by_id[record.job.id] = record.job
            elif isinstance(record, _records.ProgressRecord):
                progress_by_id[record.job_id] = record.progress
        for job_id, accepted in accepted_by_id.items():
            progress = progress_by_id.get(job_id, _progress.JobProgress())
            if progress.state.is_final and accepted.spec.steps:
                cell.unshortened_job_ids.add(job_id)
            cell.job_by_id[job_id] = _restored_jobs.restore_job(
                accepted,
                progress,
                now_s=now.boot_s,
                wall_s=now.wall_s,
            )
            cell.job_memory.record(accepted)

    def _restore_executors(
        self,
        records: Iterable[_records.Record],
        history: _term_history.TermHistory,
        inherited_until_s: float,
        restarted_excess_s: float,
    ) -> _records.SilentExecutorsRecord | None:
        """Rebuilds what earlier terms knew of executors from the records.

        Returns:
            The newest record of silent executors; None if there is none.
        """
        silent: _records.SilentExecutorsRecord | None = None
        for record in records:
            if isinstance(record, _records.ExecutorRosterRecord):
                self._roster.restore(
                    record,
                    history,
                    inherited_until_s=inherited_until_s,
                    restarted_excess_s=restarted_excess_s,
                )
            elif isinstance(record, _records.LearnedHeadroomRecord):
                self.cell.sharing.restore_learned(record)
            elif isinstance(record, _records.SilentExecutorsRecord):
                silent = record
        return silent

    def longest_run_s(self, now: _time.Now) -> float:
        """Returns how long runs go on if this scheduler stops now, in seconds.

        That is what is left of the leases where runs may exist, or their ends
        are not stored. If one is longer than an ordinary lease, and the store
        does not tell of its executor, it is the longest time that there is.
        """
        cell = self.cell
        longest_s = margin_s = _limits.LEASE_EXPIRY_MARGIN_S
        for executor_id, executor in cell.executor_by_id.items():
            if not (
                executor.run_by_key
                or executor.inherited_until_s is not None
                or executor.processed_end_number > executor.stored_end_number
            ):
                continue
            run_s = executor.runs_end_by_s() - margin_s - now.boot_s
            is_told = (
                executor.is_restart_stored
                or self._silent_executors.has_stored_bound(executor_id)
            )
            if run_s > cell.times.max_ordinary_run_s and not is_told:
                run_s = max(run_s, cell.times.max_run_after_term_s)
            longest_s = max(longest_s, run_s)
        return longest_s

    # Configuration and discovery.

    def set_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        """Applies a newer configuration; jobs of removed queues stay."""
        self.cell.configuration = configuration
        for job in self.cell.job_by_id.values():
            newest = configuration.find_queue_by_name(job.queue.name)
            if newest is not None:
                job.queue = newest
        self.cell.needs_placing = True

    def set_executors(
        self, entries: Iterable[_executor.ListedExecutor], now: _time.Now
    ) -> None:
        """Applies the platform's newest list of executors.

        An executor that is no longer listed is removed once nothing can run on
        it any more.
        """
        cell = self.cell
        entry_by_id = {each.id: each for each in entries}
        for executor_id, state in list(cell.executor_by_id.items()):
            entry = entry_by_id.get(executor_id)
            state.is_listed = entry is not None
            if entry is not None:
                # A successor calls the address in the stored roster.
                if entry.address != state.listing.address:
                    cell.roster_changed = True
                if entry.born_ms != state.listing.born_ms:
                    state.is_roster_stored = False
                    cell.roster_changed = True
                state.update_listing(entry, now.boot_s)
            elif state.may_be_forgotten(now.boot_s):
                del cell.executor_by_id[executor_id]
                cell.sharing.forget_executor(executor_id)
                cell.roster_changed = True
        for executor_id, entry in entry_by_id.items():
            if executor_id not in cell.executor_by_id:
                # Under its id this term may have had orders of any generation.
                state = _executors.ExecutorState(
                    listing=entry,
                    is_vacated=True,
                    next_renewal_s=now.boot_s,
                    generation=cell.order_generation,
                )
                state.update_listing(entry, now.boot_s)
                cell.executor_by_id[executor_id] = state
        self._recheck_start_orders(now)
        cell.needs_placing = True

    def _recheck_start_orders(self, now: _time.Now) -> None:
        """Drops start orders that are not sent yet and no longer in order."""
        cell = self.cell
        orders = cell.orders
        cell.orders = []
        for order in orders:
            if isinstance(order, _orders.StartOrder):
                self._order_held_start(order, now)
            else:
                cell.orders.append(order)

    # Jobs.

    def submit_job(
        self, accepted: _progress.AcceptedJob, now: _time.Now
    ) -> _orders.SubmitResult | None:
        """Accepts a job, or rejects one that fits no executor.

        Returns:
            The result, or None if a `SubmitReply` follows once the job is
            stored.
        """
        cell = self.cell
        known = cell.job_by_id.get(accepted.id)
        if known is not None:
            if known.is_stored:
                return _orders.SubmitResult.ACCEPTED
            cell.replies.append(
                _orders.SubmitReply(accepted.id, _orders.SubmitResult.ACCEPTED)
            )
            return None
        if not (
            self._placer.could_ever_fit(accepted)
            and cell.job_memory.could_ever_fit(accepted)
        ):
            return _orders.SubmitResult.NEVER_FITS
        if not cell.job_memory.has_room(accepted):
            cell.note(
                "job.no-memory",
                job=accepted.id,
                needed_bytes=_job_memory.estimate_bytes(accepted),
                used_bytes=cell.job_memory.used_bytes,
                limit_bytes=cell.job_memory.limit_bytes,
            )
            return _orders.SubmitResult.OVERLOADED
        cell.job_memory.record(accepted)
        job = cell.job_by_id[accepted.id] = _jobs.Job(
            accepted=accepted,
            queue=accepted.queue,
            progress=_progress.JobProgress(
                executor_by_position=(
                    {} if accepted.spec.has_lasting_step else None
                )
            ),
            arrived_s=now.boot_s,
        )
        if accepted.spec.has_lasting_step:
            cell.mark_progress_dirty(job)
        cell.note(
            "job.queued",
            job=accepted.id,
            queue=accepted.queue.name,
            tasks=sum(step.count for step in accepted.spec.steps),
            chain_s=round(accepted.spec.critical_path_s(), 3),
        )
        cell.records.append(_records.JobRecord(accepted))
        cell.replies.append(
            _orders.SubmitReply(accepted.id, _orders.SubmitResult.ACCEPTED)
        )
        return None

    def cancel_job(
        self, job_id: str, now: _time.Now
    ) -> _progress.JobState | None:
        """Cancels a job and stops its runs.

        Returns:
            The state of a job whose final state is already stored; None if a
            `CancelReply` follows once the state is stored.

        Raises:
            KeyError: The job is not known.
        """
        job = self.cell.job_by_id[job_id]
        state = job.progress.state
        if state.is_final and job_id not in self.cell.unstored_final_job_ids:
            return state
        if not state.is_final:
            self.cell.finish_job(job, _progress.JobState.CANCELLED, now)
        self.cell.replies.append(
            _orders.CancelReply(job_id, job.progress.state)
        )
        return None

    def visible_state(self, job_id: str) -> _progress.JobState | None:
        """Returns a job's state as callers may see it; None if not known.

        A job or a final state that is not stored yet stays hidden, because a
        successor would not know of it.
        """
        job = self.cell.job_by_id.get(job_id)
        if job is None or not job.is_stored:
            return None
        if job_id in self.cell.unstored_final_job_ids:
            return _progress.JobState.RUNNING
        state = job.progress.state
        if state is _progress.JobState.PENDING and job.has_started_tasks:
            return _progress.JobState.RUNNING
        return state

    def count_waiting_jobs(self, queue_name: str) -> int:
        """Returns how many accepted jobs of a queue have not started a task."""
        return sum(
            job.queue.name == queue_name and job.awaits_first_start
            for job in self.cell.job_by_id.values()
        )

    # Answers of executors and of the approval policy.

    def hold_start(self, order: _orders.StartOrder) -> None:
        """Notes that a start is not sent yet, as its executor is checked."""
        _, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if run is not None:
            run.is_start_held = True

    def confirm_start(self, order: _orders.StartOrder, now: _time.Now) -> bool:
        """Returns whether a start is still in order, just before it is sent.

        It is not if its run is to be stopped, or if its executor has restarted
        since it was ordered. One that was held is not either if its executor
        accepts no new tasks any more, or has become too small.
        """
        executor, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if executor is None or run is None:
            return False
        if run.phase is not _runs.RunPhase.ORDERED:
            return False
        return not run.is_start_held or _last_resorts.may_still_start(
            self.cell, executor, run, now.boot_s
        )

    def note_start_sent(self, order: _orders.StartOrder) -> None:
        """Notes that a start is being sent on a connection."""
        _, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if run is not None:
            run.is_start_held = False

    def handle_start_answer(
        self,
        order: _orders.StartOrder,
        result: _orders.StartResult,
        now: _time.Now,
    ) -> None:
        """Updates a run after a start order was answered or got no answer.

        A run that will never run is released, so that its task waits again.

        Args:
            order: The start order.
            result: What became of it.
            now: The time.
        """
        state, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if state is None or run is None:
            return
        if result is _orders.StartResult.FENCED:
            self._note_fence(state, run.generation)
        self._start_answers.apply(state, run, result, now)

    def handle_clock(
        self,
        executor_id: str,
        known: _clock_reading.ClockReading,
        clock_ms: int,
        now: _time.Now,
        *,
        sent_s: float,
    ) -> None:
        """Notices a restart of an executor by the clock in any answer.

        Args:
            executor_id: Id of the executor.
            known: Reading of its clock that was known when the order was sent.
            clock_ms: Reading in the answer, in milliseconds.
            now: The time.
            sent_s: When the order was sent, in seconds.
        """
        self._restarts.handle_clock(
            executor_id, known, clock_ms, now, sent_s=sent_s
        )

    def handle_stop_answer(
        self, order: _orders.StopOrder, is_answered: bool, now: _time.Now
    ) -> None:
        """Records whether a stop order was answered and schedules its retry."""
        _, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if run is None:
            return
        if is_answered:
            run.stop_answered_s = now.boot_s
        run.next_stop_order_s = now.boot_s + _limits.STOP_RETRY_S

    def handle_pace_answer(
        self, order: _orders.PaceOrder, is_answered: bool, now: _time.Now
    ) -> None:
        """Records whether a pace order was answered.

        An answered order updates the recorded pace of the run.
        """
        executor, run = self.cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if executor is not None and run is not None:
            executor.revision += 1
            run.record_pace_answer(
                order.percent, now.boot_s, is_answered=is_answered
            )

    def handle_approval_answer(
        self,
        order: _orders.ApprovalOrder,
        proof_by_executor: Mapping[str, str],
        now: _time.Now,
    ) -> None:
        """Records which executors the approval policy approved for a step.

        Args:
            order: The request that was answered.
            proof_by_executor: Proof of approval by id of the executor.
            now: The time.
        """
        cell = self.cell
        approvals = cell.approvals.record_answer(
            order, proof_by_executor, now.boot_s
        )
        if approvals is None:
            cell.note("approval.unused", job=order.job, request=order.number)
            return
        cell.note(
            "approval.answered",
            job=order.job,
            occurrence=order.occurrence,
            step=order.step,
            asked=len(order.executors),
            approved=len(proof_by_executor),
            requests=approvals.request_count,
            waited_s=round(now.boot_s - approvals.wanted_since_s, 3),
        )
        cell.needs_placing = True

    def handle_approval_failure(
        self, order: _orders.ApprovalOrder, now: _time.Now
    ) -> None:
        """Schedules a retry of an approval request that got no answer."""
        self.cell.approvals.record_failure(order, now.boot_s)

    def handle_renewal_answer(
        self,
        order: _orders.RenewalOrder,
        report: _executor.LeaseRenewalReply,
        now: _time.Now,
    ) -> None:
        """Applies an executor's answer to a lease renewal."""
        self._renewals.handle_answer(order, report, now)

    def handle_fence(self, order: _orders.RenewalOrder, now: _time.Now) -> None:
        """Handles a renewal that an executor refused for its fencing token."""
        executor = self.cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        self._note_fence(executor, executor.renewal_generation)
        self._renewals.handle_failure(order, now, is_other_incarnation=False)

    def _note_fence(
        self, executor: _executors.ExecutorState, generation: int
    ) -> None:
        """Ends this scheduler's work if an executor has seen a later term.

        An order of an earlier generation is refused for the token of a later
        order of this term.
        """
        if generation == executor.generation:
            self.cell.is_fenced = True

    def handle_renewal_failure(
        self,
        order: _orders.RenewalOrder,
        now: _time.Now,
        *,
        is_other_incarnation: bool,
    ) -> None:
        """Schedules a retry of a lease renewal that got no answer.

        Args:
            order: The renewal order.
            now: The time.
            is_other_incarnation: Whether another incarnation of the executor
                refused it; the runs of the old one are then gone.
        """
        self._renewals.handle_failure(
            order, now, is_other_incarnation=is_other_incarnation
        )

    def handle_unsent_renewal(
        self, order: _orders.RenewalOrder, now: _time.Now
    ) -> None:
        """Repeats a renewal that found no open connection to its executor."""
        self._renewals.handle_unsent(order, now)

    def handle_incarnation_check(
        self,
        executor_id: str,
        known: _clock_reading.ClockReading,
        report: _executor.LeaseRenewalReply,
        now: _time.Now,
    ) -> bool:
        """Compares an executor that has answered with the one that is known.

        Args:
            executor_id: Id of the executor.
            known: Reading of its clock that was known when it was asked.
            report: The answer.
            now: The time.

        Returns:
            Whether it is the incarnation that has listed its runs last.
        """
        return self._restarts.handle_incarnation_check(
            executor_id, known, report, now
        )

    # Time and output.

    def run_timed_work(
        self,
        now: _time.Now,
        *,
        confirmed_s: float,
        confirmed_beat: int,
        outage_reported_until_s: float = float("-inf"),
    ) -> None:
        """Runs the timed work: renewals, stops, moves, clean-up and placement.

        Args:
            now: The time.
            confirmed_s: Sending time of the newest record of this scheduler's
                term that the store confirmed, on the steady clock.
            confirmed_beat: Number of the renewal that wrote it.
            outage_reported_until_s: Time until which the reports of all other
                instances hold that they cannot reach the store.
        """
        cell = self.cell
        cell.confirmed_s = confirmed_s
        cell.confirmed_beat = confirmed_beat
        cell.is_term_confirmed = now.boot_s < _lease_grants.grants_end_s(
            confirmed_s, outage_reported_until_s
        )
        cell.measure_tick_gap(now.boot_s)
        self._renewals.tick(now)
        self._roster.tick(now)
        self._inherited_waits.tick(now)
        self._evacuation.tick(now)
        self._shorten_finished_jobs(now)
        self._forget_finished_jobs(now)
        if now.boot_s >= cell.next_learned_record_s:
            cell.next_learned_record_s = now.boot_s + LEARNED_RECORD_INTERVAL_S
            cell.records.append(cell.sharing.export_learned())
        self._placer.place_waiting_tasks(now)

    def _shorten_finished_jobs(self, now: _time.Now) -> None:
        """Drops payload and steps of finished jobs, in memory and in the store.

        A job keeps them until its final state is stored, without which it
        would have to go on, and while a run of it may exist, because a
        successor needs the step to know what the run occupies.
        """
        cell = self.cell
        if now.boot_s < cell.next_shorten_finished_s:
            return
        cell.next_shorten_finished_s = now.boot_s + SHORTEN_FINISHED_INTERVAL_S
        ready_ids = cell.unshortened_job_ids - cell.unstored_final_job_ids
        if not ready_ids or cell.has_inherited_runs:
            return
        ready_ids -= {
            run.task.job
            for executor in cell.executor_by_id.values()
            for run in executor.run_by_key.values()
        }
        for job_id in itertools.islice(ready_ids, MAX_SHORTENED_AT_ONCE):
            cell.unshortened_job_ids.discard(job_id)
            job = cell.job_by_id.get(job_id)
            if job is not None and job.progress.state.is_final:
                job.drop_spec()
                cell.job_memory.record(job.accepted)
                cell.records.append(_records.JobRecord(job.accepted))

    def _forget_finished_jobs(self, now: _time.Now) -> None:
        """Removes jobs that finished longer ago than the retention time."""
        cell = self.cell
        if now.boot_s < cell.next_forget_finished_s:
            return
        cell.next_forget_finished_s = now.boot_s + FORGET_FINISHED_INTERVAL_S
        for job_id, job in list(cell.job_by_id.items()):
            progress = job.progress
            age_s = now.wall_s - progress.finished_wall_s
            if progress.state.is_final and age_s > FINISHED_RETENTION_FACTOR * (
                cell.times.finished_job_retention_s
            ):
                del cell.job_by_id[job_id]
                cell.job_memory.remove(job_id)
                cell.records.append(_records.JobDeletionRecord(job_id))

    def take_orders(self) -> list[_orders.Order]:
        """Returns and clears the orders that wait to be sent."""
        orders = self.cell.orders
        self.cell.orders = []
        return orders

    def take_notes(self) -> list[_notes.Note]:
        """Returns and clears the decisions that wait to be logged."""
        notes = self.cell.notes
        self.cell.notes = []
        return notes

    def take_batch(self) -> _orders.Batch | None:
        """Returns and clears the records to store next, or None.

        Call it only when the batch can be stored at once.
        """
        return self.cell.take_batch(
            self._roster.next_record(), self._silent_executors.next_record()
        )

    def handle_batch_stored(self, batch: _orders.Batch, now: _time.Now) -> None:
        """Applies the confirmation that a batch is stored.

        Its jobs may start, and the run ends that it covers are acknowledged to
        their executors with the next renewal.
        """
        cell = self.cell
        cell.run_numbers.handle_stored(batch.records)
        for record in batch.records:
            self._mark_record_stored(record)
        for order in batch.starts:
            self._order_held_start(order, now)
        for executor_id, covered in batch.acknowledge_by_executor.items():
            state = cell.executor_by_id.get(executor_id)
            if (
                state is not None
                and state.started_wall_ms == covered.started_wall_ms
            ):
                state.stored_end_number = max(
                    state.stored_end_number, covered.number
                )
                state.next_renewal_s = now.boot_s
        cell.needs_placing = True

    def _order_held_start(
        self, order: _orders.StartOrder, now: _time.Now
    ) -> None:
        """Orders a start that waited, if it is still in order."""
        cell = self.cell
        executor, run = cell.find_executor_and_run(
            order.executor, order.task, order.run
        )
        if executor is None or run is None:
            return
        if run.phase is not _runs.RunPhase.ORDERED:
            return
        if _last_resorts.may_still_start(cell, executor, run, now.boot_s):
            run.is_start_held = False
            cell.orders.append(order)
        else:
            # It was not sent, so the task can start elsewhere at once.
            cell.release_run(executor, run, now)

    def _mark_record_stored(self, record: _records.Record) -> None:
        """Updates the job or the executors that a stored record covers."""
        cell = self.cell
        if isinstance(record, _records.JobRecord):
            job = cell.job_by_id.get(record.job.id)
            if job is not None:
                job.is_stored = True
        elif isinstance(record, _records.ProgressRecord):
            if record.job_id not in cell.dirty_job_ids:
                cell.unstored_final_job_ids.discard(record.job_id)
        elif isinstance(record, _records.ExecutorRosterRecord):
            self._roster.handle_stored(record)
        elif isinstance(record, _records.SilentExecutorsRecord):
            self._silent_executors.handle_stored(record)


SHORTEN_FINISHED_INTERVAL_S = 1.0
"""Interval between searches for finished jobs to shorten, in seconds."""

MAX_SHORTENED_AT_ONCE = 100
"""Most finished jobs whose records are shortened with one batch.

After a take-over from an earlier build there may be thousands; in one batch,
they would delay the acceptances in it.
"""

FORGET_FINISHED_INTERVAL_S = 5.0
"""Interval between searches for finished jobs to remove, in seconds."""

LEARNED_RECORD_INTERVAL_S = 2.0
"""Interval between records of the learned filler models, in seconds.

A successor misses at most the two seconds since the last record.
"""

FINISHED_RETENTION_FACTOR = 2.0
"""Multiple of `LeaseTimes.finished_job_retention_s` for which a finished job
is kept.

The margin covers steps of the wall clock.
"""

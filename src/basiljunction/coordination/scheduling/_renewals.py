"""Lease renewals of executors and processing of their answers.

An answer lists the runs of the executor and the ends of runs. An end is the
report of how a run ended; ends are numbered per incarnation of the executor.
"""

import dataclasses
import math

from basiljunction.coordination.scheduling import _begun_tasks
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _restarts
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _slowness
from basiljunction.coordination.scheduling import _stalls
from basiljunction.coordination.scheduling import _target_watch
from basiljunction.coordination.scheduling import _unlisted_runs
from basiljunction.state import _time
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress


class LeaseRenewals:
    """Renews the leases of executors and applies their reports to the cell.

    Args:
        cell: The scheduler's state.
        crashes: Records what crashed executors ran.
        restarts: Resets executors that have restarted.
    """

    def __init__(
        self,
        cell: _cell_state.CellState,
        crashes: _crashes.CrashRecorder,
        restarts: _restarts.RestartHandler,
    ) -> None:
        self._cell = cell
        self._crashes = crashes
        self._restarts = restarts

    def tick(self, now: _time.Now) -> None:
        """Sends due renewals and stop orders, and releases expired runs."""
        cell = self._cell
        for executor in list(cell.executor_by_id.values()):
            self._release_expired_runs(executor, now)
            self._supersede_runs_on_silent_executor(executor, now)
            self._send_stop_orders(executor, now)
            if executor.renewal_sent_s is None and (
                now.boot_s >= executor.next_renewal_s
                or executor.renewal_address != executor.listing.address
            ):
                self._send_renewal(executor, now)

    def _send_renewal(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Queues a renewal order, which also requests the runs and ends."""
        cell = self._cell
        if cell.is_fenced:
            return
        is_first = executor.last_answer_s is None
        # The lease of an executor that did not answer is not extended, so
        # that its tasks can start elsewhere soon if it has failed.
        is_retry = executor.renewal_failures > 0 or executor.lacks_connection
        unstored = executor.processed_end_number > executor.stored_end_number
        until_ms = None
        may_extend = not (is_first or is_retry or executor.is_lease_frozen)
        if cell.is_term_confirmed and may_extend:
            until_ms = executor.extend_lease(now.boot_s, cell.times.lease_s)
            if executor.forget_outlasted_restart(until_ms):
                cell.roster_changed = True
        # A run that never began has no end that would cut the wait short.
        is_settling = unstored or executor.has_unlisted_runs()
        is_isolated = executor.isolated_for is not None
        is_short = is_first or is_retry or is_settling or is_isolated
        wait_s = min(
            _limits.RENEWAL_WAIT_S,
            cell.sharing.max_report_wait_s(executor, now.boot_s),
        )
        wait_ms = 0 if is_short else math.ceil(wait_s * 1000)
        executor.renewal_sent_s = now.boot_s
        executor.renewal_address = executor.listing.address
        executor.renewal_restarts = executor.clock.restarts
        executor.renewal_generation = executor.generation
        # The ends of a new incarnation are numbered from 1 again and must not
        # be acknowledged unseen.
        acknowledged = (
            0
            if executor.lacks_connection
            or executor.may_have_unread_ends(now.boot_s)
            else executor.stored_end_number
        )
        cell.orders.append(
            _orders.RenewalOrder(
                executor=executor.listing.id,
                lease_until_ms=until_ms,
                acknowledged=acknowledged,
                wait_ms=wait_ms,
                is_for_one_incarnation=(
                    now.boot_s >= executor.opens_connections_until_s
                    and (until_ms is not None or acknowledged > 0)
                ),
            )
        )

    def _send_stop_orders(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Queues the stop orders that are due on an executor."""
        if self._cell.is_fenced:
            return
        for run in executor.stopping_run_by_key.values():
            if (
                run.stop_answered_s is not None
                or now.boot_s < run.next_stop_order_s
            ):
                continue
            # One order is in flight at a time: its answer or failure decides
            # when the next one is sent.
            run.next_stop_order_s = float("inf")
            self._cell.orders.append(
                _orders.StopOrder(executor.listing.id, run.task, run.number)
            )

    def _release_expired_runs(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Releases all runs of an executor whose lease certainly expired."""
        if (
            executor.last_answer_s is None
            or now.boot_s <= executor.lease_expired_s()
        ):
            return
        expired = list(executor.run_by_key.values())
        if not expired:
            return
        crash = self._crashes.find_crash(executor)
        for run in expired:
            self._cell.note(
                "task.lapsed",
                task=str(run.task),
                run=run.number,
                executor=executor.listing.id,
                phase=run.phase.value,
                listed=run.was_listed,
                silent_s=round(now.boot_s - executor.last_answer_s, 3),
                lease_left_s=round(executor.lease_left_s(), 3),
            )
            self._cell.release_run(executor, run, now)
        if not executor.is_listed:
            self._crashes.record_crash(executor, crash, now, is_certain=False)

    def _supersede_runs_on_silent_executor(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Requeues speculative tasks that run on an unresponsive executor."""
        if executor.last_answer_s is None or not self._cell.is_term_confirmed:
            return
        if now.boot_s - executor.last_answer_s < _limits.CONTACT_TIMEOUT_S:
            return
        for run in executor.run_by_key.values():
            if not run.step.speculative or run.is_superseded:
                continue
            if run.is_attempt and not run.is_proven:
                continue
            if self._cell.supersede_run(run, "executor-silent", now):
                self._crashes.suspect_run(executor, run)

    def handle_unsent(
        self, order: _orders.RenewalOrder, now: _time.Now
    ) -> None:
        """Lets the next renewal open a connection, as this one found none."""
        executor = self._cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        executor.record_unsent_renewal(now.boot_s)
        if now.boot_s < executor.opens_connections_until_s:
            self._cell.note(
                "executor.connections-end", executor=executor.listing.id
            )

    def handle_failure(
        self,
        order: _orders.RenewalOrder,
        now: _time.Now,
        *,
        is_other_incarnation: bool,
    ) -> None:
        """Schedules a retry of a renewal that got no answer.

        Args:
            order: The renewal order.
            now: The time.
            is_other_incarnation: Whether a new incarnation of the executor
                refused the order; the runs of the old one are then gone. At an
                outdated address that says nothing of the present one.
        """
        executor = self._cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        executor.renewal_sent_s = None
        executor.renewal_failures += 1
        executor.next_renewal_s = now.boot_s + _limits.RENEWAL_RETRY_S
        self._cell.begin_order_generation(executor)
        if is_other_incarnation:
            self._restarts.handle_refusal(executor, now)

    def handle_answer(
        self,
        order: _orders.RenewalOrder,
        report: _executor.LeaseRenewalReply,
        now: _time.Now,
    ) -> None:
        """Applies an executor's answer to a renewal.

        It processes new ends, updates the listed runs, releases runs that the
        answer proves gone, reacts to slow or stalled tasks and to serving
        tasks over their latency target, and schedules the next renewal.
        """
        cell = self._cell
        executor = cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        sent_s = executor.renewal_sent_s or now.boot_s
        executor.renewal_sent_s = None
        if executor.renewal_restarts != executor.clock.restarts:
            # The incarnation that answered is not the present one.
            executor.next_renewal_s = now.boot_s
            return
        if order.is_for_one_incarnation:
            executor.unsent_renewals = 0
        self._record_contact(executor, report, now)
        for end in report.unacknowledged_ends:
            if end.list_position > executor.processed_end_number:
                executor.processed_end_number = end.list_position
                self._process_end(executor, end, now)
        listed = {
            (each.task, each.run_number): each for each in report.active_runs
        }
        for running in report.active_runs:
            self._update_listed_run(executor, running, now)
        _unlisted_runs.settle_unlisted_runs(cell, executor, listed, sent_s, now)
        self._crashes.prove_listed_runs(executor, listed, sent_s)
        if not report.may_omit_ends:
            executor.inherited_until_s = None
            # A run that has ended without a report shows no progress either.
            self._restart_slow_tasks(executor, now)
            _stalls.restart_stalled_tasks(cell, executor, now)
        self._relieve_serving_tasks(executor, now)
        unstored = executor.processed_end_number > executor.stored_end_number
        gap_s = (
            _limits.UNSTORED_RENEWAL_DELAY_S
            if unstored
            else _limits.RENEWAL_DELAY_S
        )
        if executor.isolated_for is not None:
            gap_s = _crashes.ISOLATED_RENEWAL_DELAY_S
        executor.next_renewal_s = now.boot_s + gap_s

    def _record_contact(
        self,
        executor: _executors.ExecutorState,
        report: _executor.LeaseRenewalReply,
        now: _time.Now,
    ) -> None:
        """Updates what is known of an executor's incarnation and its lease."""
        cell = self._cell
        longest_lease_s = cell.times.longest_lease_s
        executor.renewal_failures = 0
        executor.lacks_connection = False
        if executor.silent_bound is not None:
            executor.silent_bound = None
            cell.silent_executors_changed = True
        if (
            executor.started_wall_ms
            and report.started_wall_ms != executor.started_wall_ms
        ):
            self._restarts.end_incarnation(
                executor, now, clock_ms=report.clock_ms
            )
        executor.started_wall_ms = report.started_wall_ms
        self._crashes.settle_inherited_attempts(
            executor, executor.incarnation, now
        )
        is_first = executor.last_answer_s is None
        if is_first:
            executor.assume_earlier_lease(report, cell.times)
        has_fenced = executor.record_fence(report.clock_ms, longest_lease_s)
        has_fenced |= is_first and executor.has_restarted
        executor.last_answer_s = now.boot_s
        executor.has_listed_runs = True
        self._record_omitted_ends(executor, report)
        executor.record_clock(report.clock_ms, now.boot_s)
        if has_fenced and (is_first or executor.bars_other_incarnations):
            # A successor has to know how long its lease is at most.
            executor.is_roster_stored = False
            cell.roster_changed = True
        if executor.forget_old_restart(cell.times):
            cell.roster_changed = True
        executor.lease_until_ms = min(
            executor.lease_until_ms,
            report.clock_ms + int(longest_lease_s * 1000),
        )

    def _record_omitted_ends(
        self,
        executor: _executors.ExecutorState,
        report: _executor.LeaseRenewalReply,
    ) -> None:
        """Records whether an answer may leave out ends; logs each change."""
        if executor.may_omit_ends == report.may_omit_ends:
            return
        executor.may_omit_ends = report.may_omit_ends
        self._cell.note(
            "executor.ends-omitted"
            if report.may_omit_ends
            else "executor.ends-complete",
            executor=executor.listing.id,
            processed=executor.processed_end_number,
            stored=executor.stored_end_number,
            unlisted_runs=len(executor.run_by_key) - len(report.active_runs),
        )

    def _relieve_serving_tasks(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Stops or slows down fillers where a tail latency is over its target.

        Fillers are sped up again once there is enough headroom.
        """
        cell = self._cell
        cell.sharing.learn_from_report(executor, now)
        _target_watch.record_stretches(cell, executor, now.boot_s)
        relieved_before_s = executor.fillers_adjusted_s
        cell.orders += cell.sharing.slow_started_fillers(executor)
        cell.orders += cell.sharing.adjust_fillers(executor, now)
        if executor.fillers_adjusted_s != relieved_before_s:
            cell.note(
                "executor.relieved",
                executor=executor.listing.id,
                least_headroom=round(executor.min_headroom(), 2),
                fillers=executor.filler_count,
            )

    def _restart_slow_tasks(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Restarts tasks of a slow executor on others where that gains time.

        Speculative tasks keep their old run beside the new one; other runs
        are stopped.
        """
        cell = self._cell
        was_avoided = now.boot_s < executor.avoid_until_s
        moved = _slowness.find_runs_to_move(
            executor, cell.job_by_id, now.boot_s
        )
        if now.boot_s < executor.avoid_until_s and not was_avoided:
            cell.note(
                "executor.slow",
                executor=executor.listing.id,
                moved=len(moved),
            )
        for run in moved:
            if run.is_superseded or cell.supersede_run(
                run, "executor-slow", now
            ):
                continue
            cell.note(
                "task.moved",
                task=str(run.task),
                run=run.number,
                executor=executor.listing.id,
                percent=run.progress_percent,
            )
            executor.stop_run(run, now.boot_s)

    def _update_listed_run(
        self,
        executor: _executors.ExecutorState,
        report: _executor.ActiveRunReport,
        now: _time.Now,
    ) -> None:
        """Updates a run from its listing; adopts the run if not known."""
        run = executor.run_by_key.get((report.task, report.run_number))
        if run is None:
            run = self._adopt_run(executor, report, now)
        run.record_progress(report.progress_percent, now.boot_s)
        _slowness.start_rate_measurement(run, now.boot_s)
        run.record_reported_value(report.reported_value)
        run.checkpoint = report.checkpoint or run.checkpoint
        _begun_tasks.record_begin(self._cell, run)
        run.was_listed = True
        if run.phase in (_runs.RunPhase.ORDERED, _runs.RunPhase.UNSETTLED):
            run.mark_running(now.boot_s)

    def _adopt_run(
        self,
        executor: _executors.ExecutorState,
        report: _executor.ActiveRunReport,
        now: _time.Now,
    ) -> _runs.Run:
        """Adds a listed run that this scheduler did not start, and returns it.

        It becomes the current run of its task if the task is unfinished and
        has no other run; otherwise it is stopped.
        """
        cell = self._cell
        step = cell.find_step(report.task)
        known = step is not None
        run = _runs.Run(
            task=report.task,
            number=report.run_number,
            executor=executor.listing.id,
            step=step or _PLACEHOLDER_STEP,
            phase=_runs.RunPhase.RUNNING,
            phase_since_s=now.boot_s,
            was_confirmed=True,
            was_listed=True,
            is_proven=True,
            is_pace_known=step is None or not step.fills,
        )
        executor.add_run(run)
        is_free = report.task not in cell.current_run_by_task
        cell.note(
            "task.adopted",
            task=str(report.task),
            run=report.run_number,
            executor=executor.listing.id,
            known=known,
            free=is_free,
        )
        if known and is_free and cell.is_task_unfinished(report.task):
            job = cell.job_by_id[report.task.job]
            cell.set_current_run(job, run)
            job.adopted_places.add(_cell_state.place_in_job(report.task))
            cell.note_executor_of_lasting_task(job, run)
        else:
            executor.stop_run(run, now.boot_s)
        return run

    def _process_end(
        self,
        executor: _executors.ExecutorState,
        end: _executor.EndedRunReport,
        now: _time.Now,
    ) -> None:
        """Applies the end of a run and releases the run.

        The end counts for its task if the run is current or superseded, or if
        the run is unknown and the task has no current run. A good end always
        counts, as the executor forgets it once it is acknowledged.
        """
        cell = self._cell
        run = executor.run_by_key.get((end.task, end.run_number))
        job = cell.find_job(end.task)
        current = cell.current_run_by_task.get(end.task)
        if run is None:
            is_current = current is None
        else:
            is_current = run is current or run.is_superseded
            run.checkpoint = end.checkpoint or run.checkpoint
            _begun_tasks.record_begin(cell, run)
            if job is not None and end.kind is _executor.RunEndKind.DONE:
                _slowness.record_completed_rate(executor, run, job, now.boot_s)
            if run.step.runs_until_cancelled and (
                now.boot_s - run.phase_since_s > _limits.MAX_UNHEALTHY_AVOID_S
            ):
                # It never succeeds, but having lasted shows as much.
                executor.failures.reset()
        if job is not None and cell.find_step(end.task):
            if is_current or end.kind is _executor.RunEndKind.DONE:
                self._record_end(executor, job, end, now)
            elif run is None and self._was_started_by_predecessor(end):
                # An earlier term could not store this end and started the
                # task again.
                self._record_failure(executor, job, end, now)
        if run is not None:
            delay_s = 0.0
            if end.kind is _executor.RunEndKind.FAILED:
                delay_s = _limits.TASK_RESTART_DELAY_S
            self._crashes.settle_attempt(run)
            cell.release_run(executor, run, now, delay_s=delay_s)

    def _record_end(
        self,
        executor: _executors.ExecutorState,
        job: _jobs.Job,
        end: _executor.EndedRunReport,
        now: _time.Now,
    ) -> None:
        """Records the end of a run in the progress of its job."""
        cell = self._cell
        place = _cell_state.place_in_job(end.task)
        step = job.spec.steps[end.task.step]
        if (
            job.progress.state.is_final
            or place in job.progress.completed_positions
        ):
            return
        job.has_started_tasks = True
        cell.mark_progress_dirty(job)
        cell.note(
            "task.ended",
            task=str(end.task),
            run=end.run_number,
            executor=executor.listing.id,
            how=end.kind.value,
            failures=len(job.progress.failed_runs_by_position.get(place, ())),
        )
        if end.kind is _executor.RunEndKind.DONE:
            executor.failures.reset()
            self._record_success(job, end.task, step, now)
            self._stop_other_runs(end, step, now)
            return
        if end.checkpoint:
            job.progress.checkpoint_by_position[place] = end.checkpoint
        self._record_failure(executor, job, end, now)

    def _stop_other_runs(
        self,
        end: _executor.EndedRunReport,
        step: _job_spec.StepSpec,
        now: _time.Now,
    ) -> None:
        """Starts stopping all other runs of a task, or gang, that is done."""
        cell = self._cell
        indexes = range(step.count) if step.gang else (end.task.index,)
        for index in indexes:
            task = dataclasses.replace(end.task, index=index)
            current = cell.current_run_by_task.get(task)
            if current is not None and current.number != end.run_number:
                cell.duplicated_tasks.add(task)
            cell.stop_duplicate_runs(task, now)

    def _was_started_by_predecessor(
        self, end: _executor.EndedRunReport
    ) -> bool:
        """Returns whether the run number belongs to an earlier term."""
        return self._cell.run_numbers.is_of_earlier_term(end.run_number)

    def _record_failure(
        self,
        executor: _executors.ExecutorState,
        job: _jobs.Job,
        end: _executor.EndedRunReport,
        now: _time.Now,
    ) -> None:
        """Counts a failed run once, however often its end is listed.

        The job fails when a task has used up its attempts.
        """
        place = _cell_state.place_in_job(end.task)
        if end.kind is not _executor.RunEndKind.FAILED:
            return
        if (
            job.progress.state.is_final
            or place in job.progress.completed_positions
        ):
            return
        executor.failures.record_failure(now.boot_s)
        if executor.failures.is_avoided(now.boot_s):
            self._cell.note(
                "executor.avoided",
                executor=executor.listing.id,
                reason="failures",
                failures_in_row=executor.failures.in_a_row,
                for_s=round(executor.failures.avoid_until_s - now.boot_s, 3),
            )
        job.failed_executor_ids_by_place.setdefault(place, set()).add(
            executor.listing.id
        )
        if job.spec.steps[end.task.step].runs_until_cancelled:
            return
        failed_runs = job.progress.failed_runs_by_position.setdefault(
            place, set()
        )
        failed_runs.add(end.run_number)
        self._cell.mark_progress_dirty(job)
        if len(failed_runs) >= job.queue.max_attempts:
            self._cell.finish_job(job, _progress.JobState.FAILED, now)

    def _record_success(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        step: _job_spec.StepSpec,
        now: _time.Now,
    ) -> None:
        """Marks a task, or all members of its gang, as done.

        The job completes with its last task.
        """
        if step.runs_until_cancelled:
            return
        indexes = range(step.count) if step.gang else (task.index,)
        for index in indexes:
            place = (task.occurrence, task.step, index)
            job.mark_task_done(place)
            job.remove_waiting_task(place)
        job.progress.state = _progress.JobState.RUNNING
        if job.is_complete():
            self._cell.finish_job(job, _progress.JobState.COMPLETED, now)
        self._cell.needs_placing = True


_PLACEHOLDER_STEP = _job_spec.StepSpec(
    count=1, size=_job_spec.Resources(), estimate_s=0.0
)
"""Placeholder step, without capacity, for a run whose job is not known."""

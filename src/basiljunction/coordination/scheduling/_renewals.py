"""Leases of executors: renewals, lists of runs, ends, and settling."""

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _slowness
from basiljunction.coordination.scheduling import _stalls
from basiljunction.state import _time
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

MAX_LISTED_ENDS = 500
"""Ends of one answer; a full list means that more may follow."""


class Renewals:
    """Renews leases and takes in what executors list.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell

    def tick(self, now: _time.Now) -> None:
        """Sends the renewals and stops that are due, and settles lapses."""
        cell = self._cell
        for executor in list(cell.executor_by_id.values()):
            self._settle_lapsed(executor, now)
            self._supersede_silent(executor, now)
            self._send_stops(executor, now)
            if executor.hold_sent_s is None and (
                now.boot_s >= executor.next_hold_s
            ):
                self._send_hold(executor, now)
        if cell.has_inherited:
            cell.has_inherited = any(
                each.inherited_until_s is not None
                for each in cell.executor_by_id.values()
            )
            cell.needs_placing |= not cell.has_inherited

    def _send_hold(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        cell = self._cell
        if cell.is_fenced:
            return
        is_first = executor.answered_s is None
        # A silent executor gets no longer lease: its tasks are to start
        # elsewhere soon if it is gone for good.
        is_retry = executor.hold_failures > 0
        unstored = executor.processed > executor.acknowledged
        until_ms = None
        if cell.may_lead and not is_first and not is_retry:
            until_ms = executor.extend_lease(now.boot_s, cell.times.lease_s)
        is_short = is_first or is_retry or unstored
        wait_ms = 0 if is_short else int(_limits.HOLD_WAIT_S * 1000)
        executor.hold_sent_s = now.boot_s
        cell.orders.append(
            _orders.HoldOrder(
                executor=executor.entry.id,
                lease_until_ms=until_ms,
                # After a failure another life may answer, whose ends begin
                # at 1 again and must not be forgotten unseen.
                acknowledged=0 if is_retry else executor.acknowledged,
                wait_ms=wait_ms,
            )
        )

    def _send_stops(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        if self._cell.is_fenced:
            return
        for run in executor.run_by_key.values():
            if run.phase is not _runs.Phase.STOPPING:
                continue
            if run.stop_answered_s is not None or now.boot_s < run.next_stop_s:
                continue
            # One order is in flight at a time: the answer, or its lack,
            # decides when the next goes out.
            run.next_stop_s = float("inf")
            self._cell.orders.append(
                _orders.StopOrder(executor.entry.id, run.task, run.number)
            )

    def _settle_lapsed(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        inherited_s = executor.inherited_until_s
        if inherited_s is not None and now.boot_s > inherited_s:
            executor.inherited_until_s = None
        if executor.answered_s is None or now.boot_s <= executor.lapsed_s():
            return
        for run in list(executor.run_by_key.values()):
            self._cell.note(
                "task.lapsed",
                task=str(run.task),
                run=run.number,
                executor=executor.entry.id,
                silent_s=round(now.boot_s - executor.answered_s, 3),
            )
            self._cell.release(executor, run, now)

    def _supersede_silent(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Starts copies of what runs on an executor that does not answer."""
        if executor.answered_s is None or not self._cell.may_lead:
            return
        if now.boot_s - executor.answered_s < _limits.CONTACT_LOST_S:
            return
        for run in executor.run_by_key.values():
            if run.step.speculative and not run.is_superseded:
                self._cell.supersede(run, "executor-silent", now)

    def failed(
        self, order: _orders.HoldOrder, now: _time.Now, *, is_other_life: bool
    ) -> None:
        """Takes the lack of an answer to a renewal."""
        executor = self._cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        executor.hold_sent_s = None
        executor.hold_failures += 1
        executor.next_hold_s = now.boot_s + _limits.HOLD_RETRY_S
        if is_other_life:
            self._end_life(executor, now)
            executor.next_hold_s = now.boot_s + _limits.HOLD_RETRY_S

    def answered(
        self,
        order: _orders.HoldOrder,
        report: _executor.HoldReport,
        now: _time.Now,
    ) -> None:
        """Takes an executor's lists of runs and ends."""
        executor = self._cell.executor_by_id.get(order.executor)
        if executor is None:
            return
        sent_s = executor.hold_sent_s or now.boot_s
        executor.hold_sent_s = None
        executor.hold_failures = 0
        if executor.born_ms and report.born_ms != executor.born_ms:
            self._end_life(executor, now)
        executor.born_ms = report.born_ms
        if executor.answered_s is None and report.running:
            # A predecessor may have granted a lease of full length.
            lease_ms = int(self._cell.times.lease_s * 1000)
            executor.lease_until_ms = report.clock_ms + lease_ms
        executor.answered_s = now.boot_s
        executor.clock_ms = report.clock_ms
        longest_ms = int(self._cell.times.longest_lease_s * 1000)
        executor.lease_until_ms = min(
            executor.lease_until_ms, report.clock_ms + longest_ms
        )
        for end in report.ended:
            if end.number > executor.processed:
                executor.processed = end.number
                self._end(executor, end, now)
        listed = {(each.task, each.run): each for each in report.running}
        for running in report.running:
            self._running(executor, running, now)
        self._settle_unlisted(executor, listed, sent_s, now)
        self._move_slow_runs(executor, now)
        self._stop_stalled(executor, now)
        self._relieve(executor, now)
        if len(report.ended) < MAX_LISTED_ENDS:
            executor.inherited_until_s = None
        unstored = executor.processed > executor.acknowledged
        gap_s = _limits.UNSTORED_GAP_S if unstored else _limits.HOLD_GAP_S
        executor.next_hold_s = now.boot_s + gap_s

    def _stop_stalled(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Starts tasks that stand still elsewhere."""
        cell = self._cell
        for run in _stalls.stalled_runs(executor, now.boot_s):
            executor.avoid_until_s = now.boot_s + _stalls.AVOID_S
            if run.is_superseded or cell.supersede(run, "stalled", now):
                continue
            cell.note(
                "task.stalled",
                task=str(run.task),
                run=run.number,
                executor=executor.entry.id,
                percent=run.percent,
            )
            run.stop(now.boot_s)

    def _relieve(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Takes fillers away where a tail is over its target, and back."""
        cell = self._cell
        cell.sharing.observe(executor, now)
        relieved_before_s = executor.relieved_s
        cell.orders += cell.sharing.relieve(executor, now)
        if executor.relieved_s != relieved_before_s:
            cell.note(
                "executor.relieved",
                executor=executor.entry.id,
                least_headroom=round(executor.least_headroom(), 2),
                fillers=executor.filler_count,
            )

    def _move_slow_runs(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Starts tasks of a slow executor elsewhere."""
        cell = self._cell
        was_avoided = now.boot_s < executor.avoid_until_s
        moved = _slowness.slow_runs(executor, cell.job_by_id, now.boot_s)
        if now.boot_s < executor.avoid_until_s and not was_avoided:
            cell.note(
                "executor.slow",
                executor=executor.entry.id,
                moved=len(moved),
            )
        for run in moved:
            if run.is_superseded or cell.supersede(run, "executor-slow", now):
                continue
            cell.note(
                "task.moved",
                task=str(run.task),
                run=run.number,
                executor=executor.entry.id,
                percent=run.percent,
            )
            run.stop(now.boot_s)

    def _end_life(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Forgets a life: its runs are gone, its counts begin anew.

        The new life may have taken orders that name a deadline on the old
        clock, so the latest of these still counts. An order without an answer
        may still reach the new life, whose clock says nothing about the old
        deadline, so it is barred there.
        """
        self._cell.note(
            "executor.other-life",
            executor=executor.entry.id,
            runs=len(executor.run_by_key),
        )
        executor.is_suspect = False
        executor.born_ms = 0
        executor.processed = 0
        executor.acknowledged = 0
        executor.clock_ms = 0
        executor.inherited_until_s = None
        executor.next_hold_s = now.boot_s
        for run in list(executor.run_by_key.values()):
            if run.phase in (_runs.Phase.ORDERED, _runs.Phase.UNSETTLED):
                run.stop(now.boot_s)
            else:
                self._cell.release(executor, run, now)

    def _running(
        self,
        executor: _executors.ExecutorState,
        report: _executor.RunningReport,
        now: _time.Now,
    ) -> None:
        run = executor.run_by_key.get((report.task, report.run))
        if run is None:
            run = self._adopt(executor, report, now)
        if report.percent != run.percent:
            run.progress_s = now.boot_s
        run.percent = report.percent
        _slowness.note_progress(run, now.boot_s)
        run.figure = report.figure
        if report.checkpoint:
            run.checkpoint = report.checkpoint
        if run.phase in (_runs.Phase.ORDERED, _runs.Phase.UNSETTLED):
            run.phase = _runs.Phase.RUNNING
            run.since_s = now.boot_s

    def _adopt(
        self,
        executor: _executors.ExecutorState,
        report: _executor.RunningReport,
        now: _time.Now,
    ) -> _runs.Run:
        """Takes on a run that a predecessor started, or stops it."""
        cell = self._cell
        step = cell.step_of(report.task)
        known = step is not None
        run = _runs.Run(
            task=report.task,
            number=report.run,
            executor=executor.entry.id,
            step=step or _UNKNOWN_STEP,
            phase=_runs.Phase.RUNNING,
            since_s=now.boot_s,
        )
        executor.add(run)
        is_free = report.task not in cell.current_run_by_task
        cell.note(
            "task.adopted",
            task=str(report.task),
            run=report.run,
            executor=executor.entry.id,
            known=known,
            free=is_free,
        )
        if known and is_free and cell.is_wanted(report.task):
            cell.set_current(cell.job_by_id[report.task.job], run)
        else:
            run.stop(now.boot_s)
        return run

    def _settle_unlisted(
        self,
        executor: _executors.ExecutorState,
        listed: dict[_executors.RunKey, _executor.RunningReport],
        sent_s: float,
        now: _time.Now,
    ) -> None:
        """Settles orders that an answer from after them does not list."""
        for key, run in list(executor.run_by_key.items()):
            if key in listed:
                continue
            if run.phase is _runs.Phase.UNSETTLED and sent_s > run.since_s:
                self._cell.note(
                    "task.unsettled",
                    task=str(run.task),
                    run=run.number,
                    executor=executor.entry.id,
                )
                run.stop(now.boot_s)
            elif (
                run.phase is _runs.Phase.STOPPING
                and run.stop_answered_s is not None
                and sent_s > run.stop_answered_s
            ):
                self._cell.release(executor, run, now)
            elif (
                run.phase is _runs.Phase.RUNNING
                and sent_s > run.since_s
                and not self._cell.is_wanted(run.task)
            ):
                # One end stands for all members of a gang.
                self._cell.release(executor, run, now)

    def _end(
        self,
        executor: _executors.ExecutorState,
        end: _executor.EndReport,
        now: _time.Now,
    ) -> None:
        cell = self._cell
        run = executor.run_by_key.get((end.task, end.run))
        job = cell.job_of(end.task)
        current = cell.current_run_by_task.get(end.task)
        if run is None:
            is_current = current is None
        else:
            is_current = run is current or run.is_superseded
            run.checkpoint = end.checkpoint or run.checkpoint
            if job is not None and end.kind is _executor.EndKind.DONE:
                _slowness.note_done(executor, run, job, now.boot_s)
        if job is not None and cell.step_of(end.task):
            if is_current:
                self._note_end(executor, job, end, now)
            elif run is None and self._is_of_predecessor(end):
                # A predecessor went on after an end that it could not store.
                self._note_failure(executor, job, end, now)
        if run is not None:
            delay_s = 0.0
            if end.kind is _executor.EndKind.FAILED:
                delay_s = _limits.RESTART_DELAY_S
            cell.release(executor, run, now, delay_s=delay_s)

    def _note_end(
        self,
        executor: _executors.ExecutorState,
        job: _jobs.Job,
        end: _executor.EndReport,
        now: _time.Now,
    ) -> None:
        """Notes how a run ended in the progress of its job."""
        cell = self._cell
        place = _cell_state.place_of(end.task)
        step = job.spec.steps[end.task.step]
        if job.progress.state.is_final or place in job.progress.done:
            return
        cell.mark_dirty(job)
        cell.note(
            "task.ended",
            task=str(end.task),
            run=end.run,
            executor=executor.entry.id,
            how=end.kind.value,
            failures=len(job.progress.failed_runs_by_place.get(place, ())),
        )
        if end.kind is _executor.EndKind.DONE:
            executor.note_success()
            self._note_done(job, end.task, step, now)
            if step.speculative:
                cell.stop_copies(end.task, now)
            return
        if end.checkpoint:
            job.progress.checkpoint_by_place[place] = end.checkpoint
        self._note_failure(executor, job, end, now)

    def _is_of_predecessor(self, end: _executor.EndReport) -> bool:
        return end.run <= (self._cell.epoch - 1) * _limits.RUNS_PER_EPOCH

    def _note_failure(
        self,
        executor: _executors.ExecutorState,
        job: _jobs.Job,
        end: _executor.EndReport,
        now: _time.Now,
    ) -> None:
        """Counts a failed run, once however often it is listed."""
        place = _cell_state.place_of(end.task)
        if end.kind is not _executor.EndKind.FAILED:
            return
        if job.progress.state.is_final or place in job.progress.done:
            return
        executor.note_failure(now.boot_s)
        if now.boot_s < executor.avoid_until_s:
            self._cell.note(
                "executor.avoided",
                executor=executor.entry.id,
                reason="failures",
                failures_in_row=executor.failures_in_row,
                for_s=round(executor.avoid_until_s - now.boot_s, 3),
            )
        job.failed_on_by_place.setdefault(place, set()).add(executor.entry.id)
        if job.spec.steps[end.task.step].runs_until_cancelled:
            return
        failed_runs = job.progress.failed_runs_by_place.setdefault(place, set())
        failed_runs.add(end.run)
        self._cell.mark_dirty(job)
        if len(failed_runs) >= job.queue.max_attempts:
            self._cell.finish(job, _progress.JobState.FAILED, now)

    def _note_done(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        step: _job_spec.StepSpec,
        now: _time.Now,
    ) -> None:
        if step.runs_until_cancelled:
            return
        indexes = range(step.count) if step.gang else (task.index,)
        for index in indexes:
            place = (task.occurrence, task.step, index)
            job.note_done(place)
            job.take(place)
        job.progress.state = _progress.JobState.RUNNING
        if job.is_complete():
            self._cell.finish(job, _progress.JobState.COMPLETED, now)
        self._cell.needs_placing = True


_UNKNOWN_STEP = _job_spec.StepSpec(
    count=1, size=_job_spec.Room(), estimate_s=0.0
)
"""Stands for the step of a run whose job is not known."""

"""Drives each claimed attempt from its claim to the record of its end."""

from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_ends
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _leases
from basiljunction.state import _records

MAX_START_TRIES = 3
"""Start calls after which an attempt is released."""

MAX_CHECKPOINT_TRIES = 3
"""Refused checkpoints after which an attempt is stopped without one."""

REFUSAL_PAUSE_S = 5.0
"""Time without new tasks for a worker that could not start one, in seconds."""

RECORD_RETRY_S = 30.0
"""Wait before a record that was not read back is appended again, in seconds."""

_Attempt = _batch_model.Attempt
_Goal = _batch_model.EndGoal
_Phase = _batch_model.Phase
_State = _batch_events.WorkerTaskState


class AttemptDriver:
    """Drives each claimed attempt from its claim to the record of its end.

    It calls the worker to start, query, checkpoint and stop the attempt.

    Args:
        context: Shared tables.
    """

    def __init__(self, context: _batch_context.BatchContext) -> None:
        self._context = context

    def handle_accepted_claim(self, attempt: _Attempt) -> None:
        """Starts an attempt whose claim was read back as accepted.

        An attempt of a gang waits until all tasks of the gang are claimed.
        """
        context = self._context
        context.adjust_unconfirmed_claims(attempt, -1)
        attempt.phase = _Phase.ACCEPTED
        if attempt.end_goal is not _Goal.NONE:
            self._record_release(attempt)
            return
        if attempt.gang_key:
            context.schedule_step(attempt, context.policy.gang_fill_timeout_s)
            self.start_claimed_gang(attempt.gang_key)
            return
        attempt.phase = _Phase.STARTING
        context.schedule_step(attempt)

    def start_claimed_gang(self, gang_key: str) -> None:
        """Starts this instance's attempts of a gang if all of it is claimed."""
        context = self._context
        for attempt in context.attempts_of_gang(gang_key):
            if attempt.phase is not _Phase.ACCEPTED:
                continue
            job = context.state.job_by_id[attempt.job_id]
            if attempt.spec.gang in job.started_gangs:
                attempt.phase = _Phase.STARTING
                context.schedule_step(attempt)

    def handle_rejected_claim(self, attempt: _Attempt, why: str) -> None:
        """Removes an attempt whose claim was rejected or not appended."""
        context = self._context
        context.explain(attempt.ref.task_id, "claim-rejected", why)
        context.remove_attempt(attempt)

    def adopt(self, attempt: _Attempt) -> None:
        """Takes over an attempt that a previous owner claimed.

        The worker is asked for its state first. Its lease counts as the longest
        one, granted at the last moment at which the previous owner may have
        called the worker.
        """
        attempt.phase = _Phase.ASKING
        attempt.is_adopted = True
        attempt.may_have_started = True
        worker = self._context.worker_by_machine[attempt.machine]
        now_s = self._context.now.boot_s
        last_send_s = max(
            now_s + self._context.policy.previous_owner_guard_s,
            worker.usable_from_boot_s,
        )
        attempt.lease_expires_boot_s = _leases.lease_expires_boot_s(
            last_send_s, _leases.MAX_LEASE_S
        )
        wait_s = max(0.0, worker.usable_from_boot_s - now_s)
        self._context.schedule_step(attempt, wait_s)

    def begin_ending(self, attempt: _Attempt, goal: _Goal, why: str) -> None:
        """Begins to end an attempt, as its goal requires.

        Only a cancellation replaces an earlier goal.

        Args:
            attempt: The attempt.
            goal: Kind of end that is wanted.
            why: Readable reason.
        """
        has_no_goal = attempt.end_goal is _Goal.NONE
        if not has_no_goal and goal is not _Goal.CANCEL:
            return
        if attempt.phase is _Phase.RECORDING:
            return
        attempt.end_goal = goal
        attempt.end_reason = why
        attempt.call_tries = 0
        self._context.explain(attempt.ref.task_id, f"end-{goal}", why)
        match attempt.phase:
            case _Phase.CLAIMING:
                return
            case _Phase.ACCEPTED:
                self._record_release(attempt)
            case _Phase.RUNNING | _Phase.CHECKPOINTING:
                saves_checkpoint = goal is _Goal.EVICT
                attempt.phase = (
                    _Phase.CHECKPOINTING
                    if saves_checkpoint
                    else _Phase.STOPPING
                )
                self._context.schedule_step(attempt)
            case _Phase.STARTING | _Phase.ASKING | _Phase.STOPPING:
                self._context.schedule_step(attempt)

    def run_step(self, attempt: _Attempt) -> None:
        """Runs the step of an attempt that its phase requires next."""
        match attempt.phase:
            case _Phase.STARTING:
                self._request_start(attempt)
            case _Phase.ASKING:
                self._query_worker(attempt)
            case _Phase.CHECKPOINTING:
                self._request_checkpoint(attempt)
            case _Phase.STOPPING:
                self._call_worker(
                    attempt,
                    _batch_events.StopTask(attempt.ref),
                    extends_lease=False,
                )
            case _Phase.RECORDING:
                self._append_end_record(attempt)
            case _Phase.ACCEPTED:
                self.begin_ending(
                    attempt,
                    _Goal.RELEASE,
                    "its gang was not fully claimed in time",
                )
            case _Phase.CLAIMING | _Phase.RUNNING:
                return

    def record_if_lease_expired(self, attempt: _Attempt) -> None:
        """Records the end of an attempt whose lease has certainly expired."""
        unleased_phases = (_Phase.CLAIMING, _Phase.ACCEPTED, _Phase.RECORDING)
        if attempt.phase in unleased_phases or not attempt.may_have_started:
            return
        if self._context.now.boot_s <= attempt.lease_expires_boot_s:
            return
        self._context.explain(
            attempt.ref.task_id, "lease-lapsed", f"on {attempt.machine}"
        )
        if attempt.end_goal is _Goal.CANCEL:
            self._record_end(attempt, _batch_ends.build_release_record(attempt))
        elif (
            attempt.latest_report is not None
            and attempt.latest_report.checkpoint
        ):
            self._record_end(
                attempt,
                _batch_ends.build_eviction_record(self._context, attempt),
            )
        else:
            self._record_end(
                attempt,
                _batch_ends.build_failure_record(attempt, "lease expired"),
            )

    def handle_start_answer(self, attempt: _Attempt, refused: str) -> None:
        """Handles a worker's answer to a start request.

        Args:
            attempt: The attempt.
            refused: Why the worker refused it, or empty if it started.
        """
        attempt.is_call_in_flight = False
        if refused:
            attempt.refusal = refused
            attempt.phase = _Phase.ASKING
            self._pause_new_tasks(attempt, refused)
            self._context.schedule_step(attempt)
            return
        attempt.phase = _Phase.RUNNING
        self._context.explain(
            attempt.ref.task_id,
            "started",
            f"attempt {attempt.ref.attempt} on {attempt.machine}",
        )
        self._resume_ending(attempt)

    def handle_failed_call(
        self, attempt: _Attempt, request: object, *, lost: bool
    ) -> None:
        """Schedules a retry after a call about an attempt failed.

        Args:
            attempt: The attempt.
            request: The request of the call.
            lost: Whether the call may have taken effect; a lost start makes the
                worker be asked whether the attempt runs.
        """
        attempt.is_call_in_flight = False
        retry_s = self._context.policy.call_retry_s
        if isinstance(request, _batch_events.StartTask) and lost:
            attempt.phase = _Phase.ASKING
            retry_s = 0.0
        self._context.schedule_step(attempt, retry_s)

    def handle_report(
        self, attempt: _Attempt, report: _batch_events.TaskReport
    ) -> None:
        """Stores a worker's report on an attempt and acts on its state."""
        if attempt.phase is _Phase.RECORDING:
            return
        if attempt.phase is _Phase.ASKING:
            # The report answers the question, which may be in flight as part
            # of another call. A failure of that call is not seen later.
            attempt.is_call_in_flight = False
        _batch_ends.store_report(attempt, report)
        match report.state:
            case _State.RUNNING:
                self._handle_running(attempt)
            case _State.COMPLETED:
                self._handle_completed(attempt)
            case _State.FAILED:
                self._handle_failed(attempt)
            case _State.STOPPED | _State.LAPSED:
                self._handle_stopped(attempt)
            case _State.UNKNOWN:
                self._handle_unknown(attempt)

    def handle_checkpoint(
        self, attempt: _Attempt, report: _batch_events.TaskReport
    ) -> None:
        """Stops an attempt after its checkpoint was saved for an eviction."""
        if attempt.phase is not _Phase.CHECKPOINTING:
            return
        if report.state is _State.RUNNING:
            attempt.checkpointed_s = max(
                attempt.checkpointed_s, report.progress_s
            )
            attempt.phase = _Phase.STOPPING
            self.handle_report(attempt, report)
            self._context.schedule_step(attempt)
            return
        self.handle_report(attempt, report)

    def handle_refusal(self, attempt: _Attempt) -> None:
        """Schedules a retry after a worker refused a checkpoint or a stop.

        After ``MAX_CHECKPOINT_TRIES`` refused checkpoints the attempt is
        stopped without one, unless a hard stop time is set.
        """
        self._context.schedule_step(attempt, self._context.policy.call_retry_s)
        if attempt.phase is not _Phase.CHECKPOINTING:
            return
        attempt.call_tries += 1
        has_hard_stop = attempt.hard_stop_wall_s < float("inf")
        if attempt.call_tries >= MAX_CHECKPOINT_TRIES and not has_hard_stop:
            attempt.phase = _Phase.STOPPING

    def retry_dropped_record(self, attempt: _Attempt) -> None:
        """Schedules another append of an end record that was not appended."""
        attempt.is_call_in_flight = False
        self._context.schedule_step(attempt, self._context.policy.call_retry_s)

    def _request_start(self, attempt: _Attempt) -> None:
        """Calls the worker to start an attempt; releases it after failures."""
        if attempt.end_goal is not _Goal.NONE:
            self._abandon_start(attempt)
            return
        if attempt.call_tries >= MAX_START_TRIES:
            self.begin_ending(attempt, _Goal.RELEASE, "all start calls failed")
            self._pause_new_tasks(attempt, "start calls to it fail")
            return
        request = _batch_ends.build_start_request(self._context, attempt)
        if self._call_worker(attempt, request, extends_lease=True):
            attempt.call_tries += 1
            attempt.may_have_started = True

    def _abandon_start(self, attempt: _Attempt) -> None:
        """Gives up a start, and stops the attempt if it may have started."""
        if not attempt.may_have_started:
            self._record_release(attempt)
            return
        attempt.phase = _Phase.STOPPING
        self._context.schedule_step(attempt)

    def _query_worker(self, attempt: _Attempt) -> None:
        """Asks the worker for an attempt's state, or stops it if required."""
        if attempt.end_goal in (_Goal.CANCEL, _Goal.RELEASE, _Goal.LOST):
            attempt.phase = _Phase.STOPPING
            self.run_step(attempt)
            return
        worker = self._context.worker_by_machine[attempt.machine]
        if worker.consecutive_failed_calls > 1:
            self._call_worker(
                attempt, _batch_events.ListTasks(), extends_lease=False
            )
            return
        count = len(self._context.attempt_by_task)
        request = _batch_events.RenewLeases(
            (attempt.ref,), _leases.lease_length_s(count)
        )
        self._call_worker(attempt, request, extends_lease=True)

    def _request_checkpoint(self, attempt: _Attempt) -> None:
        """Calls the worker to save a checkpoint of an attempt.

        At its hard stop time the attempt is stopped instead.
        """
        if self._context.now.wall_s >= attempt.hard_stop_wall_s:
            attempt.phase = _Phase.STOPPING
            self.run_step(attempt)
            return
        request = _batch_events.CheckpointTask(attempt.ref)
        self._call_worker(attempt, request, extends_lease=False)

    def _call_worker(
        self,
        attempt: _Attempt,
        request: _batch_events.WorkerRequest,
        *,
        extends_lease: bool,
    ) -> bool:
        """Calls an attempt's worker, or schedules a retry if it may not now.

        Args:
            attempt: The attempt.
            request: The request.
            extends_lease: Whether the request grants a new lease.

        Returns:
            Whether the call was made.
        """
        context = self._context
        worker = context.worker_by_machine[attempt.machine]
        not_after_s = context.call_worker(worker, request)
        if not_after_s is None:
            context.schedule_step(attempt, 0.1)
            return False
        attempt.is_call_in_flight = True
        if extends_lease:
            lease_s = _leases.lease_length_s(len(context.attempt_by_task))
            attempt.lease_expires_boot_s = max(
                attempt.lease_expires_boot_s,
                _leases.lease_expires_boot_s(not_after_s, lease_s),
            )
        return True

    def _resume_ending(self, attempt: _Attempt) -> None:
        """Continues to end a running attempt that already has a goal."""
        if attempt.end_goal is _Goal.NONE:
            return
        saves_checkpoint = attempt.end_goal is _Goal.EVICT
        attempt.phase = (
            _Phase.CHECKPOINTING if saves_checkpoint else _Phase.STOPPING
        )
        self._context.schedule_step(attempt)

    def _handle_running(self, attempt: _Attempt) -> None:
        """Marks an attempt as running after the worker reported so."""
        if attempt.phase in (_Phase.ASKING, _Phase.STARTING):
            attempt.phase = _Phase.RUNNING
            decision = "adopted" if attempt.is_adopted else "started"
            self._context.explain(
                attempt.ref.task_id, decision, f"runs on {attempt.machine}"
            )
            self._resume_ending(attempt)

    def _handle_completed(self, attempt: _Attempt) -> None:
        """Records that an attempt completed.

        A standing task is recorded as evicted, so that it is started again.
        """
        self._context.health.record_success(attempt.machine)
        if attempt.is_standing:
            self._record_end(
                attempt,
                _batch_ends.build_eviction_record(self._context, attempt),
            )
            return
        report = attempt.latest_report
        run_time_s = report.progress_s if report else 0.0
        if run_time_s <= 0:
            run_time_s = self._context.now.boot_s - attempt.claimed_boot_s
        self._context.learning.record_run_time(
            attempt.class_key, attempt.spec.run_time_s, run_time_s
        )
        record = _records.TaskCompleted(
            attempt.ref.task_id, attempt.ref.attempt, run_time_s
        )
        self._record_end(attempt, record)

    def _handle_failed(self, attempt: _Attempt) -> None:
        """Records that an attempt failed on its worker.

        A worker on which tasks keep failing gets no new tasks for a while.
        """
        context = self._context
        delay_s = context.health.record_failure(
            attempt.machine, attempt.ref.task_id
        )
        worker = context.worker_by_machine[attempt.machine]
        if delay_s:
            worker.no_new_tasks_until_boot_s = context.now.boot_s + delay_s
            worker.no_new_tasks_reason = "set aside: it fails what it starts"
            context.explain(
                attempt.machine, "set-aside", f"for {delay_s:.0f} s"
            )
        detail = attempt.latest_report.detail if attempt.latest_report else ""
        self._record_end(
            attempt,
            _batch_ends.build_failure_record(attempt, detail or "failed"),
        )

    def _handle_stopped(self, attempt: _Attempt) -> None:
        """Records the end of a stopped attempt according to its goal."""
        if attempt.end_goal is _Goal.CANCEL:
            self._record_end(attempt, _batch_ends.build_release_record(attempt))
        elif attempt.end_goal is _Goal.LOST:
            detail = "the worker no longer knows the attempt"
            self._record_end(
                attempt, _batch_ends.build_failure_record(attempt, detail)
            )
        elif attempt.end_goal is _Goal.RELEASE and not (
            attempt.latest_report and attempt.latest_report.checkpoint
        ):
            self._record_end(attempt, _batch_ends.build_release_record(attempt))
        else:
            self._record_end(
                attempt,
                _batch_ends.build_eviction_record(self._context, attempt),
            )

    def _handle_unknown(self, attempt: _Attempt) -> None:
        """Handles a report that the worker does not know the attempt.

        The attempt is stopped, so that the worker refuses a start that arrives
        later. It is not started again under its number: the worker may have run
        it and forgotten it in a restart.
        """
        if attempt.phase is _Phase.STOPPING:
            self._handle_stopped(attempt)
            return
        if attempt.phase is _Phase.STARTING:
            return
        if attempt.end_goal is _Goal.NONE:
            was_never_seen = attempt.phase is _Phase.ASKING
            attempt.end_goal = _Goal.RELEASE if was_never_seen else _Goal.LOST
            attempt.end_reason = (
                attempt.refusal or "the worker does not know the attempt"
            )
        attempt.phase = _Phase.STOPPING
        self._context.schedule_step(attempt)

    def _pause_new_tasks(self, attempt: _Attempt, why: str) -> None:
        """Pauses new tasks on an attempt's worker for ``REFUSAL_PAUSE_S``."""
        worker = self._context.worker_by_machine[attempt.machine]
        until_s = self._context.now.boot_s + REFUSAL_PAUSE_S
        if until_s > worker.no_new_tasks_until_boot_s:
            worker.no_new_tasks_until_boot_s = until_s
            worker.no_new_tasks_reason = why

    def _record_release(self, attempt: _Attempt) -> None:
        """Appends the record that gives up the claim of an attempt."""
        self._record_end(attempt, _batch_ends.build_release_record(attempt))

    def _record_end(self, attempt: _Attempt, record: _records.Record) -> None:
        """Appends the record of an attempt's end and learns from its usage."""
        if attempt.peak_usage.millicores:
            self._context.learning.record_usage(
                attempt.class_key, attempt.spec.demand, attempt.peak_usage
            )
        attempt.end_record = record
        attempt.phase = _Phase.RECORDING
        attempt.is_call_in_flight = False
        self._append_end_record(attempt)

    def _append_end_record(self, attempt: _Attempt) -> None:
        """Appends an attempt's end record and schedules the next try."""
        if attempt.end_record is None:
            return
        self._context.append_record(attempt.end_record)
        self._context.schedule_step(attempt, RECORD_RETRY_S)

"""Batch core: decides about batch tasks on this instance's workers.

It takes ``(state, event, now)`` and returns actions; it performs no input or
output.
"""

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_fleet
from basiljunction.coordination import _batch_hours
from basiljunction.coordination import _batch_index
from basiljunction.coordination import _batch_limits
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _batch_placer
from basiljunction.coordination import _batch_records
from basiljunction.coordination import _batch_relief
from basiljunction.coordination import _batch_renewals
from basiljunction.coordination import _events
from basiljunction.coordination import _explain_owner
from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _explain_state
from basiljunction.coordination import _placement
from basiljunction.state import _outcomes
from basiljunction.state import _system
from basiljunction.state import _time

_Phase = _batch_model.Phase
_PHASES_WITH_CALLS = (
    _Phase.STARTING,
    _Phase.ASKING,
    _Phase.CHECKPOINTING,
    _Phase.STOPPING,
)
"""Phases in which an attempt advances by repeated calls to its worker."""


class BatchCore:
    """Claims, starts, renews, evicts and records batch tasks.

    Args:
        instance: Name of this instance.
        incarnation: Number of this run of the instance's process.
        policy: Settings; the defaults if None.
        placement: Policy that chooses between workers; by default the one with
            the least expected interference.
    """

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        policy: _batch_model.BatchPolicy | None = None,
        placement: _placement.PlacementPolicy | None = None,
    ) -> None:
        context = _batch_context.BatchContext(
            instance=instance,
            incarnation=incarnation,
            policy=policy or _batch_model.BatchPolicy(),
        )
        self.context = context
        self.attempts = _batch_attempts.AttemptDriver(context)
        self.index = _batch_index.ReadyUnitIndex(context)
        self.placer = _batch_placer.Placer(
            context,
            self.index,
            placement or _placement.InterferenceAware(context.interference),
        )
        self._hours = _batch_hours.OfficeHoursEnforcer(context, self.attempts)
        self._fleet = _batch_fleet.OwnedWorkers(context, self.attempts)
        self._relief = _batch_relief.PressureRelief(context, self.attempts)
        self._renewals = _batch_renewals.LeaseRenewer(
            context, self.attempts, self._relief.relieve_pressure
        )
        self._verdict_handler = _batch_records.VerdictHandler(
            context, self.attempts, self.index, self._hours, self._fleet
        )
        self._limits = _batch_limits.LimitEnforcer(
            context, self.attempts, self.index
        )
        self._is_loaded = False

    def handle(
        self, state: _system.SystemState, event: object, now: _time.Now
    ) -> list[_batch_context.Action]:
        """Handles one event.

        Args:
            state: The folded state; only read.
            event: An event of ``_events`` or ``_batch_events``; others are
                ignored.
            now: Time of the event.

        Returns:
            Actions to carry out, in order.
        """
        context = self.context
        context.now = now
        if context.state is not state or not self._is_loaded:
            context.state = state
            self._load_state()
        elif isinstance(event, _events.Folded):
            self._verdict_handler.handle_verdicts(event.verdicts)
        self._dispatch_event(event)
        self._run_due_steps()
        return context.pop_actions()

    def explain(
        self, state: _system.SystemState, subject: str, now: _time.Now
    ) -> tuple[_explain_ring.ExplainLine, ...]:
        """Returns the status of a task or job and what it is waiting for.

        Args:
            state: The folded state.
            subject: Task or job id.
            now: Current time.
        """
        self.context.now = now
        findings = _explain_state.explain_from_state(state, subject, now.wall_s)
        for task_id in dict.fromkeys(each.subject for each in findings):
            findings += _explain_owner.explain_task_at_owner(
                self.context, self.index, task_id
            )
        return tuple(
            _explain_ring.ExplainLine(
                wall_s=now.wall_s,
                instance=self.context.instance,
                subject=finding.subject,
                decision=finding.decision,
                detail=finding.detail,
            )
            for finding in findings
        )

    def _load_state(self) -> None:
        """Rebuilds all tables from the state, as needed after a snapshot."""
        self._is_loaded = True
        self.index.rebuild()
        self._verdict_handler.reconcile_attempts()
        self._fleet.update_from_state()
        self._verdict_handler.watch_adopted_hours()

    def _dispatch_event(self, event: object) -> None:
        """Passes an event other than folded records to its handler."""
        match event:
            case _events.LeaseChanged():
                self.context.lease_expires_boot_s = event.lease_until_boot_s
            case _events.DrainRequested():
                self.context.is_draining = True
            case _events.LiveListRead():
                self._fleet.mark_leaving_workers(event.machines)
            case _events.AppendDropped():
                self._verdict_handler.handle_dropped_records(event.records)
            case _batch_events.WorkerAnswered():
                self._handle_answer(event)
            case _batch_events.WorkerNotCalled():
                self._handle_failed_call(event, lost=False)
            case _batch_events.WorkerCallLost():
                self._handle_failed_call(event, lost=True)
            case _batch_events.ServiceLatencyMeasured():
                self._relief.process_latency_report(event)

    def _run_due_steps(self) -> None:
        """Runs periodic checks, due steps of attempts and a placement round."""
        self._fleet.evict_from_leaving_workers()
        self._hours.evict_before_closing()
        self._limits.enforce_limits()
        self._renewals.renew_due_leases()
        for attempt in self.context.pop_due_attempts():
            self.attempts.record_if_lease_expired(attempt)
            self.attempts.run_step(attempt)
        self._relief.check_throttled_workers()
        self.placer.run_placement_round()

    def _handle_answer(self, event: _batch_events.WorkerAnswered) -> None:
        """Handles a worker's answer to a call."""
        self.context.calls_in_flight -= 1
        worker = self.context.worker_by_machine.get(event.machine)
        if worker is None:
            return
        worker.consecutive_failed_calls = 0
        request = event.request
        match request:
            case _batch_events.ListTasks():
                self._handle_task_list(worker, event.reports)
            case _batch_events.RenewLeases() if (
                self._find_called_attempt(event) is None
            ):
                self._renewals.process_reports(
                    worker, event.reports, was_renewal=True
                )
            case _:
                attempt = self._find_called_attempt(event)
                if attempt is not None:
                    self._handle_attempt_answer(attempt, event)

    def _handle_task_list(
        self,
        worker: _batch_model.Worker,
        reports: tuple[_batch_events.TaskReport, ...],
    ) -> None:
        """Handles a list of attempts from a worker that had lost calls.

        Attempts that wait for a call's result take their next step at once, as
        the list tells what became of them.
        """
        self._renewals.process_reports(worker, reports, was_renewal=False)
        for attempt in worker.attempt_by_task.values():
            if (
                attempt.phase in _PHASES_WITH_CALLS
                and attempt.is_call_in_flight
            ):
                attempt.is_call_in_flight = False
                self.context.schedule_step(attempt)

    def _handle_attempt_answer(
        self,
        attempt: _batch_model.Attempt,
        event: _batch_events.WorkerAnswered,
    ) -> None:
        """Handles the answer to a call about one attempt."""
        if isinstance(event.request, _batch_events.ThrottleTask):
            return
        attempt.is_call_in_flight = False
        if attempt.phase in _PHASES_WITH_CALLS:
            self.context.schedule_step(
                attempt, self.context.policy.call_retry_s
            )
        if isinstance(event.request, _batch_events.StartTask):
            if attempt.phase is _Phase.STARTING:
                self.attempts.handle_start_answer(attempt, event.refusal)
            if attempt.phase is _Phase.RUNNING:
                self._renewals.schedule_polls(attempt)
            return
        if event.refusal:
            self.attempts.handle_refusal(attempt)
            return
        for report in event.reports:
            if report.ref != attempt.ref:
                continue
            if isinstance(event.request, _batch_events.CheckpointTask):
                self.attempts.handle_checkpoint(attempt, report)
            else:
                self.attempts.handle_report(attempt, report)

    def _handle_failed_call(
        self,
        event: _batch_events.WorkerNotCalled | _batch_events.WorkerCallLost,
        *,
        lost: bool,
    ) -> None:
        """Handles a call that was not sent or whose result is unknown.

        Args:
            event: The failed call.
            lost: Whether the call may have taken effect on the worker.
        """
        self.context.calls_in_flight -= 1
        worker = self.context.worker_by_machine.get(event.machine)
        if worker is None:
            return
        reason = event.outcome.reason
        if reason is not _outcomes.Reason.LEASE_LAPSED:
            worker.consecutive_failed_calls += 1
        attempt = self._find_called_attempt(event)
        request = event.request
        if attempt is not None:
            if isinstance(request, _batch_events.ThrottleTask):
                self._relief.schedule_throttle_retry(attempt)
            else:
                self.attempts.handle_failed_call(attempt, request, lost=lost)
            return
        if isinstance(request, _batch_events.ListTasks):
            for other in worker.attempt_by_task.values():
                if other.phase is _Phase.ASKING and other.is_call_in_flight:
                    other.is_call_in_flight = False
                    self.context.schedule_step(
                        other, self.context.policy.call_retry_s
                    )
        if isinstance(
            request, _batch_events.ListTasks | _batch_events.RenewLeases
        ):
            self._renewals.schedule_renewal_retry(worker, reason)

    def _find_called_attempt(
        self,
        event: _batch_events.WorkerAnswered
        | _batch_events.WorkerNotCalled
        | _batch_events.WorkerCallLost,
    ) -> _batch_model.Attempt | None:
        """Returns the attempt that a call was about, or None if it is gone.

        A renewal for a single attempt counts as a call about that attempt if
        the attempt is in phase ASKING and waits for the answer; other renewals
        are about the worker as a whole.
        """
        request = event.request
        if isinstance(request, _batch_events.ListTasks):
            return None
        if isinstance(request, _batch_events.RenewLeases):
            if len(request.refs) != 1:
                return None
            ref = request.refs[0]
        else:
            ref = request.ref
        attempt = self.context.attempt_by_task.get(ref.task_id)
        if attempt is None or attempt.ref != ref:
            return None
        if attempt.machine != event.machine:
            return None
        if isinstance(request, _batch_events.RenewLeases):
            is_asking = (
                attempt.phase is _Phase.ASKING and attempt.is_call_in_flight
            )
            return attempt if is_asking else None
        return attempt

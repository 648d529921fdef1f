"""Renews the leases of attempts and processes the reports of workers.

One call renews the leases of all attempts on a worker. Its answer carries a
report on each.
"""

from collections.abc import Callable
import heapq

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _interference
from basiljunction.coordination import _leases
from basiljunction.state import _job
from basiljunction.state import _outcomes

SCAN_INTERVAL_S = 0.25
"""Time between two scans for workers whose renewal is due, in seconds."""

MAX_LOST_RENEWALS = 2
"""After this many lost renewals in a row a worker is only asked to list its
attempts, so that the leases expire."""

POLL_GROWTH = 1.25
"""Factor between the ages at which an attempt near its end is polled."""

MIN_POLL_INTERVAL_S = 2.0
"""Minimum time between two polls of one attempt, in seconds."""

_Phase = _batch_model.Phase
_RENEWED_PHASES = (_Phase.RUNNING, _Phase.CHECKPOINTING)


class LeaseRenewer:
    """Renews the leases of attempts on the workers of this instance.

    It also polls attempts that are expected to end soon, ahead of their next
    renewal.

    Args:
        context: State and tables shared by the parts of the batch core.
        attempts: Processes the report on each attempt.
        on_report: Called with each worker after its reports are processed.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
        on_report: Callable[[_batch_model.Worker], None],
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._on_report = on_report
        self._next_scan_boot_s = 0.0
        self._poll_heap: list[tuple[float, str, int]] = []

    def schedule_polls(self, attempt: _batch_model.Attempt) -> None:
        """Schedules polls of an attempt from half its remaining run time on.

        Renewals are rare when there are many attempts and alone would notice
        its end late. Standing watches do not end and are not polled.
        """
        if attempt.is_standing:
            return
        task = self._context.state.task_by_id[attempt.ref.task_id]
        expected_s = self._context.learning.expected_run_time_s(
            attempt.class_key, attempt.spec.run_time_s
        )
        left_s = max(MIN_POLL_INTERVAL_S, (expected_s - task.progress_s) / 2)
        self._push_poll(attempt, self._context.now.boot_s + left_s)

    def renew_due_leases(self) -> None:
        """Renews leases that are due, polls attempts and checks for expiry.

        Does nothing if the last scan was less than `SCAN_INTERVAL_S` ago.
        """
        now_s = self._context.now.boot_s
        if now_s < self._next_scan_boot_s:
            return
        self._next_scan_boot_s = now_s + SCAN_INTERVAL_S
        self._context.interference.decay(now_s)
        self._poll_due_attempts()
        for worker in self._context.worker_by_machine.values():
            if worker.renew_due_boot_s <= now_s and not worker.is_renewing:
                self._renew_all(worker)
            if worker.consecutive_failed_calls and self._context.holds_lease:
                for attempt in list(worker.attempt_by_task.values()):
                    self._attempts.record_if_lease_expired(attempt)

    def process_reports(
        self,
        worker: _batch_model.Worker,
        reports: tuple[_batch_events.TaskReport, ...],
        *,
        was_renewal: bool,
    ) -> None:
        """Processes the reports in a worker's answer.

        Also sets the time of its next renewal.

        Args:
            worker: The worker that answered.
            reports: Reports on its attempts.
            was_renewal: Whether it answered a renewal, not a list call.
        """
        if not was_renewal:
            worker.renew_due_boot_s = self._context.now.boot_s
        elif worker.is_renewing_all:
            count = len(self._context.attempt_by_task)
            wait_s = _leases.renewal_interval_s(count)
            worker.renew_due_boot_s = self._context.now.boot_s + wait_s
        worker.is_renewing = False
        for report in reports:
            attempt = worker.attempt_by_task.get(report.ref.task_id)
            if attempt is None or attempt.ref != report.ref:
                continue
            self._record_usage(worker, attempt, report)
            self._attempts.handle_report(attempt, report)
        self._on_report(worker)

    def schedule_renewal_retry(
        self, worker: _batch_model.Worker, reason: _outcomes.Reason
    ) -> None:
        """Schedules a retry of a renewal that was lost or never sent."""
        worker.is_renewing = False
        retry_s = self._context.policy.call_retry_s
        if reason is _outcomes.Reason.LEASE_LAPSED:
            retry_s = 0.0
        worker.renew_due_boot_s = self._context.now.boot_s + retry_s

    def _renew_all(self, worker: _batch_model.Worker) -> None:
        """Renews all leases on a worker.

        A worker that lost too many renewals is asked for a list instead.
        """
        if worker.consecutive_failed_calls >= MAX_LOST_RENEWALS:
            request: _batch_events.WorkerRequest = _batch_events.ListTasks()
            worker.is_renewing = (
                self._context.call_worker(worker, request) is not None
            )
            return
        renewed = [
            attempt
            for attempt in worker.attempt_by_task.values()
            if attempt.phase in _RENEWED_PHASES
        ]
        if not renewed:
            return
        self._send_renewal(worker, renewed, is_all=True)

    def _send_renewal(
        self,
        worker: _batch_model.Worker,
        attempts: list[_batch_model.Attempt],
        *,
        is_all: bool,
    ) -> None:
        """Sends a renewal for some attempts and extends their expiry."""
        lease_s = _leases.lease_length_s(len(self._context.attempt_by_task))
        refs = tuple(attempt.ref for attempt in attempts)
        request = _batch_events.RenewLeases(refs, lease_s)
        not_after_s = self._context.call_worker(worker, request)
        if not_after_s is None:
            return
        worker.is_renewing = True
        worker.is_renewing_all = is_all
        expires_boot_s = _leases.lease_expires_boot_s(not_after_s, lease_s)
        for attempt in attempts:
            attempt.lease_expires_boot_s = max(
                attempt.lease_expires_boot_s, expires_boot_s
            )

    def _push_poll(
        self, attempt: _batch_model.Attempt, due_boot_s: float
    ) -> None:
        """Schedules a poll of an attempt at a time of the monotonic clock."""
        entry = (due_boot_s, attempt.ref.task_id, attempt.ref.attempt)
        heapq.heappush(self._poll_heap, entry)

    def _poll_due_attempts(self) -> None:
        """Polls attempts that may have ended before their next renewal.

        A poll is a renewal for just these attempts.
        """
        due_by_machine: dict[str, list[_batch_model.Attempt]] = {}
        now_s = self._context.now.boot_s
        while self._poll_heap and self._poll_heap[0][0] <= now_s:
            _, task_id, attempt_number = heapq.heappop(self._poll_heap)
            attempt = self._context.attempt_by_task.get(task_id)
            if attempt is None or attempt.ref.attempt != attempt_number:
                continue
            age_s = now_s - attempt.claimed_boot_s
            gap_s = max(MIN_POLL_INTERVAL_S, age_s * (POLL_GROWTH - 1))
            self._push_poll(attempt, now_s + gap_s)
            if attempt.phase in _RENEWED_PHASES:
                due_by_machine.setdefault(attempt.machine, []).append(attempt)
        for machine, attempts in due_by_machine.items():
            worker = self._context.worker_by_machine[machine]
            wait_s = worker.renew_due_boot_s - now_s
            if wait_s <= MIN_POLL_INTERVAL_S or worker.is_renewing:
                continue
            if worker.consecutive_failed_calls < MAX_LOST_RENEWALS:
                self._send_renewal(worker, attempts, is_all=False)

    def _record_usage(
        self,
        worker: _batch_model.Worker,
        attempt: _batch_model.Attempt,
        report: _batch_events.TaskReport,
    ) -> None:
        """Records a running attempt's peak usage and measured slowdown.

        The slowdown is learned only at full speed and once the set of
        attempts on the worker has been stable for some time.
        """
        if report.state is not _batch_events.WorkerTaskState.RUNNING:
            return
        attempt.peak_usage = _job.ResourceDemand(
            millicores=max(
                attempt.peak_usage.millicores, report.millicores_used
            ),
            memory_mib=max(
                attempt.peak_usage.memory_mib, report.memory_mib_used
            ),
        )
        self._raise_reservation(worker, attempt)
        now_s = self._context.now.boot_s
        is_settled = (
            now_s - worker.attempts_changed_boot_s
            >= _interference.USAGE_SETTLING_S
        )
        if not is_settled or attempt.speed_fraction < 1.0:
            return
        others = worker.speed_weight_by_class()
        others[attempt.class_key] -= attempt.speed_fraction
        if others[attempt.class_key] <= 0:
            del others[attempt.class_key]
        for service in worker.undisturbed_ratio_by_service:
            others[service] = 1.0
        self._context.interference.record_slowdown(
            attempt.class_key, others, report.slowdown
        )

    def _raise_reservation(
        self, worker: _batch_model.Worker, attempt: _batch_model.Attempt
    ) -> None:
        """Raises an attempt's reservation to its peak usage if higher."""
        reserved = attempt.reserved
        wanted = _job.ResourceDemand(
            millicores=max(reserved.millicores, attempt.peak_usage.millicores),
            memory_mib=max(reserved.memory_mib, attempt.peak_usage.memory_mib),
            accelerators=reserved.accelerators,
        )
        if wanted != reserved:
            worker.update_reservation(attempt, wanted)

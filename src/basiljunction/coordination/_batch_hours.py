"""Evicts batch attempts before the office hours of their class close."""

import heapq

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_model

HARD_STOP_LEAD_S = 10.0
"""Time before closing at which an attempt is stopped even if its checkpoint
is not complete, in seconds."""

FINISHING_LEAD_S = 25.0
"""Checkpoint lead of attempts that are expected to finish before closing, in
seconds."""

_Goal = _batch_model.EndGoal


class OfficeHoursEnforcer:
    """Schedules the eviction of attempts before their office hours close.

    Args:
        context: State and tables shared by the parts of the batch core.
        attempts: Ends the attempts.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._check_heap: list[tuple[float, str, int]] = []

    def schedule_closing_check(self, attempt: _batch_model.Attempt) -> None:
        """Schedules a check of an attempt shortly before its hours close.

        Attempts of classes that run outside office hours are not checked.
        """
        closes_s = self._closing_wall_s(attempt)
        if closes_s is None:
            return
        due_s = closes_s - self._context.policy.checkpoint_lead_s
        self._schedule_check(attempt, due_s)

    def reschedule_customer(self, customer: str) -> None:
        """Reschedules the checks of a customer after a contract change."""
        for attempt in self._context.attempt_by_task.values():
            if attempt.customer == customer:
                self.schedule_closing_check(attempt)

    def evict_before_closing(self) -> None:
        """Evicts the attempts whose office hours are about to close."""
        wall_s = self._context.now.wall_s
        while self._check_heap and self._check_heap[0][0] <= wall_s:
            _, task_id, attempt_number = heapq.heappop(self._check_heap)
            attempt = self._context.attempt_by_task.get(task_id)
            if attempt is not None and attempt.ref.attempt == attempt_number:
                self._end_or_check_later(attempt)

    def _schedule_check(
        self, attempt: _batch_model.Attempt, due_s: float
    ) -> None:
        """Schedules a check of an attempt at a time in Unix seconds."""
        entry = (due_s, attempt.ref.task_id, attempt.ref.attempt)
        heapq.heappush(self._check_heap, entry)

    def _closing_wall_s(self, attempt: _batch_model.Attempt) -> float | None:
        """Returns when the attempt's hours close, in Unix seconds.

        Returns the current time if they are closed, or None if the class may
        run at any time.
        """
        context = self._context
        contract = context.contract_in_force(attempt.customer)
        work_class = contract.class_by_name.get(attempt.class_name)
        if work_class is None or work_class.outside_hours:
            return None
        wall_s = context.now.wall_s
        opens_s, closes_s = context.windows.open_or_next_window(
            contract, work_class, wall_s
        )
        return closes_s if opens_s <= wall_s else wall_s

    def _end_or_check_later(self, attempt: _batch_model.Attempt) -> None:
        """Evicts an attempt if its hours are about to close.

        Otherwise, or if it is expected to finish in time, schedules the next
        check.
        """
        wall_s = self._context.now.wall_s
        closes_s = self._closing_wall_s(attempt)
        if closes_s is None:
            return
        left_s = closes_s - wall_s
        if left_s > self._context.policy.checkpoint_lead_s:
            self.schedule_closing_check(attempt)
            return
        if self._finishes_within(attempt, left_s - FINISHING_LEAD_S):
            self._schedule_check(attempt, closes_s - FINISHING_LEAD_S)
            return
        attempt.hard_stop_wall_s = closes_s - HARD_STOP_LEAD_S
        reason = f"office hours close in {max(0.0, left_s):.0f} s"
        self._attempts.begin_ending(attempt, _Goal.EVICT, reason)

    def _finishes_within(
        self, attempt: _batch_model.Attempt, left_s: float
    ) -> bool:
        """Returns whether an attempt is expected to end within some seconds."""
        if left_s <= 0 or attempt.is_standing:
            return False
        expected_s = self._context.learning.expected_run_time_s(
            attempt.class_key, attempt.spec.run_time_s
        )
        done_s = (
            attempt.latest_report.progress_s if attempt.latest_report else 0.0
        )
        return expected_s - done_s <= left_s

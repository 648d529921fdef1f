"""Approvals of executors for steps by an external policy service.

Load pattern: the policy answers slowly, and more slowly the more executors a
request names, and it handles one request at a time. Its decisions for a step
never change, but each approval is valid for a short time only. So a step
requests approval only for executors with free capacity and never again for one
that was not approved. Few requests are in flight at a time, so that the most
urgent step sends the next one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _orders

MAX_EXECUTORS_PER_REQUEST = 30
"""Most executors in one approval request: as many as a job's latency objective
allows time for."""

MAX_REQUESTS_IN_FLIGHT = 2
"""Most approval requests in flight: the policy works on one while the next one
is being sent."""

VALIDITY_MARGIN_S = 0.3
"""Remaining validity that an approval needs to be used, in seconds, so that the
start order arrives in time."""

REQUEST_RETRY_S = 0.2
"""Delay before an approval request that got no answer is repeated, in
seconds."""

StepKey = tuple[str, int, int]
"""Key of a step: job id, occurrence and step number."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ExecutorApproval:
    """Approval of one executor for one step.

    Attributes:
        token: Token that is sent with each start order.
        expires_s: Time after which it must not be used.
        executor_started_ms: Start time of the approved incarnation of the
            executor, in milliseconds since the Unix epoch.
    """

    token: str
    expires_s: float
    executor_started_ms: int


@dataclasses.dataclass(slots=True)
class _StepApprovals:
    """Approvals and pending request of one step.

    Attributes:
        decided_executors: Ids of the executors on which the policy has decided.
        approval_by_executor: Approvals by executor id, also expired ones.
        request_sent_s: Time at which the request in flight was sent; None if
            none is in flight.
        asked_started_ms_by_executor: Start time of the incarnation for which
            each executor was last named in a request, in milliseconds since
            the Unix epoch.
        next_request_s: Time before which no request is sent.
    """

    decided_executors: set[str] = dataclasses.field(default_factory=set)
    approval_by_executor: dict[str, _ExecutorApproval] = dataclasses.field(
        default_factory=dict
    )
    request_sent_s: float | None = None
    asked_started_ms_by_executor: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    next_request_s: float = 0.0


class ApprovalTracker:
    """Stores the approvals of all steps and chooses the next requests."""

    def __init__(self) -> None:
        self._approvals_by_step: dict[StepKey, _StepApprovals] = {}

    def approved_executors(
        self,
        key: StepKey,
        executors: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> list[_executors.ExecutorState]:
        """Returns the executors that have a valid approval for the step."""
        return [
            each for each in executors if self.approval_token(key, each, now_s)
        ]

    def is_refused(
        self, key: StepKey, executor: _executors.ExecutorState
    ) -> bool:
        """Returns whether the policy did not approve an executor for a step."""
        step_approvals = self._approvals_by_step.get(key)
        if step_approvals is None:
            return False
        executor_id = executor.listing.id
        return (
            executor_id in step_approvals.decided_executors
            and executor_id not in step_approvals.approval_by_executor
        )

    def approval_token(
        self, key: StepKey, executor: _executors.ExecutorState, now_s: float
    ) -> str:
        """Returns the token of a valid approval; empty if there is none."""
        step_approvals = self._approvals_by_step.get(key)
        if step_approvals is None:
            return ""
        approval = step_approvals.approval_by_executor.get(executor.listing.id)
        if (
            approval is None
            or approval.executor_started_ms != executor.started_wall_ms
        ):
            return ""
        return approval.token if now_s < approval.expires_s else ""

    def next_request(
        self,
        key: StepKey,
        candidates: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> _orders.ApprovalOrder | None:
        """Returns the next approval request for a step, or None.

        The returned request counts as in flight until its result is reported.

        Args:
            key: Key of the step.
            candidates: Executors with free capacity for the step, best first.
            now_s: Current time in seconds.
        """
        step_approvals = self._approvals_by_step.setdefault(
            key, _StepApprovals()
        )
        if (
            step_approvals.request_sent_s is not None
            or now_s < step_approvals.next_request_s
        ):
            return None
        if self._count_in_flight() >= MAX_REQUESTS_IN_FLIGHT:
            return None
        unapproved = [
            each
            for each in candidates
            if not self.approval_token(key, each, now_s)
            and (
                each.listing.id not in step_approvals.decided_executors
                or each.listing.id in step_approvals.approval_by_executor
            )
        ][:MAX_EXECUTORS_PER_REQUEST]
        if not unapproved:
            return None
        step_approvals.request_sent_s = now_s
        step_approvals.asked_started_ms_by_executor.update(
            (each.listing.id, each.started_wall_ms) for each in unapproved
        )
        return _orders.ApprovalOrder(
            *key, tuple(each.listing.id for each in unapproved)
        )

    def _count_in_flight(self) -> int:
        """Returns the number of approval requests in flight."""
        return sum(
            each.request_sent_s is not None
            for each in self._approvals_by_step.values()
        )

    def record_answer(
        self,
        order: _orders.ApprovalOrder,
        token_by_executor: Mapping[str, str],
        *,
        validity_s: float,
        now_s: float,
    ) -> None:
        """Records the policy's answer to an approval request.

        An approval is for the incarnation that was known when it was asked for;
        the executor may have restarted since.

        Args:
            order: The request.
            token_by_executor: Tokens of the approved executors by id.
            validity_s: Validity of the approvals in seconds, counted from the
                sending of the request.
            now_s: Current time in seconds.
        """
        step_approvals = self._approvals_by_step.get(
            (order.job, order.occurrence, order.step)
        )
        if step_approvals is None:
            return
        sent_s = (
            now_s
            if step_approvals.request_sent_s is None
            else step_approvals.request_sent_s
        )
        step_approvals.request_sent_s = None
        step_approvals.decided_executors.update(order.executors)
        for executor, token in token_by_executor.items():
            step_approvals.approval_by_executor[executor] = _ExecutorApproval(
                token,
                sent_s + validity_s - VALIDITY_MARGIN_S,
                step_approvals.asked_started_ms_by_executor.get(executor, 0),
            )

    def record_failure(
        self, order: _orders.ApprovalOrder, now_s: float
    ) -> None:
        """Records that an approval request failed, and delays the next one."""
        step_approvals = self._approvals_by_step.get(
            (order.job, order.occurrence, order.step)
        )
        if step_approvals is not None:
            step_approvals.request_sent_s = None
            step_approvals.next_request_s = now_s + REQUEST_RETRY_S

    def expire_rejected_approval(self, key: StepKey, executor: str) -> None:
        """Expires an approval that its executor did not accept."""
        step_approvals = self._approvals_by_step.get(key)
        if step_approvals is None:
            return
        approval = step_approvals.approval_by_executor.get(executor)
        if approval is not None:
            step_approvals.approval_by_executor[executor] = dataclasses.replace(
                approval, expires_s=0.0
            )

    def delete_job(self, job_id: str) -> None:
        """Deletes the approvals of all steps of a job."""
        for key in [
            each for each in self._approvals_by_step if each[0] == job_id
        ]:
            del self._approvals_by_step[key]

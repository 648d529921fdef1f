"""Approvals of executors for steps by an external policy service.

Load pattern: the policy's decisions for a step never change, but each approval
is valid for a short time only. So a step requests approval only for executors
with free capacity, and never again for one that was not approved.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from basiljunction.coordination.scheduling import _approval_calls
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _configuration


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
class StepApprovals:
    """Approvals of one step.

    Attributes:
        wanted_since_s: Time at which the step first needed approvals.
        request_count: Number of requests so far.
        decided_executors: Ids of the executors on which the policy has decided.
        approval_by_executor: Approvals by executor id, also expired ones.
        failures_in_a_row: Number of requests since the last answer that failed.
        next_request_s: Time before which no request is sent.
    """

    wanted_since_s: float
    request_count: int = 0
    decided_executors: set[str] = dataclasses.field(default_factory=set)
    approval_by_executor: dict[str, _ExecutorApproval] = dataclasses.field(
        default_factory=dict
    )
    failures_in_a_row: int = 0
    next_request_s: float = float("-inf")

    @property
    def approved_share(self) -> float:
        """Estimate of the share of executors that the policy approves, 0 to 1.

        By Laplace's rule of succession, which starts at a half.
        """
        approved = len(self.approval_by_executor)
        return (approved + 1) / (len(self.decided_executors) + 2)


class ApprovalTracker:
    """Stores the approvals of all steps and builds the requests for them."""

    def __init__(self) -> None:
        self._approvals_by_step: dict[
            _approval_calls.StepKey, StepApprovals
        ] = {}
        self._calls = _approval_calls.PolicyCalls()

    @property
    def calls_in_flight(self) -> int:
        """Number of requests that wait for an answer."""
        return self._calls.count

    def approved_executors(
        self,
        key: _approval_calls.StepKey,
        executors: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> list[_executors.ExecutorState]:
        """Returns the executors that have a valid approval for the step."""
        return [
            each for each in executors if self.approval_token(key, each, now_s)
        ]

    def is_refused(
        self, key: _approval_calls.StepKey, executor: _executors.ExecutorState
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
        self,
        key: _approval_calls.StepKey,
        executor: _executors.ExecutorState,
        now_s: float,
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

    def may_request(self, now_s: float) -> bool:
        """Returns whether any request may be sent now."""
        return self._calls.may_begin(now_s)

    def next_request(
        self,
        key: _approval_calls.StepKey,
        terms: _configuration.ApprovalPolicy,
        candidates: Sequence[_executors.ExecutorState],
        needed: int,
        now_s: float,
    ) -> _orders.ApprovalOrder | None:
        """Returns the next approval request for a step, or None.

        It names executors until as many as are needed should be approved, in
        so far as the policy decides on them in time. The returned request
        counts as in flight until its result is reported, or its time is over.

        Args:
            key: Key of the step.
            terms: The policy's terms for its queue.
            candidates: Executors with free capacity for the step, best first.
            needed: Number of executors that its waiting tasks need.
            now_s: Current time in seconds.
        """
        approvals = self._approvals_by_step.setdefault(
            key, StepApprovals(now_s)
        )
        if (
            now_s < approvals.next_request_s
            or not self._calls.may_begin(now_s)
            or self._calls.is_in_flight(key)
        ):
            return None
        chosen = self._choose_executors(
            key, approvals, candidates, needed, now_s
        )
        chosen = chosen[: self._calls.max_executors(terms)]
        if not chosen:
            return None
        number, call = self._calls.begin(
            key,
            terms,
            {each.listing.id: each.started_wall_ms for each in chosen},
            now_s,
        )
        approvals.request_count += 1
        return _orders.ApprovalOrder(
            *key,
            tuple(call.started_ms_by_executor),
            number=number,
            timeout_s=call.timeout_s,
        )

    def _choose_executors(
        self,
        key: _approval_calls.StepKey,
        approvals: StepApprovals,
        candidates: Sequence[_executors.ExecutorState],
        needed: int,
        now_s: float,
    ) -> list[_executors.ExecutorState]:
        """Returns the executors to name, without those that were refused.

        Those whose approval has expired come first, as they are approved again.
        """
        expired = []
        undecided = []
        for each in candidates:
            if self.approval_token(key, each, now_s):
                continue
            if each.listing.id in approvals.approval_by_executor:
                expired.append(each)
            elif each.listing.id not in approvals.decided_executors:
                undecided.append(each)
        missing = max(0, needed - len(expired))
        count = math.ceil(missing / approvals.approved_share)
        return [*expired[:needed], *undecided[:count]]

    def record_answer(
        self,
        order: _orders.ApprovalOrder,
        token_by_executor: Mapping[str, str],
        now_s: float,
    ) -> StepApprovals | None:
        """Records the policy's answer to an approval request.

        An approval is for the incarnation that was known when it was asked for;
        the executor may have restarted since.

        Args:
            order: The request.
            token_by_executor: Tokens of the approved executors by id.
            now_s: Current time in seconds.

        Returns:
            The approvals of the step; None if its job is not known any more,
            or the request had been given up.
        """
        try:
            call, expires_s = self._calls.end_answered(order.number, now_s)
        except KeyError:
            return None
        approvals = self._approvals_by_step.get(call.key)
        if approvals is None:
            return None
        approvals.failures_in_a_row = 0
        approvals.decided_executors.update(order.executors)
        for executor, token in token_by_executor.items():
            if executor in call.started_ms_by_executor:
                approvals.approval_by_executor[executor] = _ExecutorApproval(
                    token, expires_s, call.started_ms_by_executor[executor]
                )
        return approvals

    def record_failure(
        self, order: _orders.ApprovalOrder, now_s: float
    ) -> None:
        """Records that an approval request failed, and delays the next one."""
        self._calls.end_failed(order.number, now_s)
        approvals = self._approvals_by_step.get(
            (order.job, order.occurrence, order.step)
        )
        if approvals is not None:
            approvals.failures_in_a_row += 1
            approvals.next_request_s = now_s + _approval_calls.retry_delay_s(
                approvals.failures_in_a_row
            )

    def expire_rejected_approval(
        self, key: _approval_calls.StepKey, executor: str
    ) -> None:
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
        """Deletes the approvals of all steps of a job.

        Its requests count as in flight until they end, as the policy goes on
        with them.
        """
        for key in [
            each for each in self._approvals_by_step if each[0] == job_id
        ]:
            del self._approvals_by_step[key]

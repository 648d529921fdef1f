"""Entry half of the urgent path: admits, forwards and answers requests.

The entry instance is the one that holds the caller's connection. It sends each
admitted request to an owner of executors, repeats attempts where that is safe,
and answers the caller once.
"""

import dataclasses
import random

from basiljunction.coordination import _admission
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _messages
from basiljunction.coordination import _retry
from basiljunction.coordination import _routing
from basiljunction.coordination import _urgent_admission
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _outcomes
from basiljunction.state import _time

ATTEMPT_NUMBERS_PER_S = 1000
"""Attempt numbers per second of wall time, so that numbers keep growing over a
restart."""

MAX_RETURN_MARGIN_S = 0.03
"""Upper bound of the time reserved for the answer's way back, in seconds."""

RETURN_MARGIN_FRACTION = 0.05
"""Fraction of the remaining time that is reserved for the answer's way back
from the owner."""

RESEND_AFTER_FRACTION = 0.5
"""Fraction of the remaining time after which an unanswered idempotent attempt
is repeated at another owner."""


@dataclasses.dataclass(slots=True)
class _OpenAttempt:
    """An attempt that has no outcome yet.

    Attributes:
        owner: Instance that the attempt was sent to.
        resend_boot_s: Time from which the request may be sent to another owner
            as well; infinite once that was tried.
    """

    owner: str
    resend_boot_s: float


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """An admitted request that has not been answered yet.

    Attributes:
        request: The request.
        contract: Contract that it was admitted under.
        work_class: Its class in the contract.
        arrived_boot_s: Time of arrival.
        deadline_boot_s: Time by which the caller gets an answer.
        attempts: Numbers of all attempts, ended ones included.
        open_by_attempt: Attempts without an outcome, by number.
        tried_owners: Owners that an attempt was sent to.
        unknown_outcome: Newest outcome of an attempt that may have run; None if
            there is none.
    """

    request: _urgent_request.UrgentRequest
    contract: _contract.Contract
    work_class: _contract.WorkClass
    arrived_boot_s: float
    deadline_boot_s: float
    attempts: set[int] = dataclasses.field(default_factory=set)
    open_by_attempt: dict[int, _OpenAttempt] = dataclasses.field(
        default_factory=dict
    )
    tried_owners: set[str] = dataclasses.field(default_factory=set)
    unknown_outcome: _outcomes.Unknown | None = None

    @property
    def class_key(self) -> tuple[str, str]:
        """Customer and class name; the key of the retry budget."""
        return (self.request.customer, self.request.class_name)


class EntryCore:
    """Keeps callers' requests from admission until they are answered.

    Methods return actions, ``HopRequested`` and ``HopEnded`` items, which
    ``UrgentCore`` delivers.

    Args:
        view: Initial fleet view, not ready yet.
        chooser: Load balancing policy among owners.
        source: Source of randomness.
        seconds_until_open: Computes the seconds until office hours open.
    """

    def __init__(
        self,
        *,
        view: _views.FleetView,
        chooser: _executor_choice.Chooser,
        source: random.Random,
        seconds_until_open: _admission.SecondsUntilOpen,
    ) -> None:
        self._view = view
        self._instance = view.instance
        self.admission = _urgent_admission.UrgentAdmission(
            view=view, seconds_until_open=seconds_until_open
        )
        self._router = _routing.OwnerRouter(
            instance=view.instance, chooser=chooser, source=source
        )
        self._budgets = _retry.RetryBudgets()
        self._pending_by_id: dict[str, _PendingRequest] = {}
        self._last_attempt = 0

    @property
    def in_flight(self) -> int:
        """Number of requests that have not been answered yet."""
        return len(self._pending_by_id) + self.admission.held_requests

    def update_view(
        self, view: _views.FleetView, now: _time.Now
    ) -> list[object]:
        """Applies a new fleet view; ends attempts at peers that were lost."""
        previous = self._view
        self._view = view
        self._router.update_owners(view)
        self.admission.update_view(view, now.boot_s)
        class_keys = {
            (customer, name)
            for customer, contract in view.contract_by_customer.items()
            for name in contract.class_by_name
        }
        self._budgets.retain_classes(class_keys)
        lost = {
            name
            for name, peer in previous.peer_by_instance.items()
            if _find_incarnation(view, name) != peer.incarnation
        }
        return self._end_attempts_at(lost, now) if lost else []

    def record_load(self, report: _messages.OwnerLoad, now: _time.Now) -> None:
        """Records the load that an owner reported, for choosing owners."""
        self._router.record_load_report(report, now.boot_s)

    def handle_request(
        self, request: _urgent_request.UrgentRequest, now: _time.Now
    ) -> list[object]:
        """Admits a request and forwards it, holds it, or refuses it.

        Raises:
            ValueError: If a request with this id is in flight.
        """
        if request.request_id in self._pending_by_id:
            raise ValueError(
                f"request id {request.request_id!r} is already in flight"
            )
        return self._apply_decisions(
            self.admission.admit_or_hold(request, now), now
        )

    def handle_limit_grant(
        self, grant: _messages.LimitGrant, now: _time.Now
    ) -> list[object]:
        """Adds a granted share of a limit; forwards requests that it admits."""
        return self._apply_decisions(
            self.admission.handle_limit_grant(grant, now), now
        )

    def _apply_decisions(
        self, decided: list[_urgent_admission.AdmissionDecision], now: _time.Now
    ) -> list[object]:
        """Forwards the admitted requests and passes other decisions on."""
        actions: list[object] = []
        for each in decided:
            if isinstance(each, _urgent_admission.AdmittedRequest):
                actions += self._register_request(each, now)
            else:
                actions.append(each)
        return actions

    def _register_request(
        self, admitted: _urgent_admission.AdmittedRequest, now: _time.Now
    ) -> list[object]:
        """Records an admitted request and starts its first attempt."""
        request, contract = admitted.request, admitted.contract
        work_class = contract.class_by_name[request.class_name]
        deadline_s = work_class.deadline_s
        if request.deadline_s is not None:
            deadline_s = min(deadline_s, request.deadline_s)
        pending = _PendingRequest(
            request=request,
            contract=contract,
            work_class=work_class,
            arrived_boot_s=admitted.arrived_boot_s,
            deadline_boot_s=admitted.arrived_boot_s + deadline_s,
        )
        self._pending_by_id[request.request_id] = pending
        self._budgets.credit_first_attempt(
            pending.class_key, work_class.retry_budget
        )
        return self._forward_request(pending, None, now)

    def handle_hop_ended(
        self, event: _urgent_request.HopEnded, now: _time.Now
    ) -> list[object]:
        """Records the outcome of an attempt; then retries, waits or answers.

        Late and duplicate outcomes are ignored, except that a complete answer
        also counts if it comes from an abandoned attempt.
        """
        pending = self._find_pending(event.key)
        if pending is None:
            return []
        if isinstance(event.outcome, _outcomes.Completed):
            return self._end_request(pending, event.outcome, now)
        tried = pending.open_by_attempt.pop(event.key.attempt, None)
        if tried is None:
            return []
        self._router.count_request_ended(tried.owner)
        if _retry.is_owner_unreachable(event.outcome):
            self._router.record_send_failure(tried.owner, now.boot_s)
        if isinstance(event.outcome, _outcomes.Unknown):
            pending.unknown_outcome = event.outcome
        if self._claim_retry(pending, event.outcome, now):
            return self._forward_request(pending, event.outcome, now)
        if pending.open_by_attempt:
            return []
        return self._end_request(pending, event.outcome, now)

    def end_expired_and_resend(self, now: _time.Now) -> list[object]:
        """Ends requests past their deadline; repeats unanswered attempts."""
        actions = self._apply_decisions(
            self.admission.request_shares_and_recheck(now), now
        )
        for pending in list(self._pending_by_id.values()):
            if now.boot_s >= pending.deadline_boot_s:
                actions += self._end_request(
                    pending, self._expiry_outcome(pending), now
                )
            elif pending.work_class.idempotent:
                actions += self._resend_if_unanswered(pending, now)
        return actions

    def _find_pending(
        self, key: _urgent_request.HopKey
    ) -> _PendingRequest | None:
        """Returns the pending request that an attempt belongs to, or None."""
        pending = self._pending_by_id.get(key.request_id)
        if pending is None or key.sender != self._instance:
            return None
        return pending if key.attempt in pending.attempts else None

    def _forward_request(
        self,
        pending: _PendingRequest,
        outcome: _outcomes.Outcome | None,
        now: _time.Now,
    ) -> list[object]:
        """Starts an attempt at an owner that has not been tried.

        Without such an owner, the request ends with the given outcome, unless
        another attempt is still open.

        Args:
            pending: The request.
            outcome: Outcome of the attempt before; None if there is none.
            now: Current time.
        """
        request = pending.request
        affinity = (
            "" if pending.work_class.idempotent else _affinity_key(request)
        )
        owner = self._router.choose_owner(
            excluded=pending.tried_owners, affinity=affinity, boot_s=now.boot_s
        )
        if owner is None:
            if pending.open_by_attempt:
                return []
            none = _outcomes.NotRun(
                _outcomes.Step.ADMIT,
                self._instance,
                _outcomes.Reason.NO_EXECUTOR,
                1.0,
            )
            return self._end_request(pending, outcome or none, now)
        attempt = self._next_attempt_number(now)
        pending.attempts.add(attempt)
        pending.tried_owners.add(owner)
        left_s = pending.deadline_boot_s - now.boot_s
        pending.open_by_attempt[attempt] = _OpenAttempt(
            owner, now.boot_s + RESEND_AFTER_FRACTION * left_s
        )
        self._router.count_request_sent(owner)
        hop = self._build_hop(pending, attempt, left_s)
        return [_urgent_request.HopRequested(owner, hop)]

    def _next_attempt_number(self, now: _time.Now) -> int:
        """Returns a number that no earlier attempt from this instance had.

        Callers may reuse a request id, also after a restart, so the number
        follows the wall clock.
        """
        self._last_attempt = max(
            self._last_attempt + 1, int(now.wall_s * ATTEMPT_NUMBERS_PER_S)
        )
        return self._last_attempt

    def _build_hop(
        self, pending: _PendingRequest, attempt: int, left_s: float
    ) -> _urgent_request.Hop:
        """Builds a hop whose deadline leaves time for the answer's way back."""
        request = pending.request
        margin_s = min(MAX_RETURN_MARGIN_S, RETURN_MARGIN_FRACTION * left_s)
        return _urgent_request.Hop(
            key=_urgent_request.HopKey(
                self._instance, request.request_id, attempt
            ),
            customer=request.customer,
            class_name=request.class_name,
            contract_version=pending.contract.version,
            deadline_boot_s=pending.deadline_boot_s - margin_s,
            idempotency_key=request.idempotency_key,
            body=request.body,
            content_type=request.content_type,
        )

    def _claim_retry(
        self,
        pending: _PendingRequest,
        outcome: _outcomes.Outcome,
        now: _time.Now,
    ) -> bool:
        """Returns whether a failed request may be retried; may spend budget.

        A non-idempotent request is retried only if it ended before its intent
        was opened.
        """
        if len(pending.attempts) >= _retry.MAX_TRIES:
            return False
        if now.boot_s >= pending.deadline_boot_s:
            return False
        if not pending.work_class.idempotent:
            return _retry.is_retryable_before_intent(outcome)
        if _retry.is_free_to_retry(outcome):
            return True
        return _retry.is_retryable_on_budget(
            outcome
        ) and self._budgets.try_spend_retry(pending.class_key)

    def _resend_if_unanswered(
        self, pending: _PendingRequest, now: _time.Now
    ) -> list[object]:
        """Repeats a slow idempotent attempt elsewhere, if the budget allows."""
        if len(pending.open_by_attempt) != 1:
            return []
        if len(pending.attempts) >= _retry.MAX_TRIES:
            return []
        (tried,) = pending.open_by_attempt.values()
        if tried.owner == self._instance or now.boot_s < tried.resend_boot_s:
            return []
        tried.resend_boot_s = float("inf")
        if not self._budgets.try_spend_retry(pending.class_key):
            return []
        return self._forward_request(pending, None, now)

    def _end_attempts_at(
        self, lost_owners: set[str], now: _time.Now
    ) -> list[object]:
        """Ends idempotent attempts at owners that left or restarted."""
        ended = [
            (attempt, tried.owner, pending)
            for pending in self._pending_by_id.values()
            for attempt, tried in pending.open_by_attempt.items()
            if tried.owner in lost_owners and pending.work_class.idempotent
        ]
        actions: list[object] = []
        for attempt, owner, pending in ended:
            outcome = _outcomes.Unknown(
                _outcomes.Step.FORWARD,
                owner,
                _outcomes.Reason.CONNECTION_LOST,
                "the owner left the fleet or restarted before it answered",
            )
            key = _urgent_request.HopKey(
                self._instance, pending.request.request_id, attempt
            )
            event = _urgent_request.HopEnded(owner, key, outcome)
            actions += self.handle_hop_ended(event, now)
        return actions

    def _expiry_outcome(self, pending: _PendingRequest) -> _outcomes.Outcome:
        """Returns the outcome of a request that reaches its deadline.

        It is Unknown while an attempt is open, and NotRun otherwise.
        """
        for tried in pending.open_by_attempt.values():
            return _outcomes.Unknown(
                _outcomes.Step.FORWARD,
                tried.owner,
                _outcomes.Reason.TIMEOUT,
                "the owner did not answer by the deadline",
            )
        return _outcomes.NotRun(
            _outcomes.Step.FORWARD,
            self._instance,
            _outcomes.Reason.DEADLINE_PASSED,
            1.0,
        )

    def _end_request(
        self,
        pending: _PendingRequest,
        outcome: _outcomes.Outcome,
        now: _time.Now,
    ) -> list[object]:
        """Answers the caller and drops the request.

        NotRun becomes Unknown if another attempt of the request may have run.
        """
        del self._pending_by_id[pending.request.request_id]
        for tried in pending.open_by_attempt.values():
            self._router.count_request_ended(tried.owner)
        self.admission.record_end(pending.request.customer)
        if isinstance(outcome, _outcomes.NotRun) and pending.unknown_outcome:
            outcome = pending.unknown_outcome
        elapsed_s = now.boot_s - pending.arrived_boot_s
        return [
            _urgent_request.build_reply(pending.request, outcome, elapsed_s)
        ]


def _affinity_key(request: _urgent_request.UrgentRequest) -> str:
    """Returns the key that sends equal idempotency keys to one owner."""
    return f"{request.customer}\n{request.idempotency_key}"


def _find_incarnation(view: _views.FleetView, name: str) -> int | None:
    """Returns the incarnation of a peer in a view, or None if it is absent."""
    peer = view.peer_by_instance.get(name)
    return None if peer is None else peer.incarnation

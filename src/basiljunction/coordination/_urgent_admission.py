"""Admission of urgent requests at the entry instance.

Checks the contract, office hours, request rate and concurrency. Each customer's
limits are divided among the instances; the customer's home instance lends
shares to others.
"""

import dataclasses

from basiljunction.coordination import _admission
from basiljunction.coordination import _customer_limits
from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _outcomes
from basiljunction.state import _time

MAX_ADMITTED_REQUESTS = 4_000
"""Requests that one instance may have in flight; more are refused as
OVERLOADED."""

MAX_HELD_REQUESTS = 500
"""Requests that may wait for a larger share of a limit."""

MAX_HOLD_S = 0.03
"""How long a request over this instance's share of a limit waits for the home
instance to lend more, in seconds."""

LEAVING_ADMISSION_S = 1.5
"""How long a leaving instance still admits requests, in seconds, since the load
balancer keeps sending some."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """Decision: a request may run; it counts as in flight.

    Attributes:
        request: The request.
        contract: Contract under which it runs.
        arrived_boot_s: Time of arrival, from which its deadline counts.
    """

    request: _urgent_request.UrgentRequest
    contract: _contract.Contract
    arrived_boot_s: float


AdmissionDecision = AdmittedRequest | _urgent_request.Reply | _events.SendPeer
"""Admits a request, refuses it, or asks a peer for a share of a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldRequest:
    """A request that waits for a larger share of a limit.

    Attributes:
        request: The request.
        arrived_boot_s: Time of arrival.
    """

    request: _urgent_request.UrgentRequest
    arrived_boot_s: float

    @property
    def hold_until_boot_s(self) -> float:
        """Time at which the request is refused if still over the limit."""
        return self.arrived_boot_s + MAX_HOLD_S


class UrgentAdmission:
    """Admits requests, refuses them, or holds them for a share of a limit.

    Args:
        view: Initial fleet view, not ready yet.
        seconds_until_open: Computes the seconds until office hours open.
    """

    def __init__(
        self,
        *,
        view: _views.FleetView,
        seconds_until_open: _admission.SecondsUntilOpen,
    ) -> None:
        self._view = view
        self._instance = view.instance
        self._seconds_until_open = seconds_until_open
        self._leaving_since_boot_s: float | None = None
        self._limits = _customer_limits.CustomerLimits(view.instance)
        self._held: list[_HeldRequest] = []
        self._admitted = 0

    @property
    def held_requests(self) -> int:
        """Number of requests that wait for a share of a limit."""
        return len(self._held)

    def is_accepting(self, now: _time.Now) -> bool:
        """Whether this instance accepts new requests."""
        if not self._view.ready:
            return False
        since_s = self._leaving_since_boot_s
        return since_s is None or now.boot_s < since_s + LEAVING_ADMISSION_S

    def update_view(self, view: _views.FleetView, boot_s: float) -> None:
        """Applies a new fleet view and its limits."""
        self._view = view
        if view.leaving and self._leaving_since_boot_s is None:
            self._leaving_since_boot_s = boot_s
        self._limits.update_limits(view, boot_s)

    def admit_or_hold(
        self, request: _urgent_request.UrgentRequest, now: _time.Now
    ) -> list[AdmissionDecision]:
        """Admits, refuses or holds a new request.

        Returns:
            The decision; for a held request only messages that ask for a share.
        """
        contract = self._view.contract_by_customer.get(request.customer)
        refused = self._find_refusal(request, contract, now)
        if refused is not None or contract is None:
            return [_build_refusal_reply(request, refused)]
        over = self._limits.take_token_or_refuse(request.customer, now.boot_s)
        if over is None:
            return [self._admit_request(request, contract, now.boot_s)]
        if len(self._held) >= MAX_HELD_REQUESTS:
            return [self._refuse_over_limit(request, over)]
        self._held.append(_HeldRequest(request, now.boot_s))
        asks = self._request_share(request.customer, now)
        return [*asks, *self._recheck_held(request.customer, now)]

    def record_end(self, customer: str) -> None:
        """Records that an admitted request of a customer ended."""
        self._admitted -= 1
        self._limits.count_ended_request(customer)

    def handle_limit_demand(
        self, demand: _messages.LimitDemand, now: _time.Now
    ) -> list[_events.SendPeer]:
        """Lends a share of a limit to the instance that demands it."""
        return self._limits.answer_demand(demand, now.boot_s)

    def handle_limit_grant(
        self, grant: _messages.LimitGrant, now: _time.Now
    ) -> list[AdmissionDecision]:
        """Adds a granted share; decides on the customer's held requests."""
        self._limits.apply_grant(grant, now.boot_s)
        return self._recheck_held(grant.customer, now)

    def request_shares_and_recheck(
        self, now: _time.Now
    ) -> list[AdmissionDecision]:
        """Requests shares ahead of need; decides on requests held too long."""
        decisions: list[AdmissionDecision] = [
            *self._limits.demand_shares_early(now.boot_s)
        ]
        if self._held:
            decisions += self._recheck_held("", now)
        return decisions

    def _find_refusal(
        self,
        request: _urgent_request.UrgentRequest,
        contract: _contract.Contract | None,
        now: _time.Now,
    ) -> _outcomes.NotRun | None:
        """Returns why a request may not run, or None; ignores the limits."""
        if not self._view.ready:
            return self._build_refusal(_outcomes.Reason.NOT_READY, 1.0)
        if not self.is_accepting(now):
            return self._build_refusal(_outcomes.Reason.LEAVING, 0.0)
        refused = _admission.find_contract_refusal(
            contract=contract,
            class_name=request.class_name,
            has_key=bool(request.idempotency_key),
            wall_s=now.wall_s,
            seconds_until_open=self._seconds_until_open,
            instance=self._instance,
        )
        if refused is not None:
            return refused
        if self._admitted >= MAX_ADMITTED_REQUESTS:
            return self._build_refusal(_outcomes.Reason.OVERLOADED, 1.0)
        return None

    def _admit_request(
        self,
        request: _urgent_request.UrgentRequest,
        contract: _contract.Contract,
        arrived_boot_s: float,
    ) -> AdmittedRequest:
        """Counts a request against the limits and admits it."""
        self._admitted += 1
        self._limits.count_started_request(request.customer)
        return AdmittedRequest(request, contract, arrived_boot_s)

    def _request_share(
        self, customer: str, now: _time.Now
    ) -> list[_events.SendPeer]:
        """Returns messages that request a share for a customer."""
        waiting = sum(each.request.customer == customer for each in self._held)
        return self._limits.demand_share(customer, waiting, now.boot_s)

    def _recheck_held(
        self, customer: str, now: _time.Now
    ) -> list[AdmissionDecision]:
        """Decides on a customer's held requests and on those held too long.

        Args:
            customer: Customer whose share has changed; empty for none.
            now: Current time.
        """
        decisions: list[AdmissionDecision] = []
        held, self._held = self._held, []
        for each in held:
            is_due = now.boot_s >= each.hold_until_boot_s
            if is_due or each.request.customer == customer:
                decisions += self._decide_held(each, is_due, now)
            else:
                self._held.append(each)
        return decisions

    def _decide_held(
        self, held: _HeldRequest, is_due: bool, now: _time.Now
    ) -> list[AdmissionDecision]:
        """Admits a held request, refuses it, or holds it further.

        Args:
            held: The request.
            is_due: Whether it may not be held any longer.
            now: Current time.
        """
        request = held.request
        contract = self._view.contract_by_customer.get(request.customer)
        if contract is None:
            gone = self._build_refusal(_outcomes.Reason.NO_CONTRACT, None)
            return [_build_refusal_reply(request, gone)]
        over = self._limits.take_token_or_refuse(request.customer, now.boot_s)
        if over is None:
            return [self._admit_request(request, contract, held.arrived_boot_s)]
        if is_due:
            return [self._refuse_over_limit(request, over)]
        self._held.append(held)
        return []

    def _refuse_over_limit(
        self,
        request: _urgent_request.UrgentRequest,
        over: _customer_limits.LimitRefusal,
    ) -> _urgent_request.Reply:
        """Returns the reply to a request that exceeds a limit."""
        refused = self._build_refusal(
            over.reason, over.retry_after_s, over.detail
        )
        return _build_refusal_reply(request, refused)

    def _build_refusal(
        self,
        reason: _outcomes.Reason,
        retry_after_s: float | None,
        detail: str = "",
    ) -> _outcomes.NotRun:
        """Returns a NotRun outcome of this instance's admission."""
        return _outcomes.NotRun(
            _outcomes.Step.ADMIT, self._instance, reason, retry_after_s, detail
        )


def _build_refusal_reply(
    request: _urgent_request.UrgentRequest,
    refused: _outcomes.NotRun | None,
) -> _urgent_request.Reply:
    """Returns the reply that refuses a request.

    Raises:
        ValueError: If there is no refusal.
    """
    if refused is None:
        raise ValueError(request.request_id)
    return _urgent_request.build_reply(request, refused, 0.0)

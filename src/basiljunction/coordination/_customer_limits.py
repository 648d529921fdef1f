"""Enforces the request limits of each customer at one entry instance.

Every instance may use an even share of a customer's rate and concurrency. If
it needs more, it sends a demand to the customer's home instance, which lends it
part of the rest for a short time (see ``_limit_shares``).
"""

import dataclasses

from basiljunction.coordination import _events
from basiljunction.coordination import _limit_shares
from basiljunction.coordination import _messages
from basiljunction.coordination import _rate_limit
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _outcomes

EARLY_DEMAND_INTERVAL_S = 0.2
"""Minimum time between demands sent before the share is used up, in seconds."""
MIN_DEMAND_INTERVAL_S = 0.02
"""Minimum time between any two demands for one customer, in seconds."""
EARLY_DEMAND_FRACTION = 0.5
"""Used fraction of its share above which an instance demands more early."""
DEMAND_HEADROOM_FACTOR = 1.5
"""Factor by which a demand exceeds the measured rate and concurrency."""

_NO_SHARE = _limit_shares.LimitShare(0.0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRefusal:
    """Refusal of a request that exceeds its customer's limits.

    Attributes:
        reason: The limit that is exceeded: rate or concurrency.
        retry_after_s: Seconds after which a retry may succeed; None if no
            retry can succeed.
        detail: Explanation for the client.
    """

    reason: _outcomes.Reason
    retry_after_s: float | None
    detail: str


@dataclasses.dataclass(slots=True)
class _LocalLimits:
    """Limits and current usage of one customer at this instance.

    Attributes:
        contract: The contract in force.
        even_share: Rate and concurrency that need no grant.
        burst_share: This instance's share of the burst, which is never lent.
        bucket: Token bucket that refills at the even plus the granted rate.
        granted_share: Rate and concurrency lent by the home instance.
        grant_expires_boot_s: Boot time at which the grant expires.
        in_flight: Number of admitted requests that have not ended.
        requests_since_demand: Number of requests since the newest demand.
        demand_sent_boot_s: Boot time at which the newest demand was sent.
    """

    contract: _contract.Contract
    even_share: _limit_shares.LimitShare
    burst_share: float
    bucket: _rate_limit.TokenBucket
    granted_share: _limit_shares.LimitShare = _NO_SHARE
    grant_expires_boot_s: float = float("-inf")
    in_flight: int = 0
    requests_since_demand: int = 0
    demand_sent_boot_s: float = float("-inf")

    @property
    def rate_per_s(self) -> float:
        """Requests per second that this instance may admit."""
        return self.even_share.rate_per_s + self.granted_share.rate_per_s

    @property
    def concurrency(self) -> int:
        """Requests that this instance may have in flight."""
        return self.even_share.concurrency + self.granted_share.concurrency

    def update_bucket(self, boot_s: float) -> None:
        """Sets the bucket to the current rate and burst."""
        self.bucket.change_limits(
            rate_per_s=self.rate_per_s, burst=self.burst_share, boot_s=boot_s
        )


class CustomerLimits:
    """Admits requests within this instance's share of each customer's limits.

    Args:
        instance: Name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._lender = _limit_shares.ShareLender()
        self._view = _views.FleetView(instance, 0)
        self._limits_by_customer: dict[str, _LocalLimits] = {}

    def update_limits(self, view: _views.FleetView, boot_s: float) -> None:
        """Recomputes the limits from the contracts and number of instances.

        A customer without a contract is removed once none of its requests is
        in flight.
        """
        self._view = view
        self._lender.update(view, boot_s)
        instance_count = _limit_shares.count_admitting_instances(view)
        for customer, contract in view.contract_by_customer.items():
            self._update_customer(customer, contract, instance_count, boot_s)
        removed = self._limits_by_customer.keys() - view.contract_by_customer
        for customer in removed:
            if not self._limits_by_customer[customer].in_flight:
                del self._limits_by_customer[customer]

    def take_token_or_refuse(
        self, customer: str, boot_s: float
    ) -> LimitRefusal | None:
        """Takes a rate token and returns None, or returns the refusal."""
        limits = self._limits_by_customer[customer]
        limits.requests_since_demand += 1
        has_grant_expired = boot_s >= limits.grant_expires_boot_s
        if has_grant_expired and limits.granted_share != _NO_SHARE:
            limits.granted_share = _NO_SHARE
            limits.update_bucket(boot_s)
        if limits.in_flight >= limits.concurrency:
            return LimitRefusal(
                _outcomes.Reason.CONCURRENCY_EXCEEDED,
                1.0,
                f"the contract allows {limits.contract.concurrency} requests in"
                " flight",
            )
        if limits.bucket.try_take_token(boot_s):
            return None
        rate = limits.contract.request_rate_per_s
        return LimitRefusal(
            _outcomes.Reason.RATE_EXCEEDED,
            limits.bucket.seconds_until_token(boot_s),
            f"the contract allows {rate:g} requests per second",
        )

    def count_started_request(self, customer: str) -> None:
        """Counts an admitted request as in flight."""
        self._limits_by_customer[customer].in_flight += 1

    def count_ended_request(self, customer: str) -> None:
        """Stops counting a request as in flight after it has ended."""
        limits = self._limits_by_customer.get(customer)
        if limits is not None:
            limits.in_flight = max(0, limits.in_flight - 1)

    def demand_share(
        self, customer: str, waiting: int, boot_s: float
    ) -> list[_events.SendPeer]:
        """Returns the demand to send to a customer's home instance.

        If this instance is the home, the grant is applied at once and there is
        nothing to send. Nothing is sent within ``MIN_DEMAND_INTERVAL_S`` of
        the previous demand either.

        Args:
            customer: The customer whose share is demanded.
            waiting: Number of requests that wait for the grant.
            boot_s: Current boot time in seconds.
        """
        limits = self._limits_by_customer[customer]
        since_s = boot_s - limits.demand_sent_boot_s
        if since_s < MIN_DEMAND_INTERVAL_S:
            return []
        demand = _messages.LimitDemand(
            sender=self._instance,
            customer=customer,
            rate_per_s=DEMAND_HEADROOM_FACTOR
            * limits.requests_since_demand
            / min(max(since_s, 0.1), 2.0),
            concurrency=int(
                DEMAND_HEADROOM_FACTOR * (limits.in_flight + waiting)
            )
            + 1,
            sent_boot_s=boot_s,
        )
        limits.demand_sent_boot_s = boot_s
        limits.requests_since_demand = 0
        home = _limit_shares.find_home_instance(customer, self._view)
        if home != self._instance:
            return [_events.SendPeer(home, demand)]
        grant = self._grant_share(demand, boot_s)
        if grant is not None:
            self.apply_grant(grant, boot_s)
        return []

    def demand_shares_early(self, boot_s: float) -> list[_events.SendPeer]:
        """Returns early demands for the customers close to their share."""
        demands: list[_events.SendPeer] = []
        for customer, limits in self._limits_by_customer.items():
            since_s = boot_s - limits.demand_sent_boot_s
            if since_s < EARLY_DEMAND_INTERVAL_S:
                continue
            rate_per_s = limits.requests_since_demand / min(since_s, 2.0)
            is_busy = (
                rate_per_s > EARLY_DEMAND_FRACTION * limits.rate_per_s
                or limits.in_flight > EARLY_DEMAND_FRACTION * limits.concurrency
            )
            if is_busy:
                demands += self.demand_share(customer, 0, boot_s)
        return demands

    def answer_demand(
        self, demand: _messages.LimitDemand, boot_s: float
    ) -> list[_events.SendPeer]:
        """Returns the grant for another instance's demand.

        Nothing is returned if this instance is not the customer's home or does
        not lend yet.
        """
        grant = self._grant_share(demand, boot_s)
        return [] if grant is None else [_events.SendPeer(demand.sender, grant)]

    def apply_grant(self, grant: _messages.LimitGrant, boot_s: float) -> None:
        """Applies a grant from the home instance.

        It expires a fixed time after the demand was sent, so a grant that
        arrives late is valid for less time. A grant that expires no later than
        the current one is ignored.
        """
        limits = self._limits_by_customer.get(grant.customer)
        until_s = grant.echoed_boot_s + _limit_shares.GRANT_DURATION_S
        if limits is None or until_s <= limits.grant_expires_boot_s:
            return
        limits.granted_share = _limit_shares.LimitShare(
            grant.rate_per_s, grant.concurrency
        )
        limits.grant_expires_boot_s = until_s
        limits.update_bucket(boot_s)

    def _grant_share(
        self, demand: _messages.LimitDemand, boot_s: float
    ) -> _messages.LimitGrant | None:
        """Returns the grant for a demand; None if this instance cannot lend."""
        share = self._lender.lend_share(demand, boot_s)
        if share is None:
            return None
        return _messages.LimitGrant(
            sender=self._instance,
            customer=demand.customer,
            rate_per_s=share.rate_per_s,
            concurrency=share.concurrency,
            echoed_boot_s=demand.sent_boot_s,
        )

    def _update_customer(
        self,
        customer: str,
        contract: _contract.Contract,
        instance_count: int,
        boot_s: float,
    ) -> None:
        """Creates or updates the limits of one customer."""
        even = _limit_shares.even_share(contract, instance_count)
        burst = max(1.0, contract.request_burst / instance_count)
        limits = self._limits_by_customer.get(customer)
        if limits is None:
            bucket = _rate_limit.TokenBucket(
                rate_per_s=even.rate_per_s, burst=burst, boot_s=boot_s
            )
            limits = _LocalLimits(contract, even, burst, bucket)
            self._limits_by_customer[customer] = limits
        limits.contract = contract
        limits.even_share = even
        limits.burst_share = burst
        limits.update_bucket(boot_s)

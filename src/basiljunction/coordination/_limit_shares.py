"""Divides a customer's limits into shares that its home instance lends.

Half of each limit is split evenly between the entry instances. The customer's
home instance lends the other half, for a limited time, to the instances that
need it. The borrower counts the duration of a grant from when it sent the
demand, the home from when it granted, so a grant expires at the borrower first.
The shares of all instances therefore never add up to more than the limit while
they agree on the home. A new home lends nothing until the grants of the
previous home have expired.
"""

import dataclasses

import xxhash

from basiljunction.coordination import _messages
from basiljunction.coordination import _views
from basiljunction.state import _contract

LENDABLE_FRACTION = 0.5
"""Fraction of each limit that the home lends instead of splitting evenly."""
GRANT_DURATION_S = 1.0
"""Time for which a lent share is valid, in seconds."""
MAX_CLOCK_DRIFT = 0.05
"""Largest assumed relative difference in rate between two clocks."""


@dataclasses.dataclass(frozen=True, slots=True)
class LimitShare:
    """A share of a customer's rate and concurrency limits.

    Attributes:
        rate_per_s: Admitted requests per second.
        concurrency: Maximum number of requests in flight.
    """

    rate_per_s: float
    concurrency: int


def even_share(contract: _contract.Contract, instance_count: int) -> LimitShare:
    """Returns the share that each instance may use without a grant.

    Its concurrency is at least 1, so that a customer whose concurrency is less
    than the number of instances is served by all of them.

    Args:
        contract: The customer's contract.
        instance_count: Number of instances that admit requests.
    """
    even_fraction = 1.0 - LENDABLE_FRACTION
    return LimitShare(
        rate_per_s=even_fraction * contract.request_rate_per_s / instance_count,
        concurrency=max(
            1, int(even_fraction * contract.concurrency / instance_count)
        ),
    )


def find_home_instance(customer: str, view: _views.FleetView) -> str:
    """Returns the instance that lends shares of a customer's limits.

    It is chosen by rendezvous hashing among the instances that are not leaving.
    """
    names = [
        name for name, peer in view.peer_by_instance.items() if not peer.leaving
    ]
    if not view.leaving:
        names.append(view.instance)
    if not names:
        return view.instance
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f"{customer}\n{name}".encode()
        ),
    )


@dataclasses.dataclass(slots=True)
class _Loan:
    """The share lent to one instance.

    Attributes:
        wanted: Share demanded in excess of the even share.
        granted: Share lent in excess of the even share.
        expires_boot_s: Boot time at which the home may lend it again.
    """

    wanted: LimitShare
    granted: LimitShare
    expires_boot_s: float


@dataclasses.dataclass(slots=True)
class _LentCustomer:
    """A customer whose home is this instance.

    Attributes:
        contract: The contract in force.
        instance_count: Number of instances that admit requests.
        lends_from_boot_s: Boot time from which this home may lend; by then the
            grants of the previous home have expired.
        loan_by_instance: Newest loan to each instance.
    """

    contract: _contract.Contract
    instance_count: int
    lends_from_boot_s: float
    loan_by_instance: dict[str, _Loan] = dataclasses.field(default_factory=dict)


class ShareLender:
    """Lends shares of the limits of customers whose home is this instance."""

    def __init__(self) -> None:
        """Creates a lender without customers."""
        self._by_customer: dict[str, _LentCustomer] = {}

    def update(self, view: _views.FleetView, boot_s: float) -> None:
        """Updates the customers whose home is this instance.

        Loans of customers that now have another home are dropped.
        """
        instance_count = count_admitting_instances(view)
        contract_by_customer = {
            customer: contract
            for customer, contract in view.contract_by_customer.items()
            if find_home_instance(customer, view) == view.instance
        }
        for customer in self._by_customer.keys() - contract_by_customer.keys():
            del self._by_customer[customer]
        for customer, contract in contract_by_customer.items():
            known = self._by_customer.get(customer)
            if known is None:
                lends_from_s = boot_s + GRANT_DURATION_S * (
                    1.0 + MAX_CLOCK_DRIFT
                )
                known = _LentCustomer(contract, instance_count, lends_from_s)
                self._by_customer[customer] = known
            known.contract = contract
            known.instance_count = instance_count

    def lend_share(
        self, demand: _messages.LimitDemand, boot_s: float
    ) -> LimitShare | None:
        """Lends a share and returns it.

        The loan replaces the sender's previous one.

        Returns:
            The lent share; None if this instance is not the customer's home or
            does not lend yet.
        """
        customer = self._by_customer.get(demand.customer)
        if customer is None or boot_s < customer.lends_from_boot_s:
            return None
        _remove_expired_loans(customer, boot_s)
        even = even_share(customer.contract, customer.instance_count)
        wanted = LimitShare(
            max(0.0, demand.rate_per_s - even.rate_per_s),
            max(0, demand.concurrency - even.concurrency),
        )
        customer.loan_by_instance.pop(demand.sender, None)
        others = list(customer.loan_by_instance.values())
        granted = LimitShare(
            _proportional_share(
                LENDABLE_FRACTION * customer.contract.request_rate_per_s,
                wanted.rate_per_s,
                [each.wanted.rate_per_s for each in others],
                [each.granted.rate_per_s for each in others],
            ),
            int(
                _proportional_share(
                    LENDABLE_FRACTION * customer.contract.concurrency,
                    wanted.concurrency,
                    [each.wanted.concurrency for each in others],
                    [each.granted.concurrency for each in others],
                )
            ),
        )
        until_s = boot_s + GRANT_DURATION_S * (1.0 + MAX_CLOCK_DRIFT)
        customer.loan_by_instance[demand.sender] = _Loan(
            wanted, granted, until_s
        )
        return granted


def count_admitting_instances(view: _views.FleetView) -> int:
    """Returns the number of instances that admit requests.

    This instance always counts, so the result is at least 1.
    """
    return 1 + sum(not peer.leaving for peer in view.peer_by_instance.values())


def _remove_expired_loans(customer: _LentCustomer, boot_s: float) -> None:
    """Removes a customer's loans that have expired."""
    for name, lent in list(customer.loan_by_instance.items()):
        if lent.expires_boot_s <= boot_s:
            del customer.loan_by_instance[name]


def _proportional_share(
    pool: float, wanted: float, others_wanted: list[float], lent: list[float]
) -> float:
    """Returns the part of a pool to lend, in proportion to all demands.

    It never exceeds what is left of the pool after the current loans.

    Args:
        pool: Total amount that may be lent.
        wanted: Amount demanded.
        others_wanted: Amounts demanded by the other instances.
        lent: Amounts currently lent to the other instances.
    """
    total = wanted + sum(others_wanted)
    fair_share = wanted if total <= pool else pool * wanted / total
    return max(0.0, min(fair_share, pool - sum(lent)))

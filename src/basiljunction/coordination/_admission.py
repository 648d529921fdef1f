"""Admission checks: contract, office hours, and whether a deadline is met."""

from collections.abc import Callable
import math

from basiljunction.state import _contract
from basiljunction.state import _outcomes

SecondsUntilOpen = Callable[[_contract.OfficeHours, float], float]
"""Function of office hours and a wall time that returns the seconds until the
hours open: 0 if they are open, infinite if they never open again."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest retry delay that a refusal suggests, in seconds."""


def always_open(_hours: _contract.OfficeHours, _wall_s: float) -> float:
    """Returns 0: treats any office hours as open."""
    return 0.0


def find_contract_refusal(
    *,
    contract: _contract.Contract | None,
    class_name: str,
    has_key: bool,
    wall_s: float,
    seconds_until_open: SecondsUntilOpen,
    instance: str,
) -> _outcomes.NotRun | None:
    """Returns why a contract does not allow a request, or None if it does.

    Args:
        contract: The contract in force; None if there is none.
        class_name: Work class that the caller names.
        has_key: Whether the caller sent an idempotency key.
        wall_s: Current wall time.
        seconds_until_open: Computes the seconds until office hours open.
        instance: Instance that decides; named in the refusal.
    """

    def refuse(
        reason: _outcomes.Reason, retry_after_s: float | None, detail: str
    ) -> _outcomes.NotRun:
        """Returns a NotRun outcome of the admission step."""
        return _outcomes.NotRun(
            _outcomes.Step.ADMIT, instance, reason, retry_after_s, detail
        )

    if contract is None:
        detail = "the customer has no contract in force"
        return refuse(_outcomes.Reason.NO_CONTRACT, None, detail)
    work_class = contract.class_by_name.get(class_name)
    if (
        work_class is None
        or work_class.kind is not _contract.WorkKind.LATENCY_CRITICAL
    ):
        detail = f"the contract has no latency-critical class {class_name!r}"
        return refuse(_outcomes.Reason.UNKNOWN_CLASS, None, detail)
    if not work_class.idempotent and not has_key:
        detail = f"class {class_name!r} needs an idempotency key"
        return refuse(_outcomes.Reason.KEY_REQUIRED, None, detail)
    if work_class.outside_hours:
        return None
    closed_s = seconds_until_open(contract.hours, wall_s)
    if closed_s <= 0:
        return None
    retry_after_s = None if math.isinf(closed_s) else closed_s
    detail = "outside the contract's office hours"
    return refuse(_outcomes.Reason.OUTSIDE_HOURS, retry_after_s, detail)


def estimate_retry_after_s(
    *, wait_s: float, service_s: float, remaining_s: float
) -> float | None:
    """Returns after how long a request could meet its deadline.

    Args:
        wait_s: Expected wait for a slot.
        service_s: Expected service time.
        remaining_s: Time to the deadline.

    Returns:
        Seconds until enough of the queue is drained; 0 if the deadline can be
        met now, None if it is shorter than the service time.
    """
    if service_s > remaining_s:
        return None
    late_s = wait_s + service_s - remaining_s
    return 0.0 if late_s <= 0 else max(MIN_RETRY_AFTER_S, late_s)

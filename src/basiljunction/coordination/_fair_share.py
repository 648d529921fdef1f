"""Weighted dominant share, by which capacity is shared between customers."""

from basiljunction.state import _job
from basiljunction.state import _system


def total_capacity(state: _system.SystemState) -> _job.ResourceDemand:
    """Returns the total capacity of all registered workers."""
    machines = [each.registered for each in state.machine_by_id.values()]
    return _job.ResourceDemand(
        millicores=sum(each.millicores for each in machines),
        memory_mib=sum(each.memory_mib for each in machines),
        accelerators=sum(each.accelerators for each in machines),
    )


def dominant_share(
    usage: _system.CustomerUsage, total: _job.ResourceDemand, weight: float
) -> float:
    """Returns a customer's largest share of any resource over its weight.

    The customer with the lowest value is served next.

    Args:
        usage: Resources that the customer's tasks have claimed.
        total: Capacity of all workers.
        weight: The contract's weight. At 0 or less the result is infinite, so
            the customer comes last.
    """
    if weight <= 0:
        return float("inf")
    share = max(
        usage.millicores / max(1, total.millicores),
        usage.memory_mib / max(1, total.memory_mib),
        usage.accelerators / max(1, total.accelerators),
    )
    return share / weight

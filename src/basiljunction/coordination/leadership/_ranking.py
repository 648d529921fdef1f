"""Compares the provision of instances that may schedule a cell."""

from collections.abc import Collection

from basiljunction.state.workload import _provision


def compute_relative_provision(
    own: _provision.Provision, members: Collection[_provision.Provision]
) -> float:
    """Returns the own provision in relation to the best provided member.

    The scarcer resource decides, as a scheduler needs both. What is unknown
    counts as equal to the best.

    Args:
        own: Provision of this instance.
        members: Provisions of the registered instances.

    Returns:
        1 if no member is better provided, or a smaller fraction of the best.
    """
    known = [own, *(each for each in members if each.is_known)]
    best = _provision.Provision(
        link_mbps=max(each.link_mbps or 0.0 for each in known),
        cpu_cores=max(each.cpu_cores or 0.0 for each in known),
    )
    return _score_provision(own, best) / max(
        _score_provision(each, best) for each in known
    )


def _score_provision(
    provision: _provision.Provision, best: _provision.Provision
) -> float:
    """Returns the smaller of both resources, each as a fraction of the best."""
    return min(
        _divide_known(provision.link_mbps, best.link_mbps),
        _divide_known(provision.cpu_cores, best.cpu_cores),
    )


def _divide_known(value: float | None, best: float | None) -> float:
    """Returns a value as a fraction of the best; 1 if it is unknown."""
    if value is None or not best:
        return 1.0
    return value / best

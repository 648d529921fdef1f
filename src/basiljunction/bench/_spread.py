"""Measures how soon a published contract is in force at every instance.

Eight instances with real TCP connections share a log in memory. The log is
healthy, takes 2 s for each call of all instances or 6 s for each call of one
instance, or is healthy while one instance is paused. In the baseline,
instances do not pass log entries to each other.
"""

from collections.abc import Callable
import statistics
import time

from basiljunction.bench import _fleet
from basiljunction.bench import _report
from basiljunction.bench import _workload
from basiljunction.coordination import _spread
from basiljunction.state import _records

_INSTANCE_COUNT = 8
"""Number of instances in the fleet."""

_PUBLICATION_COUNT = 5
"""Contracts published in each case, except during the pause."""

_SLOW_LOG_DELAY_S = 2.0
"""Duration of a log call when the log is slow for all, in seconds."""

_VERY_SLOW_LOG_DELAY_S = 6.0
"""Duration of a log call when the log is slow for one instance, in seconds."""

_SETTLE_S = 0.5
"""Wait after the log becomes slow for one instance, in seconds."""

_PAUSE_S = 3.0
"""Least duration of the pause of one instance, in seconds."""

_WAIT_TIMEOUT_S = 60.0
"""Limit on each wait for the fleet or a publication, in seconds."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares contract publication delays with and without peers' help.

    The baseline receives log entries from the log only, not from peers.
    """
    rows: list[_report.Row] = []
    for baseline in (False, True):
        times_by_case: dict[str, list[list[float]]] = {}
        for index in range(runs):
            measured = _measure_times_by_case(
                seed + index, exchanges_entries=not baseline
            )
            for case, times in measured.items():
                times_by_case.setdefault(case, []).append(times)
        for case, times_by_run in times_by_case.items():
            rows += _make_rows(case, times_by_run, baseline=baseline)
    return _report.Report("spread", seed, tuple(rows))


def _make_rows(
    case: str, times_by_run: list[list[float]], *, baseline: bool
) -> list[_report.Row]:
    """Returns the p50, p99 and maximum of a case's times, one for each run."""
    name = f"{case}, log only" if baseline else case
    figures: dict[str, Callable[[list[float]], float]] = {
        "in force at one instance, p50": statistics.median,
        "in force at one instance, p99": _percentile_99,
        "in force at one instance, max": max,
    }
    return [
        _report.Row(
            name,
            metric,
            "s",
            tuple(float(figure(times)) for times in times_by_run),
            baseline,
        )
        for metric, figure in figures.items()
    ]


def _percentile_99(times: list[float]) -> float:
    """Returns the 99th percentile of the times, in their unit."""
    return sorted(times)[min(len(times) - 1, int(len(times) * 0.99))]


def _measure_times_by_case(
    seed: int, *, exchanges_entries: bool
) -> dict[str, list[float]]:
    """Returns the publication delays of one run, by case.

    Args:
        seed: Seed of the fleet's random numbers.
        exchanges_entries: Whether instances request log entries from peers.

    Returns:
        For each case, the seconds from each publication until it was in force
        at each instance.
    """
    max_lag_s = _spread.MAX_LAG_S if exchanges_entries else float("inf")
    fleet = _fleet.Fleet(
        _INSTANCE_COUNT,
        seed=seed,
        options=_fleet.FleetOptions(max_lag_s=max_lag_s),
    )
    fleet.start()
    try:
        _fleet.wait_until(
            lambda: _fleet.is_membership_complete(fleet),
            within_s=_WAIT_TIMEOUT_S,
        )
        healthy = _time_publications(fleet, "healthy")
        fleet.log.delay_s = _SLOW_LOG_DELAY_S
        time.sleep(_SLOW_LOG_DELAY_S)
        slow = _time_publications(fleet, "slow")
        fleet.log.delay_s = 0.0
        time.sleep(2 * _SLOW_LOG_DELAY_S)
        fleet.instances[-1].log.delay_s = _VERY_SLOW_LOG_DELAY_S
        time.sleep(_SETTLE_S)
        one_slow = _time_publications(fleet, "slow-one")
        fleet.instances[-1].log.delay_s = 0.0
        time.sleep(_VERY_SLOW_LOG_DELAY_S)
        paused = _time_publication_during_pause(fleet)
        return {
            "healthy": healthy,
            "log slow, 2 s a call": slow,
            "log slow for one, 6 s a call": one_slow,
            "one of eight paused, others": paused[:-1],
            "one of eight paused, after its pause": paused[-1:],
        }
    finally:
        fleet.stop()


def _time_publications(fleet: _fleet.Fleet, label: str) -> list[float]:
    """Publishes contracts, each at another instance, and times each one.

    The result holds one delay in seconds for each contract and instance.
    """
    times: list[float] = []
    for index in range(_PUBLICATION_COUNT):
        customer = f"{label}-{index}"
        started_s = time.monotonic()
        _publish_contract(fleet.instances[index], customer)
        times += _wait_until_in_force(fleet.instances, customer, started_s)
    return times


def _time_publication_during_pause(fleet: _fleet.Fleet) -> list[float]:
    """Publishes a contract while the last instance is paused.

    The result holds the delay in seconds at each other instance, and last the
    delay at the paused instance, counted from the end of its pause.
    """
    *others, paused = fleet.instances
    paused.clock.pause()
    started_s = time.monotonic()
    _publish_contract(others[0], "paused")
    times = _wait_until_in_force(others, "paused", started_s)
    time.sleep(max(0.0, _PAUSE_S - (time.monotonic() - started_s)))
    paused.clock.resume()
    return times + _wait_until_in_force([paused], "paused", time.monotonic())


def _publish_contract(instance: _fleet.FleetInstance, customer: str) -> None:
    """Appends a new contract for a customer through an instance."""
    published = _records.ContractPublished(
        _workload.make_contract(customer), 0, "ana", customer
    )
    instance.append(published, within_s=_WAIT_TIMEOUT_S)


def _wait_until_in_force(
    instances: list[_fleet.FleetInstance], customer: str, started_s: float
) -> list[float]:
    """Waits until a contract is in force at all of the instances.

    Args:
        instances: Instances to wait for.
        customer: Customer of the contract.
        started_s: Monotonic time from which the delays count.

    Returns:
        The delay at each instance in seconds, in ascending order.

    Raises:
        TimeoutError: The contract was not in force everywhere in time.
    """
    time_by_instance: dict[str, float] = {}
    while len(time_by_instance) < len(instances):
        for instance in instances:
            view = instance.urgent.view
            if view is None or instance.name in time_by_instance:
                continue
            if customer in view.contract_by_customer:
                time_by_instance[instance.name] = time.monotonic() - started_s
        if time.monotonic() - started_s > _WAIT_TIMEOUT_S:
            raise TimeoutError(
                f"contract of {customer} is not in force at every instance"
            )
        time.sleep(0.002)
    return list(time_by_instance.values())

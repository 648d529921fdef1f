"""Measures goodput and fairness at loads above the executors' capacity.

Three customers share the executors: two small ones and a large one. Goodput
counts the requests that complete within their deadline.
"""

import math
import random

from basiljunction.bench import _report
from basiljunction.bench import _urgent_loop
from basiljunction.bench import _urgent_servers
from basiljunction.coordination import _executor_choice

DURATION_S = 10.0
"""Simulated time in which requests arrive, in seconds."""

DEADLINE_S = 0.5
"""Deadline of every request, in seconds from its submission."""

LOAD_FACTORS = (1.0, 2.0, 4.0)
"""Constant loads that are measured, in multiples of the capacity."""

FIFO_CAPACITY = 1000
"""Requests that can wait in the baseline's queue."""

MAX_CALLER_ATTEMPTS = 3
"""Times that a caller submits a request before it accepts a refusal."""

STORM_LOAD_FACTOR = 4.0
"""Load during the storm, a burst of overload, in multiples of the capacity."""

STORM_END_S = 5.0
"""Simulated time at which the storm ends; it starts at 0."""

CALM_LOAD_FACTOR = 0.5
"""Load after the storm, in multiples of the capacity."""

SHARE_BY_CUSTOMER = {"small-1": 0.1, "small-2": 0.1, "large": 0.8}
"""Fraction of the offered load that each customer sends."""


_BASELINE_CASE = "fifo"
"""Case whose rows are marked as the baseline."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares the urgent path with one FIFO queue of fixed capacity."""
    rows = []
    for case in (_BASELINE_CASE, "urgent"):
        for load in LOAD_FACTORS:
            results = [
                _run_load(case, load, load, seed + index)
                for index in range(runs)
            ]
            rows += _load_rows(case, load, results)
        storms = [
            _run_load(case, STORM_LOAD_FACTOR, CALM_LOAD_FACTOR, seed + index)
            for index in range(runs)
        ]
        rows.append(_storm_row(case, storms))
    return _report.Report("overload", seed, tuple(rows))


def _load_rows(
    case: str, load: float, results: list[list[_urgent_loop.RequestResult]]
) -> list[_report.Row]:
    """Returns the rows of one constant load, from one result list per run."""
    name = f"{case} {load:g}x"
    goodput_percent = tuple(_goodput_percent(result) for result in results)
    small_percent = tuple(
        _small_customer_success_percent(result) for result in results
    )
    refusal_ms = tuple(_refusal_latency_p99_ms(result) for result in results)
    is_baseline = case == _BASELINE_CASE
    rows = [
        _report.Row(
            name, "goodput of capacity", "%", goodput_percent, is_baseline
        ),
        _report.Row(
            name, "small customers in time", "%", small_percent, is_baseline
        ),
    ]
    if not any(math.isnan(each) for each in refusal_ms):
        row = _report.Row(
            name, "p99 until refused", "ms", refusal_ms, is_baseline
        )
        rows.append(row)
    return rows


def _storm_row(
    case: str, results: list[list[_urgent_loop.RequestResult]]
) -> _report.Row:
    """Returns the row of the recovery time after a storm, one value per run."""
    values = tuple(_recovery_time_s(result) for result in results)
    name = f"{case} storm {STORM_LOAD_FACTOR:g}x then {CALM_LOAD_FACTOR:g}x"
    metric = "until all are in time again"
    return _report.Row(name, metric, "s", values, case == _BASELINE_CASE)


def _run_load(
    case: str, load: float, load_after: float, seed: int
) -> list[_urgent_loop.RequestResult]:
    """Simulates one load and returns how each request ended.

    Args:
        case: Name of the server to measure.
        load: Load until ``STORM_END_S``, in multiples of the capacity.
        load_after: Load from then on.
        seed: Seed of arrivals, service times and the choice of executors.
    """
    arrivals = []
    for customer, share in SHARE_BY_CUSTOMER.items():
        arrivals += _urgent_loop.draw_poisson_arrivals(
            random.Random(f"{seed} {customer}"),
            customer,
            _make_rate_function(share, load, load_after),
            DURATION_S,
        )
    loop = _urgent_loop.QueueingSimulation(
        server=_make_server(case, seed),
        source=random.Random(seed + 2),
        deadline_s=DEADLINE_S,
        max_attempts=MAX_CALLER_ATTEMPTS,
    )
    return loop.run(sorted(arrivals, key=lambda each: each.at_s))


def _make_rate_function(
    share: float, load: float, load_after: float
) -> _urgent_loop.RateFunction:
    """Returns one customer's requests per second as a function of time."""

    def rate_per_s(at_s: float) -> float:
        """Returns the customer's arrival rate at a simulated time."""
        now = load if at_s < STORM_END_S else load_after
        return share * now * _urgent_loop.capacity_per_s()

    return rate_per_s


def _make_server(case: str, seed: int) -> _urgent_loop.SimulatedServer:
    """Returns the FIFO queue for the baseline case, else the urgent path."""
    if case == _BASELINE_CASE:
        return _urgent_servers.FifoServer(capacity=FIFO_CAPACITY)
    return _urgent_servers.UrgentCoreServer(
        customers=tuple(SHARE_BY_CUSTOMER),
        chooser=_executor_choice.LeastLatencyChooser(),
        deadline_s=DEADLINE_S,
        source=random.Random(seed + 1),
    )


def _goodput_percent(results: list[_urgent_loop.RequestResult]) -> float:
    """Returns goodput in percent of the executors' capacity."""
    good_count = sum(each.is_completed_in_time for each in results)
    return 100 * good_count / (DURATION_S * _urgent_loop.capacity_per_s())


def _small_customer_success_percent(
    results: list[_urgent_loop.RequestResult],
) -> float:
    """Returns the percentage of the small customers' requests that succeeded.

    A request succeeds if its last attempt completes within the deadline.
    """
    small = [each for each in results if each.customer != "large"]
    return 100 * sum(each.is_completed_in_time for each in small) / len(small)


def _refusal_latency_p99_ms(results: list[_urgent_loop.RequestResult]) -> float:
    """Returns the 99th percentile of the time to a final refusal, in ms.

    The result is NaN if no request was refused.
    """
    refused = [each.latency_s for each in results if each.outcome == "NotRun"]
    return 1000 * _urgent_loop.percentile(refused, 0.99)


def _recovery_time_s(results: list[_urgent_loop.RequestResult]) -> float:
    """Returns the seconds from the storm's end to the last failed arrival.

    A failed arrival is a request that was not completed within its deadline.
    The result is 0 if all requests that arrived after the storm succeeded.
    """
    late_arrivals_s = [
        each.arrived_s
        for each in results
        if not each.is_completed_in_time and each.arrived_s >= STORM_END_S
    ]
    return max(late_arrivals_s, default=STORM_END_S) - STORM_END_S

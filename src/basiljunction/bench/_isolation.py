"""Measures a customer's latency while another customer floods the instance.

The measured customer stays within its share; the other one sends up to four
times the total capacity.
"""

import random

from basiljunction.bench import _report
from basiljunction.bench import _urgent_loop
from basiljunction.bench import _urgent_servers
from basiljunction.coordination import _executor_choice

RUN_LENGTH_S = 10.0
"""Simulated time during which requests arrive, in seconds."""

DEADLINE_S = 1.0
"""Deadline of each request, in seconds."""

QUIET_LOAD_SHARE = 0.1
"""Request rate of the quiet customer, as a share of total capacity."""

FLOOD_LOAD_SHARES = (0.0, 1.0, 4.0)
"""Request rates of the flooding customer, as shares of total capacity."""

FIFO_CAPACITY = 1000
"""Maximum number of requests in the baseline's queue."""

QUIET_CUSTOMER = "quiet"
"""Customer whose latency is measured."""

FLOODING_CUSTOMER = "flood"
"""Customer that sends more requests than can be served."""

_BASELINE_CASE = "fifo"
"""Case in which one queue serves all requests in order of arrival."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures how a flooding customer affects the latency of a quiet one.

    One queue in order of arrival is the baseline of the urgent path, which
    serves latency-critical requests.
    """
    rows = []
    for case in (_BASELINE_CASE, "urgent"):
        for flood in FLOOD_LOAD_SHARES:
            results = [
                _measure_quiet_customer(case, flood, seed + index)
                for index in range(runs)
            ]
            rows += _make_rows(case, flood, results)
    return _report.Report("isolation", seed, tuple(rows))


def _make_rows(
    case: str, flood: float, results: list[list[_urgent_loop.RequestResult]]
) -> list[_report.Row]:
    """Returns the quiet customer's rows for one case and flood rate."""
    name = f"{case}, flood of {flood:g}x"
    p99 = tuple(
        1000 * _urgent_loop.percentile((e.latency_s for e in result), 0.99)
        for result in results
    )
    good = tuple(
        100 * sum(each.is_completed_in_time for each in result) / len(result)
        for result in results
    )
    is_baseline = case == _BASELINE_CASE
    return [
        _report.Row(name, "quiet customer's p99", "ms", p99, is_baseline),
        _report.Row(name, "quiet customer in time", "%", good, is_baseline),
    ]


def _measure_quiet_customer(
    case: str, flood: float, seed: int
) -> list[_urgent_loop.RequestResult]:
    """Simulates one run; returns the quiet customer's ended requests."""
    capacity_per_s = _urgent_loop.capacity_per_s()
    arrivals = _urgent_loop.draw_poisson_arrivals(
        random.Random(seed),
        QUIET_CUSTOMER,
        lambda _at_s: QUIET_LOAD_SHARE * capacity_per_s,
        RUN_LENGTH_S,
    )
    if flood:
        arrivals += _urgent_loop.draw_poisson_arrivals(
            random.Random(seed + 3),
            FLOODING_CUSTOMER,
            lambda _at_s: flood * capacity_per_s,
            RUN_LENGTH_S,
        )
    loop = _urgent_loop.QueueingSimulation(
        server=_make_server(case, seed),
        source=random.Random(seed + 2),
        deadline_s=DEADLINE_S,
    )
    ended = loop.run(sorted(arrivals, key=lambda each: each.at_s))
    return [each for each in ended if each.customer == QUIET_CUSTOMER]


def _make_server(case: str, seed: int) -> _urgent_loop.SimulatedServer:
    """Returns the server of a case: one FIFO queue or the urgent core."""
    if case == _BASELINE_CASE:
        return _urgent_servers.FifoServer(capacity=FIFO_CAPACITY)
    return _urgent_servers.UrgentCoreServer(
        customers=(QUIET_CUSTOMER, FLOODING_CUSTOMER),
        chooser=_executor_choice.LeastLatencyChooser(),
        deadline_s=DEADLINE_S,
        source=random.Random(seed + 1),
    )

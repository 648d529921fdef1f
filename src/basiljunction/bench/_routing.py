"""Measures tail latency by executor choice policy.

The load alternates between two levels, and one executor after another is
slowed down.
"""

import math
import random

from basiljunction.bench import _report
from basiljunction.bench import _urgent_loop
from basiljunction.bench import _urgent_servers
from basiljunction.coordination import _executor_choice

DURATION_S = 20.0
"""Simulated time in which requests arrive, in seconds."""

DEADLINE_S = 2.0
"""Deadline of every request, in seconds from its arrival."""

LOW_LOAD_FACTOR = 0.35
"""Load in even periods, as a fraction of the capacity."""

HIGH_LOAD_FACTOR = 0.65
"""Load in odd periods, as a fraction of the capacity."""

LOAD_PERIOD_S = 5.0
"""Time after which the load changes, in seconds."""

NOISE_PERIOD_S = 4.0
"""Time for which one executor is slowed down, in seconds."""

NOISE_SLOWDOWN = 3.0
"""Factor on the service time of the executor that is slowed down."""

HEDGE_AFTER_S = 0.1
"""Time after which a second call starts, in seconds: about the 95th percentile
of the service time without noise."""
CUSTOMER = "kowhai"
"""Customer that sends all requests."""


_CHOOSER_CASES: tuple[tuple[str, _executor_choice.Chooser], ...] = (
    ("random", _executor_choice.RandomChooser()),
    ("two-choices", _executor_choice.TwoChoicesChooser()),
    ("least-outstanding", _executor_choice.LeastOutstandingChooser()),
    ("least-latency", _executor_choice.LeastLatencyChooser()),
)
"""Name and policy of each case without hedging."""

_HEDGED_CASE = "least-latency, hedged for free"
"""Name of the case in which a second call takes no slot, which is an upper
bound on the gain of hedging."""

_QUANTILES = (("p50", 0.5), ("p99", 0.99), ("p999", 0.999))
"""Metric name and fraction of each reported latency quantile."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares policies that choose an executor for each request.

    Random choice is the baseline.
    """
    rows = []
    cases = [(name, chooser, math.inf) for name, chooser in _CHOOSER_CASES]
    cases.append((_HEDGED_CASE, _CHOOSER_CASES[-1][1], HEDGE_AFTER_S))
    for name, chooser, hedge_after_s in cases:
        results = [
            _measure_latencies_s(chooser, hedge_after_s, seed + index)
            for index in range(runs)
        ]
        for metric, fraction in _QUANTILES:
            values = tuple(
                1000 * _urgent_loop.percentile(result, fraction)
                for result in results
            )
            row = _report.Row(name, metric, "ms", values, name == "random")
            rows.append(row)
    return _report.Report("routing", seed, tuple(rows))


def _measure_latencies_s(
    chooser: _executor_choice.Chooser, hedge_after_s: float, seed: int
) -> list[float]:
    """Simulates one run and returns the latency of each request."""
    source = random.Random(seed)
    arrivals = _urgent_loop.draw_poisson_arrivals(
        source, CUSTOMER, _arrival_rate_per_s, DURATION_S
    )
    server = _urgent_servers.UrgentCoreServer(
        customers=(CUSTOMER,),
        chooser=chooser,
        deadline_s=DEADLINE_S,
        source=random.Random(seed + 1),
    )
    loop = _urgent_loop.QueueingSimulation(
        server=server,
        source=random.Random(seed + 2),
        deadline_s=DEADLINE_S,
        slowdown=_noise_slowdown,
        hedge_after_s=hedge_after_s,
    )
    return [each.latency_s for each in loop.run(arrivals)]


def _arrival_rate_per_s(at_s: float) -> float:
    """Returns the arrival rate at a time, in requests per second."""
    is_high = int(at_s / LOAD_PERIOD_S) % 2 == 1
    load = HIGH_LOAD_FACTOR if is_high else LOW_LOAD_FACTOR
    return load * _urgent_loop.capacity_per_s()


def _noise_slowdown(executor: str, at_s: float) -> float:
    """Returns the factor on an executor's service time at a given time.

    Each executor in turn is slowed down for ``NOISE_PERIOD_S``.
    """
    names = _urgent_loop.executor_names()
    slow_executor = names[int(at_s / NOISE_PERIOD_S) % len(names)]
    return NOISE_SLOWDOWN if executor == slow_executor else 1.0

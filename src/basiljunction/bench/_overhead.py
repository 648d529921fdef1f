"""Measures the latency and processor time that an entry instance adds.

Latency-critical calls go directly to the executors, then through one instance,
at the same rates. A third figure is the processor time of the urgent core
alone, without network or threads.
"""

import itertools
import random
import time

import psutil

from basiljunction.bench import _load
from basiljunction.bench import _report
from basiljunction.bench import _urgent_loop
from basiljunction.bench import _urgent_servers
from basiljunction.coordination import _executor_choice
from basiljunction.demo import _cluster

RATES_PER_S = (100.0, 600.0)
"""Request rates that are measured, in requests per second."""

DURATION_S = 8.0
"""Length of one measurement, in seconds."""

SETTLE_S = 2.0
"""Wait after the deployment has started, in seconds."""

WARM_UP_S = 2.0
"""Length of the first load through the instance, which is not measured, in
seconds."""

WORKER_COUNT = 4
"""Number of workers in the deployment."""

CORE_REQUEST_COUNT = 3000
"""Requests in one measurement of the urgent core alone."""

CORE_LOAD_FACTOR = 0.6
"""Load on the urgent core alone, as a fraction of the executors' capacity."""


def run(*, runs: int, seed: int) -> _report.Report:
    """Measures the latency and processor time that an instance adds to calls.

    The baseline calls the executors directly.
    """
    core = tuple(_measure_core_cpu_us(seed + index) for index in range(runs))
    rows = [_report.Row("core alone", "processor time", "us/request", core)]
    with _load.run_deployment(
        entry_instances=1,
        workers=WORKER_COUNT,
        rate_per_s=max(RATES_PER_S),
        seed=seed,
    ) as cluster:
        time.sleep(SETTLE_S)
        _call_through_instance(cluster, RATES_PER_S[0], seed, WARM_UP_S)
        for rate_per_s in RATES_PER_S:
            rows += _measure_at_rate(cluster, rate_per_s, runs, seed)
    return _report.Report("overhead", seed, tuple(rows))


def _measure_at_rate(
    cluster: _cluster.Cluster, rate_per_s: float, runs: int, seed: int
) -> list[_report.Row]:
    """Returns the rows of direct and instance calls at one request rate."""
    direct_by_run: list[list[float]] = []
    through_instance_by_run: list[list[float]] = []
    cpu_us: list[float] = []
    failed_counts: list[float] = []
    for index in range(runs):
        answers = _call_executors(cluster, rate_per_s, seed + index, DURATION_S)
        direct_by_run.append([each.latency_s for each in answers])
        before_s = _read_instance_cpu_s(cluster)
        answers = _call_through_instance(
            cluster, rate_per_s, seed + index, DURATION_S
        )
        used_s = _read_instance_cpu_s(cluster) - before_s
        cpu_us.append(1e6 * used_s / len(answers))
        through_instance_by_run.append([each.latency_s for each in answers])
        failed_counts.append(float(sum(each.status != 200 for each in answers)))
    case = f"instance, {rate_per_s:g}/s"
    return [
        *_latency_rows(rate_per_s, direct_by_run, through_instance_by_run),
        _report.Row(case, "processor time", "us/request", tuple(cpu_us)),
        _report.Row(case, "not answered", "requests", tuple(failed_counts)),
    ]


def _latency_rows(
    rate_per_s: float,
    direct_by_run: list[list[float]],
    through_instance_by_run: list[list[float]],
) -> list[_report.Row]:
    """Returns the percentiles of both paths and their differences, in ms.

    Args:
        rate_per_s: Request rate, named in the rows.
        direct_by_run: Latencies of direct calls in seconds, one list for each
            run.
        through_instance_by_run: The same for calls through the instance.
    """
    rows = []
    for metric, fraction in (("p50", 0.5), ("p99", 0.99)):
        direct_s = [
            _urgent_loop.percentile(each, fraction) for each in direct_by_run
        ]
        through_instance_s = [
            _urgent_loop.percentile(each, fraction)
            for each in through_instance_by_run
        ]
        added_s = [
            a - b for a, b in zip(through_instance_s, direct_s, strict=True)
        ]
        for case, values, is_baseline in (
            ("direct", direct_s, True),
            ("instance", through_instance_s, False),
            ("added", added_s, False),
        ):
            in_ms = tuple(1000 * value for value in values)
            name = f"{case}, {rate_per_s:g}/s"
            row = _report.Row(name, metric, "ms", in_ms, is_baseline)
            rows.append(row)
    return rows


def _call_executors(
    cluster: _cluster.Cluster, rate_per_s: float, seed: int, seconds: float
) -> list[_load.CallResult]:
    """Sends requests directly to the executors and returns the answers."""
    addresses = [
        cluster.machine_url(each.executor) for each in cluster.machines
    ]
    load = _load.PoissonLoad(
        target=_load.target_executors(addresses),
        rate_per_s=rate_per_s,
        seed=seed,
    )
    return load.run(seconds)


def _call_through_instance(
    cluster: _cluster.Cluster, rate_per_s: float, seed: int, seconds: float
) -> list[_load.CallResult]:
    """Sends requests to the entry instance and returns the answers."""
    (instance,) = cluster.instance_by_name.values()
    load = _load.PoissonLoad(
        target=_load.target_instances(lambda _number: instance.url),
        rate_per_s=rate_per_s,
        seed=seed,
    )
    return load.run(seconds)


def _read_instance_cpu_s(cluster: _cluster.Cluster) -> float:
    """Returns the processor seconds that the instance has used so far."""
    (instance,) = cluster.instance_by_name.values()
    times = psutil.Process(cluster.instance_pid(instance)).cpu_times()
    return float(times.user + times.system)


def _measure_core_cpu_us(seed: int) -> float:
    """Returns the processor time of the urgent core in us per request.

    It includes the simulation loop that drives the core.
    """
    source = random.Random(seed)
    rate_per_s = CORE_LOAD_FACTOR * _urgent_loop.capacity_per_s()
    seconds = 2 * CORE_REQUEST_COUNT / rate_per_s
    arrivals = _urgent_loop.draw_poisson_arrivals(
        source, _load.CUSTOMER, lambda _at_s: rate_per_s, seconds
    )
    server = _urgent_servers.UrgentCoreServer(
        customers=(_load.CUSTOMER,),
        chooser=_executor_choice.LeastLatencyChooser(),
        deadline_s=2.0,
        source=random.Random(seed + 1),
    )
    loop = _urgent_loop.QueueingSimulation(
        server=server, source=random.Random(seed + 2), deadline_s=2.0
    )
    requests = list(itertools.islice(arrivals, CORE_REQUEST_COUNT))
    started_s = time.process_time()
    loop.run(requests)
    return 1e6 * (time.process_time() - started_s) / len(requests)

"""Counts requests lost while instances are restarted in turn under load.

Compares a graceful restart of every instance to killing some of them.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading
import time

from basiljunction.bench import _load
from basiljunction.bench import _report
from basiljunction.demo import _balancer
from basiljunction.demo import _cluster
from basiljunction.demo import _entry_instance

ENTRY_INSTANCE_COUNT = 8
"""Number of entry instances."""

WORKER_COUNT = 16
"""Number of workers."""

REQUESTS_PER_S = 60.0
"""Mean rate of requests to the deployment."""

KILLED_INSTANCE_COUNT = 2
"""Number of instances killed in the baseline case."""

LEAVE_TIMEOUT_S = 40.0
"""Time limit of a graceful stop, in seconds."""

RESTART_INTERVAL_S = 1.0
"""Pause before each restart, in seconds."""

LOAD_AFTER_RESTARTS_S = 3.0
"""How long the load goes on after the last restart, in seconds."""

MAX_LOAD_S = 600.0
"""Upper bound of the load's duration, in seconds."""

HTTP_OK = 200
"""HTTP status of a successful request."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Restart:
    """One restart of an instance.

    Attributes:
        instance: The restarted instance.
        requested_wall_s: Wall-clock time at which the stop was requested.
    """

    instance: _entry_instance.EntryInstance
    requested_wall_s: float


def run(*, runs: int, seed: int) -> _report.Report:
    """Compares graceful restarts of all instances to killing some of them."""
    rows: list[_report.Row] = []
    with _load.run_deployment(
        entry_instances=ENTRY_INSTANCE_COUNT,
        workers=WORKER_COUNT,
        rate_per_s=REQUESTS_PER_S,
        seed=seed,
    ) as cluster:
        graceful = [
            _restart_under_load(
                cluster, _drain_instance, ENTRY_INSTANCE_COUNT, seed + index
            )
            for index in range(runs)
        ]
        rows += _make_rows("leaving", graceful, is_baseline=False)
        killed = [
            _restart_under_load(
                cluster, _kill_instance, KILLED_INSTANCE_COUNT, seed + index
            )
            for index in range(runs)
        ]
        rows += _make_rows("killed", killed, is_baseline=True)
    return _report.Report("drain", seed, tuple(rows))


_StopInstance = Callable[
    [_cluster.Cluster, _entry_instance.EntryInstance], float
]
"""Stops an instance; returns the wall-clock time of the request to stop."""

_LoadResult = tuple[list[_load.CallResult], list[_Restart]]
"""Answers to all calls of a run, and the restarts during it."""


def _restart_under_load(
    cluster: _cluster.Cluster,
    stop_instance: _StopInstance,
    count: int,
    seed: int,
) -> _LoadResult:
    """Restarts instances in turn while a load balancer sends them requests.

    Args:
        cluster: The deployment.
        stop_instance: Stops one instance.
        count: Number of instances to restart.
        seed: Seed of the balancer and of the call times.
    """
    balancer = _balancer.LoadBalancer(cluster, seed=seed)
    balancer.update_ready_instances()
    stop = threading.Event()

    def choose_url(_number: int) -> str:
        """Returns a ready instance's URL, or one that refuses connections."""
        instance = balancer.choose_instance()
        return "http://127.0.0.1:9" if instance is None else instance.url

    load = _load.PoissonLoad(
        target=_load.target_instances(choose_url),
        rate_per_s=REQUESTS_PER_S,
        seed=seed,
        uses_fresh_connections=True,
    )
    with futures.ThreadPoolExecutor(2) as pool:
        pool.submit(balancer.check_until_stopped, stop)
        calling = pool.submit(load.run, MAX_LOAD_S, stop)
        restarts = []
        for instance in list(cluster.instance_by_name.values())[:count]:
            time.sleep(RESTART_INTERVAL_S)
            requested_wall_s = stop_instance(cluster, instance)
            restarts.append(_Restart(instance, requested_wall_s))
            instance.is_leaving = False
            cluster.start_instance(instance)
            cluster.wait_until_ready()
        time.sleep(LOAD_AFTER_RESTARTS_S)
        stop.set()
        return calling.result(), restarts


def _drain_instance(
    cluster: _cluster.Cluster, instance: _entry_instance.EntryInstance
) -> float:
    """Requests a graceful stop and waits until the instance has left."""
    requested_wall_s = cluster.begin_graceful_shutdown(instance)
    cluster.wait_for_exit(instance, requested_wall_s, LEAVE_TIMEOUT_S)
    return requested_wall_s


def _kill_instance(
    cluster: _cluster.Cluster, instance: _entry_instance.EntryInstance
) -> float:
    """Kills the process of an instance without notice."""
    requested_wall_s = time.time()
    cluster.kill_instance(instance)
    return requested_wall_s


def _make_rows(
    case: str, results: list[_LoadResult], *, is_baseline: bool
) -> list[_report.Row]:
    """Returns the report rows of one case."""
    answers = [each for each, _ in results]
    failed_calls = tuple(
        float(sum(not a.status for a in each)) for each in answers
    )
    other = tuple(
        float(sum(a.status not in {0, HTTP_OK} for a in each))
        for each in answers
    )
    sent = tuple(float(len(each)) for each in answers)
    serving_times_s = tuple(
        _longest_serving_time_s(*result) for result in results
    )
    restart_counts = tuple(float(len(restarts)) for _, restarts in results)
    return [
        _report.Row(case, "restarts", "instances", restart_counts, is_baseline),
        _report.Row(case, "sent", "requests", sent, is_baseline),
        _report.Row(case, "cut", "requests", failed_calls, is_baseline),
        _report.Row(case, "not run or unknown", "requests", other, is_baseline),
        _report.Row(
            case, "last new request after", "s", serving_times_s, is_baseline
        ),
    ]


def _longest_serving_time_s(
    answers: list[_load.CallResult], restarts: list[_Restart]
) -> float:
    """Returns the longest time for which a stopping instance accepted requests.

    The time runs from the request to stop to the last request that was sent
    before the pause of the restart and was answered with HTTP status 200.
    """
    longest_s = 0.0
    for each in restarts:
        ends_s = each.requested_wall_s + LEAVE_TIMEOUT_S
        later = [
            answer.sent_wall_s - each.requested_wall_s
            for answer in answers
            if answer.url.startswith(each.instance.url)
            and answer.status == HTTP_OK
            and each.requested_wall_s < answer.sent_wall_s < ends_s
        ]
        longest_s = max(longest_s, _last_time_before_gap_s(sorted(later)))
    return longest_s


def _last_time_before_gap_s(times_s: list[float]) -> float:
    """Returns the last time before the first gap, which the restart causes.

    Args:
        times_s: Times of answered requests, ascending, in seconds after the
            request to stop. A gap is longer than RESTART_INTERVAL_S.
    """
    last_s = 0.0
    for time_s in times_s:
        if time_s - last_s > RESTART_INTERVAL_S:
            return last_s
        last_s = time_s
    return last_s

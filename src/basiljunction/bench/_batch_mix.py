"""Simulates the service and batch task mixes of the two deployments.

Task arrivals and actual task behavior are drawn from a seeded source.
"""

import dataclasses
import random
from typing import Protocol
from typing import runtime_checkable

from basiljunction.bench import _batch_bed
from basiljunction.bench import _batch_worker
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _interference
from basiljunction.coordination import _placement
from basiljunction.state import _contract
from basiljunction.state import _job

UNDISTURBED_LATENCY_RATIO = 0.35
"""Ratio of an undisturbed service's 99th percentile latency to its deadline."""

LATENCY_REPORT_INTERVAL_S = 5.0
"""Time between two latency reports of a service, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchTaskClass:
    """One class of batch tasks and the resources that its tasks declare.

    Attributes:
        name: Name of the work class.
        cores: Declared processor cores of a task.
        memory_mib: Declared memory of a task.
        run_time_s: Declared run time of a task.
        share_of_tasks: Share of all tasks that are of this class, from 0 to 1.
    """

    name: str
    cores: int
    memory_mib: int
    run_time_s: float
    share_of_tasks: float


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The workers, the service and the batch tasks of one deployment.

    Attributes:
        customer: Customer that owns the service and the tasks.
        service_key: Latency-critical class, as ``customer/class``.
        worker_count: Number of workers.
        worker_capacity: Capacity of each worker.
        task_classes: The classes of batch tasks.
        log_slowdown_by_pair: Actual log slowdown that one task of the second
            class causes to the first, by ``(victim, other)`` class keys.
        arrivals_per_minute: Batch tasks submitted per minute.
    """

    customer: str
    service_key: str
    worker_count: int
    worker_capacity: _job.ResourceDemand
    task_classes: tuple[BatchTaskClass, ...]
    log_slowdown_by_pair: dict[tuple[str, str], float]
    arrivals_per_minute: float


KOWHAI = Mix(
    customer="kowhai",
    service_key="kowhai/check",
    worker_count=30,
    worker_capacity=_job.ResourceDemand(32_000, 125_000),
    task_classes=(
        BatchTaskClass("coding", 2, 4_000, 300.0, 0.6),
        BatchTaskClass("rollup", 4, 16_000, 900.0, 0.3),
        BatchTaskClass("export", 1, 8_000, 600.0, 0.1),
    ),
    log_slowdown_by_pair={
        ("kowhai/check", "kowhai/rollup"): 0.08,
        ("kowhai/check", "kowhai/coding"): 0.015,
        ("kowhai/check", "kowhai/export"): 0.01,
        ("kowhai/rollup", "kowhai/rollup"): 0.05,
        ("kowhai/coding", "kowhai/rollup"): 0.04,
        ("kowhai/export", "kowhai/rollup"): 0.02,
        ("kowhai/rollup", "kowhai/coding"): 0.01,
    },
    arrivals_per_minute=27.0,
)
"""Mix of the deployment of the customer kowhai."""

SIGNALWISE = Mix(
    customer="signalwise",
    service_key="signalwise/plan",
    worker_count=25,
    worker_capacity=_job.ResourceDemand(64_000, 250_000),
    task_classes=(
        BatchTaskClass("invoice", 4, 8_000, 240.0, 0.7),
        BatchTaskClass("reconcile", 8, 40_000, 1200.0, 0.2),
        BatchTaskClass("replan", 2, 4_000, 120.0, 0.1),
    ),
    log_slowdown_by_pair={
        ("signalwise/plan", "signalwise/reconcile"): 0.07,
        ("signalwise/plan", "signalwise/invoice"): 0.012,
        ("signalwise/reconcile", "signalwise/reconcile"): 0.05,
        ("signalwise/invoice", "signalwise/reconcile"): 0.05,
        ("signalwise/reconcile", "signalwise/invoice"): 0.01,
    },
    arrivals_per_minute=26.0,
)
"""Mix of the deployment of the customer signalwise."""


@runtime_checkable
class InterferenceAwarePolicy(Protocol):
    """A placement policy that uses the core's learned interference model."""

    def attach(self, learned: _interference.InterferenceModel) -> None:
        """Sets the interference model that the policy reads."""
        ...


MIXES = (KOWHAI, SIGNALWISE)
"""The mixes that the placement benchmark runs."""


@dataclasses.dataclass(slots=True)
class MixResult:
    """The measured results of one simulated run of a mix.

    Attributes:
        completed_core_hours: Declared core-hours of the completed tasks.
        completed_tasks: Number of tasks completed.
        eviction_count: Number of evictions.
        lost_core_hours: Core-hours lost to evictions.
        service_slowdowns: Slowdown factors of the service, sampled at a fixed
            interval on every worker.
        peak_core_share: Highest ratio of used to available cores of any worker.
    """

    completed_core_hours: float
    completed_tasks: int
    eviction_count: int
    lost_core_hours: float
    service_slowdowns: list[float]
    peak_core_share: float

    @property
    def service_p99_slowdown(self) -> float:
        """99th percentile of the service's slowdown factor."""
        ordered = sorted(self.service_slowdowns)
        return ordered[int(len(ordered) * 0.99)]


def make_contract(mix: Mix) -> _contract.Contract:
    """Returns the mix's contract, with limits too high to take effect."""
    classes = {
        kind.name: _contract.WorkClass(
            name=kind.name,
            kind=_contract.WorkKind.BATCH,
            idempotent=True,
            deadline_s=8 * 3600.0,
            outside_hours=True,
        )
        for kind in mix.task_classes
    }
    return _contract.Contract(
        customer=mix.customer,
        version=1,
        hours=_contract.OfficeHours("Pacific/Auckland", ()),
        class_by_name=classes,
        quota=_contract.Quota(10**9, 10**9, 10**6, 10**6),
        request_rate_per_s=1.0,
        request_burst=1,
        concurrency=1,
        credential_hashes=(),
    )


def simulate_mix(
    mix: Mix,
    placement: _placement.PlacementPolicy | None,
    *,
    seed: int,
    duration_s: float,
    arrival_factor: float = 1.0,
) -> MixResult:
    """Simulates a mix under one placement policy and returns the results.

    The first quarter of the service slowdowns is left out as warm-up.

    Args:
        mix: Deployment to simulate.
        placement: Placement policy; None for the core's default.
        seed: Seed of the arrivals and of the actual task behavior.
        duration_s: Simulated time, in seconds.
        arrival_factor: Factor applied to the arrival rate.
    """
    random_ = random.Random(seed)
    behavior_by_task: dict[str, _batch_worker.TaskBehavior] = {}
    bed = _batch_bed.BatchTestBed(placement=placement)
    if isinstance(placement, InterferenceAwarePolicy):
        placement.attach(bed.core.context.interference)
    bed.publish_contract(make_contract(mix))
    for index in range(mix.worker_count):
        worker = _batch_worker.SimulatedWorker(
            f"worker-{index}",
            capacity=mix.worker_capacity,
            behavior_by_task=behavior_by_task,
            log_slowdown_by_pair=mix.log_slowdown_by_pair,
            service_key=mix.service_key,
        )
        bed.add_worker(worker, rack=f"rack-{index // 8}")
    slowdowns: list[float] = []
    due_jobs = 0.0
    for second in range(int(duration_s)):
        due_jobs += mix.arrivals_per_minute * arrival_factor / 60
        jobs = [
            _draw_job(
                mix, random_, behavior_by_task, f"job-{second}-{index}", bed
            )
            for index in range(int(due_jobs))
        ]
        due_jobs -= len(jobs)
        if jobs:
            bed.submit_jobs(jobs)
        bed.advance_time(1.0)
        if second % LATENCY_REPORT_INTERVAL_S == 0:
            slowdowns.extend(_report_service_latencies(bed, mix))
    workers = bed.worker_by_machine.values()
    lost = sum(worker.lost_core_s for worker in workers)
    return MixResult(
        completed_core_hours=_completed_core_hours(bed),
        completed_tasks=bed.completed_tasks,
        eviction_count=bed.evicted_attempts,
        lost_core_hours=lost / 3600,
        service_slowdowns=slowdowns[len(slowdowns) // 4 :],
        peak_core_share=max(worker.peak_core_share for worker in workers),
    )


def _draw_job(
    mix: Mix,
    random_: random.Random,
    behavior_by_task: dict[str, _batch_worker.TaskBehavior],
    job_id: str,
    bed: _batch_bed.BatchTestBed,
) -> _job.Job:
    """Returns a random job of one task and stores the task's behavior."""
    weights = [kind.share_of_tasks for kind in mix.task_classes]
    (kind,) = random_.choices(mix.task_classes, weights)
    demand = _job.ResourceDemand(kind.cores * 1000, kind.memory_mib)
    behavior_by_task[f"{job_id}/task"] = _batch_worker.TaskBehavior(
        core_use_ratio=min(1.0, random_.uniform(0.4, 0.8)),
        memory_use_ratio=random_.uniform(0.5, 1.0),
        run_time_s=kind.run_time_s * random_.uniform(0.5, 1.5),
    )
    return _job.Job(
        job_id=job_id,
        customer=mix.customer,
        class_name=kind.name,
        tasks=(_job.TaskSpec("task", demand, kind.run_time_s),),
        submitted_wall_s=bed.now.wall_s,
    )


def _report_service_latencies(
    bed: _batch_bed.BatchTestBed, mix: Mix
) -> list[float]:
    """Reports each worker's service latency to the core; returns slowdowns."""
    customer, _, class_name = mix.service_key.partition("/")
    slowdowns = []
    for worker in bed.worker_by_machine.values():
        slowdown = worker.service_slowdown()
        slowdowns.append(slowdown)
        bed.handle_event(
            _batch_events.ServiceLatencyMeasured(
                machine=worker.name,
                customer=customer,
                class_name=class_name,
                latency_ratio=UNDISTURBED_LATENCY_RATIO * slowdown,
                slowdown=slowdown,
            )
        )
    return slowdowns


def _completed_core_hours(bed: _batch_bed.BatchTestBed) -> float:
    """Returns the declared core-hours of all completed tasks."""
    core_s = 0.0
    for task in bed.state.task_by_id.values():
        if task.phase is _job.TaskPhase.COMPLETED:
            cores = task.spec.demand.millicores / 1000
            core_s += cores * task.spec.run_time_s
    return core_s / 3600

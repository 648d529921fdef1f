"""Builders of jobs, queues, executors and schedulers for tests."""

from typing import Any

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

START_WALL_S = 1_790_000_000.0
"""Wall time at which the virtual time is zero, in seconds."""

SERVICE = "coder"


def clock_readings_at(now_s: float) -> _time.Now:
    """Returns the readings of both clocks at a virtual time."""
    return _time.Now(boot_s=now_s, wall_s=START_WALL_S + now_s)


def queue(name: str = "episode", **changes: Any) -> _configuration.Queue:
    """Returns a queue of the only service."""
    values: dict[str, Any] = {
        "name": name,
        "host": "jobs.example",
        "path_prefix": f"/{name}/",
        "service": SERVICE,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 1.5,
        "target_latency_s": 0.25,
        "timeout_s": 3.0,
    }
    return _configuration.Queue(**(values | changes))


def configuration(
    *queues: _configuration.Queue, version: int = 1
) -> _configuration.Configuration:
    """Returns a configuration with one service and the given queues."""
    return _configuration.Configuration(
        version=version,
        queues=_configuration.sort_queues_by_prefix(list(queues or (queue(),))),
        service_by_name={SERVICE: _configuration.Service(SERVICE, False, 64)},
        max_body_bytes=262144,
    )


def step_spec(**changes: Any) -> _job_spec.StepSpec:
    """Returns the specification of a step with one task of one core."""
    values: dict[str, Any] = {
        "count": 1,
        "size": _job_spec.Resources(1000, 1000, 0),
        "estimate_s": 1.0,
    }
    return _job_spec.StepSpec(**(values | changes))


def accepted_job(
    *steps: _job_spec.StepSpec,
    job_id: str = "00000000000000a1",
    in_queue: _configuration.Queue | None = None,
    accepted_s: float = 0.0,
    payload: str = "payload",
    **changes: Any,
) -> _progress.AcceptedJob:
    """Returns an accepted job; its default is a single step."""
    return _progress.AcceptedJob(
        id=job_id,
        queue=in_queue or queue(),
        spec=_job_spec.JobSpec(
            payload=payload, steps=steps or (step_spec(),), **changes
        ),
        accepted_wall_s=START_WALL_S + accepted_s,
    )


def executor_entry(
    executor_id: str = "e1", **changes: Any
) -> _executor.ListedExecutor:
    """Returns a four-core executor's entry in the platform's list."""
    values: dict[str, Any] = {
        "id": executor_id,
        "service": SERVICE,
        "address": "127.0.0.1:1",
        "zone": "zone-a",
        "is_draining": False,
        "capacity": _job_spec.Resources(4000, 8000, 0),
        "labels": ("kind-a", "rack-1"),
    }
    return _executor.ListedExecutor(**(values | changes))


def scheduler(
    *queues: _configuration.Queue,
    epoch: int = 1,
    times: _limits.LeaseTimes | None = None,
) -> _scheduler.Scheduler:
    """Returns a scheduler at the start of its term."""
    return _scheduler.Scheduler(
        epoch=epoch,
        times=times or _limits.LeaseTimes(),
        configuration=configuration(*queues),
    )

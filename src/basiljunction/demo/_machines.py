"""Capacities and racks of the demo's workers and executors."""

from basiljunction.demo import _deployments
from basiljunction.demo import _evidence

EXECUTOR_SLOTS = 8
"""Number of requests that an executor runs concurrently."""

EXECUTOR_CONNECTIONS = 64
"""Number of connections that an executor accepts."""

WORKERS_PER_RACK = 8
"""Number of workers that share a rack."""


def make_machine(
    deployment: _deployments.Deployment, worker: str, zone: str
) -> _evidence.Machine:
    """Returns a worker with its executor, placed in a rack by its number.

    Args:
        deployment: Deployment that sets the capacity.
        worker: Name of the worker, ending in ``-`` and its number.
        zone: Availability zone.
    """
    number = int(worker.rsplit("-", 1)[1])
    in_zone = number // len(deployment.zones)
    return _evidence.Machine(
        worker=worker,
        executor=f"{worker}-executor",
        zone=zone,
        rack=f"rack-{in_zone // WORKERS_PER_RACK}",
        slots=EXECUTOR_SLOTS,
        connections=EXECUTOR_CONNECTIONS,
        millicores=deployment.millicores,
        memory_mib=deployment.memory_mib,
        accelerators=0,
    )

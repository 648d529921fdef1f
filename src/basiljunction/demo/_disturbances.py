"""The faults and changes that the demo applies during a run."""

import collections

from basiljunction.demo import _cluster
from basiljunction.demo import _deployment_run

AMEND_CONTRACT_AT_FRACTION = 0.2
"""When the contract is amended, as a fraction of the run's duration."""

CONCURRENT_AMENDMENTS_AT_FRACTION = 0.35
"""When conflicting amendments are published, as a fraction of the run's
duration."""

KILL_INSTANCE_AT_FRACTION = 0.4
"""When one entry instance is killed, as a fraction of the run's duration."""

MACHINE_LEAVES_AT_FRACTION = 0.5
"""When the busiest worker is marked as leaving, as a fraction of the run's
duration."""

STOP_INSTANCE_AT_FRACTION = 0.6
"""When one entry instance is shut down gracefully, as a fraction of the run's
duration."""

GRACEFUL_EXIT_TIMEOUT_S = 30.0
"""Longest wait for a graceful exit, in seconds."""

KILLED_INSTANCE_INDEX = 1
"""Index of the killed instance in the list of entry instances."""

STOPPED_INSTANCE_INDEX = 3
"""Index of the gracefully stopped instance in the list of entry instances."""


def make_demo_disturbance(seconds: float) -> _deployment_run.Disturbance:
    """Returns the disturbance of a demo run.

    It amends the contract, publishes conflicting amendments, kills one
    instance, marks the busiest worker as leaving, and shuts one instance
    down gracefully.

    Args:
        seconds: Duration of the run.
    """

    def disturb(run: _deployment_run.DeploymentRun, begin_s: float) -> None:
        """Applies the faults and changes at fixed fractions of the run."""
        cluster = run.cluster
        instances = list(cluster.instance_by_name.values())
        run.wait_until(begin_s + AMEND_CONTRACT_AT_FRACTION * seconds)
        run.operators.publish_next_version()
        run.wait_until(begin_s + CONCURRENT_AMENDMENTS_AT_FRACTION * seconds)
        run.operators.publish_concurrently()
        run.wait_until(begin_s + KILL_INSTANCE_AT_FRACTION * seconds)
        cluster.kill_instance(instances[KILLED_INSTANCE_INDEX])
        run.wait_until(begin_s + MACHINE_LEAVES_AT_FRACTION * seconds)
        cluster.mark_machine_leaving(_busiest_worker(cluster))
        run.wait_until(begin_s + STOP_INSTANCE_AT_FRACTION * seconds)
        leaving = instances[STOPPED_INSTANCE_INDEX]
        shutdown_began_wall_s = cluster.begin_graceful_shutdown(leaving)
        cluster.wait_for_exit(
            leaving, shutdown_began_wall_s, GRACEFUL_EXIT_TIMEOUT_S
        )

    return disturb


def _busiest_worker(cluster: _cluster.Cluster) -> str:
    """Returns the worker with the most running tasks."""
    running: collections.Counter[str] = collections.Counter()
    for event in cluster.read_journals().worker_events:
        if event.event == "start":
            running[event.worker] += 1
        elif event.event == "end":
            running[event.worker] -= 1
    return max(cluster.worker_names, key=lambda worker: running[worker])

"""A load balancer that sends requests only to ready entry instances."""

import random
import threading

from basiljunction.demo import _cluster
from basiljunction.demo import _entry_instance

HEALTH_CHECK_INTERVAL_S = 0.25
"""Interval between health checks, in seconds."""


class LoadBalancer:
    """Chooses among the instances that passed the latest health check.

    Stands in for the platform's load balancer.

    Args:
        cluster: The deployment whose entry instances are checked.
        seed: Seed of the random choices.
    """

    def __init__(self, cluster: _cluster.Cluster, *, seed: int) -> None:
        self._cluster = cluster
        self._generator = random.Random(seed)
        self._lock = threading.Lock()
        self._ready: list[_entry_instance.EntryInstance] = []

    def check_until_stopped(self, stop: threading.Event) -> None:
        """Checks all instances at intervals until ``stop`` is set."""
        while not stop.is_set():
            self.update_ready_instances()
            stop.wait(HEALTH_CHECK_INTERVAL_S)

    def update_ready_instances(self) -> None:
        """Checks all instances once and updates the list of ready ones."""
        candidates = [
            each
            for each in self._cluster.instance_by_name.values()
            if not each.has_ended
        ]
        ready = [each for each in candidates if self._cluster.is_ready(each)]
        with self._lock:
            self._ready = ready

    def choose_instance(
        self, tried: frozenset[str] = frozenset()
    ) -> _entry_instance.EntryInstance | None:
        """Returns a random ready instance, or None if none is left.

        Args:
            tried: Names of instances to exclude.
        """
        with self._lock:
            ready = [each for each in self._ready if each.name not in tried]
            return self._generator.choice(ready) if ready else None

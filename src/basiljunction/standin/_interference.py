"""Simulates how work classes on one worker slow each other down."""

import random
import threading

MAX_PAIR_SLOWDOWN = 0.25
"""Largest increase in run time due to one other task, as a fraction."""


class SimulatedInterference:
    """Simulated slowdown on one worker, from the batch tasks that run there.

    Args:
        seed: Random seed of the slowdown of each pair of classes.
        max_pair_slowdown: Largest increase in run time due to one other task,
            as a fraction.
    """

    def __init__(
        self, seed: int, *, max_pair_slowdown: float = MAX_PAIR_SLOWDOWN
    ) -> None:
        self._seed = seed
        self._max_pair_slowdown = max_pair_slowdown
        self._lock = threading.Lock()
        self._running_classes: list[str] = []

    def add_task(self, class_name: str) -> None:
        """Adds a running batch task of a class."""
        with self._lock:
            self._running_classes.append(class_name)

    def remove_task(self, class_name: str) -> None:
        """Removes a running batch task of a class."""
        with self._lock:
            self._running_classes.remove(class_name)

    def slowdown_factor(self, class_name: str) -> float:
        """Returns the factor by which work of a class takes longer now."""
        with self._lock:
            other_classes = list(self._running_classes)
        if class_name in other_classes:
            other_classes.remove(class_name)
        return 1.0 + sum(
            self._pair_slowdown(class_name, other) for other in other_classes
        )

    def _pair_slowdown(self, class_name: str, other: str) -> float:
        """Returns the increase in run time that one class causes to another.

        Args:
            class_name: Class that is slowed down.
            other: Class that causes the slowdown.

        Returns:
            The increase as a fraction of the run time.
        """
        rng = random.Random(f"{self._seed}:{class_name}:{other}")
        return rng.uniform(0.0, self._max_pair_slowdown)

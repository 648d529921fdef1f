"""Excludes workers on which tasks keep failing, for growing delays."""

import dataclasses

FAILURES_TO_EXCLUDE = 3
"""Different tasks that fail without a success before a worker is excluded."""

FIRST_EXCLUSION_S = 30.0
"""Duration of the first exclusion in seconds; it doubles with each one."""

MAX_EXCLUSION_S = 3600.0
"""Longest duration of an exclusion in seconds."""


@dataclasses.dataclass(slots=True)
class FailureHistory:
    """Failures of a worker since the last task that completed on it.

    Attributes:
        failed_tasks: Ids of the tasks that failed on it since the last success
            or exclusion.
        consecutive_exclusions: Number of exclusions since the last success.
    """

    failed_tasks: set[str] = dataclasses.field(default_factory=set)
    consecutive_exclusions: int = 0


class WorkerFailureTracker:
    """Decides by failed tasks which workers to exclude, and for how long."""

    def __init__(self) -> None:
        """Creates a tracker without failures."""
        self._history_by_machine: dict[str, FailureHistory] = {}

    def record_success(self, machine: str) -> None:
        """Clears a worker's failures because a task completed on it."""
        self._history_by_machine.pop(machine, None)

    def record_failure(self, machine: str, task_id: str) -> float:
        """Records that a task failed on a worker.

        After a worker was excluded, one more failure excludes it again.

        Returns:
            Seconds for which to exclude the worker; 0 for no exclusion.
        """
        history = self._history_by_machine.setdefault(machine, FailureHistory())
        history.failed_tasks.add(task_id)
        needed = 1 if history.consecutive_exclusions else FAILURES_TO_EXCLUDE
        if len(history.failed_tasks) < needed:
            return 0.0
        history.failed_tasks.clear()
        delay_s = FIRST_EXCLUSION_S * 2.0**history.consecutive_exclusions
        history.consecutive_exclusions += 1
        return float(min(MAX_EXCLUSION_S, delay_s))

    def delete_worker(self, machine: str) -> None:
        """Deletes the failures of a worker that now has another owner."""
        self._history_by_machine.pop(machine, None)

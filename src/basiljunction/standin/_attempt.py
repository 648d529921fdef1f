"""Simulates one attempt of a batch task on a worker."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one simulated attempt of a batch task.

    Attributes:
        task_id: Id of the task.
        attempt: Number of the attempt.
        customer: Customer that the task belongs to.
        class_name: Work class of the task.
        millicores: Declared CPU use, in thousandths of a core.
        memory_mib: Declared memory use, in MiB.
        accelerators: Number of accelerators.
        use_fraction: Fraction of the declared CPU and memory that is in use.
        true_run_time_s: Actual run time at full speed, in seconds.
        progress_s: Work done, in seconds at full speed.
        lease_until_s: Wall-clock time at which its lease expires.
        progress_as_of_s: Wall-clock time up to which progress is counted.
        resumed_from: Checkpoint that it resumed from; empty for none.
        checkpoint: Newest checkpoint; empty for none.
        checkpointed_progress_s: Work saved in the checkpoint, in seconds
            at full speed.
        speed_fraction: Fraction of full speed that it is throttled to.
        slowdown: Factor by which other tasks on the worker slow it down.
        state: ``running``, ``completed``, ``failed``, ``stopped``, ``lapsed``
            for an expired lease, or ``unknown``.
        detail: Details of how it ended.
    """

    task_id: str
    attempt: int
    customer: str
    class_name: str
    millicores: int
    memory_mib: int
    accelerators: int
    use_fraction: float
    true_run_time_s: float
    progress_s: float
    lease_until_s: float
    progress_as_of_s: float
    resumed_from: str = ""
    checkpoint: str = ""
    checkpointed_progress_s: float = 0.0
    speed_fraction: float = 1.0
    slowdown: float = 1.0
    state: str = "running"
    detail: str = ""

    @property
    def millicores_used(self) -> int:
        """CPU in use, in thousandths of a core, after throttling."""
        return round(self.millicores * self.use_fraction * self.speed_fraction)

    @property
    def memory_mib_used(self) -> int:
        """Memory in use, in MiB."""
        return round(self.memory_mib * self.use_fraction)

    def advance_to(self, now_s: float) -> float | None:
        """Adds the progress up to a time; ends on completion or lease expiry.

        Args:
            now_s: Wall-clock time.

        Returns:
            Wall-clock time at which the attempt ended; None if it did not end
            in this call.
        """
        if self.state != "running":
            return None
        speed = self.speed_fraction / self.slowdown
        counted_until_s = min(now_s, self.lease_until_s)
        gained_s = max(0.0, counted_until_s - self.progress_as_of_s) * speed
        remaining_s = self.true_run_time_s - self.progress_s
        if speed > 0.0 and gained_s >= remaining_s:
            ended_s = self.progress_as_of_s + remaining_s / speed
            self.progress_s = self.true_run_time_s
            self.state = "completed"
            return ended_s
        self.progress_s += gained_s
        self.progress_as_of_s = max(self.progress_as_of_s, counted_until_s)
        if now_s < self.lease_until_s:
            return None
        self.state = "lapsed"
        return self.lease_until_s

    def to_task_json(self) -> dict[str, Any]:
        """Returns the attempt as a TASK object of the worker's HTTP API."""
        running = self.state == "running"
        shown_progress_s = (
            self.progress_s if running else self.checkpointed_progress_s
        )
        if self.state == "completed":
            shown_progress_s = self.progress_s
        return {
            "task_id": self.task_id,
            "attempt": self.attempt,
            "state": self.state,
            "checkpoint": self.checkpoint,
            "progress_s": shown_progress_s,
            "millicores_used": self.millicores_used if running else 0,
            "memory_mib_used": self.memory_mib_used if running else 0,
            "slowdown": self.slowdown,
            "detail": self.detail,
        }

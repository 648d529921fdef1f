"""Bounds the memory of all accepted jobs together.

A job takes memory in proportion to its steps and to the tasks that run, not to
those that wait or are done. Callers may send any number of jobs, so that those
which would not fit are refused on submission.
"""

from basiljunction.state.workload import _progress

JOB_BYTES = 3_072
"""Memory of a job apart from its steps and its payload, in bytes; also of a
finished one, as long as callers may ask for its state."""

STEP_BYTES = 1_024
"""Memory of a step and of its waiting tasks, in bytes."""


def estimate_bytes(accepted: _progress.AcceptedJob) -> int:
    """Returns about how much memory a job takes, in bytes."""
    spec = accepted.spec
    return JOB_BYTES + STEP_BYTES * len(spec.steps) + len(spec.payload)


class JobMemory:
    """The memory of the jobs that a scheduler keeps.

    Jobs of earlier terms count, but are never refused.

    Args:
        limit_bytes: Memory for all jobs together, in bytes.

    Attributes:
        limit_bytes: Memory for all jobs together, in bytes.
        used_bytes: Memory of the jobs that are kept, in bytes.
    """

    def __init__(self, limit_bytes: float = float("inf")) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._bytes_by_job: dict[str, int] = {}

    def has_room(self, accepted: _progress.AcceptedJob) -> bool:
        """Returns whether a job fits beside those that are kept."""
        return self.used_bytes + estimate_bytes(accepted) <= self.limit_bytes

    def could_ever_fit(self, accepted: _progress.AcceptedJob) -> bool:
        """Returns whether a job would fit alone."""
        return estimate_bytes(accepted) <= self.limit_bytes

    def record(self, accepted: _progress.AcceptedJob) -> None:
        """Records a job, or that one was shortened."""
        self.remove(accepted.id)
        self._bytes_by_job[accepted.id] = estimate_bytes(accepted)
        self.used_bytes += self._bytes_by_job[accepted.id]

    def remove(self, job_id: str) -> None:
        """Records that a job is not kept any more."""
        self.used_bytes -= self._bytes_by_job.pop(job_id, 0)

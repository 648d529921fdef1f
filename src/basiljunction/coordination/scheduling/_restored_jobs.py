"""Rebuilds jobs from the records of earlier terms."""

from basiljunction.coordination.scheduling import _jobs
from basiljunction.state.workload import _progress


def restore_job(
    accepted: _progress.AcceptedJob,
    progress: _progress.JobProgress,
    *,
    now_s: float,
    wall_s: float,
) -> _jobs.Job:
    """Returns the in-memory job for records that an earlier term stored.

    Args:
        accepted: The stored job.
        progress: Its stored progress.
        now_s: The time on the steady clock.
        wall_s: The time since the Unix epoch.
    """
    age_s = max(0.0, wall_s - accepted.accepted_wall_s)
    return _jobs.Job(
        accepted=accepted,
        queue=accepted.queue,
        progress=progress,
        arrived_s=now_s - age_s,
        is_stored=True,
        is_inherited=True,
    )

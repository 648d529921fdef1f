"""How far a job is: what must survive the loss of every process."""

import dataclasses
import enum

from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec


class JobState(enum.Enum):
    """Where a job stands, as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether nothing of the job runs any more."""
        return self not in (JobState.PENDING, JobState.RUNNING)


Place = tuple[int, int, int]
"""Occurrence, step and index of a task within its job."""


@dataclasses.dataclass(slots=True)
class Progress:
    """Noted facts about one job.

    Attributes:
        state: Where the job stands.
        done: Places of the tasks that ended well.
        failed_runs_by_place: Numbers of the failed runs so far; an end may be
            listed again to a successor and counts once.
        checkpoint_by_place: Newest checkpoint of each task that ended early.
        finished_wall_s: When the state became final, since the Unix epoch.
    """

    state: JobState = JobState.PENDING
    done: set[Place] = dataclasses.field(default_factory=set)
    failed_runs_by_place: dict[Place, set[int]] = dataclasses.field(
        default_factory=dict
    )
    checkpoint_by_place: dict[Place, str] = dataclasses.field(
        default_factory=dict
    )
    finished_wall_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedJob:
    """A job as stored when it was accepted.

    Attributes:
        id: Id that the caller chose.
        queue: The queue as configured at acceptance.
        spec: What was asked for.
        accepted_wall_s: When, in seconds since the Unix epoch.
    """

    id: str
    queue: _configuration.Queue
    spec: _job_spec.JobSpec
    accepted_wall_s: float

"""Stored progress of jobs, which must survive the loss of every process."""

import dataclasses
import enum

from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _position_set


class JobState(enum.Enum):
    """State of a job as reported to clients."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has completed, failed or been cancelled."""
        return self not in (JobState.PENDING, JobState.RUNNING)


TaskPosition = _position_set.TaskPosition
"""Position of a task within its job: occurrence, step and index, from 0."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCrashes:
    """Crashes of executors that one task may have caused.

    An executor is named by its incarnation, as it may restart under its id. Of
    each executor the newest crash is kept, as it may crash by itself.

    Attributes:
        shared_executors: Executors that crashed while the task was one of the
            suspects.
        isolated_executors: Executors that crashed while it was the only one,
            and not with the others of their rack.
        attempt_executor: Executor of its start since its first crash whose
            outcome is not known yet; empty for none.
    """

    shared_executors: tuple[str, ...] = ()
    isolated_executors: tuple[str, ...] = ()
    attempt_executor: str = ""

    @property
    def executor_ids(self) -> frozenset[str]:
        """Ids of the executors that crashed."""
        return frozenset(
            map(
                _executor_id, (*self.shared_executors, *self.isolated_executors)
            )
        )

    @property
    def isolated_executor_ids(self) -> frozenset[str]:
        """Ids of the executors that crashed while it was the only suspect."""
        return frozenset(map(_executor_id, self.isolated_executors))

    def with_crash(self, executor: str, *, is_isolated: bool) -> "TaskCrashes":
        """Returns the crashes with another one; each executor counts once."""
        attempt = self.attempt_executor
        known = (*self.shared_executors, *self.isolated_executors)
        shared = self.shared_executors
        isolated = self.isolated_executors
        if executor not in known:
            if is_isolated:
                isolated = _with_newest_crash(isolated, executor)
            else:
                shared = _with_newest_crash(shared, executor)
        return TaskCrashes(
            shared, isolated, "" if attempt == executor else attempt
        )


def _with_newest_crash(
    executors: tuple[str, ...], executor: str
) -> tuple[str, ...]:
    """Returns incarnations with another, in place of one of the same id."""
    executor_id = _executor_id(executor)
    others = (e for e in executors if _executor_id(e) != executor_id)
    return (*others, executor)


def _executor_id(incarnation: str) -> str:
    """Returns the id of the executor whose incarnation has a name."""
    return incarnation.rpartition("@")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class SlowRun:
    """Time for which a run of a lasting task was below full speed.

    Attributes:
        run_number: Number of the run.
        slow_s: Time without full speed until it was stored, in seconds.
    """

    run_number: int
    slow_s: float


@dataclasses.dataclass(slots=True)
class JobProgress:
    """Stored progress of one job.

    Attributes:
        state: State of the job.
        completed_positions: Positions of the tasks that completed successfully.
        failed_runs_by_position: Run numbers of the failed runs by task
            position. An executor may list the same end again to the next
            scheduler; it counts once.
        checkpoint_by_position: Newest checkpoint by position of each task that
            ended before completion.
        finished_wall_s: Time at which the state became final, in seconds since
            the Unix epoch.
        executor_by_position: Executor of the last run of each task that runs
            until cancelled, stored before the run may start; left out once a
            confirmed run has certainly ended. None if an earlier version of the
            program may have started some, or if the job has no such task.
        crashes_by_position: Crashes of executors by position of each task that
            may have caused them, stored before the task starts again.
        slow_run_by_position: Last run by position of each task that runs until
            cancelled, if it has lately been below full speed.
    """

    state: JobState = JobState.PENDING
    completed_positions: _position_set.PositionSet = dataclasses.field(
        default_factory=_position_set.PositionSet
    )
    failed_runs_by_position: dict[TaskPosition, set[int]] = dataclasses.field(
        default_factory=dict
    )
    checkpoint_by_position: dict[TaskPosition, str] = dataclasses.field(
        default_factory=dict
    )
    finished_wall_s: float = 0.0
    executor_by_position: dict[TaskPosition, str] | None = None
    crashes_by_position: dict[TaskPosition, TaskCrashes] = dataclasses.field(
        default_factory=dict
    )
    slow_run_by_position: dict[TaskPosition, SlowRun] = dataclasses.field(
        default_factory=dict
    )

    def copy_to_store(self) -> "JobProgress":
        """Returns a copy of what a successor needs to know.

        Of a final state that is neither tasks nor failures nor checkpoints,
        because none of the job's tasks will start again.
        """
        if self.state.is_final:
            return JobProgress(
                state=self.state, finished_wall_s=self.finished_wall_s
            )
        # Of each task that ends, so not by `copy.deepcopy`, which also copies
        # the positions one by one.
        return JobProgress(
            state=self.state,
            completed_positions=self.completed_positions.copy(),
            failed_runs_by_position={
                position: set(runs)
                for position, runs in self.failed_runs_by_position.items()
            },
            checkpoint_by_position=dict(self.checkpoint_by_position),
            finished_wall_s=self.finished_wall_s,
            executor_by_position=(
                None
                if self.executor_by_position is None
                else dict(self.executor_by_position)
            ),
            crashes_by_position=dict(self.crashes_by_position),
            slow_run_by_position=dict(self.slow_run_by_position),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedJob:
    """Job as stored on acceptance.

    Attributes:
        id: Job id chosen by the client.
        queue: The queue as configured at acceptance.
        spec: Specification of the job; without steps for a finished job whose
            record was shortened.
        accepted_wall_s: Time of acceptance, in seconds since the Unix epoch.
    """

    id: str
    queue: _configuration.Queue
    spec: _job_spec.JobSpec
    accepted_wall_s: float

    def without_spec(self) -> "AcceptedJob":
        """Returns the job without payload and steps, as kept once finished."""
        return dataclasses.replace(
            self, spec=_job_spec.JobSpec(payload="", steps=())
        )

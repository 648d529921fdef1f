"""Records of the scheduler in the platform's store; the newest per key counts.

A newly elected scheduler restores its state from them.
"""

import dataclasses

from basiljunction.state.workload import _executor
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _run_bound


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Record of an accepted job.

    It is written on acceptance, and again without payload and steps once the
    job has finished.

    Attributes:
        job: The accepted job.
    """

    job: _progress.AcceptedJob


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Record of a job's progress; written on each change.

    Attributes:
        job_id: Id of the job.
        progress: Progress of the job.
        part_count: Number of parts into which the progress is divided; 0 if it
            isn't. The progress then is that without its parts.
        parts: Numbers of the parts that have been stored.
    """

    job_id: str
    progress: _progress.JobProgress
    part_count: int = 0
    parts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressPartRecord:
    """Record of a part of a large job's progress.

    Attributes:
        job_id: Id of the job.
        part_count: Number of parts into which the progress is divided.
        part: Number of this part, from 0.
        progress: Progress of the tasks of this part; its state doesn't count.
    """

    job_id: str
    part_count: int
    part: int
    progress: _progress.JobProgress


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorRosterRecord:
    """Record of all executors that may run tasks of this scheduler.

    Attributes:
        executors: The executors, as the platform lists them.
        parts: Numbers of the parts into which the executors are divided; empty
            if they aren't. The executors then stand in the parts.
    """

    executors: tuple[_executor.ListedExecutor, ...]
    parts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutorRosterPartRecord:
    """Record of a part of a large roster of executors.

    Attributes:
        part: Number of the part.
        executors: The executors of the part, as the platform lists them.
    """

    part: int
    executors: tuple[_executor.ListedExecutor, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedHeadroom:
    """Learned headroom of the serving tasks of one image.

    Headroom is the tail latency target divided by the tail latency.

    Attributes:
        base: Headroom without fillers on the executor.
        part_by_filler: By filler image, the headroom lost per tenth of the
            executor's CPU that such fillers request.
    """

    base: float
    part_by_filler: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedHeadroomRecord:
    """Record of learned headroom models, for the next scheduler.

    Models that it doesn't name stay as they are stored.

    Attributes:
        headroom_by_image: Learned headroom by serving image.
        forgotten_images: Serving images of which nothing is stored any more.
    """

    headroom_by_image: dict[str, LearnedHeadroom]
    forgotten_images: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SilentExecutorsRecord:
    """Record of the executors that do not answer the scheduler.

    The scheduler extends the lease of none of them before it has stored a
    record without it.

    Attributes:
        epoch: Epoch of the scheduler that wrote it.
        bound_by_executor: Bound of the runs on each silent executor, by id.
        has_stored_executors: Whether the stored executor of each task that
            runs until cancelled is that of its last run; not so after an
            earlier version of the program, which does not store them.
        tells_long_runs: Whether the scheduler, if it resigns, tells runs that
            may go on for longer than an ordinary lease by their executor: here
            or as a restart in the roster.
    """

    epoch: int
    bound_by_executor: dict[str, _run_bound.RunBound]
    has_stored_executors: bool = False
    tells_long_runs: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RunNumbersRecord:
    """Record of how many run numbers all terms have used.

    Each epoch has a block of run numbers, and a term may use further ones.

    Attributes:
        further_blocks: Blocks that all terms have used beyond one for each
            epoch.
    """

    further_blocks: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobDeletionRecord:
    """Record that deletes the job record and the progress record of a job.

    Attributes:
        job_id: Id of the job.
    """

    job_id: str


Record = (
    JobRecord
    | ProgressRecord
    | ProgressPartRecord
    | ExecutorRosterRecord
    | ExecutorRosterPartRecord
    | LearnedHeadroomRecord
    | SilentExecutorsRecord
    | RunNumbersRecord
    | JobDeletionRecord
)
"""Any record that the job scheduler writes to the store."""

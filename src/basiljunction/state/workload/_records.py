"""Records of the scheduler in the platform's store; the newest per key counts.

A newly elected scheduler restores its state from them.
"""

import dataclasses

from basiljunction.state.workload import _executor
from basiljunction.state.workload import _progress


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """Record of an accepted job; written once per job.

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
    """

    job_id: str
    progress: _progress.Progress


@dataclasses.dataclass(frozen=True, slots=True)
class RosterRecord:
    """Record of all executors that may run tasks of this scheduler.

    Attributes:
        entries: The executors, as the platform lists them.
    """

    entries: tuple[_executor.ExecutorEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedImage:
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
class LearnedRecord:
    """Record of the learned headroom models, for the next scheduler.

    Attributes:
        by_image: Learned headroom by serving image.
    """

    by_image: dict[str, LearnedImage]


@dataclasses.dataclass(frozen=True, slots=True)
class ForgottenRecord:
    """Record that deletes the job record and the progress record of a job.

    Attributes:
        job_id: Id of the job.
    """

    job_id: str


Record = (
    JobRecord | ProgressRecord | RosterRecord | LearnedRecord | ForgottenRecord
)

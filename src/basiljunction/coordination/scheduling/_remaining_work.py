"""Estimated work of a job that is left."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Estimated work of a job's tasks that are not done.

    Attributes:
        done_count: Number of done tasks at which it was computed.
        critical_path_s: Time left on the critical path, in seconds.
        core_seconds: Processor time of the tasks, in core-seconds.
    """

    done_count: int
    critical_path_s: float
    core_seconds: float

"""Readings of the clocks of executors."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """Reading of an executor's own clock, which begins anew at a restart.

    Attributes:
        restarts: Number of restarts of the executor that were known then; it
            tells whose clock this is.
        clock_ms: The reading, in milliseconds.
        read_s: When it arrived, in seconds on the scheduler's steady clock.
    """

    restarts: int = 0
    clock_ms: int = 0
    read_s: float = 0.0

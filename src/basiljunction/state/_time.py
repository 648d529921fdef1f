"""The clock reading that is passed to every decision."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """The current time, read from the boot clock and the wall clock.

    Attributes:
        boot_s: Seconds on a monotonic clock that also advances while the
            process or machine is suspended. Leases, guards and timeouts use
            it. It is comparable only with readings of the same instance.
        wall_s: Seconds since the Unix epoch, used for office hours.
    """

    boot_s: float
    wall_s: float

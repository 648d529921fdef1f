"""Clocks that report boot time and wall-clock time."""

import abc
import time

from basiljunction.state import _time


class Clock(abc.ABC):
    """Interface that returns the current boot time and wall-clock time."""

    @abc.abstractmethod
    def now(self) -> _time.Now:
        """Returns the current boot time and wall-clock time, in seconds."""


class SystemClock(Clock):
    """Reads the machine's clocks; boot time includes time spent suspended."""

    def now(self) -> _time.Now:
        """Returns the current boot time and wall-clock time, in seconds."""
        return _time.Now(
            boot_s=time.clock_gettime(time.CLOCK_BOOTTIME), wall_s=time.time()
        )

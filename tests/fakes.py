"""Fake clocks and an in-memory fake of the platform's log."""

from basiljunction.protocol import _codec
from basiljunction.state import _records
from basiljunction.state import _time
from basiljunction.transport import _clock


class FakeClock(_clock.Clock):
    """A clock that advances only when a test calls it to."""

    def __init__(self, boot_s: float = 100.0, wall_s: float = 1000.0) -> None:
        """Creates a clock with two readings.

        Args:
            boot_s: First reading of the boot clock.
            wall_s: First reading of the wall clock.
        """
        self._boot_s = boot_s
        self._wall_s = wall_s

    def now(self) -> _time.Now:
        """Returns the current reading of both clocks."""
        return _time.Now(self._boot_s, self._wall_s)

    def advance(self, seconds: float) -> _time.Now:
        """Advances both clocks and returns the new reading."""
        self._boot_s += seconds
        self._wall_s += seconds
        return self.now()

    def jump_wall(self, seconds: float) -> _time.Now:
        """Changes only the wall clock, as an operator or NTP may."""
        self._wall_s += seconds
        return self.now()


class SkewedClock(_clock.Clock):
    """A view of another clock, with an offset in its wall time.

    Attributes:
        skew_s: Offset of the wall time, in seconds.
    """

    def __init__(self, base: _clock.Clock) -> None:
        """Creates a clock without skew to another one."""
        self._base = base
        self.skew_s = 0.0

    def now(self) -> _time.Now:
        """Returns the current reading of both clocks."""
        now = self._base.now()
        return _time.Now(now.boot_s, now.wall_s + self.skew_s)


class LogDownError(ConnectionError):
    """Raised when the fake log is down or the answer of an append is lost."""


class FakeLog:
    """An in-memory append-only log, with faults that can be switched on.

    Attributes:
        is_down: Whether every call fails without effect.
        loses_answers: Whether appends fail after they have taken effect.
    """

    def __init__(self) -> None:
        """Creates an empty log."""
        self.is_down = False
        self.loses_answers = False
        self._first_offset = 0
        self._payloads: list[bytes] = []

    @property
    def next_offset(self) -> int:
        """The offset of the next entry."""
        return self._first_offset + len(self._payloads)

    def append(self, payload: bytes) -> int:
        """Appends an encoded entry and returns its offset.

        Raises:
            LogDownError: The log is down, or the answer is lost.
        """
        if self.is_down:
            raise LogDownError
        self._payloads.append(payload)
        if self.loses_answers:
            raise LogDownError
        return self.next_offset - 1

    def truncate(self, first: int) -> None:
        """Deletes the entries before an offset."""
        del self._payloads[: first - self._first_offset]
        self._first_offset = first

    def read(self, from_offset: int) -> tuple[_records.LogEntry, ...]:
        """Returns the decoded entries from an offset on.

        Raises:
            LogDownError: The log is down.
            LookupError: The offset has been truncated.
        """
        if self.is_down:
            raise LogDownError
        if from_offset < self._first_offset:
            raise LookupError(self._first_offset)
        payloads = self._payloads[from_offset - self._first_offset :]
        return tuple(
            _records.LogEntry(from_offset + index, _codec.decode_batch(raw))
            for index, raw in enumerate(payloads)
        )

"""When the records of recent scheduling terms were read."""

import collections
import dataclasses

RETENTION_S = 20.0
"""Time for which records are remembered, in seconds; longer than any run goes
on after its scheduler's term."""


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenRecord:
    """A record of a term that was read.

    Attributes:
        epoch: Epoch of the term.
        beat: Number of the renewal.
        seen_s: When it was read, in seconds on the steady clock.
    """

    epoch: int
    beat: int
    seen_s: float


class TermHistory:
    """Remembers when this instance read the records of recent terms."""

    def __init__(self) -> None:
        self._seen: collections.deque[_SeenRecord] = collections.deque()

    def clear(self) -> None:
        """Forgets all records."""
        self._seen.clear()

    def record(self, epoch: int, beat: int, now_s: float) -> None:
        """Records that a record was read, unless a newer one was before.

        Args:
            epoch: Epoch of the term.
            beat: Number of the renewal.
            now_s: Current time in seconds.
        """
        if self._seen:
            newest = self._seen[-1]
            if (epoch, beat) <= (newest.epoch, newest.beat):
                return
        self._seen.append(_SeenRecord(epoch, beat, now_s))
        while len(self._seen) > 1 and (
            self._seen[1].seen_s < now_s - RETENTION_S
        ):
            self._seen.popleft()

    def written_by_s(self, epoch: int, beat: int) -> float | None:
        """Returns a time by which a record had certainly been written.

        Args:
            epoch: Epoch of the term.
            beat: Number of the renewal.

        Returns:
            When this record or a later one was first read, in seconds; None if
            neither was.
        """
        for each in self._seen:
            if (each.epoch, each.beat) >= (epoch, beat):
                return each.seen_s
        return None

"""Set of task positions that is small where whole steps are in it."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import MutableSet
import dataclasses

from basiljunction.state.workload import _index_ranges

TaskPosition = tuple[int, int, int]
"""Position of a task within its job: occurrence, step and index, from 0."""

PositionRow = tuple[int, int, int, int, int]
"""Positions of consecutive tasks in consecutive occurrences: the first of these
and the one after the last, the step, the first index and the one after the
last."""


@dataclasses.dataclass(slots=True)
class _Band:
    """Consecutive occurrences in which the same tasks of a step are in the set.

    Attributes:
        start: The first occurrence.
        stop: The occurrence after the last.
        indexes: Indexes of the tasks.
    """

    start: int
    stop: int
    indexes: _index_ranges.IndexRanges


class PositionSet(MutableSet[TaskPosition]):
    """A set of task positions, kept as ranges of indexes and occurrences.

    Its memory is in proportion to the number of gaps, whatever the size of a
    step and the number of occurrences.

    Args:
        positions: The positions.
        rows: Further positions.
    """

    __slots__ = ("_bands_by_step", "_count")

    def __init__(
        self,
        positions: Iterable[TaskPosition] = (),
        *,
        rows: Iterable[PositionRow] = (),
    ) -> None:
        self._bands_by_step: dict[int, list[_Band]] = {}
        self._count = 0
        ranges_by_band: dict[tuple[int, int, int], list[tuple[int, int]]] = {}
        for first, after_last, step, start, stop in rows:
            ranges = ranges_by_band.setdefault((step, first, after_last), [])
            ranges.append((start, stop))
        for (step, first, after_last), ranges in sorted(ranges_by_band.items()):
            self._add_band(step, first, after_last, ranges)
        for position in positions:
            self.add(position)

    def __len__(self) -> int:
        """Returns the number of positions."""
        return self._count

    def __contains__(self, position: object) -> bool:
        """Returns whether a position is in the set."""
        if not isinstance(position, tuple):
            return False
        occurrence, step, index = position
        return index in self.indexes(occurrence, step)

    def __iter__(self) -> Iterator[TaskPosition]:
        """Yields the positions, of each step in order."""
        for step, bands in self._bands_by_step.items():
            for band in bands:
                for occurrence in range(band.start, band.stop):
                    for index in band.indexes:
                        yield (occurrence, step, index)

    def __repr__(self) -> str:
        """Returns the rows as text."""
        return f"PositionSet(rows={self.rows()!r})"

    def indexes(self, occurrence: int, step: int) -> _index_ranges.IndexRanges:
        """Returns the tasks of a step in one occurrence; read-only."""
        bands = self._bands_by_step.get(step, ())
        at = _find_band(bands, occurrence)
        return _NO_INDEXES if at is None else bands[at].indexes

    def occurrences_with(
        self, step: int, task_count: int
    ) -> _index_ranges.IndexRanges:
        """Returns the occurrences with at least so many tasks of a step."""
        return _index_ranges.IndexRanges(
            (band.start, band.stop)
            for band in self._bands_by_step.get(step, ())
            if len(band.indexes) >= task_count
        )

    def rows(self) -> list[PositionRow]:
        """Returns the positions as few rows, sorted by step."""
        return [
            (band.start, band.stop, step, start, stop)
            for step, bands in sorted(self._bands_by_step.items())
            for band in bands
            for start, stop in band.indexes.ranges()
        ]

    def copy(self) -> "PositionSet":
        """Returns a copy."""
        return PositionSet(rows=self.rows())

    def union(self, other: "PositionSet") -> "PositionSet":
        """Returns the positions that any of the sets has."""
        larger, smaller = sorted((self, other), key=len, reverse=True)
        joined = larger.copy()
        joined |= smaller
        return joined

    def add(self, position: TaskPosition) -> None:
        """Adds a position."""
        occurrence, step, index = position
        bands = self._bands_by_step.setdefault(step, [])
        at = _isolate_band(bands, occurrence)
        if bands[at].indexes.add(index):
            self._count += 1
        _join_bands(bands, at)

    def discard(self, position: TaskPosition) -> None:
        """Removes a position, if it is there."""
        if position not in self:
            return
        occurrence, step, index = position
        bands = self._bands_by_step[step]
        at = _isolate_band(bands, occurrence)
        bands[at].indexes.discard(index)
        self._count -= 1
        if not bands[at].indexes:
            del bands[at]
        else:
            _join_bands(bands, at)
        if not bands:
            del self._bands_by_step[step]

    def _add_band(
        self,
        step: int,
        first: int,
        after_last: int,
        ranges: list[tuple[int, int]],
    ) -> None:
        """Adds the same tasks of a step in consecutive occurrences."""
        indexes = _index_ranges.IndexRanges(ranges)
        if first >= after_last or not indexes:
            return
        bands = self._bands_by_step.setdefault(step, [])
        if not bands or bands[-1].stop <= first:
            bands.append(_Band(first, after_last, indexes))
            self._count += (after_last - first) * len(indexes)
            _join_bands(bands, len(bands) - 1)
            return
        for occurrence in range(first, after_last):
            for index in indexes:
                self.add((occurrence, step, index))


_NO_INDEXES = _index_ranges.IndexRanges()


def _find_band(bands: "list[_Band] | tuple[()]", occurrence: int) -> int | None:
    """Returns the place of the band that has an occurrence, or None."""
    at = bisect.bisect_right(bands, occurrence, key=lambda band: band.start) - 1
    if at >= 0 and occurrence < bands[at].stop:
        return at
    return None


def _isolate_band(bands: list[_Band], occurrence: int) -> int:
    """Gives an occurrence a band of its own; returns its place."""
    at = _find_band(bands, occurrence)
    if at is None:
        at = bisect.bisect_left(bands, occurrence, key=lambda band: band.start)
        bands.insert(
            at, _Band(occurrence, occurrence + 1, _index_ranges.IndexRanges())
        )
        return at
    band = bands[at]
    if band.start < occurrence:
        bands.insert(at, _Band(band.start, occurrence, band.indexes.copy()))
        at += 1
    if occurrence + 1 < band.stop:
        after = _Band(occurrence + 1, band.stop, band.indexes.copy())
        bands.insert(at + 1, after)
    band.start, band.stop = occurrence, occurrence + 1
    return at


def _join_bands(bands: list[_Band], at: int) -> None:
    """Joins a band with those beside it that have the same tasks."""
    for left in (at, at - 1):
        if left < 0 or left + 1 >= len(bands):
            continue
        first, second = bands[left], bands[left + 1]
        if first.stop == second.start and first.indexes == second.indexes:
            first.stop = second.stop
            del bands[left + 1]

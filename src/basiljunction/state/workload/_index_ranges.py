"""Set of numbers that is small where they are consecutive."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator


class IndexRanges:
    """A set of numbers from 0, kept as sorted ranges that do not touch.

    Its memory is in proportion to the number of ranges, whatever they contain.

    Args:
        ranges: First number of each range and the number after its last, in
            any order; they may overlap.
    """

    __slots__ = ("_count", "_starts", "_stops")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._starts: list[int] = []
        self._stops: list[int] = []
        self._count = 0
        for start, stop in sorted(ranges):
            if start >= stop:
                continue
            if self._stops and start <= self._stops[-1]:
                self._stops[-1] = max(self._stops[-1], stop)
            else:
                self._starts.append(start)
                self._stops.append(stop)
        self._count = sum(stop - start for start, stop in self.ranges())

    def __len__(self) -> int:
        """Returns how many numbers the set has."""
        return self._count

    def __contains__(self, number: int) -> bool:
        """Returns whether a number is in the set."""
        at = bisect.bisect_right(self._starts, number) - 1
        return at >= 0 and number < self._stops[at]

    def __iter__(self) -> Iterator[int]:
        """Yields the numbers in order."""
        for start, stop in zip(self._starts, self._stops, strict=True):
            yield from range(start, stop)

    def __eq__(self, other: object) -> bool:
        """Returns whether two sets have the same numbers."""
        if not isinstance(other, IndexRanges):
            return NotImplemented
        return len(self) == len(other) and self.ranges() == other.ranges()

    __hash__ = None  # type: ignore[assignment]  # The set changes.

    def __repr__(self) -> str:
        """Returns the ranges as text."""
        return f"IndexRanges({self.ranges()!r})"

    def ranges(self) -> list[tuple[int, int]]:
        """Returns the first number of each range and the one after its last."""
        return list(zip(self._starts, self._stops, strict=True))

    def copy(self) -> "IndexRanges":
        """Returns a copy."""
        return IndexRanges(self.ranges())

    def first(self) -> int:
        """Returns the least number.

        Raises:
            IndexError: The set is empty.
        """
        return self._starts[0]

    def next_from(self, number: int) -> int | None:
        """Returns the least number that is not below one; None if none is."""
        at = bisect.bisect_right(self._starts, number) - 1
        if at >= 0 and number < self._stops[at]:
            return number
        if at + 1 < len(self._starts):
            return self._starts[at + 1]
        return None

    def add(self, number: int) -> bool:
        """Adds a number; returns whether it was missing."""
        starts, stops = self._starts, self._stops
        at = bisect.bisect_right(starts, number) - 1
        if at >= 0 and number < stops[at]:
            return False
        self._count += 1
        joins_left = at >= 0 and stops[at] == number
        joins_right = at + 1 < len(starts) and starts[at + 1] == number + 1
        if joins_left and joins_right:
            stops[at] = stops[at + 1]
            del starts[at + 1], stops[at + 1]
        elif joins_left:
            stops[at] = number + 1
        elif joins_right:
            starts[at + 1] = number
        else:
            starts.insert(at + 1, number)
            stops.insert(at + 1, number + 1)
        return True

    def discard(self, number: int) -> bool:
        """Removes a number; returns whether it was there."""
        starts, stops = self._starts, self._stops
        at = bisect.bisect_right(starts, number) - 1
        if at < 0 or number >= stops[at]:
            return False
        self._count -= 1
        if stops[at] - starts[at] == 1:
            del starts[at], stops[at]
        elif number == starts[at]:
            starts[at] = number + 1
        elif number == stops[at] - 1:
            stops[at] = number
        else:
            starts.insert(at + 1, number + 1)
            stops.insert(at, number)
        return True

    def minus(self, other: "IndexRanges") -> "IndexRanges":
        """Returns the numbers that the other set does not have."""
        left = []
        removed = other.ranges()
        at = 0
        for start, stop in self.ranges():
            kept_from = start
            while at < len(removed) and removed[at][0] < stop:
                if removed[at][1] > start:
                    left.append((kept_from, removed[at][0]))
                    kept_from = removed[at][1]
                if removed[at][1] > stop:
                    break
                at += 1
            left.append((kept_from, stop))
        return IndexRanges(left)

    def intersection(self, other: "IndexRanges") -> "IndexRanges":
        """Returns the numbers that both sets have."""
        return self.minus(self.minus(other))

    def union(self, other: "IndexRanges") -> "IndexRanges":
        """Returns the numbers that any of the sets has."""
        return IndexRanges([*self.ranges(), *other.ranges()])

"""Tests of sets of task positions against built-in sets."""

from hypothesis import given
from hypothesis import strategies

from basiljunction.state.workload import _index_ranges
from basiljunction.state.workload import _position_set

_NUMBERS = strategies.sets(strategies.integers(0, 30))
_POSITIONS = strategies.tuples(
    strategies.integers(0, 6),
    strategies.integers(0, 2),
    strategies.integers(0, 4),
)


def _ranges_of(numbers: set[int]) -> _index_ranges.IndexRanges:
    """Returns the numbers as ranges."""
    return _index_ranges.IndexRanges((each, each + 1) for each in numbers)


class TestIndexRanges:
    """Sets of numbers behave like built-in sets."""

    @given(_NUMBERS, _NUMBERS)
    def test_the_operations_are_those_of_sets(
        self, first: set[int], second: set[int]
    ) -> None:
        left, right = _ranges_of(first), _ranges_of(second)
        assert set(left.minus(right)) == first - second
        assert set(left.intersection(right)) == first & second
        assert set(left.union(right)) == first | second
        assert len(left) == len(first)

    @given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.integers(0, 12))
        )
    )
    def test_changes_keep_sorted_ranges_that_do_not_touch(
        self, changes: list[tuple[bool, int]]
    ) -> None:
        ranges, model = _index_ranges.IndexRanges(), set[int]()
        for is_added, number in changes:
            if is_added:
                assert ranges.add(number) is (number not in model)
                model.add(number)
            else:
                assert ranges.discard(number) is (number in model)
                model.discard(number)
            assert list(ranges) == sorted(model)
            assert ranges == _ranges_of(model)
            assert all(each in ranges for each in model)


class TestPositionSet:
    """Sets of positions behave like built-in sets."""

    @given(
        strategies.lists(strategies.tuples(strategies.booleans(), _POSITIONS))
    )
    def test_it_behaves_like_a_set(
        self, changes: list[tuple[bool, _position_set.TaskPosition]]
    ) -> None:
        positions = _position_set.PositionSet()
        model = set[_position_set.TaskPosition]()
        for is_added, position in changes:
            if is_added:
                positions.add(position)
                model.add(position)
            else:
                positions.discard(position)
                model.discard(position)
            assert set(positions) == model
            assert len(positions) == len(model)
        copied = positions.copy()
        assert set(copied) == model
        assert _position_set.PositionSet(rows=positions.rows()) == positions
        assert _position_set.PositionSet(model).rows() == positions.rows()
        for task_count in (1, 3):
            occurrences = positions.occurrences_with(0, task_count)
            assert set(occurrences) == {
                each
                for each in range(7)
                if len([p for p in model if p[:2] == (each, 0)]) >= task_count
            }

    def test_whole_steps_of_many_occurrences_are_one_row(self) -> None:
        """Guards against memory in proportion to what is done."""
        positions = _position_set.PositionSet(
            (occurrence, 0, index)
            for occurrence in range(500)
            for index in range(20)
        )
        assert positions.rows() == [(0, 500, 0, 0, 20)]
        assert len(positions) == 10_000

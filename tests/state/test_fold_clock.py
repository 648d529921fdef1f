"""Tests of the clock that the fold derives from the authors' times."""

from basiljunction.state import _fold_clock
from basiljunction.state import _records
from basiljunction.state import _system


def _advance_clock(
    state: _system.SystemState, name: str, wall_s: float
) -> float:
    """Folds the time of author `name` and returns the fold's clock."""
    _fold_clock.advance_clock(state, _records.Author(name, 1), wall_s)
    return state.wall_s


class TestClock:
    """The fold's clock never goes back and ignores one deviating author."""

    def test_one_of_three_ahead_is_ignored(self) -> None:
        state = _system.SystemState()
        for name in "abc":
            _advance_clock(state, name, 1000.0)
        assert _advance_clock(state, "a", 9e9) == 1000.0
        assert _advance_clock(state, "b", 1010.0) == 1010.0

    def test_never_goes_back(self) -> None:
        state = _system.SystemState()
        _advance_clock(state, "a", 1000.0)
        assert _advance_clock(state, "a", 10.0) == 1000.0

    def test_two_authors_cannot_tell(self) -> None:
        state = _system.SystemState()
        _advance_clock(state, "a", 1000.0)
        assert _advance_clock(state, "b", 2000.0) == 2000.0

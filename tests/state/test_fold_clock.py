"""Tests of the fold's own clock."""

from basiljunction.state import _fold_clock
from basiljunction.state import _records
from basiljunction.state import _system


def _advance(state: _system.SystemState, name: str, wall_s: float) -> float:
    _fold_clock.advance_clock(state, _records.Author(name, 1), wall_s)
    return state.wall_s


class TestClock:
    """One clock that is off does not move the fold's clock."""

    def test_one_of_three_ahead_is_ignored(self) -> None:
        state = _system.SystemState()
        for name in "abc":
            _advance(state, name, 1000.0)
        assert _advance(state, "a", 9e9) == 1000.0
        assert _advance(state, "b", 1010.0) == 1010.0

    def test_never_goes_back(self) -> None:
        state = _system.SystemState()
        _advance(state, "a", 1000.0)
        assert _advance(state, "a", 10.0) == 1000.0

    def test_two_authors_cannot_tell(self) -> None:
        state = _system.SystemState()
        _advance(state, "a", 1000.0)
        assert _advance(state, "b", 2000.0) == 2000.0

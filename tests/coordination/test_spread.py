"""Tests of passing log entries between instances."""

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _spread
from basiljunction.state import _time


def _make_spread(count: int, size: int = 10) -> _spread.LogEntryExchange:
    """Returns a spread that has read entries from offset 100."""
    spread = _spread.LogEntryExchange("a")
    payloads = tuple(bytes([index % 256]) * size for index in range(count))
    spread.cache_entries(100, payloads)
    return spread


def _pushed_entries(actions: list[_events.SendPeer]) -> _messages.EntriesPushed:
    """Returns the message of the only action."""
    (action,) = actions
    assert isinstance(action.message, _messages.EntriesPushed)
    return action.message


class TestAnswer:
    """A peer receives the exact bytes of the log without gaps, or none."""

    def test_from_its_offset(self) -> None:
        wanted = _messages.EntriesWanted("b", 102)
        pushed = _pushed_entries(_make_spread(5).answer_request(wanted))
        assert pushed.first_offset == 102
        assert pushed.payloads == (b"\x02" * 10, b"\x03" * 10, b"\x04" * 10)

    def test_nothing_for_unknown_offsets(self) -> None:
        for offset in (99, 105):
            wanted = _messages.EntriesWanted("b", offset)
            assert _make_spread(5).answer_request(wanted) == []

    def test_overlapping_and_later_reads(self) -> None:
        spread = _make_spread(3)
        spread.cache_entries(101, (b"old", b"old", b"new"))
        pushed = _pushed_entries(
            spread.answer_request(_messages.EntriesWanted("b", 102))
        )
        assert pushed.payloads == (b"\x02" * 10, b"new")
        spread.cache_entries(200, (b"far",))
        assert spread.answer_request(_messages.EntriesWanted("b", 103)) == []

    def test_bounded(self) -> None:
        spread = _make_spread(100, 128 * 1024)
        assert spread.answer_request(_messages.EntriesWanted("b", 100)) == []
        pushed = _pushed_entries(
            spread.answer_request(_messages.EntriesWanted("b", 190))
        )
        assert len(pushed.payloads) == 2


class TestAsking:
    """Only an instance that stays behind asks, one peer at a time."""

    def _make_now(self, boot_s: float) -> _time.Now:
        return _time.Now(boot_s, boot_s)

    def test_behind(self) -> None:
        spread = _spread.LogEntryExchange("a")
        peers = {"b": 5, "c": 5, "d": 1}
        asked = []
        for step in range(20):
            actions = spread.request_missing_entries(
                1, peers, self._make_now(step * 0.1)
            )
            asked += [action.instance for action in actions]
        assert set(asked) == {"b", "c"}
        assert len(asked) <= 4

    def test_moving_on_by_itself(self) -> None:
        spread = _spread.LogEntryExchange("a")
        for step in range(20):
            assert not spread.request_missing_entries(
                step, {"b": 99}, self._make_now(step * 0.2)
            )

    def test_nobody_ahead(self) -> None:
        spread = _spread.LogEntryExchange("a")
        for step in range(20):
            assert not spread.request_missing_entries(
                5, {"b": 5}, self._make_now(step * 0.2)
            )

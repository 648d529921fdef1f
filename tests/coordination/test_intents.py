"""Tests of the intents of non-idempotent requests."""

from basiljunction.coordination import _events
from basiljunction.coordination import _intents
from basiljunction.state import _records
from basiljunction.state import _time
from basiljunction.state import _verdict
import urgent_builders

_NOW = _time.Now(100.0, 1000.0)


def _make_verdict(
    append: _events.AppendRecords, author: _records.Author
) -> _verdict.Verdict:
    """Returns the verdict on an intent that was read back from the log."""
    (record,) = append.records
    return _verdict.Verdict(
        offset=1,
        wall_s=1000.0,
        author=author,
        sequence=0,
        record=record,
        rejection_reason=None,
    )


class TestIncarnation:
    """Only an intent of this incarnation allows a hop to be sent."""

    def test_newest(self) -> None:
        book = _intents.IntentTracker("i1")
        book.add_incarnation(7)
        append = book.open_intent(
            urgent_builders.hop(idempotency_key="k"), _NOW
        )
        assert isinstance(append, _events.AppendRecords)
        settled = book.settle_by_verdict(
            _make_verdict(append, _records.Author("i1", 7))
        )
        assert isinstance(settled, _intents.IntentAccepted)

    def test_earlier(self) -> None:
        book = _intents.IntentTracker("i1")
        book.add_incarnation(7)
        append = book.open_intent(
            urgent_builders.hop(idempotency_key="k"), _NOW
        )
        assert isinstance(append, _events.AppendRecords)
        earlier = _make_verdict(append, _records.Author("i1", 6))
        assert book.settle_by_verdict(earlier) is None

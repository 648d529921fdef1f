"""Tests of the fold rules for intents (claims of idempotency keys)."""

from basiljunction.state import _outcomes
from basiljunction.state import _records
import builders


def _intent(request_id: str, expires_wall_s: float = 5000.0) -> _records.Record:
    """Returns the record of an intent for the key "k" of kowhai."""
    return _records.IntentRecorded("kowhai", "k", request_id, expires_wall_s)


class TestIntents:
    """A key has at most one intent, which only its author can release."""

    def test_second_intent(self) -> None:
        log = builders.LogBuilder()
        assert log.append(_intent("r1"), author="i1").is_accepted
        verdict = log.append(_intent("r1"), author="i2")
        assert verdict.rejection_reason is _outcomes.Reason.KEY_IN_USE

    def test_release_by_another(self) -> None:
        log = builders.LogBuilder()
        log.append(_intent("r1"), author="i1")
        release = _records.IntentReleased("kowhai", "k", "r1")
        verdict = log.append(release, author="i2")
        assert verdict.rejection_reason is _outcomes.Reason.NOT_OWNER
        assert log.append(release, author="i1").is_accepted
        assert log.append(_intent("r2"), author="i2").is_accepted

    def test_key_that_is_too_old(self) -> None:
        log = builders.LogBuilder()
        verdict = log.append(_intent("r1", 1000.0), author="i1", wall_s=1000.0)
        assert verdict.rejection_reason is _outcomes.Reason.KEY_TOO_OLD

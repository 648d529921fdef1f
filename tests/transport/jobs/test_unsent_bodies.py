"""Tests of the estimate of the bytes that a link still has to send."""

import pytest

from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _unsent_bodies

LARGE_BYTES = _call_pace.SLOW_LINK_BYTES_PER_S
"""Size of a body that takes a slow link one second, in bytes."""

SMALL_BYTES = LARGE_BYTES // 10
"""Size of a body that takes it a tenth of that, in bytes."""


def _begin(
    bodies: _unsent_bodies.UnsentBodies, now_s: float, *sizes: int
) -> list[int]:
    for each in sizes:
        bodies.expect(each)
    return [bodies.begin(each, now_s) for each in sizes]


class TestUnsentBodies:
    """A body counts as long as it can still be on the link, no longer."""

    def test_bodies_that_are_about_to_be_sent_are_forgotten(self) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        bodies.expect(LARGE_BYTES)
        bodies.expect(LARGE_BYTES)
        assert bodies.seconds_left(0.0) == pytest.approx(2.0)
        bodies.begin(LARGE_BYTES, 0.0)
        assert bodies.seconds_left(0.0) == pytest.approx(2.0)

    def test_a_lost_body_counts_until_it_is_given_up(self) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        _begin(bodies, 0.0, LARGE_BYTES, LARGE_BYTES)
        assert bodies.seconds_left(1.9) == pytest.approx(2.0)
        assert bodies.seconds_left(2.0) == 0.0

    def test_a_lost_body_counts_after_a_later_one_was_answered(self) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        _, answered, _ = _begin(bodies, 0.0, *[LARGE_BYTES] * 3)
        bodies.end(answered, LARGE_BYTES, is_answered=True)
        assert bodies.seconds_left(0.1) == pytest.approx(1.0)

    def test_a_small_body_that_was_sent_hides_a_large_one_that_was_not(
        self,
    ) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        _, answered = _begin(bodies, 0.0, LARGE_BYTES, SMALL_BYTES)
        bodies.end(answered, SMALL_BYTES, is_answered=True)
        assert bodies.seconds_left(0.1) == pytest.approx(1.0)

    def test_a_call_that_was_given_up_shows_that_others_were_sent(
        self,
    ) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        _, lost = _begin(bodies, 0.0, LARGE_BYTES, LARGE_BYTES)
        bodies.end(lost, LARGE_BYTES, is_answered=False)
        assert bodies.seconds_left(0.1) == pytest.approx(1.0)

    def test_a_late_end_counts_a_body_twice(self) -> None:
        bodies = _unsent_bodies.UnsentBodies()
        lost, answered = _begin(bodies, 0.0, LARGE_BYTES, LARGE_BYTES)
        bodies.end(answered, LARGE_BYTES, is_answered=True)
        bodies.end(lost, LARGE_BYTES, is_answered=False)
        _begin(bodies, 5.0, SMALL_BYTES)
        assert bodies.seconds_left(5.0) == pytest.approx(0.1)

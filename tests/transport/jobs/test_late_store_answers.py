"""Tests of answers that a store gives after it has moved to another address."""

import json
import random

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _term_keeper
import platform_standin
import workload_builders as build

_STORED = _http_call.HttpReply(200, json.dumps({"EndOffset": 1}).encode())
"""Answer to a write that the store has taken."""

_EMPTY_PAGE = _http_call.HttpReply(
    200,
    json.dumps(
        platform_standin.newest_page(platform_standin.Topic(), "")
    ).encode(),
)
"""Answer to a read of the newest records of a topic without any."""

_LATER_S = 10.0
"""Time at which any write is due, in seconds."""


class _HeldCalls(_http_calls.HttpClient):
    """Keeps calls until the test answers them.

    Attributes:
        open_calls: Calls without an answer, the earliest first.
    """

    def __init__(self) -> None:
        self.open_calls: list[
            tuple[_http_call.HttpCall, _http_calls.ReplyCallback]
        ] = []

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        self.open_calls.append((call, on_reply))

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns 0: no answer has begun."""
        return 0

    def take(self, part: str) -> _http_calls.ReplyCallback:
        """Removes the first call with a text in its URL; returns its reply."""
        index = next(
            index
            for index, (call, _) in enumerate(self.open_calls)
            if part in call.url
        )
        return self.open_calls.pop(index)[1]

    def count(self, part: str) -> int:
        """Returns how many open calls have a text in their URL."""
        return sum(part in call.url for call, _ in self.open_calls)


@pytest.fixture
def calls() -> _HeldCalls:
    """Calls that wait for their answers."""
    return _HeldCalls()


@pytest.fixture
def feed(calls: _HeldCalls) -> _term_keeper.TermFeed:
    """The term feed of an instance that has read an empty topic."""
    feed = _term_keeper.TermFeed(
        calls=calls,
        address="old:1",
        clock=lambda: build.clock_readings_at(_LATER_S),
        election=_election.Election(
            instance="a", incarnation=1, address="a:1", rng=random.Random(1)
        ),
        grants=_lease_grants.GrantHistory(0.0),
        member="a",
        member_address="a:1",
    )
    _read_nothing(feed, calls)
    return feed


def _read_nothing(feed: _term_keeper.TermFeed, calls: _HeldCalls) -> None:
    """Lets the feed read that its topic is empty."""
    feed.start_due_read(build.clock_readings_at(_LATER_S))
    calls.take("/log-newest")(_EMPTY_PAGE)


class TestMovedStore:
    """An answer of the old address says nothing of a write to the new one."""

    def test_a_claim_is_not_taken_for_stored(
        self, feed: _term_keeper.TermFeed, calls: _HeldCalls
    ) -> None:
        now = build.clock_readings_at(_LATER_S)
        feed.send_due_write(now)
        answer_late = calls.take("old:1/log-append")
        feed.switch_store("new:1", 2)
        _read_nothing(feed, calls)
        feed.send_due_write(now)
        assert calls.count("new:1/log-append") == 1
        answer_late(_STORED)
        assert not feed.election.is_leader

    def test_a_registration_does_not_wait_for_it(
        self, feed: _term_keeper.TermFeed, calls: _HeldCalls
    ) -> None:
        now = build.clock_readings_at(_LATER_S)
        feed.register_member(now)
        assert calls.count("old:1/log-append") == 1
        feed.switch_store("new:1", 2)
        _read_nothing(feed, calls)
        feed.register_member(now)
        assert calls.count("new:1/log-append") == 1

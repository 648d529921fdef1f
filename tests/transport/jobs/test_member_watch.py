"""Tests of the questions of a scheduler to the other instances."""

from collections.abc import Callable
from collections.abc import Mapping
import functools
from typing import Any

import pytest

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _member_watch
import workload_builders as build

_ADDRESS_BY_MEMBER = {"b": "b:1", "c": "c:1"}

_TICK_S = 0.1


class _Peers:
    """Other instances, and the client that calls them, in virtual time.

    Attributes:
        absent: Addresses of instances that do not answer.
        lacking: Addresses of instances that report an outage.
        earlier: Addresses of instances of a build that does not know the
            question.
        asked: Addresses of the instances that were asked, in order.
        epoch: Epoch that the questions tell.
        holds_answers: Whether answers wait until they are released.
    """

    def __init__(self) -> None:
        self.absent: set[str] = set()
        self.lacking: set[str] = set()
        self.earlier: set[str] = set()
        self.asked: list[str] = []
        self.epoch = 4
        self.holds_answers = False
        self._held_answers: list[Callable[[], None]] = []

    def release_answers(self) -> None:
        """Gives the answers that were held, and holds no more."""
        self.holds_answers = False
        for answer in self._held_answers:
            answer()

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: Callable[[_http_call.HttpReply], None],
    ) -> None:
        """Answers a question at once."""
        address = call.url.removeprefix("http://").removesuffix("/calls")
        assert call.body is not None
        question = _peer_calls.decode_call(call.body)
        assert question.kind is _client_calls.CallKind.OUTAGE
        assert question.epoch == self.epoch
        self.asked.append(address)
        if address in self.absent:
            on_reply(_http_call.HttpReply(0, error_text="timed out"))
            return
        if address in self.earlier:
            on_reply(_http_call.HttpReply(400))
            return
        reply = _client_calls.ClientReply(
            _client_calls.CallOutcome.FOUND,
            lacks_store=address in self.lacking,
        )
        answer = functools.partial(
            on_reply,
            _http_call.HttpReply(200, _peer_calls.encode_reply(reply, "", 0)),
        )
        if self.holds_answers:
            self._held_answers.append(answer)
        else:
            answer()


class _Scheduler:
    """An instance that holds a term.

    Args:
        address_by_member: Addresses of the other instances.
    """

    def __init__(
        self, address_by_member: Mapping[str, str] = _ADDRESS_BY_MEMBER
    ) -> None:
        self.address_by_member = address_by_member
        self.peers = _Peers()
        self.now_s = 100.0
        self.confirmed_s = self.now_s
        client: Any = self.peers
        self.watch = _member_watch.MemberWatch(
            calls=client, clock=lambda: build.clock_readings_at(self.now_s)
        )

    def run(self, seconds: float, *, is_store_up: bool) -> None:
        """Ticks for some time."""
        for _ in range(round(seconds / _TICK_S)):
            self.now_s += _TICK_S
            if is_store_up:
                self.confirmed_s = self.now_s
            now = build.clock_readings_at(self.now_s)
            self.watch.tick(
                now,
                epoch=self.peers.epoch,
                confirmed_s=self.confirmed_s,
                address_by_member=self.address_by_member,
            )
            self.watch.log_grants(
                now,
                confirmed_s=self.confirmed_s,
                address_by_member=self.address_by_member,
            )

    def may_grant(self) -> bool:
        """Returns whether it may grant leases now."""
        return self.now_s < _lease_grants.grants_end_s(
            self.confirmed_s,
            self.watch.reported_until_s(self.address_by_member),
        )


def _events(logs: list[Any], name: str) -> list[Any]:
    """Returns the log entries of an event."""
    return [each for each in logs if each["event"] == name]


class TestOutage:
    """Leases are granted in an outage that all instances report."""

    def test_they_are_granted_while_all_report_it(
        self, logs: list[Any]
    ) -> None:
        scheduler = _Scheduler()
        scheduler.run(3.0, is_store_up=True)
        scheduler.peers.lacking |= {"b:1", "c:1"}
        scheduler.run(_lease_grants.MAX_GRANT_S - 0.2, is_store_up=False)
        assert scheduler.may_grant()
        assert not _events(logs, "term.grants-paused")
        scheduler.run(0.4, is_store_up=False)
        assert not scheduler.may_grant()

    @pytest.mark.parametrize("is_absent", [False, True])
    def test_they_are_not_if_one_reaches_the_store_or_is_gone(
        self, is_absent: bool, logs: list[Any]
    ) -> None:
        scheduler = _Scheduler()
        scheduler.run(3.0, is_store_up=True)
        scheduler.peers.lacking.add("b:1")
        if is_absent:
            scheduler.peers.absent.add("c:1")
        scheduler.run(_lease_grants.UNREPORTED_GRANT_S - 0.2, is_store_up=False)
        assert scheduler.may_grant()
        scheduler.run(0.4, is_store_up=False)
        assert not scheduler.may_grant()
        (paused,) = _events(logs, "term.grants-paused")
        assert paused["first"] == ["c"]
        scheduler.run(0.1, is_store_up=True)
        assert _events(logs, "term.grants-resumed")

    def test_a_report_counts_only_in_the_term_in_which_it_was_asked_for(
        self,
    ) -> None:
        scheduler = _Scheduler()
        scheduler.run(3.0, is_store_up=True)
        scheduler.peers.lacking |= {"b:1", "c:1"}
        scheduler.peers.holds_answers = True
        scheduler.run(1.0, is_store_up=False)
        scheduler.peers.epoch = 5
        scheduler.run(_TICK_S, is_store_up=True)
        scheduler.peers.release_answers()
        reported_s = scheduler.watch.reported_until_s(
            scheduler.address_by_member
        )
        assert reported_s == float("-inf")


class TestPresence:
    """Instances that are gone for good are found, and only these."""

    def test_questions_are_few_while_the_store_confirms_the_term(self) -> None:
        scheduler = _Scheduler()
        scheduler.run(10.0, is_store_up=True)
        assert 8 <= len(scheduler.peers.asked) <= 10

    def test_one_that_has_not_answered_for_long_is_gone(self) -> None:
        scheduler = _Scheduler()
        scheduler.peers.absent.add("c:1")
        scheduler.run(_member_watch.MIN_SILENCE_S - 0.5, is_store_up=True)
        now = build.clock_readings_at(scheduler.now_s)
        assert scheduler.watch.find_gone(now) == []
        scheduler.run(1.0, is_store_up=True)
        now = build.clock_readings_at(scheduler.now_s)
        assert scheduler.watch.find_gone(now) == ["c"]

    def test_none_is_if_no_instance_answers(self) -> None:
        """The scheduler itself may be cut off."""
        scheduler = _Scheduler()
        scheduler.peers.absent |= {"b:1", "c:1"}
        scheduler.run(_member_watch.MIN_SILENCE_S + 1.0, is_store_up=True)
        now = build.clock_readings_at(scheduler.now_s)
        assert scheduler.watch.find_gone(now) == []

    def test_one_of_an_earlier_build_is_not(self) -> None:
        """It answers that it does not know the question."""
        scheduler = _Scheduler()
        scheduler.peers.earlier.add("c:1")
        scheduler.run(_member_watch.MIN_SILENCE_S + 1.0, is_store_up=True)
        now = build.clock_readings_at(scheduler.now_s)
        assert scheduler.watch.find_gone(now) == []

    def test_none_is_once_the_scheduler_is_no_longer_cut_off(self) -> None:
        """Instances answer one after the other then."""
        scheduler = _Scheduler()
        scheduler.run(3.0, is_store_up=True)
        scheduler.peers.absent |= {"b:1", "c:1"}
        scheduler.run(_member_watch.MIN_SILENCE_S + 1.0, is_store_up=True)
        scheduler.peers.absent.remove("b:1")
        scheduler.run(_member_watch.PRESENCE_INTERVAL_S, is_store_up=True)
        now = build.clock_readings_at(scheduler.now_s)
        assert scheduler.watch.find_gone(now) == []


class TestManyInstances:
    """The questions to 300 instances stay few, and their reports hold."""

    _COUNT = 300

    def _start(self) -> _Scheduler:
        """Returns the scheduler of so many other instances."""
        return _Scheduler(
            {f"m{each}": f"m{each}:1" for each in range(self._COUNT)}
        )

    def test_questions_are_limited(self) -> None:
        scheduler = self._start()
        scheduler.run(60.0, is_store_up=True)
        limit = 60.0 * _member_watch.PRESENCE_QUESTIONS_PER_S
        assert self._COUNT < len(scheduler.peers.asked) <= limit + 5

    def test_an_outage_that_all_report_is_survived(self) -> None:
        scheduler = self._start()
        scheduler.run(20.0, is_store_up=True)
        scheduler.peers.lacking |= set(scheduler.address_by_member.values())
        asked = len(scheduler.peers.asked)
        # The first reports take a second.
        scheduler.run(2.5, is_store_up=False)
        while scheduler.now_s - scheduler.confirmed_s < 4.8:
            scheduler.run(_TICK_S, is_store_up=False)
            assert scheduler.may_grant()
        limit = 5.0 * _member_watch.OUTAGE_QUESTIONS_PER_S
        assert len(scheduler.peers.asked) - asked <= limit

    def test_none_is_taken_for_gone(self) -> None:
        scheduler = self._start()
        for _ in range(60):
            scheduler.run(1.0, is_store_up=True)
            now = build.clock_readings_at(scheduler.now_s)
            assert scheduler.watch.find_gone(now) == []

"""Tests of the task that runs the urgent path."""

from concurrent import futures
import random
from typing import Any

from basiljunction.coordination import _admission
from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.state import _outcomes
from basiljunction.transport import _task
from basiljunction.transport import _urgent_task
import fakes
import urgent_builders


class Peers:
    """Keeps what is sent to peers, or is full."""

    def __init__(self) -> None:
        """Creates peers that take everything."""
        self.is_full = False
        self.sent: list[Any] = []

    def tell(self, message: object) -> None:
        """Takes a message."""
        if self.is_full:
            raise _task.MailboxFullError("peers", 1)
        self.sent.append(message)


class NoMetrics:
    """Takes figures and drops them."""

    def count(self, name: str, value: float = 1, **labels: str) -> None:
        """Drops a count."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Drops a value."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Drops a value."""


class Rig:
    """A task whose executors belong to another instance."""

    def __init__(self) -> None:
        """Creates a ready task that nobody runs on a thread."""
        self.clock = fakes.FakeClock()
        self.peers = Peers()
        self.task = _urgent_task.UrgentTask(
            instance=urgent_builders.OWNER,
            clock=self.clock,
            source=random.Random(1),
            seconds_until_open=_admission.always_open,
            calls_pool=futures.ThreadPoolExecutor(1),
            peers=self.peers,
            send_to_state=lambda _action: None,
            metrics=NoMetrics(),
        )
        remote = urgent_builders.executor("e1", owner=urgent_builders.PEER)
        self.task.handle(urgent_builders.view(remote), self.clock.now())

    def ask(self) -> "futures.Future[_outcomes.Outcome]":
        """Asks for one request and returns its future."""
        reply: futures.Future[_outcomes.Outcome] = futures.Future()
        asked = _urgent_task.UrgentRequestSubmitted(
            urgent_builders.request(), reply
        )
        self.task.handle(asked, self.clock.now())
        return reply


class TestUrgentTask:
    """Each future gets its own outcome, once."""

    def test_reply_of_the_owner(self) -> None:
        rig = Rig()
        future = rig.ask()
        forward = rig.peers.sent[-1].message
        outcome = _outcomes.Completed(200, b"r1", "", "e1")
        reply = _messages.ForwardReply(
            "r1", urgent_builders.PEER, outcome, forward.attempt
        )
        for _ in range(2):
            rig.task.handle(_events.PeerReceived(reply), rig.clock.now())
        assert future.result(0) == outcome

    def test_same_request_id_in_flight(self) -> None:
        rig = Rig()
        first = rig.ask()
        second = rig.ask().result(0)
        assert not first.done()
        assert isinstance(second, _outcomes.NotRun)
        assert second.reason is _outcomes.Reason.DUPLICATE

    def test_not_sent_to_the_owner(self) -> None:
        rig = Rig()
        future = rig.ask()
        dropped = rig.peers.sent[-1]
        event = _events.SendDropped(dropped.instance, dropped.message)
        rig.task.handle(event, rig.clock.now())
        outcome = future.result(0)
        assert isinstance(outcome, _outcomes.NotRun)
        assert outcome.step is _outcomes.Step.FORWARD

    def test_peer_links_are_full(self) -> None:
        rig = Rig()
        rig.peers.is_full = True
        assert isinstance(rig.ask().result(0), _outcomes.NotRun)

    def test_no_answer_by_the_deadline(self) -> None:
        rig = Rig()
        future = rig.ask()
        rig.task.tick(rig.clock.advance(2.0))
        assert isinstance(future.result(0), _outcomes.Unknown)

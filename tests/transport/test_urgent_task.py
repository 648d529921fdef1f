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


class RecordingPeers:
    """Records messages to peers, or refuses them as a full mailbox does."""

    def __init__(self) -> None:
        """Creates a mailbox that accepts every message."""
        self.is_full = False
        self.sent: list[Any] = []

    def tell(self, message: object) -> None:
        """Records a message; raises MailboxFullError if set to be full."""
        if self.is_full:
            raise _task.MailboxFullError("peers", 1)
        self.sent.append(message)


class DiscardedMetrics:
    """Metrics that discard every value."""

    def count(self, name: str, value: float = 1, **labels: str) -> None:
        """Discards a count."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Discards an observation."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Discards a gauge value."""


class UrgentTaskRig:
    """An urgent task whose only executor is owned by a peer."""

    def __init__(self) -> None:
        """Creates a ready task without a thread; tests call it directly."""
        self.clock = fakes.FakeClock()
        self.peers = RecordingPeers()
        self.task = _urgent_task.UrgentTask(
            instance=urgent_builders.OWNER_INSTANCE,
            clock=self.clock,
            source=random.Random(1),
            seconds_until_open=_admission.always_open,
            calls_pool=futures.ThreadPoolExecutor(1),
            peers=self.peers,
            send_to_state=lambda _action: None,
            metrics=DiscardedMetrics(),
        )
        remote = urgent_builders.executor_view(
            "e1", owner=urgent_builders.PEER_INSTANCE
        )
        self.task.handle(urgent_builders.fleet_view(remote), self.clock.now())

    def submit_request(self) -> "futures.Future[_outcomes.Outcome]":
        """Submits one request and returns the future of its outcome."""
        reply: futures.Future[_outcomes.Outcome] = futures.Future()
        message = _urgent_task.UrgentRequestSubmitted(
            urgent_builders.request(), reply
        )
        self.task.handle(message, self.clock.now())
        return reply


class TestUrgentTask:
    """Each request's future is resolved once, with that request's outcome."""

    def test_reply_of_the_owner(self) -> None:
        rig = UrgentTaskRig()
        future = rig.submit_request()
        forward = rig.peers.sent[-1].message
        outcome = _outcomes.Completed(200, b"r1", "", "e1")
        reply = _messages.ForwardReply(
            "r1", urgent_builders.PEER_INSTANCE, outcome, forward.attempt
        )
        for _ in range(2):
            rig.task.handle(_events.PeerReceived(reply), rig.clock.now())
        assert future.result(0) == outcome

    def test_same_request_id_in_flight(self) -> None:
        rig = UrgentTaskRig()
        first = rig.submit_request()
        second = rig.submit_request().result(0)
        assert not first.done()
        assert isinstance(second, _outcomes.NotRun)
        assert second.reason is _outcomes.Reason.DUPLICATE

    def test_not_sent_to_the_owner(self) -> None:
        rig = UrgentTaskRig()
        future = rig.submit_request()
        dropped = rig.peers.sent[-1]
        event = _events.SendDropped(dropped.instance, dropped.message)
        rig.task.handle(event, rig.clock.now())
        outcome = future.result(0)
        assert isinstance(outcome, _outcomes.NotRun)
        assert outcome.step is _outcomes.Step.FORWARD

    def test_peer_links_are_full(self) -> None:
        rig = UrgentTaskRig()
        rig.peers.is_full = True
        assert isinstance(rig.submit_request().result(0), _outcomes.NotRun)

    def test_no_answer_by_the_deadline(self) -> None:
        rig = UrgentTaskRig()
        future = rig.submit_request()
        rig.task.tick(rig.clock.advance(2.0))
        assert isinstance(future.result(0), _outcomes.Unknown)

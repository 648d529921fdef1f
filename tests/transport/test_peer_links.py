"""Tests of the connections between instances, over real TCP."""

from collections.abc import Iterator
from concurrent import futures
import queue
import random
import socket

import pytest

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.protocol import _address
from basiljunction.protocol import _codec
from basiljunction.transport import _clock
from basiljunction.transport import _framing
from basiljunction.transport import _peer_connections
from basiljunction.transport import _peer_links
from basiljunction.transport import _state_messages
import fakes

MAX_WAIT_S = 10.0


class MessageSink:
    """Queues the messages that it receives."""

    def __init__(self) -> None:
        self.received: queue.Queue[object] = queue.Queue()

    def tell(self, message: object) -> None:
        self.received.put(message)

    def next_message(self) -> object:
        """Waits for the next message and returns it."""
        return self.received.get(timeout=MAX_WAIT_S)


class RunningPeer:
    """Runs the peer links of one instance on a thread of their own."""

    def __init__(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        self.name = name
        self.state = MessageSink()
        self.urgent = MessageSink()
        self.links = _peer_links.PeerLinks(
            instance=name,
            listen="127.0.0.1:0",
            clock=_clock.SystemClock(),
            rng=random.Random(1),
            seeds=seeds,
        )
        self.links.set_recipients(state=self.state, urgent=self.urgent)
        self._pool = futures.ThreadPoolExecutor(1)
        self._done = self.links.start(self._pool)

    def stop(self) -> None:
        """Stops the links and waits for their thread to end."""
        self.links.stop()
        self._done.result(MAX_WAIT_S)
        self._pool.shutdown()

    def set_peer_addresses(self, *peers: "RunningPeer") -> None:
        """Replaces the addresses that this instance has of its peers."""
        addresses = {peer.name: peer.links.address for peer in peers}
        self.links.tell(_state_messages.PeerAddressesChanged(addresses))

    def send(self, peer: str, message: _messages.PeerMessage) -> None:
        """Sends a message to the peer with this name or address."""
        self.links.tell(_events.SendPeer(peer, message))


@pytest.fixture
def pair() -> Iterator[tuple[RunningPeer, RunningPeer]]:
    """Provides two running instances, "a" and "b", without addresses."""
    peers = (RunningPeer("a"), RunningPeer("b"))
    yield peers
    for peer in peers:
        peer.stop()


def _make_load(sender: str) -> _messages.OwnerLoad:
    """Returns a load report, which is a message to the urgent task."""
    return _messages.OwnerLoad(sender, 1, 2, 0.5)


class TestRouting:
    """Messages reach the right task; a false sender is disconnected."""

    def test_by_kind(self, pair: tuple[RunningPeer, RunningPeer]) -> None:
        a, b = pair
        a.set_peer_addresses(b)
        wanted = _messages.EntriesWanted("a", 7)
        a.send("b", wanted)
        a.send("b", _make_load("a"))
        assert b.state.next_message() == _events.PeerReceived(wanted)
        assert b.urgent.next_message() == _events.PeerReceived(_make_load("a"))

    def test_answer_to_a_peer_that_has_not_joined(
        self, pair: tuple[RunningPeer, RunningPeer]
    ) -> None:
        _, b = pair
        newcomer = RunningPeer("new", seeds=(b.links.address,))
        try:
            newcomer.send(b.links.address, _messages.StateWanted("new", 0))
            b.state.next_message()
            b.send("new", _make_load("b"))
            assert newcomer.urgent.next_message() == _events.PeerReceived(
                _make_load("b")
            )
        finally:
            newcomer.stop()

    def test_unknown_peer_is_told_at_once(
        self, pair: tuple[RunningPeer, RunningPeer]
    ) -> None:
        a, _ = pair
        a.send("nobody", _make_load("a"))
        dropped = a.urgent.next_message()
        assert dropped == _events.SendDropped("nobody", _make_load("a"))

    def test_false_sender_is_cut_off(
        self, pair: tuple[RunningPeer, RunningPeer]
    ) -> None:
        _, b = pair
        address = _address.split_host_and_port(b.links.address)
        with socket.create_connection(address, MAX_WAIT_S) as connection:
            hello = _messages.Hello("mallory", "127.0.0.1:1")
            for message in (hello, _make_load("a")):
                payload = _codec.encode_message(message)
                connection.sendall(_framing.encode_frame(payload))
            connection.settimeout(MAX_WAIT_S)
            assert connection.recv(1) == b""
        assert b.urgent.received.empty()


class TestReconnect:
    """Messages reach a peer again after its restart."""

    def test_after_restart(self, pair: tuple[RunningPeer, RunningPeer]) -> None:
        a, _ = pair
        first = RunningPeer("c")
        a.set_peer_addresses(first)
        a.send("c", _make_load("a"))
        first.urgent.next_message()
        first.stop()
        second = RunningPeer("c")
        try:
            a.set_peer_addresses(second)
            a.send("c", _make_load("a"))
            assert second.urgent.next_message() == _events.PeerReceived(
                _make_load("a")
            )
        finally:
            second.stop()


class TestQueue:
    """A full queue drops heartbeats first; queued messages expire."""

    def _make_link(
        self, dropped: list[_messages.PeerMessage]
    ) -> _peer_connections.OutgoingLink:
        """Returns a link to "b" that adds dropped messages to a list."""
        return _peer_connections.OutgoingLink(
            instance="b",
            address="127.0.0.1:1",
            hello=_messages.Hello("a", "127.0.0.1:2"),
            rng=random.Random(1),
            on_dropped=lambda _instance, message: dropped.append(message),
            on_closing=lambda _socket: None,
        )

    def test_heartbeats_go_first(self) -> None:
        dropped: list[_messages.PeerMessage] = []
        link = self._make_link(dropped)
        link.enqueue(_messages.Heartbeat("a", 1, 1.0, 0), 0.0)
        for _ in range(_peer_connections.MAX_QUEUED_MESSAGES):
            link.enqueue(_make_load("a"), 0.0)
        assert dropped == []
        link.enqueue(_make_load("a"), 0.0)
        assert dropped == [_make_load("a")]

    def test_old_message(self) -> None:
        dropped: list[_messages.PeerMessage] = []
        link = self._make_link(dropped)
        clock = fakes.FakeClock()
        link.enqueue(_make_load("a"), clock.now().boot_s)
        later = clock.advance(_peer_connections.MAX_QUEUED_S + 0.1)
        link.check_timeouts(later.boot_s)
        assert dropped == [_make_load("a")]
        link.close(later.boot_s)


class TestFraming:
    """Frames are decoded whole, however their bytes are split."""

    def test_byte_by_byte(self) -> None:
        payloads = [b"", b"one", b"x" * 1000]
        data = b"".join(_framing.encode_frame(each) for each in payloads)
        reader = _framing.FrameReader()
        received = []
        for index in range(len(data)):
            received += reader.feed(data[index : index + 1])
        assert received == payloads

    def test_too_long(self) -> None:
        with pytest.raises(_framing.FrameTooLongError):
            _framing.FrameReader().feed(b"\xff\xff\xff\xff")

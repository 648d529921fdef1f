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

WITHIN_S = 10.0


class Sink:
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.told: queue.Queue[object] = queue.Queue()

    def tell(self, message: object) -> None:
        self.told.put(message)

    def next(self) -> object:
        return self.told.get(timeout=WITHIN_S)


class Peer:
    """Links of one instance, running."""

    def __init__(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        self.name = name
        self.state = Sink()
        self.urgent = Sink()
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
        self.links.stop()
        self._done.result(WITHIN_S)
        self._pool.shutdown()

    def knows(self, *peers: "Peer") -> None:
        addresses = {peer.name: peer.links.address for peer in peers}
        self.links.tell(_state_messages.PeerAddressesChanged(addresses))

    def send(self, peer: str, message: _messages.PeerMessage) -> None:
        self.links.tell(_events.SendPeer(peer, message))


@pytest.fixture
def pair() -> Iterator[tuple[Peer, Peer]]:
    peers = (Peer("a"), Peer("b"))
    yield peers
    for peer in peers:
        peer.stop()


def _load(sender: str) -> _messages.OwnerLoad:
    return _messages.OwnerLoad(sender, 1, 2, 0.5)


class TestRouting:
    """Messages reach the task that they are for, from whom they name."""

    def test_by_kind(self, pair: tuple[Peer, Peer]) -> None:
        a, b = pair
        a.knows(b)
        wanted = _messages.EntriesWanted("a", 7)
        a.send("b", wanted)
        a.send("b", _load("a"))
        assert b.state.next() == _events.PeerReceived(wanted)
        assert b.urgent.next() == _events.PeerReceived(_load("a"))

    def test_answer_to_a_peer_that_has_not_joined(
        self, pair: tuple[Peer, Peer]
    ) -> None:
        _, b = pair
        newcomer = Peer("new", seeds=(b.links.address,))
        try:
            newcomer.send(b.links.address, _messages.StateWanted("new", 0))
            b.state.next()
            b.send("new", _load("b"))
            assert newcomer.urgent.next() == _events.PeerReceived(_load("b"))
        finally:
            newcomer.stop()

    def test_unknown_peer_is_told_at_once(
        self, pair: tuple[Peer, Peer]
    ) -> None:
        a, _ = pair
        a.send("nobody", _load("a"))
        dropped = a.urgent.next()
        assert dropped == _events.SendDropped("nobody", _load("a"))

    def test_false_sender_is_cut_off(self, pair: tuple[Peer, Peer]) -> None:
        _, b = pair
        address = _address.split_host_and_port(b.links.address)
        with socket.create_connection(address, WITHIN_S) as connection:
            hello = _messages.Hello("mallory", "127.0.0.1:1")
            for message in (hello, _load("a")):
                payload = _codec.encode_message(message)
                connection.sendall(_framing.encode_frame(payload))
            connection.settimeout(WITHIN_S)
            assert connection.recv(1) == b""
        assert b.urgent.told.empty()


class TestReconnect:
    """A peer that comes back is reached again."""

    def test_after_restart(self, pair: tuple[Peer, Peer]) -> None:
        a, _ = pair
        first = Peer("c")
        a.knows(first)
        a.send("c", _load("a"))
        first.urgent.next()
        first.stop()
        second = Peer("c")
        try:
            a.knows(second)
            a.send("c", _load("a"))
            assert second.urgent.next() == _events.PeerReceived(_load("a"))
        finally:
            second.stop()


class TestQueue:
    """A full queue drops heartbeats first; an old message is not sent."""

    def _link(
        self, dropped: list[_messages.PeerMessage]
    ) -> _peer_connections.OutgoingLink:
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
        link = self._link(dropped)
        link.enqueue(_messages.Heartbeat("a", 1, 1.0, 0), 0.0)
        for _ in range(_peer_connections.MAX_QUEUED_MESSAGES):
            link.enqueue(_load("a"), 0.0)
        assert dropped == []
        link.enqueue(_load("a"), 0.0)
        assert dropped == [_load("a")]

    def test_old_message(self) -> None:
        dropped: list[_messages.PeerMessage] = []
        link = self._link(dropped)
        clock = fakes.FakeClock()
        link.enqueue(_load("a"), clock.now().boot_s)
        later = clock.advance(_peer_connections.MAX_QUEUED_S + 0.1)
        link.check_timeouts(later.boot_s)
        assert dropped == [_load("a")]
        link.close(later.boot_s)


class TestFraming:
    """Messages come out whole, however their bytes arrive."""

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

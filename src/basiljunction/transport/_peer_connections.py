"""TCP connections between instances; each carries messages one way."""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import random
import socket

from basiljunction.coordination import _messages
from basiljunction.protocol import _address
from basiljunction.protocol import _codec
from basiljunction.protocol import _errors
from basiljunction.transport import _backoff
from basiljunction.transport import _framing

MAX_QUEUED_MESSAGES = 2000
"""Limit of messages queued for one peer."""

MAX_QUEUED_S = 1.0
"""Age, in seconds, from which a queued message is dropped unsent."""

_CONNECT_TIMEOUT_S = 1.0
"""Longest time to connect to a peer, in seconds."""

_SEND_BUFFER_BYTES = 256 * 1024
"""Encoded bytes to send after which no more messages are encoded."""

_MAX_RECEIVE_BYTES = 256 * 1024
"""Largest number of bytes to read from a socket at once."""


def open_socket(address: str) -> socket.socket:
    """Returns an unconnected, non-blocking TCP socket for an IP address."""
    family = socket.AF_INET6 if address.startswith("[") else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    opened.setblocking(False)
    return opened


class LinkState(enum.Enum):
    """State of an outgoing connection."""

    CLOSED = "closed"
    CONNECTING = "connecting"
    OPEN = "open"


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedMessage:
    """A message to a peer and the boot time at which it was queued."""

    message: _messages.PeerMessage
    queued_s: float


class OutgoingLink:
    """The connection that sends to one peer; reconnects after a failure.

    Args:
        instance: Name of the peer.
        address: ``ip:port`` that the peer listens on.
        hello: First message on each connection; names this instance.
        rng: Random source of the reconnect jitter.
        on_dropped: Called with the peer's name and each message that was
            certainly not sent.
        on_closing: Called with a socket before it is closed.
    """

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        hello: _messages.Hello,
        rng: random.Random,
        on_dropped: Callable[[str, _messages.PeerMessage], None],
        on_closing: Callable[[socket.socket], None],
    ) -> None:
        self.instance = instance
        self.address = address
        self.state = LinkState.CLOSED
        self.socket: socket.socket | None = None
        self.bytes_sent = 0
        self._hello = hello
        self._on_dropped = on_dropped
        self._on_closing = on_closing
        self._backoff = _backoff.Backoff(rng=rng, initial_s=0.05, max_s=2.0)
        self._queue: collections.deque[_QueuedMessage] = collections.deque()
        self._unsent = bytearray()
        self._next_connect_s = float("-inf")
        self._connect_deadline_s = 0.0

    @property
    def wants_write(self) -> bool:
        """Whether the socket has data to send or is connecting."""
        if self.state is LinkState.CONNECTING:
            return True
        if self.state is LinkState.CLOSED:
            return False
        return bool(self._unsent or self._queue)

    def enqueue(self, message: _messages.PeerMessage, now_s: float) -> None:
        """Queues a message.

        A full queue drops its oldest heartbeat or voucher, or else the new
        message.
        """
        if (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            and not self._drop_heartbeat()
        ):
            self._on_dropped(self.instance, message)
            return
        self._queue.append(_QueuedMessage(message, now_s))

    def check_timeouts(self, now_s: float) -> None:
        """Drops expired messages, and starts or times out a connect."""
        while self._queue and now_s - self._queue[0].queued_s > MAX_QUEUED_S:
            self._on_dropped(self.instance, self._queue.popleft().message)
        if self.state is LinkState.CLOSED and now_s >= self._next_connect_s:
            self._connect(now_s)
            return
        late = now_s >= self._connect_deadline_s
        if late and self.state is LinkState.CONNECTING:
            self.close(now_s)

    def on_writable(self, now_s: float) -> None:
        """Handles a writable socket: finishes a connect and sends messages."""
        if self.socket is None:
            return
        if self.state is LinkState.CONNECTING:
            error = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self.close(now_s)
                return
            self._on_connected()
        self._send(now_s)

    def on_readable(self, now_s: float) -> None:
        """Handles a readable socket; closes it once the peer has closed.

        Peers send nothing on this connection, so received data is ignored.
        """
        if self.socket is None:
            return
        with contextlib.suppress(BlockingIOError, OSError):
            if self.socket.recv(1024):
                return
        self.close(now_s)

    def close(self, now_s: float) -> None:
        """Closes the connection and schedules the next connect attempt."""
        if self.socket is not None:
            self._on_closing(self.socket)
            self.socket.close()
        self.socket = None
        self.state = LinkState.CLOSED
        self._unsent.clear()
        self._next_connect_s = now_s + self._backoff.next_wait_s()

    def _connect(self, now_s: float) -> None:
        """Starts a non-blocking connect to the peer."""
        self.socket = open_socket(self.address)
        self.state = LinkState.CONNECTING
        self._connect_deadline_s = now_s + _CONNECT_TIMEOUT_S
        try:
            self.socket.connect(_address.split_host_and_port(self.address))
        except BlockingIOError:
            return
        except OSError:
            self.close(now_s)
            return
        self._on_connected()

    def _on_connected(self) -> None:
        """Marks the connection open and queues the hello message."""
        assert self.socket is not None  # noqa: S101 - set while connecting
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.state = LinkState.OPEN
        self._backoff.reset()
        self._unsent += _framing.encode_frame(
            _codec.encode_message(self._hello)
        )

    def _send(self, now_s: float) -> None:
        """Sends as many encoded bytes as the socket accepts."""
        assert self.socket is not None  # noqa: S101 - set while open
        self._encode_queued()
        if not self._unsent:
            return
        try:
            sent = self.socket.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self.close(now_s)
            return
        self.bytes_sent += sent
        del self._unsent[:sent]

    def _encode_queued(self) -> None:
        """Encodes queued messages until the send buffer is full."""
        while self._queue and len(self._unsent) < _SEND_BUFFER_BYTES:
            message = self._queue.popleft().message
            self._unsent += _framing.encode_frame(
                _codec.encode_message(message)
            )

    def _drop_heartbeat(self) -> bool:
        """Drops the oldest queued heartbeat or voucher, if there is one."""
        for index, queued in enumerate(self._queue):
            if isinstance(
                queued.message, (_messages.Heartbeat, _messages.Voucher)
            ):
                del self._queue[index]
                return True
        return False


class IncomingLink:
    """An accepted connection that receives messages from one peer.

    Args:
        accepted: The accepted, non-blocking socket.
    """

    def __init__(self, accepted: socket.socket) -> None:
        self.socket = accepted
        self.hello: _messages.Hello | None = None
        self.bytes_received = 0
        self._reader = _framing.FrameReader()

    def receive_messages(self) -> list[_messages.PeerMessage] | None:
        """Reads the socket and returns the complete messages.

        The first message must be a hello, and all others must name the same
        sender.

        Returns:
            The messages; None if the connection has to be closed, because the
            peer closed it or violated the protocol.
        """
        try:
            data = self.socket.recv(_MAX_RECEIVE_BYTES)
        except BlockingIOError:
            return []
        except OSError:
            return None
        if not data:
            return None
        self.bytes_received += len(data)
        try:
            payloads = self._reader.feed(data)
            messages = [_codec.decode_message(each) for each in payloads]
        except (_framing.FrameTooLongError, _errors.DecodeError):
            return None
        return messages if self._have_one_sender(messages) else None

    def _have_one_sender(self, messages: list[_messages.PeerMessage]) -> bool:
        """Returns whether all messages are from the sender of the hello."""
        for message in messages:
            if self.hello is None:
                if not isinstance(message, _messages.Hello):
                    return False
                self.hello = message
            elif message.sender != self.hello.sender:
                return False
        return True

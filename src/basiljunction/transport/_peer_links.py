"""The task that runs all connections between instances."""

import collections
from concurrent import futures
import contextlib
import random
import selectors
import socket

import structlog

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.protocol import _address
from basiljunction.transport import _clock
from basiljunction.transport import _peer_connections
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

_MAX_SELECT_WAIT_S = 0.2
"""Longest wait for socket events before connections are updated, in seconds."""

_LISTEN_BACKLOG = 128
"""Limit of connections that wait to be accepted."""

_MAX_MAILBOX_MESSAGES = 20_000
"""Limit of messages that wait in this task's mailbox."""

_MAX_LEARNED_ADDRESSES = 64
"""Limit of remembered addresses of peers that may not be members yet."""

_URGENT_MESSAGE_TYPES = (
    _messages.ForwardRequest,
    _messages.ForwardReply,
    _messages.OwnerLoad,
    _messages.LimitDemand,
    _messages.LimitGrant,
)
"""Messages that go to the urgent task; all others go to the state task."""

_log = structlog.get_logger()


class PeerLinks:
    """Sends messages to peers and receives theirs, on one thread.

    Its mailbox accepts ``SendPeer`` and ``AddressesChanged``.

    Args:
        instance: Name of this instance.
        listen: ``ip:port`` to listen on; port 0 for any free port.
        clock: Source of the current time.
        rng: Random source of the reconnect jitter.
        seeds: Addresses of peers whose names are not known yet; the address
            serves as the name.
    """

    def __init__(
        self,
        *,
        instance: str,
        listen: str,
        clock: _clock.Clock,
        rng: random.Random,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.name = "peer-links"
        self._clock = clock
        self._rng = rng
        self._listener = _peer_connections.open_socket(listen)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(_address.split_host_and_port(listen))
        self._listener.listen(_LISTEN_BACKLOG)
        host = listen.rpartition(":")[0]
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._hello = _messages.Hello(instance, self.address)
        self._seeds = tuple(each for each in seeds if each != self.address)
        self._mailbox: collections.deque[object] = collections.deque()
        self._is_woken = False
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._wake_sender.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._outgoing_by_peer: dict[str, _peer_connections.OutgoingLink] = {}
        self._incoming: set[_peer_connections.IncomingLink] = set()
        self._learned_address_by_peer: dict[str, str] = {}
        self._address_by_peer: dict[str, str] = {}
        self._closed_bytes = [0, 0]
        self._state: _state_messages.MessageReceiver | None = None
        self._urgent: _state_messages.MessageReceiver | None = None

    @property
    def bytes_sent(self) -> int:
        """Bytes sent to peers since the start, on all connections."""
        links = list(self._outgoing_by_peer.values())
        return self._closed_bytes[0] + sum(each.bytes_sent for each in links)

    @property
    def bytes_received(self) -> int:
        """Bytes received from peers since the start, on all connections."""
        links = list(self._incoming)
        return self._closed_bytes[1] + sum(
            each.bytes_received for each in links
        )

    def set_recipients(
        self,
        *,
        state: _state_messages.MessageReceiver,
        urgent: _state_messages.MessageReceiver,
    ) -> None:
        """Sets the tasks that receive the peers' messages.

        Args:
            state: Task for all messages that the urgent task does not get.
            urgent: Task for messages about urgent requests and limits.
        """
        self._state = state
        self._urgent = urgent

    def tell(self, message: object) -> None:
        """Puts a message into the mailbox and wakes the task's thread.

        Raises:
            MailboxFullError: The mailbox is full.
        """
        if len(self._mailbox) >= _MAX_MAILBOX_MESSAGES:
            raise _task.MailboxFullError(self.name, _MAX_MAILBOX_MESSAGES)
        self._mailbox.append(message)
        if not self._is_woken:
            self._is_woken = True
            with contextlib.suppress(BlockingIOError, OSError):
                self._wake_sender.send(b"\0")

    def start(self, pool: futures.Executor) -> "futures.Future[None]":
        """Runs the task on a thread of the pool until it is stopped."""
        return pool.submit(self._run)

    def stop(self) -> None:
        """Stops the task after the messages already in its mailbox."""
        self.tell(_task.StopRequested())

    def _run(self) -> None:
        """Handles socket events and mailbox messages until stopped."""
        self._selector.register(
            self._wake_receiver, selectors.EVENT_READ, self._on_wake
        )
        self._selector.register(
            self._listener, selectors.EVENT_READ, self._on_accept
        )
        self._update_link_set()
        running = True
        while running:
            for key, events in self._selector.select(_MAX_SELECT_WAIT_S):
                self._handle_io_event(key, events)
            running = self._drain_mailbox()
            self._update_connections()
        self._close()

    def _handle_io_event(self, key: selectors.SelectorKey, events: int) -> None:
        """Calls a socket's event handler and logs any exception."""
        try:
            key.data(events)
        except Exception:  # noqa: BLE001 - one peer must not end the task
            _log.exception("peer-links.error")

    def _on_wake(self, _events_mask: int) -> None:
        """Discards the bytes that woke the selector."""
        # Reset before the mailbox is emptied, so that no later wake is lost.
        self._is_woken = False
        with contextlib.suppress(BlockingIOError):
            self._wake_receiver.recv(65536)

    def _on_accept(self, _events_mask: int) -> None:
        """Accepts a peer's connection and registers it for reading."""
        with contextlib.suppress(BlockingIOError, OSError):
            accepted, _ = self._listener.accept()
            accepted.setblocking(False)
            link = _peer_connections.IncomingLink(accepted)
            self._incoming.add(link)
            self._selector.register(
                accepted,
                selectors.EVENT_READ,
                lambda _mask: self._on_incoming(link),
            )

    def _on_incoming(self, link: _peer_connections.IncomingLink) -> None:
        """Forwards the messages of a readable connection, or closes it."""
        messages = link.receive_messages()
        if messages is None:
            self._selector.unregister(link.socket)
            link.socket.close()
            self._incoming.discard(link)
            self._closed_bytes[1] += link.bytes_received
            return
        for message in messages:
            self._route(message)

    def _route(self, message: _messages.PeerMessage) -> None:
        """Forwards a peer's message to the task that handles its type."""
        if isinstance(message, _messages.Hello):
            self._remember_address(message)
            return
        target = (
            self._urgent
            if isinstance(message, _URGENT_MESSAGE_TYPES)
            else self._state
        )
        if target is None:
            return
        try:
            target.tell(_events.PeerReceived(message))
        except _task.MailboxFullError:
            _log.warning("peer-links.full", message=type(message).__name__)

    def _drain_mailbox(self) -> bool:
        """Handles all mailbox messages; returns False on a stop message."""
        now_s = self._clock.now().boot_s
        while self._mailbox:
            message = self._mailbox.popleft()
            match message:
                case _events.SendPeer():
                    self._enqueue(message, now_s)
                case _state_messages.PeerAddressesChanged():
                    self._address_by_peer = message.address_by_instance
                    self._update_link_set()
                case _task.StopRequested():
                    return False
        return True

    def _enqueue(self, action: _events.SendPeer, now_s: float) -> None:
        """Queues a message on its peer's connection, or drops it."""
        link = self._outgoing_by_peer.get(action.instance)
        if link is None:
            self._report_dropped(action.instance, action.message)
            return
        link.enqueue(action.message, now_s)

    def _report_dropped(
        self, instance: str, message: _messages.PeerMessage
    ) -> None:
        """Reports an unsent message to the urgent task if it is one of its."""
        if (
            isinstance(message, _URGENT_MESSAGE_TYPES)
            and self._urgent is not None
        ):
            self._urgent.tell(_events.SendDropped(instance, message))

    def _update_connections(self) -> None:
        """Applies timeouts and sends queued messages on all connections."""
        now_s = self._clock.now().boot_s
        for link in self._outgoing_by_peer.values():
            link.check_timeouts(now_s)
            if link.state is _peer_connections.LinkState.OPEN:
                link.on_writable(now_s)
            self._update_selector(link)

    def _update_selector(self, link: _peer_connections.OutgoingLink) -> None:
        """Registers the socket events that a connection needs now."""
        if link.socket is None:
            return
        mask = selectors.EVENT_READ
        if link.wants_write:
            mask |= selectors.EVENT_WRITE
        key = self._selector.get_map().get(link.socket)
        if key is None:
            self._selector.register(
                link.socket,
                mask,
                lambda events: self._on_outgoing(link, events),
            )
        elif key.events != mask:
            self._selector.modify(link.socket, mask, key.data)

    def _unregister_socket(self, closing: socket.socket) -> None:
        """Removes a socket from the selector, if it is registered."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(closing)

    def _on_outgoing(
        self, link: _peer_connections.OutgoingLink, events: int
    ) -> None:
        """Handles socket events of an outgoing connection."""
        now_s = self._clock.now().boot_s
        if events & selectors.EVENT_WRITE:
            link.on_writable(now_s)
        if events & selectors.EVENT_READ:
            link.on_readable(now_s)

    def _update_link_set(self) -> None:
        """Adds links to new peers and closes those to removed or moved ones."""
        known = set(self._address_by_peer.values())
        wanted = {each: each for each in self._seeds if each not in known}
        wanted |= self._learned_address_by_peer
        wanted |= self._address_by_peer
        wanted.pop(self._hello.sender, None)
        now_s = self._clock.now().boot_s
        for peer, link in list(self._outgoing_by_peer.items()):
            if wanted.get(peer) != link.address:
                link.close(now_s)
                self._closed_bytes[0] += link.bytes_sent
                del self._outgoing_by_peer[peer]
        for peer, address in wanted.items():
            if peer not in self._outgoing_by_peer:
                self._outgoing_by_peer[peer] = _peer_connections.OutgoingLink(
                    instance=peer,
                    address=address,
                    hello=self._hello,
                    rng=self._rng,
                    on_dropped=self._report_dropped,
                    on_closing=self._unregister_socket,
                )

    def _remember_address(self, hello: _messages.Hello) -> None:
        """Remembers the address of a peer that may not be a member yet."""
        self._learned_address_by_peer.pop(hello.sender, None)
        self._learned_address_by_peer[hello.sender] = hello.peer_address
        while len(self._learned_address_by_peer) > _MAX_LEARNED_ADDRESSES:
            oldest = next(iter(self._learned_address_by_peer))
            del self._learned_address_by_peer[oldest]
        self._update_link_set()

    def _close(self) -> None:
        """Closes all sockets and the selector."""
        now_s = self._clock.now().boot_s
        for outgoing in self._outgoing_by_peer.values():
            outgoing.close(now_s)
        for incoming in self._incoming:
            incoming.socket.close()
        self._selector.close()
        self._listener.close()
        self._wake_receiver.close()
        self._wake_sender.close()

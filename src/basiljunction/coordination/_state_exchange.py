"""Transfers the folded state to a new instance that finds no snapshot."""

from collections.abc import Callable
import dataclasses

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.state import _system
from basiljunction.state import _time

CHUNK_BYTES = 64 * 1024
"""Size of a chunk of the encoded state, in bytes."""

ENCODED_STATE_TTL_S = 30.0
"""How long an encoded state is kept to serve its chunks, in seconds."""

CHUNK_TIMEOUT_S = 1.0
"""Time without a chunk after which another peer is asked, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedState:
    """The whole folded state as received from a peer.

    Attributes:
        sender: The peer that sent it.
        next_offset: Offset of the next log entry to fold into it.
        payload: The encoded state.
    """

    sender: str
    next_offset: int
    payload: bytes


class StateProvider:
    """Serves the encoded folded state to peers, chunk by chunk.

    Args:
        instance: Name of this instance.
        encode: Encodes a folded state.
    """

    def __init__(
        self, instance: str, encode: Callable[[_system.SystemState], bytes]
    ) -> None:
        self._instance = instance
        self._encode = encode
        self._payload = b""
        self._next_offset = -1
        self._encoded_s = float("-inf")

    def answer_request(
        self,
        state: _system.SystemState,
        message: _messages.StateWanted,
        now: _time.Now,
    ) -> list[_events.SendPeer]:
        """Returns a message with the requested chunk, or none past the end.

        A request for the first chunk encodes the state anew if the stored
        encoding is older than ``ENCODED_STATE_TTL_S``.
        """
        is_old = now.boot_s - self._encoded_s > ENCODED_STATE_TTL_S
        if message.chunk_index == 0 and is_old:
            self._payload = self._encode(state)
            self._next_offset = state.next_offset
            self._encoded_s = now.boot_s
        begin = message.chunk_index * CHUNK_BYTES
        if begin >= len(self._payload):
            return []
        chunk = _messages.StateChunk(
            sender=self._instance,
            next_offset=self._next_offset,
            index=message.chunk_index,
            count=-(-len(self._payload) // CHUNK_BYTES),
            payload=self._payload[begin : begin + CHUNK_BYTES],
        )
        return [_events.SendPeer(message.sender, chunk)]

    def free_expired_state(self, now: _time.Now) -> None:
        """Frees the encoded state once it is older than the time to keep it."""
        if now.boot_s - self._encoded_s > ENCODED_STATE_TTL_S:
            self._payload = b""


class StateRequester:
    """Requests the folded state from one peer after another, in chunks.

    Args:
        instance: Name of this instance.
        seeds: Addresses of peers whose names are not known yet.
    """

    def __init__(self, instance: str, seeds: tuple[str, ...]) -> None:
        self._instance = instance
        self._seeds = seeds
        self._requested_peer_count = 0
        self._target = ""
        self._sender = ""
        self._next_offset = -1
        self._chunks: list[bytes] = []
        self._next_ask_s = float("-inf")

    def request_state(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[_events.SendPeer]:
        """Returns a request to the next peer if the previous one timed out."""
        if now.boot_s < self._next_ask_s:
            return []
        peers = [*self._seeds, *sorted(state.member_by_instance)]
        targets = [peer for peer in peers if peer != self._instance]
        if not targets:
            return []
        self._target = targets[self._requested_peer_count % len(targets)]
        self._requested_peer_count += 1
        self._sender = ""
        self._chunks = []
        return [self._request_next_chunk(now)]

    def add_chunk(
        self, message: _messages.StateChunk, now: _time.Now
    ) -> tuple[list[_events.SendPeer], ReceivedState | None]:
        """Adds a received chunk.

        Returns:
            The request for the next chunk, if any, and the state once it is
            complete. A chunk that is not the next one is ignored.
        """
        if message.index == 0:
            self._sender = message.sender
            self._next_offset = message.next_offset
            self._chunks = []
        if not self._is_expected_chunk(message):
            return [], None
        self._chunks.append(message.payload)
        if len(self._chunks) < message.count:
            return [self._request_next_chunk(now)], None
        payload = b"".join(self._chunks)
        self._chunks = []
        return [], ReceivedState(message.sender, message.next_offset, payload)

    def _is_expected_chunk(self, message: _messages.StateChunk) -> bool:
        """Returns whether a chunk continues the state being received."""
        return (
            message.sender == self._sender
            and message.next_offset == self._next_offset
            and message.index == len(self._chunks)
        )

    def _request_next_chunk(self, now: _time.Now) -> _events.SendPeer:
        """Returns a request for the next chunk and restarts the timeout."""
        self._next_ask_s = now.boot_s + CHUNK_TIMEOUT_S
        wanted = _messages.StateWanted(self._instance, len(self._chunks))
        return _events.SendPeer(self._target, wanted)

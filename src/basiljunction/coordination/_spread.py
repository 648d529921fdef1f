"""Exchanges the newest log entries between instances.

An instance whose reads of the log are slow requests entries from a peer that
reported a higher offset. No requests are sent while all instances read the log
at about the same time.
"""

import collections
from collections.abc import Mapping

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.state import _time

MAX_CACHED_BYTES = 4 * 1024 * 1024
"""Size of the newest entries that are kept for peers, in bytes."""

MAX_PUSHED_BYTES = 256 * 1024
"""Size of the entries in one message, in bytes; one entry may exceed it."""

MAX_LAG_S = 0.1
"""Time behind a peer after which entries are requested from it, in seconds."""

PEER_RETRY_S = 0.5
"""Time without progress after which another peer is asked, in seconds."""


class LogEntryExchange:
    """Caches the newest log entries for peers and requests missing ones.

    Args:
        instance: Name of this instance.
        max_lag_s: Time behind a peer after which entries are requested from it,
            in seconds.
    """

    def __init__(self, instance: str, *, max_lag_s: float = MAX_LAG_S) -> None:
        self._instance = instance
        self._behind_s = max_lag_s
        self._payloads: collections.deque[bytes] = collections.deque()
        self._kept_bytes = 0
        self._next_offset = 0
        self._behind_offset = -1
        self._next_ask_s = float("-inf")
        self._request_count = 0

    def cache_entries(
        self, first_offset: int, payloads: tuple[bytes, ...]
    ) -> None:
        """Caches encoded entries that were folded.

        Args:
            first_offset: Offset of the first entry.
            payloads: Encoded entries in offset order, without gaps.
        """
        if first_offset > self._next_offset:
            self._payloads.clear()
            self._kept_bytes = 0
            self._next_offset = first_offset
        for payload in payloads[self._next_offset - first_offset :]:
            self._payloads.append(payload)
            self._kept_bytes += len(payload)
            self._next_offset += 1
        while self._kept_bytes > MAX_CACHED_BYTES:
            self._kept_bytes -= len(self._payloads.popleft())

    def answer_request(
        self, message: _messages.EntriesWanted
    ) -> list[_events.SendPeer]:
        """Returns a message with the requested entries, if they are cached."""
        first = self._next_offset - len(self._payloads)
        if not first <= message.from_offset < self._next_offset:
            return []
        chosen: list[bytes] = []
        size = 0
        for index in range(message.from_offset - first, len(self._payloads)):
            size += len(self._payloads[index])
            if chosen and size > MAX_PUSHED_BYTES:
                break
            chosen.append(self._payloads[index])
        pushed = _messages.EntriesPushed(
            self._instance, message.from_offset, tuple(chosen)
        )
        return [_events.SendPeer(message.sender, pushed)]

    def request_missing_entries(
        self,
        next_offset: int,
        next_offset_by_peer: Mapping[str, int],
        now: _time.Now,
    ) -> list[_events.SendPeer]:
        """Returns a request to a peer if this instance stays behind it.

        Args:
            next_offset: Offset of the next entry that this instance will fold.
            next_offset_by_peer: The same offset as each peer reported it.
            now: The current time.
        """
        ahead = sorted(
            peer
            for peer, offset in next_offset_by_peer.items()
            if offset > next_offset
        )
        if not ahead or next_offset != self._behind_offset:
            self._behind_offset = next_offset
            self._next_ask_s = now.boot_s + self._behind_s
            return []
        if now.boot_s < self._next_ask_s:
            return []
        self._next_ask_s = now.boot_s + PEER_RETRY_S
        self._request_count += 1
        peer = ahead[self._request_count % len(ahead)]
        wanted = _messages.EntriesWanted(self._instance, next_offset)
        return [_events.SendPeer(peer, wanted)]

"""Stand-in for the platform's append-only log service."""

import base64
import collections
import threading
import time

from werkzeug import wrappers

from basiljunction.standin import _server

APPEND_RATE_WINDOW_S = 1.0
"""Time window over which appends are counted, in seconds."""

MAX_READ_ENTRIES = 4096
"""Largest number of entries that one read returns."""


class LogStandIn(_server.StandIn):
    """Simulates the append-only log service, with entries in memory.

    Args:
        retention_entries: Number of newest entries to keep; 0 for all.
        retention_s: Age in seconds at which entries are deleted; 0 for never.
        appends_per_s: Appends accepted per second; 0 for no limit.
    """

    def __init__(
        self,
        *,
        retention_entries: int = 0,
        retention_s: float = 0.0,
        appends_per_s: int = 0,
    ) -> None:
        super().__init__("")
        self._retention_entries = retention_entries
        self._retention_s = retention_s
        self._appends_per_s = appends_per_s
        self._changed = threading.Condition()
        self._first_offset = 0
        self._entries: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self._recent_appends: collections.deque[float] = collections.deque()

    def handle(self, request: wrappers.Request, path: str) -> wrappers.Response:
        """Answers an append or a read request, subject to active faults."""
        if self.faults.is_on("down"):
            return _server.json_response({"reason": "outage"}, status=503)
        time.sleep(self.faults.active_value("slow") or 0.0)
        if path == "/append" and request.method == "POST":
            return self._handle_append(request.get_data())
        if path == "/read" and request.method == "GET":
            return self._handle_read(request)
        return _server.json_response({"reason": "no such call"}, status=404)

    def _handle_append(self, data: bytes) -> wrappers.Response:
        """Appends an entry and answers its offset, or 429 above the rate."""
        with self._changed:
            if self._exceeds_append_rate(time.monotonic()):
                self.journal.add("append_refused", bytes=len(data))
                return _server.json_response(
                    {"reason": "append rate"}, status=429, Retry_After="1"
                )
            offset = self._first_offset + len(self._entries)
            self._entries.append((time.monotonic(), data))
            self._drop_expired_entries()
            self._changed.notify_all()
        self.journal.add("append", offset=offset, bytes=len(data))
        if self.faults.is_on("lose_answers"):
            return _server.drop_connection()
        return _server.json_response({"offset": offset})

    def _exceeds_append_rate(self, now_s: float) -> bool:
        """Counts an append; returns whether it exceeds the rate limit."""
        if not self._appends_per_s:
            return False
        recent = self._recent_appends
        while recent and recent[0] < now_s - APPEND_RATE_WINDOW_S:
            recent.popleft()
        if len(recent) >= self._appends_per_s:
            return True
        recent.append(now_s)
        return False

    def _handle_read(self, request: wrappers.Request) -> wrappers.Response:
        """Answers entries from an offset on, or 410 if it is deleted.

        Waits for an entry for up to ``wait_ms``.
        """
        start = int(request.args["from"])
        limit = min(int(request.args.get("limit", "256")), MAX_READ_ENTRIES)
        wait_s = int(request.args.get("wait_ms", "0")) / 1000.0
        with self._changed:
            self._changed.wait_for(lambda: self._next_offset() > start, wait_s)
            self._drop_expired_entries()
            bounds = {"first": self._first_offset, "head": self._next_offset()}
            if start < self._first_offset:
                return _server.json_response(bounds, status=410)
            skipped = start - self._first_offset
            stop = min(skipped + limit, len(self._entries))
            chosen = [self._entries[i][1] for i in range(skipped, stop)]
        if self.faults.is_on("down"):
            return _server.json_response({"reason": "outage"}, status=503)
        entries = [
            {"offset": start + i, "data": base64.b64encode(data).decode()}
            for i, data in enumerate(chosen)
        ]
        return _server.json_response({**bounds, "entries": entries})

    def _next_offset(self) -> int:
        """Returns the offset of the next entry to be appended."""
        return self._first_offset + len(self._entries)

    def _drop_expired_entries(self) -> None:
        """Deletes entries beyond the retention limits."""
        keep = self._retention_entries or len(self._entries)
        truncated = self.faults.active_value("truncate")
        if truncated is not None:
            keep = min(keep, int(truncated))
        oldest_s = time.monotonic() - self._retention_s
        while len(self._entries) > keep:
            self._drop_oldest_entry()
        while (
            self._retention_s
            and self._entries
            and self._entries[0][0] < oldest_s
        ):
            self._drop_oldest_entry()

    def _drop_oldest_entry(self) -> None:
        """Deletes the oldest entry and advances the first offset."""
        self._entries.popleft()
        self._first_offset += 1

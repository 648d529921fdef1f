"""Chooses the source from which a new or outdated instance restores its state.

Sources, in order of preference: the log's entries from the first one on; the
newest complete snapshot in the log; a peer's state. With none of these the
instance stays not ready and reports it.
"""

from collections.abc import Callable
import dataclasses

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _snapshot_reader
from basiljunction.coordination import _state_exchange
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time

LOG_SILENCE_TIMEOUT_S = 2.0
"""Seconds without a log read after which a new instance asks its peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstallState:
    """Action: install a state and read the log from its next offset.

    Attributes:
        state: The restored state.
    """

    state: _system.SystemState


@dataclasses.dataclass(frozen=True, slots=True)
class ReportUnusableState:
    """Action: report that a source does not provide a usable state.

    Attributes:
        detail: Human-readable cause.
    """

    detail: str


StateDecoder = Callable[[bytes], _system.SystemState]
"""Decodes a state; raises ``ValueError`` if the bytes are damaged."""


class StateRestorer:
    """Restores the state of an instance that starts or has fallen behind.

    If the log no longer holds the next entry, it scans the remaining entries
    for a snapshot; if that does not help, it requests a peer's state.

    Args:
        decode: Decodes a state; raises ``ValueError`` if it is damaged.
        seeker: Requests the state from peers.
        started_boot_s: Boot time at which the process started.
    """

    def __init__(
        self,
        *,
        decode: StateDecoder,
        seeker: _state_exchange.StateRequester,
        started_boot_s: float,
    ) -> None:
        self._decode = decode
        self._seeker = seeker
        self._last_read_s = started_boot_s
        self._snapshot_scanner: _snapshot_reader.SnapshotReader | None = None
        self._first_offset = 0
        self._next_scan_offset = 0
        self._has_scanned_to_head = False

    @property
    def is_scanning(self) -> bool:
        """Whether entries are scanned for a snapshot instead of folded."""
        return self._snapshot_scanner is not None

    def start_snapshot_scan(self, event: _events.LogTruncated) -> None:
        """Starts scanning for a snapshot after the next entry was truncated."""
        self._snapshot_scanner = _snapshot_reader.SnapshotReader()
        self._first_offset = event.first_offset
        self._next_scan_offset = event.first_offset
        self._has_scanned_to_head = False

    def scan_entries(
        self,
        state: _system.SystemState,
        event: _events.EntriesRead,
        now: _time.Now,
    ) -> list[object]:
        """Scans entries for a snapshot, if a scan is in progress.

        At the head of the log it installs the newest complete snapshot, or
        reports once that there is none.
        """
        self._last_read_s = now.boot_s
        if self._snapshot_scanner is None:
            return []
        fresh = [
            entry
            for entry in event.entries
            if entry.offset >= self._next_scan_offset
        ]
        if fresh and fresh[0].offset > self._next_scan_offset:
            return []
        self._snapshot_scanner.scan(fresh)
        self._next_scan_offset += len(fresh)
        if self._next_scan_offset < event.head_offset:
            return []
        found = self._install_newest_snapshot(state)
        if found or self._has_scanned_to_head:
            return found
        self._has_scanned_to_head = True
        return [
            ReportUnusableState(
                "the log holds no complete snapshot newer than this instance's "
                f"state; its entries begin at offset {self._first_offset}"
            )
        ]

    def request_peer_state(
        self, state: _system.SystemState, now: _time.Now, *, ready: bool
    ) -> list[object]:
        """Returns requests for a peer's state if the log does not help.

        That is, if the log holds no usable snapshot, or if this instance is
        not ready and the log has not been readable for a while.
        """
        silent = now.boot_s - self._last_read_s > LOG_SILENCE_TIMEOUT_S
        stuck = self._snapshot_scanner is not None and self._has_scanned_to_head
        if stuck or (silent and not ready):
            return list(self._seeker.request_state(state, now))
        return []

    def add_peer_chunk(
        self,
        state: _system.SystemState,
        message: _messages.StateChunk,
        now: _time.Now,
        *,
        ready: bool,
    ) -> list[object]:
        """Adds a chunk of a peer's state; installs the state when complete.

        The received state is dropped if this instance is ready and no longer
        needs it.
        """
        asks, received = self._seeker.add_chunk(message, now)
        if received is None:
            return list(asks)
        if ready and self._snapshot_scanner is None:
            return []
        return self._install_if_newer(
            state, received.payload, f"peer {received.sender}"
        )

    def _install_newest_snapshot(
        self, state: _system.SystemState
    ) -> list[object]:
        """Installs the newest snapshot that the remaining log can continue."""
        assert self._snapshot_scanner is not None  # noqa: S101 - only called while scanning
        newest = self._snapshot_scanner.newest
        if newest is None or newest.next_offset < self._first_offset:
            return []
        return self._install_if_newer(
            state, newest.payload, "the log's snapshot"
        )

    def _install_if_newer(
        self, state: _system.SystemState, payload: bytes, source: str
    ) -> list[object]:
        """Installs an encoded state, or reports that it is damaged or old."""
        try:
            decoded = self._decode(payload)
        except ValueError as error:
            return [ReportUnusableState(f"{source} is damaged: {error}")]
        if decoded.next_offset <= state.next_offset:
            return [
                ReportUnusableState(
                    f"{source} is older than this instance's state"
                )
            ]
        self._snapshot_scanner = None
        return [InstallState(decoded)]


def entries_to_apply(
    event: _events.EntriesRead, next_offset: int
) -> tuple[_records.LogEntry, ...] | None:
    """Returns the entries to apply to the state next.

    Entries before ``next_offset`` are left out. The result is None if the read
    entries begin after ``next_offset``, which leaves a gap.
    """
    fresh = tuple(
        entry for entry in event.entries if entry.offset >= next_offset
    )
    if fresh and fresh[0].offset > next_offset:
        return None
    return fresh

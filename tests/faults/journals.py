"""Executors and the platform's log in memory, with the journals they keep."""

import dataclasses
import itertools
import random

from basiljunction.coordination import _urgent_request
from basiljunction.protocol import _codec
from basiljunction.state import _records
from basiljunction.transport import _log_client

SERVICE_S = 0.15
HANG_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """One request in an executor's journal.

    Attributes:
        executor: The executor.
        request_id: The caller's request.
        customer: Whose it was.
        key: Its idempotency key, or empty.
        begin_boot_s: When it began.
        end_boot_s: When it ended.
    """

    executor: str
    request_id: str
    customer: str
    key: str
    begin_boot_s: float
    end_boot_s: float


class FakeExecutor:
    """Runs up to ``slots`` requests and refuses more.

    Attributes:
        mode: Empty, ``refuse``, ``hang`` or ``fail``.
        down: No connection is accepted.
        journal: What it ran.
        overloads: How often it got a request with no slot free.
    """

    def __init__(self, name: str, slots: int) -> None:
        """Creates an idle executor."""
        self.name = name
        self.slots = slots
        self.mode = ""
        self.down = False
        self.journal: list[Served] = []
        self.overloads = 0

    def running(self, boot_s: float) -> int:
        """Returns how many requests run."""
        return sum(
            each.begin_boot_s <= boot_s < each.end_boot_s
            for each in self.journal
        )

    def begin(
        self, call: _urgent_request.CallExecutor, boot_s: float
    ) -> Served | None:
        """Starts a request; None if it was refused and does not run."""
        if self.mode == "refuse":
            return None
        if self.running(boot_s) >= self.slots:
            self.overloads += 1
            return None
        service_s = HANG_S if self.mode == "hang" else SERVICE_S
        hop = call.hop
        # An executor ends what is past the deadline that it was told.
        end_s = min(boot_s + service_s, max(boot_s, call.deadline_boot_s))
        served = Served(
            executor=self.name,
            request_id=hop.key.request_id,
            customer=hop.customer,
            key=hop.idempotency_key,
            begin_boot_s=boot_s,
            end_boot_s=end_s,
        )
        self.journal.append(served)
        return served


class MemoryLog:
    """The platform's log: offsets, retention, outages.

    Attributes:
        down_until_boot_s: Every call fails without effect until then.
        slow_until_boot_s: Until then appends time out and take effect late.
        first: Oldest offset kept.
    """

    def __init__(self) -> None:
        """Creates an empty log."""
        self.down_until_boot_s = 0.0
        self.slow_until_boot_s = 0.0
        self.first = 0
        self.history: list[bytes] = []

    @property
    def head(self) -> int:
        """Offset of the next entry."""
        return len(self.history)

    def append(self, payload: bytes) -> int:
        """Appends one entry."""
        self.history.append(payload)
        return self.head - 1

    def truncate(self, keep: int) -> None:
        """Keeps only the newest entries."""
        self.first = max(self.first, self.head - keep)

    def page(self, from_offset: int, limit: int) -> _log_client.LogPage:
        """Reads entries from an offset on."""
        if from_offset < self.first:
            raise _log_client.LogTruncatedError(self.first, self.head)
        end = min(self.head, from_offset + limit)
        payloads = tuple(self.history[from_offset:end])
        return _log_client.LogPage(self.head, from_offset, payloads)


def records_of(payload: bytes) -> tuple[_records.Record, ...]:
    """Returns the records of an encoded entry; none if it is damaged."""
    try:
        return _codec.decode_batch(payload).records
    except ValueError:
        return ()


def damaged(payload: bytes, rng: random.Random) -> bytes:
    """Returns bytes that were cut short."""
    return payload[: rng.randrange(1, max(2, len(payload) // 2))]


request_numbers = itertools.count(1)

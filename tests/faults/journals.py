"""In-memory executors and platform log that keep a journal for checks."""

import dataclasses
import itertools
import random

from basiljunction.coordination import _urgent_request
from basiljunction.protocol import _codec
from basiljunction.state import _records
from basiljunction.transport import _log_client

SERVICE_TIME_S = 0.15
"""Seconds that an executor takes for a request."""

HANG_TIME_S = 6.0
"""Seconds that an executor takes for a request in mode ``hang``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServedRequest:
    """One request that an executor ran, as an entry of its journal.

    Attributes:
        executor: Name of the executor.
        request_id: Identifier of the caller's request.
        customer: Customer that the request belongs to.
        key: Its idempotency key, or empty.
        begin_boot_s: When it starts to run.
        end_boot_s: When it ends.
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
        mode: Injected failure: ``refuse``, ``hang``, ``fail``; empty if none.
        is_down: Whether it accepts no connection.
        journal: Requests that it ran.
        overload_count: Number of requests received with no slot free.
    """

    def __init__(self, name: str, slots: int) -> None:
        """Creates an idle executor."""
        self.name = name
        self.slots = slots
        self.mode = ""
        self.is_down = False
        self.journal: list[ServedRequest] = []
        self.overload_count = 0

    def count_running(self, boot_s: float) -> int:
        """Returns how many requests run at a time."""
        return sum(
            each.begin_boot_s <= boot_s < each.end_boot_s
            for each in self.journal
        )

    def start_request(
        self, call: _urgent_request.CallExecutor, boot_s: float
    ) -> ServedRequest | None:
        """Starts a request and adds it to the journal; None if refused."""
        if self.mode == "refuse":
            return None
        if self.count_running(boot_s) >= self.slots:
            self.overload_count += 1
            return None
        service_s = HANG_TIME_S if self.mode == "hang" else SERVICE_TIME_S
        hop = call.hop
        # An executor ends a request at the deadline sent with it.
        end_s = min(boot_s + service_s, max(boot_s, call.deadline_boot_s))
        served = ServedRequest(
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
    """The platform's log in memory, with retention and outages.

    Attributes:
        down_until_boot_s: Until then every call fails without effect.
        slow_until_boot_s: Until then appends time out and take effect late.
        first_offset: Oldest offset that can be read.
        all_payloads: Every entry ever appended, truncated ones included.
    """

    def __init__(self) -> None:
        """Creates an empty log."""
        self.down_until_boot_s = 0.0
        self.slow_until_boot_s = 0.0
        self.first_offset = 0
        self.all_payloads: list[bytes] = []

    @property
    def head_offset(self) -> int:
        """Offset of the next entry."""
        return len(self.all_payloads)

    def append(self, payload: bytes) -> int:
        """Appends one entry and returns its offset."""
        self.all_payloads.append(payload)
        return self.head_offset - 1

    def truncate(self, keep: int) -> None:
        """Makes all but the newest entries unreadable, as retention does."""
        self.first_offset = max(self.first_offset, self.head_offset - keep)

    def read_page(self, from_offset: int, limit: int) -> _log_client.LogPage:
        """Reads entries from an offset on.

        Raises:
            LogTruncatedError: The offset is no longer retained.
        """
        if from_offset < self.first_offset:
            raise _log_client.LogTruncatedError(
                self.first_offset, self.head_offset
            )
        end = min(self.head_offset, from_offset + limit)
        payloads = tuple(self.all_payloads[from_offset:end])
        return _log_client.LogPage(self.head_offset, from_offset, payloads)


def decode_records(payload: bytes) -> tuple[_records.Record, ...]:
    """Returns the records of an encoded entry; none if it is malformed."""
    try:
        return _codec.decode_batch(payload).records
    except ValueError:
        return ()


def truncate_payload(payload: bytes, rng: random.Random) -> bytes:
    """Returns a random prefix of up to half of a payload."""
    return payload[: rng.randrange(1, max(2, len(payload) // 2))]


request_numbers = itertools.count(1)
"""Numbers of the requests of this process, which make identifiers unique."""

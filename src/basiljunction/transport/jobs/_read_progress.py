"""Progress of a read of the store that takes several pages."""

from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _http_calls


class ReadProgress:
    """Counts the pages, records and bytes that a read has received.

    A page that is read again counts only once, with the most bytes that one
    attempt received. After a restart from the first page, only what exceeds the
    most received before counts.

    Args:
        calls: HTTP client that makes the calls.

    Attributes:
        pages: Most pages received completely without a restart.
        records: Most records on such pages.
    """

    def __init__(self, calls: _http_calls.HttpClient) -> None:
        self.pages = 0
        self.records = 0
        self._calls = calls
        self._call: _http_call.HttpCall | None = None
        self._attempt_pages = 0
        self._attempt_records = 0
        self._complete_bytes = 0
        self._page_bytes = 0
        self._earlier_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the complete pages and of the longest part of the next.

        Before a restart they may have been more, which then count instead.
        """
        in_flight = (
            0 if self._call is None else self._calls.received_bytes(self._call)
        )
        attempt_bytes = self._complete_bytes + max(self._page_bytes, in_flight)
        return max(self._earlier_bytes, attempt_bytes)

    def begin_page(self, call: _http_call.HttpCall) -> None:
        """Starts an attempt to read the next page."""
        self._call = call

    def add_page(self, reply: _http_call.HttpReply, records: int) -> None:
        """Counts a page that was received completely."""
        self._call = None
        self._attempt_pages += 1
        self._attempt_records += records
        self.pages = max(self.pages, self._attempt_pages)
        self.records = max(self.records, self._attempt_records)
        self._complete_bytes += len(reply.body)
        self._page_bytes = 0

    def fail_page(self, reply: _http_call.HttpReply) -> None:
        """Counts the part of a page that a failed attempt received."""
        self._call = None
        self._page_bytes = max(self._page_bytes, len(reply.body))

    def restart(self) -> None:
        """Begins anew at the first page."""
        self._earlier_bytes = self.received_bytes
        self._call = None
        self._attempt_pages = 0
        self._attempt_records = 0
        self._complete_bytes = 0
        self._page_bytes = 0

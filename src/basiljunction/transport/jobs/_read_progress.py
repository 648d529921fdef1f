"""Progress of a read of the store that takes several pages."""

from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _http_calls


class ReadProgress:
    """Counts the pages, records and bytes that a read has received.

    A page that is read again counts only once, with the most bytes that one
    attempt received.

    Args:
        calls: HTTP client that makes the calls.

    Attributes:
        pages: Number of pages received completely.
        records: Number of records on these pages.
    """

    def __init__(self, calls: _http_calls.HttpClient) -> None:
        self.pages = 0
        self.records = 0
        self._calls = calls
        self._call: _http_call.HttpCall | None = None
        self._complete_bytes = 0
        self._page_bytes = 0

    @property
    def received_bytes(self) -> int:
        """Bytes of the complete pages and of the longest part of the next."""
        in_flight = (
            0 if self._call is None else self._calls.received_bytes(self._call)
        )
        return self._complete_bytes + max(self._page_bytes, in_flight)

    def begin_page(self, call: _http_call.HttpCall) -> None:
        """Starts an attempt to read the next page."""
        self._call = call

    def add_page(self, reply: _http_call.HttpReply, records: int) -> None:
        """Counts a page that was received completely."""
        self._call = None
        self.pages += 1
        self.records += records
        self._complete_bytes += len(reply.body)
        self._page_bytes = 0

    def fail_page(self, reply: _http_call.HttpReply) -> None:
        """Counts the part of a page that a failed attempt received."""
        self._call = None
        self._page_bytes = max(self._page_bytes, len(reply.body))

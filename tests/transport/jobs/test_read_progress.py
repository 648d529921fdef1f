"""Tests of the progress of reads that begin anew."""

import base64
import json
import urllib.parse

import pytest

from basiljunction.coordination.leadership import _term_progress
from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
import workload_builders as build

TICK_S = 0.1
"""Virtual time between two ticks, in seconds."""

PAGE_BYTES = 20_000
"""Size of the record on each page, in bytes; it counts as progress."""


def _make_page(number: int, *, is_last: bool) -> bytes:
    """Returns a page of the list of executors with one record."""
    value = base64.b64encode(b"x" * PAGE_BYTES).decode()
    answer = {
        "items": [{"Key": str(number), "Value": value}],
        "EndOffset": 9,
        "HasMore": not is_last,
    }
    return json.dumps(answer).encode()


class _PagingClient(_http_calls.HttpClient):
    """Answers reads of a topic of several pages, one of which is torn.

    Attributes:
        torn_page: Number of the page whose answers are incomplete.
    """

    def __init__(self, pages: int, torn_page: int) -> None:
        self.torn_page = torn_page
        self._pages = pages
        self._open_calls: list[
            tuple[_http_call.HttpCall, _http_calls.ReplyCallback]
        ] = []

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        self._open_calls.append((call, on_reply))

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns 0: an answer arrives at once."""
        return 0

    def answer_calls(self) -> None:
        """Answers all calls."""
        calls, self._open_calls = self._open_calls, []
        for call, on_reply in calls:
            query = dict(
                urllib.parse.parse_qsl(urllib.parse.urlsplit(call.url).query)
            )
            number = int(query["After"]) + 1 if "After" in query else 0
            page = _make_page(number, is_last=number == self._pages - 1)
            if number == self.torn_page:
                page = page[:-5]
            on_reply(_http_call.HttpReply(200, page))


class _Reader:
    """A feed of the list of executors whose progress is watched."""

    def __init__(self, client: _PagingClient) -> None:
        self.now_s = 0.0
        self.watch = _term_progress.ProgressWatch()
        self._client = client
        self.feed = _feeds.ExecutorFeed(
            calls=client,
            address="store:1",
            clock=lambda: build.clock_readings_at(self.now_s),
            on_change=lambda _: None,
        )

    def run_for(self, seconds: float) -> None:
        """Runs ticks for a while, as the cell task does."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += TICK_S
            self.feed.start_due_read(build.clock_readings_at(self.now_s))
            self._client.answer_calls()
            progress = _term_progress.TermProgress(
                _term_progress.TermStage.LISTING,
                pages=self.feed.progress.pages,
                bytes_read=self.feed.progress.received_bytes,
            )
            self.watch.observe(1, progress, self.now_s, is_confirmed=True)


class TestRestarts:
    """A read that begins anew advances only beyond what was read before."""

    @pytest.mark.parametrize("torn_page", [1, 3])
    def test_the_same_pages_again_are_no_progress(self, torn_page: int) -> None:
        """Else a term is held for ever that never gets its executors."""
        reader = _Reader(_PagingClient(pages=5, torn_page=torn_page))
        reader.run_for(2.0 + _term_progress.STALL_LIMIT_S)
        assert reader.watch.is_stalled(reader.now_s, 0)
        assert reader.feed.progress.pages == torn_page
        assert reader.feed.progress.records == torn_page

    def test_a_read_that_gets_further_after_a_restart_advances(self) -> None:
        """Else an instance that catches up loses its term."""
        client = _PagingClient(pages=5, torn_page=1)
        reader = _Reader(client)
        reader.run_for(2.0)
        before = reader.feed.progress.received_bytes
        client.torn_page = 3
        reader.run_for(2.0)
        assert reader.feed.progress.pages == 3
        assert reader.feed.progress.received_bytes > before
        assert not reader.watch.is_stalled(reader.now_s, 0)

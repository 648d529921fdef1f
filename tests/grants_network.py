"""The store's term topic and the links of several instances in virtual time.

Calls are answered, lost, answered late or without effect. A write whose caller
got no answer may take effect seconds later if its condition still holds.
"""

from collections.abc import Callable
import heapq
import itertools
import json
import random
import struct
from typing import Any
import urllib.parse

from basiljunction.protocol import _http_call
from basiljunction.transport.jobs import _http_calls
import platform_standin

STORE = "store"
"""Name of the store, as an end of links."""

STORE_ADDRESS = "store:1"

LONGEST_LATE_WRITE_S = 6.0
"""Longest time after which a write without an answer takes effect, in
seconds."""

_LATE_WRITE_SHARE = 0.5
"""Share of the writes that do not get to the store in time and take effect
late."""

_LONGEST_DELAY_S = 0.03
"""Usual longest delay of a message in one direction, in seconds."""

_LATE_ANSWER_S = 1.5
"""Longest delay of an answer that is late, in seconds; longer than a question
and than a write is waited for."""

Receiver = Callable[[_http_call.HttpCall, _http_calls.ReplyCallback], None]
"""Takes a call of another instance, and what is called with its answer."""


class Network:
    """Links, the store and the virtual time.

    Args:
        rng: Random source of all delays and losses.

    Attributes:
        now_s: Virtual time, in seconds.
        rng: The random source.
        topic: The term topic.
        is_store_up: Whether the store is at work.
        keeps_condition: Whether the store applies the conditions of writes.
        cuts: Pairs of names; nothing gets from the first to the second one.
        late_share: Share of the messages that are late or lost.
        refuses: Whether a read that does not get to the store fails at once;
            otherwise it gets no answer.
        receiver_by_address: Takes the calls to an address; none is there if
            connections are refused.
    """

    def __init__(self, rng: random.Random) -> None:
        self.now_s = 0.0
        self.rng = rng
        self.topic = platform_standin.Topic()
        self.is_store_up = True
        self.keeps_condition = True
        self.cuts: set[tuple[str, str]] = set()
        self.late_share = 0.0
        self.refuses = False
        self.receiver_by_address: dict[str, tuple[str, Receiver]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waiting_reads: list[Callable[[], None]] = []

    def schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        item = (self.now_s + delay_s, next(self._numbers), event)
        heapq.heappush(self._events, item)

    def run_until(self, end_s: float) -> None:
        """Runs all events up to a time."""
        while self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        self.now_s = end_s

    def draw_delay_s(self) -> float:
        """Returns the delay of a message in one direction."""
        if self.rng.random() < self.late_share:
            return self.rng.uniform(0.0, _LATE_ANSWER_S)
        return self.rng.uniform(0.001, _LONGEST_DELAY_S)

    def gets_through(self, sender: str, receiver: str) -> bool:
        """Returns whether a message from one to another one arrives."""
        if STORE in (sender, receiver) and not self.is_store_up:
            return False
        if (sender, receiver) in self.cuts:
            return False
        return self.rng.random() >= self.late_share / 2

    def append(self, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        """Appends records if the condition holds; returns the answer."""
        if not self.keeps_condition:
            query = {key: query[key] for key in query.keys() - {"At"}}
        status, answer = platform_standin.append_to_topic(
            self.topic, query, body
        )
        if status == 200:
            waiting, self._waiting_reads = self._waiting_reads, []
            for wake in waiting:
                wake()
        return status, answer

    def wait_for_record(self, wake: Callable[[], None]) -> None:
        """Calls back after the next record."""
        self._waiting_reads.append(wake)


class Client(_http_calls.HttpClient):
    """Makes the calls of one run of an instance's process.

    Args:
        network: The links.
        name: Name of the instance.
        deliver: Passes an answer to the instance, unless it has ended.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        deliver: Callable[[Callable[[], None]], None],
    ) -> None:
        self._network = network
        self._name = name
        self._deliver = deliver

    def poll(self, wait_s: float) -> None:
        """Does nothing: answers are delivered as events."""

    def wake(self) -> None:
        """Does nothing: nobody waits."""

    def received_bytes(self, call: _http_call.HttpCall) -> int:
        """Returns 0: an answer arrives at once."""
        return 0

    def send(
        self,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
        guard: _http_calls.ConnectionGuard | None = None,
    ) -> None:
        """Sends a call, whose answer arrives or not."""
        reply_once = self._expect_reply(call, on_reply)
        url = urllib.parse.urlsplit(call.url)
        if url.netloc != STORE_ADDRESS:
            self._call_peer(url.netloc, call, reply_once)
            return
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/log-append":
            self._append(query, call.body or b"", reply_once)
        else:
            self._read(url.path, query, reply_once)

    def _expect_reply(
        self, call: _http_call.HttpCall, on_reply: _http_calls.ReplyCallback
    ) -> _http_calls.ReplyCallback:
        """Returns what passes on the first reply, which may be a timeout."""
        is_open = True

        def reply_once(reply: _http_call.HttpReply) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._deliver(lambda: on_reply(reply))

        timeout_s = call.silence_limit_s or call.timeout_s
        lost = _http_call.HttpReply(0, error_text="timed out")
        self._network.schedule(timeout_s, lambda: reply_once(lost))
        return reply_once

    def _answer(
        self,
        sender: str,
        reply: _http_call.HttpReply,
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends an answer, which may be lost or late."""
        if self._network.gets_through(sender, self._name):
            delay_s = self._network.draw_delay_s()
            self._network.schedule(delay_s, lambda: on_reply(reply))

    def _call_peer(
        self,
        address: str,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends a call to another instance."""
        network = self._network

        def arrive() -> None:
            peer, receive = network.receiver_by_address.get(address, ("", None))
            if receive is None:
                refused = _http_call.HttpReply(
                    0, error_text="refused", may_have_been_sent=False
                )
                on_reply(refused)
                return
            receive(call, lambda reply: self._answer(peer, reply, on_reply))

        if network.gets_through(self._name, address.partition(":")[0]):
            network.schedule(network.draw_delay_s(), arrive)

    def _append(
        self,
        query: dict[str, str],
        body: bytes,
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends a write; without an answer it may take effect late."""
        network = self._network

        def arrive() -> None:
            status, answer = network.append(query, body)
            reply = _http_call.HttpReply(status, json.dumps(answer).encode())
            self._answer(STORE, reply, on_reply)

        if network.gets_through(self._name, STORE):
            network.schedule(network.draw_delay_s(), arrive)
        elif network.rng.random() < _LATE_WRITE_SHARE:
            late_s = network.rng.uniform(0.0, LONGEST_LATE_WRITE_S)
            network.schedule(late_s, arrive)

    def _read(
        self,
        path: str,
        query: dict[str, str],
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends a read, which waits for a record if it is to."""
        network = self._network
        topic = network.topic
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if is_answered:
                return
            is_answered = True
            if path == "/log-newest":
                page = platform_standin.newest_page(topic, "")
                body = json.dumps(page).encode()
            else:
                body = _encode_records(topic.records, int(query["From"]))
            self._answer(STORE, _http_call.HttpReply(200, body), on_reply)

        def arrive() -> None:
            if path == "/log-newest" or int(query["From"]) < len(topic.records):
                answer()
                return
            network.wait_for_record(answer)
            network.schedule(int(query["WaitMs"]) / 1000, answer)

        delay_s = network.draw_delay_s()
        if network.gets_through(self._name, STORE):
            network.schedule(delay_s, arrive)
        elif network.refuses:
            failed = _http_call.HttpReply(0, error_text="refused")
            network.schedule(delay_s, lambda: on_reply(failed))


def _encode_records(records: list[bytes], begin: int) -> bytes:
    """Returns the answer to a read from an offset on."""
    return struct.pack(">QQ", len(records), 0) + b"".join(
        struct.pack(">I", len(each)) + each for each in records[begin:]
    )

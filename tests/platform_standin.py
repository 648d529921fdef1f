"""Stand-in of the users' platform: its store, executors and operator.

It serves the platform's published HTTP calls on loopback, as far as an instance
uses them.
"""

import base64
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
from http import server
import json
import struct
import sys
import threading
import time
from typing import Any
import urllib.parse

RUN_TIME_S = 0.3
"""Run time of a task that ends by itself, in seconds."""

LONG_RUN_PREFIX = "takes "
"""Begin of the `Spec` of a task whose run time, in seconds, follows in it."""

HEARTBEAT_INTERVAL_S = 0.5
"""Time between two heartbeats of an executor, in seconds."""

POLL_INTERVAL_S = 0.02
"""Time between two checks of a long poll, in seconds."""

MAX_LISTED_ENDS = 500
"""Most ends of runs in one answer of an executor."""

MAX_PAGE_RECORDS = 500
"""Most records in one page of the newest records."""

MAX_PAGE_BYTES = 1_000_000
"""Size of a page of the newest records above which it ends, in bytes."""

MAX_RECORD_BYTES = 262_144
"""Size of the largest record that the store takes, in bytes."""

RECEIVE_BYTES = 8192
"""Size of a piece of a body that a narrow link carries at once, in bytes."""

MAX_READ_BYTES = 1_048_576
"""Most bytes of records in an answer to a read from an offset."""

SEND_INTERVAL_S = 0.005
"""Time between two pieces of an answer over a narrow link, in seconds."""


class Topic:
    """A topic of the store, with a single partition.

    Attributes:
        records: Records, by offset.
        newest_by_key: Offset and value of the newest record of each key.
        epoch: Highest epoch of a writer.
        sequence: Sequence number of the last append in that epoch.
        answer_by_append: Answers by epoch and sequence, for repeated appends.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest_by_key: dict[str, tuple[int, bytes]] = {}
        self.epoch = 0
        self.sequence = -1
        self.answer_by_append: dict[tuple[int, int], dict[str, int]] = {}

    def append_record(self, record: bytes) -> None:
        """Appends a keyed record; an empty value deletes the key."""
        split = 1 + record[0]
        key, value = record[1:split].decode(), record[split:]
        if value:
            self.newest_by_key[key] = (len(self.records), value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(record)


class Link:
    """A link that carries the bodies of all calls in one direction.

    Attributes:
        bytes_per_s: Rate, in bytes a second; infinite for a link that is never
            the bottleneck.
    """

    def __init__(self) -> None:
        self.bytes_per_s = float("inf")
        self._lock = threading.Lock()
        self._free_s = 0.0

    def carry(self, byte_count: int) -> None:
        """Waits until the link has carried these bytes after earlier ones."""
        with self._lock:
            begin_s = max(time.monotonic(), self._free_s)
            self._free_s = end_s = begin_s + byte_count / self.bytes_per_s
        time.sleep(max(0.0, end_s - time.monotonic()))


class Platform:
    """The platform, with a store and executors that send heartbeats.

    Args:
        executors: Number of executors.

    Attributes:
        topics: Topics of the store, by name.
        is_down: Whether the store answers every call with an error.
        store_bytes_per_s: Rate at which the store's answers arrive, in bytes a
            second; infinite for a link that is never the bottleneck. Answers
            that are sent at the same time share it.
        executor_bytes_per_s: The same for the answers of all executors.
        silent_after_bytes: For each of the next reads, the bytes of the body
            after which its answer stops for ever; 0 sends no header either.
        reads: Paths, with queries, of all reads of the store, in order.
        link_to_store: Link that all calls to the store share.
        append_sizes: Size of the body of each append that arrived, in bytes.
        silent_topics: Topics whose newest records the store does not answer
            with, while it answers all other calls.
        silent_append_topics: Topics whose appends the store neither carries out
            nor answers.
        before_read: Called with the path and query of each read of the store
            before it is answered.
        starts: Task of each run that an executor started, in order.
        executors: Executors.
        store: HTTP server of the store.
    """

    def __init__(self, executors: int = 2) -> None:
        self.lock = threading.RLock()
        self.topics: dict[str, Topic] = collections.defaultdict(Topic)
        self.is_down = False
        self.store_bytes_per_s = float("inf")
        self.executor_bytes_per_s = float("inf")
        self._link_free_s = 0.0
        self.silent_after_bytes: list[int] = []
        self.reads: list[str] = []
        self.link_to_store = Link()
        self.append_sizes: list[int] = []
        self.silent_topics: set[str] = set()
        self.silent_append_topics: set[str] = set()
        self.before_read: Callable[[str], None] = lambda _path: None
        self.starts: list[str] = []
        self.executors: list[Executor] = [
            Executor(self, n) for n in range(executors)
        ]
        self.store = _start_server(_StoreHandler, self)
        self.stop_event = threading.Event()
        self._heartbeat_thread = threading.Thread(
            target=self._send_heartbeats, daemon=True
        )
        self._heartbeat_thread.start()

    def add_executor(self) -> "Executor":
        """Starts another executor, which registers with the next heartbeat."""
        self.executors.append(Executor(self, len(self.executors)))
        return self.executors[-1]

    @property
    def address(self) -> str:
        """The address of the store."""
        return f"127.0.0.1:{self.store.server_address[1]}"

    def put(self, topic: str, key: str, value: dict[str, Any]) -> None:
        """Appends a record as the operator or an executor does."""
        name = key.encode()
        record = bytes((len(name),)) + name + json.dumps(value).encode()
        with self.lock:
            self.topics[topic].append_record(record)

    def remove(self, topic: str, key: str) -> None:
        """Deletes a key, as the platform does with that of a gone executor."""
        name = key.encode()
        with self.lock:
            self.topics[topic].append_record(bytes((len(name),)) + name)

    def wait_for_link(self, transfer_s: float) -> None:
        """Waits until a piece of an answer has passed over the link.

        Args:
            transfer_s: How long the piece occupies the link, in seconds.
        """
        with self.lock:
            begin_s = max(self._link_free_s, time.monotonic())
            self._link_free_s = end_s = begin_s + transfer_s
        time.sleep(max(0.0, end_s - time.monotonic()))

    def configure(self, version: int, *paths: str) -> None:
        """Publishes a configuration with one queue for each path prefix."""
        routes = [
            {
                "Name": f"q{number}",
                "Host": "jobs.example",
                "PathPrefix": path,
                "TimeoutMs": 3000,
                "TargetLatencyMs": 250,
                "Service": "coder",
                "MaxAttempts": 3,
                "Stretch": 1.5,
            }
            for number, path in enumerate(paths)
        ]
        self.put(
            "keyed.op",
            "config",
            {
                "Version": version,
                "Routes": routes,
                "Services": [{"Name": "coder"}],
                "Limits": {"MaxBodyBytes": 262144},
            },
        )

    def _send_heartbeats(self) -> None:
        """Sends heartbeats of all executors until the platform stops."""
        wait_s = 0.0
        while not self.stop_event.wait(wait_s):
            wait_s = HEARTBEAT_INTERVAL_S
            with self.lock:
                for executor in self.executors:
                    if not executor.sends_heartbeats:
                        continue
                    executor.heartbeat_count += 1
                    entry = executor.describe()
                    entry["Sequence"] = executor.heartbeat_count
                    self.put("keyed.servers", executor.id, entry)

    def close(self) -> None:
        """Stops the heartbeats and all HTTP servers."""
        self.stop_event.set()
        self._heartbeat_thread.join()
        for httpd in (self.store, *(e.httpd for e in self.executors)):
            httpd.shutdown()
            httpd.server_close()


@dataclasses.dataclass
class Run:
    """A run on an executor.

    Attributes:
        begin_s: Steady time at which it began.
        end_s: Steady time at which it ends; infinite for a task that lasts.
    """

    begin_s: float
    end_s: float

    def progress_percent(self, now_s: float) -> int:
        """Returns the progress; a task that lasts is soon at full speed."""
        run_time_s = self.end_s - self.begin_s
        if run_time_s == float("inf"):
            run_time_s = RUN_TIME_S
        return min(100, int(100 * (now_s - self.begin_s) / run_time_s))


def _find_run_time_s(spec: str) -> float:
    """Returns how long a task with a `Spec` runs, in seconds."""
    if spec == "lasts":
        return float("inf")
    if spec.startswith(LONG_RUN_PREFIX):
        return float(spec.removeprefix(LONG_RUN_PREFIX))
    return RUN_TIME_S


class Executor:
    """An executor, with an HTTP server for its calls.

    Attributes:
        born_s: Steady time at which its own clock is zero.
        born_ms: Start of its life, in milliseconds since the Unix epoch.
        highest_token: Highest fencing token received.
        lease_ms: End of the lease on its own clock.
        running: Runs by task and run number.
        ended: Reports of ended runs that are not yet acknowledged.
        end_count: Number of ended runs so far, which numbers the reports.
        heartbeat_count: Number of heartbeats so far.
        sends_heartbeats: Whether its heartbeats reach the store.
    """

    def __init__(self, platform: Platform, number: int) -> None:
        self.id = f"i-{number}"
        self.platform = platform
        self.born_s = time.monotonic()
        self.born_ms = 1
        self.highest_token = 0
        self.lease_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.heartbeat_count = 0
        self.sends_heartbeats = True
        self.httpd = _start_server(_ExecutorHandler, self)

    def clock_ms(self) -> int:
        """Returns the reading of the executor's own clock, in milliseconds."""
        return int((time.monotonic() - self.born_s) * 1000)

    def describe(self) -> dict[str, Any]:
        """Returns the body of the executor's heartbeat."""
        return {
            "Service": "coder",
            "Address": f"127.0.0.1:{self.httpd.server_address[1]}",
            "Zone": "zone-a",
            "State": "ready",
            "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0},
            "Labels": ["a", "r1"],
            "born": self.born_ms,
        }

    def end_due_runs(self) -> None:
        """Ends finished runs, or all runs if the lease has expired."""
        for (task, run), state in list(self.running.items()):
            if self.clock_ms() > self.lease_ms:
                self.end_run(task, run, "lapsed")
            elif time.monotonic() > state.end_s:
                self.end_run(task, run, "done")

    def end_run(self, task: str, run: int, end_kind: str) -> None:
        """Ends a run, if it is running, and adds the end to the reports."""
        if self.running.pop((task, run), None) is not None:
            self.end_count += 1
            self.ended.append([self.end_count, task, run, end_kind, ""])

    def receive(self, path: str, body: dict[str, Any]) -> None:
        """Receives a call once, before it is carried out.

        Raises:
            ConnectionAbortedError: It gets no answer.
        """

    def answer(self, path: str, body: dict[str, Any]) -> tuple[int, Any]:
        """Carries out a call and returns its status and body."""
        with self.platform.lock:
            self.end_due_runs()
            if body.get("FencingToken", 0) < self.highest_token:
                return 409, {"ClockMs": self.clock_ms(), "Reason": "fence"}
            self.highest_token = body["FencingToken"]
            answer: dict[str, Any] = {
                "ClockMs": self.clock_ms(),
                "born": self.born_ms,
            }
            self.lease_ms = max(self.lease_ms, body.get("DeadlineMs", 0))
            if path == "/run-start":
                begin_s = time.monotonic()
                end_s = begin_s + _find_run_time_s(body["Spec"])
                key = (body["Task"], body["Run"])
                if key not in self.running:
                    self.platform.starts.append(body["Task"])
                    self.running[key] = Run(begin_s, end_s)
            elif path == "/run-stop":
                self.end_run(body["Task"], body["Run"], "stopped")
            elif path == "/hold":
                seen = body["LastSeen"]
                self.ended = [end for end in self.ended if end[0] > seen]
                now_s = time.monotonic()
                answer["Running"] = [
                    [task, number, "", run.progress_percent(now_s), 0]
                    for (task, number), run in self.running.items()
                ]
                answer["Ended"] = self.ended[:MAX_LISTED_ENDS]
            return 200, answer


class _Handler(server.BaseHTTPRequestHandler):
    """Common parts of the request handlers."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        return

    @property
    def owner(self) -> Any:
        """The executor or platform that this server belongs to."""
        return self.server.owner  # type: ignore[attr-defined]

    @property
    def platform(self) -> Platform:
        """The platform that this server belongs to."""
        return self.owner  # type: ignore[no-any-return]

    @property
    def bytes_per_s(self) -> float:
        """Rate at which the answers of this server arrive."""
        return self.platform.store_bytes_per_s

    def read_body(self) -> bytes:
        """Returns the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def send_reply(self, status: int, body: bytes) -> None:
        """Sends a response; ignores that the client has disconnected."""
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.write_body(body)

    def write_body(self, body: bytes) -> None:
        """Writes the body of a response at the rate of the link."""
        rate = self.bytes_per_s
        if rate == float("inf"):
            self.wfile.write(body)
            return
        size = max(1, int(rate * SEND_INTERVAL_S))
        for begin in range(0, len(body), size):
            self.wfile.write(body[begin : begin + size])
            self.platform.wait_for_link(SEND_INTERVAL_S)


class _ExecutorHandler(_Handler):
    """Handles calls to an executor, with long polls for ended runs."""

    @property
    def platform(self) -> Platform:
        """The platform that this executor belongs to."""
        return self.owner.platform  # type: ignore[no-any-return]

    @property
    def bytes_per_s(self) -> float:
        """Rate at which the answers of all executors arrive."""
        return self.platform.executor_bytes_per_s

    def do_POST(self) -> None:
        body = json.loads(self.read_body())
        if self.headers.get("Expect-Instance", self.owner.id) != self.owner.id:
            self.send_reply(421, b"{}")
            return
        self.owner.receive(self.path, body)
        wait_until_s = time.monotonic() + body.get("WaitMs", 0) / 1000
        while True:
            status, answer = self.owner.answer(self.path, body)
            if answer.get("Ended", True) or time.monotonic() > wait_until_s:
                break
            time.sleep(POLL_INTERVAL_S)
        self.send_reply(status, json.dumps(answer).encode())


class _StoreHandler(_Handler):
    """Handles appends to and reads from the topics of the store."""

    _sent_bytes: int | None = None

    def send_reply(self, status: int, body: bytes) -> None:
        """Sends a response, or only as much of it as it is to have."""
        if self.command == "GET" and self.owner.silent_after_bytes:
            self._sent_bytes = self.owner.silent_after_bytes.pop(0)
            if self._sent_bytes == 0:
                self.owner.stop_event.wait()
                return
        super().send_reply(status, body)

    def read_body(self) -> bytes:
        """Returns the body at the rate of the link from the caller.

        A body whose caller has given up still arrives, as on a real link.
        """
        pieces = []
        left = int(self.headers.get("Content-Length") or 0)
        while left > 0:
            piece = self.rfile.read(min(left, RECEIVE_BYTES))
            if not piece:
                break
            self.owner.link_to_store.carry(len(piece))
            pieces.append(piece)
            left -= len(piece)
        return b"".join(pieces)

    def write_body(self, body: bytes) -> None:
        """Writes the body, or only as much of it as it is to have."""
        if self._sent_bytes is not None:
            self.wfile.write(body[: self._sent_bytes])
            self.owner.stop_event.wait()
            return
        super().write_body(body)

    def _split_url(self) -> tuple[str, dict[str, str]]:
        url = urllib.parse.urlsplit(self.path)
        return url.path, dict(urllib.parse.parse_qsl(url.query))

    def do_POST(self) -> None:
        path, query = self._split_url()
        body = self.read_body()
        if self.owner.is_down or path != "/log-append":
            self.send_reply(503, b"{}")
            return
        if query["Topic"] in self.owner.silent_append_topics:
            while query["Topic"] in self.owner.silent_append_topics:
                time.sleep(POLL_INTERVAL_S)
            self.close_connection = True
            return
        if any(len(each) > MAX_RECORD_BYTES for each in split_records(body)):
            self.send_reply(400, b"{}")
            return
        with self.owner.lock:
            self.owner.append_sizes.append(len(body))
            status, answer = append_to_topic(
                self.owner.topics[query["Topic"]], query, body
            )
        self.send_reply(status, json.dumps(answer).encode())

    def do_GET(self) -> None:
        path, query = self._split_url()
        self.owner.reads.append(self.path)
        self.owner.before_read(self.path)
        if self.owner.is_down:
            self.send_reply(503, b"{}")
            return
        if "Topic" not in query:
            self.send_reply(404, b"{}")
            return
        topic = self.owner.topics[query["Topic"]]
        if path == "/log-newest":
            while query["Topic"] in self.owner.silent_topics:
                time.sleep(POLL_INTERVAL_S)
            self.send_reply(200, self._encode_newest(topic, query))
        else:
            self.send_reply(200, self._encode_records(topic, query))

    def _encode_newest(self, topic: Topic, query: dict[str, str]) -> bytes:
        """Returns a page of the newest record of each key as a body."""
        with self.owner.lock:
            answer = newest_page(topic, query.get("After", ""))
        return json.dumps(answer).encode()

    def _encode_records(self, topic: Topic, query: dict[str, str]) -> bytes:
        """Returns the records from an offset on, after waiting for one."""
        begin = int(query["From"])
        end_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(topic.records) <= begin and time.monotonic() < end_s:
            time.sleep(POLL_INTERVAL_S)
        framed = bytearray()
        with self.owner.lock:
            for record in topic.records[begin:]:
                if framed and len(framed) + len(record) > MAX_READ_BYTES:
                    break
                framed += struct.pack(">I", len(record)) + record
            end = len(topic.records)
        return struct.pack(">QQ", end, 0) + framed


def newest_page(topic: Topic, after: str) -> dict[str, Any]:
    """Returns the answer to a read of the newest record of each key."""
    items: list[dict[str, Any]] = []
    size = 0
    keys = sorted(key for key in topic.newest_by_key if key > after)
    for key in keys:
        offset, value = topic.newest_by_key[key]
        size += len(value)
        items.append(
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
        )
        if len(items) >= MAX_PAGE_RECORDS or size >= MAX_PAGE_BYTES:
            break
    return {
        "items": items,
        "HasMore": len(items) < len(keys),
        "EndOffset": len(topic.records),
    }


def append_to_topic(
    topic: Topic, query: dict[str, str], body: bytes
) -> tuple[int, dict[str, Any]]:
    """Appends records, checked for epoch and sequence; returns the answer."""
    end = len(topic.records)
    if "At" in query and int(query["At"]) != end:
        return 412, {"EndOffset": end}
    if "epoch" in query:
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        if epoch < topic.epoch:
            return 409, {"Reason": "fenced"}
        if (epoch, sequence) in topic.answer_by_append:
            return 200, topic.answer_by_append[epoch, sequence]
        if body and epoch == topic.epoch and sequence != topic.sequence + 1:
            return 409, {"Reason": "seq", "Sequence": topic.sequence + 1}
        if body:
            topic.sequence = sequence
        elif epoch > topic.epoch:
            topic.sequence = sequence - 1
        topic.epoch = epoch
    for record in split_records(body):
        topic.append_record(record)
    answer = {"Offset": end, "EndOffset": len(topic.records)}
    if "epoch" in query and body:
        topic.answer_by_append[topic.epoch, topic.sequence] = answer
    return 200, answer


def split_records(body: bytes) -> Iterator[bytes]:
    """Yields the length-prefixed records of a request body."""
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        yield body[position : position + length]
        position += length


class _Server(server.ThreadingHTTPServer):
    """An HTTP server whose clients may close connections at any time."""

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Prints the error of a request, unless its client has gone."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


def _start_server(
    handler: type[server.BaseHTTPRequestHandler], owner: object
) -> server.ThreadingHTTPServer:
    """Starts an HTTP server on a free loopback port in a thread."""
    httpd = _Server(("127.0.0.1", 0), handler)
    httpd.daemon_threads = True
    httpd.owner = owner  # type: ignore[attr-defined]
    threading.Thread(
        target=httpd.serve_forever, args=(POLL_INTERVAL_S,), daemon=True
    ).start()
    return httpd

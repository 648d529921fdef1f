"""Stand-in of the platform's store: a log with keyed topics (PROTOCOL.md).

It keeps partition 0 of each topic, answers at once, and loses nothing.
"""

import asyncio
import base64
import collections
import json
import struct

import web

MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 1_000_000
RECORD_BYTES = 262_144
KEPT_APPENDS = 5


class Topic:
    """One topic: its records, and the newest record of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = 0
        self.sequence = None
        self.answers = collections.OrderedDict()
        self.changed = asyncio.Event()

    def append(self, content):
        split = 1 + content[0]
        key, value = content[1:split].decode(), content[split:]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(content)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The store's HTTP interface.

    `answer_s` is its time for an answer. `is_down` makes it answer 503 to
    every call, which says that nothing was done.
    """

    def __init__(self, answer_s=0.004):
        self.topics = collections.defaultdict(Topic)
        self.answer_s = answer_s
        self.is_down = False
        self.server = web.Server(self.handle)

    async def start(self):
        await self.server.start()
        self.address = self.server.address

    def put(self, topic, key, value):
        """Writes a record for the operator or for an executor."""
        name = key.encode()
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topics[topic].append(bytes((len(name),)) + name + body)
        self.topics[topic].wake()

    def drop(self, topic, key):
        """Drops a key, as for an executor that has left."""
        self.put(topic, key, b"")

    async def handle(self, request):
        await asyncio.sleep(self.answer_s)
        if self.is_down:
            return 503, b"{}"
        query = request.query
        if "Topic" not in query or query.get("part", "0") != "0":
            return 404, b"{}"
        topic = self.topics[query["Topic"]]
        if request.path == "/log-append":
            status, answer = self._append(topic, query, request.body)
            return status, json.dumps(answer).encode()
        if request.path == "/log-newest":
            return 200, self._newest(topic, query.get("After", ""))
        if request.path == "/log-read":
            return 200, await self._read(topic, query)
        return 404, b"{}"

    def _append(self, topic, query, body):
        end = len(topic.records)
        if query["Topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        if "At" in query and int(query["At"]) != end:
            return 412, {"EndOffset": end}
        records = list(_split(body))
        if any(len(each) > RECORD_BYTES for each in records):
            return 400, {}
        if "epoch" in query:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            if epoch < topic.epoch:
                return 409, {"Reason": "fenced"}
            if epoch > topic.epoch:
                topic.epoch, topic.sequence = epoch, None
                topic.answers.clear()
            if sequence in topic.answers and records:
                return 200, topic.answers[sequence]
            if records:
                if topic.sequence is not None and (
                    sequence != topic.sequence + 1
                ):
                    expected = topic.sequence + 1
                    return 409, {"Reason": "seq", "Sequence": expected}
                topic.sequence = sequence
        for each in records:
            topic.append(each)
        answer = {"Offset": end, "EndOffset": len(topic.records)}
        if "epoch" in query and records:
            topic.answers[sequence] = answer
            while len(topic.answers) > KEPT_APPENDS:
                topic.answers.popitem(last=False)
        if records:
            topic.wake()
        return 200, answer

    def _newest(self, topic, after):
        items, size = [], 0
        keys = sorted(key for key in topic.newest if key > after)
        for key in keys:
            offset, value = topic.newest[key]
            items.append(
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
            )
            size += len(value)
            if len(items) >= MAX_PAGE_RECORDS or size >= MAX_PAGE_BYTES:
                break
        return json.dumps(
            {
                "items": items,
                "HasMore": len(items) < len(keys),
                "EndOffset": len(topic.records),
            }
        ).encode()

    async def _read(self, topic, query):
        begin = int(query["From"])
        wait_s = int(query.get("WaitMs", 0)) / 1000
        if len(topic.records) <= begin and wait_s > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        most = int(query.get("MaxKb", 1024)) * 1024
        body = bytearray(struct.pack(">QQ", len(topic.records), 0))
        for each in topic.records[begin:]:
            if len(body) > 16 and len(body) + len(each) > most:
                break
            body += struct.pack(">I", len(each)) + each
        return bytes(body)


def _split(body):
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        yield body[position : position + length]
        position += length

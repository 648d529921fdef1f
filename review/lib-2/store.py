"""Stand-in of the platform's store, as PROTOCOL.md describes it.

It has the topics of the system and those of the operator and the executors. An
entry of an executor is removed after three heartbeat intervals of silence.
"""

import base64
from http import server
import json
import struct
import threading
import time
import urllib.parse

APPEND_S = 0.002
ENTRY_TIMEOUT_S = 3 * 0.5
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Topic:
    """Partition 0 of a topic."""

    def __init__(self):
        self.records = []
        self.newest_by_key = {}
        self.epoch_by_producer = {}
        self.sequence_by_producer = {}
        self.answers_by_producer = {}

    def add(self, content):
        split = 1 + content[0]
        key, value = content[1:split].decode(), content[split:]
        if value:
            self.newest_by_key[key] = (len(self.records), value)
        else:
            self.newest_by_key.pop(key, None)
        self.records.append(content)


class Store:
    """The store, served at one address."""

    def __init__(self, host, port):
        self.condition = threading.Condition()
        self.topics = {}
        self.entry_seen_s = {}
        self.httpd = None
        self.connections = set()
        self.serve(host, port)
        threading.Thread(target=self.expire_entries, daemon=True).start()

    def serve(self, host, port):
        """Serves at an address."""
        self.httpd = Server((host, port), Handler)
        self.httpd.store = self
        self.address = f"{host}:{port}"
        threading.Thread(
            target=self.httpd.serve_forever, args=(0.02,), daemon=True
        ).start()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes as the operator or an executor does."""
        name = key.encode()
        text = b"" if value is None else json.dumps(value).encode()
        with self.condition:
            self.topic(topic).add(bytes((len(name),)) + name + text)
            self.condition.notify_all()

    def beat(self, executor_id, entry):
        with self.condition:
            self.entry_seen_s[executor_id] = time.monotonic()
        self.put("keyed.servers", executor_id, entry)

    def expire_entries(self):
        while True:
            time.sleep(0.1)
            with self.condition:
                old_s = time.monotonic() - ENTRY_TIMEOUT_S
                gone = [k for k, s in self.entry_seen_s.items() if s < old_s]
                for key in gone:
                    del self.entry_seen_s[key]
            for key in gone:
                self.put("keyed.servers", key, None)

    def newest(self, topic, key):
        """Returns the newest value of a key, or None."""
        with self.condition:
            found = self.topic(topic).newest_by_key.get(key)
        return None if found is None else json.loads(found[1])

    def append(self, query, body):
        topic = self.topic(query["Topic"])
        end = len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return 412, {"EndOffset": end}
        producer = query.get("Producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            known = topic.epoch_by_producer.get(producer, -1)
            if epoch < known:
                return 409, {"Reason": "fenced"}
            if epoch > known:
                topic.epoch_by_producer[producer] = epoch
                topic.sequence_by_producer[producer] = sequence - 1
                topic.answers_by_producer[producer] = {}
            if not body:
                return 200, {"Offset": end, "EndOffset": end}
            answers = topic.answers_by_producer[producer]
            if sequence in answers:
                return 200, answers[sequence]
            expected = topic.sequence_by_producer[producer] + 1
            if sequence != expected:
                return 409, {"Reason": "seq", "Sequence": expected}
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += 4
            topic.add(body[position : position + length])
            position += length
        answer = {"Offset": end, "EndOffset": len(topic.records)}
        if producer is not None and body:
            topic.sequence_by_producer[producer] = sequence
            answers[sequence] = answer
            for old in [each for each in answers if each <= sequence - 5]:
                del answers[old]
        self.condition.notify_all()
        return 200, answer

    def newest_page(self, query):
        topic = self.topic(query["Topic"])
        after = query.get("After", "")
        keys = sorted(each for each in topic.newest_by_key if each > after)
        items, size = [], 0
        for key in keys:
            offset, value = topic.newest_by_key[key]
            items.append(
                {
                    "Key": key,
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
            )
            size += len(value)
            if len(items) >= PAGE_ITEMS or size >= PAGE_BYTES:
                break
        return {
            "items": items,
            "HasMore": len(items) < len(keys),
            "EndOffset": len(topic.records),
        }

    def read(self, query):
        topic = self.topic(query["Topic"])
        begin = int(query["From"])
        until_s = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(topic.records) <= begin:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self.condition.wait(left_s)
        limit = 1024 * int(query.get("MaxKb", 1024))
        framed = bytearray()
        for record in topic.records[begin:]:
            if framed and len(framed) + len(record) > limit:
                break
            framed += struct.pack(">I", len(record)) + record
        return struct.pack(">QQ", len(topic.records), 0) + bytes(framed)

    def move(self, host, port):
        """Moves to another address: nothing answers at the old one."""
        old = self.httpd
        self.serve(host, port)
        old.shutdown()
        old.server_close()
        old.close_connections()


class Handler(server.BaseHTTPRequestHandler):
    """Handles calls to the store."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        return

    def setup(self):
        super().setup()
        self.server.open_sockets.add(self.connection)

    def finish(self):
        self.server.open_sockets.discard(self.connection)
        super().finish()

    def reply(self, status, body):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def do_POST(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        store = self.server.store
        if url.path.startswith("/standin/servers/"):
            store.beat(url.path.rpartition("/")[2], json.loads(body))
            self.reply(200, b"{}")
        elif url.path == "/log-append":
            if query["Topic"] in ("keyed.op", "keyed.servers"):
                self.reply(403, b"{}")
                return
            time.sleep(APPEND_S)
            with store.condition:
                status, answer = store.append(query, body)
            self.reply(status, json.dumps(answer).encode())
        else:
            self.reply(404, b"{}")

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        store = self.server.store
        if url.path == "/log-newest":
            with store.condition:
                answer = store.newest_page(query)
            self.reply(200, json.dumps(answer).encode())
        elif url.path == "/log-read":
            with store.condition:
                answer = store.read(query)
            self.reply(200, answer)
        else:
            self.reply(404, b"{}")


class Server(server.ThreadingHTTPServer):
    """An HTTP server whose clients may close connections at any time."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *args):
        self.open_sockets = set()
        super().__init__(*args)

    def close_connections(self):
        for each in list(self.open_sockets):
            try:
                each.shutdown(2)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        return

"""Stand-in of the service that tells which executors may run a step.

It follows PROTOCOL.md: an answer takes `DecisionMs` and `PerWorkerMs` for each
worker named, one call at a time for each calling machine, in turn; when 32
calls wait, it answers 429. A ticket names step, executor and end of validity.
"""

from http import server
import json
import threading
import time

MAX_WAITING = 32


class Advice:
    """The service, which lets every executor run every step.

    Args:
        host: Address that it listens on.
        port: Port that it listens on.
        note: Called with the event and fields of each call.
        decision_ms: Time of a decision.
        per_worker_ms: Further time for each worker named.
        validity_ms: Validity of a ticket.
    """

    def __init__(
        self,
        host,
        port,
        note,
        *,
        decision_ms=100,
        per_worker_ms=5,
        validity_ms=3000,
    ):
        self.note = note
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.validity_ms = validity_ms
        self.locks = {}
        self.waiting = 0
        self.guard = threading.Lock()
        self.httpd = Server((host, port), Handler)
        self.httpd.advice = self
        self.address = f"{host}:{port}"
        threading.Thread(
            target=self.httpd.serve_forever, args=(0.02,), daemon=True
        ).start()

    def close(self):
        """Ends the service: nothing answers at its address."""
        self.httpd.shutdown()
        self.httpd.server_close()
        for each in list(self.httpd.open_sockets):
            try:
                each.shutdown(2)
            except OSError:
                pass

    def answer(self, caller, body):
        with self.guard:
            if self.waiting >= MAX_WAITING:
                return 429, {}
            self.waiting += 1
            lock = self.locks.setdefault(caller, threading.Lock())
        workers = body["Workers"]
        with lock:
            time.sleep(
                (self.decision_ms + self.per_worker_ms * len(workers)) / 1000
            )
        with self.guard:
            self.waiting -= 1
        until = int(time.time() * 1000) + self.validity_ms
        self.note("advice", step=body["Step"], workers=len(workers))
        return 200, {
            "Good": [
                [each, f"{body['Step']}|{each}|{until}"] for each in workers
            ],
            "ValidityMs": self.validity_ms,
        }


class Handler(server.BaseHTTPRequestHandler):
    """Handles requests for advice."""

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

    def do_POST(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length))
        status, answer = self.server.advice.answer(
            self.client_address[0], body
        )
        text = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()


class Server(server.ThreadingHTTPServer):
    """An HTTP server whose clients may close connections at any time."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, *args):
        self.open_sockets = set()
        super().__init__(*args)

    def handle_error(self, request, client_address):
        return

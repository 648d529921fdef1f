"""Stand-in of an executor, as a process of its own.

It follows PROTOCOL.md ("Running tasks", "Service discovery"). What a task does
stands in the `Spec` of its job, a JSON object: `ms` (time of work), `last` (it
runs until it is stopped), `gang` (members that start together; all of them run
on one executor), `ticket` (its queue has advice) and `fail` (of a gang, the member
that ends as `failed` in each of the first runs).

Usage: executor.py ID ADDRESS STORE LOG [JSON of further fields]; STORE is a file
with the address of the platform's store.
"""

import http.client
from http import server
import json
import os
import sys
import threading
import time

MAX_HOLD_MS = 10_000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.05
HEARTBEAT_S = 0.5


class Run:
    """A run of a task."""

    def __init__(self, task, number, spec, now_s):
        self.task = task
        self.number = number
        self.spec = spec
        self.begin_s = now_s
        # A gang starts when all of its members are there.
        self.work_s = None if spec.get("gang") else now_s
        self.stop_s = None
        self.pace = 100

    def percent(self, now_s):
        if self.work_s is None:
            return 0
        whole_s = 0.3 if self.spec.get("last") else self.spec["ms"] / 1000
        return min(100, int(100 * (now_s - self.work_s) / max(0.001, whole_s)))


class Executor:
    """One life of an executor."""

    def __init__(self, name, address, store, log_path, fields):
        self.id = name
        self.address = address
        self.store = store
        self.fields = fields
        self.started_s = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.barred_by_task = {}
        self.failures_by_task = {}
        self.condition = threading.Condition()
        self.sequence = 0
        self.log_file = open(log_path, "a", encoding="utf-8", buffering=1)

    def log(self, event, **fields):
        fields = {"at": round(time.time(), 4), "executor": self.id} | fields
        self.log_file.write(json.dumps({"event": event} | fields) + "\n")

    def clock_ms(self):
        return int((time.monotonic() - self.started_s) * 1000)

    def stamp(self):
        return {"ClockMs": self.clock_ms(), "born": self.born}

    # Runs.

    def end(self, run, how):
        if self.running.pop((run.task, run.number), None) is None:
            return
        self.bar(run.task, run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.log("ended", task=run.task, run=run.number, how=how)
        self.condition.notify_all()

    def bar(self, task, number):
        self.barred_by_task[task] = max(
            self.barred_by_task.get(task, 0), number
        )

    def members(self, run):
        step = run.task.rpartition(".")[0]
        return [
            each
            for each in self.running.values()
            if each.number == run.number
            and each.task.rpartition(".")[0] == step
        ]

    def advance(self):
        now_s = time.monotonic()
        if self.running and self.clock_ms() > self.lease_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
        for run in list(self.running.values()):
            if (run.task, run.number) not in self.running:
                continue
            if run.stop_s is not None and now_s >= run.stop_s:
                self.end(run, "stopped")
                self.break_gang(run)
            elif run.work_s is None:
                self.advance_gang(run, now_s)
            elif run.spec.get("last"):
                continue
            elif now_s >= run.work_s + run.spec["ms"] / 1000:
                self.finish(run)

    def advance_gang(self, run, now_s):
        members = self.members(run)
        if len(members) >= run.spec["gang"]:
            for each in members:
                each.work_s = now_s
        elif now_s >= run.begin_s + GANG_TIMEOUT_S:
            self.end(run, "alone")

    def break_gang(self, run):
        if run.spec.get("gang"):
            for each in self.members(run):
                self.end(each, "broken")

    def finish(self, run):
        fail = run.spec.get("fail")
        if isinstance(fail, list):
            # Of a gang, each run fails in another member: `fail` tells which.
            index = int(run.task.rpartition(".")[2])
            step = run.task.rpartition(".")[0]
            count = self.failures_by_task.get(step, 0)
            if count < len(fail):
                if index != fail[count]:
                    return
                self.failures_by_task[step] = count + 1
                self.end(run, "failed")
                self.break_gang(run)
                return
        if run.spec.get("gang"):
            for each in self.members(run):
                self.end(each, "done")
            return
        self.end(run, "done")

    # Calls.

    def call(self, path, body, expected):
        with self.condition:
            if expected not in (None, self.id):
                return 421, {}
            self.advance()
            if body.get("FencingToken", 0) < self.token:
                return 409, self.stamp() | {"Reason": "fence"}
            self.token = body.get("FencingToken", 0)
            if path == "/hold":
                return self.hold(body)
            if path == "/run-start":
                return self.start(body)
            if path == "/run-stop":
                return self.stop(body)
            if path == "/pace":
                run = self.running.get((body["Task"], body["Run"]))
                if run is not None:
                    run.pace = body["Percent"]
                return 200, self.stamp()
            return 404, self.stamp()

    def extend(self, body):
        until_ms = min(
            body.get("DeadlineMs", 0), self.clock_ms() + MAX_HOLD_MS
        )
        self.lease_ms = max(self.lease_ms, until_ms)

    def start(self, body):
        task, number = body["Task"], body["Run"]
        if body["DeadlineMs"] <= self.clock_ms():
            return 409, self.stamp() | {"Reason": "late"}
        self.extend(body)
        if (task, number) in self.running:
            return 200, self.stamp()
        if number <= self.barred_by_task.get(task, 0):
            return 409, self.stamp() | {"Reason": "old"}
        spec = json.loads(body["Spec"])
        if spec.get("ticket") and not self.accepts(task, body.get("Ticket")):
            return 409, self.stamp() | {"Reason": "ticket"}
        run = Run(task, number, spec, time.monotonic())
        self.running[task, number] = run
        self.log("started", task=task, run=number, ticket=body.get("Ticket"))
        return 200, self.stamp()

    def accepts(self, task, ticket):
        step, name, until_ms = (ticket or "||0").split("|")
        return (
            step == task.rpartition(".")[0]
            and name == self.id
            and time.time() * 1000 <= int(until_ms)
        )

    def stop(self, body):
        task, number = body["Task"], body["Run"]
        self.bar(task, number)
        run = self.running.get((task, number))
        if run is not None and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
        return 200, self.stamp()

    def hold(self, body):
        self.extend(body)
        seen = body.get("LastSeen", 0)
        self.ended = [each for each in self.ended if each[0] > seen]
        until_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.ended and time.monotonic() < until_s:
            self.condition.wait(max(0.0, until_s - time.monotonic()))
        now_s = time.monotonic()
        rows = [
            [
                run.task,
                run.number,
                "",
                run.percent(now_s),
                0,
            ]
            for run in self.running.values()
        ]
        return 200, self.stamp() | {
            "Running": rows,
            "Ended": self.ended[:500],
        }

    # Registration.

    def describe(self):
        self.sequence += 1
        return {
            "Service": "coder",
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 32000, "MemMb": 128000, "Gpu": 0},
            "Labels": ["a", "r1-1"],
            "Sequence": self.sequence,
        } | self.fields | self.stamp()

    def beat(self):
        while True:
            try:
                with open(self.store, encoding="utf-8") as store_file:
                    host, _, port = store_file.read().strip().rpartition(":")
                connection = http.client.HTTPConnection(
                    host, int(port), timeout=1
                )
                connection.request(
                    "POST",
                    f"/standin/servers/{self.id}",
                    json.dumps(self.describe()),
                )
                connection.getresponse().read()
                connection.close()
            except (OSError, ValueError, http.client.HTTPException):
                pass
            time.sleep(HEARTBEAT_S)

    def tick(self):
        while True:
            time.sleep(0.01)
            with self.condition:
                self.advance()


class Handler(server.BaseHTTPRequestHandler):
    """Handles the calls to the executor."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        return

    def do_POST(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length) or b"{}")
        status, answer = self.server.executor.call(
            self.path, body, self.headers.get("Expect-Instance")
        )
        text = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)
        self.wfile.flush()


class Server(server.ThreadingHTTPServer):
    """The server of the executor, which may take over an address."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        return


def main():
    name, address, store, log_path = sys.argv[1:5]
    fields = json.loads(sys.argv[5]) if len(sys.argv) > 5 else {}
    executor = Executor(name, address, store, log_path, fields)
    host, _, port = address.rpartition(":")
    httpd = Server((host, int(port)), Handler)
    httpd.executor = executor
    executor.log("born", pid=os.getpid())
    threading.Thread(target=executor.beat, daemon=True).start()
    threading.Thread(target=executor.tick, daemon=True).start()
    httpd.serve_forever(0.05)


if __name__ == "__main__":
    main()

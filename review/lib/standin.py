"""Stand-ins of the platform's store, executors and clients, and a rig.

They speak what PROTOCOL.md says, as far as the scheduler uses it, on loopback
addresses. The rig starts the scheduler's own processes with the command of the
deploy file and ends them by their process ids.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
MAX_HOLD_S = 10.0
STORE_DELAY_S = 0.004
MAX_RECORD_BYTES = 262_144


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._begin_s = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self._begin_s:9.3f}  {text}\n")
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server with connections that are kept open."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._tasks = set()

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 22
        )
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                answer = await self._handle(method, target, headers, body)
                if answer is None:
                    # No answer, and nothing further on this connection.
                    await asyncio.sleep(3600)
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.epoch = -1
        self.sequence = -1
        self.answers = collections.OrderedDict()
        self.changed = asyncio.Event()

    def append(self, record):
        split = 1 + record[0]
        key, value = record[1:split], record[split:]
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's log store. Each caller has a listener of its own."""

    def __init__(self, record):
        self.record = record
        self.topics = collections.defaultdict(Topic)
        self.is_down = False
        self.refused_records = 0
        self.before_append = None
        self.servers = []

    async def listen(self, ip, caller):
        """Opens the listener of a caller; returns its address."""

        async def handle(method, target, headers, body):
            return await self._handle(caller, method, target, body)

        server = HttpServer(handle)
        self.servers.append(server)
        return f"{ip}:{await server.start(ip)}"

    def put(self, topic, key, document):
        name = key.encode()
        value = b"" if document is None else json.dumps(document).encode()
        self.topics[topic].append(bytes((len(name),)) + name + value)

    async def _handle(self, caller, method, target, body):
        await asyncio.sleep(STORE_DELAY_S)
        if self.is_down:
            return 503, b"{}"
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        topic = self.topics[query.get("Topic", "")]
        if (method, url.path) == ("POST", "/log-append"):
            if self.before_append is not None:
                verdict = self.before_append(caller, query, body)
                if verdict is not None:
                    return verdict
            return self._append(caller, topic, query, body)
        if (method, url.path) == ("GET", "/log-read"):
            return await self._read(topic, query)
        if (method, url.path) == ("GET", "/log-newest"):
            return self._newest(topic, query)
        return 404, b"{}"

    def _append(self, caller, topic, query, body):
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        if any(len(each) > MAX_RECORD_BYTES for each in records):
            self.refused_records += 1
            if self.refused_records <= 20:
                self.record(
                    f"store refuses a record of {max(map(len, records))} bytes"
                    f" of {caller}: at most {MAX_RECORD_BYTES}"
                )
            return 413, b'{"Reason":"record"}'
        end = len(topic.records)
        if "At" in query and int(query["At"]) != end:
            return 412, json.dumps({"EndOffset": end}).encode()
        key = None
        if "Producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            key = (epoch, sequence)
            if epoch < topic.epoch:
                return 409, b'{"Reason":"fenced"}'
            if key in topic.answers:
                return 200, topic.answers[key]
            if epoch > topic.epoch:
                topic.epoch = epoch
                topic.sequence = sequence - 1
                topic.answers.clear()
            if records and sequence != topic.sequence + 1:
                expected = topic.sequence + 1
                return 409, json.dumps(
                    {"Reason": "seq", "Sequence": expected}
                ).encode()
        for each in records:
            topic.append(each)
        answer = json.dumps(
            {"Offset": end, "EndOffset": len(topic.records)}
        ).encode()
        if key is not None and records:
            topic.sequence = key[1]
            topic.answers[key] = answer
            while len(topic.answers) > 5:
                topic.answers.popitem(last=False)
        return 200, answer

    async def _read(self, topic, query):
        begin = int(query["From"])
        end_s = time.monotonic() + min(30_000, int(query.get("WaitMs", 0))) / 1e3
        while begin >= len(topic.records):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left_s)
        size, parts = 0, []
        for each in topic.records[begin:]:
            if parts and size + len(each) > 1_048_576:
                break
            parts.append(struct.pack(">I", len(each)) + each)
            size += len(each)
        head = struct.pack(">QQ", len(topic.records), 0)
        return 200, head + b"".join(parts)

    def _newest(self, topic, query):
        after = query.get("After", "").encode()
        items, size, more = [], 0, False
        for key in sorted(topic.newest):
            if key <= after and "After" in query:
                continue
            if len(items) >= 500 or size > 1_000_000:
                more = True
                break
            offset, value = topic.newest[key]
            size += len(value)
            items.append(
                {
                    "Key": key.decode(),
                    "Value": base64.b64encode(value).decode(),
                    "Offset": offset,
                }
            )
        return 200, json.dumps(
            {"items": items, "HasMore": more, "EndOffset": len(topic.records)}
        ).encode()


class Run:
    def __init__(self, task, number, spec, begun_s, work_s, saved):
        self.task, self.number, self.spec = task, number, spec
        self.begun_s, self.work_s, self.saved = begun_s, work_s, saved
        self.stop_at_s = None


class Executor:
    """An executor that doesn't guard its capacity.

    `work_s(task, spec)` gives the time that a task works, None for one that
    lasts; `outcome(executor, run)` how it ends.
    """

    def __init__(self, rig, name, ip, rack, cpu=32_000, mem=125_000):
        self.rig, self.id, self.ip, self.rack = rig, name, ip, rack
        self.cpu, self.mem = cpu, mem
        self.kind = "a"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._zero_s = time.monotonic() - 5.0
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.lapsed_ends = set()
        self.end_count = 0
        self.barred = {}
        self.sequence = 0
        self.port = 0
        self.is_up = True
        self.refuses_starts = False
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)
        self.address = ""

    async def start(self):
        self.port = await self._server.start(self.ip, self.port)
        self.address = f"{self.ip}:{self.port}"

    def close(self):
        self._server.close()

    def crash(self):
        """Ends the process: all that it ran and knew is gone."""
        self.is_up = False
        self.close()
        self.rig.record(
            f"{self.id} crashes, with {sorted(key[0] for key in self.running)}"
        )
        self.running, self.ended, self.barred = {}, [], {}
        self.token = self.lease_ms = self.end_count = self.sequence = 0

    async def restart(self):
        """Starts again under its id and at its address."""
        self.born = int(time.time() * 1000)
        self._zero_s = time.monotonic() - 0.1
        self._server = HttpServer(self._handle)
        await self.start()
        self.is_up = True
        self.rig.record(f"{self.id} is back, born {self.born}")

    def clock_ms(self):
        return int((time.monotonic() - self._zero_s) * 1000)

    def describe(self):
        self.sequence += 1
        return {
            "Service": "coder",
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "Capacity": {"Cpu": self.cpu, "MemMb": self.mem, "Gpu": 0},
            "Labels": [self.kind, self.rack],
            "born": self.born,
        }

    def _end(self, run, how):
        del self.running[run.task, run.number]
        worked_s = time.monotonic() - run.begun_s
        run.saved = self.rig.checkpoint(run, worked_s)
        self.end_count += 1
        self.ended.append(
            [self.end_count, run.task, run.number, how, run.saved]
        )
        self.barred[run.task] = max(
            run.number, self.barred.get(run.task, 0)
        )
        self.rig.record(f"{self.id} run {run.task} #{run.number} ends {how}")
        self.rig.ends.append((time.monotonic(), run.task, run.number, how))
        self._changed.set()
        self._changed = asyncio.Event()

    def fail(self, run):
        """Ends a run through a fault of its task."""
        self._end(run, "failed")

    def tick(self):
        now_s = time.monotonic()
        if self.ended and self.clock_ms() >= self.lease_ms:
            # An end counts as noted unless the lease lapsed in between.
            self.lapsed_ends.update((self.born, each[0]) for each in self.ended)
        if self.running and self.clock_ms() >= self.lease_ms:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
        for run in list(self.running.values()):
            if run.stop_at_s is not None:
                if now_s >= run.stop_at_s:
                    self._end(run, "stopped")
            elif run.work_s is not None and now_s >= run.begun_s + run.work_s:
                self._end(run, self.rig.outcome(self, run))

    def _extend(self, deadline_ms):
        if deadline_ms is not None:
            longest_ms = self.clock_ms() + int(MAX_HOLD_S * 1000)
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    async def _handle(self, method, target, headers, body):
        if headers.get("expect-instance", self.id) != self.id:
            return 421, b"{}"
        call = json.loads(body)
        if target == "/run-start" and self.refuses_starts:
            self.rig.record(
                f"{self.id} answers 503 to /run-start {call['Task']}"
            )
            return 503, b"{}"
        token = call.get("FencingToken", 0)
        clock_ms = self.clock_ms()
        if token < self.token:
            return 409, json.dumps(
                {"ClockMs": clock_ms, "Reason": "fence"}
            ).encode()
        self.token = token
        if target == "/run-start":
            return self._start(call, clock_ms, token)
        if target == "/run-stop":
            key = call["Task"], call["Run"]
            self.barred[key[0]] = max(key[1], self.barred.get(key[0], 0))
            run = self.running.get(key)
            if run is not None and run.stop_at_s is None:
                run.stop_at_s = time.monotonic() + self.rig.stop_s
            self.rig.record(f"{self.id} /run-stop {key[0]} #{key[1]}")
            return 200, json.dumps({"ClockMs": clock_ms}).encode()
        if target == "/pace":
            return 200, json.dumps({"ClockMs": clock_ms}).encode()
        if target == "/hold":
            return await self._hold(call)
        return 404, b"{}"

    def _start(self, call, clock_ms, token):
        key = call["Task"], call["Run"]
        reason = None
        if key not in self.running:
            if call["DeadlineMs"] <= clock_ms:
                reason = "late"
            elif call["Run"] <= self.barred.get(call["Task"], 0):
                self._extend(call["DeadlineMs"])
                reason = "old"
        if reason is not None:
            return 409, json.dumps(
                {"ClockMs": clock_ms, "Reason": reason}
            ).encode()
        self._extend(call["DeadlineMs"])
        if key not in self.running:
            work_s = self.rig.work_s(call["Task"], call["Spec"])
            self.running[key] = Run(
                *key,
                call["Spec"],
                time.monotonic(),
                work_s,
                call.get("Checkpoint", ""),
            )
            self.rig.record(
                f"{self.id} starts {key[0]} #{key[1]} token {token}"
                f" (epoch {token >> 20})"
            )
            self.rig.starts.append((time.monotonic(), key[0], key[1], self.id))
        return 200, json.dumps({"ClockMs": clock_ms}).encode()

    async def _hold(self, call):
        self._extend(call.get("DeadlineMs"))
        seen = call.get("LastSeen", 0)
        for number, task, run, _, _ in self.ended:
            if number <= seen and (self.born, number) not in self.lapsed_ends:
                self.rig.noted.add((task, run))
        self.ended = [each for each in self.ended if each[0] > seen]
        end_s = time.monotonic() + min(2000, call.get("WaitMs", 0)) / 1000
        while not self.ended:
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        now_s = time.monotonic()
        running = []
        for run in self.running.values():
            worked_s = now_s - run.begun_s
            percent = 100
            if run.work_s is not None:
                percent = min(99, int(100 * worked_s / run.work_s))
            run.saved = self.rig.checkpoint(run, worked_s)
            figure = self.rig.reported(run)
            running.append([run.task, run.number, run.saved, percent, figure])
        return 200, json.dumps(
            {
                "ClockMs": self.clock_ms(),
                "born": self.born,
                "Running": running,
                "Ended": self.ended[:500],
            }
        ).encode()


class Instance:
    """One scheduler instance as a process."""

    def __init__(self, rig, number, ip, store_address):
        self.rig, self.name, self.ip = rig, f"front-{number}", ip
        self.front = f"{ip}:8161"
        self.ready = f"{ip}:8167"
        self.process = None
        self.settings = rig.folder / f"{self.name}.conf"
        self.log = rig.folder / f"{self.name}.log"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name, ip=ip, store=store_address, seed=rig.seed
            )
        )

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["instance"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BASILJUNCTION_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.rig.record(f"{self.name} is started, process {self.process.pid}")

    def signal(self, number):
        self.rig.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)


class Rig:
    """Store, executors, instances and clients of a small deployment."""

    def __init__(self, folder):
        self.seed = int(os.environ.get("SEED", "0")) or random.randrange(1 << 30)
        self.random = random.Random(self.seed)
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.store = Store(self.record)
        self.executors = []
        self.instances = []
        self.starts = []
        self.ends = []
        self.noted = set()
        self.work_s = lambda task, spec: 0.5
        self.outcome = lambda executor, run: "done"
        self.checkpoint = lambda run, worked_s: run.saved
        self.reported = lambda run: 0
        self.stop_s = 0.1
        self._tasks = []
        self.record(f"seed {self.seed}, trouble {self.has_trouble}")

    async def start(self, instances=3, executors=4, **executor_options):
        self.configure(1)
        for number in range(executors):
            executor = Executor(
                self,
                f"{self.random.getrandbits(64):016x}",
                f"{self.net}.{100 + number}",
                f"r1-{number // 8}",
                **executor_options,
            )
            await executor.start()
            self.executors.append(executor)
        self._tasks.append(asyncio.create_task(self._run_executors()))
        for number in range(1, instances + 1):
            address = await self.store.listen(
                f"{self.net}.250", f"front-{number}"
            )
            instance = Instance(self, number, f"{self.net}.{number}", address)
            self.instances.append(instance)
            instance.start()

    def configure(self, version):
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": version,
                "Routes": [
                    {
                        "Name": "q0",
                        "Host": HOST,
                        "PathPrefix": "/jobs/",
                        "Service": "coder",
                        "TimeoutMs": 3000,
                        "TargetLatencyMs": 1000,
                        "Priority": 0,
                        "MaxAttempts": 4,
                        "Stretch": 2.0,
                    }
                ],
                "Services": [
                    {
                        "Name": "coder",
                        "MaxConnections": 64,
                        "AdmissionCheck": False,
                    }
                ],
                "Limits": {"MaxBodyBytes": 262_144},
            },
        )

    async def _run_executors(self):
        next_beat_s = 0.0
        while True:
            for each in self.executors:
                each.tick()
            if time.monotonic() >= next_beat_s:
                next_beat_s = time.monotonic() + 1.1
                for each in self.executors:
                    if each.is_up:
                        entry = each.describe()
                        self.store.put("keyed.servers", each.id, entry)
            await asyncio.sleep(0.01)

    def new_job_id(self):
        return f"{self.random.getrandbits(64):016x}"

    def leader(self):
        """Returns the instance that wrote the newest term, and its epoch."""
        newest = self.store.topics["keyed.terms"].newest.get(b"term")
        if newest is None:
            return None, 0
        term = json.loads(newest[1])
        for each in self.instances:
            if each.name == term["instance"] and not term.get("is_resigned"):
                return each, term["epoch"]
        return None, term["epoch"]

    async def wait_until(self, check, limit_s, what):
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            value = check()
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun(f"no {what} within {limit_s} s")

    async def wait_for_service(self):
        """Waits until every instance is ready and a job is answered."""
        for each in self.instances:
            for _ in range(300):
                status, _ = await self.call(
                    each, "GET", "/readiness", port=8167, quiet=True
                )
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"{each.name} isn't ready")
        job = self.new_job_id()
        for _ in range(100):
            status, _ = await self.call(
                self.instances[0], "POST", f"/jobs/{job}", one_task()
            )
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun("no job was accepted")

    async def call(
        self, instance, method, path, body=None, *, wait_s=3.0, port=8161,
        quiet=False,
    ):
        """Makes a client's request; returns status 0 without an answer."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n"
            f"Deadline-Remaining: {int(wait_s * 1000)}\r\n"
            "Connection: close\r\n\r\n"
        ).encode()
        if not quiet:
            self.record(f"client sends {method} {path} to {instance.name}")
        status, document, writer = 0, {}, None
        try:
            async with asyncio.timeout(wait_s):
                reader, writer = await asyncio.open_connection(
                    instance.ip, port
                )
                writer.write(head + content)
                await writer.drain()
                answer = await reader.read()
                if answer:
                    status = int(answer.split(b" ", 2)[1])
                    text = answer.partition(b"\r\n\r\n")[2]
                    if status == 200 and text:
                        document = json.loads(text)
        except (OSError, TimeoutError, ValueError):
            status = 0
        finally:
            if writer is not None:
                writer.close()
        if not quiet:
            self.record(
                f"client gets {status or 'no answer'} {document or ''} for"
                f" {method} {path} from {instance.name}"
            )
        return status, document

    async def submit(self, instances, job, body, limit_s=20.0):
        """Hands a job in, at one instance after the other, until accepted."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            for each in instances:
                status, _ = await self.call(each, "POST", f"/jobs/{job}", body)
                if status == 200:
                    return True
                await asyncio.sleep(0.2)
        return False

    def running(self, job):
        """Returns the runs of a job that executors have now."""
        return [
            (executor.id, *key)
            for executor in self.executors
            for key in executor.running
            if key[0].startswith(job)
        ]

    def close(self):
        for task in self._tasks:
            task.cancel()
        for each in self.instances:
            if each.process is not None and each.process.poll() is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        for each in [*self.executors, *self.store.servers]:
            each.close()
        if os.environ.get("KEEP"):
            self.record(f"logs are kept in {self.folder.name}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class OpenConnection:
    """A client's connection to one daemon, which it keeps open."""

    def __init__(self, rig, instance):
        self._rig, self.instance = rig, instance
        self._reader = self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(
            self.instance.ip, 8161
        )

    async def call(self, method, path, wait_s=3.0):
        """Makes a request; returns status 0 without an answer."""
        self._rig.record(
            f"client sends {method} {path} to {self.instance.name} on its open"
            " connection"
        )
        status, content = 0, b""
        try:
            async with asyncio.timeout(wait_s):
                self._writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Deadline-Remaining: {int(wait_s * 1000)}\r\n\r\n".encode()
                )
                head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
                status = int(head.split(" ", 2)[1])
                for line in head.split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        content = await self._reader.readexactly(int(value))
        except (OSError, TimeoutError, ValueError, EOFError):
            status = 0
        self._rig.record(
            f"client gets {status or 'no answer'} {content.decode()} for"
            f" {method} {path} from {self.instance.name}"
        )
        return status

    def close(self):
        self._writer.close()


class CannotRun(Exception):
    """The case could not run."""


def one_task(**fields):
    return {
        "Spec": "task",
        "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 100,
                   "EstDurationMs": 500, **fields}],
    }


def main(scenario):
    """Runs a scenario: returns 1 if the rule was broken, 0 if it held."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent

    async def run():
        rig = Rig(folder)
        try:
            async with asyncio.timeout(115):
                broken = await scenario(rig)
        except (CannotRun, TimeoutError) as error:
            rig.record(f"the case could not run: {error!r}")
            return 2
        finally:
            rig.close()
        rig.record("the rule was broken" if broken else "the rule held")
        return int(broken)

    code = asyncio.run(run())
    sys.stdout.write(f"exit {code}\n")
    sys.exit(code)


SETTINGS = """\
NodeName={name}
Role=instance
MachineClass=front
Serves=front
Ip={ip}
Zone=zone-a
Region=region-a
Zones.zone-a=region-a
ListenAddrs.Front={ip}:8161
ListenAddrs.Ready={ip}:8167
ListenAddrs.Control={ip}:8166
InternalPorts=7720,7735
SeedNodes=
Bootstrap=true
FaultCounted=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
EntryPoint=vip
HeartbeatMs=1100
Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.ContactMs=3000
Bounds.AckTimeoutMs=4000
Bounds.CatchUpS=4
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=5000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=10000
Bounds.StopTimeoutMs=900
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RemoteFactor=1.5
Bounds.CheckpointS=0.5
Bounds.RestoreMs=250
Bounds.NoticeMs=4500
Bounds.MigrationS=1.5
Bounds.MaintenanceS=2
Bounds.FencingRequired=false
Bounds.LeaseMs=3000
Bounds.ThawSlackMs=300
Bounds.PaceMs=100
Bounds.HarmMs=4000
Commands=call
Advice=
platform.Address={store}
platform.form=log
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.parts=32
platform.AppendMs=2.0
platform.PartitionMbS=20.0
platform.ReadMbS=80.0
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=300
platform.PartitionMb=200
platform.MinTtlMs=1000
"""

"""Stand-in executors that keep to PROTOCOL.md.

The `Spec` of a job is JSON and tells what its tasks do: `work_ms` is the run
time of a task (tasks of a step that lasts ignore it), and a task whose index
stands in `bad` fails when it has worked for half of that.
"""

import asyncio
import dataclasses
import json
import random
import time

import web

MAX_HOLD_MS = 10_000
STOP_S = 0.05
HEARTBEAT_S = 1.1
MAX_LISTED_ENDS = 500
GANG_TIMEOUT_S = 3.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.25


@dataclasses.dataclass
class Run:
    """A run of a task; `begin_s` is None while it waits for its gang."""

    task: str
    number: int
    work_s: float
    arrived_s: float
    step: dict
    is_bad: bool = False
    begin_s: float = None
    stops_s: float = None
    resumed_s: float = 0.0
    checkpoint: str = ""

    @property
    def gang(self):
        """The gang of a member: its step and run; None for other tasks."""
        if not self.step.get("Gang"):
            return None
        return self.task.rpartition(".")[0], self.number

    def worked_s(self, now_s):
        """Returns how much of the work is done, in seconds."""
        if self.begin_s is None:
            return self.resumed_s
        return self.resumed_s + max(0.0, now_s - self.begin_s)


class Executor:
    """One executor. `crash` ends its life, `start` begins the next one."""

    def __init__(self, fleet, number, rack, cpu=8000, mem=32_000, gpu=0):
        self.fleet = fleet
        self.id = f"i-{number:04d}"
        self.capacity = {"Cpu": cpu, "MemMb": mem, "Gpu": gpu}
        self.labels = ["a", f"r{rack}"]
        self.server = None
        self.is_up = False
        self.port = None
        self.state = "ready"
        self.healed = asyncio.Event()
        self.healed.set()
        self.late_share = 0.0

    async def start(self):
        self.born_ms = time.time_ns() // 1_000_000
        self.born_s = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.barred = {}
        self.end_event = asyncio.Event()
        self.server = web.Server(self.handle, self.port)
        await self.server.start()
        self.port = int(self.server.address.rpartition(":")[2])
        self.is_up = True
        self.heartbeat()

    def crash(self):
        """Ends the process: what runs there ends, and nothing is listed."""
        self.is_up = False
        self.fleet.record("crash", executor=self.id, runs=len(self.running))
        gone = list(self.running.values())
        self.running.clear()
        for run in gone:
            self.fleet.note_end(self, run, "gone")
            self.fleet.end_gang(run, "gone")
        self.server.crash()
        self.healed.set()

    def cut(self):
        """Holds up all calls until `heal`; what runs goes on."""
        self.fleet.record("cut", executor=self.id, runs=len(self.running))
        self.healed.clear()

    def heal(self):
        self.fleet.record("heal", executor=self.id)
        self.healed.set()

    def heartbeat(self):
        self.last_beat_s = time.monotonic()
        self.fleet.store.put(
            "keyed.servers",
            self.id,
            {
                "Service": self.fleet.service,
                "Address": self.server.address,
                "Zone": "zone-a",
                "Version": "1",
                "Slots": 8,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": int(self.last_beat_s * 1000),
                "Capacity": self.capacity,
                "Labels": self.labels,
                "born": self.born_ms,
            },
        )

    def clock_ms(self):
        return int((time.monotonic() - self.born_s) * 1000)

    def work(self):
        """Ends what has to end by now."""
        now_s = time.monotonic()
        lapsed = self.clock_ms() > self.lease_ms
        for run in list(self.running.values()):
            if (run.task, run.number) not in self.running:
                continue  # Ended with its gang.
            worked_s = run.worked_s(now_s)
            if lapsed:
                self.end(run, "lapsed")
            elif run.stops_s is not None:
                if now_s >= run.stops_s:
                    self.save(run, worked_s, at_stop=True)
                    self.end(run, "stopped")
            elif run.begin_s is None:
                if now_s >= run.arrived_s + GANG_TIMEOUT_S:
                    self.end(run, "alone")
            elif run.is_bad and worked_s >= run.work_s / 2:
                self.end(run, "failed")
            elif worked_s >= run.work_s:
                self.end(run, "done")
            else:
                self.save(run, worked_s)

    def save(self, run, worked_s, *, at_stop=False):
        """Makes a checkpoint of the work that is done."""
        if not run.step.get("Checkpointing") or run.begin_s is None:
            return
        saved_s = worked_s if at_stop else worked_s // CHECKPOINT_S * CHECKPOINT_S
        if saved_s > 0:
            owner = run.gang[0] if run.gang else run.task
            run.checkpoint = self.fleet.save(owner, saved_s)

    def end(self, run, how):
        del self.running[run.task, run.number]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append(
            [self.end_count, run.task, run.number, how, run.checkpoint]
        )
        self.fleet.note_end(self, run, how)
        self.end_event.set()
        self.end_event = asyncio.Event()
        self.fleet.end_gang(run, how)

    async def handle(self, request):
        if request.path == "/health":
            return 200, b"{}"
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, b"{}"
        body = json.loads(request.body)
        born_ms = self.born_ms
        await self.healed.wait()
        if self.born_ms != born_ms:
            return None
        if request.path != "/hold" and random.random() < self.late_share:
            # Carried out later, without an answer.
            later_s = random.uniform(2.0, 12.0)
            asyncio.get_running_loop().call_later(
                later_s, self.carry_out_late, request.path, body, born_ms
            )
            return None
        self.work()
        status, answer = self.carry_out(request.path, body)
        if request.path == "/hold" and status == 200:
            await self.wait_for_end(body)
            await self.healed.wait()
            self.work()
            answer |= self.lists(body)
        answer |= {"ClockMs": self.clock_ms(), "born": self.born_ms}
        return status, json.dumps(answer).encode()

    def carry_out_late(self, path, body, born_ms):
        """Carries out an order that got no answer."""
        if self.born_ms == born_ms and self.is_up:
            self.work()
            status, answer = self.carry_out(path, body)
            self.fleet.record(
                "late-order", executor=self.id, path=path,
                task=body.get("Task"), run=body.get("Run"), status=status,
                reason=answer.get("Reason"),
            )

    async def wait_for_end(self, body):
        end_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self.ended and time.monotonic() < end_s:
            left_s = end_s - time.monotonic()
            try:
                await asyncio.wait_for(self.end_event.wait(), left_s)
            except asyncio.TimeoutError:
                return

    def lists(self, body):
        now_s = time.monotonic()
        rows = []
        for run in self.running.values():
            span_s = 0.3 if run.work_s == float("inf") else run.work_s
            share = min(1.0, run.worked_s(now_s) / max(span_s, 0.001))
            rows.append(
                [
                    run.task,
                    run.number,
                    run.checkpoint,
                    int(share * 100),
                    run.step.get("Cpu", 0),
                ]
            )
        return {"Running": rows, "Ended": self.ended[:MAX_LISTED_ENDS]}

    def carry_out(self, path, body):
        token = body.get("FencingToken", 0)
        if token < self.token:
            return 409, {"Reason": "fence"}
        self.token = token
        if path == "/hold":
            self.take_lease(body)
            seen = body["LastSeen"]
            for row in self.ended:
                if row[0] <= seen:
                    self.fleet.note_taken(self, row)
            self.ended = [row for row in self.ended if row[0] > seen]
            return 200, {}
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            run = self.running.get((body["Task"], body["Run"]))
            if run is not None and run.stops_s is None:
                run.stops_s = time.monotonic() + STOP_S
                asyncio.get_running_loop().call_later(STOP_S, self.work)
            task = body["Task"]
            self.barred[task] = max(self.barred.get(task, 0), body["Run"])
            return 200, {}
        if path == "/pace":
            return 200, {}
        return 404, {}

    def take_lease(self, body):
        if "DeadlineMs" in body:
            until_ms = min(body["DeadlineMs"], self.clock_ms() + MAX_HOLD_MS)
            self.lease_ms = max(self.lease_ms, until_ms)

    def start_run(self, body):
        key = (body["Task"], body["Run"])
        if key in self.running:
            self.take_lease(body)
            return 200, {}
        if body["DeadlineMs"] <= self.clock_ms():
            return 409, {"Reason": "late"}
        self.take_lease(body)
        if body["Run"] <= self.barred.get(body["Task"], 0):
            return 409, {"Reason": "old"}
        if not self.fleet.accepts_ticket(self, body):
            return 409, {"Reason": "ticket"}
        step = self.fleet.find_step(body["Task"])
        spec = json.loads(body["Spec"])
        work_s = spec.get("work_ms", 300) / 1000
        if step.get("LongRunning"):
            work_s = float("inf")
        index = int(body["Task"].rpartition(".")[2])
        run = Run(
            *key, work_s, time.monotonic(), step, index in spec.get("bad", ())
        )
        run.checkpoint = body.get("Checkpoint", "")
        self.running[key] = run
        self.fleet.note_start(self, run, body)
        if run.gang:
            self.fleet.join_gang(run)
        else:
            run.begin_s = run.arrived_s
        if run.checkpoint:
            run.resumed_s = self.fleet.saved_s.get(run.checkpoint, 0.0)
            if run.begin_s is not None:
                run.begin_s += RESTORE_S
        return 200, {}


class Fleet:
    """All executors, and what they have run."""

    def __init__(self, store, record, service="coder"):
        self.store = store
        self.record = record
        self.service = service
        self.executors = []
        self.jobs = {}
        self.violations = []
        self.active = {}
        self.starts = {}
        self.done = set()
        self.taken = set()
        self.tickets = None
        self.failed = {}
        self.saved_s = {}
        self.checkpoints = {}
        self.max_attempts = 3
        self.alone = []

    async def add(self, count, per_rack=8, **sizes):
        for _ in range(count):
            number = len(self.executors)
            executor = Executor(self, number, number // per_rack, **sizes)
            self.executors.append(executor)
            await executor.start()

    async def run(self):
        """Ends due runs, sends heartbeats, drops silent executors."""
        while True:
            now_s = time.monotonic()
            for each in self.executors:
                if each.is_up:
                    each.work()
                    if now_s - each.last_beat_s >= HEARTBEAT_S:
                        each.heartbeat()
                elif now_s - each.last_beat_s >= 3 * HEARTBEAT_S and (
                    each.id in self.store.topics["keyed.servers"].newest
                ):
                    self.store.drop("keyed.servers", each.id)
            await asyncio.sleep(0.02)

    def find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["Steps"][int(step)]

    def save(self, owner, saved_s):
        """Returns the checkpoint of a task, or of a gang, at some work."""
        text = f"{owner}@{saved_s:.3f}"
        self.saved_s[text] = saved_s
        self.checkpoints.setdefault(owner, set()).add(text)
        return text

    def note_start(self, executor, run, body):
        self.record(
            "start", task=run.task, run=run.number, executor=executor.id,
            token=body["FencingToken"], checkpoint=run.checkpoint,
        )
        self.starts.setdefault(run.task, []).append(time.monotonic())
        others = self.active.setdefault(run.task, set())
        if not run.step.get("Speculative"):
            if others:
                self.violate("TWICE", f"{run.task} beside {sorted(others)}")
            if run.task in self.taken:
                self.violate("TWICE", f"{run.task} after a noted good end")
            if len(self.failed.get(run.task, ())) >= self.max_attempts:
                self.violate("BUDGET", f"{run.task} run {run.number}")
        others.add((executor.id, run.number))
        owner = run.gang[0] if run.gang else run.task
        if run.checkpoint and (
            run.checkpoint not in self.checkpoints.get(owner, ())
        ):
            self.violate("UNASKED", f"{run.task} with {run.checkpoint}")
        if body["Spec"] != self.jobs[run.task.partition(".")[0]]["Spec"]:
            self.violate("UNASKED", f"{run.task} with another Spec")
        job, occurrence, step, _ = run.task.split(".")
        for before in run.step.get("After", ()):
            count = self.jobs[job]["Steps"][before]["Count"]
            for index in range(count):
                if f"{job}.{occurrence}.{before}.{index}" not in self.done:
                    self.violate("ORDER", f"{run.task} before step {before}")
                    break
        label = run.step.get("Requirements")
        if label and label not in executor.labels:
            self.violate("ROUTE", f"{run.task} on {executor.id}")
        limit = run.step.get("AntiAffinity")
        prefix = run.task.rpartition(".")[0] + "."
        beside = sum(t.startswith(prefix) for t, _ in executor.running)
        if limit and beside > limit:
            self.violate("ROUTE", f"{run.task} is one of {beside} there")
        for name, size in (("Cpu", "Cpu"), ("MemMb", "MemMb"), ("Gpu", "Gpu")):
            used = sum(
                each.step.get(size, 0)
                for each in executor.running.values()
                if not (size == "Cpu" and each.step.get("Fills"))
            )
            if used > executor.capacity[name]:
                self.violate("LIMIT", f"{run.task} on {executor.id}: {used}")

    def note_end(self, executor, run, how):
        self.record(
            "end", task=run.task, run=run.number, executor=executor.id, how=how
        )
        self.active[run.task].discard((executor.id, run.number))
        if how == "done":
            self.done.add(run.task)
        if how == "alone":
            self.alone.append(run.task)

    def note_taken(self, executor, row):
        """Notes that a scheduler has taken note of an end."""
        if row[3] == "done":
            self.taken.add(row[1])
        if row[3] == "failed":
            self.failed.setdefault(row[1], set()).add(row[2])

    def violate(self, rule, text):
        self.violations.append(f"{rule}: {text}")
        self.record("violation", rule=rule, text=text)

    def accepts_ticket(self, executor, body):
        """Returns whether a start carries what the policy gave out."""
        return self.tickets is None or self.tickets.accepts(executor, body)

    def _members(self, gang):
        return [
            (executor, each)
            for executor in self.executors
            for each in list(executor.running.values())
            if each.gang == gang
        ]

    def join_gang(self, run):
        """Lets a gang work from the time when all its members are there."""
        members = self._members(run.gang)
        if len(members) == run.step["Count"]:
            if len({each.checkpoint for _, each in members}) > 1:
                self.violate("UNASKED", f"{run.gang} with other checkpoints")
            for _, each in members:
                each.begin_s = time.monotonic()

    def end_gang(self, run, how):
        """Ends the other members of a gang that was at work."""
        if run.gang is None or run.begin_s is None:
            return
        for executor, each in self._members(run.gang):
            if (each.task, each.number) in executor.running:
                each.checkpoint = each.checkpoint or run.checkpoint
                executor.end(each, "done" if how == "done" else "broken")

"""A small deployment on loopback: store, executors, instances and clients."""

import asyncio
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib

import executors
import store
import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """\
NodeName={name}
Role=instance
MachineClass=front
Serves=front
Ip=127.0.0.1
Zone=zone-a
Region=region
Zones.zone-a=region
ListenAddrs.Front=127.0.0.1:{front}
ListenAddrs.Ready=127.0.0.1:{ready}
InternalPorts={peer},{peer}
Bootstrap=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
EntryPoint=vip
HeartbeatMs=1100
Bounds.ContactMs=3000
Bounds.AckTimeoutMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.RecoveryS=12
Bounds.MaxHoldMs=10000
Bounds.StopTimeoutMs=900
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.finish_s=14
Bounds.status_s=120
Bounds.NoticeMs=4500
Bounds.HarmMs=4000
Commands=call
Advice={advice}
platform.Address={store}
platform.form=log
platform.WritesPerS=800
platform.ReadsPerS=2000
platform.RecordBytes=262144
platform.RequestBytes=2097152
"""


class Instance:
    """An instance, started with the command of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"front-{number}"
        self.path = world.folder / f"{self.name}.conf"
        self.process = None
        self.log_path = world.folder / f"{self.name}.log"
        self.deaths = 0
        self.choose_ports()

    def choose_ports(self):
        """Chooses free ports and writes the settings file."""
        self.front = f"127.0.0.1:{web.free_port()}"
        self.ready = f"127.0.0.1:{web.free_port()}"
        self.metrics_port = web.free_port()
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                front=self.front.rpartition(":")[2],
                ready=self.ready.rpartition(":")[2],
                peer=web.free_port(),
                store=self.world.store.address,
                advice=self.world.advice_address,
            )
        )

    async def start(self):
        self.begun_s = time.monotonic()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["instance"]["run"].split(" ")
        # Ports are the same on all machines; on loopback each needs its own.
        words = [str(self.metrics_port) if w == "9464" else w for w in words]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(DEPS),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BASILJUNCTION_CONFIG": str(self.path),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record("process", name=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def memory_mb(self):
        """Returns the memory of the process, in MB; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def is_ready(self):
        status, _ = await web.call(
            self.ready, "GET", "/readiness", timeout_s=1.0
        )
        return status == 200


class World:
    """Everything that a script starts; `close` ends it."""

    def __init__(self, case_folder):
        self.case_folder = pathlib.Path(case_folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._record = (self.case_folder / "record.txt").open("w")
        self._begin_s = time.monotonic()
        self.store = store.Store()
        self.fleet = executors.Fleet(self.store, self.record)
        self.instances = []
        self.advice_address = ""
        self.tasks = []
        self.next_instance = 0
        self.routes = [
            {
                "Name": "queue-a",
                "Host": "jobs.example",
                "PathPrefix": "/jobs/",
                "Service": "coder",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 250,
                "Priority": 0,
                "MaxAttempts": 3,
                "Stretch": 1.5,
            }
        ]

    def record(self, event, **fields):
        """Writes what was sent, answered or run."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        passed_s = time.monotonic() - self._begin_s
        self._record.write(f"{passed_s:9.3f} {event} {text}\n")
        self._record.flush()

    def configure(self, version=1):
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": version,
                "Routes": self.routes,
                "Services": [
                    {
                        "Name": "coder",
                        "MaxConnections": 64,
                        "AdmissionCheck": False,
                    }
                ],
                "Limits": {"MaxBodyBytes": 262144},
            },
        )

    async def start(self, instances=3, executors=8, **sizes):
        """Starts everything; raises TimeoutError if it is not ready."""
        if not DEPS.is_dir():
            raise TimeoutError("target/deps is missing: build first")
        await self.store.start()
        self.configure()
        await self.fleet.add(executors, **sizes)
        self.tasks.append(asyncio.create_task(self.fleet.run()))
        self.instances = [Instance(self, n) for n in range(instances)]
        for each in self.instances:
            await each.start()
        end_s = time.monotonic() + 30.0
        for each in self.instances:
            while not await each.is_ready():
                if time.monotonic() > end_s:
                    raise TimeoutError("the instances are not ready in time")
                if time.monotonic() > each.begun_s + 8.0:
                    each.signal(signal.SIGKILL)
                    await each.process.wait()
                if each.process.returncode is not None:
                    # Another program may have taken a port in the meantime.
                    each.choose_ports()
                    await each.start()
                await asyncio.sleep(0.1)
        # As on the platform, traffic begins some time after the machines.
        await asyncio.sleep(2.0)

    def change_setting(self, name, old, new):
        """Changes a setting in the files of all instances."""
        for each in self.instances:
            text = each.path.read_text()
            each.path.write_text(text.replace(f"{name}={old}", f"{name}={new}"))
        self.record("settings", name=name, old=old, new=new)

    async def request(self, method, path, body=None, deadline_ms=3000):
        """Makes a client's request to the next instance that is ready.

        Returns its status and JSON body; 0 without an answer.
        """
        for _ in self.instances:
            self.next_instance += 1
            instance = self.instances[self.next_instance % len(self.instances)]
            if instance.process.returncode is not None:
                continue
            text = b"" if body is None else json.dumps(body).encode()
            headers = [
                ("Host", "jobs.example"),
                ("Content-Type", "application/json"),
                ("Deadline-Remaining", str(deadline_ms)),
            ]
            status, answer = await web.call(
                instance.front,
                method,
                path,
                text,
                headers,
                timeout_s=deadline_ms / 1000 + 1.0,
            )
            if status == -1:
                continue
            self.record(
                "request",
                to=instance.name,
                method=method,
                path=path,
                status=status,
                answer=answer[:80].decode("latin-1"),
            )
            try:
                return status, json.loads(answer or b"{}")
            except ValueError:
                return status, {}
        return 0, {}

    async def submit(self, job, steps, prefix="/jobs/", attempts=5, **spec):
        """Hands a job in, as a client that repeats; returns whether taken."""
        more = spec.pop("more", {})
        body = {"Spec": json.dumps(spec), "Steps": steps} | more
        self.fleet.jobs[job] = body
        for _ in range(attempts):
            status, _ = await self.request("POST", prefix + job, body)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(1.0)
        return False

    async def state(self, job, prefix="/jobs/"):
        """Returns the state of a job; its status as text without one."""
        status, answer = await self.request("GET", prefix + job)
        return answer.get("State", str(status))

    async def settle(self, jobs, until_s, wanted=("completed",)):
        """Asks for jobs until all are as wanted; returns the last states."""
        states = {}
        while True:
            left = [job for job in jobs if states.get(job) not in wanted]
            answers = await asyncio.gather(*(self.state(job) for job in left))
            states |= dict(zip(left, answers))
            if all(each in wanted for each in states.values()):
                return states
            if time.monotonic() > until_s:
                return states
            await asyncio.sleep(0.3)

    async def keep_running(self, memory_mb=300.0):
        """Does what the platform does with processes.

        It kills one that exceeds its memory, and starts one that has ended
        again after a short delay.
        """
        while True:
            for each in self.instances:
                if each.process.returncode is not None:
                    self.record("restart", name=each.name)
                    await asyncio.sleep(0.3)
                    await each.start()
                elif each.memory_mb() > memory_mb:
                    self.record(
                        "over-memory", name=each.name, mb=int(each.memory_mb())
                    )
                    each.deaths += 1
                    each.signal(signal.SIGKILL)
                    await each.process.wait()
            await asyncio.sleep(0.05)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for each in self.instances:
            each.signal(signal.SIGCONT)
            each.signal(signal.SIGKILL)
        for each in self.instances:
            if each.process is not None:
                await each.process.wait()
        for each in self.fleet.executors:
            each.server.crash()
        self.store.server.crash()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for each in self.instances:
                pathlib.Path(keep, each.log_path.name).write_bytes(
                    each.log_path.read_bytes()
                )
        self._record.close()
        self._temporary.cleanup()


def main(case_file, scenario):
    """Runs a scenario; exits with 1 if it returns violations, 2 on failure."""

    async def run():
        world = World(pathlib.Path(case_file).resolve().parent)
        try:
            return await asyncio.wait_for(scenario(world), 110.0)
        except Exception as error:  # A fault of the case breaks no rule.
            print(f"could not run: {error!r}")
            return None
        finally:
            await world.close()

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        found = asyncio.run(run())
    except KeyboardInterrupt:
        found = None
    if found is None:
        sys.exit(2)
    for text in found:
        print(text)
    print("rule broken" if found else "rule held")
    sys.exit(1 if found else 0)

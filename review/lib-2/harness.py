"""Starts a small deployment on loopback: instances, store and executors.

Instances run with the command of the deploy file, at the repository root. Each
has a loopback address of its own, so that all have the same ports, as the
machines of a day do.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

import store as store_module

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
LIBRARY = pathlib.Path(__file__).resolve().parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 114

SETTINGS = """\
NodeName={name}
Role=instance
MachineClass=front
Serves=front
Ip={ip}
Zone=zone-a
Region=region-a
Zones.zone-a=region-a
ListenAddrs.Front={ip}:{front}
ListenAddrs.Ready={ip}:{ready}
ListenAddrs.Control={ip}:{control}
InternalPorts={peer},{last_peer}
SeedNodes={ip}:{control}
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
HeartbeatMs=500
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
Advice={advice}
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
CloudApi.Address={store}
CloudApi.RatePerS=60.0
CloudApi.Duties=
CloudApi.DutyPerS=60.0
"""

HOST = "jobs.example"


class CannotRunError(Exception):
    """The case cannot run here."""


def find_port(hosts):
    """Returns a port that is free on all hosts."""
    for _ in range(200):
        port = random.randint(20_000, 32_000)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRunError("no free port")


class Instance:
    """An instance, as a process of its own."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-{number}"
        self.ip = deployment.hosts[number]
        self.path = deployment.folder / f"{self.name}.conf"
        self.log_path = deployment.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self):
        """Writes the settings file at once, as the platform does."""
        text = SETTINGS.format(
            name=self.name, ip=self.ip, **self.deployment.fields
        )
        new = self.path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.path)

    def start(self):
        self.write_settings()
        with self.log_path.open("ab") as log_file:
            self.process = subprocess.Popen(
                self.deployment.command,
                cwd=REPOSITORY,
                stdout=log_file,
                stderr=log_file,
                stdin=subprocess.DEVNULL,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "BASILJUNCTION_CONFIG": str(self.path),
                },
            )

    def signal(self, number):
        self.process.send_signal(number)

    def call(self, method, path, body=None, timeout_s=4.0, headers=()):
        """Makes a client's request; returns status 0 for no answer."""
        connection = http.client.HTTPConnection(
            self.ip, self.deployment.fields["front"], timeout=timeout_s
        )
        try:
            text = None if body is None else json.dumps(body)
            connection.request(
                method,
                path,
                text,
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "Deadline-Remaining": str(int(timeout_s * 1000) - 500),
                }
                | dict(headers),
            )
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            connection.close()

    def is_ready(self):
        connection = http.client.HTTPConnection(
            self.ip, self.deployment.fields["ready"], timeout=1
        )
        try:
            connection.request("GET", "/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class ExecutorProcess:
    """An executor, as a process of its own."""

    def __init__(self, deployment, number, fields=None):
        self.deployment = deployment
        self.id = f"i-{number:02d}{random.getrandbits(24):06x}"
        self.address = f"{deployment.executor_host}:{deployment.next_port()}"
        self.log_path = deployment.folder / f"executor-{number}.jsonl"
        self.log_path.touch()
        self.fields = fields or {}
        self.process = None
        self._read = 0

    def start(self):
        with self.deployment.lock:
            if not self.deployment.is_closed:
                self._start()

    def _start(self):
        self.process = subprocess.Popen(
            [
                sys.executable,
                str(LIBRARY / "executor.py"),
                self.id,
                self.address,
                str(self.deployment.store_path),
                str(self.log_path),
                json.dumps(self.fields),
            ],
            stdin=subprocess.DEVNULL,
        )

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_up(self):
        """Returns whether its process takes connections."""
        host, _, port = self.address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), timeout=0.2).close()
        except OSError:
            return False
        return True

    def new_events(self):
        """Returns what it has logged since the last call."""
        with self.log_path.open(encoding="utf-8") as log_file:
            log_file.seek(self._read)
            text = log_file.read()
        whole = text[: text.rfind("\n") + 1]
        self._read += len(whole.encode())
        return [json.loads(line) for line in whole.splitlines()]


class Deployment:
    """A deployment with its record of what was sent, answered and run."""

    def __init__(self, case_folder, instances=3, executors=4, advice=""):
        self.case_folder = pathlib.Path(case_folder)
        if not (REPOSITORY / "target/deps/basiljunction").is_dir():
            raise CannotRunError("the build of the deploy file is missing")
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.command = deploy["roles"]["instance"]["run"].split()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basil-review-"))
        self.record_lines = []
        self.lock = threading.Lock()
        net = f"127.{random.randint(20, 200)}.{random.randint(1, 250)}"
        self.hosts = [f"{net}.{10 + n}" for n in range(instances)]
        self.executor_host = f"{net}.100"
        self.store_host = f"{net}.101"
        self._ports = set()
        self.store = store_module.Store(
            self.store_host, find_port([self.store_host])
        )
        self.store_path = self.folder / "store"
        self.store_path.write_text(self.store.address)
        peer = find_port(self.hosts)
        self.fields = {
            "front": find_port(self.hosts),
            "ready": find_port(self.hosts),
            "control": find_port(self.hosts),
            "peer": peer,
            "last_peer": peer + 15,
            "store": self.store.address,
            "advice": advice,
        }
        self.version = 0
        self.instances = [Instance(self, n) for n in range(instances)]
        self.executors = [ExecutorProcess(self, n) for n in range(executors)]
        self.begin_s = time.time()
        self.is_closed = False

    def next_port(self):
        while True:
            port = find_port([self.executor_host])
            if port not in self._ports:
                self._ports.add(port)
                return port

    def note(self, event, **fields):
        """Adds a line to the record."""
        line = {"at": round(time.time() - self.begin_s, 3), "event": event}
        with self.lock:
            self.record_lines.append((line["at"], json.dumps(line | fields)))

    def move_store(self):
        """Moves the store to another address, which the settings name then."""
        self.store.move(self.store_host, find_port([self.store_host]))
        self.fields["store"] = self.store.address
        self.store_path.write_text(self.store.address)
        for each in self.instances:
            each.write_settings()
        self.note("store moved", address=self.store.address)

    def configure(self, routes, services=("coder",)):
        """Publishes a configuration."""
        self.version += 7
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": self.version,
                "Routes": [
                    {
                        "Name": f"r-{number}",
                        "Host": HOST,
                        "Kind": "unsafe",
                        "TimeoutMs": 3000,
                        "TargetLatencyMs": 250,
                        "Priority": 0,
                        "Service": "coder",
                        "MaxAttempts": 3,
                        "Stretch": 1.5,
                    }
                    | route
                    for number, route in enumerate(routes)
                ],
                "Services": [
                    {
                        "Name": name,
                        "HealthPath": "/health",
                        "MaxConnections": 64,
                        "Protocol": "h1",
                        "Tls": False,
                        "AdmissionCheck": False,
                        "Standby": False,
                    }
                    for name in services
                ],
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 262144,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
            },
        )
        self.note("configuration", version=self.version)

    def start(self, timeout_s=40.0):
        """Starts all processes; waits until the instances are ready."""
        for each in (*self.executors, *self.instances):
            each.start()
        end_s = time.monotonic() + timeout_s
        while not all(each.is_ready() for each in self.instances):
            if time.monotonic() > end_s:
                raise CannotRunError("instances are not ready")
            time.sleep(0.1)
        time.sleep(2.0)
        self.note("ready")

    def find_scheduler(self):
        """Returns the instance that holds the newest term, or None."""
        for topic in list(self.store.topics.values()):
            for key, (_, value) in list(topic.newest_by_key.items()):
                if key != "term":
                    continue
                term = json.loads(value)
                for each in self.instances:
                    if each.name == term.get("instance"):
                        return each
        return None

    def call(self, method, path, body=None, instance=None, **kwargs):
        """Makes a client's request, with its retries on other instances."""
        first = self.instances.index(instance) if instance else 0
        status, answer = 0, {}
        for attempt in range(5):
            chosen = self.instances[(first + attempt) % len(self.instances)]
            status, answer = chosen.call(method, path, body, **kwargs)
            self.note(
                "call",
                method=method,
                path=path,
                instance=chosen.name,
                status=status,
                answer=answer,
            )
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(1.0)
        return status, answer

    def collect(self):
        """Returns all events of the executors, oldest first."""
        events = []
        for each in self.executors:
            with each.log_path.open(encoding="utf-8") as log_file:
                events += [json.loads(line) for line in log_file]
        return sorted(events, key=lambda event: event["at"])

    def close(self):
        """Ends all processes and writes the record."""
        with self.lock:
            self.is_closed = True
        for each in (*self.instances, *self.executors):
            if each.process is not None and each.process.poll() is None:
                each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        lines = list(self.record_lines)
        for event in self.collect():
            at = round(event.pop("at") - self.begin_s, 3)
            lines.append((at, json.dumps({"at": at} | event)))
        lines.sort(key=lambda pair: pair[0])
        (self.case_folder / "record.txt").write_text(
            "\n".join(text for _, text in lines) + "\n", encoding="utf-8"
        )
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def has_trouble():
    """Returns whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def new_job_id():
    """Returns a job id, as clients choose it."""
    return f"{random.getrandbits(64):016x}"


def run_case(case_folder, make, play):
    """Runs a case and exits with its result.

    An error of the case itself, the end of its time or SIGTERM mean that it
    could not run; the processes that it started are ended then, too.

    Args:
        case_folder: Folder of the case.
        make: Returns the deployment.
        play: Plays the case; returns the breaks of the rule, one text each.
    """

    def give_up(number, _):
        raise CannotRunError(f"ended by signal {number}")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LIMIT_S)
    try:
        deployment = make()
    except (CannotRunError, OSError) as error:
        print(f"cannot run: {error}")
        sys.exit(NOT_RUN)
    result = NOT_RUN
    try:
        breaks = play(deployment)
        for text in breaks:
            deployment.note("broken", text=text)
        result = BROKEN if breaks else HELD
        for text in breaks[:10]:
            print(f"broken: {text}")
        print("rule broken" if breaks else "rule held")
    except CannotRunError as error:
        print(f"cannot run: {error}")
    except Exception:
        traceback.print_exc()
        print("cannot run: error of the case")
    finally:
        signal.alarm(0)
        deployment.close()
    sys.exit(result)

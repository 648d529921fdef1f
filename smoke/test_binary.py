"""Smoke test of dist/basiljunction, which `make binary` builds and tests."""

from collections.abc import Iterator
import contextlib
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

import psutil
import pytest

ROOT = pathlib.Path(__file__).parents[1]
BINARY = ROOT / "dist" / "basiljunction"
MEMORY_FOLDER = "/tmp"  # noqa: S108 - in memory on an instance, and its only writable folder
TOKEN = "operator-token"  # noqa: S105 - a token of this test
CALLER_TOKEN = "kowhai-example-token"  # noqa: S105 - the example's token
MAX_SIZE_BYTES = 50_000_000

TIMEOUT_S = 30.0
"""Longest wait for a command or a state of the instance, in seconds."""

SAMPLE_INTERVAL_S = 0.01
"""Time between two samples of the watcher, or two checks of a wait."""


class ProcessWatcher:
    """Samples a process for child processes and for files open for writing.

    Attributes:
        names_by_pid: Names of the descendants that were seen.
        written: Files outside memory that the process had open for writing.
    """

    def __init__(self, pid: int) -> None:
        """Starts to sample a process in a thread.

        Args:
            pid: Id of the process.
        """
        self.names_by_pid: dict[int, str] = {}
        self.written: set[str] = set()
        self._process = psutil.Process(pid)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def end(self) -> None:
        """Stops sampling."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            with contextlib.suppress(psutil.Error):
                self._sample()

    def _sample(self) -> None:
        for child in self._process.children(recursive=True):
            self.names_by_pid[child.pid] = child.name()
        for file in self._process.open_files():
            in_memory = file.path.startswith((MEMORY_FOLDER, "/proc"))
            if file.mode != "r" and not in_memory:
                self.written.add(file.path)


class BinaryRig:
    """Runs commands of the binary, with their files in an in-memory folder.

    Attributes:
        folder: In-memory folder of this run.
        environment: Environment variables of the commands.
        watch: Watcher of the instance, once it runs.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Creates a rig without processes.

        Args:
            folder: In-memory folder.
        """
        self.folder = folder
        self.environment = {
            **os.environ,
            "SHIV_ROOT": str(folder / "root"),
            "PATH": f"{_interpreter_folder()}:{os.environ['PATH']}",
        }
        self.watch: ProcessWatcher | None = None
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts a command and sends its error output to an in-memory file."""
        with (self.folder / "messages").open("ab") as messages:
            process = subprocess.Popen(  # noqa: S603 - the program under test
                [str(BINARY), *arguments],
                env=self.environment,
                stdout=subprocess.PIPE,
                stderr=messages,
            )
        self._processes.append(process)
        return process

    def start_standin(self, *arguments: str) -> str:
        """Starts a stand-in and returns its address."""
        process = self.start("standin", *arguments)
        assert process.stdout is not None
        address: str = json.loads(process.stdout.readline())["address"]
        return address

    def run(self, *arguments: str, entry: str, token: str) -> str:
        """Runs a command until it ends and returns its standard output."""
        result = subprocess.run(  # noqa: S603 - the program under test
            [str(BINARY), *arguments],
            env={
                **self.environment,
                "BASILJUNCTION_ENTRIES": entry,
                "BASILJUNCTION_TOKEN": token,
            },
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        assert result.returncode == 0, result.stderr
        return result.stdout

    def end(self) -> None:
        """Stops the watcher and kills the started processes."""
        if self.watch is not None:
            self.watch.end()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def _interpreter_folder() -> str:
    """Returns the folder of the base Python interpreter."""
    return str(pathlib.Path(sys.base_prefix) / "bin")


@pytest.fixture
def site() -> Iterator[BinaryRig]:
    """Yields a rig and removes its processes and folder afterwards."""
    with tempfile.TemporaryDirectory(dir=MEMORY_FOLDER) as folder:
        site = BinaryRig(pathlib.Path(folder))
        yield site
        site.end()


def _machine_list(address: str) -> list[dict[str, Any]]:
    """Returns the platform's entries of a worker and its executor."""
    common = {"zone": "dunedin", "rack": "rack-1", "leaving": False}
    worker = {
        **common,
        "name": "worker-1",
        "role": "worker",
        "address": f"{address}/worker-1",
        "worker": "",
        "slots": 0,
        "connections": 0,
        "millicores": 32000,
        "memory_mib": 128000,
        "accelerators": 0,
    }
    executor = {
        **worker,
        "name": "worker-1-executor",
        "role": "executor",
        "address": f"{address}/worker-1-executor",
        "worker": "worker-1",
        "slots": 8,
        "connections": 64,
        "millicores": 0,
        "memory_mib": 0,
    }
    return [worker, executor]


def _write_settings(site: BinaryRig) -> pathlib.Path:
    """Starts the stand-ins and returns a settings file that names them."""
    workers = site.start_standin("worker", "--count", "1", "--with-executors")
    listed = site.folder / "instances.json"
    listed.write_text(json.dumps({"instances": _machine_list(workers)}))
    body = {
        "instance": "dunedin-1",
        "region": "south",
        "zone": "dunedin",
        "group": "south",
        "http_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "log_url": site.start_standin("log"),
        "platform_url": site.start_standin(
            "platform", "--instances", str(listed)
        ),
        "operators": [
            {
                "name": "ana",
                "credential_hash": hashlib.sha256(TOKEN.encode()).hexdigest(),
            }
        ],
        "limits": {"drain_s": 2.0},
    }
    path = site.folder / "settings.json5"
    path.write_text(f"// made by the smoke test\n{json.dumps(body)}")
    return path


def _await_started(site: BinaryRig) -> str:
    """Returns the URL of the instance once its start has been logged."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        for line in (site.folder / "messages").read_text().splitlines():
            if '"daemon.started"' in line:
                return f"http://{json.loads(line)['http']}"
        time.sleep(SAMPLE_INTERVAL_S)
    pytest.fail((site.folder / "messages").read_text()[-2000:])


def _await_ready(entry: str) -> None:
    """Waits until the instance at a URL reports that it is ready."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        response = subprocess.run(  # noqa: S603 - a fixed command
            ["/usr/bin/env", "curl", "-sf", f"{entry}/readyz"],
            capture_output=True,
            check=False,
        )
        if response.returncode == 0:
            return
        time.sleep(SAMPLE_INTERVAL_S)
    pytest.fail("the instance did not become ready")


def _count_child_page_faults(pid: int) -> int:
    """Returns the number of page faults of children that have ended.

    The kernel adds them when a child is waited for, so this also detects a
    child that ran for less than the sampling interval.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    return int(text.rpartition(")")[2].split()[8])


class TestBinary:
    """The binary is small and serves a request from a single process.

    The process starts no children and writes no files to disk.
    """

    def test_size(self) -> None:
        assert BINARY.stat().st_size < MAX_SIZE_BYTES
        print(f"\nsize {BINARY.stat().st_size / 1e6:.1f} MB")

    def test_thin_path_in_one_process(self, site: BinaryRig) -> None:
        settings = _write_settings(site)
        started_s = time.monotonic()
        site.environment["SHIV_ROOT"] = str(site.folder / "cold-root")
        daemon = site.start("serve", "--settings", str(settings))
        site.watch = ProcessWatcher(daemon.pid)
        entry = _await_started(site)
        listens_s = time.monotonic() - started_s
        _await_ready(entry)
        ready_s = time.monotonic() - started_s
        print(
            f"\nfirst start: listens {listens_s:.2f} s, ready {ready_s:.2f} s"
        )
        example = str(ROOT / "examples" / "kowhai" / "contract.json5")
        published = site.run(
            "contract", "publish", example, entry=entry, token=TOKEN
        )
        assert "accepted once" in published
        answer = site.run(
            "request",
            "send",
            "interviewer-check",
            entry=entry,
            token=CALLER_TOKEN,
        )
        assert answer is not None
        rss_mb = psutil.Process(daemon.pid).memory_info().rss / 1e6
        print(f"resident memory {rss_mb:.0f} MB")
        assert _count_child_page_faults(daemon.pid) == 0
        daemon.send_signal(signal.SIGTERM)
        daemon.wait(TIMEOUT_S)
        assert site.watch.names_by_pid == {}
        assert site.watch.written == set()

"""Starts and stops the demo's processes.

Only the demo starts processes; a serving process never does.
"""

from concurrent import futures
import json
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

LISTEN_TIMEOUT_S = 30.0
"""Longest wait for a stand-in to listen, in seconds."""

KILL_TIMEOUT_S = 5.0
"""Longest wait for the exit of a killed process, in seconds."""


class ProcessFailedError(RuntimeError):
    """Raised when a process did not report that it listens."""

    def __init__(
        self, name: str, exit_code: int | None, log: pathlib.Path
    ) -> None:
        """Creates the error.

        Args:
            name: Name of the process.
            exit_code: Its exit code, or None if it still runs.
            log: Path of its log file.
        """
        super().__init__(
            f"process {name} not listening (exit code {exit_code}); see {log}"
        )


class ProcessManager:
    """Starts and stops processes under unique names.

    Args:
        folder: Folder of their log files; old log files are deleted.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._readers = futures.ThreadPoolExecutor(4)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.log"):
            old.unlink()

    def start(
        self, name: str, *arguments: str, announces: bool = False
    ) -> None:
        """Starts a basiljunction command as a process.

        Args:
            name: Name of the process; an earlier log of that name is kept.
            *arguments: The command and its arguments.
            announces: Whether it prints a JSON line once it listens.
        """
        self._rename_earlier_log(name)
        with self._log_path(name).open("wb") as log:
            self._by_name[name] = subprocess.Popen(  # noqa: S603 - this program
                [sys.executable, "-m", "basiljunction", *arguments],
                stdout=subprocess.PIPE if announces else log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def wait_until_listening(self, name: str) -> dict[str, Any]:
        """Returns the JSON line that a stand-in prints once it listens.

        Raises:
            ProcessFailedError: It ended, or printed no such line in time.
        """
        process = self._by_name[name]
        output = process.stdout
        if output is None:
            raise ProcessFailedError(name, None, self._log_path(name))
        try:
            line = self._readers.submit(output.readline).result(
                LISTEN_TIMEOUT_S
            )
            printed: dict[str, Any] = json.loads(line)
        except (futures.TimeoutError, ValueError):
            raise ProcessFailedError(
                name, process.poll(), self._log_path(name)
            ) from None
        return printed

    def pid(self, name: str) -> int:
        """Returns the process ID of a process."""
        return self._by_name[name].pid

    def is_running(self, name: str) -> bool:
        """Returns whether a process is still running."""
        return self._by_name[name].poll() is None

    def read_log(self, name: str) -> str:
        """Returns what the latest process of a name has logged so far."""
        return self._log_path(name).read_text(encoding="utf-8")

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._by_name[name].send_signal(signal_number)

    def wait_for_exit(self, name: str, timeout_s: float) -> int | None:
        """Returns the exit code of a process, or None after the timeout."""
        try:
            return self._by_name[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def kill_all(self) -> None:
        """Kills every running process and waits for its exit."""
        for process in self._by_name.values():
            if process.poll() is None:
                process.kill()
        for process in self._by_name.values():
            process.wait(KILL_TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()
        self._readers.shutdown()

    def _rename_earlier_log(self, name: str) -> None:
        """Renames the log of an earlier process of the same name."""
        if name not in self._by_name:
            return
        earlier = len(list(self._folder.glob(f"{name}.*.log")))
        self._log_path(name).rename(self._folder / f"{name}.{earlier + 1}.log")

    def _log_path(self, name: str) -> pathlib.Path:
        """Returns the path of a process's log file."""
        return self._folder / f"{name}.log"

"""Tests that the demo harness ends every process that it started."""

import pathlib
import signal

import pytest

from basiljunction.demo import _processes

pytestmark = pytest.mark.processes


class TestProcesses:
    """Processes announce their address and are ended by `kill_all`."""

    def test_close_ends_running_and_stopped_ones(
        self, tmp_path: pathlib.Path
    ) -> None:
        processes = _processes.ProcessManager(tmp_path)
        for name in ("running", "stopped"):
            processes.start(name, "standin", "log", announces=True)
        addresses = {
            str(processes.wait_until_listening(name)["address"])
            for name in ("running", "stopped")
        }
        processes.send_signal("stopped", signal.SIGSTOP)
        processes.kill_all()
        assert len(addresses) == 2
        assert not processes.is_running("running")
        assert not processes.is_running("stopped")

    def test_end_before_listening(self, tmp_path: pathlib.Path) -> None:
        processes = _processes.ProcessManager(tmp_path)
        try:
            processes.start(
                "log", "standin", "log", "--no-such", announces=True
            )
            with pytest.raises(_processes.ProcessFailedError, match="log"):
                processes.wait_until_listening("log")
        finally:
            processes.kill_all()

"""Tests of the end of an instance's process."""

import pathlib
import signal
import time

import pytest

import instance_process
import platform_standin

pytestmark = pytest.mark.processes

_WAIT_TIMEOUT_S = 20.0

_PROGRAM = """\
import atexit
import sys
import time

from basiljunction import cli

atexit.register(time.sleep, 3600.0)
sys.argv = ["basiljunction", "platform"]
cli.main()
"""
"""Runs an instance whose interpreter takes an hour to end."""


class TestProcessEnd:
    """A process ends once it has answered its requests."""

    def test_a_slow_end_of_the_interpreter_does_not_outlast_the_grace(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Beside other work, it took more than the second that is left."""
        platform = platform_standin.Platform()
        platform.configure(1, "/jobs/")
        program = tmp_path / "slow_end.py"
        program.write_text(_PROGRAM)
        instance = instance_process.InstanceProcess(
            tmp_path, platform, 0, program=(str(program),)
        )
        try:
            end_s = time.monotonic() + _WAIT_TIMEOUT_S
            while not instance.is_ready():
                assert time.monotonic() < end_s, "the instance is not ready"
                time.sleep(0.1)
            instance.process.send_signal(signal.SIGTERM)
            assert instance.process.wait(_WAIT_TIMEOUT_S) == 0
            *_, last = instance.log_path.read_text().splitlines()
            assert "instance.stopped" in last
        finally:
            instance.kill()
            platform.close()

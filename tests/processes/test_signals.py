"""Tests of signals that arrive while a process is about to wait for them."""

from collections.abc import Iterator
import pathlib
import signal
import time

import pytest

import instance_process
import platform_standin

pytestmark = pytest.mark.processes

_WAIT_TIMEOUT_S = 20.0

_SIGNALLED_PROGRAM = """\
import signal
import sys

from basiljunction import cli
from basiljunction.transport.jobs import _daemon

FILES = ("/threading.py", "/transport/_signals.py", "/jobs/_daemon.py")
seen = set()


def has_handler():
    return callable(signal.getsignal(signal.SIGHUP))


def call_stack(frame):
    while frame is not None:
        yield frame.f_code.co_name, frame.f_lineno
        frame = frame.f_back


def interrupt(frame, event, _argument):
    if not frame.f_code.co_filename.endswith(FILES):
        return None
    if event == "line" and has_handler():
        stack = tuple(call_stack(frame))
        if stack not in seen:
            seen.add(stack)
            signal.raise_signal(signal.SIGHUP)
    return interrupt


sys.settrace(interrupt)
sys.argv = ["basiljunction", "platform"]
cli.main()
"""
"""Runs an instance whose main thread gets a SIGHUP before each line that it
comes to, once for each stack of callers, also where it begins to wait."""


@pytest.fixture
def instance(
    tmp_path: pathlib.Path,
) -> Iterator[instance_process.InstanceProcess]:
    """Starts an instance that gets signals wherever its main thread is."""
    platform = platform_standin.Platform()
    platform.configure(1, "/jobs/")
    program = tmp_path / "signalled.py"
    program.write_text(_SIGNALLED_PROGRAM)
    instance = instance_process.InstanceProcess(
        tmp_path, platform, 0, program=(str(program),)
    )
    yield instance
    instance.kill()
    platform.close()


class TestSignals:
    """No signal is lost, wherever it interrupts the process."""

    def test_a_signal_as_the_process_begins_to_wait_does_not_block_it(
        self, instance: instance_process.InstanceProcess
    ) -> None:
        """A handler must not wait for a lock that its own thread holds."""
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not instance.is_ready():
            assert time.monotonic() < end_s, "the instance is not ready"
            time.sleep(0.1)
        instance.process.send_signal(signal.SIGTERM)
        assert instance.process.wait(_WAIT_TIMEOUT_S) == 0
        text = instance.log_path.read_text(encoding="utf-8")
        assert "settings.reloaded" in text
        assert "instance.stopped" in text

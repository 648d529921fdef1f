"""Tests of signals that arrive before a process serves."""

from collections.abc import Iterator
import pathlib
import signal
import time

import pytest

import instance_process
import platform_standin

pytestmark = pytest.mark.processes

_WAIT_TIMEOUT_S = 20.0

_EARLY_PROGRAM = """\
import runpy
import signal
import sys

ENTRY = ("/basiljunction/__init__.py", "/basiljunction/__main__.py")
seen = set()


def interrupt(frame, event, _argument):
    code = frame.f_code
    if "/basiljunction/" not in code.co_filename:
        return None
    if code not in seen and not code.co_filename.endswith(ENTRY):
        seen.add(code)
        signal.raise_signal(signal.SIGHUP)
    return None


sys.argv = ["basiljunction", "platform"]
sys.settrace(interrupt)
runpy.run_module("basiljunction", run_name="__main__", alter_sys=True)
"""
"""Runs an instance that gets a SIGHUP before each module and each function that
its main thread comes to, once each."""

_SETTINGS_PROGRAM = """\
import runpy
import signal
import sys


def interrupt(frame, event, _argument):
    if frame.f_code.co_name != "load_settings":
        return None
    if event == "return":
        reads.append(frame.f_lineno)
        if len(reads) <= 2:
            signal.raise_signal(signal.SIGHUP)
    return interrupt


reads = []
sys.argv = ["basiljunction", "platform"]
sys.settrace(interrupt)
runpy.run_module("basiljunction", run_name="__main__", alter_sys=True)
"""
"""Runs an instance that gets a SIGHUP after each of the two reads of its
settings as it starts, and no other."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform with one route."""
    platform = platform_standin.Platform()
    platform.configure(1, "/jobs/")
    yield platform
    platform.close()


def _run_until_ready(
    folder: pathlib.Path, platform: platform_standin.Platform, text: str
) -> str:
    """Runs a program until its instance is ready; returns its log."""
    program = folder / "program.py"
    program.write_text(text)
    instance = instance_process.InstanceProcess(
        folder, platform, 0, program=(str(program),)
    )
    try:
        end_s = time.monotonic() + _WAIT_TIMEOUT_S
        while not instance.is_ready():
            assert instance.process.poll() is None, "the process has ended"
            assert time.monotonic() < end_s, "the instance is not ready"
            time.sleep(0.1)
        instance.process.send_signal(signal.SIGTERM)
        assert instance.process.wait(_WAIT_TIMEOUT_S) == 0
    finally:
        instance.kill()
    return instance.log_path.read_text(encoding="utf-8")


class TestEarlySignals:
    """SIGHUP asks for a reload, however early it arrives."""

    # A SIGHUP in the first half second ended the process.
    def test_none_ends_a_process_that_starts(
        self, tmp_path: pathlib.Path, platform: platform_standin.Platform
    ) -> None:
        log = _run_until_ready(tmp_path, platform, _EARLY_PROGRAM)
        assert "settings.reloaded" in log

    # Settings that changed just after they were read were not read again.
    def test_one_after_the_settings_were_read_reloads_them(
        self, tmp_path: pathlib.Path, platform: platform_standin.Platform
    ) -> None:
        log = _run_until_ready(tmp_path, platform, _SETTINGS_PROGRAM)
        assert log.count("settings.reloaded") == 1

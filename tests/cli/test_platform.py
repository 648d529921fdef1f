"""Tests of the ``platform`` command up to the start of an instance."""

import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest

import basiljunction
from basiljunction.cli import _exit_codes

_EXAMPLE = (
    pathlib.Path(basiljunction.__file__).parents[2]
    / "examples"
    / "platform"
    / "local.conf"
)

_OWN_ADDRESS = "10.1.0.13"
_ADDRESS_OF_NOBODY = "192.0.2.1"
"""Address for documentation, on which no instance can listen."""

pytestmark = pytest.mark.processes


def _run(
    folder: pathlib.Path, old: str, new: str
) -> subprocess.CompletedProcess[str]:
    """Runs an instance that cannot listen, with one setting changed."""
    text = _EXAMPLE.read_text(encoding="utf-8")
    assert old in text
    path = folder / "local.conf"
    path.write_text(
        text.replace(old, new).replace(_OWN_ADDRESS, _ADDRESS_OF_NOBODY),
        encoding="utf-8",
    )
    command = [sys.executable, "-m", "basiljunction", "platform"]
    return subprocess.run(  # noqa: S603 - the project's own program
        [*command, "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def _bound_lines(stdout: str) -> list[dict[str, Any]]:
    """Returns the log entries that speak of bounds."""
    entries = [json.loads(line) for line in stdout.splitlines()]
    return [
        each for each in entries if each["event"].startswith("settings.bound")
    ]


class TestBounds:
    """What is wrong with a bound is said before the instance listens."""

    @pytest.mark.parametrize("value", ["-1", "soon"])
    def test_a_bound_that_cannot_be_read_ends_the_process(
        self, tmp_path: pathlib.Path, value: str
    ) -> None:
        run = _run(
            tmp_path, "Bounds.cancel_ms=3000", f"Bounds.cancel_ms={value}"
        )
        assert run.returncode == _exit_codes.ExitCode.FAILED
        assert run.stdout == ""
        assert run.stderr == (
            "setting Bounds.cancel_ms: expected more than 0 and at most"
            f" 86400000 ms, got {value!r}\n"
        )

    @pytest.mark.parametrize("value", ["0", "99999999999"])
    def test_a_bound_out_of_range_is_said_once(
        self, tmp_path: pathlib.Path, value: str
    ) -> None:
        run = _run(
            tmp_path, "Bounds.cancel_ms=3000", f"Bounds.cancel_ms={value}"
        )
        lines = [
            each
            for each in _bound_lines(run.stdout)
            if each["setting"] == "Bounds.cancel_ms"
        ]
        assert [each["value"] for each in lines] == [value]
        assert lines[0]["expected"] == "more than 0 and at most 86400000 ms"
        assert run.stderr.startswith("cannot listen")

    def test_a_bound_that_is_too_short_is_said_once(
        self, tmp_path: pathlib.Path
    ) -> None:
        run = _run(
            tmp_path, "Bounds.ConfigApplyMs=2000", "Bounds.ConfigApplyMs=1500"
        )
        lines = [
            each
            for each in _bound_lines(run.stdout)
            if each["setting"] == "Bounds.ConfigApplyMs"
        ]
        assert [each["bound_s"] for each in lines] == [1.5]
        assert lines[0]["needed_s"] > 1.5
        assert run.stderr.startswith("cannot listen")

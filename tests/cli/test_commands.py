"""Tests of the job, request, status, explain and completion commands."""

import json
import pathlib

import pytest

from basiljunction.cli import _exit_codes
from basiljunction.coordination import _explain_ring
from basiljunction.state import _outcomes
import border
import served as served_api

_Code = _exit_codes.ExitCode


class TestJob:
    """A caller submits, shows, lists and cancels its own jobs only."""

    def test_life_of_a_job(
        self, served: served_api.ServedApi, tmp_path: pathlib.Path
    ) -> None:
        file = tmp_path / "job.json5"
        file.write_text(json.dumps(border.job_body()), encoding="utf-8")
        token = border.CALLER_TOKEN
        first = served.run_command("job", "submit", str(file), token=token)
        assert first.output == "accepted once: kowhai.week-1\n"
        shown = served.run_command(
            "job", "status", "kowhai.week-1", token=token
        )
        assert "day" in shown.output
        listed = served.run_command("job", "list", "--open", token=token)
        assert "kowhai.week-1" in listed.output
        ended = served.run_command(
            "job", "cancel", "kowhai.week-1", token=token
        )
        assert "cancelled" in ended.output
        other = served.run_command(
            "job", "status", "kowhai.week-1", token=border.OTHER_TOKEN
        )
        assert other.exit_code == _Code.REFUSED


class TestRequest:
    """The exit code of `request send` follows from the tagged outcome."""

    @pytest.mark.parametrize(
        ("outcome", "code"),
        [
            (_outcomes.Completed(200, b"ok", "text/plain", "e"), _Code.OK),
            (_outcomes.Completed(503, b"no", "text/plain", "e"), _Code.FAILED),
            (
                _outcomes.NotRun(
                    _outcomes.Step.ADMIT, "a", _outcomes.Reason.OVERLOADED, 1.0
                ),
                _Code.REFUSED,
            ),
            (
                _outcomes.Unknown(
                    _outcomes.Step.WAIT, "a", _outcomes.Reason.TIMEOUT
                ),
                _Code.UNKNOWN,
            ),
        ],
    )
    def test_exit_code(
        self,
        served: served_api.ServedApi,
        outcome: _outcomes.Outcome,
        code: _Code,
    ) -> None:
        served.harness.backend.outcome = outcome
        result = served.run_command(
            "request", "send", "check", token=border.CALLER_TOKEN
        )
        assert result.exit_code == code


class TestEntries:
    """The command line tries the entry addresses in the listed order."""

    def test_dead_address_first(self, served: served_api.ServedApi) -> None:
        served.base_url = f"http://127.0.0.1:1 {served.base_url}"
        assert served.run_command("status").exit_code == _Code.OK

    def test_instance_that_leaves_is_passed_over(
        self, served: served_api.ServedApi
    ) -> None:
        served.harness.backend.outcome = _outcomes.NotRun(
            _outcomes.Step.ADMIT, "a", _outcomes.Reason.LEAVING, 1.0
        )
        served.base_url = f"{served.base_url} {served.base_url}"
        served.run_command(
            "request", "send", "check", token=border.CALLER_TOKEN
        )
        assert len(served.harness.backend.requests) == 2

    def test_none_reached(self, served: served_api.ServedApi) -> None:
        served.base_url = "http://127.0.0.1:1"
        assert served.run_command("status").exit_code == _Code.UNREACHABLE

    def test_none_named(self, served: served_api.ServedApi) -> None:
        served.base_url = ""
        assert served.run_command("status").exit_code == _Code.USAGE


class TestExplain:
    """`explain` prints the recorded events of a subject, one per line."""

    def test_lines(self, served: served_api.ServedApi) -> None:
        line = _explain_ring.ExplainLine(0.0, "a", "s", "claimed", "2 cores")
        served.harness.backend.lines_by_subject["kowhai.j/t"] = (line,)
        result = served.run_command("explain", "kowhai.j/t")
        assert result.output == (
            "1970-01-01T00:00:00.000+00:00 a: claimed: 2 cores\n"
        )


class TestHelp:
    """`completion` prints a completion script for each supported shell."""

    @pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
    def test_completion(self, served: served_api.ServedApi, shell: str) -> None:
        result = served.run_command("completion", shell)
        assert "_BASILJUNCTION_COMPLETE" in result.output

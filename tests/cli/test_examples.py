"""Tests that the example files pass or fail the `check` commands."""

import pathlib

from click import testing
import pytest

from basiljunction import cli
from basiljunction.cli import _exit_codes
from basiljunction.protocol import _job_document

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
_JOBS = sorted(
    path
    for path in _EXAMPLES.glob("[ks]*/*.json5")
    if path.stem not in ("contract", "settings")
)


def _run_command(*arguments: str) -> testing.Result:
    """Runs the command line in this process with `arguments`."""
    return testing.CliRunner().invoke(cli.main, list(arguments))


class TestExamples:
    """Valid examples pass; each broken one is reported by line and field."""

    @pytest.mark.parametrize("customer", ["kowhai", "signalwise"])
    def test_settings_and_contract_are_valid(self, customer: str) -> None:
        folder = _EXAMPLES / customer
        checked = _run_command(
            "settings", "check", str(folder / "settings.json5")
        )
        assert checked.exit_code == _exit_codes.ExitCode.OK, checked.output
        contract = _run_command(
            "contract", "check", str(folder / "contract.json5")
        )
        assert contract.exit_code == _exit_codes.ExitCode.OK, contract.output

    @pytest.mark.parametrize("path", _JOBS, ids=lambda path: str(path.name))
    def test_jobs_are_valid(self, path: pathlib.Path) -> None:
        text = path.read_text(encoding="utf-8")
        assert _job_document.load_job_document(text, source=path.name).tasks

    @pytest.mark.parametrize(
        ("name", "place"),
        [
            ("host-name", "7: http_listen: found 'localhost:http'"),
            ("misspelt-field", "5: zoen: found an unknown field"),
            ("slow-heartbeat", "20: lease: found "),
        ],
    )
    @pytest.mark.parametrize("command", ["check", "serve"])
    def test_broken_settings(self, name: str, place: str, command: str) -> None:
        path = str(_EXAMPLES / "broken" / f"{name}.json5")
        arguments = ["settings", "check", path]
        if command == "serve":
            arguments = ["serve", "--settings", path]
        result = _run_command(*arguments)
        assert result.exit_code == _exit_codes.ExitCode.INVALID
        assert f"{path}:{place}" in result.output

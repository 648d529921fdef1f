"""Tests of the exit codes of the `demo` command."""

import pathlib
import signal

from click import testing
import pytest

from basiljunction.cli import _demo as _demo_command
from basiljunction.demo import _demo
from basiljunction.demo import _invariants
from basiljunction.demo import _report
import evidence_builders as build


class TestExitCode:
    """The `demo` command exits with 0 only if every invariant held."""

    @pytest.mark.parametrize(("whole", "exit_code"), [(True, 0), (False, 1)])
    def test_holds(
        self,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: pathlib.Path,
        whole: bool,
        exit_code: int,
    ) -> None:
        evidence = build.evidence(
            answers=(build.completed_request(is_intact=whole),)
        )
        report = _report.Report(
            title="a run",
            notes=(),
            requests=(),
            tasks=(),
            results={"kowhai": _invariants.check_invariants(evidence)},
        )
        monkeypatch.setattr(_demo, "run", lambda **_options: report)
        monkeypatch.setattr(signal, "signal", lambda *_arguments: None)
        result = testing.CliRunner().invoke(
            _demo_command.demo,
            ["--examples", str(tmp_path), "--out", str(tmp_path)],
        )
        assert result.exit_code == exit_code

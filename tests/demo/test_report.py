"""Tests of the text and the charts of the report of a run."""

import pathlib

from basiljunction.demo import _figures
from basiljunction.demo import _invariants
from basiljunction.demo import _report
import evidence_builders as build


def _make_report(**changes: object) -> _report.Report:
    """Returns a report of evidence that has `changes` applied."""
    evidence = build.evidence(**changes)
    return _report.Report(
        title="a run",
        notes=("a note",),
        requests=_figures.compute_request_figures(evidence.answers),
        tasks=_figures.compute_task_figures(evidence.worker_events),
        results={"kowhai": _invariants.check_invariants(evidence)},
    )


class TestReport:
    """The report states whether all invariants held and each violation."""

    def test_clean_run(self) -> None:
        report = _make_report(answers=(build.completed_request(),))
        assert report.all_invariants_held
        assert "every invariant held" in report.to_text()

    def test_violation(self) -> None:
        report = _make_report(
            answers=(build.completed_request(is_intact=False),)
        )
        assert not report.all_invariants_held
        assert "truncated answer or one to another request" in report.to_text()

    def test_pictures_need_nothing_from_elsewhere(
        self, tmp_path: pathlib.Path
    ) -> None:
        report = _make_report(
            answers=(build.completed_request(),),
            worker_events=(build.attempt_start(),),
        )
        report.write_files(tmp_path)
        for picture in tmp_path.glob("*.svg"):
            text = picture.read_text(encoding="utf-8")
            assert 'href="http' not in text
            assert 'src="http' not in text
            assert "@import" not in text
            assert "interviewer" in text or "kowhai" in text
        assert len(list(tmp_path.glob("*.svg"))) == 3

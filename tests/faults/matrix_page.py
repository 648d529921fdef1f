"""Writes docs/fault-matrix.md from a run of the matrix."""

import json
import pathlib

import pytest

from faults import injection
from faults import possible
from faults import steps

Fault = injection.Fault

_PAGE_HEADER = """\
# Fault matrix

Written by `make faults` from the run itself; do not edit. Rows are steps,
columns are faults. `ok`: the fault struck and all ten invariants held, by the
journals of executors, workers and log and by what callers were told. `red`: an
invariant did not hold. `no`: the cell cannot happen; the reasons stand below.
"""


class MatrixPage:
    """Pytest plugin that collects results of cells and writes the page."""

    def __init__(self, path: pathlib.Path, seed: int) -> None:
        """Creates a page without results.

        Args:
            path: File to write.
            seed: Seed of the run, shown on the page.
        """
        self._path = path
        self._seed = seed
        self._mark_by_cell: dict[str, str] = {}
        self._mark_by_pair: dict[str, str] = {}
        self._detail_by_failure: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records the result of a cell or pair from a test's report."""
        if report.when != "call":
            return
        found = dict(report.user_properties)
        mark = "ok" if report.passed else "red"
        for kind, marks in (
            ("cell", self._mark_by_cell),
            ("pair", self._mark_by_pair),
        ):
            if kind in found:
                marks[str(found[kind])] = mark
                if report.failed:
                    detail = str(found.get("violations", ""))
                    self._detail_by_failure[str(found[kind])] = detail

    def pytest_sessionfinish(self) -> None:
        """Writes the page if any cell ran."""
        if self._mark_by_cell:
            self._path.write_text(
                "\n".join(self._page_lines()), encoding="utf-8"
            )

    def _page_lines(self) -> list[str]:
        """Returns the lines of the whole page."""
        failure_count = len(self._detail_by_failure)
        lines = [_PAGE_HEADER, f"Seed {self._seed}."]
        lines.append(
            f"{len(self._mark_by_cell)} cells and {len(self._mark_by_pair)}"
            f" pairs run, {failure_count} red.\n"
        )
        lines += self._table_lines()
        lines += self._failure_lines()
        lines += self._pair_lines()
        lines += self._reason_lines()
        return [*lines, ""]

    def _table_lines(self) -> list[str]:
        """Returns the table with a row for each step."""
        names = [str(fault) for fault in Fault]
        rows = [f"| step | {' | '.join(names)} |"]
        rows.append("| --- |" + " --- |" * len(names))
        for step in steps.ALL_STEPS:
            marks = [self._mark(step, fault) for fault in Fault]
            rows.append(f"| {step} | {' | '.join(marks)} |")
        return rows

    def _mark(self, step: steps.Step, fault: Fault) -> str:
        """Returns a cell's text: ok, red, no (impossible) or not run."""
        if possible.impossibility_reason(step, fault):
            return "no"
        return self._mark_by_cell.get(f"{step}|{fault}", "not run")

    def _failure_lines(self) -> list[str]:
        """Returns the section with details of failed cells and pairs."""
        if not self._detail_by_failure:
            return []
        lines = ["\n## Red\n"]
        for name, detail in sorted(self._detail_by_failure.items()):
            shown = detail
            if detail:
                shown = json.dumps(json.loads(detail))[:300]
            lines.append(f"- `{name}`: {shown or 'see the run'}")
        return lines

    def _pair_lines(self) -> list[str]:
        """Returns the section that counts pairs by their first fault."""
        lines = ["\n## Pairs\n", "| first fault | pairs run | red |"]
        lines.append("| --- | --- | --- |")
        by_first: dict[str, list[str]] = {}
        for pair, mark in self._mark_by_pair.items():
            by_first.setdefault(pair.split("|")[1], []).append(mark)
        for first, marks in sorted(by_first.items()):
            lines.append(f"| {first} | {len(marks)} | {marks.count('red')} |")
        return lines

    def _reason_lines(self) -> list[str]:
        """Returns the section with impossible cells, grouped by reason."""
        cells_by_reason: dict[str, list[str]] = {}
        for step in steps.ALL_STEPS:
            for fault in Fault:
                reason = possible.impossibility_reason(step, fault)
                if reason:
                    cells = cells_by_reason.setdefault(reason, [])
                    cells.append(f"{step}/{fault}")
        lines = ["\n## Cells that cannot happen\n"]
        for reason, cells in cells_by_reason.items():
            lines.append(f"- {reason} ({len(cells)} cells): {', '.join(cells)}")
        return lines

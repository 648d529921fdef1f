"""Tests that links and names in the documentation are valid."""

import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[1]
_PAGES = sorted(
    [*(_ROOT / "docs").rglob("*.md"), _ROOT / "README.md"],
    key=str,
)
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
_METRIC = re.compile(r"`(basiljunction_[a-z_]+)`")
_EVENT = re.compile(
    r"`((?:call|job|task|term|feed|journal|executor|cell)\.[a-z-]+)`"
)
_METRICS_PAGE = _ROOT / "docs" / "reference" / "metrics.md"


def _relative_path(page: pathlib.Path) -> str:
    return str(page.relative_to(_ROOT))


class TestPages:
    """Linked files, log events and metrics named on a page exist."""

    @pytest.mark.parametrize("page", _PAGES, ids=_relative_path)
    def test_links_lead_to_files(self, page: pathlib.Path) -> None:
        text = page.read_text(encoding="utf-8")
        targets = [page.parent / link.strip() for link in _LINK.findall(text)]
        missing = [str(each) for each in targets if not each.exists()]
        assert not missing

    def test_events_are_written_somewhere(self) -> None:
        page = (_ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
        named = set(_EVENT.findall(page))
        sources = (_ROOT / "src").rglob("*.py")
        code = "".join(each.read_text(encoding="utf-8") for each in sources)
        assert named
        assert not [name for name in named if f'"{name}"' not in code]

    @pytest.mark.parametrize("page", _PAGES, ids=_relative_path)
    def test_metrics_are_in_the_table(self, page: pathlib.Path) -> None:
        table = set(_METRIC.findall(_METRICS_PAGE.read_text(encoding="utf-8")))
        named = set(_METRIC.findall(page.read_text(encoding="utf-8")))
        assert table
        assert not named - table

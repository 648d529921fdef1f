"""Tests that the sums of our waits are within the bounds of the rules."""

import importlib
import pathlib
import re

import pytest

import basiljunction
from basiljunction.platform import _settings
from basiljunction.transport.jobs import _budget_chains
from basiljunction.transport.jobs import _budget_page
from basiljunction.transport.jobs import _time_budgets
import known_red

_ROOT = pathlib.Path(basiljunction.__file__).parents[2]
_SETTINGS = _settings.load_settings(
    _ROOT / "examples" / "platform" / "local.conf"
)
_PAGE = _ROOT / "docs" / "design" / "time-budgets.md"
_BUDGETS = _budget_chains.make_budgets(_SETTINGS)

_OVER_S_BY_CHAIN = {
    "a lasting task runs again after its executor and scheduler are lost, and"
    " an instance takes over that it did not know": 3.317,
    "a lasting task runs again after an executor that has restarted and its"
    " scheduler are lost": 1.736,
    "a lasting task runs again after it has crashed several executors": 58.226,
    "all members of a gang have started": 0.275,
}
"""What chains are over their bound, in seconds; KNOWN-RED.txt has each."""

_CONSTANT = re.compile(r"(\S+)\.py ([A-Z_]+)")

_FACTORS_THAT_DIVIDE = frozenset(
    {"ANSWER_TIME_FACTOR", "SLOW_LINK_BYTES_PER_S", "START_AFTER_LEASE_S"}
)
"""Constants that shorten a wait as they grow."""


def _find_constants() -> list[tuple[str, str]]:
    """Returns module and name of each constant that a chain follows from."""
    found = {
        match.groups()
        for budget in _BUDGETS
        for wait in (*budget.waits, *budget.losses)
        for text in wait.sources
        if (match := _CONSTANT.fullmatch(text))
    }
    return sorted((path.replace("/", "."), name) for path, name in found)


class TestSums:
    """Each sum is within its bound, but for those that are known."""

    @pytest.mark.parametrize("budget", _BUDGETS, ids=lambda each: each.name)
    def test_is_within_its_bound(self, budget: _time_budgets.Budget) -> None:
        over_s = round(-budget.room_s, 3)
        expected_s = _OVER_S_BY_CHAIN.get(budget.name)
        if expected_s is None:
            assert budget.is_kept, f"over by {over_s} s: {budget.describe()}"
            return
        assert over_s == expected_s, budget.describe()

    def test_each_known_excess_is_listed(self) -> None:
        text = known_red.LIST_PATH.read_text(encoding="utf-8")
        listed = " ".join(text.split())
        for chain, over_s in _OVER_S_BY_CHAIN.items():
            assert f"{chain}: {over_s} s over" in listed

    def test_each_known_excess_belongs_to_a_chain(self) -> None:
        assert _OVER_S_BY_CHAIN.keys() <= {each.name for each in _BUDGETS}

    def test_each_bound_of_the_settings_has_a_chain(self) -> None:
        names = {name for each in _BUDGETS for name in each.bound.names}
        assert names == _settings.KEY_BY_BOUND.keys()


class TestSources:
    """Chains are summed from the constants that they name."""

    @pytest.mark.parametrize(("module_name", "name"), _find_constants())
    def test_a_raised_constant_changes_the_waits_that_name_it(
        self, module_name: str, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = importlib.import_module(f"basiljunction.{module_name}")
        monkeypatch.setattr(module, name, 1.5 * getattr(module, name))
        factor = 1 / 1.5 if name in _FACTORS_THAT_DIVIDE else 1.5
        source = f"{module_name.replace('.', '/')}.py {name}"
        changed = _budget_chains.make_budgets(_SETTINGS)
        for before, after in zip(_BUDGETS, changed, strict=True):
            for old, new in zip(
                (*before.waits, *before.losses),
                (*after.waits, *after.losses),
                strict=True,
            ):
                if old.sources == (source,):
                    assert new.seconds == pytest.approx(factor * old.seconds)
                elif source in old.sources:
                    assert new.seconds != old.seconds
                else:
                    assert new == old


class TestPage:
    """The page has the table that the code gives (run `make budgets`)."""

    def test_is_current(self) -> None:
        text = _PAGE.read_text(encoding="utf-8")
        assert _budget_page.render_page(text, _BUDGETS) == text

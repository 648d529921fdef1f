"""Tests of the mutation lists in scripts/."""

import pathlib

import budget_mutations
import mutations
import platform_mutations
import pytest

from basiljunction.platform import _settings
from basiljunction.transport.jobs import _budget_chains

_ROOT = pathlib.Path(__file__).parents[1]


class TestMutations:
    """Each mutation quotes existing code; each invariant has a mutation."""

    @pytest.mark.parametrize(
        "mutation",
        [
            *mutations.MUTATIONS,
            *platform_mutations.MUTATIONS,
            *budget_mutations.MUTATIONS,
        ],
        ids=lambda each: str(each.name),
    )
    def test_applies(self, mutation: mutations.Mutation) -> None:
        for edit in mutation.edits:
            text = (_ROOT / edit.path).read_text(encoding="utf-8")
            assert text.count(edit.old) == 1, edit

    def test_every_constant_of_a_budget_has_one(self) -> None:
        settings = _settings.load_settings(
            _ROOT / "examples" / "platform" / "local.conf"
        )
        raised = {
            f"{edit.path.removeprefix('src/basiljunction/')} "
            + edit.old.partition(" = ")[0].partition(":")[0].strip()
            for mutation in budget_mutations.MUTATIONS
            for edit in mutation.edits
        }
        named = {
            source.replace("LeaseTimes.", "")
            for budget in _budget_chains.make_budgets(settings)
            for wait in (*budget.waits, *budget.losses)
            for source in wait.sources
            if not source.startswith("setting of ")
        }
        assert raised == named

    def test_every_invariant_has_one(self) -> None:
        guarded = {each.invariant for each in mutations.MUTATIONS}
        assert guarded == set(range(1, 11))

"""Tests of the mutation lists in scripts/."""

import pathlib

import mutations
import platform_mutations
import pytest

_ROOT = pathlib.Path(__file__).parents[1]


class TestMutations:
    """Each mutation quotes existing code; each invariant has a mutation."""

    @pytest.mark.parametrize(
        "mutation",
        [*mutations.MUTATIONS, *platform_mutations.MUTATIONS],
        ids=lambda each: str(each.name),
    )
    def test_applies(self, mutation: mutations.Mutation) -> None:
        for edit in mutation.edits:
            text = (_ROOT / edit.path).read_text(encoding="utf-8")
            assert text.count(edit.old) == 1, edit

    def test_every_invariant_has_one(self) -> None:
        guarded = {each.invariant for each in mutations.MUTATIONS}
        assert guarded == set(range(1, 11))

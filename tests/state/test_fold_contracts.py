"""Tests of the fold rules for contracts."""

import pytest

from basiljunction.state import _fold_contracts
from basiljunction.state import _outcomes
import builders


class TestAcceptedVersion:
    """An accepted publication is still found by id after later ones."""

    def test_finds_an_earlier_publication(self) -> None:
        log = builders.LogBuilder()
        for version in (1, 2, 3):
            log.append(
                builders.contract_published(
                    contract=builders.contract(version=version),
                    base_version=version - 1,
                    publish_id=f"publish-{version}",
                )
            )
        found = [
            _fold_contracts.find_accepted_version(
                log.state, "kowhai", publish_id
            )
            for publish_id in ("publish-1", "publish-3", "publish-9")
        ]
        assert found == [1, 3, None]

    @pytest.mark.parametrize("base_version", [0, 1])
    def test_repeat_is_a_duplicate_after_a_later_version(
        self, base_version: int
    ) -> None:
        log = builders.LogBuilder()
        log.append(builders.contract_published())
        log.append(
            builders.contract_published(
                contract=builders.contract(version=2),
                base_version=1,
                publish_id="publish-2",
            )
        )
        verdict = log.append(
            builders.contract_published(
                contract=builders.contract(version=base_version + 1),
                base_version=base_version,
            )
        )
        assert verdict.rejection_reason is _outcomes.Reason.DUPLICATE

"""Exhaustive search of the rules for replacing an owner."""

import pytest

import voucher_model

_THREE_INSTANCES = voucher_model.SearchSetup(peers=2)
_WITH_READS = voucher_model.SearchSetup(peers=2, reads=True)
_WITH_RESTARTS = voucher_model.SearchSetup(peers=2, restarts=True)
_GROWING_GROUP = voucher_model.SearchSetup(
    peers=3, adds_elector=True, withdraws=False, slow_heartbeats=False
)
_SHRINKING_GROUP = voucher_model.SearchSetup(
    peers=3, removes_elector=True, withdraws=False, slow_heartbeats=False
)
_FOUR_INSTANCES = voucher_model.SearchSetup(peers=3, slow_heartbeats=False)


class TestRules:
    """No reachable state lets an owner and its successor both act."""

    @pytest.mark.parametrize(
        "setup",
        [
            _WITH_READS,
            _WITH_RESTARTS,
            _FOUR_INSTANCES,
            _GROWING_GROUP,
            _SHRINKING_GROUP,
        ],
        ids=["reads", "restarts", "four", "three-to-four", "four-to-three"],
    )
    def test_no_two_owners(self, setup: voucher_model.SearchSetup) -> None:
        search = voucher_model.StateSearch(setup, voucher_model.ProtocolRules())
        assert search.find_wrong_state() is None
        print(f"{setup}: {search.visited} states")


class TestMutations:
    """Without any single rule the search finds two owners."""

    @pytest.mark.parametrize(
        ("setup", "mutation"),
        [
            (_THREE_INSTANCES, {"guard_ticks": 0}),
            (
                _THREE_INSTANCES,
                {"guard_ticks": voucher_model.VOUCHER_TICKS - 1},
            ),
            (_THREE_INSTANCES, {"suspects_fewer": 1}),
            (_FOUR_INSTANCES, {"suspects_fewer": 1}),
            (_THREE_INSTANCES, {"suspect_goes_on_vouching": True}),
            (_THREE_INSTANCES, {"voucher_age_from_answer": True}),
            (_WITH_READS, {"read_age_from_answer": True}),
            (_THREE_INSTANCES, {"vouches_before_withdrawal_read": True}),
            (_THREE_INSTANCES, {"vouches_while_fate_unknown": True}),
            (_WITH_RESTARTS, {"restarted_vouches_without_join": True}),
            (_GROWING_GROUP, {"only_old_electors_while_unsettled": True}),
            (_SHRINKING_GROUP, {"only_new_electors_while_unsettled": True}),
            (_GROWING_GROUP, {"counts_suspicions_of_all": True}),
        ],
        ids=lambda value: (
            "-".join(f"{name}-{change}" for name, change in value.items())
            if isinstance(value, dict)
            else f"{value.peers + 1}"
        ),
    )
    def test_is_caught(
        self, setup: voucher_model.SearchSetup, mutation: dict[str, int]
    ) -> None:
        rules = voucher_model.ProtocolRules(**mutation)  # type: ignore[arg-type]  # fields are of int or bool
        search = voucher_model.StateSearch(setup, rules)
        assert search.find_wrong_state() is not None

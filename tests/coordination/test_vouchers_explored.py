"""Exhaustive search of the rules for replacing an owner."""

import pytest

import voucher_model

_THREE_INSTANCES = voucher_model.Setup(peers=2)
_WITH_READS = voucher_model.Setup(peers=2, reads=True)
_WITH_RESTARTS = voucher_model.Setup(peers=2, restarts=True)
_GROWING_GROUP = voucher_model.Setup(
    peers=3, grows=True, withdraws=False, slow_heartbeats=False
)
_SHRINKING_GROUP = voucher_model.Setup(
    peers=3, shrinks=True, withdraws=False, slow_heartbeats=False
)
_FOUR_INSTANCES = voucher_model.Setup(peers=3, slow_heartbeats=False)


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
    def test_no_two_owners(self, setup: voucher_model.Setup) -> None:
        search = voucher_model.Search(setup, voucher_model.Rules())
        assert search.find_wrong_state() is None
        print(f"{setup}: {search.visited} states")


class TestMutations:
    """Without any single rule the search finds two owners."""

    @pytest.mark.parametrize(
        ("setup", "mutation"),
        [
            (_THREE_INSTANCES, {"guard_ticks": 0}),
            (_THREE_INSTANCES, {"guard_ticks": voucher_model.V - 1}),
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
        self, setup: voucher_model.Setup, mutation: dict[str, int]
    ) -> None:
        rules = voucher_model.Rules(**mutation)  # type: ignore[arg-type]  # fields are of int or bool
        search = voucher_model.Search(setup, rules)
        assert search.find_wrong_state() is not None

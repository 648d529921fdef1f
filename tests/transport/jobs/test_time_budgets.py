"""Tests of budgets: sums, bounds and what is logged of them."""

import dataclasses
from typing import Any

from basiljunction.coordination.scheduling import _limits
from basiljunction.protocol import _instance_settings
from basiljunction.transport.jobs import _time_budgets
import instance_rig

_SETTINGS = dataclasses.replace(
    instance_rig.make_settings(
        "a", front_port=1, peer_port=2, store_address="127.0.0.1:3"
    ),
    bound_s_by_name={"cancel_s": 3.0, "stop_s": 0.9},
)
_LONG = _time_budgets.Wait("long", 2.5, ("x.py LONG_S",))
_SHORT = _time_budgets.Wait("short", 0.5, ("x.py SHORT_S", "x.py FACTOR"))


def _budget(
    *waits: _time_budgets.Wait, names: tuple[str, ...] = ("cancel_s",)
) -> _time_budgets.Budget:
    """Returns a budget with these waits."""
    return _time_budgets.make_budget(
        _SETTINGS, "a chain", _time_budgets.Bound(names), waits
    )


class TestBudget:
    """A budget is kept as long as its sum does not pass its bound."""

    def test_a_sum_at_the_bound_is_kept(self) -> None:
        budget = _budget(_LONG, _SHORT)
        assert budget.sum_s == 3.0
        assert budget.is_kept

    def test_a_sum_beyond_it_is_not(self) -> None:
        budget = _budget(_LONG, _SHORT, _SHORT)
        assert budget.room_s == -0.5
        assert not budget.is_kept

    def test_a_bound_that_is_not_set_is_kept(self) -> None:
        assert _budget(_LONG, names=("visible_s",)).is_kept

    def test_bounds_add_up(self) -> None:
        bound = _time_budgets.Bound(("cancel_s", "stop_s"), fixed_s=1.0)
        assert bound.seconds(_SETTINGS) == 4.9
        assert bound.setting == "Bounds.cancel_ms + Bounds.StopTimeoutMs"

    def test_a_chain_is_described_with_its_sources(self) -> None:
        assert _budget(_LONG, _SHORT).describe() == (
            "a chain: long 2.500 s (x.py LONG_S) + short 0.500 s"
            " (x.py SHORT_S, x.py FACTOR) = 3.000 s, bound Bounds.cancel_ms"
            " 3.0 s"
        )


class TestWaits:
    """A wait knows where its constant is in the code."""

    def test_a_constant(self) -> None:
        wait = _time_budgets.constant("stop", _limits, "STOP_RETRY_S", 2)
        assert wait.seconds == 2 * _limits.STOP_RETRY_S
        assert wait.sources == (
            "coordination/scheduling/_limits.py STOP_RETRY_S",
        )

    def test_waits_in_a_row(self) -> None:
        wait = _time_budgets.join("both", _LONG, _SHORT, _SHORT)
        assert wait.seconds == 3.5
        assert wait.sources == ("x.py LONG_S", "x.py SHORT_S", "x.py FACTOR")


class TestReport:
    """A bound that can't be kept to is logged in one line."""

    def test_names_the_bound_and_what_it_would_take(
        self, logs: list[Any]
    ) -> None:
        budgets = (_budget(_LONG, _SHORT, _SHORT), _budget(_SHORT))
        _time_budgets.report(_SETTINGS, budgets)
        assert logs == [
            {
                "event": "settings.bound-not-kept",
                "log_level": "warning",
                "setting": "Bounds.cancel_ms",
                "bound_s": 3.0,
                "needed_s": 3.5,
                "chain": "a chain",
                "longest_wait": "long",
            }
        ]

    def test_a_bound_that_no_setting_changes_is_not_logged(
        self, logs: list[Any]
    ) -> None:
        _time_budgets.report(_SETTINGS, (_budget(_LONG, names=()),))
        assert logs == []

    def test_a_bound_out_of_range_is_logged_with_its_range(
        self, logs: list[Any]
    ) -> None:
        out_of_range = _instance_settings.BoundOutOfRange(
            "Bounds.visible_ms", "0", "more than 0"
        )
        settings = dataclasses.replace(
            _SETTINGS, bounds_out_of_range=(out_of_range,)
        )
        budget = _budget(_LONG, names=("visible_s",))
        _time_budgets.report(settings, (budget,))
        assert logs == [
            {
                "event": "settings.bound-out-of-range",
                "log_level": "warning",
                "setting": "Bounds.visible_ms",
                "value": "0",
                "expected": "more than 0",
            }
        ]

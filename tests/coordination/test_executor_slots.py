"""Tests of counting the free slots of executors."""

import pytest

from basiljunction.coordination import _executor_slots
from basiljunction.coordination import _views
import urgent_builders

_NOW_S = 100.0


def _make_slots(view: _views.ExecutorView) -> _executor_slots.ExecutorSlots:
    """Returns the slot count after a view with one executor."""
    slots = _executor_slots.ExecutorSlots()
    slots.update_view(urgent_builders.fleet_view(view), _NOW_S)
    return slots


class TestFree:
    """Only slots in which no call can be running are free."""

    @pytest.mark.parametrize(
        ("changes", "free"),
        [
            ({}, 8),
            ({"owner": "i2"}, 0),
            ({"leaving": True}, 0),
            ({"usable_from_boot_s": 101.0}, 0),
            ({"busy_until_boot_s": 101.0}, 0),
            ({"busy_until_boot_s": 100.0}, 8),
        ],
    )
    def test_view(self, changes: dict[str, object], free: int) -> None:
        view = urgent_builders.executor_view("e1", **changes)
        assert _make_slots(view).free_slots("e1", _NOW_S) == free

    def test_no_more_than_the_executor_has(self) -> None:
        slots = _make_slots(urgent_builders.executor_view("e1", slots=2))
        taken = [slots.take_slot("e1", call, _NOW_S) for call in range(3)]
        assert taken == [True, True, False]

    def test_unknown_call_keeps_its_slot_past_its_deadline(self) -> None:
        slots = _make_slots(urgent_builders.executor_view("e1", slots=1))
        slots.take_slot("e1", 1, _NOW_S)
        slots.hold_slot_after_deadline("e1", 1, 102.0)
        assert slots.free_slots("e1", 102.0) == 0
        assert (
            slots.free_slots("e1", 102.0 + _executor_slots.UNKNOWN_CALL_HOLD_S)
            == 1
        )

    def test_calls_stay_counted_while_another_owns_the_executor(self) -> None:
        own = urgent_builders.executor_view("e1", slots=1)
        slots = _make_slots(own)
        slots.take_slot("e1", 1, _NOW_S)
        other = urgent_builders.executor_view("e1", slots=1, owner="i2")
        slots.update_view(urgent_builders.fleet_view(other), _NOW_S)
        slots.update_view(urgent_builders.fleet_view(own), _NOW_S)
        assert slots.free_slots("e1", _NOW_S) == 0

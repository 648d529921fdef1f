"""Tests of ejecting failing and slow executors."""

import random

from basiljunction.coordination import _ejection

_EXECUTOR_IDS = [f"e{number}" for number in range(6)]


def _make_ejector() -> _ejection.ExecutorEjector:
    """Returns an ejector with a fixed random seed."""
    return _ejection.ExecutorEjector(random.Random(1))


def _fail_until_ejected(
    ejector: _ejection.ExecutorEjector, name: str, boot_s: float
) -> None:
    """Reports as many failures as eject an executor."""
    for _ in range(_ejection.FAILURES_TO_EJECT):
        ejector.record_failed_call(name, _EXECUTOR_IDS, boot_s)


class TestEjector:
    """Failing and slow executors are ejected, up to a maximum share."""

    def test_single_failures_do_not_add_up(self) -> None:
        ejector = _make_ejector()
        for _ in range(10):
            ejector.record_failed_call("e0", _EXECUTOR_IDS, 100.0)
            ejector.record_completed_call("e0", 1.0, _EXECUTOR_IDS, 100.0)
        assert not ejector.is_ejected("e0", 100.0)

    def test_delays_grow(self) -> None:
        ejector = _make_ejector()
        _fail_until_ejected(ejector, "e0", 100.0)
        assert ejector.is_ejected("e0", 100.9)
        assert not ejector.is_ejected("e0", 101.3)
        ejector.record_failed_call("e0", _EXECUTOR_IDS, 101.3)
        assert ejector.is_ejected("e0", 103.2)

    def test_probing_until_one_completes(self) -> None:
        ejector = _make_ejector()
        _fail_until_ejected(ejector, "e0", 100.0)
        assert ejector.is_probing("e0")
        ejector.record_completed_call("e0", 1.0, _EXECUTOR_IDS, 102.0)
        assert not ejector.is_probing("e0")

    def test_slow_executor(self) -> None:
        ejector = _make_ejector()
        slow = _ejection.SLOWDOWN_TO_EJECT
        assert ejector.record_completed_call("e0", slow, _EXECUTOR_IDS, 100.0)

    def test_cap_at_once(self) -> None:
        ejector = _make_ejector()
        for name in _EXECUTOR_IDS:
            _fail_until_ejected(ejector, name, 100.0)
        ejected = sum(ejector.is_ejected(name, 100.1) for name in _EXECUTOR_IDS)
        assert ejected == 2

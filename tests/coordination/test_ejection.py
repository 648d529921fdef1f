"""Tests of setting executors aside."""

import random

from basiljunction.coordination import _ejection

_FLEET = [f"e{number}" for number in range(6)]


def _ejector() -> _ejection.ExecutorEjector:
    return _ejection.ExecutorEjector(random.Random(1))


def _fail(ejector: _ejection.ExecutorEjector, name: str, boot_s: float) -> None:
    for _ in range(_ejection.FAILURES_TO_EJECT):
        ejector.record_failed_call(name, _FLEET, boot_s)


class TestEjector:
    """Failing and slow executors are set aside, but never too many."""

    def test_single_failures_do_not_add_up(self) -> None:
        ejector = _ejector()
        for _ in range(10):
            ejector.record_failed_call("e0", _FLEET, 100.0)
            ejector.record_completed_call("e0", 1.0, _FLEET, 100.0)
        assert not ejector.is_ejected("e0", 100.0)

    def test_delays_grow(self) -> None:
        ejector = _ejector()
        _fail(ejector, "e0", 100.0)
        assert ejector.is_ejected("e0", 100.9)
        assert not ejector.is_ejected("e0", 101.3)
        ejector.record_failed_call("e0", _FLEET, 101.3)
        assert ejector.is_ejected("e0", 103.2)

    def test_probing_until_one_completes(self) -> None:
        ejector = _ejector()
        _fail(ejector, "e0", 100.0)
        assert ejector.is_probing("e0")
        ejector.record_completed_call("e0", 1.0, _FLEET, 102.0)
        assert not ejector.is_probing("e0")

    def test_slow_executor(self) -> None:
        ejector = _ejector()
        slow = _ejection.SLOWDOWN_TO_EJECT
        assert ejector.record_completed_call("e0", slow, _FLEET, 100.0)

    def test_cap_at_once(self) -> None:
        ejector = _ejector()
        for name in _FLEET:
            _fail(ejector, name, 100.0)
        ejected = sum(ejector.is_ejected(name, 100.1) for name in _FLEET)
        assert ejected == 2

"""Tests of ejecting failing and slow executors."""

import random

from basiljunction.coordination import _ejection

_EXECUTOR_IDS = [f"e{number}" for number in range(6)]


def _make_ejector() -> _ejection.Ejector:
    """Returns an ejector with a fixed random seed."""
    return _ejection.Ejector(random.Random(1))


def _fail_until_ejected(
    ejector: _ejection.Ejector, name: str, boot_s: float
) -> None:
    """Reports as many failures as eject an executor."""
    for _ in range(_ejection.FAILURES_TO_EJECT):
        ejector.failed(name, _EXECUTOR_IDS, boot_s)


class TestEjector:
    """Failing and slow executors are ejected, up to a maximum share."""

    def test_single_failures_do_not_add_up(self) -> None:
        ejector = _make_ejector()
        for _ in range(10):
            ejector.failed("e0", _EXECUTOR_IDS, 100.0)
            ejector.completed("e0", 1.0, _EXECUTOR_IDS, 100.0)
        assert not ejector.is_ejected("e0", 100.0)

    def test_delays_grow(self) -> None:
        ejector = _make_ejector()
        _fail_until_ejected(ejector, "e0", 100.0)
        assert ejector.is_ejected("e0", 100.9)
        assert not ejector.is_ejected("e0", 101.3)
        ejector.failed("e0", _EXECUTOR_IDS, 101.3)
        assert ejector.is_ejected("e0", 103.2)

    def test_probing_until_one_completes(self) -> None:
        ejector = _make_ejector()
        _fail_until_ejected(ejector, "e0", 100.0)
        assert ejector.is_probing("e0")
        ejector.completed("e0", 1.0, _EXECUTOR_IDS, 102.0)
        assert not ejector.is_probing("e0")

    def test_slow_executor(self) -> None:
        ejector = _make_ejector()
        slow = _ejection.SLOWDOWN_TO_EJECT
        assert ejector.completed("e0", slow, _EXECUTOR_IDS, 100.0)

    def test_cap_at_once(self) -> None:
        ejector = _make_ejector()
        for name in _EXECUTOR_IDS:
            _fail_until_ejected(ejector, name, 100.0)
        ejected = sum(ejector.is_ejected(name, 100.1) for name in _EXECUTOR_IDS)
        assert ejected == 2

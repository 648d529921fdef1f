"""Tests of throttling and evicting under pressure."""

from basiljunction.coordination import _throttle

_Level = _throttle.PressureLevel
_Step = _throttle.ThrottleAction


class TestGauge:
    """Tasks are throttled first, evicted after a wait and relaxed late."""

    def test_throttle_then_evict(self) -> None:
        gauge = _throttle.PressureState()
        assert gauge.choose_action(_Level.HIGH, 0.0) is _Step.THROTTLE
        assert gauge.choose_action(_Level.HIGH, 1.0) is _Step.NOTHING
        assert gauge.choose_action(_Level.HIGH, 6.0) is _Step.EVICT
        assert gauge.choose_action(_Level.HIGH, 7.0) is _Step.NOTHING

    def test_relaxes_only_after_a_calm_time(self) -> None:
        gauge = _throttle.PressureState()
        gauge.choose_action(_Level.HIGH, 0.0)
        assert gauge.choose_action(_Level.LOW, 1.0) is _Step.NOTHING
        assert gauge.choose_action(_Level.MIDDLE, 20.0) is _Step.NOTHING
        assert gauge.choose_action(_Level.LOW, 21.0) is _Step.NOTHING
        assert gauge.choose_action(_Level.LOW, 40.0) is _Step.NOTHING
        assert gauge.choose_action(_Level.LOW, 51.0) is _Step.RELAX

    def test_slowdown_alone_is_no_harm(self) -> None:
        assert _throttle.classify_service_latency(0.2, 5.0) is _Level.LOW
        assert _throttle.classify_service_latency(0.6, 2.0) is _Level.HIGH
        assert _throttle.classify_service_latency(0.9, 1.0) is _Level.HIGH

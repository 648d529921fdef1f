"""Tests of the pace of runs."""

from typing import Any

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _job_spec
import workload_builders as build

_MILLICORES = 8000
"""CPU that a filler requests, in millicores."""


def _make_filler(**changes: Any) -> _runs.Run:
    """Returns a running filler."""
    return _runs.Run(
        task=_job_spec.TaskId("00000000000000a1", 0, 0, 0),
        number=1,
        executor="e0",
        step=build.step_spec(
            size=_job_spec.Resources(_MILLICORES, 1000, 0), fills=True
        ),
        phase=_runs.RunPhase.RUNNING,
        phase_since_s=1.0,
        **changes,
    )


def test_a_pace_not_known_follows_from_the_processor_time_in_use() -> None:
    run = _make_filler(is_pace_known=False)
    run.record_reported_value(_MILLICORES / 5)
    assert run.pace_percent == 20
    run.record_reported_value(_MILLICORES * 1.5)
    assert run.pace_percent == _runs.FULL_PACE_PERCENT


def test_a_known_pace_is_kept_whatever_is_in_use() -> None:
    run = _make_filler()
    run.record_reported_value(0.0)
    assert run.pace_percent == _runs.FULL_PACE_PERCENT


def test_a_pace_not_known_is_ordered_though_little_is_in_use() -> None:
    # Its processor time may be in use by others just now.
    run = _make_filler(is_pace_known=False)
    run.record_reported_value(0.0)
    assert run.needs_slowing(20)
    run.record_pace(20)
    assert not run.needs_slowing(20)


def test_the_rate_is_measured_anew_at_another_pace() -> None:
    run = _make_filler(pace_percent=20, speed_measured_from_s=2.0)
    run.record_pace(20)
    assert run.speed_measured_from_s == 2.0
    run.record_pace(_runs.FULL_PACE_PERCENT)
    assert run.speed_measured_from_s is None


class TestPaceOrderWithoutAnswer:
    """It may be carried out late, so the pace on record is not certain."""

    def test_the_run_is_slowed_down_again(self) -> None:
        run = _make_filler(pace_percent=0)
        run.record_pace_answer(100, 10.0, is_answered=False)
        assert run.needs_slowing(0)
        run.record_pace_answer(0, 11.0, is_answered=True)
        assert run.needs_slowing(0)

    def test_it_is_certain_after_the_longest_delay(self) -> None:
        run = _make_filler(pace_percent=0)
        run.record_pace_answer(100, 10.0, is_answered=False)
        over_s = 10.0 + _limits.MAX_ORDER_DELAY_S
        run.record_pace_answer(0, over_s, is_answered=True)
        assert not run.needs_slowing(0)

    def test_processor_time_in_use_shows_that_it_was_carried_out(self) -> None:
        run = _make_filler(pace_percent=20)
        run.record_pace_answer(100, 10.0, is_answered=False)
        run.record_reported_value(_MILLICORES / 10)
        assert run.pace_percent == 20
        run.record_reported_value(_MILLICORES)
        assert run.pace_percent == _runs.FULL_PACE_PERCENT

"""Tests of returning capacity from batch work to urgent work."""

from basiljunction.coordination import _batch_events
from basiljunction.state import _job
import batch_rig
import builders


def _report_latency(rig: batch_rig.Rig, ratio: float, slowdown: float) -> None:
    """Reports the latency of urgent work on the worker."""
    event = _batch_events.ServiceLatencyMeasured(
        "worker-0", "kowhai", "check", ratio, slowdown
    )
    rig.handle_event("dunedin-1", event)


def _make_rig() -> batch_rig.Rig:
    """Returns a rig whose only worker runs four tasks."""
    rig = batch_rig.Rig(workers=1)
    spec = builders.task_spec(
        "day", demand=_job.ResourceDemand(4000, 1024), run_time_s=1e6
    )
    for index in range(4):
        rig.submit(builders.job(f"job-{index}", spec))
    rig.run(20)
    return rig


def _running_cpu_fractions(rig: batch_rig.Rig) -> list[float]:
    """Returns the CPU fraction of each running task, sorted."""
    worker = rig.worker_by_name["worker-0"]
    running = worker.list_running(rig.clock.now().boot_s)
    return sorted(worker.attempt_by_ref[ref].fraction for ref in running)


class TestUrgentWork:
    """Batch work is throttled, then evicted, if urgent work is slow."""

    def test_throttled_at_once(self) -> None:
        rig = _make_rig()
        _report_latency(rig, 0.9, 2.0)
        assert _running_cpu_fractions(rig) == [0.4, 0.4, 1.0, 1.0]

    def test_evicted_if_that_is_not_enough(self) -> None:
        rig = _make_rig()
        for _ in range(4):
            _report_latency(rig, 0.9, 2.0)
            rig.run(4)
        assert len(_running_cpu_fractions(rig)) < 4
        reasons = [each.decision for each in rig.decisions]
        assert reasons.index("throttle") < reasons.index("end-evict")

    def test_full_speed_after_calm(self) -> None:
        rig = _make_rig()
        _report_latency(rig, 0.9, 1.0)
        for _ in range(12):
            rig.run(5)
            _report_latency(rig, 0.1, 1.0)
        assert _running_cpu_fractions(rig) == [1.0] * 4

    def test_pressed_worker_gets_no_new_work(self) -> None:
        rig = _make_rig()
        _report_latency(rig, 0.9, 2.0)
        rig.submit(builders.job("late"))
        rig.run(4)
        assert rig.list_starts("late/day") == []

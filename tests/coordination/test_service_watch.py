"""Tests of measuring urgent work on each worker."""

from basiljunction.coordination import _service_watch


def _record_calls(
    watch: _service_watch.UrgentLatencyMonitor, machine: str, elapsed_s: float
) -> None:
    """Records ten completed calls on a worker."""
    call = _service_watch.ObservedCall(machine, "kowhai", "check", 1.0)
    for call_id in range(10):
        watch.record_call_start(call_id, call)
        watch.record_call_end(call_id, elapsed_s, is_completed=True)


class TestReports:
    """Slowdown is relative to other workers, latency to the deadline."""

    def test_slower_worker_is_told(self) -> None:
        watch = _service_watch.UrgentLatencyMonitor()
        _record_calls(watch, "worker-0", 0.1)
        _record_calls(watch, "worker-1", 0.3)
        reports = {each.machine: each for each in watch.take_due_reports(10.0)}
        assert reports["worker-0"].slowdown == 1.0
        assert round(reports["worker-1"].slowdown, 6) == 3.0
        assert reports["worker-1"].latency_ratio == 0.3

    def test_windows_begin_anew(self) -> None:
        watch = _service_watch.UrgentLatencyMonitor()
        _record_calls(watch, "worker-0", 0.1)
        assert watch.take_due_reports(10.0)
        assert watch.take_due_reports(12.0) == ()
        assert watch.take_due_reports(20.0) == ()

    def test_failed_and_unknown_calls_do_not_count(self) -> None:
        watch = _service_watch.UrgentLatencyMonitor()
        call = _service_watch.ObservedCall("worker-0", "kowhai", "check", 1.0)
        for call_id in range(10):
            watch.record_call_start(call_id, call)
            watch.record_call_end(call_id, 9.0, is_completed=False)
            watch.record_call_end(100 + call_id, 9.0, is_completed=True)
        assert watch.take_due_reports(10.0) == ()

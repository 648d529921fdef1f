"""Tests of excluding failing workers."""

from basiljunction.coordination import _worker_health


class TestSetAside:
    """Successive failures of different tasks exclude a worker for longer."""

    def test_delays_grow_until_a_success(self) -> None:
        health = _worker_health.WorkerFailureTracker()
        delays = [health.record_failure("w", f"task-{n}") for n in range(5)]
        assert delays == [0.0, 0.0, 30.0, 60.0, 120.0]
        health.record_success("w")
        assert health.record_failure("w", "task-9") == 0.0

    def test_one_task_that_fails_again_is_not_the_worker(self) -> None:
        health = _worker_health.WorkerFailureTracker()
        assert [health.record_failure("w", "task") for _ in range(5)] == [
            0.0
        ] * 5

    def test_delay_is_bounded(self) -> None:
        health = _worker_health.WorkerFailureTracker()
        for number in range(40):
            delay_s = health.record_failure("w", f"task-{number}")
        assert delay_s == _worker_health.MAX_EXCLUSION_S

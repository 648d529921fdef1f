"""Tests of how long failing executors are avoided."""

from basiljunction.coordination.scheduling import _failure_record


class TestFailureRecord:
    """An executor is avoided after several failures in a row."""

    def test_two_failures_are_chance(self) -> None:
        record = _failure_record.FailureRecord()
        for _ in range(2):
            record.record_failure(10.0)
        assert not record.is_avoided(10.0)

    def test_the_time_doubles_up_to_a_limit(self) -> None:
        record = _failure_record.FailureRecord(in_a_row=2)
        times_s = []
        for _ in range(5):
            record.record_failure(10.0)
            times_s.append(record.avoid_until_s - 10.0)
        assert times_s == [1.0, 2.0, 4.0, 8.0, 8.0]

    def test_a_success_begins_the_count_anew(self) -> None:
        record = _failure_record.FailureRecord(in_a_row=2)
        record.record_failure(10.0)
        record.reset()
        record.record_failure(11.0)
        assert record.in_a_row == 1
        assert not record.is_avoided(11.0)

"""Tests of learning task sizes and run times."""

from basiljunction.coordination import _learning
from basiljunction.state import _job

_DECLARED = _job.ResourceDemand(4000, 8000)


def _learn_usage(
    cores_ratio: float, memory_ratio: float, count: int
) -> _learning.UsageEstimator:
    """Returns a learner after `count` samples of usage over declared size."""
    learning = _learning.UsageEstimator()
    peak = _job.ResourceDemand(
        int(4000 * cores_ratio), int(8000 * memory_ratio)
    )
    for _ in range(count):
        learning.record_usage("k/c", _DECLARED, peak)
    return learning


class TestRoom:
    """Usage over the declared size counts at once, under it after samples."""

    def test_nothing_known(self) -> None:
        assert (
            _learning.UsageEstimator().reservation("k/c", _DECLARED)
            == _DECLARED
        )

    def test_larger_counts_from_the_first_sample(self) -> None:
        reservation = _learn_usage(2.0, 1.5, 1).reservation("k/c", _DECLARED)
        assert reservation == _job.ResourceDemand(8000, 12000)

    def test_fewer_processors_need_evidence(self) -> None:
        few = _learn_usage(0.5, 0.5, _learning.MIN_SAMPLES - 1)
        assert few.reservation("k/c", _DECLARED) == _DECLARED
        enough = _learn_usage(0.5, 0.5, _learning.MIN_SAMPLES)
        assert enough.reservation("k/c", _DECLARED).millicores == 2300

    def test_memory_is_never_counted_below_declared(self) -> None:
        reservation = _learn_usage(0.5, 0.1, 64).reservation("k/c", _DECLARED)
        assert reservation.memory_mib == 8000

    def test_other_classes_are_not_affected(self) -> None:
        assert (
            _learn_usage(2.0, 2.0, 64).reservation("k/other", _DECLARED)
            == _DECLARED
        )


class TestRunTime:
    """The expected run time is one that most tasks do not exceed."""

    def test_quantile(self) -> None:
        learning = _learning.UsageEstimator()
        for tenth in range(1, 11):
            for _ in range(5):
                learning.record_run_time("k/c", 100.0, tenth * 10.0)
        assert learning.expected_run_time_s("k/c", 100.0) == 80.0
        assert learning.expected_run_time_s("k/c", 200.0) == 160.0

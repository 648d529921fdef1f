"""Tests of what is learned of sizes and run times."""

from basiljunction.coordination import _learning
from basiljunction.state import _job

_DECLARED = _job.ResourceDemand(4000, 8000)


def _learned(
    cores: float, memory: float, count: int
) -> _learning.UsageEstimator:
    learning = _learning.UsageEstimator()
    peak = _job.ResourceDemand(int(4000 * cores), int(8000 * memory))
    for _ in range(count):
        learning.record_usage("k/c", _DECLARED, peak)
    return learning


class TestRoom:
    """More than declared counts at once, less only with evidence."""

    def test_nothing_known(self) -> None:
        assert (
            _learning.UsageEstimator().reservation("k/c", _DECLARED)
            == _DECLARED
        )

    def test_larger_counts_from_the_first_sample(self) -> None:
        room = _learned(2.0, 1.5, 1).reservation("k/c", _DECLARED)
        assert room == _job.ResourceDemand(8000, 12000)

    def test_fewer_processors_need_evidence(self) -> None:
        few = _learned(0.5, 0.5, _learning.MIN_SAMPLES - 1)
        assert few.reservation("k/c", _DECLARED) == _DECLARED
        enough = _learned(0.5, 0.5, _learning.MIN_SAMPLES)
        assert enough.reservation("k/c", _DECLARED).millicores == 2300

    def test_memory_is_never_counted_below_declared(self) -> None:
        room = _learned(0.5, 0.1, 64).reservation("k/c", _DECLARED)
        assert room.memory_mib == 8000

    def test_other_classes_are_not_affected(self) -> None:
        assert (
            _learned(2.0, 2.0, 64).reservation("k/other", _DECLARED)
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

"""Tests of the figures that are computed from the evidence of a run."""

from basiljunction.demo import _evidence
from basiljunction.demo import _figures
import evidence_builders as build


class TestRequests:
    """Latencies cover completed tries only; each try counts as one outcome."""

    def test_counts_and_percentiles(self) -> None:
        answers = [
            *(
                build.completed_request(done_wall_s=10.0 + 0.1)
                for _ in range(98)
            ),
            *(build.completed_request(done_wall_s=13.0) for _ in range(2)),
            build.refused_request(done_wall_s=19.0),
        ]
        (figures,) = _figures.compute_request_figures(answers)
        assert (
            figures.count_by_outcome[_evidence.RequestOutcome.COMPLETED] == 100
        )
        assert figures.count_by_outcome[_evidence.RequestOutcome.NOT_RUN] == 1
        assert round(figures.p50_ms) == 100
        assert round(figures.p99_ms / 10) == 300
        assert round(figures.max_ms / 10) == 300
        assert figures.late_count == 2
        assert sum(figures.buckets) == 100


class TestTasks:
    """A stopped attempt counts as evicted only if a later attempt started."""

    def test_evicted_and_stopped(self) -> None:
        events = (
            build.attempt_start(),
            build.attempt_end(state="stopped"),
            build.attempt_start(attempt=2, wall_s=12.0),
            build.attempt_end(attempt=2, wall_s=13.0),
            build.attempt_start(task_id="job/other"),
            build.attempt_end(task_id="job/other", state="stopped"),
            build.attempt_start(task_id="job/third"),
        )
        (figures,) = _figures.compute_task_figures(events)
        assert (figures.started, figures.completed) == (4, 1)
        assert (figures.evicted, figures.stopped) == (1, 1)
        assert figures.running == 1


class TestCoverage:
    """The coverage figures state how much evidence the checks had."""

    def test_peaks_and_counts(self) -> None:
        evidence = build.evidence(
            answers=(build.completed_request(),),
            executor_events=(
                build.request_begin(slots_in_use=5),
                build.request_begin(),
            ),
            worker_events=(
                build.attempt_start(),
                build.attempt_start(resumed_from="c1"),
            ),
        )
        coverage = _figures.compute_coverage(evidence)
        assert (coverage.request_attempts, coverage.max_slots_in_use) == (1, 5)
        assert (coverage.worker_events, coverage.resumed_attempts) == (2, 1)

"""Tests of the order of pending jobs."""

from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _ordering
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import workload_builders as build


def _make_job(
    tasks: int, *, arrived_s: float = 0.0, is_lasting: bool = False
) -> _jobs.Job:
    """Returns a job of one step with a number of two-second tasks."""
    step = build.step_spec(
        count=tasks, estimate_s=2.0, runs_until_cancelled=is_lasting
    )
    return _jobs.Job(
        accepted=build.accepted_job(step),
        progress=_progress.JobProgress(),
        queue=build.queue(),
        arrived_s=arrived_s,
    )


class TestRank:
    """Jobs that can meet their objective go first; no job size starves."""

    def test_a_job_that_can_be_in_time_goes_before_a_late_one(self) -> None:
        in_time, late = _make_job(9, arrived_s=9.0), _make_job(1, arrived_s=5.0)
        assert _ordering.placement_sort_key(
            in_time, 10.0
        ) < _ordering.placement_sort_key(late, 10.0)

    def test_of_two_in_time_the_smaller_goes_first(self) -> None:
        small, large = _make_job(1), _make_job(8)
        assert _ordering.placement_sort_key(
            small, 0.5
        ) < _ordering.placement_sort_key(large, 0.5)

    def test_waiting_makes_a_late_job_pass_smaller_ones(self) -> None:
        large = _make_job(2, arrived_s=0.0)
        small = _make_job(1, arrived_s=6.0)
        assert (
            _ordering.objective_status(large, 7.6)
            is _ordering.ObjectiveStatus.LATE
        )
        assert (
            _ordering.objective_status(small, 7.6)
            is _ordering.ObjectiveStatus.LATE
        )
        assert _ordering.placement_sort_key(
            large, 7.6
        ) < _ordering.placement_sort_key(small, 7.6)

    def test_a_lasting_job_goes_behind_short_ones(self) -> None:
        short, lasting = _make_job(9), _make_job(1, is_lasting=True)
        assert _ordering.placement_sort_key(
            short, 0.5
        ) < _ordering.placement_sort_key(lasting, 0.5)

    def test_work_that_is_done_no_longer_counts(self) -> None:
        job = _make_job(4)
        before = _ordering.remaining_core_seconds(job)
        job.mark_task_done((0, 0, 1))
        assert _ordering.remaining_core_seconds(job) == before * 3 / 4


class TestRoom:
    """Free capacity is compared for every resource."""

    def test_each_resource_has_to_fit(self) -> None:
        capacity = _job_spec.Resources(2, 2, 2)
        assert capacity.covers(_job_spec.Resources(2, 2, 2))
        for other in ((3, 0, 0), (0, 3, 0), (0, 0, 3)):
            assert not capacity.covers(_job_spec.Resources(*other))


class TestRemainingWork:
    """The work left is computed anew once further tasks are done."""

    def test_it_shrinks_with_each_task_that_is_done(self) -> None:
        job = _make_job(4)
        core_seconds = []
        for index in range(4):
            core_seconds.append(_ordering.remaining_work(job).core_seconds)
            assert _ordering.remaining_work(job).critical_path_s == 2.0
            job.mark_task_done((0, 0, index))
        assert core_seconds == [
            core_seconds[0] * left / 4 for left in (4, 3, 2, 1)
        ]
        assert _ordering.remaining_work(job).critical_path_s == 0.0

    def test_it_is_kept_while_nothing_is_done(self) -> None:
        job = _make_job(4)
        assert _ordering.remaining_work(job) is _ordering.remaining_work(job)

"""Tests of choosing the tasks to evict."""

from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _eviction
from basiljunction.state import _job


def _make_attempt(
    name: str, cores: int, unsaved_s: float, *, standing: bool = False
) -> _batch_model.Attempt:
    """Returns a running attempt with some unsaved progress."""
    demand = _job.ResourceDemand(cores * 1000, 1024)
    ref = _batch_events.TaskRef(f"job/{name}", 1)
    running = _batch_events.WorkerTaskState.RUNNING
    return _batch_model.Attempt(
        ref=ref,
        machine="worker-0",
        job_id="job",
        customer="kowhai",
        class_name="coding",
        spec=_job.TaskSpec(name, demand, 60.0),
        reserved=demand,
        is_standing=standing,
        phase=_batch_model.Phase.RUNNING,
        latest_report=_batch_events.TaskReport(
            ref, running, progress_s=unsaved_s
        ),
    )


def _task_names(victims: list[_batch_model.Attempt]) -> list[str]:
    """Returns the task names of the victims."""
    return [victim.spec.name for victim in victims]


class TestChoice:
    """The choice frees enough capacity at the least loss of progress."""

    def test_least_unsaved_first(self) -> None:
        attempts = [
            _make_attempt("old", 4, 3600.0),
            _make_attempt("new", 4, 10.0),
        ]
        victims = _eviction.choose_victims(
            attempts, _job.ResourceDemand(4000, 0)
        )
        assert _task_names(victims) == ["new"]

    def test_one_goes_before_several_that_lose_more(self) -> None:
        attempts = [_make_attempt(f"small-{n}", 1, 100.0) for n in range(8)]
        attempts.append(_make_attempt("large", 8, 20.0))
        victims = _eviction.choose_victims(
            attempts, _job.ResourceDemand(8000, 0)
        )
        assert _task_names(victims) == ["large"]

    def test_standing_watch_goes_last(self) -> None:
        attempts = [
            _make_attempt("watch", 4, 0.0, standing=True),
            _make_attempt("day", 4, 3600.0),
        ]
        victims = _eviction.choose_victims(
            attempts, _job.ResourceDemand(4000, 0)
        )
        assert _task_names(victims) == ["day"]

    def test_needless_victims_are_spared(self) -> None:
        attempts = [_make_attempt("a", 1, 0.0), _make_attempt("b", 8, 900.0)]
        victims = _eviction.choose_victims(
            attempts, _job.ResourceDemand(8000, 0)
        )
        assert _task_names(victims) == ["b"]

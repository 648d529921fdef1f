"""Tests of the stored progress of jobs."""

import copy

from basiljunction.state.workload import _position_set
from basiljunction.state.workload import _progress


def _make_progress() -> _progress.JobProgress:
    """Returns the progress of a job of which each field is set."""
    return _progress.JobProgress(
        state=_progress.JobState.RUNNING,
        completed_positions=_position_set.PositionSet({(0, 0, 1)}),
        failed_runs_by_position={(0, 0, 2): {7}},
        checkpoint_by_position={(0, 0, 2): "00ff"},
        finished_wall_s=3.0,
        slow_run_by_position={(0, 0, 3): _progress.SlowRun(7, 1.0)},
    )


class TestCopyToStore:
    """What is being stored does not change with the job."""

    def test_it_equals_the_progress(self) -> None:
        progress = _make_progress()
        assert progress.copy_to_store() == progress

    def test_it_keeps_what_it_was_when_the_job_goes_on(self) -> None:
        progress = _make_progress()
        stored = progress.copy_to_store()
        before = copy.deepcopy(stored)
        progress.completed_positions.add((0, 0, 2))
        progress.failed_runs_by_position[0, 0, 2].add(8)
        progress.failed_runs_by_position[0, 0, 3] = {9}
        progress.checkpoint_by_position[0, 0, 2] = "01ff"
        progress.state = _progress.JobState.COMPLETED
        assert stored == before

    def test_of_a_final_state_only_that_is_stored(self) -> None:
        progress = _make_progress()
        progress.state = _progress.JobState.FAILED
        assert progress.copy_to_store() == _progress.JobProgress(
            state=_progress.JobState.FAILED, finished_wall_s=3.0
        )

"""Tests that a task that crashes its executors is given up, and no other."""

import pytest

from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import crash_rig
import workload_builders as build

_MAX_CRASHES = 5
"""Most executors that may crash under a task: three, and two starts that were
on their way."""

_CULPRIT_JOB_ID = "00000000000000bad"
_CULPRIT = _job_spec.TaskId(_CULPRIT_JOB_ID, 0, 0, 0)


def _make_rig(executor_count: int = 12, seed: int = 1) -> crash_rig.CrashRig:
    """Returns a rig of executors with a culprit that is not submitted yet."""
    rig = crash_rig.CrashRig(
        *(build.executor_entry(f"e{n}") for n in range(executor_count)),
        seed=seed,
    )
    rig.crashing_tasks = {_CULPRIT}
    return rig


def _submit_neighbors(rig: crash_rig.CrashRig, count: int) -> list[str]:
    """Submits jobs of eight tasks each and returns their ids."""
    job_ids = [f"{len(rig.spec_by_job):015x}{n:x}" for n in range(count)]
    for job_id in job_ids:
        rig.submit(build.accepted_job(build.step_spec(count=8), job_id=job_id))
    return job_ids


class TestCulpritAmongNeighbors:
    """The culprit is given up; the tasks that ran beside it complete."""

    @pytest.mark.parametrize("loses_answers", [False, True])
    def test_it_is_not_started_without_end(
        self, *, loses_answers: bool
    ) -> None:
        rig = _make_rig()
        rig.loses_crash_answers = loses_answers
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 5)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run(40.0)
        assert 1 <= len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED

"""Tests that crashes of one executor alone are put down to no task."""

import pytest

from basiljunction.coordination.scheduling import _crash_evidence
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import crash_rig
import workload_builders as build

_JOB_ID = "00000000000000a1"

_IDLE_S = 3.0
"""Longest time for which a job may have nothing running beside free room."""


def _make_rig(executor_count: int, cores: int = 4) -> crash_rig.CrashRig:
    """Returns a rig of executors that come back under their ids."""
    capacity = _job_spec.Resources(1000 * cores, 2000 * cores, 0)
    rig = crash_rig.CrashRig(
        *(
            build.executor_entry(f"e{n}", capacity=capacity)
            for n in range(executor_count)
        )
    )
    rig.keeps_ids = True
    rig.restart_s = 1.5
    return rig


def _count_runs(rig: crash_rig.CrashRig) -> int:
    """Returns how many runs are on executors that are up."""
    return sum(
        len(each.run_by_key)
        for each in rig.executor_by_id.values()
        if each.is_up
    )


def _crash_again_and_again(
    rig: crash_rig.CrashRig, executor_id: str, crash_count: int
) -> None:
    """Crashes an executor each time that it has runs, some time after."""
    executor = rig.executor_by_id[executor_id]
    for _ in range(crash_count):
        rig.run_until(lambda: executor.is_up and bool(executor.run_by_key), 9.0)
        rig.run(0.3)
        rig.crash(executor_id)


class TestOneCrashWithManySuspects:
    """The suspects start again at once beside free room."""

    def test_none_waits_for_an_executor_of_its_own(self) -> None:
        rig = _make_rig(8, cores=64)
        rig.run_time_s = 30.0
        rig.run(1.0)
        rig.submit(build.accepted_job(build.step_spec(count=160)))
        rig.run_until(lambda: len(rig.starts) == 160, 9.0)
        rig.run(0.1)
        rig.crash("e0")
        assert _count_runs(rig) < 160
        rig.run_until(lambda: bool(rig.find_notes("executor.crashed")), 9.0)
        rig.run(_IDLE_S)
        assert _count_runs(rig) == 160


class TestExecutorThatCrashesAgainAndAgain:
    """What is started there fails for no crash of this executor alone."""

    def test_its_job_completes(self) -> None:
        rig = _make_rig(4)
        rig.run_time_s = 20.0
        rig.run(1.0)
        rig.submit(build.accepted_job(build.step_spec(count=16)))
        rig.run_until(lambda: _count_runs(rig) == 16, 9.0)
        _crash_again_and_again(rig, "e3", 6)
        rig.run(60.0)
        assert rig.find_notes("job.given-up") == []
        assert rig.state_of(_JOB_ID) is _progress.JobState.COMPLETED

    def test_its_crashes_leave_one_entry_on_record(self) -> None:
        rig = _make_rig(1)
        rig.run(1.0)
        rig.submit(build.accepted_job())
        rig.run_time_s = 20.0
        _crash_again_and_again(rig, "e0", 5)
        rig.run(3.0)
        job = rig.scheduler.cell.job_by_id[_JOB_ID]
        (crashes,) = job.progress.crashes_by_position.values()
        assert len(crashes.shared_executors) == 1


class TestIsCulprit:
    """It takes crashes of several executors, of which each counts once."""

    @pytest.mark.parametrize(
        "crashes",
        [
            _progress.TaskCrashes(("e1@1",), ("e2@1",)),
            _progress.TaskCrashes(("e1@1", "e2@1"), ("e1@2",)),
        ],
    )
    def test_crashes_of_two_executors_show_none(
        self, crashes: _progress.TaskCrashes
    ) -> None:
        assert not _crash_evidence.is_culprit(crashes)

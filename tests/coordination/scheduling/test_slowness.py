"""Tests of detecting and avoiding slow executors."""

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _slowness
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState

# Run time of a task on an executor of normal speed.
TASK_DURATION_S = 2.0

_LONG_DURATION_S = 400.0
"""Run time of a task that takes 4 s for each percent, in seconds."""


def _make_rig(executors: int = 4) -> cell_rig.CellRig:
    """Returns a rig whose tasks take `TASK_DURATION_S`."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(executors))
    )
    rig.run_time_s = TASK_DURATION_S
    rig.run(1)
    return rig


def _make_job(
    number: int, *, estimate_s: float = TASK_DURATION_S
) -> _progress.AcceptedJob:
    """Returns a job of four tasks with checkpoints."""
    return build.accepted_job(
        build.step_spec(count=4, estimate_s=estimate_s, checkpoints=True),
        job_id=f"{number:016x}",
    )


def _submit_jobs(rig: cell_rig.CellRig, seconds: int) -> None:
    """Submits a job of four tasks each second."""
    for _ in range(seconds):
        rig.submit(_make_job(len(rig.spec_by_job)))
        rig.run(1)


def _count_starts(rig: cell_rig.CellRig, executor: str, since_s: float) -> int:
    """Counts the starts on an executor after a time."""
    return sum(
        name == executor and begun_s > since_s
        for begun_s, name, _ in rig.starts
    )


class TestSlowExecutors:
    """Tasks move off an executor much slower than the others."""

    def test_its_tasks_start_elsewhere_and_finish_there(self) -> None:
        rig = _make_rig()
        _submit_jobs(rig, 4)
        rig.executor_by_id["e0"].run_time_factor = 6.0
        _submit_jobs(rig, 8)
        rig.run(5)
        unfinished = [
            job_id
            for job_id in rig.spec_by_job
            if rig.scheduler.visible_state(job_id) is not _State.COMPLETED
        ]
        assert unfinished == []

    def test_it_gets_hardly_any_work_while_it_is_slow(self) -> None:
        rig = _make_rig()
        _submit_jobs(rig, 4)
        rig.executor_by_id["e0"].run_time_factor = 6.0
        since_s = rig.now_s
        _submit_jobs(rig, 12)
        # Detected after about 2 s, then probed again every 3 s.
        assert _count_starts(rig, "e0", since_s) <= 14
        assert _count_starts(rig, "e1", since_s) >= 14

    def test_it_gets_work_again_once_it_has_recovered(self) -> None:
        rig = _make_rig()
        rig.executor_by_id["e0"].run_time_factor = 6.0
        _submit_jobs(rig, 6)
        rig.executor_by_id["e0"].run_time_factor = 1.0
        rig.run(4)
        since_s = rig.now_s
        _submit_jobs(rig, 6)
        assert _count_starts(rig, "e0", since_s) >= 4

    @pytest.mark.parametrize("factor", [0.5, 2.0])
    def test_estimates_off_by_half_move_nothing(self, factor: float) -> None:
        rig = _make_rig()
        for number in range(12):
            rig.submit(_make_job(number, estimate_s=TASK_DURATION_S * factor))
            rig.run(1)
        rig.run(4)
        assert len(rig.starts) == 4 * 12

    def test_steps_much_longer_than_estimated_are_left_where_they_are(
        self,
    ) -> None:
        rig = _make_rig()
        _submit_jobs(rig, 3)
        rig.run_time_s = 10 * TASK_DURATION_S
        rig.submit(_make_job(100))
        rig.submit(_make_job(101))
        rig.run(25)
        assert len(rig.starts) == 4 * 5

    def test_long_tasks_before_their_first_percent_are_left_where_they_are(
        self,
    ) -> None:
        rig = _make_rig(executors=3)
        rig.run_time_s = _LONG_DURATION_S
        rig.submit(
            build.accepted_job(
                build.step_spec(count=16, estimate_s=_LONG_DURATION_S)
            )
        )
        rig.run(5)
        rig.add_executor(build.executor_entry("e3"))
        rig.run(5)
        assert len(rig.starts) == 16
        assert _count_starts(rig, "e3", 0.0) == 4

    def test_slowed_down_fillers_say_nothing_of_an_executor(self) -> None:
        rig, executor = self._make_stalled_executor()
        for run in executor.run_by_key.values():
            run.pace_percent = 20
        jobs = rig.scheduler.cell.job_by_id
        assert _slowness.find_runs_to_move(executor, jobs, rig.now_s) == []

    def test_a_task_about_to_end_stays(self) -> None:
        rig, executor = self._make_stalled_executor()
        for run in executor.run_by_key.values():
            run.progress_percent = 99
            run.speed_measured_from_percent = 90
        jobs = rig.scheduler.cell.job_by_id
        assert _slowness.find_runs_to_move(executor, jobs, rig.now_s) == []
        assert executor.avoid_until_s > rig.now_s

    def _make_stalled_executor(
        self,
    ) -> tuple[cell_rig.CellRig, _executors.ExecutorState]:
        """Returns an executor whose tasks stall while others progress."""
        rig = _make_rig()
        rig.submit(
            build.accepted_job(
                build.step_spec(count=16, estimate_s=9.0, checkpoints=True)
            )
        )
        rig.run_time_s = 9.0
        rig.run(1.5)
        executor = rig.scheduler.cell.executor_by_id["e0"]
        for run in executor.run_by_key.values():
            run.speed_measured_from_s = rig.now_s - 1
            run.speed_measured_from_percent = run.progress_percent
        rig.run(0.05)
        return rig, executor

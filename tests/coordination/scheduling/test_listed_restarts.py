"""Tests of restarts that the platform's list tells before the executor does."""

import pytest

import cell_rig
import workload_builders as build

_LASTING_TASK_BOUND_S = 9.0
"""Time within which a task that lasts runs again where there is room, in
seconds."""


def _make_rig() -> cell_rig.CellRig:
    """Returns a rig with a lasting task on each of two executors."""
    rig = cell_rig.CellRig(
        build.executor_entry("e1"), build.executor_entry("e2")
    )
    rig.run(60)
    rig.submit(
        build.accepted_job(
            build.step_spec(count=2, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )
    rig.run(1)
    return rig


def _restart_behind_cut(rig: cell_rig.CellRig) -> None:
    """Restarts an executor that reaches the platform's list, but not us."""
    executor = rig.executor_by_id["e1"]
    executor.is_answering = False
    executor.restart()


class TestRunsOfTheListedRestart:
    """Tasks of the incarnation before don't wait until its lease ends."""

    @pytest.mark.parametrize("age_s", [0.6, 1.0, 2.0])
    def test_they_run_in_time_if_scheduler_and_executor_are_lost(
        self, age_s: float
    ) -> None:
        rig = _make_rig()
        _restart_behind_cut(rig)
        rig.run(age_s)
        rig.lose_executor("e1")
        rig.take_over()
        rig.run(_LASTING_TASK_BOUND_S - age_s)
        assert rig.count_lasting_runs() == 2

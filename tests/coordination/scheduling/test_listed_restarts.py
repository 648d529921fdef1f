"""Tests of restarts that the platform's list tells before the executor does."""

import pytest

from basiljunction.state.workload import _executor
import cell_rig
import workload_builders as build

_NOTICE_S = 1.0
"""Time within which tasks start elsewhere after a listed restart, in seconds:
the time of a heartbeat, and half a second."""

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

    def test_they_start_elsewhere_at_once(self) -> None:
        rig = _make_rig()
        _restart_behind_cut(rig)
        rig.run(_NOTICE_S)
        assert rig.count_lasting_runs() == 2

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


def _list_old_entry(
    rig: cell_rig.CellRig, old: _executor.ListedExecutor
) -> None:
    """Lists an executor as it was, once, and then as it is."""
    executor = rig.executor_by_id[old.id]
    newest = executor.entry
    executor.entry = old
    rig.list_executors()
    executor.entry = newest
    rig.run(0.5)


class TestListedBefore:
    """A listing of an incarnation that is known tells no restart."""

    @pytest.mark.parametrize("clock_step_ms", [0, -500])
    def test_an_old_listing_ends_no_runs(self, clock_step_ms: int) -> None:
        rig = _make_rig()
        executor = rig.executor_by_id["e1"]
        old = executor.entry
        executor.born_ms += clock_step_ms
        executor.restart()
        rig.run(12)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=2, runs_until_cancelled=True),
                job_id="a2",
                in_queue=build.queue("watch"),
            )
        )
        rig.run(1)
        runs = set(executor.run_by_key)
        assert runs
        _list_old_entry(rig, old)
        assert set(executor.run_by_key) == runs
        assert rig.count_lasting_runs() == 4


class TestResignation:
    """A restarted executor without runs lengthens no wait for others."""

    def test_tasks_of_another_executor_run_in_time(self) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(name) for name in ("e1", "e2", "e3"))
        )
        rig.run(60)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=3, runs_until_cancelled=True),
                in_queue=build.queue("watch"),
            )
        )
        rig.run(1)
        _restart_behind_cut(rig)
        rig.executor_by_id["e2"].is_up = False
        rig.executor_by_id["e2"].run_by_key.clear()
        rig.list_executors()
        rig.resign()
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == 3

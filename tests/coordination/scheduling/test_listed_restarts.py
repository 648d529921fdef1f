"""Tests of restarts that the platform's list tells before the executor does."""

import dataclasses

import pytest

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


class TestListedBefore:
    """A listing of an incarnation that is known tells no restart."""

    def test_an_old_listing_ends_no_runs(self) -> None:
        rig = _make_rig()
        executor = rig.executor_by_id["e1"]
        old = executor.entry
        executor.restart()
        rig.run(3)
        newest = executor.entry
        run_count = len(executor.run_by_key)
        executor.entry = old
        rig.list_executors()
        executor.entry = newest
        rig.run(0.5)
        assert len(executor.run_by_key) == run_count
        assert rig.count_lasting_runs() == 2

    def test_a_clock_that_was_set_back_ends_no_runs(self) -> None:
        rig = _make_rig()
        executor = rig.executor_by_id["e1"]
        first = executor.entry
        executor.restart()
        executor.born_ms -= 500
        executor.entry = dataclasses.replace(
            executor.entry, born_ms=executor.born_ms
        )
        rig.run(3)
        newest = executor.entry
        executor.entry = first
        rig.list_executors()
        executor.entry = newest
        rig.run(0.5)
        assert rig.count_lasting_runs() == 2


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

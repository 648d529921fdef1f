"""Tests how long runs of executors that have restarted are waited for."""

import pytest

from basiljunction.coordination.scheduling import _placement
from basiljunction.state.workload import _job_spec
import cell_rig
import newcomers
import workload_builders as build

_LASTING_TASK_BOUND_S = 9.0
"""Time within which a task that lasts runs again where there is room, in
seconds: the rules count from 6 s after its last run, and 3 s without one."""

_LASTING_COUNT = 8


def _submit_lasting_tasks(rig: cell_rig.CellRig) -> None:
    rig.submit(
        build.accepted_job(
            build.step_spec(count=_LASTING_COUNT, runs_until_cancelled=True),
            in_queue=build.queue("watch"),
        )
    )


def _lose_restarted_executor(
    rig: cell_rig.CellRig, age_s: float, *, with_scheduler: bool
) -> None:
    """Loses an executor some time after its restart, beside lasting tasks."""
    rig.run(60)
    _submit_lasting_tasks(rig)
    rig.run(1)
    rig.executor_by_id["e1"].restart()
    rig.run(age_s)
    rig.lose_executor("e1")
    rig.add_executor(build.executor_entry("e3"))
    if with_scheduler:
        rig.take_over()


def _make_rig() -> cell_rig.CellRig:
    return cell_rig.CellRig(
        build.executor_entry("e1"), build.executor_entry("e2")
    )


class TestLostSoonAfterRestart:
    """Lasting tasks of an executor that had just restarted run again."""

    @pytest.mark.parametrize("age_s", [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0])
    def test_beside_the_loss_of_the_scheduler(self, age_s: float) -> None:
        rig = _make_rig()
        _lose_restarted_executor(rig, age_s, with_scheduler=True)
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT

    @pytest.mark.parametrize("age_s", [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0])
    def test_under_the_same_scheduler(self, age_s: float) -> None:
        rig = _make_rig()
        _lose_restarted_executor(rig, age_s, with_scheduler=False)
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT


class TestRestartFoundByASuccessor:
    """A restart that the next scheduler learns first is told as well."""

    @pytest.mark.parametrize("age_s", [2.5, 3.0, 4.0])
    def test_lasting_tasks_run_again_in_time(self, age_s: float) -> None:
        rig = _make_rig()
        rig.run(60)
        _submit_lasting_tasks(rig)
        rig.run(1)
        rig.executor_by_id["e1"].restart()
        rig.take_over()
        rig.run(age_s)
        rig.lose_executor("e1")
        rig.add_executor(build.executor_entry("e3"))
        rig.take_over()
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT


class TestRestartThatTheListTold:
    """A restart is listed before the renewal that is held there ends."""

    @pytest.mark.parametrize("moment_s", [0.0, 0.2, 0.4, 0.6, 0.8])
    def test_lasting_tasks_run_again_in_time(self, moment_s: float) -> None:
        """Executor and scheduler are lost then, beside room elsewhere."""
        rig = _make_rig()
        rig.add_executor(build.executor_entry("e3"))
        rig.holds_renewals = True
        rig.run(60)
        _submit_lasting_tasks(rig)
        rig.run(30 + moment_s)
        lost = rig.executor_by_id["e1"]
        assert lost.run_by_key
        lost.restart()
        restarted_s = rig.now_s
        known = rig.scheduler.cell.executor_by_id["e1"]
        while known.listing.born_ms != lost.born_ms:
            rig.step()
        rig.lose_executor("e1")
        rig.take_over()
        rig.run(restarted_s + _LASTING_TASK_BOUND_S - rig.now_s)
        assert rig.count_lasting_runs() == _LASTING_COUNT


class TestNewcomerAfterRestart:
    """An instance that has just started knows the bound of long leases too."""

    @pytest.mark.parametrize("age_s", [0.5, 1.0, 1.5, 2.0])
    def test_lasting_tasks_run_again_in_time(self, age_s: float) -> None:
        rig = _make_rig()
        _lose_restarted_executor(rig, 3.0, with_scheduler=False)
        rig.take_over(
            newcomer=newcomers.Newcomer(rig.now_s - age_s, is_added=False)
        )
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT


class TestAvoidedAfterRestart:
    """Lasting tasks start elsewhere at first if there is room.

    They would be held up if the executor were lost right after its restart.
    """

    @pytest.mark.parametrize("with_scheduler", [False, True])
    @pytest.mark.parametrize("age_s", [0.5, 1.0, 1.5])
    def test_they_run_again_in_time(
        self, age_s: float, *, with_scheduler: bool
    ) -> None:
        rig = _make_rig()
        rig.add_executor(build.executor_entry("e4"))
        _lose_restarted_executor(rig, age_s, with_scheduler=with_scheduler)
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT

    def test_an_executor_with_less_room_goes_first(self) -> None:
        rig = _make_rig()
        rig.submit(build.accepted_job(build.step_spec(count=1)))
        rig.run(0.2)
        restarted, used = sorted(
            rig.scheduler.cell.executor_by_id.values(),
            key=lambda each: len(each.run_by_key),
        )
        assert used.run_by_key
        restarted.holds_up_lasting_tasks = True
        task = _job_spec.TaskId("a2", 0, 0, 0)
        for lasts, expected in ((True, used), (False, restarted)):
            ranking = _placement.StepRanking(
                build.step_spec(count=1, runs_until_cancelled=lasts),
                task,
                (restarted, used),
                rig.scheduler.cell.sharing,
            )
            assert ranking.best_executor() is expected

    def test_they_start_there_at_once_without_other_room(self) -> None:
        rig = _make_rig()
        rig.run(60)
        _submit_lasting_tasks(rig)
        rig.run(1)
        rig.executor_by_id["e1"].restart()
        rig.run(1)
        assert rig.count_lasting_runs() == _LASTING_COUNT


class TestLostSoonAfterTakeOver:
    """An executor that answered a new scheduler holds up tasks no longer."""

    def test_lasting_tasks_run_again_in_time(self) -> None:
        rig = _make_rig()
        rig.run(60)
        _submit_lasting_tasks(rig)
        rig.run(1)
        rig.take_over()
        rig.run(0.3)
        rig.lose_executor("e1")
        rig.add_executor(build.executor_entry("e3"))
        rig.run(_LASTING_TASK_BOUND_S)
        assert rig.count_lasting_runs() == _LASTING_COUNT

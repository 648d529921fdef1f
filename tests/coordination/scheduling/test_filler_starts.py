"""Tests of starting fillers where every executor runs a serving task."""

import pytest

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _sharing
from basiljunction.coordination.scheduling import _wait_notes
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_MAX_IDLE_S = 3.0
"""Longest time for which a job may have nothing running beside free capacity,
in seconds, by the users' rules."""

_PACE_CHANGE_S = 10.0
"""Time in which a slowed filler surely has its pace changed, in seconds."""

_CAPACITY = _job_spec.Resources(32_000, 128_000, 0)
_EXECUTOR_COUNT = 4
_FILLER_JOB_ID = "00000000000000f1"


def _make_serving_rig() -> cell_rig.CellRig:
    """Returns a rig with one serving task on each executor.

    They reserve less than a fifth of the capacity.
    """
    rig = cell_rig.CellRig(
        *(
            build.executor_entry(f"e{number}", capacity=_CAPACITY)
            for number in range(_EXECUTOR_COUNT)
        )
    )
    rig.run(1)
    rig.submit(
        build.accepted_job(
            build.step_spec(
                count=_EXECUTOR_COUNT,
                size=_job_spec.Resources(6000, 1000, 0),
                image="serving",
                tail_target_ms=50,
                runs_until_cancelled=True,
                max_per_executor=1,
            )
        )
    )
    rig.run(1)
    assert rig.count_lasting_runs() == _EXECUTOR_COUNT
    return rig


def _submit_fillers(
    rig: cell_rig.CellRig, *, millicores: int, count: int = 1
) -> None:
    """Submits a job of fillers whose image has never run."""
    rig.submit(
        build.accepted_job(
            build.step_spec(
                count=count,
                size=_job_spec.Resources(millicores, 1000, 0),
                image="filler",
                fills=True,
            ),
            job_id=_FILLER_JOB_ID,
        )
    )


def _find_filler_starts(rig: cell_rig.CellRig) -> list[_orders.StartOrder]:
    """Returns the starts of the fillers so far."""
    return [
        order for _, _, order in rig.starts if order.task.job == _FILLER_JOB_ID
    ]


def _find_paces(rig: cell_rig.CellRig) -> list[tuple[int, int]]:
    """Returns the run and the percent of each change of a pace so far."""
    return [
        (order.run, order.percent)
        for executor in rig.executor_by_id.values()
        for order in executor.paces
    ]


def _end_serving_job(rig: cell_rig.CellRig) -> None:
    """Cancels the serving job and waits until paces have been changed."""
    (serving,) = (each for each in rig.spec_by_job if each != _FILLER_JOB_ID)
    rig.cancel(serving)
    rig.run(_PACE_CHANGE_S)


class TestEachExecutorServes:
    """The expected loss of headroom keeps no job from running for long."""

    def test_a_large_filler_starts_while_most_capacity_is_free(self) -> None:
        rig = _make_serving_rig()
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        assert _find_filler_starts(rig)

    def test_it_starts_slowed_and_alone_of_its_job(self) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        _submit_fillers(rig, millicores=14_000, count=3)
        rig.run(_MAX_IDLE_S)
        (start,) = _find_filler_starts(rig)
        assert _find_paces(rig) == [
            (start.run, _sharing.THROTTLED_PACE_PERCENT)
        ]

    def test_the_slowing_is_ordered_again_after_a_lost_answer(self) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        _submit_fillers(rig, millicores=14_000)
        rig.run(0.5)
        rig.on_note = lambda note: (
            setattr(rig, "lost_share", 1.0)
            if note.event == "task.started"
            else None
        )
        rig.run(1.5)
        rig.lost_share = 0.0
        rig.on_note = lambda _: None
        rig.run(2.0)
        (start,) = _find_filler_starts(rig)
        run = rig.scheduler.cell.current_run_by_task[start.task]
        assert run.pace_percent == _sharing.THROTTLED_PACE_PERCENT

    def test_a_slowed_one_gets_its_full_pace_back_once_nothing_serves(
        self,
    ) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        (start,) = _find_filler_starts(rig)
        _end_serving_job(rig)
        assert _find_paces(rig)[-1] == (start.run, _sharing.FULL_PACE_PERCENT)

    def test_so_does_one_that_a_new_scheduler_has_adopted(self) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        (start,) = _find_filler_starts(rig)
        rig.take_over()
        rig.run(_MAX_IDLE_S)
        _end_serving_job(rig)
        assert _find_paces(rig)[-1] == (start.run, _sharing.FULL_PACE_PERCENT)

    def test_one_that_leaves_headroom_keeps_its_full_pace(self) -> None:
        rig = _make_serving_rig()
        _submit_fillers(rig, millicores=4000)
        rig.run(0.5)
        assert _find_filler_starts(rig)
        rig.run(_MAX_IDLE_S)
        assert _find_paces(rig) == []

    def test_none_starts_beside_tails_over_their_target(self) -> None:
        """It would not help, and its job is not what is late there."""
        rig = _make_serving_rig()
        for executor in rig.scheduler.cell.executor_by_id.values():
            executor.revision += 1
            for run in executor.run_by_key.values():
                run.over_target_since_s = rig.now_s
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        assert _find_filler_starts(rig) == []

    def test_none_starts_slowed_while_most_capacity_is_in_use(self) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=_EXECUTOR_COUNT,
                    size=_job_spec.Resources(12_000, 1000, 0),
                    max_per_executor=1,
                ),
                job_id="00000000000000c1",
            )
        )
        rig.run(1)
        _submit_fillers(rig, millicores=14_000)
        rig.run(_MAX_IDLE_S)
        assert _find_filler_starts(rig) == []

    def test_the_log_does_not_call_it_startable_then(self) -> None:
        rig = _make_serving_rig()
        notes: list[_notes.Note] = []
        rig.on_note = notes.append
        rig.run_time_s = 60.0
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=_EXECUTOR_COUNT,
                    size=_job_spec.Resources(12_000, 1000, 0),
                    max_per_executor=1,
                ),
                job_id="00000000000000c1",
            )
        )
        rig.run(1)
        _submit_fillers(rig, millicores=14_000)
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 1.5)
        wait = next(each for each in notes if each.event == "task.waits")
        assert wait.value_by_field["full_pace"] == _EXECUTOR_COUNT
        assert "startable" not in wait.value_by_field

    @pytest.mark.parametrize("millicores", [10_000, 14_000, 20_000])
    def test_one_that_may_have_crashed_an_executor_starts_too(
        self, millicores: int
    ) -> None:
        rig = _make_serving_rig()
        rig.run_time_s = 60.0
        _submit_fillers(rig, millicores=millicores)
        rig.run(0.2)
        job = rig.scheduler.cell.job_by_id[_FILLER_JOB_ID]
        job.progress.crashes_by_position[0, 0, 0] = _progress.TaskCrashes(
            shared_executors=("e8@1", "e9@1")
        )
        rig.run(_MAX_IDLE_S)
        (start,) = _find_filler_starts(rig)
        run = rig.scheduler.cell.current_run_by_task[start.task]
        assert run.is_isolated
        assert run.pace_percent == _sharing.THROTTLED_PACE_PERCENT


class TestOtherFillersUseAllProcessorTime:
    """A job runs something beside fillers that leave no processor time."""

    def _make_full_rig(self) -> cell_rig.CellRig:
        """Returns a rig whose executors run fillers of other jobs alone."""
        rig = cell_rig.CellRig(
            *(
                build.executor_entry(f"e{number}", capacity=_CAPACITY)
                for number in range(_EXECUTOR_COUNT)
            )
        )
        rig.run_time_s = 60.0
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=4 * _EXECUTOR_COUNT,
                    size=_job_spec.Resources(8000, 1000, 0),
                    image="filler",
                    fills=True,
                )
            )
        )
        rig.run(1)
        for executor in rig.scheduler.cell.executor_by_id.values():
            assert executor.unused_millicores == 0
        return rig

    def test_one_of_its_fillers_starts_while_most_capacity_is_free(
        self,
    ) -> None:
        rig = self._make_full_rig()
        _submit_fillers(rig, millicores=4000, count=3)
        rig.run(_MAX_IDLE_S)
        assert len(_find_filler_starts(rig)) == 1

    def test_each_of_many_jobs_runs_something(self) -> None:
        rig = self._make_full_rig()
        for number in range(20):
            rig.submit(
                build.accepted_job(
                    build.step_spec(
                        count=2,
                        size=_job_spec.Resources(6000, 1000, 0),
                        image="filler",
                        fills=True,
                    ),
                    job_id=f"b{number}",
                )
            )
        rig.run(_MAX_IDLE_S)
        started = {order.task.job for _, _, order in rig.starts}
        assert {f"b{number}" for number in range(20)} <= started

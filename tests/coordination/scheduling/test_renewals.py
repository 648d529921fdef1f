"""Tests of the answers to lease renewals."""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_RUN_TIME_S = 60.0
"""Run time of the tasks, longer than any of these tests, in seconds."""


def _end_of(
    task: _job_spec.TaskId, run_number: int, kind: _executor.RunEndKind
) -> _executor.EndedRunReport:
    """Returns the report of the first run that ended on an executor."""
    return _executor.EndedRunReport(1, task, run_number, kind, "")


def _report_end(
    scheduler: _scheduler.Scheduler,
    executor_id: str,
    end: _executor.EndedRunReport,
    now_s: float,
) -> None:
    """Lets an executor report an end and no run."""
    scheduler.handle_renewal_answer(
        _orders.RenewalOrder(executor_id, None, 0, 0),
        _executor.LeaseRenewalReply(
            clock_ms=int(now_s * 1000),
            started_wall_ms=1,
            active_runs=(),
            unacknowledged_ends=(end,),
        ),
        build.clock_readings_at(now_s),
    )


class TestEndOfAnEarlierRun:
    """A run's good end counts though the task has another current run.

    Its executor is told that the end was noted, and forgets it.
    """

    def _adopt_copy(
        self, *, gang: bool
    ) -> tuple[cell_rig.CellRig, list[_job_spec.TaskId]]:
        """Returns a rig whose second scheduler has adopted runs on e1."""
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run_time_s = _RUN_TIME_S
        rig.run(1)
        count = 2 if gang else 1
        rig.submit(
            build.accepted_job(
                build.step_spec(count=count, speculative=not gang, gang=gang),
                build.step_spec(after=(0,)),
            )
        )
        rig.run(0.5)
        rig.take_over()
        rig.run(0.5)
        tasks = [order.task for _, _, order in rig.starts]
        assert len(tasks) == count
        return rig, tasks

    @pytest.mark.parametrize("gang", [False, True])
    def test_its_task_is_not_started_again(self, *, gang: bool) -> None:
        rig, tasks = self._adopt_copy(gang=gang)
        end = _end_of(tasks[0], 0, _executor.RunEndKind.DONE)
        _report_end(rig.scheduler, "e2", end, rig.now_s)
        rig.done_tasks.update(tasks)
        rig.run(3)
        running_steps = [
            task.step
            for executor in rig.executor_by_id.values()
            for task, _ in executor.run_by_key
        ]
        assert running_steps == [1]
        assert [order.task.step for _, _, order in rig.starts] == [
            *(task.step for task in tasks),
            1,
        ]

    def test_a_stopped_run_leaves_the_current_one_alone(self) -> None:
        rig, tasks = self._adopt_copy(gang=False)
        end = _end_of(tasks[0], 0, _executor.RunEndKind.STOPPED)
        _report_end(rig.scheduler, "e2", end, rig.now_s)
        rig.run(1)
        state = rig.scheduler.visible_state(tasks[0].job)
        assert state is _progress.JobState.RUNNING
        assert sum(len(e.run_by_key) for e in rig.executor_by_id.values()) == 1

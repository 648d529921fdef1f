"""Tests of starts on executors that are avoided for failures."""

import pytest

from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_WHOLE = _job_spec.Resources(4000, 8000, 0)
"""Size of a task that fills an executor."""


def _make_rig(count: int, failing: int) -> cell_rig.CellRig:
    """Returns a rig of which the first executors are failing for long."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{n + 1}") for n in range(count))
    )
    rig.run_time_s = 20.0
    rig.run(1.0)
    executors = list(rig.scheduler.cell.executor_by_id.values())
    for executor in executors[:failing]:
        executor.failures.in_a_row = 9
        executor.failures.avoid_until_s = rig.now_s + 60.0
    return rig


class TestLastResorts:
    """Failing executors take what can start on no other, and little of it."""

    def test_they_are_left_out_while_others_have_room(self) -> None:
        rig = _make_rig(2, failing=1)
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.run(5.0)
        assert {executor for _, executor, _ in rig.starts} == {"e2"}

    def test_a_job_with_nothing_running_starts_one_task(self) -> None:
        rig = _make_rig(2, failing=1)
        whole = build.step_spec(size=_WHOLE, count=3)
        rig.submit(build.accepted_job(whole, job_id="a1"))
        rig.run(5.0)
        rig.submit(build.accepted_job(whole, job_id="a2"))
        rig.run(5.0)
        placed = [(e, order.task.job) for _, e, order in rig.starts]
        assert placed == [("e2", "a1"), ("e1", "a2")]

    def test_a_task_does_not_return_to_one(self) -> None:
        rig = _make_rig(2, failing=1)
        whole = build.step_spec(size=_WHOLE)
        rig.submit(build.accepted_job(whole, job_id="a1"))
        rig.run(1.0)
        rig.fail_share = 1.0
        rig.run_time_s = 0.5
        rig.submit(build.accepted_job(whole, job_id="a2"))
        rig.run(8.0)
        assert [executor for _, executor, _ in rig.starts] == ["e2", "e1"]

    @pytest.mark.parametrize("is_gang", [False, True])
    def test_lasting_tasks_and_gangs_start_if_all_are_failing(
        self, *, is_gang: bool
    ) -> None:
        rig = _make_rig(4, failing=4)
        step = build.step_spec(
            size=_WHOLE, count=4, gang=is_gang, runs_until_cancelled=not is_gang
        )
        rig.submit(build.accepted_job(step))
        rig.run(3.0)
        assert len(rig.starts) == 4

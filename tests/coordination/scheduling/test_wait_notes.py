"""Tests of the log entries that say why tasks wait."""

import pytest

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _wait_notes
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_RUN_TIME_S = 60.0
"""Run time of a task, longer than any of these tests, in seconds."""


class _DeafRig(cell_rig.CellRig):
    """A cell whose executors may take no starts.

    Attributes:
        start_result: What the scheduler is told of each start; None if they are
            carried out.
    """

    start_result: _orders.StartResult | None = None

    def _execute_order(
        self,
        executor: cell_rig.SimulatedExecutor,
        token: int,
        order: _orders.ExecutorOrder,
    ) -> _orders.StartResult | _executor.LeaseRenewalReply | bool:
        """Answers a start without carrying it out."""
        if self.start_result and isinstance(order, _orders.StartOrder):
            return self.start_result
        return super()._execute_order(executor, token, order)


def _make_rig(
    event: str = "task.waits",
) -> tuple[_DeafRig, list[_notes.Note]]:
    """Returns a rig of two executors of four cores, and its entries."""
    rig = _DeafRig(build.executor_entry("e1"), build.executor_entry("e2"))
    rig.run_time_s = _RUN_TIME_S
    notes: list[_notes.Note] = []
    rig.on_note = lambda note: (
        notes.append(note) if note.event == event else None
    )
    rig.run(1)
    return rig, notes


class TestJobWithNothingRunning:
    """The entry counts the executors by the condition that refuses a task."""

    def test_a_filler_waits_for_unused_processor_time(self) -> None:
        rig, notes = _make_rig()
        reserved = _job_spec.Resources(2200, 500, 0)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=2, size=reserved), job_id="a1"
            )
        )
        filler = build.step_spec(
            count=2, size=_job_spec.Resources(1800, 500, 0), fills=True
        )
        rig.submit(build.accepted_job(filler, job_id="a2"))
        rig.run(0.5)
        rig.submit(build.accepted_job(filler, job_id="a3"))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 1.5)
        values = notes[0].value_by_field
        assert values["task"] == "a3/0.0.0"
        assert values["usable_executors"] == 2
        assert values["no_unused_processor"] == 2
        assert values["waiting_jobs"] == 1

    def test_a_task_waits_for_room(self) -> None:
        rig, notes = _make_rig()
        step = build.step_spec(count=1, size=_job_spec.Resources(3000, 500, 0))
        for job_id in ("a1", "a2", "a3"):
            rig.submit(build.accepted_job(step, job_id=job_id))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 1.5)
        assert notes[0].value_by_field["no_room"] == 2

    def test_entries_are_an_interval_apart(self) -> None:
        rig, notes = _make_rig()
        step = build.step_spec(count=1, size=_job_spec.Resources(3000, 500, 0))
        for job_id in ("a1", "a2", "a3"):
            rig.submit(build.accepted_job(step, job_id=job_id))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 5)
        assert 4 <= len(notes) <= 6

    def test_a_job_with_a_running_task_has_none(self) -> None:
        rig, notes = _make_rig()
        step = build.step_spec(count=4, size=_job_spec.Resources(3000, 500, 0))
        rig.submit(build.accepted_job(step))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 5)
        assert notes == []


class TestTaskThatIsSentInVain:
    """The entry tells the whole wait, whether a start is on its way or not."""

    @pytest.mark.parametrize(
        "result", [_orders.StartResult.NO_ROOM, _orders.StartResult.UNKNOWN]
    )
    def test_no_executor_takes_it(self, result: _orders.StartResult) -> None:
        rig, notes = _make_rig()
        rig.start_result = result
        rig.submit(build.accepted_job(job_id="a1"))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 5)
        waits_s = [float(each.value_by_field["waited_s"]) for each in notes]
        assert len(waits_s) >= 4
        assert waits_s[-1] - waits_s[0] == pytest.approx(
            len(waits_s) - 1, abs=0.5
        )
        rig.start_result = None
        rig.run(5)
        notes.clear()
        rig.run(5)
        assert notes == []


class TestLastingTask:
    """The entry tells why a lasting task waits beside others of its job."""

    def test_its_executor_may_still_run_it(self) -> None:
        rig, notes = _make_rig("task.lasting-waits")
        step = build.step_spec(
            count=2,
            size=_job_spec.Resources(1000, 500, 0),
            runs_until_cancelled=True,
        )
        rig.submit(build.accepted_job(step, job_id="a1"))
        rig.run(2)
        rig.lose_executor("e2")
        rig.take_over()
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 1.5)
        values = notes[0].value_by_field
        assert str(values["task"]).startswith("a1/")
        assert values["may_run_unlisted"] is True
        assert values["startable"] == 1

    def test_it_waits_for_room(self) -> None:
        rig, notes = _make_rig("task.lasting-waits")
        step = build.step_spec(
            count=3,
            size=_job_spec.Resources(3000, 500, 0),
            runs_until_cancelled=True,
        )
        rig.submit(build.accepted_job(step, job_id="a1"))
        rig.run(_wait_notes.MIN_NOTED_WAIT_S + 1.5)
        values = notes[0].value_by_field
        assert values["may_run_unlisted"] is False
        assert values["no_room"] == 2

"""Tests of the wait for runs of earlier terms."""

import dataclasses

import pytest

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _summary
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _records
import cell_rig
import workload_builders as build


def _take_over_from_lost_executor() -> tuple[
    cell_rig.CellRig, list[_notes.Note]
]:
    """Returns a rig after the loss of executor e1 and of the scheduler."""
    rig = cell_rig.CellRig(
        build.executor_entry("e1"), build.executor_entry("e2")
    )
    rig.run(1)
    rig.executor_by_id["e1"].is_up = False
    notes: list[_notes.Note] = []
    rig.on_note = notes.append
    rig.take_over()
    return rig, notes


class TestExecutorThatNeverAnswered:
    """No order was sent to it, so that nobody waits for runs on it."""

    @pytest.mark.parametrize("take_overs", [1, 3])
    def test_tasks_of_inherited_jobs_do_not_wait_for_it(
        self, take_overs: int
    ) -> None:
        rig = cell_rig.CellRig(
            *(build.executor_entry(name) for name in ("e0", "e1", "silent"))
        )
        rig.executor_by_id["silent"].is_answering = False
        rig.run(2)
        rig.submit(build.accepted_job(build.step_spec(count=20)))
        rig.run(0.5)
        for _ in range(take_overs):
            rig.take_over(recovery_s=0.3)
            rig.run(0.5)
        rig.run(3)
        assert len(rig.done_tasks) == 20

    def test_it_gets_tasks_once_it_answers(self) -> None:
        rig = cell_rig.CellRig(build.executor_entry("e0"))
        rig.executor_by_id["e0"].is_answering = False
        rig.run(2)
        rig.submit(build.accepted_job(build.step_spec(count=1)))
        rig.run(1)
        assert _read_roster_ids(rig) == set()
        rig.executor_by_id["e0"].is_answering = True
        rig.run(0.5)
        assert rig.starts
        assert _read_roster_ids(rig) == {"e0"}


class TestReports:
    """The log tells for which executors tasks wait, and until when."""

    def test_a_wait_is_logged_each_second_until_it_expires(self) -> None:
        rig, notes = _take_over_from_lost_executor()
        longest_s = (
            _lease_grants.UNREPORTED_GRANT_S
            + _limits.LeaseTimes().max_run_after_grant_s
        )
        rig.run(longest_s + 1)
        waits = [each for each in notes if each.event == "recovery.waiting"]
        assert len(waits) == int(longest_s)
        assert waits[0].value_by_field["executors"] == 1
        assert waits[0].value_by_field["unlisted"] == 1
        assert waits[0].value_by_field["last_executor"] == "e1"
        left_s = float(waits[0].value_by_field["longest_s"])
        assert longest_s - 2 < left_s < longest_s
        expired = [e for e in notes if e.event == "executor.wait-expired"]
        assert [each.value_by_field["executor"] for each in expired] == ["e1"]

    def test_the_summary_counts_the_executors(self) -> None:
        rig, _ = _take_over_from_lost_executor()
        rig.run(1)
        summary = _summary.summarize_cell(rig.scheduler.cell, rig.now_s)
        assert summary.awaited == 1

    def test_an_executor_that_answers_ends_the_wait_without_an_entry(
        self,
    ) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        notes: list[_notes.Note] = []
        rig.on_note = notes.append
        rig.take_over()
        rig.run(2)
        assert notes == []
        assert not rig.scheduler.cell.has_inherited_runs


def _set_draining(
    rig: cell_rig.CellRig, executor_id: str, *, is_draining: bool
) -> None:
    """Changes whether an executor drains, and lists it."""
    executor = rig.executor_by_id[executor_id]
    executor.entry = dataclasses.replace(
        executor.entry, is_draining=is_draining
    )
    rig.list_executors()


def _read_roster_ids(rig: cell_rig.CellRig) -> set[str]:
    """Returns the ids of the executors in the stored roster."""
    record = _job_records.decode_record(
        _job_records.KeyedRecord("roster", rig.store["roster"])
    )
    assert isinstance(record, _records.ExecutorRosterRecord)
    return {each.id for each in record.executors}


class TestVacatedExecutors:
    """No successor waits for an executor that left without any runs."""

    def _make_rig(self) -> cell_rig.CellRig:
        """Returns a rig of two executors with a job of many tasks."""
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.submit(build.accepted_job(build.step_spec(count=40)))
        return rig

    def test_tasks_do_not_wait_for_it_after_a_take_over(self) -> None:
        rig = self._make_rig()
        rig.run(0.2)
        _set_draining(rig, "e1", is_draining=True)
        rig.run(1)
        assert _read_roster_ids(rig) == {"e2"}
        rig.executor_by_id["e1"].is_up = False
        rig.list_executors()
        rig.take_over()
        start_count = len(rig.starts)
        rig.run(1)
        assert len(rig.starts) > start_count

    def test_one_that_still_runs_a_task_stays_in_the_roster(self) -> None:
        rig = self._make_rig()
        rig.run_time_s = 5.0
        rig.run(0.2)
        _set_draining(rig, "e1", is_draining=True)
        rig.run(1)
        assert _read_roster_ids(rig) == {"e1", "e2"}

    def test_one_whose_ends_are_not_stored_stays_in_the_roster(self) -> None:
        rig = self._make_rig()
        rig.run(0.2)
        _set_draining(rig, "e1", is_draining=True)
        rig.store_is_up = False
        rig.run(1)
        assert not rig.scheduler.cell.executor_by_id["e1"].is_vacated

    def test_it_returns_to_the_roster_before_it_gets_tasks_again(self) -> None:
        rig = self._make_rig()
        rig.run(0.2)
        _set_draining(rig, "e1", is_draining=True)
        rig.run(1)
        rig.store_is_up = False
        _set_draining(rig, "e1", is_draining=False)
        rig.starts.clear()
        rig.run(0.5)
        assert "e1" not in {executor for _, executor, _ in rig.starts}
        rig.store_is_up = True
        rig.run(1)
        assert _read_roster_ids(rig) == {"e1", "e2"}
        assert "e1" in {executor for _, executor, _ in rig.starts}


class _CutRig(cell_rig.CellRig):
    """A cell whose scheduler does not reach some executors, which go on.

    Attributes:
        cut_ids: Ids of the executors that no order reaches.
        loses_stops: Whether stop orders get lost.
    """

    cut_ids: frozenset[str] = frozenset()
    loses_stops = False

    def _send_order(self, order: _orders.ExecutorOrder) -> None:
        """Sends an order unless it is lost."""
        now = build.clock_readings_at(self.now_s)
        if self.loses_stops and isinstance(order, _orders.StopOrder):
            return
        if order.executor not in self.cut_ids:
            super()._send_order(order)
        elif isinstance(order, _orders.RenewalOrder):
            self.scheduler.handle_renewal_failure(
                order, now, is_other_incarnation=False
            )
        elif isinstance(order, _orders.StartOrder):
            self.scheduler.handle_start_answer(
                order, _orders.StartResult.UNHEALTHY, now
            )


class TestStepAfterOneWithASecondRun:
    """That a task is active in this term does not tell that it was not done."""

    def test_the_next_step_does_not_run_twice(self) -> None:
        rig = _CutRig(*(build.executor_entry(f"e{n}") for n in range(4)))
        rig.run_time_s = 4.0
        rig.run(1.0)
        whole = _job_spec.Resources(4000, 8000, 0)
        steps = (
            build.step_spec(size=whole),
            build.step_spec(size=whole, after=(0,)),
        )
        rig.submit(build.accepted_job(*steps))
        rig.run(2.0)
        first = rig.starts[0][1]
        # Its run ends before its lease does, and is then started again.
        rig.cut_ids = frozenset({first})
        while len(rig.starts) < 2:
            rig.step()
        rig.run(0.3)
        # The good end of the first run is read, begins the next step, and is
        # not stored.
        rig.store_is_up = False
        rig.loses_stops = True
        rig.cut_ids = frozenset()
        while len(rig.starts) < 3:
            rig.step()
        rig.cut_ids = frozenset({first, rig.starts[2][1]})
        rig.loses_stops = False
        rig.store_is_up = True
        rig.take_over()
        # The rig checks that no task runs twice.
        rig.run(12.0)
        assert len(rig.starts) == 4

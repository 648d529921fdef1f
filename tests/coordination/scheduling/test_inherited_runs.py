"""Tests of the wait for runs of earlier terms."""

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _summary
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


class TestReports:
    """The log tells for which executors tasks wait, and until when."""

    def test_a_wait_is_logged_each_second_until_it_expires(self) -> None:
        rig, notes = _take_over_from_lost_executor()
        longest_s = _limits.LeaseTimes().max_run_after_term_s
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

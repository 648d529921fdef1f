"""Tests that runs are moved off executors that drain before these exit."""

from collections.abc import Iterable
from typing import Any

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_DRAIN_S = 2.0
"""Least time for which executors drain, in seconds."""

_STOP_S = 0.9
"""Longest time that an executor needs to stop a run, in seconds."""

_LASTING_JOB_ID = "f0"
_SHORT_JOB_ID = "a0"


def _make_rig(executors: int = 3, **changes: Any) -> cell_rig.CellRig:
    """Returns a rig of four-core executors that has run for a second."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(executors)),
        **changes,
    )
    rig.holds_renewals = True
    for executor in rig.executor_by_id.values():
        executor.stop_time_s = _STOP_S
    rig.run(1)
    return rig


def _submit_lasting(
    rig: cell_rig.CellRig,
    count: int,
    *,
    in_queue: _configuration.Queue | None = None,
    **changes: Any,
) -> None:
    """Submits a job of lasting tasks of one core and lets them start."""
    step = build.step_spec(count=count, runs_until_cancelled=True, **changes)
    rig.submit(
        build.accepted_job(step, job_id=_LASTING_JOB_ID, in_queue=in_queue)
    )
    rig.run(0.5)


def _submit_short(rig: cell_rig.CellRig, count: int, **changes: Any) -> None:
    """Submits a job of tasks that run for 20 s and lets them start."""
    rig.run_time_s = 20.0
    rig.submit(
        build.accepted_job(
            build.step_spec(count=count, **changes), job_id=_SHORT_JOB_ID
        )
    )
    rig.run(0.5)


def _busiest_executor(rig: cell_rig.CellRig) -> cell_rig.SimulatedExecutor:
    """Returns the executor with the most runs."""
    return max(
        rig.executor_by_id.values(), key=lambda each: len(each.run_by_key)
    )


def _collect_notes(rig: cell_rig.CellRig, event: str) -> list[_notes.Note]:
    """Returns a list to which notes of an event are added as they come."""
    notes: list[_notes.Note] = []

    def add(note: _notes.Note) -> None:
        if note.event == event:
            notes.append(note)

    rig.on_note = add
    return notes


class _AbsenceMeter:
    """Measures for how long lasting tasks are without a run.

    Args:
        rig: The rig that runs them.
        tasks: The tasks.
    """

    def __init__(
        self, rig: cell_rig.CellRig, tasks: Iterable[_job_spec.TaskId]
    ) -> None:
        self._rig = rig
        self._last_run_s_by_task = dict.fromkeys(tasks, rig.now_s)

    def check_step(self, longest_s: float) -> None:
        """Asserts that no task has been without a run for longer."""
        now_s = self._rig.now_s
        for executor in self._rig.executor_by_id.values():
            for task, _ in executor.run_by_key if executor.is_up else ():
                if task in self._last_run_s_by_task:
                    self._last_run_s_by_task[task] = now_s
        for task, last_run_s in self._last_run_s_by_task.items():
            assert now_s - last_run_s <= longest_s, (
                f"{task} has no run since {last_run_s:.2f} s, at {now_s:.2f} s"
            )


class TestLastingTasksOnDrainingExecutors:
    """They run elsewhere before the executor that announced its exit exits."""

    def _drain_one(
        self, drain_s: float = _DRAIN_S
    ) -> tuple[cell_rig.CellRig, cell_rig.SimulatedExecutor]:
        """Returns a rig with six lasting tasks, and its draining executor."""
        rig = _make_rig()
        _submit_lasting(rig, 6)
        leaving = _busiest_executor(rig)
        assert leaving.run_by_key
        rig.drain_executor(leaving.entry.id, drain_s)
        return rig, leaving

    def _check_all_run_elsewhere(
        self, rig: cell_rig.CellRig, leaving: cell_rig.SimulatedExecutor
    ) -> None:
        """Asserts that all tasks run on other executors before the exit."""
        assert leaving.is_up
        assert not leaving.run_by_key
        assert rig.count_lasting_runs() == 6
        rig.run(_DRAIN_S)
        assert not leaving.is_up
        assert rig.count_lasting_runs() == 6

    def test_they_run_elsewhere_before_it_exits(self) -> None:
        rig, leaving = self._drain_one()
        rig.run(_DRAIN_S - 0.2)
        self._check_all_run_elsewhere(rig, leaving)

    def test_also_if_it_was_announced_before_a_take_over(self) -> None:
        rig, leaving = self._drain_one()
        rig.take_over()
        rig.run(_DRAIN_S - 0.2)
        self._check_all_run_elsewhere(rig, leaving)

    @pytest.mark.parametrize("take_over_s", [0.2, 0.5, 0.8, 1.0])
    def test_also_with_a_take_over_between_stop_and_restart(
        self, take_over_s: float
    ) -> None:
        rig, leaving = self._drain_one()
        rig.run(take_over_s)
        rig.take_over()
        rig.run(_DRAIN_S - 0.2 - take_over_s)
        self._check_all_run_elsewhere(rig, leaving)

    @pytest.mark.parametrize("recovery_s", [0.3, 0.8])
    def test_also_if_they_end_while_no_scheduler_works(
        self, recovery_s: float
    ) -> None:
        rig, leaving = self._drain_one()
        rig.run(0.5)
        rig.take_over(recovery_s)
        rig.run(_DRAIN_S - 0.7 - recovery_s)
        self._check_all_run_elsewhere(rig, leaving)

    def test_also_if_it_goes_on_for_longer_than_it_said(self) -> None:
        """The time left is a minimum, so there may still be time."""
        rig = _make_rig(2)
        _submit_lasting(rig, 8)
        rig.executor_by_id["e0"].unannounced_s = 5.0
        rig.drain_executor("e0", 1.0)
        rig.run(2)
        assert rig.count_lasting_runs() == 8
        rig.add_executor(build.executor_entry("e2"))
        rig.run(_STOP_S + 1.0)
        assert rig.executor_by_id["e0"].is_up
        assert not rig.executor_by_id["e0"].run_by_key
        assert rig.count_lasting_runs() == 8

    def test_each_move_is_noted(self) -> None:
        rig = _make_rig()
        _submit_lasting(rig, 3)
        leaving = _busiest_executor(rig)
        ((task, number),) = leaving.run_by_key
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor(leaving.entry.id, _DRAIN_S)
        rig.run(1)
        (note,) = notes
        assert note.value_by_field["task"] == str(task)
        assert note.value_by_field["run"] == number
        assert note.value_by_field["executor"] == leaving.entry.id
        left_s = note.value_by_field["drain_left_s"]
        assert isinstance(left_s, float)
        assert _DRAIN_S - 0.2 < left_s <= _DRAIN_S

    def test_the_start_elsewhere_goes_before_short_tasks(self) -> None:
        """A run that was moved was not preempted: its task has no patience."""
        rig = _make_rig()
        # Tasks with a limit on their absence are not preempted.
        _submit_lasting(rig, 3, may_be_away=1)
        leaving = _busiest_executor(rig)
        rig.drain_executor(leaving.entry.id, _DRAIN_S)
        rig.run(0.3)
        rig.run_time_s = 1.0
        rig.submit(
            build.accepted_job(build.step_spec(count=40), job_id=_SHORT_JOB_ID)
        )
        # The first short tasks take all room and end 0.4 s after the stop.
        rig.run(_STOP_S + 0.6)
        assert leaving.is_up
        assert not leaving.run_by_key
        assert rig.count_lasting_runs() == 3
        short_runs = [
            order
            for _, _, order in rig.starts
            if order.task.job == _SHORT_JOB_ID
        ]
        assert len(short_runs) < 20


class TestRoomElsewhere:
    """A task stays where it runs while no other executor has room for it."""

    def test_all_stay_without_room(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 8)
        rig.drain_executor("e0", 5.0)
        rig.run(4.9)
        assert rig.count_lasting_runs() == 8

    def test_runs_that_stay_are_noted_each_second(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 8)
        notes = _collect_notes(rig, "executor.evacuation-waits")
        rig.drain_executor("e0", 5.0)
        rig.run(1.9)
        assert len(notes) == 2
        assert notes[0].value_by_field == {
            "executors": 1,
            "first": "e0",
            "no_room": 4,
            "not_movable": 0,
        }

    def test_as_many_are_moved_as_fit(self) -> None:
        """What is being moved already takes room as well."""
        rig = _make_rig(2)
        _submit_lasting(rig, 6)
        leaving = _busiest_executor(rig)
        other_count = 6 - len(leaving.run_by_key)
        least = 6
        rig.drain_executor(leaving.entry.id, 5.0)
        for _ in range(90):
            rig.step()
            least = min(least, rig.count_lasting_runs())
        assert rig.count_lasting_runs() == 6
        assert len(leaving.run_by_key) == 2
        assert least >= 6 - (4 - other_count)

    def test_a_task_that_waits_comes_first(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 8)
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True), job_id="f1"
            )
        )
        rig.run(5)
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor("e0", 5.0)
        rig.run(0.5)
        # Room for one task, which the waiting one takes.
        executor = rig.executor_by_id["e1"]
        executor.entry = build.executor_entry(
            "e1", capacity=_job_spec.Resources(5000, 8000, 0)
        )
        rig.list_executors()
        rig.run(2)
        assert notes == []
        assert rig.count_lasting_runs() == 9

    def test_they_are_moved_once_there_is_room(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 4, size=_job_spec.Resources(2000, 1000, 0))
        rig.drain_executor("e0", 8.0)
        rig.run(2)
        assert len(rig.executor_by_id["e0"].run_by_key) == 2
        rig.add_executor(build.executor_entry("e2"))
        rig.run(2)
        assert not rig.executor_by_id["e0"].run_by_key
        assert rig.count_lasting_runs() == 4

    def test_the_limit_of_tasks_on_one_executor_counts(self) -> None:
        rig = _make_rig(3)
        _submit_lasting(rig, 3, max_per_executor=1)
        rig.drain_executor("e0", 5.0)
        rig.run(4.9)
        assert rig.count_lasting_runs() == 3
        assert rig.executor_by_id["e0"].run_by_key

    def test_the_limit_counts_what_is_being_moved(self) -> None:
        rig = _make_rig(1)
        _submit_lasting(rig, 3, max_per_executor=2)
        rig.add_executor(build.executor_entry("e1"))
        rig.run(0.5)
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor("e0", 5.0)
        rig.run(4.9)
        assert len(notes) == 1
        assert len(rig.executor_by_id["e0"].run_by_key) == 1
        assert rig.count_lasting_runs() == 3

    def test_fillers_take_spare_cpu_of_each_other(self) -> None:
        half = _job_spec.Resources(2000, 1000, 0)
        rig = _make_rig(1)
        _submit_lasting(rig, 2, fills=True, size=half)
        leaving = rig.executor_by_id["e0"]
        assert len(leaving.run_by_key) == 2
        rig.add_executor(build.executor_entry("e1"))
        rig.run(0.5)
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True, size=half),
                job_id="f1",
            )
        )
        rig.run(0.5)
        assert len(rig.executor_by_id["e1"].run_by_key) == 1
        rig.drain_executor("e0", 5.0)
        rig.run(4.9)
        assert len(leaving.run_by_key) == 1
        assert rig.count_lasting_runs() == 3

    def test_an_executor_that_the_policy_refused_is_no_room(self) -> None:
        approval = _configuration.ApprovalPolicy(validity_s=2.0)
        queue = build.queue("watch", approval=approval)
        rig = _make_rig(2, queues=(queue,))
        rig.policy = cell_rig.SimulatedPolicy({"e0"})
        _submit_lasting(rig, 1, in_queue=queue)
        rig.run(1)
        assert rig.executor_by_id["e0"].run_by_key
        rig.drain_executor("e0", 5.0)
        rig.run(4.9)
        assert rig.count_lasting_runs() == 1

    def test_an_executor_out_of_contact_is_no_room(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 2)
        rig.executor_by_id["e1"].is_answering = False
        rig.run(_limits.CONTACT_TIMEOUT_S + 0.5)
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor("e0", 5.0)
        rig.run(2)
        assert notes == []
        assert len(rig.executor_by_id["e0"].run_by_key) == 1

    def test_none_is_stopped_on_an_executor_out_of_contact(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 2)
        rig.executor_by_id["e0"].is_answering = False
        rig.run(_limits.CONTACT_TIMEOUT_S + 0.5)
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor("e0", 5.0)
        rig.run(2)
        assert notes == []

    def test_none_is_stopped_without_a_confirmed_term(self) -> None:
        rig = _make_rig(2)
        _submit_lasting(rig, 2)
        rig.store_is_up = False
        rig.term_confirmed_s = rig.now_s - _limits.LeaseTimes().lease_s
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor("e0", 5.0)
        rig.run(2)
        assert notes == []

    def test_none_is_stopped_on_an_executor_that_is_not_listed(self) -> None:
        """What an earlier term stored of it may be of an earlier start."""
        rig = _make_rig(2)
        _submit_lasting(rig, 2)
        notes = _collect_notes(rig, "task.evacuated")
        rig.next_drain_report_s = rig.now_s + 1.0
        rig.drain_executor("e0", 5.0)
        rig.scheduler.set_executors(
            [rig.executor_by_id["e1"].entry],
            build.clock_readings_at(rig.now_s),
        )
        rig.run(0.2)
        assert notes == []

    def test_a_gang_stays_whole(self) -> None:
        rig = _make_rig(4)
        _submit_lasting(rig, 4, gang=True, max_per_executor=2)
        leaving = _busiest_executor(rig)
        rig.drain_executor(leaving.entry.id, 5.0)
        rig.run(4.9)
        assert rig.count_lasting_runs() == 4

    def test_none_is_stopped_while_it_may_not_start_again(self) -> None:
        """Inherited tasks may wait for an executor that does not answer."""
        rig = _make_rig(3)
        _submit_lasting(rig, 3)
        rig.executor_by_id["e2"].is_up = False
        rig.take_over()
        tasks = [task for task, _ in rig.executor_by_id["e0"].run_by_key]
        assert tasks
        meter = _AbsenceMeter(rig, tasks)
        rig.drain_executor("e0", 3.0)
        for _ in range(58):
            rig.step()
            meter.check_step(0.5)


class TestShortRunsOnDrainingExecutors:
    """Runs that save their work are stopped just before the exit."""

    _DRAIN_S = 6.0
    """Duration of the drain, in seconds; runs take longer."""

    def _drain_one(
        self, **changes: Any
    ) -> tuple[cell_rig.CellRig, cell_rig.SimulatedExecutor]:
        """Returns a rig with a short task, and its draining executor."""
        rig = _make_rig(2)
        _submit_short(rig, 1, **changes)
        leaving = _busiest_executor(rig)
        rig.drain_executor(leaving.entry.id, self._DRAIN_S)
        return rig, leaving

    @pytest.mark.parametrize("fills", [False, True])
    def test_one_with_checkpoints_resumes_elsewhere(self, fills: bool) -> None:
        rig, leaving = self._drain_one(checkpoints=True, fills=fills)
        rig.run(self._DRAIN_S - _STOP_S - _limits.RENEWAL_WAIT_S - 0.7)
        assert len(leaving.run_by_key) == 1
        rig.run(_STOP_S + _limits.RENEWAL_WAIT_S + 0.5)
        assert leaving.is_up
        assert not leaving.run_by_key
        _, executor, order = rig.starts[-1]
        assert executor != leaving.entry.id
        assert order.checkpoint == "saved"

    def test_one_without_checkpoints_goes_on_until_the_exit(self) -> None:
        rig, leaving = self._drain_one()
        rig.run(self._DRAIN_S - 0.1)
        assert len(leaving.run_by_key) == 1

    def test_the_members_of_a_gang_go_on(self) -> None:
        rig, leaving = self._drain_one(checkpoints=True, gang=True)
        rig.run(self._DRAIN_S - 0.1)
        assert len(leaving.run_by_key) == 1

    def test_a_run_with_a_copy_elsewhere_goes_on(self) -> None:
        rig = _make_rig(2)
        _submit_short(rig, 1, checkpoints=True, speculative=True)
        leaving = _busiest_executor(rig)
        leaving.is_answering = False
        rig.run(_limits.CONTACT_TIMEOUT_S + 0.5)
        assert len(rig.starts) == 2
        leaving.is_answering = True
        rig.run(0.5)
        notes = _collect_notes(rig, "task.evacuated")
        rig.drain_executor(leaving.entry.id, 1.0)
        rig.run(0.9)
        assert leaving.run_by_key
        assert notes == []

    def test_one_goes_on_if_the_time_left_is_not_known(self) -> None:
        rig = _make_rig(2)
        _submit_short(rig, 1, checkpoints=True)
        leaving = _busiest_executor(rig)
        leaving.entry = build.executor_entry(leaving.entry.id, is_draining=True)
        rig.list_executors()
        rig.run(5)
        assert len(leaving.run_by_key) == 1


class TestEndOfADrain:
    """The earliest exit follows the executor's newest report."""

    def test_a_report_that_is_read_again_does_not_move_it(self) -> None:
        rig = cell_rig.CellRig()
        entry = build.executor_entry(is_draining=True, drain_left_s=2.0)
        state = rig.scheduler.cell.executor_by_id["e1"]
        state.update_listing(entry, 10.0)
        state.update_listing(entry, 11.0)
        assert state.drain_ends_s == 12.0

    def test_a_newer_report_moves_it(self) -> None:
        rig = cell_rig.CellRig()
        state = rig.scheduler.cell.executor_by_id["e1"]
        for now_s, left_s in ((10.0, 2.0), (11.0, 1.5)):
            state.update_listing(
                build.executor_entry(is_draining=True, drain_left_s=left_s),
                now_s,
            )
        assert state.drain_ends_s == 12.5

    def test_an_executor_that_is_ready_again_has_none(self) -> None:
        rig = cell_rig.CellRig()
        state = rig.scheduler.cell.executor_by_id["e1"]
        state.update_listing(
            build.executor_entry(is_draining=True, drain_left_s=2.0), 10.0
        )
        state.update_listing(build.executor_entry(), 11.0)
        assert state.drain_ends_s is None

    def test_reports_of_the_time_left_write_nothing(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        rig.drain_executor("e1", 5.0)
        rig.run(0.2)
        rosters = [each for each in rig.writes if each.key == "roster"]
        rig.run(4)
        assert rosters == [each for each in rig.writes if each.key == "roster"]


@pytest.mark.parametrize("seed", range(8))
class TestReleaseDuringRollingRestart:
    """Executors leave one after the other while the scheduler changes."""

    _LONGEST_ABSENCE_S = 3.0
    """Longest time for which a lasting task may be without a run, in seconds;
    half of the time after which it counts as lost."""

    _TAKE_OVER_INTERVAL_S = 2.0
    """Time between two changes of scheduler, in seconds."""

    def test_no_lasting_task_is_long_without_a_run(self, seed: int) -> None:
        rig = _make_rig(12, seed=seed)
        _submit_lasting(rig, 16)
        meter = _AbsenceMeter(
            rig, [_job_spec.TaskId(_LASTING_JOB_ID, 0, 0, n) for n in range(16)]
        )
        next_drain_s = rig.now_s + 0.5
        next_take_over_s = rig.now_s + self._TAKE_OVER_INTERVAL_S
        for number in range(round(25.0 / cell_rig.STEP_S)):
            ready = [
                each
                for each in rig.executor_by_id.values()
                if each.is_up and not each.entry.is_draining
            ]
            if rig.now_s >= next_drain_s and len(ready) > 5:
                next_drain_s = rig.now_s + 0.7
                leaving = rig.rng.choice(ready)
                leaving.unannounced_s = rig.rng.uniform(0.0, 7.0)
                rig.drain_executor(leaving.entry.id, _DRAIN_S)
                if rig.rng.random() < 0.5:
                    rig.add_executor(build.executor_entry(f"f{number}"))
            if rig.now_s >= next_take_over_s:
                next_take_over_s = rig.now_s + self._TAKE_OVER_INTERVAL_S
                rig.take_over(rig.rng.choice([0.05, 0.15, 0.3]), 5.1)
            rig.step()
            meter.check_step(self._LONGEST_ABSENCE_S)

"""Tests that tasks that last until cancelled run again soon after an end."""

import collections
from typing import Any

import pytest

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
import cell_rig
import workload_builders as build

_RESTART_S = 1.0
"""Longest time in which a lost lasting task has to run again, in seconds."""

_RESTART_DETECTION_S = 0.7
"""Time after which the scheduler knows that an executor has restarted, in
seconds: two renewals fail, and each is repeated after some tenths."""

_LASTING_JOB_ID = "f0"


def _make_large_rig() -> cell_rig.CellRig:
    """Returns a rig with 20 executors of 64 cores."""
    capacity = _job_spec.Resources(64_000, 64_000, 0)
    return cell_rig.CellRig(
        *(
            build.executor_entry(f"e{number}", capacity=capacity)
            for number in range(20)
        )
    )


def _run_overloaded(rig: cell_rig.CellRig, seconds: float) -> None:
    """Runs with twice the short tasks that the scheduler can start."""
    for _ in range(round(seconds / cell_rig.STEP_S)):
        number = len(rig.spec_by_job)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=80), job_id=f"a{number:015x}"
            )
        )
        rig.step()


def _submit_lasting(
    rig: cell_rig.CellRig, *, count: int = 6, priority: int = 0, **changes: Any
) -> None:
    """Submits a job of lasting tasks of one core each, unless changed."""
    rig.submit(
        build.accepted_job(
            build.step_spec(count=count, runs_until_cancelled=True, **changes),
            job_id=_LASTING_JOB_ID,
            in_queue=build.queue("watch", priority=priority),
        )
    )


class TestBesideManyShortTasks:
    """More short tasks wait than the scheduler can start, with room free."""

    @pytest.mark.parametrize("priority", [0, 1])
    def test_a_failed_task_runs_again_at_once(self, priority: int) -> None:
        rig = _make_large_rig()
        rig.run(1)
        _submit_lasting(rig, priority=priority)
        rig.run(1)
        assert rig.count_lasting_runs() == 6
        _run_overloaded(rig, 1)
        for executor in rig.executor_by_id.values():
            executor.fail_lasting_runs()
        assert rig.count_lasting_runs() == 0
        _run_overloaded(rig, _RESTART_S)
        assert rig.count_lasting_runs() == 6

    def test_a_new_task_starts_before_it_counts_as_lost(self) -> None:
        rig = _make_large_rig()
        rig.run(1)
        _run_overloaded(rig, 1)
        _submit_lasting(rig)
        _run_overloaded(rig, _limits.LASTING_START_PATIENCE_S + _RESTART_S)
        assert rig.count_lasting_runs() == 6

    def test_refused_starts_do_not_begin_the_wait_anew(self) -> None:
        rig = _make_large_rig()
        rig.run(1)
        for executor in rig.executor_by_id.values():
            executor.refuses_for_capacity = True
        _submit_lasting(rig)
        rig.run(_limits.LASTING_START_PATIENCE_S)
        assert rig.count_lasting_runs() == 0
        for executor in rig.executor_by_id.values():
            executor.refuses_for_capacity = False
        _run_overloaded(rig, _RESTART_S)
        assert rig.count_lasting_runs() == 6

    def test_a_lost_task_runs_again_after_a_take_over(self) -> None:
        rig = _make_large_rig()
        rig.run(1)
        _submit_lasting(rig)
        rig.run(1)
        for executor in rig.executor_by_id.values():
            executor.restart()
        rig.take_over()
        _run_overloaded(rig, _RESTART_S)
        assert rig.count_lasting_runs() == 6

    def test_many_lost_tasks_leave_half_of_the_starts_to_short_ones(
        self,
    ) -> None:
        rig = _make_large_rig()
        rig.run(1)
        _submit_lasting(rig, count=400)
        rig.run(1)
        assert rig.count_lasting_runs() == 400
        _run_overloaded(rig, 1)
        for executor in rig.executor_by_id.values():
            executor.restart()
        rig.starts.clear()
        _run_overloaded(rig, 1)
        starts_by_s = collections.Counter(at for at, _, _ in rig.starts)
        lasting_starts_by_s = collections.Counter(
            at
            for at, _, order in rig.starts
            if order.task.job == _LASTING_JOB_ID
        )
        assert lasting_starts_by_s
        for at, count in lasting_starts_by_s.items():
            assert count <= starts_by_s[at] / 2
        _run_overloaded(rig, _RESTART_S)
        assert rig.count_lasting_runs() == 400


class TestPreempted:
    """A task that gave way to short ones does not push them out again."""

    def test_it_leaves_them_the_room_for_a_while(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        _submit_lasting(rig, count=4)
        rig.run(1)
        assert rig.count_lasting_runs() == 4
        rig.run_time_s = 2.0
        rig.submit(build.accepted_job(build.step_spec(count=4, estimate_s=4.0)))
        rig.run(1.5)
        assert rig.count_lasting_runs() == 0
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, estimate_s=4.0), job_id="a2"
            )
        )
        rig.run(2.0)
        assert rig.count_lasting_runs() == 0
        rig.run(4.0)
        assert rig.count_lasting_runs() == 4


class TestStartsWithoutAnswer:
    """A start that was lost on its way holds up its task only briefly."""

    def test_the_task_starts_elsewhere_within_two_seconds(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.holds_renewals = True
        rig.run(1)
        _submit_lasting(rig, count=1)
        rig.loses_next_start = True
        rig.run(0.2)
        assert rig.count_lasting_runs() == 0
        # One renewal is in flight; the next one tells that nothing runs.
        rig.run(_limits.RENEWAL_WAIT_S + 0.5)
        assert rig.count_lasting_runs() == 1


class TestRareFailures:
    """Failures far apart don't count as failures in a row."""

    def test_the_executor_of_lasting_tasks_is_not_avoided(self) -> None:
        """A lasting task never succeeds, so no success ends the row."""
        rig = cell_rig.CellRig()
        rig.run(1)
        _submit_lasting(rig, count=2)
        rig.run(1)
        for _ in range(6):
            rig.run(10)
            rig.executor_by_id["e1"].fail_lasting_runs()
            rig.run(_RESTART_S)
            assert rig.count_lasting_runs() == 2

    def test_one_that_fails_each_start_is_avoided(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        _submit_lasting(rig, count=1)
        rig.run(1)
        start_count = len(rig.starts)
        for _ in range(40):
            rig.executor_by_id["e1"].fail_lasting_runs()
            rig.run(0.5)
        assert len(rig.starts) - start_count < 8


class TestSilentExecutorAfterTakeOver:
    """Runs of an earlier term end a known time after that term."""

    def _take_over_from_lost_executor(
        self, recovery_s: float, longest_inherited_run_s: float | None = None
    ) -> cell_rig.CellRig:
        """Returns a rig after the loss of executor e1 and the scheduler."""
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        _submit_lasting(rig, count=4)
        rig.run(1)
        assert len(rig.executor_by_id["e1"].run_by_key) == 2
        rig.executor_by_id["e1"].is_up = False
        rig.take_over(recovery_s, longest_inherited_run_s)
        return rig

    def test_a_scheduler_that_stopped_before_it_resigned_shortens_it(
        self,
    ) -> None:
        rig = self._take_over_from_lost_executor(0.0, 5.1)
        start_count = len(rig.starts)
        rig.run(5.1)
        assert len(rig.starts) == start_count
        rig.run(0.9)
        assert rig.count_lasting_runs() == 4

    def test_a_long_recovery_counts_towards_that_time(self) -> None:
        rig = self._take_over_from_lost_executor(8.0)
        rig.run(3.5)
        assert rig.count_lasting_runs() == 4

    def test_its_tasks_wait_for_that_time(self) -> None:
        """The last lease may have been granted without a confirmation."""
        rig = self._take_over_from_lost_executor(2.0)
        start_count = len(rig.starts)
        longest_s = (
            _lease_grants.UNREPORTED_GRANT_S
            + _limits.LeaseTimes().max_run_after_grant_s
        )
        rig.run(longest_s - 2.0)
        assert len(rig.starts) == start_count

    def test_an_outage_before_its_loss_lengthens_that_time(self) -> None:
        """Leases were granted for as long as other instances reported it."""
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        _submit_lasting(rig, count=4)
        rig.run(1)
        rig.store_is_up = False
        rig.run(4)
        rig.executor_by_id["e1"].is_answering = False
        rig.take_over()
        start_count = len(rig.starts)
        rig.run(
            _lease_grants.REPORT_VALIDITY_S
            + _limits.LeaseTimes().max_run_after_grant_s
        )
        assert len(rig.starts) == start_count


class _WaitMeter:
    """Measures how long lasting tasks without a run wait beside room.

    Args:
        rig: The rig that runs them.
        tasks: The tasks.
    """

    def __init__(
        self, rig: cell_rig.CellRig, tasks: list[_job_spec.TaskId]
    ) -> None:
        self._rig = rig
        self._waited_s_by_task = dict.fromkeys(tasks, 0.0)
        self.preempted: set[str] = set()
        rig.on_note = self.track_preemption

    def track_preemption(self, note: _notes.Note) -> None:
        """Remembers tasks from their preemption until they run again."""
        if note.event == "task.preempted":
            self.preempted.add(str(note.value_by_field["task"]))

    def _stopping(self) -> set[str]:
        """Returns the tasks with a run that the scheduler is stopping."""
        return {
            str(task)
            for executor in self._rig.scheduler.cell.executor_by_id.values()
            for task, _ in executor.stopping_run_by_key
        }

    def check_step(self) -> None:
        """Asserts that no task has waited too long after a step of the rig."""
        executors = self._rig.executor_by_id.values()
        running = {task for e in executors for task, _ in e.run_by_key}
        self.preempted -= {str(task) for task in running} - self._stopping()
        known = [
            e
            for e in executors
            if self._rig.now_s - e.born_s > _RESTART_DETECTION_S
        ]
        for task in self._waited_s_by_task:
            size = self._rig.step_spec_of(task).size
            has_room = any(e.has_room_for(size) for e in known)
            if task in running or not has_room:
                self._waited_s_by_task[task] = 0.0
                continue
            self._waited_s_by_task[task] += cell_rig.STEP_S
            patience_s = (
                _limits.LASTING_START_PATIENCE_S
                if str(task) in self.preempted
                else 0.0
            )
            assert (
                self._waited_s_by_task[task] <= patience_s + _RESTART_S + 1e-6
            ), f"{task} waits at {self._rig.now_s:.2f} s"


@pytest.mark.parametrize(
    ("cores", "short_count"),
    [
        pytest.param(16, 10, id="twice-what-fits"),
        pytest.param(128, 80, id="twice-what-a-pass-starts"),
    ],
)
@pytest.mark.parametrize("seed", range(3))
class TestOverload:
    """Lasting tasks run wherever there is room, at twice the load."""

    def test_none_waits_beside_room(
        self, seed: int, cores: int, short_count: int
    ) -> None:
        capacity = _job_spec.Resources(cores * 1000, cores * 4000, 0)
        rig = cell_rig.CellRig(
            *(
                build.executor_entry(f"e{number}", capacity=capacity)
                for number in range(8)
            ),
            seed=seed,
        )
        rig.holds_renewals = True
        rig.run(1)
        rng = rig.rng
        size = _job_spec.Resources(3000, 1000, 0)
        _submit_lasting(rig, count=12, size=size)
        rig.run(1)
        assert rig.count_lasting_runs() == 12
        meter = _WaitMeter(
            rig, [_job_spec.TaskId(_LASTING_JOB_ID, 0, 0, n) for n in range(12)]
        )
        for step in range(150):
            # They run for 0.5 s, that is, ten steps of the rig.
            rig.submit(
                build.accepted_job(
                    build.step_spec(
                        count=short_count,
                        size=_job_spec.Resources(2500, 1000, 0),
                    ),
                    job_id=f"a{step:015x}",
                )
            )
            if rng.random() < 0.03:
                rng.choice(list(rig.executor_by_id.values())).restart()
            if rng.random() < 0.03:
                executor = rng.choice(list(rig.executor_by_id.values()))
                executor.fail_lasting_runs()
            rig.step()
            meter.check_step()


class TestLateScheduler:
    """Executors are in contact although the scheduler itself is late."""

    @pytest.mark.parametrize("tick_s", [0.05, 0.15, 0.25, 0.35])
    def test_they_accept_tasks_at_each_tick(self, tick_s: float) -> None:
        """Orders leave after a tick; answers are read before the next one."""
        scheduler = build.scheduler()
        scheduler.set_executors(
            [build.executor_entry()], build.clock_readings_at(0.0)
        )
        executor = scheduler.cell.executor_by_id["e1"]
        answers: list[tuple[float, _orders.RenewalOrder]] = []
        accepting: list[bool] = []
        for tick in range(1, 200):
            now = build.clock_readings_at(tick * tick_s)
            for due_s, order in [e for e in answers if e[0] <= now.boot_s]:
                answers.remove((due_s, order))
                scheduler.handle_renewal_answer(
                    order,
                    _executor.LeaseRenewalReply(
                        int(now.boot_s * 1000), 1, (), ()
                    ),
                    now,
                )
            scheduler.run_timed_work(
                now, confirmed_s=now.boot_s, confirmed_beat=tick
            )
            executor.is_roster_stored = True
            accepting.append(scheduler.cell.is_usable(executor, now.boot_s))
            leaves_s = now.boot_s + tick_s
            answers += [
                (leaves_s + order.wait_ms / 1000, order)
                for order in scheduler.take_orders()
                if isinstance(order, _orders.RenewalOrder)
            ]
        assert all(accepting[20:])

    def test_a_silent_executor_is_still_noticed(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.holds_renewals = True
        rig.run(2)
        rig.executor_by_id["e1"].is_answering = False
        rig.run(_limits.CONTACT_TIMEOUT_S + 0.2)
        cell = rig.scheduler.cell
        assert not cell.is_usable(cell.executor_by_id["e1"], rig.now_s)
        assert cell.is_usable(cell.executor_by_id["e2"], rig.now_s)

"""Tests of jobs with many tasks, steps and occurrences."""

import json
import tracemalloc

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _position_set
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records
import cell_rig
import workload_builders as build

_State = _progress.JobState

EXECUTORS = 8

# Memory that all jobs of a test may take, of the 300 MB of an instance.
MAX_BYTES = 30_000_000


def _make_rig() -> cell_rig.CellRig:
    """Returns a rig of some executors."""
    rig = cell_rig.CellRig(
        *(build.executor_entry(f"e{number}") for number in range(EXECUTORS))
    )
    rig.run(1)
    return rig


def _many_steps(number: int, **changes: int) -> tuple[_job_spec.StepSpec, ...]:
    """Returns steps of one kind."""
    return (build.step_spec(**changes),) * number


def _different_steps(
    count: int, millicores: int
) -> tuple[_job_spec.StepSpec, ...]:
    """Returns steps of one task that all differ in size."""
    return tuple(
        build.step_spec(size=_job_spec.Resources(millicores, 100 + number))
        for number in range(count)
    )


class TestMemory:
    """The memory of a job is in proportion to what runs."""

    @pytest.mark.parametrize(
        ("jobs", "steps", "tasks", "occurrences"),
        [(1, 40, 100_000, 0), (27, 1, 100_000, 0), (1, 1, 2_000, 2_000)],
    )
    def test_waiting_tasks_do_not_fill_the_memory(
        self, jobs: int, steps: int, tasks: int, occurrences: int
    ) -> None:
        """Guards against an entry for each task that waits."""
        rig = _make_rig()
        tracemalloc.start()
        try:
            for number in range(jobs):
                rig.submit(
                    build.accepted_job(
                        *_many_steps(steps, count=tasks),
                        job_id=f"{number:016x}",
                        repeat_count=occurrences,
                    )
                )
            rig.run(1)
            taken_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert rig.starts
        assert taken_bytes < MAX_BYTES

    def test_a_stored_large_job_does_not_fill_the_memory_of_a_successor(
        self,
    ) -> None:
        """Guards against schedulers that end in turn over one stored job."""
        rig = _make_rig()
        accepted = build.accepted_job(*_many_steps(40, count=100_000))
        rig.submit(accepted)
        rig.run(1)
        tracemalloc.start()
        try:
            rig.take_over()
            rig.run(4)
            taken_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert rig.scheduler.visible_state(accepted.id) is _State.RUNNING
        assert taken_bytes < MAX_BYTES

    def test_done_occurrences_take_a_few_bytes_in_the_store(self) -> None:
        """Guards against a row for each task that is done."""
        progress = _progress.JobProgress(
            state=_State.RUNNING,
            completed_positions=_position_set.PositionSet(
                rows=[(0, 10_000, step, 0, 20) for step in range(30)]
            ),
        )
        (item,) = _job_records.encode_record(
            _records.ProgressRecord("00000000000000a1", progress)
        )
        assert len(item.value) < 2_000
        decoded = _job_records.decode_record(item)
        assert isinstance(decoded, _records.ProgressRecord)
        found = decoded.progress.completed_positions
        assert found.rows() == progress.completed_positions.rows()

    def test_few_done_tasks_are_stored_as_earlier_versions_read_them(
        self,
    ) -> None:
        progress = _progress.JobProgress(
            completed_positions=_position_set.PositionSet({(0, 0, 1)})
        )
        (item,) = _job_records.encode_record(
            _records.ProgressRecord("00000000000000a1", progress)
        )
        assert json.loads(item.value)["d"]["done"] == [[0, 0, 1]]


class TestLimit:
    """Jobs that would not fit into the memory are refused."""

    def _make_scheduler(self, max_jobs_bytes: int) -> _scheduler.Scheduler:
        """Returns a scheduler with a limit and one executor."""
        scheduler = _scheduler.Scheduler(
            epoch=1,
            times=_limits.LeaseTimes(),
            configuration=build.configuration(),
            max_jobs_bytes=max_jobs_bytes,
        )
        now = build.clock_readings_at(0.0)
        scheduler.set_executors([build.executor_entry("e0")], now)
        return scheduler

    def test_jobs_beyond_the_memory_are_refused_until_others_end(self) -> None:
        """Guards against accepted jobs that together end the process."""
        scheduler = self._make_scheduler(100_000)
        now = build.clock_readings_at(0.0)
        results = [
            scheduler.submit_job(
                build.accepted_job(*_many_steps(10), job_id=f"{number:016x}"),
                now,
            )
            for number in range(10)
        ]
        refused = results.count(_orders.SubmitResult.OVERLOADED)
        assert 0 < refused < len(results)
        assert scheduler.cell.job_memory.used_bytes <= 100_000
        assert len(scheduler.cell.job_by_id) == len(results) - refused
        scheduler.cell.job_memory.remove(f"{0:016x}")
        accepted = build.accepted_job(
            *_many_steps(10), job_id="00000000000000ff"
        )
        assert scheduler.submit_job(accepted, now) is None

    def test_a_job_larger_than_the_memory_is_refused_for_good(self) -> None:
        scheduler = self._make_scheduler(100_000)
        result = scheduler.submit_job(
            build.accepted_job(*_many_steps(1_000)),
            build.clock_readings_at(0.0),
        )
        assert result is _orders.SubmitResult.NEVER_FITS


class TestPasses:
    """A placement pass looks at a bounded number of steps."""

    def test_due_occurrences_are_opened_as_tasks_can_start(self) -> None:
        """Guards against 300,000 waiting steps in one pass."""
        rig = _make_rig()
        accepted = build.accepted_job(*_many_steps(30), repeat_count=10_000)
        rig.submit(accepted)
        job = rig.scheduler.cell.job_by_id[accepted.id]
        for run_s in (0.1, 2.9):
            rig.run(run_s)
            assert len(job.waiting_tasks_by_step) <= 40
        occurrences = [order.task.occurrence for _, _, order in rig.starts]
        assert occurrences == sorted(occurrences)
        assert len(rig.starts) > 100

    def test_steps_that_fit_nowhere_do_not_hold_up_others(self) -> None:
        """Guards against opened steps that keep others of the job closed."""
        rig = _make_rig()
        whole = build.step_spec(
            count=EXECUTORS,
            size=_job_spec.Resources(3_000, 1_000),
            estimate_s=1_000.0,
        )
        rig.submit(build.accepted_job(whole, job_id="00000000000000b1"))
        rig.run(0.5)
        nowhere = build.step_spec(size=_job_spec.Resources(4_000, 1_000))
        accepted = build.accepted_job(
            nowhere, build.step_spec(), repeat_count=200
        )
        rig.submit(accepted)
        rig.run(6)
        started = {
            order.task.step
            for _, _, order in rig.starts
            if order.task.job == accepted.id
        }
        assert 1 in started

    def test_many_steps_without_room_get_their_turn(self) -> None:
        """Guards against a pass over 1,500 steps, and steps never looked at."""
        rig = _make_rig()
        full = build.accepted_job(
            build.step_spec(
                count=EXECUTORS,
                size=_job_spec.Resources(4_000, 1_000),
                estimate_s=1.5,
            ),
            job_id="00000000000000b1",
        )
        rig.submit(full)
        rig.run(0.5)
        for number in range(3):
            rig.submit(
                build.accepted_job(
                    *_different_steps(500, 1_000), job_id=f"{number:016x}"
                )
            )
        rig.run(0.3)
        assert rig.scheduler.cell.skipped_step_count >= 1_000
        small = build.accepted_job(
            build.step_spec(estimate_s=0.1), job_id="00000000000000c1"
        )
        rig.submit(small)
        rig.run(6)
        assert rig.scheduler.visible_state(small.id) is _State.COMPLETED
        rig.run(50)
        assert len({order.task.job for _, _, order in rig.starts}) == 5

    def test_steps_start_in_the_order_of_their_dependencies(self) -> None:
        """Guards against steps that are opened twice, early or never."""
        rig = _make_rig()
        accepted = build.accepted_job(
            build.step_spec(count=2),
            build.step_spec(count=3, after=(0,)),
            build.step_spec(),
            build.step_spec(after=(1, 2)),
            repeat_count=60,
        )
        rig.submit(accepted)
        rig.run(4)
        rig.take_over()
        rig.run(30)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED

    def test_failed_tasks_do_not_keep_other_steps_closed(self) -> None:
        """Guards against steps held up by others that wait for a retry."""
        rig = _make_rig()
        accepted = build.accepted_job(*_many_steps(200))
        rig.submit(accepted)
        rig.run(0.5)
        job = rig.scheduler.cell.job_by_id[accepted.id]
        for number in range(150):
            job.requeue_task((0, number, 0), rig.now_s, 1_000.0)
        rig.run(8)
        started = {order.task.step for _, _, order in rig.starts}
        assert started >= set(range(150, 200))

"""Tests that no task waits for over 3 s beside executors that are free.

The waits are those of docs/design/states-that-hold-back-tasks.md.
"""

import pytest

from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
import cell_rig
import crash_rig
import workload_builders as build

_MAX_WAIT_S = 3.0
"""Time in which a task must start if capacity is free, in seconds."""

_SLACK_S = 2 * cell_rig.STEP_S
"""Time for storing a job, and of the step in which it starts, in seconds."""


class _DeafRig(cell_rig.CellRig):
    """A cell whose executor e1 answers lease renewals, but takes no starts.

    Attributes:
        start_result: What the scheduler is told of such a start.
        untaken_count: Number of starts that e1 has not taken.
    """

    start_result = _orders.StartResult.UNKNOWN
    untaken_count = 0

    def _execute_order(
        self,
        executor: cell_rig.SimulatedExecutor,
        token: int,
        order: _orders.ExecutorOrder,
    ) -> _orders.StartResult | _executor.LeaseRenewalReply | bool:
        """Answers a start for e1 without carrying it out."""
        if isinstance(order, _orders.StartOrder) and order.executor == "e1":
            self.untaken_count += 1
            return self.start_result
        return super()._execute_order(executor, token, order)


def _entries(count: int) -> list[_executor.ListedExecutor]:
    """Returns the entries of executors e1, e2, and so on."""
    return [build.executor_entry(f"e{n + 1}") for n in range(count)]


def _measure_wait_s(
    rig: cell_rig.CellRig, job_id: str, timeout_s: float = 30.0
) -> float:
    """Returns how long it takes from now until a task of a job starts.

    Args:
        rig: The rig.
        job_id: The job.
        timeout_s: Time after which to give up, in seconds; it is returned then.
    """
    begun_s = rig.now_s
    while rig.now_s < begun_s + timeout_s:
        rig.step()
        for at_s, _, order in reversed(rig.starts):
            if at_s > begun_s and order.task.job == job_id:
                return at_s - begun_s
    return timeout_s


def _crash_next_executors(rig: crash_rig.CrashRig, start_count: int) -> None:
    """Crashes the executors of the newest starts once there are so many."""
    known = len(rig.starts) if len(rig.starts) < start_count else 0
    rig.run_until(lambda: len(rig.starts) >= start_count, 10.0)
    for executor_id in {each for _, each, _ in rig.starts[known:]}:
        rig.crash(executor_id)


class TestExecutorKeptForASuspect:
    """An executor that is kept for an isolated start doesn't stay idle."""

    def _make_rig(self) -> crash_rig.CrashRig:
        """Returns a rig whose only executor is kept for a suspect of crashes.

        Another executor has crashed under it before and is not back; this one
        is back after its crash and runs a small task.
        """
        rig = crash_rig.CrashRig(*_entries(2))
        rig.keeps_ids = True
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id="suspect"))
        rig.restart_s = 60.0
        _crash_next_executors(rig, start_count=1)
        rig.restart_s = crash_rig.RESTART_S
        _crash_next_executors(rig, start_count=2)
        rig.run(crash_rig.RESTART_S)
        self._submit_small(rig, "first")
        rig.run_until(lambda: len(rig.starts) > 2, 10.0)
        return rig

    def _submit_small(self, rig: crash_rig.CrashRig, job_id: str) -> None:
        """Submits a job that goes before the suspect."""
        small = build.step_spec(estimate_s=0.1)
        rig.submit(build.accepted_job(small, job_id=job_id))

    def test_the_suspect_starts_there_once_it_is_free(self) -> None:
        rig = self._make_rig()
        assert _measure_wait_s(rig, "suspect") <= _MAX_WAIT_S + _SLACK_S

    def test_others_start_there_once_the_suspect_is_cancelled(self) -> None:
        rig = self._make_rig()
        rig.step()
        rig.cancel("suspect")
        self._submit_small(rig, "second")
        assert _measure_wait_s(rig, "second") <= _MAX_WAIT_S + _SLACK_S


class TestCrashUnderAnIsolatedStart:
    """An executor that is lost with a suspect holds up no other suspect."""

    def test_the_next_suspect_starts_elsewhere(self) -> None:
        rig = crash_rig.CrashRig(*_entries(6))
        rig.restart_s = 60.0
        rig.run(1.0)
        for job_id in ("culprit", "other"):
            rig.submit(build.accepted_job(job_id=job_id))
        for start_count in (2, 4):
            _crash_next_executors(rig, start_count)
        culprit = _job_spec.TaskId("culprit", 0, 0, 0)
        rig.crashing_tasks = {culprit}
        rig.run_until(lambda: bool(rig.crashes_by_task[culprit]), 20.0)
        assert _measure_wait_s(rig, "other") <= _MAX_WAIT_S + _SLACK_S


class TestExecutorThatTakesNoStarts:
    """A task starts elsewhere though the executor answers renewals."""

    @pytest.mark.parametrize("is_lasting", [False, True])
    def test_its_order_is_lost(self, *, is_lasting: bool) -> None:
        rig = _DeafRig(*_entries(4))
        rig.run(1.0)
        step = build.step_spec(runs_until_cancelled=is_lasting)
        rig.submit(build.accepted_job(step, job_id="a1"))
        assert _measure_wait_s(rig, "a1") <= _MAX_WAIT_S + _SLACK_S

    def test_a_lost_order_is_repeated_there_once(self) -> None:
        """It may only be late, and a later run on e1 bars it."""
        rig = _DeafRig(*_entries(4))
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id="a1"))
        _measure_wait_s(rig, "a1")
        assert rig.untaken_count == 2

    def test_its_order_is_not_sent(self) -> None:
        rig = _DeafRig(*_entries(4))
        rig.start_result = _orders.StartResult.NOT_SENT
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id="a1"))
        assert _measure_wait_s(rig, "a1") <= _MAX_WAIT_S + _SLACK_S

    def test_the_order_of_a_gang_is_lost(self) -> None:
        rig = _DeafRig(*_entries(4))
        rig.run(1.0)
        gang = build.step_spec(count=2, gang=True)
        rig.submit(build.accepted_job(gang, job_id="a1"))
        assert _measure_wait_s(rig, "a1") <= _MAX_WAIT_S + _SLACK_S


class TestFailuresOnAllExecutors:
    """A sound job starts soon after tasks have failed on all executors."""

    def test_a_sound_job_after_many_failures(self) -> None:
        rig = cell_rig.CellRig(*_entries(4), fail_share=1.0)
        rig.run(1.0)
        size = _job_spec.Resources(400, 400, 0)
        failing = build.step_spec(count=36, size=size)
        rig.submit(build.accepted_job(failing, job_id="a1"))
        rig.run(0.75)
        rig.fail_share = 0.0
        rig.submit(build.accepted_job(job_id="a2"))
        assert _measure_wait_s(rig, "a2") <= _MAX_WAIT_S + _SLACK_S


class TestManySuspects:
    """The suspects of one crash all start in time beside free executors."""

    def test_forty_jobs_on_one_executor(self) -> None:
        large = _job_spec.Resources(40_000, 40_000, 0)
        rig = crash_rig.CrashRig(
            build.executor_entry("e1", capacity=large), *_entries(8)[1:]
        )
        rig.run(1.0)
        job_ids = [f"a{number}" for number in range(40)]
        for job_id in job_ids:
            rig.submit(build.accepted_job(job_id=job_id))
        rig.run_until(lambda: len(rig.starts) >= len(job_ids), 1.0)
        rig.crash("e1")
        rig.run(30.0)
        again = [each for each in rig.starts if each[0] > 1.5]
        first_s = min(at_s for at_s, _, _ in again)
        started_s = {order.task.job: at_s for at_s, _, order in again}
        last_s = max(started_s.values())
        assert last_s - first_s <= _MAX_WAIT_S + _SLACK_S


class TestInheritedJobs:
    """Tasks that no earlier term can have started wait for no executor."""

    def test_a_step_after_one_that_ends_in_this_term(self) -> None:
        rig = cell_rig.CellRig(*_entries(4))
        rig.run_time_s = 4.0
        rig.run(1.0)
        steps = (build.step_spec(), build.step_spec(after=(0,)))
        rig.submit(build.accepted_job(*steps, job_id="a1"))
        rig.run(3.0)
        idle = next(
            executor_id
            for executor_id, executor in rig.executor_by_id.items()
            if not executor.run_by_key
        )
        rig.lose_executor(idle)
        rig.take_over()
        while not rig.done_tasks:
            rig.step()
        assert _measure_wait_s(rig, "a1") <= _MAX_WAIT_S + _SLACK_S

"""Tests that a task that crashes its executors is given up, and no other."""

import itertools

import pytest

from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import crash_rig
import workload_builders as build

_MAX_CRASHES = 5
"""Most executors that may crash under a task: three, and two starts that were
on their way."""

_CULPRIT_JOB_ID = "00000000000000bad"
_CULPRIT = _job_spec.TaskId(_CULPRIT_JOB_ID, 0, 0, 0)


def _make_rig(executor_count: int = 12, seed: int = 1) -> crash_rig.CrashRig:
    """Returns a rig of executors with a culprit that is not submitted yet."""
    rig = crash_rig.CrashRig(
        *(build.executor_entry(f"e{n}") for n in range(executor_count)),
        seed=seed,
    )
    rig.crashing_tasks = {_CULPRIT}
    return rig


def _submit_neighbors(rig: crash_rig.CrashRig, count: int) -> list[str]:
    """Submits jobs of eight tasks each and returns their ids."""
    job_ids = [f"{len(rig.spec_by_job):015x}{n:x}" for n in range(count)]
    for job_id in job_ids:
        rig.submit(build.accepted_job(build.step_spec(count=8), job_id=job_id))
    return job_ids


def _find_starts(
    rig: crash_rig.CrashRig, task: _job_spec.TaskId
) -> list[tuple[float, str]]:
    """Returns the times and executors of a task's starts."""
    return [
        (at_s, executor)
        for at_s, executor, order in rig.starts
        if order.task == task
    ]


def _run_until_starts(
    rig: crash_rig.CrashRig, task: _job_spec.TaskId, count: int
) -> None:
    """Runs until a task has been started a number of times."""
    rig.run_until(lambda: len(_find_starts(rig, task)) >= count, 20.0)


def _run_until_crashes(
    rig: crash_rig.CrashRig, task: _job_spec.TaskId, count: int
) -> None:
    """Runs until a number of executors have crashed under a task."""
    rig.run_until(lambda: len(rig.crashes_by_task[task]) >= count, 20.0)


def _make_rig_of_racks(seed: int = 1) -> crash_rig.CrashRig:
    """Returns a rig of four racks with six executors each."""
    return crash_rig.CrashRig(
        *(
            build.executor_entry(f"e{n}", labels=("a", f"rack-{n // 6}"))
            for n in range(24)
        ),
        seed=seed,
    )


def _crash_rack(rig: crash_rig.CrashRig, label: str) -> None:
    """Crashes all executors of a rack that are up."""
    for executor in list(rig.executor_by_id.values()):
        if executor.is_up and label in executor.entry.labels:
            rig.crash(executor.entry.id)


class TestCulpritAmongNeighbors:
    """The culprit is given up; the tasks that ran beside it complete."""

    @pytest.mark.parametrize("loses_answers", [False, True])
    def test_it_is_not_started_without_end(
        self, *, loses_answers: bool
    ) -> None:
        rig = _make_rig()
        rig.loses_crash_answers = loses_answers
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 5)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run(40.0)
        assert 1 <= len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED


class TestCulpritsAtOnce:
    """Several culprits crash many executors; all other jobs complete."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_each_is_given_up_and_no_neighbor(self, seed: int) -> None:
        rig = _make_rig(40, seed)
        culprit_ids = [f"{n:015x}b" for n in range(6)]
        rig.crashing_tasks = {
            _job_spec.TaskId(job_id, 0, 0, 0) for job_id in culprit_ids
        }
        neighbor_ids: list[str] = []
        for _ in range(40):
            neighbor_ids += _submit_neighbors(rig, 1)
            if culprit_ids:
                rig.submit(build.accepted_job(job_id=culprit_ids.pop()))
            rig.run(0.25)
        rig.run(60.0)
        assert len(rig.crashes_by_task) == len(rig.crashing_tasks)
        for task, crashes in rig.crashes_by_task.items():
            assert len(crashes) <= _MAX_CRASHES
            assert rig.state_of(task.job) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED


class TestCrashesWithoutCulprit:
    """Executors that crash by themselves get no task given up."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_racks_that_crash_again_and_again(self, seed: int) -> None:
        rig = _make_rig_of_racks(seed)
        rig.run(1.0)
        job_ids: list[str] = []
        for _ in range(8):
            job_ids += _submit_neighbors(rig, 6)
            rig.run(rig.rng.uniform(0.1, 1.0))
            _crash_rack(rig, f"rack-{rig.rng.randrange(4)}")
            rig.run(rig.rng.uniform(3.0, 4.0))
        rig.run(40.0)
        assert rig.find_notes("task.crash-recorded")
        assert rig.find_notes("job.given-up") == []
        for job_id in job_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED

    def test_rack_that_crashes_under_each_isolated_start(self) -> None:
        rig = _make_rig_of_racks()
        rig.run_time_s = 2.0
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        for count in (1, 2, 3):
            _run_until_starts(rig, _CULPRIT, count)
            _, executor_id = _find_starts(rig, _CULPRIT)[-1]
            _crash_rack(rig, rig.executor_by_id[executor_id].entry.labels[1])
        rig.run(20.0)
        assert len(rig.find_notes("task.crash-recorded")) == 3
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.COMPLETED


class TestIsolatedStart:
    """A suspect starts apart from other recent starts, once that is stored."""

    def test_nothing_starts_beside_it(self) -> None:
        rig = _make_rig(3)
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run_until(lambda: len(rig.find_notes("executor.crashed")) == 2, 9)
        rig.crashing_tasks = frozenset()
        _run_until_starts(rig, _CULPRIT, 3)
        started_s, executor_id = _find_starts(rig, _CULPRIT)[-1]
        for _ in range(9):
            _submit_neighbors(rig, 1)
            rig.step()
        beside = [
            order.task
            for at_s, executor, order in rig.starts
            if executor == executor_id and at_s >= started_s
        ]
        assert beside == [_CULPRIT]

    def test_it_waits_for_its_record(self) -> None:
        rig = _make_rig(3)
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run_until(lambda: bool(rig.crashes_by_task[_CULPRIT]), 10.0)
        rig.run(2.0)
        rig.store_is_up = False
        rig.run(2.5)
        assert rig.find_notes("executor.crashed")
        assert len(rig.crashes_by_task[_CULPRIT]) == 1
        rig.store_is_up = True
        rig.run(2.0)
        assert len(rig.crashes_by_task[_CULPRIT]) == 2


class TestIsolatedStartThatWasNotBegun:
    """A later crash of the executor is not put down to it."""

    def test_no_attempt_is_left_of_it(self) -> None:
        rig = _make_rig(3)
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        _run_until_crashes(rig, _CULPRIT, 1)
        executors = rig.executor_by_id.values()
        for each in executors:
            each.refuses_for_capacity = True
        rig.run_until(lambda: any(each.refused_count for each in executors), 9)
        job = rig.scheduler.cell.job_by_id[_CULPRIT_JOB_ID]
        (crashes,) = job.progress.crashes_by_position.values()
        assert len(crashes.shared_executors + crashes.isolated_executors) == 1
        assert crashes.attempt_executor == ""


class TestExecutorsThatStayAway:
    """An executor that is lost with its listing counts as well."""

    def test_executors_that_come_back_after_their_lease(self) -> None:
        rig = _make_rig(20)
        rig.restart_s = 9.0
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 5)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run(80.0)
        assert 1 <= len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED

    def test_silent_executor_that_is_listed_shows_nothing(self) -> None:
        rig = _make_rig(4)
        rig.crashing_tasks = frozenset()
        rig.run_time_s = 20.0
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        _run_until_starts(rig, _CULPRIT, 1)
        _, executor_id = _find_starts(rig, _CULPRIT)[0]
        rig.executor_by_id[executor_id].is_answering = False
        _run_until_starts(rig, _CULPRIT, 2)
        assert rig.find_notes("task.lapsed")
        assert rig.find_notes("executor.crashed") == []


class TestRestartsUnderTheOldId:
    """Each incarnation of an executor counts, also under the same id."""

    def test_two_executors_that_crash_in_turn(self) -> None:
        rig = _make_rig(2)
        rig.keeps_ids = True
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        rig.run(60.0)
        assert 1 <= len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED


class TestLostScheduler:
    """The crashes of a task survive the scheduler that saw them."""

    @pytest.mark.parametrize("keeps_ids", [False, True])
    def test_crash_that_no_scheduler_saw(self, *, keeps_ids: bool) -> None:
        rig = _make_rig()
        rig.keeps_ids = keeps_ids
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        for count in (2, 3):
            _run_until_crashes(rig, _CULPRIT, count)
            rig.run(0.3)
            rig.take_over()
        rig.run(60.0)
        assert len(rig.crashes_by_task[_CULPRIT]) == 3
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED

    @pytest.mark.parametrize("lost_after_s", [0.3, 1.5, 3.5])
    def test_the_culprit_is_given_up_nevertheless(
        self, lost_after_s: float
    ) -> None:
        rig = _make_rig()
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 5)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        for crash_count in (1, 2):
            _run_until_crashes(rig, _CULPRIT, crash_count)
            rig.run(lost_after_s)
            rig.take_over()
        rig.run(60.0)
        assert len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED


class TestAttemptOfFinishedJob:
    """Nothing is blamed for a crash once its job has finished."""

    def test_its_executor_comes_back_after_the_steps_are_forgotten(
        self,
    ) -> None:
        rig = _make_rig(3)
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        _run_until_crashes(rig, _CULPRIT, 1)
        rig.crashing_tasks = frozenset()
        rig.run_time_s = 60.0
        _run_until_starts(rig, _CULPRIT, 2)
        _, executor_id = _find_starts(rig, _CULPRIT)[-1]
        executor = rig.executor_by_id[executor_id]
        executor.is_answering = False
        rig.take_over()
        rig.run(1.0)
        rig.cancel(_CULPRIT_JOB_ID)
        rig.run(30.0)
        job = rig.scheduler.cell.job_by_id[_CULPRIT_JOB_ID]
        assert job.spec.steps == ()
        executor.restart()
        executor.is_answering = True
        rig.run(3.0)
        state = rig.scheduler.cell.executor_by_id[executor_id]
        assert state.has_listed_runs
        assert len(rig.find_notes("task.crash-recorded")) == 1
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.CANCELLED


class TestAttemptThatEnded:
    """An isolated run that ended did not crash its executor later on."""

    def test_a_successor_does_not_blame_it(self) -> None:
        rig = _make_rig(3)
        rig.run(1.0)
        rig.submit(build.accepted_job(job_id=_CULPRIT_JOB_ID))
        _run_until_crashes(rig, _CULPRIT, 1)
        rig.crashing_tasks = frozenset()
        rig.fail_share = 1.0
        _run_until_starts(rig, _CULPRIT, 2)
        _, executor_id = _find_starts(rig, _CULPRIT)[-1]
        rig.run_until(lambda: bool(rig.find_notes("task.ended")), 5.0)
        rig.fail_share = 0.0
        rig.run_time_s = 20.0
        rig.crash(executor_id)
        rig.take_over()
        rig.run(10.0)
        assert len(rig.find_notes("task.crash-recorded")) == 1


class TestLastingCulprit:
    """A lasting task is never given up, but waits longer after each crash."""

    def test_it_waits_longer_after_each_crash(self) -> None:
        rig = _make_rig()
        rig.run(1.0)
        rig.submit(
            build.accepted_job(
                build.step_spec(runs_until_cancelled=True),
                job_id=_CULPRIT_JOB_ID,
            )
        )
        rig.run(60.0)
        times = [at_s for at_s, _ in rig.crashes_by_task[_CULPRIT]]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert len(gaps) >= 3
        assert gaps == sorted(gaps)
        assert gaps[-1] >= 10.0
        rig.crashing_tasks = frozenset()
        rig.run(70.0)
        assert rig.count_lasting_runs() == 1
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.RUNNING


class TestCulpritInGang:
    """A gang with a culprit is given up, and the tasks beside it are not."""

    def test_its_job_fails(self) -> None:
        rig = _make_rig()
        rig.run_time_s = 2.0
        # The other members have begun when the last one crashes its executor.
        culprit = _job_spec.TaskId(_CULPRIT_JOB_ID, 0, 0, 3)
        rig.crashing_tasks = {culprit}
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 3)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=4, gang=True, max_per_executor=1),
                job_id=_CULPRIT_JOB_ID,
            )
        )
        rig.run(60.0)
        assert 1 <= len(rig.crashes_by_task[culprit]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED


class TestSpeculativeCulprit:
    """Copies of a task count as starts of that task."""

    def test_its_copies_crash_no_more_executors(self) -> None:
        rig = _make_rig()
        rig.run(1.0)
        neighbor_ids = _submit_neighbors(rig, 3)
        rig.submit(
            build.accepted_job(
                build.step_spec(speculative=True), job_id=_CULPRIT_JOB_ID
            )
        )
        rig.run(60.0)
        assert 1 <= len(rig.crashes_by_task[_CULPRIT]) <= _MAX_CRASHES
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.FAILED
        for job_id in neighbor_ids:
            assert rig.state_of(job_id) is _progress.JobState.COMPLETED


class TestCulpritInRepeats:
    """Crashes count for one occurrence, not for all tasks of the step."""

    def test_a_crash_under_each_occurrence_fails_no_job(self) -> None:
        rig = _make_rig()
        rig.run(1.0)
        rig.submit(
            build.accepted_job(
                job_id=_CULPRIT_JOB_ID,
                repeat_count=4,
                first_due_wall_s=build.START_WALL_S + 2.0,
                interval_s=8.0,
            )
        )
        for occurrence in range(4):
            task = _job_spec.TaskId(_CULPRIT_JOB_ID, occurrence, 0, 0)
            rig.crashing_tasks = {task}
            _run_until_crashes(rig, task, 1)
            rig.crashing_tasks = frozenset()
        rig.run(20.0)
        assert rig.state_of(_CULPRIT_JOB_ID) is _progress.JobState.COMPLETED


class TestStartRefusedByAnotherIncarnation:
    """The start has done nothing, so its task neither waits nor is blamed."""

    def test_its_task_starts_elsewhere_at_once(self) -> None:
        rig = _make_rig(2)
        rig.crashing_tasks = frozenset()
        rig.holds_renewals = False
        rig.run(1.0)
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.step()
        # No refused renewal tells of the replacement before the start.
        rig.scheduler.cell.executor_by_id["e0"].next_renewal_s = rig.now_s + 0.2
        rig.replaced_ids.add("e0")
        rig.executor_by_id["e0"].is_up = False
        rig.run(0.5)
        assert "e0" in {
            note.value_by_field["executor"]
            for note in rig.find_notes("task.started")
        }
        assert len(rig.starts) == 4
        rig.run(3.0)
        assert rig.find_notes("task.crash-recorded") == []

"""Tests of the placement constraints of steps."""

import collections
import copy
import random

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _failure_record
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

_State = _progress.JobState

_EXECUTOR_COUNT = 60


def _make_rack_executors(
    *racks: str, count: int = 2
) -> list[_executor.ListedExecutor]:
    """Returns executors of four cores each, `count` per rack."""
    return [
        build.executor_entry(f"{rack}-{number}", labels=("kind-a", rack))
        for rack in racks
        for number in range(count)
    ]


def _started_executors(rig: cell_rig.CellRig) -> list[str]:
    """Returns the executor of each start, in order."""
    return [executor for _, executor, _ in rig.starts]


class TestRequiredLabel:
    """A task starts only on executors with the required label."""

    def test_only_such_executors_are_used(self) -> None:
        rig = cell_rig.CellRig(
            *_make_rack_executors("rack-1", "rack-2", "rack-3")
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(count=20, required_label="rack-2")
            )
        )
        rig.run(6)
        assert len(rig.starts) == 20
        assert set(_started_executors(rig)) == {"rack-2-0", "rack-2-1"}

    def test_a_label_that_none_has_is_refused_at_once(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        accepted = build.accepted_job(build.step_spec(required_label="kind-z"))
        assert rig.scheduler.submit_job(
            accepted, build.clock_readings_at(rig.now_s)
        ) is (_orders.SubmitResult.NEVER_FITS)

    def test_other_tasks_start_while_one_waits_for_its_label(self) -> None:
        rig = cell_rig.CellRig(
            *_make_rack_executors("rack-1", "rack-2", count=1)
        )
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=5, required_label="rack-2", runs_until_cancelled=True
                )
            )
        )
        rig.run(1)
        other = build.accepted_job(job_id="00000000000000b2")
        rig.submit(other)
        rig.run(2)
        assert rig.scheduler.visible_state(other.id) is _State.COMPLETED


class TestDataRack:
    """A task runs on the rack of its data if it has capacity."""

    def test_the_rack_of_the_data_comes_first(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", "rack-2"))
        rig.run(1)
        rig.submit(
            build.accepted_job(build.step_spec(count=8, data_rack="rack-2"))
        )
        rig.run(0.3)
        assert set(_started_executors(rig)) == {"rack-2-0", "rack-2-1"}

    def test_a_full_rack_does_not_hold_a_task_up(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", "rack-2"))
        rig.run(1)
        rig.submit(
            build.accepted_job(build.step_spec(count=12, data_rack="rack-2"))
        )
        rig.run(0.3)
        count_by_rack = collections.Counter(
            name.rpartition("-")[0] for name in _started_executors(rig)
        )
        assert count_by_rack == {"rack-2": 8, "rack-1": 4}


class TestSameRack:
    """A gang that prefers one rack is placed on one if it fits."""

    def _make_gang_job(self, count: int) -> _progress.AcceptedJob:
        """Returns a job of one gang that prefers a single rack."""
        return build.accepted_job(
            build.step_spec(count=count, gang=True, same_rack=True)
        )

    def test_one_rack_takes_all_members(self) -> None:
        rig = cell_rig.CellRig(
            *_make_rack_executors("rack-1", "rack-2", "rack-3")
        )
        rig.run(1)
        rig.submit(self._make_gang_job(7))
        rig.run(0.3)
        racks = {name.rpartition("-")[0] for name in _started_executors(rig)}
        assert (len(rig.starts), len(racks)) == (7, 1)

    def test_a_gang_larger_than_a_rack_starts_all_the_same(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", "rack-2"))
        rig.run(1)
        rig.submit(self._make_gang_job(12))
        rig.run(0.3)
        assert len(rig.starts) == 12


class TestSpread:
    """No executor runs more tasks of a step than the step allows."""

    @pytest.mark.parametrize("gang", [False, True])
    def test_tasks_of_a_step_are_spread(self, gang: bool) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", "rack-2"))
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=8,
                    max_per_executor=2,
                    gang=gang,
                    runs_until_cancelled=True,
                )
            )
        )
        rig.run(1)
        assert collections.Counter(_started_executors(rig)) == dict.fromkeys(
            rig.executor_by_id, 2
        )

    def test_a_task_beyond_the_limit_waits_for_its_turn(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", count=1))
        rig.run(1)
        accepted = build.accepted_job(
            build.step_spec(count=3, max_per_executor=1)
        )
        rig.submit(accepted)
        rig.run(0.3)
        assert len(rig.starts) == 1
        rig.run(5)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED

    def test_occurrences_are_counted_apart(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", count=1))
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(max_per_executor=1, runs_until_cancelled=True),
                repeat_count=3,
                first_due_wall_s=build.START_WALL_S,
                interval_s=0.1,
            )
        )
        rig.run(1)
        assert sorted(o.task.occurrence for _, _, o in rig.starts) == [0, 1, 2]

    def test_a_run_that_is_being_stopped_still_counts(self) -> None:
        rig = cell_rig.CellRig(*_make_rack_executors("rack-1", count=1))
        rig.run(1)
        rig.submit(
            build.accepted_job(
                build.step_spec(
                    count=2, max_per_executor=1, runs_until_cancelled=True
                )
            )
        )
        rig.run(1)
        (run,) = rig.scheduler.cell.executor_by_id[
            "rack-1-0"
        ].run_by_key.values()
        rig.executor_by_id["rack-1-0"].is_answering = False
        rig.scheduler.cell.executor_by_id[run.executor].stop_run(run, rig.now_s)
        rig.run(1)
        assert len(rig.starts) == 1


class TestAccelerators:
    """Accelerators are reserved like processors and memory."""

    def _make_accelerator_job(self, count: int) -> _progress.AcceptedJob:
        """Returns a job whose tasks need one accelerator each."""
        size = _job_spec.Resources(100, 100, 1)
        return build.accepted_job(build.step_spec(count=count, size=size))

    def test_no_more_tasks_than_accelerators(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("plain"),
            build.executor_entry(
                "fast", capacity=_job_spec.Resources(4000, 8000, 2)
            ),
        )
        rig.run(1)
        accepted = self._make_accelerator_job(5)
        rig.submit(accepted)
        rig.run(0.3)
        assert _started_executors(rig) == ["fast", "fast"]
        rig.run(5)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED

    def test_without_any_the_job_is_refused_at_once(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        result = rig.scheduler.submit_job(
            self._make_accelerator_job(1), build.clock_readings_at(rig.now_s)
        )
        assert result is _orders.SubmitResult.NEVER_FITS

    def test_a_task_without_need_leaves_them_free(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry(
                "fast", capacity=_job_spec.Resources(4000, 8000, 1)
            ),
            build.executor_entry("plain"),
        )
        rig.run(1)
        rig.submit(build.accepted_job(build.step_spec(count=4)))
        rig.run(0.3)
        assert set(_started_executors(rig)) == {"plain"}


class TestGuardedExecutors:
    """A refusal for lack of capacity costs the task no attempt."""

    def test_the_task_starts_elsewhere_and_no_attempt_is_lost(self) -> None:
        rig = cell_rig.CellRig(
            build.executor_entry("e1"), build.executor_entry("e2")
        )
        rig.run(1)
        rig.executor_by_id["e1"].refuses_for_capacity = True
        accepted = build.accepted_job(build.step_spec(count=4))
        rig.submit(accepted)
        rig.run(4)
        assert rig.scheduler.visible_state(accepted.id) is _State.COMPLETED
        assert set(_started_executors(rig)) == {"e2"}
        job = rig.scheduler.cell.job_by_id[accepted.id]
        assert job.progress.failed_runs_by_position == {}

    def test_it_is_left_alone_for_a_moment_and_tried_again(self) -> None:
        rig = cell_rig.CellRig()
        rig.run(1)
        executor = rig.executor_by_id["e1"]
        executor.refuses_for_capacity = True
        rig.submit(build.accepted_job())
        rig.run(2)
        assert 2 <= executor.refused_count <= 8
        executor.refuses_for_capacity = False
        rig.run(2)
        assert len(rig.starts) == 1


class TestSearch:
    """A step's tasks are placed by one search, as if each had its own."""

    def _add_run(
        self,
        executor: _executors.ExecutorState,
        step: _job_spec.StepSpec,
        task: _job_spec.TaskId,
        number: int,
    ) -> None:
        """Adds a run of a task to an executor."""
        executor.add_run(
            _runs.Run(
                task=task,
                number=number,
                executor=executor.listing.id,
                step=step,
                phase=_runs.RunPhase.RUNNING,
                phase_since_s=0.0,
            )
        )

    @pytest.mark.parametrize("seed", range(20))
    def test_the_choices_are_those_of_a_search_for_each_task(
        self, seed: int
    ) -> None:
        rng = random.Random(seed)
        sharing = _sharing.FillerController()
        executors = [
            _executors.ExecutorState(
                build.executor_entry(
                    f"e{number}",
                    capacity=_job_spec.Resources(
                        rng.randint(4, 16) * 1000, rng.randint(4, 32) * 1000, 0
                    ),
                    labels=(rng.choice(["kind-a", "kind-b"]), "rack-1"),
                ),
                failures=_failure_record.FailureRecord(
                    in_a_row=rng.choice([0, 0, 0, 1])
                ),
            )
            for number in range(12)
        ]
        for number, executor in enumerate(executors):
            kind = rng.randrange(3)
            self._add_run(
                executor,
                build.step_spec(
                    tail_target_ms=50 if kind == 0 else 0, fills=kind == 1
                ),
                _job_spec.TaskId("b", 0, 0, number),
                number + 1,
            )
        step = build.step_spec(
            count=200,
            fills=seed % 2 == 0,
            max_per_executor=rng.choice([0, 3]),
            required_label=rng.choice(["", "kind-a"]),
        )
        copies = copy.deepcopy(executors)
        first = _job_spec.TaskId("a", 0, 0, 0)
        ranking = _placement.StepRanking(step, first, executors, sharing)
        for number in range(200):
            task = _job_spec.TaskId("a", 0, 0, number)
            alone = _placement.StepRanking(
                step, task, copies, sharing
            ).best_executor()
            chosen = ranking.best_executor()
            if alone is None:
                assert chosen is None
                return
            assert chosen is not None
            assert chosen.listing.id == alone.listing.id
            self._add_run(chosen, step, task, number + 20)
            self._add_run(alone, step, task, number + 20)
            ranking.update_best_executor()
        pytest.fail("all tasks fitted")

    def test_a_step_looks_at_each_executor_once_not_once_a_task(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Else a pass over a large cell delays everything by its length."""
        rig = cell_rig.CellRig(
            *(
                build.executor_entry(f"e{number}")
                for number in range(_EXECUTOR_COUNT)
            )
        )
        rig.run(1)
        is_eligible = _placement.is_eligible
        looks: list[str] = []

        def count_look(
            step: _job_spec.StepSpec, executor: _executors.ExecutorState
        ) -> bool:
            looks.append(executor.listing.id)
            return is_eligible(step, executor)

        rig.submit(build.accepted_job(build.step_spec(count=40)))
        monkeypatch.setattr(_placement, "is_eligible", count_look)
        rig.run(0.2)
        assert len(rig.starts) == 40
        assert len(looks) == _EXECUTOR_COUNT + 40

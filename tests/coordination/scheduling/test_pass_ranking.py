"""Tests that the ranking of a pass chooses as one made for each step does."""

import random

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _pass_ranking
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _job_spec
import workload_builders as build

_STARTS = 120  # tasks that each random test places


def _make_run(
    step: _job_spec.StepSpec, task: _job_spec.TaskId, number: int
) -> _runs.Run:
    """Returns a running run of a task."""
    return _runs.Run(
        task=task,
        number=number,
        executor="e1",
        step=step,
        phase=_runs.RunPhase.RUNNING,
        phase_since_s=0.0,
    )


def _make_executors(
    rng: random.Random, *, has_fillers: bool
) -> list[_executors.ExecutorState]:
    """Returns executors of several sizes with runs of several kinds."""
    executors = []
    for number in range(40):
        state = _executors.ExecutorState(
            listing=build.executor_entry(
                f"e{number}",
                capacity=_job_spec.Resources(
                    rng.choice((4000, 8000, 16_000)),
                    rng.choice((4000, 16_000)),
                    rng.choice((0, 0, 0, 2)),
                ),
                labels=("kind-a", rng.choice(("rack-1", "rack-2"))),
            )
        )
        state.consecutive_failures = rng.choice((0, 0, 0, 1))
        state.is_suspect = rng.random() < 0.1
        changes = [{}, {"tail_target_ms": 100, "runs_until_cancelled": True}]
        if has_fillers:
            changes.append({"fills": True})
        for index in range(rng.randrange(3)):
            step = build.step_spec(**rng.choice(changes))
            task = _job_spec.TaskId(f"{number:016x}", 0, 0, index)
            state.add_run(_make_run(step, task, index))
        executors.append(state)
    return executors


def _make_step(rng: random.Random) -> _job_spec.StepSpec:
    """Returns a step whose executors are ranked in the common order."""
    return build.step_spec(
        count=4,
        size=_job_spec.Resources(
            rng.choice((500, 1000, 3000, 7000)),
            rng.choice((500, 3000)),
            rng.choice((0, 0, 1)),
        ),
        required_label=rng.choice(("", "", "rack-2", "rack-3")),
        max_per_executor=rng.choice((0, 0, 1)),
        runs_until_cancelled=rng.random() < 0.2,
    )


class TestSameChoice:
    """Every task goes where a search of all executors would place it."""

    @pytest.mark.parametrize("has_fillers", [False, True])
    @pytest.mark.parametrize("seed", range(25))
    def test_random_steps(self, seed: int, has_fillers: bool) -> None:
        rng = random.Random(seed)
        sharing = _sharing.FillerController()
        executors = _make_executors(rng, has_fillers=has_fillers)
        ranking_by_use = {
            uses_gpus: _pass_ranking.PassRanking(
                executors, sharing, uses_gpus=uses_gpus
            )
            for uses_gpus in (False, True)
        }
        placed_count = 0
        for number in range(_STARTS):
            step = _make_step(rng)
            assert _pass_ranking.ranks_by_common_order(step)
            task = _job_spec.TaskId(f"{1000 + number // 4:016x}", 0, 0, number)
            shared = _pass_ranking.SharedStepRanking(
                step, task, ranking_by_use[step.size.gpus > 0]
            )
            chosen = shared.best_executor()
            expected = _placement.StepRanking(
                step, task, executors, sharing
            ).best_executor()
            assert chosen is expected
            if chosen is None:
                continue
            placed_count += 1
            if has_fillers and rng.random() < 0.1:
                step = build.step_spec(fills=True)
            chosen.add_run(_make_run(step, task, 1000 + number))
            for ranking in ranking_by_use.values():
                ranking.update_executor(chosen)
        assert placed_count > _STARTS / 10

    @pytest.mark.parametrize(
        "changes",
        [{"tail_target_ms": 100}, {"fills": True}, {"data_rack": "rack-1"}],
    )
    def test_other_orders_are_left_out(
        self, changes: dict[str, object]
    ) -> None:
        step = build.step_spec(**changes)
        assert not _pass_ranking.ranks_by_common_order(step)

    def test_an_unknown_executor_is_ignored(self) -> None:
        known = _executors.ExecutorState(listing=build.executor_entry())
        other = _executors.ExecutorState(listing=build.executor_entry("e2"))
        ranking = _pass_ranking.PassRanking(
            [known], _sharing.FillerController(), uses_gpus=False
        )
        ranking.update_executor(other)
        task = _job_spec.TaskId("00000000000000a1", 0, 0, 0)
        best = ranking.find_best_executor(build.step_spec(), task)
        assert best is known

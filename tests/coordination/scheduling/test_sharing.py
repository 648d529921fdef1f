"""Tests of placing and slowing fillers on executors with serving tasks."""

import dataclasses
import math
import random

import pytest

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _headroom_model
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _job_spec
import workload_builders as build

MAX_RECORD_BYTES = 262_144
"""Largest record that the store takes, in bytes."""

TAIL_TARGET_MS = 50
# Tail latency of a serving task on an otherwise unloaded executor.
UNLOADED_TAIL_MS = 10.0

_SERVING_STEP = build.step_spec(
    size=_job_spec.Resources(6000, 1000, 0),
    image="serving",
    tail_target_ms=TAIL_TARGET_MS,
    runs_until_cancelled=True,
)


def _make_filler_step(
    image: str, *, checkpoints: bool = True
) -> _job_spec.StepSpec:
    """Returns a filler step that uses a tenth of the test executor."""
    return build.step_spec(
        size=_job_spec.Resources(3200, 1000, 0),
        image=image,
        fills=True,
        checkpoints=checkpoints,
    )


def _make_executor() -> _executors.ExecutorState:
    """Returns an empty executor of 32 cores."""
    entry = build.executor_entry(
        capacity=_job_spec.Resources(32_000, 128_000, 0)
    )
    return _executors.ExecutorState(listing=entry)


def _add_run(
    executor: _executors.ExecutorState,
    step: _job_spec.StepSpec,
    index: int,
    since_s: float = 0.0,
) -> _runs.Run:
    """Adds a running task of a step to an executor."""
    run = _runs.Run(
        task=_job_spec.TaskId("00000000000000a1", 0, 0, index),
        number=index + 1,
        executor=executor.listing.id,
        step=step,
        phase=_runs.RunPhase.RUNNING,
        phase_since_s=since_s,
    )
    executor.add_run(run)
    return run


class _TailReporter:
    """Reports tail latency like an executor: each value is half weighted.

    Args:
        load_by_image: Load that a filler adds per tenth of an executor.
    """

    def __init__(self, load_by_image: dict[str, float]) -> None:
        self._load_by_image = load_by_image
        self._reported = 0.0

    def report(self, executor: _executors.ExecutorState, load: float) -> float:
        """Returns the next reported tail latency, in ms."""
        for run in executor.run_by_key.values():
            if run.step.fills and run.phase is _runs.RunPhase.RUNNING:
                tenths = run.step.size.cpu_millicores / 3200
                share = run.pace_percent / 100
                load += self._load_by_image[run.step.image] * tenths * share
        tail = UNLOADED_TAIL_MS / max(0.01, 1.0 - load)
        if self._reported:
            self._reported += (tail - self._reported) / 2
        else:
            self._reported = tail
        return round(self._reported)


class TestHeadroomModel:
    """The effect of each filler is learned from reports on mixtures."""

    def test_it_tells_a_harmful_filler_from_one_beside_it(self) -> None:
        model = _headroom_model.HeadroomModel(2.5)
        rng = random.Random(1)
        for number in range(200):
            exposure = {
                "harmful": rng.choice((0.0, 1.0)),
                "harmless": rng.choice((0.0, 1.0, 2.0)),
            }
            drop = 1.5 * exposure["harmful"] + rng.gauss(0.0, 0.3)
            model.learn_headroom_drop(exposure, drop, float(number))
        assert math.isclose(
            model.headroom_loss_per_tenth("harmful"), 1.5, abs_tol=0.25
        )
        assert model.headroom_loss_per_tenth("harmless") < 0.2

    def test_a_pair_that_was_never_seen_keeps_the_prior(self) -> None:
        model = _headroom_model.HeadroomModel(2.5)
        model.learn_headroom_drop({"seen": 1.0}, 0.0, 0.0)
        assert (
            model.headroom_loss_per_tenth("unseen")
            == _headroom_model.PRIOR_HEADROOM_LOSS
        )

    def test_reports_at_the_same_moment_are_learned_from_once(self) -> None:
        """Hundreds of executors report about one image in a second."""
        once = _headroom_model.HeadroomModel(2.5)
        often = _headroom_model.HeadroomModel(2.5)
        once.learn_headroom_drop({"filler": 1.0}, 2.0, 7.0)
        for _ in range(100):
            often.learn_headroom_drop({"filler": 1.0}, 2.0, 7.0)
        assert often.export_learned() == once.export_learned()
        interval_s = _headroom_model.MIN_UPDATE_INTERVAL_S
        often.learn_headroom_drop({"filler": 1.0}, 2.0, 7.0 + interval_s)
        assert often.export_learned() != once.export_learned()


class TestSharing:
    """Harmless fillers are placed beside serving tasks, harmful ones not."""

    def _learn_interference(
        self,
    ) -> tuple[_sharing.FillerController, _executors.ExecutorState]:
        """Returns sharing and its executor after fillers ran beside serving."""
        sharing = _sharing.FillerController()
        executor = _make_executor()
        serving = _add_run(executor, _SERVING_STEP, 0, since_s=-10.0)
        tails = _TailReporter({"harmful": 0.5, "harmless": 0.01})
        now_s = 0.0
        for index in range(60):
            filler = _add_run(
                executor,
                _make_filler_step(("harmful", "harmless")[index % 2]),
                index + 1,
                since_s=now_s,
            )
            for _ in range(4):
                now_s += _sharing.REPORT_INTERVAL_S
                serving.reported_value = tails.report(executor, load=0.4)
                sharing.learn_from_report(
                    executor, build.clock_readings_at(now_s)
                )
            executor.remove_run(filler)
        return sharing, executor

    def test_only_the_harmless_filler_is_placed(self) -> None:
        sharing, executor = self._learn_interference()
        assert sharing.allows_filler(_make_filler_step("harmless"), executor)
        assert not sharing.allows_filler(_make_filler_step("harmful"), executor)

    def test_none_is_placed_beside_a_tail_over_its_target(self) -> None:
        """The serving task's own load rises for some seconds."""
        sharing, executor = self._learn_interference()
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        tails = _TailReporter({"harmless": 0.01})
        now_s = 100.0
        for load in (0.4, 0.4, 0.9, 0.9, 0.9):
            now_s += _sharing.REPORT_INTERVAL_S
            serving.reported_value = tails.report(executor, load)
            sharing.learn_from_report(executor, build.clock_readings_at(now_s))
        serving.headroom_alone = 6.0
        assert serving.over_target_since_s is not None
        assert not sharing.allows_filler(
            _make_filler_step("harmless"), executor
        )

    def test_one_is_placed_again_once_the_reports_show_the_recovery(
        self,
    ) -> None:
        """Each report weighs the previous report by half."""
        sharing, executor = self._learn_interference()
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        tails = _TailReporter({"harmless": 0.01})
        now_s = 100.0
        allowed = []
        for load in (0.4, 0.95, 0.95, 0.4, 0.4, 0.4, 0.4):
            now_s += _sharing.REPORT_INTERVAL_S
            serving.reported_value = tails.report(executor, load)
            sharing.learn_from_report(executor, build.clock_readings_at(now_s))
            serving.headroom_alone = 6.0
            allowed.append(
                sharing.allows_filler(_make_filler_step("harmless"), executor)
            )
        assert allowed == [True, False, False, False, False, True, True]

    def test_what_is_learned_of_many_images_fits_into_records(self) -> None:
        # The store refused one record of all, and all others behind it.
        sharing, executor = _sharing.FillerController(), _make_executor()
        for number in range(62):
            image = f"registry.example/team/part@sha256:{number:064x}"
            step = _make_filler_step(f"{image}-filler")
            _add_run(executor, step, number)
            step = dataclasses.replace(_SERVING_STEP, image=image)
            run = _add_run(executor, step, 62 + number)
            run.reported_value = 20
        sharing.learn_from_report(executor, build.clock_readings_at(9.0))
        items = _job_records.encode_record(sharing.export_learned())
        assert sum(len(each.value) for each in items) > 0
        assert max(map(_store.record_bytes, items)) <= MAX_RECORD_BYTES

    def test_a_successor_takes_over_what_was_learned(self) -> None:
        sharing, executor = self._learn_interference()
        successor = _sharing.FillerController()
        successor.restore_learned(sharing.export_learned())
        assert successor.allows_filler(_make_filler_step("harmless"), executor)
        assert not successor.allows_filler(
            _make_filler_step("harmful"), executor
        )

    def test_an_executor_without_serving_tasks_takes_any(self) -> None:
        sharing, _ = self._learn_interference()
        assert sharing.allows_filler(
            _make_filler_step("harmful"), _make_executor()
        )

    def test_a_harmful_filler_is_stopped_with_its_checkpoint(self) -> None:
        sharing, executor = self._learn_interference()
        harmful = _add_run(
            executor, _make_filler_step("harmful"), 900, since_s=20.0
        )
        harmless = _add_run(
            executor, _make_filler_step("harmless"), 901, since_s=20.0
        )
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.6
        assert (
            sharing.adjust_fillers(executor, build.clock_readings_at(25.0))
            == []
        )
        assert harmful.phase is _runs.RunPhase.STOPPING
        assert harmless.phase is _runs.RunPhase.RUNNING

    def test_one_without_checkpoints_is_slowed_and_let_go_again(
        self,
    ) -> None:
        sharing, executor = self._learn_interference()
        harmful = _add_run(
            executor,
            _make_filler_step("harmful", checkpoints=False),
            900,
            since_s=20.0,
        )
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.6
        (order,) = sharing.adjust_fillers(
            executor, build.clock_readings_at(25.0)
        )
        assert (order.run, order.percent) == (
            901,
            _sharing.THROTTLED_PACE_PERCENT,
        )
        harmful.is_pace_order_in_flight = False
        harmful.pace_percent = order.percent
        serving.headroom = serving.headroom_alone = 6.0
        (restored,) = sharing.adjust_fillers(
            executor, build.clock_readings_at(27.0)
        )
        assert restored.percent == 100

    def test_every_filler_goes_when_the_tail_stays_over_its_target(
        self,
    ) -> None:
        sharing, executor = self._learn_interference()
        fillers = [
            _add_run(
                executor, _make_filler_step("harmless"), 900 + n, since_s=20.0
            )
            for n in range(3)
        ]
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.99
        serving.over_target_since_s = 23.0
        sharing.adjust_fillers(executor, build.clock_readings_at(25.0))
        assert {run.phase for run in fillers} == {_runs.RunPhase.STOPPING}

    def test_the_next_report_comes_when_all_fillers_have_to_go(self) -> None:
        sharing, executor = self._learn_interference()
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.over_target_since_s = 100.0
        assert sharing.max_report_wait_s(executor, 101.0) == math.inf
        filler = _add_run(executor, _make_filler_step("harmless"), 900)
        due_s = 100.0 + _sharing.MAX_OVER_TARGET_S
        assert sharing.max_report_wait_s(executor, 101.0) == due_s - 101.0
        assert (
            sharing.max_report_wait_s(executor, due_s)
            == _sharing.REPORT_INTERVAL_S
        )
        filler.record_pace(0)
        assert sharing.max_report_wait_s(executor, due_s) == math.inf

    def test_the_smoothing_of_reports_is_undone(self) -> None:
        sharing = _sharing.FillerController()
        executor = _make_executor()
        serving = _add_run(executor, _SERVING_STEP, 0, since_s=-10.0)
        for number, figure in enumerate((437.0, 232.0, 129.0, 78.0)):
            serving.reported_value = figure
            sharing.learn_from_report(
                executor,
                build.clock_readings_at(number * _sharing.REPORT_INTERVAL_S),
            )
        tail_ms = TAIL_TARGET_MS / serving.headroom
        assert 20 < tail_ms < 30


class TestOutlook:
    """Verdicts on fillers are kept until an executor changes or reports."""

    def test_nothing_is_derived_again_while_nothing_changes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A pass over hundreds of executors asks for each image that waits."""
        sharing = _sharing.FillerController()
        executor = _make_executor()
        for index in range(4):
            _add_run(executor, _SERVING_STEP, index)
        steps = [_make_filler_step(f"filler-{each}") for each in range(30)]
        looked_up = []
        original = _headroom_model.HeadroomModel.headroom_loss_per_tenth

        def count(model: _headroom_model.HeadroomModel, filler: str) -> float:
            looked_up.append(filler)
            return original(model, filler)

        monkeypatch.setattr(
            _headroom_model.HeadroomModel, "headroom_loss_per_tenth", count
        )
        first = [sharing.allows_filler(each, executor) for each in steps]
        looked_up.clear()
        for _ in range(60):
            again = [sharing.allows_filler(each, executor) for each in steps]
            for step in steps:
                sharing.expected_headroom_drop(step, executor)
            assert again == first
        assert not looked_up

    @pytest.mark.parametrize("seed", range(20))
    def test_a_kept_verdict_equals_one_derived_anew(self, seed: int) -> None:
        rng = random.Random(seed)
        sharing = _sharing.FillerController()
        executor = _make_executor()
        steps = [_make_filler_step(f"filler-{each}") for each in range(3)]
        now_s = 0.0
        for index in range(60):
            now_s += 0.1
            runs = list(executor.run_by_key.values())
            match rng.choice(("serve", "fill", "remove", "report", "report")):
                case "serve":
                    _add_run(executor, _SERVING_STEP, index, since_s=now_s - 5)
                case "fill":
                    _add_run(executor, rng.choice(steps), index, since_s=now_s)
                case "remove" if runs:
                    executor.remove_run(rng.choice(runs))
                case _:
                    for run in runs:
                        run.reported_value = rng.uniform(5.0, 60.0)
                    sharing.learn_from_report(
                        executor, build.clock_readings_at(now_s)
                    )
                    sharing.adjust_fillers(
                        executor, build.clock_readings_at(now_s)
                    )
            kept = [
                (
                    sharing.allows_filler(each, executor),
                    sharing.expected_headroom_drop(each, executor),
                )
                for each in steps
            ]
            sharing.forget_executor(executor.listing.id)
            assert kept == [
                (
                    sharing.allows_filler(each, executor),
                    sharing.expected_headroom_drop(each, executor),
                )
                for each in steps
            ]

"""Tests of fillers beside serving tasks, replaying the load they answer."""

import math
import random

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _headroom_model
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state.workload import _job_spec
import workload_builders as build

TARGET_MS = 50
QUIET_MS = 10.0

_SERVING = build.step(
    size=_job_spec.Resources(6000, 1000, 0),
    image="serving",
    tail_target_ms=TARGET_MS,
    runs_until_cancelled=True,
)


def _filler(image: str, *, checkpoints: bool = True) -> _job_spec.StepSpec:
    return build.step(
        size=_job_spec.Resources(3200, 1000, 0),
        image=image,
        fills=True,
        checkpoints=checkpoints,
    )


def _executor() -> _executors.ExecutorState:
    entry = build.entry(capacity=_job_spec.Resources(32_000, 128_000, 0))
    return _executors.ExecutorState(listing=entry)


def _add(
    executor: _executors.ExecutorState,
    step: _job_spec.StepSpec,
    index: int,
    since_s: float = 0.0,
) -> _runs.Run:
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


class _Tails:
    """Reports tails as executors do: half of a new value in each interval.

    Args:
        press_by_image: Load that a tenth of an executor of a filler adds.
    """

    def __init__(self, press_by_image: dict[str, float]) -> None:
        self._press_by_image = press_by_image
        self._reported = 0.0

    def report(self, executor: _executors.ExecutorState, load: float) -> float:
        """Returns the next reported tail, in ms."""
        for run in executor.run_by_key.values():
            if run.step.fills and run.phase is _runs.RunPhase.RUNNING:
                tenths = run.step.size.cpu_millicores / 3200
                share = run.pace_percent / 100
                load += self._press_by_image[run.step.image] * tenths * share
        tail = QUIET_MS / max(0.01, 1.0 - load)
        if self._reported:
            self._reported += (tail - self._reported) / 2
        else:
            self._reported = tail
        return round(self._reported)


class TestHeadroomModel:
    """Parts are found from reports of mixtures."""

    def test_it_tells_a_harmful_filler_from_one_beside_it(self) -> None:
        model = _headroom_model.HeadroomModel(2.5)
        rng = random.Random(1)
        for _ in range(200):
            exposure = {
                "harmful": rng.choice((0.0, 1.0)),
                "harmless": rng.choice((0.0, 1.0, 2.0)),
            }
            drop = 1.5 * exposure["harmful"] + rng.gauss(0.0, 0.3)
            model.learn_headroom_drop(exposure, drop)
        assert math.isclose(
            model.headroom_loss_per_tenth("harmful"), 1.5, abs_tol=0.25
        )
        assert model.headroom_loss_per_tenth("harmless") < 0.2

    def test_a_pair_that_was_never_seen_keeps_the_prior(self) -> None:
        model = _headroom_model.HeadroomModel(2.5)
        model.learn_headroom_drop({"seen": 1.0}, 0.0)
        assert (
            model.headroom_loss_per_tenth("unseen")
            == _headroom_model.PRIOR_HEADROOM_LOSS
        )


class TestSharing:
    """Harmless fillers are placed, harmful ones are kept away."""

    def _learned(
        self,
    ) -> tuple[_sharing.FillerController, _executors.ExecutorState]:
        """Plays fillers that come and go beside a serving task."""
        sharing = _sharing.FillerController()
        executor = _executor()
        serving = _add(executor, _SERVING, 0, since_s=-10.0)
        tails = _Tails({"harmful": 0.5, "harmless": 0.01})
        now_s = 0.0
        for turn in range(60):
            filler = _add(
                executor,
                _filler(("harmful", "harmless")[turn % 2]),
                turn + 1,
                since_s=now_s,
            )
            for _ in range(4):
                now_s += _sharing.REPORT_INTERVAL_S
                serving.reported_value = tails.report(executor, load=0.4)
                sharing.learn_from_report(executor, build.at(now_s))
            executor.remove_run(filler)
        return sharing, executor

    def test_only_the_harmless_filler_is_placed(self) -> None:
        sharing, executor = self._learned()
        assert sharing.allows_filler(_filler("harmless"), executor)
        assert not sharing.allows_filler(_filler("harmful"), executor)

    def test_none_is_placed_beside_a_tail_over_its_target(self) -> None:
        """The load of the serving task itself rises for some seconds."""
        sharing, executor = self._learned()
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        tails = _Tails({"harmless": 0.01})
        now_s = 100.0
        for load in (0.4, 0.4, 0.9, 0.9, 0.9):
            now_s += _sharing.REPORT_INTERVAL_S
            serving.reported_value = tails.report(executor, load)
            sharing.learn_from_report(executor, build.at(now_s))
        serving.headroom_alone = 6.0
        assert serving.over_target_since_s is not None
        assert not sharing.allows_filler(_filler("harmless"), executor)

    def test_one_is_placed_again_once_the_reports_show_the_recovery(
        self,
    ) -> None:
        """A report keeps half of the one before it."""
        sharing, executor = self._learned()
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        tails = _Tails({"harmless": 0.01})
        now_s = 100.0
        allowed = []
        for load in (0.4, 0.95, 0.95, 0.4, 0.4, 0.4, 0.4):
            now_s += _sharing.REPORT_INTERVAL_S
            serving.reported_value = tails.report(executor, load)
            sharing.learn_from_report(executor, build.at(now_s))
            serving.headroom_alone = 6.0
            allowed.append(sharing.allows_filler(_filler("harmless"), executor))
        assert allowed == [True, False, False, False, False, True, True]

    def test_a_successor_takes_over_what_was_learned(self) -> None:
        sharing, executor = self._learned()
        successor = _sharing.FillerController()
        successor.restore_learned(sharing.export_learned())
        assert successor.allows_filler(_filler("harmless"), executor)
        assert not successor.allows_filler(_filler("harmful"), executor)

    def test_an_executor_without_serving_tasks_takes_any(self) -> None:
        sharing, _ = self._learned()
        assert sharing.allows_filler(_filler("harmful"), _executor())

    def test_a_harmful_filler_is_stopped_with_its_checkpoint(self) -> None:
        sharing, executor = self._learned()
        harmful = _add(executor, _filler("harmful"), 900, since_s=20.0)
        harmless = _add(executor, _filler("harmless"), 901, since_s=20.0)
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.6
        assert sharing.adjust_fillers(executor, build.at(25.0)) == []
        assert harmful.phase is _runs.RunPhase.STOPPING
        assert harmless.phase is _runs.RunPhase.RUNNING

    def test_one_without_checkpoints_is_slowed_and_let_go_again(
        self,
    ) -> None:
        sharing, executor = self._learned()
        harmful = _add(
            executor,
            _filler("harmful", checkpoints=False),
            900,
            since_s=20.0,
        )
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.6
        (order,) = sharing.adjust_fillers(executor, build.at(25.0))
        assert (order.run, order.percent) == (
            901,
            _sharing.THROTTLED_PACE_PERCENT,
        )
        harmful.is_pace_order_in_flight = False
        harmful.pace_percent = order.percent
        serving.headroom = serving.headroom_alone = 6.0
        (restored,) = sharing.adjust_fillers(executor, build.at(27.0))
        assert restored.percent == 100

    def test_every_filler_goes_when_the_tail_stays_over_its_target(
        self,
    ) -> None:
        sharing, executor = self._learned()
        fillers = [
            _add(executor, _filler("harmless"), 900 + n, since_s=20.0)
            for n in range(3)
        ]
        serving = next(
            run for run in executor.run_by_key.values() if run.step.is_serving
        )
        serving.headroom = 0.99
        serving.over_target_since_s = 23.0
        sharing.adjust_fillers(executor, build.at(25.0))
        assert {run.phase for run in fillers} == {_runs.RunPhase.STOPPING}

    def test_the_smoothing_of_reports_is_undone(self) -> None:
        sharing = _sharing.FillerController()
        executor = _executor()
        serving = _add(executor, _SERVING, 0, since_s=-10.0)
        for number, figure in enumerate((437.0, 232.0, 129.0, 78.0)):
            serving.reported_value = figure
            sharing.learn_from_report(
                executor, build.at(number * _sharing.REPORT_INTERVAL_S)
            )
        tail_ms = TARGET_MS / serving.headroom
        assert 20 < tail_ms < 30

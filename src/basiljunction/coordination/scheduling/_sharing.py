"""Colocation of fillers with serving tasks.

A serving task has a tail latency target; its headroom is the target divided by
its tail latency. A filler uses the CPU that other tasks leave unused.

Load pattern: a filler raises the tail latency of the serving tasks on its
executor at once, by an amount that depends on both images, while the load of
the serving tasks varies by itself over seconds. A few pairs of images cause
most of the interference. The amounts are learned from the reported tail
latencies. A filler is placed only where the tail latencies are expected to stay
below their targets; one that interferes is stopped if it saves checkpoints, and
slowed down otherwise.
"""

from collections.abc import Mapping
import dataclasses

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _headroom_model
from basiljunction.coordination.scheduling import _headroom_store
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _records

REPORT_INTERVAL_S = 0.25
"""Interval of the reports in seconds. Reported tail latencies are smoothed: a
new value contributes one half after one interval."""

MIN_PLACEMENT_HEADROOM = 1.4
"""Least expected headroom (latency target over tail latency) of a serving task
at which a filler is placed beside it: rising load takes up to 0.4 of the
headroom while a filler runs."""

MIN_HEADROOM = 1.05
"""Headroom (latency target over tail latency of a serving task) below which
fillers are stopped or slowed down."""

RECOVERY_HEADROOM = 1.4
"""Headroom (latency target over tail latency of a serving task) that stopping
or slowing fillers is meant to restore."""

OVERLOAD_HEADROOM = 0.1
"""Headroom (latency target over tail latency) below which a serving task counts
as overloaded: the tail latency then does not measure the effect of fillers."""

MAX_HEADROOM = 6.0
"""Upper bound of a measured headroom (latency target over tail latency): short
tail latencies are imprecise, since they are reported in whole milliseconds."""

LOAD_LEARNING_RATE = 0.3
"""Fraction of the estimation error of a task's headroom without fillers that
one report corrects."""

ACTION_EFFECT_DELAY_S = 0.5
"""Delay in seconds until reports show the effect of a stop or a change of pace:
two intervals of the reports."""

MAX_OVER_TARGET_S = 1.5
"""Time above the target, in seconds, after which every filler on the executor
is stopped or paused; well below the shortest violation that counts against the
scheduler."""

THROTTLED_PACE_PERCENT = 20
"""Pace, in percent of full speed, of an interfering filler that saves no
checkpoints and would lose its work if stopped."""

STARTUP_GRACE_S = 0.6
"""Time after the start of a serving task, in seconds, in which its tail latency
is ignored."""

TENTHS_PER_EXECUTOR = 10.0
"""Units of exposure in a whole executor: the headroom that fillers take is
learned per tenth of an executor's CPU."""

FULL_PACE_PERCENT = _runs.FULL_PACE_PERCENT
"""Pace, in percent of full speed, at which each run starts."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ServingOutlook:
    """What the serving tasks of an executor leave to further fillers.

    It holds while the executor's revision stays the same. In a cell of hundreds
    of executors, deriving it anew for each step that waits would take longer
    than the time between two placement passes.

    Attributes:
        revision: Revision of the executor that it was derived from.
        is_over_target: Whether a serving task is or was lately over its target.
        headroom_left_by_model: Least expected headroom beside the present
            fillers of the serving tasks of one image, by the image's model.
        verdict_by_filler: Whether a filler is allowed and the largest headroom
            loss, by its image and its CPU in millicores.
    """

    revision: int
    is_over_target: bool
    headroom_left_by_model: dict[_headroom_model.HeadroomModel, float]
    verdict_by_filler: dict[tuple[str, int], tuple[bool, float]] = (
        dataclasses.field(default_factory=dict)
    )


class FillerController:
    """Controls the fillers that run beside serving tasks.

    Fillers use spare processor time. Learns how much headroom (latency target
    over tail latency) they take from serving tasks, decides where fillers may
    be placed, and stops or slows fillers that interfere.
    """

    def __init__(self) -> None:
        self._models = _headroom_store.HeadroomStore()
        self._outlook_by_executor: dict[str, _ServingOutlook] = {}

    def export_learned(self) -> _records.LearnedHeadroomRecord:
        """Returns the learned models as a record for the next scheduler."""
        return self._models.export_learned()

    def restore_learned(self, record: _records.LearnedHeadroomRecord) -> None:
        """Restores the models that an earlier scheduler stored."""
        self._models.restore_learned(record)

    def learn_from_report(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Updates models and measured headrooms from an executor's report."""
        executor.revision += 1
        exposure = _recent_exposure(executor, now.boot_s)
        for run in executor.run_by_key.values():
            if not _has_usable_latency(run, now.boot_s):
                continue
            headroom = _measure_headroom(run, now.boot_s)
            if headroom is None:
                continue
            self._update_model(run, exposure, headroom, now.boot_s)
            run.headroom = headroom
            # The headroom is derived and may err to either side, so it does
            # not end the time over the target without the reported latency.
            if not _exceeds_target(run):
                run.over_target_since_s = None
            elif run.over_target_since_s is None:
                run.over_target_since_s = now.boot_s

    def _update_model(
        self,
        run: _runs.Run,
        exposure: Mapping[str, float],
        headroom: float,
        now_s: float,
    ) -> None:
        """Updates the model of a run's image from one measured headroom.

        `exposure` is the CPU that fillers requested beside the run, in tenths
        of the executor, by filler image.
        """
        model = self._models.update_model(run.step.image)
        headroom_alone = run.headroom_alone or model.base_headroom
        drop = model.expected_headroom_drop(exposure)
        is_saturated = headroom < OVERLOAD_HEADROOM
        if exposure and not (is_saturated and drop > headroom_alone):
            model.learn_headroom_drop(
                exposure, headroom_alone - headroom, now_s
            )
        if is_saturated:
            return
        measured_alone = headroom + model.expected_headroom_drop(exposure)
        run.headroom_alone = headroom_alone + LOAD_LEARNING_RATE * (
            measured_alone - headroom_alone
        )
        if not exposure:
            model.learn_base_headroom(headroom)

    def allows_filler(
        self,
        step: _job_spec.StepSpec,
        executor: _executors.ExecutorState,
        pace_percent: int = FULL_PACE_PERCENT,
    ) -> bool:
        """Returns whether a filler may be placed on an executor.

        All serving tasks there have to keep `MIN_PLACEMENT_HEADROOM`.

        Args:
            step: The step of the filler.
            executor: The executor.
            pace_percent: Percent of full speed at which it is to run.
        """
        if not executor.serving_count:
            return True
        is_allowed, _ = self._judge_filler(step, executor, pace_percent)
        return is_allowed

    def fits_beside_fillers(
        self,
        step: _job_spec.StepSpec,
        executor: _executors.ExecutorState,
    ) -> bool:
        """Returns whether a serving task keeps its headroom on an executor.

        The fillers that run there have to leave it `MIN_PLACEMENT_HEADROOM`.
        """
        model = self._models.model_for_image(step.image)
        headroom_left = model.base_headroom - model.expected_headroom_drop(
            _planned_exposure(executor)
        )
        return headroom_left >= MIN_PLACEMENT_HEADROOM

    def expected_headroom_drop(
        self, step: _job_spec.StepSpec, executor: _executors.ExecutorState
    ) -> float:
        """Returns the headroom that a filler is expected to take.

        It is the largest loss over the images that serve on the executor.
        """
        if not executor.serving_count:
            return 0.0
        _, drop = self._judge_filler(step, executor)
        return drop

    def _judge_filler(
        self,
        step: _job_spec.StepSpec,
        executor: _executors.ExecutorState,
        pace_percent: int = FULL_PACE_PERCENT,
    ) -> tuple[bool, float]:
        """Returns whether a filler is allowed, and the largest headroom loss.

        Both hold until the executor's runs change or it reports anew.
        """
        outlook = self._outlook_by_executor.get(executor.listing.id)
        if outlook is None or outlook.revision != executor.revision:
            outlook = self._derive_outlook(executor)
            self._outlook_by_executor[executor.listing.id] = outlook
        millicores = step.size.cpu_millicores * pace_percent // 100
        key = (step.image, millicores)
        verdict = outlook.verdict_by_filler.get(key)
        if verdict is None:
            tenths = _in_tenths_of_executor(millicores, executor)
            verdict = _assess_filler(outlook, step.image, tenths)
            outlook.verdict_by_filler[key] = verdict
        return verdict

    def _derive_outlook(
        self, executor: _executors.ExecutorState
    ) -> _ServingOutlook:
        """Returns what an executor's serving tasks leave to further fillers."""
        serving = [
            run for run in executor.run_by_key.values() if run.step.is_serving
        ]
        exposure = _planned_exposure(executor)
        headroom_left_by_model: dict[_headroom_model.HeadroomModel, float] = {}
        for run in serving:
            model = self._models.model_for_image(run.step.image)
            left = self._expected_headroom(run, exposure)
            headroom_left_by_model[model] = min(
                left, headroom_left_by_model.get(model, left)
            )
        return _ServingOutlook(
            revision=executor.revision,
            is_over_target=any(_is_over_target(run) for run in serving),
            headroom_left_by_model=headroom_left_by_model,
        )

    def forget_executor(self, executor_id: str) -> None:
        """Drops what was derived about an executor that is gone."""
        self._outlook_by_executor.pop(executor_id, None)

    def _leaves_headroom(
        self, executor: _executors.ExecutorState, exposure: Mapping[str, float]
    ) -> bool:
        """Returns whether all serving tasks keep `MIN_PLACEMENT_HEADROOM`.

        `exposure` is the CPU that fillers request, in tenths of the executor,
        by filler image.
        """
        return all(
            self._expected_headroom(run, exposure) >= MIN_PLACEMENT_HEADROOM
            for run in executor.run_by_key.values()
            if run.step.is_serving
        )

    def _expected_headroom(
        self, run: _runs.Run, exposure: Mapping[str, float]
    ) -> float:
        """Returns the expected headroom of a serving run beside fillers.

        `exposure` is the CPU that the fillers request, in tenths of the
        executor, by filler image.
        """
        model = self._models.model_for_image(run.step.image)
        return (
            run.headroom_alone or model.base_headroom
        ) - model.expected_headroom_drop(exposure)

    def adjust_fillers(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> list[_orders.PaceOrder]:
        """Stops or slows fillers that interfere, and speeds them up again.

        Fillers that save checkpoints are stopped; the others are slowed down
        until the serving tasks have enough headroom again.

        Returns:
            Orders that change the pace of fillers.
        """
        if now.boot_s - executor.fillers_adjusted_s < ACTION_EFFECT_DELAY_S:
            return []
        fillers = [
            run
            for run in executor.run_by_key.values()
            if run.step.fills and run.phase is _runs.RunPhase.RUNNING
        ]
        if not fillers:
            return []
        degraded = [
            run
            for run in executor.run_by_key.values()
            if _has_usable_latency(run, now.boot_s)
            and run.headroom > 0
            and (
                run.headroom < MIN_HEADROOM
                or _is_over_target_too_long(run, now.boot_s)
            )
        ]
        if not degraded:
            return self._restore_pace(executor, fillers, now)
        executor.fillers_adjusted_s = now.boot_s
        executor.revision += 1
        return [
            order
            for run in degraded
            for order in self._throttle_fillers(executor, run, fillers, now)
        ]

    def max_report_wait_s(
        self, executor: _executors.ExecutorState, now_s: float
    ) -> float:
        """Returns how long the next report of an executor may take, in s.

        It is due once a serving task has been over its target for
        `MAX_OVER_TARGET_S`, since all fillers beside it are stopped then.
        """
        over_since_s = min(
            (
                run.over_target_since_s
                for run in executor.run_by_key.values()
                if run.over_target_since_s is not None
            ),
            default=None,
        )
        if over_since_s is None or not any(
            _may_be_stopped_or_paused(run)
            for run in executor.run_by_key.values()
        ):
            return float("inf")
        due_s = over_since_s + MAX_OVER_TARGET_S
        return max(REPORT_INTERVAL_S, due_s - now_s)

    def slow_started_fillers(
        self, executor: _executors.ExecutorState
    ) -> list[_orders.PaceOrder]:
        """Returns the orders that slow fillers down which start slowed.

        A run starts at full pace and can be slowed down once it is there.
        """
        return [
            _make_pace_order(executor, run, THROTTLED_PACE_PERCENT)
            for run in executor.run_by_key.values()
            if run.is_slowing_due
            and run.phase is _runs.RunPhase.RUNNING
            and not run.is_pace_order_in_flight
        ]

    def _throttle_fillers(
        self,
        executor: _executors.ExecutorState,
        degraded: _runs.Run,
        fillers: list[_runs.Run],
        now: _time.Now,
    ) -> list[_orders.PaceOrder]:
        """Stops or slows fillers until one serving run should recover.

        Those that take the most headroom from the run come first.
        """
        is_over_too_long = _is_over_target_too_long(degraded, now.boot_s)
        model = self._models.model_for_image(degraded.step.image)
        missing_headroom = RECOVERY_HEADROOM - degraded.headroom
        drop_by_filler = sorted(
            (
                (model.expected_headroom_drop(_exposure_of(run, executor)), run)
                for run in fillers
            ),
            key=lambda pair: -pair[0],
        )
        orders: list[_orders.PaceOrder] = []
        for drop, run in drop_by_filler:
            if missing_headroom <= 0 and not is_over_too_long:
                break
            missing_headroom -= drop
            percent = 0 if is_over_too_long else THROTTLED_PACE_PERCENT
            if run.phase is not _runs.RunPhase.RUNNING:
                continue
            if run.step.checkpoints:
                executor.stop_run(run, now.boot_s)
            elif run.needs_slowing(percent):
                orders.append(_make_pace_order(executor, run, percent))
        return orders

    def _restore_pace(
        self,
        executor: _executors.ExecutorState,
        fillers: list[_runs.Run],
        now: _time.Now,
    ) -> list[_orders.PaceOrder]:
        """Restores full pace of one slowed filler if headroom allows it."""
        for run in fillers:
            if run.pace_percent == 100 or run.is_pace_order_in_flight:
                continue
            if now.boot_s - run.pace_answered_s < ACTION_EFFECT_DELAY_S:
                continue
            exposure = _planned_exposure(executor)
            added = run.step.size.cpu_millicores * (100 - run.pace_percent)
            image = run.step.image
            exposure[image] = exposure.get(image, 0.0) + _in_tenths_of_executor(
                added // 100, executor
            )
            if self._leaves_headroom(executor, exposure):
                return [_make_pace_order(executor, run, 100)]
        return []


def _assess_filler(
    outlook: _ServingOutlook, image: str, tenths: float
) -> tuple[bool, float]:
    """Returns whether a filler is allowed, and the largest headroom loss.

    Args:
        outlook: What the serving tasks of the executor leave to it.
        image: Image of the filler.
        tenths: CPU that the filler requests, in tenths of the executor.
    """
    drop = 0.0
    is_allowed = not outlook.is_over_target
    for model, left in outlook.headroom_left_by_model.items():
        taken = model.headroom_loss_per_tenth(image) * tenths
        drop = max(drop, taken)
        is_allowed = is_allowed and left - taken >= MIN_PLACEMENT_HEADROOM
    return is_allowed, drop


def _make_pace_order(
    executor: _executors.ExecutorState, run: _runs.Run, percent: int
) -> _orders.PaceOrder:
    """Returns an order that sets the pace of a run and marks it in flight."""
    run.is_pace_order_in_flight = True
    return _orders.PaceOrder(executor.listing.id, run.task, run.number, percent)


def _exceeds_target(run: _runs.Run) -> bool:
    """Returns whether the reported or derived latency is over its target."""
    return run.headroom < 1.0 or run.reports_over_target


def _may_be_stopped_or_paused(run: _runs.Run) -> bool:
    """Returns whether a run is a filler that works and is not being stopped."""
    return (
        run.step.fills
        and run.phase is not _runs.RunPhase.STOPPING
        and run.pace_percent > 0
    )


def _is_over_target_too_long(run: _runs.Run, now_s: float) -> bool:
    """Returns whether no filler may go on beside a run."""
    since_s = run.over_target_since_s
    return since_s is not None and now_s - since_s >= MAX_OVER_TARGET_S


def _is_over_target(run: _runs.Run) -> bool:
    """Returns whether the tail latency is above its target or was lately.

    The reported tail latency is smoothed and stays high for some reports after
    the latency itself has recovered.
    """
    return run.over_target_since_s is not None or run.reports_over_target


def _has_usable_latency(run: _runs.Run, now_s: float) -> bool:
    """Returns whether a run is a serving task with a usable tail latency."""
    return (
        run.step.is_serving
        and run.phase is _runs.RunPhase.RUNNING
        and run.reported_value > 0
        and now_s - run.phase_since_s > STARTUP_GRACE_S
    )


def _measure_headroom(run: _runs.Run, now_s: float) -> float | None:
    """Returns the headroom since the previous report; None if none is new.

    The reported tail latency is an exponential moving average that halves the
    old value in each interval. The unsmoothed latency is computed from two
    reports and the time between them.
    """
    elapsed_s = now_s - run.last_value_used_s
    if (
        run.reported_value == run.last_used_value
        and elapsed_s < 2 * REPORT_INTERVAL_S
    ):
        return None
    intervals = max(1, round(elapsed_s / REPORT_INTERVAL_S))
    old_weight = 0.5**intervals if run.last_used_value > 0 else 0.0
    tail_ms = (run.reported_value - old_weight * run.last_used_value) / (
        1.0 - old_weight
    )
    run.last_used_value = run.reported_value
    run.last_value_used_s = now_s
    least_ms = run.step.tail_target_ms / MAX_HEADROOM
    return run.step.tail_target_ms / max(tail_ms, least_ms)


def _in_tenths_of_executor(
    millicores: int, executor: _executors.ExecutorState
) -> float:
    """Returns an amount of CPU in tenths of the executor's capacity."""
    capacity = max(1, executor.listing.capacity.cpu_millicores)
    return millicores / capacity * TENTHS_PER_EXECUTOR


def _exposure_of(
    run: _runs.Run, executor: _executors.ExecutorState
) -> dict[str, float]:
    """Returns the CPU that a filler uses at its present pace.

    The result has one item: the CPU in tenths of the executor, by the filler's
    image.
    """
    size = run.step.size.cpu_millicores * run.pace_percent // 100
    return {run.step.image: _in_tenths_of_executor(size, executor)}


def _recent_exposure(
    executor: _executors.ExecutorState, now_s: float
) -> dict[str, float]:
    """Returns the CPU that fillers requested in the last report interval.

    It is given by image in tenths of the executor. Fillers that started or
    were stopped within the interval count in part.
    """
    exposure: dict[str, float] = {}
    for run in executor.run_by_key.values():
        if not run.step.fills or run.phase is _runs.RunPhase.ORDERED:
            continue
        weight = min(1.0, (now_s - run.phase_since_s) / REPORT_INTERVAL_S)
        if run.phase is _runs.RunPhase.STOPPING:
            weight = 1.0 - weight
        if weight * run.pace_percent <= 0:
            continue
        for image, tenths in _exposure_of(run, executor).items():
            exposure[image] = exposure.get(image, 0.0) + tenths * weight
    return exposure


def _planned_exposure(
    executor: _executors.ExecutorState,
) -> dict[str, float]:
    """Returns the CPU that the remaining fillers request at their pace.

    It is given by image in tenths of the executor; fillers that are being
    stopped don't count.
    """
    exposure: dict[str, float] = {}
    for run in executor.run_by_key.values():
        if not run.step.fills or run.phase is _runs.RunPhase.STOPPING:
            continue
        for image, tenths in _exposure_of(run, executor).items():
            exposure[image] = exposure.get(image, 0.0) + tenths
    return exposure

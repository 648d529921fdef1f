"""Fillers beside serving tasks.

Load pattern: a filler raises the tail of the serving tasks on its executor at
once, by an amount that depends on both images, while the load of the serving
tasks swings by itself over seconds. A few pairs do most of the harm. The
amounts are learned from the reported tails; a filler is placed only where the
tails are expected to stay under their targets, and one that harms is stopped
with its checkpoint, or slowed down if it has none.
"""

from collections.abc import Mapping

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _headroom_model
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _records

REPORT_S = 0.25
"""Interval after which a reported tail takes in half of a new value."""

PLACE_HEADROOM = 1.4
"""Headroom that has to be left beside a new filler: the load of a serving task
takes up to 0.4 of it within the life of a filler."""

RELIEF_HEADROOM = 1.05
"""Headroom below which fillers are taken away."""

RELIEVED_HEADROOM = 1.4
"""Headroom that taking fillers away aims at."""

SATURATED_HEADROOM = 0.1
"""Below this a tail only tells that the load is beyond what can be served."""

MAX_HEADROOM = 6.0
"""Bound on a headroom, as a short tail is reported in whole milliseconds."""

FIRST_HEADROOM = 2.5
"""Headroom of an unknown image: targets are some five times the least tail."""

LOAD_RATE = 0.3
"""Share of a change of a task's own load that one report corrects."""

SETTLING_S = 0.5
"""Time until a report shows an action: two intervals of the reports."""

LONGEST_OVER_S = 1.5
"""Time over the target after which every filler is taken away; well below the
shortest time that counts as harm."""

SLOW_PERCENT = 20
"""Pace of a filler that harms and cannot be stopped without losing work."""

STARTUP_S = 0.6
"""Time after its start in which a serving task's tail says nothing."""

TENTHS = 10.0
"""Parts are learned for a tenth of an executor's processors."""


class Sharing:
    """Learns what fillers do to serving tasks, and keeps tails under target."""

    def __init__(self) -> None:
        self._model_by_image: dict[str, _headroom_model.HeadroomModel] = {}

    def model(self, image: str) -> _headroom_model.HeadroomModel:
        """Returns what is known of a serving image."""
        model = self._model_by_image.get(image)
        if model is None:
            model = _headroom_model.HeadroomModel(FIRST_HEADROOM)
            self._model_by_image[image] = model
        return model

    def learned(self) -> _records.LearnedRecord:
        """Returns what a successor needs."""
        return _records.LearnedRecord(
            {
                image: model.learned()
                for image, model in self._model_by_image.items()
            }
        )

    def restore(self, record: _records.LearnedRecord) -> None:
        """Takes over what a predecessor learned."""
        for image, learned in record.by_image.items():
            self.model(image).restore(learned)

    def observe(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Learns from the newest report of an executor."""
        exposure = _recent_exposure(executor, now.boot_s)
        for run in executor.run_by_key.values():
            if not _is_measured(run, now.boot_s):
                continue
            headroom = _newest_headroom(run, now.boot_s)
            if headroom is None:
                continue
            self._learn(run, exposure, headroom)
            run.headroom = headroom
            if headroom >= 1.0:
                run.over_since_s = None
            elif run.over_since_s is None:
                run.over_since_s = now.boot_s

    def _learn(
        self, run: _runs.Run, exposure: Mapping[str, float], headroom: float
    ) -> None:
        model = self.model(run.step.image)
        alone = run.headroom_alone or model.base
        drop = model.drop(exposure)
        is_saturated = headroom < SATURATED_HEADROOM
        if exposure and not (is_saturated and drop > alone):
            model.learn(exposure, alone - headroom)
        if is_saturated:
            return
        seen = headroom + model.drop(exposure)
        run.headroom_alone = alone + LOAD_RATE * (seen - alone)
        if not exposure:
            model.learn_base(headroom)

    def allows(
        self,
        step: _job_spec.StepSpec,
        executor: _executors.ExecutorState,
    ) -> bool:
        """Returns whether a filler may be placed beside what serves there."""
        if not executor.serving_count:
            return True
        if any(_is_over_target(run) for run in executor.run_by_key.values()):
            return False
        exposure = _planned_exposure(executor)
        added = _tenths(step.size.cpu_millicores, executor)
        exposure[step.image] = exposure.get(step.image, 0.0) + added
        return self._leaves_headroom(executor, exposure)

    def suits(
        self,
        step: _job_spec.StepSpec,
        executor: _executors.ExecutorState,
    ) -> bool:
        """Returns whether a serving task fits beside the fillers there."""
        model = self.model(step.image)
        left = model.base - model.drop(_planned_exposure(executor))
        return left >= PLACE_HEADROOM

    def drop(
        self, step: _job_spec.StepSpec, executor: _executors.ExecutorState
    ) -> float:
        """Returns the most headroom that a filler takes from a task here."""
        added = {step.image: _tenths(step.size.cpu_millicores, executor)}
        images = {
            run.step.image
            for run in executor.run_by_key.values()
            if run.step.serves
        }
        return max((self.model(each).drop(added) for each in images), default=0)

    def _leaves_headroom(
        self, executor: _executors.ExecutorState, exposure: Mapping[str, float]
    ) -> bool:
        return all(
            self._expected(run, exposure) >= PLACE_HEADROOM
            for run in executor.run_by_key.values()
            if run.step.serves
        )

    def _expected(self, run: _runs.Run, exposure: Mapping[str, float]) -> float:
        model = self.model(run.step.image)
        return (run.headroom_alone or model.base) - model.drop(exposure)

    def relieve(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> list[_orders.PaceOrder]:
        """Takes fillers away where a tail is over its target, and back.

        Returns:
            Changes of pace; fillers with checkpoints are stopped instead.
        """
        if now.boot_s - executor.relieved_s < SETTLING_S:
            return []
        fillers = [
            run
            for run in executor.run_by_key.values()
            if run.step.fills and run.phase is _runs.Phase.RUNNING
        ]
        if not fillers:
            return []
        harmed = [
            run
            for run in executor.run_by_key.values()
            if _is_measured(run, now.boot_s)
            and 0 < run.headroom < RELIEF_HEADROOM
        ]
        if not harmed:
            return self._restore_pace(executor, fillers, now)
        executor.relieved_s = now.boot_s
        return [
            order
            for run in harmed
            for order in self._relieve_run(executor, run, fillers, now)
        ]

    def _relieve_run(
        self,
        executor: _executors.ExecutorState,
        harmed: _runs.Run,
        fillers: list[_runs.Run],
        now: _time.Now,
    ) -> list[_orders.PaceOrder]:
        """Takes the worst fillers away until the tail should recover."""
        since_s = harmed.over_since_s
        is_long = since_s is not None and (
            now.boot_s - since_s > LONGEST_OVER_S
        )
        model = self.model(harmed.step.image)
        missing = RELIEVED_HEADROOM - harmed.headroom
        drop_by_filler = sorted(
            ((model.drop(_exposure_of(run, executor)), run) for run in fillers),
            key=lambda pair: -pair[0],
        )
        orders: list[_orders.PaceOrder] = []
        for drop, run in drop_by_filler:
            if missing <= 0 and not is_long:
                break
            missing -= drop
            percent = 0 if is_long else SLOW_PERCENT
            if run.phase is not _runs.Phase.RUNNING:
                continue
            if run.step.checkpoints:
                run.stop(now.boot_s)
            elif run.pace_percent > percent and not run.pace_in_flight:
                orders.append(_pace(executor, run, percent))
        return orders

    def _restore_pace(
        self,
        executor: _executors.ExecutorState,
        fillers: list[_runs.Run],
        now: _time.Now,
    ) -> list[_orders.PaceOrder]:
        """Lets one slowed filler work on at full speed if tails allow it."""
        for run in fillers:
            if run.pace_percent == 100 or run.pace_in_flight:
                continue
            if now.boot_s - run.paced_s < SETTLING_S:
                continue
            exposure = _planned_exposure(executor)
            added = run.step.size.cpu_millicores * (100 - run.pace_percent)
            image = run.step.image
            exposure[image] = exposure.get(image, 0.0) + _tenths(
                added // 100, executor
            )
            if self._leaves_headroom(executor, exposure):
                return [_pace(executor, run, 100)]
        return []


def _pace(
    executor: _executors.ExecutorState, run: _runs.Run, percent: int
) -> _orders.PaceOrder:
    run.pace_in_flight = True
    return _orders.PaceOrder(executor.entry.id, run.task, run.number, percent)


def _is_over_target(run: _runs.Run) -> bool:
    """Returns whether a tail is over its target or only just recovers.

    The reported tail is smoothed and still high for some reports after the
    newest one is good again.
    """
    if not run.step.serves:
        return False
    return run.over_since_s is not None or run.figure > run.step.tail_target_ms


def _is_measured(run: _runs.Run, now_s: float) -> bool:
    return (
        run.step.serves
        and run.phase is _runs.Phase.RUNNING
        and run.figure > 0
        and now_s - run.since_s > STARTUP_S
    )


def _newest_headroom(run: _runs.Run, now_s: float) -> float | None:
    """Returns the headroom since the report before; None if nothing is new.

    A reported tail takes in half of a new value in each interval; the new
    value follows from two reports and the time between them.
    """
    past_s = now_s - run.figure_s
    if run.figure == run.last_figure and past_s < 2 * REPORT_S:
        return None
    intervals = max(1, round(past_s / REPORT_S))
    kept = 0.5**intervals if run.last_figure > 0 else 0.0
    tail_ms = (run.figure - kept * run.last_figure) / (1.0 - kept)
    run.last_figure = run.figure
    run.figure_s = now_s
    least_ms = run.step.tail_target_ms / MAX_HEADROOM
    return run.step.tail_target_ms / max(tail_ms, least_ms)


def _tenths(millicores: int, executor: _executors.ExecutorState) -> float:
    capacity = max(1, executor.entry.capacity.cpu_millicores)
    return millicores / capacity * TENTHS


def _exposure_of(
    run: _runs.Run, executor: _executors.ExecutorState
) -> dict[str, float]:
    size = run.step.size.cpu_millicores * run.pace_percent // 100
    return {run.step.image: _tenths(size, executor)}


def _recent_exposure(
    executor: _executors.ExecutorState, now_s: float
) -> dict[str, float]:
    """Returns what fillers did in the last interval, in tenths by image."""
    exposure: dict[str, float] = {}
    for run in executor.run_by_key.values():
        if not run.step.fills or run.phase is _runs.Phase.ORDERED:
            continue
        weight = min(1.0, (now_s - run.since_s) / REPORT_S)
        if run.phase is _runs.Phase.STOPPING:
            weight = 1.0 - weight
        if weight * run.pace_percent <= 0:
            continue
        for image, tenths in _exposure_of(run, executor).items():
            exposure[image] = exposure.get(image, 0.0) + tenths * weight
    return exposure


def _planned_exposure(
    executor: _executors.ExecutorState,
) -> dict[str, float]:
    """Returns what the fillers here do at their present pace, by image."""
    exposure: dict[str, float] = {}
    for run in executor.run_by_key.values():
        if not run.step.fills or run.phase is _runs.Phase.STOPPING:
            continue
        for image, tenths in _exposure_of(run, executor).items():
            exposure[image] = exposure.get(image, 0.0) + tenths
    return exposure

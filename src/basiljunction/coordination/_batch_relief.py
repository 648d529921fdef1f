"""Throttles and evicts batch tasks on workers under pressure.

Pressure means that latency-critical work on the worker is slowed
down, or that cores or memory run short.
"""

import dataclasses
import math

from basiljunction.coordination import _batch_attempts
from basiljunction.coordination import _batch_context
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _batch_model
from basiljunction.coordination import _eviction
from basiljunction.coordination import _throttle
from basiljunction.state import _job

LATENCY_MAX_AGE_S = 10.0
"""Maximum age of a latency report that counts as current, in seconds."""

PRESSURE_BACKOFF_S = 30.0
"""Time that a worker accepts no new tasks after high pressure, in seconds."""

CHECK_INTERVAL_S = 0.5
"""Time between two checks of throttled workers, in seconds."""

MIN_LOG_SLOWDOWN = 1e-3
"""Lower bound of the log slowdown that a task is assumed to cause. It keeps
the ratio of loss to harm finite."""

BASELINE_SMOOTHING = 0.3
"""Weight of a new measurement in the moving average of the undisturbed
latency, as a share from 0 to 1."""

_Phase = _batch_model.Phase
_CORE_USING_PHASES = (_Phase.RUNNING, _Phase.CHECKPOINTING)


@dataclasses.dataclass(slots=True)
class _ServiceObservation:
    """The latest report on latency-critical work on a worker.

    Attributes:
        level: Pressure that the report shows.
        boot_s: When it arrived, on the monotonic clock.
        class_key: Customer and class of the latency-critical work.
    """

    level: _throttle.PressureLevel
    boot_s: float
    class_key: str


class PressureRelief:
    """Relieves workers under pressure by throttling or evicting batch tasks.

    Args:
        context: State and tables shared by the parts of the batch core.
        attempts: Ends the attempts that are evicted.
    """

    def __init__(
        self,
        context: _batch_context.BatchContext,
        attempts: _batch_attempts.AttemptDriver,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._gauge_by_machine: dict[str, _throttle.PressureState] = {}
        self._observation_by_machine: dict[str, _ServiceObservation] = {}
        self._unsent_fraction_by_task: dict[str, float] = {}
        self._next_check_boot_s = 0.0

    def process_latency_report(
        self, event: _batch_events.ServiceLatencyMeasured
    ) -> None:
        """Processes a latency report of latency-critical work on a worker.

        Updates the undisturbed latency and the learned interference, then
        relieves the worker at once if that work is slowed down.
        """
        context = self._context
        worker = context.worker_by_machine.get(event.machine)
        if worker is None:
            return
        class_key = f"{event.customer}/{event.class_name}"
        base = event.latency_ratio / max(1.0, event.slowdown)
        known = worker.undisturbed_ratio_by_service.get(class_key, base)
        worker.undisturbed_ratio_by_service[class_key] = (
            known + BASELINE_SMOOTHING * (base - known)
        )
        context.interference.record_slowdown(
            class_key, worker.speed_weight_by_class(), event.slowdown
        )
        level = _throttle.classify_service_latency(
            event.latency_ratio, event.slowdown
        )
        previous = self._observation_by_machine.get(event.machine)
        if previous is not None and previous.boot_s == context.now.boot_s:
            level = _throttle.highest_level(level, previous.level)
        self._observation_by_machine[event.machine] = _ServiceObservation(
            level, context.now.boot_s, class_key
        )
        self.relieve_pressure(worker)

    def relieve_pressure(self, worker: _batch_model.Worker) -> None:
        """Re-evaluates a worker's pressure and acts on the result.

        Called after each report on the worker. Throttles, evicts or
        unthrottles batch tasks as its pressure gauge says; at high pressure
        the worker also stops accepting new tasks.
        """
        if self._relieve_memory_shortage(worker):
            return
        gauge = self._gauge_by_machine.setdefault(
            worker.machine, _throttle.PressureState()
        )
        level = self._pressure_level(worker)
        step = gauge.choose_action(level, self._context.now.boot_s)
        if level is _throttle.PressureLevel.HIGH:
            worker.no_new_tasks_until_boot_s = max(
                worker.no_new_tasks_until_boot_s,
                self._context.now.boot_s + PRESSURE_BACKOFF_S,
            )
            worker.no_new_tasks_reason = (
                worker.no_new_tasks_reason or "it is under pressure"
            )
        match step:
            case _throttle.ThrottleAction.THROTTLE:
                self._throttle_most_harmful(worker)
            case _throttle.ThrottleAction.EVICT:
                self._evict_least_loss(worker)
            case _throttle.ThrottleAction.RELAX if self._can_unthrottle(worker):
                self._unthrottle_all(worker)
            case _throttle.ThrottleAction.RELAX:
                gauge.is_throttled = True
            case _throttle.ThrottleAction.NOTHING:
                return

    def schedule_throttle_retry(self, attempt: _batch_model.Attempt) -> None:
        """Schedules a retry of a throttle call that may have been lost."""
        self._unsent_fraction_by_task[attempt.ref.task_id] = (
            attempt.speed_fraction
        )

    def check_throttled_workers(self) -> None:
        """Retries lost throttle calls and re-evaluates throttled workers.

        A throttled worker whose pressure has gone is unthrottled.
        """
        if self._context.now.boot_s < self._next_check_boot_s:
            return
        self._next_check_boot_s = self._context.now.boot_s + CHECK_INTERVAL_S
        unsent_fraction_by_task, self._unsent_fraction_by_task = (
            self._unsent_fraction_by_task,
            {},
        )
        for task_id, fraction in unsent_fraction_by_task.items():
            attempt = self._context.attempt_by_task.get(task_id)
            if attempt is not None and attempt.phase is _Phase.RUNNING:
                self._set_throttle_fraction(attempt, fraction)
        for machine, gauge in list(self._gauge_by_machine.items()):
            worker = self._context.worker_by_machine.get(machine)
            if worker is None:
                del self._gauge_by_machine[machine]
            elif gauge.is_throttled:
                self.relieve_pressure(worker)

    def _pressure_level(
        self, worker: _batch_model.Worker
    ) -> _throttle.PressureLevel:
        """Returns the higher of core pressure and current service pressure."""
        level = self._cores_pressure_level(worker)
        observation = self._observation_by_machine.get(worker.machine)
        if observation is None:
            return level
        if self._context.now.boot_s - observation.boot_s > LATENCY_MAX_AGE_S:
            return level
        return _throttle.highest_level(level, observation.level)

    def _cores_pressure_level(
        self, worker: _batch_model.Worker
    ) -> _throttle.PressureLevel:
        """Returns the pressure on the worker's cores.

        Tasks may use all the cores that they declared. So the level is low
        unless declared or reserved cores exceed the worker's capacity.
        """
        attempts = worker.attempt_by_task.values()
        declared = sum(each.spec.demand.millicores for each in attempts)
        capacity = worker.capacity.millicores
        if declared <= capacity and worker.free_millicores >= 0:
            return _throttle.PressureLevel.LOW
        used = sum(
            each.latest_report.millicores_used
            for each in attempts
            if each.latest_report is not None
            and each.phase in _CORE_USING_PHASES
        )
        return _throttle.classify_cores(used / max(1, capacity))

    def _relieve_memory_shortage(self, worker: _batch_model.Worker) -> bool:
        """Evicts tasks if more memory is reserved than the worker has.

        Throttling would not free memory. Returns whether memory is short.
        """
        if worker.free_memory_mib >= 0:
            return False
        needed = _job.ResourceDemand(0, -worker.free_memory_mib)
        ending = sum(
            attempt.reserved.memory_mib
            for attempt in worker.attempt_by_task.values()
            if attempt.end_goal is not _batch_model.EndGoal.NONE
        )
        if ending >= needed.memory_mib:
            return True
        victims = _eviction.choose_victims(
            self._running_attempts(worker), needed
        )
        for victim in victims:
            self._evict(victim, "memory on its worker is short")
        return True

    def _running_attempts(
        self, worker: _batch_model.Worker
    ) -> list[_batch_model.Attempt]:
        """Returns the running attempts on a worker, which may be evicted."""
        return [
            attempt
            for attempt in worker.attempt_by_task.values()
            if attempt.phase is _Phase.RUNNING
        ]

    def _throttle_most_harmful(self, worker: _batch_model.Worker) -> None:
        """Throttles the most harmful tasks, about half by reserved cores."""
        observation = self._observation_by_machine.get(worker.machine)
        service = observation.class_key if observation else ""

        def harm(attempt: _batch_model.Attempt) -> tuple[bool, float, int]:
            """Returns a sort key: most harmful first, standing ones last."""
            part = self._context.interference.log_slowdown(
                service, attempt.class_key
            )
            return (attempt.is_standing, -part, -attempt.reserved.millicores)

        attempts = sorted(self._running_attempts(worker), key=harm)
        total = sum(each.reserved.millicores for each in attempts)
        covered = 0
        for attempt in attempts:
            if covered * 2 >= total:
                break
            covered += attempt.reserved.millicores
            self._set_throttle_fraction(attempt, _throttle.THROTTLED_FRACTION)
            self._context.explain(
                attempt.ref.task_id,
                "throttle",
                f"to {_throttle.THROTTLED_FRACTION:g} to relieve pressure "
                f"on {worker.machine}",
            )

    def _can_unthrottle(self, worker: _batch_model.Worker) -> bool:
        """Returns whether full speed likely keeps the pressure below high."""
        for service, base in worker.undisturbed_ratio_by_service.items():
            log_slowdown = self._context.interference.expected_log_slowdown(
                service, worker.count_by_class
            )
            slowdown = math.exp(log_slowdown)
            level = _throttle.classify_service_latency(
                base * slowdown, slowdown
            )
            if level is _throttle.PressureLevel.HIGH:
                return False
        return True

    def _unthrottle_all(self, worker: _batch_model.Worker) -> None:
        """Returns every throttled attempt on a worker to full speed."""
        for attempt in self._running_attempts(worker):
            if attempt.speed_fraction < 1.0:
                self._set_throttle_fraction(attempt, 1.0)
                self._context.explain(
                    attempt.ref.task_id, "unthrottle", worker.machine
                )

    def _set_throttle_fraction(
        self, attempt: _batch_model.Attempt, fraction: float
    ) -> None:
        """Tells the worker to run an attempt at a fraction of full speed.

        A call that cannot be sent is retried by `tick`.
        """
        worker = self._context.worker_by_machine[attempt.machine]
        attempt.speed_fraction = fraction
        request = _batch_events.ThrottleTask(attempt.ref, fraction)
        if self._context.call_worker(worker, request) is None:
            self._unsent_fraction_by_task[attempt.ref.task_id] = fraction

    def _evict_least_loss(self, worker: _batch_model.Worker) -> None:
        """Evicts one attempt, preferring throttled ones and a small loss.

        Where latency-critical work is slowed down, the loss is weighed
        against the slowdown that the attempt causes. Standing watches are
        never evicted here.
        """
        attempts = self._running_attempts(worker)
        throttled = [each for each in attempts if each.speed_fraction < 1.0]
        observation = self._observation_by_machine.get(worker.machine)
        if (
            observation is not None
            and observation.level is _throttle.PressureLevel.HIGH
        ):
            ordered = self._order_by_loss_per_harm(
                throttled or attempts, observation.class_key
            )
        else:
            ordered = _eviction.sort_by_expected_loss(throttled or attempts)
        movable = [each for each in ordered if not each.is_standing]
        if movable:
            self._evict(
                movable[0],
                "its worker is still under pressure after throttling",
            )

    def _order_by_loss_per_harm(
        self, attempts: list[_batch_model.Attempt], service: str
    ) -> list[_batch_model.Attempt]:
        """Sorts attempts by expected loss per unit of harm, lowest first."""
        learned = self._context.interference

        def cost(attempt: _batch_model.Attempt) -> float:
            """Returns the expected loss over the log slowdown it causes."""
            part = learned.log_slowdown(service, attempt.class_key)
            return _eviction.expected_loss_core_s(attempt) / max(
                part, MIN_LOG_SLOWDOWN
            )

        return sorted(attempts, key=cost)

    def _evict(self, attempt: _batch_model.Attempt, reason: str) -> None:
        """Evicts an attempt, reporting the work not saved by a checkpoint."""
        loss = attempt.unsaved_core_s
        self._attempts.begin_ending(
            attempt,
            _batch_model.EndGoal.EVICT,
            f"{reason}; {loss:.0f} core-seconds were unsaved",
        )

"""Simulates a worker in memory whose tasks slow each other down."""

from collections.abc import Mapping
import dataclasses
import math

from basiljunction.coordination import _batch_events
from basiljunction.state import _job

_State = _batch_events.WorkerTaskState
"""States of an attempt that a worker reports."""


@dataclasses.dataclass(slots=True)
class TaskBehavior:
    """How a task actually behaves, compared to what its job declared.

    Attributes:
        core_use_ratio: Used cores divided by declared cores.
        memory_use_ratio: Used memory divided by declared memory.
        run_time_s: Run time without interference, in seconds.
    """

    core_use_ratio: float = 1.0
    memory_use_ratio: float = 1.0
    run_time_s: float = 60.0


@dataclasses.dataclass(slots=True)
class SimulatedTask:
    """One attempt on a simulated worker.

    Attributes:
        start_request: Call that started the attempt.
        behavior: Actual behavior of the task.
        progress_s: Work done, in seconds of undisturbed run time.
        checkpointed_s: Progress at the latest checkpoint.
        speed_fraction: Share of full speed that throttling leaves, 0 to 1.
        state: State that the worker reports.
        slowdown: Current slowdown factor due to interference; 1 is none.
    """

    start_request: _batch_events.StartTask
    behavior: TaskBehavior
    progress_s: float
    checkpointed_s: float
    speed_fraction: float = 1.0
    state: _State = _State.RUNNING
    slowdown: float = 1.0


class SimulatedWorker:
    """A worker whose tasks run slower the more the tasks beside them interfere.

    Args:
        name: Name of the worker.
        capacity: Capacity of the worker.
        behavior_by_task: Actual behavior, by task id; other tasks behave as
            declared.
        log_slowdown_by_pair: Actual log slowdown that one task of the second
            class causes to the first, by ``(victim, other)`` class keys.
        service_key: Latency-critical class on the worker, as
            ``customer/class``; empty for none.

    Attributes:
        task_by_ref: Attempts that the worker knows, by reference.
        lost_core_s: Work lost by stopped tasks since their last checkpoint.
        peak_core_share: Highest ratio of used to available cores so far.
    """

    def __init__(
        self,
        name: str,
        *,
        capacity: _job.ResourceDemand,
        behavior_by_task: Mapping[str, TaskBehavior] | None = None,
        log_slowdown_by_pair: Mapping[tuple[str, str], float] | None = None,
        service_key: str = "",
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.service_key = service_key
        self._behavior_by_task = (
            {} if behavior_by_task is None else behavior_by_task
        )
        self._log_slowdown_by_pair = (
            {} if log_slowdown_by_pair is None else log_slowdown_by_pair
        )
        self.task_by_ref: dict[_batch_events.TaskRef, SimulatedTask] = {}
        self.lost_core_s = 0.0
        self.peak_core_share = 0.0
        self._advanced_boot_s: float | None = None

    def running_tasks(self) -> list[SimulatedTask]:
        """Returns the attempts in the state RUNNING."""
        return [
            task
            for task in self.task_by_ref.values()
            if task.state is _State.RUNNING
        ]

    def service_slowdown(self) -> float:
        """Returns the current slowdown factor of the service on this worker."""
        log_slowdown = sum(
            self._log_slowdown(self.service_key, task) * task.speed_fraction
            for task in self.running_tasks()
        )
        return math.exp(log_slowdown)

    def used_cores(self) -> float:
        """Returns the cores in use; throttling reduces a task's use."""
        return sum(
            task.start_request.demand.millicores
            / 1000
            * task.behavior.core_use_ratio
            * task.speed_fraction
            for task in self.running_tasks()
        )

    def advance_tasks(self, now_boot_s: float) -> None:
        """Advances all running tasks to a time and completes finished ones.

        Args:
            now_boot_s: The current time since boot, in seconds.
        """
        elapsed_s = now_boot_s - (self._advanced_boot_s or now_boot_s)
        self._advanced_boot_s = now_boot_s
        running_tasks = self.running_tasks()
        capacity = self.capacity.millicores / 1000
        share = self.used_cores() / max(1.0, capacity)
        self.peak_core_share = max(self.peak_core_share, share)
        crowding = max(1.0, share)
        for task in running_tasks:
            log_slowdown = sum(
                self._log_slowdown(_class_key(task), other)
                * other.speed_fraction
                for other in running_tasks
                if other is not task
            )
            log_slowdown += self._log_slowdown_by_pair.get(
                (_class_key(task), self.service_key), 0.0
            )
            task.slowdown = crowding * math.exp(log_slowdown)
            task.progress_s += elapsed_s * task.speed_fraction / task.slowdown
            if task.progress_s >= task.behavior.run_time_s:
                task.state = _State.COMPLETED

    def answer_request(
        self, request: _batch_events.WorkerRequest, now_boot_s: float
    ) -> _batch_events.WorkerAnswered:
        """Executes one call of the core and returns the worker's answer.

        Attempts that have ended are deleted once they have been reported.
        """
        self.advance_tasks(now_boot_s)
        match request:
            case _batch_events.StartTask():
                self._start_task(request)
                return _batch_events.WorkerAnswered(self.name, request)
            case _batch_events.RenewLeases():
                refs = request.refs
            case _batch_events.ListTasks():
                refs = tuple(self.task_by_ref)
            case _:
                refs = (request.ref,)
                self._change_task(request)
        reports = tuple(self._make_report(ref) for ref in refs)
        for ref in refs:
            task = self.task_by_ref.get(ref)
            if task is not None and task.state is not _State.RUNNING:
                del self.task_by_ref[ref]
        return _batch_events.WorkerAnswered(self.name, request, reports)

    def _start_task(self, request: _batch_events.StartTask) -> None:
        """Adds the attempt at the progress that the call names."""
        behavior = self._behavior_by_task.get(request.ref.task_id)
        self.task_by_ref[request.ref] = SimulatedTask(
            start_request=request,
            behavior=behavior or TaskBehavior(run_time_s=request.run_time_s),
            progress_s=request.progress_s,
            checkpointed_s=request.progress_s,
        )

    def _change_task(
        self,
        request: _batch_events.ThrottleTask
        | _batch_events.CheckpointTask
        | _batch_events.StopTask,
    ) -> None:
        """Throttles, checkpoints or stops a running attempt."""
        task = self.task_by_ref.get(request.ref)
        if task is None or task.state is not _State.RUNNING:
            return
        match request:
            case _batch_events.ThrottleTask():
                task.speed_fraction = request.fraction
            case _batch_events.CheckpointTask():
                task.checkpointed_s = task.progress_s
            case _batch_events.StopTask():
                task.state = _State.STOPPED
                lost_s = task.progress_s - task.checkpointed_s
                cores = task.start_request.demand.millicores / 1000
                self.lost_core_s += (
                    lost_s * cores * task.behavior.core_use_ratio
                )

    def _make_report(
        self, ref: _batch_events.TaskRef
    ) -> _batch_events.TaskReport:
        """Returns the report of an attempt; UNKNOWN if it is not present."""
        task = self.task_by_ref.get(ref)
        if task is None:
            return _batch_events.TaskReport(ref, _State.UNKNOWN)
        is_running = task.state is _State.RUNNING
        is_whole = is_running or task.state is _State.COMPLETED
        demand = task.start_request.demand
        return _batch_events.TaskReport(
            ref=ref,
            state=task.state,
            checkpoint=f"saved-{task.checkpointed_s:.1f}",
            progress_s=task.progress_s if is_whole else task.checkpointed_s,
            millicores_used=int(
                demand.millicores
                * task.behavior.core_use_ratio
                * task.speed_fraction
            ),
            memory_mib_used=int(
                demand.memory_mib * task.behavior.memory_use_ratio
            ),
            slowdown=task.slowdown,
        )

    def _log_slowdown(self, victim: str, other: SimulatedTask) -> float:
        """Returns the log slowdown that a task causes to a class, or 0."""
        return self._log_slowdown_by_pair.get((victim, _class_key(other)), 0.0)


def _class_key(task: SimulatedTask) -> str:
    """Returns a task's class as ``customer/class``."""
    return f"{task.start_request.customer}/{task.start_request.class_name}"

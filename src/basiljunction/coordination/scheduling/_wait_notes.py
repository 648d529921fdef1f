"""Logs why tasks of idle jobs and lasting tasks wait.

An idle job has nothing running. A lasting task runs until its job is cancelled.
Each executor that accepts new tasks is counted by the first condition that
keeps a task from starting on it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import itertools

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _inherited_runs
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec

NOTE_INTERVAL_S = 1.0
"""Interval between two log entries, in seconds."""

MIN_NOTED_WAIT_S = 3.0
"""Wait from which on it is logged, in seconds: the time in which a task must
start if capacity is free."""


class Refusal(enum.Enum):
    """Condition that keeps a task from starting on an executor.

    Attributes:
        UNSUITABLE: The executor lacks the label, or is too small when empty.
        NO_ROOM: Other tasks have reserved what it needs.
        STEP_LIMIT: It runs as many tasks of the step as are allowed.
        NO_UNUSED_PROCESSOR: Other tasks leave a filler too little processor
            time.
        SERVING_TASKS: The serving tasks would come near their target, even
            beside a filler at a reduced pace.
        FULL_PACE: They allow a filler at a reduced pace only, at which one
            starts only while much of the capacity is free.
        NONE: The executor could take it; what holds it back is not there.
    """

    UNSUITABLE = "unsuitable"
    NO_ROOM = "no_room"
    STEP_LIMIT = "step_limit"
    NO_UNUSED_PROCESSOR = "no_unused_processor"
    SERVING_TASKS = "serving_tasks"
    FULL_PACE = "full_pace"
    NONE = "startable"


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """The wait of a task.

    Attributes:
        ready_s: Time since which it could start, in seconds.
        index: Rank of its job, which decides between equal waits.
        job: Its job.
        task: The task.
    """

    ready_s: float
    index: int
    job: _jobs.Job
    task: _job_spec.TaskId

    @property
    def step(self) -> _job_spec.StepSpec:
        """Returns the step of the task."""
        return self.job.spec.steps[self.task.step]


class WaitNotes:
    """Logs the longest waits of idle jobs and of lasting tasks.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._next_note_s = float("-inf")

    def note_longest_waits(
        self,
        jobs: Iterable[_jobs.Job],
        executors_by_service: Mapping[str, Sequence[_executors.ExecutorState]],
        now: _time.Now,
    ) -> None:
        """Logs the longest waits at intervals, if they are long.

        One is that of a job that has nothing running, the other that of a
        lasting task. Only the first waiting task of each step counts; a step
        may have a hundred thousand.

        Args:
            jobs: The jobs with waiting tasks.
            executors_by_service: Executors that accept new tasks.
            now: The time.
        """
        if now.boot_s < self._next_note_s:
            return
        self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        waits = _first_waits(jobs)
        for event, is_included in _FILTER_BY_EVENT.items():
            included = [each for each in waits if is_included(each)]
            if not included:
                continue
            longest = min(included, key=lambda each: (each.ready_s, each.index))
            if now.boot_s - longest.ready_s < MIN_NOTED_WAIT_S:
                continue
            executors = executors_by_service.get(longest.job.queue.service, ())
            self._note(
                event,
                longest,
                executors,
                len({each.job.id for each in included}),
                now,
            )

    def _note(
        self,
        event: str,
        wait: _Wait,
        executors: Sequence[_executors.ExecutorState],
        waiting_jobs: int,
        now: _time.Now,
    ) -> None:
        """Logs a wait with the executors that it may be due to."""
        count_by_refusal = dict.fromkeys(Refusal, 0)
        for executor in executors:
            refusal = find_refusal(
                wait.step, wait.task, executor, self._cell.sharing
            )
            count_by_refusal[refusal] += 1
        task = wait.task
        self._cell.note(
            event,
            task=str(task),
            waited_s=round(now.boot_s - wait.ready_s, 3),
            waiting_jobs=waiting_jobs,
            may_run_unlisted=_inherited_runs.may_run_unlisted(
                self._cell, wait.job, _cell_state.place_in_job(task)
            ),
            suspect=wait.job.needs_isolated_start(task),
            usable_executors=len(executors),
            **{
                refusal.value: count
                for refusal, count in count_by_refusal.items()
                if count
            },
        )


def _first_waits(jobs: Iterable[_jobs.Job]) -> list[_Wait]:
    """Returns the wait of the first waiting task of each step."""
    return [
        _Wait(
            ready_s,
            index,
            job,
            _job_spec.TaskId(
                job.id, waiting.occurrence, waiting.step, task_index
            ),
        )
        for index, job in enumerate(jobs)
        for waiting in job.waiting_tasks_by_step.values()
        for task_index, ready_s in itertools.islice(
            waiting.ready_s_by_index.items(), 1
        )
    ]


def _is_of_idle_job(wait: _Wait) -> bool:
    """Returns whether the job has nothing running."""
    return not wait.job.running_places


def _is_of_lasting_task(wait: _Wait) -> bool:
    """Returns whether the task runs until its job is cancelled."""
    return wait.step.runs_until_cancelled


_FILTER_BY_EVENT: Mapping[str, Callable[[_Wait], bool]] = {
    "task.waits": _is_of_idle_job,
    "task.lasting-waits": _is_of_lasting_task,
}
"""Waits of which the longest is logged, by the name of the log event."""


def find_refusal(
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    executor: _executors.ExecutorState,
    sharing: _sharing.FillerController,
) -> Refusal:
    """Returns the first condition that keeps a task off an executor.

    Args:
        step: The step of the task.
        task: The task.
        executor: An executor that accepts new tasks.
        sharing: Decides where fillers may be placed.
    """
    if not _placement.is_eligible(step, executor):
        return Refusal.UNSUITABLE
    if not executor.free_capacity.covers(step.reserved_resources):
        return Refusal.NO_ROOM
    if not _placement.is_below_executor_limit(step, task, executor):
        return Refusal.STEP_LIMIT
    if step.fills:
        return _find_refusal_of_filler(step, executor, sharing)
    return Refusal.NONE


def _find_refusal_of_filler(
    step: _job_spec.StepSpec,
    executor: _executors.ExecutorState,
    sharing: _sharing.FillerController,
) -> Refusal:
    """Returns the first condition that keeps a filler off an executor.

    Args:
        step: The step of the filler.
        executor: An executor with free capacity for what it reserves.
        sharing: Decides where fillers may be placed.
    """
    if not sharing.allows_filler(
        step, executor, _sharing.THROTTLED_PACE_PERCENT
    ):
        return Refusal.SERVING_TASKS
    if not _placement.has_capacity(step, executor):
        return Refusal.NO_UNUSED_PROCESSOR
    if not sharing.allows_filler(step, executor):
        return Refusal.FULL_PACE
    return Refusal.NONE

"""Logs why tasks of idle jobs and lasting tasks wait.

An idle job has nothing running. A lasting task runs until its job is cancelled.
Each executor that accepts new tasks is counted by the first condition that
keeps a task from starting on it.
"""

import collections
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
        turn_s: Time since which it could start, in seconds.
        index: Rank of its job, which decides between equal waits.
        job: Its job.
        task: The task.
        sent_to: Executor to which a start of it was sent that is not known to
            have begun; empty if there is none.
    """

    turn_s: float
    index: int
    job: _jobs.Job
    task: _job_spec.TaskId
    sent_to: str = ""

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
        jobs: Sequence[_jobs.Job],
        executors_by_service: Mapping[str, Sequence[_executors.ExecutorState]],
        now: _time.Now,
    ) -> None:
        """Logs the longest waits at intervals, if they are long.

        One is that of a job that has nothing running, the other that of a
        lasting task. Only the first waiting task of each step counts, as a step
        may have a hundred thousand, and those whose start was sent in vain or
        is not known to have begun.

        Args:
            jobs: The jobs with waiting tasks.
            executors_by_service: Executors that accept new tasks.
            now: The time.
        """
        if now.boot_s < self._next_note_s:
            return
        self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        unbegun = self._waits_of_unbegun_runs()
        unbegun_count_by_job = collections.Counter(e.job.id for e in unbegun)
        waits = [*_first_waits(jobs), *_repeated_waits(jobs), *unbegun]
        included_by_event = {
            "task.waits": [
                each
                for each in waits
                if len(each.job.running_places)
                <= unbegun_count_by_job[each.job.id]
            ],
            "task.lasting-waits": [
                each for each in waits if each.step.runs_until_cancelled
            ],
        }
        for event, included in included_by_event.items():
            if not included:
                continue
            longest = min(included, key=lambda each: (each.turn_s, each.index))
            if now.boot_s - longest.turn_s < MIN_NOTED_WAIT_S:
                continue
            executors = executors_by_service.get(longest.job.queue.service, ())
            self._note(
                event,
                longest,
                executors,
                len({each.job.id for each in included}),
                now,
            )

    def _waits_of_unbegun_runs(self) -> list[_Wait]:
        """Returns the waits of tasks whose run is not known to have begun."""
        cell = self._cell
        return [
            _Wait(run.turn_s, len(cell.job_by_id), job, task, run.executor)
            for task, run in cell.current_run_by_task.items()
            if not run.was_confirmed
            and (job := cell.find_job(task)) is not None
            and job.is_active
        ]

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
            waited_s=round(now.boot_s - wait.turn_s, 3),
            sent_to=wait.sent_to,
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
        for task_index, ready_s in itertools.islice(waiting.items(), 1)
    ]


def _repeated_waits(jobs: Iterable[_jobs.Job]) -> list[_Wait]:
    """Returns the waits of waiting tasks whose start was sent in vain."""
    return [
        _Wait(turn_s, index, job, _job_spec.TaskId(job.id, *place))
        for index, job in enumerate(jobs)
        for place, turn_s in job.turn_s_by_place.items()
    ]


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

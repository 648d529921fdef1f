"""Logs why a job has nothing running although its tasks could start.

Each executor that accepts new tasks is counted by the first condition that
keeps a task from starting on it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
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
        NONE: The executor could take it; what holds it back is not there.
    """

    UNSUITABLE = "unsuitable"
    NO_ROOM = "no_room"
    STEP_LIMIT = "step_limit"
    NO_UNUSED_PROCESSOR = "no_unused_processor"
    SERVING_TASKS = "serving_tasks"
    NONE = "startable"


class WaitNotes:
    """Logs the longest wait of a job that has nothing running.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._next_note_s = float("-inf")

    def note_longest_wait(
        self,
        jobs: Iterable[_jobs.Job],
        executors_by_service: Mapping[str, Sequence[_executors.ExecutorState]],
        now: _time.Now,
    ) -> None:
        """Logs the longest wait at intervals, if it is long.

        Only the first waiting task of each step counts; a step may have a
        hundred thousand.

        Args:
            jobs: The jobs with waiting tasks.
            executors_by_service: Executors that accept new tasks.
            now: The time.
        """
        if now.boot_s < self._next_note_s:
            return
        self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        waits = [
            (ready_s, index, job, waiting)
            for index, job in enumerate(jobs)
            if not job.running_places
            for waiting in job.waiting_tasks_by_step.values()
            for ready_s in itertools.islice(
                waiting.ready_s_by_index.values(), 1
            )
        ]
        if not waits:
            return
        ready_s, _, job, waiting = min(waits, key=lambda each: each[:2])
        if now.boot_s - ready_s < MIN_NOTED_WAIT_S:
            return
        task = _job_spec.TaskId(
            job.id,
            waiting.occurrence,
            waiting.step,
            next(iter(waiting.ready_s_by_index)),
        )
        executors = executors_by_service.get(job.queue.service, ())
        count_by_refusal = dict.fromkeys(Refusal, 0)
        for executor in executors:
            refusal = find_refusal(
                job.spec.steps[waiting.step],
                task,
                executor,
                self._cell.sharing,
            )
            count_by_refusal[refusal] += 1
        self._cell.note(
            "task.waits",
            task=str(task),
            waited_s=round(now.boot_s - ready_s, 3),
            waiting_jobs=len({each.id for _, _, each, _ in waits}),
            usable_executors=len(executors),
            **{
                refusal.value: count
                for refusal, count in count_by_refusal.items()
                if count
            },
        )


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
    if step.fills and not sharing.allows_filler(
        step, executor, _sharing.THROTTLED_PACE_PERCENT
    ):
        return Refusal.SERVING_TASKS
    if not _placement.has_capacity(step, executor):
        return Refusal.NO_UNUSED_PROCESSOR
    return Refusal.NONE

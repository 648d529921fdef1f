"""In-memory state of jobs: tasks that wait, run or are done."""

from collections.abc import Set
import dataclasses

from basiljunction.coordination.scheduling import _crash_evidence
from basiljunction.coordination.scheduling import _limits
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress


@dataclasses.dataclass(slots=True)
class WaitingTasks:
    """The tasks of one step that wait to start, within one occurrence.

    Attributes:
        occurrence: Number of the occurrence, that is, of one execution of the
            job's steps.
        step: Number of the step.
        ready_s_by_index: Earliest start of each waiting task, on the steady
            clock, by its index in the step.
    """

    occurrence: int
    step: int
    ready_s_by_index: dict[int, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RemainingWork:
    """Estimated work of a job's tasks that are not done.

    Attributes:
        done_count: Number of done tasks at which it was computed.
        critical_path_s: Time left on the critical path, in seconds.
        core_seconds: Processor time of the tasks, in core-seconds.
    """

    done_count: int
    critical_path_s: float
    core_seconds: float


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job with its progress and its waiting and running tasks.

    A task's place is its (occurrence, step, index) within the job.

    Attributes:
        accepted: The job as submitted and stored.
        queue: Its queue in the newest configuration that contained it.
        progress: State, done tasks, failures and checkpoints, as stored.
        arrived_s: Time of submission on this scheduler's steady clock.
        is_stored: Whether its acceptance is stored.
        is_inherited: Whether an earlier term may have started its tasks.
        waiting_tasks_by_step: Waiting tasks by occurrence and step.
        opened_steps: Occurrences and steps whose tasks have been queued.
        running_places: Places of the tasks that have a current run.
        adopted_places: Places of the tasks of which this scheduler adopted the
            run of an earlier term, so that there is no other.
        has_started_tasks: Whether an executor has begun any task; a start that
            was only ordered does not count.
        done_count_by_step: Successful tasks by occurrence and step.
        failed_executor_ids_by_place: Executors on which each task has failed,
            as far as this scheduler knows.
        unlisted_start_executor_ids_by_place: Executors on which an ordered run
            of each task was not there when they listed their runs next.
        lost_start_executor_ids_by_place: Executors on which that was so twice,
            or that were not reached by an order to start each task or refused
            it for its own sake.
        turn_s_by_place: Time since which each waiting task could start of which
            a start has been refused or lost since.
        urgent_from_s_by_place: Time from which the start of a task that runs
            until cancelled goes before short tasks.
        remaining_work: Estimated work of the tasks that are not done, as last
            computed; None before.
        rate_by_place: Executor and newest measured speed of each task, in
            percent of the task's work per second.
        stalls_by_place: How often runs of a task were taken for stalled, apart
            for those that had shown progress before.
    """

    accepted: _progress.AcceptedJob
    queue: _configuration.Queue
    progress: _progress.JobProgress
    arrived_s: float
    is_stored: bool = False
    is_inherited: bool = False
    waiting_tasks_by_step: dict[tuple[int, int], WaitingTasks] = (
        dataclasses.field(default_factory=dict)
    )
    opened_steps: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    running_places: set[_progress.TaskPosition] = dataclasses.field(
        default_factory=set
    )
    adopted_places: set[_progress.TaskPosition] = dataclasses.field(
        default_factory=set
    )
    has_started_tasks: bool = False
    done_count_by_step: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    failed_executor_ids_by_place: dict[_progress.TaskPosition, set[str]] = (
        dataclasses.field(default_factory=dict)
    )
    unlisted_start_executor_ids_by_place: dict[
        _progress.TaskPosition, set[str]
    ] = dataclasses.field(default_factory=dict)
    lost_start_executor_ids_by_place: dict[_progress.TaskPosition, set[str]] = (
        dataclasses.field(default_factory=dict)
    )
    turn_s_by_place: dict[_progress.TaskPosition, float] = dataclasses.field(
        default_factory=dict
    )
    urgent_from_s_by_place: dict[_progress.TaskPosition, float] = (
        dataclasses.field(default_factory=dict)
    )
    remaining_work: RemainingWork | None = None
    rate_by_place: dict[_progress.TaskPosition, tuple[str, float]] = (
        dataclasses.field(default_factory=dict)
    )
    stalls_by_place: dict[tuple[_progress.TaskPosition, bool], int] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.accepted.id

    @property
    def spec(self) -> _job_spec.JobSpec:
        """Specification of the job as submitted."""
        return self.accepted.spec

    @property
    def is_active(self) -> bool:
        """Whether the job is stored and not final, so that tasks may start."""
        return self.is_stored and not self.progress.state.is_final

    @property
    def awaits_first_start(self) -> bool:
        """Whether the job is active and no executor has begun a task of it."""
        return self.is_active and not self.has_started_tasks

    @property
    def has_known_executors(self) -> bool:
        """Whether the executor of a task's inherited run may be known."""
        return bool(self.adopted_places) or self.spec.has_lasting_step

    @property
    def objective_s(self) -> float:
        """Time from submission within which the job earns its full credit."""
        chain_s = self.spec.critical_path_s()
        return self.queue.stretch * chain_s + self.queue.target_latency_s

    def open_ready_steps(self, now_s: float, wall_s: float) -> None:
        """Queues the tasks of every step that has become ready.

        A step is ready when its occurrence is due and all steps that it
        depends on are done.

        Args:
            now_s: The time on the steady clock.
            wall_s: The time since the Unix epoch.
        """
        step_count = len(self.spec.steps) * self.spec.occurrence_count
        if len(self.opened_steps) >= step_count:
            return
        for occurrence in range(self.spec.occurrence_count):
            if self.spec.due_wall_s(occurrence) > wall_s:
                break
            for number, step in enumerate(self.spec.steps):
                key = (occurrence, number)
                if key not in self.opened_steps and self._are_predecessors_done(
                    occurrence, step
                ):
                    self._open_step(key, step, now_s)

    def _are_predecessors_done(
        self, occurrence: int, step: _job_spec.StepSpec
    ) -> bool:
        """Returns whether all steps that a step depends on are done."""
        return all(
            self.done_count_by_step.get((occurrence, each), 0)
            >= self.spec.steps[each].count
            for each in step.after
        )

    def _open_step(
        self, key: tuple[int, int], step: _job_spec.StepSpec, now_s: float
    ) -> None:
        """Queues the tasks of a step that are neither done nor running.

        Lasting tasks of an earlier term have probably lost their run.
        """
        self.opened_steps.add(key)
        ready_s_by_index = {
            index: now_s
            for index in range(step.count)
            if (*key, index) not in self.progress.completed_positions
            and (*key, index) not in self.running_places
        }
        if ready_s_by_index:
            self.waiting_tasks_by_step[key] = WaitingTasks(
                *key, ready_s_by_index
            )
        if step.runs_until_cancelled:
            patience_s = _limits.LASTING_START_PATIENCE_S
            urgent_from_s = now_s + (0.0 if self.is_inherited else patience_s)
            for index in ready_s_by_index:
                self.urgent_from_s_by_place.setdefault(
                    (*key, index), urgent_from_s
                )

    def is_start_urgent(
        self, place: _progress.TaskPosition, now_s: float
    ) -> bool:
        """Returns whether a waiting task's start goes before short tasks."""
        return now_s >= self.urgent_from_s_by_place.get(place, float("inf"))

    def record_lost_start(
        self, place: _progress.TaskPosition, executor_id: str
    ) -> None:
        """Lets a task start elsewhere first, as a start of it got lost.

        An executor that takes no starts may still answer renewals. As nothing
        runs on it, it would be chosen again each time.
        """
        self.lost_start_executor_ids_by_place.setdefault(place, set()).add(
            executor_id
        )

    def record_unlisted_start(
        self, place: _progress.TaskPosition, executor_id: str
    ) -> None:
        """Lets a task start elsewhere once two starts on an executor got lost.

        The order of the first one may only be late. A later run there bars it,
        also in the executor's next incarnation, a run elsewhere does not.
        """
        executor_ids = self.unlisted_start_executor_ids_by_place.setdefault(
            place, set()
        )
        if executor_id in executor_ids:
            self.record_lost_start(place, executor_id)
        executor_ids.add(executor_id)

    def executor_ids_to_avoid(self, place: _progress.TaskPosition) -> Set[str]:
        """Returns the ids of executors that a task should not start on next.

        They are those where a start of it got lost, and for a task with a
        limited number of attempts those where it failed or that crashed under
        it.
        """
        ids: Set[str] = self.lost_start_executor_ids_by_place.get(place, set())
        if self.spec.steps[place[1]].runs_until_cancelled:
            return ids
        crashes = self.progress.crashes_by_position.get(place)
        if crashes is not None:
            ids = ids | crashes.executor_ids
        return ids | self.failed_executor_ids_by_place.get(place, set())

    def executor_ids_gang_avoids(self, key: tuple[int, int]) -> Set[str]:
        """Returns the ids of executors that any member of a gang avoids."""
        places = {
            *self.lost_start_executor_ids_by_place,
            *self.failed_executor_ids_by_place,
            *self.progress.crashes_by_position,
        }
        empty: frozenset[str] = frozenset()
        return empty.union(
            *(
                self.executor_ids_to_avoid(place)
                for place in places
                if place[:2] == key
            )
        )

    def needs_isolated_start(self, task: _job_spec.TaskId) -> bool:
        """Returns whether a task starts only apart from other unproven runs.

        A single executor may have crashed by itself. The members of a gang
        start together, so the crashes of one count for all.
        """
        crashes_by_position = self.progress.crashes_by_position
        if not crashes_by_position:
            return False
        key = (task.occurrence, task.step)
        if not self.spec.steps[task.step].gang:
            crashes = crashes_by_position.get((*key, task.index))
            return _crash_evidence.needs_isolation(crashes)
        return any(
            place[:2] == key and _crash_evidence.needs_isolation(crashes)
            for place, crashes in crashes_by_position.items()
        )

    def checkpoint_to_resume(self, task: _job_spec.TaskId) -> str:
        """Returns the checkpoint to resume from, or an empty string.

        The members of a gang share one checkpoint.
        """
        checkpoint_by_place = self.progress.checkpoint_by_position
        key = (task.occurrence, task.step)
        step = self.spec.steps[task.step]
        if not step.gang:
            return checkpoint_by_place.get((*key, task.index), "")
        places = ((*key, index) for index in range(step.count))
        values = (checkpoint_by_place.get(place, "") for place in places)
        return next((value for value in values if value), "")

    def earliest_urgent_start_s(self) -> float:
        """Returns when the first of the waiting tasks' starts is urgent."""
        return min(
            (
                self.urgent_from_s_by_place.get((*key, index), float("inf"))
                for key, waiting_tasks in self.waiting_tasks_by_step.items()
                for index in waiting_tasks.ready_s_by_index
            ),
            default=float("inf"),
        )

    def requeue_task(
        self, place: _progress.TaskPosition, now_s: float, delay_s: float = 0.0
    ) -> None:
        """Adds a task to the waiting ones, to start after `delay_s`."""
        key = place[:2]
        waiting_tasks = self.waiting_tasks_by_step.get(key)
        if waiting_tasks is None:
            waiting_tasks = self.waiting_tasks_by_step[key] = WaitingTasks(
                *key, {}
            )
        waiting_tasks.ready_s_by_index[place[2]] = now_s + delay_s

    def remove_waiting_task(self, place: _progress.TaskPosition) -> None:
        """Removes a task from the waiting ones, if it waits."""
        self.turn_s_by_place.pop(place, None)
        waiting_tasks = self.waiting_tasks_by_step.get(place[:2])
        if waiting_tasks is None:
            return
        waiting_tasks.ready_s_by_index.pop(place[2], None)
        if not waiting_tasks.ready_s_by_index:
            del self.waiting_tasks_by_step[place[:2]]

    def mark_task_done(self, place: _progress.TaskPosition) -> bool:
        """Records a task as done; returns False if it already was."""
        if place in self.progress.completed_positions:
            return False
        self.progress.completed_positions.add(place)
        self.progress.checkpoint_by_position.pop(place, None)
        self.progress.crashes_by_position.pop(place, None)
        key = place[:2]
        self.done_count_by_step[key] = self.done_count_by_step.get(key, 0) + 1
        return True

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        tasks_per_occurrence = sum(step.count for step in self.spec.steps)
        return (
            len(self.progress.completed_positions)
            >= tasks_per_occurrence * self.spec.occurrence_count
        )


def restore_job(
    accepted: _progress.AcceptedJob,
    progress: _progress.JobProgress,
    *,
    now_s: float,
    wall_s: float,
) -> Job:
    """Returns the in-memory job for records that an earlier term stored.

    Args:
        accepted: The stored job.
        progress: Its stored progress.
        now_s: The time on the steady clock.
        wall_s: The time since the Unix epoch.
    """
    age_s = max(0.0, wall_s - accepted.accepted_wall_s)
    job = Job(
        accepted=accepted,
        queue=accepted.queue,
        progress=progress,
        arrived_s=now_s - age_s,
        is_stored=True,
        is_inherited=True,
    )
    for place in progress.completed_positions:
        key = place[:2]
        job.done_count_by_step[key] = job.done_count_by_step.get(key, 0) + 1
    return job

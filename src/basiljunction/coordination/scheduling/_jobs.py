"""In-memory state of jobs: tasks that wait, run or are done."""

from collections.abc import Set
import dataclasses

from basiljunction.coordination.scheduling import _crash_evidence
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _ready_steps
from basiljunction.coordination.scheduling import _remaining_work
from basiljunction.coordination.scheduling import _waiting_tasks
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _index_ranges
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress


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
        waiting_tasks_by_step: Waiting tasks by occurrence and step. Of the
            steps of one kind that are ready only some are among them.
        running_places: Places of the tasks that have a current run.
        adopted_places: Places of the tasks of which this scheduler adopted the
            run of an earlier term, so that there is no other.
        has_started_tasks: Whether an executor has begun any task; a start that
            was only ordered does not count.
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
        waiting_short_millicores: Processor that its waiting tasks request which
            end by themselves and are no fillers.
        has_lasting_step: Whether any step runs until the job is cancelled.
        chain_s: Estimated time of its critical path, in seconds.
    """

    accepted: _progress.AcceptedJob
    queue: _configuration.Queue
    progress: _progress.JobProgress
    arrived_s: float
    is_stored: bool = False
    is_inherited: bool = False
    waiting_tasks_by_step: dict[
        tuple[int, int], _waiting_tasks.WaitingTasks
    ] = dataclasses.field(default_factory=dict)
    running_places: set[_progress.TaskPosition] = dataclasses.field(
        default_factory=set
    )
    adopted_places: set[_progress.TaskPosition] = dataclasses.field(
        default_factory=set
    )
    has_started_tasks: bool = False
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
    remaining_work: _remaining_work.RemainingWork | None = None
    rate_by_place: dict[_progress.TaskPosition, tuple[str, float]] = (
        dataclasses.field(default_factory=dict)
    )
    stalls_by_place: dict[tuple[_progress.TaskPosition, bool], int] = (
        dataclasses.field(default_factory=dict)
    )
    waiting_short_millicores: int = 0
    has_lasting_step: bool = dataclasses.field(init=False)
    chain_s: float = dataclasses.field(init=False)
    _unopened_steps: _ready_steps.ReadySteps = dataclasses.field(init=False)
    _open_count_by_kind: dict[int, int] = dataclasses.field(
        init=False, default_factory=dict
    )
    _may_open: bool = dataclasses.field(init=False, default=True)

    def __post_init__(self) -> None:
        # Each pass reads them, and a job may have a thousand steps.
        self.has_lasting_step = self.spec.has_lasting_step
        self.chain_s = self.spec.critical_path_s()
        self._unopened_steps = _ready_steps.ReadySteps(
            self.spec, self.progress.completed_positions
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
        return bool(self.adopted_places) or self.has_lasting_step

    @property
    def objective_s(self) -> float:
        """Time from submission within which the job earns its full credit."""
        return self.queue.stretch * self.chain_s + self.queue.target_latency_s

    def done_count(self, occurrence: int, step: int) -> int:
        """Returns how many tasks of a step are done."""
        return len(self.progress.completed_positions.indexes(occurrence, step))

    def open_ready_steps(self, now_s: float, wall_s: float) -> None:
        """Queues the tasks of steps that have become ready.

        Of each kind only as many steps have fresh tasks as one pass can start
        tasks. Tasks that wait again do not count, as they may wait for long.

        Args:
            now_s: The time on the steady clock.
            wall_s: The time since the Unix epoch.
        """
        due_count = self.spec.due_count(wall_s)
        self._may_open |= self._unopened_steps.add_due(due_count)
        if not self._may_open:
            return
        self._may_open = False
        for kind in self._unopened_steps.kinds:
            count = self._open_count_by_kind.get(kind, 0)
            while count < _ready_steps.MAX_OPEN_STEPS_PER_KIND and (
                key := self._unopened_steps.take(kind)
            ):
                self._open_step(key, now_s)
                count = self._open_count_by_kind.get(kind, 0)

    def _open_step(self, key: tuple[int, int], now_s: float) -> None:
        """Queues the tasks of a step that are neither done nor running.

        Lasting tasks of an earlier term have probably lost their run.
        """
        step = self.spec.steps[key[1]]
        known = self.waiting_tasks_by_step.get(key)
        missing = _index_ranges.IndexRanges([(0, step.count)]).minus(
            self.progress.completed_positions.indexes(*key)
        )
        if self.is_inherited:
            # Runs may have been adopted, and lost since, before the step opens.
            for place in self.running_places:
                if place[:2] == key:
                    missing.discard(place[2])
            for index in known.returned_s_by_index if known else ():
                missing.discard(index)
        if not missing:
            return
        waiting_tasks = self.waiting_tasks_by_step.setdefault(
            key, _waiting_tasks.WaitingTasks(*key)
        )
        waiting_tasks.fresh = missing
        kind = self._unopened_steps.kind_of(key[1])
        open_count = self._open_count_by_kind.get(kind, 0)
        self._open_count_by_kind[kind] = open_count + 1
        waiting_tasks.opened_s = now_s
        self._count_waiting(step, len(missing))
        if step.runs_until_cancelled:
            patience_s = _limits.LASTING_START_PATIENCE_S
            waiting_tasks.urgent_from_s = now_s + (
                0.0 if self.is_inherited else patience_s
            )

    def _count_waiting(self, step: _job_spec.StepSpec, count: int) -> None:
        """Adds to the processor that waiting tasks request."""
        if not step.fills and not step.runs_until_cancelled:
            self.waiting_short_millicores += step.size.cpu_millicores * count

    def drop_spec(self) -> None:
        """Drops payload and steps, as no task will start any more."""
        self.accepted = self.accepted.without_spec()
        self._unopened_steps = _ready_steps.ReadySteps(
            self.spec, self.progress.completed_positions
        )

    def clear_waiting_tasks(self) -> None:
        """Removes all waiting tasks, as none will start any more."""
        self.waiting_tasks_by_step.clear()
        self.waiting_short_millicores = 0

    def is_start_urgent(
        self, place: _progress.TaskPosition, now_s: float
    ) -> bool:
        """Returns whether a waiting task's start goes before short tasks."""
        urgent_from_s = self.urgent_from_s_by_place.get(place)
        if urgent_from_s is None:
            waiting_tasks = self.waiting_tasks_by_step.get(place[:2])
            if waiting_tasks is None or place[2] not in waiting_tasks.fresh:
                return False
            urgent_from_s = waiting_tasks.urgent_from_s
        return now_s >= urgent_from_s

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

    def requeue_task(
        self, place: _progress.TaskPosition, now_s: float, delay_s: float = 0.0
    ) -> None:
        """Adds a task to the waiting ones, to start after `delay_s`."""
        key = place[:2]
        waiting_tasks = self.waiting_tasks_by_step.setdefault(
            key, _waiting_tasks.WaitingTasks(*key)
        )
        if place[2] not in waiting_tasks:
            self._count_waiting(self.spec.steps[key[1]], 1)
        self._remove_fresh(place, waiting_tasks)
        waiting_tasks.returned_s_by_index[place[2]] = now_s + delay_s

    def remove_waiting_task(self, place: _progress.TaskPosition) -> None:
        """Removes a task from the waiting ones, if it waits."""
        self.turn_s_by_place.pop(place, None)
        key = place[:2]
        waiting_tasks = self.waiting_tasks_by_step.get(key)
        if waiting_tasks is None or place[2] not in waiting_tasks:
            return
        self._count_waiting(self.spec.steps[key[1]], -1)
        self._remove_fresh(place, waiting_tasks)
        waiting_tasks.returned_s_by_index.pop(place[2], None)
        if not waiting_tasks:
            del self.waiting_tasks_by_step[key]

    def _remove_fresh(
        self,
        place: _progress.TaskPosition,
        waiting_tasks: _waiting_tasks.WaitingTasks,
    ) -> None:
        """Removes a task from the fresh ones of its step, if it is one."""
        if not waiting_tasks.fresh.discard(place[2]):
            return
        if self.spec.steps[place[1]].runs_until_cancelled:
            self.urgent_from_s_by_place.setdefault(
                place, waiting_tasks.urgent_from_s
            )
        if not waiting_tasks.fresh and not waiting_tasks.is_refused:
            self._uncount_open_step(place[1])

    def pass_over_refused_step(
        self, waiting_tasks: _waiting_tasks.WaitingTasks
    ) -> None:
        """Lets another step open beside one that the policy has refused."""
        if waiting_tasks.fresh and not waiting_tasks.is_refused:
            waiting_tasks.is_refused = True
            self._uncount_open_step(waiting_tasks.step)

    def _uncount_open_step(self, step: int) -> None:
        """Lets another step of the same kind open."""
        self._open_count_by_kind[self._unopened_steps.kind_of(step)] -= 1
        self._may_open = True

    def mark_task_done(self, place: _progress.TaskPosition) -> bool:
        """Records a task as done; returns False if it already was."""
        if place in self.progress.completed_positions:
            return False
        self.progress.completed_positions.add(place)
        self.progress.checkpoint_by_position.pop(place, None)
        self.progress.crashes_by_position.pop(place, None)
        if self._unopened_steps.is_done(*place[:2]):
            self._may_open |= self._unopened_steps.record_step_done(*place[:2])
        return True

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        per_occurrence = sum(step.count for step in self.spec.steps)
        count = per_occurrence * self.spec.occurrence_count
        return len(self.progress.completed_positions) >= count

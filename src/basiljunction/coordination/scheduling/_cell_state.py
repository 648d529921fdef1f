"""State of one cell's scheduler, shared by its components."""

import dataclasses

from basiljunction.coordination.scheduling import _approvals
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _job_memory
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _run_numbers
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


@dataclasses.dataclass(slots=True)
class CellState:
    """Jobs and executors of a cell, and pending orders, records and replies.

    A term is the time for which one scheduler leads the cell; its epoch is the
    term's number. Steady times (`_s`) are seconds of this host's clock.

    Attributes:
        epoch: Epoch of this term; the fencing token of every order.
        times: Durations of leases and of job retention.
        configuration: Newest configuration of the queues.
        job_by_id: All known jobs.
        executor_by_id: All known executors.
        orders: Orders to send.
        held_starts: Start orders to send once the next batch is stored.
        records: Records to store.
        dirty_job_ids: Jobs whose progress has to be stored.
        unstored_final_job_ids: Jobs whose final state is not stored yet.
        unshortened_job_ids: Finished jobs that are stored with their steps.
        notes: Decisions to log.
        replies: Answers to callers that wait for the next batch.
        roster_changed: Whether the list of executors has to be stored.
        silent_executors_changed: Whether the bounds of the runs on silent
            executors have to be stored.
        needs_placing: Whether a change since the last placement pass may let
            tasks start.
        skipped_step_count: Number of waiting steps that the last placement
            pass left out.
        job_memory: Memory of the jobs.
        is_term_confirmed: Whether the term allows leases and starts now.
        confirmed_s: Sending time of the newest record of this term that the
            store confirmed.
        confirmed_beat: Number of the renewal that wrote this record.
        is_fenced: Whether an executor has seen a later term.
        order_generation: Newest generation of orders to any executor.
        has_inherited_runs: Whether runs of an earlier term may still exist on
            executors that have not listed them.
        knows_inherited_executors: Whether the stored executors of tasks that
            run until cancelled are those of their last runs.
        next_shorten_finished_s: When finished jobs are next shortened.
        next_forget_finished_s: When finished jobs are next cleaned up.
        next_learned_record_s: When the filler models are next stored.
        run_numbers: Numbers of the starts of this term.
        last_tick_s: When the scheduler last did its timed work.
        tick_gap_s: Longest gap between two such times lately.
        tick_gap_until_s: When that gap no longer counts.
        sharing: Learned effect of fillers on serving tasks.
        approvals: Executors that the outside approval policy approves.
        current_run_by_task: The run of each task whose end counts.
        duplicated_tasks: Tasks that may have more than one active run.
    """

    epoch: int
    times: _limits.LeaseTimes
    configuration: _configuration.Configuration
    job_by_id: dict[str, _jobs.Job] = dataclasses.field(default_factory=dict)
    executor_by_id: dict[str, _executors.ExecutorState] = dataclasses.field(
        default_factory=dict
    )
    orders: list[_orders.Order] = dataclasses.field(default_factory=list)
    held_starts: list[_orders.StartOrder] = dataclasses.field(
        default_factory=list
    )
    records: list[_records.Record] = dataclasses.field(default_factory=list)
    dirty_job_ids: set[str] = dataclasses.field(default_factory=set)
    unstored_final_job_ids: set[str] = dataclasses.field(default_factory=set)
    unshortened_job_ids: set[str] = dataclasses.field(default_factory=set)
    notes: list[_notes.Note] = dataclasses.field(default_factory=list)
    replies: list[_orders.Reply] = dataclasses.field(default_factory=list)
    roster_changed: bool = True
    silent_executors_changed: bool = True
    needs_placing: bool = True
    skipped_step_count: int = 0
    job_memory: _job_memory.JobMemory = dataclasses.field(
        default_factory=_job_memory.JobMemory
    )
    is_term_confirmed: bool = True
    confirmed_s: float = 0.0
    confirmed_beat: int = 0
    is_fenced: bool = False
    order_generation: int = 0
    has_inherited_runs: bool = False
    knows_inherited_executors: bool = False
    next_shorten_finished_s: float = 0.0
    next_forget_finished_s: float = 0.0
    next_learned_record_s: float = 0.0
    last_tick_s: float = float("inf")
    tick_gap_s: float = 0.0
    tick_gap_until_s: float = 0.0
    sharing: _sharing.FillerController = dataclasses.field(
        default_factory=_sharing.FillerController
    )
    approvals: _approvals.ApprovalTracker = dataclasses.field(
        default_factory=_approvals.ApprovalTracker
    )
    current_run_by_task: dict[_job_spec.TaskId, _runs.Run] = dataclasses.field(
        default_factory=dict
    )
    duplicated_tasks: set[_job_spec.TaskId] = dataclasses.field(
        default_factory=set
    )
    run_numbers: _run_numbers.RunNumbers = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.run_numbers = _run_numbers.RunNumbers(self.epoch)

    def note(self, event: str, **fields: str | int | float | bool) -> None:
        """Queues a decision for the log, with the inputs that led to it."""
        self.notes.append(_notes.Note(event, fields))

    def begin_order_generation(
        self, executor: _executors.ExecutorState
    ) -> None:
        """Lets later orders to an executor bar all earlier ones there.

        An order without an answer may still be carried out, also by the next
        incarnation; it is refused once one of a later generation has arrived.
        """
        self.order_generation += 1
        executor.generation = self.order_generation

    def next_run_number(self) -> int:
        """Returns a run number above all numbers of this and earlier terms."""
        return self.run_numbers.take(self.records)

    def is_usable(
        self, executor: _executors.ExecutorState, now_s: float
    ) -> bool:
        """Returns whether an executor accepts new tasks now.

        Its silence is excused as far as the scheduler itself is late.
        """
        return executor.accepts_new_tasks(now_s, own_delay_s=self.own_delay_s())

    def is_in_contact(
        self, executor: _executors.ExecutorState, now_s: float
    ) -> bool:
        """Returns whether an executor has answered a renewal lately.

        Its silence is excused as far as the scheduler itself is late.
        """
        return executor.is_in_contact(now_s, own_delay_s=self.own_delay_s())

    def own_delay_s(self) -> float:
        """Returns the silence that the scheduler may cause, in seconds."""
        return self.tick_gap_s * _limits.TICKS_PER_RENEWAL

    def measure_tick_gap(self, now_s: float) -> None:
        """Measures the longest gap between two ticks of the last seconds."""
        gap_s = max(0.0, now_s - self.last_tick_s)
        gap_s = min(gap_s, _limits.MAX_TICK_GAP_S)
        self.last_tick_s = now_s
        if gap_s >= self.tick_gap_s or now_s >= self.tick_gap_until_s:
            self.tick_gap_s = gap_s
            self.tick_gap_until_s = now_s + _limits.TICK_GAP_MEMORY_S

    def find_job(self, task: _job_spec.TaskId) -> _jobs.Job | None:
        """Returns the job of a task, or None if it is not known."""
        return self.job_by_id.get(task.job)

    def find_step(self, task: _job_spec.TaskId) -> _job_spec.StepSpec | None:
        """Returns the step of a task, or None if the task does not exist."""
        job = self.job_by_id.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            return None
        step = job.spec.steps[task.step]
        return step if task.index < step.count else None

    def find_executor_and_run(
        self, executor_id: str, task: _job_spec.TaskId, number: int
    ) -> tuple[_executors.ExecutorState | None, _runs.Run | None]:
        """Returns an executor and a run on it, each None if not known."""
        executor = self.executor_by_id.get(executor_id)
        if executor is None:
            return None, None
        return executor, executor.run_by_key.get((task, number))

    def is_task_unfinished(self, task: _job_spec.TaskId) -> bool:
        """Returns whether a task is not done and its job is not final."""
        job = self.job_by_id.get(task.job)
        if job is None or job.progress.state.is_final:
            return False
        return place_in_job(task) not in job.progress.completed_positions

    def finish_job(
        self, job: _jobs.Job, state: _progress.JobState, now: _time.Now
    ) -> None:
        """Sets a job's final state and starts stopping all of its runs."""
        job.progress.state = state
        job.progress.finished_wall_s = now.wall_s
        job.clear_waiting_tasks()
        self.approvals.delete_job(job.id)
        self.duplicated_tasks = {
            e for e in self.duplicated_tasks if e.job != job.id
        }
        self.note(
            "job.finished",
            job=job.id,
            state=state.value,
            age_s=round(now.boot_s - job.arrived_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        self.mark_progress_dirty(job)
        self.unstored_final_job_ids.add(job.id)
        self.unshortened_job_ids.add(job.id)
        for executor in self.executor_by_id.values():
            if job.id not in executor.run_count_by_job:
                continue
            for run in executor.run_by_key.values():
                if run.task.job == job.id:
                    executor.stop_run(run, now.boot_s)

    def mark_progress_dirty(self, job: _jobs.Job) -> None:
        """Marks a job's progress to be stored with the next batch."""
        self.dirty_job_ids.add(job.id)

    def note_executor_of_lasting_task(
        self, job: _jobs.Job, run: _runs.Run
    ) -> None:
        """Records the executor of a run that lasts until cancelled."""
        executor_by_position = job.progress.executor_by_position
        if executor_by_position is None or not run.step.runs_until_cancelled:
            return
        place = place_in_job(run.task)
        if executor_by_position.get(place) != run.executor:
            executor_by_position[place] = run.executor
            self.mark_progress_dirty(job)

    def order_start(self, job: _jobs.Job, order: _orders.StartOrder) -> None:
        """Queues a start order, after the batch if that stores part of it."""
        step = job.spec.steps[order.task.step]
        run = self.current_run_by_task[order.task]
        stores_executor = job.progress.executor_by_position is not None
        if run.is_attempt or (
            not self.run_numbers.may_be_sent(order.run)
            or (step.runs_until_cancelled and stores_executor)
        ):
            run.is_start_held = True
            self.held_starts.append(order)
        else:
            self.orders.append(order)

    def set_current_run(self, job: _jobs.Job, run: _runs.Run) -> None:
        """Makes a run the current run of its task, whose end counts.

        The task no longer waits.
        """
        place = place_in_job(run.task)
        self.current_run_by_task[run.task] = run
        job.remove_waiting_task(place)
        job.running_places.add(place)
        job.has_started_tasks |= run.was_confirmed

    def release_run(
        self,
        executor: _executors.ExecutorState,
        run: _runs.Run,
        now: _time.Now,
        *,
        delay_s: float = 0.0,
    ) -> None:
        """Removes a run that certainly no longer runs from its executor.

        If it was the current run of an unfinished task, the task waits again
        for `delay_s` and resumes from the run's checkpoint. If a task that runs
        until cancelled loses a confirmed run, its next start is urgent.
        """
        executor.remove_run(run)
        self.needs_placing = True
        if self.current_run_by_task.get(run.task) is not run:
            return
        del self.current_run_by_task[run.task]
        job = self.find_job(run.task)
        if job is not None:
            job.running_places.discard(place_in_job(run.task))
        if job is None or not self.is_task_unfinished(run.task):
            return
        place = place_in_job(run.task)
        if run.checkpoint:
            job.progress.checkpoint_by_position[place] = run.checkpoint
        executor_by_position = job.progress.executor_by_position
        if (
            run.was_confirmed
            and executor_by_position
            and executor_by_position.pop(place, None)
        ):
            # A successor need not wait for an executor that lost the task.
            self.dirty_job_ids.add(job.id)
        if run.step.runs_until_cancelled and run.was_confirmed:
            patience_s = (
                _limits.LASTING_START_PATIENCE_S if run.is_preempted else 0.0
            )
            job.urgent_from_s_by_place[place] = now.boot_s + patience_s
        if not run.was_confirmed:
            job.turn_s_by_place[place] = run.turn_s
        job.requeue_task(place, now.boot_s, delay_s)

    def supersede_run(
        self, run: _runs.Run, reason: str, now: _time.Now
    ) -> bool:
        """Requeues a running task for a second run beside the given one.

        The first run to succeed counts.

        Args:
            run: The run that is slow, stalled or out of contact.
            reason: Reason for the log.
            now: The time.

        Returns:
            Whether it was requeued: the step is speculative, the run is the
            task's current one and the task is unfinished.
        """
        job = self.find_job(run.task)
        if job is None or not run.step.speculative:
            return False
        if self.current_run_by_task.get(run.task) is not run:
            return False
        if not self.is_task_unfinished(run.task):
            return False
        del self.current_run_by_task[run.task]
        run.is_superseded = True
        self.duplicated_tasks.add(run.task)
        place = place_in_job(run.task)
        job.running_places.discard(place)
        job.requeue_task(place, now.boot_s)
        self.needs_placing = True
        self.note(
            "task.superseded",
            task=str(run.task),
            run=run.number,
            executor=run.executor,
            reason=reason,
        )
        return True

    def stop_duplicate_runs(
        self, task: _job_spec.TaskId, now: _time.Now
    ) -> None:
        """Starts stopping the remaining runs of a task that is done."""
        if task not in self.duplicated_tasks:
            return
        self.duplicated_tasks.discard(task)
        for executor in self.executor_by_id.values():
            if task.job not in executor.run_count_by_job:
                continue
            for run in executor.run_by_key.values():
                if run.task == task:
                    executor.stop_run(run, now.boot_s)

    def take_batch(
        self,
        roster: _records.ExecutorRosterRecord | None = None,
        silent: _records.SilentExecutorsRecord | None = None,
    ) -> _orders.Batch | None:
        """Returns and clears everything to store, or None if there is nothing.

        The batch includes replies and acknowledgements that depend on it.

        Args:
            roster: Record of the executors that may have runs; None for none.
            silent: Record of silent executors to store after all others, on
                which it relies; None for none.
        """
        records = self.records
        self.records = []
        for job_id in self.dirty_job_ids:
            job = self.job_by_id.get(job_id)
            if job is not None:
                progress = job.progress.copy_to_store()
                records.append(_records.ProgressRecord(job_id, progress))
        self.dirty_job_ids.clear()
        records += [each for each in (roster, silent) if each is not None]
        acknowledgement_by_executor = {
            executor_id: _orders.Acknowledgement(
                state.started_wall_ms, state.processed_end_number
            )
            for executor_id, state in self.executor_by_id.items()
            if state.processed_end_number > state.stored_end_number
        }
        replies = tuple(self.replies)
        self.replies = []
        starts = tuple(self.held_starts)
        self.held_starts = []
        if not (records or acknowledgement_by_executor or replies or starts):
            return None
        return _orders.Batch(
            tuple(records), acknowledgement_by_executor, replies, starts
        )


def place_in_job(task: _job_spec.TaskId) -> _progress.TaskPosition:
    """Returns a task's (occurrence, step, index) within its job."""
    return (task.occurrence, task.step, task.index)

"""The state that the parts of the scheduler share."""

import copy
import dataclasses

from basiljunction.coordination.scheduling import _approvals
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _sharing
from basiljunction.state import _time
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
from basiljunction.state.workload import _records


@dataclasses.dataclass(slots=True)
class CellState:
    """Jobs, executors, and what waits to be sent or stored.

    Attributes:
        epoch: Epoch of this term; the fencing token of every order.
        times: Lengths of leases.
        configuration: Newest configuration.
        job_by_id: All known jobs.
        executor_by_id: All known executors.
        orders: Orders to send.
        records: Records to store.
        dirty_jobs: Jobs whose progress has to be stored.
        unstored_final: Jobs whose final state is not stored yet.
        notes: Decisions for the log.
        replies: Answers that wait for the next batch.
        roster_changed: Whether the roster has to be stored.
        needs_placing: Whether something changed that lets tasks start.
        may_lead: Whether the store confirmed this term lately.
        is_fenced: Whether an executor has seen a later term.
        has_inherited: Whether a predecessor may have runs somewhere.
        sharing: What fillers do to serving tasks.
        approvals: Which executors an outside policy approves.
        current_run_by_task: The run of each task that has one.
        copied_tasks: Tasks of which more than one run may be at work.
    """

    epoch: int
    times: _limits.LeaseTimes
    configuration: _configuration.Configuration
    job_by_id: dict[str, _jobs.Job] = dataclasses.field(default_factory=dict)
    executor_by_id: dict[str, _executors.ExecutorState] = dataclasses.field(
        default_factory=dict
    )
    orders: list[_orders.Order] = dataclasses.field(default_factory=list)
    records: list[_records.Record] = dataclasses.field(default_factory=list)
    dirty_jobs: set[str] = dataclasses.field(default_factory=set)
    unstored_final: set[str] = dataclasses.field(default_factory=set)
    notes: list[_notes.Note] = dataclasses.field(default_factory=list)
    replies: list[_orders.Reply] = dataclasses.field(default_factory=list)
    roster_changed: bool = True
    needs_placing: bool = True
    may_lead: bool = True
    is_fenced: bool = False
    has_inherited: bool = False
    next_forget_s: float = 0.0
    next_learned_s: float = 0.0
    run_counter: int = 0
    sharing: _sharing.Sharing = dataclasses.field(
        default_factory=_sharing.Sharing
    )
    approvals: _approvals.Approvals = dataclasses.field(
        default_factory=_approvals.Approvals
    )
    current_run_by_task: dict[_job_spec.TaskId, _runs.Run] = dataclasses.field(
        default_factory=dict
    )

    copied_tasks: set[_job_spec.TaskId] = dataclasses.field(default_factory=set)

    def note(self, event: str, **fields: str | int | float | bool) -> None:
        """Notes a decision for the log."""
        self.notes.append(_notes.Note(event, fields))

    def next_run_number(self) -> int:
        """Returns a number above all that this or an earlier term used."""
        self.run_counter += 1
        return (self.epoch - 1) * _limits.RUNS_PER_EPOCH + self.run_counter

    def job_of(self, task: _job_spec.TaskId) -> _jobs.Job | None:
        """Returns the job of a task, or None."""
        return self.job_by_id.get(task.job)

    def step_of(self, task: _job_spec.TaskId) -> _job_spec.StepSpec | None:
        """Returns the step of a task, or None if there is no such task."""
        job = self.job_by_id.get(task.job)
        if job is None or task.step >= len(job.spec.steps):
            return None
        step = job.spec.steps[task.step]
        return step if task.index < step.count else None

    def run_of(
        self, executor_id: str, task: _job_spec.TaskId, number: int
    ) -> tuple[_executors.ExecutorState | None, _runs.Run | None]:
        """Returns an executor and a run on it, where they are known."""
        executor = self.executor_by_id.get(executor_id)
        if executor is None:
            return None, None
        return executor, executor.run_by_key.get((task, number))

    def is_wanted(self, task: _job_spec.TaskId) -> bool:
        """Returns whether a task still has to run."""
        job = self.job_by_id.get(task.job)
        if job is None or job.progress.state.is_final:
            return False
        return place_of(task) not in job.progress.done

    def finish(
        self, job: _jobs.Job, state: _progress.JobState, now: _time.Now
    ) -> None:
        """Makes a job final and stops what runs of it."""
        job.progress.state = state
        job.progress.finished_wall_s = now.wall_s
        job.bag_by_step.clear()
        self.approvals.forget(job.id)
        self.copied_tasks = {e for e in self.copied_tasks if e.job != job.id}
        self.note(
            "job.finished",
            job=job.id,
            state=state.value,
            age_s=round(now.boot_s - job.arrived_s, 3),
            objective_s=round(job.objective_s, 3),
        )
        self.mark_dirty(job)
        self.unstored_final.add(job.id)
        for executor in self.executor_by_id.values():
            for run in executor.run_by_key.values():
                if run.task.job == job.id:
                    run.stop(now.boot_s)

    def mark_dirty(self, job: _jobs.Job) -> None:
        """Has the job's progress stored with the next batch."""
        self.dirty_jobs.add(job.id)

    def set_current(self, job: _jobs.Job, run: _runs.Run) -> None:
        """Makes a run the one whose end counts for its task."""
        place = place_of(run.task)
        self.current_run_by_task[run.task] = run
        job.take(place)
        job.running.add(place)
        job.has_begun = True

    def release(
        self,
        executor: _executors.ExecutorState,
        run: _runs.Run,
        now: _time.Now,
        *,
        delay_s: float = 0.0,
    ) -> None:
        """Removes a settled run; its task waits again if it is wanted."""
        executor.remove(run)
        self.needs_placing = True
        if self.current_run_by_task.get(run.task) is not run:
            return
        del self.current_run_by_task[run.task]
        job = self.job_of(run.task)
        if job is not None:
            job.running.discard(place_of(run.task))
        if job is None or not self.is_wanted(run.task):
            return
        if run.checkpoint:
            place = place_of(run.task)
            job.progress.checkpoint_by_place[place] = run.checkpoint
        job.put_back(place_of(run.task), now.boot_s, delay_s)

    def supersede(self, run: _runs.Run, reason: str, now: _time.Now) -> bool:
        """Lets another copy of a task start; the first to end well counts.

        Returns:
            Whether the step allows that and the run was the newest copy.
        """
        job = self.job_of(run.task)
        if job is None or not run.step.speculative:
            return False
        if self.current_run_by_task.get(run.task) is not run:
            return False
        if not self.is_wanted(run.task):
            return False
        del self.current_run_by_task[run.task]
        run.is_superseded = True
        self.copied_tasks.add(run.task)
        place = place_of(run.task)
        job.running.discard(place)
        job.put_back(place, now.boot_s)
        self.needs_placing = True
        self.note(
            "task.superseded",
            task=str(run.task),
            run=run.number,
            executor=run.executor,
            reason=reason,
        )
        return True

    def stop_copies(self, task: _job_spec.TaskId, now: _time.Now) -> None:
        """Stops every run of a task that is done."""
        if task not in self.copied_tasks:
            return
        self.copied_tasks.discard(task)
        for executor in self.executor_by_id.values():
            for run in executor.run_by_key.values():
                if run.task == task:
                    run.stop(now.boot_s)

    def take_batch(self) -> _orders.Batch | None:
        """Returns everything that has to be stored, or None."""
        records = self.records
        self.records = []
        for job_id in self.dirty_jobs:
            job = self.job_by_id.get(job_id)
            if job is not None:
                progress = copy.deepcopy(job.progress)
                records.append(_records.ProgressRecord(job_id, progress))
        self.dirty_jobs.clear()
        if self.roster_changed:
            self.roster_changed = False
            entries = (each.entry for each in self.executor_by_id.values())
            records.append(_records.RosterRecord(tuple(entries)))
        acknowledge = {
            executor_id: _orders.Acknowledgement(state.born_ms, state.processed)
            for executor_id, state in self.executor_by_id.items()
            if state.processed > state.acknowledged
        }
        replies = tuple(self.replies)
        self.replies = []
        if not (records or acknowledge or replies):
            return None
        return _orders.Batch(tuple(records), acknowledge, replies)


def place_of(task: _job_spec.TaskId) -> _progress.Place:
    """Returns the task's place within its job."""
    return (task.occurrence, task.step, task.index)

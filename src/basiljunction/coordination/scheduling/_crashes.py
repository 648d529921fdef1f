"""Attributes crashes of executors to the tasks that may have caused them.

A crashed executor reports no end of its runs, so nothing else would keep a task
that crashes each executor from being started again. Suspects of a crash are
the runs that had started just before. An executor may crash by itself, so that
they start again as others do, elsewhere if possible. Suspects of crashes of two
executors start in isolation, each on an executor without another recent start,
so that a third crash tells the cause from the tasks that ran beside it.
"""

from collections.abc import Container
import dataclasses

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _crash_evidence
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

PROBATION_S = 0.5
"""Time for which a run has to go on before a crash of its executor is no longer
put down to it, in seconds: a task that crashes its executor does so while it
starts, and a longer time would isolate more tasks after each crash."""

GROUP_WINDOW_S = 4.0
"""Time within which executors of a group that go silent count as lost
together, in seconds: an executor may take some seconds to come back."""

MIN_GROUP_CRASHES = 3
"""Fewest executors that count as lost together."""

ISOLATED_RENEWAL_DELAY_S = 0.25
"""Delay between two lease renewals of an executor that is kept free for an
isolated start, in seconds: half the probation."""

FIRST_BACKOFF_S = 2.0
"""Wait of a task that runs until cancelled after its first crash in isolation,
in seconds; doubles with each further one."""

MAX_BACKOFF_S = 60.0
"""Longest such wait, in seconds; the task still has to run again some time."""

MAX_NOTED_SUSPECTS = 8
"""Most suspects of a crash that a log entry names."""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of an executor.

    Attributes:
        incarnation: The incarnation that crashed.
        suspects: Runs that may have caused it.
    """

    incarnation: str
    suspects: tuple[_runs.Run, ...]


class CrashRecorder:
    """Records which tasks may have crashed an executor, and gives up jobs.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._inherited_attempts_by_executor: dict[
            str, list[_job_spec.TaskId]
        ] = {}

    def prove_listed_runs(
        self,
        executor: _executors.ExecutorState,
        listed_keys: Container[_executors.RunKey],
        sent_s: float,
    ) -> None:
        """Marks runs as proven that an answer lists after their probation.

        Args:
            executor: The executor that answered.
            listed_keys: Tasks and run numbers that the answer lists.
            sent_s: When the renewal was sent.
        """
        for key, run in list(executor.unproven_run_by_key.items()):
            if (
                key in listed_keys
                and run.phase is _runs.RunPhase.RUNNING
                and sent_s >= run.phase_since_s + PROBATION_S
            ):
                executor.mark_proven(run)
                self.settle_attempt(run)

    def find_crash(self, executor: _executors.ExecutorState) -> Crash:
        """Returns the runs that may have crashed an executor.

        A run that was started in isolation is the only suspect. An executor
        that drains exits by itself.
        """
        if executor.listing.is_draining:
            return Crash(executor.incarnation, ())
        suspects = tuple(
            run
            for run in executor.unproven_run_by_key.values()
            if not run.is_start_held
        )
        isolated = tuple(run for run in suspects if run.is_isolated)
        return Crash(executor.incarnation, isolated or suspects)

    def suspect_run(
        self, executor: _executors.ExecutorState, run: _runs.Run
    ) -> None:
        """Records an unproven run as a suspect of its executor's silence.

        Its task starts a second time before it is known whether the executor
        has crashed.
        """
        if not run.is_proven:
            self._record(executor.incarnation, run.task, is_isolated=False)

    def record_crash(
        self,
        executor: _executors.ExecutorState,
        crash: Crash,
        now: _time.Now,
        *,
        is_certain: bool = True,
    ) -> None:
        """Records the crash of an executor with all of its suspects.

        The runs of the executor have been released.

        Args:
            executor: The executor.
            crash: What `find_crash` returned of it.
            now: The time.
            is_certain: Whether another incarnation has shown the crash; else
                the executor was only lost, which counts as weak evidence.
        """
        if is_certain:
            self.settle_inherited_attempts(executor, "", now)
        suspects = crash.suspects
        if not suspects:
            return
        is_group = self._has_crashed_with_group(executor, now)
        is_isolated = suspects[0].is_isolated and is_certain and not is_group
        self._cell.note(
            "executor.crashed",
            executor=executor.listing.id,
            isolated=is_isolated,
            with_group=is_group,
            certain=is_certain,
            suspect_count=len(suspects),
            suspects=" ".join(
                str(run.task) for run in suspects[:MAX_NOTED_SUSPECTS]
            ),
        )
        for run in suspects:
            self._blame(
                crash.incarnation, run.task, now, is_isolated=is_isolated
            )

    def restore(self) -> None:
        """Remembers the attempts of earlier terms that are not settled.

        A restart of their executor since then tells that it crashed.
        """
        for job in self._cell.job_by_id.values():
            for place, crashes in job.progress.crashes_by_position.items():
                executor_id, _, _ = crashes.attempt_executor.rpartition("@")
                if executor_id:
                    self._inherited_attempts_by_executor.setdefault(
                        executor_id, []
                    ).append(_job_spec.TaskId(job.id, *place))

    def settle_inherited_attempts(
        self,
        executor: _executors.ExecutorState,
        incarnation: str,
        now: _time.Now,
    ) -> None:
        """Blames tasks whose attempt was on another incarnation.

        Args:
            executor: The executor of the attempts, which earlier terms ordered.
            incarnation: The incarnation that answered; empty if it is another
                executor.
            now: The time.
        """
        tasks = self._inherited_attempts_by_executor.pop(
            executor.listing.id, ()
        )
        attempts: list[tuple[str, _job_spec.TaskId, bool]] = []
        for task in tasks:
            job = self._cell.find_job(task)
            place = _cell_state.place_in_job(task)
            if job is None or not self._cell.is_task_unfinished(task):
                # The steps of a finished job may be gone.
                continue
            if place not in job.progress.crashes_by_position:
                continue
            attempt = job.progress.crashes_by_position[place].attempt_executor
            # This term may have started the task again elsewhere.
            executor_id, _, _ = attempt.rpartition("@")
            if executor_id == executor.listing.id and attempt != incarnation:
                attempts.append((attempt, task, job.needs_isolated_start(task)))
        # Blaming a member of a gang may let the others need isolation.
        for attempt, task, is_isolated in attempts:
            self._blame(attempt, task, now, is_isolated=is_isolated)

    def _blame(
        self,
        incarnation: str,
        task: _job_spec.TaskId,
        now: _time.Now,
        *,
        is_isolated: bool,
    ) -> None:
        """Records a crash of a task, and gives up its job or lets it wait."""
        crashes = self._record(incarnation, task, is_isolated=is_isolated)
        job = self._cell.find_job(task)
        if crashes is None or job is None:
            return
        if job.spec.steps[task.step].runs_until_cancelled:
            self._back_off(job, task, crashes, now)
        elif _crash_evidence.is_culprit(crashes):
            self._give_up(job, task, crashes, now)

    def _has_crashed_with_group(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> bool:
        """Returns whether most executors of the same labels are lost too.

        Executors of one rack lose power together.
        """
        listing = executor.listing
        lost_count = 0
        alive_count = 0
        for other in self._cell.executor_by_id.values():
            if (
                other.listing.zone != listing.zone
                or other.listing.labels != listing.labels
            ):
                continue
            if self._cell.is_in_contact(other, now.boot_s):
                alive_count += 1
            elif other.last_answer_s is not None and (
                now.boot_s - other.last_answer_s
                < GROUP_WINDOW_S + _limits.CONTACT_TIMEOUT_S
            ):
                lost_count += 1
        return lost_count >= MIN_GROUP_CRASHES and lost_count > alive_count

    def _record(
        self,
        incarnation: str,
        task: _job_spec.TaskId,
        *,
        is_isolated: bool,
    ) -> _progress.TaskCrashes | None:
        """Adds a crash to the record of a task, unless the task is finished.

        Returns:
            All crashes of the task; None if it is finished.
        """
        cell = self._cell
        job = cell.find_job(task)
        if job is None or not cell.is_task_unfinished(task):
            return None
        place = _cell_state.place_in_job(task)
        crashes = job.progress.crashes_by_position.get(
            place, _progress.TaskCrashes()
        ).with_crash(incarnation, is_isolated=is_isolated)
        job.progress.crashes_by_position[place] = crashes
        cell.mark_progress_dirty(job)
        cell.note(
            "task.crash-recorded",
            task=str(task),
            executor=incarnation,
            shared=len(crashes.shared_executors),
            isolated=len(crashes.isolated_executors),
        )
        return crashes

    def _give_up(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        crashes: _progress.TaskCrashes,
        now: _time.Now,
    ) -> None:
        """Fails the job of a task that crashes its executors."""
        executors = (*crashes.shared_executors, *crashes.isolated_executors)
        self._cell.note(
            "job.given-up",
            job=job.id,
            task=str(task),
            executors=" ".join(executors),
        )
        self._cell.finish_job(job, _progress.JobState.FAILED, now)

    def _back_off(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        crashes: _progress.TaskCrashes,
        now: _time.Now,
    ) -> None:
        """Delays the next start of a lasting task that waits for it."""
        crash_count = len(crashes.isolated_executors)
        place = _cell_state.place_in_job(task)
        waiting_tasks = job.waiting_tasks_by_step.get(place[:2])
        if (
            not crash_count
            or waiting_tasks is None
            or place[2] not in waiting_tasks
        ):
            return
        delay_s = min(FIRST_BACKOFF_S * 2 ** (crash_count - 1), MAX_BACKOFF_S)
        job.requeue_task(place, now.boot_s, delay_s)

    def settle_attempt(self, run: _runs.Run) -> None:
        """Records that a suspect's run did not crash its executor.

        The crashes of a task that runs until cancelled are forgotten with it,
        so that it does not wait for what was long ago.
        """
        job = self._cell.find_job(run.task)
        if job is None or not run.is_attempt:
            return
        place = _cell_state.place_in_job(run.task)
        crashes = job.progress.crashes_by_position.get(place)
        if crashes is None:
            return
        if run.step.runs_until_cancelled:
            crashes = _progress.TaskCrashes()
        self._end_attempt(job, place, crashes)

    def withdraw_attempt(self, run: _runs.Run) -> None:
        """Records that a suspect's run was not begun.

        A crash of its executor is not put down to it; those before still are.
        """
        job = self._cell.find_job(run.task)
        if job is None or not run.is_attempt:
            return
        place = _cell_state.place_in_job(run.task)
        crashes = job.progress.crashes_by_position.get(place)
        if crashes is not None:
            self._end_attempt(job, place, crashes)

    def _end_attempt(
        self,
        job: _jobs.Job,
        place: _progress.TaskPosition,
        crashes: _progress.TaskCrashes,
    ) -> None:
        """Records the crashes of a task without an attempt."""
        ended = dataclasses.replace(crashes, attempt_executor="")
        if ended == _progress.TaskCrashes():
            del job.progress.crashes_by_position[place]
        else:
            job.progress.crashes_by_position[place] = ended
        self._cell.mark_progress_dirty(job)


def record_attempt(
    cell: _cell_state.CellState,
    job: _jobs.Job,
    run: _runs.Run,
    executor: _executors.ExecutorState,
) -> None:
    """Records where a suspect is started, to be stored before it starts.

    Of a gang in isolation, members without a crash had no record of their own.
    """
    place = _cell_state.place_in_job(run.task)
    crashes = job.progress.crashes_by_position.get(place)
    if crashes is None and not run.is_isolated:
        return
    run.is_attempt = True
    job.progress.crashes_by_position[place] = dataclasses.replace(
        crashes or _progress.TaskCrashes(),
        attempt_executor=executor.incarnation,
    )
    cell.mark_progress_dirty(job)

"""Moves runs off executors that drain, before these exit.

When an executor exits, its runs end, and nobody lists these ends: their tasks
would wait until the executor's lease has certainly expired. A run that is
stopped before has an end that is listed, so its task starts elsewhere at once.
"""

import collections

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _inherited_runs
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec

EVACUATION_INTERVAL_S = 0.1
"""Interval between searches for runs to move, in seconds: a twentieth of the
least time for which executors drain."""

NOTE_INTERVAL_S = 1.0
"""Interval between log entries about lasting runs that cannot be moved yet, in
seconds."""


class Evacuation:
    """Stops runs on draining executors so that their tasks start elsewhere.

    Lasting runs are stopped as soon as there is room for them elsewhere. Runs
    that end by themselves go on; those that save their work are stopped just
    before the executor may exit. Members of gangs stay, because stopping one
    ends them all.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._next_search_s = float("-inf")
        self._next_note_s = float("-inf")

    def tick(self, now: _time.Now) -> None:
        """Stops the runs that are to be moved now.

        Does nothing without a confirmed term, which could not start them
        again.
        """
        cell = self._cell
        if not cell.is_term_confirmed or cell.is_fenced:
            return
        if now.boot_s < self._next_search_s:
            return
        self._next_search_s = now.boot_s + EVACUATION_INTERVAL_S
        draining = [
            each
            for each in cell.executor_by_id.values()
            if each.run_by_key
            and each.is_listed
            and each.listing.is_draining
            and cell.is_in_contact(each, now.boot_s)
        ]
        if not draining:
            return
        for executor in draining:
            self._save_short_runs(executor, now)
        self._move_lasting_runs(draining, now)

    def _save_short_runs(
        self, executor: _executors.ExecutorState, now: _time.Now
    ) -> None:
        """Stops runs with checkpoints if the executor may exit soon.

        The time left just suffices for a stop and for a renewal that lists the
        end with its checkpoint.
        """
        if executor.drain_ends_s is None:
            return
        needed_s = self._cell.times.stop_timeout_s + _limits.RENEWAL_WAIT_S
        if executor.drain_ends_s - now.boot_s >= needed_s:
            return
        for run in list(executor.run_by_key.values()):
            if (
                run.step.checkpoints
                and not run.step.runs_until_cancelled
                and self._is_movable(run)
            ):
                self._stop_run(executor, run, now)

    def _move_lasting_runs(
        self, draining: list[_executors.ExecutorState], now: _time.Now
    ) -> None:
        """Stops lasting runs as far as there is room for them elsewhere.

        Tasks that wait or whose run is being stopped come first.
        """
        lasting = [
            (executor, run)
            for executor in draining
            for run in executor.run_by_key.values()
            if run.step.runs_until_cancelled
            and run.phase is not _runs.RunPhase.STOPPING
        ]
        candidates = [each for each in lasting if self._is_movable(each[1])]
        moved = 0
        if candidates:
            room = _Room(self._cell, now.boot_s)
            for step, task in self._lasting_tasks_without_run():
                room.take(step, task)
            for executor, run in candidates:
                if room.take(run.step, run.task):
                    self._stop_run(executor, run, now)
                    moved += 1
        if moved < len(lasting):
            self._note_staying_runs(
                draining,
                now,
                no_room=len(candidates) - moved,
                not_movable=len(lasting) - len(candidates),
            )

    def _note_staying_runs(
        self,
        draining: list[_executors.ExecutorState],
        now: _time.Now,
        *,
        no_room: int,
        not_movable: int,
    ) -> None:
        """Logs at intervals how many lasting runs stay for now, and why.

        Args:
            draining: The executors that drain.
            now: The time.
            no_room: Runs without room elsewhere.
            not_movable: Runs that are not at work, are gang members, or whose
                task may have a run that is not listed.
        """
        if now.boot_s < self._next_note_s:
            return
        self._next_note_s = now.boot_s + NOTE_INTERVAL_S
        self._cell.note(
            "executor.evacuation-waits",
            executors=len(draining),
            first=draining[0].listing.id,
            no_room=no_room,
            not_movable=not_movable,
        )

    def _is_movable(self, run: _runs.Run) -> bool:
        """Returns whether a run is at work and its task could start again."""
        cell = self._cell
        if run.phase is not _runs.RunPhase.RUNNING or run.step.gang:
            return False
        if cell.current_run_by_task.get(run.task) is not run:
            return False
        job = cell.find_job(run.task)
        if job is None or not cell.is_task_unfinished(run.task):
            return False
        return not _inherited_runs.may_run_unlisted(
            cell, job, _cell_state.place_in_job(run.task)
        )

    def _lasting_tasks_without_run(
        self,
    ) -> list[tuple[_job_spec.StepSpec, _job_spec.TaskId]]:
        """Returns the lasting tasks that wait or whose run is being stopped.

        Gangs are left out: they start only once there is room for all members.
        """
        cell = self._cell
        found = [
            (run.step, run.task)
            for executor in cell.executor_by_id.values()
            for run in executor.stopping_run_by_key.values()
            if run.step.runs_until_cancelled
            and not run.step.gang
            and cell.is_task_unfinished(run.task)
        ]
        for job in cell.job_by_id.values():
            if not job.is_active or not job.has_lasting_step:
                continue
            for key, waiting_tasks in job.waiting_tasks_by_step.items():
                step = job.spec.steps[waiting_tasks.step]
                if step.runs_until_cancelled and not step.gang:
                    found += [
                        (step, _job_spec.TaskId(job.id, *key, index))
                        for index, _ in waiting_tasks.items()
                    ]
        return found

    def _stop_run(
        self,
        executor: _executors.ExecutorState,
        run: _runs.Run,
        now: _time.Now,
    ) -> None:
        """Starts stopping a run and notes why."""
        ends_s = executor.drain_ends_s
        self._cell.note(
            "task.evacuated",
            task=str(run.task),
            run=run.number,
            executor=executor.listing.id,
            drain_left_s=(
                "unknown" if ends_s is None else round(ends_s - now.boot_s, 3)
            ),
        )
        executor.stop_run(run, now.boot_s)


class _Room:
    """Free capacity of the executors that accept tasks, as tasks take it.

    Args:
        cell: The scheduler's state, which is not changed.
        now_s: Current time in seconds.
    """

    def __init__(self, cell: _cell_state.CellState, now_s: float) -> None:
        self._cell = cell
        self._executors_by_service: collections.defaultdict[
            str, list[_executors.ExecutorState]
        ] = collections.defaultdict(list)
        for executor in cell.executor_by_id.values():
            if cell.is_usable(executor, now_s):
                service = executor.listing.service
                self._executors_by_service[service].append(executor)
        self._taken_by_executor_id: collections.defaultdict[
            str, _job_spec.Resources
        ] = collections.defaultdict(_job_spec.Resources)
        self._filler_millicores_by_executor_id: collections.Counter[str] = (
            collections.Counter()
        )
        self._candidates_by_step: dict[
            tuple[str, int, int], list[_executors.ExecutorState]
        ] = {}
        self._count_by_step_and_executor_id: collections.Counter[
            tuple[tuple[str, int, int], str]
        ] = collections.Counter()

    def take(self, step: _job_spec.StepSpec, task: _job_spec.TaskId) -> bool:
        """Takes the room of one task; returns False if it fits nowhere.

        Room is only taken, so an executor that does not fit a task of a step
        fits none of its later tasks either.
        """
        key = (task.job, task.occurrence, task.step)
        candidates = self._candidates_by_step.get(key)
        if candidates is None:
            candidates = self._candidates_by_step[key] = self._find_candidates(
                step, task
            )
        while candidates:
            executor = candidates[-1]
            if self._fits(step, task, executor):
                executor_id = executor.listing.id
                self._taken_by_executor_id[executor_id] += (
                    step.reserved_resources
                )
                if step.fills:
                    self._filler_millicores_by_executor_id[executor_id] += (
                        step.size.cpu_millicores
                    )
                self._count_by_step_and_executor_id[key, executor_id] += 1
                return True
            candidates.pop()
        return False

    def _find_candidates(
        self, step: _job_spec.StepSpec, task: _job_spec.TaskId
    ) -> list[_executors.ExecutorState]:
        """Returns the executors on which a task could start now.

        Those that the approval policy has not decided on are among them.
        """
        cell = self._cell
        key = (task.job, task.occurrence, task.step)
        service = cell.job_by_id[task.job].queue.service
        executors = [
            each
            for each in self._executors_by_service[service]
            if not cell.approvals.is_refused(key, each)
        ]
        return _placement.startable_executors(
            step, task, executors, cell.sharing
        )

    def _fits(
        self,
        step: _job_spec.StepSpec,
        task: _job_spec.TaskId,
        executor: _executors.ExecutorState,
    ) -> bool:
        """Returns whether a task fits beside what has taken room before."""
        key = (task.job, task.occurrence, task.step)
        executor_id = executor.listing.id
        taken = self._taken_by_executor_id[executor_id]
        if not (executor.free_capacity - taken).covers(step.reserved_resources):
            return False
        if step.fills:
            unused = (
                executor.unused_millicores
                - taken.cpu_millicores
                - self._filler_millicores_by_executor_id[executor_id]
            )
            if unused < step.size.cpu_millicores:
                return False
        if not step.max_per_executor:
            return True
        count = executor.count_runs_of_step(task)
        count += self._count_by_step_and_executor_id[key, executor_id]
        return count < step.max_per_executor

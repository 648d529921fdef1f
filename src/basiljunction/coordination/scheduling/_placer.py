"""Placement of waiting tasks on executors, as start orders."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set

from basiljunction.coordination.scheduling import _approval_requests
from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _crashes
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _inherited_runs
from basiljunction.coordination.scheduling import _isolated_starts
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _last_resorts
from basiljunction.coordination.scheduling import _ordering
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _pass_window
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _preemption
from basiljunction.coordination.scheduling import _runs
from basiljunction.coordination.scheduling import _service_capacity
from basiljunction.coordination.scheduling import _sharing
from basiljunction.coordination.scheduling import _wait_notes
from basiljunction.coordination.scheduling import _waiting_tasks
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

MAX_STARTS_PER_PASS = 40
"""Most tasks started in one placement pass.

At 0.3 ms each they delay other events by 12 ms.
"""

MAX_URGENT_STARTS_PER_PASS = 20
"""Most urgent starts of lasting tasks that go before all others in one
placement pass: half of its starts, so that short tasks keep the other half."""

RETRY_ELSEWHERE_S = 1.0
"""How long a failed task waits for an executor on which it has not failed, in
seconds: a third of the time in which a task must start if capacity is free."""

SLOWED_START_DELAY_S = 1.0
"""Wait after which a filler of a job that has nothing running may start at a
reduced pace, in seconds: a third of the time in which a task must start if
capacity is free."""

MAX_SLOWED_START_USE = 0.5
"""Largest share of a service's capacity in use at which fillers start at a
reduced pace. Above it they need not start at once, and each would take the
place of one at full pace."""

_IDLE_INTERVAL_S = 0.1
"""Interval between placement passes while nothing changes, in seconds."""

_BUSY_INTERVAL_S = 0.015
"""Least interval between placement passes, in seconds.

A pass may take some 3 ms.
"""


class Placer:
    """Chooses executors for waiting tasks and orders their start.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._last_pass_s = float("-inf")
        self._demand_by_service: dict[str, _preemption.ShortTaskDemand] = {}
        self._capacity_by_service: dict[
            str, _service_capacity.ServiceCapacity
        ] = {}
        self._unplaceable_size_by_kind: dict[
            tuple[str, str | None], _job_spec.Resources
        ] = {}
        self._unplaceable_steps: set[tuple[str, int, int]] = set()
        self._preemption_by_service: dict[
            str, _preemption.PreemptionSearch
        ] = {}
        self._window = _pass_window.PassWindow()
        self._urgent_window = _pass_window.PassWindow()
        self._isolated_starts = _isolated_starts.IsolatedStarts(cell)
        self._last_resorts = _last_resorts.LastResorts(cell)
        self._approval_requests = _approval_requests.ApprovalRequests(cell)
        self._wait_notes = _wait_notes.WaitNotes(cell)

    def could_ever_fit(self, accepted: _progress.AcceptedJob) -> bool:
        """Returns whether each step of a job fits some executor when empty.

        The largest known capacity of an executor counts, because one that has
        shrunk may grow again while the job waits. Returns True while the job's
        service has no known executor, since the sizes are not known then.
        """
        executors = [
            each
            for each in self._cell.executor_by_id.values()
            if each.listing.service == accepted.queue.service
        ]
        if not executors:
            return True
        return all(
            any(
                _placement.may_become_eligible(step, each) for each in executors
            )
            for step in accepted.spec.steps
        )

    def place_waiting_tasks(self, now: _time.Now) -> None:
        """Orders the start of waiting tasks that fit, in order of rank.

        Urgent starts of lasting tasks go first, up to a share of the pass.
        Does nothing without a confirmed term, or too soon after the last pass.
        """
        cell = self._cell
        if not cell.is_term_confirmed or cell.is_fenced:
            return
        since_last_pass_s = now.boot_s - self._last_pass_s
        has_changed = cell.needs_placing
        interval_s = (
            _BUSY_INTERVAL_S
            if has_changed or self._window.unseen_count
            else _IDLE_INTERVAL_S
        )
        if since_last_pass_s < interval_s:
            return
        cell.needs_placing = False
        self._last_pass_s = now.boot_s
        self._unplaceable_size_by_kind.clear()
        self._unplaceable_steps.clear()
        self._preemption_by_service.clear()
        executors_by_service: dict[str, list[_executors.ExecutorState]] = {}
        self._isolated_starts.begin_pass(now)
        for executor in cell.executor_by_id.values():
            if not cell.is_usable(executor, now.boot_s):
                continue
            service = executor.listing.service
            others = executors_by_service.setdefault(service, [])
            if executor.isolated_for is None:
                others.append(executor)
        self._last_resorts.begin_pass(now.boot_s)
        for service in self._last_resorts.services:
            executors_by_service.setdefault(service, [])
        self._isolated_starts.set_executors(executors_by_service)
        jobs = self._ranked_waiting_jobs(now)
        self._update_demand(jobs, executors_by_service, now)
        urgent_budget = self._place_jobs(
            self._urgent_window.choose(
                _ordering.jobs_with_urgent_starts(jobs, now.boot_s),
                has_changed=has_changed,
            ),
            executors_by_service,
            MAX_URGENT_STARTS_PER_PASS,
            now,
            urgent_only=True,
        )
        started = MAX_URGENT_STARTS_PER_PASS - urgent_budget
        budget = self._place_jobs(
            self._window.choose(jobs, has_changed=has_changed),
            executors_by_service,
            MAX_STARTS_PER_PASS - started,
            now,
        )
        self._approval_requests.send_due(now)
        cell.skipped_step_count = self._window.skipped_count
        cell.needs_placing |= budget <= 0
        self._wait_notes.note_longest_waits(jobs, executors_by_service, now)

    def _place_jobs(
        self,
        job_steps: Iterable[_pass_window.JobSteps],
        executors_by_service: dict[str, list[_executors.ExecutorState]],
        budget: int,
        now: _time.Now,
        *,
        urgent_only: bool = False,
    ) -> int:
        """Places the waiting tasks of jobs in turn while the budget lasts.

        Args:
            job_steps: The jobs and their steps, the first to place first.
            executors_by_service: Executors that take tasks of any job.
            budget: Tasks that this pass may still start.
            now: The time.
            urgent_only: Whether to place only urgent starts.

        Returns:
            The remaining budget, which a gang may exceed.
        """
        for job, steps in job_steps:
            if budget <= 0:
                break
            executors = executors_by_service.get(job.queue.service)
            if executors is not None:
                budget = self._place_job(
                    job, steps, executors, budget, now, urgent_only=urgent_only
                )
        return budget

    def _ranked_waiting_jobs(self, now: _time.Now) -> list[_jobs.Job]:
        """Returns the jobs with waiting tasks, the first to place first.

        Inherited jobs are left out while runs of an earlier term may exist,
        unless tasks of them are known not to run.
        """
        cell = self._cell
        jobs = []
        for job in cell.job_by_id.values():
            if not job.is_active or (
                job.is_inherited
                and cell.has_inherited_runs
                and not job.has_known_executors
            ):
                continue
            job.open_ready_steps(now.boot_s, now.wall_s)
            if job.waiting_tasks_by_step:
                jobs.append(job)
        jobs.sort(
            key=lambda each: _ordering.placement_sort_key(each, now.boot_s)
        )
        return jobs

    def _update_demand(
        self,
        jobs: list[_jobs.Job],
        executors_by_service: dict[str, list[_executors.ExecutorState]],
        now: _time.Now,
    ) -> None:
        """Updates each service's capacity and its demand of short tasks."""
        waiting_by_service: dict[str, int] = {}
        for job in jobs:
            service = job.queue.service
            waiting = waiting_by_service.get(service, 0)
            waiting_by_service[service] = waiting + job.waiting_short_millicores
        for service, executors in executors_by_service.items():
            used, vacating = _preemption.sum_short_and_vacating(executors)
            demand = self._demand_by_service.setdefault(
                service, _preemption.ShortTaskDemand()
            )
            waiting = waiting_by_service.get(service, 0)
            demand.update_demand(used + waiting, now.boot_s)
            capacity = _service_capacity.ServiceCapacity(
                total_millicores=sum(
                    e.listing.capacity.cpu_millicores for e in executors
                ),
                # One that is over its capacity takes nothing from others.
                free_millicores=sum(
                    max(0, e.free_capacity.cpu_millicores) for e in executors
                ),
                reserved_millicores=max(0.0, demand.millicores - used),
                vacating_millicores=vacating,
                requested_millicores=waiting,
            )
            self._capacity_by_service[service] = capacity

    def _may_start_beside_short_tasks(
        self,
        job: _jobs.Job,
        step: _job_spec.StepSpec,
        waited_s: float,
    ) -> bool:
        """Returns whether a task may start despite the reserved capacity.

        Only lasting tasks are held back, and only for a limited time.
        """
        capacity = self._capacity_by_service[job.queue.service]
        if not step.runs_until_cancelled:
            return True
        return _preemption.may_start_lasting_task(
            step,
            waited_s,
            free_millicores=capacity.free_millicores,
            kept_millicores=capacity.reserved_millicores,
        )

    def _preempt_lasting_runs(
        self,
        job: _jobs.Job,
        step: _job_spec.StepSpec,
        waited_s: float,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
    ) -> None:
        """Stops lasting runs so that a waiting short task can start.

        Does nothing before the task has waited for a while, longer if its job
        is far beyond its objective, or if enough capacity is being freed.
        """
        capacity = self._capacity_by_service[job.queue.service]
        if not _preemption.is_short_step(step) or step.required_label:
            return
        if (
            waited_s < _preemption.PREEMPTION_DELAY_S
            or capacity.vacating_millicores >= capacity.requested_millicores
        ):
            return
        status = _ordering.objective_status(job, now.boot_s)
        if (
            status is _ordering.ObjectiveStatus.HOPELESS
            and waited_s < _preemption.HOPELESS_PREEMPTION_DELAY_S
        ):
            return
        if job.queue.approval is not None:
            # The approved executors differ from step to step.
            search = _preemption.PreemptionSearch()
        else:
            search = self._preemption_by_service.setdefault(
                job.queue.service, _preemption.PreemptionSearch()
            )
        for run in search.choose_runs(step, executors):
            capacity.vacating_millicores += run.step.size.cpu_millicores
            self._cell.note(
                "task.preempted",
                task=str(run.task),
                run=run.number,
                executor=run.executor,
                by_job=job.id,
                waited_s=round(waited_s, 3),
            )
            run.is_preempted = True
            self._cell.executor_by_id[run.executor].stop_run(run, now.boot_s)

    def _place_job(
        self,
        job: _jobs.Job,
        steps: Iterable[_waiting_tasks.WaitingTasks],
        executors: list[_executors.ExecutorState],
        budget: int,
        now: _time.Now,
        *,
        urgent_only: bool,
    ) -> int:
        """Places the waiting tasks of a job.

        Args:
            job: The job.
            steps: The waiting tasks of some of its steps.
            executors: Executors of its service that accept new tasks.
            budget: Tasks that this pass may still start.
            now: The time.
            urgent_only: Whether to place only urgent starts.

        Returns:
            The remaining budget.
        """
        for waiting_tasks in steps:
            approved_executors = executors
            if job.queue.approval is not None:
                key = (job.id, waiting_tasks.occurrence, waiting_tasks.step)
                approved_executors = self._cell.approvals.approved_executors(
                    key, executors, now.boot_s
                )
            if job.progress.crashes_by_position:
                budget = self._place_isolated_tasks(
                    job,
                    waiting_tasks,
                    approved_executors,
                    budget,
                    now,
                    urgent_only=urgent_only,
                )
                if budget <= 0:
                    return budget
                approved_executors = [
                    e for e in approved_executors if e.isolated_for is None
                ]
            budget = self._place_step_tasks(
                job,
                waiting_tasks,
                approved_executors,
                budget,
                now,
                urgent_only=urgent_only,
            )
            if budget <= 0:
                return budget
            if job.queue.approval is not None and waiting_tasks:
                self._approval_requests.add(
                    job,
                    waiting_tasks,
                    executors
                    or self._last_resorts.executors_of(job.queue.service),
                )
        return budget

    def _place_step_tasks(
        self,
        job: _jobs.Job,
        waiting_tasks: _waiting_tasks.WaitingTasks,
        executors: list[_executors.ExecutorState],
        budget: int,
        now: _time.Now,
        *,
        urgent_only: bool,
    ) -> int:
        """Places the waiting tasks of one step; returns the remaining budget.

        It stops at the first task that cannot be placed.
        """
        key = (job.id, waiting_tasks.occurrence, waiting_tasks.step)
        if key in self._unplaceable_steps:
            return budget
        step = job.spec.steps[waiting_tasks.step]
        if step.gang:
            return budget - self._place_gang(
                job, waiting_tasks, executors, now, urgent_only=urgent_only
            )
        ranking: _placement.StepRanking | None = None
        for task, waited_s in self._tasks_to_place(
            job, waiting_tasks, now, urgent_only=urgent_only
        ):
            failed_ids = _executor_ids_to_avoid(job, task, waited_s)
            if ranking is None or failed_ids:
                ranking = self._rank_executors(job, task, failed_ids, executors)
            chosen = ranking.best_executor()
            if chosen is None:
                if not failed_ids:
                    self._remember_unplaceable(job, step)
                budget -= self._start_if_nothing_better(
                    job, task, waited_s, executors, now
                )
                if urgent_only:
                    self._unplaceable_steps.add(key)
                break
            self._start_run(
                job, task, chosen, self._cell.next_run_number(), now
            )
            ranking.update_best_executor()
            if failed_ids:
                ranking = None  # The next task may use more executors.
            budget -= 1
            if budget <= 0:
                break
        return budget

    def _may_start_slowed(
        self, job: _jobs.Job, step: _job_spec.StepSpec, waited_s: float
    ) -> bool:
        """Returns whether a filler may start at a reduced pace.

        One at a time shows what the job's fillers take from serving tasks.
        """
        if not step.fills or job.running_places:
            return False
        if waited_s < SLOWED_START_DELAY_S:
            return False
        capacity = self._capacity_by_service[job.queue.service]
        used = capacity.total_millicores - capacity.free_millicores
        return used < MAX_SLOWED_START_USE * capacity.total_millicores

    def _start_if_nothing_better(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        waited_s: float,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
    ) -> int:
        """Starts a task at a reduced pace or on a failing executor, if it may.

        Otherwise a lasting run may be stopped for it.

        Returns:
            The number of started tasks.
        """
        step = job.spec.steps[task.step]
        chosen = self._executor_at_reduced_pace(
            job, task, waited_s, executors
        ) or self._last_resorts.choose_executor(job, task, waited_s, now.boot_s)
        if chosen is None:
            self._preempt_lasting_runs(job, step, waited_s, executors, now)
            return 0
        number = self._cell.next_run_number()
        self._start_run(job, task, chosen, number, now)
        # Another lasting task of the step may start in the same way.
        self._cell.needs_placing = True
        return 1

    def _executor_at_reduced_pace(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        waited_s: float,
        executors: list[_executors.ExecutorState],
    ) -> _executors.ExecutorState | None:
        """Returns where serving tasks allow a filler at a reduced pace.

        It is slowed only where they don't allow full pace, and shares the
        processor time of the executor with other fillers.
        """
        step = job.spec.steps[task.step]
        if not self._may_start_slowed(job, step, waited_s):
            return None
        ranking = _placement.StepRanking(
            step,
            task,
            executors,
            self._cell.sharing,
            _sharing.THROTTLED_PACE_PERCENT,
        )
        return ranking.best_executor()

    def _place_isolated_tasks(
        self,
        job: _jobs.Job,
        waiting_tasks: _waiting_tasks.WaitingTasks,
        executors: list[_executors.ExecutorState],
        budget: int,
        now: _time.Now,
        *,
        urgent_only: bool,
    ) -> int:
        """Starts tasks of a step that may only start in isolation.

        A gang is left to `_place_gang`.

        Returns:
            The remaining budget.
        """
        step = job.spec.steps[waiting_tasks.step]
        for task, waited_s in self._tasks_to_place(
            job, waiting_tasks, now, urgent_only=urgent_only, isolated=True
        ):
            if step.gang or budget <= 0:
                break
            failed_ids = _executor_ids_to_avoid(job, task, waited_s)
            chosen = self._isolated_starts.choose_executor(
                step,
                task,
                _placement.without_executors(executors, failed_ids),
                now.boot_s,
                pace_percent=(
                    _sharing.THROTTLED_PACE_PERCENT
                    if self._may_start_slowed(job, step, waited_s)
                    else _sharing.FULL_PACE_PERCENT
                ),
            )
            if chosen is None:
                continue
            number = self._cell.next_run_number()
            self._start_run(job, task, chosen, number, now, is_isolated=True)
            budget -= 1
        return budget

    def _tasks_to_place(
        self,
        job: _jobs.Job,
        waiting_tasks: _waiting_tasks.WaitingTasks,
        now: _time.Now,
        *,
        urgent_only: bool,
        isolated: bool = False,
    ) -> Iterator[tuple[_job_spec.TaskId, float]]:
        """Yields the tasks of a step that may start, with their waits in s.

        They are those that start in isolation, or those that don't.

        The capacity that is kept for short tasks is checked anew for each task,
        since starts use it up.
        """
        key = (waiting_tasks.occurrence, waiting_tasks.step)
        step = job.spec.steps[waiting_tasks.step]
        for index, ready_s in waiting_tasks.items():
            waited_s = now.boot_s - ready_s
            is_urgent = job.is_start_urgent((*key, index), now.boot_s)
            if waited_s < 0 or (urgent_only and not is_urgent):
                continue
            task = _job_spec.TaskId(job.id, *key, index)
            if job.needs_isolated_start(task) is not isolated:
                continue
            if _inherited_runs.may_run_unlisted(self._cell, job, (*key, index)):
                continue
            if not is_urgent and not self._may_start_beside_short_tasks(
                job, step, waited_s
            ):
                return
            yield task, waited_s

    def _rank_executors(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        failed_ids: Set[str],
        executors: list[_executors.ExecutorState],
    ) -> _placement.StepRanking:
        """Returns the ranking of the executors on which a task fits.

        Tasks at least as large as one that could not be placed earlier in the
        pass are not searched for.

        Args:
            job: The job.
            task: The task.
            failed_ids: Executors to avoid if others are left.
            executors: Executors of its service that accept new tasks.
        """
        step = job.spec.steps[task.step]
        unplaceable_size = self._unplaceable_size_by_kind.get(
            _kind_of_step(job, step)
        )
        if unplaceable_size is not None and step.size.covers(unplaceable_size):
            executors = []
        elif failed_ids:
            executors = _placement.without_executors(executors, failed_ids)
        return _placement.StepRanking(step, task, executors, self._cell.sharing)

    def _remember_unplaceable(
        self, job: _jobs.Job, step: _job_spec.StepSpec
    ) -> None:
        """Notes for the pass that tasks of a step's size fit nowhere.

        It says nothing of other steps if the step is bound to some executors.
        """
        if (
            step.required_label
            or step.max_per_executor
            or job.queue.approval is not None
        ):
            return
        kind = _kind_of_step(job, step)
        known_size = self._unplaceable_size_by_kind.get(kind)
        if known_size is None or not step.size.covers(known_size):
            self._unplaceable_size_by_kind[kind] = step.size

    def _place_gang(
        self,
        job: _jobs.Job,
        waiting_tasks: _waiting_tasks.WaitingTasks,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
        *,
        urgent_only: bool,
    ) -> int:
        """Starts all tasks of a gang step or none.

        A gang is a step whose tasks only run together. With `urgent_only`, it
        starts only if the start of any member is urgent.

        Returns:
            The number of started tasks.
        """
        step = job.spec.steps[waiting_tasks.step]
        if len(waiting_tasks) < step.count:
            return 0
        ready_s = waiting_tasks.latest_ready_s()
        if ready_s > now.boot_s:
            return 0
        key = (waiting_tasks.occurrence, waiting_tasks.step)
        if any(
            _inherited_runs.may_run_unlisted(self._cell, job, (*key, index))
            for index, _ in waiting_tasks.items()
        ):
            return 0
        if urgent_only and not any(
            job.is_start_urgent((*key, index), now.boot_s)
            for index, _ in waiting_tasks.items()
        ):
            return 0
        first = _job_spec.TaskId(
            job.id, waiting_tasks.occurrence, waiting_tasks.step, 0
        )
        waited_s = now.boot_s - ready_s
        if waited_s <= RETRY_ELSEWHERE_S:
            executors = _placement.without_executors(
                executors, job.executor_ids_gang_avoids(key)
            )
        is_isolated = job.needs_isolated_start(first)
        if is_isolated:
            chosen = self._isolated_starts.choose_gang(
                step, first, executors, now.boot_s
            )
        else:
            chosen = _placement.choose_gang(
                step, first, step.count, executors, self._cell.sharing
            ) or self._last_resorts.choose_gang(
                job, first, waited_s, executors, now.boot_s
            )
        if chosen is None:
            return 0
        number = self._cell.next_run_number()
        for index, executor in enumerate(chosen):
            task = _job_spec.TaskId(
                job.id, waiting_tasks.occurrence, waiting_tasks.step, index
            )
            self._start_run(
                job, task, executor, number, now, is_isolated=is_isolated
            )
        return step.count

    def _start_run(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        executor: _executors.ExecutorState,
        number: int,
        now: _time.Now,
        *,
        is_isolated: bool = False,
    ) -> None:
        """Creates a run of a task, books its capacity and orders its start."""
        cell = self._cell
        step = job.spec.steps[task.step]
        is_slowed = step.fills and not cell.sharing.allows_filler(
            step, executor
        )
        run = _runs.Run(
            task=task,
            number=number,
            executor=executor.listing.id,
            step=step,
            phase=_runs.RunPhase.ORDERED,
            phase_since_s=now.boot_s,
            generation=executor.generation,
            checkpoint=job.checkpoint_to_resume(task),
            is_isolated=is_isolated,
            is_slowing_due=is_slowed,
            is_last_resort=executor.failures.is_avoided(now.boot_s),
        )
        run.started_without_checkpoint = not run.checkpoint
        executor.add_run(run)
        waiting_tasks = job.waiting_tasks_by_step.get(
            (task.occurrence, task.step)
        )
        ready_s = now.boot_s
        if waiting_tasks is not None:
            known_s = waiting_tasks.ready_s(task.index)
            ready_s = now.boot_s if known_s is None else known_s
        place = _cell_state.place_in_job(task)
        run.turn_s = job.turn_s_by_place.get(place, ready_s)
        cell.note(
            "task.started",
            task=str(task),
            run=number,
            executor=executor.listing.id,
            waited_s=round(now.boot_s - ready_s, 3),
            slowed=is_slowed,
            standing=_ordering.objective_status(job, now.boot_s).name.lower(),
        )
        cell.set_current_run(job, run)
        cell.note_executor_of_lasting_task(job, run)
        _crashes.record_attempt(cell, job, run, executor)
        if not step.fills:
            capacity = self._capacity_by_service[job.queue.service]
            capacity.free_millicores -= step.size.cpu_millicores
        cell.order_start(
            job,
            _orders.StartOrder(
                executor=executor.listing.id,
                task=task,
                run=number,
                payload=job.spec.payload,
                lease_until_ms=executor.extend_lease(
                    now.boot_s, cell.times.lease_s
                ),
                checkpoint=run.checkpoint,
                approval=cell.approvals.approval_token(
                    (job.id, task.occurrence, task.step), executor, now.boot_s
                ),
            ),
        )


def _kind_of_step(
    job: _jobs.Job, step: _job_spec.StepSpec
) -> tuple[str, str | None]:
    """Returns the kind of tasks that fit wherever others of the kind fit."""
    return (job.queue.service, step.image if step.fills else None)


def _executor_ids_to_avoid(
    job: _jobs.Job, task: _job_spec.TaskId, waited_s: float
) -> Set[str]:
    """Returns the ids of executors to avoid for a task.

    Returns none once the task has waited for `RETRY_ELSEWHERE_S`.
    """
    if waited_s > RETRY_ELSEWHERE_S:
        return frozenset()
    return job.executor_ids_to_avoid(_cell_state.place_in_job(task))

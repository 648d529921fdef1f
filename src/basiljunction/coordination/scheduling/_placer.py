"""Turns waiting tasks into start orders."""

from collections.abc import Set
import dataclasses

from basiljunction.coordination.scheduling import _cell_state
from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _ordering
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _placement
from basiljunction.coordination.scheduling import _preemption
from basiljunction.coordination.scheduling import _runs
from basiljunction.state import _time
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress

MAX_STARTS_PER_PASS = 40
"""Starts of one pass; at 0.3 ms each they hold up other events 12 ms."""

RETRY_ELSEWHERE_S = 1.0
"""How long a retry waits for an executor on which it has not failed: a third of
the time in which a task has to start where there is room."""

_IDLE_INTERVAL_S = 0.1
"""How often waiting tasks are looked at when nothing has changed, seconds."""

_BUSY_INTERVAL_S = 0.015
"""Shortest time between two passes, seconds; a pass may take some 3 ms."""


@dataclasses.dataclass(slots=True)
class _ServiceRoom:
    """Processors of one service in one pass, in millicores.

    Attributes:
        free: Not booked.
        kept: Part of it that short tasks are about to use.
        vacating: Booked by lasting tasks that are being stopped.
        wanted: Asked for by waiting short tasks.
    """

    free: int
    kept: float
    vacating: int
    wanted: int


class Placer:
    """Places waiting tasks on executors.

    Args:
        cell: The scheduler's state.
    """

    def __init__(self, cell: _cell_state.CellState) -> None:
        self._cell = cell
        self._last_pass_s = float("-inf")
        self._demand_by_service: dict[str, _preemption.Demand] = {}
        self._room_by_service: dict[str, _ServiceRoom] = {}
        self._failed_by_kind: dict[tuple[str, str | None], _job_spec.Room] = {}

    def could_ever_fit(self, accepted: _progress.AcceptedJob) -> bool:
        """Returns whether each step fits onto some listed executor.

        A cell that lists no executor yet says nothing about sizes.
        """
        executors = [
            each
            for each in self._cell.executor_by_id.values()
            if each.entry.service == accepted.queue.service
        ]
        if not executors:
            return True
        return all(
            any(_placement.is_eligible(step, each) for each in executors)
            for step in accepted.spec.steps
        )

    def place(self, now: _time.Now) -> None:
        """Orders starts for the waiting tasks that fit, best first."""
        cell = self._cell
        if not cell.may_lead or cell.is_fenced:
            return
        since_s = now.boot_s - self._last_pass_s
        wait_s = _BUSY_INTERVAL_S if cell.needs_placing else _IDLE_INTERVAL_S
        if since_s < wait_s:
            return
        cell.needs_placing = False
        self._last_pass_s = now.boot_s
        self._failed_by_kind.clear()
        executors_by_service: dict[str, list[_executors.ExecutorState]] = {}
        for executor in cell.executor_by_id.values():
            if executor.may_start(now.boot_s):
                executors_by_service.setdefault(
                    executor.entry.service, []
                ).append(executor)
        jobs = self._waiting_jobs(now)
        self._update_demand(jobs, executors_by_service, now)
        budget = MAX_STARTS_PER_PASS
        for job in jobs:
            executors = executors_by_service.get(job.queue.service)
            if not executors:
                continue
            budget = self._place_job(job, executors, budget, now)
            if budget <= 0:
                cell.needs_placing = True
                return

    def _waiting_jobs(self, now: _time.Now) -> list[_jobs.Job]:
        cell = self._cell
        jobs = []
        for job in cell.job_by_id.values():
            if not job.is_active or (job.is_inherited and cell.has_inherited):
                continue
            job.open_steps(now.boot_s, now.wall_s)
            if job.bag_by_step:
                jobs.append(job)
        jobs.sort(key=lambda each: _ordering.rank(each, now.boot_s))
        return jobs

    def _update_demand(
        self,
        jobs: list[_jobs.Job],
        executors_by_service: dict[str, list[_executors.ExecutorState]],
        now: _time.Now,
    ) -> None:
        """Measures what short tasks use and need, and what is free."""
        waiting_by_service: dict[str, int] = {}
        for job in jobs:
            for bag in job.bag_by_step.values():
                step = job.spec.steps[bag.step]
                if _preemption.is_short(step):
                    service = job.queue.service
                    waiting = waiting_by_service.get(service, 0)
                    waiting_by_service[service] = waiting + (
                        step.size.cpu_millicores * len(bag.ready_s_by_index)
                    )
        for service, executors in executors_by_service.items():
            runs = [r for e in executors for r in e.run_by_key.values()]
            used = sum(
                run.step.size.cpu_millicores
                for run in runs
                if _preemption.is_short_run(run)
            )
            demand = self._demand_by_service.setdefault(
                service, _preemption.Demand()
            )
            waiting = waiting_by_service.get(service, 0)
            demand.update(used + waiting, now.boot_s)
            self._room_by_service[service] = _ServiceRoom(
                free=sum(e.free.cpu_millicores for e in executors),
                kept=max(0.0, demand.millicores - used),
                vacating=sum(
                    run.step.size.cpu_millicores
                    for run in runs
                    if run.step.runs_until_cancelled
                    and run.phase is _runs.Phase.STOPPING
                ),
                wanted=waiting,
            )

    def _may_start(
        self,
        job: _jobs.Job,
        step: _job_spec.StepSpec,
        waited_s: float,
    ) -> bool:
        room = self._room_by_service[job.queue.service]
        if not step.runs_until_cancelled:
            return True
        return _preemption.may_start_lasting(
            step,
            waited_s,
            free_millicores=room.free,
            kept_millicores=room.kept,
        )

    def _make_room(
        self,
        job: _jobs.Job,
        step: _job_spec.StepSpec,
        waited_s: float,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
    ) -> None:
        """Stops a lasting task for a short one that has waited."""
        room = self._room_by_service[job.queue.service]
        if not _preemption.is_short(step) or step.required_label:
            return
        if waited_s < _preemption.PATIENCE_S or room.vacating >= room.wanted:
            return
        if _ordering.standing(job, now.boot_s) is not (
            _ordering.Standing.IN_TIME
        ):
            return
        run = _preemption.lasting_run_to_stop(step, executors)
        if run is not None:
            room.vacating += run.step.size.cpu_millicores
            self._cell.note(
                "task.preempted",
                task=str(run.task),
                run=run.number,
                executor=run.executor,
                by_job=job.id,
                waited_s=round(waited_s, 3),
            )
            run.stop(now.boot_s)

    def _place_job(
        self,
        job: _jobs.Job,
        executors: list[_executors.ExecutorState],
        budget: int,
        now: _time.Now,
    ) -> int:
        for bag in list(job.bag_by_step.values()):
            usable = executors
            if job.queue.approval is not None:
                key = (job.id, bag.occurrence, bag.step)
                usable = self._cell.approvals.usable(key, executors, now.boot_s)
            budget = self._place_bag(job, bag, usable, budget, now)
            if budget <= 0:
                return 0
            if job.queue.approval is not None and bag.ready_s_by_index:
                self._ask_approval(job, bag, executors, now)
        return budget

    def _place_bag(
        self,
        job: _jobs.Job,
        bag: _jobs.Bag,
        executors: list[_executors.ExecutorState],
        budget: int,
        now: _time.Now,
    ) -> int:
        step = job.spec.steps[bag.step]
        if step.gang:
            return budget - self._place_gang(job, bag, executors, now)
        for index, ready_s in list(bag.ready_s_by_index.items()):
            waited_s = now.boot_s - ready_s
            if waited_s < 0:
                continue
            if not self._may_start(job, step, waited_s):
                break
            task = _job_spec.TaskId(job.id, bag.occurrence, bag.step, index)
            chosen = self._choose(job, task, waited_s, executors)
            if chosen is None:
                self._make_room(job, step, waited_s, executors, now)
                break
            self._start(job, task, chosen, self._cell.next_run_number(), now)
            budget -= 1
            if budget <= 0:
                return 0
        return budget

    def _ask_approval(
        self,
        job: _jobs.Job,
        bag: _jobs.Bag,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
    ) -> None:
        """Asks the policy about executors with room for a waiting task."""
        cell = self._cell
        step = job.spec.steps[bag.step]
        index = next(iter(bag.ready_s_by_index))
        task = _job_spec.TaskId(job.id, bag.occurrence, bag.step, index)
        order = cell.approvals.ask(
            (job.id, bag.occurrence, bag.step),
            _placement.ranked(step, task, executors, cell.sharing),
            now.boot_s,
        )
        if order is None:
            return
        cell.orders.append(order)
        cell.note(
            "approval.asked",
            job=job.id,
            occurrence=bag.occurrence,
            step=bag.step,
            executors=len(order.executors),
        )

    def _choose(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        waited_s: float,
        executors: list[_executors.ExecutorState],
    ) -> _executors.ExecutorState | None:
        """Returns an executor; skips sizes that failed in this pass."""
        step = job.spec.steps[task.step]
        kind = (job.queue.service, step.image if step.fills else None)
        failed = self._failed_by_kind.get(kind)
        if failed is not None and step.size.holds(failed):
            return None
        failed_on = _failed_on(job, step, task, waited_s)
        if failed_on:
            executors = _others(executors, failed_on)
        chosen = _placement.choose(step, task, executors, self._cell.sharing)
        is_plain = (
            not step.required_label
            and not step.max_per_executor
            and job.queue.approval is None
            and not failed_on
        )
        if chosen is None and is_plain:
            self._failed_by_kind[kind] = step.size
        return chosen

    def _place_gang(
        self,
        job: _jobs.Job,
        bag: _jobs.Bag,
        executors: list[_executors.ExecutorState],
        now: _time.Now,
    ) -> int:
        """Starts all members or none; returns how many were started."""
        step = job.spec.steps[bag.step]
        if len(bag.ready_s_by_index) < step.count:
            return 0
        if max(bag.ready_s_by_index.values()) > now.boot_s:
            return 0
        first = _job_spec.TaskId(job.id, bag.occurrence, bag.step, 0)
        chosen = _placement.choose_gang(
            step, first, step.count, executors, self._cell.sharing
        )
        if chosen is None:
            return 0
        number = self._cell.next_run_number()
        for index, executor in enumerate(chosen):
            task = _job_spec.TaskId(job.id, bag.occurrence, bag.step, index)
            self._start(job, task, executor, number, now)
        return step.count

    def _start(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        executor: _executors.ExecutorState,
        number: int,
        now: _time.Now,
    ) -> None:
        cell = self._cell
        step = job.spec.steps[task.step]
        run = _runs.Run(
            task=task,
            number=number,
            executor=executor.entry.id,
            step=step,
            phase=_runs.Phase.ORDERED,
            since_s=now.boot_s,
            checkpoint=self._checkpoint(job, task, step),
        )
        run.started_fresh = not run.checkpoint
        executor.add(run)
        bag = job.bag_by_step.get((task.occurrence, task.step))
        ready_s = now.boot_s
        if bag is not None:
            ready_s = bag.ready_s_by_index.get(task.index, now.boot_s)
        cell.note(
            "task.started",
            task=str(task),
            run=number,
            executor=executor.entry.id,
            waited_s=round(now.boot_s - ready_s, 3),
            standing=_ordering.standing(job, now.boot_s).name.lower(),
        )
        cell.set_current(job, run)
        if not step.fills:
            room = self._room_by_service[job.queue.service]
            room.free -= step.size.cpu_millicores
        cell.orders.append(
            _orders.StartOrder(
                executor=executor.entry.id,
                task=task,
                run=number,
                payload=job.spec.payload,
                lease_until_ms=executor.extend_lease(
                    now.boot_s, cell.times.lease_s
                ),
                checkpoint=run.checkpoint,
                approval=cell.approvals.proof(
                    (job.id, task.occurrence, task.step), executor, now.boot_s
                ),
            )
        )

    def _checkpoint(
        self,
        job: _jobs.Job,
        task: _job_spec.TaskId,
        step: _job_spec.StepSpec,
    ) -> str:
        """Returns where to resume; the members of a gang share one value."""
        checkpoint_by_place = job.progress.checkpoint_by_place
        if not step.gang:
            return checkpoint_by_place.get(_cell_state.place_of(task), "")
        places = (
            (task.occurrence, task.step, index) for index in range(step.count)
        )
        values = (checkpoint_by_place.get(place, "") for place in places)
        return next((value for value in values if value), "")


def _failed_on(
    job: _jobs.Job,
    step: _job_spec.StepSpec,
    task: _job_spec.TaskId,
    waited_s: float,
) -> Set[str]:
    """Returns the executors that a retry is kept away from for now."""
    if step.runs_until_cancelled or waited_s > RETRY_ELSEWHERE_S:
        return frozenset()
    place = _cell_state.place_of(task)
    return job.failed_on_by_place.get(place, frozenset())


def _others(
    executors: list[_executors.ExecutorState], failed_on: Set[str]
) -> list[_executors.ExecutorState]:
    """Returns the executors without those that failed a task, if any is left.

    Attempts are few, and the executor may be what is at fault.
    """
    others = [each for each in executors if each.entry.id not in failed_on]
    return others or executors

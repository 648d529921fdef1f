"""A cell whose executors crash under some tasks and come back under new ids."""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from basiljunction.coordination.scheduling import _notes
from basiljunction.coordination.scheduling import _orders
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress
import cell_rig
import workload_builders as build

DELISTING_S = 1.5
"""Virtual time after which the platform no longer lists a crashed executor."""

RESTART_S = 3.0
"""Virtual time between a crash and the new incarnation, in seconds."""


class CrashRig(cell_rig.CellRig):
    """Drives a scheduler and executors that crash as they start some tasks.

    A crashed executor refuses connections and loses its runs with their ends.
    After some seconds it is listed under another id, and its address answers
    orders to the old id as another incarnation.

    Args:
        entries: Executors in the platform's list.
        seed: Seed of the random source of faults.

    Attributes:
        crashing_tasks: Tasks that crash each executor that starts them.
        restart_s: Virtual time between a crash and the new incarnation.
        keeps_ids: Whether crashed executors are back under their old id.
        loses_crash_answers: Whether the answer to such a start is lost.
        crashes_by_task: Time and executor of each crash by the task that
            caused it.
        replaced_ids: Ids of crashed executors that are back under another id.
        notes: All notes of the scheduler.
    """

    def __init__(
        self, *entries: _executor.ListedExecutor, seed: int = 1
    ) -> None:
        self.crashing_tasks: Collection[_job_spec.TaskId] = frozenset()
        self.restart_s = RESTART_S
        self.keeps_ids = False
        self.loses_crash_answers = False
        self.crashes_by_task: collections.defaultdict[
            _job_spec.TaskId, list[tuple[float, str]]
        ] = collections.defaultdict(list)
        self.replaced_ids: set[str] = set()
        self.notes: list[_notes.Note] = []
        self._restarts: list[tuple[float, str]] = []
        self._delistings_s: list[float] = []
        super().__init__(*entries, seed=seed)
        self.holds_renewals = True
        self.on_note = self.notes.append

    def crash(self, executor_id: str) -> None:
        """Crashes an executor, which is back after `restart_s`."""
        executor = self.executor_by_id[executor_id]
        executor.is_up = False
        self._break_gangs(executor)
        executor.run_by_key.clear()
        executor.ends.clear()
        self._restarts.append((self.now_s + self.restart_s, executor_id))
        self._delistings_s.append(self.now_s + DELISTING_S)

    def _break_gangs(self, executor: cell_rig.SimulatedExecutor) -> None:
        """Ends the runs of gangs that lose a member with an executor."""
        lost = {
            (task.job, task.occurrence, task.step, number)
            for (task, number), run in executor.run_by_key.items()
            if run.step.gang
        }
        for other in self.executor_by_id.values():
            for task, number in list(other.run_by_key):
                gang = (task.job, task.occurrence, task.step, number)
                if other is not executor and gang in lost:
                    other.end_run((task, number), _executor.RunEndKind.BROKEN)

    def check_start(
        self, executor: cell_rig.SimulatedExecutor, order: _orders.StartOrder
    ) -> None:
        """Crashes the executor if the started task is one that does so."""
        super().check_start(executor, order)
        if order.task in self.crashing_tasks:
            self.crashes_by_task[order.task].append(
                (self.now_s, executor.entry.id)
            )
            self.crash(executor.entry.id)

    def step(self) -> None:
        """Advances virtual time by one step; crashed executors may return."""
        if self._delistings_s and self._delistings_s[0] <= self.now_s:
            self._delistings_s.pop(0)
            self.list_executors()
        due = [each for each in self._restarts if each[0] <= self.now_s]
        self._restarts = [e for e in self._restarts if e[0] > self.now_s]
        for _, executor_id in due:
            if self.keeps_ids:
                self.executor_by_id[executor_id].is_up = True
                self.executor_by_id[executor_id].restart()
                continue
            self.replaced_ids.add(executor_id)
            old = self.executor_by_id[executor_id].entry
            self.add_executor(dataclasses.replace(old, id=f"{executor_id}'"))
        super().step()

    def run_until(
        self, is_reached: Callable[[], bool], timeout_s: float
    ) -> None:
        """Runs until a condition holds.

        Raises:
            AssertionError: It does not hold within `timeout_s`.
        """
        for _ in range(round(timeout_s / cell_rig.STEP_S)):
            if is_reached():
                return
            self.step()
        raise AssertionError(f"not reached within {timeout_s} s")

    def state_of(self, job_id: str) -> _progress.JobState | None:
        """Returns the state of a job as callers see it."""
        return self.scheduler.visible_state(job_id)

    def find_notes(self, event: str) -> list[_notes.Note]:
        """Returns the notes of an event so far."""
        return [each for each in self.notes if each.event == event]

    def _deliver_answer(
        self,
        order: _orders.ExecutorOrder,
        answer: _orders.StartResult | _executor.LeaseRenewalReply | bool | None,
    ) -> None:
        """Delivers an answer as a crashed or replaced executor would."""
        now = build.clock_readings_at(self.now_s)
        if order.executor in self.replaced_ids:
            if isinstance(order, _orders.StartOrder):
                answer = _orders.StartResult.OTHER_LIFE
            elif isinstance(order, _orders.RenewalOrder):
                self.scheduler.handle_renewal_failure(
                    order, now, is_other_incarnation=True
                )
                return
        elif not self.executor_by_id[order.executor].is_up and isinstance(
            order, _orders.StartOrder
        ):
            if answer is None:
                answer = _orders.StartResult.UNHEALTHY
            elif self.loses_crash_answers:
                answer = None
        super()._deliver_answer(order, answer)

"""Watches a rig for what callers wait for too long while all is calm.

The bounds are those of the rules for jobs. Lasting tasks are to run at any
time, also beside planned work.
"""

from collections.abc import Iterator

from basiljunction.state.workload import _job_spec
import cell_rig
import fault_watch

CALM_BEFORE_S = 4.0
"""Time without a fault before a lasting task may count as lost, in seconds;
planned work is no fault."""

LOST_S = 3.0
"""Time for which a lasting task has no run beside room for it until it counts
as lost, in seconds; there has to be no fault."""

GRACE_S = 6.0
"""Time from the end of the last run of a lasting task, or from its acceptance,
from which on it may count as lost, in seconds."""

ANSWER_S = 3.0
"""Time in calm within which a cancel is answered and an accepted job shown, in
seconds."""

NOTED_S = 4.0
"""Time in calm within which the end of a run is noted, in seconds."""

_EndKey = tuple[str, int, int]
"""Executor, its incarnation and the number of the end there."""


class CalmWatch:
    """Follows since when each thing is waited for.

    Lasting tasks are followed while no scheduler is at work, too.

    Args:
        rig: The rig.
    """

    def __init__(self, rig: cell_rig.CellRig) -> None:
        self._rig = rig
        self._disturbed_s = rig.now_s
        self._faults = fault_watch.FaultWatch(rig)
        self._epoch = rig.epoch
        self._up = set(rig.executor_by_id)
        self._had_run_s_by_task: dict[_job_spec.TaskId, float] = {}
        self._lacked_room_s_by_task: dict[_job_spec.TaskId, float] = {}
        self._jobs_to_cancel: set[str] = set()
        self._cancelled_s_by_job: dict[str, float] = {}
        self._shown_s_by_job: dict[str, float] = {}
        self._ended_s_by_end: dict[_EndKey, float] = {}
        rig.on_recovery_step = self._check_lasting_tasks

    def note_disturbance(self) -> None:
        """Records that something happens now that is not calm."""
        self._disturbed_s = self._rig.now_s

    def note_cancel(self, job_id: str) -> None:
        """Records that a client cancels a job, which may not be accepted."""
        self._jobs_to_cancel.add(job_id)
        if job_id in self._rig.stored_jobs:
            self._cancelled_s_by_job.setdefault(job_id, self._rig.now_s)

    def check(self) -> None:
        """Asserts after a step that nothing is waited for too long."""
        if self._is_disturbed():
            self.note_disturbance()
        self._check_lasting_tasks()
        self._check_cancels()
        self._check_shown_jobs()
        self._check_ends()

    def _is_disturbed(self) -> bool:
        """Returns whether it is not calm now."""
        rig = self._rig
        was_up = self._up
        self._up = {k for k, v in rig.executor_by_id.items() if v.is_up}
        has_new_scheduler = rig.epoch != self._epoch
        self._epoch = rig.epoch
        if has_new_scheduler:
            self._repeat_cancels()
        return (
            has_new_scheduler
            or not rig.store_is_up
            or rig.unconfirmed is not None
            or bool(rig.earlier_terms)
            or bool(rig.delayed_orders)
            or rig.last_loss_s >= rig.now_s - cell_rig.STEP_S
            or any(
                not each.is_answering
                or each.refuses_for_capacity
                or each.born_s >= rig.now_s - cell_rig.HEARTBEAT_S
                for each in rig.executor_by_id.values()
                if each.is_up
            )
            or not was_up <= self._up
        )

    def _repeat_cancels(self) -> None:
        """Sends the cancels again, as their callers do until the answer."""
        for job_id in self._cancelled_s_by_job:
            if job_id not in self._rig.cancelled_s_by_job:
                self._rig.cancel(job_id)

    def _waited_in_calm_s(self, since_s: float) -> float:
        """Returns the time since then, or since the last disturbance."""
        return self._rig.now_s - max(since_s, self._disturbed_s)

    def _lasting_tasks(self) -> Iterator[_job_spec.TaskId]:
        """Yields the tasks that are to run: accepted and not cancelled."""
        rig = self._rig
        for job_id in sorted(rig.stored_jobs):
            if job_id in self._jobs_to_cancel:
                continue
            for step, spec in enumerate(rig.spec_by_job[job_id].steps):
                if spec.runs_until_cancelled:
                    for index in range(spec.count):
                        yield _job_spec.TaskId(job_id, 0, step, index)

    def _check_lasting_tasks(self) -> None:
        """Asserts that no lasting task is lost."""
        self._faults.check()
        now_s = self._rig.now_s
        running = {
            task
            for each in self._rig.executor_by_id.values()
            if each.is_up
            for task, _ in each.run_by_key
        }
        for task in self._lasting_tasks():
            had_run_s = self._had_run_s_by_task.setdefault(task, now_s)
            if task in running:
                self._had_run_s_by_task[task] = now_s
                continue
            if not self._has_room_twice(task):
                self._lacked_room_s_by_task[task] = now_s
            lacked_s = self._lacked_room_s_by_task.get(task, float("-inf"))
            is_lost = (
                now_s - had_run_s > GRACE_S + LOST_S
                and now_s - lacked_s > LOST_S
                and now_s - self._faults.last_s > CALM_BEFORE_S + LOST_S
            )
            assert not is_lost, (
                f"{task}: is without a run,"
                f" for {now_s - had_run_s:.2f} s beside room"
            )

    def _has_room_twice(self, task: _job_spec.TaskId) -> bool:
        """Returns whether the executors have room for two runs of a task."""
        size = self._rig.step_spec_of(task).reserved_resources
        count = 0
        for executor in self._rig.executor_by_id.values():
            if not executor.is_up or executor.entry.is_draining:
                continue
            if executor.has_room_for(size + size):
                return True
            count += executor.has_room_for(size)
        return count > 1

    def _check_cancels(self) -> None:
        """Asserts that each cancel is answered in time."""
        rig = self._rig
        for job_id, sent_s in self._cancelled_s_by_job.items():
            waited_s = self._waited_in_calm_s(sent_s)
            state = rig.scheduler.visible_state(job_id)
            is_answered = job_id in rig.cancelled_s_by_job or (
                state is not None and state.is_final
            )
            assert is_answered or waited_s <= ANSWER_S, (
                f"{job_id}: has an unanswered cancel, for {waited_s:.2f} s"
            )

    def _check_shown_jobs(self) -> None:
        """Asserts that each accepted job is shown."""
        rig = self._rig
        for job_id in rig.stored_jobs:
            shown_s = self._shown_s_by_job.setdefault(job_id, rig.now_s)
            if rig.scheduler.visible_state(job_id) is not None:
                self._shown_s_by_job[job_id] = rig.now_s
                continue
            waited_s = self._waited_in_calm_s(shown_s)
            assert waited_s <= ANSWER_S, (
                f"{job_id}: is not shown, for {waited_s:.2f} s"
            )

    def _check_ends(self) -> None:
        """Asserts that each end of a run is noted in time."""
        rig = self._rig
        ended_s_by_end = {}
        for executor in rig.executor_by_id.values():
            for end in executor.ends if executor.is_up else ():
                if end.list_position <= executor.acknowledged:
                    continue
                key = (executor.entry.id, executor.born_ms, end.list_position)
                ended_s = self._ended_s_by_end.get(key, rig.now_s)
                ended_s_by_end[key] = ended_s
                waited_s = self._waited_in_calm_s(ended_s)
                assert waited_s <= NOTED_S, (
                    f"{end.task}: has an end that is not noted,"
                    f" for {waited_s:.2f} s on {executor.entry.id}"
                )
        self._ended_s_by_end = ended_s_by_end

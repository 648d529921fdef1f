"""Checks of a soak, from what clients and executors see.

They know neither the instances nor the plan. Times are steady, in seconds.
"""

import collections
import dataclasses
import threading

LONGEST_WAIT_S = 9.0
"""Longest time from a lasting task's last run to its next one: the users' bound
of 6 s and the 3 s for which it must be broken."""

ROOM_S = 3.0
"""Time for which there must have been room before a wait counts."""

CALM_S = 7.0
"""Time without an unplanned disruption before a wait counts: the 3 s for which
the bound must be broken and the 4 s before them."""

FINISH_S = 14.0
"""Time after the end of the traffic by which a short job has settled, in
seconds, as the users' settings have it; a long one has its work more."""

VISIBLE_S = 3.0
"""Time after its acceptance from which a job must be known."""

REFUSALS = frozenset({429, 503})
"""Statuses that say that the job was not accepted and never runs."""


@dataclasses.dataclass(slots=True)
class _Job:
    """What clients know of a job.

    Attributes:
        task_count: Number of its tasks.
        lasts: Whether its tasks run until it is cancelled.
        work_s: Run time of each task beyond that of a short one, in seconds.
        accepted_s: Time of the first acceptance; None if there is none.
        statuses: Statuses of all attempts to submit it.
        state: State that was read last.
        is_reported: Whether it has been reported as not settled.
    """

    task_count: int
    lasts: bool
    work_s: float = 0.0
    accepted_s: float | None = None
    statuses: list[int] = dataclasses.field(default_factory=list)
    state: str = ""
    is_reported: bool = False


class Checks:
    """Notes what clients and executors see and collects what is wrong.

    Attributes:
        violations: What was wrong, in order.
        events: Starts, ends and attempts to submit, in order, to trace a
            violation with.
        start_count: Number of runs that executors started.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.events: list[str] = []
        self.start_count = 0
        self._lock = threading.RLock()
        self._job_by_id: dict[str, _Job] = {}
        self._runs_by_task: dict[str, set[tuple[str, int]]] = (
            collections.defaultdict(set)
        )
        self._starts_by_task: dict[str, list[float]] = collections.defaultdict(
            list
        )
        self._last_run_s_by_task: dict[str, float] = {}
        self._done_tasks: set[str] = set()
        self._noted_tasks: set[str] = set()
        self._waiting_tasks: set[str] = set()

    def _report(self, text: str, now_s: float) -> None:
        self.violations.append(f"{now_s:.3f} {text}")
        self.events.append(self.violations[-1])

    def note_start(
        self, task: str, executor: str, run: int, now_s: float
    ) -> None:
        """Notes that an executor has begun a run."""
        with self._lock:
            self.start_count += 1
            self.events.append(f"{now_s:.3f} start {task} {run} {executor}")
            others = self._runs_by_task[task]
            if others:
                self._report(
                    f"TWICE: {task} run {run} on {executor} beside"
                    f" {sorted(others)}",
                    now_s,
                )
            if task in self._noted_tasks:
                self._report(
                    f"TWICE: {task} run {run} on {executor} after its good end"
                    " was noted",
                    now_s,
                )
            others.add((executor, run))
            self._starts_by_task[task].append(now_s)
            self._waiting_tasks.discard(task)

    def note_room(
        self,
        task: str,
        executor: str,
        *,
        used_cpu: int,
        capacity_cpu: int,
        now_s: float,
    ) -> None:
        """Notes the room on an executor after it has begun a run.

        Args:
            task: The task that was started.
            executor: The executor.
            used_cpu: Processor of all its runs, in thousandths of a core.
            capacity_cpu: Its processor capacity that counts for the start.
            now_s: The current time.
        """
        with self._lock:
            if used_cpu > capacity_cpu:
                self._report(
                    f"LIMIT: {task} on {executor}: {used_cpu} of"
                    f" {capacity_cpu} in use",
                    now_s,
                )

    def note_end(
        self, task: str, executor: str, run: int, kind: str, now_s: float
    ) -> None:
        """Notes that a run has ended; `kind` is as the executor reports it."""
        with self._lock:
            self.events.append(
                f"{now_s:.3f} end {task} {run} {executor} {kind}"
            )
            self._runs_by_task[task].discard((executor, run))
            self._last_run_s_by_task[task] = now_s
            if kind == "done":
                self._done_tasks.add(task)

    def note_taken_end(self, task: str, ended_s: float, now_s: float) -> None:
        """Notes that a good end has been taken note of by the scheduler."""
        with self._lock:
            self._noted_tasks.add(task)
            if any(begin_s > ended_s for begin_s in self._starts_by_task[task]):
                self._report(
                    f"TWICE: {task} started after its good end at"
                    f" {ended_s:.3f}, which was noted",
                    now_s,
                )

    def add_job(
        self, job: str, task_count: int, *, lasts: bool, work_s: float = 0.0
    ) -> None:
        """Adds a job that a client is about to submit."""
        with self._lock:
            self._job_by_id[job] = _Job(task_count, lasts, work_s)

    def note_attempt(self, job: str, status: int, now_s: float) -> None:
        """Notes the answer to a submission; status 0 is no answer."""
        with self._lock:
            entry = self._job_by_id[job]
            entry.statuses.append(status)
            self.events.append(f"{now_s:.3f} submit {job} {status}")
            if 200 <= status < 300 and entry.accepted_s is None:
                entry.accepted_s = now_s

    def note_state(
        self, job: str, status: int, state: str, now_s: float
    ) -> None:
        """Notes the answer to a query of an accepted job."""
        with self._lock:
            entry = self._job_by_id[job]
            accepted_s = entry.accepted_s
            if accepted_s is None:
                return
            if status == 410 and now_s > accepted_s + VISIBLE_S:
                self._report(f"LOST: {job} is unknown", now_s)
            if status != 200:
                return
            entry.state = state
            if state in ("failed", "cancelled"):
                self._report(f"LOST: {job} is shown as {state}", now_s)
            done = sum(task.startswith(f"{job}.") for task in self._done_tasks)
            if state == "completed" and done < entry.task_count:
                self._report(
                    f"MIXED: {job} completed with {done} tasks done", now_s
                )

    def note_step(self, text: str, now_s: float) -> None:
        """Adds what is done to instances and executors to the events."""
        with self._lock:
            self.events.append(f"{now_s:.3f} -- {text}")

    def note_cut(self, what: str, now_s: float) -> None:
        """Notes that a request that was read got no complete answer."""
        with self._lock:
            self._report(f"LOST: {what}", now_s)

    def note_fault(self, what: str, now_s: float) -> None:
        """Notes that instances did not do by themselves what they have to."""
        with self._lock:
            self._report(f"FAULT: {what}", now_s)

    def list_accepted_jobs(self, *, lasts: bool) -> list[str]:
        """Returns the ids of accepted jobs."""
        with self._lock:
            return [
                job
                for job, entry in self._job_by_id.items()
                if entry.accepted_s is not None and entry.lasts == lasts
            ]

    def list_unsettled_jobs(self) -> list[str]:
        """Returns accepted jobs that are not shown as they have to be.

        A job that lasts has to be running, any other one completed.
        """
        with self._lock:
            return [
                job
                for job, entry in self._job_by_id.items()
                if entry.accepted_s is not None
                and entry.state != ("running" if entry.lasts else "completed")
            ]

    def count_lasting_tasks_without_run(self) -> int:
        """Returns how many tasks of accepted lasting jobs have no run."""
        with self._lock:
            return sum(
                not self._runs_by_task[f"{job}.0.0.{index}"]
                for job in self.list_accepted_jobs(lasts=True)
                for index in range(self._job_by_id[job].task_count)
            )

    def check_lasting_tasks(
        self, room_since_s: float, calm_since_s: float, now_s: float
    ) -> None:
        """Reports lasting tasks that have waited too long, once a wait.

        Args:
            room_since_s: Since when there has been room for twice a task.
            calm_since_s: End of the last unplanned disruption.
            now_s: The current time.
        """
        with self._lock:
            if now_s < room_since_s + ROOM_S or now_s < calm_since_s + CALM_S:
                return
            for job in self.list_accepted_jobs(lasts=True):
                entry = self._job_by_id[job]
                for index in range(entry.task_count):
                    self._check_lasting_task(
                        f"{job}.0.0.{index}", entry.accepted_s or 0.0, now_s
                    )

    def _check_lasting_task(
        self, task: str, accepted_s: float, now_s: float
    ) -> None:
        """Reports a lasting task that has waited too long."""
        since_s = max(accepted_s, self._last_run_s_by_task.get(task, 0.0))
        if (
            self._runs_by_task[task]
            or task in self._waiting_tasks
            or now_s < since_s + LONGEST_WAIT_S
        ):
            return
        self._waiting_tasks.add(task)
        self._report(
            f"LOST: lasting task {task} has no run since {since_s:.3f}", now_s
        )

    def check_settled(self, traffic_end_s: float, now_s: float) -> None:
        """Reports jobs that should have settled by now, each once.

        Args:
            traffic_end_s: Time at which the traffic ended.
            now_s: The current time.
        """
        with self._lock:
            for job in self.list_unsettled_jobs():
                work_s = self._job_by_id[job].work_s
                if now_s >= traffic_end_s + FINISH_S + work_s:
                    self._report_unsettled(job, now_s)

    def _report_unsettled(self, job: str, now_s: float) -> None:
        """Reports a job that has not settled, unless it has been reported."""
        entry = self._job_by_id[job]
        if not entry.is_reported:
            entry.is_reported = True
            state = entry.state or "no answer"
            self._report(f"LOST: {job} is left as: {state}", now_s)

    def check_end(self, now_s: float) -> None:
        """Reports what has to hold once everything has settled."""
        with self._lock:
            for job in self.list_unsettled_jobs():
                self._report_unsettled(job, now_s)
            for task in self._starts_by_task:
                entry = self._job_by_id.get(task.partition(".")[0])
                if entry is None:
                    self._report(f"UNASKED: {task} started", now_s)
                elif entry.statuses and set(entry.statuses) <= REFUSALS:
                    self._report(
                        f"REFUSED: {task} started; all attempts to submit it"
                        f" were rejected: {entry.statuses}",
                        now_s,
                    )

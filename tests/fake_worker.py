"""In-memory worker that follows docs/reference/platform.md."""

import dataclasses

from basiljunction.coordination import _batch_events
from basiljunction.state import _outcomes

_State = _batch_events.WorkerTaskState


@dataclasses.dataclass(slots=True)
class Attempt:
    """A task attempt on the worker.

    Attributes:
        start: Order that started the attempt.
        state: Current state.
        expires_boot_s: End of the attempt's lease.
        started_boot_s: Start of the attempt.
        progress_s: Completed run time, including earlier attempts.
        checkpoint: Last checkpoint, or "".
        fraction: Speed after throttling, as a fraction of the full speed.
    """

    start: _batch_events.StartTask
    state: _State
    expires_boot_s: float
    started_boot_s: float
    progress_s: float
    checkpoint: str
    fraction: float = 1.0


class FakeWorker:
    """Runs task attempts under leases and records starts and peak usage.

    Attributes:
        down: Whether calls fail without reaching the worker.
        lose_answers: Whether calls take effect but their answers are lost.
        refuse: Whether starts are refused.
        fail_everything: Whether started attempts fail at once.
        refuse_checkpoints: Whether checkpoints are refused.
        slowdown: Slowdown in the reports of all attempts.
        starts: Started attempts, in order, each with its checkpoint.
        peak_millicores: Highest total CPU demand of running attempts.
        peak_memory_mib: Highest total memory demand of running attempts.
        attempt_by_ref: All attempts by task and attempt number.
    """

    def __init__(
        self, name: str, *, millicores: int = 32000, memory_mib: int = 128000
    ) -> None:
        """Creates an idle worker."""
        self.name = name
        self.millicores = millicores
        self.memory_mib = memory_mib
        self.down = False
        self.lose_answers = False
        self.refuse = False
        self.fail_everything = False
        self.refuse_checkpoints = False
        self.slowdown = 1.0
        self.starts: list[tuple[_batch_events.TaskRef, str]] = []
        self.peak_millicores = 0
        self.peak_memory_mib = 0
        self.attempt_by_ref: dict[_batch_events.TaskRef, Attempt] = {}
        self._fenced_attempt_by_task: dict[str, int] = {}
        self._now_s = 0.0

    def list_running(self, now_boot_s: float) -> list[_batch_events.TaskRef]:
        """Returns the attempts that are running at a time."""
        self._advance(now_boot_s)
        return [
            ref
            for ref, task in self.attempt_by_ref.items()
            if task.state is _State.RUNNING
        ]

    def restart(self) -> None:
        """Drops all attempts, as a restart of the worker does."""
        self.attempt_by_ref.clear()

    def handle_call(
        self, call: _batch_events.CallWorker, now_boot_s: float
    ) -> (
        _batch_events.WorkerAnswered
        | _batch_events.WorkerNotCalled
        | _batch_events.WorkerCallLost
    ):
        """Handles a call and returns its answer, or how the call failed."""
        request = call.request
        if now_boot_s > call.not_after_boot_s:
            reason = _outcomes.Reason.LEASE_LAPSED
            not_run = _outcomes.NotRun(
                _outcomes.Step.SEND, call.address, reason
            )
            return _batch_events.WorkerNotCalled(self.name, request, not_run)
        lost = _outcomes.Unknown(
            _outcomes.Step.SEND, call.address, _outcomes.Reason.TIMEOUT
        )
        if self.down:
            return _batch_events.WorkerCallLost(self.name, request, lost)
        self._advance(now_boot_s)
        answer = self._handle(request)
        if self.lose_answers:
            return _batch_events.WorkerCallLost(self.name, request, lost)
        return answer

    def _advance(self, now_boot_s: float) -> None:
        """Adds progress up to a time and ends finished or expired attempts."""
        elapsed_s = now_boot_s - self._now_s
        self._now_s = now_boot_s
        for task in self.attempt_by_ref.values():
            if task.state is not _State.RUNNING:
                continue
            end_s = min(now_boot_s, task.expires_boot_s)
            begin_s = max(now_boot_s - elapsed_s, task.started_boot_s)
            progress_made_s = max(0.0, end_s - begin_s) * task.fraction
            task.progress_s += progress_made_s
            if task.progress_s >= task.start.run_time_s:
                task.state = _State.COMPLETED
            elif now_boot_s >= task.expires_boot_s:
                task.state = _State.LAPSED

    def _handle(
        self, request: _batch_events.WorkerRequest
    ) -> _batch_events.WorkerAnswered:
        """Carries out a request and returns the answer with its reports."""
        refusal = ""
        refs: tuple[_batch_events.TaskRef, ...] = ()
        match request:
            case _batch_events.StartTask():
                refusal = self._start(request)
            case _batch_events.RenewLeases():
                refs = request.refs
                self._renew(request)
            case _batch_events.ListTasks():
                refs = tuple(self.attempt_by_ref)
            case _batch_events.ThrottleTask():
                refs = (request.ref,)
                self._throttle(request)
            case _batch_events.CheckpointTask():
                refs = (request.ref,)
                refusal = self._checkpoint(request.ref)
            case _batch_events.StopTask():
                refs = (request.ref,)
                self._stop(request.ref)
        if refusal:
            return _batch_events.WorkerAnswered(self.name, request, (), refusal)
        reports = tuple(self._report(ref) for ref in refs)
        return _batch_events.WorkerAnswered(self.name, request, reports)

    def _start(self, request: _batch_events.StartTask) -> str:
        """Starts an attempt; returns a refusal, or an empty text."""
        known_attempt = self.attempt_by_ref.get(request.ref)
        if known_attempt is not None:
            is_running = known_attempt.state is _State.RUNNING
            return "" if is_running else "this attempt ended before"
        if request.ref.attempt <= self._fenced_attempt_by_task.get(
            request.ref.task_id, 0
        ):
            return "a newer attempt or a stop is known"
        running = [
            task.start.demand
            for task in self.attempt_by_ref.values()
            if task.state is _State.RUNNING
        ]
        millicores = sum(each.millicores for each in running)
        memory_mib = sum(each.memory_mib for each in running)
        millicores += request.demand.millicores
        memory_mib += request.demand.memory_mib
        if millicores > self.millicores or memory_mib > self.memory_mib:
            return "no room"
        if self.refuse:
            return "refused"
        self.peak_millicores = max(self.peak_millicores, millicores)
        self.peak_memory_mib = max(self.peak_memory_mib, memory_mib)
        self._fenced_attempt_by_task[request.ref.task_id] = (
            request.ref.attempt - 1
        )
        self.starts.append((request.ref, request.checkpoint))
        self.attempt_by_ref[request.ref] = Attempt(
            start=request,
            state=_State.FAILED if self.fail_everything else _State.RUNNING,
            expires_boot_s=self._now_s + request.lease_s,
            started_boot_s=self._now_s,
            progress_s=request.progress_s,
            checkpoint=request.checkpoint,
        )
        return ""

    def _throttle(self, request: _batch_events.ThrottleTask) -> None:
        """Sets the speed of an attempt."""
        if request.ref in self.attempt_by_ref:
            self.attempt_by_ref[request.ref].fraction = request.fraction

    def _renew(self, request: _batch_events.RenewLeases) -> None:
        """Extends the leases of running attempts."""
        for ref in request.refs:
            task = self.attempt_by_ref.get(ref)
            if task is not None and task.state is _State.RUNNING:
                task.expires_boot_s = self._now_s + request.lease_s

    def _checkpoint(self, ref: _batch_events.TaskRef) -> str:
        """Saves a checkpoint; returns a refusal, or an empty text."""
        if self.refuse_checkpoints:
            return "no checkpoint"
        task = self.attempt_by_ref.get(ref)
        if task is not None and task.state is _State.RUNNING:
            task.checkpoint = f"{ref.task_id}@{task.progress_s:g}"
        return ""

    def _stop(self, ref: _batch_events.TaskRef) -> None:
        """Stops an attempt and fences the task's attempts up to it."""
        fenced_attempt = self._fenced_attempt_by_task.get(ref.task_id, 0)
        self._fenced_attempt_by_task[ref.task_id] = max(
            fenced_attempt, ref.attempt
        )
        task = self.attempt_by_ref.get(ref)
        if task is not None and task.state is _State.RUNNING:
            task.state = _State.STOPPED

    def _report(self, ref: _batch_events.TaskRef) -> _batch_events.TaskReport:
        """Returns the report of an attempt, which may be unknown."""
        task = self.attempt_by_ref.get(ref)
        if task is None:
            return _batch_events.TaskReport(ref, _State.UNKNOWN)
        progress_s = task.progress_s
        if task.state in (_State.STOPPED, _State.LAPSED, _State.FAILED):
            saved_progress = task.checkpoint.partition("@")[2]
            progress_s = float(saved_progress) if saved_progress else 0.0
        demand = task.start.demand
        return _batch_events.TaskReport(
            ref=ref,
            state=task.state,
            checkpoint=task.checkpoint,
            progress_s=progress_s,
            millicores_used=demand.millicores,
            memory_mib_used=demand.memory_mib,
            slowdown=self.slowdown,
        )

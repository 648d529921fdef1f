"""What the scheduler knows of each executor."""

import dataclasses

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec

RunKey = tuple[_job_spec.TaskId, int]


@dataclasses.dataclass(slots=True)
class ExecutorState:
    """One executor: its room, its runs and its lease.

    Attributes:
        entry: As the platform lists it.
        is_listed: Whether the list still has it.
        roster_stored: Whether the stored roster names it.
        born_ms: The life that answered last; 0 before the first answer.
        answered_s: When it answered a renewal last; None before that.
        clock_ms: Its clock at that answer.
        lease_until_ms: Latest end of a lease that was sent, on its clock.
        run_by_key: Its runs, settled or not.
        processed: Ends up to this number are taken into account.
        acknowledged: Ends up to this number are stored.
        hold_sent_s: When the renewal in flight was sent; None if none is.
        hold_failures: Renewals in a row without an answer.
        next_hold_s: When the next renewal is due.
        avoid_until_s: No task is placed before this time.
        is_suspect: Whether it was slow lately and no task has shown otherwise.
        failures_in_row: Failed runs since the last good one.
        inherited_until_s: Until when runs of a predecessor may exist that it
            has not listed; None once that is settled.
        relieved_s: When fillers were stopped or slowed down here last.
        booked: Room that its runs occupy.
        filler_millicores: Processor that its fillers ask for.
        serving_millicores: Part of the booked processor of serving tasks.
        serving_count: Runs of serving tasks.
        filler_count: Runs of fillers.
    """

    entry: _executor.ExecutorEntry
    is_listed: bool = True
    roster_stored: bool = False
    born_ms: int = 0
    answered_s: float | None = None
    clock_ms: int = 0
    lease_until_ms: int = 0
    run_by_key: dict[RunKey, _runs.Run] = dataclasses.field(
        default_factory=dict
    )
    processed: int = 0
    acknowledged: int = 0
    hold_sent_s: float | None = None
    hold_failures: int = 0
    next_hold_s: float = 0.0
    avoid_until_s: float = 0.0
    is_suspect: bool = False
    failures_in_row: int = 0
    inherited_until_s: float | None = None
    relieved_s: float = 0.0
    booked: _job_spec.Room = dataclasses.field(default_factory=_job_spec.Room)
    filler_millicores: int = 0
    serving_millicores: int = 0
    serving_count: int = 0
    filler_count: int = 0

    def add(self, run: _runs.Run) -> None:
        """Books the room of a run."""
        self.run_by_key[run.task, run.number] = run
        self._account(run, 1)

    def remove(self, run: _runs.Run) -> None:
        """Releases the room of a run."""
        if self.run_by_key.pop((run.task, run.number), None) is not None:
            self._account(run, -1)

    def _account(self, run: _runs.Run, sign: int) -> None:
        room = run.step.booked
        self.booked = self.booked + room if sign > 0 else self.booked - room
        if run.step.fills:
            self.filler_millicores += sign * run.step.size.cpu_millicores
            self.filler_count += sign
        if run.step.serves:
            self.serving_count += sign
            self.serving_millicores += sign * run.step.size.cpu_millicores

    @property
    def free(self) -> _job_spec.Room:
        """Capacity that nothing is booked on."""
        return self.entry.capacity - self.booked

    @property
    def unused_millicores(self) -> int:
        """Estimate of the processor capacity that nothing uses."""
        idle = int(self.serving_millicores * SERVING_IDLE_SHARE)
        return self.free.cpu_millicores + idle - self.filler_millicores

    def may_start(self, now_s: float) -> bool:
        """Returns whether a task may be placed here now."""
        if not self.is_listed or self.entry.is_draining:
            return False
        if not self.roster_stored or self.answered_s is None:
            return False
        if now_s < self.avoid_until_s:
            return False
        return now_s - self.answered_s < _limits.CONTACT_LOST_S

    def clock_at(self, now_s: float) -> int:
        """Returns a lower estimate of its clock, in milliseconds."""
        if self.answered_s is None:
            return 0
        return self.clock_ms + int((now_s - self.answered_s) * 1000)

    def extend_lease(self, now_s: float, lease_s: float) -> int:
        """Returns the end of a new lease on its clock and remembers it."""
        until_ms = self.clock_at(now_s) + int(lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def lapsed_s(self) -> float:
        """Returns when everything that runs here has certainly lapsed."""
        if self.answered_s is None:
            return 0.0
        left_s = (self.lease_until_ms - self.clock_ms) / 1000
        return (
            self.answered_s
            + max(0.0, left_s) * _limits.CLOCK_SLOWNESS
            + _limits.LAPSE_MARGIN_S
        )

    def least_headroom(self) -> float:
        """Returns the least headroom of a serving task here; 0 if unknown."""
        known = (
            run.headroom
            for run in self.run_by_key.values()
            if run.step.serves and run.headroom > 0
        )
        return min(known, default=0.0)

    def is_empty(self, now_s: float) -> bool:
        """Returns whether certainly nothing runs here."""
        if self.run_by_key or self.inherited_until_s is not None:
            return False
        return now_s > self.lapsed_s()

    def count_of_step(self, task: _job_spec.TaskId) -> int:
        """Returns how many tasks of the same step and occurrence are here."""
        same = (task.job, task.occurrence, task.step)
        return sum(
            (each.job, each.occurrence, each.step) == same
            for each, _ in self.run_by_key
        )

    def note_failure(self, now_s: float) -> None:
        """Leaves an executor alone that fails everything."""
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_BEFORE_AVOIDED:
            return
        doubled = self.failures_in_row - FAILURES_BEFORE_AVOIDED
        wait_s = _limits.UNHEALTHY_S * 2 ** min(doubled, 3)
        self.avoid_until_s = now_s + min(wait_s, _limits.UNHEALTHY_MAX_S)

    def note_success(self) -> None:
        """Clears the record of failures."""
        self.failures_in_row = 0


FAILURES_BEFORE_AVOIDED = 3
"""Failed runs in a row; by chance rarer than one in a hundred thousand."""

SERVING_IDLE_SHARE = 0.45
"""Part of a serving task's processors left to fillers. Serving tasks book their
peak; fillers ran at full speed beside them up to this share."""

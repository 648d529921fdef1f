"""Executors as listed by the platform, and the reports of their runs.

A run is one attempt to execute a task. An executor lists the end of a run until
the scheduler acknowledges it.
"""

import dataclasses
import enum

from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _run_bound


@dataclasses.dataclass(frozen=True, slots=True)
class ListedExecutor:
    """Executor as the platform lists it.

    Attributes:
        id: Id of the executor; may stay the same after a restart.
        service: Name of the service that it belongs to.
        address: ``ip:port`` that accepts orders.
        zone: Its availability zone.
        is_draining: Whether it is shutting down and accepts no new tasks.
        capacity: Its total resources.
        labels: Its hardware kind and its rack.
        born_ms: Start time of its current incarnation, in milliseconds since
            the Unix epoch; 0 if it is not known yet.
        drain_left_s: Least time for which it goes on from when it reported
            this, in seconds; None if it does not drain or did not tell.
        has_restarted: Whether a deadline of an earlier incarnation may have
            given it a longer lease than the ordinary one; only what schedulers
            store of it tells this.
        long_leases: Bound of the runs on it that go on by such a lease; None if
            it is not known. Only what schedulers store of it tells this.
    """

    id: str
    service: str
    address: str
    zone: str
    is_draining: bool
    capacity: _job_spec.Resources
    labels: tuple[str, ...]
    born_ms: int = 0
    drain_left_s: float | None = None
    has_restarted: bool = False
    long_leases: _run_bound.RunBound | None = None


class RunEndKind(enum.Enum):
    """Way in which a run of a task ended.

    LAPSED means that the executor's lease expired. The values are sent by
    executors.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class ActiveRunReport:
    """Executor's report of one active run.

    Attributes:
        task: Task that runs.
        run_number: Number of the run.
        checkpoint: Newest checkpoint; empty if there is none.
        progress_percent: Progress in percent; for tasks that run until
            cancelled, the percentage of full speed at which they work.
        reported_value: Tail latency in ms for a serving task, millicores in use
            for others; 0 if it is not reported.
    """

    task: _job_spec.TaskId
    run_number: int
    checkpoint: str
    progress_percent: float
    reported_value: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRunReport:
    """Executor's report of one ended run, repeated until acknowledged.

    Attributes:
        list_position: Position in the executor's list of ended runs, from 1.
        task: Task that ran.
        run_number: Number of the run.
        kind: Way in which the run ended.
        checkpoint: Newest checkpoint; empty if there is none.
    """

    list_position: int
    task: _job_spec.TaskId
    run_number: int
    kind: RunEndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewalReply:
    """Executor's reply to a renewal of its lease.

    Attributes:
        clock_ms: Reading of the executor's monotonic clock, in milliseconds.
        started_wall_ms: Start time of its current incarnation, in milliseconds
            since the Unix epoch.
        active_runs: Reports of all active runs.
        unacknowledged_ends: Ended runs that are not acknowledged yet, oldest
            first.
    """

    clock_ms: int
    started_wall_ms: int
    active_runs: tuple[ActiveRunReport, ...]
    unacknowledged_ends: tuple[EndedRunReport, ...]

    @property
    def may_omit_ends(self) -> bool:
        """Whether more runs may have ended than the answer has room for."""
        return len(self.unacknowledged_ends) >= MAX_ENDS_PER_ANSWER


MAX_ENDS_PER_ANSWER = 500
"""Most run ends in one answer; executors list the others once these are
acknowledged."""

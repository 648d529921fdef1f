"""State that the scheduler keeps of each executor."""

import dataclasses

from basiljunction.coordination.scheduling import _clock_reading
from basiljunction.coordination.scheduling import _failure_record
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _runs
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _run_bound

RunKey = tuple[_job_spec.TaskId, int]
"""Key of a run: its task and its run number."""


@dataclasses.dataclass(slots=True)
class ExecutorState:
    """State of one executor: its capacity, its runs and its lease.

    Attributes:
        listing: The executor as the platform lists it.
        is_listed: Whether the platform's newest list contains it.
        is_roster_stored: Whether the stored roster has what a successor needs.
        is_restart_stored: Whether the stored roster record says that it has
            restarted.
        is_vacated: Whether it certainly runs nothing, gets no tasks and is left
            out of the roster, so that a successor does not wait for it.
        started_wall_ms: Start time of the incarnation that answered last, in
            milliseconds since the Unix epoch; 0 before the first answer.
        last_answer_s: Time of its last answer to a lease renewal; None before
            the first.
        clock: Newest reading of its clock.
        has_restarted: Whether a deadline of an earlier incarnation may have
            given it a longer lease than the ordinary one.
        long_leases_end_s: Time by which leases that an earlier incarnation's
            deadlines gave it have ended, as an earlier scheduler told; None if
            none did.
        holds_up_lasting_tasks: Whether a task that runs until cancelled would
            be without a run for too long if it were lost now.
        has_listed_runs: Whether its present incarnation, as far as known, has
            answered a lease renewal.
        may_omit_ends: Whether more runs may have ended there than its newest
            answer has room for.
        lease_until_ms: Latest end of a lease that was sent, on its clock.
        run_by_key: Its runs, also those whose start is not confirmed.
        stopping_run_by_key: Its runs that are to be stopped.
        unproven_run_by_key: Its runs that a crash may be put down to; those
            that are to be stopped are left out.
        isolated_for: Task for whose isolated start no other task is placed on
            it, of a gang the first; None for none.
        isolation_ends_s: Time until which it waits for that start.
        run_count_by_job: Number of its runs by the id of their job; jobs
            without a run on it are left out.
        processed_end_number: Highest number of an ended run that the scheduler
            has processed.
        stored_end_number: Highest number of an ended run whose records are
            stored.
        renewal_sent_s: Time at which the lease renewal in flight was sent; None
            if none is in flight.
        renewal_address: Address to which the newest lease renewal was sent.
        generation: Generation of the orders that are sent to it now.
        renewal_generation: Generation of the newest lease renewal.
        renewal_restarts: Number of its restarts that were known when that was
            sent.
        is_fenced_off: Whether no restart is known, or its present incarnation
            has answered an order with a token that bars earlier ones.
        renewal_failures: Number of consecutive lease renewals without an
            answer.
        lacks_connection: Whether the last lease renewal was not sent, as no
            open connection was free.
        unsent_renewals: Number of lease renewals in a row that were not sent
            for that reason; those in between that open one are left out.
        opens_connections_until_s: Time until which each of its lease renewals
            may open a connection, as none lasts until the next one.
        next_renewal_s: Time at which the next lease renewal is due.
        avoid_until_s: Time before which no task is placed on it.
        is_suspect: Whether it was slow lately and no task has run at normal
            speed since.
        failures: Its failed runs in a row.
        inherited_until_s: Time until which unreported runs of an earlier
            scheduler may exist on it; None once all its runs are known.
        silent_bound: Bound of its runs in the newest record of silent
            executors; None if that leaves it out.
        is_lease_frozen: Whether its lease is not extended, as the store may
            hold a bound of its runs.
        drain_ends_s: Earliest time at which it exits, as it reported while
            draining; None if it does not drain or did not tell.
        fillers_adjusted_s: Time at which fillers were last stopped or slowed
            down on it.
        reserved_resources: Resources reserved by its runs.
        largest_capacity: Largest amount of each resource that this
            incarnation has been listed with; a smaller capacity may grow back
            to it.
        free_capacity: Capacity that no run has reserved.
        unused_millicores: Estimated CPU that no task uses, in millicores;
            includes the part of the serving tasks' reservation that they leave
            idle.
        filler_millicores: CPU that its fillers request.
        serving_millicores: CPU reserved by its serving tasks.
        serving_count: Number of runs of serving tasks.
        filler_count: Number of runs of fillers.
        short_millicores: CPU reserved by short runs, which end by themselves;
            those that are being stopped are left out.
        vacating_millicores: CPU reserved by lasting runs that are being
            stopped.
        revision: Number of changes of its runs and of reports about them;
            figures derived from them hold while it stays the same.
    """

    listing: _executor.ListedExecutor
    is_listed: bool = True
    is_roster_stored: bool = False
    is_restart_stored: bool = False
    is_vacated: bool = False
    started_wall_ms: int = 0
    last_answer_s: float | None = None
    clock: _clock_reading.ClockReading = dataclasses.field(
        default_factory=_clock_reading.ClockReading
    )
    has_restarted: bool = False
    long_leases_end_s: float | None = None
    holds_up_lasting_tasks: bool = False
    has_listed_runs: bool = False
    may_omit_ends: bool = False
    lease_until_ms: int = 0
    run_by_key: dict[RunKey, _runs.Run] = dataclasses.field(
        default_factory=dict
    )
    stopping_run_by_key: dict[RunKey, _runs.Run] = dataclasses.field(
        default_factory=dict
    )
    unproven_run_by_key: dict[RunKey, _runs.Run] = dataclasses.field(
        default_factory=dict
    )
    isolated_for: _job_spec.TaskId | None = None
    isolation_ends_s: float = 0.0
    run_count_by_job: dict[str, int] = dataclasses.field(default_factory=dict)
    processed_end_number: int = 0
    stored_end_number: int = 0
    renewal_sent_s: float | None = None
    renewal_address: str = ""
    generation: int = 0
    renewal_generation: int = 0
    renewal_restarts: int = 0
    is_fenced_off: bool = True
    renewal_failures: int = 0
    lacks_connection: bool = False
    unsent_renewals: int = 0
    opens_connections_until_s: float = 0.0
    next_renewal_s: float = 0.0
    avoid_until_s: float = 0.0
    is_suspect: bool = False
    failures: _failure_record.FailureRecord = dataclasses.field(
        default_factory=_failure_record.FailureRecord
    )
    inherited_until_s: float | None = None
    silent_bound: _run_bound.RunBound | None = None
    is_lease_frozen: bool = False
    drain_ends_s: float | None = None
    fillers_adjusted_s: float = 0.0
    reserved_resources: _job_spec.Resources = dataclasses.field(
        default_factory=_job_spec.Resources
    )
    largest_capacity: _job_spec.Resources = dataclasses.field(init=False)
    free_capacity: _job_spec.Resources = dataclasses.field(init=False)
    unused_millicores: int = dataclasses.field(init=False)
    filler_millicores: int = 0
    serving_millicores: int = 0
    serving_count: int = 0
    filler_count: int = 0
    short_millicores: int = 0
    vacating_millicores: int = 0
    revision: int = 0

    def __post_init__(self) -> None:
        self.largest_capacity = self.listing.capacity
        self.has_restarted = self.listing.has_restarted
        self._update_free_capacity()

    def update_listing(
        self, listing: _executor.ListedExecutor, now_s: float
    ) -> None:
        """Replaces the listing by a newer one of the same executor.

        A listing that is read again tells nothing new of how long the executor
        goes on.
        """
        if listing.drain_left_s is None:
            self.drain_ends_s = None
        elif (
            self.drain_ends_s is None
            or listing.drain_left_s != self.listing.drain_left_s
        ):
            self.drain_ends_s = now_s + listing.drain_left_s
        self.largest_capacity = (
            listing.capacity.max_with(self.largest_capacity)
            if listing.born_ms == self.listing.born_ms
            else listing.capacity
        )
        if listing.born_ms != self.listing.born_ms:
            self.has_restarted = True
        self.listing = listing
        self.revision += 1
        self._update_free_capacity()

    @property
    def incarnation(self) -> str:
        """Name of the incarnation that answered last, unique over restarts."""
        return f"{self.listing.id}@{self.started_wall_ms}"

    def add_run(self, run: _runs.Run) -> None:
        """Adds a run and reserves its resources."""
        self.run_by_key[run.task, run.number] = run
        if run.phase is _runs.RunPhase.STOPPING:
            self.stopping_run_by_key[run.task, run.number] = run
        elif not run.is_proven:
            self.unproven_run_by_key[run.task, run.number] = run
        self._update_totals(run, 1)

    def remove_run(self, run: _runs.Run) -> None:
        """Removes a run, if it is present, and releases its resources."""
        key = (run.task, run.number)
        if self.run_by_key.pop(key, None) is not None:
            self._update_totals(run, -1)
            self.stopping_run_by_key.pop(key, None)
            self._drop_unproven_run(key)

    def mark_proven(self, run: _runs.Run) -> None:
        """Marks a run as one that a crash is not put down to."""
        run.is_proven = True
        self._drop_unproven_run((run.task, run.number))

    def _drop_unproven_run(self, key: RunKey) -> None:
        """Removes an unproven run; the last isolated one ends the isolation."""
        run = self.unproven_run_by_key.pop(key, None)
        if run is None or not run.is_isolated:
            return
        if not any(e.is_isolated for e in self.unproven_run_by_key.values()):
            self.isolated_for = None

    def end_overdue_isolation(self, now_s: float) -> None:
        """Ends the wait for an isolated start that did not come in time."""
        if now_s < self.isolation_ends_s:
            return
        if not any(e.is_isolated for e in self.unproven_run_by_key.values()):
            self.isolated_for = None

    def stop_run(self, run: _runs.Run, now_s: float) -> None:
        """Marks a run as stopping, with a stop order due at once.

        Its resources stay reserved until it has certainly ended.
        """
        if run.phase is _runs.RunPhase.STOPPING:
            return
        key = (run.task, run.number)
        is_present = key in self.run_by_key
        if is_present:
            self._update_turnover(run, -1)
        run.mark_stopping(now_s)
        if is_present:
            self.stopping_run_by_key[key] = run
            self._drop_unproven_run(key)
            self._update_turnover(run, 1)
            self.revision += 1

    def _update_totals(self, run: _runs.Run, sign: int) -> None:
        """Adds a run to the totals, or subtracts it if sign is -1."""
        self.revision += 1
        job_id = run.task.job
        run_count = self.run_count_by_job.get(job_id, 0) + sign
        if run_count:
            self.run_count_by_job[job_id] = run_count
        else:
            del self.run_count_by_job[job_id]
        resources = run.step.reserved_resources
        self.reserved_resources = (
            self.reserved_resources + resources
            if sign > 0
            else self.reserved_resources - resources
        )
        if run.step.fills:
            self.filler_millicores += sign * run.step.size.cpu_millicores
            self.filler_count += sign
        self._update_turnover(run, sign)
        if run.step.is_serving:
            self.serving_count += sign
            self.serving_millicores += sign * run.step.size.cpu_millicores
        self._update_free_capacity()

    def _update_turnover(self, run: _runs.Run, sign: int) -> None:
        """Adds a run to the short or the vacating CPU, or subtracts it."""
        millicores = sign * run.step.size.cpu_millicores
        is_stopping = run.phase is _runs.RunPhase.STOPPING
        if run.step.runs_until_cancelled:
            if is_stopping:
                self.vacating_millicores += millicores
        elif not run.step.fills and not is_stopping:
            self.short_millicores += millicores

    def _update_free_capacity(self) -> None:
        """Derives the free capacity, which placement reads far more often."""
        self.free_capacity = self.listing.capacity - self.reserved_resources
        idle = int(self.serving_millicores * SERVING_IDLE_FRACTION)
        self.unused_millicores = (
            self.free_capacity.cpu_millicores + idle - self.filler_millicores
        )

    @property
    def is_overbooked(self) -> bool:
        """Whether its runs have reserved more than its present capacity."""
        return not self.free_capacity.covers(_job_spec.Resources())

    def accepts_new_tasks(self, now_s: float, *, own_delay_s: float) -> bool:
        """Returns whether the executor accepts tasks and is not failing.

        Args:
            now_s: Current time in seconds.
            own_delay_s: Part of its silence that the scheduler may have caused.
        """
        if self.failures.is_avoided(now_s):
            return False
        return self.accepts_starts(now_s, own_delay_s=own_delay_s)

    def accepts_starts(self, now_s: float, *, own_delay_s: float) -> bool:
        """Returns whether tasks may start on the executor, failing or not.

        It has to be listed, with the capacity of the incarnation that answers,
        which has listed its runs, not draining, stored in the roster, in
        contact and not avoided for another reason, and its lease may be
        extended.

        Args:
            now_s: Current time in seconds.
            own_delay_s: Part of its silence that the scheduler may have caused.
        """
        if not self.is_listed or self.listing.is_draining:
            return False
        if not self.is_roster_stored or not self.has_listed_runs:
            return False
        if not self.is_fenced_off or not self._is_capacity_current():
            return False
        if self.is_lease_frozen:
            return False
        if now_s < self.avoid_until_s:
            return False
        return self.is_in_contact(now_s, own_delay_s=own_delay_s)

    @property
    def bars_other_incarnations(self) -> bool:
        """Whether only orders for the listed incarnation reach it."""
        return (
            self.is_fenced_off
            and self.last_answer_s is not None
            and self.started_wall_ms != 0
            and self.listing.born_ms == self.started_wall_ms
        )

    def _is_capacity_current(self) -> bool:
        """Returns whether the listing is of the incarnation that answers.

        A later incarnation may have less capacity. A start time that is not
        known tells nothing.
        """
        if not self.started_wall_ms or not self.listing.born_ms:
            return True
        return self.listing.born_ms == self.started_wall_ms

    def record_unsent_renewal(self, now_s: float) -> None:
        """Notes that a renewal found no open connection; the next opens one.

        After several, connections to it are taken not to last for a while.
        """
        self.renewal_sent_s = None
        self.next_renewal_s = now_s
        self.lacks_connection = True
        self.unsent_renewals += 1
        if self.unsent_renewals < _limits.MAX_UNSENT_RENEWALS:
            return
        self.unsent_renewals = 0
        self.lacks_connection = False
        self.opens_connections_until_s = now_s + _limits.UNLASTING_CONNECTIONS_S

    def is_same_incarnation(self, report: _executor.LeaseRenewalReply) -> bool:
        """Returns whether an answer is from the incarnation listed last."""
        return (
            self.has_listed_runs
            and report.started_wall_ms == self.started_wall_ms
        )

    def is_in_contact(self, now_s: float, *, own_delay_s: float) -> bool:
        """Returns whether the executor has answered a renewal lately.

        Args:
            now_s: Current time in seconds.
            own_delay_s: Part of its silence that the scheduler may have caused.
        """
        if self.last_answer_s is None:
            return False
        silent_s = now_s - self.last_answer_s
        return silent_s < _limits.CONTACT_TIMEOUT_S + own_delay_s

    def min_clock_at(self, now_s: float) -> int:
        """Returns a lower bound of the executor's clock, in milliseconds."""
        if self.last_answer_s is None:
            return 0
        passed_ms = int((now_s - self.clock.read_s) * 1000)
        return self.clock.clock_ms + passed_ms

    def assume_longest_lease(
        self, now_s: float, longest_lease_s: float
    ) -> None:
        """Assumes that a lease of full length may have begun by now."""
        until_ms = self.min_clock_at(now_s) + int(longest_lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def record_clock(self, clock_ms: int, now_s: float) -> None:
        """Records a reading of the clock of its present incarnation."""
        self.clock = _clock_reading.ClockReading(
            self.clock.restarts, clock_ms, now_s
        )

    def record_restart(
        self, now_s: float, *, clock_ms: int, lease_s: float
    ) -> None:
        """Begins a new incarnation, of which no list of runs is known.

        Args:
            now_s: Current time in seconds.
            clock_ms: Lowest reading that its clock can have by now.
            lease_s: Longest lease that it can have by now, in seconds.
        """
        self.clock = _clock_reading.ClockReading(
            self.clock.restarts + 1, clock_ms, now_s
        )
        self.has_restarted = True
        self.is_restart_stored = False
        self.lease_until_ms = clock_ms + int(lease_s * 1000)
        self.has_listed_runs = False
        self.is_fenced_off = False
        self.started_wall_ms = 0
        self.processed_end_number = 0
        self.stored_end_number = 0
        self.inherited_until_s = None
        self.is_suspect = False
        self.next_renewal_s = now_s
        self.unsent_renewals = 0
        self.opens_connections_until_s = 0.0

    def record_fence(self, clock_ms: int, longest_lease_s: float) -> bool:
        """Notes that orders for the incarnation before are barred from now on.

        Until then one of them may have given it a lease of full length.

        Args:
            clock_ms: Reading of its clock, in milliseconds.
            longest_lease_s: Longest lease that executors grant, in seconds.

        Returns:
            Whether they were not barred before.
        """
        if self.is_fenced_off or self.renewal_generation != self.generation:
            return False
        self.is_fenced_off = True
        self.lease_until_ms = clock_ms + int(longest_lease_s * 1000)
        return True

    def assume_earlier_lease(
        self,
        report: _executor.LeaseRenewalReply,
        times: _limits.LeaseTimes,
    ) -> None:
        """Assumes the longest lease that earlier terms may have granted.

        Args:
            report: Its first answer in this term.
            times: Lengths of leases.
        """
        if (
            report.started_wall_ms != self.listing.born_ms
            or not report.started_wall_ms
        ):
            self.has_restarted = True
        lease_s = times.lease_s
        if self.has_restarted and _is_young(report.clock_ms, times):
            lease_s = times.longest_lease_s
        elif not report.active_runs:
            return
        self.lease_until_ms = report.clock_ms + int(lease_s * 1000)

    def forget_old_restart(self, times: _limits.LeaseTimes) -> bool:
        """Forgets a restart of which no order and no lease can be left.

        Args:
            times: Lengths of leases.

        Returns:
            Whether it forgot one.
        """
        if not self.has_restarted or _is_young(self.clock.clock_ms, times):
            return False
        self.has_restarted = False
        self.is_restart_stored = False
        return True

    def forget_outlasted_restart(self, lease_until_ms: int) -> bool:
        """Forgets a restart once its lease is no longer than any other's.

        Since the present incarnation has answered an order of a generation
        that began after the restart was known, orders with deadlines of an
        earlier one are refused: those of this term by the generation, those of
        earlier terms by the epoch. A lease that they granted until then ends a
        longest lease after that answer at the latest, which `lease_until_ms`
        of the executor counts with, and no other can exceed the ordinary one.
        So if a lease of ordinary length that is granted now ends no sooner, a
        successor that counts with such a lease waits long enough.

        Not if a later incarnation is listed that has not answered yet.

        Args:
            lease_until_ms: End of the lease that is granted now, on the
                executor's clock.

        Returns:
            Whether it forgot one.
        """
        if not (self.has_restarted and self.is_fenced_off):
            return False
        if not self._is_capacity_current():
            return False
        if self.lease_until_ms > lease_until_ms:
            return False
        self.has_restarted = False
        self.is_restart_stored = False
        return True

    def extend_lease(self, now_s: float, lease_s: float) -> int:
        """Records a new lease and returns its end on the executor's clock.

        Args:
            now_s: Current time in seconds.
            lease_s: Length of the lease in seconds.

        Returns:
            End of the lease in milliseconds.
        """
        until_ms = self.min_clock_at(now_s) + int(lease_s * 1000)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def lease_expired_s(self) -> float:
        """Returns the time at which the lease has certainly expired.

        The executor has then ended all its runs. Allows for a slow clock of the
        executor and its delay in ending runs.
        """
        if self.last_answer_s is None:
            return 0.0
        return _limits.end_of_lease_s(self.clock.read_s, self.lease_left_s())

    def runs_end_by_s(self) -> float:
        """Returns the time by which all of its runs have certainly ended.

        Those of earlier terms count as long as they are not known.
        """
        return max(self.inherited_until_s or 0.0, self.lease_expired_s())

    def lease_left_s(self) -> float:
        """Returns what is left of the lease at the last clock reading, in s."""
        return max(0.0, (self.lease_until_ms - self.clock.clock_ms) / 1000)

    def may_have_unread_ends(self, now_s: float) -> bool:
        """Returns whether a new incarnation may have ended runs unread.

        It shows as a failed renewal, or it has restarted between two renewals
        and may have ended what was ordered since and never listed.
        """
        if self.renewal_failures > 0:
            return True
        if self.last_answer_s is None:
            return False
        if now_s - self.last_answer_s < _limits.SHORTEST_RESTART_S:
            return False
        return any(
            not run.was_listed and not run.is_start_held
            for run in self.run_by_key.values()
        )

    def has_unlisted_runs(self) -> bool:
        """Returns whether it is still open if a run exists."""
        unsettled = (_runs.RunPhase.UNSETTLED, _runs.RunPhase.STOPPING)
        return any(
            not run.was_listed and run.phase in unsettled
            for run in self.run_by_key.values()
        )

    def min_headroom(self) -> float:
        """Returns the least headroom of its serving runs; 0 if none is known.

        The headroom is the latency target over the tail latency.
        """
        known = (
            run.headroom
            for run in self.run_by_key.values()
            if run.step.is_serving and run.headroom > 0
        )
        return min(known, default=0.0)

    def needs_no_wait(self, now_s: float) -> bool:
        """Returns whether it runs nothing and gets no tasks as it is.

        It has not answered this scheduler and no earlier run is left, as before
        its first task, or has restarted and takes no tasks yet, or is no longer
        listed and its lease has expired, or drains, has answered that nothing
        runs on it and the ends of its runs are stored.
        """
        if self.last_answer_s is None:
            return self.inherited_until_s is None
        if not self.is_fenced_off or not self._is_capacity_current():
            # A late renewal may lengthen its lease, unless its process is gone.
            may_run = self.run_by_key or self.inherited_until_s is not None
            return not may_run and self.lease_left_s() == 0.0
        if not self.is_listed:
            return self.has_certainly_no_runs(now_s)
        if not self.listing.is_draining:
            return False
        if self.run_by_key or self.inherited_until_s is not None:
            return False
        return self.processed_end_number == self.stored_end_number

    def may_be_forgotten(self, now_s: float) -> bool:
        """Returns whether nothing about it has to be known any longer.

        While the store may hold a bound of its runs, its lease must not be
        extended if it returns.
        """
        if self.silent_bound is not None or self.is_lease_frozen:
            return False
        return self.has_certainly_no_runs(now_s)

    def has_certainly_no_runs(self, now_s: float) -> bool:
        """Returns whether the executor certainly has no runs."""
        if self.run_by_key or self.inherited_until_s is not None:
            return False
        return now_s > self.lease_expired_s()

    def count_runs_of_step(self, task: _job_spec.TaskId) -> int:
        """Returns the number of runs of the task's step and occurrence."""
        same = (task.job, task.occurrence, task.step)
        return sum(
            (each.job, each.occurrence, each.step) == same
            for each, _ in self.run_by_key
        )


def _is_young(clock_ms: int, times: _limits.LeaseTimes) -> bool:
    """Returns whether orders for an incarnation before may have an effect.

    Deadlines on the clock of the incarnation before arrive until the last late
    order, and what they granted ends a longest lease later.

    Args:
        clock_ms: Reading of the executor's clock, in milliseconds.
        times: Lengths of leases.
    """
    longest_s = _limits.MAX_ORDER_DELAY_S + times.longest_lease_s
    return clock_ms / 1000 < longest_s


SERVING_IDLE_FRACTION = 0.45
"""Fraction of the CPU reserved by serving tasks that fillers may use. Serving
tasks reserve their peak; fillers ran at full speed beside them up to this
fraction."""

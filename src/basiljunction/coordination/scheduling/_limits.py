"""Time constants and limits of the scheduler, with units and reasons."""

import dataclasses

from basiljunction.coordination.leadership import _lease_grants

MAX_CLOCK_SLOWNESS = 1.02
"""Factor by which an executor's clock may run slow; the executors' contract
states it."""

RENEWAL_WAIT_S = 1.0
"""Time in seconds that an executor may hold back its answer to a lease renewal
until a run ends; four renewals fit into one lease."""

RENEWAL_DELAY_S = 0.03
"""Delay between two lease renewals, in seconds: ended runs are to be processed
within 0.1 s of being listed."""

UNSTORED_RENEWAL_DELAY_S = 0.5
"""Delay between two lease renewals while processed ends are not yet stored, in
seconds."""

RENEWAL_RETRY_S = 0.25
"""Delay before a lease renewal that got no answer is repeated, in seconds;
several tries fit into a lease."""

MAX_REFUSED_RETRY_S = 2.0
"""Longest delay before an address at which another executor answers is asked
again, in seconds; an executor that takes it back is found within that time."""

MAX_UNSENT_RENEWALS = 2
"""Lease renewals in a row without an open connection after which connections to
an executor are taken not to last."""

UNLASTING_CONNECTIONS_S = 10.0
"""Time for which connections to an executor are taken not to last, in seconds:
the longest lease, within which its runs would lapse without a renewal."""

STOP_RETRY_S = 0.4
"""Delay before a stop order without an answer is repeated, in seconds."""

CONTACT_TIMEOUT_S = RENEWAL_WAIT_S + 0.4
"""Time since an executor's last answer after which no task is placed on it, in
seconds: the answer to a lease renewal is overdue."""

TICKS_PER_RENEWAL = 3
"""Ticks of the scheduler by which an executor's answer may be older than its
own: the renewal waits for one tick to be due and for its end to be sent, and
the answer for the end of another."""

MAX_TICK_GAP_S = 0.4
"""Longest gap between two ticks that excuses an executor's silence, in seconds;
with longer ones, renewals time out."""

TICK_GAP_MEMORY_S = 3.0
"""Time for which the longest gap between two ticks counts, in seconds: two
renewals."""

MAX_ORDER_DELAY_S = 15.0
"""Time in seconds after which an order without an answer is no longer expected
to be carried out; the executors' contract speaks of seconds."""

CLOCK_READING_MARGIN_MS = 50
"""Difference of two clock readings that shows nothing, in milliseconds: they
are rounded, and times are taken once per pass."""

SHORTEST_RESTART_S = 0.1
"""Shortest time, in seconds, in which an executor restarts, takes a start and
ends its run."""

LEASE_EXPIRY_MARGIN_S = 0.3
"""Time added to the end of a lease for the executor's delay in ending its runs,
in seconds."""

UNHEALTHY_AVOID_S = 1.0
"""Time for which no task is placed on an executor that was found unhealthy, in
seconds; doubles with further failures."""

MAX_UNHEALTHY_AVOID_S = 8.0
"""Longest time for which no task is placed on a failing executor, in
seconds."""

TASK_RESTART_DELAY_S = 0.1
"""Delay before a failed task is started again, in seconds."""

LASTING_START_PATIENCE_S = 4.0
"""Time for which the start of a task that runs until cancelled may wait behind
short tasks, if no run was lost, in seconds; two thirds of the time after which
a task without a run counts as lost while there is capacity."""

MAX_LASTING_IDLE_S = 9.0
"""Longest time for which a task that runs until cancelled may have no run while
there is capacity, in seconds: 6 s until it counts as lost, and 3 s more."""

START_AFTER_LEASE_S = 0.5
"""Time from the end of a lost executor's lease to the start of its tasks on
others, in seconds: a tick, a placement pass, and an order whose check is
repeated once."""

RUNS_PER_EPOCH = 1 << 20
"""Number of run numbers reserved for one epoch, so that run numbers of a later
epoch are always higher."""


TOKENS_PER_EPOCH = 1 << 20
"""Number of fencing tokens of one epoch, of which each generation of orders
has one, so that a later epoch's tokens are always higher."""


def fencing_token(epoch: int, generation: int) -> int:
    """Returns the fencing token of an order.

    Args:
        epoch: Epoch of the term.
        generation: Generation of orders to the executor within the term.
    """
    return epoch * TOKENS_PER_EPOCH + min(generation, TOKENS_PER_EPOCH - 1)


def end_of_lease_s(begun_s: float, lease_s: float) -> float:
    """Returns the time at which a lease has certainly expired, in seconds.

    Allows for a slow clock of the executor and its delay in ending runs.

    Args:
        begun_s: Latest time at which the lease can have begun, in seconds.
        lease_s: Length of the lease on the executor's clock, in seconds.
    """
    return begun_s + lease_s * MAX_CLOCK_SLOWNESS + LEASE_EXPIRY_MARGIN_S


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of the executors' leases and related limits, in seconds.

    Attributes:
        lease_s: Length of a lease; at most `longest_lease_s`.
        longest_lease_s: Longest lease that executors grant; they shorten longer
            ones.
        finished_job_retention_s: Time for which the state of a finished job is
            kept.
        stop_timeout_s: Longest time that an executor needs to stop a run.
    """

    lease_s: float = 5.0
    longest_lease_s: float = 10.0
    finished_job_retention_s: float = 120.0
    stop_timeout_s: float = 0.9

    @property
    def max_run_after_grant_s(self) -> float:
        """Longest time for which a run may go on after its last lease."""
        return self.lease_s * MAX_CLOCK_SLOWNESS

    @property
    def max_ordinary_run_s(self) -> float:
        """Longest time for which a run may go on by an ordinary lease.

        Its end is computed on a clock that counts as exact since the last
        answer, as old as for the last start on an executor in contact.
        """
        reading_age_s = CONTACT_TIMEOUT_S + TICKS_PER_RENEWAL * MAX_TICK_GAP_S
        slow_s = reading_age_s * (MAX_CLOCK_SLOWNESS - 1)
        return (self.lease_s + slow_s) * MAX_CLOCK_SLOWNESS

    @property
    def max_restarted_excess_s(self) -> float:
        """Longest time for which runs of a restarted executor go on beyond it.

        A deadline on the clock of an earlier incarnation grants the longest
        lease.
        """
        return (self.longest_lease_s - self.lease_s) * MAX_CLOCK_SLOWNESS

    @property
    def max_run_after_term_s(self) -> float:
        """Longest time for which a run may outlive its scheduler's term."""
        longest_s = _lease_grants.MAX_GRANT_S + self.lease_s
        return longest_s * MAX_CLOCK_SLOWNESS

"""Length, renewal and expiry of the leases of attempts on workers.

A worker stops an attempt whose lease is not renewed in time.
"""

MESSAGE_LIFETIME_S = 5.0
"""Longest time from the last moment to send a message to its arrival.

In seconds.
"""

CLOCK_DRIFT = 0.05
"""Largest relative difference in rate of two machines' clocks."""

MIN_LEASE_S = 30.0
"""Shortest lease, in seconds."""

MIN_RENEWAL_INTERVAL_S = 2.0
"""Shortest time between two renewals on one worker, in seconds."""

MAX_LEASE_S = 120.0
"""Longest lease, in seconds."""

RENEWALS_PER_LEASE = 3
"""Number of renewals within the length of a lease."""

RENEWAL_BYTES_PER_TASK = 240
"""Traffic of renewing one attempt, request and answer, in bytes."""

MAX_RENEWAL_BYTES_PER_S = 8_000
"""Largest traffic of one instance for renewals, in bytes per second."""


def lease_expires_boot_s(last_send_boot_s: float, lease_s: float) -> float:
    """Returns when a lease has certainly expired, on the boot clock.

    Args:
        last_send_boot_s: Last moment at which a start or a renewal may have
            been sent, on this instance's boot clock.
        lease_s: Length of the lease that this message granted, in seconds.
    """
    return last_send_boot_s + MESSAGE_LIFETIME_S + lease_s * (1 + CLOCK_DRIFT)


def renewal_interval_s(attempts: int) -> float:
    """Returns the time between two renewals on one worker, in seconds.

    The interval grows with the number of attempts of this instance, to limit
    the traffic of renewals.
    """
    interval_s = attempts * RENEWAL_BYTES_PER_TASK / MAX_RENEWAL_BYTES_PER_S
    longest_s = MAX_LEASE_S / RENEWALS_PER_LEASE
    return min(longest_s, max(MIN_RENEWAL_INTERVAL_S, interval_s))


def lease_length_s(attempts: int) -> float:
    """Returns the lease length, in seconds, for a number of attempts.

    The attempts are all those of this instance.
    """
    wanted_s = renewal_interval_s(attempts) * RENEWALS_PER_LEASE
    return max(MIN_LEASE_S, wanted_s)

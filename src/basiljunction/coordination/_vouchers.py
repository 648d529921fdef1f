"""Rules of vouching: how long a lease lasts, and which peers get vouchers.

A voucher is a peer's answer to a heartbeat: it allows the sender to act for a
limited time. An owner holds its lease while a majority of its electors vouch
for it, or while it recently read the log's head and was still a member. Every
age counts from when the owner sent its request, never from the answer.
"""

from collections.abc import Container
from collections.abc import Iterable

from basiljunction.coordination import _timing
from basiljunction.state import _fold_ownership


def voucher_lease_until_boot_s(
    vouched_boot_s_by_seat: dict[str, float],
    *,
    own_seat: str,
    electors: Iterable[str],
    voucher_s: float,
) -> float:
    """Returns when the lease that vouchers give an owner ends.

    Args:
        vouched_boot_s_by_seat: When the newest heartbeat was sent that each
            seat answered with a voucher.
        own_seat: The owner's seat; it always vouches for itself.
        electors: Seats whose vouchers count.
        voucher_s: How long a voucher lasts.

    Returns:
        A time on the owner's boot clock; negative infinity without a majority
        of vouchers, or with too few electors for vouchers to count.
    """
    seats = tuple(electors)
    if len(seats) < _fold_ownership.MIN_VOUCHING_ELECTORS:
        return float("-inf")
    vouched_boot_s = sorted(
        (vouched_boot_s_by_seat.get(seat, float("-inf")) for seat in seats),
        reverse=True,
    )
    if own_seat in seats:
        vouched_boot_s = sorted(
            (
                vouched_boot_s_by_seat.get(seat, float("-inf"))
                for seat in seats
                if seat != own_seat
            ),
            reverse=True,
        )
        vouched_boot_s.insert(0, float("inf"))
    majority = len(seats) // 2 + 1
    return vouched_boot_s[majority - 1] + voucher_s


class VoucherTally:
    """Stores the vouchers that one owner received and derives its lease.

    Args:
        own_seat: The owner's seat.
        timing: Lease, heartbeat and guard durations.
    """

    def __init__(self, own_seat: str, timing: _timing.LeaseTiming) -> None:
        self._own_seat = own_seat
        self._timing = timing
        self._vouched_boot_s_by_seat: dict[str, float] = {}
        self._head_requested_boot_s = float("-inf")

    def add_voucher(self, seat: str, heartbeat_sent_boot_s: float) -> None:
        """Stores a voucher for the heartbeat that was sent at a given time."""
        earlier = self._vouched_boot_s_by_seat.get(seat, float("-inf"))
        self._vouched_boot_s_by_seat[seat] = max(earlier, heartbeat_sent_boot_s)

    def remove_vouchers(self, seat: str) -> None:
        """Removes the vouchers of a seat that this owner suspects."""
        self._vouched_boot_s_by_seat.pop(seat, None)

    def record_head_read(self, requested_boot_s: float) -> None:
        """Records a read of the log's head that showed no take-over."""
        self._head_requested_boot_s = max(
            self._head_requested_boot_s, requested_boot_s
        )

    def lease_until_boot_s(
        self, elector_sets: Iterable[tuple[str, ...]]
    ) -> float:
        """Returns when the owner's lease ends, on its boot clock.

        Args:
            elector_sets: Every set that may be in force: the folded one, and
                any whose record was sent but not yet read back.
        """
        voucher_end_s = min(
            voucher_lease_until_boot_s(
                self._vouched_boot_s_by_seat,
                own_seat=self._own_seat,
                electors=electors,
                voucher_s=self._timing.voucher_s,
            )
            for electors in elector_sets
        )
        head_read_end_s = self._head_requested_boot_s + self._timing.voucher_s
        return max(voucher_end_s, head_read_end_s)


class VouchingRules:
    """Decides which seats this instance vouches for.

    Args:
        started_boot_s: When the process started; it abstains until vouchers
            of an earlier process under its name have expired.
        timing: Lease, heartbeat and guard durations.
    """

    def __init__(
        self, started_boot_s: float, timing: _timing.LeaseTiming
    ) -> None:
        self._abstains_until_s = started_boot_s + timing.guard_s
        self._refused_seats: set[str] = set()

    def is_abstaining(self, now_s: float) -> bool:
        """Returns whether it is too early to vouch for or suspect any seat."""
        return now_s < self._abstains_until_s

    def vouches_for(
        self, seat: str, suspecting: Container[str], own_seat: str
    ) -> bool:
        """Returns whether to vouch for a seat.

        Args:
            seat: Seat of the member that sent the heartbeat.
            suspecting: Seats that suspect that member in the folded state.
            own_seat: This instance's seat.
        """
        return seat not in self._refused_seats and own_seat not in suspecting

    def has_stopped_vouching(self, seat: str) -> bool:
        """Returns whether this instance stopped vouching for a seat."""
        return seat in self._refused_seats

    def stop_vouching(self, seat: str) -> None:
        """Stops vouching for a seat.

        Call it before a suspicion of the seat is appended.
        """
        self._refused_seats.add(seat)

    def resume_vouching(self, seat: str) -> None:
        """Vouches for a seat again.

        Call it when its suspicion was not appended or is withdrawn.
        """
        self._refused_seats.discard(seat)

"""Until when a scheduler grants leases, and what the next one knows of it.

A later scheduler waits for runs that it cannot see until the last lease that
an earlier one granted has expired. So a scheduler grants leases only for a
short time after the store last confirmed its term. While the store is away,
nobody can begin another term, and running work should go on: a scheduler then
grants leases as long as every registered instance reports that it cannot reach
the store either. An instance that schedules later knows from its own reports
by when the last lease had been granted.

A scheduler asks every instance that was registered before its last confirmed
record: that write succeeds only if the scheduler has read all records before
it. Schedulers of earlier terms may go on as well while they cannot reach the
store. They ask an instance, too, unless it registered after their last
confirmation, and that is no later than the claim of the newest term.

What an instance knows of earlier schedulers goes with its claim, so that it is
not lost with its process. A claim may take effect late; so an instance reports
no outage for some time after it has claimed a term or started.
"""

from collections.abc import Iterable
import dataclasses
import enum

from basiljunction.state.workload import _leadership

UNREPORTED_GRANT_S = 1.5
"""Time after the store last confirmed a term for which leases are granted
without reports, in seconds; others may claim the next term soon after it."""

MAX_GRANT_S = 5.0
"""Longest time after the store last confirmed a term for which leases are
granted, in seconds."""

REPORT_VALIDITY_S = 1.4
"""Time for which a report of an outage holds, in seconds; some questions that
get no answer fit into it."""


def grants_end_s(confirmed_s: float, reported_until_s: float) -> float:
    """Returns the time until which a scheduler may grant leases, in seconds.

    Args:
        confirmed_s: Sending time of the newest record of its term that the
            store confirmed.
        reported_until_s: Time until which the outage reports of all other
            registered instances hold.
    """
    return max(
        confirmed_s + UNREPORTED_GRANT_S,
        min(confirmed_s + MAX_GRANT_S, reported_until_s),
    )


class OutageReports:
    """The reports of other instances that they cannot reach the store.

    An instance that schedules keeps them.
    """

    def __init__(self) -> None:
        self._asked_s_by_member: dict[str, float] = {}

    def record(self, member: str, asked_s: float) -> None:
        """Records that an instance reported an outage.

        Args:
            member: Name of the instance.
            asked_s: When it was asked, in seconds; it answered later.
        """
        earlier_s = self._asked_s_by_member.get(member, float("-inf"))
        self._asked_s_by_member[member] = max(earlier_s, asked_s)

    def valid_until_s(self, members: Iterable[str]) -> float:
        """Returns the time until which the reports of all members hold.

        Args:
            members: Names of all other registered instances.

        Returns:
            The time in seconds; -inf if one has never reported, infinite if
            there is no other instance.
        """
        return min(
            (
                self._asked_s_by_member.get(each, float("-inf"))
                + REPORT_VALIDITY_S
                for each in members
            ),
            default=float("inf"),
        )

    def find_missing(self, members: Iterable[str], now_s: float) -> list[str]:
        """Returns the members whose reports do not hold now."""
        return [each for each in members if self.valid_until_s([each]) <= now_s]


class GrantLimit(enum.Enum):
    """What the time of the last lease of earlier schedulers follows from.

    Attributes:
        TERM: Nobody may have reported an outage, so leases ended soon after the
            last record of the term before.
        REPORT: This instance, or its process before, may have reported one.
        REGISTRATION: Earlier schedulers may not have known this instance.
        END: The scheduler of the term before ended before its last record was
            read.
        LONGEST: Nothing is known but the longest time.
    """

    TERM = "term"
    REPORT = "report"
    REGISTRATION = "registration"
    END = "end"
    LONGEST = "longest"


@dataclasses.dataclass(frozen=True, slots=True)
class LastGrant:
    """By when earlier schedulers had granted their last lease.

    Attributes:
        by_s: The time, in seconds.
        limit: What it follows from.
    """

    by_s: float
    limit: GrantLimit


class GrantHistory:
    """What an instance knows of the leases that other schedulers granted.

    Args:
        started_s: When this process started, in seconds; it has reported
            nothing, and the one before nothing later.

    Attributes:
        registered_s: When this instance read its own registration; None if the
            store has none. Schedulers whose term was confirmed later ask it
            for reports.
    """

    def __init__(self, started_s: float) -> None:
        self.registered_s: float | None = None
        self._last_report_s = started_s
        self._no_report_until_s = started_s + MAX_GRANT_S
        self._before_claim_s = self._no_report_until_s
        self._registration_offset: int | None = None
        self._known_since: tuple[int, int] | None = None

    def record_registration(self, offset: int | None, now_s: float) -> None:
        """Records that the store has a registration of this instance.

        Args:
            offset: Offset of its record; None if that is not known.
            now_s: When it was read, in seconds.
        """
        is_read_before = (
            self.registered_s is not None
            and offset is not None
            and offset == self._registration_offset
        )
        if is_read_before:
            return
        self.registered_s = now_s
        self._registration_offset = offset
        self._known_since = None

    def record_removal(self) -> None:
        """Records that the store has no registration of this instance."""
        self.registered_s = None
        self._registration_offset = None
        self._known_since = None

    def record_term(self, term: _leadership.Term, offset: int | None) -> None:
        """Records that a term's record was read.

        Its scheduler had read all records before it when it wrote it.

        Args:
            term: The term.
            offset: Offset of the record; None if that is not known.
        """
        if (
            self._known_since is None
            and self._registration_offset is not None
            and offset is not None
            and offset > self._registration_offset
        ):
            self._known_since = (term.epoch, term.beat)

    def record_claim(self, now_s: float) -> None:
        """Records that this instance claims the next term now."""
        self._before_claim_s = self._no_report_until_s
        self._no_report_until_s = now_s + MAX_GRANT_S

    def record_refused_claim(self) -> None:
        """Records that the store refused the newest claim."""
        self._no_report_until_s = self._before_claim_s

    def may_report(self, now_s: float) -> bool:
        """Returns whether this instance may report an outage now.

        A claim of this process or of the one before may take effect late, and
        tells for how long leases may go on by what was known when it was sent.
        The scheduler before was confirmed earlier than that, so it grants none
        any more when `MAX_GRANT_S` have passed since.
        """
        return now_s >= self._no_report_until_s

    def record_report(self, now_s: float) -> None:
        """Records that this instance reports an outage to a scheduler now."""
        self._last_report_s = now_s

    def find_last_grant(
        self,
        newest: _leadership.Term,
        written_s: float,
        *,
        has_ended: bool = False,
    ) -> LastGrant:
        """Returns by when earlier schedulers had granted their last lease.

        Those that asked this instance had its report, or granted leases for a
        short time only. Those that did not know it were confirmed for the last
        time before it had registered. If the scheduler of the newest term knows
        it, they are those of earlier terms, of which that one told what it
        knew. It holds if this instance has begun the term after that record.

        Args:
            newest: Newest record of the term before.
            written_s: When that record had been written, in seconds.
            has_ended: Whether its scheduler had ended by then, so that leases
                of earlier terms alone count.
        """
        longest = LastGrant(written_s + MAX_GRANT_S, GrantLimit.LONGEST)
        earlier_by_s = written_s - newest.held_s + newest.earlier_grant_s
        known: tuple[LastGrant, ...]
        if has_ended:
            known = (
                LastGrant(written_s, GrantLimit.END),
                LastGrant(earlier_by_s, GrantLimit.REGISTRATION),
            )
        elif self.registered_s is None:
            return longest
        else:
            unknown_by_s = self.registered_s + MAX_GRANT_S
            if self._is_known_to(newest):
                unknown_by_s = min(unknown_by_s, earlier_by_s)
            known = (
                LastGrant(
                    written_s + newest.unreported_grant_s, GrantLimit.TERM
                ),
                LastGrant(
                    self._last_report_s + REPORT_VALIDITY_S, GrantLimit.REPORT
                ),
                LastGrant(unknown_by_s, GrantLimit.REGISTRATION),
            )
        latest = max(known, key=lambda each: each.by_s)
        return min(longest, latest, key=lambda each: each.by_s)

    def _is_known_to(self, newest: _leadership.Term) -> bool:
        """Returns whether the writer of a record had read the registration."""
        return self._known_since is not None and (
            (newest.epoch, newest.beat) >= self._known_since
        )

"""Leadership terms of a cell, as written in the platform's store."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """Leadership term: the period in which one instance schedules a cell.

    A cell is a group of executors and jobs with one scheduler at a time.

    Attributes:
        epoch: Number of the term; increases with each change of scheduler and
            fences stale orders.
        instance: Name of the instance that schedules the cell.
        incarnation: Identifies one run of that instance's process.
        address: ``ip:port`` for calls from other instances.
        beat: Number of renewals of this term.
        is_resigned: Whether the scheduler has resigned this term.
        given_up_terms: Number of terms in a row, up to this one, that ended
            without answering calls.
        longest_run_s: Longest time for which any run may go on after this
            record was written, in seconds; 0 if that is not known. Known if
            the scheduler had stopped before it resigned.
        unreported_grant_s: Time after this record for which its scheduler, or
            one shortly before, grants leases without outage reports, in
            seconds. The default is that of builds which ask for no reports.
        bounded_since_epoch: First epoch from which on, up to this term, all
            schedulers store bounds of silent executors before they extend
            leases; 0 for a build that does not.
        held_s: Time from the claim of the term to this record, in seconds; no
            earlier term was confirmed within it. 0 for a build that does not
            tell it.
        earlier_grant_s: Time after the claim for which schedulers of earlier
            terms may grant leases, as far as its scheduler knew, in seconds.
            The default is the longest such time.
        is_offered: Whether its scheduler leaves and resigns the term as soon
            as another instance requests it.
    """

    epoch: int
    instance: str
    incarnation: int
    address: str
    beat: int = 0
    is_resigned: bool = False
    given_up_terms: int = 0
    longest_run_s: float = 0.0
    unreported_grant_s: float = 5.0
    bounded_since_epoch: int = 0
    held_s: float = 0.0
    earlier_grant_s: float = 5.0
    is_offered: bool = False

    @property
    def is_hidden(self) -> bool:
        """Whether it stands for a term of which no record could be read."""
        return not self.instance

    def is_held_by(self, instance: str, incarnation: int) -> bool:
        """Returns whether this run of the instance's process holds the term."""
        return (self.instance, self.incarnation) == (instance, incarnation)


def hidden_term(max_epoch: int) -> Term:
    """Returns what stands for a term of which no record could be read.

    Args:
        max_epoch: Highest epoch that it can have.
    """
    return Term(max_epoch, instance="", incarnation=0, address="")


class ElectionRole(enum.Enum):
    """Role of an instance in the leader election of a cell.

    Attributes:
        FOLLOWER: It neither holds nor claims the term.
        CLAIMING: Its claim of the next term is in flight.
        LEADER: It holds the newest term.
    """

    FOLLOWER = "follower"
    CLAIMING = "claiming"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class TermWrite:
    """Conditional write that begins, renews or resigns a term.

    Attributes:
        term: The term to store.
        expected_end_offset: End offset that the topic must have for the write
            to succeed.
    """

    term: Term
    expected_end_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class TermRequest:
    """Request of an instance to follow the scheduler of an offered term.

    Attributes:
        epoch: Number of the offered term.
        instance: Name of the instance that requests it.
        incarnation: Identifies one run of that instance's process.
        expected_end_offset: End offset that the topic must have for the request
            to be stored.
    """

    epoch: int
    instance: str
    incarnation: int
    expected_end_offset: int

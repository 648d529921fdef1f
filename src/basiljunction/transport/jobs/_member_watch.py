"""Asks the other instances whether they are there and lack the store.

An instance that is gone for good reports nothing, so that no leases could be
granted in an outage. It is found while the store answers, to be taken off the
list.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

import structlog

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _http_calls

PRESENCE_INTERVAL_S = 2.0
"""Shortest interval between two questions to an instance while the store
confirms the term, in seconds."""

PRESENCE_QUESTIONS_PER_S = 25.0
"""Most questions a second then; each takes the scheduler some 0.3 ms."""

OUTAGE_AGE_S = 0.9
"""Age of the newest confirmation of the term from which instances are asked for
outage reports, in seconds: a renewal is missing."""

OUTAGE_INTERVAL_S = 0.4
"""Shortest interval between two questions to an instance then, in seconds;
several fit into the validity of a report."""

OUTAGE_QUESTIONS_PER_S = 300.0
"""Most questions a second then; little else is to be done in an outage."""

QUESTIONS_IN_SILENCE = 5
"""Questions without an answer after which an instance counts as gone."""

QUESTION_TIMEOUT_S = 0.5
"""Time in which an instance has to answer, in seconds."""

MIN_SILENCE_S = 10.0
"""Shortest time without an answer after which an instance counts as gone, in
seconds; longer than a restart takes."""

UNKNOWN_STATUS = 400
"""Status of an answer of an earlier build, which does not know the question."""

MAX_BURST_S = 0.1
"""Time whose questions may be sent at once after a late tick, in seconds."""

MAX_LOGGED_MEMBERS = 5
"""Most instances that a log entry names."""

_log = structlog.get_logger()


def presence_interval_s(count: int) -> float:
    """Returns the time between two questions to one of so many instances."""
    return max(PRESENCE_INTERVAL_S, count / PRESENCE_QUESTIONS_PER_S)


def outage_interval_s(count: int) -> float:
    """Returns the same while the store does not confirm the term."""
    return max(OUTAGE_INTERVAL_S, count / OUTAGE_QUESTIONS_PER_S)


def silence_s(count: int) -> float:
    """Returns the time without an answer that tells that one is gone."""
    return max(MIN_SILENCE_S, QUESTIONS_IN_SILENCE * presence_interval_s(count))


@dataclasses.dataclass(slots=True)
class _Member:
    """What is known of another instance.

    Attributes:
        seen_s: When it answered last, or was first known, in seconds.
        asked_s: When it was asked last, or was first known, in seconds.
        has_answered: Whether it has answered in this term.
        is_asked: Whether a question to it is in flight.
        has_timed_out: Whether the last question got no answer; the connection
            may have fallen silent.
    """

    seen_s: float
    asked_s: float
    has_answered: bool = False
    is_asked: bool = False
    has_timed_out: bool = False


class MemberWatch:
    """Asks the other instances in turn while this one holds the term.

    Args:
        calls: HTTP client for the calls to other instances.
        clock: Returns the current time.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        clock: Callable[[], _time.Now],
    ) -> None:
        self._calls = calls
        self._clock = clock
        self._epoch = 0
        self._reports = _lease_grants.OutageReports()
        self._member_by_name: dict[str, _Member] = {}
        self._are_grants_paused = False
        self._next_question_s = 0.0

    def tick(
        self,
        now: _time.Now,
        *,
        epoch: int,
        confirmed_s: float,
        address_by_member: Mapping[str, str],
    ) -> None:
        """Asks the instances that are due.

        Args:
            now: The time.
            epoch: Epoch of the held term.
            confirmed_s: When the newest record of the term that the store
                confirmed was sent, in seconds.
            address_by_member: Address of each other registered instance.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._member_by_name.clear()
        for name in self._member_by_name.keys() - address_by_member.keys():
            del self._member_by_name[name]
        is_outage = now.boot_s - confirmed_s >= OUTAGE_AGE_S
        count = len(address_by_member)
        interval_s = (
            outage_interval_s(count)
            if is_outage
            else presence_interval_s(count)
        )
        gap_s = 1 / (
            OUTAGE_QUESTIONS_PER_S if is_outage else PRESENCE_QUESTIONS_PER_S
        )
        self._next_question_s = max(
            self._next_question_s, now.boot_s - MAX_BURST_S
        )
        for name, address in address_by_member.items():
            member = self._member_by_name.get(name)
            if member is None:
                member = _Member(now.boot_s, now.boot_s)
                self._member_by_name[name] = member
            if now.boot_s < self._next_question_s:
                continue
            is_due = now.boot_s >= member.asked_s + interval_s
            if is_due and not member.is_asked:
                self._next_question_s += gap_s
                self._ask(name, member, address, now)

    def reported_until_s(self, address_by_member: Mapping[str, str]) -> float:
        """Returns the time until which all instances report an outage.

        Args:
            address_by_member: Address of each other registered instance.
        """
        return self._reports.valid_until_s(address_by_member)

    def find_gone(self, now: _time.Now) -> list[str]:
        """Returns the instances that have not answered for long.

        None if no other instance answers, as this one may be cut off then.
        """
        oldest_s = now.boot_s - silence_s(len(self._member_by_name))
        members = self._member_by_name.items()
        if not any(
            each.has_answered and each.seen_s > oldest_s for _, each in members
        ):
            return []
        return [name for name, each in members if each.seen_s <= oldest_s]

    def log_grants(
        self,
        now: _time.Now,
        *,
        confirmed_s: float,
        address_by_member: Mapping[str, str],
    ) -> None:
        """Logs when leases are no longer granted, and when they are again.

        Args:
            now: The time.
            confirmed_s: When the newest record of the term that the store
                confirmed was sent, in seconds.
            address_by_member: Address of each other registered instance.
        """
        are_paused = now.boot_s >= _lease_grants.grants_end_s(
            confirmed_s, self.reported_until_s(address_by_member)
        )
        if are_paused == self._are_grants_paused:
            return
        self._are_grants_paused = are_paused
        if not are_paused:
            _log.info("term.grants-resumed", epoch=self._epoch)
            return
        missing = self._reports.find_missing(address_by_member, now.boot_s)
        _log.warning(
            "term.grants-paused",
            epoch=self._epoch,
            unconfirmed_s=round(now.boot_s - confirmed_s, 3),
            without_report=len(missing),
            first=missing[:MAX_LOGGED_MEMBERS],
        )

    def _note_answer(self, member: _Member) -> None:
        """Records that an instance has answered.

        While none answered, this instance may have been cut off, so the silence
        of the others counts from now on.
        """
        now_s = self._clock().boot_s
        others = self._member_by_name.values()
        newest_s = max((each.seen_s for each in others), default=now_s)
        interval_s = presence_interval_s(len(self._member_by_name))
        if now_s - newest_s > interval_s + 2 * QUESTION_TIMEOUT_S:
            for each in others:
                each.seen_s = now_s
        member.seen_s = now_s
        member.has_answered = True

    def _ask(
        self,
        name: str,
        member: _Member,
        address: str,
        now: _time.Now,
    ) -> None:
        """Sends a question to an instance."""
        member.is_asked = True
        member.asked_s = now.boot_s
        epoch = self._epoch
        question = _client_calls.ClientCall(
            _client_calls.CallKind.OUTAGE, "", epoch=epoch
        )

        def handle_reply(reply: _http_call.HttpReply) -> None:
            member.is_asked = False
            is_known = reply.is_success or reply.status == UNKNOWN_STATUS
            member.has_timed_out = not is_known
            if not is_known:
                return
            self._note_answer(member)
            if not reply.is_success:
                return
            try:
                answer = _peer_calls.decode_reply(reply.body)
            except _errors.DecodeError as error:
                _log.warning("peer.torn", error=str(error))
                return
            if answer.lacks_store and epoch == self._epoch:
                self._reports.record(name, now.boot_s)

        self._calls.send(
            _call_router.build_peer_call(
                address,
                question,
                QUESTION_TIMEOUT_S,
                needs_new_connection=member.has_timed_out,
            ),
            handle_reply,
        )

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
"""Interval between two questions to an instance while the store confirms the
term, in seconds; several fit into `MAX_SILENCE_S`."""

OUTAGE_AGE_S = 0.9
"""Age of the newest confirmation of the term from which instances are asked for
outage reports, in seconds: a renewal is missing."""

OUTAGE_INTERVAL_S = 0.4
"""Interval between two questions to an instance then, in seconds; several fit
into the validity of a report."""

QUESTION_TIMEOUT_S = 0.5
"""Time in which an instance has to answer, in seconds."""

MAX_SILENCE_S = 10.0
"""Time without an answer after which an instance counts as gone, in seconds;
longer than a restart takes."""

UNKNOWN_STATUS = 400
"""Status of an answer of an earlier build, which does not know the question."""

MAX_LOGGED_MEMBERS = 5
"""Most instances that a log entry names."""

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class _Member:
    """What is known of another instance.

    Attributes:
        seen_s: When it answered last, or was first known, in seconds.
        next_question_s: When it is asked next, in seconds.
        has_answered: Whether it has answered in this term.
        is_asked: Whether a question to it is in flight.
        has_timed_out: Whether the last question got no answer; the connection
            may have fallen silent.
    """

    seen_s: float
    next_question_s: float
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
        for name, address in address_by_member.items():
            member = self._member_by_name.get(name)
            if member is None:
                member = _Member(now.boot_s, now.boot_s + PRESENCE_INTERVAL_S)
                self._member_by_name[name] = member
            if is_outage:
                soon_s = now.boot_s + OUTAGE_INTERVAL_S
                member.next_question_s = min(member.next_question_s, soon_s)
            if not member.is_asked and now.boot_s >= member.next_question_s:
                self._ask(name, member, address, now, is_outage=is_outage)

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
        oldest_s = now.boot_s - MAX_SILENCE_S
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
        if now_s - newest_s > PRESENCE_INTERVAL_S + 2 * QUESTION_TIMEOUT_S:
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
        *,
        is_outage: bool,
    ) -> None:
        """Sends a question to an instance."""
        member.is_asked = True
        member.next_question_s = now.boot_s + (
            OUTAGE_INTERVAL_S if is_outage else PRESENCE_INTERVAL_S
        )
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

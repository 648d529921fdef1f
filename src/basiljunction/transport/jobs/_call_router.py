"""Routes client calls to the instance that holds the scheduling term.

A call is answered by this instance if it is the scheduler, and is forwarded to
the newest known scheduler otherwise.
"""

import abc
import collections
from collections.abc import Callable
from concurrent import futures
import dataclasses
import math

import structlog

from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _recovery_gate

MAX_CALL_WAIT_S = 2.4
"""Longest wait for a scheduler, in seconds.

It covers a take-over: the silence of the old scheduler, the random spread of
the candidates and the recovery of the new one.
"""

RETRY_DELAY_S = 0.1
"""Delay before a call is tried again, in seconds."""

PEER_TIMEOUT_S = 1.5
"""Longest time for one attempt at a peer instance, in seconds.

A submission has more time, for its job and for those sent beside it.
"""

FIRST_TIMEOUT_S = 0.5
"""Longest time for the first attempt of a cancel or query, in seconds.

If its connection has fallen silent, time is left for an attempt on a new one.
A submission has more time, since each attempt at it occupies a thread of the
scheduler until the job is stored.
"""

MIN_PEER_TIMEOUT_S = 0.05
"""Shortest time for one attempt at a peer instance, in seconds.

No instance could answer in less.
"""

RESERVED_CONNECTIONS = 2
"""Connections to a peer that forwarded submissions leave free.

A submission holds its connection until the job is stored.
"""

MAX_LOGGED_CALLS = 5
"""Most open calls that the log describes one by one when an instance stops."""

_Outcome = _client_calls.CallOutcome

_BUSY_OUTCOMES = frozenset({_Outcome.UNAVAILABLE, _Outcome.UNKNOWN})
"""Outcomes of a query that do not tell whether the scheduler has recovered."""

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A client call that has no answer yet.

    Attributes:
        call: The client call.
        reply_future: Future that receives the answer.
        deadline_boot_s: Boot time at which the call is answered as unavailable
            or unknown, in seconds.
        is_forwarded: Whether another instance forwarded the call.
        may_have_been_processed: Whether a scheduler may have processed the
            call in an earlier attempt.
        is_in_flight: Whether an attempt at another instance has no answer yet.
        next_try_boot_s: Boot time of the next attempt, in seconds; None while
            an attempt is in progress.
        added_boot_s: Boot time at which the call arrived, in seconds.
        waits_for: What the newest attempt waits for or failed on.
        has_timed_out: Whether an attempt got no answer; open connections may
            have fallen silent then.
    """

    call: _client_calls.ClientCall
    reply_future: "futures.Future[_client_calls.ClientReply]"
    deadline_boot_s: float
    is_forwarded: bool
    may_have_been_processed: bool = False
    is_in_flight: bool = False
    next_try_boot_s: float | None = 0.0
    added_boot_s: float = 0.0
    waits_for: str = ""
    has_timed_out: bool = False

    def set_reply(self, reply: _client_calls.ClientReply) -> None:
        """Answers the call; any later answer is ignored.

        A refusal states that the call had no effect. If a scheduler may have
        processed the call, the outcome "unknown" replaces the refusal.
        """
        if self.reply_future.done():
            return
        if reply.outcome.means_no_effect and self.may_have_changed_state:
            reply = dataclasses.replace(reply, outcome=_Outcome.UNKNOWN)
        self.reply_future.set_result(reply)

    @property
    def may_have_changed_state(self) -> bool:
        """Whether an earlier attempt may have changed the state of a job."""
        may_have_been_processed = (
            self.may_have_been_processed or self.is_in_flight
        )
        return may_have_been_processed and self.call.kind.changes_state


class LocalScheduler(abc.ABC):
    """Interface of this instance's own scheduler for the call router."""

    @abc.abstractmethod
    def is_scheduling(self) -> bool:
        """Returns whether this instance is the scheduler and answers calls."""

    @abc.abstractmethod
    def answer_locally(self, pending: PendingCall) -> None:
        """Has this instance's scheduler answer a call, at once or later."""

    @abc.abstractmethod
    def newest_leader(self) -> tuple[str, int]:
        """Returns address and epoch of the newest scheduler known locally.

        The address is empty if there is none.
        """

    @abc.abstractmethod
    def is_leader_elsewhere(self) -> bool:
        """Returns whether this instance does not hold the newest known term."""

    def describe_term_stage(self) -> str:
        """Returns the stage of the held term; empty if none is held."""
        return ""

    def report_outage(self, epoch: int) -> bool:
        """Returns whether this instance reports that it lacks the store.

        Args:
            epoch: Epoch of the term of the scheduler that asks.
        """
        del epoch
        return False

    @abc.abstractmethod
    def report_unreachable_leader(self, epoch: int) -> None:
        """Reports that no connection to a scheduler could be made.

        Args:
            epoch: Epoch of the unreachable scheduler's term.
        """


class CallRouter:
    """Routes each client call to the scheduler and retries until its deadline.

    Args:
        calls: HTTP client for the calls to peer instances.
        local: The scheduler of this instance.
        clock: Returns the current time.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        local: LocalScheduler,
        clock: Callable[[], _time.Now],
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._local = local
        self._pending: list[PendingCall] = []
        self._leader_from_peer: tuple[str, int] = ("", 0)
        self._gate = _recovery_gate.RecoveryGate()
        self._submits_in_flight: collections.Counter[str] = (
            collections.Counter()
        )
        self._job_bytes_in_flight = 0
        self._last_answer_boot_s = math.inf

    @property
    def has_no_pending_calls(self) -> bool:
        """Whether every call has been answered."""
        return not self._pending

    def forget_leader(self) -> None:
        """Forgets the scheduler that peers named.

        Its epoch is not comparable once the store has moved.
        """
        self._leader_from_peer = ("", 0)
        self._gate.open()

    def add_call(self, pending: PendingCall, now: _time.Now) -> None:
        """Adds a client call and makes the first attempt to answer it.

        A call that arrives after the last time to answer is refused untried.
        """
        pending.added_boot_s = now.boot_s
        if now.boot_s >= self._last_answer_boot_s:
            self._refuse_late_call(pending)
            return
        pending.deadline_boot_s = min(
            pending.deadline_boot_s, self._last_answer_boot_s
        )
        self._pending.append(pending)
        self._try_call(pending, now)

    def answer_all_by(self, boot_s: float) -> None:
        """Ends the wait of every call, open or to come, at a boot time.

        Args:
            boot_s: The boot time, in seconds.
        """
        self._last_answer_boot_s = boot_s
        for pending in self._pending:
            pending.deadline_boot_s = min(pending.deadline_boot_s, boot_s)

    def _refuse_late_call(self, pending: PendingCall) -> None:
        """Refuses a call for which no time is left.

        A peer that forwarded it tries the scheduler that is named.
        """
        if (
            pending.is_forwarded
            or pending.call.kind is _client_calls.CallKind.LEADER
        ):
            pending.set_reply(self._leader_reply())
            return
        pending.set_reply(_client_calls.ClientReply(_Outcome.UNAVAILABLE))

    def log_open_calls(self, now: _time.Now) -> None:
        """Logs what the open calls wait for: a total and the oldest calls."""
        open_calls = [
            each for each in self._pending if not each.reply_future.done()
        ]
        _log.info(
            "calls.open",
            count=len(open_calls),
            count_by_wait=dict(
                collections.Counter(each.waits_for for each in open_calls)
            ),
        )
        open_calls.sort(key=lambda each: each.added_boot_s)
        for pending in open_calls[:MAX_LOGGED_CALLS]:
            _log.info(
                "call.open",
                kind=pending.call.kind.value,
                job=pending.call.job_id,
                waits_for=pending.waits_for,
                waited_s=round(now.boot_s - pending.added_boot_s, 3),
                left_s=round(pending.deadline_boot_s - now.boot_s, 3),
                in_flight=pending.is_in_flight,
                forwarded=pending.is_forwarded,
            )

    def oldest_wait_s_by_kind(self, now: _time.Now) -> dict[str, float]:
        """Returns the age of the oldest waiting call of each kind.

        It is 0 for a kind of which no call waits.
        """
        wait_s_by_kind = {
            kind.value: 0.0
            for kind in _client_calls.CallKind
            if not kind.is_of_instance
        }
        for pending in self._pending:
            kind = pending.call.kind.value
            if kind in wait_s_by_kind and not pending.reply_future.done():
                wait_s_by_kind[kind] = max(
                    wait_s_by_kind[kind], now.boot_s - pending.added_boot_s
                )
        return wait_s_by_kind

    def process_pending_calls(self, now: _time.Now) -> None:
        """Retries calls that are due and answers those past their deadline."""
        for pending in self._pending:
            if pending.reply_future.done():
                continue
            if now.boot_s >= pending.deadline_boot_s:
                self._log_given_up(pending)
                pending.set_reply(
                    _client_calls.ClientReply(_Outcome.UNAVAILABLE)
                )
            elif pending.next_try_boot_s is not None and (
                now.boot_s >= pending.next_try_boot_s
            ):
                self._try_call(pending, now)
        self._pending = [
            each for each in self._pending if not each.reply_future.done()
        ]
        self._probe_recovering_leader(now)

    def _log_given_up(self, pending: PendingCall) -> None:
        """Logs that a call got no answer before its deadline."""
        leader, epoch = self._local.newest_leader()
        _log.info(
            "call.given-up",
            kind=pending.call.kind.value,
            job=pending.call.job_id,
            leader=leader,
            epoch=max(epoch, self._leader_from_peer[1]),
            waits_for=pending.waits_for,
            in_flight=pending.is_in_flight,
            may_have_had_effect=pending.may_have_changed_state,
        )

    def _try_call(self, pending: PendingCall, now: _time.Now) -> None:
        """Answers a call locally, or forwards it to the known scheduler.

        A call that was forwarded already is not forwarded again.
        """
        pending.next_try_boot_s = now.boot_s + RETRY_DELAY_S
        if pending.call.kind is _client_calls.CallKind.LEADER:
            pending.set_reply(self._leader_reply())
            return
        if pending.call.kind is _client_calls.CallKind.OUTAGE:
            lacks_store = self._local.report_outage(pending.call.epoch)
            pending.set_reply(
                _client_calls.ClientReply(
                    _Outcome.FOUND, lacks_store=lacks_store
                )
            )
            return
        if self._local.is_scheduling():
            pending.next_try_boot_s = None
            pending.waits_for = "store"
            self._local.answer_locally(pending)
            return
        if pending.is_forwarded:
            pending.set_reply(self._leader_reply())
            return
        if self._is_own_term_newest():
            pending.waits_for = f"own-term-{self._local.describe_term_stage()}"
            return
        address, epoch = self._remote_leader()
        if not address:
            pending.waits_for = "leader-unknown"
        elif self._gate.holds_back((address, epoch)):
            pending.waits_for = self._gate.stage
        elif self._must_hold_back(pending, address):
            pending.waits_for = "connection"
            pending.next_try_boot_s = now.boot_s
        else:
            self._forward_call(pending, address, epoch, now)

    def _is_own_term_newest(self) -> bool:
        """Returns whether no term is known that is later than the held one."""
        _, epoch = self._local.newest_leader()
        return (
            not self._local.is_leader_elsewhere()
            and self._leader_from_peer[1] <= epoch
        )

    def _remote_leader(self) -> tuple[str, int]:
        """Returns address and epoch of the newest scheduler known.

        The address is empty if there is none.
        """
        newest = self._local.newest_leader()
        if self._leader_from_peer[1] > newest[1]:
            return self._leader_from_peer
        return newest

    def _probe_recovering_leader(self, now: _time.Now) -> None:
        """Asks a scheduler that has not recovered yet whether it has now."""
        if (
            not self._pending
            or self._is_own_term_newest()
            or not self._gate.holds_back(self._remote_leader())
        ):
            return
        probe = self._gate.next_probe(now.boot_s)
        if probe is None:
            return
        question = _client_calls.ClientCall(_client_calls.CallKind.WAITING, "")
        self._calls.send(
            build_peer_call(
                probe.leader[0],
                question,
                FIRST_TIMEOUT_S,
                needs_new_connection=probe.needs_new_connection,
            ),
            lambda reply: self._handle_probe_reply(probe, reply),
        )

    def _handle_probe_reply(
        self, probe: _recovery_gate.Probe, reply: _http_call.HttpReply
    ) -> None:
        """Sends the pending calls on if the scheduler answers calls now."""
        if not self._gate.record_result(
            probe, self._clock().boot_s, is_lost=not reply.is_success
        ):
            return
        if not reply.is_success:
            if not reply.may_have_been_sent:
                self._local.report_unreachable_leader(probe.leader[1])
            return
        try:
            answer = _peer_calls.decode_reply(reply.body)
        except _errors.DecodeError as error:
            _log.warning("peer.torn", error=str(error))
            return
        if answer.outcome is _Outcome.NOT_LEADER:
            self._note_leader(answer)
        elif answer.outcome not in _BUSY_OUTCOMES:
            self._gate.open()
            for pending in self._pending:
                if pending.next_try_boot_s is not None:
                    pending.next_try_boot_s = 0.0

    def _note_leader(self, answer: _client_calls.ClientReply) -> bool:
        """Adopts a scheduler of a later term that a peer named.

        Returns:
            Whether its term is later than any that a peer named before.
        """
        if answer.leader_epoch <= self._leader_from_peer[1]:
            return False
        self._leader_from_peer = (answer.leader_address, answer.leader_epoch)
        return True

    def _leader_reply(self) -> _client_calls.ClientReply:
        """Returns a NOT_LEADER reply that names the newest known scheduler."""
        newest = max(
            self._local.newest_leader(),
            self._leader_from_peer,
            key=lambda each: each[1],
        )
        return _client_calls.ClientReply(
            _Outcome.NOT_LEADER,
            leader_address=newest[0],
            leader_epoch=newest[1],
            term_stage=self._local.describe_term_stage(),
        )

    def ask_peer_for_leader(
        self, peer: str, on_newer_epoch: Callable[[int], None]
    ) -> None:
        """Asks a peer instance for the newest scheduler that it knows.

        Args:
            peer: Address of the peer.
            on_newer_epoch: Called with the epoch if the peer knows a later
                term than any that a peer named before.
        """

        def handle_reply(reply: _http_call.HttpReply) -> None:
            if not reply.is_success:
                return  # The next query goes to a randomly chosen peer again.
            try:
                answer = _peer_calls.decode_reply(reply.body)
            except _errors.DecodeError as error:
                _log.warning("peer.torn", error=str(error))
                return
            if self._note_leader(answer):
                on_newer_epoch(answer.leader_epoch)

        call = _client_calls.ClientCall(_client_calls.CallKind.LEADER, "")
        self._calls.send(
            build_peer_call(peer, call, PEER_TIMEOUT_S), handle_reply
        )

    def _must_hold_back(self, pending: PendingCall, address: str) -> bool:
        """Returns whether a submission has to wait for a connection."""
        limit = _http_calls.MAX_CONNECTIONS_PER_HOST - RESERVED_CONNECTIONS
        return (
            pending.call.kind is _client_calls.CallKind.SUBMIT
            and self._submits_in_flight[address] >= limit
        )

    def _forward_call(
        self, pending: PendingCall, address: str, epoch: int, now: _time.Now
    ) -> None:
        """Forwards a call to the scheduler at an address."""
        left_s = pending.deadline_boot_s - now.boot_s
        longest_s = (
            PEER_TIMEOUT_S
            if pending.has_timed_out
            or pending.call.kind is _client_calls.CallKind.SUBMIT
            else FIRST_TIMEOUT_S
        )
        # The jobs in flight share the link. Cancels and queries carry none.
        job_bytes = len(pending.call.encoded_job)
        self._job_bytes_in_flight += job_bytes
        if job_bytes:
            longest_s += (
                self._job_bytes_in_flight / _call_pace.SLOW_LINK_BYTES_PER_S
            )
        timeout_s = min(longest_s, max(MIN_PEER_TIMEOUT_S, left_s))
        call = build_peer_call(
            address,
            pending.call,
            timeout_s,
            needs_new_connection=pending.has_timed_out,
        )
        pending.next_try_boot_s = None
        pending.is_in_flight = True
        pending.waits_for = "leader"
        is_submit = pending.call.kind is _client_calls.CallKind.SUBMIT
        self._submits_in_flight[address] += is_submit

        def handle_reply(reply: _http_call.HttpReply) -> None:
            self._submits_in_flight[address] -= is_submit
            self._job_bytes_in_flight -= job_bytes
            self._handle_forward_reply(pending, (address, epoch), reply)

        self._calls.send(call, handle_reply)

    def _handle_forward_reply(
        self,
        pending: PendingCall,
        leader: tuple[str, int],
        reply: _http_call.HttpReply,
    ) -> None:
        """Answers a call with the peer's reply, or schedules a retry."""
        pending.next_try_boot_s = 0.0
        pending.is_in_flight = False
        if not reply.is_success:
            pending.may_have_been_processed |= reply.may_have_been_sent
            pending.has_timed_out |= reply.may_have_been_sent
            pending.waits_for = (
                "leader-silent"
                if reply.may_have_been_sent
                else "leader-unreachable"
            )
            if not reply.may_have_been_sent:
                self._local.report_unreachable_leader(leader[1])
            pending.next_try_boot_s = self._clock().boot_s + RETRY_DELAY_S
            return
        try:
            answer = _peer_calls.decode_reply(reply.body)
        except _errors.DecodeError as error:
            _log.warning("peer.torn", error=str(error))
            pending.may_have_been_processed = True
            return
        pending.waits_for = f"leader-{answer.outcome.value}"
        if answer.outcome is _Outcome.NOT_LEADER:
            if answer.term_stage:
                pending.waits_for = f"leader-term-{answer.term_stage}"
            named = (answer.leader_address, answer.leader_epoch)
            if named == leader:
                self._gate.close(leader, pending.waits_for)
            if not self._note_leader(answer) or named == leader:
                pending.next_try_boot_s = self._clock().boot_s + RETRY_DELAY_S
            return
        if answer.outcome is _Outcome.UNKNOWN:
            pending.may_have_been_processed = True
            pending.next_try_boot_s = self._clock().boot_s + RETRY_DELAY_S
            return
        if answer.outcome.means_no_effect and pending.may_have_changed_state:
            # Retry: a later scheduler knows whether the first attempt had an
            # effect.
            pending.next_try_boot_s = self._clock().boot_s + RETRY_DELAY_S
            return
        pending.set_reply(answer)


def build_peer_call(
    address: str,
    call: _client_calls.ClientCall,
    timeout_s: float,
    *,
    needs_new_connection: bool = False,
) -> _http_call.HttpCall:
    """Returns the HTTP call that sends a client call to a peer instance."""
    return _http_call.HttpCall(
        "POST",
        f"http://{address}/calls",
        _peer_calls.encode_call(call),
        (f"Content-Type: {_peer_calls.MEDIA_TYPE}",),
        timeout_s,
        operation="peer.call",
        needs_new_connection=needs_new_connection,
        is_repeatable=not call.kind.changes_state,
    )

"""Callers' calls: answered here, or by the instance that schedules."""

import abc
from collections.abc import Callable
from concurrent import futures
import dataclasses

import structlog

from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.protocol import _peer_calls
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.transport.jobs import _http_calls

PATIENCE_S = 2.4
"""Longest wait for a scheduler: silence, spread and recovery of a take-over."""

RETRY_S = 0.1
"""Wait before a call is tried again, in seconds."""

PEER_TIMEOUT_S = 1.5
"""Longest time for one try at another instance."""

MIN_TRY_S = 0.05
"""Shortest time for one try; below it no instance could answer."""

_Outcome = _client_calls.Outcome

_log = structlog.get_logger()


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A caller's call that has no answer yet.

    Attributes:
        call: The call.
        reply: Takes the answer.
        give_up_s: When it is answered without success.
        is_forwarded: Whether it came from another instance.
        may_have_acted: Whether a scheduler may have taken it.
        is_in_flight: Whether a try at another instance has no answer yet.
        next_try_s: When it is tried again; None while a try is in flight.
    """

    call: _client_calls.ClientCall
    reply: "futures.Future[_client_calls.ClientReply]"
    give_up_s: float
    is_forwarded: bool
    may_have_acted: bool = False
    is_in_flight: bool = False
    next_try_s: float | None = 0.0

    def answer(self, reply: _client_calls.ClientReply) -> None:
        """Gives the answer; a later one is ignored.

        A refusal says that the call had no effect. Once a scheduler may have
        taken the call, it is answered as unknown instead.
        """
        if self.reply.done():
            return
        if reply.outcome.is_refusal and self.may_have_had_effect:
            reply = dataclasses.replace(reply, outcome=_Outcome.UNKNOWN)
        self.reply.set_result(reply)

    @property
    def may_have_had_effect(self) -> bool:
        """Whether an earlier try may have changed something."""
        may_have_acted = self.may_have_acted or self.is_in_flight
        return may_have_acted and self.call.kind.has_effect


class LocalScheduler(abc.ABC):
    """The scheduler of this instance, as the router sees it."""

    @abc.abstractmethod
    def is_serving(self) -> bool:
        """Returns whether this instance schedules now."""

    @abc.abstractmethod
    def answer_locally(self, pending: PendingCall) -> None:
        """Answers a call, at once or later."""

    @abc.abstractmethod
    def leader(self) -> tuple[str, int]:
        """Returns address and epoch of the newest known scheduler."""

    @abc.abstractmethod
    def is_leader_elsewhere(self) -> bool:
        """Returns whether the newest known scheduler is another instance."""

    @abc.abstractmethod
    def leader_refused(self, epoch: int) -> None:
        """Takes note that nobody listens where a scheduler was."""


class CallRouter:
    """Brings each call to the scheduler, within its time.

    Args:
        calls: Makes the calls.
        local: This instance's scheduler.
        clock: Returns the time.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpCalls,
        local: LocalScheduler,
        clock: Callable[[], _time.Now],
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._local = local
        self._pending: list[PendingCall] = []
        self._hint: tuple[str, int] = ("", 0)

    @property
    def is_empty(self) -> bool:
        """Whether every call is answered."""
        return not self._pending

    def forget_leader(self) -> None:
        """Forgets who scheduled; the store has moved."""
        self._hint = ("", 0)

    def take(self, pending: PendingCall, now: _time.Now) -> None:
        """Takes a call."""
        self._pending.append(pending)
        self._try(pending, now)

    def step(self, now: _time.Now) -> None:
        """Tries again what waits, and gives up what has waited too long."""
        for pending in self._pending:
            if pending.reply.done():
                continue
            if now.boot_s >= pending.give_up_s:
                self._note_given_up(pending)
                pending.answer(_client_calls.ClientReply(_Outcome.UNAVAILABLE))
            elif pending.next_try_s is not None and (
                now.boot_s >= pending.next_try_s
            ):
                self._try(pending, now)
        self._pending = [
            each for each in self._pending if not each.reply.done()
        ]

    def _note_given_up(self, pending: PendingCall) -> None:
        leader, epoch = self._local.leader()
        _log.info(
            "call.given-up",
            kind=pending.call.kind.value,
            job=pending.call.job_id,
            leader=leader,
            epoch=max(epoch, self._hint[1]),
            in_flight=pending.is_in_flight,
            may_have_had_effect=pending.may_have_had_effect,
        )

    def _try(self, pending: PendingCall, now: _time.Now) -> None:
        pending.next_try_s = now.boot_s + RETRY_S
        if pending.call.kind is _client_calls.CallKind.LEADER:
            pending.answer(self._leader_reply())
            return
        if self._local.is_serving():
            pending.next_try_s = None
            self._local.answer_locally(pending)
            return
        if pending.is_forwarded:
            pending.answer(self._leader_reply())
            return
        address, epoch = self._local.leader()
        if self._hint[1] > epoch:
            address, epoch = self._hint
        elif not self._local.is_leader_elsewhere():
            return
        if address:
            self._forward(pending, address, epoch, now)

    def _leader_reply(self) -> _client_calls.ClientReply:
        """Returns a reply that only names the newest known scheduler."""
        newest = max(self._local.leader(), self._hint, key=lambda each: each[1])
        return _client_calls.ClientReply(
            _Outcome.NOT_LEADER,
            leader_address=newest[0],
            leader_epoch=newest[1],
        )

    def ask_leader(self, peer: str, heard: Callable[[int], None]) -> None:
        """Asks an instance who schedules.

        Args:
            peer: Its address.
            heard: Told of the epoch of a later term than was known here.
        """

        def done(reply: _http_call.HttpReply) -> None:
            if not reply.ok:
                return  # Another instance is asked next time.
            try:
                answer = _peer_calls.decode_reply(reply.body)
            except _errors.DecodeError as error:
                _log.warning("peer.torn", error=str(error))
                return
            if answer.leader_epoch > self._hint[1]:
                self._hint = (answer.leader_address, answer.leader_epoch)
                heard(answer.leader_epoch)

        call = _client_calls.ClientCall(_client_calls.CallKind.LEADER, "")
        self._calls.send(_peer_call(peer, call, PEER_TIMEOUT_S), done)

    def _forward(
        self, pending: PendingCall, address: str, epoch: int, now: _time.Now
    ) -> None:
        left_s = pending.give_up_s - now.boot_s
        timeout_s = min(PEER_TIMEOUT_S, max(MIN_TRY_S, left_s))
        call = _peer_call(address, pending.call, timeout_s)
        pending.next_try_s = None
        pending.is_in_flight = True
        self._calls.send(
            call, lambda reply: self._forwarded(pending, epoch, reply)
        )

    def _forwarded(
        self, pending: PendingCall, epoch: int, reply: _http_call.HttpReply
    ) -> None:
        pending.next_try_s = 0.0
        pending.is_in_flight = False
        if not reply.ok:
            pending.may_have_acted |= reply.was_sent
            if not reply.was_sent:
                self._local.leader_refused(epoch)
            pending.next_try_s = self._clock().boot_s + RETRY_S
            return
        try:
            answer = _peer_calls.decode_reply(reply.body)
        except _errors.DecodeError as error:
            _log.warning("peer.torn", error=str(error))
            pending.may_have_acted = True
            return
        if answer.outcome is _Outcome.NOT_LEADER:
            if answer.leader_epoch > self._hint[1]:
                self._hint = (answer.leader_address, answer.leader_epoch)
            else:
                pending.next_try_s = self._clock().boot_s + RETRY_S
            return
        if answer.outcome is _Outcome.UNKNOWN:
            pending.may_have_acted = True
            pending.next_try_s = self._clock().boot_s + RETRY_S
            return
        if answer.outcome.is_refusal and pending.may_have_had_effect:
            # A later scheduler knows whether the first try had an effect.
            pending.next_try_s = self._clock().boot_s + RETRY_S
            return
        pending.answer(answer)


def _peer_call(
    address: str, call: _client_calls.ClientCall, timeout_s: float
) -> _http_call.HttpCall:
    return _http_call.HttpCall(
        "POST",
        f"http://{address}/calls",
        _peer_calls.encode_call(call),
        (f"Content-Type: {_peer_calls.MEDIA_TYPE}",),
        timeout_s,
        operation="peer.call",
    )

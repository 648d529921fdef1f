"""The task that owns this instance's part in a cell."""

from concurrent import futures
import contextlib
import dataclasses
import queue
import random

import structlog

from basiljunction.coordination.leadership import _election
from basiljunction.protocol import _instance_settings
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport import _task
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _leader_session
from basiljunction.transport.jobs import _term_keeper

LEADER_TICK_S = 0.015
"""Longest time between two looks at what is due while scheduling."""

ASK_INTERVAL_S = 0.3
"""Time between two questions to peers while the store does not answer; a
take-over is known well before a caller's patience ends."""

FOLLOWER_TICK_S = 0.1
"""Longest time between two looks at what is due otherwise."""

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class CallAsked:
    """A caller's call.

    Attributes:
        call: The call.
        reply: Takes the answer.
        timeout_s: How long the caller waits.
        is_forwarded: Whether another instance sent it.
    """

    call: _client_calls.ClientCall
    reply: "futures.Future[_client_calls.ClientReply]"
    timeout_s: float
    is_forwarded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveAsked:
    """The instance is to give up its term and claim none."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreMoved:
    """The settings name another address of the store.

    Attributes:
        address: The new address.
    """

    address: str


class CellTask(_task.Task, _call_router.LocalScheduler):
    """Follows the store, takes part in the election, and schedules.

    Args:
        settings: Settings of this instance.
        clock: Where the time comes from.
        rng: For the spread of retries.
        metrics: Takes the values of this instance.
    """

    def __init__(
        self,
        *,
        settings: _instance_settings.InstanceSettings,
        clock: _clock.Clock,
        rng: random.Random,
        metrics: _metrics.Metrics,
    ) -> None:
        super().__init__(name="cell", clock=clock, tick_s=FOLLOWER_TICK_S)
        self._settings = settings
        self._metrics = metrics
        self._calls = _http_calls.HttpCalls(metrics)
        incarnation = int(clock.now().wall_s * 1000)
        self._terms = _term_keeper.TermKeeper(
            calls=self._calls,
            address=settings.store.address,
            clock=clock.now,
            election=_election.Election(
                instance=settings.name,
                incarnation=incarnation,
                address=settings.peer_listen,
                rng=rng,
            ),
            member=settings.name,
            member_address=settings.peer_listen,
        )
        self._rng = rng
        self._next_ask_s = 0.0
        self._configurations = _feeds.ConfigurationFeed(
            calls=self._calls,
            address=settings.store.address,
            clock=clock.now,
            changed=self._configuration_changed,
        )
        self._router = _call_router.CallRouter(
            calls=self._calls, local=self, clock=clock.now
        )
        self._session: _leader_session.LeaderSession | None = None
        self._known_epoch = 0
        self._ended_epoch = 0

    @property
    def configuration(self) -> _configuration.Configuration | None:
        """The newest configuration; safe to read from any thread."""
        return self._configurations.newest

    @property
    def is_ready(self) -> bool:
        """Whether calls can be served; safe to read from any thread."""
        election = self._terms.election
        if election.is_leaving or self._configurations.newest is None:
            return False
        return election.term is not None

    @property
    def is_quiet(self) -> bool:
        """Whether no call waits and no term is held; for any thread."""
        return self._router.is_empty and not self._terms.election.is_leader

    def tell(self, message: object) -> None:
        """Puts a message into the mailbox and wakes the task."""
        super().tell(message)
        self._calls.wake()

    def stop(self) -> None:
        """Ends the task after the messages that came before."""
        super().stop()
        with contextlib.suppress(OSError):
            self._calls.wake()

    def answer_locally(self, pending: _call_router.PendingCall) -> None:
        """Answers a call, at once or later."""
        if self._session is not None:
            self._session.handle(pending)

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles a message."""
        if isinstance(message, CallAsked):
            self._take_call(message, now)
        elif isinstance(message, LeaveAsked):
            self._terms.election.leave()
        elif isinstance(message, StoreMoved):
            self._move_store(message.address)

    def _move_store(self, address: str) -> None:
        """Begins anew at the new address; the own term ends."""
        store = dataclasses.replace(self._settings.store, address=address)
        self._settings = dataclasses.replace(self._settings, store=store)
        self._end_term("store-moved")
        self._configurations.address = address
        self._configurations.restart()
        self._terms.move(address, int(self._clock.now().wall_s * 1000))
        self._router.forget_leader()
        self._known_epoch = 0
        self._ended_epoch = 0

    def _take_call(self, asked: CallAsked, now: _time.Now) -> None:
        patience_s = min(asked.timeout_s, _call_router.PATIENCE_S)
        self._router.take(
            _call_router.PendingCall(
                asked.call,
                asked.reply,
                now.boot_s + patience_s,
                asked.is_forwarded,
            ),
            now,
        )

    def tick(self, now: _time.Now) -> None:
        """Does what is due."""
        self._configurations.step(now)
        self._terms.step(now)
        self._terms.register()
        self._terms.write_due(now)
        self._follow_term()
        self._ask_peer(now)
        if self._session is not None:
            confirmed_s = self._terms.election.confirmed_s
            self._session.step(now, confirmed_s=confirmed_s)
            if self._session.is_lost:
                self._end_term("fenced")
        self._router.step(now)

    def tick_interval_s(self) -> float:
        """Returns the longest time to the next tick as things stand now."""
        if self._session is not None or not self._router.is_empty:
            return LEADER_TICK_S
        return FOLLOWER_TICK_S

    def is_serving(self) -> bool:
        """Returns whether this instance schedules now."""
        return self._session is not None and self._session.is_open

    def leader(self) -> tuple[str, int]:
        """Returns address and epoch of the newest known scheduler."""
        term = self._terms.election.term
        if term is None or term.is_resigned:
            return "", 0 if term is None else term.epoch
        return term.address, term.epoch

    def is_leader_elsewhere(self) -> bool:
        """Returns whether the newest known scheduler is another instance."""
        return not self._terms.election.is_leader

    def leader_refused(self, epoch: int) -> None:
        """Takes note that nobody listens where a scheduler was."""
        self._terms.election.leader_refused(epoch, self._clock.now().boot_s)

    def _receive(self, wait_s: float) -> object | None:
        """Waits for a message, or for sockets of calls in flight."""
        with contextlib.suppress(queue.Empty):
            return self._mailbox.get_nowait()
        self._calls.poll(wait_s)
        with contextlib.suppress(queue.Empty):
            return self._mailbox.get_nowait()
        return None

    def _follow_term(self) -> None:
        election = self._terms.election
        term = election.term
        if term is not None and term.epoch != self._known_epoch:
            self._known_epoch = term.epoch
            _log.info(
                "term.seen",
                epoch=term.epoch,
                leader=term.instance,
                own=election.is_leader,
            )
        if self._session is not None:
            if not election.is_leader or term is None:
                self._end_term("replaced")
            elif term.epoch != self._session.epoch:
                self._end_term("renewed")
        if election.is_leader and term is not None and self._session is None:
            self._begin_term(term.epoch)

    def _ask_peer(self, now: _time.Now) -> None:
        """Asks another instance who leads while the store does not tell."""
        if not self._terms.is_cut_off or now.boot_s < self._next_ask_s:
            return
        self._next_ask_s = now.boot_s + ASK_INTERVAL_S
        peers = [
            address
            for name, address in sorted(self._terms.address_by_member.items())
            if name != self._settings.name
        ]
        if peers:
            self._router.ask_leader(self._rng.choice(peers), self._heard_of)

    def _heard_of(self, epoch: int) -> None:
        self._terms.election.heard_of(epoch)

    def _begin_term(self, epoch: int) -> None:
        configuration = self._configurations.newest
        if configuration is None or epoch <= self._ended_epoch:
            return
        self._session = _leader_session.LeaderSession(
            calls=self._calls,
            settings=self._settings,
            epoch=epoch,
            clock=self._clock.now,
            configuration=configuration,
            metrics=self._metrics,
        )
        _log.info("term.begun", epoch=epoch)

    def _end_term(self, reason: str) -> None:
        if self._session is None:
            return
        self._ended_epoch = self._session.epoch
        self._session.close()
        _log.info("term.ended", epoch=self._session.epoch, reason=reason)
        self._session = None

    def _configuration_changed(
        self, configuration: _configuration.Configuration
    ) -> None:
        self._metrics.set("configuration_version", configuration.version)
        _log.info(
            "configuration.changed",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        if self._session is not None:
            self._session.set_configuration(configuration)

"""The task that runs an instance as candidate or scheduler of its cell.

A cell is a set of executors with one scheduler at a time. The scheduler holds a
term, which the store records with an increasing epoch.
"""

from concurrent import futures
import contextlib
import dataclasses
import math
import queue
import random

import structlog

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _term_progress
from basiljunction.coordination.scheduling import _limits
from basiljunction.protocol import _instance_settings
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _leadership
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport import _task
from basiljunction.transport.jobs import _call_router
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _leader_session
from basiljunction.transport.jobs import _member_watch
from basiljunction.transport.jobs import _term_keeper
from basiljunction.transport.jobs import _term_report

LEADER_TICK_INTERVAL_S = 0.015
"""Longest time between two ticks while scheduling or with open calls, in
seconds."""

PEER_QUERY_INTERVAL_S = 0.3
"""Time between two queries to peers while the store does not answer, in
seconds.

A take-over thus becomes known well before the deadline of a waiting call.
"""

FOLLOWER_TICK_INTERVAL_S = 0.1
"""Longest time between two ticks otherwise, in seconds."""

_log = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class CallReceived:
    """Message to the cell task: a client call arrived and needs an answer.

    Attributes:
        call: The client call.
        reply_future: Future that receives the answer.
        timeout_s: How long the client waits, in seconds.
        is_forwarded: Whether another instance forwarded the call.
    """

    call: _client_calls.ClientCall
    reply_future: "futures.Future[_client_calls.ClientReply]"
    timeout_s: float
    is_forwarded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ResignRequested:
    """Message to the cell task: leave; resign the term, now or later.

    Attributes:
        answer_by_boot_s: Boot time by which every call has to be answered, in
            seconds.
        resign_by_boot_s: Boot time until which a term may be held for want of
            another instance, in seconds.
    """

    answer_by_boot_s: float = math.inf
    resign_by_boot_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class StopBegun:
    """Message to the cell task: the servers stop; log the open calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAddressChanged:
    """Message to the cell task: the settings name a new store address.

    Attributes:
        address: The new address of the store.
    """

    address: str


class CellTask(_task.Task, _call_router.LocalScheduler):
    """Reads the store, takes part in the election and, as leader, schedules.

    The leader schedules the cell: a group of executors and jobs that has one
    scheduler at a time.

    Args:
        settings: Settings of this instance.
        clock: Source of the current time.
        rng: Random source for the spread of retries and the choice of peers.
        metrics: Registry that receives the metrics of this instance.
        max_connections: Most connections to executors, peers and the store.
    """

    def __init__(
        self,
        *,
        settings: _instance_settings.InstanceSettings,
        clock: _clock.Clock,
        rng: random.Random,
        metrics: _metrics.Metrics,
        max_connections: int,
    ) -> None:
        super().__init__(
            name="cell", clock=clock, tick_s=FOLLOWER_TICK_INTERVAL_S
        )
        self._settings = settings
        self._metrics = metrics
        self._calls = _http_calls.HttpClient(
            metrics, max_connections=max_connections
        )
        incarnation = int(clock.now().wall_s * 1000)
        self._grants = _lease_grants.GrantHistory(clock.now().boot_s)
        self._members = _member_watch.MemberWatch(
            calls=self._calls, clock=clock.now
        )
        self._terms = _term_keeper.TermFeed(
            calls=self._calls,
            address=settings.store.address,
            clock=clock.now,
            election=_election.Election(
                instance=settings.name,
                incarnation=incarnation,
                address=settings.peer_listen,
                rng=rng,
                provision=settings.provision,
                grants=self._grants,
            ),
            grants=self._grants,
            member=settings.name,
            member_address=settings.peer_listen,
            provision=settings.provision,
        )
        self._rng = rng
        self._next_peer_query_boot_s = 0.0
        self._configurations = _feeds.ConfigurationFeed(
            calls=self._calls,
            address=settings.store.address,
            clock=clock.now,
            on_change=self._apply_configuration,
        )
        self._router = _call_router.CallRouter(
            calls=self._calls, local=self, clock=clock.now
        )
        self._session: _leader_session.LeaderSession | None = None
        self._known_epoch = 0
        self._ended_epoch = 0
        self._watch = _term_progress.ProgressWatch()
        self._report = _term_report.TermReport(metrics, self._watch)

    @property
    def configuration(self) -> _configuration.Configuration | None:
        """The newest configuration, None before the first; thread-safe."""
        return self._configurations.newest_configuration

    @property
    def is_ready(self) -> bool:
        """Whether this instance can answer or forward calls; thread-safe."""
        election = self._terms.election
        if (
            election.hand_over.is_leaving
            or self._configurations.newest_configuration is None
        ):
            return False
        return election.term is not None

    @property
    def holds_term(self) -> bool:
        """Whether this instance holds a term; thread-safe."""
        return self._terms.election.is_leader

    @property
    def is_idle(self) -> bool:
        """Whether no call is pending and no term is held; thread-safe."""
        return self._router.has_no_pending_calls and not self.holds_term

    def tell(self, message: object) -> None:
        """Puts a message into the mailbox and wakes the task; thread-safe.

        Raises:
            MailboxFullError: The mailbox is full.
        """
        super().tell(message)
        self._calls.wake()

    def stop(self) -> None:
        """Stops the task once it has handled all messages sent before."""
        super().stop()
        with contextlib.suppress(OSError):
            self._calls.wake()

    def answer_locally(self, pending: _call_router.PendingCall) -> None:
        """Passes a call to the session of the current term, if there is one."""
        if self._session is not None:
            self._session.handle_call(pending)

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles a received call or a request of the instance's process."""
        if isinstance(message, CallReceived):
            self._route_call(message, now)
        elif isinstance(message, ResignRequested):
            self._router.answer_all_by(message.answer_by_boot_s)
            self._terms.election.leave(message.resign_by_boot_s)
            self._resign_due_term(now)
        elif isinstance(message, StopBegun):
            self._router.log_open_calls(now)
        elif isinstance(message, StoreAddressChanged):
            self._switch_store(message.address)

    def _resign_due_term(self, now: _time.Now) -> None:
        """Stops scheduling, then resigns the term, if this instance has to.

        In this order the next scheduler knows that no lease is granted any
        more, so that it need not wait for this one to notice its term's end.
        While the store does not answer, nobody can take over, so leases are
        renewed until the resignation is stored.
        """
        election = self._terms.election
        if not election.must_resign(now.boot_s):
            return
        longest_run_s = 0.0
        if self._session is not None and election.is_confirmed(now.boot_s):
            longest_run_s = self._session.longest_run_s
            self._end_session("resigned")
        election.resign(longest_run_s)

    def _switch_store(self, address: str) -> None:
        """Ends the own term and restarts all feeds at a new store address."""
        store = dataclasses.replace(self._settings.store, address=address)
        self._settings = dataclasses.replace(self._settings, store=store)
        self._end_session("store-moved")
        self._configurations.address = address
        self._configurations.restart()
        self._terms.switch_store(address, int(self._clock.now().wall_s * 1000))
        self._router.forget_leader()
        self._known_epoch = 0
        self._ended_epoch = 0

    def _route_call(self, received: CallReceived, now: _time.Now) -> None:
        """Passes a received call to the router with its deadline."""
        max_wait_s = min(received.timeout_s, _call_router.MAX_CALL_WAIT_S)
        self._router.add_call(
            _call_router.PendingCall(
                received.call,
                received.reply_future,
                now.boot_s + max_wait_s,
                received.is_forwarded,
            ),
            now,
        )

    def tick(self, now: _time.Now) -> None:
        """Advances the feeds, the election, the session and pending calls.

        It reads the replies that have arrived first: while messages wait, the
        loop handles those and does not come to the sockets.
        """
        self._calls.poll(0.0)
        self._configurations.start_due_read(now)
        self._terms.start_due_read(now)
        self._terms.register_member(now)
        self._resign_due_term(now)
        if self.holds_term or self._configurations.newest_configuration:
            # Without a configuration, this instance could not schedule.
            self._terms.send_due_write(now)
            self._terms.send_due_request(now)
        self._apply_newest_term()
        self._ask_peer_for_leader(now)
        outage_reported_until_s = self._watch_members(now)
        if self._session is not None:
            election = self._terms.election
            self._session.run_timed_work(
                now,
                confirmed_s=election.last_confirmed_s,
                confirmed_beat=election.last_confirmed_beat,
                outage_reported_until_s=outage_reported_until_s,
            )
            if self._session.is_superseded:
                self._end_session("fenced")
        self._watch_term(now)
        self._router.process_pending_calls(now)

    def _watch_members(self, now: _time.Now) -> float:
        """Asks the other instances while this one holds the term.

        Returns:
            Time until which all of them report that they lack the store.
        """
        election = self._terms.election
        if not election.is_leader or election.term is None:
            return float("-inf")
        others = self._terms.other_members()
        self._members.tick(
            now,
            epoch=election.term.epoch,
            confirmed_s=election.last_confirmed_s,
            address_by_member=others,
        )
        self._members.log_grants(
            now,
            confirmed_s=election.last_confirmed_s,
            address_by_member=others,
        )
        if election.is_confirmed(now.boot_s):
            self._terms.remove_members(self._members.find_gone(now))
        return self._members.reported_until_s(others)

    def _watch_term(self, now: _time.Now) -> None:
        """Measures and reports the progress of the held term.

        Gives the term up if it does not come to answer calls.
        """
        election = self._terms.election
        epoch = 0 if election.term is None else election.term.epoch
        progress = self._term_progress()
        self._watch.observe(
            epoch,
            progress,
            now.boot_s,
            is_confirmed=election.is_confirmed(now.boot_s),
        )
        if self._report.is_due(now.boot_s):
            self._report.write(
                epoch,
                progress,
                now.boot_s,
                confirmed_s=election.last_confirmed_s,
                oldest_wait_s_by_kind=self._router.oldest_wait_s_by_kind(now),
            )
        self._give_up_useless_term(progress, now)

    def _give_up_useless_term(
        self, progress: _term_progress.TermProgress | None, now: _time.Now
    ) -> None:
        """Gives up the held term if its session has ended or is stalled."""
        election = self._terms.election
        if progress is None or election.term is None:
            return
        if progress.stage is _term_progress.TermStage.ANSWERING:
            election.record_answering()
            return
        if self._watch.is_stalled(now.boot_s, election.term.given_up_terms):
            self._end_session("stalled")
            election.give_up()
        elif progress.stage is _term_progress.TermStage.ENDED:
            election.give_up()

    def _term_progress(self) -> _term_progress.TermProgress | None:
        """Returns the progress of the held term; None if none is held."""
        stages = _term_progress.TermStage
        if not self._terms.election.is_leader:
            return None
        if self._session is None:
            stage = (
                stages.NO_CONFIGURATION
                if self._configurations.newest_configuration is None
                else stages.ENDED
            )
            return _term_progress.TermProgress(stage)
        if self._session.answers_calls:
            return _term_progress.TermProgress(stages.ANSWERING)
        return self._session.progress

    def observe_tick_lag(self, lag_s: float) -> None:
        """Records how late a tick runs, in seconds."""
        self._report.observe_tick_lag(lag_s)

    def tick_interval_s(self) -> float:
        """Returns the longest time until the next tick, in seconds.

        It is short while this instance schedules or has pending calls.
        """
        if self._session is not None or not self._router.has_no_pending_calls:
            return LEADER_TICK_INTERVAL_S
        return FOLLOWER_TICK_INTERVAL_S

    def is_scheduling(self) -> bool:
        """Returns whether this instance holds a term and answers calls."""
        return self._session is not None and self._session.answers_calls

    def newest_leader(self) -> tuple[str, int]:
        """Returns address and epoch of the newest known term's scheduler.

        The address is empty if no term is known or it was resigned.
        """
        term = self._terms.election.term
        if term is None or term.is_hidden:
            return "", 0
        return "" if term.is_resigned else term.address, term.epoch

    def is_leader_elsewhere(self) -> bool:
        """Returns whether this instance does not hold the newest known term."""
        return not self._terms.election.is_leader

    def describe_term_stage(self) -> str:
        """Returns the stage of the held term; empty if none is held."""
        progress = self._term_progress()
        return "" if progress is None else progress.stage.value

    def report_outage(self, epoch: int) -> bool:
        """Returns whether this instance reports that it lacks the store.

        The scheduler that asks may then grant leases for some time, which this
        instance takes into account if it schedules later. So it reports nothing
        to the scheduler of a term that it knows to have ended, nor before it
        knows the newest term, nor while a claim of its own or of an earlier
        process may still take effect: these may have replaced that one.
        """
        term = self._terms.election.term
        if term is None or term.epoch > epoch:
            return False
        if self._terms.election.is_leader:
            return False
        now = self._clock.now()
        if not self._grants.may_report(now.boot_s):
            return False
        if not self._terms.lacks_store(now):
            return False
        self._grants.record_report(now.boot_s)
        return True

    def report_unreachable_leader(self, epoch: int) -> None:
        """Notifies the election that the scheduler of a term is unreachable."""
        self._terms.election.expire_unreachable_leader(
            epoch, self._clock.now().boot_s
        )

    def _receive(self, wait_s: float) -> object | None:
        """Returns the next message, or None if none arrives.

        While it waits, it serves the sockets of the HTTP calls in flight.

        Args:
            wait_s: Longest wait, in seconds.
        """
        with contextlib.suppress(queue.Empty):
            return self._mailbox.get_nowait()
        self._calls.poll(wait_s)
        with contextlib.suppress(queue.Empty):
            return self._mailbox.get_nowait()
        return None

    def _apply_newest_term(self) -> None:
        """Starts or ends the session to match the newest term."""
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
                self._end_session("replaced")
            elif term.epoch != self._session.epoch:
                self._end_session("renewed")
        if election.is_leader and term is not None and self._session is None:
            self._start_session(term.epoch)

    def _ask_peer_for_leader(self, now: _time.Now) -> None:
        """Asks a random peer for the leader while the store is unreachable."""
        if (
            not self._terms.is_store_unreachable
            or now.boot_s < self._next_peer_query_boot_s
        ):
            return
        self._next_peer_query_boot_s = now.boot_s + PEER_QUERY_INTERVAL_S
        peers = [
            address
            for name, address in sorted(self._terms.address_by_member.items())
            if name != self._settings.name
        ]
        if peers:
            self._router.ask_peer_for_leader(
                self._rng.choice(peers), self._note_newer_epoch
            )

    def _note_newer_epoch(self, epoch: int) -> None:
        """Notifies the election of an epoch that a peer reported."""
        self._terms.election.step_down_if_newer(epoch)

    def _start_session(self, epoch: int) -> None:
        """Starts the session of a term held by this instance.

        Does nothing if no configuration is known yet, or if a session of this
        or a later term has ended already.
        """
        configuration = self._configurations.newest_configuration
        if configuration is None or epoch <= self._ended_epoch:
            return
        predecessor = self._predecessor(epoch)
        self._session = _leader_session.LeaderSession(
            calls=self._calls,
            settings=self._settings,
            epoch=epoch,
            clock=self._clock.now,
            configuration=configuration,
            metrics=self._metrics,
            history=self._terms.election.history,
            earlier_terms_ended_s=self._earlier_terms_ended_s(epoch),
            longest_inherited_run_s=self._longest_inherited_run_s(epoch),
            knows_longest_leases=(
                predecessor is not None and predecessor.longest_run_s > 0
            ),
            bounded_since_epoch=(
                0 if predecessor is None else predecessor.bounded_since_epoch
            ),
        )
        self._log_inherited_wait(epoch)

    def _predecessor(self, epoch: int) -> _leadership.Term | None:
        """Returns the last record of the term before; None if not known.

        The claim of a term succeeds only if no later record exists.
        """
        predecessor = self._terms.election.predecessor
        if predecessor is None or predecessor.epoch != epoch - 1:
            return None
        return predecessor

    def _earlier_terms_ended_s(self, epoch: int) -> float | None:
        """Returns by when the term before had written its last record.

        In seconds on the steady clock; None if that is not known.
        """
        predecessor = self._predecessor(epoch)
        if predecessor is None:
            return None
        return self._terms.election.history.written_by_s(
            predecessor.epoch, predecessor.beat
        )

    def _longest_inherited_run_s(self, epoch: int) -> float | None:
        """Returns how long runs go on after the last record of earlier terms.

        In seconds; None if that is not known.
        """
        predecessor = self._predecessor(epoch)
        ended_s = self._earlier_terms_ended_s(epoch)
        if predecessor is None or ended_s is None:
            return None
        if predecessor.is_resigned and predecessor.longest_run_s:
            return predecessor.longest_run_s
        last_grant = self._find_last_grant(predecessor, ended_s)
        times = _limits.LeaseTimes()
        return last_grant.by_s - ended_s + times.max_run_after_grant_s

    def _find_last_grant(
        self, predecessor: _leadership.Term, written_s: float
    ) -> _lease_grants.LastGrant:
        """Returns by when earlier schedulers had granted their last lease."""
        election = self._terms.election
        return self._grants.find_last_grant(
            predecessor,
            written_s,
            has_ended=election.has_scheduler_ended(predecessor),
        )

    def _log_inherited_wait(self, epoch: int) -> None:
        """Logs that a term begins, and what its longest wait follows from."""
        predecessor = self._predecessor(epoch)
        ended_s = self._earlier_terms_ended_s(epoch)
        if predecessor is None or ended_s is None:
            _log.info("term.begun", epoch=epoch, leases_after="unknown")
            return
        if predecessor.is_resigned and predecessor.longest_run_s:
            _log.info("term.begun", epoch=epoch, leases_after="resignation")
            return
        last_grant = self._find_last_grant(predecessor, ended_s)
        _log.info(
            "term.begun",
            epoch=epoch,
            leases_after=last_grant.limit.value,
            granted_for_s=round(last_grant.by_s - ended_s, 3),
            predecessor=predecessor.instance,
            predecessor_beat=predecessor.beat,
        )

    def _end_session(self, reason: str) -> None:
        """Ends the session of the current term, if any, and logs the reason."""
        if self._session is None:
            return
        self._ended_epoch = self._session.epoch
        self._session.close()
        _log.info("term.ended", epoch=self._session.epoch, reason=reason)
        self._session = None

    def _apply_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        """Logs a newer configuration and applies it to the session."""
        self._metrics.set("configuration_version", configuration.version)
        _log.info(
            "configuration.changed",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        if self._session is not None:
            self._session.set_configuration(configuration)

"""The task that owns the folded state and runs the control and batch cores.

The folded state results from applying the log's entries in order. The cores
are pure: they turn events into actions, which this task executes.
"""

from collections.abc import Callable
import random
from typing import Any

import structlog

from basiljunction.coordination import _control_core
from basiljunction.coordination import _events
from basiljunction.coordination import _explain_ring
from basiljunction.coordination import _messages
from basiljunction.coordination import _restore
from basiljunction.coordination import _snapshot_writer
from basiljunction.coordination import _spread
from basiljunction.coordination import _state_exchange
from basiljunction.coordination import _timing
from basiljunction.protocol import _snapshot_codec
from basiljunction.state import _fold
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict
from basiljunction.transport import _append_tracker
from basiljunction.transport import _clock
from basiljunction.transport import _explain_queries
from basiljunction.transport import _fold_metrics
from basiljunction.transport import _log_reader
from basiljunction.transport import _state_messages
from basiljunction.transport import _task

_INTENT_RECORD_TYPES = (_records.IntentRecorded, _records.IntentReleased)
"""Records whose verdicts the urgent task waits for."""

_log = structlog.get_logger()


class StateTask(_task.Task):
    """Folds log entries into the state and runs the cores on it.

    The control core handles leases, membership and ownership; the batch core
    places batch tasks. Other tasks reach the state only by messages.

    Args:
        identity: Name, zone and addresses of this instance.
        timing: Durations of leases and guards.
        clock: Source of the current time.
        rng: Random source for incarnation numbers.
        make_batch_core: Creates the batch core of an incarnation.
        on_exit: Called once, with a detail text, when this instance has left.
        snapshot_every_entries: Entries between two snapshots.
        snapshot_chunk_bytes: Largest size of a snapshot chunk.
        seed_peers: Peer addresses to request state from at the start.
        entry_exchange: Exchanges log entries with peers; None uses the defaults.
        on_own_verdicts: Receives the state, the verdicts of this instance's
            records and the wall-clock time, to count them.
    """

    def __init__(
        self,
        *,
        identity: _timing.InstanceIdentity,
        timing: _timing.LeaseTiming,
        clock: _clock.Clock,
        rng: random.Random,
        make_batch_core: Callable[[int], _state_messages.DecisionCore],
        on_exit: Callable[[str], None],
        snapshot_every_entries: int = 20_000,
        snapshot_chunk_bytes: int = 65_536,
        seed_peers: tuple[str, ...] = (),
        entry_exchange: _spread.LogEntryExchange | None = None,
        on_own_verdicts: _fold_metrics.VerdictObserver | None = None,
    ) -> None:
        super().__init__(name="state", clock=clock, capacity=50_000)
        self._identity = identity
        self._state = _system.SystemState()
        self._control_core = _control_core.ControlCore(
            identity=identity,
            timing=timing,
            rng=rng,
            started_boot_s=clock.now().boot_s,
        )
        self._make_batch_core = make_batch_core
        self._batch_core: _state_messages.DecisionCore | None = None
        self._on_exit = on_exit
        self._on_own_verdicts = on_own_verdicts
        self._append_tracker = _append_tracker.AppendTracker()
        self._recent_decisions = _explain_ring.RecentDecisions(
            instance=identity.instance
        )
        self._explain_queries = _explain_queries.ExplainQueries(
            identity.instance
        )
        self._address_by_instance: dict[str, str] = {}
        self._snapshot_writer = _snapshot_writer.SnapshotWriter(
            instance=identity.instance,
            every_entries=snapshot_every_entries,
            chunk_bytes=snapshot_chunk_bytes,
        )
        self._spread = entry_exchange or _spread.LogEntryExchange(
            identity.instance
        )
        self._state_provider = _state_exchange.StateProvider(
            identity.instance, _snapshot_codec.encode_state
        )
        self._state_restorer = _restore.StateRestorer(
            decode=_snapshot_codec.decode_state,
            seeker=_state_exchange.StateRequester(
                identity.instance, seed_peers
            ),
            started_boot_s=clock.now().boot_s,
        )

    def connect(
        self,
        *,
        reader: _state_messages.MessageReceiver,
        appender: _state_messages.MessageReceiver,
        links: _state_messages.MessageReceiver,
        urgent: _state_messages.MessageReceiver,
        workers: _state_messages.WorkerCaller,
    ) -> None:
        """Sets the tasks that this one sends to; called once before the start.

        Args:
            reader: The log reader.
            appender: The log appender.
            links: The links to peers.
            urgent: The urgent task.
            workers: Calls workers for the batch core.
        """
        self._reader = reader
        self._appender = appender
        self._links = links
        self._urgent = urgent
        self._workers = workers

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles one message: an event, a peer's message, or a request."""
        match message:
            case _events.EntriesRead():
                self._handle_entries(message, now)
            case _events.LogTruncated():
                self._handle_log_truncation(message, now)
            case _events.PeerReceived():
                self._handle_peer_message(message, now)
            case _state_messages.TicketAppendStarted():
                self._append_tracker.record_sequences(message)
            case _state_messages.TicketDropped():
                self._handle_dropped_ticket(message, now)
            case _events.AppendRecords():
                self._execute_action(message, now)
            case _events.Explain():
                self._record_decision(message, now)
            case _:
                if not self._handle_task_request(message, now):
                    self._send_to_cores(message, now)

    def tick(self, now: _time.Now) -> None:
        """Runs timed work: expiry, snapshots, state exchange and the cores."""
        self._append_tracker.fail_overdue_tickets(now.boot_s)
        self._state_provider.free_expired_state(now)
        self._explain_queries.close_overdue_queries(now)
        ready = self._control_core.ready
        actions = self._state_restorer.request_peer_state(
            self._state, now, ready=ready
        )
        if ready and not self._state_restorer.is_scanning:
            actions += self._snapshot_writer.next_append(self._state, now)
            actions += self._spread.request_missing_entries(
                self._state.next_offset,
                self._control_core.next_offset_by_peer,
                now,
            )
        self._execute_actions(actions, now)
        self._send_to_cores(_events.Tick(), now)

    def _handle_entries(
        self, event: _events.EntriesRead, now: _time.Now
    ) -> None:
        """Folds entries that were read from the log or received from a peer.

        Entries that leave a gap after the state are read again from the log.
        """
        if event.head_offset >= 0:
            self._execute_actions(
                self._state_restorer.scan_entries(self._state, event, now), now
            )
        if self._state_restorer.is_scanning:
            return
        entries = _restore.entries_to_apply(event, self._state.next_offset)
        if entries is None:
            self._request_next_entries()
            return
        if entries:
            self._spread.cache_entries(event.entries[0].offset, event.payloads)
            self._fold_entries(entries, now)
        self._execute_actions(
            self._control_core.handle(self._state, event, now), now
        )

    def _fold_entries(
        self, entries: tuple[_records.LogEntry, ...], now: _time.Now
    ) -> None:
        """Applies entries to the state and distributes their verdicts."""
        verdicts: list[_verdict.Verdict] = []
        for entry in entries:
            folded = _fold.apply_entry(self._state, entry)
            for verdict in folded:
                self._snapshot_writer.process_verdict(
                    self._state, verdict, _snapshot_codec.encode_state
                )
            verdicts += folded
        self._distribute_verdicts(tuple(verdicts), now)

    def _handle_peer_message(
        self, event: _events.PeerReceived, now: _time.Now
    ) -> None:
        """Handles messages on log, state and decisions; cores get the rest."""
        message = event.message
        actions: list[Any] = []
        match message:
            case _messages.EntriesWanted():
                actions += self._spread.answer_request(message)
            case _messages.EntriesPushed():
                self._handle_pushed_entries(message, now)
            case _messages.StateWanted():
                if (
                    self._control_core.ready
                    and not self._state_restorer.is_scanning
                ):
                    actions += self._state_provider.answer_request(
                        self._state, message, now
                    )
            case _messages.StateChunk():
                actions += self._state_restorer.add_peer_chunk(
                    self._state, message, now, ready=self._control_core.ready
                )
            case _messages.ExplainWanted():
                own = self._recent_decisions.decisions_about(message.subject)
                actions += self._explain_queries.answer_peer_query(message, own)
            case _messages.ExplainReply():
                self._explain_queries.add_peer_reply(message)
            case _:
                self._send_to_cores(event, now)
        self._execute_actions(actions, now)

    def _handle_pushed_entries(
        self, message: _messages.EntriesPushed, now: _time.Now
    ) -> None:
        """Folds entries that a peer pushed; the reader then skips them."""
        before = self._state.next_offset
        entries = _log_reader.decode_entries(
            message.first_offset, message.payloads
        )
        self._handle_entries(
            _events.EntriesRead(entries, message.payloads, now.boot_s, -1), now
        )
        if self._state.next_offset > before:
            self._request_next_entries()

    def _request_next_entries(self) -> None:
        """Tells the log reader to go on after the last folded entry."""
        self._reader.tell(
            _state_messages.ReadRequested(self._state.next_offset)
        )

    def _install_state(
        self, state: _system.SystemState, now: _time.Now
    ) -> None:
        """Replaces the state with a restored one and continues from it.

        Appends that were begun can no longer be settled and fail.
        """
        _log.info("state.installed", next_offset=state.next_offset)
        self._state = state
        self._append_tracker.fail_begun_tickets(
            "the log no longer holds the entries that show the outcome"
        )
        self._request_next_entries()
        self._send_to_cores(_events.StateReplaced(), now)

    def _distribute_verdicts(
        self, verdicts: tuple[_verdict.Verdict, ...], now: _time.Now
    ) -> None:
        """Passes new verdicts to waiting appends, the appender and the cores.

        Verdicts of intent records go to the urgent task too.
        """
        own = [
            verdict
            for verdict in verdicts
            if verdict.author.name == self._identity.instance
        ]
        for verdict in own:
            self._append_tracker.add_verdict(verdict)
        if own:
            self._appender.tell(
                _state_messages.RecordsReadBack(
                    own[-1].author, own[-1].sequence
                )
            )
        if self._on_own_verdicts is not None:
            self._on_own_verdicts(self._state, tuple(own), now.wall_s)
        self._send_to_cores(_events.Folded(verdicts), now)
        intents = tuple(
            verdict
            for verdict in own
            if isinstance(verdict.record, _INTENT_RECORD_TYPES)
        )
        if intents:
            self._urgent.tell(_events.Folded(intents))

    def _handle_log_truncation(
        self, event: _events.LogTruncated, now: _time.Now
    ) -> None:
        """Starts a restore if the log dropped entries that are still needed."""
        if event.first_offset <= self._state.next_offset:
            self._request_next_entries()
            return
        _log.warning(
            "state.truncated",
            wanted=self._state.next_offset,
            first=event.first_offset,
        )
        self._state_restorer.start_snapshot_scan(event)
        self._send_to_cores(event, now)

    def _handle_dropped_ticket(
        self, message: _state_messages.TicketDropped, now: _time.Now
    ) -> None:
        """Tells waiting appends and tasks that records were not appended."""
        records = self._append_tracker.close_dropped_ticket(message)
        if not records:
            return
        for record in records:
            self._snapshot_writer.forget_dropped_record(record)
        self._send_to_cores(_events.AppendDropped(records), now)
        intents = tuple(
            each for each in records if isinstance(each, _INTENT_RECORD_TYPES)
        )
        if intents:
            self._urgent.tell(_events.AppendDropped(intents))

    def _handle_task_request(self, message: object, now: _time.Now) -> bool:
        """Handles an append, query or explain request of another task.

        Returns:
            Whether the message was such a request.
        """
        match message:
            case _state_messages.AppendRequested():
                self._queue_append(
                    message.records,
                    not_after_boot_s=message.not_after_boot_s,
                    reply=message.reply,
                    step=message.error_step,
                )
            case _state_messages.QueryRequested():
                _state_messages.run_query(message, self._state, now)
            case _state_messages.ExplainRequested():
                self._handle_explain_request(message, now)
            case _:
                return False
        return True

    def _handle_explain_request(
        self, asked: _state_messages.ExplainRequested, now: _time.Now
    ) -> None:
        """Starts to collect decisions about a subject here and from peers."""
        peers = set(self._state.member_by_instance) - {self._identity.instance}
        own = self._explain_locally(asked.subject, now)
        self._execute_actions(
            self._explain_queries.start_query(asked, own, peers, now), now
        )

    def _explain_locally(
        self, subject: str, now: _time.Now
    ) -> tuple[_explain_ring.ExplainLine, ...]:
        """Returns this instance's decisions about a subject and its status."""
        lines = self._recent_decisions.decisions_about(subject)
        if isinstance(self._batch_core, _state_messages.ExplainingCore):
            lines += self._batch_core.explain(self._state, subject, now)
        return lines

    def _send_to_cores(self, event: object, now: _time.Now) -> None:
        """Passes an event to both cores and executes their actions."""
        self._execute_actions(
            self._control_core.handle(self._state, event, now), now
        )
        self._send_to_batch_core(event, now)

    def _send_to_batch_core(self, event: object, now: _time.Now) -> None:
        """Passes an event to the batch core, if there is one."""
        if self._batch_core is not None:
            self._execute_actions(
                self._batch_core.handle(self._state, event, now), now
            )

    def _execute_actions(self, actions: list[Any], now: _time.Now) -> None:
        """Executes the actions of a core, in order."""
        for action in actions:
            self._execute_action(action, now)

    def _execute_action(self, action: object, now: _time.Now) -> None:
        """Executes one action; unknown ones are calls to workers."""
        match action:
            case _events.AppendRecords():
                self._queue_append(
                    action.records, not_after_boot_s=action.not_after_boot_s
                )
            case _events.SendPeer():
                self._links.tell(action)
            case _events.PublishView():
                self._publish_view(action)
            case _events.LeaseChanged():
                self._urgent.tell(action)
                self._send_to_batch_core(action, now)
            case _events.StartIncarnation():
                self._appender.tell(action)
                self._batch_core = self._make_batch_core(action.incarnation)
            case _restore.InstallState():
                self._install_state(action.state, now)
            case _restore.ReportUnusableState():
                _log.error("state.missing", detail=action.detail)
            case _events.Explain():
                self._record_decision(action, now)
            case _events.ExitProcess():
                self._on_exit(action.detail)
            case _:
                self._workers.submit_call(action)

    def _queue_append(
        self,
        records: tuple[_records.Record, ...],
        *,
        not_after_boot_s: float,
        reply: _append_tracker.VerdictsReply | None = None,
        step: _outcomes.Step = _outcomes.Step.CLAIM_APPEND,
    ) -> None:
        """Offers records to the appender as one ticket.

        If the appender's mailbox is full, the ticket is dropped.
        """
        ticket = self._append_tracker.open_ticket(
            records, not_after_boot_s=not_after_boot_s, reply=reply, step=step
        )
        try:
            self._appender.tell(_state_messages.TicketAppendRequested(ticket))
        except _task.MailboxFullError as error:
            self.tell(_state_messages.TicketDropped(ticket.number, str(error)))

    def _publish_view(self, action: _events.PublishView) -> None:
        """Sends a view to the urgent task and new addresses to the links."""
        address_by_instance = {
            peer.instance: peer.peer_address
            for peer in action.view.peer_by_instance.values()
        }
        if address_by_instance != self._address_by_instance:
            self._address_by_instance = address_by_instance
            self._links.tell(
                _state_messages.PeerAddressesChanged(address_by_instance)
            )
        self._urgent.tell(action.view)

    def _record_decision(
        self, explain: _events.Explain, now: _time.Now
    ) -> None:
        """Keeps a decision for explanations and logs it."""
        self._recent_decisions.add_decision(explain, now)
        _log.info(
            "decision",
            subject=explain.subject,
            decision=explain.decision,
            detail=explain.detail,
        )

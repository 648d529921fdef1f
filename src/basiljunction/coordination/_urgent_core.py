"""Event-driven core of the urgent (latency-critical) request path.

The core does no I/O. ``UrgentCore.handle`` takes an event and the time, and
returns the actions that the transport carries out. The entry half admits
requests of callers and picks an owner for each; the owner half queues them and
calls executors. A hop is one attempt of a request at one owner.
"""

import collections
import random

from basiljunction.coordination import _admission
from basiljunction.coordination import _events
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _messages
from basiljunction.coordination import _urgent_core_entry
from basiljunction.coordination import _urgent_core_owner
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _outcomes
from basiljunction.state import _time

LOAD_REPORT_INTERVAL_S = 0.1
"""Interval between the load reports that an owner sends to its peers, in
seconds."""

UrgentEvent = (
    _urgent_request.RequestArrived
    | _urgent_request.CallEnded
    | _views.FleetView
    | _events.LeaseChanged
    | _events.PeerReceived
    | _events.Folded
    | _events.AppendDropped
    | _events.Tick
)
"""Everything that ``UrgentCore.handle`` accepts."""

UrgentAction = (
    _urgent_request.Reply
    | _urgent_request.CallExecutor
    | _events.SendPeer
    | _events.AppendRecords
    | _events.Explain
)
"""Everything that ``UrgentCore.handle`` asks the transport to do."""


class UrgentCore:
    """Connects the entry half and the owner half of the urgent path.

    Hops between the halves of one instance are passed on directly; hops to and
    from other instances become peer messages.

    Args:
        instance: Id of this instance.
        executor_chooser: Load balancing policy among executors.
        owner_chooser: Load balancing policy among owning instances.
        source: Source of randomness.
        seconds_until_open: Computes the seconds until office hours open.
    """

    def __init__(
        self,
        *,
        instance: str,
        executor_chooser: _executor_choice.Chooser,
        owner_chooser: _executor_choice.Chooser,
        source: random.Random,
        seconds_until_open: _admission.SecondsUntilOpen,
    ) -> None:
        self._view = _views.FleetView(instance, 0)
        self._instance = instance
        self._entry = _urgent_core_entry.EntryCore(
            view=self._view,
            chooser=owner_chooser,
            source=source,
            seconds_until_open=seconds_until_open,
        )
        self._owner = _urgent_core_owner.OwnerCore(
            instance=instance,
            chooser=executor_chooser,
            source=source,
        )
        self._last_report_boot_s = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of caller requests and owned hops that have not ended."""
        return self._entry.in_flight + self._owner.in_flight

    @property
    def queued_hops(self) -> int:
        """Number of hops that wait for a slot of this instance's executors."""
        return self._owner.queued_hops

    def report_leaving_executors(
        self, now: _time.Now
    ) -> _events.ClosedExecutors:
        """Returns the slots in use on owned executors that are leaving."""
        return _events.ClosedExecutors(
            self._view.serial, self._owner.slots_in_use_on_leaving(now.boot_s)
        )

    def handle(self, event: UrgentEvent, now: _time.Now) -> list[UrgentAction]:
        """Handles one event and returns the resulting actions.

        Args:
            event: The event.
            now: Current time.

        Returns:
            The actions to carry out, in order.

        Raises:
            ValueError: If a request arrives whose id is already in flight.
        """
        actions = self._route_hops(self._dispatch(event, now), now)
        if isinstance(event, _events.Tick):
            # The owner half runs first: its outcomes are more specific than
            # the entry half's timeouts.
            actions += self._route_hops(
                self._entry.end_expired_and_resend(now), now
            )
        return actions

    def _dispatch(self, event: UrgentEvent, now: _time.Now) -> list[object]:
        """Passes an event to the half that handles it."""
        actions: list[object] = []
        match event:
            case _urgent_request.RequestArrived(request=request):
                actions = self._entry.handle_request(request, now)
            case _urgent_request.CallEnded():
                actions = self._owner.handle_call_ended(event, now)
            case _events.PeerReceived(message=message):
                actions = self._handle_peer_message(message, now)
            case _events.LeaseChanged(lease_until_boot_s=until_boot_s):
                self._owner.set_lease_expiry(until_boot_s)
                actions = self._owner.end_expired_and_start(now)
            case _events.Folded():
                actions = self._owner.handle_intent_verdicts(event, now)
            case _events.AppendDropped():
                actions = self._owner.handle_append_dropped(event)
            case _views.FleetView():
                self._view = event
                actions = self._owner.update_view(event, now)
                actions += self._entry.update_view(event, now)
            case _events.Tick():
                actions = self._run_periodic_work(now)
        return actions

    def _handle_peer_message(
        self, message: _messages.PeerMessage, now: _time.Now
    ) -> list[object]:
        """Handles a message of the urgent path from another instance."""
        match message:
            case _messages.ForwardRequest():
                hop = _urgent_request.hop_from_message(message, now.boot_s)
                return self._handle_forward(hop, now)
            case _messages.ForwardReply():
                key = _urgent_request.HopKey(
                    self._instance, message.request_id, message.attempt
                )
                ended = _urgent_request.HopEnded(
                    message.sender, key, message.outcome
                )
                return self._entry.handle_hop_ended(ended, now)
            case _messages.OwnerLoad():
                self._entry.record_load(message, now)
            case _messages.LimitDemand():
                return list(
                    self._entry.admission.handle_limit_demand(message, now)
                )
            case _messages.LimitGrant():
                return self._entry.handle_limit_grant(message, now)
        return []

    def _handle_forward(
        self, hop: _urgent_request.Hop, now: _time.Now
    ) -> list[object]:
        """Queues a forwarded hop; refuses it if this instance is not accepting.

        Hops of this instance's own entry half are not refused here: their
        requests were admitted already.
        """
        is_own = hop.key.sender == self._instance
        if is_own or self._entry.admission.is_accepting(now):
            return self._owner.accept_hop(hop, now)
        reason = _outcomes.Reason.NOT_READY
        if self._view.leaving:
            reason = _outcomes.Reason.LEAVING
        refused = _outcomes.NotRun(
            _outcomes.Step.OWNER_ADMIT, self._instance, reason, 1.0
        )
        return [_urgent_request.HopEnded(self._instance, hop.key, refused)]

    def _run_periodic_work(self, now: _time.Now) -> list[object]:
        """Runs the owner half's timers and sends load reports when due."""
        actions = self._owner.end_expired_and_start(now)
        if now.boot_s - self._last_report_boot_s >= LOAD_REPORT_INTERVAL_S:
            self._last_report_boot_s = now.boot_s
            actions += self._build_load_reports(now)
        return actions

    def _build_load_reports(self, now: _time.Now) -> list[object]:
        """Returns one message with this owner's load for each peer."""
        report = _messages.OwnerLoad(
            sender=self._instance,
            free_slots=self._owner.free_slots(now),
            queued=self._owner.queued_hops,
            expected_wait_s=self._owner.expected_wait_s(now),
        )
        return [
            _events.SendPeer(name, report)
            for name in self._view.peer_by_instance
        ]

    def _route_hops(
        self, decided: list[object], now: _time.Now
    ) -> list[UrgentAction]:
        """Delivers hops and their outcomes until only actions remain.

        Hops and outcomes go to the other half of this instance, or to a peer as
        a message.

        Args:
            decided: Actions, hop requests and hop outcomes of either half.
            now: Current time.

        Returns:
            The actions for the transport, in order.

        Raises:
            TypeError: If an item is of none of these kinds.
        """
        left = collections.deque(decided)
        actions: list[UrgentAction] = []
        while left:
            each = left.popleft()
            if isinstance(each, _urgent_request.HopRequested):
                left.extend(self._send_hop(each, now))
            elif isinstance(each, _urgent_request.HopEnded):
                left.extend(self._return_outcome(each, now))
            elif isinstance(each, UrgentAction):
                actions.append(each)
            else:
                raise TypeError(type(each))
        return actions

    def _send_hop(
        self, asked: _urgent_request.HopRequested, now: _time.Now
    ) -> list[object]:
        """Hands a hop to its owner: this instance, or a peer by message."""
        if asked.owner == self._instance:
            return self._owner.accept_hop(asked.hop, now)
        message = _urgent_request.hop_to_message(asked.hop, now.boot_s)
        return [_events.SendPeer(asked.owner, message)]

    def _return_outcome(
        self, ended: _urgent_request.HopEnded, now: _time.Now
    ) -> list[object]:
        """Returns a hop's outcome to the entry instance that sent the hop."""
        if ended.key.sender == self._instance:
            return self._entry.handle_hop_ended(ended, now)
        message = _messages.ForwardReply(
            request_id=ended.key.request_id,
            sender=self._instance,
            outcome=ended.outcome,
            attempt=ended.key.attempt,
        )
        return [_events.SendPeer(ended.key.sender, message)]

"""Control decisions of one instance: membership, leases, machines, views.

Handles each event after the log entries in it have been folded. Decisions that
instances have to agree on go through the log. Heartbeats and vouchers only
extend how long this instance may act without reading the log.
"""

import random

from basiljunction.coordination import _contact
from basiljunction.coordination import _events
from basiljunction.coordination import _fleet_view
from basiljunction.coordination import _heartbeats
from basiljunction.coordination import _listing
from basiljunction.coordination import _machines
from basiljunction.coordination import _membership
from basiljunction.coordination import _messages
from basiljunction.coordination import _takeover
from basiljunction.coordination import _timing
from basiljunction.coordination import _views
from basiljunction.coordination import _vouchers
from basiljunction.state import _fold_ownership
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict

_VIEW_REFRESH_S = 1.0
"""Longest time between two published views, in seconds."""

_RULES_INTERVAL_S = 0.1
"""Time between two checks of peers and machines, in seconds."""

_MIN_LEASE_GAIN_S = 0.05
"""Smallest extension of the lease that is reported, in seconds."""


class ControlCore:
    """Decides one instance's membership, lease and machine ownership.

    An event goes in and actions come out (see ``_events``); the core does no
    I/O itself.

    Args:
        identity: Name, group and addresses of this instance.
        timing: Lease, heartbeat and guard durations.
        rng: Source of the random bits of incarnations.
        started_boot_s: When the process started, on its boot clock.
    """

    def __init__(
        self,
        *,
        identity: _timing.InstanceIdentity,
        timing: _timing.LeaseTiming,
        rng: random.Random,
        started_boot_s: float,
    ) -> None:
        self._identity = identity
        self._timing = timing
        self._membership = _membership.Membership(identity, rng)
        self._listed_machines: tuple[_events.LiveMachine, ...] = ()
        self._leaving_names: frozenset[str] = frozenset()
        self._ready = False
        self._next_offset_by_peer: dict[str, int] = {}
        self._heartbeats = _heartbeats.HeartbeatSender(identity, timing)
        self._next_rules_s = float("-inf")
        self._next_view_s = float("-inf")
        self._head_requested_s = float("-inf")
        self._lease_until_s = float("-inf")
        self._view_serial = 0
        self._create_rules(started_boot_s)

    @property
    def ready(self) -> bool:
        """Whether the state has been folded up to a known head of the log."""
        return self._ready

    @property
    def incarnation(self) -> int:
        """This instance's current incarnation; 0 before the first one."""
        return self._membership.incarnation

    @property
    def lease_until_boot_s(self) -> float:
        """When this instance's lease on its machines ends, on its boot clock.

        Negative infinity without a lease.
        """
        return self._lease_until_s

    @property
    def next_offset_by_peer(self) -> dict[str, int]:
        """The next log offset that each peer reported in its heartbeat."""
        return self._next_offset_by_peer

    def handle(
        self, state: _system.SystemState, event: object, now: _time.Now
    ) -> list[object]:
        """Updates the core with one event and returns the resulting actions.

        Args:
            state: The folded state; not modified.
            event: An event defined in ``_events``; others are ignored.
            now: The current time.

        Returns:
            Actions defined in ``_events``.
        """
        actions = self._handle_log_event(state, event, now)
        actions += self._handle_other_event(state, event, now)
        return actions + self._lease_changes(state)

    def _handle_log_event(
        self, state: _system.SystemState, event: object, now: _time.Now
    ) -> list[object]:
        """Handles an event that concerns the log; ignores all others."""
        match event:
            case _events.EntriesRead():
                self._handle_entries_read(state, event, now)
            case _events.Folded():
                return self._handle_folded(state, event, now)
            case _events.LogTruncated():
                self._ready = False
                self._next_view_s = now.boot_s
            case _events.StateReplaced():
                return self._handle_state_replaced(state, now)
            case _events.AppendDropped():
                self._handle_append_dropped(event)
        return []

    def _handle_other_event(
        self, state: _system.SystemState, event: object, now: _time.Now
    ) -> list[object]:
        """Handles peer messages, platform lists, drain requests and ticks."""
        match event:
            case _events.PeerReceived():
                return self._handle_peer_message(state, event.message, now)
            case _events.LiveListRead():
                self._listed_machines = event.machines
                self._leaving_names = _listing.leaving_machine_names(
                    event.machines
                )
                self._next_view_s = now.boot_s
            case _events.ClosedExecutors():
                self._machines.record_leaving_executors(event)
            case _events.DrainRequested():
                self._membership.request_drain()
                self._next_view_s = now.boot_s
            case _events.Tick():
                return self._handle_tick(state, now)
        return []

    def _create_rules(self, began_boot_s: float) -> None:
        """Creates the rules objects of a new incarnation."""
        self._incarnation_began_boot_s = began_boot_s
        own = self._membership.local_member
        self._tally = _vouchers.VoucherTally(own.seat, self._timing)
        self._vouching = _vouchers.VouchingRules(began_boot_s, self._timing)
        self._takeover = _takeover.TakeoverRules(
            local_member=own,
            vouching=self._vouching,
            tally=self._tally,
            timing=self._timing,
        )
        self._machines = _machines.MachineRules(own, self._timing)
        self._contact = _contact.GroupContact(own, self._timing, began_boot_s)

    def _handle_entries_read(
        self,
        state: _system.SystemState,
        event: _events.EntriesRead,
        now: _time.Now,
    ) -> None:
        """Sets ready and extends the lease if the state is at the head."""
        if event.head_offset < 0 or state.next_offset < event.head_offset:
            return
        if not self._ready:
            self._ready = True
            self._next_view_s = now.boot_s
        self._head_requested_s = max(
            self._head_requested_s, event.requested_boot_s
        )
        if self._membership.find_member(state) is not None:
            self._tally.record_head_read(event.requested_boot_s)

    def _handle_folded(
        self, state: _system.SystemState, event: _events.Folded, now: _time.Now
    ) -> list[object]:
        """Applies the verdicts on folded records."""
        for verdict in event.verdicts:
            self._apply_verdict(state, verdict, now)
        return self._advance_membership(state, now)

    def _apply_verdict(
        self,
        state: _system.SystemState,
        verdict: _verdict.Verdict,
        now: _time.Now,
    ) -> None:
        """Passes the verdict on one record to the rules that it concerns."""
        if verdict.is_accepted and isinstance(
            verdict.record, _fleet_view.VIEW_CHANGING_RECORDS
        ):
            self._next_view_s = now.boot_s
        if isinstance(verdict.record, _takeover.RULE_TRIGGER_RECORDS):
            self._next_rules_s = now.boot_s
        if isinstance(verdict.record, _records.MachineAssigned):
            self._machines.record_verdict(state, verdict, now)
        author = _records.Author(self._identity.instance, self.incarnation)
        if verdict.author != author:
            return
        self._membership.record_settled(verdict.record)
        self._takeover.record_verdict(verdict)
        self._machines.record_verdict(state, verdict, now)

    def _handle_state_replaced(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[object]:
        """Starts a new incarnation after the state was replaced as a whole.

        The verdicts on this instance's pending records were skipped, so it is
        unknown whether they were accepted.
        """
        self._ready = True
        self._next_view_s = now.boot_s
        if self._membership.phase is _membership.MembershipPhase.LOADING:
            return self._advance_membership(state, now)
        actions = self._membership.start_incarnation(state)
        self._create_rules(now.boot_s)
        return actions

    def _advance_membership(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[object]:
        """Advances the membership; creates the rules of a new incarnation."""
        if not self._ready:
            return []
        earlier = self.incarnation
        actions = self._membership.advance_phase(state)
        if self.incarnation != earlier:
            first = earlier == 0
            self._create_rules(
                self._incarnation_began_boot_s if first else now.boot_s
            )
        return actions

    def _handle_peer_message(
        self,
        state: _system.SystemState,
        message: _messages.PeerMessage,
        now: _time.Now,
    ) -> list[object]:
        """Handles a heartbeat or a voucher; ignores other messages."""
        match message:
            case _messages.Heartbeat():
                return self._handle_heartbeat(state, message, now)
            case _messages.Voucher():
                self._record_answer(message, now)
        return []

    def _handle_heartbeat(
        self,
        state: _system.SystemState,
        message: _messages.Heartbeat,
        now: _time.Now,
    ) -> list[object]:
        """Records a heartbeat and the answer in it; refuses a nonmember."""
        self._next_offset_by_peer[message.sender] = message.next_offset
        sender = state.member_by_instance.get(message.sender)
        if sender is not None and sender.group != self._identity.group:
            return []
        self._takeover.record_heartbeat(state, message, now)
        self._heartbeats.record_heartbeat(message)
        self._record_answer(message, now)
        if sender is None:
            # A nonmember is sent no heartbeats, so only this refusal shows it
            # that its own heartbeats arrive.
            return [
                self._heartbeats.refuse_nonmember(message, self.incarnation)
            ]
        return []

    def _record_answer(
        self,
        message: _messages.Heartbeat | _messages.Voucher,
        now: _time.Now,
    ) -> None:
        """Records an answer to a heartbeat of this incarnation."""
        if message.echoed_incarnation != self.incarnation:
            return
        if (
            not self._incarnation_began_boot_s
            <= message.echoed_boot_s
            <= now.boot_s
        ):
            return
        self._contact.record_answer(message.sender, now)
        seat = _fold_ownership.format_seat(message.sender, message.incarnation)
        if message.granted and not self._vouching.has_stopped_vouching(seat):
            self._tally.add_voucher(seat, message.echoed_boot_s)

    def _handle_append_dropped(self, event: _events.AppendDropped) -> None:
        """Tells the rules which of their records were not appended."""
        for record in event.records:
            self._membership.record_drop(record)
            self._takeover.record_drop(record)
            self._machines.record_drop(record)

    def _handle_tick(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[object]:
        """Applies the rules, sends heartbeats and publishes a view when due."""
        actions = self._advance_membership(state, now)
        if now.boot_s >= self._next_rules_s:
            self._next_rules_s = now.boot_s + _RULES_INTERVAL_S
            actions += self._apply_rules(state, now)
        actions += self._due_heartbeats(state, now)
        if now.boot_s >= self._next_view_s or self._machines.is_view_outdated:
            self._next_view_s = now.boot_s + _VIEW_REFRESH_S
            actions.append(self._publish_view(state))
        return actions

    def _apply_rules(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[object]:
        """Returns the records to append about members and machines."""
        if not self._ready:
            return []
        self._delete_removed_peers(state)
        owned = sum(
            machine.owner == self._identity.instance
            for machine in state.machine_by_id.values()
        )
        actions: list[object] = []
        in_contact = self._contact.is_in_contact(state, now)
        actions += self._membership.due_records(
            state, now, owned_machine_count=owned, in_contact=in_contact
        )
        if self._membership.find_member(state) is None:
            return actions
        fresh = now.boot_s - self._head_requested_s < self._timing.voucher_s
        actions += self._takeover.due_records(state, now, is_log_fresh=fresh)
        actions += self._machines.due_records(
            state,
            now,
            may_claim=in_contact and not self._membership.is_drain_requested,
            is_alive=lambda name: self._is_peer_alive(state, name, now),
            holds_lease=now.boot_s < self._lease_until_s,
        )
        if not self._membership.is_drain_requested:
            listed = _listing.group_machines(
                self._listed_machines, state, own_group=self._identity.group
            )
            actions += self._machines.due_registrations(state, listed, now)
        return actions

    def _delete_removed_peers(self, state: _system.SystemState) -> None:
        """Deletes what is stored about instances that are no longer members."""
        members = state.member_by_instance
        for peer in self._next_offset_by_peer.keys() - members:
            del self._next_offset_by_peer[peer]
        self._heartbeats.retain_senders(members)

    def _is_peer_alive(
        self, state: _system.SystemState, instance: str, now: _time.Now
    ) -> bool:
        """Returns whether a member sent a heartbeat lately."""
        member = state.member_by_instance.get(instance)
        if member is None:
            return False
        seat = _fold_ownership.format_member_seat(member)
        return self._takeover.has_recent_heartbeat(seat, now.boot_s)

    def _due_heartbeats(
        self, state: _system.SystemState, now: _time.Now
    ) -> list[_events.SendPeer]:
        """Returns the heartbeats to send now."""
        if self._membership.phase in (
            _membership.MembershipPhase.LOADING,
            _membership.MembershipPhase.LEFT,
        ):
            return []
        is_member = self._membership.find_member(state) is not None
        may_vouch = is_member and not self._membership.has_pending_departure
        return self._heartbeats.due_heartbeats(
            state,
            now,
            incarnation=self.incarnation,
            vouches_for=lambda message: (
                may_vouch and self._takeover.vouches_for(state, message, now)
            ),
        )

    def _publish_view(self, state: _system.SystemState) -> _events.PublishView:
        """Returns an action that publishes a new fleet view."""
        self._view_serial += 1
        self._machines.record_published_view(self._view_serial)
        base = _views.FleetView(
            instance=self._identity.instance,
            incarnation=self.incarnation,
            serial=self._view_serial,
            ready=self._ready,
            leaving=self._membership.is_drain_requested,
        )
        view = _fleet_view.build_view(
            state,
            base=base,
            group=self._identity.group,
            waits_by_machine=self._machines.waits_by_machine,
            not_accepting=self._leaving_names.union(
                self._machines.machines_to_hand_over
            ),
        )
        return _events.PublishView(view)

    def _lease_changes(
        self, state: _system.SystemState
    ) -> list[_events.LeaseChanged]:
        """Returns the change of the lease to report, if it is large enough."""
        until_s = self._lease_until_boot_s(state)
        gained_s = until_s - self._lease_until_s
        if (
            0.0 <= gained_s < _MIN_LEASE_GAIN_S
            or until_s == self._lease_until_s
        ):
            return []
        self._lease_until_s = until_s
        return [_events.LeaseChanged(until_s)]

    def _lease_until_boot_s(self, state: _system.SystemState) -> float:
        """Returns when the lease ends; negative infinity without a lease."""
        member = self._membership.find_member(state)
        if member is None or self._membership.has_pending_departure:
            return float("-inf")
        electors = (member.electors, *self._membership.pending_electors)
        return self._tally.lease_until_boot_s(electors)

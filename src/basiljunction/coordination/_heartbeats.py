"""Sends heartbeats to peers, each answering the peer's newest heartbeat."""

from collections.abc import Callable
from collections.abc import Container

from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _timing
from basiljunction.state import _system
from basiljunction.state import _time

OTHER_GROUP_INTERVAL_S = 1.0
"""Time between heartbeats to instances of other groups, in seconds."""


class HeartbeatSender:
    """Builds the heartbeats to send, with the answers to those received.

    Args:
        identity: Name, group and addresses of this instance.
        timing: Lease, heartbeat and guard durations.
    """

    def __init__(
        self, identity: _timing.InstanceIdentity, timing: _timing.LeaseTiming
    ) -> None:
        self._identity = identity
        self._timing = timing
        self._newest_by_sender: dict[str, _messages.Heartbeat] = {}
        self._next_own_s = float("-inf")
        self._next_other_s = float("-inf")

    def record_heartbeat(self, message: _messages.Heartbeat) -> None:
        """Stores a received heartbeat, to be answered by the next one sent."""
        self._newest_by_sender[message.sender] = message

    def retain_senders(self, instances: Container[str]) -> None:
        """Removes the stored heartbeats of all but the given instances."""
        for sender in list(self._newest_by_sender):
            if sender not in instances:
                del self._newest_by_sender[sender]

    def refuse_nonmember(
        self, message: _messages.Heartbeat, incarnation: int
    ) -> _events.SendPeer:
        """Returns a refused voucher for an instance that is not a member.

        Such an instance gets no heartbeats that could carry the answer.
        """
        voucher = _messages.Voucher(
            sender=self._identity.instance,
            incarnation=incarnation,
            echoed_boot_s=message.sent_boot_s,
            echoed_incarnation=message.incarnation,
            granted=False,
            next_offset=message.next_offset,
        )
        return _events.SendPeer(message.sender, voucher)

    def due_heartbeats(
        self,
        state: _system.SystemState,
        now: _time.Now,
        *,
        incarnation: int,
        vouches_for: Callable[[_messages.Heartbeat], bool],
    ) -> list[_events.SendPeer]:
        """Returns the heartbeats to send now.

        Args:
            state: The folded state.
            now: The current time.
            incarnation: Incarnation of this instance.
            vouches_for: Returns whether to vouch for the sender of a heartbeat.
        """
        to_own = now.boot_s >= self._next_own_s
        if to_own:
            self._next_own_s = now.boot_s + self._timing.heartbeat_s
        to_others = now.boot_s >= self._next_other_s
        if to_others:
            self._next_other_s = now.boot_s + OTHER_GROUP_INTERVAL_S
        sends: list[_events.SendPeer] = []
        for member in state.member_by_instance.values():
            is_own = member.group == self._identity.group
            wanted = to_own if is_own else to_others
            if not wanted or member.instance == self._identity.instance:
                continue
            newest = self._newest_by_sender.get(member.instance)
            heartbeat = _messages.Heartbeat(
                sender=self._identity.instance,
                incarnation=incarnation,
                sent_boot_s=now.boot_s,
                next_offset=state.next_offset,
                echoed_boot_s=newest.sent_boot_s if newest else -1.0,
                echoed_incarnation=newest.incarnation if newest else 0,
                granted=newest is not None and vouches_for(newest),
            )
            sends.append(_events.SendPeer(member.instance, heartbeat))
        return sends

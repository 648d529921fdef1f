"""Decides which peers to suspect and to depose from their heartbeats.

A member appends ``Suspected`` for a peer whose heartbeats stop, and
``SuspicionWithdrawn`` once they are steady again. A member that enough others
suspect is deposed by ``TakenOver``, which frees its machines for new owners.
"""

import dataclasses

from basiljunction.coordination import _assignment
from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _timing
from basiljunction.coordination import _vouchers
from basiljunction.state import _fold_ownership
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict

_APPEND_TIMEOUT_S = 1.0
"""Time within which a record has to be sent, or is dropped, in seconds."""

_DEPOSE_RANK_DELAY_S = 0.3
"""Delay of a take-over record per rank, in seconds.

Members are ranked for each deposed peer, so that usually only one appends.
"""

RULE_TRIGGER_RECORDS = (
    _records.InstanceJoined,
    _records.InstanceLeaving,
    _records.InstanceLeft,
    _records.Suspected,
    _records.TakenOver,
    _records.MachineRegistered,
    _records.MachineAssigned,
)
"""Types of records after which the rules are applied at once."""


@dataclasses.dataclass(slots=True)
class _HeartbeatHistory:
    """Heartbeats received from one seat (an instance and its incarnation).

    Attributes:
        last_heartbeat_s: Time of the newest heartbeat, or when the seat
            was first seen.
        unbroken_since_s: Start of the newest series of heartbeats without a
            gap.
        is_replaced: A process with a newer incarnation sent a heartbeat.
    """

    last_heartbeat_s: float
    unbroken_since_s: float
    is_replaced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LocalMember:
    """This instance as a member: its name, incarnation and group."""

    instance: str
    incarnation: int
    group: str

    @property
    def seat(self) -> str:
        """This instance's seat: its name and incarnation as one string."""
        return _fold_ownership.format_seat(self.instance, self.incarnation)


class TakeoverRules:
    """Decides which peers this member suspects and which it deposes.

    Args:
        local_member: This member.
        vouching: The peers that this member vouches for.
        tally: The vouchers that this member received.
        timing: Lease, heartbeat and guard durations.
    """

    def __init__(
        self,
        *,
        local_member: LocalMember,
        vouching: _vouchers.VouchingRules,
        tally: _vouchers.VoucherTally,
        timing: _timing.LeaseTiming,
    ) -> None:
        self._local_member = local_member
        self._vouching = vouching
        self._tally = tally
        self._timing = timing
        self._history_by_seat: dict[str, _HeartbeatHistory] = {}
        self._deposable_since_s: dict[str, float] = {}
        self._pending: set[_records.Record] = set()
        self._last_tick_s = float("-inf")

    def has_recent_heartbeat(self, seat: str, now_s: float) -> bool:
        """Returns whether an unsuspected seat sent a heartbeat lately."""
        history = self._history_by_seat.get(seat)
        if history is None or self._vouching.has_stopped_vouching(seat):
            return False
        return now_s - history.last_heartbeat_s < self._timing.suspect_after_s

    def record_heartbeat(
        self,
        state: _system.SystemState,
        message: _messages.Heartbeat,
        now: _time.Now,
    ) -> None:
        """Records a heartbeat of a member or of its newer incarnation."""
        member = state.member_by_instance.get(message.sender)
        if member is None or member.incarnation > message.incarnation:
            return
        history = self._history_of(
            _fold_ownership.format_member_seat(member), now.boot_s
        )
        if message.incarnation > member.incarnation:
            history.is_replaced = True
            return
        if now.boot_s - history.last_heartbeat_s > self._timing.suspect_after_s:
            history.unbroken_since_s = now.boot_s
        history.last_heartbeat_s = now.boot_s

    def vouches_for(
        self,
        state: _system.SystemState,
        message: _messages.Heartbeat,
        now: _time.Now,
    ) -> bool:
        """Returns whether this member vouches for the sender of a heartbeat."""
        if self._vouching.is_abstaining(now.boot_s):
            return False
        member = state.member_by_instance.get(message.sender)
        if member is None or member.incarnation != message.incarnation:
            return False
        seat = _fold_ownership.format_member_seat(member)
        return self._vouching.vouches_for(
            seat, member.suspecting, self._local_member.seat
        )

    def due_records(
        self, state: _system.SystemState, now: _time.Now, *, is_log_fresh: bool
    ) -> list[_events.AppendRecords]:
        """Returns the suspicions, withdrawals and take-overs to append now.

        Args:
            state: The folded state.
            now: The current time.
            is_log_fresh: The log's head was read lately. Otherwise no peer is
                suspected, so that vouchers keep being granted while the log is
                unavailable.
        """
        self._discount_own_pause(now.boot_s)
        if not is_log_fresh or self._vouching.is_abstaining(now.boot_s):
            return []
        records: list[_records.Record] = []
        for member in _fold_ownership.group_members(
            state, self._local_member.group
        ):
            if member.instance != self._local_member.instance:
                records += self._records_about(state, member, now.boot_s)
        new = [each for each in records if each not in self._pending]
        self._pending.update(new)
        not_after_s = now.boot_s + _APPEND_TIMEOUT_S
        return [_events.AppendRecords((each,), not_after_s) for each in new]

    def record_verdict(self, verdict: _verdict.Verdict) -> None:
        """Handles the verdict on a record that this member appended."""
        record = verdict.record
        self._pending.discard(record)
        if not verdict.is_accepted:
            return
        if isinstance(record, _records.SuspicionWithdrawn):
            self._vouching.resume_vouching(
                _fold_ownership.format_seat(
                    record.suspect, record.suspect_incarnation
                )
            )

    def record_drop(self, record: _records.Record) -> None:
        """Handles that a record was certainly not appended to the log."""
        self._pending.discard(record)
        if isinstance(record, _records.Suspected):
            self._vouching.resume_vouching(
                _fold_ownership.format_seat(
                    record.suspect, record.suspect_incarnation
                )
            )

    def _records_about(
        self, state: _system.SystemState, member: _system.Member, now_s: float
    ) -> list[_records.Record]:
        """Returns the record to append about one peer, if any."""
        seat = _fold_ownership.format_member_seat(member)
        history = self._history_of(seat, now_s)
        subject = (member.instance, member.incarnation)
        if _fold_ownership.is_deposable(member):
            if self._is_turn_to_depose(state, member, now_s):
                return [_records.TakenOver(*subject)]
            return []
        self._deposable_since_s.pop(seat, None)
        if self._local_member.seat in member.suspecting:
            # This includes a suspicion that was kept when this process
            # replaced an earlier one in its seat.
            self._vouching.stop_vouching(seat)
        silence_s = now_s - history.last_heartbeat_s
        if not self._vouching.has_stopped_vouching(seat):
            if (
                not history.is_replaced
                and silence_s < self._timing.suspect_after_s
            ):
                return []
            self._vouching.stop_vouching(seat)
            self._tally.remove_vouchers(seat)
            return [_records.Suspected(*subject)]
        if self._has_steady_heartbeats(
            history, now_s
        ) and self._local_member.seat in (member.suspecting):
            return [_records.SuspicionWithdrawn(*subject)]
        return []

    def _has_steady_heartbeats(
        self, history: _HeartbeatHistory, now_s: float
    ) -> bool:
        """Returns whether heartbeats arrived without a gap for a while."""
        quiet_s = now_s - history.last_heartbeat_s
        if history.is_replaced or quiet_s >= self._timing.suspect_after_s:
            return False
        return (
            history.last_heartbeat_s - history.unbroken_since_s
            >= self._timing.suspect_after_s
        )

    def _is_turn_to_depose(
        self, state: _system.SystemState, member: _system.Member, now_s: float
    ) -> bool:
        """Returns whether this member's rank allows it to depose a peer now."""
        seat = _fold_ownership.format_member_seat(member)
        since_s = self._deposable_since_s.setdefault(seat, now_s)
        others = [
            each.instance
            for each in _fold_ownership.group_members(state, member.group)
            if not each.suspecting
        ]
        ranking = _assignment.rank_instances(seat, others)
        if self._local_member.instance not in ranking:
            return now_s - since_s >= len(ranking) * _DEPOSE_RANK_DELAY_S
        rank = ranking.index(self._local_member.instance)
        return now_s - since_s >= rank * _DEPOSE_RANK_DELAY_S

    def _history_of(self, seat: str, now_s: float) -> _HeartbeatHistory:
        """Returns the heartbeat history of a seat, created on first use."""
        history = self._history_by_seat.get(seat)
        if history is None:
            history = _HeartbeatHistory(
                last_heartbeat_s=now_s, unbroken_since_s=now_s
            )
            self._history_by_seat[seat] = history
        return history

    def _discount_own_pause(self, now_s: float) -> None:
        """Ignores the silence of peers during a pause of this process.

        After a pause, missing heartbeats say nothing about their senders.
        """
        pause_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if pause_s < self._timing.suspect_after_s / 2:
            return
        for history in self._history_by_seat.values():
            history.last_heartbeat_s = max(history.last_heartbeat_s, now_s)

"""Tells whether an instance is in contact with its group.

An instance that reads the log but receives no answers from its group would be
deposed repeatedly, each time with the machines it had claimed. So it waits for
contact before it joins or claims machines. The wait is bounded, as all other
members may be gone.
"""

from collections.abc import Iterable

from basiljunction.coordination import _takeover
from basiljunction.coordination import _timing
from basiljunction.state import _fold_ownership
from basiljunction.state import _system
from basiljunction.state import _time

ACT_ALONE_AFTER_S = 5.0
"""Time without contact after which an instance acts alone, in seconds."""


class GroupContact:
    """Tracks the group's answers to this instance's heartbeats.

    Args:
        local_member: This instance.
        timing: Lease, heartbeat and guard durations.
        began_boot_s: When its incarnation began, on its boot clock.
    """

    def __init__(
        self,
        local_member: _takeover.LocalMember,
        timing: _timing.LeaseTiming,
        began_boot_s: float,
    ) -> None:
        self._local_member = local_member
        self._timing = timing
        self._last_contact_s = began_boot_s
        self._answered_s_by_instance: dict[str, float] = {}

    def record_answer(self, instance: str, now: _time.Now) -> None:
        """Records an answer to a heartbeat, granted or refused."""
        self._answered_s_by_instance[instance] = now.boot_s

    def is_in_contact(self, state: _system.SystemState, now: _time.Now) -> bool:
        """Returns whether half of the other members answer.

        Also true after ``ACT_ALONE_AFTER_S`` without contact.
        """
        members = _fold_ownership.group_members(state, self._local_member.group)
        others = [
            member.instance
            for member in members
            if member.instance != self._local_member.instance
        ]
        if self._count_recent_answers(others, now.boot_s) * 2 >= len(others):
            self._last_contact_s = now.boot_s
            return True
        return now.boot_s - self._last_contact_s >= ACT_ALONE_AFTER_S

    def _count_recent_answers(
        self, instances: Iterable[str], now_s: float
    ) -> int:
        """Returns how many of the instances answered a heartbeat lately."""
        oldest_s = now_s - self._timing.suspect_after_s
        return sum(
            self._answered_s_by_instance.get(each, float("-inf")) > oldest_s
            for each in instances
        )

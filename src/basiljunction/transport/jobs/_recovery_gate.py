"""Decides when calls wait for a scheduler that has not recovered yet.

A scheduler that holds the term and answers no calls is recovering. Waiting
calls hold whole jobs; repeating them would take the link that its recovery
needs. So a small question at intervals asks whether it answers calls.
"""

import dataclasses

PROBE_INTERVAL_S = 0.2
"""Interval between two questions whether a scheduler has recovered, in seconds.

All instances ask, so a shorter one would take a noticeable part of a narrow
link.
"""

Leader = tuple[str, int]
"""Address of a scheduler and the epoch of its term."""

NO_LEADER: Leader = ("", 0)
"""Stands for no scheduler."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A question whether a scheduler has recovered.

    Attributes:
        leader: The scheduler that is asked.
        needs_new_connection: Whether open connections to it may have fallen
            silent.
    """

    leader: Leader
    needs_new_connection: bool


class RecoveryGate:
    """Holds calls back from one scheduler until it has recovered.

    Attributes:
        leader: The scheduler that is recovering; `NO_LEADER` for none.
        stage: What the scheduler said it was waiting for.
    """

    def __init__(self) -> None:
        self.leader = NO_LEADER
        self.stage = ""
        self._probe_in_flight: Probe | None = None
        self._has_lost_probe = False
        self._next_probe_s = 0.0

    def close(self, leader: Leader, stage: str) -> None:
        """Holds calls back from a scheduler that answered that it recovers."""
        if leader != self.leader:
            self._probe_in_flight = None
            self._has_lost_probe = False
            self._next_probe_s = 0.0
        self.leader = leader
        self.stage = stage

    def open(self) -> None:
        """Holds no calls back any more."""
        self.close(NO_LEADER, "")

    def holds_back(self, leader: Leader) -> bool:
        """Returns whether calls wait for this scheduler to recover."""
        return leader != NO_LEADER and leader == self.leader

    def next_probe(self, now_s: float) -> Probe | None:
        """Returns the question to send now, or None if none is due.

        It counts as in flight until its result is recorded.
        """
        if (
            self.leader == NO_LEADER
            or self._probe_in_flight is not None
            or now_s < self._next_probe_s
        ):
            return None
        self._probe_in_flight = Probe(self.leader, self._has_lost_probe)
        return self._probe_in_flight

    def record_result(
        self, probe: Probe, now_s: float, *, is_lost: bool
    ) -> bool:
        """Records that a probe was answered or got no answer.

        Returns:
            Whether its result still matters: no other scheduler has begun to
            recover since it was sent.
        """
        if probe is not self._probe_in_flight:
            return False
        self._probe_in_flight = None
        self._has_lost_probe = is_lost
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        return True

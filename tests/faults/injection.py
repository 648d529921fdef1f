"""The faults of the matrix, and the injector that a cell uses."""

import enum
import random

from basiljunction.state import _outcomes


class Fault(enum.StrEnum):
    """A failure injected at one step; each value names a matrix column."""

    DIE_BEFORE = "dies before"
    DIE_AFTER = "dies after"
    PAUSE = "pause"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    DOUBLED = "doubled"
    DELAYED = "delayed"
    REORDERED = "reordered"
    CUT_SHORT = "cut short"
    CORRUPT = "corrupt"
    LOG_DOWN = "log down"
    LOG_SLOW = "log slow"
    LOG_TRUNCATED = "log truncated"
    LIST_STALE = "list stale"
    PEER_REFUSES = "peer refuses"
    PEER_HANGS = "peer hangs"
    PEER_DIES = "peer dies"
    PEER_FAILS = "peer fails all"
    SECOND_ACTOR = "second actor"
    CLOCK_JUMP = "clock jump"


MESSAGE_FAULTS = frozenset(
    {
        Fault.ANSWER_LOST,
        Fault.LOST,
        Fault.DOUBLED,
        Fault.DELAYED,
        Fault.REORDERED,
        Fault.CUT_SHORT,
        Fault.CORRUPT,
    }
)
"""Faults of the message of a step, not of processes, the log or clocks."""


class Injector:
    """Injects each of its faults once, at successive occurrences of a step.

    Attributes:
        step: Step at which faults are injected.
        injected: Faults injected so far.
        occurrences: How often the step occurred while a fault was left.
    """

    def __init__(
        self,
        step: _outcomes.Step,
        faults: tuple[Fault, ...],
        rng: random.Random,
    ) -> None:
        """Chooses the occurrence at which the first fault is injected.

        Args:
            step: Step at which faults are injected.
            faults: Faults, injected at successive occurrences of the step.
            rng: Chooses the first of these occurrences.
        """
        self.step = step
        self._remaining_faults = list(faults)
        self.injected: list[Fault] = []
        self.occurrences = 0
        self._first_occurrence = rng.randrange(1, 4)

    def next_fault(self, steps: set[_outcomes.Step]) -> Fault | None:
        """Returns the fault to inject at an event of these steps, if any.

        Counts the occurrence and removes the fault from those left to inject.
        """
        if self.step not in steps or not self._remaining_faults:
            return None
        self.occurrences += 1
        if self.occurrences < self._first_occurrence:
            return None
        fault = self._remaining_faults.pop(0)
        self.injected.append(fault)
        return fault

    def start_at_first_occurrence(self) -> None:
        """Injects at the first occurrence, for steps that occur rarely."""
        self._first_occurrence = 0

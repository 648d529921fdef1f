"""Progress of a term from its begin until its scheduler answers calls."""

import dataclasses
import enum

COUNTED_BYTES = 16_384
"""Bytes that a read must receive to count as progress.

Attempts that end at almost the same byte again and again do not count.
"""

STALL_LIMIT_S = 3.0
"""Time without progress after which a term is given up, in seconds.

Several failed calls to the store fit into it.
"""

TERMS_PER_DOUBLING = 4
"""Number of terms given up in a row after which that time doubles.

If several instances do not advance, changing the scheduler is no help.
"""

MAX_DOUBLINGS = 3
"""Most doublings of that time."""

MAX_PAUSE_S = 30.0
"""Longest time without confirmed renewals that does not count, in seconds.

An outage of the store of this length costs no term. The holder cannot tell an
outage from its own link being full, where another instance can help.
"""


class TermStage(enum.Enum):
    """Stage of a term that this instance holds.

    Attributes:
        NO_CONFIGURATION: No configuration is known yet.
        ENDED: The session of the term has ended, but not the term.
        FENCING: Writes of earlier terms are being blocked.
        READING: The records of earlier terms are being read.
        LISTING: The list of executors is being read.
        ANSWERING: The scheduler answers calls.
    """

    NO_CONFIGURATION = "no-configuration"
    ENDED = "ended"
    FENCING = "fencing"
    READING = "reading"
    LISTING = "listing"
    ANSWERING = "answering"


@dataclasses.dataclass(frozen=True, slots=True)
class TermProgress:
    """What the scheduler of a term has done so far towards answering calls.

    Attributes:
        stage: Current stage.
        pages: Number of pages read from the store.
        records: Number of records on these pages.
        bytes_read: Number of bytes read, with the most of an incomplete page.
        last_failure: Step and error of the newest failed call to the store;
            empty if none failed.
    """

    stage: TermStage
    pages: int = 0
    records: int = 0
    bytes_read: int = 0
    last_failure: str = ""


class ProgressWatch:
    """Measures for how long a held term has not answered calls or advanced."""

    def __init__(self) -> None:
        self._epoch = 0
        self._advance: tuple[object, ...] = ()
        self._unanswered_since_s: float | None = None
        self._advanced_s = 0.0
        self._observed_s = 0.0
        self._paused_s = 0.0

    def observe(
        self,
        epoch: int,
        progress: TermProgress | None,
        now_s: float,
        *,
        is_confirmed: bool,
    ) -> None:
        """Updates the measurements.

        Args:
            epoch: Epoch of the held term.
            progress: Progress of the term; None if this instance holds none.
            now_s: Current time in seconds.
            is_confirmed: Whether the store confirms the renewals of the term.
        """
        if progress is None or progress.stage is TermStage.ANSWERING:
            self._unanswered_since_s = None
            return
        if self._unanswered_since_s is None or epoch != self._epoch:
            self._unanswered_since_s = now_s
            self._epoch = epoch
            self._advance = ()
            self._observed_s = now_s
        elapsed_s = now_s - self._observed_s
        self._observed_s = now_s
        advance = (
            progress.stage,
            progress.pages,
            progress.bytes_read // COUNTED_BYTES,
        )
        if advance != self._advance:
            self._advance = advance
            self._advanced_s = now_s
            self._paused_s = 0.0
        elif not is_confirmed:
            # The store may be impaired, which another scheduler cannot help.
            self._paused_s += elapsed_s

    def unanswered_s(self, now_s: float) -> float:
        """Returns for how long the held term has not answered calls.

        It is 0 if the term answers calls or none is held.
        """
        if self._unanswered_since_s is None:
            return 0.0
        return now_s - self._unanswered_since_s

    def is_stalled(self, now_s: float, given_up_terms: int) -> bool:
        """Returns whether the held term is to be given up.

        Time without confirmed renewals does not count, up to `MAX_PAUSE_S`.

        Args:
            now_s: Current time in seconds.
            given_up_terms: Number of terms in a row, up to the held one, that
                were given up.
        """
        if self._unanswered_since_s is None:
            return False
        doublings = min(MAX_DOUBLINGS, given_up_terms // TERMS_PER_DOUBLING)
        limit_s = STALL_LIMIT_S * 2.0**doublings
        pause_s = min(MAX_PAUSE_S, self._paused_s)
        return now_s - self._advanced_s - pause_s >= limit_s

    def idle_s(self, now_s: float) -> float:
        """Returns how long ago the term last advanced towards answering calls.

        It is 0 if the term answers calls or none is held.
        """
        if self._unanswered_since_s is None:
            return 0.0
        return now_s - self._advanced_s

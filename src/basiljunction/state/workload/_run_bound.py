"""Bound on the runs of an executor that does not answer the scheduler."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RunBound:
    """Time by which all runs on an executor have ended.

    It relates to a record of a scheduling term in the store. Every instance
    reads these records, so that each one knows the time on its own clock,
    and a later scheduler need not begin to wait anew.

    Attributes:
        epoch: Epoch of the term.
        beat: Number of the term's renewal that wrote the record.
        after_s: Time from that record to the end of the last run, in seconds.
    """

    epoch: int
    beat: int
    after_s: float

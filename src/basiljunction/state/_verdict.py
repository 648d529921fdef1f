"""Results of applying log records to the state.

The fold is the pure function from log records to state. For each record it
returns a verdict: accepted, or rejected with a reason.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Result of applying one record to the state at the record's log offset.

    Attributes:
        record: The record.
        author: Instance and incarnation that appended it.
        sequence: Sequence number of the record among its author's records.
        offset: Log offset of the batch that contains it.
        wall_s: Unix time in seconds at which the author formed the batch.
        rejection_reason: Why it was rejected and had no effect; None if accepted.
    """

    record: _records.Record
    author: _records.Author
    sequence: int
    offset: int
    wall_s: float
    rejection_reason: _outcomes.Reason | None

    @property
    def is_accepted(self) -> bool:
        """Whether the record was accepted and applied to the state."""
        return self.rejection_reason is None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrigin:
    """Author, offset and time of a record, as passed to its fold handler.

    Attributes:
        author: Instance and incarnation that appended the record.
        offset: Log offset of the batch that contains it.
        wall_s: Unix time in seconds at which the author formed the batch.
    """

    author: _records.Author
    offset: int
    wall_s: float


FoldHandler = Callable[
    [_system.SystemState, Any, RecordOrigin], _outcomes.Reason | None
]
"""Applies one type of record to the state.

It either changes the state and returns None, or returns why it rejects the
record.
"""

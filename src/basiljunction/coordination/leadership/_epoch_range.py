"""Range of the epochs that scheduling terms can have."""

from basiljunction.coordination.scheduling import _limits

MAX_NUMBER = 1 << 53
"""Highest number in orders and in their answers, the last that a float holds
exactly with all before it."""

EPOCHS_ANYWHERE = MAX_NUMBER // _limits.RUNS_PER_EPOCH // 2
"""Highest epoch of a record at the start of its topic: half of those whose run
numbers and fencing tokens can be sent.

More terms than a cell can have. The other half is left for the terms that
follow a record of another writer.
"""


def max_epoch_at(offset: int) -> int:
    """Returns the highest epoch that a term's record at an offset can have.

    Each term begins with a record of its own and has the epoch after that of
    the term before, so the term that follows one in range is in range too.
    """
    return EPOCHS_ANYWHERE + offset

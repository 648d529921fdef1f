"""Advances the fold's clock, derived from the wall times in log batches.

The clock decides when ended jobs and expired intents are deleted, so one
instance whose clock jumps ahead must not advance it.
"""

from basiljunction.state import _records
from basiljunction.state import _system

_MIN_AUTHORS_FOR_OUTLIERS = 3
"""Minimum number of authors among which one wrong clock can be recognized."""

_SILENT_AUTHOR_RETENTION_S = 7 * 24 * 3600.0
"""Seconds since its last batch after which a non-member author is removed."""

_MAX_AUTHORS_UNPRUNED = 256
"""Number of authors above which silent authors are removed."""


def advance_clock(
    state: _system.SystemState, author: _records.Author, wall_s: float
) -> None:
    """Advances the fold's clock to a batch's wall time; never sets it back.

    From three authors on, the clock follows the second highest of their wall
    times, so that two clocks must be wrong to advance it too far.

    Args:
        state: Changed in place.
        author: The author of the batch.
        wall_s: The batch's wall time, in seconds since the Unix epoch.
    """
    wall_s_by_author = state.wall_s_by_author
    if wall_s <= wall_s_by_author.get(author.name, float("-inf")):
        return
    wall_s_by_author[author.name] = wall_s
    if wall_s <= state.wall_s:
        return
    if len(wall_s_by_author) < _MIN_AUTHORS_FOR_OUTLIERS:
        state.wall_s = wall_s
        return
    highest = second = float("-inf")
    for author_wall_s in wall_s_by_author.values():
        if author_wall_s > highest:
            highest, second = author_wall_s, highest
        elif author_wall_s > second:
            second = author_wall_s
    state.wall_s = max(state.wall_s, second)
    if len(wall_s_by_author) > _MAX_AUTHORS_UNPRUNED:
        _remove_silent_authors(state)


def _remove_silent_authors(state: _system.SystemState) -> None:
    """Removes all data of non-members that sent no batch for too long.

    The limit is ``_SILENT_AUTHOR_RETENTION_S``.
    """
    oldest_s = state.wall_s - _SILENT_AUTHOR_RETENTION_S
    for name, wall_s in list(state.wall_s_by_author.items()):
        if wall_s < oldest_s and name not in state.member_by_instance:
            del state.wall_s_by_author[name]
            state.sequence_by_author.pop(name, None)
            state.incarnation_by_instance.pop(name, None)
            state.address_by_instance.pop(name, None)

"""Judges by crashes of executors whether a task has caused them.

One executor may crash by itself, however often, so crashes of the same one are
no evidence.
"""

from basiljunction.state.workload import _progress

MIN_ISOLATION_EXECUTORS = 2
"""Executors that have crashed under a task before it starts in isolation: one
may crash by itself."""

MIN_CULPRIT_EXECUTORS = 3
"""Executors that have crashed under a task at which its job is given up if one
of them did so under an isolated start, which an unrelated crash rarely meets.
"""

MAX_ISOLATED_EXECUTORS = 2
"""Executors that have crashed under isolated starts of a task at which its job
is given up, where there is no third one."""

MAX_EXECUTORS = 4
"""Executors that have crashed under a task at which its job is given up even if
others may have caused it: one start more than three crashes call for."""


def needs_isolation(crashes: _progress.TaskCrashes | None) -> bool:
    """Returns whether a task has to start apart from other unproven runs."""
    if crashes is None:
        return False
    return len(crashes.executor_ids) >= MIN_ISOLATION_EXECUTORS


def is_culprit(crashes: _progress.TaskCrashes) -> bool:
    """Returns whether a task has certainly caused its crashes."""
    executor_count = len(crashes.executor_ids)
    isolated_count = len(crashes.isolated_executors)
    return (
        (isolated_count >= 1 and executor_count >= MIN_CULPRIT_EXECUTORS)
        or isolated_count >= MAX_ISOLATED_EXECUTORS
        or executor_count >= MAX_EXECUTORS
    )

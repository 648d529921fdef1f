"""Checks the invariants of batch tasks against the workers' journals.

Each check yields one line for each violation.
"""

import collections
from collections.abc import Iterator

from basiljunction.demo import _evidence


def find_concurrent_runs(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields tasks that ran in two places at once or after completing."""
    running: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
    completed: set[str] = set()
    for event in _starts_and_ends(evidence):
        place = (event.worker, event.attempt)
        if event.event == "end":
            running[event.task_id].discard(place)
            if event.state == "completed":
                completed.add(event.task_id)
            continue
        others = running[event.task_id]
        if others:
            yield f"{event.task_id} runs at {place} and {others}"
        if event.task_id in completed:
            yield f"{event.task_id} runs again at {place} after completing"
        running[event.task_id].add(place)


def find_wrong_resumes(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields attempts started twice or from the wrong checkpoint.

    The right one is the last checkpoint of the attempt before. If that
    attempt was not stopped gracefully, the one it started from is right too,
    because its last checkpoint may not have been recorded.
    """
    started: set[tuple[str, int]] = set()
    last_end_by_task: dict[str, _evidence.WorkerEvent] = {}
    for event in _starts_and_ends(evidence):
        if event.event == "end":
            last_end_by_task[event.task_id] = event
            continue
        attempt = (event.task_id, event.attempt)
        if attempt in started:
            yield f"attempt {event.attempt} of {event.task_id} started twice"
        started.add(attempt)
        before = last_end_by_task.get(event.task_id)
        if before is None or event.resumed_from == before.checkpoint:
            continue
        recorded = event.resumed_from == before.resumed_from
        if before.state == "stopped" or not recorded:
            yield (
                f"{event.task_id} resumed from {event.resumed_from!r}, "
                f"not {before.checkpoint!r}"
            )


def find_exceeded_quotas(evidence: _evidence.Evidence) -> Iterator[str]:
    """Yields customers whose running tasks exceeded their quota."""
    running: dict[tuple[str, str, int], _evidence.WorkerEvent] = {}
    for event in _starts_and_ends(evidence):
        key = (event.worker, event.task_id, event.attempt)
        if event.event == "end":
            running.pop(key, None)
            continue
        running[key] = event
        quota = evidence.quota_by_customer.get(event.customer)
        if quota is None:
            yield (
                f"{event.task_id} runs for {event.customer!r}, "
                "which has no quota"
            )
            continue
        own = [e for e in running.values() if e.customer == event.customer]
        taken = _evidence.Quota(
            millicores=sum(each.millicores for each in own),
            memory_mib=sum(each.memory_mib for each in own),
            accelerators=sum(each.accelerators for each in own),
            tasks=len(own),
        )
        exceeded = (
            taken.millicores > quota.millicores
            or taken.memory_mib > quota.memory_mib
            or taken.accelerators > quota.accelerators
            or taken.tasks > quota.tasks
        )
        if exceeded:
            yield f"{event.customer} at {event.wall_s:.3f} uses {taken}"


def _starts_and_ends(
    evidence: _evidence.Evidence,
) -> list[_evidence.WorkerEvent]:
    """Returns the start and end events of all tasks, by time."""
    chosen = [
        each
        for each in evidence.worker_events
        if each.event in {"start", "end"}
    ]
    return sorted(chosen, key=lambda each: each.wall_s)

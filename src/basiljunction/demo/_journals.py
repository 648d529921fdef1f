"""Parses the journals of the stand-ins into typed events."""

import dataclasses
from typing import Any
from typing import TypeVar

from basiljunction.demo import _evidence

EXECUTOR_EVENTS = frozenset({"begin", "end", "refused"})
"""Values of ``ExecutorEvent.event``."""

WORKER_EVENTS = frozenset({"start", "end", "refused", "checkpoint", "throttle"})
"""Values of ``WorkerEvent.event``."""

_EventT = TypeVar("_EventT")
"""Type of a typed event: ``ExecutorEvent`` or ``WorkerEvent``."""


@dataclasses.dataclass(frozen=True, slots=True)
class Journals:
    """Events of all machines of a deployment.

    Attributes:
        executor_events: Events of all executors, by time.
        worker_events: Events of all workers, by time.
    """

    executor_events: tuple[_evidence.ExecutorEvent, ...]
    worker_events: tuple[_evidence.WorkerEvent, ...]


def parse_journals(raw_by_name: dict[str, list[dict[str, Any]]]) -> Journals:
    """Returns typed events from raw journals.

    Events that concern neither a task nor a request, such as faults, are left
    out.

    Args:
        raw_by_name: Raw events by name of the worker or executor.
    """
    executor_events = []
    worker_events = []
    for name, raw_events in raw_by_name.items():
        for raw in raw_events:
            if "task_id" in raw:
                event = _make_event(_evidence.WorkerEvent, raw, worker=name)
                worker_events.append(event)
            elif "digest" in raw:
                run = _make_event(_evidence.ExecutorEvent, raw, executor=name)
                executor_events.append(run)
    return Journals(
        executor_events=tuple(sorted(executor_events, key=_wall_s)),
        worker_events=tuple(sorted(worker_events, key=_wall_s)),
    )


def _make_event(
    kind: type[_EventT], raw: dict[str, Any], **source: str
) -> _EventT:
    """Returns an event made from the known fields of a raw one.

    Args:
        kind: Type of the event.
        raw: Raw event; unknown fields are ignored.
        **source: Name of the worker or executor, by field name.
    """
    known = {each.name for each in dataclasses.fields(kind)}  # type: ignore[arg-type]  # both are dataclasses
    chosen = {name: raw[name] for name in raw.keys() & known}
    return kind(**{**chosen, **source})


def _wall_s(
    event: _evidence.ExecutorEvent | _evidence.WorkerEvent,
) -> float:
    """Returns the time of an event, as a sort key."""
    return event.wall_s

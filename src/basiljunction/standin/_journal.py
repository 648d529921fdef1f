"""Event journal of a stand-in, and the faults that are switched on."""

import threading
import time
from typing import Any


class EventJournal:
    """Append-only list in memory of the events that a stand-in recorded."""

    def __init__(self) -> None:
        """Creates an empty journal."""
        self._lock = threading.Lock()
        self._events: list[dict[str, Any]] = []

    def add(
        self, event: str, *, wall_s: float | None = None, **fields: object
    ) -> None:
        """Appends one event.

        Args:
            event: Kind of the event.
            wall_s: Wall-clock time of the event; now by default.
            **fields: Further fields of the event, as JSON values.
        """
        effective_wall_s = time.time() if wall_s is None else wall_s
        with self._lock:
            self._events.append(
                {"wall_s": effective_wall_s, "event": event, **fields}
            )

    def events(self) -> list[dict[str, Any]]:
        """Returns a copy of the events so far."""
        with self._lock:
            return list(self._events)


class FaultSwitches:
    """Faults of a stand-in that are switched on for a limited time."""

    def __init__(self) -> None:
        """Creates the switches with all faults off."""
        self._lock = threading.Lock()
        self._end_and_value_by_kind: dict[str, tuple[float, float]] = {}

    def switch_on(self, kind: str, *, for_s: float, value: float = 0.0) -> None:
        """Switches a fault on, or off if ``for_s`` is 0.

        Args:
            kind: Name of the fault.
            for_s: Duration of the fault, in seconds.
            value: Parameter of the fault, such as a delay in seconds.
        """
        with self._lock:
            self._end_and_value_by_kind[kind] = (
                time.monotonic() + for_s,
                value,
            )

    def active_value(self, kind: str) -> float | None:
        """Returns the parameter of a fault that is on, or None if it is off."""
        with self._lock:
            until_s, value = self._end_and_value_by_kind.get(kind, (0.0, 0.0))
        return value if time.monotonic() < until_s else None

    def is_on(self, kind: str) -> bool:
        """Returns whether a fault is switched on now."""
        return self.active_value(kind) is not None

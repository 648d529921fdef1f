"""Builders of lines of a scheduler's log."""

import datetime as dt
import json
from typing import Any

START = dt.datetime(2026, 3, 2, 8, 0, 0, tzinfo=dt.UTC)
"""Time of the second 0 of a built log; a whole number of windows."""

TASK = "5c1d5eb1208f889d/0.0.1"
"""Id of the task that most lines are about."""


def line(at_s: float, event: str, **fields: Any) -> str:
    """Returns a line that was logged some seconds after the start."""
    when = START + dt.timedelta(seconds=at_s)
    return json.dumps(
        {
            "epoch": 1,
            **fields,
            "event": event,
            "instance": "front-1",
            "timestamp": when.isoformat(),
        }
    )


def started(at_s: float, run: int, **fields: Any) -> str:
    """Returns the line of the order to start a run of the task."""
    return line(
        at_s,
        "task.started",
        **{"task": TASK, "run": run, "waited_s": 0.0} | fields,
    )


def not_started(at_s: float, run: int, result: str = "unknown") -> str:
    """Returns the line of a start without success, with the id as there."""
    return line(
        at_s,
        "task.not-started",
        task=TASK.replace("/", "."),
        run=run,
        result=result,
    )


def of_run(at_s: float, event: str, run: int, **fields: Any) -> str:
    """Returns a line of another event of a run of the task."""
    return line(at_s, event, task=TASK, run=run, **fields)

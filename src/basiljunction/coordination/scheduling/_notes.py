"""Log entries for the scheduler's decisions."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A decision or a change of state of the scheduler, to be logged.

    Attributes:
        event: Name of the log event, such as ``task.started``.
        value_by_field: Log fields: ids, the inputs of the decision and its
            outcome.
    """

    event: str
    value_by_field: dict[str, str | int | float | bool]

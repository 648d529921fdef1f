"""Compares two documents field by field."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class FieldChange:
    """A field whose value differs between two documents.

    Attributes:
        field: Dotted path of the field; empty for the whole document.
        before: Value in the first document; None if it has no such field.
        after: Value in the second document; None if it has no such field.
    """

    field: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Returns the path, the old and the new value as one line."""
        return f"{self.field}: {self.before!r} -> {self.after!r}"


def diff_documents(
    before: Any, after: Any, field: str = ""
) -> list[FieldChange]:  # noqa: ANN401 - any JSON value
    """Returns the fields that differ between two JSON values.

    Objects are compared key by key; lists are compared as a whole.

    Args:
        before: The first value.
        after: The second value.
        field: Dotted path of both values; empty for a whole document.
    """
    if isinstance(before, dict) and isinstance(after, dict):
        return [
            change
            for key in {**before, **after}
            for change in diff_documents(
                before.get(key),
                after.get(key),
                f"{field}.{key}" if field else str(key),
            )
        ]
    if before == after:
        return []
    return [FieldChange(field, before, after)]

"""Form in which the store keeps how many run numbers all terms have used."""

from typing import Any

import pydantic

from basiljunction.state.workload import _records

MAX_FURTHER_BLOCKS = 1 << 31
"""Most further blocks in a record at the start of its topic: a quarter of those
whose run numbers stay below 2**53; epochs have half of them.

More than all terms of a cell can use.
"""

_adapter = pydantic.TypeAdapter(_records.RunNumbersRecord)
"""Converts the record to and from JSON."""


def encode(record: _records.RunNumbersRecord) -> Any:  # noqa: ANN401 - any JSON value
    """Encodes a record as a JSON document."""
    return _adapter.dump_python(record, mode="json")


def decode(
    document: Any,  # noqa: ANN401 - any JSON value
    offset: int | None,
) -> _records.RunNumbersRecord:
    """Decodes a record.

    Another writer may leave a number that is too high. Each further block is a
    record of its own, so that the highest possible number rises with the
    offset; a later term goes on above it.

    Args:
        document: The JSON document.
        offset: Offset of the record; None if that is not known.

    Raises:
        ValueError: The document is no such record.
    """
    blocks = _adapter.validate_python(document).further_blocks
    if blocks < 0:
        raise ValueError(f"number of further blocks {blocks} is negative")
    return _records.RunNumbersRecord(
        min(blocks, MAX_FURTHER_BLOCKS + (offset or 0))
    )

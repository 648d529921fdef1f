"""Tests of the stored number of blocks of run numbers."""

import pytest

from basiljunction.protocol import _errors
from basiljunction.protocol import _job_records
from basiljunction.protocol import _run_numbers_document
from basiljunction.state.workload import _records


def _decode(blocks: int, offset: int) -> _records.Record:
    """Returns what is read of a record at an offset."""
    (item,) = _job_records.encode_record(_records.RunNumbersRecord(blocks))
    return _job_records.decode_record(
        _job_records.KeyedRecord(item.key, item.value, offset)
    )


@pytest.mark.parametrize("blocks", [0, 3])
def test_a_record_is_read_as_it_was_written(blocks: int) -> None:
    assert _decode(blocks, 7) == _records.RunNumbersRecord(blocks)


def test_a_number_that_is_too_high_is_read_as_the_highest() -> None:
    highest = _run_numbers_document.MAX_FURTHER_BLOCKS + 7
    assert _decode(10**400, 7) == _records.RunNumbersRecord(highest)
    assert _decode(highest + 1, 8) == _records.RunNumbersRecord(highest + 1)


def test_a_negative_number_is_refused() -> None:
    with pytest.raises(_errors.DecodeError, match="-1"):
        _decode(-1, 7)

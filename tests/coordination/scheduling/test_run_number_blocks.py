"""Tests of the run numbers of a term that uses up those of its epoch."""

import pytest

from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _run_numbers
from basiljunction.state.workload import _records

_BLOCK = 4
"""Run numbers of a block, few enough to use them up."""


@pytest.fixture(autouse=True)
def _few_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_limits, "RUNS_PER_EPOCH", _BLOCK)


class TestFurtherBlocks:
    """A term stores a further block before it uses its numbers."""

    def test_a_number_waits_for_the_record_of_its_block(self) -> None:
        numbers = _run_numbers.RunNumbers(1)
        records: list[_records.Record] = []
        taken = [numbers.take(records) for _ in range(_BLOCK)]
        assert all(map(numbers.may_be_sent, taken))
        assert not records
        further = numbers.take(records)
        assert records == [_records.RunNumbersRecord(1)]
        assert not numbers.may_be_sent(further)
        numbers.handle_stored(records)
        assert numbers.may_be_sent(further)

    def test_a_later_term_goes_on_above(self) -> None:
        earlier = _run_numbers.RunNumbers(1)
        records: list[_records.Record] = []
        last = max(earlier.take(records) for _ in range(3 * _BLOCK))
        later = _run_numbers.RunNumbers(2)
        later.restore(records)
        begun: list[_records.Record] = []
        first = later.take(begun)
        assert first > last
        assert later.may_be_sent(first)
        assert later.is_of_earlier_term(last)
        assert not later.is_of_earlier_term(first)
        assert not begun

"""Tests of rosters that are larger than the store's largest record."""

import dataclasses

import pytest

from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.protocol import _roster_parts
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _records
import workload_builders as build

MAX_RECORD_BYTES = 262_144
"""Largest record that the store takes, in bytes."""

_MANY = 3_000


class _KeyedStore:
    """The newest value by key, written by one scheduler after another."""

    def __init__(self) -> None:
        self.value_by_key: dict[str, bytes] = {}
        self.divider = _roster_parts.RosterDivider(MAX_RECORD_BYTES)

    def write(
        self,
        executors: list[_executor.ListedExecutor],
        limit: int | None = None,
    ) -> int:
        """Writes the first records of a roster; returns the written bytes."""
        record = _records.ExecutorRosterRecord(tuple(executors))
        items = self.divider.encode(record)[:limit]
        for item in items:
            assert _store.record_bytes(item) <= MAX_RECORD_BYTES
            self.value_by_key[item.key] = item.value
            if not item.value:
                del self.value_by_key[item.key]
        return sum(len(item.value) for item in items)

    def take_over(self) -> list[_executor.ListedExecutor]:
        """Returns what the next scheduler, which writes from now on, reads."""
        self.divider = _roster_parts.RosterDivider(MAX_RECORD_BYTES)
        (record,) = self.divider.restore(
            _job_records.decode_record(_job_records.KeyedRecord(key, value))
            for key, value in self.value_by_key.items()
        )
        assert isinstance(record, _records.ExecutorRosterRecord)
        return sorted(record.executors, key=lambda each: each.id)


def _executors(count: int) -> list[_executor.ListedExecutor]:
    """Returns entries with names as long as those of the sites, by id."""
    return [
        dataclasses.replace(
            build.executor_entry(f"executor-{number:08}"),
            labels=("x" * 40, "rack-" + "y" * 40),
        )
        for number in range(count)
    ]


class TestLargeRosters:
    """A roster of any size is stored in records that the store takes."""

    def test_a_small_one_is_read_by_earlier_versions(self) -> None:
        store = _KeyedStore()
        store.write(_executors(100))
        (whole,) = _job_records.encode_record(
            _records.ExecutorRosterRecord(tuple(_executors(100)))
        )
        assert store.value_by_key == {whole.key: whole.value}

    def test_all_executors_are_read_back(self) -> None:
        # The store refused 278,573 bytes of 1,000 executors.
        store = _KeyedStore()
        store.write(_executors(_MANY))
        assert len(store.value_by_key) > 1
        assert store.take_over() == _executors(_MANY)

    def test_a_change_writes_one_part(self) -> None:
        store = _KeyedStore()
        executors = _executors(_MANY)
        store.write(executors)
        executors[7] = dataclasses.replace(executors[7], has_restarted=True)
        assert 0 < store.write(executors) < MAX_RECORD_BYTES / 8
        assert store.take_over() == executors

    @pytest.mark.parametrize("before", [100, _MANY - 1])
    @pytest.mark.parametrize("limit", [1, 5, 64])
    def test_a_write_that_is_cut_off_loses_no_executor(
        self, before: int, limit: int
    ) -> None:
        store = _KeyedStore()
        store.write(_executors(before))
        store.take_over()
        store.write(_executors(_MANY), limit=limit)
        read = store.take_over()
        assert {e.id for e in _executors(before)} <= {e.id for e in read}
        store.write(_executors(_MANY))
        assert store.take_over() == _executors(_MANY)

    def test_one_that_fits_again_deletes_the_parts(self) -> None:
        store = _KeyedStore()
        store.write(_executors(_MANY))
        store.take_over()
        store.write(_executors(3))
        assert set(store.value_by_key) == {"roster"}
        store.write(_executors(_MANY))
        assert store.take_over() == _executors(_MANY)

    def test_a_missing_part_loses_no_other(self) -> None:
        store = _KeyedStore()
        store.write(_executors(_MANY))
        del store.value_by_key["roster.5"]
        read = store.take_over()
        assert _MANY * 0.9 < len(read) < _MANY

    def test_without_their_list_the_parts_count(self) -> None:
        store = _KeyedStore()
        store.write(_executors(_MANY))
        del store.value_by_key["roster"]
        assert store.take_over() == _executors(_MANY)

    def test_one_that_was_not_stored_is_written_in_full(self) -> None:
        store = _KeyedStore()
        executors = _executors(_MANY)
        store.write(executors, limit=0)
        store.divider.forget_writes()
        store.write(executors)
        assert store.take_over() == executors

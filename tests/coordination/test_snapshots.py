"""Tests of writing snapshots and finding the newest complete one."""

import dataclasses

import pytest

from basiljunction.coordination import _events
from basiljunction.coordination import _restore
from basiljunction.coordination import _snapshot_reader
from basiljunction.coordination import _snapshot_writer
from basiljunction.coordination import _state_exchange
from basiljunction.protocol import _snapshot_codec
from basiljunction.state import _fold_snapshots
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
import builders

INSTANCE_NAMES = ("a", "b", "c")


class Writers:
    """Snapshot writers of three instances on one log."""

    def __init__(self) -> None:
        self.log = builders.LogBuilder()
        for name in INSTANCE_NAMES:
            self.log.append(builders.instance_joined(name), author=name)
        self.log.append(builders.contract_published())
        self.now = _time.Now(100.0, 1000.0)
        self.writer_by_name = {
            name: _snapshot_writer.SnapshotWriter(
                instance=name, every_entries=4, chunk_bytes=300
            )
            for name in INSTANCE_NAMES
        }

    def step(self, *alive: str) -> int:
        """Lets instances append what is due; returns the append count."""
        self.now = _time.Now(self.now.boot_s + 1, self.now.wall_s + 1)
        appended = 0
        for name in alive or INSTANCE_NAMES:
            actions = self.writer_by_name[name].next_append(
                self.log.state, self.now
            )
            for action in actions:
                appended += 1
                self._append(name, action)
        return appended

    def run_until_finished(self, *alive: str) -> None:
        """Steps until a snapshot is finished."""
        for _ in range(60):
            self.step(*alive)
            if self.log.state.snapshots.finished_offset:
                return
        raise AssertionError("no snapshot was finished")

    def _append(self, name: str, action: _events.AppendRecords) -> None:
        """Appends a record and notifies every writer of it."""
        (record,) = action.records
        verdict = self.log.append(record, author=name, wall_s=self.now.wall_s)
        for writer in self.writer_by_name.values():
            writer.process_verdict(
                self.log.state, verdict, _snapshot_codec.encode_state
            )

    @property
    def opener(self) -> str:
        """The instance that opened the unfinished snapshot."""
        return self.log.state.snapshots.open_id.partition("/")[0]


def _find_newest_snapshot(
    entries: list[_records.LogEntry],
) -> _snapshot_reader.CompleteSnapshot | None:
    """Returns the newest complete snapshot in the entries."""
    reader = _snapshot_reader.SnapshotReader()
    reader.scan(entries)
    return reader.newest


class TestWriter:
    """One instance writes a snapshot, and another continues if it dies."""

    def test_restores_the_state_at_its_offset(self) -> None:
        writers = Writers()
        writers.run_until_finished()
        found = _find_newest_snapshot(writers.log.entries)
        assert found is not None
        state = _snapshot_codec.decode_state(found.payload)
        assert state.next_offset == found.next_offset
        rest = builders.LogBuilder()
        rest.state = state
        for entry in writers.log.entries[found.next_offset :]:
            builders.fold_entry(state, entry)
        assert state == writers.log.state

    def test_one_writes_at_a_time(self) -> None:
        writers = Writers()
        writers.step()
        begun = [
            record
            for entry in writers.log.entries
            for record in entry.batch.records
            if isinstance(record, _records.SnapshotBegun)
        ]
        assert len(begun) == 1
        assert writers.step() == 1

    def test_stand_by_goes_on(self) -> None:
        writers = Writers()
        writers.step()
        writers.step()
        others = [name for name in INSTANCE_NAMES if name != writers.opener]
        writers.run_until_finished(*others)
        assert _find_newest_snapshot(writers.log.entries) is not None

    def test_idle_log_is_written_again_by_age(self) -> None:
        writers = Writers()
        writers.run_until_finished()
        finished = writers.log.state.snapshots.finished_offset
        for writer in writers.writer_by_name.values():
            writer._every_entries = 10**9
        writers.now = _time.Now(
            writers.now.boot_s,
            writers.now.wall_s + _snapshot_writer.MAX_SNAPSHOT_AGE_S,
        )
        for _ in range(60):
            writers.step()
        assert writers.log.state.snapshots.finished_offset > finished


class TestTorn:
    """A snapshot with a missing or damaged part is never used."""

    def _snapshot_entries(self) -> list[_records.LogEntry]:
        """Returns the log entries of one finished snapshot."""
        writers = Writers()
        writers.run_until_finished()
        snapshot_id = next(
            record.snapshot_id
            for entry in writers.log.entries
            for record in entry.batch.records
            if isinstance(record, _records.SnapshotFinished)
        )
        return [
            entry
            for entry in writers.log.entries
            if getattr(entry.batch.records[0], "snapshot_id", "") == snapshot_id
        ]

    def test_whole_one_is_found(self) -> None:
        assert _find_newest_snapshot(self._snapshot_entries()) is not None

    def test_any_part_missing(self) -> None:
        entries = self._snapshot_entries()
        for index in range(len(entries)):
            assert (
                _find_newest_snapshot(entries[:index] + entries[index + 1 :])
                is None
            )

    def test_any_chunk_damaged(self) -> None:
        entries = self._snapshot_entries()
        for index, entry in enumerate(entries):
            (record,) = entry.batch.records
            if not isinstance(record, _records.SnapshotChunk):
                continue
            payload = b"?" + record.payload[1:]
            for checksum in (
                record.checksum,
                _fold_snapshots.compute_checksum(payload),
            ):
                damaged = dataclasses.replace(
                    record, payload=payload, checksum=checksum
                )
                batch = dataclasses.replace(entry.batch, records=(damaged,))
                changed = [*entries]
                changed[index] = dataclasses.replace(entry, batch=batch)
                assert _find_newest_snapshot(changed) is None


class TestRestore:
    """A new instance installs a complete state or reports its absence."""

    def _make_restore(self) -> _restore.StateRestorer:
        """Returns a restore that has read no entries."""
        seeker = _state_exchange.StateRequester("new", ("127.0.0.1:1",))
        return _restore.StateRestorer(
            decode=_snapshot_codec.decode_state,
            seeker=seeker,
            started_boot_s=0.0,
        )

    def _read_log(
        self,
        restore: _restore.StateRestorer,
        entries: list[_records.LogEntry],
        state: _system.SystemState,
    ) -> list[object]:
        """Passes the entries to a restore as the log after a truncation."""
        head = entries[-1].offset + 1
        restore.start_snapshot_scan(
            _events.LogTruncated(entries[0].offset, head)
        )
        event = _events.EntriesRead(tuple(entries), (), 1.0, head)
        return restore.scan_entries(state, event, _time.Now(1.0, 1.0))

    def test_snapshot_is_installed(self) -> None:
        writers = Writers()
        writers.run_until_finished()
        entries = writers.log.entries[len(INSTANCE_NAMES) :]
        restore = self._make_restore()
        (action,) = self._read_log(restore, entries, _system.SystemState())
        assert isinstance(action, _restore.InstallState)
        assert "kowhai" in action.state.contract_by_customer
        assert not restore.is_scanning

    def test_older_state_never_replaces_newer(self) -> None:
        writers = Writers()
        writers.run_until_finished()
        newer = _system.SystemState(next_offset=10**6)
        actions = self._read_log(
            self._make_restore(), writers.log.entries[3:], newer
        )
        assert not any(
            isinstance(action, _restore.InstallState) for action in actions
        )

    def test_without_any_it_complains_and_asks_a_peer(self) -> None:
        writers = Writers()
        restore = self._make_restore()
        state = _system.SystemState()
        (action,) = self._read_log(restore, writers.log.entries[1:], state)
        assert isinstance(action, _restore.ReportUnusableState)
        assert restore.is_scanning
        (ask,) = restore.request_peer_state(
            state, _time.Now(2.0, 2.0), ready=False
        )
        assert isinstance(ask, _events.SendPeer)

    def test_peer_state_is_taken(self) -> None:
        writers = Writers()
        giver = _state_exchange.StateProvider("a", _snapshot_codec.encode_state)
        restore = self._make_restore()
        state = _system.SystemState()
        now = _time.Now(100.0, 100.0)
        actions: list[object] = restore.request_peer_state(
            state, now, ready=False
        )
        while isinstance(actions[0], _events.SendPeer):
            wanted = actions[0].message
            (answer,) = giver.answer_request(writers.log.state, wanted, now)  # type: ignore[arg-type]  # the seeker sends only this type
            actions = restore.add_peer_chunk(
                state,
                answer.message,  # type: ignore[arg-type]  # the giver sends only chunks
                now,
                ready=False,
            )
        (install,) = actions
        assert isinstance(install, _restore.InstallState)
        assert install.state == writers.log.state


class TestCodec:
    """Decoding a damaged state is an error, never an empty state."""

    @pytest.mark.parametrize("payload", [b"", b"x", b"x\x9c\x03\x00"])
    def test_damaged(self, payload: bytes) -> None:
        with pytest.raises(ValueError, match="snapshot"):
            _snapshot_codec.decode_state(payload)

    def test_order_of_suspicions_does_not_show(self) -> None:
        encoded = set()
        for order in ("ab", "ba"):
            log = builders.LogBuilder()
            for name in INSTANCE_NAMES:
                log.append(builders.instance_joined(name), author=name)
            for name in order:
                log.append(_records.Suspected("c", 1), author=name)
            log.state.wall_s_by_author.clear()
            log.state.sequence_by_author.clear()
            encoded.add(_snapshot_codec.encode_state(log.state))
        assert len(encoded) == 1

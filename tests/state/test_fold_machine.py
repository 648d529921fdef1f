"""Property tests of the fold over random sequences of records.

The state has to be the same if the log is cut by a snapshot, repeats a batch
or is encoded and decoded.
"""

import hypothesis
from hypothesis import strategies as st

from basiljunction.protocol import _codec
from basiljunction.protocol import _snapshot_codec
from basiljunction.state import _records
from basiljunction.state import _system
import builders

_NAMES = ("a", "b", "c", "d")
_TASKS = ("job-0/day", "job-1/day")

_names = st.sampled_from(_NAMES)
_incarnations = st.integers(1, 3)
_small_integers = st.integers(0, 3)

_any_record = st.one_of(
    st.builds(
        lambda name, incarnation: builders.instance_joined(
            name, incarnation=incarnation, peer_address=f"127.0.0.1:{name}"
        ),
        _names,
        _incarnations,
    ),
    st.builds(_records.InstanceLeaving, _names, _incarnations),
    st.builds(_records.InstanceLeft, _names, _incarnations),
    st.builds(_records.Suspected, _names, _incarnations),
    st.builds(_records.SuspicionWithdrawn, _names, _incarnations),
    st.builds(_records.TakenOver, _names, _incarnations),
    st.builds(
        _records.ElectorsChanged,
        _names,
        _incarnations,
        st.lists(st.sampled_from(["a/1", "b/1", "c/1", "d/1"])).map(tuple),
    ),
    st.just(builders.machine_registered("worker-1")),
    st.builds(
        _records.MachineAssigned,
        st.just("worker-1"),
        _names,
        _incarnations,
        _small_integers,
    ),
    st.builds(
        lambda index: _records.JobSubmitted(builders.job(f"job-{index}")),
        st.integers(0, 1),
    ),
    st.builds(
        _records.TaskClaimed,
        st.sampled_from(_TASKS),
        _small_integers,
        st.just("worker-1"),
        _small_integers,
    ),
    st.builds(
        _records.TaskEvicted,
        st.sampled_from(_TASKS),
        _small_integers,
        st.just("checkpoint"),
        st.just(1.0),
    ),
    st.builds(
        _records.TaskCompleted,
        st.sampled_from(_TASKS),
        _small_integers,
        st.just(1.0),
    ),
    st.builds(
        _records.IntentRecorded,
        st.just("kowhai"),
        st.sampled_from("xy"),
        st.sampled_from("pq"),
        st.sampled_from([500.0, 2000.0]),
    ),
    st.builds(_records.SnapshotBegun, st.sampled_from("st"), st.just(0)),
)

_append_lists = st.lists(
    st.tuples(_names, _incarnations, _any_record, st.booleans()),
    max_size=30,
)

_Appends = list[tuple[str, int, _records.Record, bool]]


def _entries(appends: _Appends) -> list[_records.LogEntry]:
    """Returns a log of the appends, the flagged ones appended twice."""
    log = builders.LogBuilder()
    log.append(builders.contract_published())
    for author, incarnation, record, twice in appends:
        log.append(record, author=author, incarnation=incarnation)
        if twice:
            again = log.entries[-1].batch
            log.entries.append(_records.LogEntry(len(log.entries), again))
            builders.fold_entry(log.state, log.entries[-1])
    return log.entries


def _folded(entries: list[_records.LogEntry]) -> _system.SystemState:
    """Returns the state after folding the entries in order."""
    state = _system.SystemState()
    for entry in entries:
        builders.fold_entry(state, entry)
    return state


class TestFold:
    """The folded state depends on the accepted records only."""

    @hypothesis.given(_append_lists, st.data())
    @hypothesis.settings(max_examples=80, deadline=None, derandomize=True)
    def test_snapshot_and_rest_equal_the_whole(
        self, appends: _Appends, data: st.DataObject
    ) -> None:
        entries = _entries(appends)
        cut = data.draw(st.integers(0, len(entries)))
        snapshot = _snapshot_codec.encode_state(_folded(entries[:cut]))
        state = _snapshot_codec.decode_state(snapshot)
        for entry in entries[max(0, cut - 3) :]:
            builders.fold_entry(state, entry)
        whole = _folded(entries)
        assert state == whole
        assert _snapshot_codec.encode_state(
            state
        ) == _snapshot_codec.encode_state(whole)

    @hypothesis.given(_append_lists)
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_repeated_appends_change_nothing(self, appends: _Appends) -> None:
        once = [(name, inc, record, False) for name, inc, record, _ in appends]
        repeated = _folded(_entries(appends))
        single = _folded(_entries(once))
        for state in (repeated, single):
            state.next_offset = 0
            for machine in state.machine_by_id.values():
                machine.assigned_offset = 0
            for contract in state.contract_by_customer.values():
                contract.offset = 0
            state.snapshots = _system.SnapshotProgress()
        assert repeated == single

    @hypothesis.given(_append_lists)
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_wire_changes_nothing(self, appends: _Appends) -> None:
        entries = _entries(appends)
        decoded = [
            _records.LogEntry(
                entry.offset,
                _codec.decode_batch(_codec.encode_batch(entry.batch)),
            )
            for entry in entries
        ]
        assert _folded(decoded) == _folded(entries)

    @hypothesis.given(_append_lists)
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    def test_one_owner_and_growing_epochs(self, appends: _Appends) -> None:
        state = _system.SystemState()
        epoch = 0
        version = 0
        for entry in _entries(appends):
            builders.fold_entry(state, entry)
            for machine in state.machine_by_id.values():
                assert machine.epoch >= epoch
                epoch = machine.epoch
                if machine.owner:
                    owner = state.member_by_instance[machine.owner]
                    assert owner.incarnation == machine.owner_incarnation
            in_force = state.contract_by_customer["kowhai"].contract
            assert in_force.version >= version
            version = in_force.version

"""Tests of the state task with its log, peers and threads."""

from collections.abc import Iterator

import pytest

from basiljunction.bench import _fleet
from basiljunction.state import _records
from basiljunction.transport import _log_client
from basiljunction.transport import _state_messages
import builders

WITHIN_S = 30.0


class ForgetfulLog(_fleet.MemoryLog):
    """Loses the answers to its first appends; they take effect."""

    def __init__(self, lost: int) -> None:
        super().__init__()
        self._lost = lost

    def append(self, payload: bytes) -> int:
        offset = super().append(payload)
        if self._lost > 0:
            self._lost -= 1
            raise _log_client.LogCallError("the answer was lost")
        return offset


def _running(size: int, log: _fleet.MemoryLog) -> _fleet.Fleet:
    fleet = _fleet.Fleet(size, seed=1, log=log)
    fleet.start()
    _fleet.wait_until(
        lambda: _fleet.is_membership_complete(fleet), within_s=WITHIN_S
    )
    return fleet


@pytest.fixture
def fleet() -> Iterator[_fleet.Fleet]:
    running = _running(1, _fleet.MemoryLog())
    yield running
    running.stop()


class TestAppend:
    """Whoever asks for an append learns what became of it."""

    def test_lost_answers_are_settled_by_reading(self) -> None:
        fleet = _running(1, ForgetfulLog(lost=4))
        try:
            instance = fleet.instances[0]
            reply = instance.append(builders.published())
            (verdict,) = reply.result(WITHIN_S)
            assert verdict.is_accepted
            version = instance.query(
                lambda state: (
                    state.contract_by_customer["kowhai"].contract.version
                )
            )
            assert version == 1
        finally:
            fleet.stop()

    def test_both_verdicts_of_racing_operators(
        self, fleet: _fleet.Fleet
    ) -> None:
        instance = fleet.instances[0]
        second = builders.published(publish_id="publish-2", operator="ben")
        replies = [
            instance.append(builders.published()),
            instance.append(second),
        ]
        accepted = [reply.result(WITHIN_S)[0].is_accepted for reply in replies]
        assert accepted == [True, False]

    def test_outage_ends_in_an_error_that_says_which(
        self, fleet: _fleet.Fleet
    ) -> None:
        instance = fleet.instances[0]
        fleet.log.is_down = True
        reply = instance.append(builders.published(), within_s=0.3)
        error = reply.exception(WITHIN_S)
        assert isinstance(error, _state_messages.AppendUnsettledError)
        late = instance.append(builders.published(), within_s=0.3)
        error = late.exception(WITHIN_S)
        assert isinstance(error, _state_messages.AppendDroppedError)


class TestRestore:
    """A new instance starts from what is left, or stays not ready."""

    def test_from_a_snapshot(self) -> None:
        log = _fleet.MemoryLog()
        options = _fleet.FleetOptions(snapshot_every_entries=6)
        fleet = _fleet.Fleet(1, seed=1, options=options, log=log)
        fleet.start()
        _fleet.wait_until(
            lambda: _fleet.is_membership_complete(fleet), within_s=WITHIN_S
        )
        try:
            instance = fleet.instances[0]
            instance.append(builders.published()).result(WITHIN_S)
            for index in range(6):
                key = str(index)
                instance.append(
                    _records.IntentRecorded("kowhai", key, key, 1e12)
                ).result(WITHIN_S)
            _fleet.wait_until(
                lambda: instance.query(
                    lambda state: state.snapshots.finished_offset > 0
                ),
                within_s=WITHIN_S,
            )
            begun = instance.query(
                lambda state: state.snapshots.finished_offset - 1
            )
            log.truncate(begun)
            newcomer = fleet.make_instance("entry-2")
            newcomer.start()
            fleet.instances.append(newcomer)
            _fleet.wait_until(
                lambda: (
                    newcomer.urgent.view is not None
                    and newcomer.urgent.view.ready
                ),
                within_s=WITHIN_S,
            )
            customers = newcomer.query(
                lambda state: set(state.contract_by_customer)
            )
            assert customers == {"kowhai"}
        finally:
            fleet.stop()

    def test_without_a_snapshot_it_is_never_ready(self) -> None:
        log = _fleet.MemoryLog()
        log.replace_entries(100, [])
        fleet = _fleet.Fleet(1, seed=1, log=log)
        fleet.start()
        try:
            instance = fleet.instances[0]
            _fleet.wait_until(
                lambda: instance.urgent.view is not None, within_s=WITHIN_S
            )
            view = instance.urgent.view
            assert view is not None
            assert not view.ready
            assert log.head == 100
        finally:
            fleet.stop()


class TestSpread:
    """An instance whose own reads fail follows its peers."""

    def test_publication_arrives_from_a_peer(self) -> None:
        fleet = _running(3, _fleet.MemoryLog())
        try:
            first, *_, cut = fleet.instances
            cut.log.delay_s = 5.0
            first.append(builders.published())
            _fleet.wait_until(
                lambda: (
                    cut.urgent.view is not None
                    and "kowhai" in cut.urgent.view.contract_by_customer
                ),
                within_s=4.0,
            )
        finally:
            fleet.stop()

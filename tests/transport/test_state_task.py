"""Tests of the state task with a log in memory, peers and threads."""

from collections.abc import Iterator

import pytest

from basiljunction.bench import _fleet
from basiljunction.state import _records
from basiljunction.transport import _log_client
from basiljunction.transport import _state_messages
import builders

MAX_WAIT_S = 30.0  # timeout of each wait in these tests


class AnswerLosingLog(_fleet.MemoryLog):
    """Applies its first appends but loses the answers to them."""

    def __init__(self, answers_to_lose: int) -> None:
        super().__init__()
        self._answers_to_lose = answers_to_lose

    def append(self, payload: bytes) -> int:
        offset = super().append(payload)
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            raise _log_client.LogCallError("the answer was lost")
        return offset


def _start_settled_fleet(size: int, log: _fleet.MemoryLog) -> _fleet.Fleet:
    """Starts a fleet and waits until it has settled."""
    fleet = _fleet.Fleet(size, seed=1, log=log)
    fleet.start()
    _fleet.wait_until(
        lambda: _fleet.is_membership_complete(fleet), within_s=MAX_WAIT_S
    )
    return fleet


@pytest.fixture
def fleet() -> Iterator[_fleet.Fleet]:
    """Provides a settled fleet of one instance."""
    started = _start_settled_fleet(1, _fleet.MemoryLog())
    yield started
    started.stop()


class TestAppend:
    """Each append ends in a verdict or in an error that names its outcome."""

    def test_lost_answers_are_settled_by_reading(self) -> None:
        fleet = _start_settled_fleet(1, AnswerLosingLog(answers_to_lose=4))
        try:
            instance = fleet.instances[0]
            reply = instance.append(builders.contract_published())
            (verdict,) = reply.result(MAX_WAIT_S)
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
        second = builders.contract_published(
            publish_id="publish-2", operator="ben"
        )
        replies = [
            instance.append(builders.contract_published()),
            instance.append(second),
        ]
        accepted = [
            reply.result(MAX_WAIT_S)[0].is_accepted for reply in replies
        ]
        assert accepted == [True, False]

    def test_outage_ends_in_an_error_that_says_which(
        self, fleet: _fleet.Fleet
    ) -> None:
        instance = fleet.instances[0]
        fleet.log.is_down = True
        reply = instance.append(builders.contract_published(), within_s=0.3)
        error = reply.exception(MAX_WAIT_S)
        assert isinstance(error, _state_messages.AppendUnsettledError)
        late = instance.append(builders.contract_published(), within_s=0.3)
        error = late.exception(MAX_WAIT_S)
        assert isinstance(error, _state_messages.AppendDroppedError)


class TestRestore:
    """A new instance restores a snapshot; without one it is never ready.

    In both tests the log no longer has the entries from the start.
    """

    def test_from_a_snapshot(self) -> None:
        log = _fleet.MemoryLog()
        options = _fleet.FleetOptions(snapshot_every_entries=6)
        fleet = _fleet.Fleet(1, seed=1, options=options, log=log)
        fleet.start()
        _fleet.wait_until(
            lambda: _fleet.is_membership_complete(fleet), within_s=MAX_WAIT_S
        )
        try:
            instance = fleet.instances[0]
            instance.append(builders.contract_published()).result(MAX_WAIT_S)
            for index in range(6):
                key = str(index)
                instance.append(
                    _records.IntentRecorded("kowhai", key, key, 1e12)
                ).result(MAX_WAIT_S)
            _fleet.wait_until(
                lambda: instance.query(
                    lambda state: state.snapshots.finished_offset > 0
                ),
                within_s=MAX_WAIT_S,
            )
            snapshot_offset = instance.query(
                lambda state: state.snapshots.finished_offset - 1
            )
            log.truncate(snapshot_offset)
            newcomer = fleet.make_instance("entry-2")
            newcomer.start()
            fleet.instances.append(newcomer)
            _fleet.wait_until(
                lambda: (
                    newcomer.urgent.view is not None
                    and newcomer.urgent.view.ready
                ),
                within_s=MAX_WAIT_S,
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
                lambda: instance.urgent.view is not None, within_s=MAX_WAIT_S
            )
            view = instance.urgent.view
            assert view is not None
            assert not view.ready
            assert log.head == 100
        finally:
            fleet.stop()


class TestSpread:
    """An instance that cannot read the log gets its records from peers."""

    def test_publication_arrives_from_a_peer(self) -> None:
        fleet = _start_settled_fleet(3, _fleet.MemoryLog())
        try:
            first, *_, isolated = fleet.instances
            isolated.log.delay_s = 5.0
            first.append(builders.contract_published())
            _fleet.wait_until(
                lambda: (
                    isolated.urgent.view is not None
                    and "kowhai" in isolated.urgent.view.contract_by_customer
                ),
                within_s=4.0,
            )
        finally:
            fleet.stop()

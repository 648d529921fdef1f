"""Tests of the fold rules for membership and ownership."""

from collections.abc import Callable

import pytest

from basiljunction.state import _fold_ownership
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.state import _system
import builders

_Reason = _outcomes.Reason


def _make_log_with_members(*instances: str) -> builders.LogBuilder:
    """Returns a log in which the instances are electors of each other.

    The first instance owns worker-1.
    """
    log = builders.LogBuilder()
    for name in instances:
        address = f"127.0.0.1:{name}"
        log.append(
            builders.instance_joined(name, peer_address=address), author=name
        )
    seats = tuple(_fold_ownership.format_seat(name, 1) for name in instances)
    for name in instances:
        log.append(_records.ElectorsChanged(name, 1, seats), author=name)
    log.append(builders.machine_registered("worker-1"))
    log.append(
        _records.MachineAssigned("worker-1", instances[0], 1, 0),
        author=instances[0],
    )
    return log


def _get_machine(log: builders.LogBuilder) -> _system.Machine:
    """Returns the state of worker-1."""
    return log.state.machine_by_id["worker-1"]


class TestSuspicions:
    """A take-over is accepted once no majority of electors backs the owner."""

    @pytest.mark.parametrize(
        ("electors", "needed"), [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (8, 4)]
    )
    def test_needed(self, electors: int, needed: int) -> None:
        assert _fold_ownership.min_suspecting_electors(electors) == needed

    def test_take_over(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(_records.Suspected("a", 1), author="b")
        early = log.append(_records.TakenOver("a", 1), author="b")
        assert early.rejection_reason is _Reason.NOT_ENOUGH_SUSPECTS
        log.append(_records.Suspected("a", 1), author="c")
        assert log.append(_records.TakenOver("a", 1), author="b").is_accepted
        assert (_get_machine(log).owner, _get_machine(log).guarded) == (
            "",
            True,
        )
        assert _get_machine(log).in_flight

    def test_withdrawn_counts_no_more(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        for author in "bc":
            log.append(_records.Suspected("a", 1), author=author)
        log.append(_records.SuspicionWithdrawn("a", 1), author="b")
        verdict = log.append(_records.TakenOver("a", 1), author="c")
        assert verdict.rejection_reason is _Reason.NOT_ENOUGH_SUSPECTS

    def test_newcomers_are_no_electors_of_others(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        for name in "de":
            log.append(builders.instance_joined(name), author=name)
            log.append(_records.Suspected("a", 1), author=name)
        verdict = log.append(_records.TakenOver("a", 1), author="d")
        assert verdict.rejection_reason is _Reason.NOT_ENOUGH_SUSPECTS

    def test_only_members_of_the_group_suspect(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(builders.instance_joined("z", group="north"), author="z")
        for author in ("z", "stranger", "a"):
            verdict = log.append(_records.Suspected("a", 1), author=author)
            assert verdict.rejection_reason is _Reason.UNKNOWN_SUBJECT

    def test_left_member_vouches_no_more(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(_records.InstanceLeft("c", 1), author="c")
        log.append(_records.Suspected("a", 1), author="b")
        assert log.append(_records.TakenOver("a", 1), author="b").is_accepted


class TestElectors:
    """Only a member itself changes its electors, to current members."""

    @pytest.mark.parametrize(
        ("author", "electors"),
        [
            ("b", ("a/1", "b/1")),
            ("a", ("b/1", "c/1")),
            ("a", ("a/1", "z/1")),
            ("a", ("a/1", "b/2")),
        ],
    )
    def test_rejected(self, author: str, electors: tuple[str, ...]) -> None:
        log = _make_log_with_members("a", "b", "c")
        record = _records.ElectorsChanged("a", 1, electors)
        assert not log.append(record, author=author).is_accepted

    def test_suspicions_of_former_electors_count_no_more(self) -> None:
        log = _make_log_with_members("a", "b", "c", "d")
        log.append(_records.Suspected("a", 1), author="d")
        log.append(
            _records.ElectorsChanged("a", 1, ("a/1", "b/1", "c/1")), author="a"
        )
        log.append(_records.Suspected("a", 1), author="c")
        verdict = log.append(_records.TakenOver("a", 1), author="c")
        assert verdict.rejection_reason is _Reason.NOT_ENOUGH_SUSPECTS


class TestRestart:
    """A new incarnation joins from the same address or after a take-over."""

    def test_other_address_waits(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        again = builders.instance_joined(
            "a", incarnation=2, peer_address="127.0.0.1:9"
        )
        verdict = log.append(again, author="a", incarnation=2)
        assert verdict.rejection_reason is _Reason.NOT_ENOUGH_SUSPECTS

    def test_same_address_keeps_the_seat_and_the_guard(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(_records.Suspected("b", 1), author="a")
        again = builders.instance_joined(
            "a", incarnation=2, peer_address="127.0.0.1:a"
        )
        assert log.append(again, author="a", incarnation=2).is_accepted
        member = log.state.member_by_instance["b"]
        assert "a/2" in member.electors
        assert member.suspecting == ("a/2",)
        assert (_get_machine(log).owner, _get_machine(log).guarded) == (
            "",
            True,
        )

    def test_old_incarnation_may_do_nothing_more(self) -> None:
        log = _make_log_with_members("a", "b")
        again = builders.instance_joined("a", incarnation=2)
        log.append(again, author="a", incarnation=2)
        for record in (
            _records.Suspected("b", 1),
            _records.MachineAssigned("worker-1", "a", 1, 2),
        ):
            assert not log.append(record, author="a").is_accepted


class TestMachines:
    """Only the owner reassigns a machine; an unowned one can be claimed."""

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            (lambda: ("b", "b", 1), _Reason.NOT_OWNER),
            (lambda: ("a", "b", 0), _Reason.STALE_EPOCH),
            (lambda: ("a", "z", 1), _Reason.STALE_INCARNATION),
        ],
    )
    def test_rejected(
        self, change: Callable[[], tuple[str, str, int]], reason: _Reason
    ) -> None:
        author, owner, epoch = change()
        log = _make_log_with_members("a", "b", "c")
        record = _records.MachineAssigned("worker-1", owner, 1, epoch)
        assert log.append(record, author=author).rejection_reason is reason

    def test_unowned_is_claimed_for_oneself_only(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(builders.machine_registered("worker-2"))
        record = _records.MachineAssigned("worker-2", "b", 1, 0)
        assert (
            log.append(record, author="c").rejection_reason is _Reason.NOT_OWNER
        )

    def test_hand_over_needs_no_guard(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        record = _records.MachineAssigned("worker-1", "b", 1, 1)
        assert log.append(record, author="a").is_accepted
        machine = _get_machine(log)
        assert (machine.owner, machine.guarded, machine.epoch) == (
            "b",
            False,
            2,
        )

    def test_leaving_instance_gets_none(self) -> None:
        log = _make_log_with_members("a", "b", "c")
        log.append(_records.InstanceLeaving("b", 1), author="b")
        record = _records.MachineAssigned("worker-1", "b", 1, 1)
        verdict = log.append(record, author="a")
        assert verdict.rejection_reason is _Reason.STALE_INCARNATION

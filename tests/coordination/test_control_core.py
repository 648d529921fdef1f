"""Tests of membership, leases and ownership with complete control cores."""

import random

import pytest

from basiljunction.coordination import _events
from basiljunction.state import _records
import builders
import control_fleet

MACHINES = tuple(f"worker-{index}" for index in range(6))


def _make_fleet(*names: str) -> control_fleet.ControlFleet:
    """Returns a settled fleet that owns its machines."""
    fleet = control_fleet.ControlFleet(*names)
    fleet.run(3.0)
    fleet.append(
        fleet.node_by_name[names[0]],
        *[builders.machine_registered(m) for m in MACHINES],
    )
    fleet.run(1.0)
    fleet.checks.append(lambda: _check_at_most_one_user(fleet))
    return fleet


def _check_at_most_one_user(fleet: control_fleet.ControlFleet) -> None:
    """Fails if two instances may use the same machine."""
    for machine in MACHINES:
        assert len(fleet.instances_using(machine)) <= 1, machine


def _machines_owned_by(
    fleet: control_fleet.ControlFleet, name: str
) -> set[str]:
    """Returns the machines that an instance owns."""
    return {
        machine
        for machine, by in fleet.owner_by_machine().items()
        if by == name
    }


class TestOwnership:
    """Every machine has one owner, which may use it."""

    def test_all_are_used(self) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        assert all(fleet.instances_using(machine) for machine in MACHINES)

    def test_join_moves_only_to_the_newcomer(self) -> None:
        fleet = _make_fleet("a", "b", "c")
        before = fleet.owner_by_machine()
        fleet.start("d")
        fleet.run(3.0)
        moved_machines = {
            m for m, by in fleet.owner_by_machine().items() if by != before[m]
        }
        assert moved_machines == _machines_owned_by(fleet, "d")
        assert moved_machines

    def test_listed_machines_are_registered(self) -> None:
        fleet = control_fleet.ControlFleet("a")
        fleet.run(1.0)
        node = fleet.node_by_name["a"]
        worker = _events.LiveMachine(
            "w", "worker", "zone-a", "r", "http://w", False, millicores=8000
        )
        executor = _events.LiveMachine(
            "e", "executor", "zone-a", "r", "http://e", True, "w", 8, 64
        )
        fleet._handle_event(
            node, _events.LiveListRead((worker, executor), 1000.0)
        )
        fleet.run(2.0)
        assert fleet.owner_by_machine() == {"w": "a"}
        assert node.view is not None
        assert node.view.executor_by_id["e"].leaving


class TestTakeOver:
    """Machines of a lost owner move and never have two users."""

    @pytest.mark.parametrize("fault", ["paused", "net_cut"])
    def test_after_the_guard(self, fault: str) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        lost_machines = _machines_owned_by(fleet, "d")
        setattr(fleet.node_by_name["d"].faults, fault, True)
        fleet.run(5.0)
        assert all(
            fleet.instances_using(machine) not in ([], ["d"])
            for machine in lost_machines
        )

    def test_paused_owner_comes_back_as_another_incarnation(self) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        node = fleet.node_by_name["d"]
        earlier_incarnation = node.core.incarnation
        node.faults.paused = True
        fleet.run(5.0)
        node.faults.paused = False
        fleet.run(5.0)
        assert node.core.incarnation > earlier_incarnation
        assert _machines_owned_by(fleet, "d")

    def test_slots_in_flight_count_as_busy(self) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        fleet.append(fleet.node_by_name["a"], builders.contract_published())
        lost_machines = _machines_owned_by(fleet, "d")
        fleet.node_by_name["d"].faults.paused = True
        fleet.run(2.0)
        machine = lost_machines.pop()
        successor = fleet.node_by_name[fleet.owner_by_machine()[machine]]
        assert successor.view is not None
        executor = successor.view.executor_by_id[f"{machine}-executor"]
        longest_s = builders.contract().class_by_name["check"].deadline_s
        assert executor.busy_until_boot_s == pytest.approx(
            executor.usable_from_boot_s + longest_s
        )

    def test_two_of_eight_in_one_zone_lost(self) -> None:
        fleet = _make_fleet(*"abcdefgh")
        for name in "gh":
            fleet.node_by_name[name].faults.paused = True
        fleet.run(6.0)
        assert all(fleet.instances_using(machine) for machine in MACHINES)


class TestRestart:
    """A new process that reuses a member's name joins safely."""

    def test_other_address_has_to_be_deposed_first(self) -> None:
        fleet = _make_fleet("a", "b", "c")
        old = fleet.node_by_name["c"]
        node = fleet.start("c", address="127.0.0.1:other")
        fleet.run(4.0)
        kinds = [
            type(record)
            for entry in fleet.log
            for record in entry.batch.records
        ]
        assert _records.TakenOver in kinds
        member = fleet.node_by_name["a"].state.member_by_instance["c"]
        assert member.incarnation == node.core.incarnation
        assert member.incarnation > old.core.incarnation

    def test_same_address_joins_at_once_and_is_guarded(self) -> None:
        fleet = _make_fleet("a", "b", "c")
        owned = _machines_owned_by(fleet, "c")
        fleet.start("c")
        fleet.run(1.0)
        assert _machines_owned_by(fleet, "c") == owned
        assert not any(fleet.instances_using(machine) for machine in owned)
        fleet.run(2.0)
        assert all(fleet.instances_using(machine) == ["c"] for machine in owned)


class TestLogOutage:
    """Without the log vouchers continue and no take-over happens."""

    def test_urgent_work_goes_on(self) -> None:
        fleet = _make_fleet("a", "b", "c")
        for node in fleet.node_by_name.values():
            node.faults.log_cut = True
        before = len(fleet.log)
        fleet.run(60.0)
        assert all(fleet.instances_using(machine) for machine in MACHINES)
        assert len(fleet.log) == before

    def test_dead_owner_is_replaced_once_the_log_is_back(self) -> None:
        fleet = _make_fleet("a", "b", "c")
        lost_machines = _machines_owned_by(fleet, "c")
        for node in fleet.node_by_name.values():
            node.faults.log_cut = True
        fleet.node_by_name["c"].faults.paused = True
        fleet.run(10.0)
        assert not any(
            fleet.instances_using(machine) for machine in lost_machines
        )
        for name in "ab":
            fleet.node_by_name[name].faults.log_cut = False
        fleet.run(5.0)
        assert all(fleet.instances_using(machine) for machine in lost_machines)

    def test_groups_of_two_need_the_log(self) -> None:
        fleet = _make_fleet("a", "b")
        assert all(fleet.instances_using(machine) for machine in MACHINES)
        for node in fleet.node_by_name.values():
            node.faults.log_cut = True
        fleet.run(2.0)
        assert not any(fleet.instances_using(machine) for machine in MACHINES)


class TestLeaving:
    """A leaving instance hands over its machines and exits in seconds."""

    def test_hand_over(self) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        node = fleet.node_by_name["d"]
        fleet._handle_event(node, _events.DrainRequested())
        fleet.run(2.0)
        assert node.exit_detail == "left the group as requested"
        assert all(fleet.instances_using(machine) for machine in MACHINES)

    def test_eight_restarted_in_a_row(self) -> None:
        names = "abcdefgh"
        fleet = _make_fleet(*names)
        for name in names:
            fleet._handle_event(
                fleet.node_by_name[name], _events.DrainRequested()
            )
            fleet.run(2.0)
            assert (
                fleet.node_by_name[name].exit_detail
                == "left the group as requested"
            )
            fleet.start(name)
            fleet.run(3.0)
        assert all(fleet.instances_using(machine) for machine in MACHINES)


class TestAnyFaults:
    """No faults give a machine two users, and the fleet recovers."""

    @pytest.mark.parametrize("seed", range(12))
    def test_one_user(self, seed: int) -> None:
        fleet = _make_fleet("a", "b", "c", "d")
        rng = random.Random(seed)
        fleet.should_lose_message = lambda: rng.random() < 0.1
        for _ in range(12):
            node = fleet.node_by_name[rng.choice("abcd")]
            fault = rng.choice(["paused", "log_cut", "net_cut", "restart"])
            if fault == "restart":
                uses_other_address = node.name == "a" and rng.random() < 0.5
                address = (
                    f"127.0.0.1:{rng.random()}" if uses_other_address else ""
                )
                fleet.start(node.name, address=address)
            else:
                setattr(node.faults, fault, not getattr(node.faults, fault))
            fleet.run(rng.uniform(0.2, 4.0))
        for node in fleet.node_by_name.values():
            node.faults = control_fleet.Faults()
        fleet.should_lose_message = lambda: False
        fleet.run(15.0)
        assert all(fleet.instances_using(machine) for machine in MACHINES)

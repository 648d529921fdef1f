"""Control cores with an in-memory log and network, on one fake clock.

Messages are delivered in the order of sending, unless a fault drops them. Time
advances only in ``run``.
"""

from collections.abc import Callable
import dataclasses
import random

from basiljunction.coordination import _control_core
from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _timing
from basiljunction.coordination import _views
from basiljunction.state import _fold
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time

STEP_S = 0.05
"""Fake time of one step, in seconds."""

GROUP = "south"
"""Group that all instances belong to."""

TIMING = _timing.LeaseTiming()


@dataclasses.dataclass
class Faults:
    """Faults that are switched on at one instance.

    Attributes:
        paused: The instance handles no events.
        log_cut: The instance can neither read from the log nor append to it.
        net_cut: The instance neither sends nor receives messages.
    """

    paused: bool = False
    log_cut: bool = False
    net_cut: bool = False


class Node:
    """One instance with its control core, folded state and faults.

    Attributes:
        lease_until_s: End of the instance's lease on the fake clock.
        view: Last published fleet view.
        exit_detail: Reason for which the core asked to exit, or "".
        sequence: Sequence number of the next record.
        mailbox: Received messages that are not yet handled.
        pending_appends: Appends that have not reached the log.
    """

    def __init__(self, fleet: "ControlFleet", name: str, address: str) -> None:
        self.name = name
        self.faults = Faults()
        self.state = _system.SystemState()
        self.lease_until_s = float("-inf")
        self.view: _views.FleetView | None = None
        self.exit_detail = ""
        self.sequence = 0
        self.mailbox: list[_messages.PeerMessage] = []
        self.pending_appends: list[_events.AppendRecords] = []
        self.core = _control_core.ControlCore(
            identity=_timing.InstanceIdentity(
                name, f"zone-{name}", GROUP, address, "127.0.0.1:1"
            ),
            timing=TIMING,
            rng=fleet.rng,
            started_boot_s=fleet.now.boot_s,
        )

    def can_send_to(self, machine: str, now_s: float) -> bool:
        """Returns whether its urgent path may send a request to a machine."""
        if self.view is None or now_s >= self.lease_until_s:
            return False
        executor = self.view.executor_by_id.get(f"{machine}-executor")
        if executor is None or executor.owner != self.name:
            return False
        return not executor.leaving and now_s >= executor.usable_from_boot_s


class ControlFleet:
    """Instances that share a log, a network and a fake clock.

    Attributes:
        rng: Seeded source of randomness of all cores.
        now: Current reading of the fake clock.
        log: Entries of the log, by offset.
        node_by_name: Running instances.
        should_lose_message: Returns whether the next message is lost.
        checks: Assertions that are called after each step.
    """

    def __init__(self, *names: str, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = _time.Now(100.0, 1000.0)
        self.log: list[_records.LogEntry] = []
        self.node_by_name: dict[str, Node] = {}
        self.should_lose_message: Callable[[], bool] = lambda: False
        self.checks: list[Callable[[], None]] = []
        for name in names:
            self.start(name)

    def start(self, name: str, *, address: str = "") -> Node:
        """Starts an instance, or replaces it by a new process of its name."""
        node = Node(self, name, address or f"127.0.0.1:{name}")
        self.node_by_name[name] = node
        return node

    def append(self, node: Node, *records: _records.Record) -> None:
        """Appends records of one instance to the log as one entry."""
        batch = _records.RecordBatch(
            _records.Author(node.name, node.core.incarnation),
            node.sequence,
            self.now.wall_s,
            records,
        )
        node.sequence += len(records)
        self.log.append(_records.LogEntry(len(self.log), batch))

    def run(self, seconds: float) -> None:
        """Advances the clock in steps and runs the checks after each."""
        for _ in range(round(seconds / STEP_S)):
            self.now = _time.Now(
                self.now.boot_s + STEP_S, self.now.wall_s + STEP_S
            )
            for node in list(self.node_by_name.values()):
                if not node.faults.paused:
                    self._step_node(node)
            for check in self.checks:
                check()

    def owner_by_machine(self) -> dict[str, str]:
        """Returns the owner of each machine, folded from the whole log."""
        state = _system.SystemState()
        for entry in self.log:
            _fold.apply_entry(state, entry)
        return {
            name: machine.owner for name, machine in state.machine_by_id.items()
        }

    def instances_using(self, machine: str) -> list[str]:
        """Returns the instances that may now send requests to a machine."""
        return [
            node.name
            for node in self.node_by_name.values()
            if node.can_send_to(machine, self.now.boot_s)
        ]

    def _step_node(self, node: Node) -> None:
        """Lets an instance use the log, handle its messages and tick."""
        if not node.faults.log_cut:
            self._append_and_read_log(node)
        messages, node.mailbox = node.mailbox, []
        for message in messages:
            self._handle_event(node, _events.PeerReceived(message))
        self._handle_event(node, _events.Tick())

    def _append_and_read_log(self, node: Node) -> None:
        """Appends an instance's pending records and folds new entries."""
        pending, node.pending_appends = node.pending_appends, []
        for action in pending:
            if self.now.boot_s > action.not_after_boot_s:
                self._handle_event(node, _events.AppendDropped(action.records))
            else:
                self.append(node, *action.records)
        entries = tuple(self.log[node.state.next_offset :])
        verdicts = [
            verdict
            for entry in entries
            for verdict in _fold.apply_entry(node.state, entry)
        ]
        if verdicts:
            self._handle_event(node, _events.Folded(tuple(verdicts)))
        read = _events.EntriesRead(entries, (), self.now.boot_s, len(self.log))
        self._handle_event(node, read)

    def _handle_event(self, node: Node, event: object) -> None:
        """Passes an event to an instance's core and executes its actions."""
        for action in node.core.handle(node.state, event, self.now):
            self._carry_out(node, action)

    def _carry_out(self, node: Node, action: object) -> None:
        """Executes an action that an instance's core requested."""
        match action:
            case _events.StartIncarnation():
                node.sequence = 0
                node.pending_appends = []
            case _events.AppendRecords():
                node.pending_appends.append(action)
            case _events.SendPeer():
                self._send_message(node, action)
            case _events.LeaseChanged():
                node.lease_until_s = action.lease_until_boot_s
            case _events.ExitProcess():
                node.exit_detail = action.detail
            case _events.PublishView():
                node.view = action.view
                self._report_nothing_in_flight(node, action.view)

    def _send_message(self, node: Node, action: _events.SendPeer) -> None:
        """Puts a message into its receiver's mailbox, unless it is lost."""
        target = self.node_by_name.get(action.instance)
        if target is None or node.faults.net_cut or target.faults.net_cut:
            return
        if not self.should_lose_message():
            target.mailbox.append(action.message)

    def _report_nothing_in_flight(
        self, node: Node, view: _views.FleetView
    ) -> None:
        """Reports that no requests are in flight on leaving executors."""
        in_flight_by_executor = {
            executor.executor: 0
            for executor in view.executor_by_id.values()
            if executor.leaving and executor.owner == node.name
        }
        if in_flight_by_executor:
            self._handle_event(
                node,
                _events.ClosedExecutors(view.serial, in_flight_by_executor),
            )

"""Control cores joined by a log and a network in memory, on one fake clock.

Every message is delivered in order of sending unless a fault says otherwise;
time passes only in ``run``.
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

GROUP = "south"

TIMING = _timing.LeaseTiming()


@dataclasses.dataclass
class Faults:
    """What does not work at one instance.

    Attributes:
        paused: It does nothing at all.
        log_cut: It neither reads nor appends.
        net_cut: It hears from nobody, and nobody from it.
    """

    paused: bool = False
    log_cut: bool = False
    net_cut: bool = False


class Node:
    """One instance: its core, its folded state, and its faults."""

    def __init__(self, fleet: "ControlFleet", name: str, address: str) -> None:
        self.name = name
        self.faults = Faults()
        self.state = _system.SystemState()
        self.lease_until_s = float("-inf")
        self.view: _views.FleetView | None = None
        self.exit_detail = ""
        self.sequence = 0
        self.mailbox: list[_messages.PeerMessage] = []
        self.unsent: list[_events.AppendRecords] = []
        self.core = _control_core.ControlCore(
            identity=_timing.InstanceIdentity(
                name, f"zone-{name}", GROUP, address, "127.0.0.1:1"
            ),
            timing=TIMING,
            rng=fleet.rng,
            started_boot_s=fleet.now.boot_s,
        )

    def may_use(self, machine: str, now_s: float) -> bool:
        """Whether its urgent path would send work to a machine now."""
        if self.view is None or now_s >= self.lease_until_s:
            return False
        executor = self.view.executor_by_id.get(f"{machine}-executor")
        if executor is None or executor.owner != self.name:
            return False
        return not executor.leaving and now_s >= executor.usable_from_boot_s


class ControlFleet:
    """A number of control cores on one log."""

    def __init__(self, *names: str, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = _time.Now(100.0, 1000.0)
        self.log: list[_records.LogEntry] = []
        self.node_by_name: dict[str, Node] = {}
        self.loses: Callable[[], bool] = lambda: False
        self.checks: list[Callable[[], None]] = []
        for name in names:
            self.start(name)

    def start(self, name: str, *, address: str = "") -> Node:
        """Starts an instance, or a new process under its name."""
        node = Node(self, name, address or f"127.0.0.1:{name}")
        self.node_by_name[name] = node
        return node

    def append(self, node: Node, *records: _records.Record) -> None:
        """Puts records of one instance into the log."""
        batch = _records.RecordBatch(
            _records.Author(node.name, node.core.incarnation),
            node.sequence,
            self.now.wall_s,
            records,
        )
        node.sequence += len(records)
        self.log.append(_records.LogEntry(len(self.log), batch))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now = _time.Now(
                self.now.boot_s + STEP_S, self.now.wall_s + STEP_S
            )
            for node in list(self.node_by_name.values()):
                if not node.faults.paused:
                    self._step(node)
            for check in self.checks:
                check()

    def owners(self) -> dict[str, str]:
        """Returns the owner of each machine as the whole log says."""
        state = _system.SystemState()
        for entry in self.log:
            _fold.apply_entry(state, entry)
        return {
            name: machine.owner for name, machine in state.machine_by_id.items()
        }

    def users(self, machine: str) -> list[str]:
        """Returns the instances that would send work to a machine now."""
        return [
            node.name
            for node in self.node_by_name.values()
            if node.may_use(machine, self.now.boot_s)
        ]

    def _step(self, node: Node) -> None:
        if not node.faults.log_cut:
            self._read(node)
        messages, node.mailbox = node.mailbox, []
        for message in messages:
            self._tell(node, _events.PeerReceived(message))
        self._tell(node, _events.Tick())

    def _read(self, node: Node) -> None:
        unsent, node.unsent = node.unsent, []
        for action in unsent:
            if self.now.boot_s > action.not_after_boot_s:
                self._tell(node, _events.AppendDropped(action.records))
            else:
                self.append(node, *action.records)
        entries = tuple(self.log[node.state.next_offset :])
        verdicts = [
            verdict
            for entry in entries
            for verdict in _fold.apply_entry(node.state, entry)
        ]
        if verdicts:
            self._tell(node, _events.Folded(tuple(verdicts)))
        read = _events.EntriesRead(entries, (), self.now.boot_s, len(self.log))
        self._tell(node, read)

    def _tell(self, node: Node, event: object) -> None:
        for action in node.core.handle(node.state, event, self.now):
            self._carry_out(node, action)

    def _carry_out(self, node: Node, action: object) -> None:
        match action:
            case _events.StartIncarnation():
                node.sequence = 0
                node.unsent = []
            case _events.AppendRecords():
                node.unsent.append(action)
            case _events.SendPeer():
                self._send(node, action)
            case _events.LeaseChanged():
                node.lease_until_s = action.lease_until_boot_s
            case _events.ExitProcess():
                node.exit_detail = action.detail
            case _events.PublishView():
                node.view = action.view
                self._acknowledge(node, action.view)

    def _send(self, node: Node, action: _events.SendPeer) -> None:
        target = self.node_by_name.get(action.instance)
        if target is None or node.faults.net_cut or target.faults.net_cut:
            return
        if not self.loses():
            target.mailbox.append(action.message)

    def _acknowledge(self, node: Node, view: _views.FleetView) -> None:
        """Answers as an urgent path with nothing in flight."""
        closed = {
            executor.executor: 0
            for executor in view.executor_by_id.values()
            if executor.leaving and executor.owner == node.name
        }
        if closed:
            self._tell(node, _events.ClosedExecutors(view.serial, closed))

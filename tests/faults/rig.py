"""Instances, log, executors and workers under one fake clock, with faults.

The instances run the real tasks. Everything between them passes through this
module, where a cell's one fault (or pair of faults) is injected at its step.
"""

from collections.abc import Callable
import contextlib
import heapq
import itertools
import random

from basiljunction.coordination import _batch_events
from basiljunction.coordination import _events
from basiljunction.coordination import _messages
from basiljunction.coordination import _urgent_request
from basiljunction.protocol import _codec
from basiljunction.protocol import _errors
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.transport import _log_client
from basiljunction.transport import _log_reader
import fake_worker
import fakes
from faults import injection
from faults import journals
from faults import node
from faults import steps

Fault = injection.Fault
Step = _outcomes.Step

TICK_S = 0.05
HOP_S = 0.002
PAUSE_S = 8.0
OUTAGE_S = 8.0
DELAY_S = 2.5
REORDER_S = 0.08
RESTART_S = 3.0
WALL_JUMP_S = 86_400.0
KEEP_ENTRIES = 2
ZONES = ("dunedin", "christchurch", "invercargill")
CALL_TIMEOUT_S = 3.0


class ProcessDiedError(Exception):
    """Ends what a process was doing when it died."""


class Rig:
    """The world around a few instances.

    Attributes:
        clock: The one clock.
        log: The platform's log.
        node_by_name: Instances, dead ones included.
        executor_by_name: Executors.
        worker_by_name: Workers.
        injector: The cell's fault.
        starts_after_notice: Requests begun by instances that had left.
    """

    def __init__(
        self,
        injector: injection.Injector,
        rng: random.Random,
        *,
        instances: int = 4,
        machines: int = 3,
        slots: int = 2,
    ) -> None:
        """Creates everything; nothing runs yet."""
        self.clock = fakes.FakeClock()
        self.log = journals.MemoryLog()
        self.injector = injector
        self.rng = rng
        self.node_by_name: dict[str, node.Node] = {}
        self.zone_by_name: dict[str, str] = {}
        self.list_is_stale = False
        self.leaving_workers: set[str] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._next_list_s = 0.0
        names = [f"worker-{number}" for number in range(machines)]
        self.worker_by_name = {
            name: fake_worker.FakeWorker(name) for name in names
        }
        self.executor_by_name = {
            f"{name}-executor": journals.FakeExecutor(f"{name}-executor", slots)
            for name in names
        }
        self.slots = slots
        for number in range(instances):
            zone = ZONES[number % len(ZONES)]
            self.zone_by_name[f"entry-{number}"] = zone
            self.start(f"entry-{number}")

    @property
    def boot_s(self) -> float:
        """Now."""
        return self.clock.now().boot_s

    def live(self) -> list[node.Node]:
        """Returns the instances whose process runs."""
        return [each for each in self.node_by_name.values() if each.alive]

    def start(self, name: str) -> None:
        """Starts an instance, or starts it anew."""
        source = random.Random(self.rng.random())
        zone = self.zone_by_name[name]
        seeds = tuple(
            node.address(other) for other in self.zone_by_name if other != name
        )
        self.node_by_name[name] = node.Node(self, name, zone, source, seeds)

    def kill(self, each: node.Node, *, restart: bool = True) -> None:
        """Ends a process at once."""
        if not each.alive:
            return
        each.alive = False
        if restart:
            self.at(RESTART_S, lambda: self.start(each.name))

    def pause(self, each: node.Node) -> None:
        """Stops all threads of a process for longer than its lease."""
        each.paused_until_boot_s = self.boot_s + PAUSE_S

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action later."""
        due = (self.boot_s + delay_s, next(self._numbers), action)
        heapq.heappush(self._queue, due)

    def on_node(
        self, each: node.Node, delay_s: float, action: Callable[[], None]
    ) -> None:
        """Runs an action on an instance's own thread, once it may run."""

        def run() -> None:
            if not each.alive:
                return
            if self.boot_s < each.paused_until_boot_s:
                wait_s = each.paused_until_boot_s - self.boot_s
                self.on_node(each, wait_s, action)
                return
            with contextlib.suppress(ProcessDiedError):
                action()

        self.at(delay_s, run)

    def run(self, seconds: float, watch: Callable[[], None]) -> None:
        """Lets time pass.

        Args:
            seconds: How long.
            watch: Called after each step of time.
        """
        end_s = self.boot_s + seconds
        while self.boot_s < end_s:
            self._run_due()
            self._tell_list()
            for each in list(self.node_by_name.values()):
                if each.can_run(self.boot_s):
                    self._step(each)
            watch()
            self.clock.advance(TICK_S)

    def _step(self, each: node.Node) -> None:
        try:
            each.step()
        except ProcessDiedError:
            return
        if each.left and not each.urgent.in_flight_count:
            each.alive = False

    def _run_due(self) -> None:
        while self._queue and self._queue[0][0] <= self.boot_s:
            _, _, action = heapq.heappop(self._queue)
            action()

    def inject(self, found: set[Step], each: node.Node) -> Fault | None:
        """Lets the cell's fault strike here; some strike at once.

        Returns:
            The fault that the message itself has to suffer, if any.

        Raises:
            ProcessDiedError: The process died before the step.
        """
        fault = self.injector.at(found)
        match fault:
            case Fault.DIE_BEFORE:
                self.kill(each)
                raise ProcessDiedError
            case Fault.PAUSE:
                self.pause(each)
            case Fault.LOG_DOWN:
                self.log.down_until_boot_s = self.boot_s + OUTAGE_S
            case Fault.LOG_SLOW:
                self.log.slow_until_boot_s = self.boot_s + OUTAGE_S
            case Fault.LOG_TRUNCATED:
                self.log.truncate(KEEP_ENTRIES)
            case Fault.LIST_STALE:
                self.list_is_stale = True
                self.at(PAUSE_S, self._list_heals)
            case Fault.CLOCK_JUMP:
                each.clock.skew_s += self.rng.choice((1, -1)) * WALL_JUMP_S
        return fault

    def after(self, fault: Fault | None, each: node.Node) -> None:
        """Lets a fault strike that comes after a step."""
        if fault is Fault.DIE_AFTER:
            self.kill(each)
            raise ProcessDiedError

    def _list_heals(self) -> None:
        self.list_is_stale = False

    def append(self, each: node.Node, payload: bytes) -> int:
        """Appends an entry for an instance."""
        records = journals.records_of(payload)
        fault = self.inject(steps.of_append(records), each)
        failed = _log_client.LogCallError("injected")
        if self.boot_s < self.log.down_until_boot_s or fault is Fault.LOST:
            raise failed
        if fault in (Fault.CUT_SHORT, Fault.CORRUPT):
            self.log.append(journals.damaged(payload, self.rng))
            raise failed
        slow = self.boot_s < self.log.slow_until_boot_s
        if slow or fault in (Fault.DELAYED, Fault.REORDERED):
            wait_s = REORDER_S if fault is Fault.REORDERED else DELAY_S
            self.at(wait_s, lambda: self._append_late(payload))
            raise failed
        offset = self.log.append(payload)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            self.log.append(payload)
        self.after(fault, each)
        if fault is Fault.ANSWER_LOST:
            raise failed
        return offset

    def _append_late(self, payload: bytes) -> None:
        self.log.append(payload)

    def read(
        self, each: node.Node, from_offset: int, limit: int
    ) -> _log_client.LogPage:
        """Reads the log for an instance."""
        if self.boot_s < self.log.down_until_boot_s:
            raise _log_client.LogCallError("down")
        page = self.log.page(from_offset, limit)
        found: set[Step] = set()
        for payload in page.payloads:
            found |= self._steps_read(payload, each)
        fault = self.inject(found, each)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR, Fault.REORDERED):
            self._read_again_later(each, page)
        elif fault in injection.CARRYING or fault is Fault.LOG_DOWN:
            raise _log_client.LogCallError("injected")
        self.after(fault, each)
        return page

    def _read_again_later(
        self, each: node.Node, page: _log_client.LogPage
    ) -> None:
        """Shows an instance the same entries again, after newer ones."""
        again = _events.EntriesRead(
            entries=_log_reader.decode_entries(
                page.first_offset, page.payloads
            ),
            payloads=page.payloads,
            requested_boot_s=self.boot_s,
            head_offset=page.head_offset,
        )
        self.on_node(each, DELAY_S, lambda: each.state.tell(again))

    def _steps_read(self, payload: bytes, each: node.Node) -> set[Step]:
        try:
            batch = _codec.decode_batch(payload)
        except _errors.DecodeError:
            return set()
        own = batch.author.name == each.name
        return steps.of_read(batch.records, own=own)

    def send_peer(self, each: node.Node, action: _events.SendPeer) -> None:
        """Carries a message to another instance."""
        message = action.message
        fault = self.inject(steps.of_message(message), each)
        target = self._target(action.instance)
        if target is None or not target.alive:
            dropped = _events.SendDropped(action.instance, message)
            if steps.of_message(message) & {Step.FORWARD, Step.RETURN}:
                self.on_node(each, HOP_S, lambda: each.urgent.tell(dropped))
            return
        if fault in (Fault.PEER_DIES, Fault.PEER_HANGS):
            self._harm_instance(target, fault)
        wire = _codec.encode_message(message)
        if fault in (Fault.CUT_SHORT, Fault.CORRUPT):
            wire = journals.damaged(wire, self.rng)
        if fault is not Fault.LOST and fault is not Fault.ANSWER_LOST:
            wait_s = HOP_S
            if fault is Fault.DELAYED:
                wait_s = DELAY_S
            if fault is Fault.REORDERED:
                wait_s = REORDER_S
            self.at(wait_s, lambda: self._deliver(target, wire))
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            self.at(REORDER_S, lambda: self._deliver(target, wire))
        self.after(fault, each)

    def _target(self, peer: str) -> node.Node | None:
        """Returns an instance by its name or by its address."""
        by_address = {node.address(name): name for name in self.node_by_name}
        return self.node_by_name.get(by_address.get(peer, peer))

    def _harm_instance(self, target: node.Node, fault: Fault) -> None:
        if fault is Fault.PEER_DIES:
            self.kill(target)
        else:
            self.pause(target)

    def _deliver(self, target: node.Node, wire: bytes) -> None:
        """Delivers to the process that the message was sent to, if it lives."""
        if not target.alive:
            return
        try:
            message = _codec.decode_message(wire)
        except _errors.DecodeError:
            return
        received = _events.PeerReceived(message)
        if not isinstance(message, _messages.ForwardRequest):
            self._route(target, message, received)
            return
        self.on_node(target, 0.0, lambda: self._owner_admits(target, received))

    def _owner_admits(
        self, target: node.Node, received: _events.PeerReceived
    ) -> None:
        fault = self.inject({Step.OWNER_ADMIT}, target)
        if fault is Fault.LOST:
            return
        target.urgent.tell(received)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            target.urgent.tell(received)
        self.after(fault, target)

    def _route(
        self,
        target: node.Node,
        message: _messages.PeerMessage,
        received: _events.PeerReceived,
    ) -> None:
        urgent = (_messages.ForwardReply, _messages.OwnerLoad)
        task = target.urgent if isinstance(message, urgent) else target.state
        task.tell(received)

    def _tell_list(self) -> None:
        if self.boot_s < self._next_list_s or self.list_is_stale:
            return
        self._next_list_s = self.boot_s + 1.0
        listed = _events.LiveListRead(
            machines=tuple(self._listed()), as_of_wall_s=0.0
        )
        for each in self.live():
            each.state.tell(listed)

    def _listed(self) -> list[_events.LiveMachine]:
        machines = []
        for name, worker in self.worker_by_name.items():
            leaving = name in self.leaving_workers
            machines.append(
                _events.LiveMachine(
                    name=name,
                    role="worker",
                    zone=ZONES[0],
                    rack="rack-1",
                    address=f"http://{name}",
                    leaving=leaving,
                    millicores=worker.millicores,
                    memory_mib=worker.memory_mib,
                )
            )
            machines.append(
                _events.LiveMachine(
                    name=f"{name}-executor",
                    role="executor",
                    zone=ZONES[0],
                    rack="rack-1",
                    address=f"http://{name}-executor",
                    leaving=leaving,
                    worker=name,
                    slots=self.slots,
                    connections=64,
                )
            )
        return machines

    def call_worker(
        self, each: node.Node, call: _batch_events.CallWorker
    ) -> None:
        """Begins a call to a worker on a thread of the instance."""
        self.on_node(each, HOP_S, lambda: self._send_worker(each, call))

    def _send_worker(
        self, each: node.Node, call: _batch_events.CallWorker
    ) -> None:
        worker = self.worker_by_name[call.machine]
        fault = self.inject(steps.of_call(call.request), each)
        if self.boot_s < each.paused_until_boot_s:
            # Paused directly before the send: the send comes after the pause.
            self.on_node(each, 0.0, lambda: self._finish_worker(each, call))
            return
        self._harm_worker(worker, fault)
        if fault is Fault.LOST:
            self._worker_lost(each, call)
            return
        if fault in (Fault.DELAYED, Fault.REORDERED):
            wait_s = DELAY_S if fault is Fault.DELAYED else REORDER_S
            self.at(wait_s, lambda: self._effect_late(worker, call))
            self._worker_lost(each, call)
            return
        result = worker.call(call, self.boot_s)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            worker.call(call, self.boot_s)
        self.after(fault, each)
        if fault in injection.CARRYING and fault is not Fault.DOUBLED:
            self._worker_lost(each, call)
            return
        self.on_node(each, HOP_S, lambda: each.state.tell(result))

    def _finish_worker(
        self, each: node.Node, call: _batch_events.CallWorker
    ) -> None:
        result = self.worker_by_name[call.machine].call(call, self.boot_s)
        each.state.tell(result)

    def _effect_late(
        self, worker: fake_worker.FakeWorker, call: _batch_events.CallWorker
    ) -> None:
        worker.call(call, min(self.boot_s, call.not_after_boot_s))

    def _worker_lost(
        self, each: node.Node, call: _batch_events.CallWorker
    ) -> None:
        lost = _outcomes.Unknown(
            Step.SEND, call.address, _outcomes.Reason.TIMEOUT
        )
        event = _batch_events.WorkerCallLost(call.machine, call.request, lost)
        self.on_node(each, CALL_TIMEOUT_S, lambda: each.state.tell(event))

    def _harm_worker(
        self, worker: fake_worker.FakeWorker, fault: Fault | None
    ) -> None:
        match fault:
            case Fault.PEER_REFUSES:
                worker.refuse = True
                worker.refuse_checkpoints = True
            case Fault.PEER_HANGS:
                worker.down = True
            case Fault.PEER_DIES:
                worker.down = True
                worker.forget()
            case Fault.PEER_FAILS:
                worker.fail_everything = True
            case _:
                return
        self.at(OUTAGE_S, lambda: self._worker_heals(worker))

    def _worker_heals(self, worker: fake_worker.FakeWorker) -> None:
        worker.refuse = False
        worker.refuse_checkpoints = False
        worker.down = False
        worker.fail_everything = False

    def call_executor(
        self, each: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        """Begins a call to an executor on a thread of the instance."""
        self.on_node(each, HOP_S, lambda: self._connect(each, call))

    def _connect(
        self, each: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        executor = self.executor_by_name[call.executor]
        fault = self.inject({Step.CONNECT}, each)
        self._harm_executor(executor, fault)
        if executor.down or fault in injection.CARRYING:
            reason = _outcomes.Reason.CONNECT_FAILED
            self._not_run(each, call, Step.CONNECT, reason)
            return
        self.after(fault, each)
        self.on_node(each, HOP_S, lambda: self._send_call(each, call))

    def _send_call(
        self, each: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        fault = self.inject({Step.SEND}, each)
        if self.boot_s < each.paused_until_boot_s:
            self.on_node(each, 0.0, lambda: self._send_call(each, call))
            return
        if self.boot_s >= each.lease_until_boot_s:
            reason = _outcomes.Reason.LEASE_LAPSED
            self._not_run(each, call, Step.SEND, reason)
            return
        if self.boot_s >= call.deadline_boot_s:
            reason = _outcomes.Reason.DEADLINE_PASSED
            self._not_run(each, call, Step.SEND, reason)
            return
        executor = self.executor_by_name[call.executor]
        self._harm_executor(executor, fault)
        if fault in (Fault.LOST, Fault.CUT_SHORT, Fault.CORRUPT):
            self._unknown(each, call, Step.SEND)
            return
        served = None
        if not executor.down:
            served = executor.begin(call, self.boot_s)
        self.after(fault, each)
        if served is None:
            reason = _outcomes.Reason.REFUSED_BY_PEER
            self._not_run(each, call, Step.SEND, reason)
            return
        self._wait(each, call, served, fault)

    def _wait(
        self,
        each: node.Node,
        call: _urgent_request.CallExecutor,
        served: journals.Served,
        sent_with: Fault | None,
    ) -> None:
        fault = self.inject({Step.WAIT}, each)
        self._harm_executor(self.executor_by_name[call.executor], fault)
        lost = injection.CARRYING - {Fault.DOUBLED, Fault.REORDERED}
        if sent_with in lost or fault in lost or fault is Fault.PEER_DIES:
            self._unknown(each, call, Step.WAIT)
            return
        self.after(fault, each)
        wait_s = served.end_boot_s - self.boot_s
        self.on_node(each, wait_s, lambda: self._receive(each, call, served))

    def _receive(
        self,
        each: node.Node,
        call: _urgent_request.CallExecutor,
        served: journals.Served,
    ) -> None:
        fault = self.inject({Step.RECEIVE}, each)
        if self.boot_s < each.paused_until_boot_s:
            self.on_node(each, 0.0, lambda: self._receive(each, call, served))
            return
        failing = self.executor_by_name[call.executor].mode == "fail"
        broken = injection.CARRYING - {Fault.DOUBLED, Fault.REORDERED}
        if fault in broken or self.boot_s > call.deadline_boot_s:
            self._unknown(each, call, Step.RECEIVE)
            return
        answer = _outcomes.Completed(
            500 if failing else 200,
            b"answer " + call.hop.body,
            "text/plain",
            call.executor,
        )
        self._end(each, call, answer)
        if fault is Fault.DOUBLED:
            self._end(each, call, answer)
        self.after(fault, each)

    def _harm_executor(
        self, executor: journals.FakeExecutor, fault: Fault | None
    ) -> None:
        match fault:
            case Fault.PEER_REFUSES:
                executor.mode = "refuse"
            case Fault.PEER_HANGS:
                executor.mode = "hang"
            case Fault.PEER_FAILS:
                executor.mode = "fail"
            case Fault.PEER_DIES:
                executor.down = True
            case _:
                return
        self.at(OUTAGE_S, lambda: self._executor_heals(executor))

    def _executor_heals(self, executor: journals.FakeExecutor) -> None:
        executor.mode = ""
        executor.down = False

    def _not_run(
        self,
        each: node.Node,
        call: _urgent_request.CallExecutor,
        step: Step,
        reason: _outcomes.Reason,
    ) -> None:
        self._end(each, call, _outcomes.NotRun(step, call.executor, reason))

    def _unknown(
        self, each: node.Node, call: _urgent_request.CallExecutor, step: Step
    ) -> None:
        reason = _outcomes.Reason.CONNECTION_LOST
        self._end(each, call, _outcomes.Unknown(step, call.executor, reason))

    def _end(
        self,
        each: node.Node,
        call: _urgent_request.CallExecutor,
        outcome: _outcomes.Outcome,
    ) -> None:
        ended = _urgent_request.CallEnded(call.call_id, outcome, 0.1)
        each.urgent.tell(ended)

    def accepted(self, kind: type) -> list[_records.Record]:
        """Returns all records of a kind that the log ever took."""
        return [
            record
            for payload in self.log.history
            for record in journals.records_of(payload)
            if isinstance(record, kind)
        ]

"""Test rig of instances, log, executors and workers under one fake clock.

The instances run the production tasks. All messages between them pass through
this module, which injects a cell's fault, or pair of faults, at its step.
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
"""Seconds by which the clock advances in one step."""

HOP_DELAY_S = 0.002
"""Seconds that a message takes."""

PAUSE_S = 8.0
"""Seconds for which a process is paused, or the live list is stale."""

OUTAGE_S = 8.0
"""Seconds for which the log or a peer fails."""

DELAY_S = 2.5
"""Seconds by which a delayed message is late."""

REORDER_S = 0.08
"""Seconds by which a message is late to arrive after newer ones."""

RESTART_S = 3.0
"""Seconds from the end of a process to its restart."""

WALL_JUMP_S = 86_400.0
"""Seconds by which a wall clock jumps forward or back."""

RETAINED_ENTRIES = 2
"""Log entries left after an injected truncation."""

ZONES = ("dunedin", "christchurch", "invercargill")
"""Availability zones over which the instances are spread."""

CALL_TIMEOUT_S = 3.0
"""Seconds after which a lost call to a worker is reported."""


class ProcessDiedError(Exception):
    """The instance's process died; its current action must not continue."""


class Rig:
    """Runs instances against a simulated log, executors and workers.

    Attributes:
        clock: The clock that every instance is based on.
        log: The platform's log.
        node_by_name: Newest process of each instance, dead ones included.
        executor_by_name: Executors.
        worker_by_name: Workers.
        injector: Chooses when the cell's faults are injected.
        list_is_stale: Whether the live list is not sent.
        leaving_workers: Workers that the live list marks as leaving.
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
        """Creates the instances and machines; nothing runs yet.

        Args:
            injector: Chooses when faults are injected.
            rng: Source of every random choice.
            instances: Number of instances.
            machines: Number of machines, each with a worker and an executor.
            slots: Requests that an executor runs at a time.
        """
        self.clock = fakes.FakeClock()
        self.log = journals.MemoryLog()
        self.injector = injector
        self.rng = rng
        self.node_by_name: dict[str, node.Node] = {}
        self.zone_by_name: dict[str, str] = {}
        self.list_is_stale = False
        self.leaving_workers: set[str] = set()
        self._action_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._next_list_boot_s = 0.0
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
            self.start_instance(f"entry-{number}")

    @property
    def boot_s(self) -> float:
        """Current time since boot, in seconds."""
        return self.clock.now().boot_s

    def live_instances(self) -> list[node.Node]:
        """Returns the instances whose process runs."""
        return [
            instance
            for instance in self.node_by_name.values()
            if instance.is_alive
        ]

    def start_instance(self, name: str) -> None:
        """Starts a new process of an instance."""
        source = random.Random(self.rng.random())
        zone = self.zone_by_name[name]
        seeds = tuple(
            node.peer_address(other)
            for other in self.zone_by_name
            if other != name
        )
        self.node_by_name[name] = node.Node(self, name, zone, source, seeds)

    def kill_instance(
        self, instance: node.Node, *, restart: bool = True
    ) -> None:
        """Ends a process at once; restarts it after `RESTART_S` by default."""
        if not instance.is_alive:
            return
        instance.is_alive = False
        if restart:
            self.schedule(RESTART_S, lambda: self.start_instance(instance.name))

    def pause_instance(self, instance: node.Node) -> None:
        """Stops all threads of a process for longer than its lease."""
        instance.paused_until_boot_s = self.boot_s + PAUSE_S

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        due = (self.boot_s + delay_s, next(self._sequence_numbers), action)
        heapq.heappush(self._action_queue, due)

    def schedule_on_instance(
        self, instance: node.Node, delay_s: float, action: Callable[[], None]
    ) -> None:
        """Schedules an action of an instance after a delay in seconds.

        The action is dropped if the process has died by then. If the process
        is paused, the action runs after the pause.
        """

        def run() -> None:
            if not instance.is_alive:
                return
            if self.boot_s < instance.paused_until_boot_s:
                wait_s = instance.paused_until_boot_s - self.boot_s
                self.schedule_on_instance(instance, wait_s, action)
                return
            with contextlib.suppress(ProcessDiedError):
                action()

        self.schedule(delay_s, run)

    def advance(self, seconds: float, on_step: Callable[[], None]) -> None:
        """Advances the clock in steps and runs what is scheduled.

        Args:
            seconds: Time to advance by.
            on_step: Called after each step.
        """
        end_s = self.boot_s + seconds
        while self.boot_s < end_s:
            self._run_due()
            self._send_live_list()
            for instance in list(self.node_by_name.values()):
                if instance.can_run(self.boot_s):
                    self._run_instance(instance)
            on_step()
            self.clock.advance(TICK_S)

    def _run_instance(self, instance: node.Node) -> None:
        """Runs an instance's tasks; ends its process once it has exited."""
        try:
            instance.run_tasks()
        except ProcessDiedError:
            return
        if instance.has_exited and not instance.urgent.in_flight_count:
            instance.is_alive = False

    def _run_due(self) -> None:
        """Runs the scheduled actions whose time has come."""
        while self._action_queue and self._action_queue[0][0] <= self.boot_s:
            _, _, action = heapq.heappop(self._action_queue)
            action()

    def inject_fault(
        self, found_steps: set[Step], instance: node.Node
    ) -> Fault | None:
        """Injects the cell's fault if its step occurs here.

        Faults of the process, the log or a clock take effect at once; the
        caller applies all others.

        Args:
            found_steps: Steps that occur.
            instance: The instance at which they occur.

        Returns:
            The injected fault, if any.

        Raises:
            ProcessDiedError: The process died before the step.
        """
        fault = self.injector.next_fault(found_steps)
        match fault:
            case Fault.DIE_BEFORE:
                self.kill_instance(instance)
                raise ProcessDiedError
            case Fault.PAUSE:
                self.pause_instance(instance)
            case Fault.LOG_DOWN:
                self.log.down_until_boot_s = self.boot_s + OUTAGE_S
            case Fault.LOG_SLOW:
                self.log.slow_until_boot_s = self.boot_s + OUTAGE_S
            case Fault.LOG_TRUNCATED:
                self.log.truncate(RETAINED_ENTRIES)
            case Fault.LIST_STALE:
                self.list_is_stale = True
                self.schedule(PAUSE_S, self._restore_list)
            case Fault.CLOCK_JUMP:
                instance.clock.skew_s += self.rng.choice((1, -1)) * WALL_JUMP_S
        return fault

    def inject_after_step(
        self, fault: Fault | None, instance: node.Node
    ) -> None:
        """Ends the process after a step if the fault says so.

        Raises:
            ProcessDiedError: The fault is `DIE_AFTER`.
        """
        if fault is Fault.DIE_AFTER:
            self.kill_instance(instance)
            raise ProcessDiedError

    def _restore_list(self) -> None:
        """Ends the fault of a stale live list."""
        self.list_is_stale = False

    def append(self, instance: node.Node, payload: bytes) -> int:
        """Appends an entry for an instance and returns its offset.

        Raises:
            LogCallError: The append failed or its answer was lost.
            ProcessDiedError: The process died before or after the append.
        """
        records = journals.decode_records(payload)
        fault = self.inject_fault(steps.steps_of_append(records), instance)
        failed = _log_client.LogCallError("injected")
        if self.boot_s < self.log.down_until_boot_s or fault is Fault.LOST:
            raise failed
        if fault in (Fault.CUT_SHORT, Fault.CORRUPT):
            self.log.append(journals.truncate_payload(payload, self.rng))
            raise failed
        slow = self.boot_s < self.log.slow_until_boot_s
        if slow or fault in (Fault.DELAYED, Fault.REORDERED):
            wait_s = REORDER_S if fault is Fault.REORDERED else DELAY_S
            self.schedule(wait_s, lambda: self._append_delayed(payload))
            raise failed
        offset = self.log.append(payload)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            self.log.append(payload)
        self.inject_after_step(fault, instance)
        if fault is Fault.ANSWER_LOST:
            raise failed
        return offset

    def _append_delayed(self, payload: bytes) -> None:
        self.log.append(payload)

    def read(
        self, instance: node.Node, from_offset: int, limit: int
    ) -> _log_client.LogPage:
        """Reads a page of the log for an instance.

        Raises:
            LogCallError: The read failed.
            ProcessDiedError: The process died before or after the read.
        """
        if self.boot_s < self.log.down_until_boot_s:
            raise _log_client.LogCallError("down")
        page = self.log.read_page(from_offset, limit)
        found_steps: set[Step] = set()
        for payload in page.payloads:
            found_steps |= self._steps_of_read(payload, instance)
        fault = self.inject_fault(found_steps, instance)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR, Fault.REORDERED):
            self._read_again_later(instance, page)
        elif fault in injection.MESSAGE_FAULTS or fault is Fault.LOG_DOWN:
            raise _log_client.LogCallError("injected")
        self.inject_after_step(fault, instance)
        return page

    def _read_again_later(
        self, instance: node.Node, page: _log_client.LogPage
    ) -> None:
        """Delivers the same entries to an instance again, after newer ones."""
        again = _events.EntriesRead(
            entries=_log_reader.decode_entries(
                page.first_offset, page.payloads
            ),
            payloads=page.payloads,
            requested_boot_s=self.boot_s,
            head_offset=page.head_offset,
        )
        self.schedule_on_instance(
            instance, DELAY_S, lambda: instance.state.tell(again)
        )

    def _steps_of_read(self, payload: bytes, instance: node.Node) -> set[Step]:
        """Returns the steps that reading one entry belongs to."""
        try:
            batch = _codec.decode_batch(payload)
        except _errors.DecodeError:
            return set()
        own = batch.author.name == instance.name
        return steps.steps_of_read(batch.records, is_author=own)

    def send_peer(self, instance: node.Node, action: _events.SendPeer) -> None:
        """Sends a message to another instance, with the cell's fault."""
        message = action.message
        fault = self.inject_fault(
            steps.steps_of_peer_message(message), instance
        )
        target = self._find_instance(action.instance)
        if target is None or not target.is_alive:
            dropped = _events.SendDropped(action.instance, message)
            if steps.steps_of_peer_message(message) & {
                Step.FORWARD,
                Step.RETURN,
            }:
                self.schedule_on_instance(
                    instance, HOP_DELAY_S, lambda: instance.urgent.tell(dropped)
                )
            return
        if fault in (Fault.PEER_DIES, Fault.PEER_HANGS):
            self._fail_instance(target, fault)
        wire = _codec.encode_message(message)
        if fault in (Fault.CUT_SHORT, Fault.CORRUPT):
            wire = journals.truncate_payload(wire, self.rng)
        if fault is not Fault.LOST and fault is not Fault.ANSWER_LOST:
            wait_s = HOP_DELAY_S
            if fault is Fault.DELAYED:
                wait_s = DELAY_S
            if fault is Fault.REORDERED:
                wait_s = REORDER_S
            self.schedule(wait_s, lambda: self._deliver_message(target, wire))
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            self.schedule(
                REORDER_S, lambda: self._deliver_message(target, wire)
            )
        self.inject_after_step(fault, instance)

    def _find_instance(self, peer: str) -> node.Node | None:
        """Returns an instance by its name or by its address."""
        by_address = {
            node.peer_address(name): name for name in self.node_by_name
        }
        return self.node_by_name.get(by_address.get(peer, peer))

    def _fail_instance(self, target: node.Node, fault: Fault) -> None:
        """Ends the process of an instance for PEER_DIES, else pauses it."""
        if fault is Fault.PEER_DIES:
            self.kill_instance(target)
        else:
            self.pause_instance(target)

    def _deliver_message(self, target: node.Node, wire: bytes) -> None:
        """Delivers a message, if the process it was sent to is still alive."""
        if not target.is_alive:
            return
        try:
            message = _codec.decode_message(wire)
        except _errors.DecodeError:
            return
        received = _events.PeerReceived(message)
        if not isinstance(message, _messages.ForwardRequest):
            self._route_message(target, message, received)
            return
        self.schedule_on_instance(
            target, 0.0, lambda: self._deliver_forward(target, received)
        )

    def _deliver_forward(
        self, target: node.Node, received: _events.PeerReceived
    ) -> None:
        """Delivers a forwarded request to its owner, with the cell's fault."""
        fault = self.inject_fault({Step.OWNER_ADMIT}, target)
        if fault is Fault.LOST:
            return
        target.urgent.tell(received)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            target.urgent.tell(received)
        self.inject_after_step(fault, target)

    def _route_message(
        self,
        target: node.Node,
        message: _messages.PeerMessage,
        received: _events.PeerReceived,
    ) -> None:
        """Passes a message to the urgent task or the state task."""
        urgent = (_messages.ForwardReply, _messages.OwnerLoad)
        task = target.urgent if isinstance(message, urgent) else target.state
        task.tell(received)

    def _send_live_list(self) -> None:
        """Sends the live list to all instances every second, unless stale."""
        if self.boot_s < self._next_list_boot_s or self.list_is_stale:
            return
        self._next_list_boot_s = self.boot_s + 1.0
        listed = _events.LiveListRead(
            machines=tuple(self._list_machines()), as_of_wall_s=0.0
        )
        for instance in self.live_instances():
            instance.state.tell(listed)

    def _list_machines(self) -> list[_events.LiveMachine]:
        """Returns the live list of workers and executors."""
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
        self, instance: node.Node, call: _batch_events.CallWorker
    ) -> None:
        """Schedules a call from an instance to a worker."""
        self.schedule_on_instance(
            instance,
            HOP_DELAY_S,
            lambda: self._send_worker_call(instance, call),
        )

    def _send_worker_call(
        self, instance: node.Node, call: _batch_events.CallWorker
    ) -> None:
        """Calls a worker, with the cell's fault, and reports the result."""
        worker = self.worker_by_name[call.machine]
        fault = self.inject_fault(
            steps.steps_of_worker_call(call.request), instance
        )
        if self.boot_s < instance.paused_until_boot_s:
            # Paused directly before the send, so the send follows the pause.
            self.schedule_on_instance(
                instance,
                0.0,
                lambda: self._send_worker_call_after_pause(instance, call),
            )
            return
        self._fail_worker(worker, fault)
        if fault is Fault.LOST:
            self._report_lost_worker_call(instance, call)
            return
        if fault in (Fault.DELAYED, Fault.REORDERED):
            wait_s = DELAY_S if fault is Fault.DELAYED else REORDER_S
            self.schedule(
                wait_s, lambda: self._apply_delayed_worker_call(worker, call)
            )
            self._report_lost_worker_call(instance, call)
            return
        result = worker.handle_call(call, self.boot_s)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR):
            worker.handle_call(call, self.boot_s)
        self.inject_after_step(fault, instance)
        if fault in injection.MESSAGE_FAULTS and fault is not Fault.DOUBLED:
            self._report_lost_worker_call(instance, call)
            return
        self.schedule_on_instance(
            instance, HOP_DELAY_S, lambda: instance.state.tell(result)
        )

    def _send_worker_call_after_pause(
        self, instance: node.Node, call: _batch_events.CallWorker
    ) -> None:
        """Calls a worker without a further fault and reports the result."""
        result = self.worker_by_name[call.machine].handle_call(
            call, self.boot_s
        )
        instance.state.tell(result)

    def _apply_delayed_worker_call(
        self, worker: fake_worker.FakeWorker, call: _batch_events.CallWorker
    ) -> None:
        """Lets a delayed call take effect at the worker; its result is lost."""
        worker.handle_call(call, min(self.boot_s, call.not_after_boot_s))

    def _report_lost_worker_call(
        self, instance: node.Node, call: _batch_events.CallWorker
    ) -> None:
        """Reports a call as lost after `CALL_TIMEOUT_S`, outcome unknown."""
        lost = _outcomes.Unknown(
            Step.SEND, call.address, _outcomes.Reason.TIMEOUT
        )
        event = _batch_events.WorkerCallLost(call.machine, call.request, lost)
        self.schedule_on_instance(
            instance, CALL_TIMEOUT_S, lambda: instance.state.tell(event)
        )

    def _fail_worker(
        self, worker: fake_worker.FakeWorker, fault: Fault | None
    ) -> None:
        """Makes a worker fail for `OUTAGE_S` if the fault is of a peer."""
        match fault:
            case Fault.PEER_REFUSES:
                worker.refuse = True
                worker.refuse_checkpoints = True
            case Fault.PEER_HANGS:
                worker.down = True
            case Fault.PEER_DIES:
                worker.down = True
                worker.restart()
            case Fault.PEER_FAILS:
                worker.fail_everything = True
            case _:
                return
        self.schedule(OUTAGE_S, lambda: self._restore_worker(worker))

    def _restore_worker(self, worker: fake_worker.FakeWorker) -> None:
        """Ends an injected failure of a worker."""
        worker.refuse = False
        worker.refuse_checkpoints = False
        worker.down = False
        worker.fail_everything = False

    def call_executor(
        self, instance: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        """Schedules a call from an instance to an executor."""
        self.schedule_on_instance(
            instance,
            HOP_DELAY_S,
            lambda: self._connect_to_executor(instance, call),
        )

    def _connect_to_executor(
        self, instance: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        """Connects to an executor and schedules the send."""
        executor = self.executor_by_name[call.executor]
        fault = self.inject_fault({Step.CONNECT}, instance)
        self._fail_executor(executor, fault)
        if executor.is_down or fault in injection.MESSAGE_FAULTS:
            reason = _outcomes.Reason.CONNECT_FAILED
            self._report_not_run(instance, call, Step.CONNECT, reason)
            return
        self.inject_after_step(fault, instance)
        self.schedule_on_instance(
            instance,
            HOP_DELAY_S,
            lambda: self._send_executor_call(instance, call),
        )

    def _send_executor_call(
        self, instance: node.Node, call: _urgent_request.CallExecutor
    ) -> None:
        """Sends a request unless its lease or deadline has passed."""
        fault = self.inject_fault({Step.SEND}, instance)
        if self.boot_s < instance.paused_until_boot_s:
            self.schedule_on_instance(
                instance, 0.0, lambda: self._send_executor_call(instance, call)
            )
            return
        if self.boot_s >= instance.lease_until_boot_s:
            reason = _outcomes.Reason.LEASE_LAPSED
            self._report_not_run(instance, call, Step.SEND, reason)
            return
        if self.boot_s >= call.deadline_boot_s:
            reason = _outcomes.Reason.DEADLINE_PASSED
            self._report_not_run(instance, call, Step.SEND, reason)
            return
        executor = self.executor_by_name[call.executor]
        self._fail_executor(executor, fault)
        if fault in (Fault.LOST, Fault.CUT_SHORT, Fault.CORRUPT):
            self._report_unknown(instance, call, Step.SEND)
            return
        served = None
        if not executor.is_down:
            served = executor.start_request(call, self.boot_s)
        self.inject_after_step(fault, instance)
        if served is None:
            reason = _outcomes.Reason.REFUSED_BY_PEER
            self._report_not_run(instance, call, Step.SEND, reason)
            return
        self._wait_for_answer(instance, call, served, fault)

    def _wait_for_answer(
        self,
        instance: node.Node,
        call: _urgent_request.CallExecutor,
        served: journals.ServedRequest,
        sent_with: Fault | None,
    ) -> None:
        """Schedules the receipt of the answer, or loses the connection."""
        fault = self.inject_fault({Step.WAIT}, instance)
        self._fail_executor(self.executor_by_name[call.executor], fault)
        lost = injection.MESSAGE_FAULTS - {Fault.DOUBLED, Fault.REORDERED}
        if sent_with in lost or fault in lost or fault is Fault.PEER_DIES:
            self._report_unknown(instance, call, Step.WAIT)
            return
        self.inject_after_step(fault, instance)
        wait_s = served.end_boot_s - self.boot_s
        self.schedule_on_instance(
            instance,
            wait_s,
            lambda: self._receive_answer(instance, call, served),
        )

    def _receive_answer(
        self,
        instance: node.Node,
        call: _urgent_request.CallExecutor,
        served: journals.ServedRequest,
    ) -> None:
        """Reports an executor's answer as the outcome of a call."""
        fault = self.inject_fault({Step.RECEIVE}, instance)
        if self.boot_s < instance.paused_until_boot_s:
            self.schedule_on_instance(
                instance,
                0.0,
                lambda: self._receive_answer(instance, call, served),
            )
            return
        failing = self.executor_by_name[call.executor].mode == "fail"
        broken = injection.MESSAGE_FAULTS - {Fault.DOUBLED, Fault.REORDERED}
        if fault in broken or self.boot_s > call.deadline_boot_s:
            self._report_unknown(instance, call, Step.RECEIVE)
            return
        answer = _outcomes.Completed(
            500 if failing else 200,
            b"answer " + call.hop.body,
            "text/plain",
            call.executor,
        )
        self._report_outcome(instance, call, answer)
        if fault is Fault.DOUBLED:
            self._report_outcome(instance, call, answer)
        self.inject_after_step(fault, instance)

    def _fail_executor(
        self, executor: journals.FakeExecutor, fault: Fault | None
    ) -> None:
        """Makes an executor fail for `OUTAGE_S` if the fault is of a peer."""
        match fault:
            case Fault.PEER_REFUSES:
                executor.mode = "refuse"
            case Fault.PEER_HANGS:
                executor.mode = "hang"
            case Fault.PEER_FAILS:
                executor.mode = "fail"
            case Fault.PEER_DIES:
                executor.is_down = True
            case _:
                return
        self.schedule(OUTAGE_S, lambda: self._restore_executor(executor))

    def _restore_executor(self, executor: journals.FakeExecutor) -> None:
        """Ends an injected failure of an executor."""
        executor.mode = ""
        executor.is_down = False

    def _report_not_run(
        self,
        instance: node.Node,
        call: _urgent_request.CallExecutor,
        step: Step,
        reason: _outcomes.Reason,
    ) -> None:
        """Ends a call whose request certainly did not run."""
        self._report_outcome(
            instance, call, _outcomes.NotRun(step, call.executor, reason)
        )

    def _report_unknown(
        self,
        instance: node.Node,
        call: _urgent_request.CallExecutor,
        step: Step,
    ) -> None:
        """Ends a call whose connection was lost; it may have run."""
        reason = _outcomes.Reason.CONNECTION_LOST
        self._report_outcome(
            instance, call, _outcomes.Unknown(step, call.executor, reason)
        )

    def _report_outcome(
        self,
        instance: node.Node,
        call: _urgent_request.CallExecutor,
        outcome: _outcomes.Outcome,
    ) -> None:
        """Reports the end of an executor call to the urgent task."""
        ended = _urgent_request.CallEnded(call.call_id, outcome, 0.1)
        instance.urgent.tell(ended)

    def accepted_records(self, kind: type) -> list[_records.Record]:
        """Returns every record of a type that was ever appended to the log."""
        return [
            record
            for payload in self.log.all_payloads
            for record in journals.decode_records(payload)
            if isinstance(record, kind)
        ]

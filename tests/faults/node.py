"""An entry instance whose production tasks run on the test's thread."""

from collections.abc import Callable
from concurrent import futures
import random
from typing import Any
from typing import Protocol

from basiljunction.coordination import _batch_core
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _events
from basiljunction.coordination import _log_buffer
from basiljunction.coordination import _timing
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _system
from basiljunction.transport import _log_appender
from basiljunction.transport import _log_client
from basiljunction.transport import _log_reader
from basiljunction.transport import _metrics
from basiljunction.transport import _state_messages
from basiljunction.transport import _state_task
from basiljunction.transport import _urgent_task
import fakes

SNAPSHOT_EVERY_ENTRIES = 60
"""Log entries between two snapshots."""

MAX_DELIVERY_ROUNDS = 30
"""Most rounds of message delivery in one call of `Node.run_tasks`."""


class Environment(Protocol):
    """Interface through which an instance reaches the log and its peers."""

    clock: fakes.FakeClock

    def append(self, node: "Node", payload: bytes) -> int:
        """Appends an entry to the log and returns its offset."""

    def read(
        self, node: "Node", from_offset: int, limit: int
    ) -> _log_client.LogPage:
        """Reads a page of the log."""

    def send_peer(self, node: "Node", action: _events.SendPeer) -> None:
        """Sends a message to another instance."""

    def call_executor(
        self, node: "Node", call: _urgent_request.CallExecutor
    ) -> None:
        """Begins a call to an executor."""

    def call_worker(self, node: "Node", call: _batch_events.CallWorker) -> None:
        """Begins a call to a worker."""


class _NodeLog(_log_client.Log):
    """Log client of one instance, backed by the environment."""

    def __init__(self, environment: Environment, node: "Node") -> None:
        self._environment = environment
        self._node = node

    def append(self, payload: bytes) -> int:
        return self._environment.append(self._node, payload)

    def read(
        self, from_offset: int, *, limit: int, wait_s: float
    ) -> _log_client.LogPage:
        return self._environment.read(self._node, from_offset, limit)


class _PeerLinks:
    """Passes messages for peers on to the environment."""

    def __init__(self, environment: Environment, node: "Node") -> None:
        self._environment = environment
        self._node = node

    def tell(self, message: object) -> None:
        """Passes a message for a peer on; ignores other messages."""
        if isinstance(message, _events.SendPeer):
            self._environment.send_peer(self._node, message)


class _ExecutorPool(futures.Executor):
    """Passes executor calls to the environment instead of a thread pool."""

    def __init__(self, environment: Environment, node: "Node") -> None:
        self._environment = environment
        self._node = node

    def submit(  # type: ignore[override]  # receives only executor calls
        self,
        fn: Callable[..., Any],
        /,
        call: _urgent_request.CallExecutor,
    ) -> "futures.Future[Any]":
        del fn
        self._environment.call_executor(self._node, call)
        return futures.Future()


class _WorkerCalls:
    """Passes worker calls to the environment instead of threads."""

    def __init__(self, environment: Environment, node: "Node") -> None:
        self._environment = environment
        self._node = node

    def submit_call(self, call: Any) -> None:
        """Passes one call to a worker on."""
        self._environment.call_worker(self._node, call)


class _UrgentTaskObserver:
    """Forwards messages to the urgent task; keeps newest view and lease."""

    def __init__(self, node: "Node") -> None:
        self._node = node

    def tell(self, message: object) -> None:
        """Forwards one message and keeps the view or lease in it."""
        if isinstance(message, _views.FleetView):
            self._node.fleet_view = message
        if isinstance(message, _events.LeaseChanged):
            self._node.lease_until_boot_s = message.lease_until_boot_s
        self._node.urgent.tell(message)


def peer_address(name: str) -> str:
    """Returns the peer address of an instance."""
    return f"127.0.0.1:{name}"


def _always_open(_hours: _contract.OfficeHours, _wall_s: float) -> float:
    return 0.0


class Node:
    """An entry instance; a restart creates a new one of the same name.

    Attributes:
        name: Name of the instance.
        is_alive: Whether the process runs.
        is_draining: Whether it was asked to drain.
        paused_until_boot_s: Until then none of its threads run.
        has_exited: Whether it exited by itself.
        fleet_view: Newest view of the state folded from the log.
        lease_until_boot_s: When its lease to start work expires.
    """

    def __init__(
        self,
        environment: Environment,
        name: str,
        zone: str,
        rng: random.Random,
        seeds: tuple[str, ...],
    ) -> None:
        """Creates the instance's tasks and connects them."""
        self.name = name
        self.is_alive = True
        self.has_exited = False
        self.is_draining = False
        self.paused_until_boot_s = 0.0
        self.fleet_view = _views.FleetView(name, 0)
        self.lease_until_boot_s = float("-inf")
        clock = fakes.SkewedClock(environment.clock)
        self.clock = clock
        identity = _timing.InstanceIdentity(
            instance=name,
            zone=zone,
            group="south",
            peer_address=peer_address(name),
            http_address=f"127.0.0.1:{name}",
        )
        self.state = _state_task.StateTask(
            identity=identity,
            timing=_timing.LeaseTiming(),
            clock=clock,
            rng=rng,
            make_batch_core=lambda incarnation: _batch_core.BatchCore(
                instance=name, incarnation=incarnation
            ),
            on_exit=self._mark_exited,
            snapshot_every_entries=SNAPSHOT_EVERY_ENTRIES,
            seed_peers=seeds,
        )
        self.urgent = _urgent_task.UrgentTask(
            instance=name,
            clock=clock,
            source=rng,
            seconds_until_open=_always_open,
            calls_pool=_ExecutorPool(environment, self),
            peers=_PeerLinks(environment, self),
            send_to_state=self.state.tell,
            metrics=_metrics.Metrics(name),
        )
        log = _NodeLog(environment, self)
        self.reader = _log_reader.LogReader(
            client=log, state=self.state, clock=clock, rng=rng
        )
        self.appender = _log_appender.LogAppender(
            client=log,
            instance=name,
            buffer=_log_buffer.AppendBuffer(
                max_batch_records=64, max_buffered_records=2000
            ),
            state=self.state,
            clock=clock,
            rng=rng,
            flush_s=0.025,
            appends_per_s=20,
        )
        self.state.connect(
            reader=self.reader,
            appender=self.appender,
            links=_PeerLinks(environment, self),
            urgent=_UrgentTaskObserver(self),
            workers=_WorkerCalls(environment, self),
        )

    @property
    def folded_state(self) -> _system.SystemState:
        """The state that it computed (folded) from the log's records."""
        return self.state._state

    def can_run(self, boot_s: float) -> bool:
        """Returns whether the process is alive and not paused."""
        return self.is_alive and boot_s >= self.paused_until_boot_s

    def run_tasks(self) -> None:
        """Runs each task once, then delivers messages until none is queued.

        Stops after `MAX_DELIVERY_ROUNDS` rounds.
        """
        tasks = (self.reader, self.state, self.appender, self.urgent)
        for task in tasks:
            if not self.is_alive:
                return
            task.handle_pending_messages()
        for _ in range(MAX_DELIVERY_ROUNDS):
            delivered = [self._run_pending(task) for task in tasks[1:]]
            if not any(delivered):
                return

    def _run_pending(self, task: Any) -> bool:
        """Delivers a task's queued messages; returns whether it had any."""
        if not self.is_alive or task._mailbox.empty():
            return False
        task.handle_pending_messages()
        return True

    def submit_request(
        self, request: _urgent_task.UrgentRequestSubmitted
    ) -> None:
        """Passes a caller's request to the urgent task."""
        self.urgent.tell(request)

    def tell_state(self, message: object) -> None:
        """Passes a message to the state task."""
        self.state.tell(message)

    def drain(self) -> None:
        """Asks the instance to drain and exit."""
        self.is_draining = True
        self.state.tell(_events.DrainRequested())

    def append_records(
        self, request: _state_messages.AppendRequested
    ) -> "futures.Future[Any]":
        """Asks the state task to append records; returns the future result."""
        self.state.tell(request)
        return request.reply

    def _mark_exited(self, _detail: str) -> None:
        self.has_exited = True

"""Runs entry instances in one process, on one log in memory.

Instances exchange messages over real TCP connections. They have no HTTP
server, no urgent path (routing of latency-critical requests) and, by
default, no batch core.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import random
import threading
import time
from typing import Any

from basiljunction.coordination import _events
from basiljunction.coordination import _log_buffer
from basiljunction.coordination import _spread
from basiljunction.coordination import _timing
from basiljunction.coordination import _views
from basiljunction.state import _records
from basiljunction.state import _system
from basiljunction.state import _time
from basiljunction.state import _verdict
from basiljunction.transport import _clock
from basiljunction.transport import _log_appender
from basiljunction.transport import _log_client
from basiljunction.transport import _log_reader
from basiljunction.transport import _peer_links
from basiljunction.transport import _state_messages
from basiljunction.transport import _state_task

ZONES = ("dunedin", "christchurch", "invercargill")
"""Availability zones over which instances are spread."""

GROUP = "south"
"""Group of all instances."""

_THREADS_PER_INSTANCE = 4
"""Threads of one instance, one for each of its tasks."""


class MemoryLog(_log_client.Log):
    """An append-only log in memory.

    Attributes:
        delay_s: Time that each call takes, in seconds.
        is_down: Whether every call fails without effect.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.is_down = False
        self._first_offset = 0
        self._payloads: list[bytes] = []
        self._changed = threading.Condition()

    def replace_entries(self, first_offset: int, payloads: list[bytes]) -> None:
        """Replaces the content by entries that begin at an offset.

        Args:
            first_offset: Offset of the first entry; those before count as
                truncated.
            payloads: The encoded entries.
        """
        self._first_offset = first_offset
        self._payloads = list(payloads)

    @property
    def payloads(self) -> tuple[bytes, ...]:
        """The encoded entries that the log holds."""
        return tuple(self._payloads)

    @property
    def head(self) -> int:
        """Offset of the next entry."""
        return self._first_offset + len(self._payloads)

    def append(self, payload: bytes) -> int:
        """Appends one entry and returns its offset.

        Raises:
            LogCallError: The log is down.
        """
        self._delay_or_fail()
        with self._changed:
            self._payloads.append(payload)
            self._changed.notify_all()
            return self.head - 1

    def truncate(self, first: int) -> None:
        """Deletes the entries before an offset."""
        with self._changed:
            del self._payloads[: first - self._first_offset]
            self._first_offset = first

    def read(
        self, from_offset: int, *, limit: int, wait_s: float
    ) -> _log_client.LogPage:
        """Returns entries from an offset on and the offset of the next entry.

        Args:
            from_offset: Offset of the first entry to read.
            limit: Maximum number of entries.
            wait_s: How long to wait for an entry if there is none.

        Raises:
            LogCallError: The log is down.
            LogTruncatedError: The entry at the offset has been deleted.
        """
        self._delay_or_fail()
        with self._changed:
            self._changed.wait_for(lambda: self.head > from_offset, wait_s)
            if from_offset < self._first_offset:
                raise _log_client.LogTruncatedError(
                    self._first_offset, self.head
                )
            start = from_offset - self._first_offset
            payloads = tuple(self._payloads[start : start + limit])
            head = self.head
        return _log_client.LogPage(head, from_offset, payloads)

    def _delay_or_fail(self) -> None:
        """Waits for the set delay; raises LogCallError if the log is down."""
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.is_down:
            raise _log_client.LogCallError("the log is down")


class DelayedLogClient(_log_client.Log):
    """One instance's access to the log, with a delay of its own.

    Args:
        log: The shared log.

    Attributes:
        delay_s: Time that each call of this instance takes in addition to
            the log's own delay, in seconds.
    """

    def __init__(self, log: MemoryLog) -> None:
        self.delay_s = 0.0
        self._log = log

    def append(self, payload: bytes) -> int:
        """Appends one entry and returns its offset."""
        time.sleep(self.delay_s)
        return self._log.append(payload)

    def read(
        self, from_offset: int, *, limit: int, wait_s: float
    ) -> _log_client.LogPage:
        """Returns entries from an offset on; see ``MemoryLog.read``."""
        time.sleep(self.delay_s)
        return self._log.read(from_offset, limit=limit, wait_s=wait_s)


class _UrgentPathStub:
    """Stub of the urgent path: reports leaving executors as free of requests.

    It answers each fleet view at once, as if every executor of this instance
    that is leaving had no request in flight.

    Attributes:
        view: The latest fleet view received; None before the first.
        lease_until_boot_s: End of the instance's lease, in seconds since boot.
        state: The state task, which receives the reports.
    """

    def __init__(self) -> None:
        self.view: _views.FleetView | None = None
        self.lease_until_boot_s = float("-inf")
        self.state: _state_messages.MessageReceiver | None = None

    def tell(self, message: object) -> None:
        """Receives a message of the state task.

        Stores a lease or a fleet view; answers a view by reporting that the
        leaving executors have no request in flight.
        """
        if isinstance(message, _events.LeaseChanged):
            self.lease_until_boot_s = message.lease_until_boot_s
        if not isinstance(message, _views.FleetView):
            return
        self.view = message
        closed = {
            executor.executor: 0
            for executor in message.executor_by_id.values()
            if executor.leaving and executor.owner == message.instance
        }
        if closed and self.state is not None:
            self.state.tell(_events.ClosedExecutors(message.serial, closed))


class _NoOpBatchCore:
    """Stub of a batch core and of a worker client; both do nothing."""

    def handle(
        self, _state: _system.SystemState, _event: object, _now: _time.Now
    ) -> list[Any]:
        """Ignores the event and returns no actions."""
        return []

    def submit_call(self, _call: object) -> None:
        """Discards a call to a worker."""


class PausableClock(_clock.SystemClock):
    """The system clock; a paused clock blocks every thread that reads it.

    Pausing it simulates an instance whose process is stopped for a while.
    """

    def __init__(self) -> None:
        self._running = threading.Event()
        self._running.set()

    def now(self) -> _time.Now:
        """Returns the current time; blocks while the clock is paused."""
        self._running.wait()
        return super().now()

    def pause(self) -> None:
        """Blocks all following reads of the clock until it is resumed."""
        self._running.clear()

    def resume(self) -> None:
        """Ends the pause and releases the blocked threads."""
        self._running.set()


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Settings shared by the instances of a fleet.

    Attributes:
        timing: Durations of leases and guards.
        appends_per_s: Maximum rate of log appends of one instance.
        make_batch_core: Returns the batch core for an incarnation; None for
            a stub that does nothing.
        max_lag_s: Lag behind a peer, in seconds, above which an instance
            requests the missing log entries from that peer.
        snapshot_every_entries: Log entries between two snapshots.
    """

    timing: _timing.LeaseTiming = dataclasses.field(
        default_factory=_timing.LeaseTiming
    )
    appends_per_s: float = 20.0
    make_batch_core: Callable[[int], _state_messages.DecisionCore] | None = None
    max_lag_s: float = _spread.MAX_LAG_S
    snapshot_every_entries: int = 20_000


class FleetInstance:
    """An entry instance without an HTTP server and with a stub urgent path.

    Args:
        name: Name of the instance.
        zone: Availability zone of the instance.
        log: The shared log.
        seed: Seed of the instance's random numbers.
        options: Settings of the instance.

    Attributes:
        clock: Clock of the instance, which can be paused.
        urgent: Stub of the urgent path.
        log: The instance's access to the shared log.
        exited: Set once the instance has asked its process to exit.
        links: Connections to the other instances.
        state: State task, which folds the log and runs the control core.
        reader: Task that reads the log.
        appender: Task that appends to the log.
    """

    def __init__(
        self,
        name: str,
        *,
        zone: str,
        log: MemoryLog,
        seed: int,
        options: FleetOptions,
    ) -> None:
        rng = random.Random(f"{seed}/{name}")
        self.name = name
        self.clock = PausableClock()
        self.urgent = _UrgentPathStub()
        self.log = DelayedLogClient(log)
        self.exited = threading.Event()
        self.links = _peer_links.PeerLinks(
            instance=name, listen="127.0.0.1:0", clock=self.clock, rng=rng
        )
        self.state = _state_task.StateTask(
            identity=_timing.InstanceIdentity(
                instance=name,
                zone=zone,
                group=GROUP,
                peer_address=self.links.address,
                http_address="127.0.0.1:1",
            ),
            timing=options.timing,
            clock=self.clock,
            rng=rng,
            make_batch_core=options.make_batch_core
            or (lambda _: _NoOpBatchCore()),
            on_exit=lambda _detail: self.exited.set(),
            snapshot_every_entries=options.snapshot_every_entries,
            entry_exchange=_spread.LogEntryExchange(
                name, max_lag_s=options.max_lag_s
            ),
        )
        self.reader = _log_reader.LogReader(
            client=self.log, state=self.state, clock=self.clock, rng=rng
        )
        self.appender = _log_appender.LogAppender(
            client=self.log,
            instance=name,
            buffer=_log_buffer.AppendBuffer(
                max_batch_records=256, max_buffered_records=20_000
            ),
            state=self.state,
            clock=self.clock,
            rng=rng,
            flush_s=0.025,
            appends_per_s=options.appends_per_s,
        )
        self.state.connect(
            reader=self.reader,
            appender=self.appender,
            links=self.links,
            urgent=self.urgent,
            workers=_NoOpBatchCore(),
        )
        self.urgent.state = self.state
        self.links.set_recipients(state=self.state, urgent=self.urgent)
        self._pool = futures.ThreadPoolExecutor(_THREADS_PER_INSTANCE)
        self._tasks = (self.state, self.reader, self.appender, self.links)

    def start(self) -> None:
        """Starts the threads of the instance."""
        for task in self._tasks:
            task.start(self._pool)

    def stop(self) -> None:
        """Stops the instance without draining, as if its process had died."""
        self.clock.resume()
        for task in (self.links, self.appender, self.reader, self.state):
            task.stop()
        self._pool.shutdown()

    def request_drain(self) -> None:
        """Requests that the instance leaves its group gracefully."""
        self.state.tell(_events.DrainRequested())

    def append(
        self, *records: _records.Record, within_s: float = 30.0
    ) -> "futures.Future[tuple[_verdict.Verdict, ...]]":
        """Appends records to the log through this instance.

        Args:
            records: The records.
            within_s: Time limit for the append, in seconds.

        Returns:
            A future of the fold's verdicts, one for each record.
        """
        reply: futures.Future[tuple[_verdict.Verdict, ...]] = futures.Future()
        not_after_s = _clock.SystemClock().now().boot_s + within_s
        self.state.tell(
            _state_messages.AppendRequested(records, reply, not_after_s)
        )
        return reply

    def query(self, read: Callable[[_system.SystemState], Any]) -> Any:  # noqa: ANN401 - whatever the function returns
        """Returns the result of a function applied to the folded state.

        Args:
            read: Function that reads the state; it must not change it.

        Raises:
            TimeoutError: The instance did not answer within 30 seconds.
        """
        reply: futures.Future[Any] = futures.Future()
        self.state.tell(
            _state_messages.QueryRequested(
                lambda state, _now: read(state), reply
            )
        )
        return reply.result(30.0)


class Fleet:
    """Several instances of one group that share one log.

    Args:
        size: Number of instances.
        seed: Seed of the instances' random numbers.
        options: Settings of the instances; None for the defaults.
        log: The shared log; None for a new, empty one.

    Attributes:
        log: The shared log.
        instances: The instances that ``start`` and ``stop`` act on.
    """

    def __init__(
        self,
        size: int,
        *,
        seed: int,
        options: FleetOptions | None = None,
        log: MemoryLog | None = None,
    ) -> None:
        self.log = log or MemoryLog()
        self._seed = seed
        self._options = options or FleetOptions()
        self.instances = [
            self.make_instance(f"entry-{i + 1}") for i in range(size)
        ]

    def make_instance(self, name: str) -> FleetInstance:
        """Returns a new instance; doesn't start it or add it to the fleet."""
        zone = ZONES[int(name.rpartition("-")[2]) % len(ZONES)]
        return FleetInstance(
            name,
            zone=zone,
            log=self.log,
            seed=self._seed,
            options=self._options,
        )

    def start(self) -> None:
        """Starts all instances."""
        for instance in self.instances:
            instance.start()

    def stop(self) -> None:
        """Stops all instances in parallel, also those that are paused."""
        for instance in self.instances:
            instance.clock.resume()
        with futures.ThreadPoolExecutor(len(self.instances)) as pool:
            list(pool.map(FleetInstance.stop, self.instances))


def wait_until(
    condition: Callable[[], bool], *, within_s: float, step_s: float = 0.005
) -> float:
    """Polls a condition until it is true and returns the time that this took.

    Args:
        condition: The condition.
        within_s: Time limit, in seconds.
        step_s: Time between two polls, in seconds.

    Raises:
        TimeoutError: The condition was still false after the time limit.
    """
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > within_s:
            raise TimeoutError("the awaited condition did not come true")
        time.sleep(step_s)
    return time.monotonic() - began_s


def is_membership_complete(fleet: Fleet) -> bool:
    """Whether every instance lists all instances as members and as electors.

    Electors are the instances whose vouchers extend a member's lease.
    """
    for instance in fleet.instances:
        elector_lists = instance.query(
            lambda state: [
                member.electors for member in state.member_by_instance.values()
            ]
        )
        if len(elector_lists) != len(fleet.instances):
            return False
        if any(len(each) != len(fleet.instances) for each in elector_lists):
            return False
    return True

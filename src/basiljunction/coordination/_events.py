"""Events and actions that more than one core handles.

A core is a plain object with ``handle(state, event, now)``, which returns a
list of actions. It holds no socket, thread or clock, and a random source is
passed to it. The task that runs it executes its actions and passes their
results back as events. Events and actions of a single core are defined in that
core's own module.
"""

import dataclasses

from basiljunction.coordination import _messages
from basiljunction.coordination import _views
from basiljunction.state import _records
from basiljunction.state import _verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed, so the core checks its timers."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRead:
    """Event: log entries arrived, from the log or from a peer.

    Attributes:
        entries: In offset order; those folded before are skipped.
        payloads: The same entries, encoded as in the log.
        requested_boot_s: When the read was sent, on the boot clock; its result is
            at least as new.
        head_offset: The log's next offset at the read; -1 if from a peer.
    """

    entries: tuple[_records.LogEntry, ...]
    payloads: tuple[bytes, ...]
    requested_boot_s: float
    head_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """Event: a read of the log failed; the log is unavailable or slow."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class LogTruncated:
    """Event: the log no longer holds the requested offset.

    Attributes:
        first_offset: Oldest offset that the log holds.
        head_offset: Offset that the next appended entry gets.
    """

    first_offset: int
    head_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Folded:
    """Event: entries were folded into the state.

    Attributes:
        verdicts: Whether each folded record was accepted, in log order.
    """

    verdicts: tuple[_verdict.Verdict, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateReplaced:
    """Event: a snapshot or a peer's state replaced the whole folded state."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReceived:
    """Event: a message from a peer arrived."""

    message: _messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendDropped:
    """Event: a message was certainly not sent to a peer, not even in part."""

    instance: str
    message: _messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Event and action: the end of this instance's lease has changed.

    While it holds the lease, the instance may start work on its machines.

    Attributes:
        lease_until_boot_s: When the lease ends, on this instance's boot clock.
    """

    lease_until_boot_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedExecutors:
    """Event: the urgent path sends no new requests to these executors.

    It covers every executor of this instance that the newest view shows as
    ``leaving``, and is repeated until the view changes.

    Attributes:
        view_serial: Serial of the view that showed them as leaving.
        in_flight_by_executor: Number of requests still running, by executor.
    """

    view_serial: int
    in_flight_by_executor: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """Event: this instance was requested to drain and leave."""


@dataclasses.dataclass(frozen=True, slots=True)
class LiveMachine:
    """An instance, worker or executor in the platform's list.

    The list lags behind.

    Attributes:
        name: Instance, worker or executor id.
        role: ``entry``, ``worker`` or ``executor``.
        zone: Availability zone.
        rack: Rack, or empty.
        address: Base URL.
        leaving: Whether the platform lists it as leaving.
        worker: For an executor, the worker it runs on.
        slots: For an executor, requests that it runs at once.
        connections: For an executor, connections that it accepts at once.
        millicores: For a worker, its CPU capacity in thousandths of a core.
        memory_mib: For a worker, its memory in MiB.
        accelerators: For a worker, its number of accelerators.
    """

    name: str
    role: str
    zone: str
    rack: str
    address: str
    leaving: bool
    worker: str = ""
    slots: int = 0
    connections: int = 0
    millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LiveListRead:
    """Event: the platform's list of live and leaving machines was read.

    The list is only a hint, as it lags behind.

    Attributes:
        machines: Instances, workers and executors in the list.
        as_of_wall_s: Time of the list, in seconds on the wall clock.
    """

    machines: tuple[LiveMachine, ...]
    as_of_wall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecords:
    """Action: append records to the log; an event returns their verdicts.

    Attributes:
        records: Records, appended in this order.
        not_after_boot_s: The records are dropped if the first attempt to append
            them has not begun by this time, on the boot clock.
    """

    records: tuple[_records.Record, ...]
    not_after_boot_s: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class AppendDropped:
    """Event: records were certainly not appended.

    Either their time limit had passed or the append buffer was full.
    """

    records: tuple[_records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendPeer:
    """Action: send a message to a peer; the message may be lost."""

    instance: str
    message: _messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class PublishView:
    """Action: pass a new fleet view to the urgent path and the HTTP server."""

    view: _views.FleetView


@dataclasses.dataclass(frozen=True, slots=True)
class StartIncarnation:
    """Action: append records under a new incarnation from now on."""

    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExitProcess:
    """Action: exit, as this instance left or another process took its name.

    Attributes:
        detail: Reason in readable text.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Explain:
    """Action: store and log one decision about a task, job or request.

    Attributes:
        subject: Task, job or request id.
        decision: Decision in a few words, in kebab case.
        detail: Inputs of the decision in readable text.
    """

    subject: str
    decision: str
    detail: str

"""The task that processes urgent (latency-critical) requests."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import random
from typing import Protocol

import structlog

from basiljunction.coordination import _admission
from basiljunction.coordination import _batch_events
from basiljunction.coordination import _events
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _messages
from basiljunction.coordination import _service_watch
from basiljunction.coordination import _urgent_core
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _outcomes
from basiljunction.state import _time
from basiljunction.transport import _clock
from basiljunction.transport import _executor_calls
from basiljunction.transport import _task

_log = structlog.get_logger()

TICK_S = 0.01
"""Time between two checks of request deadlines, in seconds."""

IDLE_TICK_S = 0.1
"""Time between two ticks while no request is in progress, in seconds."""

GAUGE_INTERVAL_S = 0.5
"""Time between two updates of the gauges, in seconds."""

CLOSED_REPORT_INTERVAL_S = 0.05
"""Time between two reports of requests on leaving executors, in seconds."""

NOT_SENT_RETRY_AFTER_S = 1.0
"""Retry-after of a request that could not be forwarded, in seconds."""


class MessageReceiver(Protocol):
    """Interface to send messages to another task."""

    def tell(self, message: object) -> None:
        """Puts a message into the task's mailbox."""
        ...


class MetricSink(Protocol):
    """Interface to record metrics."""

    def count(self, name: str, value: float = 1, **labels: str) -> None:
        """Adds a value to a counter."""
        ...

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Adds a value to a histogram."""
        ...

    def set(self, name: str, value: float, **labels: str) -> None:
        """Sets a gauge to a value."""
        ...


SendToState = Callable[
    [
        _events.AppendRecords
        | _events.ClosedExecutors
        | _batch_events.ServiceLatencyMeasured
    ],
    None,
]
"""Sends records to append, in-flight requests on leaving executors, and
measured service latencies to the state task. The result of an append comes
back as ``Folded`` or ``AppendDropped``."""


@dataclasses.dataclass(frozen=True, slots=True)
class UrgentRequestSubmitted:
    """A caller's urgent request, sent to the urgent task.

    Attributes:
        request: The request and its deadline.
        reply: Resolves to the request's outcome by its deadline.
    """

    request: _urgent_request.UrgentRequest
    reply: "futures.Future[_outcomes.Outcome]"


class UrgentTask(_task.Task):
    """Runs ``UrgentCore`` and executes the actions that it returns.

    The core decides where each request runs; this task makes the calls, sends
    the messages and resolves the replies.

    Args:
        instance: Name of this instance.
        clock: Source of the current time.
        source: Random source of the core.
        seconds_until_open: Returns the seconds until office hours open.
        calls_pool: Threads that run the calls to executors.
        peers: The task that sends ``SendPeer`` messages.
        send_to_state: Sends records and reports to the state task.
        metrics: Receives the metrics.
        tick_s: Time between two checks of request deadlines, in seconds.
    """

    def __init__(
        self,
        *,
        instance: str,
        clock: _clock.Clock,
        source: random.Random,
        seconds_until_open: _admission.SecondsUntilOpen,
        calls_pool: futures.Executor,
        peers: MessageReceiver,
        send_to_state: SendToState,
        metrics: MetricSink,
        tick_s: float = TICK_S,
    ) -> None:
        super().__init__(name="urgent", clock=clock, tick_s=tick_s)
        self._instance = instance
        self._core = _urgent_core.UrgentCore(
            instance=instance,
            executor_chooser=_executor_choice.LeastLatencyChooser(),
            owner_chooser=_executor_choice.LeastOutstandingChooser(),
            source=source,
            seconds_until_open=seconds_until_open,
        )
        self._calls_pool = calls_pool
        self._peers = peers
        self._append = send_to_state
        self._metrics = metrics
        self._lease_until_boot_s = float("-inf")
        self._owned_executors: frozenset[str] = frozenset()
        self._machine_by_executor: dict[str, str] = {}
        self._latency_monitor = _service_watch.UrgentLatencyMonitor()
        self._gauges_set_boot_s = float("-inf")
        self._closed_reported_boot_s = float("-inf")
        self._calls = _executor_calls.ExecutorClient(
            clock=clock, get_lease_expiry=lambda: self._lease_until_boot_s
        )
        self._reply_by_id: dict[str, futures.Future[_outcomes.Outcome]] = {}

    @property
    def in_flight_count(self) -> int:
        """Number of requests and forwarded hops without an outcome.

        The process may exit when it is 0.
        """
        return self._core.in_flight

    def handle(self, message: object, now: _time.Now) -> None:
        """Handles a request, a view, a lease change or another core event."""
        if isinstance(message, UrgentRequestSubmitted):
            self._accept_request(message, now)
            return
        if isinstance(message, _events.LeaseChanged):
            self._lease_until_boot_s = message.lease_until_boot_s
        if isinstance(message, _views.FleetView):
            self._owned_executors = frozenset(
                name
                for name, executor in message.executor_by_id.items()
                if executor.owner == message.instance
            )
            self._machine_by_executor = {
                name: executor.machine
                for name, executor in message.executor_by_id.items()
            }
        if isinstance(message, _urgent_request.CallEnded):
            self._latency_monitor.record_call_end(
                message.call_id,
                message.elapsed_s,
                is_completed=isinstance(message.outcome, _outcomes.Completed),
            )
        if isinstance(message, _events.SendDropped):
            self._reject_unsent_forward(
                message, "there is no connection to the peer", now
            )
            return
        if not isinstance(message, _urgent_core.UrgentEvent):
            raise TypeError(type(message))
        self._carry_out(self._core.handle(message, now), now)

    def tick_interval_s(self) -> float:
        """Returns the seconds to the next tick; longer with no open request."""
        if self._core.in_flight or self._core.queued_hops:
            return super().tick_interval_s()
        return IDLE_TICK_S

    def tick(self, now: _time.Now) -> None:
        """Checks deadlines, and sends due reports and gauge values."""
        self._carry_out(self._core.handle(_events.Tick(), now), now)
        if (
            now.boot_s - self._closed_reported_boot_s
            >= CLOSED_REPORT_INTERVAL_S
        ):
            self._closed_reported_boot_s = now.boot_s
            self._report_closed(now)
        for report in self._latency_monitor.take_due_reports(now.boot_s):
            self._append(report)
        if now.boot_s - self._gauges_set_boot_s < GAUGE_INTERVAL_S:
            return
        self._gauges_set_boot_s = now.boot_s
        self._calls.close_idle_connections(self._owned_executors)
        self._metrics.set("urgent_queued", self._core.queued_hops)
        left_s = max(0.0, self._lease_until_boot_s - now.boot_s)
        self._metrics.set("lease_left", left_s)
        self._metrics.set("requests_in_flight", self._core.in_flight)

    def _report_closed(self, now: _time.Now) -> None:
        """Reports requests that still run on leaving executors."""
        closed = self._core.report_leaving_executors(now)
        if closed.in_flight_by_executor:
            self._append(closed)

    def _accept_request(
        self, asked: UrgentRequestSubmitted, now: _time.Now
    ) -> None:
        """Passes a caller's request to the core; refuses a duplicate id."""
        request = asked.request
        if request.request_id in self._reply_by_id:
            refused = _outcomes.NotRun(
                _outcomes.Step.ACCEPT,
                self._instance,
                _outcomes.Reason.DUPLICATE,
                detail="another request with this id is in progress",
            )
            asked.reply.set_result(refused)
            return
        self._reply_by_id[request.request_id] = asked.reply
        event = _urgent_request.RequestArrived(request)
        self._carry_out(self._core.handle(event, now), now)

    def _carry_out(
        self, actions: list[_urgent_core.UrgentAction], now: _time.Now
    ) -> None:
        """Executes the actions of the core, in order."""
        for action in actions:
            match action:
                case _urgent_request.Reply():
                    self._reply(action)
                case _urgent_request.CallExecutor():
                    self._record_call_start(action, now)
                    self._calls_pool.submit(self._run_call, action)
                case _events.SendPeer():
                    self._send(action, now)
                case _events.AppendRecords():
                    self._append(action)
                case _events.Explain():
                    _log.info(
                        "urgent.decision",
                        subject=action.subject,
                        decision=action.decision,
                        detail=action.detail,
                    )

    def _record_call_start(
        self, action: _urgent_request.CallExecutor, now: _time.Now
    ) -> None:
        """Records the start of a call for the latency measurement."""
        call = _service_watch.ObservedCall(
            machine=self._machine_by_executor.get(action.executor, ""),
            customer=action.hop.customer,
            class_name=action.hop.class_name,
            allowed_s=action.hop.deadline_boot_s - now.boot_s,
        )
        self._latency_monitor.record_call_start(action.call_id, call)

    def _reply(self, reply: _urgent_request.Reply) -> None:
        """Resolves a caller's reply, and logs an unsuccessful outcome."""
        future = self._reply_by_id.pop(reply.request_id)
        future.set_result(reply.outcome)
        if not isinstance(reply.outcome, _outcomes.Completed):
            self._log_failure(reply.request_id, reply.outcome)

    def _log_failure(
        self, request_id: str, outcome: _outcomes.NotRun | _outcomes.Unknown
    ) -> None:
        _log.info(
            "urgent.ended",
            request_id=request_id,
            outcome=_outcome_label(outcome),
            step=outcome.step,
            peer=outcome.peer,
            reason=outcome.reason,
            detail=outcome.detail,
        )

    def _send(self, action: _events.SendPeer, now: _time.Now) -> None:
        """Sends a message to a peer; an unsent request is rejected at once."""
        try:
            self._peers.tell(action)
        except _task.MailboxFullError as error:
            dropped = _events.SendDropped(action.instance, action.message)
            self._reject_unsent_forward(dropped, str(error), now)

    def _reject_unsent_forward(
        self, dropped: _events.SendDropped, detail: str, now: _time.Now
    ) -> None:
        """Ends a forwarded request that was certainly not sent as not run."""
        message = dropped.message
        if not isinstance(message, _messages.ForwardRequest):
            return
        refused = _outcomes.NotRun(
            _outcomes.Step.FORWARD,
            dropped.instance,
            _outcomes.Reason.CONNECT_FAILED,
            NOT_SENT_RETRY_AFTER_S,
            detail,
        )
        reply = _messages.ForwardReply(
            request_id=message.request_id,
            sender=dropped.instance,
            outcome=refused,
            attempt=message.attempt,
        )
        event = _events.PeerReceived(reply)
        self._carry_out(self._core.handle(event, now), now)

    def _run_call(self, call: _urgent_request.CallExecutor) -> None:
        """Runs a call on a pool thread; sends the outcome to this task."""
        began_s = self._clock.now().boot_s
        outcome = self._calls.call_executor(call)
        elapsed_s = self._clock.now().boot_s - began_s
        self._observe(call, outcome, elapsed_s)
        # Past the capacity too: an end that got lost would leak a slot.
        self._mailbox.put(
            _urgent_request.CallEnded(call.call_id, outcome, elapsed_s)
        )

    def _observe(
        self,
        call: _urgent_request.CallExecutor,
        outcome: _outcomes.Outcome,
        elapsed_s: float,
    ) -> None:
        kind = _outcome_label(outcome)
        reason = ""
        if not isinstance(outcome, _outcomes.Completed):
            reason = outcome.reason
        self._metrics.count(
            "executor_calls",
            executor=call.executor,
            outcome=kind,
            reason=reason,
        )
        self._metrics.observe(
            "executor_call_duration",
            elapsed_s,
            customer=call.hop.customer,
            class_name=call.hop.class_name,
            outcome=kind,
        )


def _outcome_label(outcome: _outcomes.Outcome) -> str:
    """Returns the value of the ``outcome`` label in metrics and logs."""
    match outcome:
        case _outcomes.Completed():
            return "completed"
        case _outcomes.NotRun():
            return "not-run"
        case _outcomes.Unknown():
            return "unknown"

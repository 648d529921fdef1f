"""Sends the scheduler's orders to executors and reports the answers to it."""

from collections.abc import Callable
import dataclasses

import structlog

from basiljunction.coordination.scheduling import _clock_reading
from basiljunction.coordination.scheduling import _limits
from basiljunction.coordination.scheduling import _orders
from basiljunction.coordination.scheduling import _scheduler
from basiljunction.platform import _executors as _executor_calls
from basiljunction.protocol import _errors
from basiljunction.protocol import _http_call
from basiljunction.state import _time
from basiljunction.transport.jobs import _call_line
from basiljunction.transport.jobs import _checked_calls
from basiljunction.transport.jobs import _checked_connections
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _renewal_patience
from basiljunction.transport.jobs import _unsent_bodies

ORDER_TIMEOUT_S = 1.0
"""Timeout of an order, in seconds; well below the lease that it carries.

A start order has more time, for its body and for those sent beside it.
"""

MAX_START_LEASE_SHARE = 0.8
"""Longest timeout of a start order as a share of the lease that it carries, 0
to 1; the lease begins before the order is sent."""

_log = structlog.get_logger()


class OrderSender:
    """Sends the orders of a scheduler to executors and the policy service.

    Answers are passed back to the scheduler.

    Args:
        calls: HTTP client for the calls.
        scheduler: The scheduler whose orders are sent.
        epoch: Epoch of its term, part of the fencing token of every order.
        clock: Returns the current time.
        policy_address: Address of the policy service that approves runs;
            empty if there is none, in which case every approval fails.

    Starts, stops and changes of pace reach only the known incarnation of an
    executor. So do the deadline and the acknowledgement of a renewal; one that
    has neither may open a connection.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        scheduler: _scheduler.Scheduler,
        epoch: int,
        clock: Callable[[], _time.Now],
        policy_address: str = "",
    ) -> None:
        self._policy_address = policy_address
        self._calls = calls
        self._checked_calls = _checked_calls.CheckedCalls(
            calls=calls, scheduler=scheduler, clock=clock
        )
        self._scheduler = scheduler
        self._epoch = epoch
        self._clock = clock
        self._patience = _renewal_patience.RenewalPatience()
        self._unsent_starts = _unsent_bodies.UnsentBodies()

    def close(self) -> None:
        """Ends the sending; answers are ignored from now on."""
        self._checked_calls.is_closed = True

    @property
    def is_closed(self) -> bool:
        """Whether the term has ended."""
        return self._checked_calls.is_closed

    def send_collected_orders(self) -> None:
        """Sends all orders that the scheduler has collected.

        An order to an executor that is no longer listed is dropped. Starts are
        sent last, since the time for each depends on the size of all.
        """
        self._checked_calls.repeat_late_checks()
        starts = []
        for order in self._scheduler.take_orders():
            if isinstance(order, _orders.ApprovalOrder):
                self._request_approval(order)
                continue
            executor = self._scheduler.cell.executor_by_id.get(order.executor)
            if executor is None:
                continue
            address = executor.listing.address
            if isinstance(order, _orders.StartOrder):
                call = _executor_calls.make_start_call(
                    address,
                    self._fencing_token(order.executor),
                    order,
                    timeout_s=ORDER_TIMEOUT_S,
                )
                self._unsent_starts.expect(len(call.body or b""))
                starts.append((address, order, call))
            else:
                self._send_executor_order(address, order)
        for address, start, call in starts:
            self._send_start(address, start, call)

    def _fencing_token(self, executor_id: str) -> int:
        """Returns the fencing token of an order that is sent now."""
        executor = self._scheduler.cell.executor_by_id[executor_id]
        return _limits.fencing_token(self._epoch, executor.generation)

    def _handle_clock(
        self,
        order: _orders.StartOrder | _orders.StopOrder | _orders.PaceOrder,
        known: _clock_reading.ClockReading,
        sent_s: float,
        reply: _http_call.HttpReply,
    ) -> None:
        """Passes the reading of an executor's clock in an answer on."""
        clock_ms = _executor_calls.parse_clock_ms(reply)
        if clock_ms is not None:
            self._scheduler.handle_clock(
                order.executor, known, clock_ms, self._clock(), sent_s=sent_s
            )

    def _known_clock(self, executor_id: str) -> _clock_reading.ClockReading:
        """Returns the newest reading of the clock of an executor."""
        return self._scheduler.cell.executor_by_id[executor_id].clock

    def _request_approval(self, order: _orders.ApprovalOrder) -> None:
        """Asks the policy service to approve executors for a step."""

        def handle_reply(reply: _http_call.HttpReply) -> None:
            if not self.is_closed:
                self._handle_approval_reply(order, reply)

        if not self._policy_address:
            _log.error("approval.no-policy", job=order.job)
            self._scheduler.handle_approval_failure(order, self._clock())
            return
        self._calls.send(
            _executor_calls.make_approval_call(
                self._policy_address, order, timeout_s=order.timeout_s
            ),
            handle_reply,
        )

    def _handle_approval_reply(
        self, order: _orders.ApprovalOrder, reply: _http_call.HttpReply
    ) -> None:
        """Passes an approval, or its failure, to the scheduler."""
        now = self._clock()
        if reply.is_success:
            try:
                proofs = _executor_calls.parse_approvals(reply)
            except _errors.DecodeError as error:
                _log.warning("approval.torn", job=order.job, error=str(error))
            else:
                self._scheduler.handle_approval_answer(order, proofs, now)
                return
        else:
            _log.info(
                "approval.failed",
                job=order.job,
                step=order.step,
                status=reply.status,
                fault=reply.error_text,
            )
        self._scheduler.handle_approval_failure(order, now)

    def _send_executor_order(
        self,
        address: str,
        order: _orders.RenewalOrder | _orders.StopOrder | _orders.PaceOrder,
    ) -> None:
        """Sends an order other than a start to the executor at an address."""
        if isinstance(order, _orders.RenewalOrder):
            self._send_renewal(address, order)
        elif isinstance(order, _orders.StopOrder):
            self._send_stop(address, order)
        else:
            self._send_pace(address, order)

    def _start_timeout_s(self) -> float:
        """Returns the time for starts beside those being sent, in seconds.

        A start that is given up while its body is being sent stays unsettled,
        and its task waits. The bodies that are being sent share the link.
        """
        bodies_s = self._unsent_starts.seconds_left(self._clock().boot_s)
        lease_s = self._scheduler.cell.times.lease_s
        return min(ORDER_TIMEOUT_S + bodies_s, MAX_START_LEASE_SHARE * lease_s)

    def _send_start(
        self, address: str, order: _orders.StartOrder, call: _http_call.HttpCall
    ) -> None:
        """Sends the call of an order to start a run and reports the result."""
        known = self._known_clock(order.executor)
        sent_s = self._clock().boot_s
        byte_count = len(call.body or b"")
        timeout_s = self._start_timeout_s()
        number = self._unsent_starts.begin(byte_count, sent_s)

        def handle_reply(reply: _http_call.HttpReply) -> None:
            self._unsent_starts.end(
                number, byte_count, is_answered=reply.has_complete_reply
            )
            result = _parse_start_result(reply)
            if result is not _orders.StartResult.STARTED:
                _log.info(
                    "task.not-started",
                    task=_executor_calls.format_task_id(order.task),
                    run=order.run,
                    executor=order.executor,
                    result=result.value,
                    status=reply.status,
                    fault=reply.error_text,
                )
            if not self.is_closed:
                self._scheduler.handle_start_answer(
                    order, result, self._clock()
                )
                self._handle_clock(order, known, sent_s, reply)

        def hold() -> None:
            self._scheduler.hold_start(order)

        def confirm() -> bool:
            return not self.is_closed and self._scheduler.confirm_start(
                order, self._clock()
            )

        def note_sent() -> None:
            self._scheduler.note_start_sent(order)

        self._checked_calls.send(
            _call_line.CheckedCall(
                executor=order.executor,
                address=address,
                token=self._fencing_token(order.executor),
                call=dataclasses.replace(call, timeout_s=timeout_s),
                on_reply=handle_reply,
                on_held=hold,
                on_sent=note_sent,
                confirm=confirm,
            )
        )

    def _send_checked(
        self,
        executor_id: str,
        address: str,
        call: _http_call.HttpCall,
        on_reply: _http_calls.ReplyCallback,
    ) -> None:
        """Sends a call that only the known incarnation may receive."""
        self._checked_calls.send(
            _call_line.CheckedCall(
                executor=executor_id,
                address=address,
                token=self._fencing_token(executor_id),
                call=call,
                on_reply=on_reply,
            )
        )

    def _send_stop(self, address: str, order: _orders.StopOrder) -> None:
        """Sends an order to stop a run and reports whether it succeeded."""
        known = self._known_clock(order.executor)
        sent_s = self._clock().boot_s

        def handle_reply(reply: _http_call.HttpReply) -> None:
            if not self.is_closed:
                self._scheduler.handle_stop_answer(
                    order, reply.is_success, self._clock()
                )
                self._handle_clock(order, known, sent_s, reply)

        self._send_checked(
            order.executor,
            address,
            _executor_calls.make_stop_call(
                address,
                self._fencing_token(order.executor),
                order,
                timeout_s=ORDER_TIMEOUT_S,
            ),
            handle_reply,
        )

    def _send_pace(self, address: str, order: _orders.PaceOrder) -> None:
        """Sends an order to change a run's pace and reports the success."""
        known = self._known_clock(order.executor)
        sent_s = self._clock().boot_s

        def handle_reply(reply: _http_call.HttpReply) -> None:
            if not self.is_closed:
                self._scheduler.handle_pace_answer(
                    order, reply.is_success, self._clock()
                )
                self._handle_clock(order, known, sent_s, reply)

        self._send_checked(
            order.executor,
            address,
            _executor_calls.make_pace_call(
                address,
                self._fencing_token(order.executor),
                order,
                timeout_s=ORDER_TIMEOUT_S,
            ),
            handle_reply,
        )

    def _send_renewal(self, address: str, order: _orders.RenewalOrder) -> None:
        """Renews the lease of an executor and handles its report.

        The time for the whole answer is hardly limited, as it depends on the
        runs that it lists, on those of the other executors and on the link.
        """
        sent_s = self._clock().boot_s
        wait_s = order.wait_ms / 1000
        guard = self._checked_calls.make_renewal_guard(order)

        def handle_reply(reply: _http_call.HttpReply) -> None:
            if reply.lacked_connection:
                if not self.is_closed:
                    self._scheduler.handle_unsent_renewal(order, self._clock())
                return
            now_s = self._clock().boot_s
            record = (
                self._patience.record_answer
                if reply.has_complete_reply
                else self._patience.record_failure
            )
            record(order.executor, now_s - sent_s - wait_s, now_s)
            if not self.is_closed:
                self._handle_renewal_reply(order, reply, guard)

        call = _executor_calls.make_renewal_call(
            address,
            self._fencing_token(order.executor),
            order,
            timeout_s=_http_calls.MAX_TRANSFER_S,
            silence_limit_s=wait_s + self._patience.margin_s(sent_s),
        )
        self._calls.send(call, handle_reply, guard)

    def _handle_renewal_reply(
        self,
        order: _orders.RenewalOrder,
        reply: _http_call.HttpReply,
        guard: _checked_connections.IncarnationGuard,
    ) -> None:
        """Passes an executor's report, or the failure, to the scheduler."""
        now = self._clock()
        report = None
        if reply.is_success:
            try:
                report = _executor_calls.parse_renewal_reply(reply)
            except _errors.DecodeError as error:
                _log.warning(
                    "executor.torn", executor=order.executor, error=str(error)
                )
        if report is not None:
            self._scheduler.handle_renewal_answer(order, report, now)
            self._checked_calls.record_answer(guard, report)
            return
        if not reply.is_success:
            _log.info(
                "executor.silent",
                executor=order.executor,
                status=reply.status,
                fault=reply.error_text,
                body=reply.body[:100].decode("latin-1"),
            )
        if _executor_calls.is_fenced(reply):
            self._scheduler.handle_fence(order, now)
            return
        self._scheduler.handle_renewal_failure(
            order,
            now,
            is_other_incarnation=_executor_calls.is_other_incarnation(reply),
        )


def _parse_start_result(reply: _http_call.HttpReply) -> _orders.StartResult:
    """Returns the result of a start, which may not have been sent."""
    if reply.lacked_connection:
        return _orders.StartResult.NOT_SENT
    if not reply.may_have_been_sent and not reply.has_complete_reply:
        return _orders.StartResult.UNHEALTHY
    return _executor_calls.parse_start_result(reply)

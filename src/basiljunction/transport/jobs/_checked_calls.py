"""Calls that reach an executor only in the incarnation that is known of it.

An executor may restart under its id, and the next incarnation accepts what was
meant for the one before. A connection ends with the process that accepted it,
so that a call on an open one can't reach a later incarnation.
"""

import collections
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
from basiljunction.state.workload import _executor
from basiljunction.transport.jobs import _call_line
from basiljunction.transport.jobs import _call_pace
from basiljunction.transport.jobs import _check_round
from basiljunction.transport.jobs import _checked_connections
from basiljunction.transport.jobs import _http_calls

MAX_CHECKS = 3
"""Most checks for one call.

Other calls may take a connection that was opened for this one, or the executor
may close it.
"""

MAX_CHECK_SHARE = 0.5
"""Longest time of a check as a share of the time for the call, 0 to 1.

The rest is left for the call itself. What is left when the check begins doesn't
count: other calls wait for its answer, too, and an executor without an answer
is avoided.
"""

_log = structlog.get_logger()


class CheckedCalls:
    """Sends calls on connections on which an executor has named itself.

    If none is open and free, a new one is opened by a request for the
    executor's runs, which changes nothing. The call follows if the answer is
    from the incarnation that the scheduler knows. If no connection stays open
    so long, the call opens one itself, right after such an answer.

    Calls wait for a check and for those that are in flight. A check that has no
    answer by the time that others took is sent once more beside it.

    Args:
        calls: HTTP client for the calls.
        scheduler: The scheduler, which compares incarnations.
        clock: Returns the current time.

    Attributes:
        is_closed: Whether the term has ended; nothing more is sent.
    """

    def __init__(
        self,
        *,
        calls: _http_calls.HttpClient,
        scheduler: _scheduler.Scheduler,
        clock: Callable[[], _time.Now],
    ) -> None:
        self.is_closed = False
        self._calls = calls
        self._scheduler = scheduler
        self._clock = clock
        self._connections = _checked_connections.CheckedConnections(
            2 * calls.max_connections
        )
        self._line_by_executor: dict[str, _call_line.CallLine] = {}
        self._check_pace = _call_pace.AdaptiveTimeout()

    def repeat_late_checks(self) -> None:
        """Sends another check beside each whose answer may be lost."""
        now_s = self._clock().boot_s
        answer_time_s = self._check_pace.timeout_s
        for line in list(self._line_by_executor.values()):
            if (
                line.check_round is not None
                and line.check_round.is_repeat_due(now_s, answer_time_s)
                and line.may_check
            ):
                self._send_check(line, line.check_round)

    def send(self, checked: _call_line.CheckedCall) -> None:
        """Sends a call, after a check of the executor if it needs one."""
        attempts = _call_line.Attempts(
            self._clock().boot_s + checked.call.timeout_s, MAX_CHECKS
        )
        line = self._line_by_executor.setdefault(
            checked.executor, _call_line.CallLine()
        )
        if line.waiting:
            checked.on_held()
            line.waiting.append((checked, attempts))
        else:
            self._send(line, checked, attempts)
            self._drop_idle_line(checked.executor)

    def make_renewal_guard(
        self, order: _orders.RenewalOrder
    ) -> _checked_connections.IncarnationGuard:
        """Returns the guard of a lease renewal.

        One that suits any incarnation may open a connection.
        """
        return _checked_connections.IncarnationGuard(
            self._connections,
            order.executor,
            (
                self._known_restarts(order.executor)
                if order.is_for_one_incarnation
                else None
            ),
        )

    def record_answer(
        self,
        guard: _checked_connections.IncarnationGuard,
        report: _executor.LeaseRenewalReply,
    ) -> None:
        """Records whose answer to a renewal came on a connection.

        The scheduler has handled the answer.
        """
        executor = self._scheduler.cell.executor_by_id.get(guard.executor)
        if (
            executor is not None
            and guard.connection is not None
            and executor.is_same_incarnation(report)
        ):
            self._connections.record(
                guard.executor, guard.connection, executor.clock.restarts
            )

    def _make_guard(
        self, checked: _call_line.CheckedCall, attempts: _call_line.Attempts
    ) -> _checked_connections.IncarnationGuard:
        """Returns the guard of a call.

        After the last check, the call may open a connection.
        """
        return _checked_connections.IncarnationGuard(
            self._connections,
            checked.executor,
            (
                self._known_restarts(checked.executor)
                if attempts.checks_left > 0
                else None
            ),
            checked.on_sent,
        )

    def _known_restarts(self, executor_id: str) -> int:
        """Returns the number of restarts of an executor that are known."""
        return self._scheduler.cell.executor_by_id[executor_id].clock.restarts

    def _send(
        self,
        line: _call_line.CallLine,
        checked: _call_line.CheckedCall,
        attempts: _call_line.Attempts,
    ) -> bool:
        """Sends a call on a known connection, or lets it wait for one.

        Returns:
            Whether the client has it; else it was answered.
        """

        def handle_reply(reply: _http_call.HttpReply) -> None:
            line.in_flight_count -= 1
            if reply.lacked_connection and not self.is_closed:
                line.waiting.append((checked, attempts))
            else:
                checked.on_reply(reply)
                if not reply.lacked_connection:
                    self._send_next(line)
            self._check(line)
            self._drop_idle_line(checked.executor)

        left_s = attempts.ends_s - self._clock().boot_s
        if checked.executor not in self._scheduler.cell.executor_by_id:
            checked.on_reply(_unsent("executor is no longer known"))
        elif left_s <= 0.0:
            checked.on_reply(_unsent("no connection became free in time"))
        elif not checked.confirm():
            checked.on_reply(_unsent("no longer in order"))
        else:
            line.in_flight_count += 1
            # The client may have to wait for a connection, too.
            checked.on_held()
            self._calls.send(
                dataclasses.replace(checked.call, timeout_s=left_s),
                handle_reply,
                self._make_guard(checked, attempts),
            )
            return True
        return False

    def _send_next(
        self, line: _call_line.CallLine, *, after_check: bool = False
    ) -> None:
        """Sends the first call that waits, as a connection is free for it."""
        if self.is_closed:
            self._refuse_waiting(line, _unsent("term has ended"))
        is_sent = False
        while line.waiting and not is_sent:
            checked, attempts = line.waiting.popleft()
            is_sent = self._send(
                line,
                checked,
                attempts.after_check() if after_check else attempts,
            )

    def _refuse_waiting(
        self, line: _call_line.CallLine, reply: _http_call.HttpReply
    ) -> None:
        """Answers all calls that wait."""
        refused = line.waiting
        line.waiting = collections.deque()
        for checked, _ in refused:
            checked.on_reply(reply)

    def _drop_idle_line(self, executor_id: str) -> None:
        """Forgets the calls to an executor once there are none."""
        line = self._line_by_executor.get(executor_id)
        if line is not None and not (
            line.waiting or line.in_flight_count or line.check_count
        ):
            del self._line_by_executor[executor_id]

    def _check(self, line: _call_line.CallLine) -> None:
        """Opens a connection and asks who answers, if calls wait for one."""
        if line.check_round is not None or not line.may_check:
            return
        checked, _ = line.waiting[0]
        now_s = self._clock().boot_s
        line.check_round = _check_round.CheckRound(
            ends_s=now_s + checked.call.timeout_s * MAX_CHECK_SHARE
        )
        self._send_check(line, line.check_round)

    def _send_check(
        self, line: _call_line.CallLine, check_round: _check_round.CheckRound
    ) -> None:
        """Sends a check of the executor for which calls wait."""
        checked, _ = line.waiting[0]
        executor = self._scheduler.cell.executor_by_id.get(checked.executor)
        if executor is None:
            line.check_round = None
            self._refuse_waiting(line, _unsent("executor is no longer known"))
            return
        known = executor.clock
        sent_s = self._clock().boot_s
        guard = _checked_connections.IncarnationGuard(
            self._connections, checked.executor
        )

        def handle_reply(reply: _http_call.HttpReply) -> None:
            line.check_count -= 1
            check_round.in_flight_count -= 1
            if reply.is_success:
                self._check_pace.record_answer(self._clock().boot_s - sent_s)
            if self._is_outdated(checked, reply):
                reply = _unsent("a later order came before the check")
            self._end_check(line, check_round, guard, known, reply)
            self._check(line)
            self._drop_idle_line(checked.executor)

        call = _executor_calls.make_renewal_call(
            checked.address,
            checked.token,
            _orders.RenewalOrder(
                executor=checked.executor,
                lease_until_ms=None,
                acknowledged=0,
                wait_ms=0,
            ),
            timeout_s=check_round.ends_s - sent_s,
        )
        line.check_count += 1
        check_round.begin_check(sent_s)
        self._calls.send(
            dataclasses.replace(call, needs_new_connection=True),
            handle_reply,
            guard,
        )

    def _end_check(
        self,
        line: _call_line.CallLine,
        check_round: _check_round.CheckRound,
        guard: _checked_connections.IncarnationGuard,
        known: _clock_reading.ClockReading,
        reply: _http_call.HttpReply,
    ) -> None:
        """Sends a call that waits, or refuses all of them.

        Nothing is decided while another check may be answered.
        """
        is_open = line.check_round is check_round
        if self.is_closed:
            line.check_round = None
            self._refuse_waiting(line, _unsent("term has ended"))
        elif reply.is_success and self._is_known_incarnation(
            guard, known, reply
        ):
            if is_open:
                line.check_round = None
            self._send_next(line, after_check=True)
        elif is_open and (
            reply.has_complete_reply or not check_round.in_flight_count
        ):
            line.check_round = None
            self._refuse_waiting(
                line,
                (
                    _unsent("another incarnation answered")
                    if reply.is_success
                    else dataclasses.replace(reply, may_have_been_sent=False)
                ),
            )

    def _is_outdated(
        self, checked: _call_line.CheckedCall, reply: _http_call.HttpReply
    ) -> bool:
        """Returns whether a later order of this term fenced off a check.

        That tells nothing of the calls that were added since.
        """
        if not _executor_calls.is_fenced(reply):
            return False
        cell = self._scheduler.cell
        executor = cell.executor_by_id.get(checked.executor)
        return executor is not None and checked.token < _limits.fencing_token(
            cell.epoch, executor.generation
        )

    def _is_known_incarnation(
        self,
        guard: _checked_connections.IncarnationGuard,
        known: _clock_reading.ClockReading,
        reply: _http_call.HttpReply,
    ) -> bool:
        """Returns whether the known incarnation of an executor answered."""
        try:
            report = _executor_calls.parse_renewal_reply(reply)
        except _errors.DecodeError as error:
            _log.warning(
                "executor.torn", executor=guard.executor, error=str(error)
            )
            return False
        is_known = self._scheduler.handle_incarnation_check(
            guard.executor, known, report, self._clock()
        )
        self.record_answer(guard, report)
        return is_known


def _unsent(reason: str) -> _http_call.HttpReply:
    """Returns the reply to a call that no known connection suits any more."""
    return _http_call.HttpReply(
        status=0,
        error_text=reason,
        may_have_been_sent=False,
        lacked_connection=True,
    )

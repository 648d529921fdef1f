"""Calls to the approval policy that are in flight, and the size of the next.

Load pattern: the policy handles the calls of one scheduler in turn, and takes
longer the more executors a call names. An approval is valid for a short time
only. So a call names as many executors as can be decided on while their
approvals are of use, and each call ends by its own time limit.
"""

import dataclasses
import math

from basiljunction.state.workload import _configuration

MAX_EXECUTORS_PER_CALL = 30
"""Most executors in one call: as many as a job's latency objective allows time
for."""

MAX_CALLS_IN_FLIGHT = 2
"""Most calls in flight: the policy works on one while the next one is being
sent."""

VALIDITY_MARGIN_S = 0.3
"""Remaining validity that an approval needs to be used, in seconds, so that the
start order arrives in time."""

WAITING_SHARE_OF_VALIDITY = 0.5
"""Largest share of the validity that a call may wait for the policy, 0 to 1;
the rest is for the starts."""

MAX_HANDLING_S = 1.0
"""Time after which the policy should come to the next call, in seconds, so that
other steps get their turn. A third of the time in which a task must start if
capacity is free."""

MAX_HANDLING_FACTOR = 2.0
"""Multiple of the policy's time for an empty call that a call may take, if that
is longer: shorter calls would spend most of their time on that."""

LATENESS_FACTOR = 2.0
"""Multiple of its expected time after which a call is given up."""

NETWORK_TIMEOUT_S = 1.0
"""Further time until a call is given up, in seconds."""

UNTOLD_TIMEOUT_S = 5.0
"""Time until a call is given up if the configuration does not tell how long the
policy takes, in seconds."""

REPORT_MARGIN_S = 1.0
"""Time after its time limit by which the end of a call is reported, in seconds.
A call of which no end is reported counts no longer."""

RETRY_S = 0.2
"""Delay after a failed call, in seconds; it doubles with each in a row."""

MAX_RETRY_S = 1.6
"""Longest delay after a failed call, in seconds: about half of the time in
which a task must start if capacity is free."""

StepKey = tuple[str, int, int]
"""Key of a step: job id, occurrence and step number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call that is in flight.

    Attributes:
        key: Key of the step.
        validity_s: Validity of the approvals, in seconds.
        sent_s: Time of sending, in seconds.
        handling_s: Time that the policy is expected to take, in seconds.
        timeout_s: Time after which it is given up, in seconds.
        started_ms_by_executor: Start time of the incarnation of each executor
            named, in milliseconds since the Unix epoch.
    """

    key: StepKey
    validity_s: float
    sent_s: float
    handling_s: float
    timeout_s: float
    started_ms_by_executor: dict[str, int]

    def is_over(self, now_s: float) -> bool:
        """Returns whether its end should have been reported by now."""
        return now_s >= self.sent_s + self.timeout_s + REPORT_MARGIN_S


def retry_delay_s(failures_in_a_row: int) -> float:
    """Returns the delay after a number of failures in a row, in seconds."""
    return min(MAX_RETRY_S, RETRY_S * 2.0 ** (failures_in_a_row - 1))


class PolicyCalls:
    """The calls in flight to the policy.

    A call ends with its answer, its failure or its time limit, whatever has
    become of its job and its queue meanwhile.
    """

    def __init__(self) -> None:
        self._call_by_number: dict[int, Call] = {}
        self._last_number = 0
        self._last_answer_s = float("-inf")
        self._failures_in_a_row = 0
        self._next_call_s = float("-inf")
        self._size_limit = MAX_EXECUTORS_PER_CALL

    @property
    def count(self) -> int:
        """Number of calls in flight."""
        return len(self._call_by_number)

    def may_begin(self, now_s: float) -> bool:
        """Returns whether another call may be sent now."""
        for number, call in list(self._call_by_number.items()):
            if call.is_over(now_s):
                del self._call_by_number[number]
        return self.count < MAX_CALLS_IN_FLIGHT and now_s >= self._next_call_s

    def is_in_flight(self, key: StepKey) -> bool:
        """Returns whether a call for a step is in flight."""
        return any(each.key == key for each in self._call_by_number.values())

    def max_executors(self, terms: _configuration.ApprovalPolicy) -> int:
        """Returns how many executors the next call may name.

        Its answer has to arrive with validity left, also if the policy handles
        those in flight before it. A call on its own names at least one.

        Args:
            terms: The policy's terms for the queue.
        """
        waiting_s = self._handling_s()
        usable_s = terms.validity_s - VALIDITY_MARGIN_S
        handling_s = min(
            max(MAX_HANDLING_S, MAX_HANDLING_FACTOR * terms.decision_s),
            WAITING_SHARE_OF_VALIDITY * usable_s - waiting_s,
        )
        least = 0 if self.count else 1
        spare_s = handling_s - terms.decision_s
        if spare_s < 0:
            return least
        if not terms.per_executor_s:
            return self._size_limit
        fitting = math.floor(spare_s / terms.per_executor_s)
        return max(least, min(self._size_limit, fitting))

    def begin(
        self,
        key: StepKey,
        terms: _configuration.ApprovalPolicy,
        started_ms_by_executor: dict[str, int],
        now_s: float,
    ) -> tuple[int, Call]:
        """Records a call that is sent now.

        Args:
            key: Key of the step.
            terms: The policy's terms for the queue.
            started_ms_by_executor: Start time of each executor's incarnation.
            now_s: Current time in seconds.

        Returns:
            Its number and the call.
        """
        handling_s = terms.handling_s(len(started_ms_by_executor))
        timeout_s = UNTOLD_TIMEOUT_S
        if handling_s:
            timeout_s = NETWORK_TIMEOUT_S + LATENESS_FACTOR * (
                self._handling_s() + handling_s
            )
        self._last_number += 1
        call = Call(
            key,
            terms.validity_s,
            now_s,
            handling_s,
            timeout_s,
            started_ms_by_executor,
        )
        self._call_by_number[self._last_number] = call
        return self._last_number, call

    def end_answered(self, number: int, now_s: float) -> tuple[Call, float]:
        """Ends a call that was answered.

        The policy handles one call at a time, so that it has not decided on
        this one before it answered the one before.

        Args:
            number: Number of the call.
            now_s: Current time in seconds.

        Returns:
            The call, and the time until which its approvals may be used.

        Raises:
            KeyError: The call is not in flight.
        """
        call = self._call_by_number.pop(number)
        decided_s = max(call.sent_s, self._last_answer_s)
        expires_s = decided_s + call.validity_s - VALIDITY_MARGIN_S
        self._last_answer_s = now_s
        self._failures_in_a_row = 0
        self._next_call_s = now_s
        if now_s < expires_s:
            self._size_limit = min(MAX_EXECUTORS_PER_CALL, 2 * self._size_limit)
        else:
            self._shrink(call)
        return call, expires_s

    def end_failed(self, number: int, now_s: float) -> None:
        """Ends a call that failed, and delays the next one."""
        call = self._call_by_number.pop(number, None)
        if call is not None:
            self._shrink(call)
        self._failures_in_a_row += 1
        self._next_call_s = now_s + retry_delay_s(self._failures_in_a_row)

    def _shrink(self, call: Call) -> None:
        """Lets the next call name at most half of the executors of this one."""
        self._size_limit = max(1, len(call.started_ms_by_executor) // 2)

    def _handling_s(self) -> float:
        """Returns how long the calls in flight are expected to take."""
        return sum(each.handling_s for each in self._call_by_number.values())

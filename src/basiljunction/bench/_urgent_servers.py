"""Servers for the simulation loop: the urgent path and a FIFO queue."""

import math
import random

from basiljunction.bench import _urgent_loop
from basiljunction.coordination import _admission
from basiljunction.coordination import _events
from basiljunction.coordination import _executor_choice
from basiljunction.coordination import _urgent_core
from basiljunction.coordination import _urgent_request
from basiljunction.coordination import _views
from basiljunction.state import _contract
from basiljunction.state import _outcomes
from basiljunction.state import _time

INSTANCE_NAME = "entry-1"
"""Name of the instance that runs the urgent path."""

WORK_CLASS_NAME = "check"
"""Name of the only class of work in the contracts."""


class UrgentCoreServer(_urgent_loop.SimulatedServer):
    """Simulated server that runs the urgent core of an entry instance.

    The urgent core schedules latency-critical requests. The instance owns all
    executors.

    Args:
        customers: Customers that have a contract.
        chooser: Policy that chooses an executor for each call.
        deadline_s: Deadline of the only class of work.
        source: Source of randomness.
    """

    def __init__(
        self,
        *,
        customers: tuple[str, ...],
        chooser: _executor_choice.Chooser,
        deadline_s: float,
        source: random.Random,
    ) -> None:
        self._core = _urgent_core.UrgentCore(
            instance=INSTANCE_NAME,
            executor_chooser=chooser,
            owner_chooser=_executor_choice.LeastOutstandingChooser(),
            source=source,
            seconds_until_open=_admission.always_open,
        )
        self._handle_event(_events.LeaseChanged(math.inf), 0.0)
        self._handle_event(_make_fleet_view(customers, deadline_s), 0.0)

    def submit_request(
        self, request_number: int, customer: str, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Passes a request to the urgent core."""
        request = _urgent_request.UrgentRequest(
            str(request_number), customer, WORK_CLASS_NAME, b"", "text/plain"
        )
        return self._handle_event(_urgent_request.RequestArrived(request), at_s)

    def complete_call(
        self, call_id: int, elapsed_s: float, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Reports a completed call to the urgent core."""
        outcome = _outcomes.Completed(200, b"", "", "")
        event = _urgent_request.CallEnded(call_id, outcome, elapsed_s)
        return self._handle_event(event, at_s)

    def advance_time(
        self, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Sends a tick to the urgent core, which handles expired deadlines."""
        return self._handle_event(_events.Tick(), at_s)

    def _handle_event(
        self, event: _urgent_core.UrgentEvent, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Passes an event to the core and returns the resulting server events.

        Actions other than calls of executors and replies are ignored.
        """
        now = _time.Now(at_s, at_s)
        server_events: list[
            _urgent_loop.CallStarted | _urgent_loop.RequestEnded
        ] = []
        for action in self._core.handle(event, now):
            if isinstance(action, _urgent_request.CallExecutor):
                server_events.append(
                    _urgent_loop.CallStarted(action.call_id, action.executor)
                )
            elif isinstance(action, _urgent_request.Reply):
                server_events.append(_convert_reply(action))
        return server_events


class FifoServer(_urgent_loop.SimulatedServer):
    """Baseline server: one FIFO queue of fixed capacity.

    Args:
        capacity: Number of requests that can wait; further ones are refused.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._request_numbers: list[int] = []
        self._queue_head = 0
        self._running_by_call_id: dict[int, tuple[int, str]] = {}
        self._free_slots = [
            name
            for name in _urgent_loop.executor_names()
            for _ in range(_urgent_loop.SLOTS_PER_EXECUTOR)
        ]
        self._last_call_id = 0

    def submit_request(
        self, request_number: int, customer: str, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Queues a request, or refuses it if the queue is full."""
        del customer, at_s
        if len(self._request_numbers) - self._queue_head >= self._capacity:
            return [_urgent_loop.RequestEnded(request_number, "NotRun", 0.0)]
        self._request_numbers.append(request_number)
        return self._start_queued_requests()

    def complete_call(
        self, call_id: int, elapsed_s: float, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Ends the request of a call and starts the next queued request."""
        del elapsed_s, at_s
        request_number, executor = self._running_by_call_id.pop(call_id)
        self._free_slots.append(executor)
        return [
            _urgent_loop.RequestEnded(request_number, "Completed"),
            *self._start_queued_requests(),
        ]

    def advance_time(
        self, at_s: float
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Does nothing: the queue has no deadlines."""
        del at_s
        return []

    def _start_queued_requests(
        self,
    ) -> list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded]:
        """Starts queued requests in order of arrival while slots are free."""
        started: list[_urgent_loop.CallStarted | _urgent_loop.RequestEnded] = []
        while self._free_slots and self._queue_head < len(
            self._request_numbers
        ):
            executor = self._free_slots.pop(0)
            request_number = self._request_numbers[self._queue_head]
            self._queue_head += 1
            self._last_call_id += 1
            self._running_by_call_id[self._last_call_id] = (
                request_number,
                executor,
            )
            started.append(
                _urgent_loop.CallStarted(self._last_call_id, executor)
            )
        return started


def _make_fleet_view(
    customers: tuple[str, ...], deadline_s: float
) -> _views.FleetView:
    """Returns a fleet view in which the instance owns every executor.

    Each customer has a contract with the given deadline.
    """
    executors = {
        name: _views.ExecutorView(
            executor=name,
            machine=f"worker-of-{name}",
            address="",
            zone="",
            slots=_urgent_loop.SLOTS_PER_EXECUTOR,
            connections=64,
            owner=INSTANCE_NAME,
            epoch=1,
        )
        for name in _urgent_loop.executor_names()
    }
    contracts = {name: _make_contract(name, deadline_s) for name in customers}
    return _views.FleetView(
        instance=INSTANCE_NAME,
        incarnation=1,
        ready=True,
        contract_by_customer=contracts,
        executor_by_id=executors,
    )


def _make_contract(customer: str, deadline_s: float) -> _contract.Contract:
    """Returns a contract with one idempotent class and very high limits."""
    work_class = _contract.WorkClass(
        name=WORK_CLASS_NAME,
        kind=_contract.WorkKind.LATENCY_CRITICAL,
        idempotent=True,
        deadline_s=deadline_s,
        outside_hours=True,
    )
    return _contract.Contract(
        customer=customer,
        version=1,
        hours=_contract.OfficeHours("UTC", ()),
        class_by_name={WORK_CLASS_NAME: work_class},
        quota=_contract.Quota(0, 0, 0, 0),
        request_rate_per_s=1e6,
        request_burst=1_000_000,
        concurrency=1_000_000,
        credential_hashes=(),
    )


def _convert_reply(reply: _urgent_request.Reply) -> _urgent_loop.RequestEnded:
    """Converts a reply of the urgent core to the end of a request."""
    retry_after_s = None
    if isinstance(reply.outcome, _outcomes.NotRun):
        retry_after_s = reply.outcome.retry_after_s
    name = type(reply.outcome).__name__
    return _urgent_loop.RequestEnded(int(reply.request_id), name, retry_after_s)

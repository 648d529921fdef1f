"""Simulates callers and executors around a server, with seeded randomness.

The simulation runs the urgent path, or a baseline, under a fake clock.
Executors are slots that are busy for a random service time; there is no
network and no thread. It measures decisions, not a cluster.
"""

import abc
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import math
import random

EXECUTOR_COUNT = 4
"""Number of simulated executors."""

SLOTS_PER_EXECUTOR = 8
"""Calls that one executor runs at a time."""

MEAN_SERVICE_TIME_S = 0.04
"""Mean service time of a call, in seconds."""

SERVICE_TIME_SIGMA = 0.5
"""Standard deviation of the logarithm of the service time."""

TICK_INTERVAL_S = 0.01
"""Simulated seconds between calls of ``SimulatedServer.advance_time``."""


SlowdownFunction = Callable[[str, float], float]
"""Returns the factor on the service time of an executor (its name) at a time
in seconds."""


RateFunction = Callable[[float], float]
"""Returns the arrival rate in requests per second at a time in seconds."""


def capacity_per_s() -> float:
    """Returns the requests per second that keep every slot busy."""
    return EXECUTOR_COUNT * SLOTS_PER_EXECUTOR / MEAN_SERVICE_TIME_S


def no_slowdown(_executor: str, _at_s: float) -> float:
    """Returns 1: service times are unchanged on every executor."""
    return 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a customer submits for the first time.

    Attributes:
        at_s: Simulated time of the arrival.
        customer: Customer that submits it.
    """

    at_s: float
    customer: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestResult:
    """Final result of a request, after all attempts.

    Attributes:
        customer: Customer that submitted it.
        arrived_s: Simulated time of its first arrival.
        latency_s: Time from its first arrival to its end.
        is_completed_in_time: Whether its last attempt completed within its
            deadline.
        outcome: Name of the outcome's type, such as ``Completed``.
    """

    customer: str
    arrived_s: float
    latency_s: float
    is_completed_in_time: bool
    outcome: str


def draw_poisson_arrivals(
    source: random.Random,
    customer: str,
    rate_per_s: RateFunction,
    duration_s: float,
) -> list[Arrival]:
    """Returns arrivals of a Poisson process whose rate may change with time.

    Args:
        source: Source of randomness.
        customer: Customer of all arrivals.
        rate_per_s: Arrival rate as a function of time.
        duration_s: Time after which arrivals end.
    """
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += source.expovariate(rate_per_s(at_s))
        if at_s >= duration_s:
            return arrivals
        arrivals.append(Arrival(at_s, customer))


def percentile(values: Iterable[float], fraction: float) -> float:
    """Returns the value below which a fraction of the values lies.

    The result is NaN if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def draw_service_time_s(source: random.Random) -> float:
    """Draws a log-normal service time of mean ``MEAN_SERVICE_TIME_S``."""
    mu = math.log(MEAN_SERVICE_TIME_S) - SERVICE_TIME_SIGMA**2 / 2
    return source.lognormvariate(mu, SERVICE_TIME_SIGMA)


class SimulatedServer(abc.ABC):
    """Interface of a simulated server, which places requests on executors.

    Each method returns the calls that start and the requests that end as a
    result.
    """

    @abc.abstractmethod
    def submit_request(
        self, request_number: int, customer: str, at_s: float
    ) -> "list[CallStarted | RequestEnded]":
        """Accepts, queues or refuses a request at a simulated time."""

    @abc.abstractmethod
    def complete_call(
        self, call_id: int, elapsed_s: float, at_s: float
    ) -> "list[CallStarted | RequestEnded]":
        """Frees the slot of a call that completed.

        Args:
            call_id: Id from ``CallStarted``.
            elapsed_s: Duration of the call.
            at_s: Simulated time.
        """

    @abc.abstractmethod
    def advance_time(self, at_s: float) -> "list[CallStarted | RequestEnded]":
        """Handles what depends on time alone, such as expired deadlines."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallStarted:
    """Reports that a server has started a call on an executor.

    Attributes:
        call_id: Id of the call, unique within the server.
        executor: Name of the executor.
    """

    call_id: int
    executor: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """Reports that an attempt at a request completed, failed or was refused.

    Attributes:
        request_number: Number of the request.
        outcome: Name of the outcome's type; ``NotRun`` is a refusal.
        retry_after_s: Time after which a refused request may be submitted
            again.
    """

    request_number: int
    outcome: str
    retry_after_s: float | None = None


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that has not ended.

    Attributes:
        arrival: Its first arrival.
        deadline_s: Simulated time by which its latest attempt must complete.
        attempts: Number of times that the caller has submitted it.
    """

    arrival: Arrival
    deadline_s: float
    attempts: int = 1


class QueueingSimulation:
    """Discrete-event simulation of callers, a server and its executors.

    Args:
        server: Server to measure.
        source: Source of randomness for service times.
        deadline_s: Deadline of an attempt, counted from its submission.
        slowdown: Factor on service times, by executor and time.
        max_attempts: Times that a caller submits a request that is refused.
        hedge_after_s: Time after which a second call starts on the executor
            with the least slowdown, without taking a slot: an upper bound on
            the gain of hedging.

    Attributes:
        results: Results of the requests, in the order in which they ended.
        hedged_count: Number of calls for which a second call was started.
    """

    def __init__(
        self,
        *,
        server: SimulatedServer,
        source: random.Random,
        deadline_s: float,
        slowdown: SlowdownFunction = no_slowdown,
        max_attempts: int = 1,
        hedge_after_s: float = math.inf,
    ) -> None:
        self._server = server
        self._source = source
        self._slowdown = slowdown
        self._deadline_s = deadline_s
        self._max_attempts = max_attempts
        self._hedge_after_s = hedge_after_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._pending_by_number: dict[int, _PendingRequest] = {}
        self._last_event_id = 0
        self._now_s = 0.0
        self.results: list[RequestResult] = []
        self.hedged_count = 0

    def run(self, arrivals: list[Arrival]) -> list[RequestResult]:
        """Simulates the arrivals until all requests have ended.

        Returns:
            The result of each request, in the order in which they ended.
        """
        for request_number, arrival in enumerate(arrivals):
            pending = _PendingRequest(arrival, arrival.at_s + self._deadline_s)
            self._pending_by_number[request_number] = pending
            self._schedule(arrival.at_s, self._make_submission(request_number))
        self._schedule(TICK_INTERVAL_S, self._advance_server)
        while self._pending_by_number and self._events:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self.results

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        """Schedules an event at a simulated time.

        Events at equal times run in the order in which they were scheduled.
        """
        self._last_event_id += 1
        heapq.heappush(self._events, (at_s, self._last_event_id, event))

    def _make_submission(self, request_number: int) -> Callable[[], None]:
        """Returns an event that submits a request with a new deadline."""

        def submit() -> None:
            """Submits the request at the current simulated time."""
            pending = self._pending_by_number[request_number]
            pending.deadline_s = self._now_s + self._deadline_s
            customer = pending.arrival.customer
            self._process_server_events(
                self._server.submit_request(
                    request_number, customer, self._now_s
                )
            )

        return submit

    def _advance_server(self) -> None:
        """Advances the server to the current time; schedules the next call."""
        self._process_server_events(self._server.advance_time(self._now_s))
        self._schedule(self._now_s + TICK_INTERVAL_S, self._advance_server)

    def _process_server_events(
        self, server_events: list[CallStarted | RequestEnded]
    ) -> None:
        """Simulates the calls that started and handles the ended attempts."""
        for each in server_events:
            if isinstance(each, CallStarted):
                self._start_call(each)
            else:
                self._end_attempt(each)

    def _start_call(self, started: CallStarted) -> None:
        """Draws the service time of a call and schedules its completion."""
        service_s = draw_service_time_s(self._source)
        service_s *= self._slowdown(started.executor, self._now_s)
        if service_s > self._hedge_after_s:
            self.hedged_count += 1
            service_s = min(service_s, self._draw_hedged_service_time_s())

        def complete() -> None:
            """Reports the call's completion to the server."""
            server = self._server
            self._process_server_events(
                server.complete_call(started.call_id, service_s, self._now_s)
            )

        self._schedule(self._now_s + service_s, complete)

    def _draw_hedged_service_time_s(self) -> float:
        """Returns the time to the completion of a second, hedged call."""
        slowdown = min(
            self._slowdown(name, self._now_s) for name in executor_names()
        )
        return self._hedge_after_s + slowdown * draw_service_time_s(
            self._source
        )

    def _end_attempt(self, ended: RequestEnded) -> None:
        """Schedules a retry of a refused request, or records its result."""
        pending = self._pending_by_number.get(ended.request_number)
        if pending is None:
            return
        if ended.outcome == "NotRun" and pending.attempts < self._max_attempts:
            pending.attempts += 1
            wait_s = 0.0 if ended.retry_after_s is None else ended.retry_after_s
            self._schedule(
                self._now_s + wait_s,
                self._make_submission(ended.request_number),
            )
            return
        del self._pending_by_number[ended.request_number]
        in_time = self._now_s <= pending.deadline_s
        self.results.append(
            RequestResult(
                customer=pending.arrival.customer,
                arrived_s=pending.arrival.at_s,
                latency_s=self._now_s - pending.arrival.at_s,
                is_completed_in_time=ended.outcome == "Completed" and in_time,
                outcome=ended.outcome,
            )
        )


def executor_names() -> list[str]:
    """Returns the names of the simulated executors."""
    return [f"executor-{number}" for number in range(EXECUTOR_COUNT)]

"""Elections of many instances that share one simulated store.

The store applies conditional writes in the order of their arrival. Each
instance reads each record after a delay of its own, and none is lost.
"""

from collections.abc import Callable
from collections.abc import Collection
import functools
import heapq
import itertools
import random

from basiljunction.coordination.leadership import _election
from basiljunction.state.workload import _leadership
from basiljunction.state.workload import _provision

STRONG = _provision.Provision(link_mbps=200.0, cpu_cores=2.0)
"""Provision of an instance that can carry a scheduler's traffic."""

WEAK = _provision.Provision(link_mbps=10.0, cpu_cores=0.5)
"""Provision of an instance that cannot."""

TICK_INTERVAL_S = 0.1
"""Time between two ticks of an instance, in seconds."""

MAX_READ_DELAY_S = 0.2
"""Longest time until an instance reads a record, in seconds."""

MAX_WRITE_DELAY_S = 0.05
"""Longest time until the store applies a write, in seconds."""

MAX_START_DELAY_S = 0.3
"""Longest time between the starts of the first and last instance, in
seconds."""


class ElectionRig:
    """Runs elections in virtual time; the random source draws all delays.

    Args:
        provision_by_instance: Provision of each instance.
        rng: Random source.
        read_delay_s: Longest time until an instance reads a record, in seconds.

    Attributes:
        now_s: Virtual time in seconds.
        term: Newest term in the store.
        alive: Names of the instances that run.
        longest_gap_s: Longest time in which no instance that runs scheduled,
            after the first term.
    """

    def __init__(
        self,
        provision_by_instance: dict[str, _provision.Provision],
        rng: random.Random,
        read_delay_s: float = MAX_READ_DELAY_S,
    ) -> None:
        self.now_s = 0.0
        self._read_delay_s = read_delay_s
        self.term: _leadership.Term | None = None
        self.alive = set(provision_by_instance)
        self.longest_gap_s = 0.0
        self._scheduled_s: float | None = None
        self._request: _leadership.TermRequest | None = None
        self._provision_by_instance = provision_by_instance
        self._rng = rng
        self._end_offset = 0
        self._registered: dict[str, _provision.Provision] = {}
        self._known_by_instance: dict[str, dict[str, _provision.Provision]] = {}
        self._last_read_s = dict.fromkeys(provision_by_instance, 0.0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._election_by_instance: dict[str, _election.Election] = {}
        for name in provision_by_instance:
            self._create_election(name, 1)
            self._schedule(
                rng.uniform(0, MAX_START_DELAY_S),
                functools.partial(self._start_instance, name),
            )

    def _create_election(self, name: str, incarnation: int) -> None:
        """Creates the election of an instance that knows nothing yet."""
        self._known_by_instance[name] = {}
        self._election_by_instance[name] = _election.Election(
            instance=name,
            incarnation=incarnation,
            address=f"{name}:1",
            rng=self._rng,
            provision=self._provision_by_instance[name],
        )

    def run_until_term(self, epoch: int, limit_s: float) -> str:
        """Runs until the store holds a term; returns the scheduler's name.

        Raises:
            TimeoutError: There is no such term after `limit_s` seconds.
        """
        end_s = self.now_s + limit_s
        while self.term is None or self.term.epoch < epoch:
            if self.now_s > end_s:
                raise TimeoutError(f"no term {epoch} after {limit_s} s")
            self._run_next_event()
        return self.term.instance

    def run_for(self, seconds: float) -> None:
        """Runs all events of a period."""
        end_s = self.now_s + seconds
        while self._events[0][0] <= end_s:
            self._run_next_event()
        self.now_s = end_s

    def kill(self, names: Collection[str]) -> None:
        """Ends instances without notice."""
        self.alive.difference_update(names)

    def resign(self, name: str) -> None:
        """Tells an instance to resign its term and claim no further one."""
        self._election_by_instance[name].resign()

    def restart(self, name: str, *, hold_s: float, down_s: float) -> None:
        """Tells an instance to leave; it ends and starts again.

        Args:
            name: Name of the instance.
            hold_s: Time for which it may hold a term, in seconds.
            down_s: Time from then until it starts again, in seconds.
        """
        self._election_by_instance[name].leave(self.now_s + hold_s)
        self._schedule(hold_s + down_s / 2, lambda: self.kill({name}))
        self._schedule(hold_s + down_s, lambda: self._start_again(name))

    def _start_again(self, name: str) -> None:
        """Starts a new process of an instance."""
        self.alive.add(name)
        self._create_election(name, 2)
        self._start_instance(name)

    def find_schedulers(self) -> list[str]:
        """Returns the names of the running instances that schedule."""
        return [
            name
            for name in sorted(self.alive)
            if self._election_by_instance[name].is_leader
            and not self._election_by_instance[name].is_resigning
        ]

    def refuse_connections(self, epoch: int) -> None:
        """Tells all instances, each at its time, that a scheduler is gone."""
        for name in sorted(self.alive):
            self._schedule(
                self._rng.uniform(0, self._read_delay_s),
                functools.partial(self._refuse_connection, name, epoch),
            )

    def _refuse_connection(self, name: str, epoch: int) -> None:
        """Tells an instance that a scheduler's address refuses connections."""
        self._election_by_instance[name].expire_unreachable_leader(
            epoch, self.now_s
        )

    def _schedule(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedules an event."""
        item = (self.now_s + delay_s, next(self._event_numbers), event)
        heapq.heappush(self._events, item)

    def _run_next_event(self) -> None:
        """Advances the time to the next event and runs it."""
        self.now_s, _, event = heapq.heappop(self._events)
        if self._scheduled_s is not None:
            gap_s = self.now_s - self._scheduled_s
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        event()
        if self.find_schedulers():
            self._scheduled_s = self.now_s

    def _start_instance(self, name: str) -> None:
        """Starts the first read, the registration and the ticks."""
        self._schedule_read(name)
        self._schedule(
            self._rng.uniform(0, self._read_delay_s),
            lambda: self._register(name),
        )
        self._tick(name)

    def _register(self, name: str) -> None:
        """Stores the provision of an instance."""
        if name in self.alive:
            self._registered[name] = self._provision_by_instance[name]
            self._append()

    def _append(self) -> None:
        """Adds a record; all instances read it after a while."""
        self._end_offset += 1
        for name in sorted(self.alive):
            self._schedule_read(name)

    def _schedule_read(self, name: str) -> None:
        """Schedules that an instance reads the present records, in order."""
        read_s = max(
            self._last_read_s[name],
            self.now_s + self._rng.uniform(0.001, self._read_delay_s),
        )
        self._last_read_s[name] = read_s
        term, end_offset = self.term, self._end_offset
        registered = dict(self._registered)
        request = self._request
        election = self._election_by_instance[name]

        def read() -> None:
            if request is not None:
                election.hand_over.record_request(request)
            if registered != self._known_by_instance[name]:
                self._known_by_instance[name] = registered
                election.update_provisions(registered)
            newest = None if term == election.term else term
            election.apply_read(newest, end_offset, self.now_s)

        self._schedule(read_s - self.now_s, read)

    def _tick(self, name: str) -> None:
        """Sends the due write of an instance, and schedules its next tick."""
        if name not in self.alive:
            return
        self._schedule(TICK_INTERVAL_S, lambda: self._tick(name))
        election = self._election_by_instance[name]
        if election.must_resign(self.now_s):
            election.resign(1.0)
        write = election.next_term_write(self.now_s)
        request = election.next_request(self.now_s)
        if request is not None:
            self._schedule(
                self._rng.uniform(0.001, MAX_WRITE_DELAY_S),
                functools.partial(self._store_request, request),
            )
        if write is not None:
            self._schedule(
                self._rng.uniform(0.001, MAX_WRITE_DELAY_S),
                lambda: self._apply_write(name, write),
            )

    def _store_request(self, request: _leadership.TermRequest) -> None:
        """Stores a request if its condition holds."""
        if request.expected_end_offset == self._end_offset:
            self._request = request
            self._append()

    def _apply_write(self, name: str, write: _leadership.TermWrite) -> None:
        """Applies a write if its condition holds, and reports the result."""
        election = self._election_by_instance[name]
        if write.expected_end_offset != self._end_offset:
            election.record_write_conflict(self.now_s)
            return
        self.term = write.term
        self._append()
        election.record_write_success(self._end_offset, self.now_s)

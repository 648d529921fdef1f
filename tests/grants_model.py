"""Instances that grant leases while they lose the store and each other.

The cell tasks are the real ones, with their elections, questions and reports.
Only their sessions are stood in for: these grant leases as often as they may.
A scheduler must grant none later than one of a later term assumes, even if
that one has ended: a resignation and the stored bounds of silent executors pass
its assumption on.
"""

from collections.abc import Callable
from concurrent import futures
import contextlib
import dataclasses
import random
from typing import Any
from unittest import mock

from basiljunction.coordination.leadership import _lease_grants
from basiljunction.coordination.leadership import _term_progress
from basiljunction.coordination.scheduling import _limits
from basiljunction.protocol import _http_call
from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _peer_calls
from basiljunction.state import _time
from basiljunction.state.workload import _client_calls
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_task
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
from basiljunction.transport.jobs import _leader_session
import grants_network
import workload_builders as build

TICK_S = 0.1
"""Longest time between two ticks of an instance, in seconds."""

RECOVERY_S = 0.3
"""Longest time until a session answers calls, in seconds."""

DURATION_S = 20.0
"""Default virtual time of a sequence of faults, in seconds."""

_TIMES = _limits.LeaseTimes()

_PRECISION_S = 1e-6


class GrantError(AssertionError):
    """A lease was granted later than a later scheduler assumes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Assumption:
    """What the scheduler of a term assumes of those before.

    Attributes:
        epoch: Epoch of the term.
        last_grant_s: Virtual time by which they had granted their last lease.
    """

    epoch: int
    last_grant_s: float


class Session:
    """Stands in for the session of a term: grants leases while it may.

    Args:
        model: The model.
        settings: Settings of the instance.
        clock: Clock of the instance.
        epoch: Epoch of the term.
        earlier_terms_ended_s: As for the real session.
        longest_inherited_run_s: As for the real session.
        **unused: What only the real session needs.
    """

    is_superseded = False

    def __init__(
        self,
        model: "GrantsModel",
        *,
        settings: _instance_settings.InstanceSettings,
        clock: Callable[[], _time.Now],
        epoch: int,
        earlier_terms_ended_s: float | None,
        longest_inherited_run_s: float | None,
        **unused: object,
    ) -> None:
        self._model = model
        self._clock = clock
        self.epoch = epoch
        now_s = clock().boot_s
        self._answers_from_s = now_s + model.rng.uniform(0.0, RECOVERY_S)
        if earlier_terms_ended_s is None:
            earlier_terms_ended_s = now_s
        if longest_inherited_run_s is None:
            longest_inherited_run_s = _TIMES.max_run_after_term_s
        self._runs_end_s = earlier_terms_ended_s + longest_inherited_run_s
        assumed_s = self._runs_end_s - _TIMES.max_run_after_grant_s
        model.assume(epoch, model.network.now_s + assumed_s - now_s)
        model.on_term(settings.name)

    @property
    def answers_calls(self) -> bool:
        """Whether the scheduler has recovered."""
        return self._clock().boot_s >= self._answers_from_s

    @property
    def progress(self) -> _term_progress.TermProgress:
        """Progress of the recovery."""
        return _term_progress.TermProgress(_term_progress.TermStage.READING)

    @property
    def longest_run_s(self) -> float:
        """Longest time for which runs go on after this session has ended."""
        longest_s = max(
            self._runs_end_s - self._clock().boot_s,
            _limits.LEASE_EXPIRY_MARGIN_S,
        )
        if not self.answers_calls:
            return longest_s
        return max(longest_s, _TIMES.max_run_after_grant_s)

    def run_timed_work(
        self,
        now: _time.Now,
        *,
        confirmed_s: float,
        confirmed_beat: int,
        outage_reported_until_s: float,
    ) -> None:
        """Grants a lease, if it may."""
        if self.answers_calls and now.boot_s < _lease_grants.grants_end_s(
            confirmed_s, outage_reported_until_s
        ):
            self._model.grant(self.epoch, now.boot_s - confirmed_s)

    def handle_call(self, pending: object) -> None:
        """Leaves a call unanswered."""

    def close(self) -> None:
        """Grants no further lease."""


class _Configurations:
    """Stands in for the feed of configurations: one has always been read."""

    def __init__(self, **unused: object) -> None:
        self.address = ""
        self.newest_configuration = build.configuration()

    def start_due_read(self, now: _time.Now) -> None:
        """Reads nothing."""


class _InstanceClock(_clock.Clock):
    """Clock of one instance, which went on while the instance stood still."""

    def __init__(
        self, network: grants_network.Network, offset_s: float
    ) -> None:
        self._network = network
        self._offset_s = offset_s

    def now(self) -> _time.Now:
        return build.clock_readings_at(self._network.now_s + self._offset_s)


class Instance:
    """An instance whose process is killed, started, paused and resigns.

    Args:
        model: The model.
        name: Name of the instance.
    """

    def __init__(self, model: "GrantsModel", name: str) -> None:
        self.name = name
        self.address = f"{name}:1"
        self._model = model
        self._network = model.network
        self._clock = _InstanceClock(
            model.network, model.rng.uniform(0.0, 1000.0)
        )
        self._task: _cell_task.CellTask | None = None
        self._run = 0
        self._paused_until_s = 0.0
        self._waiting: list[Callable[[], None]] = []

    @property
    def is_up(self) -> bool:
        """Whether a process runs."""
        return self._task is not None

    @property
    def is_scheduling(self) -> bool:
        """Whether it holds a term and answers calls."""
        return self._task is not None and self._task.is_scheduling()

    def start(self) -> None:
        """Starts a process, unless one runs."""
        if self._task is not None:
            return
        self._run += 1
        run = self._run
        client = grants_network.Client(
            self._network, self.name, lambda event: self._handle(run, event)
        )
        with self._model.stand_ins(client):
            self._task = _cell_task.CellTask(
                settings=_make_settings(self.name, self.address),
                clock=self._clock,
                rng=self._model.rng,
                metrics=_metrics.Metrics(self.name),
                max_connections=100,
            )
        self._network.receiver_by_address[self.address] = (
            self.name,
            self._receive,
        )
        self._tick(run)

    def kill(self) -> None:
        """Ends the process, which forgets everything."""
        self._task = None
        self._run += 1
        self._paused_until_s = 0.0
        self._waiting.clear()
        self._network.receiver_by_address.pop(self.address, None)

    def pause(self, seconds: float) -> None:
        """Lets the process stand still; calls and answers wait for it."""
        if self._task is None:
            return
        self._paused_until_s = self._network.now_s + seconds
        run = self._run
        self._network.schedule(seconds, lambda: self._resume(run))

    def leave(self, hold_s: float) -> None:
        """Tells the process to leave; it may hold a term for some time."""
        resign_by_boot_s = self._clock.now().boot_s + hold_s
        message = _cell_task.ResignRequested(resign_by_boot_s=resign_by_boot_s)
        self._handle(self._run, lambda: self._tell(message))

    def _resume(self, run: int) -> None:
        """Handles what has arrived while the process stood still."""
        if run != self._run or self._network.now_s < self._paused_until_s:
            return
        waiting, self._waiting = self._waiting, []
        for event in waiting:
            event()

    def _handle(self, run: int, event: Callable[[], None]) -> None:
        """Lets the process handle an event, later if it stands still now."""
        if run != self._run or self._task is None:
            return
        if self._network.now_s < self._paused_until_s:
            self._waiting.append(lambda: self._handle(run, event))
            return
        event()

    def _tell(self, message: object) -> None:
        """Passes a message to the task."""
        if self._task is not None:
            self._task.handle(message, self._clock.now())

    def _receive(
        self, call: _http_call.HttpCall, on_reply: _http_calls.ReplyCallback
    ) -> None:
        """Passes a call of another instance to the task."""
        future: futures.Future[_client_calls.ClientReply] = futures.Future()

        def answer(done: "futures.Future[_client_calls.ClientReply]") -> None:
            body = _peer_calls.encode_reply(done.result(), "", 0)
            on_reply(_http_call.HttpReply(200, body))

        future.add_done_callback(answer)
        question = _peer_calls.decode_call(call.body or b"")
        message = _cell_task.CallReceived(
            question, future, call.timeout_s, is_forwarded=True
        )
        self._handle(self._run, lambda: self._tell(message))

    def _tick(self, run: int) -> None:
        """Ticks until the process ends."""
        if run != self._run or self._task is None:
            return
        delay_s = self._model.rng.uniform(TICK_S / 2, TICK_S)
        self._network.schedule(delay_s, lambda: self._tick(run))
        if self._network.now_s >= self._paused_until_s:
            with self._model.stand_ins(None):
                self._task.tick(self._clock.now())


class GrantsModel:
    """Several instances and what their schedulers grant and assume.

    Args:
        rng: Random source of everything that is drawn.
        instance_count: Number of instances.

    Attributes:
        rng: The random source.
        network: The store and the links.
        instances: The instances.
        assumptions: What the schedulers assume, in the order of their begin.
        last_grant_s_by_epoch: Virtual time of the last lease of each term.
        longest_unconfirmed_s: Longest time after the last confirmation of a
            term at which a lease was granted, in seconds.
        on_term: Called with the name of an instance that begins to schedule.
    """

    def __init__(self, rng: random.Random, instance_count: int) -> None:
        self.rng = rng
        self.network = grants_network.Network(rng)
        self.instances = [
            Instance(self, f"i{number}") for number in range(instance_count)
        ]
        self.assumptions: list[Assumption] = []
        self.last_grant_s_by_epoch: dict[int, float] = {}
        self.longest_unconfirmed_s = 0.0
        self.on_term: Callable[[str], None] = lambda _: None

    @contextlib.contextmanager
    def stand_ins(self, client: grants_network.Client | None) -> Any:
        """Replaces what a cell task makes: its client, feed and sessions."""

        def make_client(*_: object, **__: object) -> object:
            return client

        def make_session(**values: Any) -> Session:
            return Session(self, **values)

        with (
            mock.patch.object(_http_calls, "HttpClient", make_client),
            mock.patch.object(_feeds, "ConfigurationFeed", _Configurations),
            mock.patch.object(_leader_session, "LeaderSession", make_session),
        ):
            yield

    def assume(self, epoch: int, last_grant_s: float) -> None:
        """Records what the scheduler of a term assumes of those before."""
        assumption = Assumption(epoch, last_grant_s)
        self.assumptions.append(assumption)
        for earlier, granted_s in self.last_grant_s_by_epoch.items():
            self._check(earlier, granted_s, assumption)

    def grant(self, epoch: int, unconfirmed_s: float) -> None:
        """Records that the scheduler of a term grants a lease now.

        Args:
            epoch: Epoch of the term.
            unconfirmed_s: Time since its last confirmation, in seconds.
        """
        now_s = self.network.now_s
        self.longest_unconfirmed_s = max(
            self.longest_unconfirmed_s, unconfirmed_s
        )
        self.last_grant_s_by_epoch[epoch] = now_s
        for each in self.assumptions:
            self._check(epoch, now_s, each)

    def _check(
        self, epoch: int, granted_s: float, assumption: Assumption
    ) -> None:
        """Raises an error if a lease was granted later than assumed."""
        late_s = granted_s - assumption.last_grant_s
        if epoch < assumption.epoch and late_s > _PRECISION_S:
            raise GrantError(
                f"term {epoch} granted a lease at {granted_s:.3f} s,"
                f" {late_s:.3f} s later than term {assumption.epoch} assumes"
            )


def _make_settings(
    name: str, address: str
) -> _instance_settings.InstanceSettings:
    """Returns the settings of an instance."""
    return _instance_settings.InstanceSettings(
        name=name,
        zone="zone-a",
        front_listen="127.0.0.1:1",
        ready_listen="127.0.0.1:2",
        peer_listen=address,
        store=_instance_settings.StoreSettings(
            grants_network.STORE_ADDRESS, 800, 2000, 262144, 2097152
        ),
        bounds=_instance_settings.DeploymentTimeLimits(4, 10, 120, 3, 0.9, 4),
        heartbeat_s=0.5,
    )

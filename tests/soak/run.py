"""Runs a soak: real instances, a stand-in of the platform, and its plan."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import functools
import heapq
import itertools
import json
import pathlib
import threading
import time

from basiljunction.platform import _store
import instance_process
import platform_standin
from soak import checks as soak_checks
from soak import clients as soak_clients
from soak import executor_steps as soak_executor_steps
from soak import fleet as soak_fleet
from soak import instances as soak_instances
from soak import plan as soak_plan
from soak import steps as soak_steps

TICK_S = 0.02
"""Time between two looks at processes, executors and tasks, in seconds."""

START_TIMEOUT_S = 60.0
"""Longest time until all instances are ready, in seconds; many start at once
on few processors."""

LONGEST_BACKLOG_S = 20.0
"""Longest time after the end of the traffic for which executors may be full
with long jobs before the time to settle begins, in seconds."""

MAX_STARTING = 3
"""Most instances that start at the same time, each of which keeps a processor
busy."""

LASTING_JOBS = 3
"""Number of lasting jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a soak found.

    Attributes:
        violations: What was wrong; empty if nothing was.
        jobs: Number of accepted jobs.
        starts: Number of runs that executors started.
        terms: Number of the last term.
        late_stops: Processes that were killed at the end of their grace.
        longest_tick_s: Longest time between two looks at the processes, in
            seconds; far more than `TICK_S` on a machine that is too busy.
        log_path: Log of the steps, runs and submissions.
    """

    violations: tuple[str, ...]
    jobs: int
    starts: int
    terms: int
    late_stops: int
    longest_tick_s: float
    log_path: pathlib.Path


class Soak:
    """A soak from a plan.

    Args:
        plan: What to do.
        seed: Seed of the clients.
        folder: Folder of settings and logs.
    """

    def __init__(
        self, plan: soak_plan.Plan, seed: int, folder: pathlib.Path
    ) -> None:
        self._plan = plan
        self._seed = seed
        self._folder = folder
        self._checks = soak_checks.Checks()
        self._platform = platform_standin.Platform(executors=0)
        self._platform.configure(1, "/jobs/")
        self._fleet = soak_fleet.Fleet(
            self._platform, self._checks, plan.executors, seed
        )
        self._executor_steps = soak_executor_steps.ExecutorSteps(
            self._fleet, self._call_at, self._note
        )
        self._instances: list[soak_instances.SoakInstance] = []
        self._timers: list[tuple[float, int, Callable[[], object]]] = []
        self._timer_numbers = itertools.count()
        self._config_version = 1
        self._pending_restarts = 0
        self._next_restart = 0
        self._store_down_until_s = 0.0
        self._store_slow_until_s = 0.0
        self._room_since_s = time.monotonic()
        self._calm_since_s = 0.0
        self._longest_tick_s = 0.0
        self._last_tick_s: float | None = None

    def run(self) -> Result:
        """Runs the plan, waits until all has settled and returns the result."""
        stop_event = threading.Event()
        try:
            self._start_instances()
            clients = [
                self._make_client(number)
                for number in range(1 + self._plan.clients)
            ]
            with futures.ThreadPoolExecutor(len(clients)) as pool:
                try:
                    self._run_steps(clients, pool, stop_event)
                finally:
                    stop_event.set()
            self._settle(clients[0])
            for client in clients:
                client.close()
            self._checks.check_end(time.monotonic())
        except TimeoutError as error:
            self._checks.note_fault(str(error), time.monotonic())
        finally:
            for instance in self._instances:
                instance.close()
            self._fleet.close()
            self._platform.close()
        return self._make_result()

    def _make_client(self, number: int) -> soak_clients.Client:
        return soak_clients.Client(
            number,
            self._seed,
            self._instances,
            self._checks,
            self._plan.long_share,
        )

    def _start_instances(self) -> None:
        """Starts the instances, few at a time, until all are ready.

        Raises:
            TimeoutError: They are not ready in time.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        for number in range(self._plan.instances):
            self._wait_for_start(end_s, MAX_STARTING - 1)
            process = instance_process.InstanceProcess(
                self._folder,
                self._platform,
                number,
                grace_s=soak_instances.GRACE_S,
            )
            self._instances.append(soak_instances.SoakInstance(process))
        self._wait_for_start(end_s, 0)

    def _wait_for_start(self, end_s: float, max_starting: int) -> None:
        """Waits until at most this many instances are still starting.

        Raises:
            TimeoutError: They are not ready by `end_s`, a steady time.
        """
        while sum(each.is_away for each in self._instances) > max_starting:
            if time.monotonic() > end_s:
                raise TimeoutError("instances are not ready in time")
            time.sleep(TICK_S)

    def _run_steps(
        self,
        clients: list[soak_clients.Client],
        pool: futures.ThreadPoolExecutor,
        stop_event: threading.Event,
    ) -> None:
        """Runs the clients and all steps of the plan."""
        for _ in range(LASTING_JOBS):
            clients[0].submit(lasts=True)
        running = [
            pool.submit(each.run, self._plan.request_interval_s, stop_event)
            for each in clients[1:]
        ]
        begin_s = time.monotonic()
        for step in self._plan.steps:
            self._call_at(
                begin_s + step.at_s, functools.partial(self._begin, step)
            )
        while self._timers:
            self._advance()
        self._pending_restarts = 0
        stop_event.set()
        for each in running:
            each.result()

    def _settle(self, client: soak_clients.Client) -> None:
        """Waits until all jobs have settled, or for as long as they may take.

        Args:
            client: Client that asks for them.
        """
        begin_s = time.monotonic()
        longest_s = soak_checks.FINISH_S + (
            soak_clients.LONG_WORK_S if self._plan.long_share else 0.0
        )
        stop_event = threading.Event()
        with futures.ThreadPoolExecutor(1) as pool:
            queries = pool.submit(client.run_queries, stop_event)
            try:
                full_until_s = begin_s
                while time.monotonic() < full_until_s + longest_s and (
                    self._checks.list_unsettled_jobs()
                    or self._checks.count_lasting_tasks_without_run()
                    or self._fleet.has_late_orders()
                ):
                    self._advance()
                    if self._plan.long_share:
                        # A job that waits while there is no room isn't late.
                        full_until_s = min(
                            max(begin_s, self._room_since_s),
                            begin_s + LONGEST_BACKLOG_S,
                        )
                    self._checks.check_settled(full_until_s, time.monotonic())
            finally:
                stop_event.set()
        queries.result()

    def _call_at(self, at_s: float, action: Callable[[], object]) -> None:
        """Calls an action at a steady time."""
        heapq.heappush(self._timers, (at_s, next(self._timer_numbers), action))

    def _advance(self) -> None:
        """Does all that is due, then waits for the next tick."""
        now_s = time.monotonic()
        if self._last_tick_s is not None:
            self._longest_tick_s = max(
                self._longest_tick_s, now_s - self._last_tick_s
            )
        self._last_tick_s = now_s
        while self._timers and self._timers[0][0] <= now_s:
            heapq.heappop(self._timers)[2]()
        for instance in self._instances:
            instance.advance(now_s)
        self._restart_next()
        self._platform.is_down = now_s < self._store_down_until_s
        self._platform.store_bytes_per_s = (
            30_000.0 if now_s < self._store_slow_until_s else float("inf")
        )
        self._fleet.advance()
        if not self._fleet.has_room(soak_clients.TASK_CPU):
            self._room_since_s = now_s
        self._checks.check_lasting_tasks(
            self._room_since_s, self._calm_since_s, now_s
        )
        time.sleep(TICK_S)

    def _restart_next(self) -> None:
        """Stops the next instance in turn while half of them are there."""
        if not self._pending_restarts:
            return
        away = sum(each.is_away for each in self._instances)
        if away >= max(1, len(self._instances) // 2):
            return
        instance = self._instances[self._next_restart % len(self._instances)]
        self._next_restart += 1
        scheduler = self._find_scheduler()
        if self._plan.restarts_follow_scheduler and scheduler is not None:
            instance = scheduler
        self._pending_restarts -= 1
        self._note(f"SIGTERM {instance.name}")
        instance.terminate()

    def _begin(self, step: soak_steps.Step) -> None:
        """Begins a step of the plan."""
        self._note(f"{step.kind.value} {step.target} {step.lasts_s:.2f}")
        if step.kind not in soak_steps.PLANNED:
            self._calm_since_s = max(
                self._calm_since_s, time.monotonic() + self._disruption_s(step)
            )
        match step.kind:
            case soak_steps.Kind.RESTART:
                self._pending_restarts += 1
            case soak_steps.Kind.HANGUP:
                self._hang_up(step)
            case soak_steps.Kind.CONFIGURE:
                self._configure()
            case soak_steps.Kind.STORE_DOWN:
                self._store_down_until_s = time.monotonic() + step.lasts_s
            case soak_steps.Kind.STORE_SLOW:
                self._store_slow_until_s = time.monotonic() + step.lasts_s
            case _ if not self._executor_steps.begin(step):
                self._disturb_instance(step)

    @staticmethod
    def _disruption_s(step: soak_steps.Step) -> float:
        """Returns how long an unplanned disruption lasts, in seconds."""
        if step.kind in soak_steps.KILLS:
            return soak_instances.RESTART_DELAY_S
        if step.cut is not None:
            return step.lasts_s + step.cut.after_s + step.cut.lasts_s
        return step.lasts_s

    def _hang_up(self, step: soak_steps.Step) -> None:
        """Sends SIGHUP to an instance."""
        instance = self._instances[step.target % len(self._instances)]
        self._note(f"SIGHUP {instance.name}")
        instance.hang_up()

    def _configure(self) -> None:
        """Publishes a configuration that adds or removes another route."""
        self._config_version += 1
        paths = ["/jobs/", "/other/"][: 1 + self._config_version % 2]
        self._platform.configure(self._config_version, *paths)

    def _disturb_instance(self, step: soak_steps.Step) -> None:
        """Kills or pauses an instance, or the one that schedules."""
        instance = self._instances[step.target % len(self._instances)]
        if step.kind in (
            soak_steps.Kind.KILL_SCHEDULER,
            soak_steps.Kind.PAUSE_SCHEDULER,
        ):
            instance = self._find_scheduler() or instance
        self._note(f"{step.kind.value}: {instance.name}")
        if step.kind in soak_steps.KILLS:
            instance.kill()
        else:
            instance.pause(step.lasts_s)

    def _find_scheduler(self) -> soak_instances.SoakInstance | None:
        """Returns the instance that holds the newest term, if any."""
        name = self._read_term().get("instance")
        return next(
            (each for each in self._instances if each.name == name), None
        )

    def _read_term(self) -> dict[str, object]:
        """Returns the newest term in the store."""
        topic = self._platform.topics[_store.TERM_TOPIC]
        with self._platform.lock:
            newest = topic.newest_by_key.get(_store.TERM_KEY)
        return {} if newest is None else dict(json.loads(newest[1]))

    def _note(self, text: str) -> None:
        """Adds what the soak does to the log."""
        self._checks.note_step(text, time.monotonic())

    def _make_result(self) -> Result:
        """Writes the log and returns the result."""
        log_path = self._folder / "soak.log"
        wall_s = time.time() - time.monotonic()
        log_path.write_text(
            f"seed {self._seed}, {self._plan.instances} instances; wall clock"
            f" = steady clock + {wall_s:.3f}\n"
            + "\n".join(self._checks.events)
            + "\n",
            encoding="utf-8",
        )
        problems = [p for each in self._instances for p in each.problems]
        return Result(
            violations=(*self._checks.violations, *problems),
            jobs=sum(
                len(self._checks.list_accepted_jobs(lasts=lasts))
                for lasts in (False, True)
            ),
            starts=self._checks.start_count,
            terms=int(str(self._read_term().get("epoch", 0))),
            late_stops=sum(each.late_stops for each in self._instances),
            longest_tick_s=self._longest_tick_s,
            log_path=log_path,
        )


def run_seed(
    seed: int,
    folder: pathlib.Path,
    *,
    duration_s: float,
    instances: int | None = None,
    is_plain: bool = False,
) -> Result:
    """Runs the soak of a seed.

    Args:
        seed: The seed.
        folder: Empty folder for settings and logs.
        duration_s: Time in which disruptions begin, in seconds.
        instances: Number of instances; None leaves it to the seed.
        is_plain: Whether to leave out storms and signals.
    """
    plan = soak_plan.make_plan(seed, duration_s, instances, is_plain=is_plain)
    return Soak(plan, seed, folder).run()

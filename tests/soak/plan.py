"""Disruptions of a soak, drawn from its seed."""

import dataclasses
import enum
import random

SHRINKING_SHARE = 0.5
"""Share of the seeds with executors that shrink and grow again."""

PLANNED_SHARE = 0.4
"""Share of the seeds with planned work only: restarts, leaves and arrivals."""


CUT_SHARE = 0.5
"""Share of the seeds in which connections to executors are cut."""

STORM_SHARE = 0.6
"""Share of the seeds in which executors restart under their id, are cut off
and carry out orders late, all within seconds of a change of schedulers."""

STEADY_SHARE = 0.5
"""Share of those seeds in which few instances are restarted and few executors
leave, so that both live to see a lease expire."""

STEADY_INTERVAL = 12
"""One in so many planned restarts and leaves remains in such a seed."""

STORM_EXECUTORS = 2
"""Number of further executors in those seeds, in place of those cut off."""

STORM_REQUEST_INTERVAL_S = 0.3
"""Mean time between two requests of a client in those seeds, in seconds; most
of the room goes to long jobs."""

LONG_SHARE = 0.35
"""Share of the jobs in those seeds whose tasks run for seconds."""

SIGNAL_SHARE = 0.5
"""Share of the seeds with SIGHUP and new configurations in series."""


class Kind(enum.Enum):
    """What happens; `Step.target` numbers the instance or executor."""

    RESTART = "restart"
    KILL = "kill"
    KILL_SCHEDULER = "kill scheduler"
    PAUSE = "pause"
    PAUSE_SCHEDULER = "pause scheduler"
    LEAVE = "leave"
    CRASH = "crash"
    JOIN = "join"
    SHRINK = "shrink"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    CUT = "cut at a start"
    RESTART_EXECUTOR = "restart executor"
    LATE_ORDERS = "late orders"
    HANGUP = "hangup"
    CONFIGURE = "configure"


PLANNED = frozenset(
    {
        Kind.RESTART,
        Kind.LEAVE,
        Kind.JOIN,
        Kind.SHRINK,
        Kind.HANGUP,
        Kind.CONFIGURE,
    }
)
"""Kinds that the bound for lasting tasks takes no account of."""

_TROUBLE = (
    Kind.KILL,
    Kind.KILL_SCHEDULER,
    Kind.PAUSE,
    Kind.PAUSE_SCHEDULER,
    Kind.CRASH,
    Kind.STORE_DOWN,
    Kind.STORE_SLOW,
)
"""Kinds that are drawn as unplanned disruptions at any time."""

KILLS = frozenset({Kind.KILL, Kind.KILL_SCHEDULER})
"""Kinds after which a process is started anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A disruption.

    Attributes:
        at_s: Time since the start of the disruptions, in seconds.
        kind: What happens.
        target: Number of the instance or executor, modulo how many there are.
        lasts_s: How long it lasts, in seconds: a pause, an outage, the time
            until a leaving executor exits, a crashed or restarting one is
            reborn or a shrunk one grows again, for which an executor refuses
            connections after the one with the next start was reset, or for
            which it gives orders no answer.
        left_share: Share of its capacity that a shrunk or restarted executor
            has, 0 to 1.
        cut: Cut after the restart of an executor; None for none.
        late_share: Share of the orders without an answer, 0 to 1; for a restart
            of an executor, those that arrive before it is cut off.
        spares_renewals: Whether lease renewals are answered all the while.
        spares_others: Whether all but lease renewals are answered.
        is_silent: Whether the crash of a restarting executor is silent.
    """

    at_s: float
    kind: Kind
    target: int = 0
    lasts_s: float = 0.0
    left_share: float = 1.0
    cut: "Cut | None" = None
    late_share: float = 0.0
    spares_renewals: bool = False
    spares_others: bool = False
    is_silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A time for which an executor is cut off from all callers.

    Attributes:
        after_s: Time from the start of the executor to it, in seconds.
        lasts_s: How long it lasts, in seconds.
        is_silent: Whether callers get no answer; else they are refused.
        from_store: Whether its heartbeats are lost, too.
    """

    after_s: float
    lasts_s: float
    is_silent: bool
    from_store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What one seed does.

    Attributes:
        instances: Number of instances.
        executors: Number of executors at the start.
        clients: Number of clients.
        request_interval_s: Mean time between two requests of a client, in
            seconds.
        steps: Disruptions, in order of time.
        restarts_follow_scheduler: Whether each restart is that of the instance
            that schedules, in place of the next in turn.
        long_share: Share of the jobs whose tasks run for seconds.
    """

    instances: int
    executors: int
    clients: int
    request_interval_s: float
    steps: tuple[Step, ...]
    restarts_follow_scheduler: bool
    long_share: float = 0.0


def make_plan(
    seed: int,
    duration_s: float,
    instances: int | None = None,
    *,
    is_plain: bool = False,
) -> Plan:
    """Returns what a seed does.

    Args:
        seed: The seed.
        duration_s: Time in which disruptions begin, in seconds.
        instances: Number of instances; None draws 3 to 6.
        is_plain: Whether to leave out storms and signals, which seeds did not
            have at first.
    """
    source = random.Random(f"platform-soak/{seed}")
    count = source.randint(3, 6) if instances is None else instances
    steps = _draw_restarts(source, duration_s) + _draw_leaves(
        source, duration_s
    )
    if source.random() >= PLANNED_SHARE:
        steps += _draw_trouble(source, duration_s)
    steps += _draw_shrinks(seed, duration_s)
    # From a source of its own, so that seeds keep their other steps.
    steps += _draw_cuts(random.Random(f"platform-soak-cuts/{seed}"), duration_s)
    executors = source.randint(4, 8)
    storms = random.Random(f"platform-soak-storms/{seed}")
    has_storms = storms.random() < STORM_SHARE and not is_plain
    if not is_plain:
        steps += _draw_signals(
            random.Random(f"platform-soak-signals/{seed}"), duration_s
        )
    if has_storms:
        if storms.random() < STEADY_SHARE:
            steps = _thin_planned(steps)
        steps += _draw_storms(storms, duration_s)
    return Plan(
        instances=count,
        executors=executors + (STORM_EXECUTORS if has_storms else 0),
        clients=4,
        request_interval_s=max(
            0.1 if count <= 6 else 0.5,
            STORM_REQUEST_INTERVAL_S if has_storms else 0.0,
        ),
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
        restarts_follow_scheduler=source.random() < 0.5,
        long_share=LONG_SHARE if has_storms else 0.0,
    )


def _draw_times(
    source: random.Random, duration_s: float, interval_s: float
) -> list[float]:
    """Returns the times of a series that begins early and ends late."""
    at_s = source.uniform(0.0, duration_s / 4)
    times = []
    while at_s < duration_s:
        times.append(at_s)
        at_s += interval_s * source.uniform(0.8, 1.2)
    return times


def _draw_restarts(source: random.Random, duration_s: float) -> list[Step]:
    """Returns restarts of the instances in turn."""
    interval_s = source.uniform(1.0, 2.5)
    return [
        Step(at_s, Kind.RESTART, number)
        for number, at_s in enumerate(
            _draw_times(source, duration_s, interval_s)
        )
    ]


def _draw_leaves(source: random.Random, duration_s: float) -> list[Step]:
    """Returns executors that leave in turn, each with a successor."""
    interval_s = source.uniform(0.7, 2.0)
    notice_s = source.uniform(2.0, 9.0)
    steps = []
    for number, at_s in enumerate(_draw_times(source, duration_s, interval_s)):
        joins_s = at_s + source.uniform(0.0, 1.0)
        steps.append(Step(at_s, Kind.LEAVE, number, notice_s))
        steps.append(Step(joins_s, Kind.JOIN, number))
    return steps


def _draw_shrinks(seed: int, duration_s: float) -> list[Step]:
    """Returns executors that shrink for a while; none on some seeds.

    They have a source of their own, so that the other steps of a seed stay.
    """
    source = random.Random(f"platform-soak/{seed}/shrinks")
    if source.random() >= SHRINKING_SHARE:
        return []
    return [
        Step(
            at_s,
            Kind.SHRINK,
            source.randrange(100),
            source.uniform(0.3, 8.0),
            source.choice((0.0, 0.25, 0.5, 0.75)),
        )
        for at_s in _draw_times(source, duration_s, source.uniform(1.0, 3.0))
    ]


def _draw_cuts(source: random.Random, duration_s: float) -> list[Step]:
    """Returns cuts of one executor after another, in a share of the seeds."""
    if source.random() >= CUT_SHARE:
        return []
    interval_s = source.uniform(0.3, 1.5)
    return [
        Step(at_s, Kind.CUT, source.randrange(100), source.uniform(0.1, 1.0))
        for at_s in _draw_times(source, duration_s, interval_s)
    ]


def _draw_signals(source: random.Random, duration_s: float) -> list[Step]:
    """Returns hangups and new configurations, in a share of the seeds."""
    if source.random() >= SIGNAL_SHARE:
        return []
    return [
        Step(at_s, kind, source.randrange(100))
        for kind in (Kind.HANGUP, Kind.CONFIGURE)
        for at_s in _draw_times(source, duration_s, source.uniform(1.0, 4.0))
    ]


def _thin_planned(steps: list[Step]) -> list[Step]:
    """Returns the steps with few planned restarts, leaves and successors."""
    return [
        step
        for step in steps
        if step.kind not in (Kind.RESTART, Kind.LEAVE, Kind.JOIN)
        or step.target % STEADY_INTERVAL == 0
    ]


def _draw_storms(source: random.Random, duration_s: float) -> list[Step]:
    """Returns series of disruptions that overlap within some seconds."""
    interval_s = source.uniform(3.0, 9.0)
    return [
        step
        for at_s in _draw_times(source, duration_s, interval_s)
        for step in _draw_storm(source, at_s)
    ]


def _draw_storm(source: random.Random, at_s: float) -> list[Step]:
    """Returns late orders, restarts of executors, cuts and a take-over."""
    steps = []
    for _ in range(source.randint(1, 4)):
        target = source.randrange(100)
        begin_s = at_s + source.uniform(0.0, 2.0)
        if source.random() < 0.6:
            steps.append(
                Step(
                    begin_s,
                    Kind.LATE_ORDERS,
                    target,
                    source.uniform(0.3, 3.0),
                    late_share=source.uniform(0.2, 1.0),
                    spares_renewals=source.random() < 0.6,
                )
            )
        if source.random() < 0.8:
            steps.append(
                Step(
                    begin_s + source.uniform(-0.3, 1.0),
                    Kind.RESTART_EXECUTOR,
                    target,
                    source.choice((0.1, 0.1, 0.2, 0.4, 0.8))
                    * source.uniform(1.0, 1.25),
                    left_share=source.choice((1.0, 1.0, 0.5)),
                    cut=_draw_cut_off(source),
                    late_share=source.choice((0.0, 0.5, 1.0)),
                    spares_others=source.random() < 0.8,
                    is_silent=source.random() < 0.7,
                )
            )
    take_over = source.choice(
        (
            None,
            None,
            None,
            None,
            Kind.KILL_SCHEDULER,
            Kind.KILL_SCHEDULER,
            Kind.PAUSE_SCHEDULER,
            Kind.RESTART,
        )
    )
    if take_over is not None:
        begin_s = at_s + source.uniform(0.0, 4.0)
        steps.append(Step(begin_s, take_over, 0, source.uniform(0.2, 3.0)))
    return [dataclasses.replace(s, at_s=max(0.0, s.at_s)) for s in steps]


def _draw_cut_off(source: random.Random) -> Cut | None:
    """Returns a cut right after the restart of an executor, or none."""
    if source.random() < 0.2:
        return None
    return Cut(
        after_s=source.choice((0.05, 0.3, 0.6, 1.0, 1.0, 2.0, 3.0))
        * source.uniform(0.5, 1.5),
        lasts_s=source.choice((1.0, 4.0, 8.0, 11.0, 11.0, 11.0))
        * source.uniform(0.8, 1.1),
        is_silent=source.random() < 0.5,
        from_store=source.random() < 0.3,
    )


def _draw_trouble(source: random.Random, duration_s: float) -> list[Step]:
    """Returns unplanned disruptions at any time."""
    chosen = source.sample(_TROUBLE, source.randint(1, 4))
    longest_s_by_kind = {
        Kind.STORE_DOWN: 1.5,
        Kind.STORE_SLOW: 2.0,
        Kind.CRASH: 2.0,
    }
    return [
        Step(
            source.uniform(0.0, duration_s),
            kind,
            source.randrange(100),
            source.uniform(0.2, longest_s_by_kind.get(kind, 3.0)),
        )
        for kind in chosen
        for _ in range(source.randint(1, 3))
    ]

"""Disruptions of a soak, drawn from its seed."""

import dataclasses
import enum
import random

SHRINKING_SHARE = 0.5
"""Share of the seeds with executors that shrink and grow again."""

PLANNED_SHARE = 0.4
"""Share of the seeds with planned work only: restarts, leaves and arrivals."""


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


PLANNED = frozenset({Kind.RESTART, Kind.LEAVE, Kind.JOIN, Kind.SHRINK})
"""Kinds that the bound for lasting tasks takes no account of."""

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
            until a leaving executor exits, a crashed one is reborn or a shrunk
            one grows again.
        left_share: Share of its capacity that a shrunk executor keeps, 0 to 1.
    """

    at_s: float
    kind: Kind
    target: int = 0
    lasts_s: float = 0.0
    left_share: float = 1.0


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
    """

    instances: int
    executors: int
    clients: int
    request_interval_s: float
    steps: tuple[Step, ...]
    restarts_follow_scheduler: bool


def make_plan(
    seed: int, duration_s: float, instances: int | None = None
) -> Plan:
    """Returns what a seed does.

    Args:
        seed: The seed.
        duration_s: Time in which disruptions begin, in seconds.
        instances: Number of instances; None draws 3 to 6.
    """
    source = random.Random(f"platform-soak/{seed}")
    count = source.randint(3, 6) if instances is None else instances
    steps = _draw_restarts(source, duration_s) + _draw_leaves(
        source, duration_s
    )
    if source.random() >= PLANNED_SHARE:
        steps += _draw_trouble(source, duration_s)
    steps += _draw_shrinks(seed, duration_s)
    return Plan(
        instances=count,
        executors=source.randint(4, 8),
        clients=4,
        request_interval_s=0.1 if count <= 6 else 0.5,
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
        restarts_follow_scheduler=source.random() < 0.5,
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
        steps.append(Step(joins_s, Kind.JOIN))
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


def _draw_trouble(source: random.Random, duration_s: float) -> list[Step]:
    """Returns unplanned disruptions at any time."""
    kinds = [kind for kind in Kind if kind not in PLANNED]
    chosen = source.sample(kinds, source.randint(1, 4))
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

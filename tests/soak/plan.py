"""Disruptions of a soak, drawn from its seed."""

import dataclasses
import random

from soak import steps as soak_steps
from soak import storms as soak_storms

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


_TROUBLE = (
    soak_steps.Kind.KILL,
    soak_steps.Kind.KILL_SCHEDULER,
    soak_steps.Kind.PAUSE,
    soak_steps.Kind.PAUSE_SCHEDULER,
    soak_steps.Kind.CRASH,
    soak_steps.Kind.STORE_DOWN,
    soak_steps.Kind.STORE_SLOW,
)
"""Kinds that are drawn as unplanned disruptions at any time."""


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
    steps: tuple[soak_steps.Step, ...]
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
        steps += soak_storms.draw_storms(storms, duration_s)
        groups = random.Random(f"platform-soak-groups/{seed}")
        steps += soak_storms.draw_groups(groups, duration_s)
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


def _draw_restarts(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns restarts of the instances in turn."""
    interval_s = source.uniform(1.0, 2.5)
    return [
        soak_steps.Step(at_s, soak_steps.Kind.RESTART, number)
        for number, at_s in enumerate(
            soak_steps.draw_times(source, duration_s, interval_s)
        )
    ]


def _draw_leaves(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns executors that leave in turn, each with a successor."""
    interval_s = source.uniform(0.7, 2.0)
    notice_s = source.uniform(2.0, 9.0)
    steps = []
    for number, at_s in enumerate(
        soak_steps.draw_times(source, duration_s, interval_s)
    ):
        joins_s = at_s + source.uniform(0.0, 1.0)
        steps.append(
            soak_steps.Step(at_s, soak_steps.Kind.LEAVE, number, notice_s)
        )
        steps.append(soak_steps.Step(joins_s, soak_steps.Kind.JOIN, number))
    return steps


def _draw_shrinks(seed: int, duration_s: float) -> list[soak_steps.Step]:
    """Returns executors that shrink for a while; none on some seeds.

    They have a source of their own, so that the other steps of a seed stay.
    """
    source = random.Random(f"platform-soak/{seed}/shrinks")
    if source.random() >= SHRINKING_SHARE:
        return []
    return [
        soak_steps.Step(
            at_s,
            soak_steps.Kind.SHRINK,
            source.randrange(100),
            source.uniform(0.3, 8.0),
            source.choice((0.0, 0.25, 0.5, 0.75)),
        )
        for at_s in soak_steps.draw_times(
            source, duration_s, source.uniform(1.0, 3.0)
        )
    ]


def _draw_cuts(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns cuts of one executor after another, in a share of the seeds."""
    if source.random() >= CUT_SHARE:
        return []
    interval_s = source.uniform(0.3, 1.5)
    return [
        soak_steps.Step(
            at_s,
            soak_steps.Kind.CUT,
            source.randrange(100),
            source.uniform(0.1, 1.0),
        )
        for at_s in soak_steps.draw_times(source, duration_s, interval_s)
    ]


def _draw_signals(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns hangups and new configurations, in a share of the seeds."""
    if source.random() >= SIGNAL_SHARE:
        return []
    return [
        soak_steps.Step(at_s, kind, source.randrange(100))
        for kind in (soak_steps.Kind.HANGUP, soak_steps.Kind.CONFIGURE)
        for at_s in soak_steps.draw_times(
            source, duration_s, source.uniform(1.0, 4.0)
        )
    ]


def _thin_planned(steps: list[soak_steps.Step]) -> list[soak_steps.Step]:
    """Returns the steps with few planned restarts, leaves and successors."""
    return [
        step
        for step in steps
        if step.kind
        not in (
            soak_steps.Kind.RESTART,
            soak_steps.Kind.LEAVE,
            soak_steps.Kind.JOIN,
        )
        or step.target % STEADY_INTERVAL == 0
    ]


def _draw_trouble(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns unplanned disruptions at any time."""
    chosen = source.sample(_TROUBLE, source.randint(1, 4))
    longest_s_by_kind = {
        soak_steps.Kind.STORE_DOWN: 1.5,
        soak_steps.Kind.STORE_SLOW: 2.0,
        soak_steps.Kind.CRASH: 2.0,
    }
    return [
        soak_steps.Step(
            source.uniform(0.0, duration_s),
            kind,
            source.randrange(100),
            source.uniform(0.2, longest_s_by_kind.get(kind, 3.0)),
        )
        for kind in chosen
        for _ in range(source.randint(1, 3))
    ]

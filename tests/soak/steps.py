"""Disruptions of a soak."""

import dataclasses
import enum
import random


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


def draw_times(
    source: random.Random, duration_s: float, interval_s: float
) -> list[float]:
    """Returns the times of a series that begins early and ends late."""
    at_s = source.uniform(0.0, duration_s / 4)
    times = []
    while at_s < duration_s:
        times.append(at_s)
        at_s += interval_s * source.uniform(0.8, 1.2)
    return times

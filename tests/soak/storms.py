"""Restarts of executors, cuts and late orders, drawn to fall together."""

import dataclasses
import random

from soak import steps as soak_steps

GROUP_SHARE = 0.5
"""Share of those seeds in which executors also restart and are cut off in
groups, with no answer to the first renewals."""


def draw_storms(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns series of disruptions that overlap within some seconds."""
    interval_s = source.uniform(3.0, 9.0)
    return [
        step
        for at_s in soak_steps.draw_times(source, duration_s, interval_s)
        for step in _draw_storm(source, at_s)
    ]


def _draw_storm(source: random.Random, at_s: float) -> list[soak_steps.Step]:
    """Returns late orders, restarts of executors, cuts and a take-over."""
    steps = []
    for _ in range(source.randint(1, 4)):
        target = source.randrange(100)
        begin_s = at_s + source.uniform(0.0, 2.0)
        if source.random() < 0.6:
            steps.append(
                soak_steps.Step(
                    begin_s,
                    soak_steps.Kind.LATE_ORDERS,
                    target,
                    source.uniform(0.3, 3.0),
                    late_share=source.uniform(0.2, 1.0),
                    spares_renewals=source.random() < 0.6,
                )
            )
        if source.random() < 0.8:
            steps.append(
                soak_steps.Step(
                    begin_s + source.uniform(-0.3, 1.0),
                    soak_steps.Kind.RESTART_EXECUTOR,
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
            soak_steps.Kind.KILL_SCHEDULER,
            soak_steps.Kind.KILL_SCHEDULER,
            soak_steps.Kind.PAUSE_SCHEDULER,
            soak_steps.Kind.RESTART,
        )
    )
    if take_over is not None:
        begin_s = at_s + source.uniform(0.0, 4.0)
        steps.append(
            soak_steps.Step(begin_s, take_over, 0, source.uniform(0.2, 3.0))
        )
    return [dataclasses.replace(s, at_s=max(0.0, s.at_s)) for s in steps]


def draw_groups(
    source: random.Random, duration_s: float
) -> list[soak_steps.Step]:
    """Returns groups of executors that restart, in a share of the seeds."""
    if source.random() >= GROUP_SHARE:
        return []
    interval_s = source.uniform(9.0, 14.0)
    return [
        step
        for at_s in soak_steps.draw_times(source, duration_s, interval_s)
        for step in draw_group(source, at_s)
    ]


def draw_group(source: random.Random, at_s: float) -> list[soak_steps.Step]:
    """Returns a group of executors that restart together and are cut off.

    A start that reaches one before the cut carries a deadline on the clock
    before, and no answer to a renewal tells of the restart.
    """
    return [
        soak_steps.Step(
            at_s + source.uniform(0.0, 0.3),
            soak_steps.Kind.RESTART_EXECUTOR,
            source.randrange(100),
            source.uniform(0.1, 0.3),
            cut=soak_steps.Cut(
                after_s=source.uniform(0.4, 1.0),
                lasts_s=source.uniform(8.0, 11.0),
                is_silent=source.random() < 0.5,
                from_store=False,
            ),
            late_share=1.0,
            spares_others=True,
            is_silent=True,
        )
        for _ in range(source.randint(3, 5))
    ]


def _draw_cut_off(source: random.Random) -> soak_steps.Cut | None:
    """Returns a cut right after the restart of an executor, or none."""
    if source.random() < 0.2:
        return None
    return soak_steps.Cut(
        after_s=source.choice((0.05, 0.3, 0.6, 1.0, 1.0, 2.0, 3.0))
        * source.uniform(0.5, 1.5),
        lasts_s=source.choice((1.0, 4.0, 8.0, 11.0, 11.0, 11.0))
        * source.uniform(0.8, 1.1),
        is_silent=source.random() < 0.5,
        from_store=source.random() < 0.3,
    )

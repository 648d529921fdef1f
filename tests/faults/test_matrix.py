"""Tests the fault matrix: every fault at every step, and pairs of faults.

``make faults`` runs all of it and writes docs/fault-matrix.md. ``make test``
runs a sample of the same cells.
"""

import collections
from collections.abc import Callable
import json
import random

import pytest

from basiljunction.state import _outcomes
from faults import cells
from faults import injection
from faults import possible
from faults import steps

Fault = injection.Fault

_STRONG_FAULTS = (Fault.DIE_AFTER, Fault.LOG_DOWN, Fault.PAUSE)
"""Faults that are combined with every other fault."""

_STEPS_PER_PAIR = 8
"""Most steps at which one pair of faults is run."""


def _choose_fault_pairs() -> list[tuple[_outcomes.Step, Fault, Fault]]:
    """Returns each strong fault with every fault, at seeded random steps."""
    rng = random.Random("pairs")
    pairs = []
    for strong in _STRONG_FAULTS:
        for other in Fault:
            possible_steps = [
                step
                for step in steps.ALL_STEPS
                if not possible.impossibility_reason(step, other)
                and not possible.impossibility_reason(step, strong)
            ]
            sample = rng.sample(
                possible_steps, min(len(possible_steps), _STEPS_PER_PAIR)
            )
            pairs += [(step, strong, other) for step in sample]
    return pairs


@pytest.mark.faults
class TestCell:
    """Every invariant holds under one fault at one step."""

    @pytest.mark.parametrize(
        ("step", "fault"),
        possible.list_possible_cells(),
        ids=lambda each: str(each).replace(" ", "-"),
    )
    def test_invariants_hold(
        self,
        step: _outcomes.Step,
        fault: Fault,
        seed: int,
        record_property: Callable[[str, object], None],
    ) -> None:
        result = cells.run_cell(step, (fault,), seed)
        record_property("cell", f"{step}|{fault}")
        record_property("fired", len(result.injected_faults))
        record_property("violations", json.dumps(result.violations))
        assert result.injected_faults == (fault,), (
            "the fault was never injected"
        )
        assert result.completed_requests, "no request completed"
        assert not result.violations


@pytest.mark.faults
class TestPair:
    """Every invariant holds under two faults, one of them strong."""

    @pytest.mark.parametrize(
        ("step", "strong", "other"),
        _choose_fault_pairs(),
        ids=lambda each: str(each).replace(" ", "-"),
    )
    def test_invariants_hold(
        self,
        step: _outcomes.Step,
        strong: Fault,
        other: Fault,
        seed: int,
        record_property: Callable[[str, object], None],
    ) -> None:
        result = cells.run_cell(step, (strong, other), seed)
        record_property("pair", f"{step}|{strong}|{other}")
        record_property("fired", len(result.injected_faults))
        record_property("violations", json.dumps(result.violations))
        assert result.injected_faults, "neither fault was injected"
        assert not result.violations


class TestPossible:
    """Each cell is either run once or has a reason why it cannot happen."""

    def test_every_cell_is_accounted_for(self) -> None:
        run = collections.Counter(possible.list_possible_cells())
        for step in steps.ALL_STEPS:
            for fault in Fault:
                reason = possible.impossibility_reason(step, fault)
                assert run[(step, fault)] == (0 if reason else 1)


class TestSample:
    """Every invariant holds in a few cells of each path, in each test run."""

    @pytest.mark.parametrize(
        ("step", "fault"),
        [
            (steps.Step.INTENT_APPEND, Fault.ANSWER_LOST),
            (steps.Step.SEND, Fault.PAUSE),
            (steps.Step.WAIT, Fault.DIE_AFTER),
            (steps.Step.START, Fault.ANSWER_LOST),
            (steps.Step.CHECKPOINT, Fault.DIE_AFTER),
            (steps.Step.PUBLISH_APPEND, Fault.DOUBLED),
            (steps.Step.TAKE_OVER, Fault.PAUSE),
        ],
        ids=lambda each: str(each).replace(" ", "-"),
    )
    def test_invariants_hold(
        self, step: _outcomes.Step, fault: Fault, seed: int
    ) -> None:
        result = cells.run_cell(step, (fault,), seed)
        assert result.injected_faults == (fault,)
        assert not result.violations

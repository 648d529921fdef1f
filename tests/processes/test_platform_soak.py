"""A short soak of real instances on a stand-in of the platform."""

import pathlib

import pytest

from soak import run as soak_run

pytestmark = pytest.mark.processes

_SEED = 4
"""Seed with restarts in turn and executors that leave at short notice."""

_CUTS_SEED = 9
"""Seed with planned work and executors whose connections are cut at starts."""

_GROUPS_SEED = 64
"""Seed with executors that restart under their id in a group, give their first
renewals no answer and are cut off with tasks that run long."""

_DURATION_S = 8.0
"""Time in which disruptions begin, in seconds."""


def test_restarts_in_turn_while_executors_leave(tmp_path: pathlib.Path) -> None:
    result = soak_run.run_seed(
        _SEED, tmp_path, duration_s=_DURATION_S, is_plain=True
    )
    assert result.violations == ()
    assert result.jobs > 0
    assert result.terms > 1


def test_starts_whose_connection_is_lost_run_once(
    tmp_path: pathlib.Path,
) -> None:
    result = soak_run.run_seed(
        _CUTS_SEED, tmp_path, duration_s=_DURATION_S, is_plain=True
    )
    assert result.violations == ()
    assert " cut at a start " in result.log_path.read_text("utf-8")


def test_tasks_on_executors_that_restart_and_are_cut_off_run_once(
    tmp_path: pathlib.Path,
) -> None:
    result = soak_run.run_seed(_GROUPS_SEED, tmp_path, duration_s=_DURATION_S)
    assert result.violations == ()
    log = result.log_path.read_text("utf-8")
    assert " has restarted at " in log
    assert " is cut off for " in log

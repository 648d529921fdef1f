"""Checks the promises to operators on a few cells of the fault matrix."""

import pytest_bdd

from basiljunction.state import _outcomes
from faults import cells
from faults import injection

pytest_bdd.scenarios("promises.feature")


@pytest_bdd.when(
    pytest_bdd.parsers.parse('"{fault}" strikes at "{step}"'),
    target_fixture="result",
)
def _run_cell_with_fault(fault: str, step: str, seed: int) -> cells.CellResult:
    """Runs a cell; its fault has to be injected and requests complete."""
    wanted = injection.Fault(fault)
    result = cells.run_cell(_outcomes.Step(step), (wanted,), seed)
    assert result.injected_faults == (wanted,)
    assert result.completed_requests
    return result


def _assert_invariant(invariant: int, result: cells.CellResult) -> None:
    """Asserts that an invariant, given by its number, was not violated."""
    assert not result.violations.get(invariant, [])


@pytest_bdd.then("no machine was given more than it holds")
def _check_capacity(result: cells.CellResult) -> None:
    _assert_invariant(1, result)


@pytest_bdd.then("no task ran in two places at once")
def _check_single_place(result: cells.CellResult) -> None:
    assert result.started_attempts
    _assert_invariant(2, result)


@pytest_bdd.then("each evicted task resumed once, from its last checkpoint")
def _check_resumes(result: cells.CellResult) -> None:
    assert result.started_attempts
    _assert_invariant(3, result)


@pytest_bdd.then("each answer went whole to its own caller")
def _check_answers(result: cells.CellResult) -> None:
    _assert_invariant(4, result)


@pytest_bdd.then("what was said not to run did not run")
def _check_not_run(result: cells.CellResult) -> None:
    _assert_invariant(5, result)


@pytest_bdd.then("no key ran more than once")
def _check_keys(result: cells.CellResult) -> None:
    _assert_invariant(6, result)


@pytest_bdd.then("every leaving instance has gone")
def _check_exits(result: cells.CellResult) -> None:
    _assert_invariant(7, result)


@pytest_bdd.then("the newest accepted contract is in force everywhere")
def _check_contract_in_force(result: cells.CellResult) -> None:
    _assert_invariant(8, result)


@pytest_bdd.then("every request and job has ended and requests complete again")
def _check_all_ended(result: cells.CellResult) -> None:
    _assert_invariant(9, result)
    _assert_invariant(10, result)

"""Options of the test run, quiet logs, and the fault-matrix page."""

import pathlib
from typing import Any

import pytest
import structlog

from faults import matrix_page
import known_red

pytest_plugins = ["pytester"]

DEFAULT_SEED = 20261203


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the seed and the page to write."""
    parser.addoption("--seed", type=int, default=DEFAULT_SEED)
    parser.addoption("--fault-matrix", default="")


def pytest_configure(config: pytest.Config) -> None:
    """Silences logs and collects the cells on the process that reports."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    path = config.getoption("--fault-matrix")
    if path and not hasattr(config, "workerinput"):
        page = matrix_page.MatrixPage(
            pathlib.Path(path), config.getoption("--seed")
        )
        config.pluginmanager.register(page, "fault-matrix-page")


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Passes over known failures and leaves the matrix to ``make faults``."""
    known_red.mark(items, _known_red())
    if "faults" in (config.getoption("-m") or ""):
        return
    kept = [each for each in items if not each.get_closest_marker("faults")]
    dropped = [each for each in items if each.get_closest_marker("faults")]
    config.hook.pytest_deselected(items=dropped)
    items[:] = kept


def _known_red() -> list[str]:
    return known_red.listed(known_red.PATH.read_text(encoding="utf-8"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that the run passed over."""
    for name in _known_red():
        terminalreporter.write_line(f"known to fail, passed over: {name}")


@pytest.fixture
def seed(request: pytest.FixtureRequest) -> Any:
    """Returns the seed of this run."""
    return request.config.getoption("--seed")

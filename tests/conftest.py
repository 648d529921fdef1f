"""Command line options, known failures and the fault-matrix page."""

import pathlib
from typing import Any

import pytest
import structlog

from faults import matrix_page
import known_red

pytest_plugins = ["pytester"]

DEFAULT_SEED = 20261203


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the options for the seed and the fault-matrix page."""
    parser.addoption("--seed", type=int, default=DEFAULT_SEED)
    parser.addoption("--fault-matrix", default="")


def pytest_configure(config: pytest.Config) -> None:
    """Silences logs; the reporting process collects fault-matrix results."""
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
    """Marks known failures; deselects the matrix except in ``make faults``."""
    known_red.mark_expected_failures(items, _read_known_failures())
    if "faults" in (config.getoption("-m") or ""):
        return
    kept = [each for each in items if not each.get_closest_marker("faults")]
    dropped = [each for each in items if each.get_closest_marker("faults")]
    config.hook.pytest_deselected(items=dropped)
    items[:] = kept


def _read_known_failures() -> list[str]:
    return known_red.parse_test_ids(
        known_red.LIST_PATH.read_text(encoding="utf-8")
    )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests whose failure does not fail the run."""
    for name in _read_known_failures():
        terminalreporter.write_line(f"known to fail, passed over: {name}")


@pytest.fixture
def seed(request: pytest.FixtureRequest) -> Any:
    """Returns the value of ``--seed``."""
    return request.config.getoption("--seed")

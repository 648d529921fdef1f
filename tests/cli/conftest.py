"""Fixtures shared by the command-line tests."""

from collections.abc import Iterator

import pytest

import served as served_api


@pytest.fixture
def served() -> Iterator[served_api.ServedApi]:
    """Serves the API of one instance on loopback, over a fake backend."""
    with served_api.serve_api() as here:
        yield here

"""Tests of the logging configuration."""

from collections.abc import Iterator
from concurrent import futures
import io
import json

import pytest
import structlog

from basiljunction.transport import _logging


@pytest.fixture(autouse=True)
def _reset_structlog() -> Iterator[None]:
    """Restores the defaults of structlog after each test."""
    yield
    structlog.reset_defaults()


class _CountingStream(io.StringIO):
    """A stream that keeps each piece that is written.

    Attributes:
        pieces: The pieces.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pieces: list[str] = []

    def write(self, text: str) -> int:
        """Keeps a piece."""
        self.pieces.append(text)
        return len(text)


class TestConfigure:
    """Lines are JSON with the instance, filtered by level, without secrets."""

    def test_json_line(self) -> None:
        stream = io.StringIO()
        _logging.configure_logging(
            level="info", log_format="json", instance="a-1", stream=stream
        )
        log = structlog.get_logger()
        log.debug("request.dropped")
        with futures.ThreadPoolExecutor(1) as pool:
            pool.submit(
                log.info,
                "request.done",
                step="admit",
                authorization="Bearer abc",
            ).result()
        (line,) = stream.getvalue().splitlines()
        body = json.loads(line)
        assert body["event"] == "request.done"
        assert body["instance"] == "a-1"
        assert body["step"] == "admit"
        assert "abc" not in line

    def test_a_line_is_written_in_one_piece(self) -> None:
        """Each piece is a system call of a process that schedules."""
        stream = _CountingStream()
        _logging.configure_logging(
            level="info", log_format="json", instance="a-1", stream=stream
        )
        structlog.get_logger().info("request.done", authorization="abc")
        assert len(stream.pieces) == 1
        assert stream.pieces[0].endswith("\n")
        assert json.loads(stream.pieces[0])["authorization"] == "redacted"

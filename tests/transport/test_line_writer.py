"""Tests of writing log lines to a pipe that may be full or closed."""

import os

from basiljunction.transport import _line_writer

_LINE = "x" * 99 + "\n"


class TestLineWriter:
    """Writing never blocks, and the number of dropped lines is logged."""

    def test_lines_arrive_in_order(self) -> None:
        reader, writer = os.pipe()
        stream = _line_writer.NonBlockingLineWriter(writer)
        stream.write("a\n")
        stream.write("b\n")
        assert os.read(reader, 100) == b"a\nb\n"

    def test_an_unread_pipe_holds_up_nothing_and_is_counted(self) -> None:
        reader, writer = os.pipe()
        stream = _line_writer.NonBlockingLineWriter(writer)
        written_lines = 20_000
        for _ in range(written_lines):
            stream.write(_LINE)
        os.set_blocking(reader, False)
        received = bytearray()
        while b"log.dropped" not in received:
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                stream.write("later\n")
        stream.flush()
        lines_before_drop = received.split(b'{"event": "log.dropped"')[0]
        kept_lines = lines_before_drop.count(_LINE.encode())
        assert len(lines_before_drop) == kept_lines * len(_LINE)
        dropped_lines = received.split(b'"lines": ')[1].split(b"}")[0]
        assert kept_lines + int(dropped_lines) >= written_lines

    def test_a_reader_that_is_gone_is_no_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        stream = _line_writer.NonBlockingLineWriter(writer)
        stream.write(_LINE)
        assert stream.write(_LINE) == len(_LINE)

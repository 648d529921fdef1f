"""Tests of log lines that nobody reads."""

import os

from basiljunction.transport import _line_writer

_LINE = "x" * 99 + "\n"


class TestLineWriter:
    """Writing never waits, and tells what was dropped."""

    def test_lines_arrive_in_order(self) -> None:
        reader, writer = os.pipe()
        stream = _line_writer.NonBlockingLineWriter(writer)
        stream.write("a\n")
        stream.write("b\n")
        assert os.read(reader, 100) == b"a\nb\n"

    def test_an_unread_pipe_holds_up_nothing_and_is_counted(self) -> None:
        reader, writer = os.pipe()
        stream = _line_writer.NonBlockingLineWriter(writer)
        written = 20_000
        for _ in range(written):
            stream.write(_LINE)
        os.set_blocking(reader, False)
        got = bytearray()
        while b"log.dropped" not in got:
            try:
                got += os.read(reader, 1 << 20)
            except BlockingIOError:
                stream.write("later\n")
        stream.flush()
        whole = got.split(b'{"event": "log.dropped"')[0]
        kept = whole.count(_LINE.encode())
        assert len(whole) == kept * len(_LINE)
        dropped = got.split(b'"lines": ')[1].split(b"}")[0]
        assert kept + int(dropped) >= written

    def test_a_reader_that_is_gone_is_no_error(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        stream = _line_writer.NonBlockingLineWriter(writer)
        stream.write(_LINE)
        assert stream.write(_LINE) == len(_LINE)

"""Tests of the signals that the main thread of a process waits for."""

from collections.abc import Iterator
from concurrent import futures
import signal

import pytest

from basiljunction.transport import _signals


@pytest.fixture
def inbox() -> Iterator[_signals.SignalInbox]:
    """An inbox; signals are handled as before after the test."""
    before = signal.getsignal(signal.SIGHUP)
    yield _signals.SignalInbox()
    signal.signal(signal.SIGHUP, before)


class TestSignalInbox:
    """Signals are received, whenever they arrive."""

    def test_signals_that_arrive_before_the_wait_are_received(
        self, inbox: _signals.SignalInbox
    ) -> None:
        with inbox.watch(signal.SIGHUP):
            signal.raise_signal(signal.SIGHUP)
            inbox.put(signal.SIGTERM)
            assert inbox.receive() == {signal.SIGHUP, signal.SIGTERM}

    def test_another_thread_ends_the_wait(
        self, inbox: _signals.SignalInbox
    ) -> None:
        with futures.ThreadPoolExecutor(1) as pool:
            received = pool.submit(inbox.receive)
            inbox.put(signal.SIGTERM)
            assert received.result(timeout=10) == {signal.SIGTERM}

    def test_more_signals_than_fit_do_not_block(
        self, inbox: _signals.SignalInbox
    ) -> None:
        """A process that does not come to its signals has some to read."""
        for _ in range(100_000):
            inbox.put(signal.SIGHUP)
        assert inbox.receive() == {signal.SIGHUP}

    def test_a_signal_after_the_context_is_ignored(
        self, inbox: _signals.SignalInbox
    ) -> None:
        """It must not end the process with an error while it exits."""
        with inbox.watch(signal.SIGHUP):
            pass
        signal.raise_signal(signal.SIGHUP)
        inbox.put(signal.SIGTERM)
        assert inbox.receive() == {signal.SIGTERM}

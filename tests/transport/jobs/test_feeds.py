"""Tests of the feeds against a stand-in of the store, over real sockets."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import time

import pytest
import structlog

from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _executor
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _feeds
from basiljunction.transport.jobs import _http_calls
import platform_standin

NARROW_LINK_BYTES_PER_S = 625_000
"""Rate of a link of 5 Mbit/s, in bytes a second."""

BUSY_LINK_BYTES_PER_S = 156_250
"""Rate that is left of such a link beside other traffic, in bytes a second."""

LARGE_PATHS = tuple(f"/{number:04}-{'x' * 80}/" for number in range(1400))
"""Path prefixes of a configuration of some 350 KB."""

VERSION_INTERVAL_S = 0.3
"""Time between two versions of the configuration, in seconds.

More bytes are written than a narrow link carries.
"""

CATCH_UP_LIMIT_S = 3.0
"""Longest time from the last version to its application, in seconds.

The read in progress, of up to 1,024 KB, and one of the newest version take
2.4 s over a narrow link.
"""

EXECUTOR_COUNT = 400
"""Executors in a list of some 100 KB."""


class Rig:
    """Feeds that read the store of a stand-in.

    Attributes:
        platform: The stand-in.
        versions: Versions of the applied configurations, in order.
        executors: Number of executors in each applied list, in order.
    """

    def __init__(self) -> None:
        self.platform = platform_standin.Platform(executors=0)
        self.versions: list[int] = []
        self.executors: list[int] = []
        self._clock = _clock.SystemClock()
        self._calls = _http_calls.HttpClient(
            _metrics.Metrics("front-1"), max_connections=100
        )
        self.configurations = _feeds.ConfigurationFeed(
            calls=self._calls,
            address=self.platform.address,
            clock=self._clock.now,
            on_change=self._note_configuration,
        )
        self.executor_list = _feeds.ExecutorFeed(
            calls=self._calls,
            address=self.platform.address,
            clock=self._clock.now,
            on_change=self._note_executors,
        )

    def _note_configuration(
        self, configuration: _configuration.Configuration
    ) -> None:
        self.versions.append(configuration.version)

    def _note_executors(
        self, executors: Iterable[_executor.ListedExecutor]
    ) -> None:
        self.executors.append(len(list(executors)))

    def run_until(
        self,
        feed: _feeds.TopicFeed,
        is_done: Callable[[], bool],
        *,
        limit_s: float,
    ) -> None:
        """Runs a feed until a condition holds or a time has passed."""
        end_s = time.monotonic() + limit_s
        while not is_done() and time.monotonic() < end_s:
            feed.start_due_read(self._clock.now())
            self._calls.poll(0.01)

    def close(self) -> None:
        """Closes the connections and the stand-in."""
        self._calls.close()
        self.platform.close()


@pytest.fixture
def rig() -> Iterator[Rig]:
    """Feeds and the store that they read."""
    rig = Rig()
    yield rig
    rig.close()


class TestNarrowLink:
    """A feed follows its topic over a link that needs seconds for an answer."""

    def test_a_large_configuration_is_applied(self, rig: Rig) -> None:
        rig.platform.store_bytes_per_s = BUSY_LINK_BYTES_PER_S
        rig.platform.configure(1, *LARGE_PATHS)
        rig.run_until(
            rig.configurations, lambda: bool(rig.versions), limit_s=8.0
        )
        assert rig.versions == [1]

    def test_large_versions_in_a_row_reach_the_newest_one(
        self, rig: Rig
    ) -> None:
        rig.platform.store_bytes_per_s = NARROW_LINK_BYTES_PER_S
        rig.platform.configure(1, *LARGE_PATHS)
        rig.run_until(
            rig.configurations, lambda: bool(rig.versions), limit_s=3.0
        )
        for version in range(2, 22):
            rig.platform.configure(version, *LARGE_PATHS)
            rig.run_until(
                rig.configurations, lambda: False, limit_s=VERSION_INTERVAL_S
            )
        rig.run_until(
            rig.configurations,
            lambda: rig.versions[-1] == 21,
            limit_s=CATCH_UP_LIMIT_S - VERSION_INTERVAL_S,
        )
        assert rig.versions[-1] == 21
        assert rig.versions == sorted(rig.versions)

    def test_a_long_list_of_executors_is_kept_up_to_date(
        self, rig: Rig
    ) -> None:
        rig.platform.store_bytes_per_s = BUSY_LINK_BYTES_PER_S
        entry = platform_standin.Executor(rig.platform, 0)
        for number in range(EXECUTOR_COUNT):
            rig.platform.put("keyed.servers", f"i-{number}", entry.describe())
        rig.run_until(
            rig.executor_list, lambda: bool(rig.executors), limit_s=5.0
        )
        for number in range(EXECUTOR_COUNT):
            value = entry.describe() | {"Sequence": 2}
            rig.platform.put("keyed.servers", f"i-{number}", value)
        rig.platform.put("keyed.servers", "i-new", entry.describe())
        rig.run_until(
            rig.executor_list,
            lambda: EXECUTOR_COUNT + 1 in rig.executors,
            limit_s=5.0,
        )
        entry.httpd.shutdown()
        entry.httpd.server_close()
        assert rig.executors[-1] == EXECUTOR_COUNT + 1


class TestPages:
    """The newest records of a topic take several pages."""

    def test_an_executor_removed_between_two_pages_is_not_kept(
        self, rig: Rig
    ) -> None:
        entry = platform_standin.Executor(rig.platform, 0)
        entry.httpd.shutdown()
        entry.httpd.server_close()
        count = platform_standin.MAX_PAGE_RECORDS + 1
        for number in range(count):
            rig.platform.put("keyed.servers", f"i-{number}", entry.describe())

        def remove_executor(path: str) -> None:
            if "After=" in path:
                rig.platform.topics["keyed.servers"].append_record(b"\x03i-0")

        rig.platform.before_read = remove_executor
        rig.run_until(
            rig.executor_list, lambda: count - 1 in rig.executors, limit_s=3.0
        )
        assert rig.executors == [count, count - 1]


class TestSilence:
    """A feed notices a silent store and reads again."""

    @pytest.mark.parametrize("sent_bytes", [0, 10_000])
    @pytest.mark.parametrize("version", [1, 2])
    def test_silence_is_noticed_within_two_seconds_and_read_again(
        self,
        rig: Rig,
        monkeypatch: pytest.MonkeyPatch,
        version: int,
        sent_bytes: int,
    ) -> None:
        log = structlog.testing.CapturingLogger()
        monkeypatch.setattr(_feeds, "_log", log)
        # The first version is a newest record, the second one is read from an
        # offset.
        for earlier in range(1, version):
            rig.platform.configure(earlier, *LARGE_PATHS)
            rig.run_until(
                rig.configurations, lambda: bool(rig.versions), limit_s=2.0
            )
        rig.platform.silent_after_bytes = [sent_bytes]
        rig.platform.configure(version, *LARGE_PATHS)
        rig.run_until(
            rig.configurations, lambda: version in rig.versions, limit_s=2.0
        )
        assert version in rig.versions
        lost, regained = log.calls
        assert lost.args == ("feed.lost",)
        assert f"after {sent_bytes} bytes" in lost.kwargs["fault"]
        assert regained.args == ("feed.regained",)

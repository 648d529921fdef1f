"""Tests of the cell task against a stand-in of the store."""

from collections.abc import Iterator
from concurrent import futures
import random
import time

import pytest

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.leadership import _lease_grants
from basiljunction.platform import _store
from basiljunction.protocol import _instance_settings
from basiljunction.protocol import _job_records
from basiljunction.state import _time
from basiljunction.state.workload import _leadership
from basiljunction.transport import _clock
from basiljunction.transport import _metrics
from basiljunction.transport.jobs import _cell_task
import election_rig
import platform_standin
import workload_builders as build

_TERM_TIMEOUT_S = 10.0
"""Longest time to a term, in seconds; far more than it usually takes."""


@pytest.fixture
def platform() -> Iterator[platform_standin.Platform]:
    """A platform whose store names a better provided instance, b."""
    platform = platform_standin.Platform(executors=0)
    platform.configure(1, "/jobs/")
    value = _job_records.encode_provision(election_rig.STRONG)
    platform.topics[_store.TERM_TOPIC].append_record(b"\x0bprovision.b" + value)
    yield platform
    platform.close()


class _SteppedClock(_clock.Clock):
    """A clock that stands still until its time is set."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> _time.Now:
        return build.clock_readings_at(self.now_s)


def _make_task(
    platform: platform_standin.Platform, clock: _clock.Clock | None = None
) -> _cell_task.CellTask:
    """Returns the task of a poorly provided instance, which does not run."""
    settings = _instance_settings.InstanceSettings(
        name="a",
        zone="zone-a",
        front_listen="127.0.0.1:1",
        ready_listen="127.0.0.1:2",
        peer_listen="127.0.0.1:3",
        store=_instance_settings.StoreSettings(
            platform.address, 800, 2000, 262144, 2097152
        ),
        bounds=_instance_settings.DeploymentTimeLimits(4, 10, 120, 3, 0.9, 4),
        heartbeat_s=0.5,
        provision=election_rig.WEAK,
    )
    return _cell_task.CellTask(
        settings=settings,
        clock=clock or _clock.SystemClock(),
        rng=random.Random(1),
        metrics=_metrics.Metrics("a"),
        max_connections=100,
    )


def _make_settled_task(
    platform: platform_standin.Platform,
) -> _cell_task.CellTask:
    """Returns a task that has been there long enough to report an outage."""
    clock = _SteppedClock()
    task = _make_task(platform, clock)
    clock.now_s = _lease_grants.MAX_GRANT_S
    return task


@pytest.fixture
def weak_task(
    platform: platform_standin.Platform,
) -> Iterator[_cell_task.CellTask]:
    """The task of a poorly provided instance, which runs."""
    task = _make_task(platform)
    with futures.ThreadPoolExecutor(1) as pool:
        task.start(pool)
        yield task
        task.stop()


class TestProvision:
    """The settings' provision is registered and delays the own claims."""

    @pytest.mark.usefixtures("weak_task")
    def test_a_poorly_provided_instance_registers_and_then_claims_late(
        self, platform: platform_standin.Platform
    ) -> None:
        topic = platform.topics[_store.TERM_TOPIC]
        begin_s = time.monotonic()
        while _store.TERM_KEY not in topic.newest_by_key:
            assert time.monotonic() < begin_s + _TERM_TIMEOUT_S
            time.sleep(0.01)
        # The task may have run for a moment before the test began.
        assert time.monotonic() - begin_s > _election.SETTLING_TIME_S + 0.6
        registered = topic.newest_by_key["provision.a"][1]
        assert _job_records.decode_provision(registered) == election_rig.WEAK


class TestOutageReports:
    """Only the newest scheduler is told that the store cannot be reached."""

    def test_a_scheduler_that_was_replaced_gets_none(
        self, platform: platform_standin.Platform
    ) -> None:
        task = _make_settled_task(platform)
        election = task._terms.election
        election.apply_read(_leadership.Term(4, "c", 1, "c:1"), 1, 0.0)
        assert task.report_outage(4)
        election.apply_read(_leadership.Term(5, "b", 1, "b:1"), 2, 0.0)
        assert not task.report_outage(4)
        assert task.report_outage(5)

    def test_an_instance_that_has_just_started_reports_none(
        self, platform: platform_standin.Platform
    ) -> None:
        """A claim of its process before may still take effect."""
        clock = _SteppedClock()
        task = _make_task(platform, clock)
        term = _leadership.Term(5, "b", 1, "b:1")
        task._terms.election.apply_read(term, 1, 0.0)
        clock.now_s = _lease_grants.MAX_GRANT_S - 0.1
        assert not task.report_outage(5)
        clock.now_s += 0.1
        assert task.report_outage(5)

    def test_an_instance_that_may_have_forgotten_its_own_term_reports_none(
        self, platform: platform_standin.Platform
    ) -> None:
        task = _make_settled_task(platform)
        assert not task.report_outage(4)
        own = _leadership.Term(5, "a", 0, "a:1")
        task._terms.election.apply_read(own, 1, 0.0)
        assert not task.report_outage(4)
        assert task.report_outage(5)

    def test_an_instance_that_knows_no_term_reports_none(
        self, platform: platform_standin.Platform
    ) -> None:
        """Its process before may have replaced the scheduler that asks."""
        task = _make_settled_task(platform)
        assert not task.report_outage(5)

    def test_an_instance_that_holds_the_term_reports_none(
        self, platform: platform_standin.Platform
    ) -> None:
        task = _make_settled_task(platform)
        election = task._terms.election
        election.role = _leadership.ElectionRole.LEADER
        election.term = _leadership.Term(5, "a", 1, "a:1")
        assert not task.report_outage(5)

    def test_an_instance_that_reads_the_store_reports_none(
        self, platform: platform_standin.Platform
    ) -> None:
        task = _make_settled_task(platform)
        election = task._terms.election
        election.apply_read(_leadership.Term(5, "b", 1, "b:1"), 1, 0.0)
        task._terms.apply_records((), is_whole=False, end_offset=1)
        assert not task.report_outage(5)
        task._terms.handle_read_failure()
        assert task.report_outage(5)

    def test_a_report_lengthens_what_is_known_of_grants(
        self, platform: platform_standin.Platform
    ) -> None:
        task = _make_settled_task(platform)
        task._grants.registered_s = float("-inf")
        term = _leadership.Term(5, "b", 1, "b:1", unreported_grant_s=1.5)
        task._terms.election.apply_read(term, 1, 0.0)
        assert task.report_outage(5)
        now_s = task._clock.now().boot_s
        last_grant_s = task._grants.find_last_grant(term, now_s - 1.0).by_s
        assert last_grant_s == pytest.approx(
            now_s + _lease_grants.REPORT_VALIDITY_S, abs=0.5
        )

"""Tests of what a scheduler that has resigned tells its successor."""

import time
from typing import Any

from basiljunction.coordination.leadership import _election
from basiljunction.coordination.scheduling import _limits
from basiljunction.platform import _store
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _leadership
from basiljunction.transport.jobs import _cell_task
import instance_rig
import platform_standin

_JOB_PATH = "/jobs/00000000000000a1"


class TestResignation:
    """A scheduler stops before it resigns, and says how long runs go on."""

    def _read_term(
        self, platform: platform_standin.Platform
    ) -> _leadership.Term:
        """Returns the newest term in the store."""
        topic = platform.topics[_store.TERM_TOPIC]
        return _job_records.decode_term(topic.newest_by_key[_store.TERM_KEY][1])

    def _resign(
        self,
        platform: platform_standin.Platform,
        instance: instance_rig.Instance,
    ) -> _leadership.Term:
        """Has an instance resign; returns the term that it wrote."""
        instance.task.tell(_cell_task.ResignRequested())
        instance_rig.wait_until(lambda: self._read_term(platform).is_resigned)
        return self._read_term(platform)

    def test_the_next_scheduler_need_not_wait_for_a_lost_confirmation(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
        logs: list[Any],
    ) -> None:
        instances.append(instance_rig.Instance(platform))
        instance_rig.submit_until_accepted(instances[0], _JOB_PATH)
        instance_rig.wait_until(
            lambda: (
                instances[0].call("GET", _JOB_PATH)
                == (200, '{"State":"completed"}')
            )
        )
        term = self._resign(platform, instances[0])
        # Nothing runs; 0 would say that the time is not known.
        assert term.longest_run_s == _limits.LEASE_EXPIRY_MARGIN_S
        assert [
            each["reason"] for each in instance_rig.events(logs, "term.ended")
        ] == ["resigned"]

    def test_the_next_scheduler_waits_for_the_lease_of_a_run(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
    ) -> None:
        instances += instance_rig.start_with_lasting_job(platform, 1, _JOB_PATH)
        executor = platform.executors[0]
        term = self._resign(platform, instances[0])
        runs_end_by_s = time.monotonic() + term.longest_run_s
        assert runs_end_by_s >= executor.born_s + executor.lease_ms / 1000
        assert term.longest_run_s < _limits.LeaseTimes().lease_s * 1.05

    def test_leases_are_renewed_until_the_store_takes_the_resignation(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
        logs: list[Any],
    ) -> None:
        instances.append(instance_rig.Instance(platform))
        instance_rig.submit_until_accepted(instances[0], _JOB_PATH)
        platform.is_down = True
        time.sleep(_election.TERM_EXPIRY_S + 0.5)
        instances[0].task.tell(_cell_task.ResignRequested())
        lease_ms = platform.executors[0].lease_ms
        instance_rig.wait_until(
            lambda: platform.executors[0].lease_ms > lease_ms
        )
        assert not instance_rig.events(logs, "term.ended")
        platform.is_down = False
        instance_rig.wait_until(lambda: self._read_term(platform).is_resigned)
        assert self._read_term(platform).longest_run_s == 0.0

    def test_a_scheduler_that_waits_for_earlier_runs_tells_for_how_long(
        self,
        platform: platform_standin.Platform,
        instances: list[instance_rig.Instance],
        logs: list[Any],
    ) -> None:
        lost = instance_rig.Instance(platform, "front-1")
        instance_rig.submit_until_accepted(lost, _JOB_PATH)
        platform.executors[0].httpd.shutdown()
        lost.close()
        lost_s = time.monotonic()
        instances.append(instance_rig.Instance(platform, "front-2"))
        instance_rig.wait_until(instances[0].task.is_scheduling)
        term = self._resign(platform, instances[0])
        times = _limits.LeaseTimes()
        earlier_runs_until_s = lost_s + times.max_run_after_term_s
        assert term.longest_run_s > times.lease_s * 1.02
        recovered = instance_rig.events(logs, "term.recovered")[-1]
        assert recovered["longest_inherited_run_s"] > times.lease_s * 1.02
        assert recovered["earlier_term_ended_s_ago"] > 0
        assert recovered["longest_wait_s"] > times.lease_s * 1.02
        # The last renewal may have been written up to an interval before.
        assert (
            time.monotonic() + term.longest_run_s
            > earlier_runs_until_s - _election.RENEWAL_INTERVAL_S
        )

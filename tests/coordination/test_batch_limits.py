"""Tests of changed limits and of large tasks that wait for capacity."""

from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
import batch_rig
import builders

_Phase = _job.TaskPhase


class TestSmallerQuota:
    """A smaller quota evicts just the tasks that exceed it."""

    def test_excess_is_evicted(self) -> None:
        rig = batch_rig.Rig(instances=("dunedin-1", "dunedin-2"), workers=2)
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(8000, 1024), run_time_s=1e6
        )
        for index in range(8):
            rig.submit(builders.job(f"job-{index}", spec))
        rig.run(10)
        usage = rig.log.state.usage_by_customer["kowhai"]
        assert usage.millicores == 64000
        rig.submit_record(
            _records.ContractPublished(
                contract=builders.contract(
                    version=2,
                    quota=_contract.Quota(30000, 262144, 4, 100),
                ),
                base_version=1,
                operator="ana",
                publish_id="publish-2",
            )
        )
        rig.run(20)
        assert usage.millicores == 24000


class TestNeverFits:
    """A task that fits no worker is refused or ends with that reason."""

    def test_refused_at_submission(self) -> None:
        rig = batch_rig.Rig()
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(33000, 1024)
        )
        verdict = rig.submit(builders.job("job-1", spec))
        assert verdict.rejection_reason is _outcomes.Reason.NEVER_FITS

    def test_ends_when_the_large_workers_are_gone(self) -> None:
        rig = batch_rig.Rig(workers=1)
        rig.worker_by_name["worker-0"].refuse = True
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(30000, 1024)
        )
        rig.submit(builders.job("job-1", spec))
        rig.run(5)
        rig.submit_record(
            builders.machine_registered("worker-0", revision=2, millicores=8000)
        )
        rig.run(700)
        entry = rig.log.state.task_by_id["job-1/day"]
        assert entry.phase is _Phase.ENDED
        assert entry.reason == "never-fits"


class TestHold:
    """Small tasks do not starve a large one."""

    def test_large_task_gets_a_worker_kept_free(self) -> None:
        rig = batch_rig.Rig(workers=1)
        small = builders.task_spec(
            "day", demand=_job.ResourceDemand(4000, 1024)
        )
        for index in range(8):
            rig.submit(builders.job(f"first-{index}", small))
            rig.run(8)
        large = builders.task_spec(
            "day", demand=_job.ResourceDemand(32000, 1024)
        )
        rig.submit(builders.job("large", large))
        for index in range(40):
            rig.submit(builders.job(f"small-{index}", small))
            rig.run(8)
        assert rig.task_phase("large/day") is _Phase.COMPLETED
        assert any(each.decision == "hold" for each in rig.decisions)

"""Tests of the shares of customers under contention."""

from basiljunction.coordination import _fair_share
from basiljunction.state import _job
from basiljunction.state import _records
from basiljunction.state import _system
import batch_rig
import builders

# Capacity of all workers.
_TOTAL = _job.ResourceDemand(64000, 256000, 4)


class TestShare:
    """The dominant share is the largest resource share over the weight."""

    def test_dominant(self) -> None:
        usage = _system.CustomerUsage(millicores=16000, memory_mib=128000)
        assert _fair_share.dominant_share(usage, _TOTAL, 1.0) == 0.5
        assert _fair_share.dominant_share(usage, _TOTAL, 2.0) == 0.25


class TestContention:
    """A flood of one customer does not reduce the share of another."""

    def test_weights(self) -> None:
        rig = batch_rig.Rig(workers=2)
        other = builders.contract(customer="signalwise", weight=3.0)
        rig.submit_record(
            builders.contract_published(contract=other, publish_id="publish-2")
        )
        rig.instances_without_renewal.add("dunedin-1")
        rig.run(3)
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(4000, 1024), run_time_s=1e6
        )
        for index in range(40):
            rig.submit(builders.job(f"flood-{index}", spec))
            job = builders.job(f"job-{index}", spec, customer="signalwise")
            rig.submit_record(_records.JobSubmitted(job))
        rig.instances_without_renewal.clear()
        rig.run(10)
        usage = rig.log.state.usage_by_customer
        assert usage["kowhai"].millicores == 16000
        assert usage["signalwise"].millicores == 48000

"""Tests of gangs that need workers of several instances."""

from basiljunction.state import _job
import batch_rig
import builders


class TestAcrossOwners:
    """A gang starts even if it needs the capacity of several owners."""

    def test_gang_over_two_instances(self) -> None:
        rig = batch_rig.Rig(instances=("dunedin-1", "dunedin-2"), workers=2)
        gang = [
            builders.task_spec(
                name, demand=_job.ResourceDemand(20000, 1024), gang="pair"
            )
            for name in ("one", "two")
        ]
        rig.submit(builders.job("job-1", *gang))
        rig.run(200)
        assert len(rig.list_starts("job-1/one")) == 1
        assert len(rig.list_starts("job-1/two")) == 1

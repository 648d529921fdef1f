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

    def test_gangs_that_hold_what_the_others_lack_all_run(self) -> None:
        rig = batch_rig.Rig(
            instances=("dunedin-1", "christchurch-1", "invercargill-1"),
            workers=3,
        )
        # Each instance prefers another one of these three gangs.
        job_ids = ("job-0", "job-2", "job-5")
        for job_id in job_ids:
            gang = [
                builders.task_spec(
                    name,
                    demand=_job.ResourceDemand(20000, 1024),
                    run_time_s=200.0,
                    gang="pair",
                )
                for name in ("one", "two")
            ]
            rig.submit(builders.job(job_id, *gang))
        rig.run(900, step_s=0.5)
        for job_id in job_ids:
            phase = rig.task_phase(f"{job_id}/one")
            assert phase is _job.TaskPhase.COMPLETED, job_id

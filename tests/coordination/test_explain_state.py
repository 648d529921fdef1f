"""Tests of what is said of tasks and jobs."""

import datetime as dt
import zoneinfo

from basiljunction.state import _job
import batch_rig
import builders

_AUCKLAND = zoneinfo.ZoneInfo("Pacific/Auckland")


def _story(rig: batch_rig.Rig, subject: str) -> str:
    core = rig.core_by_instance["dunedin-1"]
    lines = core.explain(rig.log.state, subject, rig.clock.now())
    return "\n".join(f"{line.decision}: {line.detail}" for line in lines)


def _office_rig(local: dt.datetime, workers: int = 2) -> batch_rig.Rig:
    contract = builders.contract()
    coding = batch_rig.batch_class("coding", outside_hours=False)
    classes = {**contract.class_by_name, "coding": coding}
    wall_s = local.replace(tzinfo=_AUCKLAND).timestamp()
    return batch_rig.Rig(
        contract=builders.contract(class_by_name=classes),
        wall_s=wall_s,
        workers=workers,
    )


class TestPending:
    """A pending task says all that keeps it from starting."""

    def test_hours(self) -> None:
        rig = _office_rig(dt.datetime(2026, 12, 5, 12, 0))
        rig.submit(builders.job("job-1"))
        rig.run(5)
        story = _story(rig, "job-1/day")
        assert "next window Monday 2026-12-07 08:00 Pacific/Auckland" in story

    def test_quota(self) -> None:
        rig = batch_rig.Rig(workers=3)
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(32000, 1024)
        )
        for index in range(3):
            rig.submit(builders.job(f"job-{index}", spec))
        rig.run(5)
        story = "".join(_story(rig, f"job-{index}") for index in range(3))
        assert "quota cores 64 of 64 used" in story

    def test_workers_set_aside(self) -> None:
        rig = batch_rig.Rig(workers=2)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
        for index in range(4):
            rig.submit(builders.job(f"job-{index}"))
        rig.run(20)
        story = "".join(_story(rig, f"job-{index}") for index in range(4))
        assert "set aside: it fails what it starts" in story

    def test_dependency(self) -> None:
        rig = batch_rig.Rig()
        rollup = builders.task_spec("rollup", after=("day",))
        rig.submit(builders.job("job-1", builders.task_spec("day"), rollup))
        rig.run(5)
        story = _story(rig, "job-1/rollup")
        assert "waits-for: job-1/day, which is claimed" in story


class TestOthers:
    """Claimed, ended and unknown subjects are told apart."""

    def test_claimed_names_worker_and_owner(self) -> None:
        rig = batch_rig.Rig(workers=1)
        rig.submit(builders.job("job-1"))
        rig.run(5)
        story = _story(rig, "job-1/day")
        assert "worker-0 is owned by dunedin-1" in story
        assert "attempt 1 is running on worker-0" in story

    def test_ended_names_the_reason(self) -> None:
        rig = batch_rig.Rig(workers=6)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
        rig.submit(builders.job("job-1"))
        rig.run(400)
        assert "reason poison" in _story(rig, "job-1/day")

    def test_unknown_subject_is_said_so(self) -> None:
        rig = batch_rig.Rig(workers=1)
        assert "no such task or job" in _story(rig, "job-9")

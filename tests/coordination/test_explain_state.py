"""Tests of the explanations of tasks and jobs."""

import datetime as dt
import zoneinfo

from basiljunction.state import _job
import batch_rig
import builders

_AUCKLAND = zoneinfo.ZoneInfo("Pacific/Auckland")


def _explanation_text(rig: batch_rig.Rig, subject: str) -> str:
    """Returns the explanation of a task or job as text."""
    core = rig.core_by_instance["dunedin-1"]
    lines = core.explain(rig.log.state, subject, rig.clock.now())
    return "\n".join(f"{line.decision}: {line.detail}" for line in lines)


def _make_office_hours_rig(
    local: dt.datetime, workers: int = 2
) -> batch_rig.Rig:
    """Returns a rig started at a local time, with work in hours only."""
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
    """The explanation of a pending task names all that blocks it."""

    def test_hours(self) -> None:
        rig = _make_office_hours_rig(dt.datetime(2026, 12, 5, 12, 0))
        rig.submit(builders.job("job-1"))
        rig.run(5)
        explanation = _explanation_text(rig, "job-1/day")
        assert (
            "next window Monday 2026-12-07 08:00 Pacific/Auckland"
            in explanation
        )

    def test_quota(self) -> None:
        rig = batch_rig.Rig(workers=3)
        spec = builders.task_spec(
            "day", demand=_job.ResourceDemand(32000, 1024)
        )
        for index in range(3):
            rig.submit(builders.job(f"job-{index}", spec))
        rig.run(5)
        explanation = "".join(
            _explanation_text(rig, f"job-{index}") for index in range(3)
        )
        assert "quota cores 64 of 64 used" in explanation

    def test_workers_set_aside(self) -> None:
        rig = batch_rig.Rig(workers=2)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
        for index in range(4):
            rig.submit(builders.job(f"job-{index}"))
        rig.run(20)
        explanation = "".join(
            _explanation_text(rig, f"job-{index}") for index in range(4)
        )
        assert "set aside: it fails what it starts" in explanation

    def test_dependency(self) -> None:
        rig = batch_rig.Rig()
        rollup = builders.task_spec("rollup", after=("day",))
        rig.submit(builders.job("job-1", builders.task_spec("day"), rollup))
        rig.run(5)
        explanation = _explanation_text(rig, "job-1/rollup")
        assert "waits-for: job-1/day, which is claimed" in explanation


class TestOthers:
    """The explanation distinguishes claimed, ended and unknown subjects."""

    def test_claimed_names_worker_and_owner(self) -> None:
        rig = batch_rig.Rig(workers=1)
        rig.submit(builders.job("job-1"))
        rig.run(5)
        explanation = _explanation_text(rig, "job-1/day")
        assert "worker-0 is owned by dunedin-1" in explanation
        assert "attempt 1 is running on worker-0" in explanation

    def test_ended_names_the_reason(self) -> None:
        rig = batch_rig.Rig(workers=6)
        for worker in rig.worker_by_name.values():
            worker.fail_everything = True
        rig.submit(builders.job("job-1"))
        rig.run(400)
        assert "reason poison" in _explanation_text(rig, "job-1/day")

    def test_unknown_subject_is_said_so(self) -> None:
        rig = batch_rig.Rig(workers=1)
        assert "no such task or job" in _explanation_text(rig, "job-9")

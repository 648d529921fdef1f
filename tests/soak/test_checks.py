"""Tests of the soak's checks: each of them reports what it is for."""

from soak import checks as soak_checks

_JOB = "00000000000000a1"
_TASK = f"{_JOB}.0.0.0"


def _make_checks(
    *, lasts: bool = False, status: int = 200
) -> soak_checks.Checks:
    """Returns checks that know a job of one task, submitted at 0 s."""
    checks = soak_checks.Checks()
    checks.add_job(_JOB, 1, lasts=lasts)
    checks.note_attempt(_JOB, status, 0.0)
    return checks


class TestRuns:
    """Runs of one task follow each other and end with a good end."""

    def test_a_run_beside_another_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.note_start(_TASK, "i-2", 2, 1.5)
        assert "beside" in checks.violations[0]

    def test_a_run_after_one_that_is_gone_is_allowed(self) -> None:
        checks = _make_checks()
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.note_end(_TASK, "i-1", 1, "gone", 1.4)
        checks.note_start(_TASK, "i-2", 2, 1.5)
        assert checks.violations == []

    def test_a_run_after_a_noted_good_end_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.note_end(_TASK, "i-1", 1, "done", 1.3)
        checks.note_taken_end(_TASK, 1.3, 1.4)
        checks.note_start(_TASK, "i-2", 2, 1.5)
        assert "after its good end was noted" in checks.violations[0]

    def test_a_run_after_a_good_end_that_is_noted_later_is_reported(
        self,
    ) -> None:
        checks = _make_checks()
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.note_end(_TASK, "i-1", 1, "done", 1.3)
        checks.note_start(_TASK, "i-2", 2, 1.5)
        checks.note_taken_end(_TASK, 1.3, 1.6)
        assert "which was noted" in checks.violations[0]


class TestRoom:
    """A start that brings an executor over its capacity is reported."""

    def test_only_a_start_over_the_capacity_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_room(
            _TASK, "i-1", used_cpu=2000, capacity_cpu=2000, now_s=1.0
        )
        assert checks.violations == []
        checks.note_room(
            _TASK, "i-1", used_cpu=2500, capacity_cpu=2000, now_s=2.0
        )
        assert "LIMIT" in checks.violations[0]


class TestJobs:
    """Accepted jobs are known and end; rejected ones never start."""

    def test_an_accepted_job_that_becomes_unknown_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_state(_JOB, 410, "", soak_checks.VISIBLE_S + 0.1)
        assert "is unknown" in checks.violations[0]

    def test_a_job_completed_without_a_good_end_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_state(_JOB, 200, "completed", 1.0)
        assert "MIXED" in checks.violations[0]

    def test_a_job_that_fails_without_cause_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_state(_JOB, 200, "failed", 1.0)
        assert "shown as failed" in checks.violations[0]

    def test_an_accepted_job_that_does_not_end_is_reported(self) -> None:
        checks = _make_checks()
        checks.note_state(_JOB, 200, "running", 1.0)
        checks.check_end(20.0)
        assert "is left as: running" in checks.violations[0]

    def test_a_short_job_that_ends_too_late_is_reported_once(self) -> None:
        checks = _make_checks()
        for now_s in (soak_checks.FINISH_S - 0.1, soak_checks.FINISH_S, 19.0):
            checks.check_settled(0.0, now_s)
        checks.check_end(19.1)
        assert len(checks.violations) == 1
        assert checks.violations[0].startswith("14.000")

    def test_a_long_job_has_its_work_more(self) -> None:
        checks = soak_checks.Checks()
        checks.add_job(_JOB, 1, lasts=False, work_s=5.0)
        checks.note_attempt(_JOB, 200, 0.0)
        checks.check_settled(0.0, soak_checks.FINISH_S + 4.9)
        assert checks.violations == []
        checks.check_settled(0.0, soak_checks.FINISH_S + 5.0)
        assert len(checks.violations) == 1

    def test_a_lasting_job_that_nobody_answers_for_is_reported(self) -> None:
        checks = _make_checks(lasts=True)
        checks.check_end(20.0)
        assert "is left as: no answer" in checks.violations[0]

    def test_a_task_of_a_rejected_job_is_reported(self) -> None:
        checks = _make_checks(status=503)
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.check_end(20.0)
        assert "REFUSED" in checks.violations[0]

    def test_a_task_of_a_job_without_an_answer_is_allowed(self) -> None:
        checks = _make_checks(status=503)
        checks.note_attempt(_JOB, 0, 0.5)
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.check_end(20.0)
        assert checks.violations == []

    def test_a_task_of_no_job_is_reported(self) -> None:
        checks = soak_checks.Checks()
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.check_end(20.0)
        assert "UNASKED" in checks.violations[0]


class TestLastingTasks:
    """A lasting task runs again in time if nothing keeps it from that."""

    def _make_waiting(self) -> soak_checks.Checks:
        """Returns checks of a lasting task whose run ended at 10 s."""
        checks = _make_checks(lasts=True)
        checks.note_start(_TASK, "i-1", 1, 1.0)
        checks.note_end(_TASK, "i-1", 1, "gone", 10.0)
        return checks

    def test_a_long_wait_is_reported_once(self) -> None:
        checks = self._make_waiting()
        for now_s in (18.9, 19.0, 19.1):
            checks.check_lasting_tasks(0.0, 0.0, now_s)
        assert len(checks.violations) == 1
        assert "no run since 10.000" in checks.violations[0]

    def test_a_wait_without_room_or_calm_is_allowed(self) -> None:
        checks = self._make_waiting()
        checks.check_lasting_tasks(17.0, 0.0, 19.0)
        checks.check_lasting_tasks(0.0, 13.0, 19.0)
        assert checks.violations == []

    def test_a_first_run_that_does_not_come_is_reported(self) -> None:
        checks = _make_checks(lasts=True)
        checks.check_lasting_tasks(0.0, 0.0, 9.0)
        assert len(checks.violations) == 1

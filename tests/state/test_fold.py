"""Tests of the fold, the pure function from log records to state."""

from basiljunction.state import _fold
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
import builders


class TestSequence:
    """A batch that is in the log twice changes the state once."""

    def test_second_append_of_one_batch_is_rejected(self) -> None:
        # The rule for machine records alone would give STALE_VERSION.
        log = builders.LogBuilder()
        log.append(builders.machine_registered("worker-1"))
        again = _records.LogEntry(1, log.entries[0].batch)
        (verdict,) = _fold.apply_entry(log.state, again)
        assert verdict.rejection_reason is _outcomes.Reason.DUPLICATE

    def test_entry_folded_before_is_ignored(self) -> None:
        log = builders.LogBuilder()
        log.append(builders.contract_published())
        assert _fold.apply_entry(log.state, log.entries[0]) == []


class TestContracts:
    """Of concurrent amendments of one version exactly one is accepted."""

    def test_second_amendment_of_one_version_is_rejected(self) -> None:
        log = builders.LogBuilder()
        log.append(builders.contract_published())
        for operator in ("ana", "ben"):
            verdict = log.append(
                builders.contract_published(
                    contract=builders.contract(version=2),
                    base_version=1,
                    operator=operator,
                    publish_id=operator,
                )
            )
        assert verdict.rejection_reason is _outcomes.Reason.STALE_VERSION
        assert log.state.contract_by_customer["kowhai"].operator == "ana"


class TestClaims:
    """Only the first claim of an attempt by the worker's owner is accepted."""

    def _make_log_with_job(self) -> builders.LogBuilder:
        """Returns a log in which dunedin-1 owns worker-1 and job-1 waits."""
        log = builders.LogBuilder()
        log.append(builders.contract_published())
        log.append(builders.instance_joined("dunedin-1"), author="dunedin-1")
        log.append(builders.machine_registered("worker-1"))
        log.append(
            _records.MachineAssigned("worker-1", "dunedin-1", 1, 0),
            author="dunedin-1",
        )
        log.append(_records.JobSubmitted(builders.job("job-1")))
        return log

    def test_owner_claims_once(self) -> None:
        log = self._make_log_with_job()
        claim = _records.TaskClaimed("job-1/day", 1, "worker-1", 1)
        assert log.append(claim, author="dunedin-1").is_accepted
        second = log.append(claim, author="dunedin-1")
        assert second.rejection_reason is _outcomes.Reason.STALE_ATTEMPT

    def test_next_attempt_waits_for_the_end_of_the_last(self) -> None:
        # Regression: removing this check from the fold failed no test.
        log = self._make_log_with_job()
        first = _records.TaskClaimed("job-1/day", 1, "worker-1", 1)
        assert log.append(first, author="dunedin-1").is_accepted
        second = _records.TaskClaimed("job-1/day", 2, "worker-1", 1)
        verdict = log.append(second, author="dunedin-1")
        assert verdict.rejection_reason is _outcomes.Reason.STALE_ATTEMPT

    def test_other_instance_may_not_claim(self) -> None:
        log = self._make_log_with_job()
        claim = _records.TaskClaimed("job-1/day", 1, "worker-1", 1)
        verdict = log.append(claim, author="dunedin-2")
        assert verdict.rejection_reason is _outcomes.Reason.NOT_OWNER

    def test_quota_is_kept(self) -> None:
        log = self._make_log_with_job()
        demand = _job.ResourceDemand(30000, 1)
        names = ("one", "two", "three")
        tasks = [builders.task_spec(name, demand=demand) for name in names]
        log.append(_records.JobSubmitted(builders.job("job-2", *tasks)))
        claims = [
            _records.TaskClaimed(f"job-2/{name}", 1, "worker-1", 1)
            for name in names
        ]
        verdicts = [log.append(each, author="dunedin-1") for each in claims]
        assert verdicts[0].is_accepted
        assert verdicts[1].is_accepted
        assert verdicts[2].rejection_reason is _outcomes.Reason.QUOTA_EXCEEDED
        assert log.state.usage_by_customer["kowhai"].millicores == 60000

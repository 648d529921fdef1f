"""Tests of the limits that are derived from a contract."""

import dataclasses
from typing import Any

import pytest

from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _limits
import builders


class TestDerive:
    """Each limiting field of a contract changes exactly one limit."""

    @pytest.mark.parametrize(
        ("changes", "name"),
        [
            ({"request_rate_per_s": 7.0}, "admission rate"),
            ({"request_burst": 7}, "admission burst"),
            ({"concurrency": 7}, "concurrency"),
            ({"weight": 7.0}, "share"),
            ({"quota": _contract.Quota(7, 262144, 4, 100)}, "cores"),
            ({"quota": _contract.Quota(64000, 7, 4, 100)}, "memory"),
            ({"quota": _contract.Quota(64000, 262144, 7, 100)}, "accelerators"),
            ({"quota": _contract.Quota(64000, 262144, 4, 7)}, "running tasks"),
        ],
    )
    def test_of_the_contract(self, changes: dict[str, Any], name: str) -> None:
        before = set(_limits.derive_limits(builders.contract()))
        after = set(_limits.derive_limits(builders.contract(**changes)))
        (changed,) = after - before
        assert (changed.name, changed.value) == (name, 7)
        assert changed.derivation

    @pytest.mark.parametrize(
        ("changes", "name"),
        [
            ({"deadline_s": 1.5}, "deadline"),
            ({"retry_budget": 0.5}, "retries"),
            ({"outside_hours": True}, "hours"),
        ],
    )
    def test_of_a_class(self, changes: dict[str, Any], name: str) -> None:
        contract = builders.contract()
        classes = dict(contract.class_by_name)
        classes["check"] = dataclasses.replace(classes["check"], **changes)
        after = _limits.derive_limits(builders.contract(class_by_name=classes))
        changed = set(after) - set(_limits.derive_limits(contract))
        assert {(each.class_name, each.name) for each in changed} == {
            ("check", name)
        }

    def test_longest_deadline_is_that_of_requests(self) -> None:
        assert _limits.longest_deadline_s(builders.contract()) == 2.0


class TestJobViolations:
    """A single task, or all tasks of a gang together, must fit the quota."""

    def test_gang_counts_as_one(self) -> None:
        half = _job.ResourceDemand(40000, 4096)
        contract = builders.contract()
        alone = [builders.task_spec(name, demand=half) for name in "ab"]
        assert not _limits.find_quota_violations(
            contract, builders.job("j", *alone)
        )
        gang = [dataclasses.replace(spec, gang="g") for spec in alone]
        (violation,) = _limits.find_quota_violations(
            contract, builders.job("j", *gang)
        )
        assert str(violation) == (
            "gang g: needs 80000 millicores, the quota allows 64000"
        )

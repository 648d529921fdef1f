"""Derives the limits that follow from a contract, and checks jobs by them."""

import dataclasses

from basiljunction.state import _contract
from basiljunction.state import _job


@dataclasses.dataclass(frozen=True, slots=True)
class ContractLimit:
    """One limit that a contract sets, as shown to users.

    Attributes:
        name: Name of the limited quantity.
        value: Value of the limit.
        unit: Unit of the value; empty if it has none.
        derivation: Fields of the contract that it is derived from.
        class_name: Class of work that it applies to; empty for the whole
            contract.
    """

    name: str
    value: float | str
    unit: str
    derivation: str
    class_name: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaViolation:
    """A task or gang that needs more than the contract's whole quota.

    Attributes:
        place: The task or gang, as ``task NAME`` or ``gang NAME``.
        limit: Name of the exceeded quota field.
        needed: Amount that the task or gang needs.
        allowed: Amount that the quota allows.
    """

    place: str
    limit: str
    needed: int
    allowed: int

    def __str__(self) -> str:
        """Returns the violation as one line of text."""
        return (
            f"{self.place}: needs {self.needed} {self.limit},"
            f" the quota allows {self.allowed}"
        )


def longest_deadline_s(contract: _contract.Contract) -> float:
    """Returns the longest deadline of the contract's urgent classes.

    It is the longest time in seconds that a request may be in flight; 0 if the
    contract has no latency-critical class.
    """
    return max(
        (
            work.deadline_s
            for work in contract.class_by_name.values()
            if work.kind is _contract.WorkKind.LATENCY_CRITICAL
        ),
        default=0.0,
    )


def derive_limits(contract: _contract.Contract) -> tuple[ContractLimit, ...]:
    """Returns the limits of the whole contract and of each of its classes."""
    limits = [*_request_limits(contract), *_quota_limits(contract)]
    for work in contract.class_by_name.values():
        if work.kind is _contract.WorkKind.LATENCY_CRITICAL:
            limits.extend(_service_limits(contract, work))
        else:
            limits.extend(_batch_limits(contract, work))
    return tuple(limits)


def _request_limits(contract: _contract.Contract) -> list[ContractLimit]:
    """Returns the limits on requests to services."""
    return [
        ContractLimit(
            "admission rate",
            contract.request_rate_per_s,
            "requests/s",
            "requests.rate_per_s, shared among the serving instances",
        ),
        ContractLimit(
            "admission burst",
            contract.request_burst,
            "requests",
            "requests.burst, divided among them, at least 1 each",
        ),
        ContractLimit(
            "concurrency",
            contract.concurrency,
            "requests in flight",
            "requests.concurrency, shared among the serving instances",
        ),
        ContractLimit(
            "longest deadline",
            longest_deadline_s(contract),
            "s",
            "greatest deadline_s of its latency-critical classes",
        ),
        ContractLimit("share", contract.weight, "weight", "weight"),
    ]


def _quota_limits(contract: _contract.Contract) -> list[ContractLimit]:
    """Returns the limits on resources of running batch tasks."""
    quota = contract.quota
    return [
        ContractLimit(
            "cores", quota.millicores, "millicores", "quota.millicores"
        ),
        ContractLimit("memory", quota.memory_mib, "MiB", "quota.memory_mib"),
        ContractLimit(
            "accelerators", quota.accelerators, "", "quota.accelerators"
        ),
        ContractLimit("running tasks", quota.tasks, "tasks", "quota.tasks"),
    ]


def _hours_limit(
    contract: _contract.Contract, work: _contract.WorkClass
) -> ContractLimit:
    """Returns the office hours that apply to a class of work."""
    if work.outside_hours:
        return ContractLimit(
            "hours", "any time", "", "outside_hours is true", work.name
        )
    return ContractLimit(
        "hours",
        f"{len(contract.hours.days)} openings a week",
        contract.hours.time_zone,
        "hours, less public holidays and closed dates",
        work.name,
    )


def _service_limits(
    contract: _contract.Contract, work: _contract.WorkClass
) -> list[ContractLimit]:
    """Returns the limits of a latency-critical class."""
    derivation = "retry_budget"
    if not work.idempotent:
        derivation += ", only after tries that certainly did not run"
    return [
        ContractLimit(
            "deadline", work.deadline_s, "s", "deadline_s", work.name
        ),
        ContractLimit(
            "retries",
            work.retry_budget,
            "for each first try",
            derivation,
            work.name,
        ),
        _hours_limit(contract, work),
    ]


def _batch_limits(
    contract: _contract.Contract, work: _contract.WorkClass
) -> list[ContractLimit]:
    """Returns the limits of a batch class."""
    return [
        ContractLimit(
            "deadline", work.deadline_s, "s", "deadline_s", work.name
        ),
        ContractLimit(
            "attempts",
            work.max_attempts,
            "failures on different workers",
            "max_attempts",
            work.name,
        ),
        _hours_limit(contract, work),
    ]


def find_quota_violations(
    contract: _contract.Contract, job: _job.Job
) -> tuple[QuotaViolation, ...]:
    """Returns the tasks and gangs of a job that exceed the whole quota.

    Such a job could never run, however long it waited.
    """
    quota = dataclasses.asdict(contract.quota)
    return tuple(
        QuotaViolation(place, limit, needed, quota[limit])
        for place, specs in _specs_by_unit(job).items()
        for limit, needed in _total_demand(specs).items()
        if needed > quota[limit]
    )


def _specs_by_unit(job: _job.Job) -> dict[str, list[_job.TaskSpec]]:
    """Returns the tasks that must run together: a single task or a gang.

    Keys are texts such as ``gang NAME`` or ``task NAME``.
    """
    specs_by_place: dict[str, list[_job.TaskSpec]] = {}
    for spec in job.tasks:
        place = f"gang {spec.gang}" if spec.gang else f"task {spec.name}"
        specs_by_place.setdefault(place, []).append(spec)
    return specs_by_place


def _total_demand(specs: list[_job.TaskSpec]) -> dict[str, int]:
    """Returns the total demand of some tasks by name of the quota field."""
    return {
        "millicores": sum(spec.demand.millicores for spec in specs),
        "memory_mib": sum(spec.demand.memory_mib for spec in specs),
        "accelerators": sum(spec.demand.accelerators for spec in specs),
        "tasks": len(specs),
    }

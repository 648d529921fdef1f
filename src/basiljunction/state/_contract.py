"""Defines a customer's contract, the source of every limit on its work."""

import dataclasses
import enum


class WorkKind(enum.StrEnum):
    """Kind of a class of work: a request answered at once, or queued work.

    LATENCY_CRITICAL requests get their answer in the HTTP response, within the
    deadline. BATCH tasks are queued and run on workers when capacity is free.
    """

    LATENCY_CRITICAL = "latency-critical"
    BATCH = "batch"


@dataclasses.dataclass(frozen=True, slots=True)
class WeekdayHours:
    """Opening hours of one weekday, in the contract's time zone.

    Attributes:
        weekday: 0 for Monday to 6 for Sunday.
        opens_minute: Opening time, in minutes after local midnight.
        closes_minute: Closing time, in minutes after local midnight; at most
            1440.
    """

    weekday: int
    opens_minute: int
    closes_minute: int


@dataclasses.dataclass(frozen=True, slots=True)
class OfficeHours:
    """Weekly hours and closed dates that limit when a contract's work runs.

    Classes of work with ``outside_hours`` set are exempt.

    Attributes:
        time_zone: IANA name.
        days: Opening hours; a weekday that is not listed is closed.
        holiday_country: ISO 3166 code of the country whose public holidays
            are closed, or empty for none.
        holiday_subdivision: Subdivision of that country, or empty.
        extra_closed_dates: ISO dates closed besides public holidays.
    """

    time_zone: str
    days: tuple[WeekdayHours, ...]
    holiday_country: str = ""
    holiday_subdivision: str = ""
    extra_closed_dates: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """Limits and properties shared by one class of work under a contract.

    Attributes:
        name: Name, unique within the contract.
        kind: Latency-critical or batch.
        idempotent: Whether running the same request or task twice is harmless.
        deadline_s: Maximum seconds until the answer to a request; for batch,
            from submission to the end of the task.
        priority: Higher values are served first within the customer.
        retry_budget: Maximum retries per first attempt, as a fraction.
        outside_hours: Whether the work may run outside office hours.
        standing: Whether a task runs until it is cancelled, and is restarted
            after every failure.
        max_attempts: Number of different workers on which a task has to fail
            before it ends as poison.
    """

    name: str
    kind: WorkKind
    idempotent: bool
    deadline_s: float
    priority: int = 0
    retry_budget: float = 0.1
    outside_hours: bool = False
    standing: bool = False
    max_attempts: int = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Maximum resources that one customer's claimed batch tasks use at once.

    Attributes:
        millicores: Thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
        tasks: Number of claimed tasks.
    """

    millicores: int
    memory_mib: int
    accelerators: int
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """One version of a customer's work classes, hours, quota and rate limits.

    Attributes:
        customer: The customer's name.
        version: 1 for the first contract; each accepted amendment adds one.
        hours: Office hours.
        class_by_name: Classes of work; left out of the hash, as a dict is not
            hashable and records with a contract are kept in sets.
        quota: Maximum resources in use by batch tasks.
        request_rate_per_s: Maximum sustained rate of latency-critical
            requests.
        request_burst: Requests accepted at once above that rate.
        concurrency: Maximum latency-critical requests in flight.
        credential_hashes: SHA-256 of callers' bearer tokens, in hex.
        weight: Share relative to other customers when there is contention.
    """

    customer: str
    version: int
    hours: OfficeHours
    class_by_name: dict[str, WorkClass] = dataclasses.field(hash=False)
    quota: Quota
    request_rate_per_s: float
    request_burst: int
    concurrency: int
    credential_hashes: tuple[str, ...]
    weight: float = 1.0

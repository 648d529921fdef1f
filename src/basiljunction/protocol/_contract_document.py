"""Contract documents: models, parsing, and conversion to contracts."""

import datetime as dt
import functools
import itertools
from typing import Annotated
from typing import Any
from typing import Literal
import zoneinfo

import holidays
import pydantic

from basiljunction.protocol import _jsonc
from basiljunction.protocol import _model
from basiljunction.state import _contract

MINUTES_PER_DAY = 1440
"""Minutes of a day without a change of the clock."""
MAX_DEADLINE_S = 30 * 86_400.0
"""Longest deadline of a class, in seconds: 30 days."""
MAX_CLASSES = 64
"""Largest number of classes in a contract."""
MAX_CREDENTIALS = 64
"""Largest number of credential hashes in a contract."""
MAX_CLOSED_DATES = 366
"""Largest number of extra closed dates in a contract."""
MAX_QUOTA_COUNT = 10_000_000
"""Upper bound of counts such as tasks, accelerators and requests.

The bounds of millicores (1000 times) and MiB (1024 times) follow from it.
"""

Weekday = Literal[
    "monday",
    "tuesday",
    "wednesday",
    "thursday",
    "friday",
    "saturday",
    "sunday",
]
"""Name of a weekday in a contract document."""

_WEEKDAYS: tuple[Weekday, ...] = (
    "monday",
    "tuesday",
    "wednesday",
    "thursday",
    "friday",
    "saturday",
    "sunday",
)
"""Weekday names; the index is the number of the weekday, Monday 0."""

TimeOfDay = Annotated[
    str, pydantic.Field(pattern=r"^(([01][0-9]|2[0-3]):[0-5][0-9]|24:00)$")
]
"""Local time such as ``08:30``; ``24:00`` is the end of the day."""


def _parse_minute_of_day(time_of_day: str) -> int:
    """Converts ``hh:mm`` to minutes since midnight."""
    hour, minute = time_of_day.split(":")
    return int(hour) * 60 + int(minute)


def _format_time_of_day(minute: int) -> str:
    """Converts minutes since midnight to ``hh:mm``."""
    return f"{minute // 60:02}:{minute % 60:02}"


@functools.cache
def _known_time_zones() -> frozenset[str]:
    """Returns the IANA names of all time zones on this machine."""
    return frozenset(zoneinfo.available_timezones())


@functools.cache
def _check_holiday_calendar(country: str, subdivision: str) -> None:
    """Checks that the holidays library has a calendar.

    Raises:
        NotImplementedError: The country or subdivision is unknown.
    """
    holidays.country_holidays(country, subdiv=subdivision or None)


class OpenDocument(_model.StrictModel):
    """Opening hours shared by some weekdays."""

    days: tuple[Weekday, ...] = pydantic.Field(
        min_length=1, description="Weekdays, such as monday."
    )
    opens: TimeOfDay = pydantic.Field(description="Local time, such as 08:00.")
    closes: TimeOfDay = pydantic.Field(
        description="Local time, such as 18:00; 24:00 ends the day."
    )

    @pydantic.model_validator(mode="after")
    def _check_opens_before_closes(self) -> "OpenDocument":
        """Rejects hours that are empty or pass midnight."""
        if _parse_minute_of_day(self.opens) >= _parse_minute_of_day(
            self.closes
        ):
            raise ValueError(
                "opens before closes; split hours that pass midnight"
            )
        return self


class HolidaysDocument(_model.StrictModel):
    """Calendar of the public holidays on which the customer is closed."""

    country: str = pydantic.Field(description="ISO 3166 code, such as NZ.")
    subdivision: str = pydantic.Field(
        default="", description="Subdivision, such as OTA; empty for none."
    )

    @pydantic.model_validator(mode="after")
    def _check_calendar_exists(self) -> "HolidaysDocument":
        """Rejects a country or subdivision without a calendar."""
        try:
            _check_holiday_calendar(self.country, self.subdivision)
        except (NotImplementedError, KeyError, AttributeError):
            raise ValueError(
                "a country and subdivision of the holidays library"
            ) from None
        return self


class HoursDocument(_model.StrictModel):
    """Office hours of a customer."""

    time_zone: str = pydantic.Field(
        description="IANA name, such as Pacific/Auckland."
    )
    open: tuple[OpenDocument, ...] = pydantic.Field(
        max_length=64, description="Opening hours; closed on all other days."
    )
    holidays: HolidaysDocument | None = pydantic.Field(
        default=None, description="Public holidays; null for none."
    )
    closed_dates: tuple[str, ...] = pydantic.Field(
        default=(),
        max_length=MAX_CLOSED_DATES,
        description="Further closed dates, such as 2026-12-24.",
    )

    @pydantic.field_validator("time_zone")
    @classmethod
    def _check_time_zone(cls, name: str) -> str:
        """Rejects an unknown time zone."""
        if name not in _known_time_zones():
            raise ValueError("an IANA time zone, such as America/Jamaica")
        return name

    @pydantic.field_validator("closed_dates")
    @classmethod
    def _check_closed_dates(cls, dates: tuple[str, ...]) -> tuple[str, ...]:
        """Rejects dates that are not ISO dates."""
        for date in dates:
            try:
                dt.date.fromisoformat(date)
            except ValueError:
                raise ValueError("ISO dates, such as 2026-12-24") from None
        return dates

    @pydantic.model_validator(mode="after")
    def _check_no_overlap(self) -> "HoursDocument":
        """Rejects opening hours that overlap on a weekday."""
        days = sorted(
            _expand_day_hours(self),
            key=lambda day: (day.weekday, day.opens_minute),
        )
        for earlier, later in itertools.pairwise(days):
            same_day = earlier.weekday == later.weekday
            if same_day and later.opens_minute < earlier.closes_minute:
                name = _WEEKDAYS[later.weekday]
                raise ValueError(f"hours that do not overlap on {name}")
        return self


class ClassDocument(_model.StrictModel):
    """Terms of one class of work, either requests or batch tasks."""

    kind: Literal["latency-critical", "batch"] = pydantic.Field(
        description="Requests to services (latency-critical) or tasks of jobs."
    )
    idempotent: bool = pydantic.Field(
        description="Whether running it again has no further effect."
    )
    deadline_s: float = pydantic.Field(
        gt=0,
        le=MAX_DEADLINE_S,
        description="Seconds within which a request or task must finish.",
    )
    priority: int = pydantic.Field(
        default=0,
        ge=-1000,
        le=1000,
        description="Higher is scheduled first within the customer.",
    )
    retry_budget: float = pydantic.Field(
        default=0.1,
        ge=0,
        le=1,
        description="Retries allowed, as a fraction of first tries.",
    )
    outside_hours: bool = pydantic.Field(
        default=False, description="Whether it may run outside office hours."
    )
    standing: bool = pydantic.Field(
        default=False,
        description="Whether its tasks run until cancelled, such as watches.",
    )
    max_attempts: int = pydantic.Field(
        default=4,
        ge=1,
        le=16,
        description="Failures on different workers that end a task as poison.",
    )

    @pydantic.model_validator(mode="after")
    def _check_standing_is_batch(self) -> "ClassDocument":
        """Rejects ``standing`` on a latency-critical class."""
        if self.standing and self.kind != "batch":
            raise ValueError("standing only with kind batch")
        return self


class QuotaDocument(_model.StrictModel):
    """Resources that all running tasks of the customer may use together."""

    millicores: int = pydantic.Field(
        ge=0, le=MAX_QUOTA_COUNT * 1000, description="Thousandths of a core."
    )
    memory_mib: int = pydantic.Field(
        ge=0, le=MAX_QUOTA_COUNT * 1024, description="Memory in MiB."
    )
    accelerators: int = pydantic.Field(
        default=0, ge=0, le=MAX_QUOTA_COUNT, description="Whole accelerators."
    )
    tasks: int = pydantic.Field(
        ge=0, le=MAX_QUOTA_COUNT, description="Tasks running at once."
    )


class RequestsDocument(_model.StrictModel):
    """Rate and concurrency limits of latency-critical requests."""

    rate_per_s: float = pydantic.Field(
        ge=0, le=1e6, description="Requests a second."
    )
    burst: int = pydantic.Field(
        ge=0,
        le=MAX_QUOTA_COUNT,
        description="Requests admitted at once above the rate.",
    )
    concurrency: int = pydantic.Field(
        ge=0, le=MAX_QUOTA_COUNT, description="Requests in flight."
    )


class ContractDocument(_model.StrictModel):
    """One customer's contract, without its version.

    Attributes:
        hours: Office hours.
        quota: Resources for running tasks.
        requests: Limits of latency-critical requests.
    """

    customer: _model.Name = pydantic.Field(description="Name of the customer.")
    hours: HoursDocument
    classes: dict[_model.Name, ClassDocument] = pydantic.Field(
        min_length=1, max_length=MAX_CLASSES, description="Classes by name."
    )
    quota: QuotaDocument
    requests: RequestsDocument
    credential_hashes: tuple[_model.Sha256, ...] = pydantic.Field(
        default=(),
        max_length=MAX_CREDENTIALS,
        description="SHA-256 of the callers' bearer tokens, lower-case hex.",
    )
    weight: float = pydantic.Field(
        default=1.0,
        gt=0,
        le=1000,
        description="Share relative to other customers under contention.",
    )


def load_contract_document(text: str, *, source: str) -> ContractDocument:
    """Parses and validates a contract file, which is JSON with comments.

    Args:
        text: Content of the file.
        source: Name of the file in errors.

    Raises:
        DocumentError: States line, field, value found and values allowed.
    """
    return _jsonc.load_jsonc_model(ContractDocument, text, source=source)


def _expand_day_hours(
    hours: HoursDocument,
) -> tuple[_contract.WeekdayHours, ...]:
    """Returns the opening hours, one item for each weekday."""
    return tuple(
        _contract.WeekdayHours(
            weekday=_WEEKDAYS.index(day),
            opens_minute=_parse_minute_of_day(opening.opens),
            closes_minute=_parse_minute_of_day(opening.closes),
        )
        for opening in hours.open
        for day in opening.days
    )


def to_contract(
    document: ContractDocument, *, version: int
) -> _contract.Contract:
    """Converts a document to the contract with the given version."""
    calendar = document.hours.holidays
    hours = _contract.OfficeHours(
        time_zone=document.hours.time_zone,
        days=_expand_day_hours(document.hours),
        holiday_country=calendar.country if calendar else "",
        holiday_subdivision=calendar.subdivision if calendar else "",
        extra_closed_dates=document.hours.closed_dates,
    )
    return _contract.Contract(
        customer=document.customer,
        version=version,
        hours=hours,
        class_by_name={
            name: _to_work_class(name, each)
            for name, each in document.classes.items()
        },
        quota=_contract.Quota(**document.quota.model_dump()),
        request_rate_per_s=document.requests.rate_per_s,
        request_burst=document.requests.burst,
        concurrency=document.requests.concurrency,
        credential_hashes=document.credential_hashes,
        weight=document.weight,
    )


def _to_work_class(name: str, document: ClassDocument) -> _contract.WorkClass:
    """Converts the document of one class of work."""
    fields = document.model_dump()
    fields["kind"] = _contract.WorkKind(document.kind)
    return _contract.WorkClass(name=name, **fields)


def document_from_contract(contract: _contract.Contract) -> ContractDocument:
    """Converts a contract to its document, validating it again.

    Raises:
        ValidationError: The contract breaks a current rule for documents.
    """
    return ContractDocument.model_validate(
        contract_to_dict(contract), strict=False
    )


def contract_to_dict(contract: _contract.Contract) -> dict[str, Any]:
    """Converts a contract to a dict in the form of its document.

    Unlike ``from_contract``, it does not validate, so it also works for
    contracts that were accepted under earlier rules.
    """
    hours = contract.hours
    calendar = None
    if hours.holiday_country:
        calendar = {
            "country": hours.holiday_country,
            "subdivision": hours.holiday_subdivision,
        }
    return {
        "customer": contract.customer,
        "hours": {
            "time_zone": hours.time_zone,
            "open": _group_days_by_hours(hours.days),
            "holidays": calendar,
            "closed_dates": list(hours.extra_closed_dates),
        },
        "classes": {
            name: _work_class_to_dict(each)
            for name, each in contract.class_by_name.items()
        },
        "quota": {
            "millicores": contract.quota.millicores,
            "memory_mib": contract.quota.memory_mib,
            "accelerators": contract.quota.accelerators,
            "tasks": contract.quota.tasks,
        },
        "requests": {
            "rate_per_s": contract.request_rate_per_s,
            "burst": contract.request_burst,
            "concurrency": contract.concurrency,
        },
        "credential_hashes": list(contract.credential_hashes),
        "weight": contract.weight,
    }


def _group_days_by_hours(
    days: tuple[_contract.WeekdayHours, ...],
) -> list[dict[str, Any]]:
    """Groups the weekdays that have the same opening hours."""
    days_by_hours: dict[tuple[int, int], list[str]] = {}
    for day in days:
        hours = (day.opens_minute, day.closes_minute)
        days_by_hours.setdefault(hours, []).append(_WEEKDAYS[day.weekday])
    return [
        {
            "days": names,
            "opens": _format_time_of_day(opens),
            "closes": _format_time_of_day(closes),
        }
        for (opens, closes), names in days_by_hours.items()
    ]


def _work_class_to_dict(work_class: _contract.WorkClass) -> dict[str, Any]:
    """Converts a class of work to a dict in the form of its document."""
    return {
        "kind": str(work_class.kind),
        "idempotent": work_class.idempotent,
        "deadline_s": work_class.deadline_s,
        "priority": work_class.priority,
        "retry_budget": work_class.retry_budget,
        "outside_hours": work_class.outside_hours,
        "standing": work_class.standing,
        "max_attempts": work_class.max_attempts,
    }

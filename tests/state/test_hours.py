"""Tests of office hours with clock changes, holidays and midnight."""

import datetime as dt
import zoneinfo

from hypothesis import given
from hypothesis import strategies as st
import pytest

from basiljunction.state import _contract
from basiljunction.state import _hours
import builders

_AUCKLAND = zoneinfo.ZoneInfo("Pacific/Auckland")
_JAMAICA = zoneinfo.ZoneInfo("America/Jamaica")
_EVERY_DAY = range(7)


def _local_to_unix_s(zone: zoneinfo.ZoneInfo, *parts: int) -> float:
    """Returns a local time (year to minute) as Unix seconds."""
    return dt.datetime(*parts, tzinfo=zone).timestamp()  # type: ignore[arg-type,misc] # year to minute


def _same_hours_every_day(
    opens: int, closes: int
) -> tuple[_contract.WeekdayHours, ...]:
    """Returns the same hours, in minutes of the day, for all weekdays."""
    return tuple(
        _contract.WeekdayHours(day, opens, closes) for day in _EVERY_DAY
    )


class TestWeek:
    """Office hours follow the local time of the contract's time zone."""

    @pytest.mark.parametrize(
        ("local", "expected"),
        [
            ((2026, 12, 4, 7, 59), False),
            ((2026, 12, 4, 8, 0), True),
            ((2026, 12, 4, 17, 59), True),
            ((2026, 12, 4, 18, 0), False),
            ((2026, 12, 5, 12, 0), False),
        ],
    )
    def test_open(self, local: tuple[int, ...], expected: bool) -> None:
        hours = builders.office_hours()
        assert (
            _hours.is_open(hours, _local_to_unix_s(_AUCKLAND, *local))
            is expected
        )

    def test_weekend_is_skipped(self) -> None:
        hours = builders.office_hours()
        friday_night = _local_to_unix_s(_AUCKLAND, 2026, 12, 4, 20, 0)
        monday = _local_to_unix_s(_AUCKLAND, 2026, 12, 7, 8, 0)
        assert _hours.next_opening_s(hours, friday_night) == monday

    def test_never_open(self) -> None:
        hours = builders.office_hours(days=())
        assert _hours.next_opening_s(hours, 0.0) is None
        assert not _hours.is_open(hours, 0.0)


class TestHolidays:
    """Office hours are closed on public holidays and extra closed dates."""

    def test_otago_anniversary(self) -> None:
        hours = builders.office_hours(
            holiday_country="NZ", holiday_subdivision="OTA"
        )
        holiday = _local_to_unix_s(_AUCKLAND, 2026, 3, 23, 10, 0)
        assert not _hours.is_open(hours, holiday)
        assert _hours.is_open(builders.office_hours(), holiday)

    def test_christmas_to_the_next_working_day(self) -> None:
        hours = builders.office_hours(holiday_country="NZ")
        eve = _local_to_unix_s(_AUCKLAND, 2026, 12, 24, 18, 0)
        # 25 is a holiday, 26 and 27 a weekend, 28 Boxing Day observed.
        opens = _local_to_unix_s(_AUCKLAND, 2026, 12, 29, 8, 0)
        assert _hours.next_opening_s(hours, eve) == opens

    def test_jamaican_holiday(self) -> None:
        hours = _contract.OfficeHours(
            "America/Jamaica",
            _same_hours_every_day(480, 1020),
            holiday_country="JM",
        )
        assert not _hours.is_open(
            hours, _local_to_unix_s(_JAMAICA, 2026, 8, 6, 10, 0)
        )
        assert _hours.is_open(
            hours, _local_to_unix_s(_JAMAICA, 2026, 8, 7, 10, 0)
        )

    def test_extra_closed_date(self) -> None:
        hours = builders.office_hours(extra_closed_dates=("2026-12-04",))
        assert not _hours.is_open(
            hours, _local_to_unix_s(_AUCKLAND, 2026, 12, 4, 10, 0)
        )


class TestChangeOfClocks:
    """Opening times stay in local time on days with a clock change."""

    def test_spring_day_is_an_hour_shorter(self) -> None:
        hours = builders.office_hours(days=_same_hours_every_day(0, 720))
        opens = _local_to_unix_s(_AUCKLAND, 2026, 9, 27, 0, 0)
        closes = _local_to_unix_s(_AUCKLAND, 2026, 9, 27, 12, 0)
        assert _hours.current_or_next_window(hours, opens) == (opens, closes)
        assert closes - opens == 11 * 3600

    def test_autumn_day_is_an_hour_longer(self) -> None:
        hours = builders.office_hours(days=_same_hours_every_day(0, 720))
        opens = _local_to_unix_s(_AUCKLAND, 2026, 4, 5, 0, 0)
        window = _hours.current_or_next_window(hours, opens)
        assert window is not None
        assert window[1] - window[0] == 13 * 3600

    def test_opening_in_the_skipped_hour(self) -> None:
        hours = builders.office_hours(days=_same_hours_every_day(150, 720))
        change = _local_to_unix_s(_AUCKLAND, 2026, 9, 27, 3, 0)
        before = _local_to_unix_s(_AUCKLAND, 2026, 9, 27, 1, 0)
        assert _hours.next_opening_s(hours, before) == change

    def test_jamaica_does_not_change(self) -> None:
        hours = _contract.OfficeHours(
            "America/Jamaica", _same_hours_every_day(480, 1020)
        )
        for day in (7, 8, 9):
            opens = _local_to_unix_s(_JAMAICA, 2026, 3, day, 8, 0)
            window = _hours.current_or_next_window(hours, opens)
            assert window == (opens, opens + 9 * 3600)


class TestMidnight:
    """Hours that continue past midnight form one window."""

    def test_evening_and_morning_join(self) -> None:
        days = (
            _contract.WeekdayHours(3, 1200, 1440),
            _contract.WeekdayHours(4, 0, 120),
        )
        hours = builders.office_hours(days=days)
        window = _hours.current_or_next_window(
            hours, _local_to_unix_s(_AUCKLAND, 2026, 12, 3, 21, 0)
        )
        assert window == (
            _local_to_unix_s(_AUCKLAND, 2026, 12, 3, 20, 0),
            _local_to_unix_s(_AUCKLAND, 2026, 12, 4, 2, 0),
        )

    @given(st.floats(1.7e9, 1.9e9))
    def test_next_open_is_open(self, wall_s: float) -> None:
        hours = builders.office_hours(holiday_country="NZ")
        opens = _hours.next_opening_s(hours, wall_s)
        closes = _hours.next_closing_s(hours, wall_s)
        assert opens is not None
        assert closes is not None
        assert _hours.is_open(hours, opens)
        assert not _hours.is_open(hours, closes)
        assert _hours.is_open(hours, wall_s) == (opens == wall_s)

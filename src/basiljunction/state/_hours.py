"""Computes when a contract's office hours are open, in Unix time."""

import datetime as dt
import functools
import zoneinfo

import holidays

from basiljunction.state import _contract

MAX_SEARCH_DAYS = 400
"""Number of days that are searched for the next opening."""

_MAX_CACHED_DAYS = 8192
"""Maximum number of pairs of office hours and date with cached windows."""
_MINUTES_PER_DAY = 1440

OpenWindow = tuple[float, float]
"""Opening time (inclusive) and closing time (exclusive) in Unix seconds."""


@functools.cache
def _load_zone(name: str) -> zoneinfo.ZoneInfo:
    """Returns the time zone with an IANA name."""
    return zoneinfo.ZoneInfo(name)


@functools.lru_cache(maxsize=256)
def _public_holidays(
    country: str, subdivision: str, year: int
) -> frozenset[dt.date]:
    """Returns the public holidays of a country in one year."""
    calendar = holidays.country_holidays(
        country, subdiv=subdivision or None, years=year
    )
    return frozenset(calendar)


def is_closed_date(hours: _contract.OfficeHours, day: dt.date) -> bool:
    """Returns whether a date is a public holiday or an extra closed date."""
    if day.isoformat() in hours.extra_closed_dates:
        return True
    if not hours.holiday_country:
        return False
    calendar = _public_holidays(
        hours.holiday_country, hours.holiday_subdivision, day.year
    )
    return day in calendar


def _local_minute_to_unix_s(
    zone: zoneinfo.ZoneInfo, day: dt.date, minute: int
) -> float:
    """Returns the Unix time of a minute of a local date.

    A minute that a clock change skips maps to the moment of the change; one
    that occurs twice maps to its first occurrence.

    Args:
        zone: The time zone.
        day: The local date.
        minute: Minutes after local midnight.
    """
    midnight = dt.datetime.combine(day, dt.time())
    while True:
        local = midnight + dt.timedelta(minutes=minute)
        unix_s = local.replace(tzinfo=zone).timestamp()
        shown = dt.datetime.fromtimestamp(unix_s, zone)
        if shown.replace(tzinfo=None) == local:
            return unix_s
        minute += 1


@functools.lru_cache(maxsize=_MAX_CACHED_DAYS)
def _windows_on_date(
    hours: _contract.OfficeHours, day: dt.date
) -> tuple[OpenWindow, ...]:
    """Returns the office-hours windows that open on a local date, in order."""
    if is_closed_date(hours, day):
        return ()
    zone = _load_zone(hours.time_zone)
    found = []
    for each in hours.days:
        if each.weekday != day.weekday():
            continue
        opens_s = _local_minute_to_unix_s(zone, day, each.opens_minute)
        closes_s = _local_minute_to_unix_s(
            zone, day, min(each.closes_minute, _MINUTES_PER_DAY)
        )
        if closes_s > opens_s:
            found.append((opens_s, closes_s))
    return tuple(sorted(found))


def _local_date(hours: _contract.OfficeHours, wall_s: float) -> dt.date:
    """Returns the date in the contract's time zone."""
    return dt.datetime.fromtimestamp(wall_s, _load_zone(hours.time_zone)).date()


def current_or_next_window(
    hours: _contract.OfficeHours, wall_s: float
) -> OpenWindow | None:
    """Returns the office-hours window open at a time, or else the next one.

    Adjacent windows, as at midnight, are merged into one.

    Args:
        hours: Office hours.
        wall_s: Unix time in seconds.

    Returns:
        Opening and closing time in Unix seconds; None if no window opens
        within ``MAX_SEARCH_DAYS`` days.
    """
    day = _local_date(hours, wall_s)
    window: OpenWindow | None = None
    for _ in range(MAX_SEARCH_DAYS):
        windows = _windows_on_date(hours, day)
        for opens_s, closes_s in windows:
            if window is None and closes_s > wall_s:
                window = (opens_s, closes_s)
            elif window is not None and opens_s <= window[1]:
                window = (window[0], max(window[1], closes_s))
        if window is not None and not _reaches_next_day(window, day, hours):
            return window
        day += dt.timedelta(days=1)
    return window


def _reaches_next_day(
    window: OpenWindow, day: dt.date, hours: _contract.OfficeHours
) -> bool:
    """Returns whether a window lasts at least until the end of a date."""
    end_s = _local_minute_to_unix_s(
        _load_zone(hours.time_zone), day, _MINUTES_PER_DAY
    )
    return window[1] >= end_s


def is_open(hours: _contract.OfficeHours, wall_s: float) -> bool:
    """Returns whether a Unix time is within office hours."""
    window = current_or_next_window(hours, wall_s)
    return window is not None and window[0] <= wall_s


def next_opening_s(hours: _contract.OfficeHours, wall_s: float) -> float | None:
    """Returns when the office hours open next, in Unix seconds.

    The result is ``wall_s`` if they are open, and None if they do not open
    within ``MAX_SEARCH_DAYS`` days.
    """
    window = current_or_next_window(hours, wall_s)
    return None if window is None else max(window[0], wall_s)


def next_closing_s(hours: _contract.OfficeHours, wall_s: float) -> float | None:
    """Returns when the current or else the next window closes.

    The result is in Unix seconds, and None if no window opens within
    ``MAX_SEARCH_DAYS`` days.
    """
    window = current_or_next_window(hours, wall_s)
    return None if window is None else window[1]


def format_local_time(hours: _contract.OfficeHours, wall_s: float) -> str:
    """Formats a Unix time as weekday, date and time in the hours' time zone."""
    local = dt.datetime.fromtimestamp(wall_s, _load_zone(hours.time_zone))
    return f"{local:%A %Y-%m-%d %H:%M} {hours.time_zone}"

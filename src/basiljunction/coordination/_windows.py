"""Caches office-hours windows and decides whether a task fits into one.

A window is a pair of opening and closing time in Unix seconds.
"""

from basiljunction.state import _contract
from basiljunction.state import _hours

ALWAYS_OPEN: _hours.OpenWindow = (float("-inf"), float("inf"))
"""Window of classes that may run at any time."""

NEVER_OPEN: _hours.OpenWindow = (float("inf"), float("inf"))
"""Window of contracts whose office hours never open."""


class OfficeHoursCache:
    """Caches the current or next office-hours window of each customer."""

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._cached_window_by_customer: dict[
            str, tuple[int, float, _hours.OpenWindow]
        ] = {}

    def open_or_next_window(
        self,
        contract: _contract.Contract,
        work_class: _contract.WorkClass,
        wall_s: float,
    ) -> _hours.OpenWindow:
        """Returns the window that is open at a time, or the next one.

        Args:
            contract: Contract with the office hours.
            work_class: Class of the task.
            wall_s: The time in Unix seconds.
        """
        if work_class.outside_hours:
            return ALWAYS_OPEN
        cached = self._cached_window_by_customer.get(contract.customer)
        if cached is not None:
            version, computed_wall_s, window = cached
            is_current = version == contract.version
            if is_current and computed_wall_s <= wall_s < window[1]:
                return window
        window = (
            _hours.current_or_next_window(contract.hours, wall_s) or NEVER_OPEN
        )
        self._cached_window_by_customer[contract.customer] = (
            contract.version,
            wall_s,
            window,
        )
        return window


def is_worth_starting(
    window: _hours.OpenWindow,
    *,
    wall_s: float,
    run_time_s: float,
    finish_margin_s: float,
    checkpoint_lead_s: float,
    min_useful_s: float,
) -> bool:
    """Returns whether a task started now can do useful work before closing.

    That is so if it is likely to finish before closing, or if it makes enough
    progress before its checkpoint.

    Args:
        window: Window that is open, or the next one.
        wall_s: The current time in Unix seconds.
        run_time_s: Remaining run time that most tasks of its class do not
            exceed, in seconds.
        finish_margin_s: Margin before closing within which a task must be
            expected to finish, in seconds.
        checkpoint_lead_s: Time before closing at which checkpoints begin, in
            seconds.
        min_useful_s: Minimum run time before a checkpoint, in seconds.
    """
    opens_s, closes_s = window
    if not opens_s <= wall_s < closes_s:
        return False
    left_s = closes_s - wall_s
    if run_time_s + finish_margin_s <= left_s:
        return True
    return left_s - checkpoint_lead_s >= min_useful_s

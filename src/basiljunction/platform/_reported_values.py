"""Types of the values that executors and other writers report."""

from typing import Annotated

import pydantic

MAX_COUNT = 1 << 53
"""Highest number that an executor may report, the last that a float holds
exactly with all before it."""

Text = Annotated[str, pydantic.Strict()]
"""A JSON string."""

Count = Annotated[int, pydantic.Field(strict=True, ge=0, le=MAX_COUNT)]
"""A JSON integer that counts something."""

Measure = Annotated[float, pydantic.Field(strict=True, allow_inf_nan=False)]
"""A JSON number that is finite."""

"""Orders of a soak that get no answer and are carried out seconds later."""

import dataclasses
import random
import time
from typing import Any

SHORTEST_DELAY_S = 2.0
"""Shortest time after which such an order is carried out, in seconds."""

LONGEST_DELAY_S = 12.0
"""Longest time after which such an order is carried out, in seconds."""

SILENCE_S = 4.0
"""Time after which a connection without an answer is closed, in seconds, by
when a caller has given up."""

SILENT_SHARE = 0.5
"""Share of the orders whose connection stays open without an answer; that of
the others is closed at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class LateOrder:
    """An order that an executor has received and not carried out yet.

    Attributes:
        due_s: Steady time at which it is carried out.
        path: Path of the call.
        body: Body of the call.
        silence_s: Time for which its connection stays open, in seconds.
    """

    due_s: float
    path: str
    body: dict[str, Any]
    silence_s: float


class LateOrders:
    """Orders that one incarnation of an executor holds back.

    They are lost with it. Its methods are called under the platform's lock.

    Args:
        source: Draws which orders are late and by how much.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._share = 0.0
        self._spares_renewals = False
        self._spares_others = False
        self._until_s = 0.0
        self._orders: list[LateOrder] = []

    @property
    def count(self) -> int:
        """Number of orders that are held back."""
        return len(self._orders)

    def begin(
        self,
        share: float,
        duration_s: float,
        *,
        spares_renewals: bool = False,
        spares_others: bool = False,
    ) -> None:
        """Holds back a share of the orders that arrive in the next time.

        Args:
            share: The share, 0 to 1.
            duration_s: The time, in seconds.
            spares_renewals: Whether lease renewals are not held back.
            spares_others: Whether all other orders are not held back.
        """
        self._share = share
        self._spares_renewals = spares_renewals
        self._spares_others = spares_others
        self._until_s = time.monotonic() + duration_s

    def hold_back(self, path: str, body: dict[str, Any]) -> LateOrder | None:
        """Returns the order if it is held back, None if it is not."""
        now_s = time.monotonic()
        is_spared = (
            self._spares_renewals if path == "/hold" else self._spares_others
        )
        if is_spared:
            return None
        if now_s >= self._until_s or self._source.random() >= self._share:
            return None
        order = LateOrder(
            now_s + self._source.uniform(SHORTEST_DELAY_S, LONGEST_DELAY_S),
            path,
            body,
            SILENCE_S if self._source.random() < SILENT_SHARE else 0.0,
        )
        self._orders.append(order)
        return order

    def take_due(self, now_s: float) -> list[LateOrder]:
        """Returns the orders that are to be carried out by now, once each."""
        due = [each for each in self._orders if each.due_s <= now_s]
        self._orders = [each for each in self._orders if each.due_s > now_s]
        return sorted(due, key=lambda each: each.due_s)

"""Tests of the orders that a soak's executors carry out late."""

import random
import time

from soak import late_orders as soak_late_orders

_BODY = {"Task": "a.0.0.0", "Run": 1}


class TestHeldBackOrders:
    """An order without an answer is carried out late, and only once."""

    def test_an_order_that_is_never_carried_out(self) -> None:
        orders = soak_late_orders.LateOrders(random.Random(1))
        orders.begin(1.0, 60.0, spares_renewals=False)
        order = orders.hold_back("/run-start", _BODY)
        assert order is not None
        assert orders.take_due(order.due_s - 0.001) == []
        assert orders.take_due(order.due_s) == [order]
        assert orders.count == 0

    def test_an_order_that_is_carried_out_too_soon(self) -> None:
        orders = soak_late_orders.LateOrders(random.Random(1))
        orders.begin(1.0, 60.0, spares_renewals=False)
        begin_s = time.monotonic()
        for _ in range(50):
            orders.hold_back("/run-stop", _BODY)
        soon_s = begin_s + soak_late_orders.SHORTEST_DELAY_S
        late_s = time.monotonic() + soak_late_orders.LONGEST_DELAY_S
        assert orders.take_due(soon_s - 0.001) == []
        assert len(orders.take_due(late_s)) == 50

    def test_renewals_that_are_held_back_though_they_are_spared(self) -> None:
        orders = soak_late_orders.LateOrders(random.Random(1))
        orders.begin(1.0, 60.0, spares_renewals=True)
        assert orders.hold_back("/hold", {}) is None
        assert orders.hold_back("/run-start", _BODY) is not None

    def test_other_orders_that_are_held_back_though_they_are_spared(
        self,
    ) -> None:
        orders = soak_late_orders.LateOrders(random.Random(1))
        orders.begin(1.0, 60.0, spares_others=True)
        assert orders.hold_back("/run-start", _BODY) is None
        assert orders.hold_back("/hold", {}) is not None

    def test_orders_that_are_held_back_for_ever(self) -> None:
        orders = soak_late_orders.LateOrders(random.Random(1))
        orders.begin(1.0, 0.0, spares_renewals=False)
        assert orders.hold_back("/run-start", _BODY) is None

"""Tests of fair queueing between customers."""

from basiljunction.coordination import _fair_queue
from basiljunction.coordination import _urgent_request


def _make_hop(
    name: str, customer: str, **changes: float
) -> _fair_queue.QueuedHop:
    """Returns a queued hop of a customer."""
    return _fair_queue.QueuedHop(
        key=_urgent_request.HopKey("i1", name, 1),
        customer=customer,
        weight=changes.get("weight", 1.0),
        priority=int(changes.get("priority", 0)),
        deadline_boot_s=changes.get("deadline_boot_s", 1.0),
        cost_s=changes.get("cost_s", 0.1),
    )


def _pop_all(queue: _fair_queue.FairQueue) -> list[str]:
    """Returns the request ids in the order in which they are served."""
    names = []
    while (queued := queue.pop()) is not None:
        names.append(queued.key.request_id)
    return names


class TestBetweenCustomers:
    """Customers are served by weight, however much they have queued."""

    def test_flood_does_not_delay_another(self) -> None:
        queue = _fair_queue.FairQueue()
        for number in range(100):
            queue.push(_make_hop(f"f{number}", "flood"))
        queue.push(_make_hop("q", "quiet"))
        assert "q" in _pop_all(queue)[:2]

    def test_weight(self) -> None:
        queue = _fair_queue.FairQueue()
        for number in range(30):
            queue.push(_make_hop(f"a{number}", "a", weight=2.0))
            queue.push(_make_hop(f"b{number}", "b"))
        first = _pop_all(queue)[:30]
        assert sum(name.startswith("a") for name in first) == 20

    def test_work_before_a_quiet_customer(self) -> None:
        queue = _fair_queue.FairQueue()
        for number in range(100):
            queue.push(_make_hop(f"f{number}", "flood"))
        assert queue.estimate_work_ahead_s("quiet", 1.0) < 0.2
        assert queue.estimate_work_ahead_s("flood", 1.0) > 9.9


class TestInsideOneCustomer:
    """A customer's hops are served by priority, then by deadline."""

    def test_order(self) -> None:
        queue = _fair_queue.FairQueue()
        queue.push(_make_hop("late", "a", deadline_boot_s=3.0))
        queue.push(_make_hop("early", "a", deadline_boot_s=2.0))
        queue.push(_make_hop("high", "a", priority=1, deadline_boot_s=9.0))
        assert _pop_all(queue) == ["high", "early", "late"]

    def test_removed_request_is_not_served(self) -> None:
        queue = _fair_queue.FairQueue()
        queue.push(_make_hop("a", "a"))
        queue.push(_make_hop("b", "a"))
        queue.remove(_urgent_request.HopKey("i1", "a", 1))
        assert len(queue) == 1
        assert _pop_all(queue) == ["b"]

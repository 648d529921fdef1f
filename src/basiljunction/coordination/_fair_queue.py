"""Start-time fair queueing among customers, with priorities within each."""

import dataclasses
import heapq

from basiljunction.coordination import _urgent_request


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedHop:
    """A hop, one attempt of a request, that waits for an executor slot.

    Attributes:
        key: Identifies the hop.
        customer: Customer of the request.
        weight: The customer's weight in fair queueing.
        priority: Higher priorities start first within the customer.
        deadline_boot_s: Earlier deadlines start first within a priority.
        cost_s: Expected service time.
    """

    key: _urgent_request.HopKey
    customer: str
    weight: float
    priority: int
    deadline_boot_s: float
    cost_s: float


@dataclasses.dataclass(slots=True)
class _CustomerFlow:
    """The waiting hops of one customer.

    Attributes:
        start_tag: Virtual time at which the customer's next hop may start.
        weight: The customer's weight.
        heap: Hops by priority, deadline and order of arrival; may contain hops
            that were removed from the queue.
        work_s: Expected service time of the waiting hops.
        count: Number of waiting hops.
    """

    start_tag: float
    weight: float
    heap: list[tuple[int, float, int, QueuedHop]] = dataclasses.field(
        default_factory=list
    )
    work_s: float = 0.0
    count: int = 0


class FairQueue:
    """Queue of hops that shares service time among customers by weight.

    A hop is one attempt of a request at one owner of executors.
    Each customer has a start tag, the virtual time at which its next hop may
    start; the lowest tag goes first. A customer that was idle starts at the
    current virtual time, so it neither accumulates credit nor owes anything for
    that time.

    Attributes:
        queued_work_s: Expected service time of all waiting hops.
    """

    def __init__(self) -> None:
        """Initializes an empty queue."""
        self._flow_by_customer: dict[str, _CustomerFlow] = {}
        self._tag_by_idle_customer: dict[str, float] = {}
        self._queued_by_key: dict[_urgent_request.HopKey, QueuedHop] = {}
        self._virtual_time = 0.0
        self._next_number = 0
        self.queued_work_s = 0.0

    def __len__(self) -> int:
        """Returns the number of waiting hops."""
        return len(self._queued_by_key)

    def __contains__(self, key: _urgent_request.HopKey) -> bool:
        """Returns whether a hop is waiting."""
        return key in self._queued_by_key

    def push(self, queued: QueuedHop) -> None:
        """Adds a hop to its customer's flow."""
        flow = self._flow_by_customer.get(queued.customer)
        if flow is None:
            flow = self._activate(queued)
        flow.weight = queued.weight
        rank = (-queued.priority, queued.deadline_boot_s, self._next_number)
        heapq.heappush(flow.heap, (*rank, queued))
        self._next_number += 1
        flow.work_s += queued.cost_s
        flow.count += 1
        self.queued_work_s += queued.cost_s
        self._queued_by_key[queued.key] = queued

    def pop(self) -> QueuedHop | None:
        """Removes and returns the next hop to start; None if there is none."""
        if not self._queued_by_key:
            return None
        customer = min(self._flow_by_customer, key=self._start_tag_of_customer)
        flow = self._flow_by_customer[customer]
        queued = self._pop_queued(flow)
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += queued.cost_s / flow.weight
        self._remove_from_flow(queued)
        return queued

    def remove(self, key: _urgent_request.HopKey) -> QueuedHop | None:
        """Removes and returns the hop with a key; None if it is not waiting."""
        queued = self._queued_by_key.get(key)
        if queued is not None:
            self._remove_from_flow(queued)
        return queued

    def list_queued(self) -> list[QueuedHop]:
        """Returns the waiting hops, oldest first."""
        return list(self._queued_by_key.values())

    def estimate_work_ahead_s(self, customer: str, weight: float) -> float:
        """Returns the work that would be served before a new hop.

        Args:
            customer: Customer of the new hop.
            weight: The customer's weight.

        Returns:
            Seconds of service: the customer's own waiting work, plus what the
            other customers are served meanwhile by their weights, at most all
            of their waiting work.
        """
        flow = self._flow_by_customer.get(customer)
        own_s = 0.0 if flow is None else flow.work_s
        own_tag = self._virtual_time if flow is None else flow.start_tag
        before_s = own_s
        for other, each in self._flow_by_customer.items():
            if other == customer:
                continue
            lead = own_tag + own_s / weight - each.start_tag
            before_s += min(each.work_s, max(0.0, lead) * each.weight)
        return before_s

    def _activate(self, queued: QueuedHop) -> _CustomerFlow:
        """Creates the flow of a customer that had no waiting hop."""
        tag = self._tag_by_idle_customer.pop(queued.customer, 0.0)
        flow = _CustomerFlow(max(tag, self._virtual_time), queued.weight)
        self._flow_by_customer[queued.customer] = flow
        return flow

    def _start_tag_of_customer(self, customer: str) -> float:
        """Returns the start tag of a customer with waiting hops."""
        return self._flow_by_customer[customer].start_tag

    def _pop_queued(self, flow: _CustomerFlow) -> QueuedHop:
        """Pops a flow's first hop, skipping those removed from the queue."""
        while True:
            queued = heapq.heappop(flow.heap)[-1]
            if self._queued_by_key.get(queued.key) is queued:
                return queued

    def _remove_from_flow(self, queued: QueuedHop) -> None:
        """Removes a hop from the counts; drops its flow if it was the last."""
        del self._queued_by_key[queued.key]
        flow = self._flow_by_customer[queued.customer]
        flow.work_s -= queued.cost_s
        flow.count -= 1
        self.queued_work_s -= queued.cost_s
        if flow.count == 0:
            del self._flow_by_customer[queued.customer]
            self._deactivate(queued.customer, flow)

    def _deactivate(self, customer: str, flow: _CustomerFlow) -> None:
        """Saves the start tag of a customer whose last hop left the queue.

        The tag may be ahead of virtual time if the customer was served ahead of
        its share. Tags that virtual time has passed are dropped when the queue
        is empty.
        """
        self._tag_by_idle_customer[customer] = flow.start_tag
        if self._queued_by_key:
            return
        self.queued_work_s = 0.0
        for idle, tag in list(self._tag_by_idle_customer.items()):
            if tag <= self._virtual_time:
                del self._tag_by_idle_customer[idle]

"""Processor capacity of a service's executors."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ServiceCapacity:
    """Processor capacity of one service's executors in a placement pass.

    Short tasks end by themselves; lasting tasks run until cancelled.

    Attributes:
        total_millicores: Capacity of all its executors.
        free_millicores: Capacity that is not booked.
        reserved_millicores: Capacity kept for short tasks expected soon.
        vacating_millicores: Capacity of lasting tasks that are being stopped.
        requested_millicores: Demand of waiting short tasks.
    """

    total_millicores: int
    free_millicores: int
    reserved_millicores: float
    vacating_millicores: int
    requested_millicores: int

"""The operators' configuration: queues, services and limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Approval:
    """How an outside policy approves executors for the steps of a queue.

    Attributes:
        validity_s: How long an approval may be used, in seconds.
    """

    validity_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, selected by host and path prefix.

    Attributes:
        name: Name of the queue.
        host: Host name that callers send.
        path_prefix: Longest matching prefix wins; the job id follows it.
        service: Service whose executors run the tasks.
        priority: 0 comes first.
        max_attempts: Failed runs of one task after which the job fails.
        stretch: Objective as a multiple of the job's longest chain of work.
        target_latency_s: Added to the objective, in seconds.
        timeout_s: Longest time that a call on this queue may take, in seconds.
        approval: Set if an outside policy approves the executors.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_s: float
    timeout_s: float
    approval: Approval | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of executors.

    Attributes:
        name: Name of the service.
        guards_capacity: Whether its executors reject what does not fit.
        max_connections: Connections that one executor accepts.
    """

    name: str
    guards_capacity: bool
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        queues: All queues, longest prefix first.
        service_by_name: All services.
        max_body_bytes: Largest body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    service_by_name: dict[str, Service]
    max_body_bytes: int

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None

    def queue_named(self, name: str) -> Queue | None:
        """Returns the queue of that name, or None."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


def ordered_queues(queues: list[Queue]) -> tuple[Queue, ...]:
    """Returns the queues with the longest prefix first."""
    return tuple(sorted(queues, key=lambda each: -len(each.path_prefix)))

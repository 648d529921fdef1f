"""The operators' configuration: queues, services and limits."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ApprovalPolicy:
    """Terms on which an external policy approves executors for a queue's steps.

    Attributes:
        validity_s: Time for which an approval is valid, in seconds.
        decision_s: Time that the policy takes for a request, in seconds; 0 if
            the configuration does not tell.
        per_executor_s: Further time for each executor that the request names,
            in seconds.
    """

    validity_s: float
    decision_s: float = 0.0
    per_executor_s: float = 0.0

    def handling_s(self, executor_count: int) -> float:
        """Returns how long the policy takes for a request, in seconds."""
        return self.decision_s + self.per_executor_s * executor_count


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, selected by host and path prefix.

    Attributes:
        name: Name of the queue.
        host: Host name that clients send.
        path_prefix: Path prefix of the queue; the job id follows it. The
            longest matching prefix selects the queue.
        service: Name of the service whose executors run the tasks.
        priority: Priority of the jobs; 0 is the most urgent.
        max_attempts: Number of failed runs of one task at which the job fails.
        stretch: Latency objective of a job as a multiple of its critical path.
        target_latency_s: Constant part of the objective, in seconds.
        timeout_s: Timeout of a call on this queue, in seconds.
        approval: Set if an external policy has to approve the executors.
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
    approval: ApprovalPolicy | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service: a group of executors that run the tasks of queues.

    Attributes:
        name: Name of the service.
        rejects_excess_tasks: Whether its executors reject tasks that exceed
            their free capacity.
        max_connections: Number of connections that one executor accepts.
    """

    name: str
    rejects_excess_tasks: bool
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Version number; increases with each change.
        queues: All queues, longest path prefix first.
        service_by_name: All services by name.
        max_body_bytes: Largest accepted request body, in bytes.
    """

    version: int
    queues: tuple[Queue, ...]
    service_by_name: dict[str, Service]
    max_body_bytes: int

    def find_queue_by_path(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest prefix of a path, or None."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Returns the queue with the given name, or None."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None


def sort_queues_by_prefix(queues: list[Queue]) -> tuple[Queue, ...]:
    """Returns the queues sorted by path prefix, longest first."""
    return tuple(sorted(queues, key=lambda each: -len(each.path_prefix)))

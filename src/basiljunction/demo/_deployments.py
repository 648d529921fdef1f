"""The two deployments of the demo, at their present sizes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RequestStream:
    """A stream of latency-critical requests of one class.

    Attributes:
        class_name: Latency-critical class in the contract.
        idempotent: Whether requests of the class are idempotent.
        deadline_s: Longest time until the answer, in seconds.
        rate_per_s: Average requests per second.
        service_ms: Median service time at an executor.
    """

    class_name: str
    idempotent: bool
    deadline_s: float
    rate_per_s: float
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobPattern:
    """Describes the jobs of one batch class that are submitted repeatedly.

    Attributes:
        class_name: Batch class in the contract.
        submit_interval_s: Seconds between two jobs; 0 for a single job at the
            start.
        part_count: Number of tasks without dependencies.
        final_task_name: Name of a task that depends on all parts, or empty.
        millicores: Cores of each task, in thousandths.
        memory_mib: Memory of each task.
        run_time_s: Declared run time of each task.
        is_watch: Whether the job is a watch, which runs until cancelled.
    """

    class_name: str
    submit_interval_s: float
    part_count: int
    final_task_name: str
    millicores: int
    memory_mib: int
    run_time_s: float
    is_watch: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and workload of one customer's deployment.

    Attributes:
        customer: Name of the customer and of its example folder.
        region: Region of all instances.
        group: Group of the entry instances.
        zones: Availability zones.
        entry_instances: Number of entry instances, spread over the zones.
        workers: Number of workers, spread over the zones; each has an
            executor.
        millicores: Cores of each worker, in thousandths.
        memory_mib: Memory of each worker.
        client_delay_s: One-way delay between callers and instances.
        zone_delay_s: One-way delay between availability zones.
        token: Bearer token of the customer's callers.
        flows: Streams of latency-critical requests.
        jobs: Batch jobs to submit.
    """

    customer: str
    region: str
    group: str
    zones: tuple[str, ...]
    entry_instances: int
    workers: int
    millicores: int
    memory_mib: int
    client_delay_s: float
    zone_delay_s: float
    token: str
    flows: tuple[RequestStream, ...]
    jobs: tuple[JobPattern, ...]

    def zone_of(self, number: int) -> str:
        """Returns the zone of the entry instance or worker with a number."""
        return self.zones[number % len(self.zones)]


KOWHAI = Deployment(
    customer="kowhai",
    region="aotearoa-south",
    group="south",
    zones=("dunedin", "christchurch", "invercargill"),
    entry_instances=8,
    workers=30,
    millicores=32_000,
    memory_mib=125_000,
    client_delay_s=0.001,
    zone_delay_s=0.001,
    token="kowhai-example-token",  # noqa: S106 - of the examples
    flows=(RequestStream("interviewer-check", True, 2.0, 50.0, 40.0),),
    jobs=(
        JobPattern("diary-day-coding", 1.0, 3, "", 2_000, 4_096, 2.0),
        JobPattern(
            "household-week-rollup", 4.0, 7, "rollup", 2_000, 4_096, 1.5
        ),
        JobPattern("panel-watch", 0.0, 6, "", 500, 512, 2_592_000.0, True),
    ),
)
"""Deployment of ``examples/kowhai``; its requests are idempotent."""

SIGNALWISE = Deployment(
    customer="signalwise",
    region="jamaica",
    group="island",
    zones=("kingston", "montego", "mandeville"),
    entry_instances=8,
    workers=25,
    millicores=64_000,
    memory_mib=250_000,
    client_delay_s=0.003,
    zone_delay_s=0.001,
    token="signalwise-example-token",  # noqa: S106 - of the examples
    flows=(
        RequestStream("signal-plan", True, 1.5, 40.0, 60.0),
        RequestStream("invoice-charge", False, 5.0, 4.0, 15.0),
    ),
    jobs=(
        JobPattern(
            "invoice-reconciliation", 2.0, 4, "summary", 4_000, 8_192, 1.5
        ),
        JobPattern(
            "standing-lights-watch", 0.0, 8, "", 250, 256, 2_592_000.0, True
        ),
    ),
)
"""Deployment of ``examples/signalwise``; its charges are not idempotent."""

ALL_DEPLOYMENTS = (KOWHAI, SIGNALWISE)
"""Deployments that the demo runs."""

"""Specification of a job: its steps and the tasks of each step."""

import dataclasses

MAX_TASKS_PER_JOB = 100_000
"""Largest number of tasks in one job; bounds the memory that a job can use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Amount of CPU, memory and accelerators, of an executor or a task.

    Attributes:
        cpu_millicores: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Number of accelerators.
    """

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        """Returns the sum of each resource."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Returns the difference of each resource, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def max_with(self, other: "Resources") -> "Resources":
        """Returns the larger amount of each resource."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def covers(self, other: "Resources") -> bool:
        """Returns whether this amount is enough for the other one."""
        return (
            self.cpu_millicores >= other.cpu_millicores
            and self.memory_mb >= other.memory_mb
            and self.gpus >= other.gpus
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StepSpec:
    """Specification of one step of a job: a number of equal tasks.

    A serving task answers requests of users and has a tail latency target. A
    filler uses only the CPU that other tasks leave unused.

    Attributes:
        count: Number of tasks.
        size: Resources that each task requests.
        estimate_s: Estimated duration of a task in seconds; may be far off.
        after: Numbers of earlier steps that must be completed first.
        checkpoints: Whether the tasks save checkpoints and can resume.
        gang: Whether the tasks make progress only while all of them run.
        same_rack: Whether the tasks run slower across racks.
        required_label: Label that the executor must have; empty for none.
        data_rack: Rack that stores the input data; empty for none.
        max_per_executor: Most tasks of the step on one executor; 0 for no
            limit.
        speculative: Whether copies of a task may run in parallel.
        runs_until_cancelled: Whether the tasks run until the job is cancelled.
        image: Image that the tasks run; tasks of one image behave alike.
        tail_target_ms: Tail latency target of a serving task, in ms; 0 if it
            has none.
        fills: Whether the tasks are fillers.
        may_be_away: Most tasks that planned maintenance may make unavailable at
            the same time.
    """

    count: int
    size: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_executor: int = 0
    speculative: bool = False
    runs_until_cancelled: bool = False
    image: str = ""
    tail_target_ms: int = 0
    fills: bool = False
    may_be_away: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether the tasks are serving tasks: have a tail latency target."""
        return self.tail_target_ms > 0

    @property
    def reserved_resources(self) -> Resources:
        """Resources that a task reserves on its executor.

        Fillers reserve no CPU, since they use what others leave unused.
        """
        if not self.fills:
            return self.size
        return Resources(0, self.size.memory_mb, self.size.gpus)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job as submitted.

    Attributes:
        payload: Text that is sent to the executor with each task start.
        steps: Steps of the job; a step's number is its index.
        repeat_count: Number of occurrences of a scheduled job; 0 for a job
            that runs once, at once.
        first_due_wall_s: Time at which occurrence 0 is due, in seconds since
            the Unix epoch.
        interval_s: Interval between two occurrences, in seconds.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repeat_count: int = 0
    first_due_wall_s: float = 0.0
    interval_s: float = 0.0

    @property
    def occurrence_count(self) -> int:
        """Number of times that all steps of the job run."""
        return max(1, self.repeat_count)

    @property
    def is_scheduled(self) -> bool:
        """Whether the job's occurrences start at due times."""
        return self.repeat_count > 0

    @property
    def has_lasting_step(self) -> bool:
        """Whether any step of the job runs until the job is cancelled."""
        return any(step.runs_until_cancelled for step in self.steps)

    def due_wall_s(self, occurrence: int) -> float:
        """Returns the due time of an occurrence, in Unix seconds; 0 if none."""
        if not self.is_scheduled:
            return 0.0
        return self.first_due_wall_s + occurrence * self.interval_s

    def due_count(self, wall_s: float) -> int:
        """Returns how many occurrences are due at a time.

        Args:
            wall_s: The time since the Unix epoch, in seconds.
        """
        if not self.is_scheduled:
            return 1
        passed_s = wall_s - self.first_due_wall_s
        if passed_s < 0:
            return 0
        if self.interval_s <= 0:
            return self.repeat_count
        count = min(self.repeat_count, int(passed_s / self.interval_s) + 1)
        # The quotient may be off by one occurrence, as it is rounded.
        while count < self.repeat_count and self.due_wall_s(count) <= wall_s:
            count += 1
        while count and self.due_wall_s(count - 1) > wall_s:
            count -= 1
        return count

    def critical_path_s(self) -> float:
        """Returns the estimated duration of the critical path, in seconds.

        The critical path is the longest chain of steps that wait for each
        other.
        """
        end_by_step: list[float] = []
        for step in self.steps:
            begin = max((end_by_step[each] for each in step.after), default=0.0)
            end_by_step.append(begin + step.estimate_s)
        return max(end_by_step, default=0.0)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Identifier of one task of a job.

    Attributes:
        job: Id of the job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        index: Number of the task in the step, from 0.
    """

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Returns ``job/occurrence.step.index``, as shown in logs."""
        return f"{self.job}/{self.occurrence}.{self.step}.{self.index}"

"""Jobs in memory: what waits, what runs, what is done."""

import dataclasses

from basiljunction.state.workload import _configuration
from basiljunction.state.workload import _job_spec
from basiljunction.state.workload import _progress


@dataclasses.dataclass(slots=True)
class Bag:
    """Waiting tasks of one step of one occurrence.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        ready_s_by_index: Waiting tasks and when each may start.
    """

    occurrence: int
    step: int
    ready_s_by_index: dict[int, float]


@dataclasses.dataclass(slots=True)
class Job:
    """One job.

    Attributes:
        accepted: As stored.
        queue: The queue as it was configured when it was seen last.
        progress: Noted facts.
        arrived_s: Arrival on this scheduler's steady clock.
        is_stored: Whether its acceptance is stored.
        is_inherited: Whether a predecessor may have started tasks of it.
        bag_by_step: Waiting tasks by occurrence and step.
        opened: Steps whose tasks wait or did wait.
        running: Tasks that have a run.
        has_begun: Whether any task has started.
        done_count_by_step: Tasks that ended well, by occurrence and step.
        failed_on_by_place: Executors on which each task has failed, as far as
            this scheduler knows.
        rate_by_place: Executor and newest rate of each task, in percent of its
            work per second.
    """

    accepted: _progress.AcceptedJob
    queue: _configuration.Queue
    progress: _progress.Progress
    arrived_s: float
    is_stored: bool = False
    is_inherited: bool = False
    bag_by_step: dict[tuple[int, int], Bag] = dataclasses.field(
        default_factory=dict
    )
    opened: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    running: set[_progress.Place] = dataclasses.field(default_factory=set)
    has_begun: bool = False
    done_count_by_step: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    failed_on_by_place: dict[_progress.Place, set[str]] = dataclasses.field(
        default_factory=dict
    )
    rate_by_place: dict[_progress.Place, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def id(self) -> str:
        """The job's id."""
        return self.accepted.id

    @property
    def spec(self) -> _job_spec.JobSpec:
        """What was asked for."""
        return self.accepted.spec

    @property
    def is_active(self) -> bool:
        """Whether tasks of it may start."""
        return self.is_stored and not self.progress.state.is_final

    @property
    def objective_s(self) -> float:
        """Time from arrival within which it earns its full worth."""
        chain_s = self.spec.longest_chain_s()
        return self.queue.stretch * chain_s + self.queue.target_latency_s

    def open_steps(self, now_s: float, wall_s: float) -> None:
        """Puts the tasks into bags whose time and turn have come."""
        for occurrence in range(self.spec.occurrences):
            if self.spec.due_wall_s(occurrence) > wall_s:
                break
            for number, step in enumerate(self.spec.steps):
                key = (occurrence, number)
                if key not in self.opened and self._may_open(occurrence, step):
                    self._open(key, step, now_s)

    def _may_open(self, occurrence: int, step: _job_spec.StepSpec) -> bool:
        return all(
            self.done_count_by_step.get((occurrence, each), 0)
            >= self.spec.steps[each].count
            for each in step.after
        )

    def _open(
        self, key: tuple[int, int], step: _job_spec.StepSpec, now_s: float
    ) -> None:
        self.opened.add(key)
        waiting = {
            index: now_s
            for index in range(step.count)
            if (*key, index) not in self.progress.done
            and (*key, index) not in self.running
        }
        if waiting:
            self.bag_by_step[key] = Bag(*key, waiting)

    def put_back(
        self, place: _progress.Place, now_s: float, delay_s: float = 0.0
    ) -> None:
        """Lets a task wait again."""
        key = place[:2]
        bag = self.bag_by_step.get(key)
        if bag is None:
            bag = self.bag_by_step[key] = Bag(*key, {})
        bag.ready_s_by_index[place[2]] = now_s + delay_s

    def take(self, place: _progress.Place) -> None:
        """Takes a task out of the waiting ones, if it is there."""
        bag = self.bag_by_step.get(place[:2])
        if bag is None:
            return
        bag.ready_s_by_index.pop(place[2], None)
        if not bag.ready_s_by_index:
            del self.bag_by_step[place[:2]]

    def note_done(self, place: _progress.Place) -> bool:
        """Notes a task as done; returns whether that was new."""
        if place in self.progress.done:
            return False
        self.progress.done.add(place)
        self.progress.checkpoint_by_place.pop(place, None)
        key = place[:2]
        self.done_count_by_step[key] = self.done_count_by_step.get(key, 0) + 1
        return True

    def is_complete(self) -> bool:
        """Returns whether every task of every occurrence is done."""
        wanted = sum(step.count for step in self.spec.steps)
        return len(self.progress.done) >= wanted * self.spec.occurrences


def restored(
    accepted: _progress.AcceptedJob,
    progress: _progress.Progress,
    *,
    now_s: float,
    wall_s: float,
) -> Job:
    """Returns a job as a predecessor stored it."""
    age_s = max(0.0, wall_s - accepted.accepted_wall_s)
    job = Job(
        accepted=accepted,
        queue=accepted.queue,
        progress=progress,
        arrived_s=now_s - age_s,
        is_stored=True,
        is_inherited=True,
    )
    for place in progress.done:
        key = place[:2]
        job.done_count_by_step[key] = job.done_count_by_step.get(key, 0) + 1
    return job

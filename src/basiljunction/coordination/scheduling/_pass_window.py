"""Chooses which waiting steps a placement pass looks at.

There may be many thousands of waiting steps that fit nowhere. A pass that
looked at all of them would hold up answers and the renewal of the term.
"""

from collections.abc import Iterable

from basiljunction.coordination.scheduling import _jobs
from basiljunction.coordination.scheduling import _waiting_tasks

MAX_STEPS_PER_PASS = 400
"""Most waiting steps that a placement pass looks at.

At some 30 us each they delay other events by 12 ms, as the starts of a pass do.
"""

JobSteps = tuple[_jobs.Job, list[_waiting_tasks.WaitingTasks]]
"""A job, and those of its steps with waiting tasks that a pass looks at."""


class PassWindow:
    """The steps that one pass looks at, and where the next one goes on.

    Half of them are the first in order of rank, in each pass. The other half
    goes on where the pass before stopped, so that each step gets its turn.

    Attributes:
        skipped_count: Number of waiting steps that the last pass left out.
        unseen_count: Number of those that no pass has looked at since the last
            change.
    """

    def __init__(self) -> None:
        self.skipped_count = 0
        self.unseen_count = 0
        self._next_step = 0

    def choose(
        self, jobs: Iterable[_jobs.Job], *, has_changed: bool
    ) -> list[JobSteps]:
        """Returns the steps to look at, by job, in order of rank.

        Args:
            jobs: The jobs with waiting tasks, in order of rank.
            has_changed: Whether any step may fit since the last pass that did
                not before.
        """
        chosen = [
            (job, list(job.waiting_tasks_by_step.values())) for job in jobs
        ]
        count = sum(len(steps) for _, steps in chosen)
        self.skipped_count = max(0, count - MAX_STEPS_PER_PASS)
        if not self.skipped_count:
            self.unseen_count = 0
            return chosen
        first_count = MAX_STEPS_PER_PASS // 2
        if not first_count <= self._next_step < count:
            self._next_step = first_count
        stop = min(count, self._next_step + MAX_STEPS_PER_PASS - first_count)
        if has_changed:
            self.unseen_count = count - first_count
        looked_at = stop - self._next_step
        self.unseen_count = max(0, self.unseen_count - looked_at)
        windows = ((0, first_count), (self._next_step, stop))
        self._next_step = stop
        return [
            part for window in windows for part in _cut_out(chosen, *window)
        ]


def _cut_out(
    steps_by_job: list[JobSteps], start: int, stop: int
) -> list[JobSteps]:
    """Returns the steps from one place up to another, counted over all jobs."""
    parts = []
    place = 0
    for job, steps in steps_by_job:
        part = steps[max(0, start - place) : max(0, stop - place)]
        if part:
            parts.append((job, part))
        place += len(steps)
    return parts

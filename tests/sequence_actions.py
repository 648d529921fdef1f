"""What happens to a rig in a drawn sequence, each a value to be printed."""

import abc
import dataclasses

import cell_rig
import workload_builders as build


class Action(abc.ABC):
    """Something that happens to the rig."""

    @abc.abstractmethod
    def apply(self, rig: cell_rig.CellRig) -> None:
        """Lets it happen."""

    @property
    def duration_s(self) -> float:
        """Virtual time that it takes, in seconds."""
        return 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submit(Action):
    """A client submits a job.

    Attributes:
        number: Number of the job, from 1.
        count: Number of tasks of its first step.
        lasts: Whether its tasks run until it is cancelled.
        gang: Whether its tasks run only together.
        speculative: Whether copies of its tasks may run in parallel.
        dependent_count: Number of tasks of a step after the first; 0 for none.
    """

    number: int
    count: int
    lasts: bool = False
    gang: bool = False
    speculative: bool = False
    dependent_count: int = 0

    def apply(self, rig: cell_rig.CellRig) -> None:
        steps = [
            build.step_spec(
                count=self.count,
                runs_until_cancelled=self.lasts,
                gang=self.gang,
                speculative=self.speculative,
            )
        ]
        if self.dependent_count:
            steps.append(
                build.step_spec(count=self.dependent_count, after=(0,))
            )
        rig.submit(build.accepted_job(*steps, job_id=_job_id(self.number)))


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel(Action):
    """A client cancels a job.

    Attributes:
        number: Number of the job.
    """

    number: int

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return _job_id(self.number)

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.cancel(self.job_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Restart(Action):
    """An executor restarts under its id.

    Attributes:
        executor: Its id.
    """

    executor: str

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.executor_by_id[self.executor].restart()


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff(Action):
    """An executor is cut off from the scheduler.

    Attributes:
        executor: Its id.
    """

    executor: str

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.executor_by_id[self.executor].is_answering = False


@dataclasses.dataclass(frozen=True, slots=True)
class Return(Action):
    """An executor that was cut off is back.

    Attributes:
        executor: Its id.
    """

    executor: str

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.executor_by_id[self.executor].is_answering = True


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOver(Action):
    """Another scheduler takes over without warning.

    Attributes:
        earlier_goes_on_s: Time for which the scheduler before goes on beside
            it, in seconds.
        recovery_s: Time that it needs to read the store, in seconds.
    """

    recovery_s: float = 0.0
    earlier_goes_on_s: float = 0.0

    def apply(self, rig: cell_rig.CellRig) -> None:
        if self.earlier_goes_on_s:
            rig.take_over_beside_earlier(
                self.earlier_goes_on_s, self.recovery_s
            )
        else:
            rig.take_over(recovery_s=self.recovery_s)

    @property
    def duration_s(self) -> float:
        return self.recovery_s


@dataclasses.dataclass(frozen=True, slots=True)
class Resign(Action):
    """The scheduler resigns in favor of another."""

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.resign()


@dataclasses.dataclass(frozen=True, slots=True)
class SetStore(Action):
    """The store stops or goes on.

    Attributes:
        is_up: Whether it is at work from now on.
    """

    is_up: bool

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.store_is_up = self.is_up


@dataclasses.dataclass(frozen=True, slots=True)
class SetRefusal(Action):
    """An executor begins or ceases to refuse starts for lack of capacity.

    Attributes:
        executor: Its id.
        refuses: Whether it refuses them from now on.
    """

    executor: str
    refuses: bool

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.executor_by_id[self.executor].refuses_for_capacity = self.refuses


@dataclasses.dataclass(frozen=True, slots=True)
class SetNoise(Action):
    """Orders begin or cease to be late or to lose their answers.

    Attributes:
        delayed_share: Share of the orders that are delayed from now on.
        lost_share: Share of the orders whose answer is lost.
        late_confirmed_share: Share of the batches that are confirmed late.
    """

    delayed_share: float = 0.0
    lost_share: float = 0.0
    late_confirmed_share: float = 0.0

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.delayed_share = self.delayed_share
        rig.lost_share = self.lost_share
        rig.late_confirmed_share = self.late_confirmed_share


def _job_id(number: int) -> str:
    return f"{number:016x}"

"""Planned work and losses for good in a drawn sequence of a rig."""

import dataclasses

import cell_rig
import newcomers
import sequence_actions
import workload_builders as build


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver(sequence_actions.Action):
    """The scheduler resigns, as planned, in favor of another.

    Attributes:
        recovery_s: Time that the other needs to read the store, in seconds.
    """

    recovery_s: float = 0.0

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.resign(self.recovery_s)

    @property
    def duration_s(self) -> float:
        return self.recovery_s


@dataclasses.dataclass(frozen=True, slots=True)
class TakeOverByNewcomer(sequence_actions.Action):
    """The scheduler is lost, and one takes over that has not been there long.

    Attributes:
        age_s: Time for which it has been there, in seconds.
        is_added: Whether it has been added then; else it has started again.
        recovery_s: Time that it needs to read the store, in seconds.
    """

    age_s: float
    is_added: bool
    recovery_s: float = 0.0

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.take_over(
            self.recovery_s,
            newcomer=newcomers.Newcomer(rig.now_s - self.age_s, self.is_added),
        )

    @property
    def duration_s(self) -> float:
        return self.recovery_s


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(sequence_actions.Action):
    """An executor announces its exit.

    Attributes:
        executor: Its id.
        notice_s: Time until the exit, in seconds.
    """

    executor: str
    notice_s: float

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.drain_executor(self.executor, self.notice_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Lose(sequence_actions.Action):
    """An executor is lost for good, without any notice.

    Attributes:
        executor: Its id.
    """

    executor: str

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.lose_executor(self.executor)


@dataclasses.dataclass(frozen=True, slots=True)
class Add(sequence_actions.Action):
    """An executor is added.

    Attributes:
        executor: Its id.
    """

    executor: str

    def apply(self, rig: cell_rig.CellRig) -> None:
        rig.add_executor(build.executor_entry(self.executor))

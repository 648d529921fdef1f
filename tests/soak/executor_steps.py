"""Steps of a soak's plan that concern executors."""

from collections.abc import Callable
import time

from soak import executors as soak_executors
from soak import fleet as soak_fleet
from soak import steps as soak_steps

MIN_READY = 3
"""Least number of executors that take tasks before one may end."""


class ExecutorSteps:
    """Begins steps that concern executors.

    Args:
        fleet: The executors.
        call_at: Calls an action at a steady time.
        note: Adds what is done to the log.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        call_at: Callable[[float, Callable[[], object]], None],
        note: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._call_at = call_at
        self._note = note

    def begin(self, step: soak_steps.Step) -> bool:
        """Begins a step; returns whether it concerns executors."""
        match step.kind:
            case soak_steps.Kind.JOIN:
                self._fleet.join()
            case soak_steps.Kind.LEAVE | soak_steps.Kind.CRASH:
                self._end(step)
            case soak_steps.Kind.RESTART_EXECUTOR:
                self._restart(step)
            case soak_steps.Kind.SHRINK:
                self._shrink(step)
            case soak_steps.Kind.CUT:
                self._cut_at_start(step)
            case soak_steps.Kind.LATE_ORDERS:
                self._delay_orders(step)
            case _:
                return False
        return True

    def _choose(
        self, step: soak_steps.Step
    ) -> soak_executors.SoakExecutor | None:
        """Returns the executor of a step, if there is one that takes tasks."""
        ready = self._fleet.list_ready()
        return ready[step.target % len(ready)] if ready else None

    def _end(self, step: soak_steps.Step) -> None:
        """Lets the oldest executor leave, or one crash and be reborn."""
        ready = self._fleet.list_ready()
        if len(ready) < MIN_READY:
            return
        end_s = time.monotonic() + step.lasts_s
        if step.kind is soak_steps.Kind.LEAVE:
            self._fleet.announce_leave(ready[0], end_s)
            self._note(f"{ready[0].id} leaves in {step.lasts_s:.2f} s")
            self._call_at(end_s, lambda: self._fleet.leave(ready[0]))
            return
        victim = ready[step.target % len(ready)]
        self._note(f"{victim.id} crashes for {step.lasts_s:.2f} s")
        self._fleet.crash(victim)
        self._expire_later(victim)
        self._call_at(end_s, lambda: self._fleet.rebirth(victim))

    def _expire_later(self, executor: soak_executors.SoakExecutor) -> None:
        """Removes the entry of an executor unless it is back in time."""
        self._call_at(
            time.monotonic() + soak_fleet.ENTRY_EXPIRY_S,
            lambda: self._fleet.expire_entry(executor),
        )

    def _restart(self, step: soak_steps.Step) -> None:
        """Restarts an executor under its id and address, then cuts it off."""
        victim = self._choose(step)
        if victim is None or not self._fleet.crash_for_restart(
            victim, is_silent=step.is_silent
        ):
            return
        self._note(
            f"{victim.id} restarts in {step.lasts_s:.2f} s, cut: {step.cut}"
        )
        self._call_at(
            time.monotonic() + step.lasts_s,
            lambda: self._start_next(victim, step),
        )

    def _start_next(
        self, victim: soak_executors.SoakExecutor, step: soak_steps.Step
    ) -> None:
        """Starts the next incarnation of an executor."""
        born = self._fleet.restart(
            victim, int(soak_executors.CAPACITY_CPU * step.left_share)
        )
        self._note(f"{born.id} has restarted at {born.born_ms}")
        cut = step.cut
        born.late_orders.begin(
            step.late_share,
            cut.after_s if cut is not None else step.lasts_s,
            spares_others=step.spares_others,
        )
        if cut is not None:
            self._call_at(
                time.monotonic() + cut.after_s,
                lambda: self._cut_off(born, cut),
            )

    def _cut_off(
        self, executor: soak_executors.SoakExecutor, cut: soak_steps.Cut
    ) -> None:
        """Cuts an executor off for a time, if it still runs."""
        if executor.is_gone:
            return
        self._note(f"{executor.id} is cut off for {cut.lasts_s:.2f} s")
        self._fleet.cut_off(
            executor, is_silent=cut.is_silent, from_store=cut.from_store
        )
        if cut.from_store:
            self._expire_later(executor)
        self._call_at(
            time.monotonic() + cut.lasts_s, lambda: self._mend(executor)
        )

    def _mend(self, executor: soak_executors.SoakExecutor) -> None:
        """Ends the cut of an executor."""
        self._note(f"{executor.id} is no longer cut off")
        self._fleet.mend(executor)

    def _shrink(self, step: soak_steps.Step) -> None:
        """Lets an executor shrink and grow again later."""
        victim = self._choose(step)
        if victim is None:
            return
        left_cpu = int(soak_executors.CAPACITY_CPU * step.left_share)
        self._note(
            f"{victim.id} shrinks to {left_cpu} for {step.lasts_s:.2f} s"
        )
        self._fleet.resize(victim, left_cpu)
        self._call_at(
            time.monotonic() + step.lasts_s,
            lambda: self._fleet.resize(victim, soak_executors.CAPACITY_CPU),
        )

    def _cut_at_start(self, step: soak_steps.Step) -> None:
        """Lets an executor lose its next start and refuse connections."""
        victim = self._choose(step)
        if victim is not None:
            self._note(
                f"{victim.id} is cut for {step.lasts_s:.2f} s at a start"
            )
            victim.cut_at_next_start(step.lasts_s)

    def _delay_orders(self, step: soak_steps.Step) -> None:
        """Lets an executor give no answer and carry orders out later."""
        victim = self._choose(step)
        if victim is not None:
            self._note(
                f"{victim.id} carries out {step.late_share:.2f} of its orders"
                f" late for {step.lasts_s:.2f} s"
            )
            victim.late_orders.begin(
                step.late_share,
                step.lasts_s,
                spares_renewals=step.spares_renewals,
            )

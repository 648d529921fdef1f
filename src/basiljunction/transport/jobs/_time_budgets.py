"""Sums of the waits between a cause and its effect, and their bounds.

Rules of the deployment bound the time between a cause and its effect. Several
waits can lie between the two, each with a constant or a setting of its own. A
budget sums them, so that a sum that passes its bound is seen.
"""

import dataclasses
import types

import structlog

from basiljunction.platform import _settings as platform_settings
from basiljunction.protocol import _instance_settings

_log = structlog.get_logger()

_PACKAGE_PREFIX = f"{__name__.partition('.')[0]}."

_ROUNDING_S = 1e-9
"""Difference that the rounding of sums may make, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """One wait of a chain.

    Attributes:
        name: What is waited for.
        seconds: Longest time of the wait, in seconds.
        sources: The constants and settings that it follows from.
    """

    name: str
    seconds: float
    sources: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The longest time that a chain may take.

    Attributes:
        names: Names of the bounds in the settings that it consists of.
        fixed_s: What the rules add to them, in seconds.
    """

    names: tuple[str, ...] = ()
    fixed_s: float = 0.0

    def seconds(
        self, settings: _instance_settings.InstanceSettings
    ) -> float | None:
        """Returns the bound in seconds; None if a setting of it is missing."""
        bound_s_by_name = settings.bound_s_by_name
        if any(name not in bound_s_by_name for name in self.names):
            return None
        return self.fixed_s + sum(bound_s_by_name[name] for name in self.names)

    @property
    def setting(self) -> str:
        """The settings that it consists of; empty if the rules fix it."""
        keys = [platform_settings.KEY_BY_BOUND[name] for name in self.names]
        return " + ".join(keys)


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """The chain of waits between a cause and its effect, and its bound.

    Attributes:
        name: The effect, and what causes it.
        bound: The longest time that the chain may take.
        bound_s: That time in seconds; None if the settings don't tell it.
        waits: The waits, in order.
        losses: What one loss more adds each.
    """

    name: str
    bound: Bound
    bound_s: float | None
    waits: tuple[Wait, ...]
    losses: tuple[Wait, ...] = ()

    @property
    def sum_s(self) -> float:
        """The sum of the waits, in seconds."""
        return sum(each.seconds for each in self.waits)

    @property
    def room_s(self) -> float:
        """What the bound leaves, in seconds; negative if it is passed."""
        bound_s = float("inf") if self.bound_s is None else self.bound_s
        return bound_s - self.sum_s

    @property
    def is_kept(self) -> bool:
        """Whether the sum is within the bound."""
        return self.room_s >= -_ROUNDING_S

    def describe(self) -> str:
        """Returns the chain with the source of each wait, and its bound."""
        chain = " + ".join(
            f"{each.name} {each.seconds:.3f} s ({', '.join(each.sources)})"
            for each in self.waits
        )
        return (
            f"{self.name}: {chain} = {self.sum_s:.3f} s, bound"
            f" {self.bound.setting or 'of the rules'} {self.bound_s} s"
        )


def make_budget(
    settings: _instance_settings.InstanceSettings,
    name: str,
    bound: Bound,
    waits: tuple[Wait, ...],
    losses: tuple[Wait, ...] = (),
) -> Budget:
    """Returns a budget with the bound that the settings give."""
    return Budget(name, bound, bound.seconds(settings), waits, losses)


def constant(
    name: str, module: types.ModuleType, constant_name: str, times: float = 1.0
) -> Wait:
    """Returns a wait that lasts as long as a constant says.

    Args:
        name: What is waited for.
        module: Module that holds the constant.
        constant_name: Name of the constant, in seconds.
        times: Factor of the constant.
    """
    return Wait(
        name,
        times * float(getattr(module, constant_name)),
        (source(module, constant_name),),
    )


def source(module: types.ModuleType, constant_name: str) -> str:
    """Returns where a constant is in the code."""
    path = module.__name__.removeprefix(_PACKAGE_PREFIX).replace(".", "/")
    return f"{path}.py {constant_name}"


def join(name: str, *waits: Wait) -> Wait:
    """Returns several waits in a row as one."""
    return Wait(
        name,
        sum(each.seconds for each in waits),
        tuple(dict.fromkeys(text for each in waits for text in each.sources)),
    )


def report(
    settings: _instance_settings.InstanceSettings, budgets: tuple[Budget, ...]
) -> None:
    """Logs each bound of the settings that can't be kept to.

    Bounds that the rules fix are the same in each deployment and are not
    logged.
    """
    for each in settings.bounds_out_of_range:
        _log.warning(
            "settings.bound-out-of-range",
            setting=each.setting,
            value=each.value,
            expected=each.expected,
        )
    for budget in budgets:
        if budget.is_kept or not budget.bound.names:
            continue
        _log.warning(
            "settings.bound-not-kept",
            setting=budget.bound.setting,
            bound_s=budget.bound_s,
            needed_s=round(budget.sum_s, 3),
            chain=budget.name,
            longest_wait=max(budget.waits, key=lambda wait: wait.seconds).name,
        )

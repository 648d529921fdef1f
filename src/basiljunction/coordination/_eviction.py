"""Chooses the attempts to evict so that the least work is lost."""

from collections.abc import Iterable
from collections.abc import Sequence

from basiljunction.coordination import _batch_model
from basiljunction.state import _job

RESTART_COST_CORE_S = 10.0
"""Cost of any eviction in addition to unsaved work, in core-seconds."""

CHECKPOINT_SUCCESS_PROBABILITY = 0.8
"""Probability that a checkpoint completes before the attempt is stopped."""


def expected_loss_core_s(attempt: _batch_model.Attempt) -> float:
    """Returns the expected loss from evicting an attempt, in core-seconds."""
    unsaved = attempt.unsaved_core_s * (1 - CHECKPOINT_SUCCESS_PROBABILITY)
    return RESTART_COST_CORE_S + unsaved


def sort_by_expected_loss(
    attempts: Iterable[_batch_model.Attempt],
) -> list[_batch_model.Attempt]:
    """Sorts attempts by expected loss, lowest first.

    Attempts of gangs come after single ones, as stopping one task stops the
    whole gang. Standing watches come last whatever they would lose.
    """
    return sorted(
        attempts,
        key=lambda attempt: (
            attempt.is_standing,
            bool(attempt.gang_key),
            expected_loss_core_s(attempt),
            attempt.ref.task_id,
        ),
    )


def choose_victims(
    attempts: Sequence[_batch_model.Attempt], needed: _job.ResourceDemand
) -> list[_batch_model.Attempt]:
    """Returns the attempts to evict so that enough resources become free.

    A single attempt that frees enough is preferred to several that lose more
    in total. If all together do not free enough, all are returned.

    Args:
        attempts: Attempts that may be evicted.
        needed: Resources that have to become free.
    """
    ordered = sort_by_expected_loss(attempts)
    victims: list[_batch_model.Attempt] = []
    for attempt in ordered:
        if _frees_enough(victims, needed):
            break
        victims.append(attempt)
    total = sum(expected_loss_core_s(victim) for victim in victims)
    for attempt in ordered:
        is_alike = attempt.is_standing <= any(v.is_standing for v in victims)
        cheaper = expected_loss_core_s(attempt) < total
        if is_alike and cheaper and _frees_enough([attempt], needed):
            return [attempt]
    return _drop_redundant_victims(victims, needed)


def _drop_redundant_victims(
    victims: list[_batch_model.Attempt], needed: _job.ResourceDemand
) -> list[_batch_model.Attempt]:
    """Returns the victims without those that larger ones made unnecessary."""
    kept = list(victims)
    for victim in sort_by_expected_loss(victims)[::-1]:
        rest = [each for each in kept if each is not victim]
        if rest and _frees_enough(rest, needed):
            kept = rest
    return kept


def _frees_enough(
    victims: Sequence[_batch_model.Attempt], needed: _job.ResourceDemand
) -> bool:
    """Returns whether the victims' reservations cover the needed resources."""
    freed = [victim.reserved for victim in victims]
    return (
        sum(each.millicores for each in freed) >= needed.millicores
        and sum(each.memory_mib for each in freed) >= needed.memory_mib
        and sum(each.accelerators for each in freed) >= needed.accelerators
    )

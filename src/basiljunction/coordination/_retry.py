"""Classifies outcomes by whether they may be retried; limits retries."""

import dataclasses

from basiljunction.state import _outcomes

MAX_TRIES = 3
"""Maximum number of attempts, the first one included."""

MAX_BUDGET_TOKENS = 10.0
"""Maximum number of retries that a budget can save up."""

_FREE_RETRY_REASONS = frozenset(
    {
        _outcomes.Reason.LEASE_LAPSED,
        _outcomes.Reason.NOT_OWNER,
        _outcomes.Reason.NOT_READY,
        _outcomes.Reason.LEAVING,
    }
)
"""Refusals by the owner's state, not by load; retried without budget."""

_BUDGETED_RETRY_REASONS = frozenset(
    {
        _outcomes.Reason.OVERLOADED,
        _outcomes.Reason.DEADLINE_UNREACHABLE,
        _outcomes.Reason.CONNECT_FAILED,
        _outcomes.Reason.REFUSED_BY_PEER,
    }
)
"""Refusals and failures whose retries add load, so they need budget."""

_UNREACHABLE_REASONS = frozenset(
    {_outcomes.Reason.LEASE_LAPSED, _outcomes.Reason.CONNECT_FAILED}
)
"""Reasons for which an owner is avoided for a while."""


def is_free_to_retry(outcome: _outcomes.Outcome) -> bool:
    """Whether a request may be retried at another owner without budget.

    This holds if it was never sent, or was refused because of the owner's state
    rather than its load.
    """
    if not isinstance(outcome, _outcomes.NotRun):
        return False
    if outcome.step is _outcomes.Step.FORWARD:
        return True
    return outcome.reason in _FREE_RETRY_REASONS


def is_retryable_on_budget(outcome: _outcomes.Outcome) -> bool:
    """Whether a request may be retried at another owner if the budget allows.

    An unknown outcome may be retried for idempotent requests only; the caller
    has to check that.
    """
    if isinstance(outcome, _outcomes.NotRun):
        return outcome.reason in _BUDGETED_RETRY_REASONS
    return isinstance(outcome, _outcomes.Unknown)


def is_retryable_before_intent(outcome: _outcomes.Outcome) -> bool:
    """Whether a non-idempotent request can be retried at another owner.

    It can if it ended before its intent was opened. Later its idempotency key
    stays taken until the release is read back from the log, so another owner
    would refuse it.
    """
    if not isinstance(outcome, _outcomes.NotRun):
        return False
    steps = {_outcomes.Step.FORWARD, _outcomes.Step.OWNER_ADMIT}
    return outcome.step in steps and (
        is_free_to_retry(outcome) or is_retryable_on_budget(outcome)
    )


def is_owner_unreachable(outcome: _outcomes.Outcome) -> bool:
    """Whether an outcome means that its owner should be avoided for a while."""
    if not isinstance(outcome, _outcomes.NotRun):
        return False
    return outcome.reason in _UNREACHABLE_REASONS


@dataclasses.dataclass(slots=True)
class _RetryBudget:
    """A token bucket of retries.

    Attributes:
        tokens: Retries that may be made now; a fraction is carried over.
    """

    tokens: float = MAX_BUDGET_TOKENS


class RetryBudgets:
    """Retry budget for each customer's work class, filled by first attempts.

    If most first attempts fail, the retries are limited to the budgeted
    fraction of them, so that a failing fleet does not get a multiple of its
    load.
    """

    def __init__(self) -> None:
        """Initializes without budgets; each is full at its first use."""
        self._budget_by_class: dict[tuple[str, str], _RetryBudget] = {}

    def credit_first_attempt(
        self, class_key: tuple[str, str], fraction: float
    ) -> None:
        """Adds the retries that one first attempt earns to a budget.

        Args:
            class_key: Customer and class name.
            fraction: Retries allowed per first attempt.
        """
        budget = self._budget_by_class.setdefault(class_key, _RetryBudget())
        budget.tokens = min(MAX_BUDGET_TOKENS, budget.tokens + fraction)

    def try_spend_retry(self, class_key: tuple[str, str]) -> bool:
        """Spends one retry; returns False if the budget does not allow it."""
        budget = self._budget_by_class.setdefault(class_key, _RetryBudget())
        if budget.tokens < 1.0:
            return False
        budget.tokens -= 1.0
        return True

    def retain_classes(self, class_keys: set[tuple[str, str]]) -> None:
        """Drops the budgets of all classes but the given ones."""
        for class_key in self._budget_by_class.keys() - class_keys:
            del self._budget_by_class[class_key]

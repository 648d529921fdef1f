"""Executors that an outside policy approves for a step.

Load pattern: the policy answers slowly, the longer the more executors it is
asked about, and takes one question at a time; what it approves for a step never
changes, but each approval may be used for a short time only. So a step asks
only about executors with room for it, never twice about one that was not
approved, and few questions wait at a time, so that the most urgent step asks
next.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from basiljunction.coordination.scheduling import _executors
from basiljunction.coordination.scheduling import _orders

MAX_ASKED = 30
"""Executors of one question: as many as a job's objective allows time for."""

MAX_IN_FLIGHT = 2
"""Questions at a time: one is worked on while the next one travels."""

USE_MARGIN_S = 0.3
"""Time that an approval has to be left for the start order to arrive."""

RETRY_S = 0.2
"""Wait after a question without an answer."""

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Approved:
    """An approval of one executor for one step.

    Attributes:
        proof: Goes along with each start.
        until_s: When it can be used no more.
        born_ms: Life of the executor that it holds for.
    """

    proof: str
    until_s: float
    born_ms: int


@dataclasses.dataclass(slots=True)
class _StepApprovals:
    """What is known for one step.

    Attributes:
        asked: Executors that the policy has decided on.
        approved_by_executor: Approvals, also those that ran out.
        asked_s: When the question in flight was sent; None if none is.
        next_s: No question is sent before this time.
    """

    asked: set[str] = dataclasses.field(default_factory=set)
    approved_by_executor: dict[str, _Approved] = dataclasses.field(
        default_factory=dict
    )
    asked_s: float | None = None
    next_s: float = 0.0


class Approvals:
    """Keeps the approvals of all steps and decides what to ask next."""

    def __init__(self) -> None:
        self._by_step: dict[StepKey, _StepApprovals] = {}

    def usable(
        self,
        key: StepKey,
        executors: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> list[_executors.ExecutorState]:
        """Returns the executors that may run the step now."""
        return [each for each in executors if self.proof(key, each, now_s)]

    def proof(
        self, key: StepKey, executor: _executors.ExecutorState, now_s: float
    ) -> str:
        """Returns what proves an approval; empty if there is none now."""
        known = self._by_step.get(key)
        if known is None:
            return ""
        approved = known.approved_by_executor.get(executor.entry.id)
        if approved is None or approved.born_ms != executor.born_ms:
            return ""
        return approved.proof if now_s < approved.until_s else ""

    def ask(
        self,
        key: StepKey,
        candidates: Iterable[_executors.ExecutorState],
        now_s: float,
    ) -> _orders.ApprovalOrder | None:
        """Returns the next question of a step, or None.

        Args:
            key: The step.
            candidates: Executors with room for it, best first.
            now_s: The time.
        """
        known = self._by_step.setdefault(key, _StepApprovals())
        if known.asked_s is not None or now_s < known.next_s:
            return None
        if self._in_flight() >= MAX_IN_FLIGHT:
            return None
        wanted = [
            each.entry.id
            for each in candidates
            if not self.proof(key, each, now_s)
            and (
                each.entry.id not in known.asked
                or each.entry.id in known.approved_by_executor
            )
        ]
        if not wanted:
            return None
        known.asked_s = now_s
        return _orders.ApprovalOrder(*key, tuple(wanted[:MAX_ASKED]))

    def _in_flight(self) -> int:
        return sum(each.asked_s is not None for each in self._by_step.values())

    def answered(
        self,
        order: _orders.ApprovalOrder,
        proof_by_executor: Mapping[str, str],
        born_ms_by_executor: Mapping[str, int],
        *,
        validity_s: float,
        now_s: float,
    ) -> None:
        """Takes the policy's answer.

        Args:
            order: What was asked.
            proof_by_executor: Proofs of the approved executors.
            born_ms_by_executor: Lives of the known executors.
            validity_s: How long the proofs hold, from the question on.
            now_s: The time.
        """
        known = self._by_step.get((order.job, order.occurrence, order.step))
        if known is None:
            return
        asked_s = now_s if known.asked_s is None else known.asked_s
        known.asked_s = None
        known.asked.update(order.executors)
        for executor, proof in proof_by_executor.items():
            known.approved_by_executor[executor] = _Approved(
                proof,
                asked_s + validity_s - USE_MARGIN_S,
                born_ms_by_executor.get(executor, 0),
            )

    def failed(self, order: _orders.ApprovalOrder, now_s: float) -> None:
        """Takes the lack of an answer."""
        known = self._by_step.get((order.job, order.occurrence, order.step))
        if known is not None:
            known.asked_s = None
            known.next_s = now_s + RETRY_S

    def rejected(self, key: StepKey, executor: str) -> None:
        """Takes note that an executor did not accept a proof."""
        known = self._by_step.get(key)
        if known is None:
            return
        approved = known.approved_by_executor.get(executor)
        if approved is not None:
            known.approved_by_executor[executor] = dataclasses.replace(
                approved, until_s=0.0
            )

    def forget(self, job_id: str) -> None:
        """Drops what is known of a job's steps."""
        for key in [each for each in self._by_step if each[0] == job_id]:
            del self._by_step[key]

"""Callers and operators of a cell: what they ask and what they are told."""

from concurrent import futures
import dataclasses
import random
from typing import Any

from basiljunction.coordination import _urgent_request
from basiljunction.state import _contract
from basiljunction.state import _job
from basiljunction.state import _outcomes
from basiljunction.state import _records
from basiljunction.transport import _state_messages
from basiljunction.transport import _urgent_task
import builders
from faults import injection
from faults import journals
from faults import node
from faults import rig

Fault = injection.Fault
Step = _outcomes.Step

CUSTOMER = "kowhai"
PATIENCE_S = 4.0
APPEND_PATIENCE_S = 8.0
MAX_TRIES = 4
PROBES = 3
PROBE_KEY = "probe-"


@dataclasses.dataclass(slots=True)
class Asked:
    """One request as its caller knows it.

    Attributes:
        request_id: The request.
        key: Its idempotency key, or empty.
        body: What was sent.
        node: The instance that took it.
        asked_boot_s: When.
        outcome: What the caller was told; None while it waits.
        gone: The connection broke before an answer.
    """

    request_id: str
    key: str
    body: bytes
    node: node.Node
    asked_boot_s: float
    outcome: _outcomes.Outcome | None = None
    gone: bool = False


class Callers:
    """Sends requests, jobs, contracts and cancellations, and waits.

    Attributes:
        asked: Every request.
        published: Versions that an operator was told are accepted.
        submitted: Jobs that a caller was told are accepted.
        cancelled: Jobs whose cancellation was accepted.
    """

    def __init__(self, world: rig.Rig, rng: random.Random) -> None:
        """Creates callers that ask nothing yet."""
        self._rig = world
        self._rng = rng
        self.asked: list[Asked] = []
        self.published: dict[int, float] = {}
        self.submitted: set[str] = set()
        self.cancelled: set[str] = set()

    def request(self, *, key: str = "", tries: int = 1) -> None:
        """Sends one request through any instance that the balancer knows."""
        each = self._any_node()
        if each is None:
            return
        fault = self._accepting(each)
        if fault in (Fault.LOST, Fault.CUT_SHORT, Fault.CORRUPT):
            return
        self._ask(each, key, tries)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR) and key:
            other = self._any_node()
            if other is not None:
                self._ask(other, key, MAX_TRIES)
        try:
            self._rig.after(fault, each)
        except rig.ProcessDiedError:
            return

    def probe(self) -> None:
        """Sends a few requests of each kind, once all has healed."""
        for number in range(PROBES):
            self.request(key=f"{PROBE_KEY}{number}")
            self.request()

    def _accepting(self, each: node.Node) -> Fault | None:
        try:
            fault = self._rig.inject({Step.ACCEPT}, each)
            return fault or self._rig.inject({Step.ADMIT}, each)
        except rig.ProcessDiedError:
            return Fault.LOST

    def _ask(self, each: node.Node, key: str, tries: int) -> None:
        number = next(journals.request_numbers)
        asked = Asked(
            request_id=f"request-{number}",
            key=key,
            body=f"body {key or number}".encode(),
            node=each,
            asked_boot_s=self._rig.boot_s,
        )
        self.asked.append(asked)
        reply: futures.Future[_outcomes.Outcome] = futures.Future()
        reply.add_done_callback(lambda done: self._answered(asked, done, tries))
        request = _urgent_request.UrgentRequest(
            request_id=asked.request_id,
            customer=CUSTOMER,
            class_name="charge" if key else "check",
            body=asked.body,
            content_type="text/plain",
            idempotency_key=key,
        )
        each.ask(_urgent_task.UrgentRequestSubmitted(request, reply))
        self._rig.at(PATIENCE_S, lambda: self._give_up(asked, tries))

    def _answered(
        self, asked: Asked, done: "futures.Future[Any]", tries: int
    ) -> None:
        if asked.gone or not asked.node.alive:
            return
        try:
            fault = self._rig.inject({Step.ANSWER}, asked.node)
        except rig.ProcessDiedError:
            return
        lost = (
            Fault.LOST,
            Fault.ANSWER_LOST,
            Fault.CUT_SHORT,
            Fault.CORRUPT,
        )
        if fault in lost:
            self._lose(asked, tries)
            return
        asked.outcome = done.result()
        if not isinstance(asked.outcome, _outcomes.Completed):
            self._again(asked.key, tries)

    def _give_up(self, asked: Asked, tries: int) -> None:
        if asked.outcome is None and not asked.gone and self._is_cut(asked):
            self._lose(asked, tries)

    def _is_cut(self, asked: Asked) -> bool:
        """Whether the connection is gone, or its instance is paused."""
        each = asked.node
        return not each.alive or each.paused_until_boot_s > asked.asked_boot_s

    def _lose(self, asked: Asked, tries: int) -> None:
        asked.gone = True
        self._again(asked.key, tries)

    def _again(self, key: str, tries: int) -> None:
        """Tries a non-idempotent request again under its key."""
        if key and tries < MAX_TRIES:
            self._rig.at(0.3, lambda: self.request(key=key, tries=tries + 1))

    def publish(self, version: int, *, operator: str = "ana") -> None:
        """Publishes a version until its fate is known."""
        contract = builders.contract(
            version=version,
            class_by_name=class_by_name(),
            request_rate_per_s=1000.0 + version,
            concurrency=200,
        )
        record = _records.ContractPublished(
            contract=contract,
            base_version=version - 1,
            operator=operator,
            publish_id=f"{operator}-{version}",
        )
        self._settle(record, lambda: self._note_published(version))

    def _note_published(self, version: int) -> None:
        self.published.setdefault(version, self._rig.boot_s)

    def submit(self, job: _job.Job) -> None:
        """Submits a job until it is accepted."""
        self._settle(
            _records.JobSubmitted(job),
            lambda: self.submitted.add(job.job_id),
        )

    def cancel(self, job_id: str) -> None:
        """Cancels a job until that is accepted."""
        self._settle(
            _records.JobCancelled(job_id, CUSTOMER),
            lambda: self.cancelled.add(job_id),
        )

    def _settle(self, record: _records.Record, accepted: Any) -> None:
        each = self._any_node()
        if each is None:
            self._rig.at(0.5, lambda: self._settle(record, accepted))
            return
        reply: futures.Future[Any] = futures.Future()
        asked = _state_messages.AppendRequested(
            (record,), reply, self._rig.boot_s + PATIENCE_S
        )
        each.append(asked)
        self._rig.at(0.1, lambda: self._check(record, accepted, reply, each, 0))

    def _check(
        self,
        record: _records.Record,
        accepted: Any,
        reply: "futures.Future[Any]",
        each: node.Node,
        rounds: int,
    ) -> None:
        if reply.done() and each.alive and reply.exception() is None:
            (verdict,) = reply.result()
            ended = _outcomes.Reason.ALREADY_ENDED
            known = (None, _outcomes.Reason.DUPLICATE, ended)
            if verdict.rejection_reason in known:
                accepted()
            return
        waits = each.alive and not reply.done()
        if waits and rounds * 0.1 < APPEND_PATIENCE_S:
            self._rig.at(
                0.1,
                lambda: self._check(record, accepted, reply, each, rounds + 1),
            )
            return
        self._settle(record, accepted)

    def _any_node(self) -> node.Node | None:
        ready = [
            each
            for each in self._rig.live()
            if each.view.ready and not each.draining
        ]
        return self._rng.choice(ready) if ready else None


def class_by_name() -> dict[str, _contract.WorkClass]:
    """Returns the classes of the contract that cells run under."""
    batch = _contract.WorkKind.BATCH
    classes = (
        builders.work_class("check"),
        builders.work_class("charge", idempotent=False),
        builders.work_class(
            "coding", kind=batch, deadline_s=3600.0, outside_hours=True
        ),
        builders.work_class(
            "watch",
            kind=batch,
            deadline_s=86400.0,
            outside_hours=True,
            standing=True,
        ),
    )
    return {each.name: each for each in classes}

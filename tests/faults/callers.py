"""Simulated callers and operators, with the answers that they received."""

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
"""Customer whose contract, requests and jobs a cell uses."""

CALLER_TIMEOUT_S = 4.0
"""Seconds until a caller checks whether its connection still exists.

Also the deadline of an append that an operator asks for.
"""

APPEND_TIMEOUT_S = 8.0
"""Seconds for which a caller polls one append before it sends it again."""

MAX_TRIES = 4
"""Most attempts at one request with an idempotency key."""

PROBES_PER_KIND = 3
"""Requests with a key, and as many without, sent after recovery."""

PROBE_KEY_PREFIX = "probe-"
"""Start of the idempotency keys of requests sent after recovery."""


@dataclasses.dataclass(slots=True)
class SentRequest:
    """One request as its caller sees it.

    Attributes:
        request_id: Identifier of the request.
        key: Its idempotency key, or empty.
        body: Payload that was sent.
        node: The instance that received it.
        sent_boot_s: When it was sent.
        outcome: The outcome that the caller received; None while it waits.
        is_connection_lost: Whether the connection broke before an answer.
    """

    request_id: str
    key: str
    body: bytes
    node: node.Node
    sent_boot_s: float
    outcome: _outcomes.Outcome | None = None
    is_connection_lost: bool = False


class Callers:
    """Sends requests, jobs, contracts and cancellations, with retries.

    Attributes:
        sent_requests: Every request, in the order of sending.
        accepted_boot_s_by_version: When an operator first received the
            acceptance of a contract version.
        accepted_job_ids: Jobs whose acceptance a caller received.
        cancelled_job_ids: Jobs whose cancellation was accepted.
    """

    def __init__(self, test_rig: rig.Rig, rng: random.Random) -> None:
        """Creates callers that have sent nothing yet."""
        self._rig = test_rig
        self._rng = rng
        self.sent_requests: list[SentRequest] = []
        self.accepted_boot_s_by_version: dict[int, float] = {}
        self.accepted_job_ids: set[str] = set()
        self.cancelled_job_ids: set[str] = set()

    def send_request(self, *, key: str = "", tries: int = 1) -> None:
        """Sends one request to a random instance that is ready.

        Args:
            key: Idempotency key, or empty.
            tries: Number of this attempt, from 1.
        """
        instance = self._choose_ready_instance()
        if instance is None:
            return
        fault = self._inject_at_accept(instance)
        if fault in (Fault.LOST, Fault.CUT_SHORT, Fault.CORRUPT):
            return
        self._send(instance, key, tries)
        if fault in (Fault.DOUBLED, Fault.SECOND_ACTOR) and key:
            other = self._choose_ready_instance()
            if other is not None:
                self._send(other, key, MAX_TRIES)
        try:
            self._rig.inject_after_step(fault, instance)
        except rig.ProcessDiedError:
            return

    def send_probes(self) -> None:
        """Sends requests with and without a key, to check the recovery."""
        for number in range(PROBES_PER_KIND):
            self.send_request(key=f"{PROBE_KEY_PREFIX}{number}")
            self.send_request()

    def _inject_at_accept(self, instance: node.Node) -> Fault | None:
        """Returns the fault at accept or admit; LOST if the process died."""
        try:
            fault = self._rig.inject_fault({Step.ACCEPT}, instance)
            return fault or self._rig.inject_fault({Step.ADMIT}, instance)
        except rig.ProcessDiedError:
            return Fault.LOST

    def _send(self, instance: node.Node, key: str, tries: int) -> None:
        """Sends one request and schedules its timeout."""
        number = next(journals.request_numbers)
        sent = SentRequest(
            request_id=f"request-{number}",
            key=key,
            body=f"body {key or number}".encode(),
            node=instance,
            sent_boot_s=self._rig.boot_s,
        )
        self.sent_requests.append(sent)
        reply: futures.Future[_outcomes.Outcome] = futures.Future()
        reply.add_done_callback(
            lambda done: self._handle_answer(sent, done, tries)
        )
        request = _urgent_request.UrgentRequest(
            request_id=sent.request_id,
            customer=CUSTOMER,
            class_name="charge" if key else "check",
            body=sent.body,
            content_type="text/plain",
            idempotency_key=key,
        )
        instance.submit_request(
            _urgent_task.UrgentRequestSubmitted(request, reply)
        )
        self._rig.schedule(
            CALLER_TIMEOUT_S, lambda: self._handle_timeout(sent, tries)
        )

    def _handle_answer(
        self, sent: SentRequest, done: "futures.Future[Any]", tries: int
    ) -> None:
        """Records an outcome, or injects a fault into its answer."""
        if sent.is_connection_lost or not sent.node.is_alive:
            return
        try:
            fault = self._rig.inject_fault({Step.ANSWER}, sent.node)
        except rig.ProcessDiedError:
            return
        lost = (
            Fault.LOST,
            Fault.ANSWER_LOST,
            Fault.CUT_SHORT,
            Fault.CORRUPT,
        )
        if fault in lost:
            self._lose_connection(sent, tries)
            return
        sent.outcome = done.result()
        if not isinstance(sent.outcome, _outcomes.Completed):
            self._retry(sent.key, tries)

    def _handle_timeout(self, sent: SentRequest, tries: int) -> None:
        """Retries an unanswered request whose connection is lost."""
        if (
            sent.outcome is None
            and not sent.is_connection_lost
            and self._is_disconnected(sent)
        ):
            self._lose_connection(sent, tries)

    def _is_disconnected(self, sent: SentRequest) -> bool:
        """Returns whether its instance ended or was paused after the send."""
        instance = sent.node
        return (
            not instance.is_alive
            or instance.paused_until_boot_s > sent.sent_boot_s
        )

    def _lose_connection(self, sent: SentRequest, tries: int) -> None:
        """Marks a request's connection as lost and retries the request."""
        sent.is_connection_lost = True
        self._retry(sent.key, tries)

    def _retry(self, key: str, tries: int) -> None:
        """Schedules another attempt of a request that has a key."""
        if key and tries < MAX_TRIES:
            self._rig.schedule(
                0.3, lambda: self.send_request(key=key, tries=tries + 1)
            )

    def publish_contract(self, version: int, *, operator: str = "ana") -> None:
        """Publishes a contract version, repeated until it is decided."""
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
        self._append_until_decided(
            record, lambda: self._record_accepted_version(version)
        )

    def _record_accepted_version(self, version: int) -> None:
        self.accepted_boot_s_by_version.setdefault(version, self._rig.boot_s)

    def submit_job(self, job: _job.Job) -> None:
        """Submits a job, repeated until it is decided."""
        self._append_until_decided(
            _records.JobSubmitted(job),
            lambda: self.accepted_job_ids.add(job.job_id),
        )

    def cancel_job(self, job_id: str) -> None:
        """Cancels a job, repeated until the cancellation is decided."""
        self._append_until_decided(
            _records.JobCancelled(job_id, CUSTOMER),
            lambda: self.cancelled_job_ids.add(job_id),
        )

    def _append_until_decided(
        self, record: _records.Record, on_accepted: Any
    ) -> None:
        """Appends a record, again after each failure, until it is decided."""
        instance = self._choose_ready_instance()
        if instance is None:
            self._rig.schedule(
                0.5, lambda: self._append_until_decided(record, on_accepted)
            )
            return
        reply: futures.Future[Any] = futures.Future()
        append_request = _state_messages.AppendRequested(
            (record,), reply, self._rig.boot_s + CALLER_TIMEOUT_S
        )
        instance.append_records(append_request)
        self._rig.schedule(
            0.1,
            lambda: self._poll_append(record, on_accepted, reply, instance, 0),
        )

    def _poll_append(
        self,
        record: _records.Record,
        on_accepted: Any,
        reply: "futures.Future[Any]",
        instance: node.Node,
        polls: int,
    ) -> None:
        """Polls an append every 0.1 s; sends it again if it failed."""
        if reply.done() and instance.is_alive and reply.exception() is None:
            (verdict,) = reply.result()
            ended = _outcomes.Reason.ALREADY_ENDED
            known = (None, _outcomes.Reason.DUPLICATE, ended)
            if verdict.rejection_reason in known:
                on_accepted()
            return
        waits = instance.is_alive and not reply.done()
        if waits and polls * 0.1 < APPEND_TIMEOUT_S:
            self._rig.schedule(
                0.1,
                lambda: self._poll_append(
                    record, on_accepted, reply, instance, polls + 1
                ),
            )
            return
        self._append_until_decided(record, on_accepted)

    def _choose_ready_instance(self) -> node.Node | None:
        """Returns a random ready instance that is not draining, if any."""
        ready = [
            instance
            for instance in self._rig.live_instances()
            if instance.fleet_view.ready and not instance.is_draining
        ]
        return self._rng.choice(ready) if ready else None


def class_by_name() -> dict[str, _contract.WorkClass]:
    """Returns the work classes of the contract that every cell uses."""
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
    return {work_class.name: work_class for work_class in classes}

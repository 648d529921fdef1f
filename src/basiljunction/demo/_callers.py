"""Clients that send latency-critical requests and record the answers."""

from concurrent import futures
import dataclasses
import hashlib
import json
import random
import threading
import time

from basiljunction.demo import _balancer
from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _entry_instance
from basiljunction.demo import _evidence
from basiljunction.demo import _http

MAX_CONCURRENT_REQUESTS = 48
"""Threads that send requests, for each deployment."""

BODY_PADDING_BYTES = 1024
"""Size of the padding in each request body, in bytes."""

MAX_TRIES = 4
"""Maximum number of attempts of a non-idempotent request."""

RETRY_DELAY_S = 0.3
"""Delay before the first retry, in seconds; grows linearly with each retry."""

CLIENT_TIMEOUT_MARGIN_S = 3.0
"""Time that a client waits beyond the request's deadline, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One latency-critical request, the same for all its attempts.

    Attributes:
        flow: Request stream that it belongs to, with class and deadline.
        body: JSON body, unique to the request.
        digest: SHA-256 of the body, in hexadecimal.
        idempotency_key: Value of the ``Idempotency-Key`` header.
    """

    flow: _deployments.RequestStream
    body: bytes
    digest: str
    idempotency_key: str


class RequestSender:
    """Sends the latency-critical requests of one deployment.

    Each class is sent at its own rate, with exponentially distributed
    intervals.

    Args:
        cluster: The deployment that receives the requests.
        balancer: Chooses the entry instance of each attempt.
        seed: Seed of the intervals between requests.
    """

    def __init__(
        self,
        cluster: _cluster.Cluster,
        balancer: _balancer.LoadBalancer,
        *,
        seed: int,
    ) -> None:
        self._cluster = cluster
        self._balancer = balancer
        self._deployment = cluster.deployment
        self._seed = seed
        self._pool = futures.ThreadPoolExecutor(MAX_CONCURRENT_REQUESTS)
        self._lock = threading.Lock()
        self._answers: list[_evidence.RequestAttempt] = []
        self._unsent_request_count = 0

    def send_until_stopped(
        self, flow: _deployments.RequestStream, stop: threading.Event
    ) -> None:
        """Sends the requests of one class until ``stop`` is set."""
        generator = random.Random(f"{self._seed}:{flow.class_name}")
        number = 0
        due_s = time.monotonic()
        while not stop.is_set():
            due_s += generator.expovariate(flow.rate_per_s)
            if stop.wait(max(0.0, due_s - time.monotonic())):
                return
            number += 1
            self._pool.submit(
                self._send_with_retries, self._make_request(flow, number)
            )

    def wait_for_requests(self) -> None:
        """Waits until all requests in progress have ended."""
        self._pool.shutdown()

    def recorded_attempts(self) -> tuple[_evidence.RequestAttempt, ...]:
        """Returns all request attempts recorded so far."""
        with self._lock:
            return tuple(self._answers)

    @property
    def unsent_request_count(self) -> int:
        """Number of requests for which no instance was ready."""
        return self._unsent_request_count

    def _make_request(
        self, flow: _deployments.RequestStream, number: int
    ) -> Request:
        """Returns the request with a given number in its stream."""
        name = f"{self._seed}-{flow.class_name}-{number}"
        text = json.dumps({"name": name, "filler": "y" * BODY_PADDING_BYTES})
        body = text.encode()
        digest = hashlib.sha256(body).hexdigest()
        return Request(
            flow=flow, body=body, digest=digest, idempotency_key=name
        )

    def _send_with_retries(self, request: Request) -> None:
        """Sends a request and records each attempt.

        Only a non-idempotent request is sent again, under the same idempotency
        key, until it completes or has been tried ``MAX_TRIES`` times.
        """
        tries = 1 if request.flow.idempotent else MAX_TRIES
        for number in range(tries):
            answer = self._try_once(request)
            if answer is None:
                with self._lock:
                    self._unsent_request_count += 1
                return
            with self._lock:
                self._answers.append(answer)
            if answer.outcome is _evidence.RequestOutcome.COMPLETED:
                return
            time.sleep(RETRY_DELAY_S * (number + 1))

    def _try_once(self, request: Request) -> _evidence.RequestAttempt | None:
        """Sends a request once and returns the attempt.

        An instance that refused the connection is replaced by another one.
        Returns None if no ready instance is left.
        """
        tried: frozenset[str] = frozenset()
        while True:
            instance = self._balancer.choose_instance(tried)
            if instance is None:
                return None
            sent_wall_s = time.time()
            time.sleep(self._deployment.client_delay_s)
            answer = self._call(instance, request)
            time.sleep(self._deployment.client_delay_s)
            if answer.may_have_been_sent:
                return self._make_attempt_record(
                    request, instance, answer, sent_wall_s
                )
            tried |= {instance.name}

    def _call(
        self, instance: _entry_instance.EntryInstance, request: Request
    ) -> _http.HttpAnswer:
        """Sends a request to an instance and returns the HTTP answer."""
        headers = {
            "Authorization": f"Bearer {self._deployment.token}",
            "Content-Type": "application/json",
        }
        if not request.flow.idempotent:
            headers["Idempotency-Key"] = request.idempotency_key
        return _http.call(
            f"{instance.url}/v1/services/{request.flow.class_name}",
            method="POST",
            body=request.body,
            headers=headers,
            timeout_s=request.flow.deadline_s + CLIENT_TIMEOUT_MARGIN_S,
        )

    def _make_attempt_record(
        self,
        request: Request,
        instance: _entry_instance.EntryInstance,
        answer: _http.HttpAnswer,
        sent_wall_s: float,
    ) -> _evidence.RequestAttempt:
        """Returns the record of one attempt, made from its HTTP answer."""
        body = answer.json()
        outcome = _classify_outcome(answer)
        is_intact = (
            body.get("digest") == request.digest
            and body.get("customer") == self._deployment.customer
        )
        return _evidence.RequestAttempt(
            customer=self._deployment.customer,
            class_name=request.flow.class_name,
            instance=instance.name,
            idempotent=request.flow.idempotent,
            deadline_s=request.flow.deadline_s,
            sent_wall_s=sent_wall_s,
            done_wall_s=time.time(),
            digest=request.digest,
            outcome=outcome,
            status=answer.status,
            is_intact=is_intact,
            step=str(body.get("step") or ""),
            peer=str(body.get("peer") or ""),
            reason=str(body.get("reason") or ""),
        )


def _classify_outcome(answer: _http.HttpAnswer) -> _evidence.RequestOutcome:
    """Returns whether the request ran, according to an HTTP answer."""
    if answer.error:
        return _evidence.RequestOutcome.CUT
    reported = answer.json().get("outcome")
    if reported == "not-run":
        return _evidence.RequestOutcome.NOT_RUN
    if reported == "unknown":
        return _evidence.RequestOutcome.UNKNOWN
    return _evidence.RequestOutcome.COMPLETED

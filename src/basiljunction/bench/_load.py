"""Generates calls at a mean rate and runs a deployment to receive them."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import hashlib
import io
import json
import pathlib
import random
import tempfile
import threading
import time

import pycurl

from basiljunction.demo import _cluster
from basiljunction.demo import _deployments
from basiljunction.demo import _operators
from basiljunction.transport import _send_guard

THREAD_COUNT = 48
"""Number of threads, which is the maximum number of calls in flight."""

TIMEOUT_S = 5.0
"""Time limit of one call, in seconds."""

MAX_CONNECT_TRIES = 4
"""Maximum number of connection attempts of one call."""

CUSTOMER = "kowhai"
"""Customer in whose name all calls are made."""

CLASS_NAME = "check"
"""Latency-critical work class of all calls."""

TOKEN = "bench-token"  # noqa: S105 - of the benchmark's own contract
"""Bearer token that the benchmark's own contract accepts."""

SERVICE_TIME_MS = 5.0
"""Time that an executor spends on one call, in milliseconds."""

REQUEST_BODY = json.dumps({"filler": "y" * 1000}).encode()
"""Body of every call, about 1 kB."""

_thread_local = threading.local()
"""Holds one reusable curl handle per thread."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The result of one call.

    Attributes:
        url: Address that was called; the last one if several were tried.
        sent_wall_s: Wall-clock time of sending, in seconds.
        latency_s: Time from sending to the last byte of the reply.
        status: HTTP status; 0 if the call failed.
    """

    url: str
    sent_wall_s: float
    latency_s: float
    status: int


CallTarget = Callable[[int], tuple[str, list[str]]]
"""Returns the URL and the headers of a call, given the call's number."""


class PoissonLoad:
    """Sends calls at the times of a Poisson process, independent of replies.

    Args:
        target: Returns the URL and the headers of each call.
        rate_per_s: Mean number of calls per second.
        seed: Seed of the times.
        uses_fresh_connections: Whether each call opens a new connection.

    Attributes:
        answers: Results of the calls that have ended.
    """

    def __init__(
        self,
        *,
        target: CallTarget,
        rate_per_s: float,
        seed: int,
        uses_fresh_connections: bool = False,
    ) -> None:
        self._target = target
        self._rate_per_s = rate_per_s
        self._source = random.Random(seed)
        self._uses_fresh_connections = uses_fresh_connections
        self._lock = threading.Lock()
        self.answers: list[CallResult] = []

    def run(
        self, seconds: float, stop: threading.Event | None = None
    ) -> list[CallResult]:
        """Sends calls for a time or until an event is set.

        Args:
            seconds: Maximum duration.
            stop: Ends the calls early when set.

        Returns:
            The results of all calls.
        """
        due_s = time.monotonic()
        ends_s = due_s + seconds
        number = 0
        with futures.ThreadPoolExecutor(THREAD_COUNT) as pool:
            while due_s < ends_s and not (stop and stop.is_set()):
                due_s += self._source.expovariate(self._rate_per_s)
                time.sleep(max(0.0, due_s - time.monotonic()))
                pool.submit(self._call_with_retries, number)
                number += 1
        return self.answers

    def _call_with_retries(self, number: int) -> None:
        """Sends a call and stores its result.

        As a load balancer does, it tries another address if the connection
        could not be established.
        """
        for _ in range(MAX_CONNECT_TRIES):
            url, headers = self._target(number)
            sent_wall_s = time.time()
            began_s = time.monotonic()
            status, may_have_left = self._send_request(url, headers)
            if status or may_have_left:
                break
        answer = CallResult(
            url, sent_wall_s, time.monotonic() - began_s, status
        )
        with self._lock:
            self.answers.append(answer)

    def _send_request(self, url: str, headers: list[str]) -> tuple[int, bool]:
        """Sends one HTTP request.

        Returns:
            The HTTP status, 0 on failure, and whether the request may have been
            sent.
        """
        handle = getattr(_thread_local, "handle", None)
        if handle is None:
            handle = _thread_local.handle = pycurl.Curl()
        handle.reset()
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.POSTFIELDS, REQUEST_BODY)
        handle.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
        handle.setopt(pycurl.TIMEOUT_MS, int(TIMEOUT_S * 1000))
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.WRITEFUNCTION, io.BytesIO().write)
        if self._uses_fresh_connections:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        guard = _send_guard.SendGuard(is_repeatable=False)
        guard.watch(handle)
        try:
            handle.perform()
        except pycurl.error as error:
            was_refused = error.args[0] == pycurl.E_COULDNT_CONNECT
            return 0, guard.may_have_sent or not was_refused
        return int(handle.getinfo(pycurl.RESPONSE_CODE)), True


@contextlib.contextmanager
def run_deployment(
    *, entry_instances: int, workers: int, rate_per_s: float, seed: int
) -> Iterator[_cluster.Cluster]:
    """Runs a deployment with one contract that allows ten times the given rate.

    Args:
        entry_instances: Number of entry instances.
        workers: Number of workers.
        rate_per_s: Expected calls per second.
        seed: Seed of the deployment.

    Yields:
        The running deployment, ready for calls.
    """
    shape = dataclasses.replace(
        _deployments.KOWHAI,
        customer=CUSTOMER,
        entry_instances=entry_instances,
        workers=workers,
        client_delay_s=0.0,
        zone_delay_s=0.0,
        token=TOKEN,
        flows=(
            _deployments.RequestStream(
                CLASS_NAME, True, 2.0, rate_per_s, SERVICE_TIME_MS
            ),
        ),
        jobs=(),
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        cluster = _cluster.Cluster(shape, folder, seed=seed)
        try:
            cluster.start_all()
            cluster.wait_until_ready()
            path = folder / "contract.json5"
            path.write_text(json.dumps(_contract_document(rate_per_s)), "utf-8")
            _operators.ContractPublisher(cluster, path).publish_next_version()
            yield cluster
        finally:
            cluster.kill_all()


def target_instances(url: Callable[[int], str]) -> CallTarget:
    """Returns a target that calls the entry instance at the chosen URL."""
    headers = [f"Authorization: Bearer {TOKEN}", "Content-Type: text/plain"]

    def target(number: int) -> tuple[str, list[str]]:
        """Returns the service's URL at the instance chosen for the call."""
        return f"{url(number)}/v1/services/{CLASS_NAME}", headers

    return target


def target_executors(addresses: list[str]) -> CallTarget:
    """Returns a target that calls executors in turn, without an instance."""

    def target(number: int) -> tuple[str, list[str]]:
        """Returns the URL of the next executor and its request headers."""
        headers = [
            f"X-Request-Id: direct-{number}",
            f"X-Customer: {CUSTOMER}",
            f"X-Class: {CLASS_NAME}",
            "X-Deadline-S: 2.0",
            "Content-Type: text/plain",
        ]
        return f"{addresses[number % len(addresses)]}/run", headers

    return target


def _contract_document(rate_per_s: float) -> dict[str, object]:
    """Returns the contract document of the benchmark's customer."""
    return {
        "customer": CUSTOMER,
        "hours": {"time_zone": "UTC", "open": []},
        "classes": {
            CLASS_NAME: {
                "kind": "latency-critical",
                "idempotent": True,
                "deadline_s": 2.0,
                "outside_hours": True,
            }
        },
        "quota": {
            "millicores": 1000,
            "memory_mib": 1024,
            "accelerators": 0,
            "tasks": 1,
        },
        "requests": {
            "rate_per_s": 10 * rate_per_s,
            "burst": int(10 * rate_per_s),
            "concurrency": 4000,
        },
        "credential_hashes": [hashlib.sha256(TOKEN.encode()).hexdigest()],
        "weight": 1.0,
    }

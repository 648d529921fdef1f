"""Publishes and amends a contract and records the versions in force."""

from concurrent import futures
import dataclasses
import pathlib
import threading
import time
from typing import Any

import json5

from basiljunction.demo import _cluster
from basiljunction.demo import _entry_instance
from basiljunction.demo import _evidence
from basiljunction.demo import _http

POLL_INTERVAL_S = 0.25
"""Interval and timeout of the status polls, in seconds."""

CONCURRENT_PUBLISHERS = 2
"""Number of operators that publish the same version concurrently."""

WEEKDAYS = (
    "monday", "tuesday", "wednesday", "thursday", "friday", "saturday",
    "sunday",
)  # fmt: skip
"""Names of the weekdays in a contract's opening hours."""

PUBLISH_TIMEOUT_S = 30.0
"""Longest time for a publication, in seconds."""


class PublishFailedError(RuntimeError):
    """Raised when a contract is rejected without a competing publisher."""

    def __init__(self, answer: _http.HttpAnswer) -> None:
        """Creates the error.

        Args:
            answer: Answer to the publication.
        """
        super().__init__(f"{answer.status} {answer.body!r} {answer.error}")


@dataclasses.dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of one attempt to publish a contract.

    Attributes:
        version: Version that was accepted, or 0.
        answer: Answer of the entry instance.
    """

    version: int
    answer: _http.HttpAnswer


class ContractPublisher:
    """Publishes the contract of one deployment and records its versions.

    Args:
        cluster: The deployment.
        contract_file: Contract document of the examples; its opening hours
            are replaced, so that a run may start at any time.
    """

    def __init__(
        self, cluster: _cluster.Cluster, contract_file: pathlib.Path
    ) -> None:
        self._cluster = cluster
        self._document = _load_always_open_contract(contract_file)
        self._lock = threading.Lock()
        self._version = 0
        self._accepted_versions: list[_evidence.ContractVersion] = []
        self._observed_versions: list[_evidence.ContractVersion] = []

    def publish_next_version(self) -> int:
        """Publishes the next contract version and returns its number.

        Raises:
            PublishFailedError: The version was not accepted.
        """
        publication = self._publish(self._version, weight=1.0 + self._version)
        if not publication.version:
            raise PublishFailedError(publication.answer)
        self._version = publication.version
        return publication.version

    def publish_concurrently(self) -> None:
        """Publishes conflicting amendments of one version concurrently."""
        base = self._version
        with futures.ThreadPoolExecutor(CONCURRENT_PUBLISHERS) as pool:
            tries = [
                pool.submit(self._publish, base, weight=10.0 + number)
                for number in range(CONCURRENT_PUBLISHERS)
            ]
        self._version = max(each.result().version for each in tries)

    def record_versions_until_stopped(self, stop: threading.Event) -> None:
        """Polls and records the version in force at each instance.

        Args:
            stop: Ends the polling once set.
        """
        while not stop.is_set():
            for instance in list(self._cluster.instance_by_name.values()):
                if not instance.has_ended:
                    self._record_version_in_force(instance)
            stop.wait(POLL_INTERVAL_S)

    def accepted_versions(self) -> tuple[_evidence.ContractVersion, ...]:
        """Returns the contract versions that were accepted."""
        return tuple(self._accepted_versions)

    def observed_versions(self) -> tuple[_evidence.ContractVersion, ...]:
        """Returns the versions in force at instances, by time."""
        return tuple(self._observed_versions)

    def quota(self) -> _evidence.Quota:
        """Returns the resource limits of the contract."""
        return _evidence.Quota(**self._document["quota"])

    def _publish(self, base_version: int, *, weight: float) -> PublishResult:
        """Publishes an amendment of a version at a running instance.

        Args:
            base_version: Version that the amendment replaces.
            weight: Weight in the new contract, different for each amendment.
        """
        instance = self._cluster.any_instance()
        customer = self._cluster.deployment.customer
        answer = self._cluster.call(
            instance,
            f"/v1/contracts/{customer}",
            token=_entry_instance.OPERATOR_TOKEN,
            method="PUT",
            body={**self._document, "weight": weight},
            headers={"If-Match": f'"{base_version}"'},
            timeout_s=PUBLISH_TIMEOUT_S,
        )
        if not answer.is_success:
            return PublishResult(0, answer)
        version = int(answer.json()["version"])
        with self._lock:
            self._accepted_versions.append(
                _evidence.ContractVersion(
                    instance.name, customer, version, time.time()
                )
            )
        return PublishResult(version, answer)

    def _record_version_in_force(
        self, instance: _entry_instance.EntryInstance
    ) -> None:
        """Records the contract version that is in force at a ready instance.

        The time recorded is when the request was sent.
        """
        sent_wall_s = time.time()
        answer = self._cluster.call(
            instance,
            "/v1/status",
            token=_entry_instance.OPERATOR_TOKEN,
            timeout_s=POLL_INTERVAL_S,
        )
        body = answer.json()
        if not answer.is_success or not body.get("ready"):
            return
        customer = self._cluster.deployment.customer
        version = int(body["version_by_customer"].get(customer, 0))
        self._observed_versions.append(
            _evidence.ContractVersion(
                instance.name, customer, version, sent_wall_s
            )
        )


def _load_always_open_contract(contract_file: pathlib.Path) -> dict[str, Any]:
    """Returns a contract with its hours changed to always open."""
    text = contract_file.read_text(encoding="utf-8")
    document: dict[str, Any] = json5.loads(text)
    document["hours"] = {
        "time_zone": document["hours"]["time_zone"],
        "open": [{"days": WEEKDAYS, "opens": "00:00", "closes": "24:00"}],
    }
    return document

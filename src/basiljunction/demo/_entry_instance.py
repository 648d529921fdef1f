"""The state and settings of one entry instance of the demo."""

from collections.abc import Iterable
import dataclasses
import hashlib
from typing import Any

OPERATOR_NAME = "ana"
"""Name of the operator that publishes contracts."""

OPERATOR_TOKEN = "operator-example-token"  # noqa: S105 - of the examples
"""Bearer token of the operator that publishes contracts."""


@dataclasses.dataclass(slots=True)
class EntryInstance:
    """Name, ports and status of one entry instance that the demo runs.

    Attributes:
        name: Name of the instance.
        zone: Availability zone.
        http_port: Port for callers.
        peer_port: Port for other instances.
        is_leaving: Whether the platform's list shows it as leaving.
        has_ended: Whether it was killed or shut down, and not restarted since.
    """

    name: str
    zone: str
    http_port: int
    peer_port: int
    is_leaving: bool = False
    has_ended: bool = False

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.http_port}"

    @property
    def peer_address(self) -> str:
        """Host and port for other instances."""
        return f"127.0.0.1:{self.peer_port}"


def make_instance_settings(
    instance: EntryInstance,
    *,
    peers: Iterable[EntryInstance],
    region: str,
    group: str,
) -> dict[str, Any]:
    """Returns an instance's settings without log and platform URLs.

    Args:
        instance: The instance to configure.
        peers: All entry instances; the instance itself is left out.
        region: Region of the deployment.
        group: Group of the entry instances.
    """
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "instance": instance.name,
        "region": region,
        "zone": instance.zone,
        "group": group,
        "http_listen": f"127.0.0.1:{instance.http_port}",
        "peer_listen": instance.peer_address,
        "seed_peers": [
            peer.peer_address for peer in peers if peer.name != instance.name
        ],
        "operators": [{"name": OPERATOR_NAME, "credential_hash": digest}],
    }

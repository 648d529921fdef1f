"""Settings of one entry instance, validated when it starts."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from basiljunction.protocol import _http_limits
from basiljunction.protocol import _jsonc
from basiljunction.protocol import _model

MAX_PORT_NUMBER = 65535
"""Largest port number."""


def _check_ip_and_port(text: str) -> str:
    """Returns the text if it is an IP number with a port.

    Raises:
        ValueError: It is another text, such as a host name with a port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError("IP number and port, such as 10.0.0.5:8080") from None
    if not port.isdecimal() or int(port) > MAX_PORT_NUMBER:
        raise ValueError("a port from 0 to 65535 after the IP number")
    return text


Address = Annotated[str, pydantic.AfterValidator(_check_ip_and_port)]
"""IP number and port, such as ``10.0.0.5:8080``."""
BaseUrl = Annotated[str, pydantic.Field(pattern=r"^https?://[^\s]+$")]
"""Base URL with the scheme ``http`` or ``https``."""


class Operator(_model.StrictModel):
    """A person or tool that may publish contracts and see all work."""

    name: _model.Name = pydantic.Field(
        description="Name in the records of what the operator publishes."
    )
    credential_hash: _model.Sha256 = pydantic.Field(
        description="SHA-256 of the operator's bearer token, lower-case hex."
    )


class Lease(_model.StrictModel):
    """Times of vouchers and heartbeats between instances, in seconds.

    A voucher is a group member's answer to a heartbeat. It allows the sender
    of the heartbeat to act as owner of its machines for a limited time.
    """

    voucher_s: float = pydantic.Field(
        default=1.5,
        gt=0,
        le=60,
        description="Seconds for which a voucher is valid.",
    )
    heartbeat_s: float = pydantic.Field(
        default=0.3, gt=0, le=10, description="Seconds between two heartbeats."
    )
    suspect_after_s: float = pydantic.Field(
        default=1.0,
        gt=0,
        le=60,
        description="Seconds without a heartbeat before a peer is suspected.",
    )
    guard_drift: float = pydantic.Field(
        default=0.05,
        ge=0,
        le=1,
        description="Fraction added to the guard time for clock drift.",
    )

    @pydantic.model_validator(mode="after")
    def _check_heartbeat_is_shorter(self) -> "Lease":
        """Rejects heartbeats too slow to keep a voucher or avoid suspicion."""
        if self.heartbeat_s >= self.suspect_after_s:
            raise ValueError("heartbeat_s less than suspect_after_s")
        if self.heartbeat_s >= self.voucher_s:
            raise ValueError("heartbeat_s less than voucher_s")
        return self


class Log(_model.StrictModel):
    """Appends to the platform's log."""

    flush_s: float = pydantic.Field(
        default=0.025, gt=0, le=1, description="Seconds between two appends."
    )
    max_batch_records: int = pydantic.Field(
        default=256,
        ge=1,
        le=4096,
        description="Largest number of records in one append.",
    )
    max_buffered_records: int = pydantic.Field(
        default=20_000,
        ge=1,
        description="Largest number of waiting records; more are dropped.",
    )
    appends_per_s: float = pydantic.Field(
        default=20,
        gt=0,
        le=200,
        description="Largest number of appends a second by this instance.",
    )


class Snapshot(_model.StrictModel):
    """Snapshots of the state, which are written to the log."""

    every_entries: int = pydantic.Field(
        default=20_000, ge=10, description="Log entries between two snapshots."
    )
    chunk_bytes: int = pydantic.Field(
        default=65_536,
        ge=1024,
        le=1 << 20,
        description="Size of one chunk of a snapshot, in bytes.",
    )


class Logging(_model.StrictModel):
    """Level and format of the program's log output."""

    level: Literal["debug", "info", "warning", "error"] = pydantic.Field(
        default="info", description="Lowest level that is logged."
    )
    format: Literal["json", "console"] = pydantic.Field(
        default="json",
        description="json: one object a line; console: readable text.",
    )


class Settings(_model.StrictModel):
    """Settings of one entry instance.

    Attributes:
        lease: Leases and heartbeats between instances.
        log: Appends to the platform's log.
        snapshot: Snapshots of the state.
        limits: Limits of the HTTP server.
        logging: Level and format of the log output.
    """

    instance: _model.Name = pydantic.Field(
        description="Unique name of the instance."
    )
    region: _model.Name = pydantic.Field(description="Region it runs in.")
    zone: _model.Name = pydantic.Field(
        description="Availability zone it runs in."
    )
    group: _model.Name = pydantic.Field(
        description="Group of instances that share the same machines."
    )
    http_listen: Address = pydantic.Field(
        description="IP number and port for callers and operators."
    )
    peer_listen: Address = pydantic.Field(
        description="IP number and port for other instances."
    )
    log_url: BaseUrl = pydantic.Field(description="Base URL of the log.")
    platform_url: BaseUrl = pydantic.Field(
        description="Base URL of the platform's list of instances."
    )
    seed_peers: tuple[Address, ...] = pydantic.Field(
        default=(),
        description="Addresses of peers asked for newer state at start-up.",
    )
    operators: tuple[Operator, ...] = pydantic.Field(
        default=(), description="Operators and the hashes of their credentials."
    )
    lease: Lease = Lease()
    log: Log = Log()
    snapshot: Snapshot = Snapshot()
    limits: _http_limits.Limits = _http_limits.Limits()
    logging: Logging = Logging()


def parse_settings(text: str, *, source: str) -> Settings:
    """Parses and validates settings, which are JSON with comments.

    Args:
        text: Content of the settings file.
        source: Name of the file in errors.

    Raises:
        DocumentError: States line, field, value found and values allowed.
    """
    return _jsonc.load_jsonc_model(Settings, text, source=source)


def load_settings(path: pathlib.Path) -> Settings:
    """Reads, parses and validates a settings file.

    Raises:
        DocumentError: The file cannot be read, is malformed, or is invalid.
    """
    return parse_settings(_jsonc.read_text_file(path), source=str(path))


def settings_json_schema() -> dict[str, Any]:
    """Returns the JSON schema of the settings file."""
    return Settings.model_json_schema()

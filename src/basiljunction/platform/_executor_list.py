"""Parses the platform's list of executors."""

import ipaddress
import re
from typing import Annotated

import pydantic

from basiljunction.platform import _reported_values
from basiljunction.protocol import _errors
from basiljunction.protocol import _job_records
from basiljunction.state.workload import _executor
from basiljunction.state.workload import _job_spec

_HEADER_VALUE = re.compile("[!-~]([ -~]*[!-~])?")
"""Pattern of an executor id, which every order carries in a header.

Blanks at the ends of a header's value don't count.
"""

_MAX_NAME_CHARS = 128
"""Longest name in an entry of the list of executors, in characters.

All known executors are stored in one record, which an entry must not fill.
"""

_MAX_LABELS = 16
"""Most labels of an executor, which has two; stored like its names."""

_MAX_PORT = 65_535
"""Highest port of an address."""


def _check_address(address: str) -> str:
    """Returns an ``ip:port`` to which a connection can be opened.

    Raises:
        ValueError: The text is not such an address.
    """
    ip, _, port = address.rpartition(":")
    ipaddress.IPv4Address(ip)
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f"{port} is not a port from 1 to {_MAX_PORT}")
    return address


_Name = Annotated[str, pydantic.Field(max_length=_MAX_NAME_CHARS)]
"""A name in an entry of the list of executors."""


class _Capacity(pydantic.BaseModel):
    """Total resources of an executor, with the platform's field names.

    Attributes:
        Cpu: CPU, in millicores.
        MemMb: Memory, in MB.
        Gpu: Number of accelerators.
    """

    model_config = pydantic.ConfigDict(strict=True)

    Cpu: _reported_values.Count
    MemMb: _reported_values.Count
    Gpu: _reported_values.Count = 0


class _Entry(pydantic.BaseModel):
    """An executor in the platform's list, with the platform's field names.

    Attributes:
        Service: Service that the executor belongs to.
        Address: ``ip:port`` that accepts orders.
        Zone: Availability zone.
        State: ``ready``, or ``draining`` if it accepts no new tasks.
        Capacity: Its total resources.
        Labels: Its kind and its rack.
        born: Start of this incarnation, in milliseconds since the Unix
            epoch; 0 if unknown.
        RemainingMs: Least time until it exits, in milliseconds, while it
            drains.
    """

    model_config = pydantic.ConfigDict(strict=True)

    Service: _Name
    Address: Annotated[
        str,
        pydantic.Field(pattern=r"^[0-9.]+:[0-9]{1,5}$"),
        pydantic.AfterValidator(_check_address),
    ]
    Zone: _Name
    State: str = pydantic.Field(pattern="^(ready|draining)$")
    Capacity: _Capacity
    Labels: Annotated[list[_Name], pydantic.Field(max_length=_MAX_LABELS)] = []
    born: _reported_values.Count = 0
    RemainingMs: float | None = pydantic.Field(
        default=None,
        ge=-_reported_values.MAX_COUNT,
        le=_reported_values.MAX_COUNT,
    )


def parse_listed_executor(
    record: _job_records.KeyedRecord,
) -> _executor.ListedExecutor:
    """Parses a record of the platform's list of executors.

    Raises:
        DecodeError: The record does not describe a usable executor.
    """
    if _HEADER_VALUE.fullmatch(record.key) is None:
        raise _errors.DecodeError(
            "executor entry", f"no header can carry the id {record.key!r}"
        )
    try:
        report = _Entry.model_validate_json(record.value)
    except ValueError as error:
        raise _errors.DecodeError("executor entry", str(error)) from error
    is_draining = report.State == "draining"
    drain_left_s = None
    if is_draining and report.RemainingMs is not None:
        drain_left_s = max(0.0, report.RemainingMs / 1000)
    return _executor.ListedExecutor(
        id=record.key,
        service=report.Service,
        address=report.Address,
        zone=report.Zone,
        is_draining=is_draining,
        capacity=_job_spec.Resources(
            report.Capacity.Cpu, report.Capacity.MemMb, report.Capacity.Gpu
        ),
        labels=tuple(report.Labels),
        born_ms=report.born,
        drain_left_s=drain_left_s,
    )

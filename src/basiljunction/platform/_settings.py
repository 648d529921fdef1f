"""Reads the settings file of the platform: lines of the form a.b=value."""

from collections.abc import Mapping
import os
import pathlib

from basiljunction.protocol import _instance_settings

PATH_VARIABLE = "BASILJUNCTION_CONFIG"


class SettingsError(ValueError):
    """A value is missing or malformed.

    Attributes:
        key: Name of the setting.
    """

    def __init__(self, key: str, expected: str) -> None:
        super().__init__(f"setting {key}: expected {expected}")
        self.key = key


def path_from(environment: Mapping[str, str]) -> pathlib.Path:
    """Returns where the settings file is.

    Raises:
        SettingsError: The environment does not say.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(PATH_VARIABLE, "the path of the settings file")
    return pathlib.Path(path)


def load(
    path: pathlib.Path | None = None,
) -> _instance_settings.InstanceSettings:
    """Reads the settings of this process.

    Raises:
        SettingsError: A value is missing or malformed.
        OSError: The file cannot be read.
    """
    found = path_from(os.environ) if path is None else path
    return parse(found.read_text(encoding="utf-8"))


def parse(text: str) -> _instance_settings.InstanceSettings:
    """Returns the settings in a text; unknown names are ignored.

    Raises:
        SettingsError: A value is missing or malformed.
    """
    values = _Values(text)
    ip = values.text("Ip")
    port = values.first_port("InternalPorts")
    return _instance_settings.InstanceSettings(
        name=values.text("NodeName"),
        zone=values.text("Zone"),
        front_listen=values.address("ListenAddrs.Front"),
        ready_listen=values.address("ListenAddrs.Ready"),
        peer_listen=f"{ip}:{port}",
        store=_instance_settings.StoreSettings(
            address=values.address("platform.Address"),
            writes_per_s=values.number("platform.WritesPerS"),
            reads_per_s=values.number("platform.ReadsPerS"),
            record_bytes=int(values.number("platform.RecordBytes")),
            request_bytes=int(values.number("platform.RequestBytes")),
        ),
        bounds=_instance_settings.Bounds(
            grace_s=values.number("Bounds.GraceS"),
            longest_lease_s=values.number("Bounds.MaxHoldMs") / 1000,
            status_s=values.number("Bounds.status_s"),
            gang_timeout_s=values.number("Bounds.GangTimeoutMs") / 1000,
            stop_timeout_s=values.number("Bounds.StopTimeoutMs") / 1000,
            harm_s=values.number("Bounds.HarmMs") / 1000,
        ),
        heartbeat_s=values.number("HeartbeatMs") / 1000,
        policy_address=values.optional_address("Advice"),
    )


class _Values:
    """The values of a settings file by name.

    Args:
        text: The file's content.
    """

    def __init__(self, text: str) -> None:
        self._value_by_name: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._value_by_name[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Returns a value that has to be there."""
        value = self._value_by_name.get(name, "")
        if not value:
            raise SettingsError(name, "a value")
        return value

    def number(self, name: str) -> float:
        """Returns a number of at least 0."""
        try:
            value = float(self.text(name))
        except ValueError:
            raise SettingsError(name, "a number") from None
        if not 0 <= value < float("inf"):
            raise SettingsError(name, "a finite number of at least 0")
        return value

    def address(self, name: str) -> str:
        """Returns an ``ip:port`` address."""
        value = self.text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            raise SettingsError(name, "ip:port")
        return value

    def optional_address(self, name: str) -> str:
        """Returns an ``ip:port`` address, or an empty text if there is none."""
        return self.address(name) if self._value_by_name.get(name) else ""

    def first_port(self, name: str) -> int:
        """Returns the first port of a range ``first,last``."""
        first = self.text(name).partition(",")[0]
        if not first.isdecimal():
            raise SettingsError(name, "two ports: first,last")
        return int(first)

"""Reads the platform's settings file: lines of the form ``a.b=value``."""

from collections.abc import Mapping
import math
import os
import pathlib

from basiljunction.protocol import _instance_settings
from basiljunction.state.workload import _provision

SETTINGS_PATH_VARIABLE = "BASILJUNCTION_CONFIG"
"""Environment variable that holds the path of the settings file."""

KEY_BY_BOUND = {
    "answer_cut_s": "Bounds.LossSlackMs",
    "answer_s": "Bounds.AckTimeoutMs",
    "cancel_s": "Bounds.cancel_ms",
    "configuration_s": "Bounds.ConfigApplyMs",
    "contact_s": "Bounds.ContactMs",
    "drain_s": "Bounds.DrainMs",
    "finish_s": "Bounds.finish_s",
    "gang_s": "Bounds.GangTimeoutMs",
    "grace_s": "Bounds.GraceS",
    "lease_s": "Bounds.MaxHoldMs",
    "notice_s": "Bounds.NoticeMs",
    "over_target_s": "Bounds.HarmMs",
    "recovery_s": "Bounds.RecoveryS",
    "stop_s": "Bounds.StopTimeoutMs",
    "visible_s": "Bounds.visible_ms",
}
"""Setting that holds each bound which the sums of waits are compared with."""

MAX_BOUND_S = 86_400.0
"""Longest bound that is taken for one, in seconds; a longer one is a mistake in
its unit."""

_BYTES_PER_MB = 1_000_000

MAX_QUOTED_CHARS = 40
"""Most characters of a malformed value that an error quotes."""


class SettingsError(ValueError):
    """A setting is missing or malformed.

    Args:
        key: Name of the setting or environment variable.
        expected: Description of a valid value.
        value: The malformed value; None leaves it out of the message.

    Attributes:
        key: Name of the setting or environment variable.
    """

    def __init__(
        self, key: str, expected: str, value: str | None = None
    ) -> None:
        found = "" if value is None else f", got {value[:MAX_QUOTED_CHARS]!r}"
        super().__init__(f"setting {key}: expected {expected}{found}")
        self.key = key


def find_settings_path(environment: Mapping[str, str]) -> pathlib.Path:
    """Returns the path of the settings file from environment variables.

    Raises:
        SettingsError: The variable is not set.
    """
    path = environment.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(
            SETTINGS_PATH_VARIABLE, "the path of the settings file"
        )
    return pathlib.Path(path)


def load_settings(
    path: pathlib.Path | None = None,
) -> _instance_settings.InstanceSettings:
    """Reads the settings file of this instance.

    Args:
        path: The file; by default an environment variable names it.

    Raises:
        SettingsError: A setting is missing or malformed.
        OSError: The file cannot be read.
    """
    settings_path = find_settings_path(os.environ) if path is None else path
    return parse_settings(settings_path.read_text(encoding="utf-8"))


def parse_settings(text: str) -> _instance_settings.InstanceSettings:
    """Parses the content of a settings file; ignores unknown settings.

    Raises:
        SettingsError: A setting is missing or malformed.
    """
    values = _SettingValues(text)
    ip = values.require_text("Ip")
    port = values.first_port("InternalPorts")
    bound_s_by_name = {
        name: values.require_bound_s(key)
        for name, key in KEY_BY_BOUND.items()
        if values.has(key)
    }
    return _instance_settings.InstanceSettings(
        name=values.require_text("NodeName"),
        zone=values.require_text("Zone"),
        front_listen=values.require_address("ListenAddrs.Front"),
        ready_listen=values.require_address("ListenAddrs.Ready"),
        peer_listen=f"{ip}:{port}",
        store=_instance_settings.StoreSettings(
            address=values.require_address("platform.Address"),
            writes_per_s=values.require_number("platform.WritesPerS"),
            reads_per_s=values.require_number("platform.ReadsPerS"),
            max_record_bytes=int(values.require_number("platform.RecordBytes")),
            max_append_bytes=int(
                values.require_number("platform.RequestBytes")
            ),
        ),
        bounds=_instance_settings.DeploymentTimeLimits(
            grace_s=values.require_bound_s("Bounds.GraceS"),
            longest_lease_s=values.require_bound_s("Bounds.MaxHoldMs"),
            finished_job_visible_s=values.require_bound_s("Bounds.status_s"),
            gang_timeout_s=values.require_bound_s("Bounds.GangTimeoutMs"),
            stop_timeout_s=values.require_bound_s("Bounds.StopTimeoutMs"),
            max_over_target_s=values.require_bound_s("Bounds.HarmMs"),
        ),
        heartbeat_s=values.require_number("HeartbeatMs") / 1000,
        policy_address=values.optional_address("Advice"),
        provision=_parse_provision(values),
        max_open_files=values.optional_count("Limits.MaxFds"),
        max_memory_bytes=_parse_memory(values),
        bound_s_by_name={
            name: bound_s
            for name, bound_s in bound_s_by_name.items()
            if _is_in_range(bound_s)
        },
        bounds_out_of_range=tuple(
            values.describe_bound(KEY_BY_BOUND[name])
            for name, bound_s in bound_s_by_name.items()
            if not _is_in_range(bound_s)
        ),
    )


def _parse_memory(values: "_SettingValues") -> int | None:
    """Returns the memory of the process in bytes; None if it is not set."""
    megabytes = values.optional_limit("Limits.MemoryMb")
    return None if megabytes is None else int(megabytes * _BYTES_PER_MB)


def _is_in_range(bound_s: float) -> bool:
    """Returns whether a bound can be compared with sums of waits."""
    return 0 < bound_s <= MAX_BOUND_S


def _describe_bound_range(name: str) -> str:
    """Returns the values that a bound may have, in the unit of its setting."""
    unit = "ms" if _is_in_ms(name) else "s"
    longest = MAX_BOUND_S * (1000 if _is_in_ms(name) else 1)
    return f"more than 0 and at most {longest:.0f} {unit}"


def _is_in_ms(name: str) -> bool:
    """Returns whether a bound is given in milliseconds instead of seconds."""
    return name.lower().endswith("ms")


def _parse_provision(values: "_SettingValues") -> _provision.Provision:
    """Returns link and processor of this instance, as far as they are set.

    Raises:
        SettingsError: A setting is malformed.
    """
    cpu_share = values.optional_limit("Limits.CpuShare")
    cores = values.optional_limit("Limits.Cores")
    return _provision.Provision(
        link_mbps=values.optional_limit("Limits.LinkMbps"),
        cpu_cores=(
            None if cpu_share is None or cores is None else cpu_share * cores
        ),
    )


class _SettingValues:
    """Gives typed access to the values of a settings file.

    Args:
        text: Content of the file, one ``name = value`` per line.
    """

    def __init__(self, text: str) -> None:
        self._value_by_name: dict[str, str] = {}
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._value_by_name[name.strip()] = value.strip()

    def has(self, name: str) -> bool:
        """Returns whether a setting has a value."""
        return bool(self._value_by_name.get(name))

    def require_text(self, name: str) -> str:
        """Returns a setting as text.

        Raises:
            SettingsError: The setting is missing or empty.
        """
        value = self._value_by_name.get(name, "")
        if not value:
            raise SettingsError(name, "a value")
        return value

    def require_number(self, name: str) -> float:
        """Returns a setting as a number of at least 0.

        Raises:
            SettingsError: It is missing, no number, negative or infinite.
        """
        try:
            value = float(self.require_text(name))
        except ValueError:
            raise SettingsError(name, "a number") from None
        if not 0 <= value < float("inf"):
            raise SettingsError(name, "a finite number of at least 0")
        return value

    def require_bound_s(self, name: str) -> float:
        """Returns a bound in seconds, which may be 0 or absurdly long.

        Raises:
            SettingsError: It is missing, no number, negative or infinite.
        """
        text = self.require_text(name)
        try:
            value = float(text)
        except ValueError:
            value = math.nan
        if not 0 <= value < math.inf:
            raise SettingsError(name, _describe_bound_range(name), text)
        return value / 1000 if _is_in_ms(name) else value

    def describe_bound(self, name: str) -> _instance_settings.BoundOutOfRange:
        """Returns the name, value and range of a bound that is out of range."""
        return _instance_settings.BoundOutOfRange(
            setting=name,
            value=self.require_text(name)[:MAX_QUOTED_CHARS],
            expected=_describe_bound_range(name),
        )

    def optional_limit(self, name: str) -> float | None:
        """Returns a limit, or None if it is absent or 0, which is no limit.

        Raises:
            SettingsError: It is no number, negative or infinite.
        """
        if not self._value_by_name.get(name):
            return None
        return self.require_number(name) or None

    def optional_count(self, name: str) -> int | None:
        """Returns a limit as a whole number, or None if absent or 0.

        Raises:
            SettingsError: It is no whole number of at least 0.
        """
        limit = self.optional_limit(name)
        if limit is None:
            return None
        if limit != int(limit):
            raise SettingsError(name, "a whole number")
        return int(limit)

    def require_address(self, name: str) -> str:
        """Returns a setting that is an ``ip:port`` address.

        Raises:
            SettingsError: It is missing or malformed.
        """
        value = self.require_text(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal():
            raise SettingsError(name, "ip:port")
        return value

    def optional_address(self, name: str) -> str:
        """Returns an ``ip:port`` address, or "" if the setting is empty.

        Raises:
            SettingsError: The address is malformed.
        """
        return (
            self.require_address(name) if self._value_by_name.get(name) else ""
        )

    def first_port(self, name: str) -> int:
        """Returns the first port of a port range ``first,last``.

        Raises:
            SettingsError: The setting is missing or malformed.
        """
        first = self.require_text(name).partition(",")[0]
        if not first.isdecimal():
            raise SettingsError(name, "two ports: first,last")
        return int(first)

"""Tests of the bounds in the platform's settings file."""

import pathlib
import re

import pytest

import basiljunction
from basiljunction.platform import _settings
from basiljunction.protocol import _instance_settings

_ROOT = pathlib.Path(basiljunction.__file__).parents[2]
_TEXT = (_ROOT / "examples" / "platform" / "local.conf").read_text("utf-8")


def _parse(line: str) -> _instance_settings.InstanceSettings:
    """Parses the example with another value, or none, for one setting."""
    key, _, value = line.partition("=")
    text, count = re.subn(
        f"(?m)^{re.escape(key)}=.*$", line if value else "", _TEXT
    )
    assert count == 1
    return _settings.parse_settings(text)


class TestRange:
    """A bound that is no time stops the process; others are only reported."""

    @pytest.mark.parametrize("value", ["-1", "soon", "nan", "inf", "1,5"])
    @pytest.mark.parametrize(
        "key", ["Bounds.status_s", *_settings.KEY_BY_BOUND.values()]
    )
    def test_a_bound_that_cannot_be_read_names_key_value_and_range(
        self, key: str, value: str
    ) -> None:
        unit = "ms" if key.endswith(("Ms", "_ms")) else "s"
        longest = 86_400_000 if unit == "ms" else 86_400
        with pytest.raises(_settings.SettingsError) as caught:
            _parse(f"{key}={value}")
        assert str(caught.value) == (
            f"setting {key}: expected more than 0 and at most {longest} {unit},"
            f" got {value!r}"
        )

    def test_a_long_value_is_quoted_in_part(self) -> None:
        with pytest.raises(_settings.SettingsError) as caught:
            _parse(f"Bounds.cancel_ms={'9' * 30}x{'9' * 900}")
        assert len(str(caught.value)) < 150

    @pytest.mark.parametrize("value", ["0", "86400001", "1e300"])
    def test_a_bound_out_of_range_is_kept_apart(self, value: str) -> None:
        settings = _parse(f"Bounds.cancel_ms={value}")
        assert "cancel_s" not in settings.bound_s_by_name
        assert settings.bounds_out_of_range == (
            _instance_settings.BoundOutOfRange(
                setting="Bounds.cancel_ms",
                value=value,
                expected="more than 0 and at most 86400000 ms",
            ),
        )

    def test_a_bound_at_the_end_of_its_range_counts(self) -> None:
        settings = _parse("Bounds.RecoveryS=86400")
        assert settings.bound_s_by_name["recovery_s"] == 86400.0
        assert settings.bounds_out_of_range == ()


class TestValues:
    """Bounds are read in seconds; those that are not set are left out."""

    def test_the_unit_follows_from_the_key(self) -> None:
        settings = _settings.parse_settings(_TEXT)
        assert settings.bound_s_by_name.keys() == _settings.KEY_BY_BOUND.keys()
        assert settings.bound_s_by_name["answer_cut_s"] == 0.2
        assert settings.bound_s_by_name["visible_s"] == 3.0
        assert settings.bound_s_by_name["grace_s"] == 6.0

    def test_a_bound_that_only_sums_need_may_be_missing(self) -> None:
        settings = _parse("Bounds.visible_ms=")
        assert "visible_s" not in settings.bound_s_by_name

    def test_a_bound_that_the_program_needs_may_not(self) -> None:
        with pytest.raises(_settings.SettingsError, match=r"Bounds\.GraceS"):
            _parse("Bounds.GraceS=")

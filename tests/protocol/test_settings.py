"""Tests of the parsing and the schema of the settings."""

import json
from typing import Any

import pytest

from basiljunction.protocol import _address
from basiljunction.protocol import _jsonc
from basiljunction.protocol import _settings

_VALID_SETTINGS = {
    "instance": "dunedin-1",
    "region": "south",
    "zone": "dunedin",
    "group": "south",
    "http_listen": "127.0.0.1:8080",
    "peer_listen": "[::1]:8081",
    "log_url": "http://127.0.0.1:9000",
    "platform_url": "http://127.0.0.1:9001",
}


def _parse_problems(text: str) -> tuple[_jsonc.DocumentProblem, ...]:
    """Returns the problems that make the settings `text` invalid."""
    with pytest.raises(_jsonc.DocumentError) as caught:
        _settings.parse_settings(text, source="x.json")
    return caught.value.problems


class TestParse:
    """Valid settings load; comments and trailing commas are allowed."""

    def test_loads_with_comments_and_defaults(self) -> None:
        text = json.dumps(_VALID_SETTINGS)[:-1] + ", // end\n /* none */ }"
        settings = _settings.parse_settings(text, source="x.json")
        assert settings.lease.voucher_s == 1.5
        assert _address.split_host_and_port(settings.peer_listen) == (
            "::1",
            8081,
        )


class TestErrors:
    """An error names file, line, field, found value and allowed values."""

    def test_misspelt_field_names_line_and_allowed_fields(self) -> None:
        text = (
            json.dumps(_VALID_SETTINGS, indent=1)[:-2]
            + ',\n"lease": {"vouch": 1}}'
        )
        (problem,) = _parse_problems(text)
        assert (problem.source, problem.line) == ("x.json", 10)
        assert problem.field == "lease.vouch"
        assert "voucher_s" in problem.allowed

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("http_listen", "localhost:80"),
            ("http_listen", "10.0.0.1:70000"),
            ("instance", "Not A Name"),
            ("seed_peers", ["nowhere"]),
            ("lease", {"heartbeat_s": 1.0, "suspect_after_s": 1.0}),
            ("operators", [{"name": "ana", "credential_hash": "plain"}]),
            ("limits", {"body_bytes": "12"}),
            ("limits", {"body_bytes": 0}),
        ],
    )
    def test_wrong_value_is_refused_by_field(
        self, field: str, value: Any
    ) -> None:
        problems = _parse_problems(
            json.dumps({**_VALID_SETTINGS, field: value})
        )
        assert {problem.field.split(".")[0] for problem in problems} == {field}

    @pytest.mark.parametrize(
        "text",
        ["", "{", "[1, 2", '{"a": }', "\x00", "[" * 5000, '{"a":1,"a":2}'],
    )
    def test_malformed_text_is_one_problem(self, text: str) -> None:
        (problem,) = _parse_problems(text)
        assert problem.found


class TestSchema:
    """Every field of the schema has a description."""

    def test_each_field_has_a_description(self) -> None:
        schema = _settings.settings_json_schema()
        for name, part in schema["$defs"].items():
            for field, body in part["properties"].items():
                assert body.get("description"), f"{name}.{field}"

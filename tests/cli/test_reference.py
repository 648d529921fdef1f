"""Tests of the generated reference pages in docs/reference."""

import json
import pathlib

import openapi_spec_validator
import pytest

from basiljunction.cli import _reference
from basiljunction.protocol import _openapi
from basiljunction.transport import _routes

_REFERENCE_FOLDER = pathlib.Path(__file__).parents[2] / "docs" / "reference"


class TestPages:
    """The committed pages equal the generated ones (run `make openapi`)."""

    @pytest.mark.parametrize("name", _reference.generate_pages())
    def test_is_current(self, name: str) -> None:
        committed = (_REFERENCE_FOLDER / name).read_text(encoding="utf-8")
        assert committed == _reference.generate_pages()[name]


class TestOpenApi:
    """The OpenAPI document is valid and lists exactly the served routes."""

    def test_is_valid(self) -> None:
        openapi_spec_validator.validate(
            json.loads(_openapi.generate_openapi_json())
        )

    def test_lists_the_routes(self) -> None:
        routes = {
            (route.method, route.rule.replace("path:", ""))
            for route in _routes.ROUTES
        }
        operations = {
            (each.method, each.path.replace("{", "<").replace("}", ">"))
            for each in _openapi.OPERATIONS
        }
        assert routes == operations

    def test_access_is_that_of_the_route(self) -> None:
        access_by_name = {
            "anybody": _routes.Access.OPEN,
            "caller": _routes.Access.CALLER,
            "operator": _routes.Access.OPERATOR,
            "caller or operator": _routes.Access.AUTHENTICATED,
        }
        described = [
            access_by_name[each.access] for each in _openapi.OPERATIONS
        ]
        assert described == [route.access for route in _routes.ROUTES]

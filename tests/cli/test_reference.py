"""Tests of the reference pages."""

import json
import pathlib

import openapi_spec_validator
import pytest

from basiljunction.cli import _reference
from basiljunction.protocol import _openapi
from basiljunction.transport import _routes

_FOLDER = pathlib.Path(__file__).parents[2] / "docs" / "reference"


class TestPages:
    """Committed pages are what the code makes; `make openapi` renews them."""

    @pytest.mark.parametrize("name", _reference.generate_pages())
    def test_is_current(self, name: str) -> None:
        committed = (_FOLDER / name).read_text(encoding="utf-8")
        assert committed == _reference.generate_pages()[name]


class TestOpenApi:
    """The description is valid and lists every route, and no other."""

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

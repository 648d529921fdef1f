"""Tests of the import order of the layers."""

import ast
import pathlib

import pytest

import basiljunction

_LAYERS = ("state", "coordination", "protocol", "transport")
_PACKAGE_ROOT = pathlib.Path(basiljunction.__file__).parent
_OUTER_PACKAGES = ("cli", "bench", "demo", "standin")


def _imported_packages(path: pathlib.Path) -> set[str]:
    packages = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] == "basiljunction" and len(parts) > 1:
                packages.add(parts[1])
    return packages


class TestLayers:
    """A layer imports only layers below it; transport is the top layer."""

    @pytest.mark.parametrize("layer", _LAYERS)
    def test_no_import_goes_up(self, layer: str) -> None:
        above = {*_LAYERS[_LAYERS.index(layer) + 1 :], *_OUTER_PACKAGES}
        for path in (_PACKAGE_ROOT / layer).glob("*.py"):
            assert not _imported_packages(path) & above, path.name

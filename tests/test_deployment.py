"""Tests that the deployed program needs only what the deployment installs."""

import importlib.metadata
import json
import pathlib
import re
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
_REQUIREMENTS = _ROOT / "deploy" / "requirements.txt"

_LIST_IMPORTS = """\
import json, sys
found_at_start = set(sys.modules)
from basiljunction.cli import _platform
from basiljunction.transport.jobs import _budget_chains, _daemon
imported = set(sys.modules) - found_at_start
print(json.dumps(sorted({name.partition(".")[0] for name in imported})))
"""


def _read_requirements() -> set[str]:
    """Returns the names of the installed distributions, and what they need."""
    found: set[str] = set()
    waiting = {
        line.partition("==")[0]
        for line in _REQUIREMENTS.read_text(encoding="utf-8").split()
    }
    while waiting:
        name = _normalize(waiting.pop())
        if name in found:
            continue
        found.add(name)
        needed = importlib.metadata.requires(name) or ()
        waiting |= {
            re.split(r"[^\w.-]", each)[0]
            for each in needed
            if "extra ==" not in each
        }
    return found


def _normalize(name: str) -> str:
    """Returns a distribution's name as packaging tools compare it."""
    return re.sub(r"[-_.]+", "-", name).lower()


def test_the_program_imports_only_what_is_installed_there() -> None:
    """An instance would end at its start otherwise."""
    result = subprocess.run(  # noqa: S603 - the interpreter of the tests
        [sys.executable, "-c", _LIST_IMPORTS],
        capture_output=True,
        check=True,
        text=True,
    )
    distributions_by_module = importlib.metadata.packages_distributions()
    needed = {
        _normalize(distribution)
        for module in json.loads(result.stdout)
        for distribution in distributions_by_module.get(module, ())
    }
    assert needed - {"basiljunction"} <= _read_requirements()

"""Breaks each guard on purpose and checks that a test notices.

Runs on copies of the project in a temporary folder; the project itself is not
touched. Prints one line a mutation and exits with 1 if one was not noticed.
"""

from concurrent import futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

import mutations
import platform_mutations

ROOT = pathlib.Path(__file__).parents[1]
PARTS = (
    "src",
    "tests",
    "examples",
    "docs",
    "pyproject.toml",
    "KNOWN-RED.txt",
)
PROCESSES = 4
TIMEOUT_S = 600
ALL_PASSED = 0
SOME_FAILED = 1


class StaleMutationError(RuntimeError):
    """A mutation names a line that no longer stands there."""


def _copy(target: pathlib.Path) -> None:
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            shutil.copytree(source, target / part)
        else:
            shutil.copy(source, target / part)


def _apply(edit: mutations.Edit, folder: pathlib.Path) -> None:
    path = folder / edit.path
    text = path.read_text(encoding="utf-8")
    if text.count(edit.old) != 1:
        raise StaleMutationError(f"{edit.path} does not hold: {edit.old}")
    path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


def _pytest(folder: pathlib.Path, tests: tuple[str, ...]) -> int:
    command = [sys.executable, "-m", "pytest", "-q", "-x", *tests]
    run = subprocess.run(  # noqa: S603 - the project's own tests
        command, cwd=folder, capture_output=True, timeout=TIMEOUT_S, check=False
    )
    return run.returncode


def _try(mutation: mutations.Mutation) -> tuple[mutations.Mutation, str]:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        _copy(folder)
        if _pytest(folder, mutation.tests) != ALL_PASSED:
            return mutation, "red without the mutation"
        try:
            for edit in mutation.edits:
                _apply(edit, folder)
        except StaleMutationError as error:
            return mutation, f"stale: {error}"
        code = _pytest(folder, mutation.tests)
    return mutation, "noticed" if code == SOME_FAILED else "NOT noticed"


def main() -> int:
    """Runs every mutation, or those that the command line names.

    Returns:
        0 if every one was noticed.
    """
    chosen = [
        each
        for each in (*mutations.MUTATIONS, *platform_mutations.MUTATIONS)
        if not sys.argv[1:] or str(each.name) in sys.argv[1:]
    ]
    missed = 0
    with futures.ThreadPoolExecutor(PROCESSES) as pool:
        for mutation, verdict in pool.map(_try, chosen):
            print(f"{mutation.invariant}: {mutation.name}: {verdict}")
            missed += verdict != "noticed"
    print(f"{len(chosen)} mutations, {missed} not noticed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
